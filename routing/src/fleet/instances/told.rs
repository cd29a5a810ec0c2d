//! What entries tell each other of upstreams.
//!
//! The work that other entries have in flight is told by them, since an upstream's own
//! report lags and all entries would herd after it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use jujubewall_types::id::MemberName;
use jujubewall_types::layer::LayerRange;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::InstanceTable;
use super::MAX_DOUBTED_SHARE;
use super::Tracked;
use super::Work;

/// The time for which what another entry told is counted; it tells several times
/// in this span.
const PEER_WORK_LIFETIME: Duration = Duration::from_millis(1_500);

/// The work of one entry at one upstream, as entries tell it to each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ToldWork {
    /// The digest of the upstream's identifier.
    pub instance: u64,
    /// The work in flight.
    pub work: Work,
}

/// The layers that an engine reported to an entry, as entries tell it to each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ToldLayers {
    /// The digest of the engine's identifier.
    pub instance: u64,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
}

/// By how much an engine is slower than a sound one, as the planner tells it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ToldSlowdown {
    /// The digest of the engine's identifier.
    pub instance: u64,
    /// The factor on the time of its passes.
    pub factor: f64,
}

/// What an entry has told of its work.
#[derive(Debug)]
pub(super) struct PeerWork {
    told_at: Instant,
    work: HashMap<u64, Work>,
    /// The digests of the upstreams against which the entry speaks.
    pub(super) doubts: HashSet<u64>,
}

impl InstanceTable {
    /// Returns the layers that engines reported here and their entries may not show, to
    /// be told to the others.
    pub fn told_layers(&self) -> Vec<ToldLayers> {
        self.instances
            .values()
            .filter(|tracked| tracked.has_reported_layers && tracked.departed_at.is_none())
            .map(|tracked| ToldLayers {
                instance: tracked.digest,
                layers: tracked.instance.layers,
            })
            .collect()
    }

    /// Takes over layers that engines reported to another entry.
    ///
    /// Only for an entry that the store does not tell of changes: entries that it has
    /// read since are newer.
    pub fn on_told_layers(&mut self, told: &[ToldLayers]) {
        for told in told {
            let known = self.instances.values_mut();
            for tracked in known.filter(|tracked| tracked.digest == told.instance) {
                tracked.instance.layers = told.layers;
            }
        }
    }

    /// Returns the engines that are slower than sound ones, to be told to the others.
    pub fn told_slowdowns(&self) -> Vec<ToldSlowdown> {
        self.instances
            .values()
            .filter(|tracked| tracked.slowdown > 1.0)
            .map(|tracked| ToldSlowdown {
                instance: tracked.digest,
                factor: tracked.slowdown,
            })
            .collect()
    }

    /// Takes over which engines are slow; all others are sound.
    pub fn on_told_slowdowns(&mut self, told: &[ToldSlowdown]) {
        for tracked in self.instances.values_mut() {
            let slow = told.iter().find(|told| told.instance == tracked.digest);
            tracked.slowdown = slow.map_or(1.0, |told| told.factor);
        }
    }

    /// Returns the work that this entry has in flight, to be told to the others.
    pub fn told_work(&self) -> Vec<ToldWork> {
        self.instances
            .values()
            .filter(|tracked| tracked.own.requests > 0)
            .map(|tracked| ToldWork {
                instance: tracked.digest,
                work: tracked.own,
            })
            .collect()
    }

    /// Takes over the work that another entry has in flight, and its doubts.
    pub fn on_told_work(
        &mut self,
        peer: &MemberName,
        told: &[ToldWork],
        doubts: &[u64],
        now: Instant,
    ) {
        let work = told.iter().map(|told| (told.instance, told.work)).collect();
        let most_doubts = MAX_DOUBTED_SHARE * self.instances.len() as f64;
        let has_own_link = doubts.len() as f64 <= most_doubts.max(1.0);
        let doubts = doubts.iter().copied().filter(|_| has_own_link).collect();
        let told = PeerWork {
            told_at: now,
            work,
            doubts,
        };
        self.peers.insert(peer.clone(), told);
    }

    /// Forgets entries that have told nothing for a while.
    pub fn expire_peers(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.told_at) < PEER_WORK_LIFETIME);
    }

    /// Returns this entry's share of what all entries may use together: half of it in
    /// equal parts, and half by the work in flight, since clients spread unevenly.
    pub fn own_share(&self) -> f64 {
        let own: u32 = self
            .instances
            .values()
            .map(|known| known.own.requests)
            .sum();
        let others: u32 = self
            .peers
            .values()
            .flat_map(|peer| peer.work.values())
            .map(|work| work.requests)
            .sum();
        let equal = 1.0 / (self.peers.len() + 1) as f64;
        let by_work = f64::from(own) / f64::from((own + others).max(1));
        f64::midpoint(equal, by_work)
    }

    /// Returns the work that all entries have in flight at an upstream.
    pub fn total_work(&self, tracked: &Tracked) -> Work {
        let mut total = tracked.own;
        for peer in self.peers.values() {
            if let Some(work) = peer.work.get(&tracked.digest) {
                total.add(work);
            }
        }
        total
    }

    /// Returns the digests of the doubted upstreams, to be told to the others.
    pub fn told_doubts(&self, now: Instant) -> Vec<u64> {
        self.instances
            .values()
            .filter(|tracked| tracked.suspected_since.is_some() || tracked.is_avoided(now))
            .map(|tracked| tracked.digest)
            .collect()
    }
}
