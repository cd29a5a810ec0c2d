//! Chooses the path of a stream through engines that hold ranges of layers.
//!
//! The cost of an engine is the time that its layers take for the expected tokens at the
//! current load, so streams spread before any engine is full. An engine without free memory
//! for the context of the whole stream, or without a free slot for another first part, is
//! not considered: preempted context has to be prefilled again, which slows down every
//! other stream on the engine.
//!
//! Gateways learn late of the requests that other gateways have in flight, so gateways that
//! all took the cheapest path would overload the same one. Each gateway therefore prefers
//! engines of its own failure domain, whose load it learns soonest, overflows to the other
//! domains in an order of its own, and adds jitter to the costs.

use std::fmt;

use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::instances::InstanceKey;
use super::instances::InstanceTable;
use super::instances::TrackedInstance;
use super::instances::Work;
use super::pace;
use crate::path::DomainIndex;
use crate::path::LinkCosts;
use crate::path::PathEdge;
use crate::path::cheapest_path;
use crate::path::merge_revisits;

mod explain;

pub use self::explain::explain_path;

/// The time to pass a token to another engine of the same failure domain, including the
/// wait for that engine's next step.
const STAGE_DELAY_MS: f64 = 0.5;

/// The cost of leaving a failure domain. It is far above the cost of any path, because all
/// transfers between two domains share one link: a stream leaves a domain only if no domain
/// has a complete path with free capacity.
const CROSSING_COST_S: f64 = 1_000.0;

/// The share of a link between domains that streams may reserve.
const MAX_LINK_SHARE: f64 = 0.5;

/// The number of domain crossings of a stream that leaves a domain: out and back.
const CROSSINGS_PER_STREAM: f64 = 2.0;

/// The share of an engine's slots in use at which the cost of its layers doubles. Streams
/// thereby spread over all copies of the model long before the fastest copy is full, so the
/// loss of an engine breaks few of them.
const LOAD_DOUBLING_SLOT_SHARE: f64 = 1.0 / 16.0;

/// The platform's protocol allows at most this many parts in a path.
const MAX_PATH_PARTS: usize = 32;

/// The lowest cost factor for engines outside the gateway's own failure domain. Such
/// engines are chosen once the load in the own domain makes it more expensive by this
/// factor.
const MIN_REMOTE_DOMAIN_FACTOR: f64 = 1.25;

/// The range above [`MIN_REMOTE_DOMAIN_FACTOR`] within which a gateway's factors for the
/// other domains differ.
const REMOTE_DOMAIN_FACTOR_RANGE: f64 = 0.3;

/// The largest random increase of an engine's cost, as a share of the cost. Actual costs
/// change by about this much between two load reports.
const MAX_COST_JITTER: f64 = 0.25;

/// The cost of an engine that fails every request.
const FAILURE_COST_S: f64 = 10.0;

/// The shares of an engine's resources that a stream may plan for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityLimits {
    /// The share of the slots for first parts.
    pub first_slots: f64,
    /// The share of the free memory that streams may hold.
    pub context_memory: f64,
    /// The context that streams may reserve for each that they hold. A stream reserves what it
    /// holds at its end. With 1.0, what all hold at a time leaves room for answers that are
    /// longer than expected.
    reserved_per_held: f64,
}

impl CapacityLimits {
    /// The limits where all streams of a service have the same rank. The share of the slots is
    /// below one because the load that peers report is a few hundred milliseconds old.
    pub const UNRANKED: Self = Self {
        first_slots: 0.85,
        context_memory: 1.0,
        reserved_per_held: 1.0,
    };

    /// The limits of the most urgent rank. An engine admits the more urgent requests from its
    /// own queue first, so errors of the known load delay the less urgent ones. What streams hold
    /// on average over their lives fits; the other ranks leave part of the memory free.
    pub const MOST_URGENT: Self = Self {
        first_slots: 0.97,
        context_memory: 1.0,
        reserved_per_held: 1.1,
    };

    /// Returns the limits that leave free another `share` of each resource.
    #[must_use]
    pub fn with_headroom(self, share: f64) -> Self {
        Self {
            first_slots: self.first_slots - share,
            context_memory: self.context_memory - share,
            reserved_per_held: self.reserved_per_held,
        }
    }

    /// Returns the share of the free memory that streams may reserve.
    fn reserved_memory(self) -> f64 {
        self.context_memory * self.reserved_per_held
    }
}

/// The expected token counts of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamNeed {
    /// The tokens to prefill before the first new token.
    pub prompt_tokens: f64,
    /// The tokens expected to be generated.
    pub answer_tokens: f64,
}

impl StreamNeed {
    /// Returns the context length at the end of the stream, in tokens.
    pub fn context_tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// Determines how a gateway chooses among paths of nearly the same cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Preference<'a> {
    /// The failure domain whose engines are preferred; `None` prefers none.
    pub own_domain: Option<&'a FailureDomainName>,
    /// A number unique to the gateway that determines its order of the other domains.
    pub domain_order_seed: u64,
    /// The seed of the cost jitter of this choice; zero disables jitter.
    pub jitter_seed: u64,
}

impl Preference<'_> {
    /// Returns the factor to apply to the cost of an engine.
    fn factor(&self, candidate: &Candidate<'_>) -> f64 {
        let jitter = if self.jitter_seed == 0 {
            1.0
        } else {
            let id = candidate.tracked.instance.id.as_bytes();
            1.0 + MAX_COST_JITTER * unit_interval(XxHash64::oneshot(self.jitter_seed, id))
        };
        let domain = &candidate.tracked.instance.failure_domain;
        match self.own_domain {
            Some(own) if own != domain => {
                let order = unit_interval(XxHash64::oneshot(
                    self.domain_order_seed,
                    domain.as_str().as_bytes(),
                ));
                jitter * (MIN_REMOTE_DOMAIN_FACTOR + REMOTE_DOMAIN_FACTOR_RANGE * order)
            }
            _ => jitter,
        }
    }
}

/// Maps a number to the range from zero to one.
fn unit_interval(number: u64) -> f64 {
    number as f64 / u64::MAX as f64
}

/// The parameters of a path search.
#[derive(Clone, Copy, Debug)]
pub struct PathRequest<'a> {
    /// The service whose engines are searched.
    pub service: &'a ServiceName,
    /// The model and the engine characteristics of the service.
    pub spec: &'a EngineSpec,
    /// The expected token counts of the stream.
    pub need: &'a StreamNeed,
    /// Engines on which the stream has already failed.
    pub excluded: &'a [InstanceKey],
    /// Whether the path may cross failure domains.
    pub may_cross: bool,
    /// The preference among paths of nearly the same cost.
    pub preference: Preference<'a>,
    /// The shares of each engine's resources that the stream may plan for.
    pub limits: CapacityLimits,
}

/// One engine of a path and its layers.
#[derive(Clone, Debug, PartialEq)]
pub struct PathPart {
    /// The engine.
    pub instance: InstanceKey,
    /// The layers that the engine runs.
    pub layers: LayerRange,
}

/// A path through all layers of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPath {
    /// The parts, ordered by layer.
    pub parts: SmallVec<[PathPart; 16]>,
    /// The expected time for each token, in milliseconds.
    pub token_ms: f64,
    /// The number of times that the path crosses to another failure domain.
    pub crossings: usize,
}

/// The resource of which every path is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// No engine that holds the first layers has a free slot for another first part.
    FirstSlots,
    /// Some engine of every path has no memory for the context of the stream.
    ContextMemory,
    /// Both of them.
    Both,
}

impl Shortage {
    /// Returns the name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FirstSlots => "first_slots",
            Self::ContextMemory => "context_memory",
            Self::Both => "both",
        }
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The reason why no path was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoPath {
    /// Every path includes an engine without free capacity.
    NoCapacity(Shortage),
    /// No single failure domain holds all layers on usable engines.
    OnlyAcrossDomains,
    /// No usable engine holds this layer.
    LayerMissing(u32),
}

/// Returns the work that a stream puts on one part of its path.
pub fn part_work(need: &StreamNeed, part: &PathPart) -> Work {
    Work {
        requests: 1,
        first_requests: u32::from(part.layers.first == 0),
        token_layers: need.context_tokens() * f64::from(part.layers.len()),
    }
}

/// The cost of passing activations between failure domains.
struct DomainLinks {
    crossing_s: f64,
}

impl LinkCosts for DomainLinks {
    fn cost_s(&self, from: DomainIndex, to: DomainIndex) -> f64 {
        if from == to { 0.0 } else { self.crossing_s }
    }
}

/// An engine that may become part of a path.
struct Candidate<'a> {
    key: InstanceKey,
    tracked: &'a TrackedInstance,
    layers: LayerRange,
    /// The work known to be in flight.
    work: Work,
    /// The known work plus an estimate of what peers have assigned since their last
    /// reports.
    expected: Work,
    /// The context that the engine reported beyond the known work, in tokens times layers.
    unaccounted_token_layers: f64,
    memory_mb: f64,
    step_factor: f64,
    prompt_factor: f64,
    /// Whether the engine already holds the stream's context for these layers.
    holds_context: bool,
}

/// Chooses the path of a stream.
///
/// Engines that are expected to be full by now, that are deprioritized, or that are at their
/// pace, are used only if there is no path without them. A path that crosses failure domains
/// is the last resort, because a few such streams saturate the link for all.
pub fn choose_path(
    table: &InstanceTable,
    choice: &PathRequest<'_>,
    now: Instant,
) -> Result<LayerPath, NoPath> {
    let PathRequest {
        spec, need, limits, ..
    } = *choice;
    let candidates = candidates(table, choice.service, spec, choice.excluded, now);
    let with_capacity: Vec<&Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| candidate.has_capacity(spec, need, limits))
        .collect();
    let trusted: Vec<&Candidate<'_>> = with_capacity
        .iter()
        .filter(|candidate| !table.is_deprioritized(candidate.tracked, now))
        .copied()
        .collect();
    let expected_free: Vec<&Candidate<'_>> = trusted
        .iter()
        .filter(|candidate| candidate.has_expected_capacity(spec, need, limits))
        .copied()
        .collect();
    let search = Search {
        spec,
        need,
        first_layer: 0,
        preference: choice.preference,
        now,
        limits,
        takes_slots: true,
    };
    let paced = candidates
        .iter()
        .filter(|candidate| candidate.tracked.is_paced(now));
    if pace::is_heeded(paced.count(), candidates.len()) {
        let mut within_pace = expected_free.clone();
        within_pace.retain(|candidate| !candidate.tracked.is_at_pace(now));
        // A path across failure domains costs more than a pace saves.
        if within_pace.len() < expected_free.len()
            && let Ok(path) = search.cheapest(&within_pace)
            && path.crossings == 0
        {
            return Ok(path);
        }
    }
    let mut searched = usize::MAX;
    for usable in [&expected_free, &trusted, &with_capacity] {
        // Each list contains the one before, so one of the same length is the same.
        if std::mem::replace(&mut searched, usable.len()) == usable.len() {
            continue;
        }
        if let Ok(path) = search.cheapest(usable)
            && (choice.may_cross || path.crossings == 0)
        {
            return Ok(path);
        }
    }
    Err(search.no_path_reason(&candidates))
}

/// Returns the rate of streams that may cross failure domains, over all gateways.
pub fn max_crossing_streams_per_s(spec: &EngineSpec) -> f64 {
    let tokens = spec.usual_prompt_tokens + spec.usual_answer_tokens;
    let bits = CROSSINGS_PER_STREAM * tokens * spec.activation_bytes * 8.0;
    MAX_LINK_SHARE * spec.domain_link_mbps * 1_000_000.0 / bits.max(1.0)
}

/// Replaces the excluded engines of a path behind its first part, or returns `None` if that
/// is not possible.
///
/// The remaining parts hold the stream's context, so they are kept wherever they are. New
/// parts have to prefill all tokens so far, as they do for every other stream that the lost
/// part broke: replacing the tail of the path merely to balance load would delay all of
/// them by several hundred milliseconds. The activations of all tokens so far are sent to
/// the new parts, so these have to be in the failure domain of the first part. All streams
/// that lost the same part choose at the same moment; the jitter spreads them over the
/// replacements.
pub fn repair_path(
    table: &InstanceTable,
    choice: &PathRequest<'_>,
    old: &LayerPath,
    now: Instant,
) -> Option<LayerPath> {
    let PathRequest {
        spec, need, limits, ..
    } = *choice;
    let first = old.parts.first()?.clone();
    let domain = &table.get(first.instance)?.instance.failure_domain;
    let mut excluded: SmallVec<[InstanceKey; 8]> = SmallVec::from_slice(choice.excluded);
    excluded.push(first.instance);
    let mut candidates = candidates(table, choice.service, spec, &excluded, now);
    candidates.retain(|candidate| candidate.tracked.instance.failure_domain == *domain);
    let was_part = |key: InstanceKey| old.parts.iter().any(|part| part.instance == key);
    // An engine that gets a different layer range than before has to prefill the stream
    // again, so the ranges held now are tried only if the previous ones give no path.
    let ranges: [fn(LayerRange, LayerRange) -> LayerRange; 2] =
        [|run_before, _| run_before, |_, held| held];
    for range in ranges {
        for candidate in &mut candidates {
            let held = candidate
                .tracked
                .instance
                .layers
                .filter(|layers| spec.has_layers(*layers))
                .unwrap_or(candidate.layers);
            let mut parts = old.parts.iter();
            let part = parts.find(|part| part.instance == candidate.key);
            candidate.layers = part.map_or(held, |part| range(part.layers, held));
            candidate.holds_context = part.is_some_and(|part| part.layers == candidate.layers);
        }
        let usable: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| {
                was_part(candidate.key) || candidate.has_capacity(spec, need, limits)
            })
            .collect();
        let search = Search {
            spec,
            need,
            first_layer: first.layers.end,
            preference: Preference {
                jitter_seed: choice.preference.jitter_seed,
                ..Preference::default()
            },
            now,
            limits,
            takes_slots: true,
        };
        if let Ok(mut rest) = search.cheapest(&usable) {
            rest.parts.insert(0, first);
            return (rest.parts.len() <= MAX_PATH_PARTS).then_some(rest);
        }
    }
    None
}

fn candidates<'a>(
    table: &'a InstanceTable,
    service: &ServiceName,
    spec: &EngineSpec,
    excluded: &[InstanceKey],
    now: Instant,
) -> Vec<Candidate<'a>> {
    table
        .of_service(service)
        .filter(|(key, tracked)| tracked.is_usable() && !excluded.contains(key))
        .filter(|(_, tracked)| !tracked.is_paused(now))
        .filter_map(|(key, tracked)| Candidate::new(table, spec, key, tracked, now))
        .collect()
}

/// The search for the cheapest path from a given layer on.
struct Search<'a> {
    spec: &'a EngineSpec,
    need: &'a StreamNeed,
    first_layer: u32,
    preference: Preference<'a>,
    now: Instant,
    limits: CapacityLimits,
    /// Whether a first part needs a free slot.
    takes_slots: bool,
}

impl Search<'_> {
    /// Returns why no path was found, by searching without regard to capacity.
    fn no_path_reason(&self, candidates: &[Candidate<'_>]) -> NoPath {
        let all: Vec<&Candidate<'_>> = candidates.iter().collect();
        let unlimited = Search {
            takes_slots: false,
            ..*self
        };
        match unlimited.cheapest(&all) {
            Ok(path) if path.crossings > 0 => NoPath::OnlyAcrossDomains,
            Ok(_) => NoPath::NoCapacity(self.shortage(candidates, &unlimited)),
            Err(layer) => NoPath::LayerMissing(layer),
        }
    }

    /// Returns the resource that no path has free, by the engines that hold the first layers:
    /// if one of them takes another stream, memory is short there or behind it. `unlimited` is
    /// the search that needs no slot.
    fn shortage(&self, candidates: &[Candidate<'_>], unlimited: &Search<'_>) -> Shortage {
        let has_slot = candidates
            .iter()
            .any(|candidate| candidate.available_layers(self.spec, self.limits).first == 0);
        if has_slot {
            return Shortage::ContextMemory;
        }
        let with_memory = candidates
            .iter()
            .filter(|candidate| candidate.has_capacity(self.spec, self.need, self.limits));
        let with_memory: Vec<&Candidate<'_>> = with_memory.collect();
        match unlimited.cheapest(&with_memory) {
            Ok(path) if path.crossings == 0 => Shortage::FirstSlots,
            _ => Shortage::Both,
        }
    }

    /// Returns the cheapest path, or the first layer that no path reaches.
    fn cheapest(&self, candidates: &[&Candidate<'_>]) -> Result<LayerPath, u32> {
        let Self {
            spec,
            need,
            first_layer,
            ..
        } = *self;
        let mut domains: SmallVec<[&FailureDomainName; 4]> = SmallVec::new();
        let mut edges = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let name = &candidate.tracked.instance.failure_domain;
            let domain = domains.iter().position(|known| *known == name);
            let domain = domain.unwrap_or_else(|| {
                domains.push(name);
                domains.len() - 1
            });
            let layers = if self.takes_slots {
                candidate.available_layers(spec, self.limits)
            } else {
                candidate.layers
            };
            // [`cheapest_path`] starts at layer zero, so layers are counted relative to
            // `first_layer`.
            let layers = LayerRange::new(
                layers.first.saturating_sub(first_layer),
                layers.end.saturating_sub(first_layer),
            );
            let factor = self.preference.factor(candidate);
            edges.push(PathEdge {
                layers,
                domain,
                cost_per_layer_s: factor * candidate.cost_per_layer_s(spec, need),
                cost_per_stage_s: need.answer_tokens * STAGE_DELAY_MS / 1_000.0
                    + candidate.prefill_wait_s(spec)
                    + FAILURE_COST_S * candidate.tracked.failure_rate(self.now),
            });
        }
        let links = DomainLinks {
            crossing_s: CROSSING_COST_S,
        };
        let layer_count = spec.layer_count.saturating_sub(first_layer);
        let hops = cheapest_path(&edges, layer_count, domains.len(), &links)?;
        let hops = merge_revisits(&hops);
        if hops.len() > MAX_PATH_PARTS {
            return Err(hops[MAX_PATH_PARTS].layers.first);
        }
        let token_ms = hops
            .iter()
            .map(|hop| {
                let candidate = candidates[hop.edge];
                let layer_ms = candidate.step_ms_per_layer(spec, need.context_tokens());
                STAGE_DELAY_MS + f64::from(hop.layers.len()) * layer_ms
            })
            .sum();
        let crossings = hops
            .windows(2)
            .filter(|pair| edges[pair[0].edge].domain != edges[pair[1].edge].domain)
            .count();
        let parts = hops.iter().map(|hop| PathPart {
            instance: candidates[hop.edge].key,
            layers: LayerRange::new(hop.layers.first + first_layer, hop.layers.end + first_layer),
        });
        Ok(LayerPath {
            parts: parts.collect(),
            token_ms,
            crossings,
        })
    }
}

impl<'a> Candidate<'a> {
    fn new(
        table: &InstanceTable,
        spec: &EngineSpec,
        key: InstanceKey,
        tracked: &'a TrackedInstance,
        now: Instant,
    ) -> Option<Self> {
        let instance = &tracked.instance;
        let layers = instance.layers.filter(|layers| spec.has_layers(*layers))?;
        let accelerator = spec.accelerator(instance.accelerator.as_deref()?)?;
        Some(Self {
            key,
            tracked,
            layers,
            work: table.total_work(tracked),
            expected: table.expected_work(tracked, now),
            unaccounted_token_layers: table.unaccounted_token_layers(tracked, now),
            memory_mb: accelerator.memory_mb,
            step_factor: accelerator.step_factor * tracked.slowdown(),
            prompt_factor: accelerator.prompt_factor * tracked.slowdown(),
            holds_context: false,
        })
    }

    /// Returns whether the context of the whole stream fits beside the known work.
    fn has_capacity(&self, spec: &EngineSpec, need: &StreamNeed, limits: CapacityLimits) -> bool {
        self.fits_beside(&self.work, spec, need, limits)
    }

    /// Returns whether the context of the whole stream fits beside the expected work.
    fn has_expected_capacity(
        &self,
        spec: &EngineSpec,
        need: &StreamNeed,
        limits: CapacityLimits,
    ) -> bool {
        self.fits_beside(&self.expected, spec, need, limits)
    }

    fn fits_beside(
        &self,
        work: &Work,
        spec: &EngineSpec,
        need: &StreamNeed,
        limits: CapacityLimits,
    ) -> bool {
        let layers = f64::from(self.layers.len());
        let free_bytes = (self.memory_mb - layers * spec.layer_mb).max(0.0) * 1_000_000.0;
        let free_token_layers = limits.reserved_memory() * free_bytes / spec.token_layer_bytes();
        let held = work.token_layers + self.unaccounted_token_layers;
        held + need.context_tokens() * layers <= free_token_layers
    }

    /// Returns the layers for which the engine accepts another request.
    ///
    /// Without a free first-part slot, the engine runs later parts only.
    fn available_layers(&self, spec: &EngineSpec, limits: CapacityLimits) -> LayerRange {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let max_first = (limits.first_slots * f64::from(spec.slots)) as u32;
        if self.layers.first == 0 && self.work.first_requests >= max_first {
            LayerRange::new(1, self.layers.end)
        } else {
            self.layers
        }
    }

    /// Returns the time of a decoding step for one layer at the expected load.
    ///
    /// The requests on a path of many parts are distributed over its engines, so a step
    /// carries about the share of them that corresponds to the engine's share of the
    /// layers.
    fn step_ms_per_layer(&self, spec: &EngineSpec, context_tokens: f64) -> f64 {
        let share = f64::from(self.layers.len()) / f64::from(spec.layer_count);
        let batch = 1.0 + f64::from(self.expected.requests) * share;
        let per_request_ms = spec.step_per_request_ms
            + spec.step_per_context_kilotoken_ms * context_tokens / 1_000.0;
        let step_ms = (spec.step_ms + batch * per_request_ms) * self.step_factor;
        step_ms / f64::from(spec.layer_count)
    }

    /// Returns the time until the engine has prefilled the tokens that are already pending.
    ///
    /// Streams that lose an engine are all prefilled elsewhere at the same time, so they
    /// have to spread over all copies to keep the pause below what clients notice.
    fn prefill_wait_s(&self, spec: &EngineSpec) -> f64 {
        if self.holds_context {
            return 0.0;
        }
        let per_s = spec.prompt_tokens_per_s * f64::from(spec.layer_count);
        self.tracked.pending_prefill_token_layers() * self.prompt_factor / per_s
    }

    /// Returns the cost of each layer for one stream.
    ///
    /// The cost grows with the requests in flight even though they share decoding steps,
    /// because they compete for prefill. A part that already holds the context costs
    /// nothing.
    fn cost_per_layer_s(&self, spec: &EngineSpec, need: &StreamNeed) -> f64 {
        if self.holds_context {
            return 0.0;
        }
        let decode_ms = need.answer_tokens * self.step_ms_per_layer(spec, need.context_tokens());
        let prefill_ms = 1_000.0 * need.prompt_tokens / spec.prompt_tokens_per_s
            * self.prompt_factor
            / f64::from(spec.layer_count);
        let load_doubling_requests = LOAD_DOUBLING_SLOT_SHARE * f64::from(spec.slots.max(1));
        let load_factor = 1.0 + f64::from(self.expected.requests) / load_doubling_requests;
        (decode_ms + prefill_ms) * load_factor / 1_000.0
    }
}
