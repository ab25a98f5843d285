//! Ejections of upstreams that fail part of their work: judged from the outcomes at this VM, and
//! exchanged with other VMs in cached views.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Ejection, EjectionNews, Health, eject_outliers};
use chervildrift_core::types::{Service, Time, Upstream};
use slog::info;

use crate::relay::clock;
use crate::relay::connections::pool::Pool;
use crate::relay::node::Node;

/// Ejects the upstreams that fail far more of their work than the others of their service.
pub(in crate::relay) fn judge(node: &Node) {
    let now = clock::now();
    let services: Vec<Service> = node.routes.borrow().services();
    for service in &services {
        let pools: Vec<Rc<Pool>> = {
            let directory = node.directory.borrow();
            let entries = directory.of_service(service);
            entries
                .filter_map(|entry| node.pool(&entry.upstream))
                .collect()
        };
        let mut group: Vec<Health> = pools.iter().map(|it| it.health.get()).collect();
        let shares: Vec<f64> = group.iter().map(Health::failure_share).collect();
        for at in eject_outliers(now, &mut group) {
            pools[at].health.set(group[at]);
            let upstream = pools[at].upstream();
            let level = group[at].ejection(now).map(|it| it.level);
            node.metrics.count_ejection(&upstream, "own");
            info!(node.log, "upstream avoided"; "event" => "outlier", "upstream" => %upstream,
                "service" => %service, "source" => "own", "level" => level,
                "failed_percent" => (shares[at] * 100.0) as u64);
        }
    }
}

/// Returns the ejections in force.
pub(in crate::relay) fn news(node: &Node) -> Vec<EjectionNews> {
    let now = clock::now();
    let pools = node.pools.borrow();
    let ejected = |(upstream, pool): (&Upstream, &Rc<Pool>)| {
        let ejection = pool.health.get().ejection(now)?;
        Some(EjectionNews {
            upstream: upstream.clone(),
            age_ms: now.since(ejection.at).as_millis() as u64,
            level: ejection.level,
        })
    };
    pools.iter().filter_map(ejected).collect()
}

/// Applies ejections of which another VM told.
pub(in crate::relay) fn hear(node: &Node, news: &[EjectionNews]) {
    let now = clock::now();
    for heard in news {
        let Some(pool) = node.pool(&heard.upstream) else {
            continue;
        };
        let age = Duration::from_millis(heard.age_ms);
        let ejection = Ejection {
            at: Time(now.0.saturating_sub(age.as_micros() as u64)),
            level: heard.level,
        };
        let mut health = pool.health.get();
        if health.hear(now, ejection) {
            pool.health.set(health);
            node.metrics.count_ejection(&heard.upstream, "peer");
        }
    }
}
