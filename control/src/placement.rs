//! Placement of model layers on the engines of a fleet.
//!
//! The engines of a failure domain hold as many complete copies of the model as leave
//! enough memory for context. Within a copy, each engine holds as many layers as its
//! memory allows while the context memory per layer stays even. Losing an engine
//! interrupts the streams of one copy only, and the other copies of the domain serve
//! its layers.
//!
//! One copy is placed on the fastest engines of its domain, with enough free memory for
//! the context of most streams there. A token passes through it in a fraction of the time
//! that slow engines take for some of its layers. Streams therefore end sooner and hold
//! less context at a time, and fewer of them are interrupted by a failure. In a domain with
//! a single copy, the remaining engines hold a second replica of the layers with the least
//! memory for context: they share the load and take over when a neighbour is lost.
//!
//! A path therefore stays inside its domain, where bandwidth is high, and the loss of a
//! domain or of an engine leaves complete copies elsewhere. Domains that are too small for
//! a copy are combined if they can hold one together.
//!
//! Placement is stateless: it depends only on what the engines hold, so planning twice
//! from the same state gives the same result.
//!
//! When an engine is lost, its neighbours also load its layers if they have the memory.
//! Otherwise the group splits the model again, keeping the order of its engines, so that
//! most of them keep most of their layers. That takes one or two seconds, whereas the lost
//! engine would come back empty after several. A returning or new engine gets the layers
//! with the least memory for context.
//!
//! A stream takes a slot only at the first engine of its path. Where the copies of a domain have
//! memory for more streams than their first engines have slots, more engines hold the first
//! layers.
//!
//! An engine normally loads new layers only after the requests through the layers that it
//! gives up have finished. Where layers are missing it aborts these requests instead: no
//! stream of the copy can finish, streams of other copies continue on other engines, and
//! waiting for the longest request would leave the copy incomplete for several seconds.
//!
//! Neighbours also take over the layers of an engine that has become slow, because every
//! stream of its copy waits for it at each token.
//!
//! They also take over those of an engine that has not answered for a moment. Its layers are
//! not missing, since it may go on, so no request is aborted for them. Until then it gets no
//! orders and does not count as a holder of the layers of others.
//!
//! Alternatives are discussed in `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::ops::Range;

use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::GiveUp;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::layer::LayerRange;
use smol_str::SmolStr;

use crate::plan::EngineCapacity;
use crate::plan::split;

/// Largest fraction of an engine's memory used for weights, so that some context still
/// fits after the engine has taken over layers of lost neighbours.
const MAX_WEIGHT_SHARE: f64 = 0.8;

/// Largest number of layers that an engine may reach by taking over those of a lost
/// neighbour, as a multiple of its fair share of the model. Beyond it, the context memory
/// of this engine would limit the whole copy.
const MAX_SHARE_FACTOR: f64 = 1.6;

/// Largest fraction of a group's memory used for the weights of its copies.
const MAX_COPIES_SHARE: f64 = 0.75;

/// Largest number of copies for which the fast copy is given up if all fit only when the
/// engines are distributed evenly. With two copies, the loss of an engine leaves a complete
/// one; a third copy is worth less than the time that a fast copy saves.
const MAX_EVEN_COPIES: usize = 2;

/// Smallest memory of a group that holds a copy, as a multiple of the size of a copy.
const MIN_GROUP_MEMORY_FACTOR: f64 = 1.35;

/// Memory of the engines of the fast copy, as a multiple of the size of a copy. Memory not
/// used for weights holds the context of the streams there.
const FAST_COPY_MEMORY_FACTOR: f64 = 1.45;

/// Share of an engine's first-part slots that gateways plan for. What their peers have sent is
/// known some hundred milliseconds later, so the rest is left for that.
const PLANNED_SLOT_SHARE: f64 = 0.85;

/// Share of an engine's free memory that counts for the context of streams. Gateways plan for
/// all of it; with a little less, no engine holds first layers for streams that hardly fit.
const PLANNED_CONTEXT_SHARE: f64 = 0.92;

/// Smallest number of engines that hold a copy in which one more engine only holds the first
/// layers. In smaller copies, each engine would have to hold many more layers.
const MIN_ENGINES_PER_FIRST_HOLDER: usize = 6;

/// Time to pass a token to another engine of the same failure domain, including the wait
/// for that engine's next step.
const STAGE_DELAY_MS: f64 = 0.5;

/// Whether an engine answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// The engine answers, as far as is known.
    Answering,
    /// The engine has not answered for a moment. It may go on, so its layers are not missing,
    /// but it carries out no orders.
    Silent,
}

/// State of an engine, as input to the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedEngine {
    /// Identifier of this incarnation of the engine; a restarted engine has another one.
    pub id: SmolStr,
    /// Failure domain in which the engine runs.
    pub failure_domain: FailureDomainName,
    /// Memory for weights and context.
    pub memory_mb: f64,
    /// Factor on the duration of a decoding step.
    pub step_factor: f64,
    /// Factor on the duration of prefill.
    pub prompt_factor: f64,
    /// Layers that the engine holds, or will hold once its current order is done.
    pub layers: Option<LayerRange>,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// Whether the engine is so slow that others should run its layers.
    pub is_slow: bool,
    /// Whether the engine answers.
    pub contact: Contact,
    /// Whether the engine only finishes its current streams before it shuts down.
    pub is_leaving: bool,
}

impl PlacedEngine {
    /// Returns whether the engine has not answered for a moment.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.contact == Contact::Silent
    }
}

/// An assignment of new layers to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Identifier of the engine's incarnation.
    pub id: SmolStr,
    /// Layers that the engine has to hold.
    pub layers: LayerRange,
    /// How to treat requests through layers that the engine gives up.
    pub give_up: GiveUp,
}

/// Returns the changes that bring every group of engines closer to a complete copy.
///
/// Engines that are leaving get no layers.
///
/// Engines that hold layers beyond the model are ignored.
pub fn place(spec: &EngineSpec, engines: &[PlacedEngine]) -> Vec<Placement> {
    let is_valid = |engine: &&PlacedEngine| engine.layers.is_none_or(|held| spec.has_layers(held));
    let engines: Vec<PlacedEngine> = engines.iter().filter(is_valid).cloned().collect();
    let engines = engines.as_slice();
    let mut changes = Vec::new();
    for mut group in group_engines(spec, engines) {
        // Neighbours with much memory can take over each other's layers.
        group.sort_by(|a, b| {
            let by_memory = b.memory_mb.total_cmp(&a.memory_mb);
            by_memory.then_with(|| a.id.cmp(&b.id))
        });
        let leaving = engines.iter().filter(|engine| {
            let domain = &engine.failure_domain;
            engine.is_leaving && group.iter().any(|known| known.failure_domain == *domain)
        });
        Group {
            spec,
            leaving: leaving.filter_map(|engine| engine.layers).collect(),
            engines: group,
        }
        .place(&mut changes);
    }
    changes
}

/// Groups the engines by domain; domains that are too small form one group together.
fn group_engines<'a>(spec: &EngineSpec, engines: &'a [PlacedEngine]) -> Vec<Vec<&'a PlacedEngine>> {
    let mut domains: BTreeMap<&FailureDomainName, Vec<&PlacedEngine>> = BTreeMap::new();
    for engine in engines.iter().filter(|engine| !engine.is_leaving) {
        domains
            .entry(&engine.failure_domain)
            .or_default()
            .push(engine);
    }
    let needed_mb = MIN_GROUP_MEMORY_FACTOR * spec.layer_mb * f64::from(spec.layer_count);
    let memory_mb =
        |group: &[&PlacedEngine]| -> f64 { group.iter().map(|engine| engine.memory_mb).sum() };
    let (mut groups, small): (Vec<_>, Vec<_>) = domains
        .into_values()
        .partition(|group| memory_mb(group) >= needed_mb);
    let combined: Vec<&PlacedEngine> = small.into_iter().flatten().collect();
    // Engines of small domains that cannot hold a copy together keep their layers if other
    // domains hold one. Counting them in another group would hide that group's own gaps.
    if memory_mb(&combined) >= needed_mb || groups.is_empty() {
        groups.push(combined);
    }
    groups
}

/// Engines that hold one or more copies together.
struct Group<'a> {
    spec: &'a EngineSpec,
    engines: Vec<&'a PlacedEngine>,
    /// Layers that leaving engines still run for their current streams.
    leaving: Vec<LayerRange>,
}

impl Group<'_> {
    fn place(&self, changes: &mut Vec<Placement>) {
        let holds_any = self.engines.iter().any(|engine| engine.layers.is_some());
        if !holds_any {
            self.split_into_copies(changes);
            return;
        }
        let empty: Vec<&PlacedEngine> = self
            .answering()
            .filter(|engine| engine.layers.is_none() && !engine.is_busy)
            .collect();
        let gaps = self.gaps(|_| true);
        if gaps.is_empty() {
            self.assign_empty_engines(&empty, changes);
            self.cover_slow_and_silent_engines(changes);
            return;
        }
        let mut planned = Vec::new();
        let mut free = self.redundant_engines();
        free.extend(empty);
        let is_filled = self.fill_gaps(&gaps, &free, &mut planned);
        // Busy engines may be filling the gaps already.
        let is_idle = self.answering().all(|engine| !engine.is_busy);
        let mut resplit_changes = Vec::new();
        if !is_filled && is_idle && self.resplit(&gaps, &mut resplit_changes) {
            planned = resplit_changes;
        }
        // Streams through a leaving engine can finish, so they must not be aborted.
        if gaps.iter().all(|gap| self.is_covered_by_leaving(*gap)) {
            for placement in &mut planned {
                placement.give_up = GiveUp::Finish;
            }
        }
        changes.append(&mut planned);
    }

    /// Assigns the layers of slow or silent engines to their neighbours as well, or else to
    /// engines whose own layers others hold.
    fn cover_slow_and_silent_engines(&self, changes: &mut Vec<Placement>) {
        let gaps = self.gaps(|engine| !engine.is_slow && !engine.is_silent());
        let mut redundant = self.redundant_engines();
        redundant.retain(|engine| !engine.is_slow);
        let mut planned = Vec::new();
        if self.fill_gaps(&gaps, &redundant, &mut planned) {
            // No layer is missing, so no stream has to be aborted.
            for placement in &mut planned {
                placement.give_up = GiveUp::Finish;
            }
            changes.append(&mut planned);
        }
    }

    /// Returns the engines that are not silent, and so carry out orders.
    fn answering(&self) -> impl Iterator<Item = &PlacedEngine> {
        let engines = self.engines.iter().copied();
        engines.filter(|engine| !engine.is_silent())
    }

    /// Returns whether leaving engines still run all layers of a gap.
    fn is_covered_by_leaving(&self, gap: LayerRange) -> bool {
        let is_covered = |layer| self.leaving.iter().any(|layers| layers.contains(layer));
        (gap.first..gap.end).all(is_covered)
    }

    /// Returns answering engines whose layers others of them hold as well.
    ///
    /// Each of them is still redundant after all before it have been reassigned.
    fn redundant_engines(&self) -> Vec<&PlacedEngine> {
        let mut replica_counts = self.replica_counts();
        let mut redundant = Vec::new();
        for engine in self.answering() {
            let layers = self.layers_of(engine);
            let is_held_twice = !layers.is_empty()
                && replica_counts[layers.clone()]
                    .iter()
                    .all(|replicas| *replicas > 1);
            if is_held_twice && !engine.is_busy {
                for layer in layers {
                    replica_counts[layer] -= 1;
                }
                redundant.push(engine);
            }
        }
        redundant
    }

    /// Splits one copy among all answering engines, keeping their current order by layers.
    ///
    /// Returns whether the copy fits.
    fn resplit(&self, gaps: &[LayerRange], changes: &mut Vec<Placement>) -> bool {
        let mut engines: Vec<&PlacedEngine> = self.answering().collect();
        let gap = gaps.first().map_or(0, |gap| gap.first);
        // Engines without layers are inserted at the first gap.
        engines.sort_by_key(|engine| {
            let first = engine.layers.map_or(gap, |layers| layers.first);
            (
                first,
                engine.layers.map_or(0, |layers| layers.end),
                engine.id.clone(),
            )
        });
        let whole = LayerRange::new(0, self.spec.layer_count);
        let mut planned = Vec::new();
        if !self.split_among(whole, &engines, &mut planned) {
            return false;
        }
        let is_held = |placement: &Placement| {
            let engine = engines.iter().find(|engine| engine.id == placement.id);
            engine.and_then(|engine| engine.layers) == Some(placement.layers)
        };
        changes.extend(planned.into_iter().filter(|placement| !is_held(placement)));
        true
    }

    /// Gives every answering engine its part of a copy, in proportion to its memory.
    ///
    /// Every other copy is laid out in reverse order, so that several engines of another
    /// copy hold the layers of a lost engine. Each of them then prefills a part of the
    /// context of the moved streams, rather than one of them all of it.
    fn split_into_copies(&self, changes: &mut Vec<Placement>) {
        let whole = LayerRange::new(0, self.spec.layer_count);
        let answering: Vec<&PlacedEngine> = self.answering().collect();
        for copy_count in (1..=self.max_copies()).rev() {
            let by_speed = self.distribute_by_speed(copy_count);
            let by_memory = (copy_count <= MAX_EVEN_COPIES)
                .then(|| distribute_by_memory(&answering, copy_count));
            for mut distribution in [Some(by_speed), by_memory].into_iter().flatten() {
                let mut planned = Vec::new();
                let fits = distribution.iter_mut().enumerate().all(|(index, engines)| {
                    if index % 2 == 1 {
                        engines.reverse();
                    }
                    self.split_among(whole, engines, &mut planned)
                });
                if fits {
                    self.add_first_holders(&distribution, &mut planned);
                    changes.append(&mut planned);
                    return;
                }
            }
        }
    }

    /// Lets more engines hold the first layers of the copy with the most engines, as long as
    /// the copies' memory holds more streams than their first engines have slots.
    ///
    /// A stream takes a slot only at the first engine of its path. With one such engine for
    /// each copy, the copy is full at that engine's slots while the memory of all others is
    /// half empty.
    fn add_first_holders(&self, distribution: &[Vec<&PlacedEngine>], planned: &mut Vec<Placement>) {
        if distribution.len() < 2 {
            return;
        }
        let Some(largest) = distribution.iter().max_by_key(|engines| engines.len()) else {
            return;
        };
        let others: Vec<Placement> = planned
            .iter()
            .filter(|placement| !largest.iter().any(|engine| engine.id == placement.id))
            .cloned()
            .collect();
        let max_added = largest.len() / MIN_ENGINES_PER_FIRST_HOLDER;
        for added in 1..=max_added {
            if self.planned_slots(planned) >= self.planned_streams(planned, distribution) {
                return;
            }
            let mut candidate = others.clone();
            if !self.split_with_first_holders(largest, added, &mut candidate) {
                return;
            }
            *planned = candidate;
        }
    }

    /// Splits a copy among `engines`, with the first layers on `added` more of them.
    ///
    /// The engines with the least memory hold the first layers. Returns whether the copy fits.
    fn split_with_first_holders(
        &self,
        engines: &[&PlacedEngine],
        added: usize,
        changes: &mut Vec<Placement>,
    ) -> bool {
        let mut by_memory = engines.to_vec();
        by_memory.sort_by(|a, b| a.memory_mb.total_cmp(&b.memory_mb));
        let Some((first, more)) = by_memory[..=added].split_first() else {
            return false;
        };
        let is_more = |engine: &PlacedEngine| more.iter().any(|known| known.id == engine.id);
        let mut split = vec![*first];
        let others = engines.iter().filter(|engine| engine.id != first.id);
        split.extend(others.filter(|engine| !is_more(engine)));
        let whole = LayerRange::new(0, self.spec.layer_count);
        if !self.split_among(whole, &split, changes) {
            return false;
        }
        let mut planned = changes.iter();
        let Some(placement) = planned.find(|placement| placement.id == first.id).cloned() else {
            return false;
        };
        changes.extend(more.iter().map(|engine| Placement {
            id: engine.id.clone(),
            ..placement.clone()
        }));
        true
    }

    /// Returns the streams for which the planned holders of layer zero have slots.
    fn planned_slots(&self, planned: &[Placement]) -> f64 {
        let holds_first = |placement: &&Placement| placement.layers.first == 0;
        self.slots_of(planned.iter().filter(holds_first).count())
    }

    /// Returns the streams for which a number of holders of layer zero have slots.
    fn slots_of(&self, first_holders: usize) -> f64 {
        PLANNED_SLOT_SHARE * f64::from(self.spec.slots) * first_holders as f64
    }

    /// Returns the streams for whose context the planned copies have memory. The engine with
    /// the least memory for each layer limits its copy.
    fn planned_streams(&self, planned: &[Placement], copies: &[Vec<&PlacedEngine>]) -> f64 {
        let streams_of_copy = |engines: &Vec<&PlacedEngine>| {
            let streams = engines.iter().filter_map(|engine| {
                let placement = planned.iter().find(|placement| placement.id == engine.id)?;
                let layers = placement.layers.len();
                Some(self.streams_in(self.free_mb(engine, layers) / f64::from(layers.max(1))))
            });
            streams.fold(f64::INFINITY, f64::min)
        };
        copies.iter().map(streams_of_copy).sum()
    }

    /// Returns the number of usual streams whose context for one layer fits into `mb`.
    fn streams_in(&self, mb: f64) -> f64 {
        let tokens = self.spec.usual_prompt_tokens + self.spec.usual_answer_tokens;
        let stream_mb = tokens * self.spec.token_layer_bytes() / 1_000_000.0;
        PLANNED_CONTEXT_SHARE * mb / stream_mb.max(f64::MIN_POSITIVE)
    }

    /// Gives the fastest engines to one copy and distributes the others evenly among the
    /// rest.
    ///
    /// With a single copy, the others get no layers.
    fn distribute_by_speed(&self, copy_count: usize) -> Vec<Vec<&PlacedEngine>> {
        let mut by_speed: Vec<&PlacedEngine> = self.answering().collect();
        // The sort is stable, so engines of equal speed stay ordered by memory.
        by_speed.sort_by(|a, b| self.stream_ms(a).total_cmp(&self.stream_ms(b)));
        let needed_mb = FAST_COPY_MEMORY_FACTOR * self.copy_mb();
        let mut memory_mb = 0.0;
        let mut layers = 0;
        let fast = by_speed.iter().take_while(|engine| {
            let is_needed = memory_mb < needed_mb || layers < self.spec.layer_count;
            memory_mb += engine.memory_mb;
            layers += self.max_layers(engine);
            is_needed
        });
        let (fast, slow) = by_speed.split_at(fast.count());
        let mut distribution = vec![fast.to_vec()];
        if copy_count > 1 {
            distribution.extend(distribute_by_memory(slow, copy_count - 1));
        }
        distribution
    }

    /// Returns the duration of a typical stream on a copy made of such engines only.
    fn stream_ms(&self, engine: &PlacedEngine) -> f64 {
        let spec = self.spec;
        let parts = f64::from(spec.layer_count) / f64::from(self.max_layers(engine).max(1));
        let token_ms = spec.step_ms * engine.step_factor + STAGE_DELAY_MS * parts;
        let prefill_ms = 1_000.0 * spec.usual_prompt_tokens / spec.prompt_tokens_per_s;
        spec.usual_answer_tokens * token_ms + prefill_ms * engine.prompt_factor
    }

    fn copy_mb(&self) -> f64 {
        self.spec.layer_mb * f64::from(self.spec.layer_count)
    }

    /// Returns the number of copies that leave the answering engines enough memory for context.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn max_copies(&self) -> usize {
        let memory_mb: f64 = self.answering().map(|engine| engine.memory_mb).sum();
        ((MAX_COPIES_SHARE * memory_mb / self.copy_mb()) as usize).max(1)
    }

    /// Splits a range of layers in proportion to memory. Returns whether it fits.
    fn split_among(
        &self,
        layers: LayerRange,
        engines: &[&PlacedEngine],
        changes: &mut Vec<Placement>,
    ) -> bool {
        let capacities: Vec<EngineCapacity> = engines
            .iter()
            .map(|engine| EngineCapacity {
                max_layers: self.max_layers(engine),
                rate: memory_weight(engine),
            })
            .collect();
        let Some(ranges) = split(layers, &capacities) else {
            return false;
        };
        for (engine, range) in engines.iter().zip(ranges) {
            if !range.is_empty() {
                changes.push(Placement {
                    id: engine.id.clone(),
                    layers: range,
                    give_up: GiveUp::Abort,
                });
            }
        }
        true
    }

    /// Returns the number of layers that an engine may hold.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn max_layers(&self, engine: &PlacedEngine) -> u32 {
        (MAX_WEIGHT_SHARE * engine.memory_mb / self.spec.layer_mb) as u32
    }

    /// Returns the ranges that no engine accepted by `is_counted` holds.
    fn gaps(&self, is_counted: impl Fn(&PlacedEngine) -> bool) -> Vec<LayerRange> {
        let mut held: Vec<LayerRange> = self
            .engines
            .iter()
            .filter(|engine| is_counted(engine))
            .filter_map(|engine| engine.layers)
            .collect();
        held.sort_unstable();
        let mut gaps = Vec::new();
        let mut next = 0;
        for range in held {
            if range.first > next {
                gaps.push(LayerRange::new(next, range.first));
            }
            next = next.max(range.end);
        }
        if next < self.spec.layer_count {
            gaps.push(LayerRange::new(next, self.spec.layer_count));
        }
        gaps
    }

    /// Fills gaps by extending neighbours or with `free` engines, the last ones first.
    ///
    /// Returns whether all gaps are filled.
    fn fill_gaps(
        &self,
        gaps: &[LayerRange],
        free: &[&PlacedEngine],
        changes: &mut Vec<Placement>,
    ) -> bool {
        let mut free = free.to_vec();
        let mut is_filled = true;
        for &gap in gaps {
            let mut extended = changes.clone();
            if self.extend_neighbours_into(gap, &mut extended) {
                *changes = extended;
                continue;
            }
            // An engine gets one order at a time.
            free.retain(|engine| !has_order(changes, engine));
            let mut taken = Vec::new();
            let mut capacity = 0;
            while capacity < gap.len()
                && let Some(engine) = free.pop()
            {
                capacity += self.max_fair_layers(engine);
                taken.push(engine);
            }
            if capacity >= gap.len() && self.split_among(gap, &taken, changes) {
                continue;
            }
            // The free engines hold the middle, and the neighbours extend to both ends of it.
            let uncovered = gap.len() - capacity;
            let before = uncovered / 2;
            let middle = LayerRange::new(gap.first + before, gap.end - (uncovered - before));
            self.split_among(middle, &taken, changes);
            is_filled &=
                self.extend_neighbours_into(LayerRange::new(gap.first, middle.first), changes);
            is_filled &= self.extend_neighbours_into(LayerRange::new(middle.end, gap.end), changes);
        }
        is_filled
    }

    /// Returns the number of layers that an engine may hold without limiting the context of
    /// its copy.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn max_fair_layers(&self, engine: &PlacedEngine) -> u32 {
        let fair = (MAX_SHARE_FACTOR * self.layer_share(engine)).ceil() as u32;
        fair.min(self.max_layers(engine))
    }

    /// Returns an engine's share, in proportion to its memory, of the layers of all copies
    /// that the group holds.
    fn layer_share(&self, engine: &PlacedEngine) -> f64 {
        let total_mb: f64 = self.engines.iter().map(|engine| engine.memory_mb).sum();
        let layer_count = f64::from(self.spec.layer_count);
        engine.memory_mb / total_mb * layer_count * f64::from(self.copy_count())
    }

    /// Returns an engine's share, in proportion to its memory, of all the layers that the
    /// group can hold beside the context.
    ///
    /// Where the memory does not suffice for another copy, parts of one keep more losses
    /// inside the domain.
    fn replica_share(&self, engine: &PlacedEngine) -> f64 {
        let layers = MAX_COPIES_SHARE * engine.memory_mb / self.spec.layer_mb;
        layers.max(self.layer_share(engine))
    }

    /// Returns the number of copies that the group holds, rounded and at least one.
    fn copy_count(&self) -> u32 {
        let held = self.engines.iter().map(|engine| self.layers_of(engine));
        let held = saturating_layer(held.map(|layers| layers.len()).sum());
        ((held + self.spec.layer_count / 2) / self.spec.layer_count).max(1)
    }

    /// Returns the number of answering engines that hold each layer.
    fn replica_counts(&self) -> Vec<u32> {
        let mut replica_counts = vec![0_u32; self.spec.layer_count as usize];
        for engine in self.answering() {
            for layer in self.layers_of(engine) {
                replica_counts[layer] += 1;
            }
        }
        replica_counts
    }

    fn layers_of(&self, engine: &PlacedEngine) -> Range<usize> {
        let layers = engine.layers.unwrap_or(LayerRange::new(0, 0));
        let end = layers.end.min(self.spec.layer_count);
        layers.first.min(end) as usize..end as usize
    }

    /// Extends the engines on both sides of a gap into it, as far as their fair share allows.
    ///
    /// Returns whether that fills the gap.
    fn extend_neighbours_into(&self, gap: LayerRange, changes: &mut Vec<Placement>) -> bool {
        if gap.is_empty() {
            return true;
        }
        let before = self.neighbour_with_most_capacity(changes, |layers| layers.end == gap.first);
        let after = self.neighbour_with_most_capacity(changes, |layers| layers.first == gap.end);
        let spare_layers = |neighbour: Option<(&PlacedEngine, LayerRange)>| {
            neighbour.map_or(0, |(engine, layers)| {
                self.max_fair_layers(engine).saturating_sub(layers.len())
            })
        };
        let (spare_before, spare_after) = (spare_layers(before), spare_layers(after));
        let half = gap.len().div_ceil(2);
        let by_before = spare_before.min(half.max(gap.len().saturating_sub(spare_after)));
        let by_after = spare_after.min(gap.len() - by_before);
        if let Some((engine, layers)) = before.filter(|_| by_before > 0) {
            changes.push(Placement {
                id: engine.id.clone(),
                layers: LayerRange::new(layers.first, layers.end + by_before),
                give_up: GiveUp::Finish,
            });
        }
        if let Some((engine, layers)) = after.filter(|_| by_after > 0) {
            changes.push(Placement {
                id: engine.id.clone(),
                layers: LayerRange::new(layers.first - by_after, layers.end),
                give_up: GiveUp::Finish,
            });
        }
        by_before + by_after == gap.len()
    }

    /// Returns the engine with the most spare layers among those that answer, whose layers
    /// fit and that have no order yet.
    fn neighbour_with_most_capacity(
        &self,
        changes: &[Placement],
        fits: impl Fn(LayerRange) -> bool,
    ) -> Option<(&PlacedEngine, LayerRange)> {
        self.answering()
            .filter(|engine| !engine.is_busy && !engine.is_slow)
            .filter(|engine| !has_order(changes, engine))
            .filter_map(|engine| Some((engine, engine.layers?)))
            .filter(|(_, layers)| fits(*layers))
            .max_by_key(|(engine, layers)| {
                self.max_fair_layers(engine).saturating_sub(layers.len())
            })
    }

    /// Gives empty engines layers that some copy lacks, or else those with the least memory
    /// for context.
    fn assign_empty_engines(&self, empty: &[&PlacedEngine], changes: &mut Vec<Placement>) {
        let mut context_mb = self.context_mb_by_layer();
        let mut replica_counts = self.replica_counts();
        let holds_first =
            |engine: &&PlacedEngine| engine.layers.is_some_and(|held| held.first == 0);
        let mut first_holders = self.answering().filter(holds_first).count();
        for engine in empty {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wanted = (self.replica_share(engine).round() as u32).max(1);
            let most = self.max_layers(engine).min(self.spec.layer_count);
            let underreplicated = longest_range_below(&replica_counts, self.copy_count());
            let len = wanted.max(underreplicated.len()).min(most);
            if len == 0 {
                continue;
            }
            let layers = if underreplicated.is_empty()
                && self.lacks_first_slots(&context_mb, first_holders)
            {
                LayerRange::new(0, len)
            } else {
                scarcest_window(&context_mb, len, underreplicated)
            };
            first_holders += usize::from(layers.first == 0);
            let added_mb = self.free_mb(engine, layers.len()) / f64::from(layers.len());
            for layer in layers.first..layers.end {
                context_mb[layer as usize] += added_mb;
                replica_counts[layer as usize] += 1;
            }
            changes.push(Placement {
                id: engine.id.clone(),
                layers,
                give_up: GiveUp::Finish,
            });
        }
    }

    /// Returns whether several copies have fewer slots at their first engines than memory for
    /// streams at the layer with the least of it.
    fn lacks_first_slots(&self, context_mb: &[f64], first_holders: usize) -> bool {
        let least_mb = context_mb.iter().copied().fold(f64::INFINITY, f64::min);
        self.copy_count() > 1 && self.slots_of(first_holders) < self.streams_in(least_mb)
    }

    /// Returns the memory for context of each layer, summed over all answering engines.
    fn context_mb_by_layer(&self) -> Vec<f64> {
        let mut context_mb = vec![0.0; self.spec.layer_count as usize];
        for engine in self.answering() {
            let Some(layers) = engine.layers else {
                continue;
            };
            let mb = self.free_mb(engine, layers.len()) / f64::from(layers.len());
            for layer in layers.first..layers.end.min(self.spec.layer_count) {
                context_mb[layer as usize] += mb;
            }
        }
        context_mb
    }

    fn free_mb(&self, engine: &PlacedEngine, layers: u32) -> f64 {
        (engine.memory_mb - f64::from(layers) * self.spec.layer_mb).max(0.0)
    }
}

/// Returns whether `changes` already contains an order for an engine.
fn has_order(changes: &[Placement], engine: &PlacedEngine) -> bool {
    changes.iter().any(|placement| placement.id == engine.id)
}

/// Distributes the engines in order, each to the copy with the least memory so far.
fn distribute_by_memory<'a>(
    engines: &[&'a PlacedEngine],
    copy_count: usize,
) -> Vec<Vec<&'a PlacedEngine>> {
    let mut distribution: Vec<(f64, Vec<&PlacedEngine>)> = vec![(0.0, Vec::new()); copy_count];
    for engine in engines {
        let smallest = distribution.iter_mut().min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((memory_mb, engines)) = smallest {
            *memory_mb += engine.memory_mb;
            engines.push(engine);
        }
    }
    distribution
        .into_iter()
        .map(|(_, engines)| engines)
        .collect()
}

/// Returns an engine's memory as a weight for splitting layers.
///
/// The weight is large compared to the number of layers, so that rounding has no effect.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn memory_weight(engine: &PlacedEngine) -> u64 {
    (engine.memory_mb.max(0.0) * 1_000.0) as u64
}

/// Returns the longest range of layers that fewer than `copy_count` engines hold.
fn longest_range_below(replica_counts: &[u32], copy_count: u32) -> LayerRange {
    let mut longest = LayerRange::new(0, 0);
    let mut first = 0;
    for (layer, replicas) in replica_counts.iter().enumerate() {
        let end = saturating_layer(layer + 1);
        if *replicas >= copy_count {
            first = end;
        } else if end - first > longest.len() {
            longest = LayerRange::new(first, end);
        }
    }
    longest
}

/// Returns the window of `len` layers with the least context memory in total, among those
/// that share the most layers with `wanted`.
fn scarcest_window(context_mb: &[f64], len: u32, wanted: LayerRange) -> LayerRange {
    let len = len as usize;
    let windows = context_mb.windows(len).enumerate().map(|(first, window)| {
        let shared_end = saturating_layer(first + len).min(wanted.end);
        let shared = shared_end.saturating_sub(saturating_layer(first).max(wanted.first));
        (shared, window.iter().sum::<f64>(), first)
    });
    let first = windows
        .min_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)))
        .map_or(0, |(_, _, first)| first);
    LayerRange::new(saturating_layer(first), saturating_layer(first + len))
}

fn saturating_layer(layer: usize) -> u32 {
    u32::try_from(layer).unwrap_or(u32::MAX)
}
