//! The assignments that each engine has loaded during a rollout.

use std::collections::BTreeMap;

use jujubewall_types::config::Assignment;
use jujubewall_types::config::Model;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;

use super::coverage::Coverage;
use super::document::Assignments;
use super::document::EnginePlan;
use super::document::Plan;
use super::input::EngineView;
use super::input::PlanInput;
use super::settings::PlanSettings;
use super::targets::Targets;

/// Chooses the assignments that each engine has to have loaded now.
///
/// New weights are loaded next to old ones where they fit. Old ones are dropped only if
/// some version of the model stays complete and the total rate of its versions stays at or
/// above the floor. The number of engines that load at once is limited.
pub(super) fn engine_plans(
    input: &PlanInput,
    targets: &Targets,
    previous: &Plan,
    settings: &PlanSettings,
) -> BTreeMap<UpstreamName, EnginePlan> {
    let mut rollout = Rollout::new(input, targets, settings);
    for name in rollout.engines_in_planning_order(previous) {
        rollout.plan_engine(name, previous);
    }
    rollout.plans
}

/// One version of a model.
type Version<'a> = (&'a ModelName, &'a VersionName);

struct Rollout<'a> {
    input: &'a PlanInput,
    targets: &'a Targets,
    /// Coverage by the assignments that live engines have loaded and may keep.
    loaded: BTreeMap<Version<'a>, Coverage>,
    /// Rate in tokens per second below which a model must not fall.
    rate_floors: BTreeMap<&'a ModelName, u64>,
    remaining_loads: usize,
    plans: BTreeMap<UpstreamName, EnginePlan>,
}

impl<'a> Rollout<'a> {
    fn new(input: &'a PlanInput, targets: &'a Targets, settings: &PlanSettings) -> Self {
        let mut rollout = Self {
            input,
            targets,
            loaded: BTreeMap::new(),
            rate_floors: rate_floors(input, targets, settings),
            remaining_loads: settings.max_concurrent_loads,
            plans: BTreeMap::new(),
        };
        for (_, engine) in live_engines(input) {
            for held in &engine.report.loaded {
                rollout.add_loaded(engine, held);
            }
        }
        rollout
    }

    /// Returns the engines in the order in which they are planned: first those that are
    /// loading already, then those whose target model has no complete version.
    fn engines_in_planning_order(&self, previous: &Plan) -> Vec<&'a UpstreamName> {
        let is_loading = |name: &UpstreamName, engine: &EngineView| {
            let mut hold = previous.hold(name).iter();
            hold.any(|held| !engine.report.loaded.contains(held))
        };
        let fills_gap = |name: &UpstreamName| {
            let target = self.targets.get(name);
            target.is_some_and(|target| !self.has_complete_version(&target.model))
        };
        let engines = self.input.engines.iter();
        let mut names: Vec<_> = engines
            .map(|(name, engine)| (!is_loading(name, engine), !fills_gap(name), name))
            .collect();
        names.sort_unstable();
        names.into_iter().map(|(_, _, name)| name).collect()
    }

    fn plan_engine(&mut self, name: &'a UpstreamName, previous: &Plan) {
        let engine = &self.input.engines[name];
        if !engine.is_live() && !previous.engines.contains_key(name) {
            // Its assignments are unknown, so an empty entry would make it drop them all.
            return;
        }
        let target = self.targets.get(name);
        let hold = if engine.is_live() {
            self.assignments_to_hold(engine, target)
        } else {
            previous.hold(name).iter().cloned().collect()
        };
        let target = target.cloned();
        self.plans.insert(name.clone(), EnginePlan { target, hold });
    }

    fn assignments_to_hold(
        &mut self,
        engine: &'a EngineView,
        target: Option<&Assignment>,
    ) -> Assignments {
        let loaded = &engine.report.loaded;
        let is_loaded = target.is_some_and(|target| loaded.contains(target));
        let others: Vec<&Assignment> = loaded.iter().filter(|held| Some(*held) != target).collect();
        let mut hold = Assignments::new();
        let Some(target) = target else {
            hold.extend(
                others
                    .into_iter()
                    .filter(|held| !self.try_drop(engine, held))
                    .cloned(),
            );
            return hold;
        };
        if !is_loaded && self.remaining_loads == 0 {
            hold.extend(others.into_iter().cloned());
            return hold;
        }
        let mut free_layers = u64::from(engine.max_layers);
        free_layers = free_layers
            .saturating_sub(others.iter().map(|held| u64::from(held.layers.len())).sum());
        for held in others {
            // Assignments that fit next to the target stay until the target is loaded.
            let must_drop = is_loaded || free_layers < u64::from(target.layers.len());
            if must_drop && self.try_drop(engine, held) {
                free_layers += u64::from(held.layers.len());
            } else {
                hold.push(held.clone());
            }
        }
        if is_loaded {
            hold.insert(0, target.clone());
        } else if free_layers >= u64::from(target.layers.len()) {
            self.remaining_loads -= 1;
            hold.push(target.clone());
        }
        hold
    }

    /// Removes an assignment from the coverage, unless the model needs it.
    ///
    /// Returns whether the engine can drop it.
    fn try_drop(&mut self, engine: &'a EngineView, held: &'a Assignment) -> bool {
        if !self.input.models.contains_key(&held.model) {
            return true;
        }
        let was_complete = self.has_complete_version(&held.model);
        self.remove_loaded(engine, held);
        let is_complete = self.has_complete_version(&held.model);
        let floor = self
            .rate_floors
            .get(&held.model)
            .copied()
            .unwrap_or_default();
        let can_drop = !was_complete || (is_complete && self.tokens_per_s(&held.model) >= floor);
        if !can_drop {
            self.add_loaded(engine, held);
        }
        can_drop
    }

    fn add_loaded(&mut self, engine: &EngineView, held: &'a Assignment) {
        let Some(model) = self.input.models.get(&held.model) else {
            return;
        };
        let tokens_per_s = engine.tokens_per_s(held.layers.len());
        self.loaded
            .entry((&held.model, &held.version))
            .or_insert_with(|| Coverage::new(model.layer_count))
            .add(held.layers, tokens_per_s);
    }

    fn remove_loaded(&mut self, engine: &EngineView, held: &'a Assignment) {
        let tokens_per_s = engine.tokens_per_s(held.layers.len());
        if let Some(coverage) = self.loaded.get_mut(&(&held.model, &held.version)) {
            coverage.remove(held.layers, tokens_per_s);
        }
    }

    /// Returns the total rate of all versions of a model.
    fn tokens_per_s(&self, model: &ModelName) -> u64 {
        let of_model = self.loaded.iter().filter(|((name, _), _)| *name == model);
        of_model.map(|(_, coverage)| coverage.tokens_per_s()).sum()
    }

    /// Returns whether some version of a model has all layers loaded.
    fn has_complete_version(&self, model: &ModelName) -> bool {
        self.tokens_per_s(model) > 0
    }
}

fn live_engines(input: &PlanInput) -> impl Iterator<Item = (&UpstreamName, &EngineView)> {
    input.engines.iter().filter(|(_, engine)| engine.is_live())
}

/// Returns the rate below which each model must not fall during a rollout.
fn rate_floors<'a>(
    input: &'a PlanInput,
    targets: &Targets,
    settings: &PlanSettings,
) -> BTreeMap<&'a ModelName, u64> {
    let floor = |(name, model): (&'a ModelName, &'a Model)| {
        let mut coverage = Coverage::new(model.layer_count);
        for (engine_name, engine) in live_engines(input) {
            if let Some(target) = targets
                .get(engine_name)
                .filter(|target| target.model == *name)
            {
                let tokens_per_s = engine.tokens_per_s(target.layers.len());
                coverage.add(target.layers, tokens_per_s);
            }
        }
        (
            name,
            coverage.tokens_per_s() * settings.capacity_floor_permille / 1000,
        )
    };
    input.models.iter().map(floor).collect()
}
