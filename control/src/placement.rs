//! Which engine of a fleet holds which layers.
//!
//! The engines of a failure domain hold as many whole copies of the model as leave
//! enough memory for context, each engine as many layers as its memory allows
//! beside an equal amount of context. A lost engine breaks the streams of one copy
//! only, and the other copies of its domain stand in for its layers.
//! One copy stands on the fastest engines of its domain, with enough memory beside it for
//! the context of most streams there. A token passes it in a fraction of the time that
//! slow engines take for some of its layers, so streams end sooner, hold less context at
//! a time, and fewer of them are broken when something is lost. Where a domain has one copy
//! only, the engines that it leaves free hold the layers with the least room a second time:
//! they take a part of the load, and stand in when an engine beside them is lost.
//!
//! So a path stays inside its domain, where links are wide, and the loss of a
//! domain or of an engine leaves whole copies elsewhere. Domains too small for a
//! copy are joined if they hold one together.
//!
//! The decision needs no memory of its own: it follows from what the engines
//! hold, so a plan that is made twice is the same plan.
//!
//! When an engine is lost, its neighbours hold its layers as well if they can
//! spare the memory. Otherwise the group splits the model anew, in the order in
//! which its engines stand, so that most of them keep most of their layers: that
//! takes a second or two, while the lost engine would come back empty after
//! several. An engine that comes back, or a new one, relieves the layers with the
//! least memory for context.
//!
//! An engine loads its new layers only after the requests that pass through those it
//! gives up. Where layers are missing it breaks them off instead: no stream of the
//! copy can finish, and those of other copies go on over other engines, while waiting
//! for the longest would leave the copy broken for several seconds.
//!
//! Neighbours also take over the layers of an engine that has become slow: every
//! stream of its copy waits for it at each token.
//!
//! Ways that were weighed are in `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::ops::Range;

use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::GiveUp;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::layer::LayerRange;
use smol_str::SmolStr;

use crate::plan::Share;
use crate::plan::split;

/// The part of an engine's memory that weights may take, so that some context
/// fits even after it has taken over layers of lost neighbours.
const MAX_WEIGHT_SHARE: f64 = 0.8;

/// The layers that an engine takes over from a lost neighbour at most, as a factor on
/// its fair share of the model: beyond it, context of the whole copy would be bound
/// by this engine.
const MAX_SHARE_FACTOR: f64 = 1.6;

/// The part of a group's memory that the weights of its copies may take.
const MAX_COPIES_SHARE: f64 = 0.7;

/// The memory of a domain, in copies of the model, from which it holds one.
const MIN_COPIES_OF_MEMORY: f64 = 1.35;

/// The memory of the engines of the fast copy, in copies of the model: the rest of it holds
/// the context of the streams there.
const FAST_COPY_OF_MEMORY: f64 = 1.45;

/// The time that passing a token to another engine of the same failure domain takes,
/// in milliseconds, with the wait for the engine's next step.
const STAGE_DELAY_MS: f64 = 0.5;

/// An engine as the placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedEngine {
    /// The identifier of its life.
    pub id: SmolStr,
    /// The failure domain.
    pub failure_domain: FailureDomainName,
    /// The memory for weights and context.
    pub memory_mb: f64,
    /// The factor on the time of its decoding steps.
    pub step_factor: f64,
    /// The factor on the time of its reading.
    pub prompt_factor: f64,
    /// The layers that it holds, or will hold when its order is done.
    pub layers: Option<LayerRange>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Whether it is so slow that its layers should be run by others.
    pub is_slow: bool,
    /// Whether it serves only the streams that it has, and is about to end.
    pub is_leaving: bool,
}

/// A change of the layers that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The identifier of the engine's life.
    pub id: SmolStr,
    /// The layers that it has to hold.
    pub layers: LayerRange,
    /// What becomes of requests that pass through layers which it gives up.
    pub give_up: GiveUp,
}

/// Returns the changes that bring every group of engines nearer to a whole copy.
///
/// Engines that leave are given nothing.
pub fn place(spec: &EngineSpec, engines: &[PlacedEngine]) -> Vec<Placement> {
    let mut changes = Vec::new();
    for mut group in groups(spec, engines) {
        // Engines with much memory next to each other take over for each other.
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

/// Returns the engines by domain, with domains that are too small joined to one group.
fn groups<'a>(spec: &EngineSpec, engines: &'a [PlacedEngine]) -> Vec<Vec<&'a PlacedEngine>> {
    let mut domains: BTreeMap<&FailureDomainName, Vec<&PlacedEngine>> = BTreeMap::new();
    for engine in engines.iter().filter(|engine| !engine.is_leaving) {
        domains
            .entry(&engine.failure_domain)
            .or_default()
            .push(engine);
    }
    let needed_mb = MIN_COPIES_OF_MEMORY * spec.layer_mb * f64::from(spec.layer_count);
    let memory_mb =
        |group: &[&PlacedEngine]| -> f64 { group.iter().map(|engine| engine.memory_mb).sum() };
    let (mut groups, small): (Vec<_>, Vec<_>) = domains
        .into_values()
        .partition(|group| memory_mb(group) >= needed_mb);
    let joined: Vec<&PlacedEngine> = small.into_iter().flatten().collect();
    // Engines that hold no copy together, while other domains do, keep what they hold:
    // were they counted in another group, its own holes would seem to be filled.
    if memory_mb(&joined) >= needed_mb || groups.is_empty() {
        groups.push(joined);
    }
    groups
}

/// The engines that hold one copy together.
struct Group<'a> {
    spec: &'a EngineSpec,
    engines: Vec<&'a PlacedEngine>,
    /// The layers that engines which leave still run for the streams that they have.
    leaving: Vec<LayerRange>,
}

impl Group<'_> {
    fn place(&self, changes: &mut Vec<Placement>) {
        let holds_any = self.engines.iter().any(|engine| engine.layers.is_some());
        if !holds_any {
            self.split_all(changes);
            return;
        }
        let empty: Vec<&PlacedEngine> = self
            .engines
            .iter()
            .filter(|engine| engine.layers.is_none() && !engine.is_busy)
            .copied()
            .collect();
        let holes = self.holes(|_| true);
        if holes.is_empty() {
            self.relieve(&empty, changes);
            self.stand_in_for_slow(changes);
            return;
        }
        let mut planned = Vec::new();
        let mut free = self.spare();
        free.extend(empty);
        let is_filled = self.fill(&holes, &free, &mut planned);
        // Engines that are busy may be filling the holes already.
        let is_settled = self.engines.iter().all(|engine| !engine.is_busy);
        let mut anew = Vec::new();
        if !is_filled && is_settled && self.split_anew(&holes, &mut anew) {
            planned = anew;
        }
        // Streams that pass an engine which leaves can finish, so nothing cuts them.
        if holes.iter().all(|hole| self.is_served_by_leaving(*hole)) {
            for placement in &mut planned {
                placement.give_up = GiveUp::Finish;
            }
        }
        changes.append(&mut planned);
    }

    /// Lets neighbours hold the layers of slow engines, or else engines whose own layers
    /// others hold.
    fn stand_in_for_slow(&self, changes: &mut Vec<Placement>) {
        let holes = self.holes(|engine| !engine.is_slow);
        let mut spare = self.spare();
        spare.retain(|engine| !engine.is_slow);
        let mut planned = Vec::new();
        if self.fill(&holes, &spare, &mut planned) {
            // Nothing is missing, so no stream is broken off for it.
            for placement in &mut planned {
                placement.give_up = GiveUp::Finish;
            }
            changes.append(&mut planned);
        }
    }

    /// Returns whether engines that leave still run all layers of a hole.
    fn is_served_by_leaving(&self, hole: LayerRange) -> bool {
        let is_served = |layer| self.leaving.iter().any(|layers| layers.contains(layer));
        (hole.first..hole.end).all(is_served)
    }

    /// Returns engines whose layers others hold as well, each also when all before it
    /// have been taken.
    fn spare(&self) -> Vec<&PlacedEngine> {
        let mut depth = self.depth();
        let mut spare = Vec::new();
        for &engine in &self.engines {
            let layers = self.layers_of(engine);
            let is_held_twice =
                !layers.is_empty() && depth[layers.clone()].iter().all(|holders| *holders > 1);
            if is_held_twice && !engine.is_busy {
                for layer in layers {
                    depth[layer] -= 1;
                }
                spare.push(engine);
            }
        }
        spare
    }

    /// Splits one copy among all engines, in the order in which they stand.
    ///
    /// Returns whether it fits.
    fn split_anew(&self, holes: &[LayerRange], changes: &mut Vec<Placement>) -> bool {
        let mut engines = self.engines.clone();
        let hole = holes.first().map_or(0, |hole| hole.first);
        // Engines that hold nothing stand where layers are missing.
        engines.sort_by_key(|engine| {
            let first = engine.layers.map_or(hole, |layers| layers.first);
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

    /// Gives every engine its part of a copy, by memory.
    ///
    /// Every other copy stands in reverse order, so that the layers of a lost engine are
    /// held by several of the other copy's: each of them reads a part of the context of
    /// the streams that move, and not one of them all of it.
    fn split_all(&self, changes: &mut Vec<Placement>) {
        let whole = LayerRange::new(0, self.spec.layer_count);
        for copies in (1..=self.max_copies()).rev() {
            let dealt = [self.deal_by_speed(copies), deal(&self.engines, copies)];
            for mut dealt in dealt {
                let mut planned = Vec::new();
                let fits = dealt.iter_mut().enumerate().all(|(index, engines)| {
                    if index % 2 == 1 {
                        engines.reverse();
                    }
                    self.split_among(whole, engines, &mut planned)
                });
                if fits {
                    changes.append(&mut planned);
                    return;
                }
            }
        }
    }

    /// Deals the fastest engines to one copy, and the others evenly to the rest.
    ///
    /// Where there is one copy only, the others are left without layers.
    fn deal_by_speed(&self, copies: usize) -> Vec<Vec<&PlacedEngine>> {
        let mut by_speed = self.engines.clone();
        // Those of equal speed stay in the order of their memory.
        by_speed.sort_by(|a, b| self.stream_ms(a).total_cmp(&self.stream_ms(b)));
        let needed_mb = FAST_COPY_OF_MEMORY * self.copy_mb();
        let mut memory_mb = 0.0;
        let mut layers = 0;
        let fast = by_speed.iter().take_while(|engine| {
            let is_needed = memory_mb < needed_mb || layers < self.spec.layer_count;
            memory_mb += engine.memory_mb;
            layers += self.max_layers(engine);
            is_needed
        });
        let (fast, slow) = by_speed.split_at(fast.count());
        let mut dealt = vec![fast.to_vec()];
        if copies > 1 {
            dealt.extend(deal(slow, copies - 1));
        }
        dealt
    }

    /// Returns the time that a usual stream would take on engines of this kind alone.
    fn stream_ms(&self, engine: &PlacedEngine) -> f64 {
        let spec = self.spec;
        let parts = f64::from(spec.layer_count) / f64::from(self.max_layers(engine).max(1));
        let token_ms = spec.step_ms * engine.step_factor + STAGE_DELAY_MS * parts;
        let read_ms = 1_000.0 * spec.usual_prompt_tokens / spec.prompt_tokens_per_s;
        spec.usual_answer_tokens * token_ms + read_ms * engine.prompt_factor
    }

    fn copy_mb(&self) -> f64 {
        self.spec.layer_mb * f64::from(self.spec.layer_count)
    }

    /// Returns the number of copies that leave enough memory for context.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn max_copies(&self) -> usize {
        let memory_mb: f64 = self.engines.iter().map(|engine| engine.memory_mb).sum();
        ((MAX_COPIES_SHARE * memory_mb / self.copy_mb()) as usize).max(1)
    }

    /// Splits a range of missing layers by memory. Returns whether it fits.
    fn split_among(
        &self,
        layers: LayerRange,
        engines: &[&PlacedEngine],
        changes: &mut Vec<Placement>,
    ) -> bool {
        let shares: Vec<Share> = engines
            .iter()
            .map(|engine| Share {
                max_layers: self.max_layers(engine),
                rate: memory_weight(engine),
            })
            .collect();
        let Some(ranges) = split(layers, &shares) else {
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

    /// Returns the ranges that none of the engines for which `counts` holds.
    fn holes(&self, counts: impl Fn(&PlacedEngine) -> bool) -> Vec<LayerRange> {
        let mut held: Vec<LayerRange> = self
            .engines
            .iter()
            .filter(|engine| counts(engine))
            .filter_map(|engine| engine.layers)
            .collect();
        held.sort_unstable();
        let mut holes = Vec::new();
        let mut next = 0;
        for range in held {
            if range.first > next {
                holes.push(LayerRange::new(next, range.first));
            }
            next = next.max(range.end);
        }
        if next < self.spec.layer_count {
            holes.push(LayerRange::new(next, self.spec.layer_count));
        }
        holes
    }

    /// Fills holes with `free` engines, the last ones first, and the rest with
    /// neighbours.
    ///
    /// Returns whether all are filled.
    fn fill(
        &self,
        holes: &[LayerRange],
        free: &[&PlacedEngine],
        changes: &mut Vec<Placement>,
    ) -> bool {
        let mut free = free.to_vec();
        let mut is_filled = true;
        for &hole in holes {
            let mut extended = changes.clone();
            if self.extend_neighbours(hole, &mut extended) {
                *changes = extended;
                continue;
            }
            // An engine gets one order at a time.
            free.retain(|engine| !has_order(changes, engine));
            let mut taken = Vec::new();
            let mut room = 0;
            while room < hole.len()
                && let Some(engine) = free.pop()
            {
                room += self.fair_layers(engine);
                taken.push(engine);
            }
            if room >= hole.len() && self.split_among(hole, &taken, changes) {
                continue;
            }
            // The engines hold the middle, and the neighbours meet them.
            let spare = hole.len() - room;
            let before = spare / 2;
            let middle = LayerRange::new(hole.first + before, hole.end - (spare - before));
            self.split_among(middle, &taken, changes);
            is_filled &= self.extend_neighbours(LayerRange::new(hole.first, middle.first), changes);
            is_filled &= self.extend_neighbours(LayerRange::new(middle.end, hole.end), changes);
        }
        is_filled
    }

    /// Returns the number of layers that an engine takes over without binding the
    /// context of its copy.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn fair_layers(&self, engine: &PlacedEngine) -> u32 {
        let fair = (MAX_SHARE_FACTOR * self.layer_share(engine)).ceil() as u32;
        fair.min(self.max_layers(engine))
    }

    /// Returns an engine's share, by memory, of the layers of all copies that the group
    /// holds.
    fn layer_share(&self, engine: &PlacedEngine) -> f64 {
        let total_mb: f64 = self.engines.iter().map(|engine| engine.memory_mb).sum();
        let layer_count = f64::from(self.spec.layer_count);
        engine.memory_mb / total_mb * layer_count * f64::from(self.copies())
    }

    /// Returns the number of copies that the group holds.
    fn copies(&self) -> u32 {
        let held = self.engines.iter().filter_map(|engine| engine.layers);
        let held: u32 = held.map(LayerRange::len).sum();
        ((held + self.spec.layer_count / 2) / self.spec.layer_count).max(1)
    }

    /// Returns how many engines hold each layer.
    fn depth(&self) -> Vec<u32> {
        let mut depth = vec![0_u32; self.spec.layer_count as usize];
        for engine in &self.engines {
            for layer in self.layers_of(engine) {
                depth[layer] += 1;
            }
        }
        depth
    }

    fn layers_of(&self, engine: &PlacedEngine) -> Range<usize> {
        let layers = engine.layers.unwrap_or(LayerRange::new(0, 0));
        let end = layers.end.min(self.spec.layer_count);
        layers.first.min(end) as usize..end as usize
    }

    /// Lets the engines beside a hole hold its layers as well, as far as they can.
    ///
    /// Returns whether that fills the hole.
    fn extend_neighbours(&self, hole: LayerRange, changes: &mut Vec<Placement>) -> bool {
        if hole.is_empty() {
            return true;
        }
        let before = self.neighbour(changes, |layers| layers.end == hole.first);
        let after = self.neighbour(changes, |layers| layers.first == hole.end);
        let room = |neighbour: Option<(&PlacedEngine, LayerRange)>| {
            neighbour.map_or(0, |(engine, layers)| {
                self.fair_layers(engine).saturating_sub(layers.len())
            })
        };
        let (room_before, room_after) = (room(before), room(after));
        let half = hole.len().div_ceil(2);
        let by_before = room_before.min(half.max(hole.len().saturating_sub(room_after)));
        let by_after = room_after.min(hole.len() - by_before);
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
        by_before + by_after == hole.len()
    }

    /// Returns the engine with the most room among those whose layers fit and that have no
    /// order yet.
    fn neighbour(
        &self,
        changes: &[Placement],
        fits: impl Fn(LayerRange) -> bool,
    ) -> Option<(&PlacedEngine, LayerRange)> {
        let engines = self.engines.iter();
        engines
            .filter(|engine| !engine.is_busy && !engine.is_slow)
            .filter(|engine| !has_order(changes, engine))
            .filter_map(|engine| Some((*engine, engine.layers?)))
            .filter(|(_, layers)| fits(*layers))
            .max_by_key(|(engine, layers)| self.fair_layers(engine).saturating_sub(layers.len()))
    }

    /// Gives engines that hold nothing layers that some copy misses, or else those with the
    /// least room for context.
    fn relieve(&self, empty: &[&PlacedEngine], changes: &mut Vec<Placement>) {
        let mut room = self.context_room();
        let mut depth = self.depth();
        for engine in empty {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wanted = (self.layer_share(engine).round() as u32).max(1);
            let most = self.max_layers(engine).min(self.spec.layer_count);
            let thin = longest_below(&depth, self.copies());
            let len = wanted.max(thin.len()).min(most);
            if len == 0 {
                continue;
            }
            let layers = tightest(&room, len, thin);
            let added_mb = self.free_mb(engine, layers.len()) / f64::from(layers.len());
            for layer in layers.first..layers.end {
                room[layer as usize] += added_mb;
                depth[layer as usize] += 1;
            }
            changes.push(Placement {
                id: engine.id.clone(),
                layers,
                give_up: GiveUp::Finish,
            });
        }
    }

    /// Returns the memory for context that each layer has, over all engines.
    fn context_room(&self) -> Vec<f64> {
        let mut room = vec![0.0; self.spec.layer_count as usize];
        for engine in &self.engines {
            let Some(layers) = engine.layers else {
                continue;
            };
            let mb = self.free_mb(engine, layers.len()) / f64::from(layers.len());
            for layer in layers.first..layers.end.min(self.spec.layer_count) {
                room[layer as usize] += mb;
            }
        }
        room
    }

    fn free_mb(&self, engine: &PlacedEngine, layers: u32) -> f64 {
        (engine.memory_mb - f64::from(layers) * self.spec.layer_mb).max(0.0)
    }
}

/// Returns whether an engine is ordered to change its layers.
fn has_order(changes: &[Placement], engine: &PlacedEngine) -> bool {
    changes.iter().any(|placement| placement.id == engine.id)
}

/// Deals the engines, largest first, to the copy with the least memory so far.
fn deal<'a>(engines: &[&'a PlacedEngine], copies: usize) -> Vec<Vec<&'a PlacedEngine>> {
    let mut dealt: Vec<(f64, Vec<&PlacedEngine>)> = vec![(0.0, Vec::new()); copies];
    for engine in engines {
        let smallest = dealt.iter_mut().min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((memory_mb, engines)) = smallest {
            *memory_mb += engine.memory_mb;
            engines.push(engine);
        }
    }
    dealt.into_iter().map(|(_, engines)| engines).collect()
}

/// Returns an engine's memory as a weight for splitting layers.
///
/// The weight is large beside the number of layers, so that rounding does not
/// matter.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn memory_weight(engine: &PlacedEngine) -> u64 {
    (engine.memory_mb.max(0.0) * 1_000.0) as u64
}

/// Returns the longest range of layers that fewer than `copies` engines hold.
fn longest_below(depth: &[u32], copies: u32) -> LayerRange {
    let mut longest = LayerRange::new(0, 0);
    let mut first = 0;
    for (layer, holders) in depth.iter().enumerate() {
        let end = bound(layer + 1);
        if *holders >= copies {
            first = end;
        } else if end - first > longest.len() {
            longest = LayerRange::new(first, end);
        }
    }
    longest
}

/// Returns the range of `len` layers whose layers have the least room together, of those
/// that share the most layers with `wanted`.
fn tightest(room: &[f64], len: u32, wanted: LayerRange) -> LayerRange {
    let len = len as usize;
    let windows = room.windows(len).enumerate().map(|(first, window)| {
        let shared_end = bound(first + len).min(wanted.end);
        let shared = shared_end.saturating_sub(bound(first).max(wanted.first));
        (shared, window.iter().sum::<f64>(), first)
    });
    let first = windows
        .min_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)))
        .map_or(0, |(_, _, first)| first);
    LayerRange::new(bound(first), bound(first + len))
}

fn bound(layer: usize) -> u32 {
    u32::try_from(layer).unwrap_or(u32::MAX)
}
