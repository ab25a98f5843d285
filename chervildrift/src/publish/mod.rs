//! The `publish` command, which publishes operators' files as one configuration.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chervildrift_core::config::Bundle;
use chervildrift_core::generation::{
    BundleHash, Head, Outcome, PublishAction, PublishEvent, PublishId, Publisher, TaggedHead,
};
use chervildrift_core::rng::mix;
use chervildrift_core::types::Time;
use clap::Args;
use quick_error::quick_error;
use tokio::runtime::Builder;

use crate::control_store::{self, Condition, Platform, WriteResult};
use crate::operator_files::{self, collect};
use crate::serve::{HEAD_KEY, HEAD_TABLE};

/// Exit code of a publish that failed or whose outcome is unknown.
const FAILURE_EXIT_CODE: u8 = 2;

/// Interval at which the publisher is called while it waits to retry.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

quick_error! {
    /// Error that prevents a publish.
    #[derive(Debug)]
    pub enum Error {
        /// The files can't be read.
        Collect(err: operator_files::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The declarations can't be combined into a bundle.
        Bundle(err: chervildrift_core::config::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The platform client can't be created.
        Platform(err: control_store::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The runtime can't be started.
        Runtime(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// Options of `publish`.
#[derive(Debug, Args)]
pub struct Options {
    /// Operators' files, or folders to search for files named `chervildrift.yaml`.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Address of the platform.
    #[arg(long)]
    platform: SocketAddr,
    /// Name of the operator, which is shown to the loser of a concurrent publish.
    #[arg(long)]
    author: String,
    /// Generation that the files are based on; the publish fails if another one is in force.
    #[arg(long)]
    expect: Option<u64>,
}

/// Publishes the files and prints the outcome.
pub fn run(options: &Options) -> Result<ExitCode, Error> {
    let collected = collect(&options.paths)?;
    for (path, finding) in &collected.findings {
        println!("{}:{finding}", path.display());
    }
    if !collected.findings.is_empty() {
        println!("nothing was published");
        return Ok(ExitCode::from(FAILURE_EXIT_CODE));
    }
    // An empty bundle would remove every service.
    if collected.declarations.is_empty() {
        return Err(operator_files::Error::Empty.into());
    }
    let body = Bundle::collect(collected.declarations)?.encode()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let outcome = runtime.block_on(async {
        let platform = Platform::open(options.platform, control_store::Limits::default())?;
        Ok::<_, Error>(publish(&platform, &options.author, options.expect, &body).await)
    })?;
    Ok(print_outcome(&outcome))
}

fn print_outcome(outcome: &Outcome) -> ExitCode {
    match outcome {
        Outcome::Published { generation } => {
            println!("published as generation {generation}");
            ExitCode::SUCCESS
        }
        Outcome::Lost { winner } => {
            println!(
                "not published: {} published generation {} first",
                winner.author, winner.generation
            );
            ExitCode::from(FAILURE_EXIT_CODE)
        }
        Outcome::Unknown { id } => {
            println!(
                "unknown: the platform did not answer; the head record names publish {id} if it \
                 took effect"
            );
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}

/// Publishes an encoded bundle and returns the outcome.
pub async fn publish(
    platform: &Platform,
    author: &str,
    expect: Option<u64>,
    body: &[u8],
) -> Outcome {
    let hash = BundleHash::of(body);
    let mut publisher = Publisher::new(author, publish_id(), hash, expect);
    let start = Instant::now();
    let mut actions = publisher.handle(Time::default(), PublishEvent::Start);
    loop {
        let event = match actions.pop() {
            Some(PublishAction::Done(outcome)) => return outcome,
            Some(action) => run_action(platform, action, body).await,
            None => {
                tokio::time::sleep(TICK_INTERVAL).await;
                PublishEvent::Tick
            }
        };
        actions = publisher.handle(Time::default() + start.elapsed(), event);
    }
}

async fn run_action(platform: &Platform, action: PublishAction, body: &[u8]) -> PublishEvent {
    match action {
        PublishAction::ReadHead => match platform.read::<Head>(HEAD_TABLE, HEAD_KEY).await {
            Ok(Some(row)) => PublishEvent::HeadRead(TaggedHead {
                head: Some(row.value),
                tag: Some(row.tag.to_string()),
            }),
            Ok(None) => PublishEvent::HeadRead(TaggedHead::default()),
            Err(_err) => PublishEvent::StepFailed,
        },
        PublishAction::StoreBundle { hash } => match platform.put_object(body).await {
            Ok(stored) if stored == hash => PublishEvent::BundleStored,
            Ok(_) | Err(_) => PublishEvent::StepFailed,
        },
        PublishAction::SwapHead { tag, head } => {
            let condition = tag.map_or(Condition::Absent, |tag| Condition::Unchanged(tag.into()));
            match platform
                .write(HEAD_TABLE, HEAD_KEY, &head, &condition)
                .await
            {
                Ok(WriteResult::Done(_)) => PublishEvent::HeadSwapped,
                Ok(WriteResult::Conflict(_)) => PublishEvent::SwapRefused,
                Err(_err) => PublishEvent::StepFailed,
            }
        }
        PublishAction::Done(_) => PublishEvent::Tick,
    }
}

/// Returns an identifier that distinguishes this publish from all others.
fn publish_id() -> PublishId {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    PublishId(mix(
        now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32)
    ))
}
