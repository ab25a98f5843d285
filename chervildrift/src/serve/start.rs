//! Start of a VM and the event loop's thread.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{io, thread};

use chervildrift_core::burn::{self, Burn};
use chervildrift_core::config::{Bundle, Settings};
use chervildrift_core::failover::Promoter;
use chervildrift_core::generation::{self, Generations};
use chervildrift_core::membership::{self, Me, Membership, Place, Seed};
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
use super::record::Recorder;
use super::{Error, Input, Shared, TICK};
use crate::control_store::Platform;
use crate::gossip;
use crate::http::{self, CallersHandle, Credentials, OperatorsHandle, Probe};
use crate::metrics::Metrics;
use crate::peer::{self, FleetKey};
use crate::wall;

/// Threads for the sockets of upstreams, platform and membership.
const IO_THREADS: usize = 2;

/// Inputs that the loop takes between two looks at its timer.
const BATCH: usize = 256;

/// Calls of peers that wait for the event loop.
const PEER_QUEUE: usize = 8_192;

/// Time without a tick after which the VM no longer counts as alive.
const STALL: Duration = Duration::from_secs(5);

/// Interval at which a VM looks whether another process has its name.
const REPLACED_POLL: Duration = Duration::from_millis(200);

/// Time that peers get to take the last messages of a stopping VM.
const FAREWELL: Duration = Duration::from_millis(200);

/// A running VM.
#[derive(Debug)]
pub struct Handle {
    callers: CallersHandle,
    operators: OperatorsHandle,
    peers: peer::Handle,
    inputs: UnboundedSender<Input>,
    settings: Settings,
    shared: Arc<Shared>,
    log: Logger,
    /// Ends the sockets' tasks when it is dropped.
    _io: Sockets,
}

/// Runtime of the sockets' tasks, which may be dropped inside another runtime.
#[derive(Debug)]
struct Sockets(Option<Runtime>);

impl Drop for Sockets {
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

    /// Returns when another process has taken this VM's name.
    pub async fn replaced(&self) {
        while !self.shared.replaced.load(Ordering::Acquire) {
            tokio::time::sleep(REPLACED_POLL).await;
        }
    }

    /// Stops gracefully; true when no request was cut.
    ///
    /// Readiness goes first, so that the balancer sends no more callers; then the listener closes
    /// once every request has its answer, and the dispatchers finish what they hold.
    pub async fn stop(self) -> bool {
        let _ended = self.inputs.send(Input::Leave);
        self.callers.close_connections();
        tokio::time::sleep(Duration::from_millis(self.settings.stop.ready_ms)).await;
        let answered = self
            .callers
            .stop(Duration::from_millis(self.settings.stop.drain_ms))
            .await;
        // The others learn of the end only now, since callers could still arrive until here.
        let (reply, drained) = oneshot::channel();
        let _ended = self.inputs.send(Input::Stop(reply));
        let drained = drained.await.unwrap_or(false);
        self.peers.stop(FAREWELL).await;
        self.operators.stop();
        info!(self.log, "stopped"; "answered" => answered, "drained" => drained);
        answered && drained
    }
}

/// Starts a VM.
pub fn spawn(settings: Settings, record: Option<&Path>, log: Logger) -> Result<Handle, Error> {
    let clock = Clock::open();
    let io = Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()?;
    let (inputs, queue) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared {
        ready: AtomicBool::new(false),
        ticked: AtomicU64::new(0),
        metrics: Metrics::open()?,
        replaced: AtomicBool::new(false),
        burn: Mutex::default(),
    });
    let boot = wall::clock_ms();
    let seed = mix(boot ^ placement::name_hash(settings.vm.as_str()));
    let key = FleetKey::open(&hex::decode(&settings.keys.fleet_hex)?)?;
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
    let me = Me {
        vm: settings.vm.clone(),
        place,
        boot,
    };
    let mut placement = Placement::new();
    placement.add(&settings.vm, &settings.zone);
    let node = Node {
        sealer: TokenSigner::new(&hex::decode(&settings.keys.session_hex)?)?,
        log: log.clone(),
        clock,
        io: io.handle().clone(),
        inputs: inputs.clone(),
        shared: Arc::clone(&shared),
        rng: Rng::new(seed),
        peers: peers.clone(),
        gossip,
        platform,
        membership: Membership::open(me, Rng::new(mix(seed)), membership::Limits::default()),
        placement,
        addresses: HashMap::new(),
        generations: Generations::open(Rng::new(!seed), generation::Limits::default()),
        bundle: Arc::new(Bundle::default()),
        bundle_asks: Vec::new(),
        groups: HashMap::new(),
        dispatchers: HashMap::new(),
        entry: Entry::default(),
        leaving: HashSet::new(),
        list_at: Time::default(),
        promoter: Promoter::new(&settings.vm, boot),
        recorder: record.map(Recorder::open),
        burn: Burn::open(settings.vm.clone(), boot, burn::Limits::default()),
        burn_at: Time::default(),
        stopping: false,
        number: 0,
        settings: settings.clone(),
    };
    thread::Builder::new()
        .name("event-loop".into())
        .spawn(move || run(node, queue))?;
    let callers = bind_callers(&settings, seed, &inputs)?;
    let operators = http::bind_operators(settings.operators.listen, probe(clock, &shared))?;
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
        _io: Sockets(Some(io)),
    })
}

fn bind_peers(
    settings: &Settings,
    key: &FleetKey,
    io: &Runtime,
    inputs: &UnboundedSender<Input>,
) -> Result<peer::Handle, Error> {
    let (sender, mut inbound) = mpsc::channel(PEER_QUEUE);
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
            if inputs.send(Input::Peer(call)).is_err() {
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
    let (sender, mut inbound) = mpsc::channel(PEER_QUEUE);
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
        // A loop that has ended drops the reply, which the listener answers as unknown.
        let _ended = inputs.send(Input::Call(call, reply));
    };
    let credentials = Credentials::open(&settings.credentials);
    Ok(http::bind_callers(
        &settings.callers,
        credentials,
        first_id,
        Box::new(submit),
    )?)
}

fn probe(clock: Clock, shared: &Arc<Shared>) -> Probe {
    let (live, ready, metrics, burn) = (
        Arc::clone(shared),
        Arc::clone(shared),
        Arc::clone(shared),
        Arc::clone(shared),
    );
    Probe {
        alive: Box::new(move || {
            let ticked = Time(live.ticked.load(Ordering::Acquire));
            clock.now().since(ticked) < STALL
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

fn run(node: Node, queue: UnboundedReceiver<Input>) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(turn(node, queue));
    Ok(())
}

/// Turns the event loop until a stop has ended.
async fn turn(mut node: Node, mut queue: UnboundedReceiver<Input>) {
    let mut timer = interval(TICK);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(BATCH);
    let mut stop: Option<(Instant, Option<oneshot::Sender<bool>>)> = None;
    node.join();
    loop {
        tokio::select! {
            biased;
            _ = timer.tick() => {
                node.tick();
                node.shared.ticked.store(node.clock.now().0, Ordering::Release);
                if let Some((since, reply)) = &mut stop {
                    node.check_stop(since.elapsed(), reply);
                    if reply.is_none() {
                        return;
                    }
                }
            }
            taken = queue.recv_many(&mut batch, BATCH) => {
                if taken == 0 {
                    return;
                }
                for input in batch.drain(..) {
                    if let Input::Stop(reply) = input {
                        stop.get_or_insert((Instant::now(), Some(reply)));
                    } else {
                        node.take(input);
                    }
                }
            }
        }
    }
}

impl Node {
    /// Starts to join the fleet by the settings' seeds.
    fn join(&mut self) {
        let now = self.clock.now();
        let seed = |address: &SocketAddr| Seed {
            vm: None,
            address: *address,
        };
        let seeds = self.settings.peers.seeds.iter().map(seed).collect();
        let actions = self.membership.handle(now, membership::Event::Seeds(seeds));
        self.carry_out(now, actions);
        self.place_pollers(now);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Call(call, reply) => self.accept(call, reply),
            Input::Peer(inbound) => self.serve_peer(inbound),
            Input::Replied(id, number, result) => self.take_reply(id, number, result),
            Input::Told(group, sent, state) => self.told(&group, sent, state),
            Input::Ran(name, id, ran) => self.finish_job(&name, id, *ran),
            Input::Group(id, event) => self.group_event(&id, event),
            Input::Datagram(datagram) => self.datagram(datagram),
            Input::Head(event) => self.take_head(event),
            Input::Body(hash, body) => self.take_body(hash, body),
            Input::Burn(event) => self.burn_event(event),
            Input::Listed(seeds, leaving) => self.take_list(seeds, leaving),
            Input::Leave => self.leave(),
            // Taken by the loop itself.
            Input::Stop(_) => {}
        }
    }
}
