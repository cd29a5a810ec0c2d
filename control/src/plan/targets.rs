//! The assignment that each engine ends up with.

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
use super::split::Share;
use super::split::split;

/// The assignments that engines end up with, by engine.
pub(super) type Targets = BTreeMap<UpstreamName, Assignment>;

/// Chooses the assignment of each engine, and moves as few engines as it can.
///
/// An engine that is not live keeps its assignment in the plan, so that it need
/// not load anew if it comes back, but does not count.
pub(super) fn targets(input: &PlanInput, previous: &Plan) -> Targets {
    let mut allotment = Allotment::new(input);
    allotment.keep(previous);
    allotment.cover();
    allotment.fill();
    allotment.targets
}

struct Allotment<'a> {
    input: &'a PlanInput,
    targets: Targets,
    coverage: BTreeMap<&'a ModelName, Coverage>,
    /// The live engines without an assignment, by failure domain.
    free: Vec<&'a UpstreamName>,
}

impl<'a> Allotment<'a> {
    fn new(input: &'a PlanInput) -> Self {
        let models = input.models.iter();
        Self {
            input,
            free: live_by_domain(input),
            targets: Targets::new(),
            coverage: models
                .map(|(name, model)| (name, Coverage::new(model.layer_count)))
                .collect(),
        }
    }

    /// Takes over what the plan before says, with the active version.
    fn keep(&mut self, previous: &Plan) {
        for (name, engine) in &self.input.engines {
            let kept = match &engine.fixed {
                Some(fixed) => Some(fixed.clone()),
                None => previous
                    .target(name)
                    .and_then(|target| self.renewed(engine, target)),
            };
            if let Some(target) = kept {
                self.assign(name, target);
            }
        }
    }

    /// Covers every layer that no engine holds, as far as there are engines.
    fn cover(&mut self) {
        for name in self.by_missing_layers() {
            while let Some(hole) = self.coverage[name].first_hole() {
                let Some(engines) = self.engines_for(hole) else {
                    break;
                };
                self.place(name, hole, &engines);
            }
        }
    }

    /// Gives the engines that are left to the slowest models.
    fn fill(&mut self) {
        while self.fill_one() {}
    }

    fn fill_one(&mut self) -> bool {
        let mut models: Vec<_> = self
            .coverage
            .iter()
            .map(|(name, coverage)| (coverage.tokens_per_s(), *name))
            .filter(|(tokens_per_s, _)| *tokens_per_s > 0)
            .collect();
        models.sort_unstable();
        models.into_iter().any(|(_, name)| {
            let whole = LayerRange::new(0, self.input.models[name].layer_count);
            let weakest = self.weakest_range(name);
            let ranges = [Some(whole), weakest].into_iter().flatten();
            let mut ranges = ranges.collect::<Vec<_>>().into_iter();
            ranges.any(|range| match self.free_for(range) {
                Some(engines) => {
                    self.place(name, range, &engines);
                    true
                }
                None => false,
            })
        })
    }

    fn renewed(&self, engine: &EngineView, target: &Assignment) -> Option<Assignment> {
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

    fn release(&mut self, name: &UpstreamName) {
        let Some(target) = self.targets.remove(name) else {
            return;
        };
        let engine = &self.input.engines[name];
        if let Some(coverage) = self.coverage.get_mut(&target.model) {
            let tokens_per_s = engine.tokens_per_s(target.layers.len());
            coverage.remove(target.layers, tokens_per_s);
        }
    }

    /// Splits a stretch of layers among engines, which may be taken from elsewhere.
    fn place(&mut self, model: &ModelName, layers: LayerRange, engines: &[&'a UpstreamName]) {
        let share = |name: &&UpstreamName| {
            let engine = &self.input.engines[*name];
            Share {
                max_layers: engine.max_layers,
                rate: engine.rate,
            }
        };
        let shares: Vec<Share> = engines.iter().map(share).collect();
        let ranges = split(layers, &shares).unwrap_or_default();
        let model = &self.input.models[model];
        for (name, range) in engines.iter().zip(ranges) {
            if !range.is_empty() {
                self.release(name);
                self.assign(name, assignment(model, range));
            }
        }
    }

    /// Returns the models, those that lack the fewest layers first.
    fn by_missing_layers(&self) -> Vec<&'a ModelName> {
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
        self.free_for(layers).or_else(|| {
            let mut engines = self.free.clone();
            engines.extend(self.spare());
            self.enough(layers, engines)
        })
    }

    fn free_for(&self, layers: LayerRange) -> Option<Vec<&'a UpstreamName>> {
        self.enough(layers, self.free.clone())
    }

    /// Returns the first engines that suffice; one alone goes before several.
    fn enough(
        &self,
        layers: LayerRange,
        engines: Vec<&'a UpstreamName>,
    ) -> Option<Vec<&'a UpstreamName>> {
        let max_layers = |name: &&UpstreamName| self.input.engines[*name].max_layers;
        if let Some(one) = engines.iter().find(|name| max_layers(name) >= layers.len()) {
            return Some(vec![one]);
        }
        let mut chosen = Vec::new();
        let mut room = 0;
        for name in engines {
            room += max_layers(&name);
            chosen.push(name);
            if room >= layers.len() {
                return Some(chosen);
            }
        }
        None
    }

    /// Returns engines whose layers others hold as well, the least needed first.
    ///
    /// Each is spare even when all before it have been taken.
    fn spare(&self) -> Vec<&'a UpstreamName> {
        let mut coverage = self.coverage.clone();
        let mut spare = Vec::new();
        loop {
            let best = self
                .input
                .engines
                .iter()
                .filter(|(name, engine)| self.is_movable(name, engine) && !spare.contains(name))
                .filter_map(|(name, engine)| {
                    let left = self.rate_without(&coverage, name, engine)?;
                    Some((left, name))
                })
                .max();
            let Some((_, name)) = best else {
                return spare;
            };
            self.take_away(&mut coverage, name);
            spare.push(name);
        }
    }

    fn is_movable(&self, name: &UpstreamName, engine: &EngineView) -> bool {
        engine.is_live() && engine.fixed.is_none() && self.targets.contains_key(name)
    }

    /// Returns the rate that an engine's layers keep without it, unless it is zero.
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

    fn take_away(&self, coverage: &mut BTreeMap<&ModelName, Coverage>, name: &UpstreamName) {
        let target = &self.targets[name];
        let tokens_per_s = self.input.engines[name].tokens_per_s(target.layers.len());
        if let Some(coverage) = coverage.get_mut(&target.model) {
            coverage.remove(target.layers, tokens_per_s);
        }
    }

    /// Returns the slowest range of those that engines hold of a model.
    fn weakest_range(&self, model: &ModelName) -> Option<LayerRange> {
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

fn live_by_domain(input: &PlanInput) -> Vec<&UpstreamName> {
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
