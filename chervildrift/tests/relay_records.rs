//! Metrics and logs of relaying VMs.

mod relayed;

use chervildrift_standin::deployment::Options;

use relayed::{Fleet, await_true, id};

/// Guards against metrics that miss what callers got.
#[tokio::test(flavor = "multi_thread")]
async fn served_metrics() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    let mut session = vm.session("own").await;
    for round in 0..5 {
        assert!(session.run(&format!("WRITE x {round}")).await.is_signed());
    }
    assert_eq!(session.run("EXECUTE none x").await.code(), "UNKNOWN");
    let url = format!("http://{}/metrics", vm.operators);
    let lines = [
        "chervildrift_relay_statements_total{kind=\"r-own\",result=\"success\"} 5",
        "chervildrift_relay_statements_total{kind=\"r-own\",result=\"unknown_statement\"} 1",
        "chervildrift_relay_statement_seconds_count{kind=\"r-own\"} 6",
        "chervildrift_relay_places_total{kind=\"r-own\",place=\"leader\"} 5",
        "chervildrift_relay_configuration_version 1",
        "chervildrift_relay_sessions 1",
    ];
    await_true("metrics", async || {
        let Ok(response) = reqwest::get(&url).await else {
            return false;
        };
        let text = response.text().await.unwrap_or_default();
        lines.iter().all(|line| text.contains(line))
    })
    .await;
}

/// Guards against a failed request that leaves no line with its id and cause.
#[tokio::test(flavor = "multi_thread")]
async fn logged_failure() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    let mut session = vm.session("own").await;
    fleet.platform.database.lose_answers(1);
    let id = id();
    let answer = session.send(&format!("QUERY {id} WRITE x 1")).await;
    assert_eq!(answer.code(), "INDOUBT");
    let find = |event: &str| {
        let log = vm.log();
        let mut lines = log
            .into_iter()
            .filter(|line| line["request"] == id.as_str());
        lines.find(|line| line["event"] == event)
    };
    await_true("log line", async || find("failure").is_some()).await;
    let failure = find("failure").expect("a line");
    assert_eq!(failure["code"], "in_doubt");
    let detail = failure["detail"].as_str().unwrap_or_default();
    assert!(detail.contains("closed by the upstream"), "{failure}");
    let tried = find("try").expect("a line on the try");
    assert_eq!(
        (&tried["upstream"], &tried["place"]),
        (&"i-0".into(), &"leader".into())
    );
}
