//! Execution of the upstream's own functions.

use std::sync::Arc;
use std::time::Duration;

use pgwire::api::Type;
use tokio::time::timeout;

use super::database::{Column, Description};
use super::error::{SqlError, code};
use super::faults::Fault;
use super::function::{Call, Function};
use super::log::{Entry, LogPosition};
use super::node::{Role, Status};
use super::reply::Reply;
use super::session::Session;
use super::shared::as_millis_i64;
use super::value::Value;

/// Longest wait of a pull for a new entry, after which it returns none.
///
/// Well under the failure detection time of 600 ms, so that an idle replica still sees its
/// primary alive.
const PULL_WAIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns the parameter types and result columns of a call.
pub(super) fn describe(call: &Call) -> Arc<Description> {
    let mut params = Vec::new();
    for (number, typ) in call.param_types() {
        if params.len() < number {
            params.resize(number, Type::TEXT);
        }
        params[number - 1] = typ;
    }
    let columns = call.function.columns().iter();
    let columns = columns.map(|(name, typ)| Column {
        name: (*name).to_owned(),
        typ: typ.clone(),
    });
    Arc::new(Description {
        params,
        columns: columns.collect(),
    })
}

/// Runs a call and returns its rows.
pub(super) async fn run(
    session: &Session,
    call: &Call,
    params: &[Value],
) -> Result<Reply, SqlError> {
    let rows = match call.function {
        Function::Status => vec![status_row(&session.shared.node().status())],
        Function::Fence | Function::Promote | Function::Follow => {
            vec![run_order(session, call, params).await?]
        }
        Function::Log => read_log(session, call, params).await?,
        Function::Fault => vec![set_fault(session, call, params)?],
    };
    Ok(Reply::Rows {
        tag: "SELECT",
        rows,
    })
}

async fn run_order(
    session: &Session,
    call: &Call,
    params: &[Value],
) -> Result<Vec<Value>, SqlError> {
    let (granted, status) = {
        let mut node = session.shared.node();
        let granted = match call.function {
            Function::Fence => node.fence(call.integer(0, params)?, &call.text(1, params)?),
            Function::Promote => node.promote(call.integer(0, params)?, &call.text(1, params)?),
            _ => node.follow(&call.text(0, params)?, call.integer(1, params)?),
        };
        (granted, node.status())
    };
    if granted {
        session.close_if_answer_dropped().await;
    }
    Ok(vec![
        Value::Integer(i64::from(granted)),
        Value::Integer(status.fence_term),
        Value::Integer(status.received.term),
        Value::Integer(status.received.position),
    ])
}

fn status_row(status: &Status) -> Vec<Value> {
    let role = match status.role {
        Role::Primary => "primary",
        Role::Replica => "replica",
    };
    let since_pull = status.since_pull.map(as_millis_i64);
    vec![
        Value::Text(role.to_owned()),
        Value::Integer(status.fence_term),
        Value::Integer(status.received.term),
        Value::Integer(status.received.position),
        Value::Integer(status.applied.term),
        Value::Integer(status.applied.position),
        since_pull.map_or(Value::Null, Value::Integer),
    ]
}

fn set_fault(session: &Session, call: &Call, params: &[Value]) -> Result<Vec<Value>, SqlError> {
    let name = call.text(0, params)?;
    let Some(fault) = Fault::parse(&name) else {
        let message = format!("unknown fault: {name}");
        return Err(SqlError::new(code::INVALID_TEXT, message));
    };
    session.shared.set_fault(fault, call.integer(1, params)?);
    Ok(vec![Value::Integer(1)])
}

/// Serves a pull: one row with the term and the last common position, then one row per entry.
async fn read_log(
    session: &Session,
    call: &Call,
    params: &[Value],
) -> Result<Vec<Vec<Value>>, SqlError> {
    let log_position = LogPosition {
        term: call.integer(0, params)?,
        position: call.integer(1, params)?,
    };
    let limit = usize::try_from(call.integer(2, params)?).unwrap_or(0);
    let mut tail = session.shared.node().watch_tail();
    // A pull that times out gets a reply too, which shows the replica that the primary is alive.
    drop(
        timeout(
            PULL_WAIT_TIMEOUT,
            tail.wait_for(|tail| *tail != log_position),
        )
        .await,
    );
    session.shared.faults.wait_unfrozen().await;
    if session.shared.faults.is_on(Fault::CutReplication) {
        return Err(SqlError::new(
            code::CANNOT_CONNECT_NOW,
            "replication is cut",
        ));
    }
    let node = session.shared.node();
    let Some((term, common, entries)) = node.entries_after(log_position, limit) else {
        let message = "this upstream is not the primary";
        return Err(SqlError::new(code::NOT_IN_PREREQUISITE_STATE, message));
    };
    let mut rows = vec![log_row(term, common, None)?];
    for entry in entries {
        rows.push(log_row(term, common, Some(entry))?);
    }
    Ok(rows)
}

fn log_row(term: i64, common: LogPosition, entry: Option<&Entry>) -> Result<Vec<Value>, SqlError> {
    let mut row = vec![
        Value::Integer(term),
        Value::Integer(common.term),
        Value::Integer(common.position),
    ];
    let Some(entry) = entry else {
        row.extend([Value::Null, Value::Null, Value::Null]);
        return Ok(row);
    };
    let statements = serde_json::to_string(&entry.statements)
        .map_err(|err| SqlError::new(code::INTERNAL_ERROR, err.to_string()))?;
    row.push(Value::Integer(entry.log_position.term));
    row.push(Value::Integer(entry.log_position.position));
    row.push(Value::Text(statements));
    Ok(row)
}
