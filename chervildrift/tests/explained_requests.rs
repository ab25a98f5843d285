//! Tests of the `explain` command.

use std::path::PathBuf;
use std::process::{Command, Output};

const LOG_OF_A: &str = r#"{"msg":"leader","level":"INFO","ts":"2026-01-01T00:00:01Z","vm":"a","event":"leader","upstream":"i-1","reason":"reported"}
not a line of JSON that names "r1"
{"msg":"no answer","level":"INFO","ts":"2026-01-01T00:00:03Z","vm":"a","event":"try","request":"r1","upstream":"i-1","error":"connection broke"}
{"msg":"statement failed","level":"INFO","ts":"2026-01-01T00:00:04Z","vm":"a","event":"failure","request":"r1","code":"in_doubt","detail":"connection broke"}
{"msg":"leader","level":"INFO","ts":"2026-01-01T00:00:09Z","vm":"a","event":"leader","upstream":"i-2","reason":"reported"}
{"msg":"statement failed","level":"INFO","ts":"2026-01-01T00:00:09Z","vm":"a","event":"failure","request":"r2","code":"busy","detail":"r1"}
"#;

const LOG_OF_B: &str = r#"{"msg":"leader","level":"INFO","ts":"2026-01-01T00:00:02Z","vm":"b","event":"leader","upstream":"i-9","reason":"probed"}
"#;

fn write_log(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("explain-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("writes the log");
    path
}

fn explain(arguments: &[&str], logs: &[&PathBuf]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_chervildrift"))
        .arg("explain")
        .args(arguments)
        .args(logs)
        .output();
    command.expect("the command runs")
}

/// Guards against a report that misses a decision, includes one on another request, or shows
/// changes of state that are later or of other VMs.
#[test]
fn lost_write() {
    let logs = [write_log("a", LOG_OF_A), write_log("b", LOG_OF_B)];
    let output = explain(&["r1"], &[&logs[0], &logs[1]]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(text.starts_with("request r1: failed as in_doubt, since connection broke\n"));
    assert!(
        text.contains("try: no answer") && text.contains("upstream=i-1"),
        "{text}"
    );
    assert!(
        !text.contains("i-2") && !text.contains("i-9") && !text.contains("busy"),
        "{text}"
    );
    assert!(text.contains("1 lines can't be read"), "{text}");
    let json = explain(&["r1", "--json"], &[&logs[0]]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["decisions"].as_array().map(Vec::len), Some(2));
    assert_eq!(json["unreadable"], 1);
    for path in logs {
        std::fs::remove_file(path).expect("removes the log");
    }
}

/// Guards against an empty report for an identifier that no log contains.
#[test]
fn unknown_request() {
    let logs = [write_log("c", LOG_OF_A)];
    let output = explain(&["r3"], &[&logs[0]]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no log names the request r3"));
    std::fs::remove_file(&logs[0]).expect("removes the log");
}
