//! Publishing of operators' files as one configuration.

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

use crate::control_store::{self, Condition, Platform, Written};
use crate::declare::{self, collect};
use crate::serve::{HEAD_KEY, HEAD_TABLE};

/// Exit code of a publish that did not take effect.
const FAILURE: u8 = 2;

/// Period at which the publisher looks whether to try again.
const TICK: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a publish could not be tried.
    #[derive(Debug)]
    pub enum Error {
        /// The files can't be collected.
        Declare(err: declare::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The files make no bundle.
        Bundle(err: chervildrift_core::config::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The platform adapter can't be opened.
        Platform(err: control_store::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// A runtime could not be started.
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
    /// Operators' files, or folders in which files named `chervildrift.yaml` are looked for.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Address of the platform.
    #[arg(long)]
    platform: SocketAddr,
    /// Name of the operator, which the loser of a race is told.
    #[arg(long)]
    author: String,
    /// Generation that the files were made for; the publish loses if another one is in force.
    #[arg(long)]
    expect: Option<u64>,
}

/// Publishes the files and tells how it ended.
pub fn run(options: &Options) -> Result<ExitCode, Error> {
    let collected = collect(&options.paths)?;
    for (path, finding) in &collected.findings {
        println!("{}:{finding}", path.display());
    }
    if !collected.findings.is_empty() {
        println!("nothing was published");
        return Ok(ExitCode::from(FAILURE));
    }
    // An empty bundle would take every service away from its callers.
    if collected.declarations.is_empty() {
        return Err(declare::Error::Empty.into());
    }
    let body = Bundle::collect(collected.declarations)?.encode()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let outcome = runtime.block_on(async {
        let platform = Platform::open(options.platform, control_store::Limits::default())?;
        Ok::<_, Error>(publish(&platform, &options.author, options.expect, &body).await)
    })?;
    Ok(tell(&outcome))
}

fn tell(outcome: &Outcome) -> ExitCode {
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
            ExitCode::from(FAILURE)
        }
        Outcome::Unknown { id } => {
            println!(
                "unknown: the platform did not answer; the head record names publish {id} if it \
                 took effect"
            );
            ExitCode::from(FAILURE)
        }
    }
}

/// Publishes a bundle.
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
            Some(action) => perform(platform, action, body).await,
            None => {
                tokio::time::sleep(TICK).await;
                PublishEvent::Tick
            }
        };
        actions = publisher.handle(Time::default() + start.elapsed(), event);
    }
}

async fn perform(platform: &Platform, action: PublishAction, body: &[u8]) -> PublishEvent {
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
                Ok(Written::Done(_)) => PublishEvent::HeadSwapped,
                Ok(Written::Conflict(_)) => PublishEvent::SwapRefused,
                Err(_err) => PublishEvent::StepFailed,
            }
        }
        PublishAction::Done(_) => PublishEvent::Tick,
    }
}

/// Returns a number that tells this publish from every other one.
fn publish_id() -> PublishId {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    PublishId(mix(
        now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32)
    ))
}
