//! Spread of configurations to all VMs.

#[path = "net/cases.rs"]
mod net;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::generation::{
    Action, Answer, Body, BundleHash, Event, Generations, Head, Limits, Patch, Publish, PublishId,
    Version,
};
use chervildrift_core::invariant;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Time, Vm};
use proptest::prelude::*;

/// Time within which a configuration must be in force on all VMs.
const INSTALL_LIMIT: Duration = Duration::from_secs(4);

/// Simulated VMs with a platform.
struct Fleet {
    now: Time,
    rng: Rng,
    vms: Vec<Generations>,
    highest_generations: Vec<u64>,
    events: Vec<(usize, Event)>,
    head: Option<Head>,
    objects: HashMap<BundleHash, Arc<[u8]>>,
    platform_down: bool,
    garbled_percent: u64,
    sent_bytes: usize,
}

impl Fleet {
    fn new(seed: u64, size: usize) -> Self {
        let mut fleet = Self {
            now: Time(1_000),
            rng: Rng::new(seed),
            vms: Vec::new(),
            highest_generations: vec![0; size],
            events: Vec::new(),
            head: None,
            objects: HashMap::new(),
            platform_down: false,
            garbled_percent: 0,
            sent_bytes: 0,
        };
        for index in 0..size {
            let vm = Generations::new(Rng::new(seed + index as u64), Limits::default());
            fleet.vms.push(vm);
            fleet.events.push((index, Event::PollerChanged(index < 2)));
        }
        fleet
    }

    /// Restarts a VM without its configuration.
    fn restart(&mut self, index: usize) {
        self.vms[index] = Generations::new(Rng::new(self.rng.next()), Limits::default());
        self.highest_generations[index] = 0;
    }

    fn publish(&mut self, text: &[u8]) {
        let hash = BundleHash::of(text);
        let generation = self.head.as_ref().map_or(0, |head| head.latest.generation) + 1;
        let latest = Publish {
            generation,
            id: PublishId(generation),
            author: "operator".to_owned(),
        };
        self.objects.insert(hash, Arc::from(text));
        self.head = Some(Head::next(self.head.as_ref(), latest, hash));
    }

    fn vm_name(index: usize) -> Vm {
        Vm::from(index.to_string())
    }

    fn vm_index(vm: &Vm) -> usize {
        vm.as_str().parse().expect("a number")
    }

    /// Handles the pending events; their actions lead to events of the next step.
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(25);
        for index in 0..self.vms.len() {
            self.events.push((index, Event::Tick));
            let other = self.rng.below(self.vms.len() as u64) as usize;
            let version = self.vms[other].version();
            if version != self.vms[index].version() {
                let vm = Self::vm_name(other);
                self.events.push((index, Event::Announced { vm, version }));
            }
        }
        for (index, event) in std::mem::take(&mut self.events) {
            for action in self.vms[index].handle(self.now, event) {
                self.perform(index, action);
            }
            let generation = self.vms[index].version().generation;
            assert!(
                generation >= self.highest_generations[index],
                "generation fell at {index}"
            );
            self.highest_generations[index] = generation;
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let event = match action {
            Action::ReadHead if self.platform_down => Some(Event::HeadReadFailed),
            Action::ReadHead => Some(Event::HeadRead(self.head.clone())),
            Action::FetchStore { hash } if self.platform_down => Some(Event::FetchFailed { hash }),
            Action::FetchStore { hash } => self.fetch_from_store(hash),
            Action::FetchPeer { vm, hash, base } => {
                let request = Event::Requested {
                    vm: Self::vm_name(index),
                    hash,
                    base,
                };
                self.events.push((Self::vm_index(&vm), request));
                None
            }
            Action::Serve { vm, hash, answer } => return self.serve(index, vm, hash, answer),
            Action::Install { version, bundle } => {
                assert_eq!(BundleHash::of(&bundle), version.hash);
                None
            }
            Action::Ready => None,
        };
        self.events.extend(event.map(|event| (index, event)));
    }

    fn fetch_from_store(&self, hash: BundleHash) -> Option<Event> {
        let body = Body::Whole(Arc::clone(self.objects.get(&hash)?));
        Some(Event::Fetched { hash, body })
    }

    fn serve(&mut self, index: usize, vm: Vm, hash: BundleHash, answer: Answer) {
        let to = Self::vm_index(&vm);
        let garbled = self.rng.below(100) < self.garbled_percent;
        let event = match answer {
            Answer::Body(_) if garbled => Event::Fetched {
                hash,
                body: Body::Whole(Arc::from(&b"garbled"[..])),
            },
            Answer::Body(body) => {
                self.sent_bytes += body.size();
                self.events.push((index, Event::TransferEnded { vm }));
                Event::Fetched { hash, body }
            }
            Answer::Busy | Answer::Unknown => Event::FetchFailed { hash },
        };
        self.events.push((to, event));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn all_current(&self) -> bool {
        let wanted = self.head.as_ref().map(Head::version);
        self.vms.iter().all(|vm| Some(vm.version()) == wanted)
    }
}

proptest! {
    #![proptest_config(net::cases(24))]

    /// Guards against a configuration that is late, missing or older on a VM, while bundles are
    /// garbled and VMs restart.
    #[test]
    fn random_schedule(seed: u64, size in 4_usize..30, garbled in 0_u64..20, platform_down: bool) {
        let mut fleet = Fleet::new(seed, size);
        fleet.garbled_percent = garbled;
        for number in 0..12 {
            let text = format!("{:0>3000}{number}{:0>3000}", 1, 2);
            fleet.publish(text.as_bytes());
            fleet.platform_down = platform_down && number % 3 == 1;
            let restarted = fleet.rng.below(size as u64) as usize;
            fleet.restart(restarted);
            let pause = fleet.rng.below(1_500);
            fleet.run(Duration::from_millis(pause));
        }
        fleet.platform_down = false;
        fleet.run(INSTALL_LIMIT);
        prop_assert!(fleet.all_current());
        prop_assert!(fleet.vms.iter().all(Generations::is_ready));
        prop_assert_eq!(invariant::count(), 0);
    }

    /// Guards against a patch that makes another bundle than the one it was computed from.
    #[test]
    fn patched_bundle(old: Vec<u8>, new: Vec<u8>) {
        let patch = Patch::between(&old, BundleHash::of(&old), &new, BundleHash::of(&new));
        prop_assert_eq!(patch.apply(&old), Some(new));
    }
}

/// Guards against a VM that restarts while the platform is down and stays without a configuration
/// or with an old one.
#[test]
fn platform_outage() {
    let mut fleet = Fleet::new(3, 6);
    fleet.publish(b"one");
    fleet.run(INSTALL_LIMIT);
    fleet.publish(b"two");
    fleet.run(INSTALL_LIMIT);
    fleet.platform_down = true;
    fleet.restart(4);
    assert!(!fleet.vms[4].is_ready());
    fleet.run(INSTALL_LIMIT);
    assert!(fleet.vms[4].is_ready());
    assert_eq!(fleet.vms[4].version().generation, 2);
}

/// Guards against a VM that reports ready although no peer or platform has named a configuration.
#[test]
fn no_configuration() {
    let mut fleet = Fleet::new(5, 1);
    fleet.platform_down = true;
    fleet.run(INSTALL_LIMIT);
    assert!(!fleet.vms[0].is_ready());
}

/// Guards against one VM that sends the bundle to all others at once.
#[test]
fn bounded_transfers() {
    let limits = Limits::default();
    let mut vm = Generations::new(Rng::new(1), limits.clone());
    let version = install(&mut vm, 1, b"bundle");
    let mut served = 0;
    for number in 0..50 {
        let request = Event::Requested {
            vm: Fleet::vm_name(number),
            hash: version.hash,
            base: None,
        };
        let actions = vm.handle(Time(2_000), request);
        let serves_body = |action: &Action| {
            matches!(
                action,
                Action::Serve {
                    answer: Answer::Body(_),
                    ..
                }
            )
        };
        served += actions.iter().filter(|action| serves_body(action)).count();
    }
    assert_eq!(served, limits.max_transfers);
}

/// Guards against sending whole bundles where a patch is enough.
#[test]
fn small_change() {
    let mut fleet = Fleet::new(7, 20);
    let mut text = vec![7; 100_000];
    fleet.publish(&text);
    fleet.run(INSTALL_LIMIT);
    fleet.sent_bytes = 0;
    text[50_000] = 8;
    fleet.publish(&text);
    fleet.run(INSTALL_LIMIT);
    assert!(fleet.all_current());
    assert!(fleet.sent_bytes < 100_000, "{} bytes", fleet.sent_bytes);
}

/// Guards against a lower generation from a platform that was restored from an old copy.
#[test]
fn restored_platform() {
    let mut vm = Generations::new(Rng::new(1), Limits::default());
    let version = install(&mut vm, 5, b"five");
    let head = Head {
        latest: Publish {
            generation: 4,
            id: PublishId(4),
            author: "operator".to_owned(),
        },
        hash: BundleHash::of(b"four"),
        past: Vec::new(),
    };
    let actions = vm.handle(Time(9_000), Event::HeadRead(Some(head)));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::FetchStore { .. }))
    );
    assert_eq!(vm.version(), version);
}

fn install(vm: &mut Generations, generation: u64, text: &[u8]) -> Version {
    let hash = BundleHash::of(text);
    let version = Version { generation, hash };
    let peer = Vm::from("peer");
    vm.handle(Time(1_000), Event::Announced { vm: peer, version });
    let body = Body::Whole(Arc::from(text));
    vm.handle(Time(1_000), Event::Fetched { hash, body });
    assert_eq!(vm.version(), version);
    version
}
