//! Runs the examples of the documentation for callers against the demo fleet.

mod demo;

use std::path::{Path, PathBuf};
use std::process::Command;

use chervildrift::try_out::DemoFleet;
use demo::spawn_demo;

/// Page whose examples are run.
const PAGE: &str = include_str!("../../docs/callers.md");

/// Shell function that replaces `curl` and also appends the HTTP status to the file `status`.
const PRELUDE: &str = "set -u\ncurl() { command curl -s -o body -w '%{http_code}\\n' \"$@\" \
                       >> status; cat body; }\n";

/// Code block of the page and the HTTP statuses that it states.
#[derive(Debug)]
struct Example {
    script: String,
    expected_statuses: Vec<String>,
}

/// Returns the code blocks marked `sh`, in the order of the page.
fn examples(page: &str) -> Vec<Example> {
    let blocks = page.split("\n```sh\n").skip(1);
    blocks
        .map(|block| {
            let (script, _after) = block.split_once("\n```").expect("a closed block");
            let expected_statuses = script.lines().filter_map(parse_status).map(str::to_owned);
            Example {
                script: script.to_owned(),
                expected_statuses: expected_statuses.collect(),
            }
        })
        .collect()
}

/// Returns the status in a comment such as `# 200`.
fn parse_status(line: &str) -> Option<&str> {
    let text = line.strip_prefix("# ")?;
    let numeric = text.len() == 3 && text.bytes().all(|it| it.is_ascii_digit());
    numeric.then_some(text)
}

/// Runs a code block in `folder` and returns the statuses of the responses and the output.
fn run_example(
    example: &Example,
    folder: &Path,
    vms: [String; 2],
    credential: &str,
) -> (String, String) {
    let [first, second] = vms;
    std::fs::write(folder.join("status"), "").expect("a status file");
    let output = Command::new("bash")
        .arg("-c")
        .arg(format!("{PRELUDE}{}", example.script))
        .current_dir(folder)
        .env("VM1", first)
        .env("VM2", second)
        .env("CREDENTIAL", credential)
        .output()
        .expect("bash runs");
    let statuses = std::fs::read_to_string(folder.join("status")).expect("the statuses");
    let mut output_text = String::from_utf8_lossy(&output.stdout).into_owned();
    output_text.push_str(&String::from_utf8_lossy(&output.stderr));
    (statuses, output_text)
}

fn fresh_folder() -> PathBuf {
    let name = format!("documented-examples-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder for the examples");
    folder
}

fn run_examples(fleet: &DemoFleet) {
    let folder = fresh_folder();
    let vms = [fleet.callers()[0], fleet.callers()[1]].map(|it| it.to_string());
    let examples = examples(PAGE);
    assert!(!examples.is_empty(), "the page has examples");
    for example in examples {
        let script = &example.script;
        assert!(
            !example.expected_statuses.is_empty(),
            "no status stated:\n{script}"
        );
        let (statuses, output_text) =
            run_example(&example, &folder, vms.clone(), fleet.credential());
        let statuses_found: Vec<&str> = statuses.lines().collect();
        assert_eq!(
            statuses_found, example.expected_statuses,
            "{script}\n{output_text}"
        );
    }
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

/// Guards against documented examples whose responses have another status than stated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn documented_statuses() {
    if Command::new("curl").arg("--version").output().is_err() {
        println!("skipped: curl is not installed");
        return;
    }
    let fleet = spawn_demo().await;
    let fleet = tokio::task::spawn_blocking(move || {
        run_examples(&fleet);
        fleet
    });
    let fleet = fleet.await.expect("the examples answer as stated");
    assert!(fleet.stop().await, "no request is cut");
}
