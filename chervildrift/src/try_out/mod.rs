//! The `try` command, which runs a platform, a database group and two VMs in one process.

mod lag;

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::config::{
    Bundle, Callers, Credential, Keys, Log, LogFormat, LogLevel, Operators, Peers, Settings, Stop,
    UpstreamLogin, check_operator_file,
};
use chervildrift_core::generation::Outcome;
use chervildrift_core::rng::{Rng, mix};
use chervildrift_standin::{platform as standin_platform, upstream as standin_upstream};
use clap::Args;
use quick_error::quick_error;
use sha2::{Digest, Sha256};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use crate::control_store::{self, Platform};
use crate::logs::Logs;
use crate::publish::publish;
use crate::serve;

/// Service that the demo fleet declares.
const SERVICE: &str = "demo";

/// Replication lag at the start.
const INITIAL_LAG_MS: u64 = 20;

/// Time limit for both VMs to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

quick_error! {
    /// Error of running the demo fleet.
    #[derive(Debug)]
    pub enum Error {
        /// A stand-in of an upstream did not start.
        Upstream(err: standin_upstream::Error) {
            display("stand-in upstream: {}", err)
            source(err)
            from()
        }
        /// The stand-in of the platform did not start.
        Platform(err: standin_platform::Error) {
            display("stand-in platform: {}", err)
            source(err)
            from()
        }
        /// The platform client can't be created.
        Adapter(err: control_store::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// A VM did not start.
        Start(err: serve::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The declaration is not valid.
        Declaration(finding: chervildrift_core::config::Finding) {
            display("embedded declaration: {}", finding)
        }
        /// The bundle can't be built.
        Bundle(err: chervildrift_core::config::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The configuration was not published.
        Unpublished(outcome: Outcome) {
            display("publishing failed: {:?}", outcome)
        }
        /// The VMs did not become ready.
        NotReady {
            display("the VMs did not become ready within {READY_TIMEOUT:?}")
        }
        /// A listener, runtime or signal failed.
        Io(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// Options of `try`.
#[derive(Debug, Args)]
pub struct Options {
    /// Port of the first VM's callers' listener; the second one has the next port.
    #[arg(long, default_value_t = 7801)]
    port: u16,
    /// Lowest level that is logged.
    #[arg(long, default_value = "warning")]
    log: String,
}

/// Running demo fleet, which stops when it is dropped.
#[derive(Debug)]
pub struct DemoFleet {
    upstreams: Vec<standin_upstream::Handle>,
    platform: standin_platform::Handle,
    vms: Vec<serve::Handle>,
    credential: String,
    /// Loggers of the VMs, which write their queued lines when they are dropped.
    #[expect(dead_code, reason = "held until the end")]
    logs: Vec<Logs>,
}

/// Runs the demo fleet until Ctrl-C or SIGTERM.
pub fn run(options: &Options) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let fleet = DemoFleet::spawn(options.port, parse_level(&options.log)).await?;
        let lag = lag::bind(fleet.lag_setter())?;
        let mut term = signal(SignalKind::terminate())?;
        println!("{}", fleet.instructions(lag.address()));
        tokio::select! {
            pressed = tokio::signal::ctrl_c() => pressed?,
            _ = term.recv() => {}
        }
        println!("stopping; requests in flight are answered first");
        lag.stop();
        fleet.stop().await;
        Ok(())
    })
}

fn parse_level(text: &str) -> LogLevel {
    match text {
        "debug" => LogLevel::Debug,
        "info" => LogLevel::Info,
        "error" => LogLevel::Error,
        _ => LogLevel::Warning,
    }
}

impl DemoFleet {
    /// Starts all parts and waits until both VMs accept requests; port 0 selects free ports.
    pub async fn spawn(port: u16, level: LogLevel) -> Result<Self, Error> {
        let upstreams = spawn_group()?;
        let platform = standin_platform::spawn(&standin_platform::Options::default())?;
        let mut rng = Rng::new(mix(u64::from(std::process::id())) ^ now_nanos());
        let credential = format!("{:016x}{:016x}", rng.next(), rng.next());
        let keys = Keys {
            fleet_hex: random_hex(&mut rng),
            session_hex: random_hex(&mut rng),
        };
        publish_declaration(platform.address(), &upstreams).await?;
        let mut vms: Vec<serve::Handle> = Vec::new();
        let mut logs = Vec::new();
        for index in 0..2_u16 {
            let seeds = vms.iter().map(serve::Handle::peers).collect();
            let settings = vm_settings(index, port, &platform, &credential, &keys, seeds);
            let log = Log {
                level,
                format: LogFormat::Terminal,
            };
            let vm_logs = Logs::new(log, settings.vm.as_str());
            vms.push(serve::spawn(settings, None, vm_logs.logger().clone())?);
            logs.push(vm_logs);
        }
        let fleet = Self {
            upstreams,
            platform,
            vms,
            credential,
            logs,
        };
        fleet.await_ready().await?;
        Ok(fleet)
    }

    /// Returns the addresses at which the VMs listen for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(serve::Handle::callers).collect()
    }

    /// Returns the addresses at which the VMs listen for operators.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(serve::Handle::operators).collect()
    }

    /// Returns the upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &[standin_upstream::Handle] {
        &self.upstreams
    }

    /// Returns the platform.
    #[must_use]
    pub const fn platform(&self) -> &standin_platform::Handle {
        &self.platform
    }

    /// Returns the bearer credential of the demo caller.
    #[must_use]
    pub fn credential(&self) -> &str {
        &self.credential
    }

    /// Stops the VMs gracefully, then the stand-ins; returns whether all requests were answered.
    pub async fn stop(self) -> bool {
        let mut graceful = true;
        for vm in self.vms {
            graceful &= vm.stop().await;
        }
        for upstream in self.upstreams {
            upstream.stop().await;
        }
        self.platform.stop().await;
        graceful
    }

    fn lag_setter(&self) -> lag::LagSetter {
        let addresses: Vec<SocketAddr> = self
            .upstreams
            .iter()
            .map(standin_upstream::Handle::address)
            .collect();
        lag::lag_setter(addresses)
    }

    async fn await_ready(&self) -> Result<(), Error> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for address in self.operators() {
            loop {
                let answer = reqwest::get(format!("http://{address}/ready")).await;
                if answer.is_ok_and(|it| it.status().is_success()) {
                    break;
                }
                if tokio::time::Instant::now() > deadline {
                    return Err(Error::NotReady);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    fn instructions(&self, lag: SocketAddr) -> String {
        let callers = self.callers();
        let operators = self.operators();
        let curl = format!(
            "curl -s -b session.txt -c session.txt -H 'Authorization: Bearer {}'",
            self.credential
        );
        let [first, second] = [callers[0], callers[1]];
        format!(
            "Two VMs serve the service `{SERVICE}`; Ctrl-C stops them gracefully.\n\n\
             # make a table, then write a row through the first VM\n\
             {curl} http://{first}/v1/{SERVICE}/save -d '{{\"key\":\"a\",\"statements\":[\
             {{\"sql\":\"create table note (id text primary key, body text)\"}}]}}'\n\
             {curl} http://{first}/v1/{SERVICE}/save -d '{{\"key\":\"a\",\"statements\":[\
             {{\"sql\":\"insert into note values ($1, $2)\",\"params\":[\"n1\",\"hello\"]}}]}}'\n\n\
             # read it through the second VM; the session is in session.txt\n\
             {curl} http://{second}/v1/{SERVICE}/list -d '{{\"key\":\"a\",\"statements\":[\
             {{\"sql\":\"select id, body from note\"}}]}}'\n\n\
             # make the replicas lag by a minute, then write and read again\n\
             curl -s -X POST http://{lag}/lag/60000\n\
             {curl} http://{first}/v1/{SERVICE}/save -d '{{\"key\":\"a\",\"statements\":[\
             {{\"sql\":\"insert into note values ($1, $2)\",\"params\":[\"n2\",\"again\"]}}]}}'\n\
             {curl} http://{second}/v1/{SERVICE}/list -d '{{\"key\":\"a\",\"statements\":[\
             {{\"sql\":\"select id, body from note\"}}]}}'\n\n\
             # metrics and service-level burn\n\
             curl -s http://{}/metrics\n\
             chervildrift report burn --operators {} {}\n",
            operators[0], operators[0], operators[1]
        )
    }
}

fn spawn_group() -> Result<Vec<standin_upstream::Handle>, Error> {
    let lag = Duration::from_millis(INITIAL_LAG_MS);
    let primary = standin_upstream::spawn(standin_upstream::Options::default())?;
    let address = primary.address();
    let mut upstreams = vec![primary];
    for _ in 0..2 {
        let options = standin_upstream::Options {
            apply_lag: lag,
            ..standin_upstream::Options::replica(address)
        };
        upstreams.push(standin_upstream::spawn(options)?);
    }
    Ok(upstreams)
}

fn declaration_yaml(upstreams: &[standin_upstream::Handle]) -> String {
    let upstream_line = |(index, it): (usize, &standin_upstream::Handle)| {
        format!(
            "      - {{name: demo-{index}, address: \"{}\", zone: local, slots: 5, \
             connections: 30}}\n",
            it.address()
        )
    };
    let upstreams: String = upstreams.iter().enumerate().map(upstream_line).collect();
    format!(
        "service: {SERVICE}\ninstances:\n  - name: demo\n    upstreams:\n{upstreams}kinds:\n  \
         - {{name: save, rank: urgent, access: write, deadline_ms: 5000, \
         objective: {{target_percent: 99.9, within_ms: 500}}}}\n  \
         - {{name: look, rank: routine, access: read, deadline_ms: 5000}}\n  \
         - {{name: list, rank: bulk, access: read, deadline_ms: 5000, max_age_ms: 120000, \
         objective: {{target_percent: 99, within_ms: 1000}}}}\n"
    )
}

async fn publish_declaration(
    platform: SocketAddr,
    upstreams: &[standin_upstream::Handle],
) -> Result<(), Error> {
    let declaration = check_operator_file(&declaration_yaml(upstreams))
        .map_err(|mut findings| Error::Declaration(findings.remove(0)))?;
    let body = Bundle::collect([declaration])?.encode()?;
    let platform = Platform::open(platform, control_store::Limits::default())?;
    match publish(&platform, "try", None, &body).await {
        Outcome::Published { .. } => Ok(()),
        other => Err(Error::Unpublished(other)),
    }
}

fn vm_settings(
    index: u16,
    port: u16,
    platform: &standin_platform::Handle,
    credential: &str,
    keys: &Keys,
    seeds: Vec<SocketAddr>,
) -> Settings {
    let loopback = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let callers_port = if port == 0 { 0 } else { port + index };
    Settings {
        vm: format!("vm-{}", index + 1).into(),
        zone: "local".into(),
        callers: Callers {
            listen: loopback(callers_port),
            threads: 2,
            connections: 1_000,
            receive_ms: 5_000,
            idle_ms: 5_000,
            unread_ms: 30_000,
            memory_mb: 512,
        },
        operators: Operators {
            listen: loopback(0),
        },
        peers: Peers {
            listen: loopback(0),
            seeds,
        },
        platform: chervildrift_core::config::Platform {
            address: platform.address(),
        },
        keys: keys.clone(),
        credentials: vec![Credential {
            caller: "demo-caller".into(),
            service: SERVICE.into(),
            sha256_hex: hex::encode(Sha256::digest(credential)),
        }],
        upstreams: UpstreamLogin::default(),
        log: Log::default(),
        stop: Stop {
            ready_ms: 50,
            drain_ms: 5_000,
        },
    }
}

fn random_hex(rng: &mut Rng) -> String {
    let words: Vec<String> = (0..4).map(|_| format!("{:016x}", rng.next())).collect();
    words.concat()
}

fn now_nanos() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_nanos() as u64
}
