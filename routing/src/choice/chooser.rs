//! The pipeline chooser of one entry.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::StreamId;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::UpstreamName;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::fleet::Engine;
use super::fleet::EngineKey;
use super::fleet::Fleet;
use super::fleet::GroupKey;
use super::view::CacheHint;
use super::view::ChoiceRequest;
use super::view::EngineState;
use super::view::EngineView;
use super::view::LinkView;
use super::view::NoPipeline;
use super::view::ReportedLoad;
use super::view::StepSample;
use crate::path::DomainIndex;
use crate::path::Hop;
use crate::path::LinkCosts;
use crate::path::PathEdge;
use crate::path::cheapest_path;
use crate::path::merge_revisits;

/// The settings of the pipeline chooser.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChooserSettings {
    /// The assumed one-way delay between two failure domains without a measurement.
    pub crossing_us: u64,
    /// The maximum random increase of each engine's cost, in thousandths.
    pub jitter_permille: u32,
    /// The weight of the time on an idle pipeline relative to the work in flight,
    /// in thousandths.
    pub latency_permille: u32,
    /// The fixed cost of each stage, in thousandths of the cost of a mean path.
    pub stage_permille: u32,
    /// The additional load that an engine may have because it has the prompt's
    /// prefix cached, in thousandths of the load of other engines.
    pub cached_permille: u32,
    /// The largest additional load that an engine may have because of its hashed
    /// preference for the prompt's prefix, in thousandths of the load of other
    /// engines.
    pub preferred_permille: u32,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        Self {
            crossing_us: 250,
            jitter_permille: 50,
            latency_permille: 300,
            stage_permille: 0,
            cached_permille: 200,
            preferred_permille: 100,
        }
    }
}

/// The work that one stream has in flight at one engine, in seconds at the rated
/// speed.
#[derive(Clone, Copy, Debug)]
struct StageWork {
    engine: EngineKey,
    work_s: f64,
}

/// Chooses the pipeline of each request at one entry.
#[derive(Debug)]
pub struct PipelineChooser {
    settings: ChooserSettings,
    rng: ChaCha8Rng,
    fleet: Fleet,
    /// The number of entries that share the traffic.
    entries: u32,
    /// The measured one-way delays between failure domains.
    links: HashMap<(DomainIndex, DomainIndex), Duration>,
    streams: HashMap<StreamId, SmallVec<[StageWork; 4]>>,
}

/// The link costs of a response of `tokens` tokens.
struct ResponseLinkCosts<'a> {
    chooser: &'a PipelineChooser,
    tokens: f64,
}

impl LinkCosts for ResponseLinkCosts<'_> {
    fn cost_s(&self, from: DomainIndex, to: DomainIndex) -> f64 {
        if from == to {
            return 0.0;
        }
        let default = Duration::from_micros(self.chooser.settings.crossing_us);
        let one_way = self.chooser.links.get(&(from, to)).unwrap_or(&default);
        self.tokens * one_way.as_secs_f64()
    }
}

impl PipelineChooser {
    /// Creates a chooser without engines; entries use different seeds.
    pub fn new(settings: ChooserSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: Fleet::default(),
            entries: 1,
            links: HashMap::new(),
            streams: HashMap::new(),
        }
    }

    /// Replaces the known engines and keeps the measurements of those that remain.
    pub fn set_engines(&mut self, _now: Instant, engines: &[EngineView]) {
        self.fleet.set_engines(engines);
    }

    /// Sets the number of entries that share the traffic.
    pub fn set_entry_count(&mut self, _now: Instant, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Replaces the measured delays between failure domains.
    pub fn set_links(&mut self, _now: Instant, links: &[LinkView]) {
        self.links.clear();
        for link in links {
            let from = self.fleet.intern_domain(&link.from);
            let to = self.fleet.intern_domain(&link.to);
            self.links.insert((from, to), link.one_way);
        }
    }

    /// Chooses a pipeline whose stages cover every layer exactly once, in order.
    ///
    /// Suspect engines are used only if there is no path without them.
    pub fn choose(&mut self, now: Instant, request: &ChoiceRequest) -> Result<Route, NoPipeline> {
        let group = GroupKey {
            model: request.model.clone(),
            version: request.version.clone(),
        };
        if self.fleet.group(&group).is_empty() {
            return Err(NoPipeline::NotLoaded {
                model: group.model,
                version: group.version,
            });
        }
        self.route_over(now, &group, request, EngineState::Usable)
            .or_else(|_| self.route_over(now, &group, request, EngineState::Suspect))
            .map_err(|layer| self.no_pipeline_reason(now, &group, &request.account, layer))
    }

    /// Records that a stream was started on `route`.
    pub fn on_started(
        &mut self,
        now: Instant,
        id: StreamId,
        request: &ChoiceRequest,
        route: &Route,
    ) {
        self.release(id);
        let mut work: SmallVec<[StageWork; 4]> = SmallVec::new();
        for stage in route {
            let Some(key) = self.find_stage(request, stage) else {
                continue;
            };
            let engine = &mut self.fleet.engines[key];
            let per_layer_s = seconds_per_layer(engine, request);
            let work_s = per_layer_s * f64::from(stage.layers.len());
            if let Some(prefix) = request.prefix_hash {
                engine.prefixes.on_sent(now, prefix);
            }
            engine.in_flight_s += work_s;
            work.push(StageWork {
                engine: key,
                work_s,
            });
        }
        self.streams.insert(id, work);
    }

    /// Records that a stream has ended, whatever its outcome.
    pub fn on_finished(&mut self, _now: Instant, id: StreamId) {
        self.release(id);
    }

    /// Records the measured time of a step.
    pub fn on_step_time(&mut self, now: Instant, upstream: &UpstreamName, sample: StepSample) {
        self.fleet.for_each_assignment(upstream, |engine| {
            let rate = engine.view.decode_token_layers_per_s;
            engine.step_ratio.on_sample(now, sample, rate);
        });
    }

    /// Records that an agent refuses an account's work until `retry_after` has
    /// passed.
    pub fn on_refused(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        account: &AccountName,
        retry_after: Duration,
    ) {
        self.fleet.for_each_assignment(upstream, |engine| {
            engine.refusals.on_refused(now, account, retry_after);
        });
    }

    /// Accepts a report of an engine's load, which the choice does not use.
    pub fn on_load_report(
        &mut self,
        _now: Instant,
        _upstream: &UpstreamName,
        _report: ReportedLoad,
    ) {
    }

    /// Records a change of an engine's prefix cache, which may arrive late.
    pub fn on_cache_event(&mut self, now: Instant, upstream: &UpstreamName, hint: CacheHint) {
        self.fleet.for_each_assignment(upstream, |engine| {
            engine.prefixes.on_event(now, hint);
        });
    }

    /// Returns the number of streams in flight.
    pub fn streams_in_flight(&self) -> usize {
        self.streams.len()
    }

    fn release(&mut self, id: StreamId) {
        for stage in self.streams.remove(&id).unwrap_or_default() {
            if let Some(engine) = self.fleet.engines.get_mut(stage.engine) {
                engine.in_flight_s = (engine.in_flight_s - stage.work_s).max(0.0);
            }
        }
    }

    fn find_stage(&self, request: &ChoiceRequest, stage: &RouteStage) -> Option<EngineKey> {
        let covers_stage = |key: &&EngineKey| {
            let view = &self.fleet.engines[**key].view;
            view.model == request.model
                && view.version == request.version
                && view.layers.first <= stage.layers.first
                && stage.layers.end <= view.layers.end
        };
        let assignments = self.fleet.assignments(&stage.upstream);
        assignments.iter().find(covers_stage).copied()
    }

    fn route_over(
        &mut self,
        now: Instant,
        group: &GroupKey,
        request: &ChoiceRequest,
        worst_state: EngineState,
    ) -> Result<Route, u32> {
        let mut keys = Vec::new();
        let mut edges = Vec::new();
        let median_ratio = self.fleet.median_step_ratio(self.fleet.group(group));
        for &key in self.fleet.group(group) {
            let engine = &self.fleet.engines[key];
            if !is_eligible(engine, now, request, worst_state) {
                continue;
            }
            let jitter = self.rng.random_range(0..=self.settings.jitter_permille);
            keys.push(key);
            edges.push(PathEdge {
                layers: engine.view.layers,
                domain: engine.domain,
                cost_per_layer_s: self.cost_per_layer_s(now, engine, request, median_ratio)
                    * (1.0 + f64::from(jitter) / 1000.0),
                cost_per_stage_s: 0.0,
            });
        }
        self.add_stage_costs(&mut edges, request.layer_count);
        let link_costs = ResponseLinkCosts {
            chooser: self,
            tokens: f64::from(request.max_answer_tokens) + 1.0,
        };
        let domains = self.fleet.domain_count();
        let hops = cheapest_path(&edges, request.layer_count, domains, &link_costs)?;
        let hops = merge_revisits(&hops);
        let stage = |hop: &Hop| {
            let view = &self.fleet.engines[keys[hop.edge]].view;
            RouteStage {
                upstream: view.upstream.clone(),
                agent_address: view.agent_address,
                layers: hop.layers,
            }
        };
        Ok(hops.iter().map(stage).collect())
    }

    /// Adds a fixed cost to each stage, so that paths with fewer stages are
    /// preferred.
    fn add_stage_costs(&self, edges: &mut [PathEdge], layer_count: u32) {
        let total: f64 = edges.iter().map(|edge| edge.cost_per_layer_s).sum();
        let mean_s = total / edges.len().max(1) as f64 * f64::from(layer_count);
        let stage_s = mean_s * f64::from(self.settings.stage_permille) / 1000.0;
        for edge in edges {
            edge.cost_per_stage_s = stage_s;
        }
    }

    /// Returns the cost that each layer on an engine adds to a path.
    ///
    /// The load of an engine counts equally for each of its layers, so paths are
    /// compared by the mean load of their layers and not by the sum over their
    /// stages.
    fn cost_per_layer_s(
        &self,
        now: Instant,
        engine: &Engine,
        request: &ChoiceRequest,
        median_ratio: f64,
    ) -> f64 {
        let slowdown = engine.step_ratio.slowdown(now, median_ratio);
        let latency_weight = f64::from(self.settings.latency_permille) / 1000.0;
        let idle_s = slowdown * seconds_per_layer(engine, request);
        let layers = f64::from(request.layer_count.max(1));
        let load_s = slowdown * engine.in_flight_s * f64::from(self.entries);
        let factor = self.affinity_factor(now, engine, request);
        (latency_weight * idle_s + load_s / layers) * factor
    }

    /// Returns the factor by which affinity to the prompt's prefix lowers the cost.
    fn affinity_factor(&self, now: Instant, engine: &Engine, request: &ChoiceRequest) -> f64 {
        let Some(prefix) = request.prefix_hash else {
            return 1.0;
        };
        let mut affinity_load =
            hashed_preference(prefix, engine) * f64::from(self.settings.preferred_permille);
        if engine.prefixes.is_probably_cached(now, prefix) {
            affinity_load += f64::from(self.settings.cached_permille);
        }
        1.0 / (1.0 + affinity_load / 1000.0)
    }

    /// Returns the reason that no pipeline was found; `layer` is the first layer that
    /// no path reaches.
    fn no_pipeline_reason(
        &self,
        now: Instant,
        group: &GroupKey,
        account: &AccountName,
        layer: u32,
    ) -> NoPipeline {
        let earliest = self
            .fleet
            .group(group)
            .iter()
            .filter_map(|&key| self.fleet.engines[key].refusals.refused_until(now, account))
            .min();
        match earliest {
            Some(until) => NoPipeline::Refused {
                retry_after_ms: u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX),
            },
            None => NoPipeline::LayerMissing { layer },
        }
    }
}

/// Returns whether an engine may serve a request, given the worst allowed state.
fn is_eligible(
    engine: &Engine,
    now: Instant,
    request: &ChoiceRequest,
    worst_state: EngineState,
) -> bool {
    let is_state_allowed = match engine.view.state {
        EngineState::Usable => true,
        EngineState::Suspect => worst_state == EngineState::Suspect,
        EngineState::Leaving => false,
    };
    let is_refusing = engine
        .refusals
        .refused_until(now, &request.account)
        .is_some();
    is_state_allowed && !is_refusing && !request.exclude.contains(&engine.view.upstream)
}

/// Returns the time per layer that a request takes on an engine at its rated
/// speed.
fn seconds_per_layer(engine: &Engine, request: &ChoiceRequest) -> f64 {
    engine.seconds_per_layer(
        f64::from(request.prompt_tokens),
        f64::from(request.max_answer_tokens),
    )
}

/// Returns the preference for an engine for a prefix, from zero to one.
///
/// It is derived by hashing, so all entries agree on it without exchanging
/// messages.
fn hashed_preference(prefix: u64, engine: &Engine) -> f64 {
    let hash = XxHash64::oneshot(engine.name_hash, &prefix.to_le_bytes());
    hash as f64 / u64::MAX as f64
}
