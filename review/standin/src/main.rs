//! Stand-ins of the platform, the databases and the clients, and the cases of the review.
//!
//! `review_standin CASE RECORD` runs a case against the relay in `target/release` and exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod cases;
mod client;
mod database;
mod http;
mod json;
mod record;
mod store;
mod vm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use self::database::{Group, Shape};
use self::http::Request;
use self::record::Record;
use self::store::Store;
use self::vm::{Platform, Vm};

/// Platform, databases and processes of one case.
pub struct Fleet {
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub record: Arc<Record>,
    pub platform: Platform,
    pub vms: Vec<Vm>,
    pub trouble: bool,
    folder: PathBuf,
}

/// Routes of the operator's configuration: database name, kind, staleness bound, time-out,
/// response-time goal and priority.
const ROUTES: [(&str, &str, u64, u64, u64, u8); 3] = [
    ("strict", "primary", 0, 1_000, 800, 0),
    ("loose", "bounded", 1_500, 3_000, 1_200, 1),
    ("own", "read_your_writes", 2_500, 1_000, 3_000, 2),
];

impl Fleet {
    /// Starts the platform, three databases and `count` processes, and waits until all are ready.
    fn start(
        count: usize,
        record: &Path,
        shape: Shape,
        cloud: impl Fn(&Request, &Arc<Group>) -> u16 + Send + Sync + 'static,
    ) -> Option<Self> {
        let record = Arc::new(Record::create(record));
        let (store, store_address) = Store::start();
        store.put("op", "config", &configuration(shape));
        let group = Group::start(&store, &record, shape);
        let databases = Arc::clone(&group);
        let cloud = http::serve(move |request| (cloud(request, &databases), String::new()));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let mut fleet = Self {
            store,
            group,
            record,
            platform: Platform {
                store: store_address,
                cloud,
            },
            vms: Vec::new(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            folder,
        };
        fleet
            .record
            .line(&format!("case begins, trouble: {}", fleet.trouble));
        for _ in 0..count {
            fleet.add_vm();
        }
        let ready = fleet.vms.iter().all(Vm::await_ready);
        fleet
            .record
            .line(&format!("{count} processes started, all ready: {ready}"));
        ready.then_some(fleet)
    }

    /// Starts one more process.
    pub fn add_vm(&mut self) -> &Vm {
        let seeds: Vec<_> = self.vms.iter().take(3).map(|it| it.peers).collect();
        let vm = Vm::start(self.vms.len(), &self.folder, self.platform, &seeds);
        self.record.line(&format!("process {} started", vm.name));
        self.vms.push(vm);
        &self.vms[self.vms.len() - 1]
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.clear();
        let _removed = std::fs::remove_dir(&self.folder);
    }
}

fn configuration(shape: Shape) -> String {
    let routes = ROUTES.map(|(database, kind, staleness, timeout, goal, priority)| {
        format!(
            "{{\"name\":\"r-{database}\",\"database_name\":\"{database}\",\"prefix\":\"/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{goal},\
             \"priority\":{priority},\"service\":\"{0}\",\"max_attempts\":2,\
             \"max_staleness_ms\":{staleness}}}",
            database::SERVICE
        )
    });
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\
         \"health_path\":\"/health\",\"connection_limit\":33,\"protocol\":\"h1\",\"tls\":false,\
         \"sync_replicas\":{}}}],\"limits\":{{\"transaction_idle_ms\":3000}}}}",
        routes.join(","),
        database::SERVICE,
        shape.sync_replicas
    )
}

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        vm::kill_all();
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let broken = match arguments[..] {
        ["send-slowly", address, id, text] => {
            cases::send_slowly(address, id, text);
            return ExitCode::SUCCESS;
        }
        ["line-feed", record] => cases::line_feed(Path::new(record)),
        ["killed-client", record] => cases::killed_client(Path::new(record)),
        ["added-process", record] => cases::added_process(Path::new(record)),
        ["slow-orders", record] => cases::slow_orders(Path::new(record)),
        ["cut-reply", record] => cases::cut_reply(Path::new(record)),
        _ => None,
    };
    match broken {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
