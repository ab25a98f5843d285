//! Encoding of membership messages.

use std::net::{IpAddr, SocketAddr};

use capnp::message::{Builder, HeapAllocator};
use capnp::{serialize, struct_list};
use chervildrift_core::membership::{Body, Change, Message, Page, Place, State};

use super::gossip_capnp as wire;

/// Words of the first segment, enough for every message that fits a datagram.
const SEGMENT_WORDS: u32 = 256;

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    let allocator = HeapAllocator::new().first_segment_words(SEGMENT_WORDS);
    let mut builder = Builder::new(allocator);
    write_message(message, builder.init_root());
    serialize::write_message_to_words(&builder)
}

fn write_message(message: &Message, mut to: wire::message::Builder<'_>) {
    to.set_from(message.from.as_str());
    to.set_boot(message.incarnation.boot);
    to.set_count(message.incarnation.count);
    to.set_generation(message.version.generation);
    to.set_hash(&message.version.hash.0);
    write_body(&message.body, to.reborrow().init_body());
    write_changes(
        &message.changes,
        to.init_changes(message.changes.len() as u32),
    );
}

fn write_body(body: &Body, mut to: wire::message::body::Builder<'_>) {
    match body {
        Body::Gossip => to.set_gossip(()),
        Body::Ping { sequence } => to.set_ping(*sequence),
        Body::Ack { sequence } => to.set_ack(*sequence),
        Body::SyncReply { differing } => to.set_synced(*differing),
        Body::Page(page) => write_page(page, to.init_page()),
        Body::IndirectPing {
            sequence,
            vm,
            address,
        } => {
            let mut relay = to.init_relay();
            relay.set_sequence(*sequence);
            relay.set_vm(vm.as_str());
            write_address(*address, relay.init_address());
        }
        Body::IndirectAck { sequence, vm } => {
            let mut relayed = to.init_relayed();
            relayed.set_sequence(*sequence);
            relayed.set_vm(vm.as_str());
        }
        Body::SyncRequest { digests, budget } => write_sync(digests, *budget, to.init_sync()),
    }
}

fn write_sync(digests: &[u32], budget: u8, mut to: wire::sync::Builder<'_>) {
    to.set_budget(budget);
    let mut list = to.init_digests(digests.len() as u32);
    for (index, digest) in digests.iter().enumerate() {
        list.set(index as u32, *digest);
    }
}

fn write_page(page: &Page, mut to: wire::page::Builder<'_>) {
    to.set_bucket(page.bucket);
    to.set_answer(page.wants_reply);
    if let Some(after) = &page.after {
        to.set_after(after.as_str());
    }
    if let Some(until) = &page.until {
        to.set_until(until.as_str());
    }
    write_changes(&page.entries, to.init_entries(page.entries.len() as u32));
}

fn write_changes(changes: &[Change], mut to: struct_list::Builder<'_, wire::change::Owned>) {
    for (index, change) in changes.iter().enumerate() {
        write_change(change, to.reborrow().get(index as u32));
    }
}

fn write_change(change: &Change, mut to: wire::change::Builder<'_>) {
    to.set_vm(change.vm.as_str());
    to.set_boot(change.incarnation.boot);
    to.set_count(change.incarnation.count);
    to.set_state(match change.state {
        State::Alive => wire::State::Alive,
        State::Leaving => wire::State::Leaving,
        State::Suspect => wire::State::Suspect,
        State::Failed => wire::State::Failed,
        State::Left => wire::State::Left,
    });
    if let Some(place) = &change.place {
        write_place(place, to.init_place());
    }
}

fn write_place(place: &Place, mut to: wire::place::Builder<'_>) {
    to.set_zone(place.zone.as_str());
    write_address(place.address, to.init_address());
}

fn write_address(address: SocketAddr, mut to: wire::address::Builder<'_>) {
    to.set_port(address.port());
    match address.ip() {
        IpAddr::V4(ip) => to.set_ip(&ip.octets()),
        IpAddr::V6(ip) => to.set_ip(&ip.octets()),
    }
}
