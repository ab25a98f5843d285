//! Versioned routes from database names to services.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::code::Code;
use super::organisation::{KeyDigest, OrganisationRules, OrganisationTable};
use crate::types::{Kind, Organisation, Rank, Service};

/// Consistency of the reads of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Consistency {
    /// Reads see every commit that was acknowledged before.
    Primary,
    /// Reads see every commit that was acknowledged longer ago than this bound.
    Bounded(Duration),
    /// Like `Bounded`, and reads also see every commit of their own session.
    Session(Duration),
}

/// Route from a database name to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Kind of the requests, which is also the name of the route.
    pub kind: Kind,
    /// Name of the database that callers connect to.
    pub database: Box<str>,
    /// Service that runs the statements.
    pub service: Service,
    /// Consistency of reads.
    pub consistency: Consistency,
    /// Rank of the requests.
    pub rank: Rank,
    /// Time limit of a single statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation.
    pub target: Duration,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
}

/// Configuration of the upstreams of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRules {
    /// Maximum connections of one upstream, from all VMs together.
    pub connections: usize,
    /// Number of replicas that receive a commit before the leader acknowledges it.
    pub sync_replicas: usize,
}

/// One version of the complete set of routes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Routes {
    /// Version of the set, which increases with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Rules of the services.
    pub services: HashMap<Service, ServiceRules>,
    /// Time after which an idle transaction may be aborted.
    pub idle: Option<Duration>,
    /// Organisations; `None` if the configuration declares none, so that callers need no keys.
    #[serde(default)]
    pub organisations: Option<Vec<OrganisationRules>>,
}

/// Newest version of the routes, indexed by database name.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    current: Routes,
    by_database: HashMap<Box<str>, Arc<Route>>,
    organisations: Option<OrganisationTable>,
}

impl RouteTable {
    /// Applies a version and returns whether it is newer than the current one.
    pub fn apply(&mut self, routes: Routes) -> bool {
        if routes.version <= self.current.version {
            return false;
        }
        let named = |route: &Arc<Route>| (route.database.clone(), Arc::clone(route));
        self.by_database = routes.routes.iter().map(named).collect();
        let organisations = routes.organisations.as_deref();
        self.organisations = organisations.map(OrganisationTable::new);
        self.current = routes;
        true
    }

    /// Returns the current version of the complete set of routes.
    #[must_use]
    pub const fn current(&self) -> &Routes {
        &self.current
    }

    /// Returns the current version number, or 0 before the first one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.current.version
    }

    /// Returns the route of a database.
    #[must_use]
    pub fn find(&self, database: &str) -> Option<&Arc<Route>> {
        self.by_database.get(database)
    }

    /// Returns the organisations, or `None` if callers need no keys.
    #[must_use]
    pub const fn organisations(&self) -> Option<&OrganisationTable> {
        self.organisations.as_ref()
    }

    /// Returns the organisation for which an operation on a route runs; `None` if the route needs no
    /// key.
    ///
    /// Keys are withdrawn from open sessions too, so every operation has to ask.
    pub fn authorize(&self, route: &Route, key: &KeyDigest) -> Result<Option<Organisation>, Code> {
        match &self.organisations {
            Some(table) if !route.public => table.find(key).cloned().map(Some).ok_or(Code::Denied),
            _ => Ok(None),
        }
    }

    /// Returns the routes to a service.
    pub fn of_service<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Arc<Route>> {
        let routes = self.current.routes.iter();
        routes.filter(move |route| route.service == *service)
    }

    /// Returns the services of the current version.
    #[must_use]
    pub fn services(&self) -> Vec<Service> {
        self.current.services.keys().cloned().collect()
    }

    /// Returns the rules of a service.
    #[must_use]
    pub fn rules(&self, service: &Service) -> Option<ServiceRules> {
        self.current.services.get(service).copied()
    }

    /// Returns the time after which an idle transaction may be aborted.
    #[must_use]
    pub const fn transaction_idle(&self) -> Option<Duration> {
        self.current.idle
    }
}
