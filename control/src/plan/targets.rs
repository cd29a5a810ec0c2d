//! The assignment that each engine has at the end of a rollout.

use std::collections::BTreeMap;

use jujubewall_types::config::Assignment;
use jujubewall_types::config::Model;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::layer::LayerRange;

use super::coverage::Coverage;
use super::document::Plan;
use super::input::EngineView;
use super::input::PlanInput;
use super::split::EngineCapacity;
use super::split::split;

/// Final assignments by engine.
pub(super) type Targets = BTreeMap<UpstreamName, Assignment>;

/// Chooses the final assignment of each engine and moves as few engines as possible.
///
/// An engine that is not live keeps its assignment, so that it need not reload if it comes
/// back, but does not count towards coverage.
pub(super) fn targets(input: &PlanInput, previous: &Plan) -> Targets {
    let mut allocator = TargetAllocator::new(input);
    allocator.retain_previous(previous);
    allocator.cover_gaps();
    allocator.assign_free_engines();
    allocator.targets
}

struct TargetAllocator<'a> {
    input: &'a PlanInput,
    targets: Targets,
    coverage: BTreeMap<&'a ModelName, Coverage>,
    /// The live engines without an assignment, by failure domain.
    free: Vec<&'a UpstreamName>,
}

impl<'a> TargetAllocator<'a> {
    fn new(input: &'a PlanInput) -> Self {
        let models = input.models.iter();
        Self {
            input,
            free: live_engines_by_domain(input),
            targets: Targets::new(),
            coverage: models
                .map(|(name, model)| (name, Coverage::new(model.layer_count)))
                .collect(),
        }
    }

    /// Takes over the fixed assignments and those of the previous plan, with the active
    /// version.
    fn retain_previous(&mut self, previous: &Plan) {
        for (name, engine) in &self.input.engines {
            let kept = match &engine.fixed {
                Some(fixed) => Some(fixed.clone()),
                None => previous
                    .target(name)
                    .and_then(|target| self.with_active_version(engine, target)),
            };
            if let Some(target) = kept {
                self.assign(name, target);
            }
        }
    }

    /// Assigns every uncovered layer, as far as there are engines.
    fn cover_gaps(&mut self) {
        for name in self.models_by_missing_layers() {
            while let Some(gap) = self.coverage[name].first_gap() {
                let Some(engines) = self.engines_for(gap) else {
                    break;
                };
                self.assign_range(name, gap, &engines);
            }
        }
    }

    /// Assigns the remaining free engines to the slowest models.
    fn assign_free_engines(&mut self) {
        while self.assign_free_engines_once() {}
    }

    fn assign_free_engines_once(&mut self) -> bool {
        let mut models: Vec<_> = self
            .coverage
            .iter()
            .map(|(name, coverage)| (coverage.tokens_per_s(), *name))
            .filter(|(tokens_per_s, _)| *tokens_per_s > 0)
            .collect();
        models.sort_unstable();
        models.into_iter().any(|(_, name)| {
            let whole = LayerRange::new(0, self.input.models[name].layer_count);
            let slowest = self.slowest_range(name);
            let ranges = [Some(whole), slowest].into_iter().flatten();
            let mut ranges = ranges.collect::<Vec<_>>().into_iter();
            ranges.any(|range| match self.free_engines_for(range) {
                Some(engines) => {
                    self.assign_range(name, range, &engines);
                    true
                }
                None => false,
            })
        })
    }

    fn with_active_version(&self, engine: &EngineView, target: &Assignment) -> Option<Assignment> {
        let model = self.input.models.get(&target.model)?;
        let fits =
            target.layers.end <= model.layer_count && target.layers.len() <= engine.max_layers;
        fits.then(|| assignment(model, target.layers))
    }

    fn assign(&mut self, name: &UpstreamName, target: Assignment) {
        let engine = &self.input.engines[name];
        if engine.is_live()
            && let Some(coverage) = self.coverage.get_mut(&target.model)
        {
            let tokens_per_s = engine.tokens_per_s(target.layers.len());
            coverage.add(target.layers, tokens_per_s);
        }
        self.free.retain(|free| *free != name);
        self.targets.insert(name.clone(), target);
    }

    fn unassign(&mut self, name: &UpstreamName) {
        let Some(target) = self.targets.remove(name) else {
            return;
        };
        let engine = &self.input.engines[name];
        if let Some(coverage) = self.coverage.get_mut(&target.model) {
            let tokens_per_s = engine.tokens_per_s(target.layers.len());
            coverage.remove(target.layers, tokens_per_s);
        }
    }

    /// Splits a range of layers among engines, which may have held other layers before.
    fn assign_range(
        &mut self,
        model: &ModelName,
        layers: LayerRange,
        engines: &[&'a UpstreamName],
    ) {
        let engine_capacity = |name: &&UpstreamName| {
            let engine = &self.input.engines[*name];
            EngineCapacity {
                max_layers: engine.max_layers,
                rate: engine.token_layers_per_s,
            }
        };
        let capacities: Vec<EngineCapacity> = engines.iter().map(engine_capacity).collect();
        let ranges = split(layers, &capacities).unwrap_or_default();
        let model = &self.input.models[model];
        for (name, range) in engines.iter().zip(ranges) {
            if !range.is_empty() {
                self.unassign(name);
                self.assign(name, assignment(model, range));
            }
        }
    }

    /// Returns the models, those with the fewest uncovered layers first.
    fn models_by_missing_layers(&self) -> Vec<&'a ModelName> {
        let mut models: Vec<_> = self
            .coverage
            .iter()
            .map(|(name, coverage)| (coverage.missing_layers(), *name))
            .collect();
        models.sort_unstable();
        models.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns engines that can hold `layers` together, free ones first.
    fn engines_for(&self, layers: LayerRange) -> Option<Vec<&'a UpstreamName>> {
        self.free_engines_for(layers).or_else(|| {
            let mut engines = self.free.clone();
            engines.extend(self.redundant_engines());
            self.first_sufficient(layers, engines)
        })
    }

    fn free_engines_for(&self, layers: LayerRange) -> Option<Vec<&'a UpstreamName>> {
        self.first_sufficient(layers, self.free.clone())
    }

    /// Returns the first engine that can hold all layers alone, or else the shortest prefix
    /// of `engines` that can hold them together.
    fn first_sufficient(
        &self,
        layers: LayerRange,
        engines: Vec<&'a UpstreamName>,
    ) -> Option<Vec<&'a UpstreamName>> {
        let max_layers = |name: &&UpstreamName| self.input.engines[*name].max_layers;
        if let Some(one) = engines.iter().find(|name| max_layers(name) >= layers.len()) {
            return Some(vec![one]);
        }
        let mut chosen = Vec::new();
        let mut capacity = 0;
        for name in engines {
            capacity += max_layers(&name);
            chosen.push(name);
            if capacity >= layers.len() {
                return Some(chosen);
            }
        }
        None
    }

    /// Returns engines whose layers others hold as well, the least needed first.
    ///
    /// Each of them is still redundant after all before it have been reassigned.
    fn redundant_engines(&self) -> Vec<&'a UpstreamName> {
        let mut coverage = self.coverage.clone();
        let mut redundant = Vec::new();
        loop {
            let best = self
                .input
                .engines
                .iter()
                .filter(|(name, engine)| self.is_movable(name, engine) && !redundant.contains(name))
                .filter_map(|(name, engine)| {
                    let left = self.rate_without(&coverage, name, engine)?;
                    Some((left, name))
                })
                .max();
            let Some((_, name)) = best else {
                return redundant;
            };
            self.remove_from(&mut coverage, name);
            redundant.push(name);
        }
    }

    fn is_movable(&self, name: &UpstreamName, engine: &EngineView) -> bool {
        engine.is_live() && engine.fixed.is_none() && self.targets.contains_key(name)
    }

    /// Returns the rate that an engine's layers would have without it, unless it is zero.
    fn rate_without(
        &self,
        coverage: &BTreeMap<&ModelName, Coverage>,
        name: &UpstreamName,
        engine: &EngineView,
    ) -> Option<u64> {
        let target = self.targets.get(name)?;
        let held = coverage.get(&target.model)?.tokens_per_s_of(target.layers);
        let left = held.checked_sub(engine.tokens_per_s(target.layers.len()))?;
        (left > 0).then_some(left)
    }

    fn remove_from(&self, coverage: &mut BTreeMap<&ModelName, Coverage>, name: &UpstreamName) {
        let target = &self.targets[name];
        let tokens_per_s = self.input.engines[name].tokens_per_s(target.layers.len());
        if let Some(coverage) = coverage.get_mut(&target.model) {
            coverage.remove(target.layers, tokens_per_s);
        }
    }

    /// Returns the slowest of the ranges that engines hold of a model.
    fn slowest_range(&self, model: &ModelName) -> Option<LayerRange> {
        let coverage = &self.coverage[model];
        let of_model = self
            .targets
            .values()
            .filter(|target| target.model == *model);
        of_model
            .map(|target| (coverage.tokens_per_s_of(target.layers), target.layers))
            .min()
            .map(|(_, layers)| layers)
    }
}

fn live_engines_by_domain(input: &PlanInput) -> Vec<&UpstreamName> {
    let is_usable = |engine: &EngineView| engine.is_live() && engine.max_layers > 0;
    let engines = input.engines.iter();
    let mut live: Vec<_> = engines.filter(|(_, engine)| is_usable(engine)).collect();
    live.sort_by_key(|(name, engine)| (&engine.failure_domain, *name));
    live.into_iter().map(|(name, _)| name).collect()
}

fn assignment(model: &Model, layers: LayerRange) -> Assignment {
    Assignment {
        model: model.name.clone(),
        version: model.active_version.clone(),
        layers,
    }
}
