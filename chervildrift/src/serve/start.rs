//! Start of a VM, and the thread of its event loop.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{io, thread};

use chervildrift_core::burn::{self, BurnCounters};
use chervildrift_core::config::{Bundle, Settings};
use chervildrift_core::failover::Promoter;
use chervildrift_core::generation::{self, Generations};
use chervildrift_core::membership::{self, LocalVm, Membership, Place, Seed};
use chervildrift_core::placement::{self, Placement};
use chervildrift_core::rng::{Rng, mix};
use chervildrift_core::token::TokenSigner;
use chervildrift_core::types::Time;
use slog::{Logger, info};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::clock::Clock;
use super::entry::Entry;
use super::node::Node;
use super::trace_writer::TraceDirectory;
use super::{Error, Input, SharedState, TICK_PERIOD};
use crate::control_store::Platform;
use crate::gossip;
use crate::http::{self, CallersHandle, Credentials, OperatorEndpoints, OperatorsHandle};
use crate::metrics::Metrics;
use crate::peer::{self, FleetKey};
use crate::wall_clock;

/// Number of threads for the sockets of upstreams, platform and membership.
const IO_THREADS: usize = 2;

/// Maximum number of inputs that the event loop handles between two checks of its timer.
const MAX_INPUT_BATCH: usize = 256;

/// Capacity of the channels for calls and membership messages of peers.
const PEER_QUEUE_CAPACITY: usize = 8_192;

/// Time without a tick after which the VM no longer reports that it is alive.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two checks of whether another process has taken the VM's name.
const REPLACED_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Time within which peers must accept the last messages of a stopping VM.
const PEER_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Handle of a running VM.
#[derive(Debug)]
pub struct Handle {
    callers: CallersHandle,
    operators: OperatorsHandle,
    peers: peer::Handle,
    inputs: UnboundedSender<Input>,
    settings: Settings,
    shared: Arc<SharedState>,
    log: Logger,
    /// Ends the I/O tasks when it is dropped.
    _io: IoRuntime,
}

/// Runtime of the I/O tasks, which may be dropped inside another runtime.
#[derive(Debug)]
struct IoRuntime(Option<Runtime>);

impl Drop for IoRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Handle {
    /// Returns the address of the callers' listener.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' listener.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address of the listener for other VMs.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Waits until another process has taken this VM's name.
    pub async fn wait_replaced(&self) {
        while !self.shared.replaced.load(Ordering::Acquire) {
            tokio::time::sleep(REPLACED_POLL_PERIOD).await;
        }
    }

    /// Stops gracefully; returns true if no request was cut off.
    ///
    /// The VM first reports that it is not ready, so that the load balancer sends no more callers.
    /// Then the listener closes once every request has been answered, and the dispatchers finish
    /// their work.
    pub async fn stop(self) -> bool {
        let _result = self.inputs.send(Input::Leave);
        self.callers.close_connections();
        tokio::time::sleep(Duration::from_millis(self.settings.stop.ready_ms)).await;
        let answered = self
            .callers
            .stop(Duration::from_millis(self.settings.stop.drain_ms))
            .await;
        // The other VMs are notified only now, since callers could still connect until here.
        let (reply, drained) = oneshot::channel();
        let _result = self.inputs.send(Input::Stop(reply));
        let drained = drained.await.unwrap_or(false);
        self.peers.stop(PEER_STOP_TIMEOUT).await;
        self.operators.stop();
        info!(self.log, "stopped"; "answered" => answered, "drained" => drained);
        answered && drained
    }
}

/// Starts a VM.
pub fn spawn(
    settings: Settings,
    trace_directory: Option<&Path>,
    log: Logger,
) -> Result<Handle, Error> {
    let clock = Clock::new();
    let io = Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()?;
    let (inputs, queue) = mpsc::unbounded_channel();
    let shared = Arc::new(SharedState {
        ready: AtomicBool::new(false),
        last_tick: AtomicU64::new(0),
        metrics: Metrics::new()?,
        replaced: AtomicBool::new(false),
        burn: Mutex::default(),
    });
    let boot = wall_clock::now_ms();
    let seed = mix(boot ^ placement::name_hash(settings.vm.as_str()));
    let key = FleetKey::from_bytes(&hex::decode(&settings.keys.fleet_hex)?)?;
    let peers = bind_peers(&settings, &key, &io, &inputs)?;
    let gossip = bind_gossip(&key, peers.address(), &io, &inputs)?;
    let platform = Platform::open(
        settings.platform.address,
        crate::control_store::Limits::default(),
    )?;
    let place = Place {
        zone: settings.zone.clone(),
        address: peers.address(),
    };
    let local_vm = LocalVm {
        vm: settings.vm.clone(),
        place,
        boot,
    };
    let mut placement = Placement::new();
    placement.add(&settings.vm, &settings.zone);
    let node = Node {
        signer: TokenSigner::new(&hex::decode(&settings.keys.session_hex)?)?,
        log: log.clone(),
        clock,
        io: io.handle().clone(),
        inputs: inputs.clone(),
        shared: Arc::clone(&shared),
        rng: Rng::new(seed),
        peers: peers.clone(),
        gossip,
        platform,
        membership: Membership::new(local_vm, Rng::new(mix(seed)), membership::Limits::default()),
        placement,
        addresses: HashMap::new(),
        generations: Generations::new(Rng::new(!seed), generation::Limits::default()),
        bundle: Arc::new(Bundle::default()),
        bundle_requests: Vec::new(),
        groups: HashMap::new(),
        dispatchers: HashMap::new(),
        entry: Entry::default(),
        leaving: HashSet::new(),
        list_due: Time::default(),
        promoter: Promoter::new(&settings.vm, boot),
        trace_directory: trace_directory.map(TraceDirectory::new),
        burn: BurnCounters::new(settings.vm.clone(), boot, burn::Limits::default()),
        burn_due: Time::default(),
        stopping: false,
        last_number: 0,
        settings: settings.clone(),
    };
    thread::Builder::new()
        .name("event-loop".into())
        .spawn(move || run_event_loop(node, queue))?;
    let callers = bind_callers(&settings, seed, &inputs)?;
    let operators = http::bind_operators(
        settings.operators.listen,
        operator_endpoints(clock, &shared),
    )?;
    info!(log, "started"; "callers" => %callers.address(), "operators" => %operators.address(),
        "peers" => %peers.address());
    Ok(Handle {
        callers,
        operators,
        peers,
        inputs,
        settings,
        shared,
        log,
        _io: IoRuntime(Some(io)),
    })
}

fn bind_peers(
    settings: &Settings,
    key: &FleetKey,
    io: &Runtime,
    inputs: &UnboundedSender<Input>,
) -> Result<peer::Handle, Error> {
    let (sender, mut inbound) = mpsc::channel(PEER_QUEUE_CAPACITY);
    let options = peer::Options {
        address: settings.peers.listen,
        name: settings.vm.clone(),
        key: key.clone(),
        limits: peer::Limits::default(),
    };
    let handle = peer::bind(options, sender)?;
    let inputs = inputs.clone();
    io.spawn(async move {
        while let Some(call) = inbound.recv().await {
            if inputs.send(Input::PeerCall(call)).is_err() {
                break;
            }
        }
    });
    Ok(handle)
}

fn bind_gossip(
    key: &FleetKey,
    address: SocketAddr,
    io: &Runtime,
    inputs: &UnboundedSender<Input>,
) -> Result<gossip::Handle, Error> {
    let (sender, mut inbound) = mpsc::channel(PEER_QUEUE_CAPACITY);
    let options = gossip::Options {
        address,
        key: key.clone(),
    };
    let _runtime = io.enter();
    let handle = gossip::bind(&options, sender)?;
    let inputs = inputs.clone();
    io.spawn(async move {
        while let Some(datagram) = inbound.recv().await {
            if inputs.send(Input::Datagram(datagram)).is_err() {
                break;
            }
        }
    });
    Ok(handle)
}

fn bind_callers(
    settings: &Settings,
    first_id: u64,
    inputs: &UnboundedSender<Input>,
) -> Result<CallersHandle, Error> {
    let inputs = inputs.clone();
    let submit = move |call, reply| {
        // After the event loop has ended, the listener answers the dropped reply as unknown.
        let _result = inputs.send(Input::Call(call, reply));
    };
    let credentials = Credentials::new(&settings.credentials);
    Ok(http::bind_callers(
        &settings.callers,
        credentials,
        first_id,
        Box::new(submit),
    )?)
}

fn operator_endpoints(clock: Clock, shared: &Arc<SharedState>) -> OperatorEndpoints {
    let (live, ready, metrics, burn) = (
        Arc::clone(shared),
        Arc::clone(shared),
        Arc::clone(shared),
        Arc::clone(shared),
    );
    OperatorEndpoints {
        alive: Box::new(move || {
            let last_tick = Time(live.last_tick.load(Ordering::Acquire));
            clock.now().since(last_tick) < STALL_TIMEOUT
        }),
        ready: Box::new(move || ready.ready.load(Ordering::Acquire)),
        metrics: Box::new(move || metrics.metrics.render().unwrap_or_default()),
        burn: Box::new(move |json| {
            let report = burn.burn.lock().unwrap_or_else(PoisonError::into_inner);
            if json {
                report.json.clone()
            } else {
                report.text.clone()
            }
        }),
    }
}

fn run_event_loop(node: Node, queue: UnboundedReceiver<Input>) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(event_loop(node, queue));
    Ok(())
}

/// Runs the event loop until a stop is complete.
async fn event_loop(mut node: Node, mut queue: UnboundedReceiver<Input>) {
    let mut timer = interval(TICK_PERIOD);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
    let mut stop: Option<(Instant, Option<oneshot::Sender<bool>>)> = None;
    node.join_fleet();
    loop {
        tokio::select! {
            biased;
            _ = timer.tick() => {
                node.tick();
                node.shared.last_tick.store(node.clock.now().0, Ordering::Release);
                if let Some((since, reply)) = &mut stop {
                    node.check_stop(since.elapsed(), reply);
                    if reply.is_none() {
                        return;
                    }
                }
            }
            count = queue.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                if count == 0 {
                    return;
                }
                for input in batch.drain(..) {
                    if let Input::Stop(reply) = input {
                        stop.get_or_insert((Instant::now(), Some(reply)));
                    } else {
                        node.handle_input(input);
                    }
                }
            }
        }
    }
}

impl Node {
    /// Starts to join the fleet through the seeds in the settings.
    fn join_fleet(&mut self) {
        let now = self.clock.now();
        let seed = |address: &SocketAddr| Seed {
            vm: None,
            address: *address,
        };
        let seeds = self.settings.peers.seeds.iter().map(seed).collect();
        let actions = self.membership.handle(now, membership::Event::Seeds(seeds));
        self.run_membership_actions(now, actions);
        self.update_poller_role(now);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Call(call, reply) => self.accept_call(call, reply),
            Input::PeerCall(inbound) => self.handle_peer_call(inbound),
            Input::AttemptResult(id, number, result) => self.complete_attempt(id, number, result),
            Input::GroupState(group, sent, state) => self.handle_group_state(&group, sent, state),
            Input::JobResult(name, id, result) => self.handle_job_result(&name, id, *result),
            Input::GroupEvent(id, event) => self.handle_group_event(&id, event),
            Input::Datagram(datagram) => self.handle_datagram(datagram),
            Input::HeadRecord(event) => self.handle_head_record(event),
            Input::BundleBody(hash, body) => self.handle_bundle_body(hash, body),
            Input::BurnEvent(event) => self.handle_burn_event(event),
            Input::VmList(seeds, leaving) => self.handle_vm_list(seeds, leaving),
            Input::Leave => self.begin_leave(),
            // Handled by the event loop itself.
            Input::Stop(_) => {}
        }
    }
}
