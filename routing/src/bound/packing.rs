//! Maximum concurrent flow by the multiplicative weights method.

use jujubewall_types::id::FailureDomainName;
use smallvec::SmallVec;
use thiserror::Error;

use super::problem::BoundProblem;
use super::problem::Workload;
use crate::path::DomainIndex;
use crate::path::LinkCosts;
use crate::path::PathEdge;
use crate::path::cheapest_path;

/// The growth rate of a resource's price with its load, relative to the target gap.
const PRICE_RATE_PER_GAP: f64 = 4.0;

/// The maximum load that one routing step adds to a resource.
const MAX_STEP_LOAD: f64 = 0.5;

/// The exponent of a price above which all prices are scaled down to stay finite.
const MAX_PRICE_EXPONENT: f64 = 200.0;

/// The settings of the search.
#[derive(Clone, Debug)]
pub struct BoundSettings {
    /// The relative gap between the upper and the lower bound at which the search
    /// ends.
    pub max_gap: f64,
    /// The maximum number of rounds.
    pub max_rounds: u32,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            max_gap: 0.005,
            max_rounds: 4_000,
        }
    }
}

/// The reason that no bound can be computed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum BoundError {
    /// The workloads require no resources.
    #[error("the mix holds no work")]
    NoWork,
    /// No engine holds some layer of a workload's model.
    #[error("no engine holds layer {layer} for workload {workload}")]
    LayerMissing {
        /// The index of the workload.
        workload: usize,
        /// The first layer that no path reaches.
        layer: u32,
    },
}

/// The upper and lower bounds on the throughput of the whole mix.
#[derive(Clone, Debug, PartialEq)]
pub struct ThroughputBounds {
    /// The rate of requests that no routing policy can exceed.
    pub upper_requests_per_s: f64,
    /// A rate of requests that the computed split over paths achieves.
    pub lower_requests_per_s: f64,
    /// The utilization of each engine at the lower rate, from zero to one.
    pub engine_utilization: Vec<f64>,
}

/// A path for one workload and its use of resources per request.
struct PricedPath {
    price: f64,
    /// Pairs of a resource index and the time in seconds that a request takes on it.
    uses: SmallVec<[(usize, f64); 8]>,
}

/// The prices and loads of all resources, with engines before links.
struct Packing<'a> {
    problem: &'a BoundProblem,
    domains: Vec<FailureDomainName>,
    loads: Vec<f64>,
    prices: Vec<f64>,
    /// The growth rate of the price of a resource with its load.
    price_rate: f64,
    /// The load at which the scaled price of a resource is one.
    reference_load: f64,
}

/// The link prices for the bytes that one request of a workload sends.
struct PricedLinks<'a> {
    packing: &'a Packing<'a>,
    bytes: f64,
}

impl LinkCosts for PricedLinks<'_> {
    fn cost_s(&self, from: DomainIndex, to: DomainIndex) -> f64 {
        let Some((resource, bytes_per_s)) = self.packing.link(from, to) else {
            return 0.0;
        };
        self.packing.prices[resource] * self.bytes / bytes_per_s
    }
}

/// Finds upper and lower bounds on the throughput of the whole mix.
pub fn find_bound(
    problem: &BoundProblem,
    settings: &BoundSettings,
) -> Result<ThroughputBounds, BoundError> {
    let mut packing = Packing::new(problem, settings);
    let mut upper = packing.dual_upper_bound()?;
    let round_requests = upper;
    let mut lower = 0.0;
    for round in 1..=settings.max_rounds {
        packing.route_round(round_requests)?;
        let max_load = packing.max_load();
        lower = f64::from(round) * round_requests / max_load;
        upper = upper.min(packing.dual_upper_bound()?);
        if upper <= lower * (1.0 + settings.max_gap) {
            break;
        }
    }
    let max_load = packing.max_load();
    let engine_loads = &packing.loads[..problem.engines.len()];
    let total_share = problem.total_share();
    Ok(ThroughputBounds {
        upper_requests_per_s: upper * total_share,
        lower_requests_per_s: lower * total_share,
        engine_utilization: engine_loads.iter().map(|load| load / max_load).collect(),
    })
}

impl BoundProblem {
    fn total_share(&self) -> f64 {
        self.workloads.iter().map(|workload| workload.share).sum()
    }
}

impl<'a> Packing<'a> {
    fn new(problem: &'a BoundProblem, settings: &BoundSettings) -> Self {
        let mut domains: Vec<FailureDomainName> = Vec::new();
        for engine in &problem.engines {
            if !domains.contains(&engine.failure_domain) {
                domains.push(engine.failure_domain.clone());
            }
        }
        let resource_count = problem.engines.len() + problem.links.len();
        Self {
            problem,
            domains,
            loads: vec![0.0; resource_count],
            prices: vec![1.0; resource_count],
            price_rate: PRICE_RATE_PER_GAP * settings.max_gap,
            reference_load: 0.0,
        }
    }

    /// Returns the resource index and the bandwidth of a link, or `None` if the link
    /// is not limited.
    fn link(&self, from: DomainIndex, to: DomainIndex) -> Option<(usize, f64)> {
        let (from, to) = (&self.domains[from], &self.domains[to]);
        let links = &self.problem.links;
        let index = links
            .iter()
            .position(|link| link.from == *from && link.to == *to)?;
        Some((self.problem.engines.len() + index, links[index].bytes_per_s))
    }

    fn domain(&self, engine: usize) -> DomainIndex {
        let name = &self.problem.engines[engine].failure_domain;
        self.domains
            .iter()
            .position(|known| known == name)
            .expect("every engine's domain is listed")
    }

    /// Returns the cheapest path of one workload at the current prices.
    fn cheapest_priced_path(&self, index: usize) -> Result<PricedPath, BoundError> {
        let workload = &self.problem.workloads[index];
        let (engines, edges) = self.edges(workload);
        let links = PricedLinks {
            packing: self,
            bytes: workload.bytes_per_hop(),
        };
        let hops = cheapest_path(&edges, workload.layer_count, self.domains.len(), &links)
            .map_err(|layer| BoundError::LayerMissing {
                workload: index,
                layer,
            })?;
        let mut uses: SmallVec<[(usize, f64); 8]> = SmallVec::new();
        for hop in &hops {
            let engine = engines[hop.edge];
            let per_layer_s = workload.seconds_per_layer(&self.problem.engines[engine]);
            uses.push((engine, f64::from(hop.layers.len()) * per_layer_s));
        }
        for pair in hops.windows(2) {
            let (from, to) = (edges[pair[0].edge].domain, edges[pair[1].edge].domain);
            if let Some((resource, bytes_per_s)) = self.link(from, to) {
                uses.push((resource, workload.bytes_per_hop() / bytes_per_s));
            }
        }
        let price = uses.iter().map(|&(r, used)| self.prices[r] * used).sum();
        Ok(PricedPath { price, uses })
    }

    /// Returns the engines that hold a workload's model, with their path edges.
    fn edges(&self, workload: &Workload) -> (Vec<usize>, Vec<PathEdge>) {
        let engines = &self.problem.engines;
        let holds_model = |&engine: &usize| {
            engines[engine].model == workload.model && engines[engine].version == workload.version
        };
        let indices: Vec<usize> = (0..engines.len()).filter(holds_model).collect();
        let edge = |&engine: &usize| PathEdge {
            layers: engines[engine].layers,
            domain: self.domain(engine),
            cost_per_layer_s: self.prices[engine] * workload.seconds_per_layer(&engines[engine]),
            cost_per_stage_s: 0.0,
        };
        let edges = indices.iter().map(edge).collect();
        (indices, edges)
    }

    /// Returns the upper bound given by the current prices as a dual solution.
    fn dual_upper_bound(&self) -> Result<f64, BoundError> {
        let mut price = 0.0;
        for (index, workload) in self.problem.workloads.iter().enumerate() {
            price += workload.share * self.cheapest_priced_path(index)?.price;
        }
        if price <= 0.0 {
            return Err(BoundError::NoWork);
        }
        Ok(self.prices.iter().sum::<f64>() / price)
    }

    /// Routes each workload's share of `requests` along the currently cheapest paths.
    fn route_round(&mut self, requests: f64) -> Result<(), BoundError> {
        for (index, workload) in self.problem.workloads.iter().enumerate() {
            let mut remaining = workload.share * requests;
            while remaining > 0.0 {
                let path = self.cheapest_priced_path(index)?;
                let max_use = path.uses.iter().map(|&(_, used)| used).fold(0.0, f64::max);
                let routed = remaining.min(MAX_STEP_LOAD / max_use.max(f64::MIN_POSITIVE));
                for &(resource, used) in &path.uses {
                    self.add_load(resource, used * routed);
                }
                remaining -= routed;
            }
        }
        Ok(())
    }

    fn add_load(&mut self, resource: usize, load: f64) {
        self.loads[resource] += load;
        let exponent = self.price_rate * (self.loads[resource] - self.reference_load);
        self.prices[resource] = exponent.exp();
        if exponent > MAX_PRICE_EXPONENT {
            self.rescale_prices();
        }
    }

    /// Scales all prices down by the same factor, which keeps them finite.
    fn rescale_prices(&mut self) {
        self.reference_load = self.max_load();
        for (price, load) in self.prices.iter_mut().zip(&self.loads) {
            *price = (self.price_rate * (load - self.reference_load)).exp();
        }
    }

    fn max_load(&self) -> f64 {
        self.loads.iter().copied().fold(f64::MIN_POSITIVE, f64::max)
    }
}
