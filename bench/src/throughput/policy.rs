//! Pipeline choice and the baselines beside which it is measured.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::StreamId;
use jujubewall_routing::choice::CacheHint;
use jujubewall_routing::choice::ChoiceRequest;
use jujubewall_routing::choice::ChooserSettings;
use jujubewall_routing::choice::EngineState;
use jujubewall_routing::choice::EngineView;
use jujubewall_routing::choice::NoPipeline;
use jujubewall_routing::choice::PipelineChooser;
use jujubewall_routing::choice::ReportedLoad;
use jujubewall_routing::choice::StepSample;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::layer::LayerRange;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;

/// How an entry chooses pipelines.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The chooser of the product.
    Jujubewall,
    /// Engines in turn.
    RoundRobin,
    /// The engine with the least reported load for its speed.
    LeastReported,
    /// The less loaded of two random engines, by own work in flight.
    TwoChoices,
}

impl PolicyKind {
    /// Every policy, the product's first.
    pub const ALL: [Self; 4] = [
        Self::Jujubewall,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
    ];
}

/// The policy of one entry.
pub enum Policy {
    /// The chooser of the product.
    Jujubewall(Box<PipelineChooser>),
    /// A baseline.
    Baseline(Box<Baseline>),
}

impl Policy {
    /// Creates the policy of one entry.
    pub fn new(kind: PolicyKind, seed: u64) -> Self {
        match kind {
            PolicyKind::Jujubewall => {
                let chooser = PipelineChooser::new(ChooserSettings::default(), seed);
                Self::Jujubewall(Box::new(chooser))
            }
            _ => Self::Baseline(Box::new(Baseline::new(kind, seed))),
        }
    }

    /// Replaces the engines.
    pub fn set_engines(&mut self, now: Instant, engines: &[EngineView]) {
        match self {
            Self::Jujubewall(chooser) => chooser.set_engines(now, engines),
            Self::Baseline(baseline) => baseline.engines = engines.to_vec(),
        }
    }

    /// Sets the number of entries.
    pub fn set_entry_count(&mut self, now: Instant, entries: usize) {
        if let Self::Jujubewall(chooser) = self {
            let entries = u32::try_from(entries).unwrap_or(u32::MAX);
            chooser.set_entry_count(now, entries);
        }
    }

    /// Chooses a pipeline.
    pub fn choose(&mut self, now: Instant, request: &ChoiceRequest) -> Result<Route, NoPipeline> {
        match self {
            Self::Jujubewall(chooser) => chooser.choose(now, request),
            Self::Baseline(baseline) => baseline.choose(now, request),
        }
    }

    /// Notes the start of a stream.
    pub fn on_started(
        &mut self,
        now: Instant,
        id: StreamId,
        request: &ChoiceRequest,
        route: &Route,
    ) {
        match self {
            Self::Jujubewall(chooser) => chooser.on_started(now, id, request, route),
            Self::Baseline(baseline) => baseline.on_started(id, route),
        }
    }

    /// Notes the end of a stream.
    pub fn on_finished(&mut self, now: Instant, id: StreamId) {
        match self {
            Self::Jujubewall(chooser) => chooser.on_finished(now, id),
            Self::Baseline(baseline) => baseline.on_finished(id),
        }
    }

    /// Notes a refusal.
    pub fn on_refused(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        account: &AccountName,
        retry_after: Duration,
    ) {
        match self {
            Self::Jujubewall(chooser) => chooser.on_refused(now, upstream, account, retry_after),
            Self::Baseline(baseline) => {
                let key = (upstream.clone(), account.clone());
                baseline.refused_until.insert(key, now + retry_after);
            }
        }
    }

    /// Notes the time of a step.
    pub fn on_step_time(&mut self, now: Instant, upstream: &UpstreamName, sample: StepSample) {
        if let Self::Jujubewall(chooser) = self {
            chooser.on_step_time(now, upstream, sample);
        }
    }

    /// Notes a lagging load report.
    pub fn on_load_report(&mut self, now: Instant, upstream: &UpstreamName, report: ReportedLoad) {
        match self {
            Self::Jujubewall(chooser) => chooser.on_load_report(now, upstream, report),
            Self::Baseline(baseline) => {
                baseline
                    .reported
                    .insert(upstream.clone(), report.live_requests);
            }
        }
    }

    /// Notes a cache event.
    pub fn on_cache_event(&mut self, now: Instant, upstream: &UpstreamName, hint: CacheHint) {
        if let Self::Jujubewall(chooser) = self {
            chooser.on_cache_event(now, upstream, hint);
        }
    }
}

/// A baseline: at each layer it picks one of the engines that hold the layer.
pub struct Baseline {
    kind: PolicyKind,
    rng: ChaCha8Rng,
    engines: Vec<EngineView>,
    turns: HashMap<u32, usize>,
    reported: HashMap<UpstreamName, u32>,
    own: HashMap<UpstreamName, u32>,
    streams: HashMap<StreamId, Route>,
    refused_until: HashMap<(UpstreamName, AccountName), Instant>,
}

impl Baseline {
    fn new(kind: PolicyKind, seed: u64) -> Self {
        Self {
            kind,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: Vec::new(),
            turns: HashMap::new(),
            reported: HashMap::new(),
            own: HashMap::new(),
            streams: HashMap::new(),
            refused_until: HashMap::new(),
        }
    }

    fn choose(&mut self, now: Instant, request: &ChoiceRequest) -> Result<Route, NoPipeline> {
        let mut route = Route::new();
        let mut layer = 0;
        while layer < request.layer_count {
            let candidates = self.candidates(now, request, layer);
            if candidates.is_empty() {
                return Err(NoPipeline::LayerMissing { layer });
            }
            let picked = self.pick(layer, &candidates);
            let view = &self.engines[picked];
            route.push(RouteStage {
                upstream: view.upstream.clone(),
                agent_address: view.agent_address,
                layers: LayerRange::new(layer, view.layers.end),
            });
            layer = view.layers.end;
        }
        Ok(route)
    }

    /// Returns the engines that start at `layer`, or else those that hold it.
    fn candidates(&self, now: Instant, request: &ChoiceRequest, layer: u32) -> Vec<usize> {
        let is_usable = |&index: &usize| {
            let view = &self.engines[index];
            let refusal = (view.upstream.clone(), request.account.clone());
            let is_refusing = self.refused_until.get(&refusal).is_some_and(|&t| t > now);
            view.state == EngineState::Usable
                && !is_refusing
                && !request.exclude.contains(&view.upstream)
        };
        let usable: Vec<usize> = (0..self.engines.len()).filter(is_usable).collect();
        let starts = |&&index: &&usize| self.engines[index].layers.first == layer;
        let starting: Vec<usize> = usable.iter().filter(starts).copied().collect();
        if !starting.is_empty() {
            return starting;
        }
        let holds = |&index: &usize| self.engines[index].layers.contains(layer);
        usable.into_iter().filter(holds).collect()
    }

    fn pick(&mut self, layer: u32, candidates: &[usize]) -> usize {
        match self.kind {
            PolicyKind::LeastReported => self.least(candidates, |b, name| {
                b.reported.get(name).copied().unwrap_or(0)
            }),
            PolicyKind::TwoChoices => {
                let first = candidates[self.rng.random_range(0..candidates.len())];
                let second = candidates[self.rng.random_range(0..candidates.len())];
                self.least(&[first, second], |b, name| {
                    b.own.get(name).copied().unwrap_or(0)
                })
            }
            _ => {
                let turn = self.turns.entry(layer).or_default();
                *turn += 1;
                candidates[*turn % candidates.len()]
            }
        }
    }

    /// Returns the candidate with the least load for its speed.
    fn least(&self, candidates: &[usize], load: impl Fn(&Self, &UpstreamName) -> u32) -> usize {
        let key = |&&index: &&usize| {
            let view = &self.engines[index];
            let load = u64::from(load(self, &view.upstream) + 1);
            load * u64::from(view.layers.len()) * 1_000_000 / view.decode_token_layers_per_s
        };
        *candidates
            .iter()
            .min_by_key(key)
            .expect("there is a candidate")
    }

    fn on_started(&mut self, id: StreamId, route: &Route) {
        self.on_finished(id);
        for stage in route {
            *self.own.entry(stage.upstream.clone()).or_default() += 1;
        }
        self.streams.insert(id, route.clone());
    }

    fn on_finished(&mut self, id: StreamId) {
        for stage in self.streams.remove(&id).unwrap_or_default() {
            *self.own.entry(stage.upstream).or_default() -= 1;
        }
    }
}
