//! The state of each upstream as this gateway knows it, and the work in flight there.
//!
//! The base is the upstream's entry in the store. Direct evidence takes precedence over it:
//! an upstream that did not answer over a new connection, or that a path reported as lost,
//! is avoided until it answers again or restarts, whatever its entry says. What gateways
//! report to each other is in `reports`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::time::Instant;
use twox_hash::XxHash64;

mod leaving;
mod pacing;
mod reachability;
mod recent;
mod reports;
mod unaccounted;

use self::leaving::Leaving;
pub use self::pacing::TimedAnswer;
pub use self::reachability::Evidence;
use self::reachability::MAX_SUSPECTED_SHARE;
use self::reachability::Reachability;
pub use self::reachability::Suspicion;
pub use self::recent::PeerSharing;
use self::recent::RecentWork;
pub use self::reports::LayerReport;
pub use self::reports::PeerReport;
use self::reports::PeerState;
pub use self::reports::SlowdownReport;
use self::reports::TotalWork;
pub use self::reports::WorkReport;
use self::unaccounted::UnaccountedWork;
use super::pace::PaceChange;
use super::pace::Pacing;
use super::pace::Recovery;
use super::pace::UsualRatio;

new_key_type! {
    /// The key of one incarnation of an upstream.
    pub struct InstanceKey;
}

/// The time for which an upstream is avoided after one failed run; it doubles with each
/// further consecutive failure.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(100);

/// The longest time for which an upstream is avoided after failed runs.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);

/// How long an upstream is kept after its entry is gone: the longest time that work in
/// flight lasts.
const DEPARTED_RETENTION: Duration = Duration::from_secs(30);

/// How long an upstream may continue its work after its entry is gone.
const LINGERING_TIME: Duration = Duration::from_secs(6);

/// The number of peers to which an upstream must have refused connections before this
/// gateway avoids it too, so that one gateway with a broken link does not decide for all.
const MIN_SUSPECTING_PEERS: usize = 2;

/// The share of peers whose runs must have failed at an upstream before this gateway avoids
/// it too. In a large fleet, some run fails nearly everywhere.
const MIN_FAILING_PEER_SHARE: f64 = 0.06;

/// How long a token that passed through an upstream proves that it is alive.
const LIVENESS_TTL: Duration = Duration::from_millis(20);

/// The silence, in usual intervals between two events of a stream, after which an upstream
/// is probed even if few streams pass through it.
const MAX_SILENT_EVENT_GAPS: f64 = 1.4;

/// The number of missed events, over all streams through an upstream, after which it is
/// probed.
const MAX_MISSED_EVENTS: f64 = 12.0;

/// How long an upstream that delivered tokens is expected to accept connections. Clients
/// leave after about two seconds of silence, and events come many times as often.
const MAX_REFERENCE_AGE: Duration = Duration::from_secs(1);

/// The weight of one outcome in the failure rate.
const FAILURE_RATE_STEP: f64 = 0.1;

/// The largest factor by which an engine counts as slower than a healthy one.
const MAX_SLOWDOWN: f64 = 1_000.0;

/// The half-life of the failure rate, after which a failing upstream is tried again.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The work in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Work {
    /// The number of requests.
    pub requests: u32,
    /// The number of requests whose path starts at the upstream.
    pub first_requests: u32,
    /// The context that the requests may come to hold, in tokens times layers.
    pub token_layers: f64,
}

impl Work {
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.first_requests = self.first_requests.saturating_add(other.first_requests);
        self.token_layers += other.token_layers;
    }

    fn remove(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.first_requests = self.first_requests.saturating_sub(other.first_requests);
        self.token_layers = (self.token_layers - other.token_layers).max(0.0);
    }
}

/// One incarnation of an upstream and what is known of it.
#[derive(Debug)]
pub struct TrackedInstance {
    /// The upstream's description of itself.
    pub instance: Instance,
    digest: u64,
    /// Whether the layers are newer than the upstream's entry.
    has_reported_layers: bool,
    own: Work,
    /// The prefill that streams of this gateway wait for, in tokens times layers.
    pending_prefill_token_layers: f64,
    recent: RecentWork,
    unaccounted: UnaccountedWork,
    departed_at: Option<Instant>,
    leaving: Leaving,
    /// When the upstream accepts requests of this gateway again.
    paused_until: Option<Instant>,
    reachability: Reachability,
    failed_runs_in_a_row: u32,
    avoided_until: Option<Instant>,
    probed_at: Option<Instant>,
    alive_at: Option<Instant>,
    /// The streams of this gateway whose events pass through the upstream.
    active_streams: u32,
    event_gap: Duration,
    failure_rate: f64,
    failure_rate_at: Instant,
    slowdown: f64,
    pacing: Pacing,
}

impl TrackedInstance {
    fn new(instance: Instance, now: Instant) -> Self {
        Self {
            digest: digest(&instance),
            instance,
            has_reported_layers: false,
            own: Work::default(),
            pending_prefill_token_layers: 0.0,
            recent: RecentWork::new(now),
            unaccounted: UnaccountedWork::new(now),
            departed_at: None,
            leaving: Leaving::default(),
            paused_until: None,
            reachability: Reachability::default(),
            failed_runs_in_a_row: 0,
            avoided_until: None,
            probed_at: None,
            alive_at: None,
            active_streams: 0,
            event_gap: Duration::ZERO,
            failure_rate: 0.0,
            failure_rate_at: now,
            slowdown: 1.0,
            pacing: Pacing::default(),
        }
    }

    /// Returns a digest that identifies this incarnation of the upstream.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether `instance` describes the same incarnation of the upstream.
    pub fn is_same_incarnation(&self, instance: &Instance) -> bool {
        self.instance.born_unix_ms == instance.born_unix_ms
            && self.instance.service == instance.service
            && self.instance.address == instance.address
    }

    /// Returns whether the upstream may be given new work.
    pub fn is_usable(&self) -> bool {
        self.instance.state == InstanceState::Ready
            && self.departed_at.is_none()
            && self.leaving.since().is_none()
            && self.reachability.suspected_since().is_none()
    }

    /// Returns whether the upstream has asked this gateway to send no requests for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the time for which the upstream has asked this gateway to send no requests.
    pub fn pause_left(&self, now: Instant) -> Option<Duration> {
        let left = self.paused_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether runs of this gateway on the upstream have recently failed.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns since when the upstream counts as leaving, by its own word or another sign. Its
    /// entry does not show this while the store is unavailable.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving.since()
    }

    /// Returns whether the upstream itself has announced that it is about to end.
    pub const fn has_announced_leaving(&self) -> bool {
        self.leaving.is_announced()
    }

    /// Returns since when other signs than its own word suggest that the upstream is about to
    /// end.
    pub const fn inferred_leaving_since(&self) -> Option<Instant> {
        self.leaving.inferred_at()
    }

    /// Returns whether the upstream's entry is gone.
    pub const fn has_departed(&self) -> bool {
        self.departed_at.is_some()
    }

    /// Returns the work that this gateway has in flight at the upstream.
    pub const fn own_work(&self) -> &Work {
        &self.own
    }

    /// Returns the prefill that this gateway's streams wait for, in tokens times layers.
    pub const fn pending_prefill_token_layers(&self) -> f64 {
        self.pending_prefill_token_layers
    }

    /// Returns the factor by which the engine is slower than a healthy one.
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_rate_at);
        let half_lives = age.as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * (-half_lives).exp2()
    }
}

/// Returns a factor that times may be multiplied by; one that is no number counts as 1.
fn valid_slowdown(factor: f64) -> f64 {
    if factor.is_nan() {
        return 1.0;
    }
    factor.clamp(1.0, MAX_SLOWDOWN)
}

/// Returns a digest that identifies one incarnation of an upstream.
fn digest(instance: &Instance) -> u64 {
    XxHash64::oneshot(instance.born_unix_ms, instance.id.as_bytes())
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct InstanceTable {
    instances: SlotMap<InstanceKey, TrackedInstance>,
    by_id: BTreeMap<SmolStr, InstanceKey>,
    by_service: HashMap<ServiceName, Vec<InstanceKey>>,
    peers: HashMap<MemberName, PeerState>,
    /// The work of all peers, by the lower half of the upstream's digest.
    peer_totals: HashMap<u32, TotalWork>,
    sharing: PeerSharing,
    /// Whether the table has been filled once.
    is_filled: bool,
    pace_seed: u64,
    /// The number of phases of paces drawn so far.
    pace_draws: u64,
    /// The changes of paces that have not been logged yet.
    pace_changes: Vec<PaceChange>,
    usual_ratios: HashMap<ServiceName, UsualRatio>,
}

impl InstanceTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts or updates an upstream, and returns its key.
    ///
    /// An upstream that has restarted is another upstream: work in flight at the earlier
    /// incarnation and evidence against it do not count for the new one.
    pub fn upsert(&mut self, instance: Instance, now: Instant) -> InstanceKey {
        let mut pacing = Pacing::default();
        if let Some(&key) = self.by_id.get(&instance.id) {
            if self.instances[key].is_same_incarnation(&instance) {
                self.update(key, instance, now);
                return key;
            }
            pacing = self.instances[key].pacing.for_next_incarnation();
            self.remove_key(key);
        }
        let departed = self.instances.iter().find(|(_, tracked)| {
            tracked.instance.id == instance.id && tracked.is_same_incarnation(&instance)
        });
        if let Some((key, _)) = departed {
            self.bring_back(key);
            self.update(key, instance, now);
            // Its removal may be newer than the entry, which can be an old copy.
            self.infer_leaving(key, now);
            return key;
        }
        let mut tracked = TrackedInstance::new(instance, now);
        tracked.pacing = pacing;
        let key = self.instances.insert(tracked);
        self.bring_back(key);
        self.begin_pace(key, Recovery::NewIncarnation, now);
        key
    }

    /// Lists an incarnation as one that has an entry. What it has said of itself and what is
    /// known of it belong to the incarnation, so one whose entry was gone goes on with both.
    fn bring_back(&mut self, key: InstanceKey) {
        let tracked = &mut self.instances[key];
        tracked.departed_at = None;
        let id = tracked.instance.id.clone();
        let service = tracked.instance.service.clone();
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn update(&mut self, key: InstanceKey, instance: Instance, now: Instant) {
        let known = &mut self.instances[key];
        let has_left = known.instance.state == InstanceState::Draining;
        let has_other_layers = known.instance.layers != instance.layers;
        known.instance = instance;
        // An upstream that drains does not become ready again, whatever an older copy of its
        // entry says.
        if has_left {
            known.instance.state = InstanceState::Draining;
        }
        known.has_reported_layers = false;
        if has_other_layers {
            self.begin_pace(key, Recovery::LayersChanged, now);
        }
    }

    /// Stops giving new work to an upstream whose entry is gone.
    ///
    /// The upstream may continue the work it has, so it is kept for a while.
    pub fn depart(&mut self, id: &str, now: Instant) -> Option<&Instance> {
        let key = self.by_id.remove(id)?;
        let tracked = self.instances.get_mut(key)?;
        tracked.departed_at = Some(now);
        if let Some(keys) = self.by_service.get_mut(&tracked.instance.service) {
            keys.retain(|known| *known != key);
        }
        Some(&tracked.instance)
    }

    /// Removes upstreams that departed long ago.
    pub fn expire_departed(&mut self, now: Instant) {
        self.instances.retain(|_, tracked| {
            // A pause holds for one whose entry comes back, however long that was gone.
            tracked.is_paused(now)
                || tracked
                    .departed_at
                    .is_none_or(|at| now.saturating_duration_since(at) < DEPARTED_RETENTION)
        });
    }

    fn remove_key(&mut self, key: InstanceKey) {
        let Some(gone) = self.instances.remove(key) else {
            return;
        };
        self.by_id.remove(&gone.instance.id);
        if let Some(keys) = self.by_service.get_mut(&gone.instance.service) {
            keys.retain(|known| *known != key);
        }
    }

    /// Returns an upstream, unless it is gone.
    pub fn get(&self, key: InstanceKey) -> Option<&TrackedInstance> {
        self.instances.get(key)
    }

    /// Returns the upstream with an identifier, if it is known.
    pub fn by_id(&self, id: &str) -> Option<&TrackedInstance> {
        self.by_id.get(id).and_then(|&key| self.instances.get(key))
    }

    /// Sets the layers that an engine itself reported, before its entry shows them.
    pub fn set_layers(&mut self, id: &str, layers: Option<LayerRange>, now: Instant) {
        if let Some(&key) = self.by_id.get(id) {
            let tracked = &mut self.instances[key];
            let before = std::mem::replace(&mut tracked.instance.layers, layers);
            tracked.has_reported_layers = true;
            if before != layers {
                self.begin_pace(key, Recovery::LayersChanged, now);
            }
        }
    }

    /// Sets the factor by which an engine is slower than a healthy one. Returns whether it
    /// has changed.
    pub fn set_slowdown(&mut self, key: InstanceKey, factor: f64, now: Instant) -> bool {
        let Some(tracked) = self.instances.get_mut(key) else {
            return false;
        };
        let factor = valid_slowdown(factor);
        let before = std::mem::replace(&mut tracked.slowdown, factor);
        if tracked.pacing.note_slowdown(factor) {
            self.begin_pace(key, Recovery::SlowdownEnded, now);
        }
        (before - factor).abs() > f64::EPSILON
    }

    /// Returns the upstream at an address, if one is known there.
    pub fn at_address(&self, address: SocketAddr) -> Option<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, tracked)| tracked.instance.address == address)
            // An address may be reused by another upstream after one has departed.
            .min_by_key(|(_, tracked)| tracked.departed_at.is_some())
            .map(|(key, _)| key)
    }

    /// Returns all upstreams of a service, in no particular order.
    pub fn of_service<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (InstanceKey, &'a TrackedInstance)> + 'a {
        let keys = self.by_service.get(service);
        keys.into_iter()
            .flatten()
            .map(|&key| (key, &self.instances[key]))
    }

    /// Returns the upstreams of a service whose entry was removed recently and against
    /// which there is no evidence.
    ///
    /// Some upstreams end without announcing it: their entry is removed while they still
    /// serve their current work for a while.
    pub fn lingering<'a>(
        &'a self,
        service: &ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &'a TrackedInstance> {
        let is_recent = move |at: Instant| now.saturating_duration_since(at) < LINGERING_TIME;
        self.instances
            .values()
            .filter(move |tracked| tracked.departed_at.is_some_and(is_recent))
            .filter(|tracked| tracked.suspected_since().is_none())
            .filter(move |tracked| tracked.instance.service == *service)
    }

    /// Returns the upstreams that have an entry.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &TrackedInstance)> {
        self.instances
            .iter()
            .filter(|(_, tracked)| tracked.departed_at.is_none())
    }

    /// Records that an upstream asks for no requests for a time. Returns whether this
    /// extends the pause.
    pub fn pause(&mut self, key: InstanceKey, pause: Duration, now: Instant) -> bool {
        let Some(tracked) = self.instances.get_mut(key) else {
            return false;
        };
        let until = Some(now + pause);
        let is_longer = tracked.paused_until < until;
        tracked.paused_until = tracked.paused_until.max(until);
        is_longer
    }

    /// Returns when the first paused upstream of a service accepts requests again.
    pub fn next_resume(&self, service: &ServiceName, now: Instant) -> Option<Instant> {
        self.of_service(service)
            .filter(|(_, tracked)| tracked.is_usable() && tracked.is_paused(now))
            .filter_map(|(_, tracked)| tracked.paused_until)
            .min()
    }

    /// Records that a run failed at an upstream, which is then avoided for a while even if
    /// it answers otherwise.
    pub fn note_failed_run(&mut self, key: InstanceKey, now: Instant) {
        self.note_outcome(key, true, now);
        if let Some(tracked) = self.instances.get_mut(key) {
            let doublings = tracked.failed_runs_in_a_row.min(8);
            tracked.failed_runs_in_a_row += 1;
            let avoidance = (INITIAL_AVOIDANCE * (1 << doublings)).min(MAX_AVOIDANCE);
            tracked.avoided_until = Some(now + avoidance);
        }
    }

    /// Records that a run delivered its first event.
    pub fn note_successful_run(&mut self, key: InstanceKey) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.failed_runs_in_a_row = 0;
            tracked.avoided_until = None;
        }
    }

    /// Records that an event of a stream has passed through upstreams, and the usual
    /// interval between two events of such a stream.
    ///
    /// Returns those that were suspected for their silence and no longer are, and since when
    /// they were.
    pub fn note_alive(
        &mut self,
        keys: impl Iterator<Item = InstanceKey>,
        event_gap: Duration,
        now: Instant,
    ) -> SmallVec<[(InstanceKey, Instant); 2]> {
        let mut cleared = SmallVec::new();
        for key in keys {
            if let Some(tracked) = self.instances.get_mut(key) {
                tracked.alive_at = Some(now);
                tracked.event_gap = event_gap;
                if let Some(since) = tracked.reachability.on_event(now) {
                    cleared.push((key, since));
                    self.begin_pace(key, Recovery::SuspicionCleared, now);
                }
            }
        }
        cleared
    }

    /// Records that a connection to an upstream broke, which is newer than any event that
    /// showed that the upstream was alive.
    pub fn note_connection_lost(&mut self, key: InstanceKey) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.alive_at = None;
        }
    }

    /// Counts a stream whose events pass through an upstream.
    pub fn begin_stream(&mut self, key: InstanceKey) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.active_streams += 1;
        }
    }

    /// Stops counting a stream whose events pass through an upstream.
    pub fn end_stream(&mut self, key: InstanceKey) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.active_streams = tracked.active_streams.saturating_sub(1);
        }
    }

    /// Returns the upstreams that have been silent for long enough to be probed.
    ///
    /// The events of many streams pass through an upstream almost continuously, so its loss
    /// shows long before any one of the streams would have noticed.
    pub fn silent_upstreams(&self, now: Instant) -> SmallVec<[InstanceKey; 16]> {
        let is_silent = |tracked: &TrackedInstance| {
            let missed =
                (MAX_MISSED_EVENTS / f64::from(tracked.active_streams)).min(MAX_SILENT_EVENT_GAPS);
            let usual = tracked.event_gap.mul_f64(missed).max(LIVENESS_TTL);
            tracked
                .alive_at
                .is_some_and(|at| now.saturating_duration_since(at) >= usual)
        };
        self.instances
            .iter()
            .filter(|(_, tracked)| {
                tracked.active_streams > 0 && tracked.suspected_since().is_none()
            })
            .filter(|(_, tracked)| is_silent(tracked))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns whether an upstream may be probed now, and if so, records the probe: several
    /// streams and peers may want to probe it at once.
    ///
    /// An upstream through which a token has just passed needs no probe.
    pub fn try_begin_probe(&mut self, key: InstanceKey, interval: Duration, now: Instant) -> bool {
        let Some(tracked) = self.instances.get_mut(key) else {
            return false;
        };
        let is_older = |at: Option<Instant>, age: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        let is_due =
            is_older(tracked.probed_at, interval) && is_older(tracked.alive_at, LIVENESS_TTL);
        if is_due {
            tracked.probed_at = Some(now);
        }
        is_due
    }

    /// Returns the address of the upstream, other than `key`, that most recently proved to
    /// be alive.
    ///
    /// If it cannot be reached either, the fault is in this process or its link.
    pub fn reference_address(&self, key: InstanceKey, now: Instant) -> Option<SocketAddr> {
        self.instances
            .iter()
            .filter(|(other, tracked)| *other != key && tracked.is_usable())
            .filter_map(|(_, tracked)| Some((tracked.alive_at?, tracked)))
            .filter(|(alive_at, _)| now.saturating_duration_since(*alive_at) < MAX_REFERENCE_AGE)
            .max_by_key(|(alive_at, _)| *alive_at)
            .map(|(_, tracked)| tracked.instance.address)
    }

    /// Returns whether new work should prefer other upstreams.
    pub fn is_deprioritized(&self, tracked: &TrackedInstance, now: Instant) -> bool {
        if tracked.is_avoided(now) {
            return true;
        }
        let peers = self.peers.len();
        let suspecting = self
            .peers
            .values()
            .filter(|peer| peer.suspects.contains(&tracked.digest));
        if suspecting.count() >= MIN_SUSPECTING_PEERS.min(peers.max(1)) {
            return true;
        }
        let failing = self
            .peers
            .values()
            .filter(|peer| peer.failing.contains(&tracked.digest));
        let needed = (MIN_FAILING_PEER_SHARE * peers as f64)
            .max(MIN_SUSPECTING_PEERS.min(peers.max(1)) as f64);
        failing.count() as f64 >= needed
    }

    /// Updates the failure rate with the outcome of a request.
    pub fn note_outcome(&mut self, key: InstanceKey, is_failure: bool, now: Instant) {
        let Some(tracked) = self.instances.get_mut(key) else {
            return;
        };
        let before = tracked.failure_rate(now);
        let outcome = if is_failure { 1.0 } else { 0.0 };
        tracked.failure_rate = before + FAILURE_RATE_STEP * (outcome - before);
        tracked.failure_rate_at = now;
        self.note_pace_failure_rate(key, now);
        if is_failure {
            self.note_pace_failure(key, now);
        }
    }

    /// Counts work that this gateway has given to an upstream.
    pub fn begin_work(&mut self, key: InstanceKey, work: &Work, now: Instant) {
        self.note_recent(key, work, now);
        self.note_pace_start(key, now);
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.own.add(work);
        }
    }

    /// Stops counting work that has ended.
    pub fn end_work(&mut self, key: InstanceKey, work: &Work) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.own.remove(work);
        }
    }

    /// Counts tokens times layers as pending prefill.
    pub fn begin_prefill(&mut self, key: InstanceKey, token_layers: f64) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.pending_prefill_token_layers += token_layers;
        }
    }

    /// Stops counting tokens times layers that have been prefilled or no longer need to be.
    pub fn end_prefill(&mut self, key: InstanceKey, token_layers: f64) {
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.pending_prefill_token_layers =
                (tracked.pending_prefill_token_layers - token_layers).max(0.0);
        }
    }

    /// Returns those of `keys` that a peer suspects.
    pub fn suspected_by_peers(&self, keys: &[InstanceKey]) -> Vec<InstanceKey> {
        let is_suspected = |key: &&InstanceKey| {
            self.instances.get(**key).is_some_and(|tracked| {
                let mut peers = self.peers.values();
                peers.any(|peer| peer.suspects.contains(&tracked.digest))
            })
        };
        keys.iter().filter(is_suspected).copied().collect()
    }

    /// Returns the upstreams with the given digests that this gateway does not suspect.
    pub fn unsuspected_among(&self, digests: &[u64]) -> Vec<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, tracked)| {
                tracked.suspected_since().is_none() && digests.contains(&tracked.digest)
            })
            .map(|(key, _)| key)
            .collect()
    }
}
