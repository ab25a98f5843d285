//! Relaying VMs as separate processes, with settings like those of `deploy/relay.yaml`.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time in which a VM becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// First of the ports of a VM, below those of outgoing connections.
const FIRST_PORT: u16 = 7_440;

/// Folder that is removed when it is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder of this process.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}

/// What the VMs of a fleet have in common.
pub struct FleetSettings<'a> {
    /// Path of the program.
    pub program: &'a Path,
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address for promotion orders.
    pub promotions: SocketAddr,
    /// Memory of each VM, in MiB.
    pub memory_mb: usize,
    /// Descriptors of each VM.
    pub descriptors: usize,
}

/// Relaying VM, which is killed when it is dropped.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    operators: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns free addresses for the listeners of `count` VMs, three each.
///
/// Each VM has a loopback address of its own, so that no outgoing connection takes its ports.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let mut addresses = Vec::new();
    for vm in 1..=count {
        let host = Ipv4Addr::new(127, 64 | (high & 63), low, vm as u8);
        for port in FIRST_PORT..FIRST_PORT + 3 {
            let address = SocketAddr::from((host, port));
            // Fails if the port is in use.
            drop(TcpListener::bind(address)?);
            addresses.push(address);
        }
    }
    Ok(addresses)
}

/// Starts VMs and waits until all of them are ready.
pub async fn spawn_fleet(settings: &FleetSettings<'_>, count: usize) -> Result<Vec<Vm>, String> {
    let addresses = free_addresses(count).map_err(|err| err.to_string())?;
    let mut vms = Vec::new();
    for (index, ports) in addresses.chunks(3).enumerate() {
        let mut vm = Vm::create(settings, index, ports, &addresses[2..3])?;
        vm.start()?;
        vms.push(vm);
    }
    for vm in &vms {
        vm.await_ready().await?;
    }
    Ok(vms)
}

impl Vm {
    fn create(
        fleet: &FleetSettings<'_>,
        index: usize,
        ports: &[SocketAddr],
        seeds: &[SocketAddr],
    ) -> Result<Self, String> {
        let name = format!("front-{index}");
        let (callers, operators, peers) = (ports[0], ports[1], ports[2]);
        let (settings, log) = (
            fleet.folder.join(format!("{name}.yaml")),
            fleet.folder.join(format!("{name}.log")),
        );
        let text = format!(
            "vm: {name}\nzone: north\nregions: {{north: isle}}\ncallers: \"{callers}\"\n\
             operators: \"{operators}\"\npeers: \"{peers}\"\nseeds: [\"{}\"]\nstore: \"{}\"\n\
             promotions: \"{}\"\ngrace_s: 6\ndrain_ms: 7000\napply_ms: 4000\n\
             limits: {{memory_mb: {}, file_descriptors: {}}}\n\
             log: {{level: info, format: json}}\n",
            seeds[0], fleet.store, fleet.promotions, fleet.memory_mb, fleet.descriptors,
        );
        std::fs::write(&settings, text).map_err(|err| err.to_string())?;
        Ok(Self {
            name,
            callers,
            operators,
            program: fleet.program.to_owned(),
            settings,
            log,
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> Result<(), String> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|err| err.to_string())?;
        let child = Command::new(&self.program)
            .args(["relay", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|err| format!("{}: {err}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(Child::try_wait);
        matches!(ended, Some(Ok(Some(_))))
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn memory_kib(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    async fn await_ready(&self) -> Result<(), String> {
        let start = Instant::now();
        while !self.is_ready().await {
            if start.elapsed() > READY_TIMEOUT {
                return Err(format!("{} isn't ready", self.name));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.operators).await.ok()?;
            let request = "GET /ready HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await.ok()?;
            Some(response.starts_with(b"HTTP/1.1 200"))
        };
        timeout(Duration::from_secs(1), ask).await.ok().flatten() == Some(true)
    }
}
