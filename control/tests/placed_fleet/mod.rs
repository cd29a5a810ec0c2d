//! A simulated fleet of engines, for tests of the placement.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jujubewall_control::placement::Contact;
use jujubewall_control::placement::PlacedEngine;
use jujubewall_control::placement::Placement;
use jujubewall_control::placement::place;
use jujubewall_testutils::engine_spec::LAYER_MB;
use jujubewall_testutils::engine_spec::LAYERS;
use jujubewall_testutils::engine_spec::engine_spec;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::layer::LayerRange;
use smol_str::SmolStr;

/// Memory of the accelerators in one domain of a user's site.
pub const DOMAIN_MB: [f64; 14] = [
    72_000.0, 36_000.0, 21_600.0, 21_600.0, 21_600.0, 21_600.0, 21_600.0, 14_400.0, 14_400.0,
    14_400.0, 14_400.0, 14_400.0, 14_400.0, 14_400.0,
];

/// Memory of a domain that holds one copy and only few layers twice.
pub const LITTLE_SPARE_MB: [f64; 13] = [
    36_000.0, 21_600.0, 21_600.0, 21_600.0, 21_600.0, 21_600.0, 14_400.0, 14_400.0, 14_400.0,
    14_400.0, 14_400.0, 14_400.0, 14_400.0,
];

/// The same without the engines that the copy does not need.
pub const COPY_MB: [f64; 11] = [
    36_000.0, 21_600.0, 21_600.0, 21_600.0, 21_600.0, 21_600.0, 14_400.0, 14_400.0, 14_400.0,
    14_400.0, 14_400.0,
];

/// Memory of a domain of similar engines in which two copies fit.
pub fn two_copies_mb() -> Vec<f64> {
    [36_000.0, 36_000.0]
        .into_iter()
        .chain([21_600.0; 12])
        .chain([14_400.0; 5])
        .collect()
}

/// A simulated fleet whose engines carry out every order at once.
pub struct Fleet {
    pub engines: BTreeMap<SmolStr, PlacedEngine>,
}

impl Fleet {
    pub fn new(domains: &[(&str, &[f64])]) -> Self {
        let mut fleet = Self {
            engines: BTreeMap::new(),
        };
        for (domain, memory) in domains {
            for (index, memory_mb) in memory.iter().enumerate() {
                fleet.add(&format!("{domain}-{index:02}"), domain, *memory_mb);
            }
        }
        fleet
    }

    pub fn add(&mut self, id: &str, domain: &str, memory_mb: f64) {
        let engine = PlacedEngine {
            id: id.into(),
            failure_domain: FailureDomainName::new(domain).unwrap(),
            memory_mb,
            // Accelerators with much memory are fast.
            step_factor: if memory_mb > 30_000.0 { 3.0 } else { 16.0 },
            prompt_factor: if memory_mb > 30_000.0 { 3.0 } else { 8.0 },
            layers: None,
            is_busy: false,
            is_slow: false,
            contact: Contact::Answering,
            is_leaving: false,
        };
        self.engines.insert(id.into(), engine);
    }

    /// Returns the orders of one planning round.
    pub fn plan(&self) -> Vec<Placement> {
        let engines: Vec<PlacedEngine> = self.engines.values().cloned().collect();
        place(&engine_spec(), &engines)
    }

    /// Plans once, carries out the orders and returns their number.
    pub fn step(&mut self) -> usize {
        let orders = self.plan();
        let mut ordered = BTreeSet::new();
        for order in &orders {
            assert!(ordered.insert(&order.id), "two orders for {}", order.id);
            let engine = self.engines.get_mut(&order.id).unwrap();
            assert!(
                f64::from(order.layers.len()) * LAYER_MB <= engine.memory_mb,
                "{} is ordered beyond its memory",
                order.id
            );
            engine.layers = Some(order.layers);
        }
        orders.len()
    }

    pub fn settle(&mut self) {
        for _ in 0..10 {
            if self.step() == 0 {
                return;
            }
        }
        panic!("the placement never settles");
    }

    /// Returns the smallest number of engines of a domain that hold the same layer.
    pub fn min_replicas(&self, domain: &str) -> usize {
        let held = |layer: u32| {
            let engines = self.engines.values();
            engines
                .filter(|engine| engine.failure_domain.as_str() == domain)
                .filter(|engine| engine.layers.is_some_and(|layers| layers.contains(layer)))
                .count()
        };
        (0..LAYERS).map(held).min().unwrap()
    }

    pub fn layers(&self, id: &str) -> LayerRange {
        self.engines[id].layers.unwrap()
    }
}
