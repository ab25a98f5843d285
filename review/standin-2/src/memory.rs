//! Sessions with large variables on a fleet whose VMs borrow connections from one another.
//!
//! The case plays the platform's part: it ends a process that exceeds the memory of its machine and
//! starts it again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chervildrift_standin::deployment::{self, Options};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::client::Session;
use crate::record::Record;
use crate::vm::{FleetSettings, TempFolder, Vm, spawn_fleet};
use crate::{Outcome, Setup};

/// Machines of lustre-quotes with its spare ones.
const VMS: usize = 12;

/// Memory of a machine there, in MiB.
const MEMORY_MB: usize = 260;

/// Descriptors of a machine there.
const DESCRIPTORS: usize = 4_200;

/// Connections of a backend there.
const CONNECTIONS: usize = 39;

/// Slots of a backend there.
const SLOTS: u64 = 3;

/// Sessions at each VM; all VMs together have a few hundred, as there.
const SESSIONS: usize = 40;

/// Length of the variable of each session; its message is within 1 MiB.
const VALUE_BYTES: usize = 900_000;

/// Length of the variable without the disruption.
const ORDINARY_BYTES: usize = 100;

/// Ends of one process that the rule allows on a machine.
const ALLOWED_ENDS: usize = 2;

/// Machines on which the rule allows more ends: below a tenth of the machines, and below two.
const ALLOWED_MACHINES: usize = 1;

/// Time in which the VMs learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Time for which the sessions act.
const CROWD_TIME: Duration = Duration::from_secs(75);

/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Interval at which the memory of each process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Counts of what the sessions sent and got, by name.
type Counts = Arc<Mutex<BTreeMap<String, u64>>>;

/// Runs the case.
pub async fn run(setup: &Setup, record: &Record) -> Result<Outcome, String> {
    let options = Options {
        max_connections: CONNECTIONS,
        ..Options::default()
    };
    let platform = deployment::spawn(&options).await;
    let platform = platform.map_err(|err| err.to_string())?;
    for (id, mut row) in platform.server_rows() {
        row["slots"] = SLOTS.into();
        platform.store.put("servers", &id, row.to_string().as_bytes());
    }
    platform.configure(1, &[("own", "read_your_writes", 2_500)]);
    let folder = TempFolder::create().map_err(|err| err.to_string())?;
    let settings = FleetSettings {
        program: &setup.program,
        folder: &folder.0,
        store: platform.address,
        promotions: platform.address,
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
    };
    let mut vms = spawn_fleet(&settings, VMS).await?;
    record.line(&format!("{VMS} VMs are ready, {MEMORY_MB} MiB each"));
    sleep(SETTLE_TIME).await;
    let bytes = if setup.trouble { VALUE_BYTES } else { ORDINARY_BYTES };
    record.line(&format!(
        "{SESSIONS} sessions at each VM: SET of {bytes} bytes once, then READ again and again"
    ));
    let counts = Counts::default();
    let mut sessions = JoinSet::new();
    for vm in &vms {
        for _ in 0..SESSIONS {
            sessions.spawn(use_sessions(vm.callers, bytes, Arc::clone(&counts)));
        }
    }
    let ends = watch(&mut vms, record).await?;
    sessions.abort_all();
    drop(vms);
    for (name, count) in counts.lock().map_err(|err| err.to_string())?.iter() {
        record.line(&format!("{count:8} x {name}"));
    }
    let machines = ends.iter().filter(|it| **it > ALLOWED_ENDS).count();
    record.line(&format!(
        "ends by machine: {ends:?}; machines with three or more: {machines} of {VMS}"
    ));
    Ok(if machines > ALLOWED_MACHINES {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Watches the memory of the VMs until the rule is broken or the time is over; returns how often the
/// process of each one ended.
async fn watch(vms: &mut [Vm], record: &Record) -> Result<Vec<usize>, String> {
    let start = Instant::now();
    let mut ends = vec![0; vms.len()];
    let mut peaks = vec![0; vms.len()];
    let mut restarts: Vec<Option<Instant>> = vec![None; vms.len()];
    while start.elapsed() < CROWD_TIME
        && ends.iter().filter(|it| **it > ALLOWED_ENDS).count() <= ALLOWED_MACHINES
    {
        for (index, vm) in vms.iter_mut().enumerate() {
            if let Some(due) = restarts[index] {
                if Instant::now() >= due {
                    vm.start()?;
                    restarts[index] = None;
                }
                continue;
            }
            let memory = vm.memory_kib().unwrap_or_default();
            peaks[index] = memory.max(peaks[index]);
            let exceeds = memory > MEMORY_MB << 10;
            if exceeds || vm.has_ended() {
                let cause = if exceeds { "killed for its memory" } else { "ended" };
                record.line(&format!("{} {cause}: {} MiB", vm.name, memory >> 10));
                vm.kill();
                ends[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    let peaks: Vec<usize> = peaks.iter().map(|it| it >> 10).collect();
    record.line(&format!("most memory by machine, in MiB: {peaks:?}"));
    Ok(ends)
}

/// Opens one session after another; each sets its variable and reads until it is refused or ends.
async fn use_sessions(address: SocketAddr, bytes: usize, counts: Counts) {
    let value = "x".repeat(bytes);
    loop {
        if let Some(mut session) = Session::open(address, "own").await {
            count(&counts, "session opened");
            let answer = session.run(&format!("SET note {value}")).await;
            let mut goes_on = note(&counts, "SET", answer);
            while goes_on {
                let answer = session.run("READ item").await;
                goes_on = note(&counts, "READ", answer);
            }
        } else {
            count(&counts, "session refused");
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// Counts an answer; returns whether the session may go on.
fn note(counts: &Counts, verb: &str, answer: Option<crate::client::Answer>) -> bool {
    let Some(answer) = answer else {
        count(counts, &format!("{verb} without an answer"));
        return false;
    };
    if answer.succeeded() {
        count(counts, &format!("{verb} answered"));
        return true;
    }
    count(counts, &format!("{verb} refused with {}", answer.code()));
    // After an error in response to SET a client closes its session.
    verb != "SET"
}

fn count(counts: &Counts, name: &str) {
    if let Ok(mut counts) = counts.lock() {
        *counts.entry(name.to_owned()).or_default() += 1;
    }
}
