//! Tests that run the commands for operators as processes.

mod demo;
mod fleet;

use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};

use demo::{Session, spawn_demo};
use fleet::{Fleet, await_true};
use serde_json::json;

fn run_command(arguments: &[&str]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_chervildrift"))
        .args(arguments)
        .output();
    command.expect("the command runs")
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Guards against mistakes in a file that aren't found or are printed without position and remedy.
#[test]
fn check_files() {
    let folder = std::env::temp_dir().join(format!("check-files-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("service")).expect("a folder");
    let example = include_str!("../../examples/ring-ledger.yaml");
    let path = folder.join("service/chervildrift.yaml");
    let folder_text = folder.to_string_lossy().into_owned();
    std::fs::write(&path, example).expect("writes the file");
    let good = run_command(&["check", &folder_text]);
    assert_eq!(good.status.code(), Some(0), "{}", output_text(&good));
    std::fs::write(&path, example.replace("slots: 5", "slots: 0")).expect("writes the file");
    let bad = run_command(&["check", &folder_text]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        output_text(&bad).contains("chervildrift.yaml:9:"),
        "{}",
        output_text(&bad)
    );
    assert!(
        output_text(&bad).contains("slots is 0; give a number of at least 1"),
        "{}",
        output_text(&bad)
    );
    let explained = run_command(&["check", "--explain"]);
    assert!(
        output_text(&explained).contains("receive_ms: 5000"),
        "{}",
        output_text(&explained)
    );
    std::fs::remove_dir_all(folder).expect("removes the folder");
}

/// Guards against a configuration of the platform that is checked by other rules than those by which
/// the VMs read it, and against output that shows keys.
#[test]
fn check_routes() {
    let folder = std::env::temp_dir().join(format!("check-routes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |name: &str, version: u64, timeout: serde_json::Value, key: &str| {
        let config = json!({"version": version, "routes": [{"name": "r1", "database_name": "d1",
            "kind": "primary", "timeout_ms": timeout, "target_latency_ms": 800, "service": "svc"}],
            "services": [{"name": "svc", "connection_limit": 30}],
            "tenants": [{"name": "north", "api_keys": [key]}]});
        let path = folder.join(name);
        std::fs::write(&path, config.to_string()).expect("writes the file");
        path.to_string_lossy().into_owned()
    };
    let in_force = write("in-force.json", 7, json!(1_000), "secret-one");
    let new = write("new.json", 9, json!(500), "secret-two");
    let odd = write("odd.json", 9, json!("soon"), "secret-two");
    let good = run_command(&["check", "--routes", &new, "--against", &in_force]);
    assert_eq!(good.status.code(), Some(0), "{}", output_text(&good));
    let text = output_text(&good);
    assert!(
        text.contains("route of d1: timeout 1000 ms -> 500 ms"),
        "{text}"
    );
    assert!(
        text.contains("withdrawn") && !text.contains("secret"),
        "{text}"
    );
    let outdated = run_command(&["check", "--routes", &in_force, "--against", &new, "--json"]);
    assert_eq!(outdated.status.code(), Some(2));
    let report: serde_json::Value = serde_json::from_slice(&outdated.stdout).expect("JSON");
    assert_eq!(report["findings"][0]["place"], "version", "{report}");
    let bad = run_command(&["check", "--routes", &odd]);
    assert_eq!(bad.status.code(), Some(2));
    let text = output_text(&bad);
    assert!(
        text.contains("error: routes[0]: can't be decoded"),
        "{text}"
    );
    std::fs::remove_dir_all(folder).expect("removes the folder");
}

/// Guards against a `try` command that SIGTERM kills instead of stopping it gracefully.
#[test]
fn try_stops_on_sigterm() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chervildrift"))
        .args(["try", "--port", "0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("try starts");
    let mut lines = BufReader::new(child.stdout.take().expect("an output")).lines();
    lines.next().expect("the instructions").expect("a line");
    let id = child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.expect("kill runs").success());
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    let status = child.wait().expect("the process ends");
    assert_eq!(status.code(), Some(0), "{rest:?}");
}

/// Guards against invalid settings of a relaying VM that pass validation.
#[test]
fn check_relay_settings() {
    let path = std::env::temp_dir().join(format!("check-relay-{}.yaml", std::process::id()));
    let good = "vm: a\nzone: north\ncallers: \"127.0.0.1:1\"\noperators: \"127.0.0.1:2\"\n\
                peers: \"127.0.0.1:3\"\nstore: \"127.0.0.1:4\"\n";
    let name = path.to_string_lossy().into_owned();
    for (extra_lines, expected) in [
        ("", None),
        (
            "grace_s: 0\n",
            Some("grace_s is 0; give a number from 0.1 to 600"),
        ),
        (
            "hold_ms: 90000\n",
            Some("hold_ms is 90000; give a number of at most 60000"),
        ),
        (
            "drain_ms: 100\n",
            Some("drain_ms is 100; give a number from 500 to 600000"),
        ),
        ("drain_ms: 3500.5\napply_ms: 2000\n", None),
        ("tokens_checked: false\n", None),
        ("hold: 4\n", Some("unknown field")),
    ] {
        std::fs::write(&path, good.to_owned() + extra_lines).expect("writes the file");
        let output = run_command(&["check", "--relay", &name]);
        assert_eq!(
            output.status.code(),
            Some(if expected.is_some() { 2 } else { 0 })
        );
        assert!(
            output_text(&output).contains(expected.unwrap_or_default()),
            "{}",
            output_text(&output)
        );
    }
    let same_address = good.replace("127.0.0.1:2", "127.0.0.1:1");
    std::fs::write(&path, same_address).expect("writes the file");
    let output = run_command(&["check", "--relay", &name]);
    assert!(
        output_text(&output).contains("same address"),
        "{}",
        output_text(&output)
    );
    std::fs::remove_file(path).expect("removes the file");
}

/// Guards against an empty publish, which would remove every service, and against a publish that
/// replaces another generation than the one that its files are based on.
#[tokio::test]
async fn publish_empty_and_stale() {
    let fleet = Fleet::spawn("publish-guards", &[]).await;
    let folder = std::env::temp_dir().join(format!("publish-guards-{}-empty", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let platform = fleet.platform.to_string();
    let folder_text = folder.to_string_lossy().into_owned();
    let common_arguments = ["publish", "--platform", &platform, "--author", "ops"];
    let empty = run_command(&[&common_arguments[..], &[&folder_text]].concat());
    assert_eq!(empty.status.code(), Some(2), "{}", output_text(&empty));
    let path = folder.join("chervildrift.yaml");
    std::fs::write(&path, fleet.declaration("")).expect("writes the file");
    let stale = run_command(&[&common_arguments[..], &["--expect", "0", &folder_text]].concat());
    assert_eq!(stale.status.code(), Some(2), "{}", output_text(&stale));
    assert!(
        output_text(&stale).contains("first published generation 1 first"),
        "{}",
        output_text(&stale)
    );
    std::fs::remove_dir_all(folder).expect("removes the folder");
}

/// Guards against a burn rate report without the expected columns and rows, and against metrics
/// that are registered but never set.
#[tokio::test]
async fn burn_report_and_metrics() {
    let fleet = spawn_demo().await;
    let mut session = Session::new(fleet.credential());
    let written = session
        .run(fleet.callers()[0], "save", "select 1", json!([]))
        .await;
    assert_eq!(written.status, 200, "{:?}", written.body);
    let addresses: Vec<String> = fleet.operators().iter().map(ToString::to_string).collect();
    let arguments = [
        "report",
        "burn",
        "--operators",
        &addresses[0],
        &addresses[1],
    ];
    await_true("no VM answers for the service", async || {
        let report = output_text(&run_command(&arguments));
        report.contains("kind") && report.contains("save") && report.contains("0.999 ")
    })
    .await;
    let url = format!("http://{}/metrics", addresses[0]);
    let metrics = reqwest::get(url)
        .await
        .expect("answers")
        .text()
        .await
        .expect("a text");
    for name in [
        "chervildrift_members{state=\"alive\"} 2",
        "chervildrift_generation 1",
    ] {
        assert!(metrics.contains(name), "{name} is missing in {metrics}");
    }
}
