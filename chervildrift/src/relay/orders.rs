//! Orders to the platform to promote an upstream, and what becomes of those without an answer.
//!
//! The platform may carry out an order seconds after it was given up, and nothing can be read back.
//! Each order has a greater fencing token than the last one, so that an order which is taken outdates
//! all earlier ones.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::Authority;
use chervildrift_core::types::{Service, Upstream};
use chervildrift_platform::promotion::{Error, Promotions};
use slog::{info, warn};
use tokio::time::sleep;

use super::clock;
use super::node::Node;

/// Pause after an order that was taken; it covers the start of the new leader.
pub(super) const ORDER_PAUSE: Duration = Duration::from_secs(4);

/// Time after which an order without an answer is no longer expected; the platform's pages speak of
/// seconds.
const REVOKE_LIMIT: Duration = Duration::from_secs(12);

/// Pause before an order is given again.
const PAUSE: Duration = Duration::from_millis(150);

/// Orders that concern one service.
pub(super) struct Orders<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    /// Leader that is to be replaced, if one is known.
    leader: Option<&'a Upstream>,
    promotions: Promotions,
}

/// Returns the leader of a service if an order of this VM without an answer may still replace it.
///
/// Where the platform checks no fencing tokens, an order outdates no other one and is not revoked.
pub(super) fn threatened(node: &Node, service: &Service) -> Option<Upstream> {
    if !node.settings.tokens_checked {
        return None;
    }
    let claims = node.claims.borrow();
    let authority = claims.get(service)?;
    let now = clock::now();
    let leader = node.with_group(service, |group| group.trusted_leader(now).cloned());
    leader.filter(|leader| authority.may_replace(leader))
}

impl<'a> Orders<'a> {
    /// Opens the orders on a service; `None` if the settings name nobody who takes them.
    pub(super) fn open(
        node: &'a Rc<Node>,
        service: &'a Service,
        leader: Option<&'a Upstream>,
    ) -> Option<Self> {
        let promotions = node.promotions.clone()?;
        Some(Self {
            node,
            service,
            leader,
            promotions,
        })
    }

    /// Tells whether this VM may order promotions of the service.
    pub(super) fn is_claimed(&self) -> bool {
        let claims = self.node.claims.borrow();
        claims.get(self.service).is_some_and(Authority::is_held)
    }

    /// Orders a promotion once.
    pub(super) async fn promote(&self, target: &Upstream) -> Result<(), Error> {
        self.order(target, "promotion ordered").await
    }

    /// Makes sure that no order without an answer replaces a leader that works after all.
    ///
    /// An order that names the present leader changes nothing and outdates the fencing tokens of all
    /// earlier ones. One that was taken before may still come into force, so that the fences hold for
    /// the time of a promotion where commits are acknowledged by replicas.
    pub(super) async fn revoke(&self) {
        let end = clock::now() + REVOKE_LIMIT;
        while let Some(leader) = threatened(self.node, self.service) {
            if clock::now() >= end {
                warn!(self.node.log, "order not revoked"; "event" => "failover",
                    "service" => %self.service, "leader" => %leader);
                self.with_authority(Authority::clear_orders);
                return;
            }
            match self.order(&leader, "order revoked").await {
                Ok(()) => return self.await_promotion(&leader).await,
                Err(Error::Conflict | Error::Rejected(_)) => return,
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    /// Waits for the time that a promotion takes, while this leader works.
    async fn await_promotion(&self, leader: &Upstream) {
        let rules = self.node.routes.borrow().rules(self.service);
        if rules.is_none_or(|rules| rules.sync_replicas == 0) {
            return;
        }
        let end = clock::now() + ORDER_PAUSE;
        let works = || {
            let now = clock::now();
            let current = self.node.with_group(self.service, |group| {
                group.trusted_leader(now) == Some(leader)
            });
            current && now < end
        };
        while works() {
            sleep(PAUSE).await;
        }
    }

    fn with_authority(&self, change: impl FnOnce(&mut Authority)) {
        if let Some(authority) = self.node.claims.borrow_mut().get_mut(self.service) {
            change(authority);
        }
    }

    /// Gives an order once, under the next fencing token of the claim; a refusal ends the claim.
    async fn order(&self, target: &Upstream, message: &'static str) -> Result<(), Error> {
        let vm = &self.node.settings.vm;
        let claimed = self
            .node
            .claims
            .borrow_mut()
            .get_mut(self.service)
            .and_then(|authority| authority.begin_order(target));
        let Some(token) = claimed else {
            warn!(self.node.log, "no claim to order under"; "event" => "failover",
                "service" => %self.service, "upstream" => %target);
            return Err(Error::Conflict);
        };
        let order = self
            .promotions
            .promote(self.service, target, vm, token)
            .await;
        info!(self.node.log, "{}", message; "event" => "failover", "service" => %self.service,
            "upstream" => %target, "token" => token, "replaces" => self.leader.map(Upstream::as_str),
            "outcome" => order.as_ref().map_or_else(ToString::to_string, |()| "taken".into()));
        let outcome = match &order {
            Ok(()) => "taken",
            Err(Error::Conflict) => "conflict",
            Err(_) => "failed",
        };
        self.node.metrics.ordered(self.service, outcome);
        match &order {
            Ok(()) => self.with_authority(Authority::clear_orders),
            Err(Error::NoAnswer) => self.with_authority(Authority::mark_unanswered),
            Err(Error::Conflict | Error::Rejected(_)) => {
                self.node.claims.borrow_mut().remove(self.service);
            }
            Err(Error::Unavailable | Error::Setup(_)) => {
                self.with_authority(Authority::cancel_order);
            }
        }
        order
    }
}
