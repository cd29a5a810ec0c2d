//! What each engine is to have loaded on the way to its target.

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

/// Chooses what each engine is to have loaded now.
///
/// New weights are loaded beside old ones where they fit. Old ones are dropped
/// only while some version of the model stays whole and the rate of all its
/// versions stays above the floor. Few engines load at once.
pub(super) fn engine_plans(
    input: &PlanInput,
    targets: &Targets,
    previous: &Plan,
    settings: &PlanSettings,
) -> BTreeMap<UpstreamName, EnginePlan> {
    let mut rollout = Rollout::new(input, targets, settings);
    for name in rollout.in_order(previous) {
        rollout.plan_engine(name, previous);
    }
    rollout.plans
}

/// One version of a model.
type Version<'a> = (&'a ModelName, &'a VersionName);

struct Rollout<'a> {
    input: &'a PlanInput,
    targets: &'a Targets,
    /// What live engines have loaded and may go on using.
    loaded: BTreeMap<Version<'a>, Coverage>,
    /// The rate below which a model must not fall.
    floors: BTreeMap<&'a ModelName, u64>,
    loads_left: usize,
    plans: BTreeMap<UpstreamName, EnginePlan>,
}

impl<'a> Rollout<'a> {
    fn new(input: &'a PlanInput, targets: &'a Targets, settings: &PlanSettings) -> Self {
        let mut rollout = Self {
            input,
            targets,
            loaded: BTreeMap::new(),
            floors: floors(input, targets, settings),
            loads_left: settings.max_concurrent_loads,
            plans: BTreeMap::new(),
        };
        for (_, engine) in live(input) {
            for held in &engine.report.loaded {
                rollout.count(engine, held);
            }
        }
        rollout
    }

    /// Returns the engines, those first that already load and those that mend a hole.
    fn in_order(&self, previous: &Plan) -> Vec<&'a UpstreamName> {
        let is_loading = |name: &UpstreamName, engine: &EngineView| {
            let mut hold = previous.hold(name).iter();
            hold.any(|held| !engine.report.loaded.contains(held))
        };
        let mends = |name: &UpstreamName| {
            let target = self.targets.get(name);
            target.is_some_and(|target| !self.is_whole_anywhere(&target.model))
        };
        let engines = self.input.engines.iter();
        let mut names: Vec<_> = engines
            .map(|(name, engine)| (!is_loading(name, engine), !mends(name), name))
            .collect();
        names.sort_unstable();
        names.into_iter().map(|(_, _, name)| name).collect()
    }

    fn plan_engine(&mut self, name: &'a UpstreamName, previous: &Plan) {
        let engine = &self.input.engines[name];
        if !engine.is_live() && !previous.engines.contains_key(name) {
            // What it holds is unknown, so that an empty entry would empty it.
            return;
        }
        let target = self.targets.get(name);
        let hold = if engine.is_live() {
            self.hold(engine, target)
        } else {
            previous.hold(name).iter().cloned().collect()
        };
        let target = target.cloned();
        self.plans.insert(name.clone(), EnginePlan { target, hold });
    }

    fn hold(&mut self, engine: &'a EngineView, target: Option<&Assignment>) -> Assignments {
        let loaded = &engine.report.loaded;
        let is_loaded = target.is_some_and(|target| loaded.contains(target));
        let old: Vec<&Assignment> = loaded.iter().filter(|held| Some(*held) != target).collect();
        let mut hold = Assignments::new();
        let Some(target) = target else {
            hold.extend(
                old.into_iter()
                    .filter(|held| !self.try_drop(engine, held))
                    .cloned(),
            );
            return hold;
        };
        if !is_loaded && self.loads_left == 0 {
            hold.extend(old.into_iter().cloned());
            return hold;
        }
        let mut room = u64::from(engine.max_layers);
        room = room.saturating_sub(old.iter().map(|held| u64::from(held.layers.len())).sum());
        for held in old {
            // What fits beside the target stays until the target is loaded.
            let must_go = is_loaded || room < u64::from(target.layers.len());
            if must_go && self.try_drop(engine, held) {
                room += u64::from(held.layers.len());
            } else {
                hold.push(held.clone());
            }
        }
        if is_loaded {
            hold.insert(0, target.clone());
        } else if room >= u64::from(target.layers.len()) {
            self.loads_left -= 1;
            hold.push(target.clone());
        }
        hold
    }

    /// Stops counting what an engine holds, unless the model needs it.
    fn try_drop(&mut self, engine: &'a EngineView, held: &'a Assignment) -> bool {
        if !self.input.models.contains_key(&held.model) {
            return true;
        }
        let was_whole = self.is_whole_anywhere(&held.model);
        self.discount(engine, held);
        let is_whole = self.is_whole_anywhere(&held.model);
        let floor = self.floors.get(&held.model).copied().unwrap_or_default();
        let may_go = !was_whole || (is_whole && self.tokens_per_s(&held.model) >= floor);
        if !may_go {
            self.count(engine, held);
        }
        may_go
    }

    fn count(&mut self, engine: &EngineView, held: &'a Assignment) {
        let Some(model) = self.input.models.get(&held.model) else {
            return;
        };
        let tokens_per_s = engine.tokens_per_s(held.layers.len());
        self.loaded
            .entry((&held.model, &held.version))
            .or_insert_with(|| Coverage::new(model.layer_count))
            .add(held.layers, tokens_per_s);
    }

    fn discount(&mut self, engine: &EngineView, held: &'a Assignment) {
        let tokens_per_s = engine.tokens_per_s(held.layers.len());
        if let Some(coverage) = self.loaded.get_mut(&(&held.model, &held.version)) {
            coverage.remove(held.layers, tokens_per_s);
        }
    }

    /// Returns the rate of all versions of a model together.
    fn tokens_per_s(&self, model: &ModelName) -> u64 {
        let of_model = self.loaded.iter().filter(|((name, _), _)| *name == model);
        of_model.map(|(_, coverage)| coverage.tokens_per_s()).sum()
    }

    /// Returns whether all layers of some version of a model are loaded.
    fn is_whole_anywhere(&self, model: &ModelName) -> bool {
        self.tokens_per_s(model) > 0
    }
}

fn live(input: &PlanInput) -> impl Iterator<Item = (&UpstreamName, &EngineView)> {
    input.engines.iter().filter(|(_, engine)| engine.is_live())
}

/// Returns the rate below which each model must not fall while engines change.
fn floors<'a>(
    input: &'a PlanInput,
    targets: &Targets,
    settings: &PlanSettings,
) -> BTreeMap<&'a ModelName, u64> {
    let floor = |(name, model): (&'a ModelName, &'a Model)| {
        let mut coverage = Coverage::new(model.layer_count);
        for (engine_name, engine) in live(input) {
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
