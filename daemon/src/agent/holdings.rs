//! What an agent reports about its engines.

use std::collections::BTreeMap;

use jujubewall_protocol::report::EngineHoldings;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::UpstreamName;
use smallvec::SmallVec;

/// The number of readings in a row after whose failure an engine counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;

/// One engine as it was last seen.
#[derive(Debug)]
struct Seen {
    holdings: EngineHoldings,
    failures: u32,
}

/// What an agent reports about its engines, and whether that has changed.
#[derive(Debug, Default)]
pub struct Holdings {
    engines: BTreeMap<UpstreamName, Seen>,
    has_changed: bool,
}

impl Holdings {
    /// Forgets the engines for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&UpstreamName) -> bool) {
        let before = self.engines.len();
        self.engines.retain(|name, _| is_kept(name));
        self.has_changed |= self.engines.len() != before;
    }

    /// Notes what an engine has loaded; what it has dropped is no longer drained.
    pub fn on_status(&mut self, engine: &UpstreamName, loaded: &[Assignment]) {
        let loaded: SmallVec<[Assignment; 2]> = loaded.iter().cloned().collect();
        let is_new = !self.engines.contains_key(engine);
        let seen = self.seen(engine);
        seen.failures = 0;
        let holdings = &mut seen.holdings;
        let is_same = holdings.is_reachable && holdings.loaded == loaded;
        holdings.is_reachable = true;
        holdings.draining.retain(|held| loaded.contains(held));
        holdings.loaded = loaded;
        self.has_changed |= is_new || !is_same;
    }

    /// Notes that an engine's status could not be read.
    pub fn on_status_failed(&mut self, engine: &UpstreamName) {
        let seen = self.seen(engine);
        seen.failures += 1;
        let is_lost = seen.failures == UNREACHABLE_AFTER;
        if is_lost {
            seen.holdings.is_reachable = false;
            self.has_changed = true;
        }
    }

    /// Notes that an assignment takes no new work, or takes it again.
    pub fn set_draining(
        &mut self,
        engine: &UpstreamName,
        assignment: &Assignment,
        is_draining: bool,
    ) {
        let holdings = &mut self.seen(engine).holdings;
        holdings.draining.retain(|held| held != assignment);
        if is_draining {
            holdings.draining.push(assignment.clone());
        }
        self.has_changed = true;
    }

    /// Returns whether anything has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Lists the engines.
    pub fn list(&self) -> Vec<EngineHoldings> {
        let engines = self.engines.values();
        engines.map(|seen| seen.holdings.clone()).collect()
    }

    fn seen(&mut self, engine: &UpstreamName) -> &mut Seen {
        self.engines.entry(engine.clone()).or_insert_with(|| Seen {
            holdings: EngineHoldings {
                upstream: engine.clone(),
                is_reachable: false,
                loaded: SmallVec::new(),
                draining: SmallVec::new(),
            },
            failures: 0,
        })
    }
}
