//! Processes of the project, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;

/// Zones and their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("hamilton", "waikato"),
    ("ashburton", "canterbury"),
    ("gore", "southland"),
];

/// Addresses of the platform's store and of its promotions.
#[derive(Clone, Copy)]
pub struct Platform {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// Processes that have been started and not ended yet, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are still running.
pub fn kill_all() {
    for id in RUNNING.lock().expect("processes").drain(..) {
        let _killed = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// Process of the project, which is killed when it is dropped.
pub struct Vm {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub started: Instant,
}

impl Vm {
    /// Starts a process on free loopback ports, with the settings that the template makes.
    pub fn start(index: usize, folder: &Path, platform: Platform, seeds: &[SocketAddr]) -> Self {
        let (zone, _) = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let [callers, operators, peers] = free_addresses();
        let zones = ZONES.into_iter().chain([("matamata", "waikato")]);
        let regions = zones.map(|(zone, region)| format!("{zone:?}: {region:?}"));
        let regions: Vec<String> = regions.collect();
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let text = format!(
            "vm: {name:?}\nzone: {zone:?}\nregions: {{{}}}\ncallers: \"{callers}\"\n\
             operators: \"{operators}\"\npeers: \"{peers}\"\nseeds: [{}]\nstore: \"{}\"\n\
             promotions: \"{}\"\ngrace_s: 6\ndrain_ms: 7000\napply_ms: 4000\n\
             log:\n  level: info\n  format: json\n",
            regions.join(","),
            seeds.join(","),
            platform.store,
            platform.cloud,
        );
        let settings = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text).expect("settings are written");
        let output = File::create(&log).expect("a log file");
        let errors = output.try_clone().expect("a log file");
        let child = Command::new("target/release/chervildrift")
            .args(["relay", "--config"])
            .arg(&settings)
            .env("CHERVILDRIFT_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        let child = child.expect("the relay starts");
        RUNNING.lock().expect("processes").push(child.id());
        Self {
            child,
            settings,
            log,
            name,
            callers,
            operators,
            peers,
            started: Instant::now(),
        }
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        http::get_status(self.operators, "/ready") == Some(200)
    }

    /// Waits until the process reports that it is ready; returns false if it takes too long.
    pub fn await_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
        let id = self.child.id();
        RUNNING.lock().expect("processes").retain(|it| *it != id);
        for file in [&self.settings, &self.log] {
            let _removed = std::fs::remove_file(file);
        }
    }
}

/// Returns loopback addresses with ports that are free now.
fn free_addresses() -> [SocketAddr; 3] {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let listeners = [(); 3].map(bind);
    listeners.map(|it| it.local_addr().expect("an address"))
}
