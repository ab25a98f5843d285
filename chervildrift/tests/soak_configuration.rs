//! Soak of relaying VMs: configurations change all the while, and faults come in series and overlap.
//!
//! VMs are stopped, killed, suspended and restarted, and the store leaves some of their reads or all
//! open connections without a response. Callers use their connections until these end. Checked:
//!
//! - A VM without a fault of its own has each configuration in force in time.
//! - A session reads what it has written.
//!
//! `SOAK_SEED` and `SOAK_SECONDS` choose another run. The seed decides the faults and their order;
//! the processes run in real time, so a run is not repeated exactly.

mod relay_fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervildrift_core::rng::Rng;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use relay_fleet::gated::GatedFleet;

/// VMs of one zone; five of them receive the views of observers.
const VMS: usize = 12;

/// Time in which a configuration must be in force; the default of the settings.
const APPLY_TIME: Duration = Duration::from_secs(4);

/// Time after a fault in which a VM need not keep the bound; as long as the bound, like on the
/// installations with most VMs.
const STABILITY_TIME: Duration = APPLY_TIME;

const TICK: Duration = Duration::from_millis(100);

/// Time between two configurations.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(700);

/// Number of the newest routes that a configuration holds; older ones are dropped.
const ROUTES: u64 = 10;

/// Timeout of a response, beyond any hold for a leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two operations of a session.
const OPERATION_PAUSE: Duration = Duration::from_millis(20);

/// Fault of one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Kill,
    Stop,
    Suspend,
    /// Reads of a table get no response.
    Mute(&'static str),
}

/// What a VM suffers now, or did last.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    fault: Fault,
    until: Instant,
    is_over: bool,
}

struct Soak {
    gated: GatedFleet,
    rng: Rng,
    started: Instant,
    /// Last trouble of each VM.
    troubles: Vec<Option<Trouble>>,
    /// Time at which all open connections to the store last fell silent.
    silenced_at: Option<Instant>,
    version: u64,
    /// Versions to check, and when they were published.
    unchecked: Vec<(u64, Instant)>,
    checks: u64,
    late: Vec<String>,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let gated = GatedFleet::spawn_with(VMS).await;
        Self {
            gated,
            rng: Rng::new(seed),
            started: Instant::now(),
            troubles: vec![None; VMS],
            silenced_at: None,
            version: 1,
            unchecked: Vec::new(),
            checks: 0,
            late: Vec::new(),
        }
    }

    /// Publishes a configuration that adds a route and drops one.
    fn publish(&mut self) {
        self.version += 1;
        let first = self.version.saturating_sub(ROUTES - 1).max(2);
        let names: Vec<String> = (first..=self.version).map(route).collect();
        let mut routes = relay_fleet::ROUTES.to_vec();
        routes.extend(names.iter().map(|name| (name.as_str(), "primary", 0)));
        self.gated.fleet.platform.configure(self.version, &routes);
        self.unchecked.push((self.version, Instant::now()));
    }

    /// Begins a fault at a random VM, which may suffer from another one already, or silences the
    /// connections of all.
    fn begin_fault(&mut self) {
        if self.rng.below(6) == 0 {
            self.gated.fleet.platform.store.silence_connections();
            self.silenced_at = Some(Instant::now());
            return;
        }
        let vm = self.rng.below(VMS as u64) as usize;
        self.end_fault(vm);
        let tables = ["op", "servers", "chervildrift"];
        let fault = match self.rng.below(6) {
            0 => Fault::Kill,
            1 => Fault::Stop,
            2 | 3 => Fault::Suspend,
            _ => Fault::Mute(tables[self.rng.below(3) as usize]),
        };
        let span = Duration::from_millis(500 + self.rng.below(6_000));
        match fault {
            Fault::Kill => self.gated.fleet.vms[vm].signal("KILL"),
            Fault::Stop => self.gated.fleet.vms[vm].signal("TERM"),
            Fault::Suspend => self.gated.fleet.vms[vm].signal("STOP"),
            Fault::Mute(table) => self.gated.gates[vm].mute_reads(table),
        }
        self.troubles[vm] = Some(Trouble {
            fault,
            until: Instant::now() + span,
            is_over: false,
        });
    }

    fn end_fault(&mut self, vm: usize) {
        let Some(trouble) = self.troubles[vm].as_mut().filter(|it| !it.is_over) else {
            return;
        };
        trouble.is_over = true;
        trouble.until = Instant::now();
        match trouble.fault {
            Fault::Kill | Fault::Stop => self.gated.fleet.vms[vm].restart(),
            Fault::Suspend => self.gated.fleet.vms[vm].signal("CONT"),
            Fault::Mute(_) => self.gated.gates[vm].unmute_reads(),
        }
    }

    fn end_due_faults(&mut self) {
        let now = Instant::now();
        for vm in 0..VMS {
            if self.troubles[vm].is_some_and(|it| it.until <= now) {
                self.end_fault(vm);
            }
        }
    }

    /// Returns whether a VM has to keep the bound now.
    fn is_bound(&self, vm: usize) -> bool {
        let is_calm = |at: Option<Instant>| at.is_none_or(|at| at.elapsed() >= STABILITY_TIME);
        let trouble = self.troubles[vm];
        trouble.is_none_or(|it| it.is_over)
            && is_calm(trouble.map(|it| it.until))
            && is_calm(self.silenced_at)
    }

    /// Checks the configurations that must be in force by now.
    async fn check_due(&mut self) {
        while let Some((version, at)) = self.unchecked.first().copied()
            && at.elapsed() > APPLY_TIME
        {
            self.unchecked.remove(0);
            for vm in (0..VMS).filter(|vm| self.is_bound(*vm)).collect::<Vec<_>>() {
                let address = self.gated.fleet.vms[vm].callers;
                let added = has_route(address, &route(version)).await;
                let dropped = has_route(address, &route(version.saturating_sub(ROUTES))).await;
                self.checks += 1;
                if (added, dropped) != (Some(true), Some(false)) {
                    let name = &self.gated.fleet.vms[vm].name;
                    self.late.push(format!(
                        "{:.1} s: {name}, version {version} after {:.1} s: added route {added:?}, \
                         dropped route {dropped:?}",
                        self.started.elapsed().as_secs_f64(),
                        at.elapsed().as_secs_f64(),
                    ));
                }
            }
        }
    }

    /// Runs for some time.
    async fn run(&mut self, span: Duration) {
        let mut published_at = Instant::now();
        let mut next_fault = Instant::now();
        while self.started.elapsed() < span {
            sleep(TICK).await;
            self.end_due_faults();
            if next_fault.elapsed() > Duration::ZERO {
                self.begin_fault();
                next_fault = Instant::now() + Duration::from_millis(self.rng.below(2_500));
            }
            if published_at.elapsed() >= PUBLISH_INTERVAL {
                published_at = Instant::now();
                self.publish();
            }
            self.check_due().await;
        }
        (0..VMS).for_each(|vm| self.end_fault(vm));
    }
}

fn route(version: u64) -> String {
    format!("route{version}")
}

/// Connection of a caller; a response that doesn't arrive ends its use.
struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a line and returns the lines of the response.
    async fn exchange(&mut self, line: &str) -> Option<Vec<String>> {
        let exchange = async {
            let out = format!("{line}\r\n");
            self.reader.get_mut().write_all(out.as_bytes()).await.ok()?;
            let mut lines: Vec<String> = Vec::new();
            loop {
                let mut line = String::new();
                self.reader.read_line(&mut line).await.ok()?;
                let line = line.strip_suffix("\r\n")?;
                lines.push(line.to_owned());
                if line.starts_with("READY ") {
                    return Some(lines);
                }
                if line.starts_with("ERROR NODATABASE") {
                    return Some(lines);
                }
            }
        };
        timeout(RESPONSE_TIMEOUT, exchange).await.ok()?
    }
}

/// Returns whether a VM has a route; `None` if it gives no response.
async fn has_route(address: SocketAddr, database: &str) -> Option<bool> {
    let mut caller = Caller::connect(address).await?;
    let lines = caller.exchange(&format!("START {database} soak")).await?;
    Some(lines.last()?.starts_with("READY "))
}

/// Writes and reads in one session after the other; returns when a read lacks its session's write.
async fn run_sessions(address: SocketAddr, operations: Arc<AtomicU64>) -> String {
    loop {
        if let Some(problem) = run_session(address, &operations).await {
            return problem;
        }
        sleep(TICK).await;
    }
}

/// Uses a session until it ends or fails; returns a read that lacks its session's write.
async fn run_session(address: SocketAddr, operations: &AtomicU64) -> Option<String> {
    let item = relay_fleet::unique_id();
    let mut caller = Caller::connect(address).await?;
    caller.exchange("START own soak").await?;
    for round in 0_u64.. {
        let id = relay_fleet::unique_id();
        let write = format!("QUERY {id} WRITE {item} {round}");
        let written = caller.exchange(&write).await?;
        if !written.first()?.starts_with("COMPLETE sig.") {
            return None;
        }
        let id = relay_fleet::unique_id();
        let read = caller.exchange(&format!("QUERY {id} READ {item}")).await?;
        let succeeded = read.iter().any(|line| line.starts_with("COMPLETE sig."));
        let expected = format!("ROW {round}");
        if succeeded && *read.first()? != expected {
            return Some(format!("{address}: read {read:?} after {expected}"));
        }
        operations.fetch_add(1, Ordering::Relaxed);
        sleep(OPERATION_PAUSE).await;
    }
    None
}

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |it| it.parse().expect("a whole number"))
}

/// Guards against configurations in force too late, and reads that lack their session's write,
/// under faults that overlap.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults() {
    let seed = from_environment("SOAK_SEED", 1);
    let span = Duration::from_secs(from_environment("SOAK_SECONDS", 40));
    let mut soak = Soak::start(seed).await;
    let operations = Arc::new(AtomicU64::new(0));
    let mut sessions = JoinSet::new();
    for vm in &soak.gated.fleet.vms {
        sessions.spawn(run_sessions(vm.callers, Arc::clone(&operations)));
    }
    soak.run(span).await;
    let stale: Vec<String> = std::iter::from_fn(|| sessions.try_join_next())
        .map(|it| it.expect("a session's task"))
        .collect();
    println!(
        "seed {seed}: {} configurations, {} checks, {} operations, late: {:?}, stale: {stale:?}",
        soak.version,
        soak.checks,
        operations.load(Ordering::Relaxed),
        soak.late
    );
    assert!(soak.late.is_empty() && stale.is_empty(), "seed {seed}");
    assert!(soak.checks > 0 && operations.load(Ordering::Relaxed) > 0);
}
