//! Test helpers that run relaying VMs as separate processes against a stand-in of the platform.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod gated;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervildrift_standin::deployment::{self, Handle, Options};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Routes of the tests: name, kind and staleness bound in milliseconds.
pub const ROUTES: [(&str, &str, u64); 3] = [
    ("strict", "primary", 0),
    ("own", "read_your_writes", 2_500),
    ("loose", "bounded", 1_500),
];

const FIRST_PORT: u16 = 7_100;
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for a response; a statement may be delayed until a failover is over.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Relaying VM, which is killed when it is dropped.
pub struct Vm {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _gone = self.child.wait();
        for file in [&self.settings, &self.log] {
            let _gone = std::fs::remove_file(file);
        }
    }
}

/// Stand-in of the platform with relaying VMs.
pub struct Fleet {
    pub platform: Handle,
    pub vms: Vec<Vm>,
    /// Address of the store that VMs added from now on use.
    pub store_address: SocketAddr,
}

impl Fleet {
    /// Starts the stand-in, publishes the routes and starts VMs.
    pub async fn spawn(vms: usize, options: &Options) -> Self {
        Self::spawn_with(vms, options, "").await
    }

    /// Starts a fleet whose VMs have additional lines in their settings.
    pub async fn spawn_with(vms: usize, options: &Options, extra_settings: &str) -> Self {
        let platform = deployment::spawn(options).await.expect("a deployment");
        platform.configure(1, &ROUTES);
        let mut fleet = Self {
            store_address: platform.address,
            platform,
            vms: Vec::new(),
        };
        for _ in 0..vms {
            fleet.add_vm(extra_settings);
        }
        for vm in &fleet.vms {
            vm.await_ready(true).await;
        }
        fleet
    }

    /// Starts one more VM.
    pub fn add_vm(&mut self, extra_settings: &str) -> &Vm {
        self.add_vm_with_output(extra_settings, None)
    }

    /// Starts one more VM whose log goes to `output` instead of a file.
    pub fn add_vm_with_output(
        &mut self,
        extra_settings: &str,
        output: impl Into<Option<Stdio>>,
    ) -> &Vm {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        // No other process uses this loopback address, so parallel tests can't take its ports.
        let host = Ipv4Addr::new(127, 128 | (high & 63), low, number);
        let [callers, operators, peers] =
            [FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2].map(|port| SocketAddr::from((host, port)));
        let path = |kind: &str| {
            let name = format!("relay-{}-{number}.{kind}", std::process::id());
            std::env::temp_dir().join(name)
        };
        let (settings, log) = (path("yaml"), path("log"));
        let grace = if extra_settings.contains("grace_s") {
            ""
        } else {
            "grace_s: 3\n"
        };
        let vm = format!("vm-{number}");
        let text = format!(
            "vm: {vm}\nzone: north\nregions: {{north: isle}}\ncallers: \"{callers}\"\n\
             operators: \"{operators}\"\npeers: \"{peers}\"\nstore: \"{}\"\npromotions: \"{}\"\n{grace}{extra_settings}",
            self.store_address, self.platform.address
        );
        std::fs::write(&settings, text).expect("writes the settings");
        let file = std::fs::File::create(&log).expect("a log file");
        let output = output.into().unwrap_or_else(|| file.into());
        self.vms.push(Vm {
            child: spawn_relay(&settings, output),
            name: vm,
            callers,
            operators,
            peers,
            settings,
            log,
        });
        self.vms.last().expect("a VM was added")
    }
}

/// Starts a relaying VM.
fn spawn_relay(settings: &Path, output: Stdio) -> Child {
    let child = Command::new(env!("CARGO_BIN_EXE_chervildrift"))
        .args(["relay", "--config"])
        .arg(settings)
        .stdout(output)
        .stderr(Stdio::null())
        .spawn();
    child.expect("relay starts")
}

impl Vm {
    /// Waits until the VM reports that it is ready, or that it is not.
    pub async fn await_ready(&self, ready: bool) {
        let url = format!("http://{}/ready", self.operators);
        await_true("readiness", async || {
            let response = reqwest::get(&url).await;
            response.is_ok_and(|it| it.status().is_success() == ready)
        })
        .await;
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Kills the process and starts another one with the same settings.
    pub fn restart(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("the process ends");
        let log = std::fs::File::options().append(true).open(&self.log);
        self.child = spawn_relay(&self.settings, log.expect("a log file").into());
    }

    /// Waits for the end of the process and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }

    /// Returns the read end of the log of a VM that writes it to a pipe.
    pub const fn take_output(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    /// Returns the lines that the VM has logged.
    pub fn log(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(&self.log).expect("a log");
        let lines = text.lines().filter_map(|it| serde_json::from_str(it).ok());
        lines.collect()
    }

    /// Returns whether a line with this message has been logged.
    pub fn logged(&self, message: &str) -> bool {
        self.log().iter().any(|line| line["msg"] == message)
    }

    /// Opens a session.
    pub async fn session(&self, database: &str) -> Session {
        let mut session = Session::connect(self.callers).await;
        let response = session.send(&format!("START {database} tester")).await;
        assert_eq!(response.ready, "READY I -", "{response:?}");
        session
    }
}

/// Waits until a condition holds.
pub async fn await_true(problem: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "no {problem} in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Lines of a response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Rows without the word that they begin with.
    pub rows: Vec<String>,
    /// Line with the result; empty if there was none.
    pub result: String,
    /// Ready line that ends the response; empty if the connection ended.
    pub ready: String,
}

impl Response {
    /// Returns the error code of a failed response; empty otherwise.
    pub fn code(&self) -> &str {
        let rest = self.result.strip_prefix("ERROR ").unwrap_or_default();
        rest.split(' ').next().unwrap_or_default()
    }

    /// Returns whether an upstream ran the statement successfully.
    pub fn succeeded(&self) -> bool {
        self.result.starts_with("COMPLETE sig.")
    }
}

/// Session of a caller.
pub struct Session {
    reader: BufReader<TcpStream>,
}

impl Session {
    /// Connects without starting a session.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Sends a line and reads the response up to its end.
    pub async fn send(&mut self, line: &str) -> Response {
        let out = format!("{line}\r\n");
        let stream = self.reader.get_mut();
        stream.write_all(out.as_bytes()).await.expect("sent");
        self.read_response().await
    }

    /// Sends the beginning of a message and closes the connection.
    pub async fn send_unfinished(mut self, text: &str) {
        let stream = self.reader.get_mut();
        stream.write_all(text.as_bytes()).await.expect("sent");
    }

    /// Reads a response up to its end.
    pub async fn read_response(&mut self) -> Response {
        let mut response = Response::default();
        let read = async {
            while let Some(line) = self.read_line().await {
                if let Some(row) = line.strip_prefix("ROW ") {
                    response.rows.push(row.to_owned());
                } else if line.starts_with("READY ") {
                    response.ready = line;
                    break;
                } else {
                    response.result = line;
                }
            }
        };
        timeout(RESPONSE_TIMEOUT, read)
            .await
            .expect("a response in time");
        response
    }

    /// Reads a line up to CR LF and returns it without this ending; `None` at the end of the
    /// connection.
    async fn read_line(&mut self) -> Option<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            if self.reader.read_until(b'\n', &mut line).await.ok()? == 0 {
                return None;
            }
        }
        line.truncate(line.len() - 2);
        String::from_utf8(line).ok()
    }

    /// Runs a statement under a new id.
    pub async fn run(&mut self, text: &str) -> Response {
        self.send(&format!("QUERY {} {text}", unique_id())).await
    }
}

/// Returns an id that no other statement of the test uses.
pub fn unique_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed))
}
