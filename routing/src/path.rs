//! The cheapest path through the layers of a model.
//!
//! The search is a dynamic program over layer boundaries and failure domains.

use jujubewall_types::layer::LayerRange;
use smallvec::SmallVec;

/// An index into the table of failure domains.
pub(crate) type DomainIndex = usize;

/// One engine as an edge across the layers that it holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathEdge {
    /// The layers that the engine holds.
    pub(crate) layers: LayerRange,
    /// The failure domain of the engine.
    pub(crate) domain: DomainIndex,
    /// The cost of each layer that the path runs on the engine, in seconds.
    pub(crate) cost_per_layer_s: f64,
    /// The fixed cost of a stage, independent of its layers, in seconds.
    pub(crate) cost_per_stage_s: f64,
}

/// One stage of a path: the index of an edge and the layers that run on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Hop {
    pub(crate) edge: usize,
    pub(crate) layers: LayerRange,
}

/// The cost of passing an activation from one failure domain to another.
pub(crate) trait LinkCosts {
    /// Returns the cost of the link, in seconds.
    fn cost_s(&self, from: DomainIndex, to: DomainIndex) -> f64;
}

/// The cheapest known path to a layer boundary whose last stage is in one domain.
#[derive(Clone, Copy)]
struct Label {
    cost_s: f64,
    hop: Hop,
    previous_domain: DomainIndex,
}

/// The search state, with one label per boundary and domain.
struct Search<'a> {
    boundaries: Vec<u32>,
    domain_count: usize,
    labels: Vec<Option<Label>>,
    links: &'a dyn LinkCosts,
}

/// Finds the cheapest path over `layer_count` layers.
///
/// If there is no path, the error is the first layer that no path covers.
pub(crate) fn cheapest_path(
    edges: &[PathEdge],
    layer_count: u32,
    domain_count: usize,
    links: &dyn LinkCosts,
) -> Result<SmallVec<[Hop; 4]>, u32> {
    let boundaries = boundaries(edges, layer_count);
    let mut search = Search {
        labels: vec![None; boundaries.len() * domain_count],
        boundaries,
        domain_count,
        links,
    };
    let sorted_edges = edges_by_first_layer(edges);
    let mut active: Vec<usize> = Vec::new();
    let mut upcoming_edges = sorted_edges.iter().copied().peekable();
    for at in 0..search.boundaries.len().saturating_sub(1) {
        let layer = search.boundaries[at];
        active.retain(|&edge| edges[edge].layers.end > layer);
        while let Some(edge) = upcoming_edges.next_if(|&edge| edges[edge].layers.first <= layer) {
            active.push(edge);
        }
        search.relax_from(at, edges, &active);
    }
    search.trace_back()
}

/// Returns the sorted layer boundaries at which a path may change engines.
fn boundaries(edges: &[PathEdge], layer_count: u32) -> Vec<u32> {
    let mut boundaries: Vec<u32> = edges
        .iter()
        .flat_map(|edge| [edge.layers.first, edge.layers.end])
        .filter(|&layer| layer < layer_count)
        .collect();
    boundaries.extend([0, layer_count]);
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// Returns the indices of the edges in the order of their first layers.
fn edges_by_first_layer(edges: &[PathEdge]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..edges.len())
        .filter(|&edge| !edges[edge].layers.is_empty())
        .collect();
    order.sort_by_key(|&edge| edges[edge].layers.first);
    order
}

impl Search<'_> {
    /// Extends every path that ends at boundary `at` by each active edge.
    fn relax_from(&mut self, at: usize, edges: &[PathEdge], active: &[usize]) {
        let arrivals: SmallVec<[Option<(f64, DomainIndex)>; 8]> = (0..self.domain_count)
            .map(|domain| self.cheapest_arrival(at, domain))
            .collect();
        for &index in active {
            let edge = &edges[index];
            if let Some((cost_s, previous_domain)) = arrivals[edge.domain] {
                self.relax_edge(at, index, edge, cost_s, previous_domain);
            }
        }
    }

    /// Returns the cheapest cost, and the previous domain, of starting a stage at
    /// boundary `at` in `domain`.
    fn cheapest_arrival(&self, at: usize, domain: DomainIndex) -> Option<(f64, DomainIndex)> {
        if at == 0 {
            return Some((0.0, domain));
        }
        (0..self.domain_count)
            .filter_map(|from| {
                let label = self.labels[at * self.domain_count + from].as_ref()?;
                Some((label.cost_s + self.links.cost_s(from, domain), from))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Extends a path by one edge to each later boundary that the edge covers.
    fn relax_edge(
        &mut self,
        at: usize,
        index: usize,
        edge: &PathEdge,
        arrival_cost_s: f64,
        previous_domain: DomainIndex,
    ) {
        let first = self.boundaries[at];
        for to in at + 1..self.boundaries.len() {
            let end = self.boundaries[to];
            if end > edge.layers.end {
                break;
            }
            let layers = LayerRange::new(first, end);
            let stage_s = arrival_cost_s + edge.cost_per_stage_s;
            let cost_s = stage_s + f64::from(layers.len()) * edge.cost_per_layer_s;
            let label = &mut self.labels[to * self.domain_count + edge.domain];
            if label.is_none_or(|existing| cost_s < existing.cost_s) {
                *label = Some(Label {
                    cost_s,
                    hop: Hop {
                        edge: index,
                        layers,
                    },
                    previous_domain,
                });
            }
        }
    }

    /// Reconstructs the cheapest path from the labels.
    fn trace_back(&self) -> Result<SmallVec<[Hop; 4]>, u32> {
        let last = self.boundaries.len() - 1;
        let mut domain = self
            .cheapest_domain(last)
            .ok_or_else(|| self.first_unreached_layer())?;
        let mut hops: SmallVec<[Hop; 4]> = SmallVec::new();
        let mut at = last;
        while at > 0 {
            let label = self.labels[at * self.domain_count + domain]
                .as_ref()
                .expect("every label leads back to the first layer");
            hops.push(label.hop);
            at = self
                .boundaries
                .binary_search(&label.hop.layers.first)
                .expect("a hop starts at a boundary");
            domain = label.previous_domain;
        }
        hops.reverse();
        Ok(hops)
    }

    /// Returns the domain in which the cheapest path to boundary `at` ends.
    fn cheapest_domain(&self, at: usize) -> Option<DomainIndex> {
        (0..self.domain_count)
            .filter_map(|domain| {
                let label = self.labels[at * self.domain_count + domain].as_ref()?;
                Some((label.cost_s, domain))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, domain)| domain)
    }

    /// Returns the first layer that no path covers.
    fn first_unreached_layer(&self) -> u32 {
        let is_reached = |at: &usize| *at == 0 || self.cheapest_domain(*at).is_some();
        let furthest = (0..self.boundaries.len()).rev().find(is_reached);
        self.boundaries[furthest.unwrap_or(0)]
    }
}

/// Merges the stages of a path so that every engine serves only one stage.
///
/// A path that leaves an engine and returns to it stays there instead, which is
/// possible because the engine holds every layer in between.
pub(crate) fn merge_revisits(hops: &[Hop]) -> SmallVec<[Hop; 4]> {
    let mut merged: SmallVec<[Hop; 4]> = SmallVec::new();
    for hop in hops {
        match merged.iter().position(|existing| existing.edge == hop.edge) {
            Some(position) => {
                merged.truncate(position + 1);
                merged[position].layers.end = hop.layers.end;
            }
            None => merged.push(*hop),
        }
    }
    merged
}
