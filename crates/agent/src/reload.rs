//! Configuration reload: at SIGHUP the file is read again and replaces the settings in force, completely or not at all.

mod class_registry;

pub use class_registry::ClassRegistry;

use crate::config::Config;
use crate::intake::Catalogue;
use crate::metrics::Metrics;
use crate::plan::{KnownEndpoints, PoolEndpoints, PoolPlan, ServingPlan};
use crate::pools::Pools;
use crate::server::{ActivePlan, Server};
use heronhoist_decision::ClassId;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Reloads the configuration, and holds all that it changes.
pub struct Reloader {
    /// The configuration in effect.
    pub config: Config,
    /// Its request classes.
    pub classes: ClassRegistry,
    /// Counts successful and failed reloads.
    pub metrics: Rc<Metrics>,
    /// Serves the clients.
    pub server: Rc<Server>,
    /// The pools of record servers.
    pub pools: Rc<Pools>,
}

impl Reloader {
    /// Reloads at each SIGHUP, for as long as the agent runs.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.reload();
        }
    }

    /// Reads the file and applies it; an invalid file changes nothing and is logged.
    fn reload(&mut self) {
        match self.config.reread() {
            Ok(reloaded) => {
                self.apply(&reloaded.plan);
                self.config.replace(reloaded);
                self.metrics.reloads_ok.increment();
            }
            Err(fault) => {
                self.metrics.reloads_failed.increment();
                tracing::error!(fault, "the configuration stays as it was");
            }
        }
    }

    /// Applies a plan to clients and pools. There is no await in between, so no request sees only half of the change.
    fn apply(&mut self, plan: &ServingPlan) {
        let serving = apply_plan(plan, &mut self.classes, &self.pools, None);
        self.server.replace_plan(serving);
        let pools: Vec<String> = plan.pools.iter().map(describe).collect();
        tracing::info!(pools = pools.join(", "), "configuration reloaded");
    }
}

/// Updates classes and pools to a plan, and returns the part that the server of the clients needs.
///
/// It never fails or waits. At a start, `known` is the last known endpoint list of the first pool.
pub fn apply_plan(
    plan: &ServingPlan,
    classes: &mut ClassRegistry,
    pools: &Pools,
    known: Option<KnownEndpoints>,
) -> ActivePlan {
    let classes = classes.update(plan);
    let class_ids: Vec<ClassId> = classes.iter().map(|class| class.id).collect();
    pools.update(&plan.pools, &class_ids, known);
    ActivePlan {
        catalogue: Catalogue { classes, tenants: plan.tenants.clone() },
        routes: plan.routes.clone(),
        pools: pools.all(),
        mappings: Rc::clone(&plan.mappings),
    }
}

/// Describes a pool and the source of its endpoints, for the log.
fn describe(pool: &PoolPlan) -> String {
    match &pool.endpoints {
        PoolEndpoints::Discovery(address) => format!("{} by discovery at {address}", pool.name),
        PoolEndpoints::Static(servers) => format!("{} of {} servers", pool.name, servers.len()),
    }
}

#[cfg(test)]
mod tests;
