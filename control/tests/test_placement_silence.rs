//! Tests of the placement around engines that have not answered for a moment.

mod placed_fleet;

use jujubewall_control::placement::Contact;
use jujubewall_control::placement::Placement;
use jujubewall_testutils::engine_spec::LAYER_MB;
use jujubewall_testutils::engine_spec::LAYERS;
use jujubewall_types::fleet::GiveUp;
use jujubewall_types::layer::LayerRange;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::placed_fleet::COPY_MB;
use crate::placed_fleet::DOMAIN_MB;
use crate::placed_fleet::Fleet;
use crate::placed_fleet::LITTLE_SPARE_MB;
use crate::placed_fleet::two_copies_mb;

/// Memory of a domain whose engines have to split the copy anew when a large one is lost.
const FEW_LARGE_MB: [f64; 7] = [
    36_000.0, 36_000.0, 36_000.0, 36_000.0, 36_000.0, 36_000.0, 5_000.0,
];

/// Returns domains of one copy, with and without engines to spare, and of two copies.
fn domains_mb() -> [Vec<f64>; 5] {
    [
        FEW_LARGE_MB.to_vec(),
        COPY_MB.to_vec(),
        DOMAIN_MB.to_vec(),
        LITTLE_SPARE_MB.to_vec(),
        two_copies_mb(),
    ]
}

fn settled(memory: &[f64]) -> Fleet {
    let mut fleet = Fleet::new(&[("a", memory)]);
    fleet.settle();
    fleet
}

fn id(index: usize) -> SmolStr {
    format_smolstr!("a-{index:02}")
}

fn silence(fleet: &mut Fleet, index: usize) {
    fleet.engines.get_mut(&id(index)).unwrap().contact = Contact::Silent;
}

/// Returns the layers that engines hold that answer.
fn answering_layers(fleet: &Fleet) -> Vec<u32> {
    let is_held = |layer: &u32| {
        let mut engines = fleet.engines.values().filter(|engine| !engine.is_silent());
        engines.any(|engine| engine.layers.is_some_and(|held| held.contains(*layer)))
    };
    (0..LAYERS).filter(is_held).collect()
}

/// Returns the layers that engines hold at all.
fn held_layers(fleet: &Fleet) -> Vec<u32> {
    let is_held = |layer: &u32| {
        let mut held = fleet.engines.values().filter_map(|engine| engine.layers);
        held.any(|held| held.contains(*layer))
    };
    (0..LAYERS).filter(is_held).collect()
}

/// Returns whether the engines that answer have memory for a copy.
fn can_hold_a_copy(fleet: &Fleet) -> bool {
    let engines = fleet.engines.values().filter(|engine| !engine.is_silent());
    // A fifth of each engine stays free.
    let fitting: f64 = engines
        .map(|engine| (0.8 * engine.memory_mb / LAYER_MB).floor())
        .sum();
    fitting >= f64::from(LAYERS)
}

fn missing_from(layers: &[u32], wanted: &[u32]) -> usize {
    let is_missing = |layer: &&u32| !layers.contains(layer);
    wanted.iter().filter(is_missing).count()
}

/// Returns the orders of one planning round that silent engines get.
fn orders_to_silent(fleet: &Fleet, orders: &[Placement]) -> usize {
    let is_silent = |order: &&Placement| fleet.engines[&order.id].is_silent();
    orders.iter().filter(is_silent).count()
}

/// Guards against a repair that waits for an engine that does not answer, or that takes an
/// engine whose layers only a silent one holds besides.
#[test]
fn test_loss_beside_a_silent_engine_is_repaired_by_engines_that_answer() {
    let mut faults = Vec::new();
    for memory in domains_mb() {
        for lost in 0..memory.len() {
            for silent in (0..memory.len()).filter(|silent| *silent != lost) {
                let mut fleet = settled(&memory);
                fleet.engines.remove(&id(lost));
                silence(&mut fleet, silent);
                let kept = answering_layers(&fleet);
                let unanswered = orders_to_silent(&fleet, &fleet.plan());
                fleet.step();
                let given_up = missing_from(&answering_layers(&fleet), &kept);
                let missing = LAYERS as usize - held_layers(&fleet).len();
                let is_unrepaired = missing > 0 && can_hold_a_copy(&fleet);
                if unanswered > 0 || given_up > 0 || is_unrepaired {
                    faults.push((memory.len(), lost, silent, unanswered, given_up, missing));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} cases: {faults:?}", faults.len());
}

/// Guards against a repair that waits for a silent engine whose layers two others hold, also
/// while all others carry out orders.
#[test]
fn test_silent_engine_of_a_third_copy_fills_no_gap() {
    let memory = [36_000.0; 17];
    let mut repairs = 0;
    for silent in 0..memory.len() {
        let mut fleet = settled(&memory);
        assert_eq!(fleet.min_replicas("a"), 3);
        silence(&mut fleet, silent);
        fleet.engines.retain(|_, engine| {
            engine.is_silent() || !engine.layers.is_some_and(|held| held.contains(0))
        });
        let mut busy = Fleet {
            engines: fleet.engines.clone(),
        };
        let answering = busy
            .engines
            .values_mut()
            .filter(|engine| !engine.is_silent());
        answering.for_each(|engine| engine.is_busy = true);
        assert_eq!(busy.plan(), [], "{silent}");
        let kept = answering_layers(&fleet);
        let orders = fleet.plan();
        assert_eq!(orders_to_silent(&fleet, &orders), 0, "{silent}");
        fleet.step();
        assert_eq!(missing_from(&answering_layers(&fleet), &kept), 0);
        assert_eq!(held_layers(&fleet).len(), LAYERS as usize, "{silent}");
        repairs += orders.len();
    }
    assert!(repairs > 0);
}

/// Guards against layers that remain at silent engines only, since each of two counted as a
/// holder of the layers of others.
#[test]
fn test_two_silent_engines_are_no_replicas_for_each_other() {
    let mut faults = Vec::new();
    for memory in domains_mb() {
        for first in 0..memory.len() {
            for second in first + 1..memory.len() {
                let mut fleet = settled(&memory);
                silence(&mut fleet, first);
                silence(&mut fleet, second);
                let kept = answering_layers(&fleet);
                let orders = fleet.plan();
                let unanswered = orders_to_silent(&fleet, &orders);
                let is_abort = |order: &&Placement| order.give_up == GiveUp::Abort;
                let aborts = orders.iter().filter(is_abort).count();
                fleet.step();
                let given_up = missing_from(&answering_layers(&fleet), &kept);
                if unanswered > 0 || given_up > 0 || aborts > 0 {
                    faults.push((memory.len(), first, second, unanswered, given_up, aborts));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} cases: {faults:?}", faults.len());
}

/// Guards against streams that wait for a silent engine where others have memory for its
/// layers.
#[test]
fn test_neighbours_hold_the_layers_of_a_silent_engine_without_aborts() {
    for index in 0..DOMAIN_MB.len() {
        let mut fleet = settled(&DOMAIN_MB);
        silence(&mut fleet, index);
        let before = fleet.layers(&id(index));
        let orders = fleet.plan();
        assert_eq!(orders_to_silent(&fleet, &orders), 0, "{index}");
        assert!(orders.iter().all(|order| order.give_up == GiveUp::Finish));
        fleet.settle();
        assert_eq!(answering_layers(&fleet).len(), LAYERS as usize, "{index}");
        assert_eq!(fleet.layers(&id(index)), before);
    }
}

/// Guards against layers that are ordered from an empty engine that cannot answer: of a new
/// fleet, beside a loss, and of a fleet that lacks none.
#[test]
fn test_silent_engine_without_layers_gets_none() {
    let mut fleet = Fleet::new(&[("a", &DOMAIN_MB)]);
    silence(&mut fleet, 0);
    assert_eq!(orders_to_silent(&fleet, &fleet.plan()), 0);
    fleet.settle();
    assert_eq!(fleet.min_replicas("a"), 1);

    for lost in [None, Some(5), Some(9)] {
        let mut fleet = settled(&DOMAIN_MB);
        if let Some(lost) = lost {
            fleet.engines.remove(&id(lost));
        }
        fleet.add("a-98", "a", 36_000.0);
        silence(&mut fleet, 98);
        assert_eq!(orders_to_silent(&fleet, &fleet.plan()), 0, "{lost:?}");
    }
    let mut fleet = Fleet::new(&[("a", &[36_000.0; 8])]);
    (0..8).for_each(|index| silence(&mut fleet, index));
    assert_eq!(fleet.plan(), []);
}

/// Guards against too little memory for context in a new fleet: the memory of an engine that
/// gets no layers counted for the number of copies.
#[test]
fn test_memory_of_a_silent_engine_makes_no_copy_in_a_new_fleet() {
    let memory = [36_000.0; 11];
    let mut fleet = Fleet::new(&[("a", &memory)]);
    silence(&mut fleet, 0);
    fleet.settle();
    let held = fleet.engines.values().filter_map(|engine| engine.layers);
    let held_mb = f64::from(held.map(LayerRange::len).sum::<u32>()) * LAYER_MB;
    let answering_mb: f64 = memory[1..].iter().sum();
    // A quarter of the memory is left for the context of the streams.
    assert!(
        held_mb <= 0.75 * answering_mb,
        "{held_mb} of {answering_mb}"
    );
}

/// Guards against a new engine that holds other layers a third time while a silent engine
/// is the second holder of some.
#[test]
fn test_new_engine_gets_the_layers_that_a_silent_engine_held_second() {
    let memory = two_copies_mb();
    for silent in 0..memory.len() {
        let mut fleet = settled(&memory);
        silence(&mut fleet, silent);
        fleet.add("a-99", "a", memory[silent]);
        fleet.step();
        let (held, wanted) = (fleet.layers("a-99"), fleet.layers(&id(silent)));
        let shared = LayerRange::new(held.first.max(wanted.first), held.end.min(wanted.end));
        assert_eq!(shared.len(), held.len().min(wanted.len()), "{silent}");
    }
}

/// Guards against a repair that waits for the order of an engine that does not answer.
#[test]
fn test_order_of_a_silent_engine_does_not_hold_off_a_repair() {
    let mut faults = Vec::new();
    for memory in domains_mb() {
        for lost in 0..memory.len() {
            for silent in (0..memory.len()).filter(|silent| *silent != lost) {
                let mut fleet = settled(&memory);
                fleet.engines.remove(&id(lost));
                silence(&mut fleet, silent);
                fleet.engines.get_mut(&id(silent)).unwrap().is_busy = true;
                fleet.step();
                let missing = LAYERS as usize - held_layers(&fleet).len();
                if missing > 0 && can_hold_a_copy(&fleet) {
                    faults.push((memory.len(), lost, silent, missing));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} cases: {faults:?}", faults.len());
}
