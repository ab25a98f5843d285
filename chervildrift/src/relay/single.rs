//! Statements outside transactions: their tries and outcome.
//!
//! A statement that certainly did not run is tried elsewhere at once. A read may also be repeated
//! after a lost answer; a write may not, and its outcome is then unknown.

use std::rc::Rc;

use chervildrift_core::dispatch::Completion;
use chervildrift_core::relay::{Access, Code, MinPosition, PreparedStatement, Route, Session};
use chervildrift_core::types::{Caller, Time};
use chervildrift_platform::wire::Command;
use tokio::time::sleep;

use super::answer::{Answer, Failure};
use super::clock;
use super::confirm::{Commit, confirm};
use super::link::Reply;
use super::node::Node;
use super::turn::{PAUSE, Target, Turn};

/// Part of a statement's limit that one try of a read may take, so that another one is left.
const READ_PART: f64 = 0.6;

/// A statement outside a transaction.
pub(super) struct Single<'a> {
    pub node: &'a Rc<Node>,
    pub route: &'a Route,
    pub caller: &'a Caller,
    pub id: &'a str,
    pub text: &'a str,
    pub access: Access,
    pub shape: Option<&'a PreparedStatement>,
}

/// Outcome of one try.
enum Tried {
    /// The statement has its answer.
    Answered(Answer),
    /// Another try may be made.
    Again,
}

/// Runs a statement to its answer.
pub(super) async fn run(single: &Single<'_>, session: &mut Session) -> Answer {
    let mut turn = Turn::open(single.node, single.route, single.caller, single.id);
    loop {
        match try_once(single, &mut turn, session).await {
            Ok(Tried::Answered(answer)) => return answer,
            Ok(Tried::Again) => {}
            Err(failure) => return failure.into(),
        }
    }
}

async fn try_once(
    single: &Single<'_>,
    turn: &mut Turn<'_>,
    session: &mut Session,
) -> Result<Tried, Failure> {
    let target = turn.target(single.access, session).await?;
    let mut lease = turn.acquire(&target).await?;
    let asked = clock::now();
    let opened = turn
        .open_link(&target, &mut lease, session, single.shape)
        .await;
    let link = match opened {
        Ok(link) => link,
        Err(err) => return turn.lost(&target, &err, asked).await.map(|()| Tried::Again),
    };
    let read = single.access == Access::Read;
    let wrapped = read && target.floor == MinPosition::LeaderOnly;
    let command = Command::Run {
        id: single.id,
        after: match target.floor {
            MinPosition::AtLeast(mark) => Some(mark),
            MinPosition::LeaderOnly => None,
        },
        text: single.text,
    };
    let commands: &[Command<'_>] = if wrapped {
        // A plain read is answered also by an upstream that has lost its lead; the begin is not.
        &[
            Command::Begin(Access::Write, None),
            command,
            Command::Rollback,
        ]
    } else {
        &[command]
    };
    let limit = if read {
        turn.limit().mul_f64(READ_PART)
    } else {
        turn.limit()
    };
    let asked = clock::now();
    let ran = link.run_for(session, single.shape, commands, limit).await;
    lease.conclude(if ran.is_ok() {
        Completion::Answered
    } else {
        Completion::UpstreamFailed
    });
    drop(lease);
    let replies = match ran {
        Ok(replies) => replies,
        Err(err) if read => return turn.lost(&target, &err, asked).await.map(|()| Tried::Again),
        Err(err) => {
            turn.note_silence(&target, &err, asked);
            return Err(Failure::new(Code::InDoubt, err.to_string()));
        }
    };
    settle(single, turn, session, &target, asked, wrapped, replies).await
}

/// Judges the answers of one try.
async fn settle(
    single: &Single<'_>,
    turn: &mut Turn<'_>,
    session: &mut Session,
    target: &Target,
    asked: Time,
    wrapped: bool,
    replies: Vec<Reply>,
) -> Result<Tried, Failure> {
    let mut replies = replies.into_iter();
    if wrapped && let Some(begin) = replies.next() {
        if let Err(refusal) = begin.result {
            // The read ran outside a transaction, so its answer proves nothing.
            turn.refused(target, Some(refusal), asked).await?;
            return Ok(Tried::Again);
        }
        turn.observe(target, asked, begin.mark);
    }
    let Some(reply) = replies.next() else {
        return Err(Failure::new(Code::InDoubt, "no answer"));
    };
    turn.note_answer(target, asked, reply.mark);
    match reply.result {
        Ok(signature) => {
            if single.access == Access::Write {
                turn.observe(target, asked, reply.mark);
                let service = &single.route.service;
                if let Some(mark) = reply.mark {
                    let commit = Commit {
                        id: single.id,
                        service,
                        leader: &target.upstream,
                        mark,
                    };
                    confirm(single.node, &commit).await?;
                }
                let own = single
                    .node
                    .with_group(service, |group| group.tag_commit(reply.mark));
                session.last_commit = Some(own);
            }
            let rows = reply.rows;
            Ok(Tried::Answered(Answer::Upstream { rows, signature }))
        }
        Err((Code::Failed | Code::Timeout, _)) if single.access == Access::Read => {
            sleep(PAUSE).await;
            Ok(Tried::Again)
        }
        Err(refusal) => {
            turn.refused(target, Some(refusal), asked).await?;
            Ok(Tried::Again)
        }
    }
}
