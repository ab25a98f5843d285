//! Decoding of membership messages.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use capnp::message::ReaderOptions;
use capnp::{serialize, struct_list, text};
use chervildrift_core::generation::{BundleHash, Version};
use chervildrift_core::membership::{Body, Change, Incarnation, Message, Page, Place, State};
use chervildrift_core::types::Vm;

use super::DropReason;
use super::gossip_capnp as wire;
use super::signer::MAX_PAYLOAD_BYTES;

/// Maximum number of words that decoding may read: each word of a datagram once.
const MAX_VISITED_WORDS: usize = MAX_PAYLOAD_BYTES / 8 + 1;

/// Decodes the content of a datagram.
pub fn decode(mut content: &[u8]) -> Result<Message, DropReason> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_VISITED_WORDS));
    let reader = serialize::read_message(&mut content, options)?;
    read_message(reader.get_root()?)
}

fn read_message(from: wire::message::Reader<'_>) -> Result<Message, DropReason> {
    Ok(Message {
        from: read_vm(from.get_from())?,
        incarnation: Incarnation {
            boot: from.get_boot(),
            count: from.get_count(),
        },
        version: Version {
            generation: from.get_generation(),
            hash: read_hash(from.get_hash()?)?,
        },
        body: read_body(from.get_body())?,
        changes: read_changes(from.get_changes()?)?,
    })
}

/// Reads a body; one that only newer versions know is treated as gossip without a probe.
fn read_body(from: wire::message::body::Reader<'_>) -> Result<Body, DropReason> {
    use wire::message::body;

    Ok(match from.which() {
        Ok(body::Gossip(())) | Err(capnp::NotInSchema(_)) => Body::Gossip,
        Ok(body::Ping(sequence)) => Body::Ping { sequence },
        Ok(body::Ack(sequence)) => Body::Ack { sequence },
        Ok(body::Synced(differing)) => Body::SyncReply { differing },
        Ok(body::Relay(relay)) => read_relay(relay?)?,
        Ok(body::Relayed(relayed)) => read_relayed(relayed?)?,
        Ok(body::Sync(sync)) => read_sync(sync?)?,
        Ok(body::Page(page)) => Body::Page(read_page(page?)?),
    })
}

fn read_relay(from: wire::relay::Reader<'_>) -> Result<Body, DropReason> {
    Ok(Body::IndirectPing {
        sequence: from.get_sequence(),
        vm: read_vm(from.get_vm())?,
        address: read_address(from.get_address()?)?,
    })
}

fn read_relayed(from: wire::relayed::Reader<'_>) -> Result<Body, DropReason> {
    Ok(Body::IndirectAck {
        sequence: from.get_sequence(),
        vm: read_vm(from.get_vm())?,
    })
}

fn read_sync(from: wire::sync::Reader<'_>) -> Result<Body, DropReason> {
    Ok(Body::SyncRequest {
        digests: from.get_digests()?.iter().collect(),
        budget: from.get_budget(),
    })
}

fn read_page(from: wire::page::Reader<'_>) -> Result<Page, DropReason> {
    Ok(Page {
        bucket: from.get_bucket(),
        wants_reply: from.get_answer(),
        after: from
            .has_after()
            .then(|| read_vm(from.get_after()))
            .transpose()?,
        until: from
            .has_until()
            .then(|| read_vm(from.get_until()))
            .transpose()?,
        entries: read_changes(from.get_entries()?)?,
    })
}

/// Reads changes, except those with a state that only newer versions know.
fn read_changes(
    from: struct_list::Reader<'_, wire::change::Owned>,
) -> Result<Vec<Change>, DropReason> {
    from.iter()
        .filter_map(|change| read_change(change).transpose())
        .collect()
}

fn read_change(from: wire::change::Reader<'_>) -> Result<Option<Change>, DropReason> {
    let Ok(state) = from.get_state() else {
        return Ok(None);
    };
    let place = from.has_place().then(|| read_place(from.get_place()?));
    Ok(Some(Change {
        vm: read_vm(from.get_vm())?,
        incarnation: Incarnation {
            boot: from.get_boot(),
            count: from.get_count(),
        },
        state: state_from_wire(state),
        place: place.transpose()?,
    }))
}

const fn state_from_wire(state: wire::State) -> State {
    match state {
        wire::State::Alive => State::Alive,
        wire::State::Leaving => State::Leaving,
        wire::State::Suspect => State::Suspect,
        wire::State::Failed => State::Failed,
        wire::State::Left => State::Left,
    }
}

fn read_place(from: wire::place::Reader<'_>) -> Result<Place, DropReason> {
    Ok(Place {
        zone: from
            .get_zone()?
            .to_str()
            .ok()
            .ok_or(DropReason::Malformed)?
            .into(),
        address: read_address(from.get_address()?)?,
    })
}

fn read_address(from: wire::address::Reader<'_>) -> Result<SocketAddr, DropReason> {
    let bytes = from.get_ip()?;
    let v4 = || {
        <[u8; 4]>::try_from(bytes)
            .map(Ipv4Addr::from)
            .map(IpAddr::V4)
    };
    let v6 = || {
        <[u8; 16]>::try_from(bytes)
            .map(Ipv6Addr::from)
            .map(IpAddr::V6)
    };
    let ip = v4().or_else(|_| v6()).ok().ok_or(DropReason::Malformed)?;
    Ok(SocketAddr::new(ip, from.get_port()))
}

fn read_hash(bytes: &[u8]) -> Result<BundleHash, DropReason> {
    let bytes = <[u8; 32]>::try_from(bytes);
    bytes.map(BundleHash).ok().ok_or(DropReason::Malformed)
}

/// Reads the name of a VM, which must not be empty.
fn read_vm(text: capnp::Result<text::Reader<'_>>) -> Result<Vm, DropReason> {
    match text?.to_str() {
        Ok(name) if !name.is_empty() => Ok(Vm::from(name)),
        _ => Err(DropReason::Malformed),
    }
}
