//! The `explain` command, which finds the decisions on one request in the logs of several VMs.
//!
//! Logs may be larger than memory, so they are read line by line, in two passes. The first finds
//! the lines that name the request, the second the changes of state that the same VMs logged before.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use clap::Args;
use quick_error::quick_error;
use serde::Serialize;
use serde_json::{Map, Value};

/// Events that change the cached state of a VM.
const STATE_EVENTS: [&str; 9] = [
    "leader", "failover", "claim", "upstream", "routes", "store", "peer", "detour", "stall",
];

/// Limit of state changes that are shown for each VM, the last ones up to the request's last line.
const MAX_STATE_LINES: usize = 8;

/// Fields that every line has or that the report shows separately.
const RESERVED_FIELDS: [&str; 6] = ["msg", "level", "ts", "vm", "event", "request"];

quick_error! {
    /// Error of explaining a request.
    #[derive(Debug)]
    pub enum Error {
        /// A log can't be read.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// No log names the request.
        Unknown(request: String) {
            display("no log names the request {request}")
        }
        /// The report can't be written as JSON.
        Json(err: serde_json::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// Options of `explain`.
#[derive(Debug, Args)]
pub struct Options {
    /// Id of the request.
    request: String,
    /// Logs of the VMs, with one JSON object per line.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Prints the report as JSON.
    #[arg(long)]
    json: bool,
}

/// Parsed line of a log.
#[derive(Clone, Debug, Serialize)]
struct Line {
    time: String,
    vm: String,
    event: String,
    message: String,
    fields: Map<String, Value>,
}

/// Report on a request.
#[derive(Clone, Debug, Default, Serialize)]
struct Report {
    request: String,
    /// Cause of the outcome.
    outcome: String,
    /// Decisions on the request, ordered by time.
    decisions: Vec<Line>,
    /// Changes of state of the VMs that took the decisions, ordered by time.
    beliefs: Vec<Line>,
    /// Number of lines that contain the identifier but can't be parsed.
    unreadable: usize,
}

/// Prints the report on a request.
pub fn run(options: &Options) -> Result<(), Error> {
    let report = explain(options)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!("request {}: {}", report.request, report.outcome);
    print_lines("decisions", &report.decisions);
    print_lines("beliefs of the same VMs up to then", &report.beliefs);
    if report.unreadable > 0 {
        println!("{} lines can't be read", report.unreadable);
    }
    Ok(())
}

fn print_lines(title: &str, lines: &[Line]) {
    println!("{title}:");
    for line in lines {
        let fields = line.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let fields: String = fields.collect();
        println!(
            "  {} {} {}: {}{fields}",
            line.time, line.vm, line.event, line.message
        );
    }
}

fn explain(options: &Options) -> Result<Report, Error> {
    let mut report = Report {
        request: options.request.clone(),
        ..Report::default()
    };
    // Lines are searched for the identifier before they are parsed, since most don't contain it.
    let quoted_id = format!("\"{}\"", options.request);
    for path in &options.logs {
        report.unreadable += scan_log(
            path,
            |text| text.contains(&quoted_id),
            |line, id| {
                if id == Some(options.request.as_str()) {
                    report.decisions.push(line);
                }
            },
        )?;
    }
    report.decisions.sort_by(|a, b| a.time.cmp(&b.time));
    let Some(last) = report.decisions.last() else {
        return Err(Error::Unknown(options.request.clone()));
    };
    report.outcome = describe_outcome(last);
    let last_time = last.time.clone();
    let mut state_lines: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    for line in &report.decisions {
        state_lines.entry(line.vm.clone()).or_default();
    }
    for path in &options.logs {
        scan_log(
            path,
            |_| true,
            |line, _| {
                let is_relevant =
                    STATE_EVENTS.contains(&line.event.as_str()) && line.time <= last_time;
                if is_relevant && let Some(recent) = state_lines.get_mut(&line.vm) {
                    recent.push(line);
                    if recent.len() > MAX_STATE_LINES {
                        recent.remove(0);
                    }
                }
            },
        )?;
    }
    report.beliefs = state_lines.into_values().flatten().collect();
    report.beliefs.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(report)
}

/// Describes the outcome of a request from the last decision on it.
fn describe_outcome(last: &Line) -> String {
    let field = |name: &str| last.fields.get(name).and_then(Value::as_str).unwrap_or("-");
    match last.event.as_str() {
        "failure" => format!("failed as {}, since {}", field("code"), field("detail")),
        "unconfirmed" => "acknowledged by the primary alone".to_owned(),
        "try" => "answered after further tries".to_owned(),
        other => format!("last seen in {other}"),
    }
}

/// Parses the lines that pass `matches` and calls `visit` with each line and the request it names.
///
/// Returns the number of matching lines that can't be parsed.
fn scan_log(
    path: &Path,
    matches: impl Fn(&str) -> bool,
    mut visit: impl FnMut(Line, Option<&str>),
) -> Result<usize, Error> {
    let file_error = |err| Error::File(path.to_owned(), err);
    let mut reader = BufReader::new(File::open(path).map_err(file_error)?);
    let (mut bytes, mut unreadable) = (Vec::new(), 0);
    loop {
        bytes.clear();
        if reader.read_until(b'\n', &mut bytes).map_err(file_error)? == 0 {
            return Ok(unreadable);
        }
        let text = String::from_utf8_lossy(&bytes);
        if !matches(&text) {
            continue;
        }
        match serde_json::from_str::<Map<String, Value>>(&text) {
            Ok(fields) => {
                let id = fields
                    .get("request")
                    .and_then(Value::as_str)
                    .map(str::to_owned);
                visit(parse_line(fields), id.as_deref());
            }
            Err(_) => unreadable += 1,
        }
    }
}

fn parse_line(mut fields: Map<String, Value>) -> Line {
    let text = |name: &str| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (time, vm) = (text("ts"), text("vm"));
    let (event, message) = (text("event"), text("msg"));
    fields.retain(|name, _| !RESERVED_FIELDS.contains(&name.as_str()));
    Line {
        time,
        vm,
        event,
        message,
        fields,
    }
}
