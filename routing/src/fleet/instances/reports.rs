//! What gateways report to each other about upstreams.
//!
//! Gateways report their own work in flight, because an upstream's own load report lags and
//! all gateways would herd to the same upstream.

use std::collections::HashSet;
use std::time::Duration;

use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::MemberName;
use jujubewall_types::layer::LayerRange;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::InstanceKey;
use super::InstanceTable;
use super::MAX_SUSPECTED_SHARE;
use super::TrackedInstance;
use super::Work;
use super::valid_slowdown;
use crate::fleet::pace::Recovery;

/// The unit in which reported context is rounded up, in tokens times layers, to keep
/// messages small. A stream holds some thousands of them at each part of its path.
const TOKEN_LAYERS_PER_STEP: f64 = 256.0;

/// The work of one gateway at one upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkReport {
    /// The lower half of the digest of the upstream's incarnation.
    instance: u32,
    requests: u32,
    first_requests: u32,
    /// The context, in units of [`TOKEN_LAYERS_PER_STEP`].
    token_layer_steps: u32,
}

impl WorkReport {
    /// Creates the report of the work at the upstream with the given digest.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(digest: u64, work: &Work) -> Self {
        Self {
            instance: half(digest),
            requests: work.requests,
            first_requests: work.first_requests,
            token_layer_steps: (work.token_layers / TOKEN_LAYERS_PER_STEP).ceil() as u32,
        }
    }
}

/// Returns the lower half of a digest, which is enough to distinguish thousands of
/// upstreams. Two upstreams that share it would count each other's work.
#[allow(clippy::cast_possible_truncation)]
const fn half(digest: u64) -> u32 {
    digest as u32
}

/// What a peer reports about upstreams in one message.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport<'a> {
    /// The peer's work in flight.
    pub work: &'a [WorkReport],
    /// The digests of upstreams that refused connections from the peer.
    pub suspects: &'a [u64],
    /// The digests of upstreams at which runs of the peer have recently failed.
    pub failing: &'a [u64],
    /// How long the report is valid unless a newer one replaces it.
    pub lifetime: Duration,
}

/// The layers that an engine reported to a gateway.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LayerReport {
    /// The digest of the engine's incarnation.
    pub instance: u64,
    /// The layers that the engine holds; `None` if it holds none.
    pub layers: Option<LayerRange>,
}

/// The slowdown of an engine, as the planner reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlowdownReport {
    /// The digest of the engine's incarnation.
    pub instance: u64,
    /// The factor by which the engine's passes take longer than those of a healthy engine.
    pub factor: f64,
}

/// The work of all peers at one upstream, updated with each report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TotalWork {
    pub(super) requests: u64,
    first_requests: u64,
    token_layer_steps: u64,
}

impl TotalWork {
    fn add(&mut self, report: &WorkReport) {
        self.requests += u64::from(report.requests);
        self.first_requests += u64::from(report.first_requests);
        self.token_layer_steps += u64::from(report.token_layer_steps);
    }

    fn remove(&mut self, report: &WorkReport) {
        self.requests -= u64::from(report.requests);
        self.first_requests -= u64::from(report.first_requests);
        self.token_layer_steps -= u64::from(report.token_layer_steps);
    }

    fn work(&self) -> Work {
        Work {
            requests: u32::try_from(self.requests).unwrap_or(u32::MAX),
            first_requests: u32::try_from(self.first_requests).unwrap_or(u32::MAX),
            token_layers: self.token_layer_steps as f64 * TOKEN_LAYERS_PER_STEP,
        }
    }
}

/// The last report of a peer.
#[derive(Debug)]
pub(super) struct PeerState {
    expires_at: Instant,
    work: Vec<WorkReport>,
    /// The digests of the upstreams that refused connections from the peer.
    pub(super) suspects: HashSet<u64>,
    /// The digests of the upstreams at which runs of the peer failed.
    pub(super) failing: HashSet<u64>,
}

impl InstanceTable {
    /// Returns the layers that engines reported to this gateway and that their entries may
    /// not show yet, to send to peers.
    pub fn layer_reports(&self) -> Vec<LayerReport> {
        self.instances
            .values()
            .filter(|tracked| tracked.has_reported_layers && tracked.departed_at.is_none())
            .map(|tracked| LayerReport {
                instance: tracked.digest,
                layers: tracked.instance.layers,
            })
            .collect()
    }

    /// Applies layers that engines reported to a peer.
    ///
    /// Only for a gateway that the store does not notify of changes: entries that it has
    /// read since are newer.
    pub fn apply_layer_reports(&mut self, reports: &[LayerReport], now: Instant) {
        let mut changed: SmallVec<[InstanceKey; 4]> = SmallVec::new();
        for report in reports {
            let known = self.instances.iter_mut();
            for (key, tracked) in known.filter(|(_, tracked)| tracked.digest == report.instance) {
                if tracked.instance.layers != report.layers {
                    tracked.instance.layers = report.layers;
                    changed.push(key);
                }
            }
        }
        for key in changed {
            self.begin_pace(key, Recovery::LayersChanged, now);
        }
    }

    /// Returns the engines that are slower than healthy ones, to send to peers.
    pub fn slowdown_reports(&self) -> Vec<SlowdownReport> {
        self.instances
            .values()
            .filter(|tracked| tracked.slowdown > 1.0)
            .map(|tracked| SlowdownReport {
                instance: tracked.digest,
                factor: tracked.slowdown,
            })
            .collect()
    }

    /// Applies the reported slowdowns; engines without one count as healthy.
    pub fn apply_slowdown_reports(&mut self, reports: &[SlowdownReport], now: Instant) {
        let mut recovered: SmallVec<[InstanceKey; 4]> = SmallVec::new();
        for (key, tracked) in &mut self.instances {
            let slow = reports
                .iter()
                .find(|report| report.instance == tracked.digest);
            let factor = slow.map_or(1.0, |report| report.factor);
            tracked.slowdown = valid_slowdown(factor);
            if tracked.pacing.note_slowdown(tracked.slowdown) {
                recovered.push(key);
            }
        }
        for key in recovered {
            self.begin_pace(key, Recovery::SlowdownEnded, now);
        }
    }

    /// Returns the work that this gateway has in flight, to send to peers.
    pub fn work_reports(&self) -> Vec<WorkReport> {
        self.instances
            .values()
            .filter(|tracked| tracked.own.requests > 0)
            .map(|tracked| WorkReport::new(tracked.digest, &tracked.own))
            .collect()
    }

    /// Replaces the report of a peer.
    pub fn apply_peer_report(&mut self, peer: &MemberName, report: &PeerReport<'_>, now: Instant) {
        let max_suspected = (MAX_SUSPECTED_SHARE * self.instances.len() as f64).max(1.0);
        // A peer that reports this many upstreams has lost its own link.
        let credible = |digests: &[u64]| -> HashSet<u64> {
            let is_credible = digests.len() as f64 <= max_suspected;
            let digests = digests.iter().copied();
            digests.filter(|_| is_credible).collect()
        };
        let report = PeerState {
            expires_at: now + report.lifetime,
            work: report.work.to_vec(),
            suspects: credible(report.suspects),
            failing: credible(report.failing),
        };
        for report in &report.work {
            self.peer_totals
                .entry(report.instance)
                .or_default()
                .add(report);
        }
        if let Some(before) = self.peers.insert(peer.clone(), report) {
            self.subtract_report(&before);
        }
    }

    /// Subtracts the work of a report from the totals.
    fn subtract_report(&mut self, before: &PeerState) {
        for report in &before.work {
            if let Some(total) = self.peer_totals.get_mut(&report.instance) {
                total.remove(report);
            }
        }
    }

    /// Removes reports that have not been renewed in time.
    pub fn expire_peer_reports(&mut self, now: Instant) {
        let overdue: Vec<MemberName> = self
            .peers
            .iter()
            .filter(|(_, peer)| now >= peer.expires_at)
            .map(|(member, _)| member.clone())
            .collect();
        for member in overdue {
            if let Some(before) = self.peers.remove(&member) {
                self.subtract_report(&before);
            }
        }
        // Drops upstreams that are gone or without work.
        self.peer_totals.retain(|_, total| total.requests > 0);
    }

    /// Returns the work that all gateways have in flight at an upstream.
    pub fn total_work(&self, tracked: &TrackedInstance) -> Work {
        let mut total = tracked.own;
        if let Some(report) = self.peer_totals.get(&half(tracked.digest)) {
            total.add(&report.work());
        }
        total
    }

    /// Returns the digests of the suspected upstreams, to send to peers.
    pub fn suspected_digests(&self) -> Vec<u64> {
        self.digests(|tracked| tracked.suspected_since().is_some())
    }

    /// Returns the digests of the upstreams at which runs of this gateway have recently
    /// failed, to send to peers.
    pub fn failing_digests(&self, now: Instant) -> Vec<u64> {
        self.digests(|tracked| tracked.is_avoided(now))
    }

    fn digests(&self, fits: impl Fn(&TrackedInstance) -> bool) -> Vec<u64> {
        let fitting = self.instances.values().filter(|tracked| fits(tracked));
        fitting.map(|tracked| tracked.digest).collect()
    }

    /// Returns a digest of the upstreams' entries, by which gateways find out whether they
    /// know the same entries.
    pub fn entries_digest(&self) -> u64 {
        let known = self
            .instances
            .values()
            .filter(|tracked| tracked.departed_at.is_none());
        known.fold(0, |digest, tracked| digest ^ entry_digest(tracked))
    }

    /// Returns the digest of the entries without those of the given upstreams.
    pub fn entries_digest_without<'a>(&self, ids: impl Iterator<Item = &'a SmolStr>) -> u64 {
        let left_out = ids.filter_map(|id| self.by_id(id));
        left_out.fold(self.entries_digest(), |digest, tracked| {
            digest ^ entry_digest(tracked)
        })
    }
}

fn entry_digest(tracked: &TrackedInstance) -> u64 {
    let state = u64::from(tracked.instance.state == InstanceState::Draining);
    XxHash64::oneshot(state, &tracked.digest.to_be_bytes())
}
