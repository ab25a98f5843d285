//! Routes from database names to services, by version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{Kind, Rank, Service};

/// What a read of a route must see.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Consistency {
    /// Every commit that was acknowledged before.
    Primary,
    /// Every commit that was acknowledged longer than this ago.
    Bounded(Duration),
    /// As `Bounded`, and every commit of its own session.
    Session(Duration),
}

/// A route from a database name to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Kind of work, which is the name of the route.
    pub kind: Kind,
    /// Name of the database that callers ask for.
    pub database: Box<str>,
    /// Service that runs the statements.
    pub service: Service,
    /// What reads must see.
    pub consistency: Consistency,
    /// Rank of the work.
    pub rank: Rank,
    /// Limit of a single statement.
    pub timeout: Duration,
    /// Objective for the time of a whole operation.
    pub target: Duration,
}

/// What the configuration says of the upstreams of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRules {
    /// Connections that one upstream takes from all callers together.
    pub connections: usize,
    /// Replicas that have received a commit before the leader acknowledges it.
    pub sync_replicas: usize,
}

/// One version of all routes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Routes {
    /// Version; a greater one is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Rules of the services.
    pub services: HashMap<Service, ServiceRules>,
    /// Time after which an idle transaction may be ended.
    pub idle: Option<Duration>,
}

/// The newest version of all routes, by database name.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    current: Routes,
    by_database: HashMap<Box<str>, Arc<Route>>,
}

impl RouteTable {
    /// Takes in a version; false if it is not newer than the current one.
    pub fn apply(&mut self, routes: Routes) -> bool {
        if routes.version <= self.current.version {
            return false;
        }
        let named = |route: &Arc<Route>| (route.database.clone(), Arc::clone(route));
        self.by_database = routes.routes.iter().map(named).collect();
        self.current = routes;
        true
    }

    /// Returns the current version with all routes.
    #[must_use]
    pub const fn current(&self) -> &Routes {
        &self.current
    }

    /// Returns the version, or 0 before the first one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.current.version
    }

    /// Returns the route of a database.
    #[must_use]
    pub fn find(&self, database: &str) -> Option<&Arc<Route>> {
        self.by_database.get(database)
    }

    /// Returns the routes to a service.
    pub fn of_service<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Arc<Route>> {
        let routes = self.current.routes.iter();
        routes.filter(move |route| route.service == *service)
    }

    /// Returns the services that any route leads to.
    #[must_use]
    pub fn services(&self) -> Vec<Service> {
        self.current.services.keys().cloned().collect()
    }

    /// Returns the rules of a service.
    #[must_use]
    pub fn rules(&self, service: &Service) -> Option<ServiceRules> {
        self.current.services.get(service).copied()
    }

    /// Returns the time after which an idle transaction may be ended.
    #[must_use]
    pub const fn transaction_idle(&self) -> Option<Duration> {
        self.current.idle
    }
}
