//! Simulated platform: head record, object store and burn snapshots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::burn::{Event as BurnEvent, Snapshot};
use chervildrift_core::generation::{Body, BundleHash, Event, Head, Publish, PublishId};
use chervildrift_core::types::{Service, Time};

/// Duration of one request to the platform.
pub const REQUEST_DELAY: Duration = Duration::from_millis(10);

/// Estimated bytes of one request and its answer without their payload.
pub const REQUEST_BYTES: u64 = 400;

/// Bytes of a bundle that one publish changes.
const CHANGED_BYTES: usize = 600;

/// Simulated platform that all VMs share.
#[derive(Debug)]
pub struct Platform {
    head: Option<Head>,
    bundle: Vec<u8>,
    objects: HashMap<BundleHash, Arc<[u8]>>,
    snapshots: HashMap<Service, (Snapshot, Time, u64)>,
    pub reads: u64,
}

impl Platform {
    pub fn new(bundle_bytes: usize) -> Self {
        Self {
            head: None,
            bundle: vec![b' '; bundle_bytes],
            objects: HashMap::new(),
            snapshots: HashMap::new(),
            reads: 0,
        }
    }

    /// Publishes a bundle that differs in its middle, and returns its generation.
    pub fn publish(&mut self) -> u64 {
        let generation = self.head.as_ref().map_or(0, |head| head.latest.generation) + 1;
        let middle = self.bundle.len() / 2;
        let end = self.bundle.len().min(middle + CHANGED_BYTES);
        self.bundle[middle..end].fill(b'a' + (generation % 26) as u8);
        let hash = BundleHash::of(&self.bundle);
        let latest = Publish {
            generation,
            id: PublishId(generation),
            author: "operator".to_owned(),
        };
        self.objects.clear();
        self.objects.insert(hash, Arc::from(self.bundle.as_slice()));
        self.head = Some(Head::next(self.head.as_ref(), latest, hash));
        generation
    }

    pub fn read_head(&mut self) -> Event {
        self.reads += 1;
        Event::HeadRead(self.head.clone())
    }

    pub fn fetch_object(&mut self, hash: BundleHash) -> Event {
        self.reads += 1;
        let found = self.objects.get(&hash).cloned();
        found.map_or(Event::FetchFailed { hash }, |bytes| Event::Fetched {
            hash,
            body: Body::Whole(bytes),
        })
    }

    pub fn load_snapshot(&self, now: Time, service: Service) -> BurnEvent {
        let found = self.snapshots.get(&service).cloned();
        match found {
            None => BurnEvent::SnapshotAbsent { service },
            Some((snapshot, at, tag)) => BurnEvent::Loaded {
                snapshot,
                age: now.since(at),
                tag: tag.to_string(),
            },
        }
    }

    pub fn store_snapshot(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        tag: Option<&str>,
    ) -> BurnEvent {
        let service = snapshot.service.clone();
        let current = self.snapshots.get(&service).map(|(_, _, tag)| *tag);
        if tag != current.map(|tag| tag.to_string()).as_deref() {
            return BurnEvent::StoreConflict { service };
        }
        let next = current.unwrap_or(0) + 1;
        self.snapshots
            .insert(service.clone(), (snapshot, now, next));
        let tag = next.to_string();
        BurnEvent::SnapshotStored { service, tag }
    }
}
