//! The engines known to the chooser and the work in flight at each.

use std::collections::HashMap;
use std::collections::HashSet;

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use slotmap::SlotMap;
use slotmap::new_key_type;
use twox_hash::XxHash64;

use super::prefixes::PrefixHints;
use super::refusals::Refusals;
use super::speed::StepRatio;
use super::view::EngineView;
use crate::path::DomainIndex;

new_key_type! {
    /// The key of one assignment of one engine in the arena.
    pub(super) struct EngineKey;
}

/// The key of the group of engines that hold one version of a model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct GroupKey {
    pub(super) model: ModelName,
    pub(super) version: VersionName,
}

/// One assignment of one engine, with this entry's work in flight there.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) view: EngineView,
    pub(super) domain: DomainIndex,
    /// This entry's work in flight, in seconds at the rated speed.
    pub(super) in_flight_s: f64,
    /// The ratio of measured to rated step times.
    pub(super) step_ratio: StepRatio,
    /// The prefixes that the engine's cache probably holds.
    pub(super) prefixes: PrefixHints,
    /// The hash of the engine's name, from which entries derive equal preferences.
    pub(super) name_hash: u64,
    /// The accounts whose work the agent currently refuses.
    pub(super) refusals: Refusals,
}

impl Engine {
    /// Returns the time per layer that a request takes at the rated speed.
    pub(super) fn seconds_per_layer(&self, prefill_tokens: f64, decode_tokens: f64) -> f64 {
        let prefill = prefill_tokens / self.view.prefill_token_layers_per_s.max(1) as f64;
        let decode = decode_tokens / self.view.decode_token_layers_per_s.max(1) as f64;
        prefill + decode
    }
}

/// The arena of engines and its indices.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) engines: SlotMap<EngineKey, Engine>,
    groups: HashMap<GroupKey, Vec<EngineKey>>,
    by_upstream: HashMap<UpstreamName, Vec<EngineKey>>,
    domains: Vec<FailureDomainName>,
}

impl Fleet {
    /// Replaces the engines and keeps the state of those that remain.
    pub(super) fn set_engines(&mut self, views: &[EngineView]) {
        let mut kept = Vec::with_capacity(views.len());
        for view in views {
            kept.push(self.upsert(view));
        }
        let kept: HashSet<EngineKey> = kept.into_iter().collect();
        self.engines.retain(|key, _| kept.contains(&key));
        self.rebuild_indices();
    }

    /// Returns the engines that hold one version of a model.
    pub(super) fn group(&self, key: &GroupKey) -> &[EngineKey] {
        self.groups.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns the assignments of one engine.
    pub(super) fn assignments(&self, upstream: &UpstreamName) -> &[EngineKey] {
        self.by_upstream.get(upstream).map_or(&[], Vec::as_slice)
    }

    /// Calls `change` on every assignment of one engine.
    pub(super) fn for_each_assignment(
        &mut self,
        upstream: &UpstreamName,
        mut change: impl FnMut(&mut Engine),
    ) {
        for &key in self.by_upstream.get(upstream).into_iter().flatten() {
            change(&mut self.engines[key]);
        }
    }

    /// Returns the median of the step ratios of the given engines, or one without
    /// measurements.
    pub(super) fn median_step_ratio(&self, keys: &[EngineKey]) -> f64 {
        let means = keys
            .iter()
            .filter_map(|&key| self.engines[key].step_ratio.mean());
        let mut means: Vec<f64> = means.collect();
        if means.is_empty() {
            return 1.0;
        }
        let median_index = means.len() / 2;
        *means.select_nth_unstable_by(median_index, f64::total_cmp).1
    }

    /// Returns the number of failure domains.
    pub(super) fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Returns the index of a failure domain, which is added if it is new.
    pub(super) fn intern_domain(&mut self, name: &FailureDomainName) -> DomainIndex {
        if let Some(index) = self.domains.iter().position(|known| known == name) {
            return index;
        }
        self.domains.push(name.clone());
        self.domains.len() - 1
    }

    fn upsert(&mut self, view: &EngineView) -> EngineKey {
        let domain = self.intern_domain(&view.failure_domain);
        if let Some(key) = self.find(view) {
            let engine = &mut self.engines[key];
            engine.view = view.clone();
            engine.domain = domain;
            return key;
        }
        self.engines.insert(Engine {
            view: view.clone(),
            domain,
            in_flight_s: 0.0,
            step_ratio: StepRatio::new(),
            prefixes: PrefixHints::default(),
            name_hash: XxHash64::oneshot(0, view.upstream.as_str().as_bytes()),
            refusals: Refusals::default(),
        })
    }

    fn find(&self, view: &EngineView) -> Option<EngineKey> {
        let is_same_assignment = |key: &&EngineKey| {
            let known = &self.engines[**key].view;
            known.model == view.model
                && known.version == view.version
                && known.layers == view.layers
        };
        self.assignments(&view.upstream)
            .iter()
            .find(is_same_assignment)
            .copied()
    }

    fn rebuild_indices(&mut self) {
        self.groups.clear();
        self.by_upstream.clear();
        for (key, engine) in &self.engines {
            let group = GroupKey {
                model: engine.view.model.clone(),
                version: engine.view.version.clone(),
            };
            self.groups.entry(group).or_default().push(key);
            let upstream = engine.view.upstream.clone();
            self.by_upstream.entry(upstream).or_default().push(key);
        }
    }
}
