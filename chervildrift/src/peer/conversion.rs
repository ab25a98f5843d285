//! Conversion of messages to and from Cap'n Proto.

use std::time::Duration;

use capnp::{Error, Result, struct_list, text};
use chervildrift_core::types::{GroupId, LogPosition, Rank, Term};

use super::message::{
    Access, GroupState, Handover, Idempotency, Load, Pong, Reply, ReplyState, Request, Statement,
    TransactionStep, UpstreamState,
};
use super::peer_capnp as wire;

/// Reads a text field and converts it to the target type.
fn read_text<T: for<'a> From<&'a str>>(text: Result<text::Reader<'_>>) -> Result<T> {
    Ok(T::from(text?.to_str()?))
}

/// Converts a duration to milliseconds, rounded down.
fn millis_floor(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a duration to milliseconds, rounded up.
fn millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

fn write_position(position: LogPosition, mut to: wire::mark::Builder<'_>) {
    to.set_term(position.term.0);
    to.set_position(position.position.0);
}

fn read_position(from: wire::mark::Reader<'_>) -> LogPosition {
    LogPosition::new(from.get_term(), from.get_position())
}

const fn rank_to_wire(rank: Rank) -> wire::Rank {
    match rank {
        Rank::Urgent => wire::Rank::Urgent,
        Rank::Routine => wire::Rank::Routine,
        Rank::Bulk => wire::Rank::Bulk,
    }
}

/// Reads a rank; one that only newer versions know is treated as bulk work.
fn rank_from_wire(rank: std::result::Result<wire::Rank, capnp::NotInSchema>) -> Rank {
    match rank {
        Ok(wire::Rank::Urgent) => Rank::Urgent,
        Ok(wire::Rank::Routine) => Rank::Routine,
        Ok(wire::Rank::Bulk) | Err(_) => Rank::Bulk,
    }
}

fn write_load(load: Load, mut to: wire::load::Builder<'_>) {
    let [urgent, routine, bulk] = load;
    to.set_urgent(urgent);
    to.set_routine(routine);
    to.set_bulk(bulk);
}

fn read_load(from: wire::load::Reader<'_>) -> Load {
    [from.get_urgent(), from.get_routine(), from.get_bulk()]
}

/// Writes a request to its Cap'n Proto struct.
pub fn write_request(request: &Request, mut to: wire::request::Builder<'_>) {
    to.set_id(request.id);
    to.set_service(request.service.as_str());
    to.set_kind(request.kind.as_str());
    to.set_key(request.key.as_str());
    to.set_caller(request.caller.as_str());
    to.set_rank(rank_to_wire(request.rank));
    to.set_upstream(request.upstream.as_str());
    to.set_remaining_ms(millis_floor(request.remaining));
    to.set_generation(request.generation);
    to.set_access(match request.access {
        Access::Write => wire::Access::Write,
        Access::Read => wire::Access::Read,
    });
    if let Some(position) = request.min_position {
        write_position(position, to.reborrow().init_token());
    }
    if let Some(bound) = request.age_bound {
        to.reborrow().init_age_bound().set_ms(millis_floor(bound));
    }
    if let Some(idempotency) = &request.idempotency {
        let mut key = to.reborrow().init_idempotency();
        key.set_key(idempotency.key.as_str());
        key.set_digest(idempotency.digest.as_str());
    }
    if let Some(transaction) = &request.transaction {
        to.set_transaction(transaction.as_str());
    }
    write_statements(
        &request.statements,
        to.init_statements(request.statements.len() as u32),
    );
}

fn write_statements(
    statements: &[Statement],
    mut to: struct_list::Builder<'_, wire::statement::Owned>,
) {
    for (index, statement) in statements.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_sql(statement.sql.as_str());
        to.set_params(statement.params.as_str());
    }
}

/// Reads a request from its Cap'n Proto struct.
pub fn read_request(from: wire::request::Reader<'_>) -> Result<Request> {
    Ok(Request {
        id: from.get_id(),
        service: read_text(from.get_service())?,
        kind: read_text(from.get_kind())?,
        key: read_text(from.get_key())?,
        caller: read_text(from.get_caller())?,
        rank: rank_from_wire(from.get_rank()),
        upstream: read_text(from.get_upstream())?,
        statements: read_statements(from.get_statements()?)?,
        min_position: optional(from.has_token(), || Ok(read_position(from.get_token()?)))?,
        age_bound: read_bound(from.get_age_bound())?,
        remaining: Duration::from_millis(from.get_remaining_ms()),
        idempotency: optional(from.has_idempotency(), || {
            read_idempotency(from.get_idempotency()?)
        })?,
        access: match from.get_access() {
            Ok(wire::Access::Read) => Access::Read,
            Ok(wire::Access::Write) | Err(_) => Access::Write,
        },
        transaction: optional(from.has_transaction(), || read_text(from.get_transaction()))?,
        generation: from.get_generation(),
    })
}

/// Reads an optional field.
fn optional<T>(present: bool, read: impl FnOnce() -> Result<T>) -> Result<Option<T>> {
    present.then(read).transpose()
}

fn read_statements(
    from: struct_list::Reader<'_, wire::statement::Owned>,
) -> Result<Vec<Statement>> {
    from.iter()
        .map(|statement| {
            Ok(Statement {
                sql: read_text(statement.get_sql())?,
                params: read_text(statement.get_params())?,
            })
        })
        .collect()
}

fn read_bound(from: wire::request::age_bound::Reader<'_>) -> Result<Option<Duration>> {
    match from.which()? {
        wire::request::age_bound::None(()) => Ok(None),
        wire::request::age_bound::Ms(ms) => Ok(Some(Duration::from_millis(ms))),
    }
}

fn read_idempotency(from: wire::idempotency::Reader<'_>) -> Result<Idempotency> {
    Ok(Idempotency {
        key: read_text(from.get_key())?,
        digest: read_text(from.get_digest())?,
    })
}

/// Writes a reply to its Cap'n Proto struct.
pub fn write_reply(reply: &Reply, mut to: wire::reply::Builder<'_>) {
    write_state(&reply.state, to.reborrow().init_state());
    to.set_answer(&reply.answer);
    to.set_generation(reply.generation);
    write_load(reply.load, to.reborrow().init_load());
    if let Some(position) = reply.position {
        write_position(position, to.reborrow().init_mark());
    }
    if let Some(group) = &reply.group {
        write_group(group, to.init_group());
    }
}

fn write_state(state: &ReplyState, mut to: wire::reply::state::Builder<'_>) {
    match state {
        ReplyState::Unknown => to.set_unknown(()),
        ReplyState::Done => to.set_done(()),
        ReplyState::NotRun { reason } => to.set_not_run(reason.as_str()),
        ReplyState::Failed { code, message } => {
            let mut failure = to.init_failed();
            failure.set_code(code.as_str());
            failure.set_message(message.as_str());
        }
    }
}

/// Reads a reply from its Cap'n Proto struct.
pub fn read_reply(from: wire::reply::Reader<'_>) -> Result<Reply> {
    Ok(Reply {
        state: read_state(from.get_state())?,
        answer: from.get_answer()?.to_vec(),
        position: optional(from.has_mark(), || Ok(read_position(from.get_mark()?)))?,
        group: optional(from.has_group(), || read_group(from.get_group()?))?,
        load: read_load(from.get_load()?),
        generation: from.get_generation(),
    })
}

/// Reads the state of a reply; one that only newer versions know is treated as unknown.
fn read_state(from: wire::reply::state::Reader<'_>) -> Result<ReplyState> {
    use wire::reply::state;

    match from.which() {
        Ok(state::Unknown(())) | Err(capnp::NotInSchema(_)) => Ok(ReplyState::Unknown),
        Ok(state::Done(())) => Ok(ReplyState::Done),
        Ok(state::NotRun(reason)) => Ok(ReplyState::NotRun {
            reason: read_text(reason)?,
        }),
        Ok(state::Failed(failure)) => read_failure(failure?),
    }
}

fn read_failure(from: wire::failure::Reader<'_>) -> Result<ReplyState> {
    Ok(ReplyState::Failed {
        code: read_text(from.get_code())?,
        message: read_text(from.get_message())?,
    })
}

/// Writes the state of a group.
pub fn write_group(group: &GroupState, mut to: wire::group_state::Builder<'_>) {
    to.set_term(group.term.0);
    if let Some(index) = group.primary {
        to.reborrow().init_primary().set_index(index);
    }
    let mut upstreams = to.init_upstreams(group.upstreams.len() as u32);
    for (index, upstream) in group.upstreams.iter().enumerate() {
        write_upstream(upstream, upstreams.reborrow().get(index as u32));
    }
}

fn write_upstream(upstream: &UpstreamState, mut to: wire::upstream_state::Builder<'_>) {
    write_position(upstream.received, to.reborrow().init_received());
    write_position(upstream.applied, to.reborrow().init_applied());
    if let Some(age) = upstream.age {
        // Rounded down, an age could pass a staleness bound that it exceeds.
        to.reborrow().init_age().set_ms(millis_ceil(age));
    }
    write_load(upstream.load, to.init_load());
}

/// Reads the state of a group.
pub fn read_group(from: wire::group_state::Reader<'_>) -> Result<GroupState> {
    use wire::group_state::primary;

    Ok(GroupState {
        primary: match from.get_primary().which()? {
            primary::None(()) => None,
            primary::Index(index) => Some(index),
        },
        term: Term(from.get_term()),
        upstreams: from
            .get_upstreams()?
            .iter()
            .map(read_upstream)
            .collect::<Result<_>>()?,
    })
}

fn read_upstream(from: wire::upstream_state::Reader<'_>) -> Result<UpstreamState> {
    use wire::upstream_state::age;

    Ok(UpstreamState {
        received: read_position(from.get_received()?),
        applied: read_position(from.get_applied()?),
        age: match from.get_age().which()? {
            age::Unknown(()) => None,
            age::Ms(ms) => Some(Duration::from_millis(ms)),
        },
        load: read_load(from.get_load()?),
    })
}

/// Writes the identifier of a group.
pub fn write_group_id(group: &GroupId, mut to: wire::group_id::Builder<'_>) {
    to.set_service(group.service.as_str());
    to.set_instance(group.instance.as_str());
}

/// Reads the identifier of a group.
pub fn read_group_id(from: wire::group_id::Reader<'_>) -> Result<GroupId> {
    Ok(GroupId {
        service: read_text(from.get_service())?,
        instance: read_text(from.get_instance())?,
    })
}

/// Writes a handover.
pub fn write_handover(handover: &Handover, mut to: wire::handover::Builder<'_>) {
    write_group_id(&handover.group, to.reborrow().init_group());
    to.set_upstream(handover.upstream.as_str());
    to.set_generation(handover.generation);
    to.set_state(&handover.state);
}

/// Reads a handover.
pub fn read_handover(from: wire::handover::Reader<'_>) -> Result<Handover> {
    Ok(Handover {
        group: read_group_id(from.get_group()?)?,
        upstream: read_text(from.get_upstream())?,
        generation: from.get_generation(),
        state: from.get_state()?.to_vec(),
    })
}

/// Writes a pong.
pub fn write_pong(pong: Pong, mut to: wire::pong::Builder<'_>) {
    to.set_generation(pong.generation);
    write_load(pong.load, to.init_load());
}

/// Reads a pong.
pub fn read_pong(from: wire::pong::Reader<'_>) -> Result<Pong> {
    Ok(Pong {
        generation: from.get_generation(),
        load: read_load(from.get_load()?),
    })
}

/// Converts a transaction step to its Cap'n Proto enum.
pub const fn step_to_wire(step: TransactionStep) -> wire::Step {
    match step {
        TransactionStep::Open => wire::Step::Open,
        TransactionStep::Execute => wire::Step::Execute,
        TransactionStep::Commit => wire::Step::Commit,
        TransactionStep::Rollback => wire::Step::Rollback,
    }
}

/// Reads a transaction step, and rejects one that only newer versions know.
pub fn step_from_wire(
    step: std::result::Result<wire::Step, capnp::NotInSchema>,
) -> Result<TransactionStep> {
    match step {
        Ok(wire::Step::Open) => Ok(TransactionStep::Open),
        Ok(wire::Step::Execute) => Ok(TransactionStep::Execute),
        Ok(wire::Step::Commit) => Ok(TransactionStep::Commit),
        Ok(wire::Step::Rollback) => Ok(TransactionStep::Rollback),
        Err(_) => Err(Error::unimplemented("unknown transaction step".into())),
    }
}
