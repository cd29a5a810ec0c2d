//! What the engines of the fleet hold, as their agents report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use jujubewall_protocol::report::EngineHoldings;
use jujubewall_protocol::report::HoldingsReport;
use jujubewall_types::config::Upstream;

/// A handle on the newest report of each agent, by the agent's address.
#[derive(Clone, Debug, Default)]
pub struct FleetHoldings {
    reports: Arc<RwLock<HashMap<SocketAddr, HoldingsReport>>>,
}

impl FleetHoldings {
    /// Takes a report in unless a newer one is known, and returns whether it changes anything.
    pub fn accept(&self, agent: SocketAddr, report: HoldingsReport) -> bool {
        let mut reports = self.reports.write().unwrap_or_else(PoisonError::into_inner);
        let order = |report: &HoldingsReport| (report.incarnation, report.number);
        let Some(known) = reports.get_mut(&agent) else {
            reports.insert(agent, report);
            return true;
        };
        if order(&report) <= order(known) {
            return false;
        }
        let has_changed = known.engines != report.engines;
        *known = report;
        has_changed
    }

    /// Forgets the agents for which `is_kept` does not hold.
    pub fn retain(&self, is_kept: impl Fn(SocketAddr) -> bool) {
        let mut reports = self.reports.write().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|agent, _| is_kept(*agent));
    }

    /// Returns what an engine holds, if its agent has reported it.
    pub fn of(&self, upstream: &Upstream) -> Option<EngineHoldings> {
        let reports = self.reports.read().unwrap_or_else(PoisonError::into_inner);
        let report = reports.get(&upstream.agent_address)?;
        let mut engines = report.engines.iter();
        engines
            .find(|engine| engine.upstream == upstream.name)
            .cloned()
    }
}
