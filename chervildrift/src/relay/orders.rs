//! Orders to the platform to promote an upstream, and revocation of unanswered ones.
//!
//! The platform may carry out an order seconds after the request timed out, and it has no query for
//! the state of an order. Each order has a greater fencing token than the previous one, so that an
//! accepted order invalidates all earlier ones.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::Authority;
use chervildrift_core::types::{Service, Upstream};
use chervildrift_platform::promotion::{Error, PromotionClient};
use slog::{info, warn};
use tokio::time::sleep;

use super::clock;
use super::node::Node;

/// Time that a promotion takes after the order was accepted, including the start of the new leader.
pub(super) const PROMOTION_DURATION: Duration = Duration::from_secs(4);

/// Time after which an unanswered order is no longer expected to take effect; the platform's
/// documentation speaks of seconds.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(12);

/// Delay before an order is repeated.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Orders that concern one service.
pub(super) struct Orders<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    /// Leader to be replaced, if one is known.
    leader: Option<&'a Upstream>,
    promotions: PromotionClient,
}

/// Returns the current leader of a service if an unanswered order of this VM may still replace it.
///
/// Returns `None` if the platform does not check fencing tokens, since a new order can't invalidate
/// earlier ones then.
pub(super) fn leader_at_risk(node: &Node, service: &Service) -> Option<Upstream> {
    if !node.settings.tokens_checked {
        return None;
    }
    let leases = node.leases.borrow();
    let authority = leases.get(service)?;
    let now = clock::now();
    let leader = node.with_group(service, |group| group.trusted_leader(now).cloned());
    leader.filter(|leader| authority.may_replace(leader))
}

impl<'a> Orders<'a> {
    /// Creates the orders of a service; `None` if the settings name no promotion endpoint.
    pub(super) fn new(
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

    /// Returns whether this VM holds the lease of the service.
    pub(super) fn holds_lease(&self) -> bool {
        let leases = self.node.leases.borrow();
        leases.get(self.service).is_some_and(Authority::may_promote)
    }

    /// Orders a promotion, without retries.
    pub(super) async fn promote(&self, target: &Upstream) -> Result<(), Error> {
        self.send_order(target, "promotion ordered").await
    }

    /// Prevents unanswered orders from replacing a leader that works.
    ///
    /// An order that names the current leader changes nothing but invalidates the fencing tokens of
    /// all earlier ones. An order that was accepted before it may still take effect. Where replicas
    /// acknowledge commits, the fences therefore stay for the duration of a promotion.
    pub(super) async fn revoke(&self) {
        let deadline = clock::now() + REVOKE_TIMEOUT;
        while let Some(leader) = leader_at_risk(self.node, self.service) {
            if clock::now() >= deadline {
                warn!(self.node.log, "order not revoked"; "event" => "failover",
                    "service" => %self.service, "leader" => %leader);
                self.with_authority(Authority::clear_orders);
                return;
            }
            match self.send_order(&leader, "order revoked").await {
                Ok(()) => return self.await_promotion(&leader).await,
                Err(Error::Conflict | Error::Rejected(_)) => return,
                Err(_) => sleep(ORDER_RETRY_DELAY).await,
            }
        }
    }

    /// Waits for the duration of a promotion while this leader works, if the service has
    /// synchronous replicas.
    async fn await_promotion(&self, leader: &Upstream) {
        let rules = self.node.routes.borrow().rules(self.service);
        if rules.is_none_or(|rules| rules.sync_replicas == 0) {
            return;
        }
        let deadline = clock::now() + PROMOTION_DURATION;
        let still_leads = || {
            let now = clock::now();
            let current = self.node.with_group(self.service, |group| {
                group.trusted_leader(now) == Some(leader)
            });
            current && now < deadline
        };
        while still_leads() {
            sleep(ORDER_RETRY_DELAY).await;
        }
    }

    fn with_authority(&self, change: impl FnOnce(&mut Authority)) {
        if let Some(authority) = self.node.leases.borrow_mut().get_mut(self.service) {
            change(authority);
        }
    }

    /// Sends an order with the next fencing token of the lease; a refusal ends the lease.
    async fn send_order(&self, target: &Upstream, message: &'static str) -> Result<(), Error> {
        let vm = &self.node.settings.vm;
        let next_token = self
            .node
            .leases
            .borrow_mut()
            .get_mut(self.service)
            .and_then(|authority| authority.begin_order(target));
        let Some(token) = next_token else {
            warn!(self.node.log, "promotion not ordered without a lease"; "event" => "failover",
                "service" => %self.service, "upstream" => %target);
            return Err(Error::Conflict);
        };
        let result = self
            .promotions
            .promote(self.service, target, vm, token)
            .await;
        info!(self.node.log, "{}", message; "event" => "failover", "service" => %self.service,
            "upstream" => %target, "token" => token,
            "replaces" => self.leader.map(Upstream::as_str),
            "outcome" => result.as_ref().map_or_else(ToString::to_string, |()| "taken".into()));
        let outcome = match &result {
            Ok(()) => "taken",
            Err(Error::Conflict) => "conflict",
            Err(_) => "failed",
        };
        self.node.metrics.count_order(self.service, outcome);
        match &result {
            Ok(()) => self.with_authority(Authority::clear_orders),
            Err(Error::NoAnswer) => self.with_authority(Authority::mark_unanswered),
            Err(Error::Conflict | Error::Rejected(_)) => {
                self.node.leases.borrow_mut().remove(self.service);
            }
            Err(Error::Unavailable | Error::Setup(_)) => {
                self.with_authority(Authority::cancel_order);
            }
        }
        result
    }
}
