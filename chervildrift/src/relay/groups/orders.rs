//! Orders to the platform to promote an upstream, and protection from unanswered ones.
//!
//! The platform may carry out an order seconds after the request timed out, and it has no query for
//! the state of an order. Each order has a greater fencing token than the previous one, so that an
//! accepted order invalidates all earlier ones.
//!
//! An order that names the leader, which revokes earlier ones, is a promotion itself: if it is
//! carried out after one of these, it replaces their target. Where replicas acknowledge commits, no
//! such order is sent, since the old leader may lack commits that its successor has acknowledged.

use std::rc::Rc;

use chervildrift_core::relay::Authority;
use chervildrift_core::types::{Service, Upstream};
use chervildrift_platform::promotion::{Error, PromotionClient};
use slog::{info, warn};
use smallvec::SmallVec;

use crate::relay::clock;
use crate::relay::node::Node;

/// Orders that concern one service.
pub(in crate::relay) struct Orders<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    /// Leader to be replaced, if one is known.
    leader: Option<&'a Upstream>,
    promotions: PromotionClient,
}

/// Leader that works but may be replaced by an outstanding order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::relay) struct Threat {
    /// Current leader.
    pub leader: Upstream,
    /// Upstreams that may replace it.
    pub targets: SmallVec<[Upstream; 2]>,
}

impl Threat {
    /// Returns the names of the targets for the log.
    pub(in crate::relay) fn target_names(&self) -> String {
        let names: Vec<&str> = self.targets.iter().map(Upstream::as_str).collect();
        names.join(" ")
    }
}

/// Returns the threat to the leader of a service from outstanding orders of this VM, if the VM can
/// do anything about it.
pub(in crate::relay) fn find_threat(node: &Node, service: &Service) -> Option<Threat> {
    // Without checked tokens a new order can't invalidate earlier ones.
    if !node.settings.tokens_checked && node.sync_replicas(service) == 0 {
        return None;
    }
    let now = clock::now();
    let leader = node.with_group(service, |group| group.trusted_leader(now).cloned())?;
    let targets = replacements(node, service, Some(&leader));
    (!targets.is_empty()).then_some(Threat { leader, targets })
}

/// Returns the upstreams that outstanding orders of this VM may make leader in place of this one.
pub(in crate::relay) fn replacements(
    node: &Node,
    service: &Service,
    leader: Option<&Upstream>,
) -> SmallVec<[Upstream; 2]> {
    let mut leases = node.leases.borrow_mut();
    let Some(authority) = leases.get_mut(service) else {
        return SmallVec::new();
    };
    if authority.expire_orders(clock::now()) {
        warn!(node.log, "orders expired without an answer"; "event" => "failover",
            "service" => %service);
    }
    authority.replacements(leader)
}

impl<'a> Orders<'a> {
    /// Creates the orders of a service; `None` if the settings name no promotion endpoint.
    pub(in crate::relay) fn new(
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
    pub(in crate::relay) fn holds_lease(&self) -> bool {
        let leases = self.node.leases.borrow();
        leases.get(self.service).is_some_and(Authority::may_promote)
    }

    /// Orders a promotion, without retries.
    pub(in crate::relay) async fn promote(&self, target: &Upstream) -> Result<(), Error> {
        self.send_order(target, "promotion ordered").await
    }

    /// Tries to revoke unanswered orders by an order that names the current leader.
    ///
    /// It changes nothing if the leader still leads when it is carried out, but invalidates the
    /// fencing tokens of all earlier orders.
    pub(in crate::relay) async fn revoke(&self, leader: &Upstream) {
        // The order's outcome is logged and recorded in the authority.
        let _outcome = self.send_order(leader, "order revoked").await;
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
            Err(Error::NoAnswer) => {
                self.with_authority(|authority| authority.mark_unanswered(clock::now()));
            }
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
