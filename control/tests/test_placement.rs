//! Tests of the placement of layers on engines, through losses and returns.

mod placed_fleet;

use jujubewall_control::placement::PlacedEngine;
use jujubewall_control::placement::Placement;
use jujubewall_testutils::engine_spec::LAYER_MB;
use jujubewall_testutils::engine_spec::LAYERS;
use jujubewall_types::fleet::GiveUp;
use jujubewall_types::layer::LayerRange;
use proptest::prelude::*;
use smol_str::format_smolstr;

use crate::placed_fleet::COPY_MB;
use crate::placed_fleet::DOMAIN_MB;
use crate::placed_fleet::Fleet;
use crate::placed_fleet::LITTLE_SPARE_MB;
use crate::placed_fleet::two_copies_mb;

#[test]
fn test_every_domain_holds_a_complete_copy_split_by_memory() {
    let mut fleet = Fleet::new(&[("a", &COPY_MB), ("b", &COPY_MB)]);
    fleet.settle();
    assert_eq!((fleet.min_replicas("a"), fleet.min_replicas("b")), (1, 1));
    let context_mb = |engine: &PlacedEngine| {
        let layers = f64::from(engine.layers.unwrap().len());
        (engine.memory_mb - layers * LAYER_MB) / layers
    };
    let even_mb = COPY_MB.iter().sum::<f64>() / f64::from(LAYERS) - LAYER_MB;
    let least = fleet.engines.values().map(context_mb);
    let least = least.fold(f64::MAX, f64::min);
    // Rounding to whole layers costs the smallest engine up to one layer.
    let rounding_mb = 14_400.0 / 5.0 - 14_400.0 / 6.0;
    assert!(
        least >= even_mb - rounding_mb,
        "{least} MB of context for each layer of {even_mb}"
    );
}

/// A token passes through a copy on the fastest engines sooner than through one that is
/// distributed among all, and the remaining engines hold a second replica of some layers.
#[test]
fn test_only_copy_is_placed_on_the_fastest_engines() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
    fleet.settle();
    let total_mb: f64 = DOMAIN_MB.iter().sum();
    let even_time: f64 = fleet
        .engines
        .values()
        .map(|engine| engine.memory_mb / total_mb * f64::from(LAYERS) * engine.step_factor)
        .sum();
    let mut engines: Vec<&PlacedEngine> = fleet.engines.values().collect();
    engines.sort_by(|a, b| b.memory_mb.total_cmp(&a.memory_mb));
    let mut layers = 0;
    let mut time = 0.0;
    for engine in engines {
        let taken = engine.layers.unwrap().len().min(LAYERS - layers);
        layers += taken;
        time += f64::from(taken) * engine.step_factor;
    }
    assert_eq!(layers, LAYERS);
    assert!(time <= 0.9 * even_time, "{time} of {even_time}");
    let held: u32 = fleet
        .engines
        .values()
        .map(|e| e.layers.unwrap().len())
        .sum();
    assert!(held > LAYERS * 5 / 4, "{held} layers are held");
}

/// Guards against rejected streams after two engines of a domain are lost at once. With
/// memory for 1.98 copies at seven tenths of it, a domain held one copy and half of another.
#[test]
fn test_domain_with_memory_for_barely_two_copies_holds_both() {
    let memory: Vec<f64> = [36_000.0]
        .into_iter()
        .chain([21_600.0; 8])
        .chain([14_400.0; 13])
        .collect();
    let mut fleet = Fleet::new(&[("a", &memory)]);
    fleet.settle();
    assert_eq!(fleet.min_replicas("a"), 2);
    // A quarter of the memory is left for the context of the streams.
    assert!(free_mb(&fleet) >= 0.25 * memory.iter().sum::<f64>());
}

/// Guards against losses that open a gap where memory suffices for a copy and a half: the
/// engines beside the copy held three layers each where they have memory for six.
#[test]
fn test_engines_beside_the_only_copy_hold_as_many_layers_as_leave_memory_for_context() {
    let memory: Vec<f64> = [36_000.0, 36_000.0]
        .into_iter()
        .chain([21_600.0; 5])
        .chain([14_400.0; 9])
        .collect();
    let mut fleet = Fleet::new(&[("a", &memory)]);
    fleet.settle();
    let held: u32 = fleet
        .engines
        .values()
        .map(|engine| engine.layers.unwrap().len())
        .sum();
    assert!(held >= LAYERS * 3 / 2, "{held} layers are held");
    assert!(free_mb(&fleet) >= 0.25 * memory.iter().sum::<f64>());
}

/// Returns the memory that is not used for weights.
fn free_mb(fleet: &Fleet) -> f64 {
    let free = fleet
        .engines
        .values()
        .map(|engine| engine.memory_mb - f64::from(engine.layers.unwrap().len()) * LAYER_MB);
    free.sum()
}

#[test]
fn test_domain_with_much_memory_holds_several_copies() {
    let memory: Vec<f64> = DOMAIN_MB.iter().chain(&DOMAIN_MB[1..]).copied().collect();
    let mut fleet = Fleet::new(&[("a", &memory)]);
    fleet.settle();
    // Three copies are 240 layers, but only 238 fit along with some context.
    assert_eq!(fleet.min_replicas("a"), 2);
}

/// Guards against copies that reject streams for lack of first slots while their memory is half
/// empty: two copies had two engines with layer zero, whatever their memory held.
#[test]
fn test_copies_with_memory_for_more_streams_than_slots_get_more_first_engines() {
    let mut fleet = Fleet::new(&[("a", &roomy_domain_mb())]);
    fleet.settle();
    assert_eq!(fleet.min_replicas("a"), 2);
    // The copies have memory for 458 streams, and each first engine has 163 planned slots.
    assert!(first_engines(&fleet) >= 3);
}

/// Guards against first slots that stay lost after a failure: replacements were all given the
/// layers with the least memory for context.
#[test]
fn test_engines_that_return_restore_lost_first_slots() {
    let mut fleet = Fleet::new(&[("a", &roomy_domain_mb())]);
    fleet.settle();
    let before = first_engines(&fleet);
    let mut lost: Vec<PlacedEngine> = Vec::new();
    for _ in 0..2 {
        let small_first = |engine: &&PlacedEngine| {
            engine.memory_mb < 30_000.0 && engine.layers.is_some_and(|held| held.first == 0)
        };
        let id = fleet.engines.values().find(small_first).unwrap().id.clone();
        lost.push(fleet.engines.remove(&id).unwrap());
    }
    fleet.settle();
    for engine in lost {
        let returned = PlacedEngine {
            layers: None,
            ..engine
        };
        fleet.engines.insert(returned.id.clone(), returned);
        fleet.settle();
    }
    assert_eq!(first_engines(&fleet), before);
}

/// Returns the memory of a domain whose two copies leave half of it for context.
fn roomy_domain_mb() -> Vec<f64> {
    let large = [72_000.0; 3].into_iter();
    let medium = [43_200.0; 4].into_iter();
    large.chain(medium).chain([21_600.0; 9]).collect()
}

/// Returns the number of engines that hold layer zero.
fn first_engines(fleet: &Fleet) -> usize {
    let first = |engine: &&PlacedEngine| engine.layers.is_some_and(|held| held.first == 0);
    fleet.engines.values().filter(first).count()
}

/// Guards against slow recovery from the loss of one engine under a hundred streams: the
/// engines that take over prefill the context of all of them at once.
///
/// A fast engine that takes over from a slow one prefills in a fraction of the time, so
/// the layers of each engine are weighted by its step time.
#[test]
fn test_several_engines_take_over_for_a_lost_one() {
    let mut fleet = Fleet::new(&[("a", &two_copies_mb())]);
    fleet.settle();
    assert_eq!(fleet.min_replicas("a"), 2);
    let engines: Vec<&PlacedEngine> = fleet.engines.values().collect();
    let slowest = engines.iter().map(|engine| engine.step_factor);
    let slowest = slowest.fold(0.0, f64::max);
    let mut longest_shares = 0.0;
    for lost in &engines {
        let lost_layers = lost.layers.unwrap();
        let stand_ins = engines.iter().filter(|engine| engine.id != lost.id);
        let longest = stand_ins
            .map(|engine| {
                let layers = engine.layers.unwrap();
                let end = layers.end.min(lost_layers.end);
                let shared = end.saturating_sub(layers.first.max(lost_layers.first));
                f64::from(shared) * engine.step_factor / slowest
            })
            .fold(0.0, f64::max);
        longest_shares += longest / f64::from(lost_layers.len());
    }
    let mean = longest_shares / engines.len() as f64;
    assert!(
        mean <= 0.8,
        "one engine prefills for {mean:.2} of the time of a slow one with all layers"
    );
    // The engines of the fast copy carry most streams, and only slow ones take over for them.
    for lost in engines.iter().filter(|engine| engine.step_factor < slowest) {
        let lost_layers = lost.layers.unwrap();
        let shares = engines.iter().filter(|engine| engine.id != lost.id);
        let most = shares
            .map(|engine| {
                let layers = engine.layers.unwrap();
                let end = layers.end.min(lost_layers.end);
                end.saturating_sub(layers.first.max(lost_layers.first))
            })
            .max()
            .unwrap();
        let share = f64::from(most) / f64::from(lost_layers.len());
        assert!(
            share <= 0.5,
            "one engine takes over {share:.2} of the layers of {}",
            lost.id
        );
    }
}

/// Guards against many streams being interrupted when all gateways are lost: the sooner
/// streams end, the fewer are in flight. A token passes through the fast copy in at most
/// three quarters of the time that it takes when engines are distributed evenly.
#[test]
fn test_one_of_several_copies_is_placed_on_the_fastest_engines() {
    let memory: Vec<f64> = [72_000.0, 36_000.0, 36_000.0]
        .into_iter()
        .chain([21_600.0; 10])
        .chain([14_400.0; 15])
        .collect();
    let mut fleet = Fleet::new(&[("a", &memory)]);
    fleet.settle();
    let time = |engine: &PlacedEngine| f64::from(engine.layers.unwrap().len()) * engine.step_factor;
    let fast: Vec<&PlacedEngine> = {
        let mut engines: Vec<&PlacedEngine> = fleet.engines.values().collect();
        engines.sort_by(|a, b| a.step_factor.total_cmp(&b.step_factor));
        let mut layers = 0;
        let of_copy = engines.into_iter().take_while(|engine| {
            let is_part = layers < LAYERS;
            layers += engine.layers.unwrap().len();
            is_part
        });
        of_copy.collect()
    };
    let covered: u32 = fast.iter().map(|engine| engine.layers.unwrap().len()).sum();
    assert_eq!(covered, LAYERS);
    let fast_ms: f64 = fast.iter().map(|engine| time(engine)).sum();
    let all_ms: f64 = fleet.engines.values().map(time).sum();
    let even_ms = all_ms / 2.0;
    assert!(fast_ms <= 0.75 * even_ms, "{fast_ms} of {even_ms}");
    // The fast copy has memory for the context of most streams.
    let free_mb: f64 = fast
        .iter()
        .map(|engine| engine.memory_mb - f64::from(engine.layers.unwrap().len()) * LAYER_MB)
        .sum();
    assert!(free_mb >= 0.3 * f64::from(LAYERS) * LAYER_MB);
}

#[test]
fn test_domains_too_small_for_a_copy_hold_one_together() {
    let small = [36_000.0; 3];
    let mut fleet = Fleet::new(&[("a", &small), ("b", &small)]);
    fleet.settle();
    let mut held: Vec<LayerRange> = fleet.engines.values().filter_map(|e| e.layers).collect();
    held.sort_unstable();
    assert_eq!(held.iter().map(|layers| layers.len()).sum::<u32>(), LAYERS);
}

/// Regression test for incident inc-8843: a domain that had lost too many engines to hold
/// a copy was grouped with another domain. Its layers hid a gap in that domain, which was
/// never filled.
#[test]
fn test_gap_is_filled_despite_layers_in_a_domain_without_a_copy() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB), ("b", &DOMAIN_MB)]);
    fleet.settle();
    for index in [0, 1, 7, 8, 9, 10, 11, 12] {
        fleet.engines.remove(format!("b-{index:02}").as_str());
    }
    fleet.engines.remove("a-01");
    fleet.settle();
    assert_eq!(fleet.min_replicas("a"), 1);
}

#[test]
fn test_neighbours_take_over_the_layers_of_a_small_lost_engine() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
    fleet.settle();
    let lost = fleet.layers("a-09");
    fleet.engines.remove("a-09");
    let orders = fleet.step();
    assert!(orders <= 2, "{orders} orders for {lost}");
    assert_eq!(fleet.min_replicas("a"), 1);
}

/// Covers the loss of the largest engine, whose layers its neighbours cannot hold.
#[test]
fn test_group_is_resplit_when_neighbours_cannot_hold_the_lost_layers() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
    fleet.settle();
    fleet.engines.remove("a-00");
    fleet.settle();
    assert_eq!(fleet.min_replicas("a"), 1);
}

#[test]
fn test_returning_engine_gets_the_layers_with_least_context_memory() {
    let mut fleet = Fleet::new(&[("a", &COPY_MB)]);
    fleet.settle();
    fleet.engines.remove("a-08");
    fleet.settle();
    let mut context_mb = [0.0; LAYERS as usize];
    for engine in fleet.engines.values() {
        let layers = engine.layers.unwrap();
        let free_mb = engine.memory_mb - f64::from(layers.len()) * LAYER_MB;
        for layer in layers.first..layers.end {
            context_mb[layer as usize] += free_mb / f64::from(layers.len());
        }
    }
    fleet.add("a-08", "a", 14_400.0);
    assert_eq!(fleet.step(), 1);
    let returned = fleet.layers("a-08");
    let total_mb_of = |window: &[f64]| window.iter().sum::<f64>();
    let windows = context_mb.windows(returned.len() as usize);
    let least_mb = windows.map(total_mb_of).fold(f64::MAX, f64::min);
    let assigned_mb = total_mb_of(&context_mb[returned.first as usize..returned.end as usize]);
    assert!(
        assigned_mb <= least_mb + 1.0,
        "layers {returned} have {assigned_mb} MB for context, others {least_mb} MB"
    );
}

/// Guards against a lost replica after successive crashes in a domain of two copies: if an
/// engine came back with half of the layers that it had before, the rest would be on a
/// single engine, whose loss then breaks both copies.
#[test]
fn test_engines_returning_one_by_one_restore_both_copies() {
    let memory = two_copies_mb();
    let mut fleet = Fleet::new(&[("a", &memory)]);
    fleet.settle();
    for index in [3, 8, 12, 15, 5, 10] {
        let id = format!("a-{index:02}");
        fleet.engines.remove(id.as_str());
        fleet.settle();
        assert!(fleet.min_replicas("a") >= 1);
        fleet.add(&id, "a", memory[index]);
        fleet.settle();
        assert_eq!(fleet.min_replicas("a"), 2, "after the loss of {id}");
    }
}

/// Guards against a slow engine delaying every stream of its copy at each token.
#[test]
fn test_others_take_over_layers_of_a_slow_engine() {
    for index in 0..DOMAIN_MB.len() {
        let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
        fleet.settle();
        let slow = format!("a-{index:02}");
        let slow_layers = fleet.layers(&slow);
        fleet.engines.get_mut(slow.as_str()).unwrap().is_slow = true;
        let orders = fleet.plan();
        assert!(orders.iter().all(|order| order.give_up == GiveUp::Finish));
        fleet.settle();
        let stand_in = |layer: u32| {
            let engines = fleet.engines.values().filter(|engine| !engine.is_slow);
            engines
                .filter_map(|e| e.layers)
                .any(|layers| layers.contains(layer))
        };
        assert!(
            (slow_layers.first..slow_layers.end).all(stand_in),
            "no engine takes over for {slow}"
        );
    }
}

/// Guards against slow repair after the loss of an engine: if engines waited for streams of
/// several seconds to finish, the copy would stay incomplete for as long.
#[test]
fn test_requests_are_aborted_where_layers_are_missing() {
    let mut aborted = 0;
    for index in 0..LITTLE_SPARE_MB.len() {
        let mut fleet = Fleet::new(&[("a", &LITTLE_SPARE_MB)]);
        fleet.settle();
        fleet.engines.remove(format!("a-{index:02}").as_str());
        let orders = fleet.plan();
        let gives_up = |order: &&Placement| {
            let held = fleet.layers(&order.id);
            order.layers.first > held.first || order.layers.end < held.end
        };
        for order in orders.iter().filter(gives_up) {
            assert_eq!(order.give_up, GiveUp::Abort, "{index}: {}", order.id);
            aborted += 1;
        }
    }
    assert!(aborted > 0);
}

/// Guards against aborting streams in a planned shutdown: the leaving engine still serves
/// its streams, and planned work must not interrupt any.
#[test]
fn test_streams_through_a_leaving_engine_finish() {
    let mut orders = 0;
    for index in 0..LITTLE_SPARE_MB.len() {
        let mut fleet = Fleet::new(&[("a", &LITTLE_SPARE_MB)]);
        fleet.settle();
        let leaving = format!("a-{index:02}");
        fleet.engines.get_mut(leaving.as_str()).unwrap().is_leaving = true;
        for order in fleet.plan() {
            assert_eq!(order.give_up, GiveUp::Finish, "{leaving}: {}", order.id);
            assert_ne!(order.id, leaving);
            orders += 1;
        }
    }
    assert!(orders > 0);
}

/// Covers a rolling upgrade, in which the new engine starts before the old one leaves.
#[test]
fn test_redundant_engine_replaces_a_leaving_one() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
    fleet.settle();
    fleet.add("a-99", "a", 21_600.0);
    fleet.settle();
    fleet.engines.remove("a-03");
    let orders = fleet.step();
    assert!(orders <= 3, "{orders} orders");
    assert_eq!(fleet.min_replicas("a"), 1);
}

#[test]
fn test_settled_fleet_gets_no_orders() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB), ("b", &DOMAIN_MB)]);
    fleet.settle();
    assert_eq!(fleet.step(), 0);
}

/// Guards against entries of another writer: layers beyond the model made the planner count
/// to the end of all numbers.
#[test]
fn test_engines_with_layers_beyond_the_model_do_not_change_the_placement() {
    for (first, end) in [
        (0, u32::MAX),
        (u32::MAX - 5, u32::MAX),
        (0, LAYERS + 1),
        (LAYERS, LAYERS + 8),
    ] {
        let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
        fleet.settle();
        fleet.engines.remove("a-00");
        let expected = fleet.plan();
        for id in ["a-odd-0", "a-odd-1"] {
            fleet.add(id, "a", 72_000.0);
            let odd = fleet.engines.get_mut(id).unwrap();
            odd.layers = Some(LayerRange::new(first, end));
        }
        assert_eq!(fleet.plan(), expected, "{first}..{end}");
    }
}

proptest! {
    /// After any sequence of losses and returns, copies are complete again where memory
    /// allows it, and no engine is ordered to hold more than fits its memory.
    #[test]
    fn test_copies_are_complete_again_after_losses_and_returns(
        changes in prop::collection::vec((0_usize..14, any::<bool>()), 1..25),
    ) {
        let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
        fleet.settle();
        for (index, is_return) in changes {
            let id = format_smolstr!("a-{index:02}");
            if is_return && !fleet.engines.contains_key(&id) {
                fleet.add(&id, "a", DOMAIN_MB[index]);
            } else {
                fleet.engines.remove(&id);
            }
            let usable_mb: f64 = fleet.engines.values().map(|engine| engine.memory_mb).sum();
            for _ in 0..6 {
                if fleet.step() == 0 {
                    break;
                }
            }
            // A fifth of each engine stays free, and rounding costs each one up to a layer.
            if usable_mb * 0.8 > LAYER_MB * f64::from(LAYERS + 14) {
                prop_assert!(fleet.min_replicas("a") >= 1, "a gap with {usable_mb} MB");
            }
        }
    }
}
