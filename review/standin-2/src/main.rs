//! Runs one case of the second review.
//!
//! Usage: `review_standin_2 CASE PROGRAM RECORD`. The exit code is 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment the same happens
//! without the disruption.

mod client;
mod memory;
mod record;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// Outcome of a case.
pub enum Outcome {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
}

/// Settings that all cases share.
pub struct Setup {
    /// Path of the relay's program.
    pub program: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &args[..] else {
        eprintln!("usage: review_standin_2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let setup = Setup {
        program: program.into(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("no record: {err}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {}", setup.trouble));
    let result = match case.as_str() {
        "memory" => memory::run(&setup, &record).await,
        _ => Err("unknown case".to_owned()),
    };
    match result {
        Ok(Outcome::Broken) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Outcome::Held) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            record.line(&format!("result: the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
