//! The engines that the chooser knows, and the work in flight at each.

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
    /// The key of one assignment of one engine.
    pub(super) struct EngineKey;
}

/// The engines that hold one version of a model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct GroupName {
    pub(super) model: ModelName,
    pub(super) version: VersionName,
}

/// One assignment of one engine and what this entry has in flight there.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) view: EngineView,
    pub(super) domain: DomainIndex,
    /// The rated time of this entry's work in flight.
    pub(super) in_flight_s: f64,
    /// How measured steps compare with the rated speed.
    pub(super) step_ratio: StepRatio,
    /// What the engine's cache probably holds.
    pub(super) prefixes: PrefixHints,
    /// The hash of the engine's name, by which entries agree on preferences.
    pub(super) name_hash: u64,
    /// The accounts whose work the agent refuses for now.
    pub(super) refusals: Refusals,
}

impl Engine {
    /// Returns the time that a request takes for each layer at the rated speed.
    pub(super) fn seconds_per_layer(&self, prefill_tokens: f64, decode_tokens: f64) -> f64 {
        let prefill = prefill_tokens / self.view.prefill_token_layers_per_s.max(1) as f64;
        let decode = decode_tokens / self.view.decode_token_layers_per_s.max(1) as f64;
        prefill + decode
    }
}

/// The arena of engines with its indices.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) engines: SlotMap<EngineKey, Engine>,
    groups: HashMap<GroupName, Vec<EngineKey>>,
    by_upstream: HashMap<UpstreamName, Vec<EngineKey>>,
    domains: Vec<FailureDomainName>,
}

impl Fleet {
    /// Replaces the engines, and keeps what is known of those that stay.
    pub(super) fn set_engines(&mut self, views: &[EngineView]) {
        let mut kept = Vec::with_capacity(views.len());
        for view in views {
            kept.push(self.update(view));
        }
        let kept: HashSet<EngineKey> = kept.into_iter().collect();
        self.engines.retain(|key, _| kept.contains(&key));
        self.rebuild_indices();
    }

    /// Returns the engines that hold one version of a model.
    pub(super) fn group(&self, name: &GroupName) -> &[EngineKey] {
        self.groups.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the assignments of one engine.
    pub(super) fn assignments(&self, upstream: &UpstreamName) -> &[EngineKey] {
        self.by_upstream.get(upstream).map_or(&[], Vec::as_slice)
    }

    /// Changes every assignment of one engine.
    pub(super) fn for_each_assignment(
        &mut self,
        upstream: &UpstreamName,
        mut change: impl FnMut(&mut Engine),
    ) {
        for &key in self.by_upstream.get(upstream).into_iter().flatten() {
            change(&mut self.engines[key]);
        }
    }

    /// Returns how steps of a group's engines typically compare with ratings.
    pub(super) fn typical_step_ratio(&self, keys: &[EngineKey]) -> f64 {
        let means = keys
            .iter()
            .filter_map(|&key| self.engines[key].step_ratio.mean());
        let mut means: Vec<f64> = means.collect();
        if means.is_empty() {
            return 1.0;
        }
        let middle = means.len() / 2;
        *means.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Returns the number of failure domains.
    pub(super) fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Returns the index of a failure domain, and adds it when it is new.
    pub(super) fn intern_domain(&mut self, name: &FailureDomainName) -> DomainIndex {
        if let Some(index) = self.domains.iter().position(|known| known == name) {
            return index;
        }
        self.domains.push(name.clone());
        self.domains.len() - 1
    }

    fn update(&mut self, view: &EngineView) -> EngineKey {
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
        let same = |key: &&EngineKey| {
            let known = &self.engines[**key].view;
            known.model == view.model
                && known.version == view.version
                && known.layers == view.layers
        };
        self.assignments(&view.upstream).iter().find(same).copied()
    }

    fn rebuild_indices(&mut self) {
        self.groups.clear();
        self.by_upstream.clear();
        for (key, engine) in &self.engines {
            let group = GroupName {
                model: engine.view.model.clone(),
                version: engine.view.version.clone(),
            };
            self.groups.entry(group).or_default().push(key);
            let upstream = engine.view.upstream.clone();
            self.by_upstream.entry(upstream).or_default().push(key);
        }
    }
}
