//! The examples of the callers' page, run against the embedded default.

mod demo;

use std::path::{Path, PathBuf};
use std::process::Command;

use chervildrift::try_out::DemoFleet;
use demo::spawn_demo;

/// Page whose examples run.
const PAGE: &str = include_str!("../../docs/callers.md");

/// Replaces `curl` by a function that also appends the HTTP status to the file `status`.
const PRELUDE: &str = "set -u\ncurl() { command curl -s -o body -w '%{http_code}\\n' \"$@\" \
                       >> status; cat body; }\n";

/// One block of the page and the HTTP statuses that it states.
#[derive(Debug)]
struct Example {
    script: String,
    stated: Vec<String>,
}

/// Returns the blocks marked `sh`, in the order of the page.
fn examples(page: &str) -> Vec<Example> {
    let blocks = page.split("\n```sh\n").skip(1);
    blocks
        .map(|rest| {
            let (script, _after) = rest.split_once("\n```").expect("a closed block");
            let stated = script.lines().filter_map(status).map(str::to_owned);
            Example {
                script: script.to_owned(),
                stated: stated.collect(),
            }
        })
        .collect()
}

/// Returns the status of a comment such as `# 200`.
fn status(line: &str) -> Option<&str> {
    let text = line.strip_prefix("# ")?;
    let numeric = text.len() == 3 && text.bytes().all(|it| it.is_ascii_digit());
    numeric.then_some(text)
}

/// Runs a block in `folder` and returns the statuses of its answers with the last output.
fn run(example: &Example, folder: &Path, vms: [String; 2], credential: &str) -> (String, String) {
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
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (statuses, text)
}

fn fresh_folder() -> PathBuf {
    let name = format!("documented-examples-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder for the examples");
    folder
}

fn run_all(embedded: &DemoFleet) {
    let folder = fresh_folder();
    let vms = [embedded.callers()[0], embedded.callers()[1]].map(|it| it.to_string());
    let examples = examples(PAGE);
    assert!(!examples.is_empty(), "the page has examples");
    for example in examples {
        let script = &example.script;
        assert!(!example.stated.is_empty(), "no status stated:\n{script}");
        let (statuses, text) = run(&example, &folder, vms.clone(), embedded.credential());
        let found: Vec<&str> = statuses.lines().collect();
        assert_eq!(found, example.stated, "{script}\n{text}");
    }
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

/// Guards against examples on the callers' page that the program no longer answers as stated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn documented_statuses() {
    if Command::new("curl").arg("--version").output().is_err() {
        println!("skipped: curl is not installed");
        return;
    }
    let embedded = spawn_demo().await;
    let embedded = tokio::task::spawn_blocking(move || {
        run_all(&embedded);
        embedded
    });
    let embedded = embedded.await.expect("the examples answer as stated");
    assert!(embedded.stop().await, "no request is cut");
}
