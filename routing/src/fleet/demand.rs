//! The demand for streams of one service by rank, as one gateway observes it.
//!
//! The balancer spreads clients over the gateways, so the proportions that one gateway sees are
//! those of the fleet. Shares of the fleet's capacity are therefore derived from this gateway's
//! own streams, without a message.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// The time constant of observed rates: short against the bursts of one kind of request, which
/// last for seconds, and long enough for some tens of streams at a small gateway.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// The time constant of the served shares. It spans several bursts' onsets, so that a rank whose
/// share is low only for a moment is not taken for starved.
const SHARE_WINDOW: Duration = Duration::from_secs(8);

/// The time by which reserved capacity exceeds the lag of reports: a more urgent stream waits
/// about this long for capacity before it misses its objective.
const HEADROOM_MARGIN: Duration = Duration::from_millis(200);

/// The largest share of capacity that is kept free for more urgent ranks.
pub const MAX_HEADROOM_SHARE: f64 = 0.25;

/// The share of capacity that is kept free for one more urgent rank whose streams find enough
/// capacity on average: about the random excess of its arrivals at one engine within the lag of
/// reports.
const RESERVE_SHARE: f64 = 0.03;

/// The part of the streams that were offered within the age of reports for which capacity is left
/// free by a stream that may compete with them. Few of them find capacity while it is scarce.
const CONTESTED_PART: f64 = 0.5;

/// The largest share of capacity that is left free because others may have taken it.
const MAX_CONTESTED_SHARE: f64 = 0.1;

/// The time constant of the vacancies of this gateway, after which others have taken them.
const VACANCY_WINDOW: Duration = Duration::from_millis(500);

/// The part of one recent end that counts as a vacancy.
const MIN_VACANCY: f64 = 0.4;

/// The served share, relative to that of all streams, below which a rank or an account gets the
/// limits of the most urgent one. It is above the quarter that each of them is promised, since
/// the effect takes some seconds.
const MIN_RELATIVE_SHARE: f64 = 0.35;

/// The number of recent offers below which a served share is not judged.
const MIN_JUDGED_OFFERS: f64 = 4.0;

/// The smallest number of kinds that are kept before those without recent streams are dropped.
const MIN_KEPT_KINDS: usize = 64;

/// The decayed count of offered streams below which a kind may be dropped.
const MIN_KEPT_COUNT: f64 = 0.01;

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCount {
    count: f64,
    at: Instant,
    window: Duration,
}

impl DecayingCount {
    pub(crate) const fn new(window: Duration, now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
            window,
        }
    }

    pub(crate) fn add(&mut self, now: Instant) {
        self.count = self.get(now) + 1.0;
        self.at = now;
    }

    /// Takes back one event if any is left.
    pub(crate) fn take(&mut self, now: Instant) {
        self.count = (self.get(now) - 1.0).max(0.0);
        self.at = now;
    }

    pub(crate) fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    /// Returns the mean number of events in a second.
    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        self.get(now) / self.window.as_secs_f64()
    }
}

/// The streams of one kind that were offered and started.
#[derive(Clone, Copy, Debug)]
struct ServedCount {
    offered: DecayingCount,
    started: DecayingCount,
}

impl ServedCount {
    const fn new(now: Instant) -> Self {
        Self {
            offered: DecayingCount::new(SHARE_WINDOW, now),
            started: DecayingCount::new(SHARE_WINDOW, now),
        }
    }

    fn share(&self, now: Instant) -> f64 {
        self.started.get(now) / self.offered.get(now).max(f64::MIN_POSITIVE)
    }
}

/// The recently served shares of streams by kind, such as a rank or an account.
#[derive(Debug)]
pub(crate) struct ServedShares<K> {
    total: ServedCount,
    kinds: HashMap<K, ServedCount>,
    /// The number of kinds at which those without recent streams are dropped.
    max_kinds: usize,
}

impl<K: Clone + Eq + Hash> ServedShares<K> {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            total: ServedCount::new(now),
            kinds: HashMap::new(),
            max_kinds: MIN_KEPT_KINDS,
        }
    }

    pub(crate) fn on_offered(&mut self, kind: &K, now: Instant) {
        self.total.offered.add(now);
        if let Some(count) = self.kinds.get_mut(kind) {
            count.offered.add(now);
            return;
        }
        if self.kinds.len() >= self.max_kinds {
            self.kinds
                .retain(|_, count| count.offered.get(now) >= MIN_KEPT_COUNT);
            self.max_kinds = MIN_KEPT_KINDS.max(2 * self.kinds.len());
        }
        let mut count = ServedCount::new(now);
        count.offered.add(now);
        self.kinds.insert(kind.clone(), count);
    }

    pub(crate) fn on_started(&mut self, kind: &K, now: Instant) {
        self.total.started.add(now);
        if let Some(count) = self.kinds.get_mut(kind) {
            count.started.add(now);
        }
    }

    /// Returns the number of streams of all kinds that are offered a second.
    pub(crate) fn offered_per_s(&self, now: Instant) -> f64 {
        self.total.offered.per_s(now)
    }

    /// Returns whether a kind is served far less than all kinds together.
    pub(crate) fn is_starved(&self, kind: &K, now: Instant) -> bool {
        self.kinds.get(kind).is_some_and(|count| {
            count.offered.get(now) >= MIN_JUDGED_OFFERS
                && count.share(now) < MIN_RELATIVE_SHARE * self.total.share(now)
        })
    }
}

/// The streams of one service that one gateway was offered, by rank, and those that it runs.
#[derive(Debug)]
pub struct StreamDemand {
    /// The arrivals of each rank.
    arrivals: SmallVec<[(u32, DecayingCount); 4]>,
    shares: ServedShares<u32>,
    /// The number of streams that have started and not ended.
    running: usize,
    ends: DecayingCount,
    /// The recent ends that no started stream has made up for.
    vacancies: DecayingCount,
}

impl StreamDemand {
    /// Creates the state of a gateway without streams.
    pub fn new(now: Instant) -> Self {
        Self {
            arrivals: SmallVec::new(),
            shares: ServedShares::new(now),
            running: 0,
            ends: DecayingCount::new(RATE_WINDOW, now),
            vacancies: DecayingCount::new(VACANCY_WINDOW, now),
        }
    }

    /// Records that a client asked for a stream.
    pub fn on_offered(&mut self, rank: u32, now: Instant) {
        self.shares.on_offered(&rank, now);
        let known = self.arrivals.iter().position(|(known, _)| *known == rank);
        let index = known.unwrap_or_else(|| {
            let count = DecayingCount::new(RATE_WINDOW, now);
            self.arrivals.push((rank, count));
            self.arrivals.len() - 1
        });
        self.arrivals[index].1.add(now);
    }

    /// Records that a stream has got capacity.
    pub fn on_started(&mut self, rank: u32, now: Instant) {
        self.shares.on_started(&rank, now);
        self.running += 1;
        self.vacancies.take(now);
    }

    /// Records that a stream that had got capacity has ended.
    pub fn on_ended(&mut self, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.ends.add(now);
        self.vacancies.add(now);
    }

    /// Returns whether a stream of this gateway has recently ended whose capacity none of its
    /// streams has taken.
    fn has_vacancy(&self, now: Instant) -> bool {
        self.vacancies.get(now) >= MIN_VACANCY
    }

    /// Returns the number of streams a second whose capacity becomes free.
    pub fn releases_per_s(&self, now: Instant) -> f64 {
        self.ends.per_s(now)
    }

    /// Returns the arrivals of the ranks more urgent than `rank`.
    fn more_urgent(&self, rank: u32) -> impl Iterator<Item = &DecayingCount> {
        let more_urgent = self.arrivals.iter().filter(move |(known, _)| *known < rank);
        more_urgent.map(|(_, count)| count)
    }

    /// Returns the number of streams a second that are offered at ranks more urgent than `rank`.
    pub fn more_urgent_per_s(&self, rank: u32, now: Instant) -> f64 {
        self.more_urgent(rank).map(|count| count.per_s(now)).sum()
    }

    /// Returns whether a rank is served far less than all ranks together.
    pub fn is_starved(&self, rank: u32, now: Instant) -> bool {
        self.shares.is_starved(&rank, now)
    }

    /// Returns the share of capacity that a stream of a rank leaves free for more urgent ranks
    /// until this gateway learns how much capacity other gateways have given away, `report_age`
    /// later.
    pub fn headroom(&self, rank: u32, report_age: Duration, now: Instant) -> f64 {
        if self.is_starved(rank, now) {
            return 0.0;
        }
        let reserves: f64 = self
            .more_urgent(rank)
            .map(|count| self.reserve(count.per_s(now), report_age))
            .sum();
        let excess_per_s = self.more_urgent_per_s(rank, now) - self.releases_per_s(now);
        let excess = self.capacity_share(excess_per_s.max(0.0), report_age);
        (reserves + excess).min(MAX_HEADROOM_SHARE)
    }

    /// Returns the share of capacity that is kept free for streams that arrive at a rate and find
    /// enough capacity on average. It is lent to others if it would not be used.
    pub fn reserve(&self, per_s: f64, report_age: Duration) -> f64 {
        self.capacity_share(per_s, report_age).min(RESERVE_SHARE)
    }

    /// Returns the share of capacity that a stream leaves free for whose start none of this gateway
    /// has ended: all gateways see the same capacity become free, and learn `report_age` later who
    /// has taken it.
    pub fn contested_share(&self, report_age: Duration, now: Instant) -> f64 {
        if self.has_vacancy(now) {
            return 0.0;
        }
        let rates = self.arrivals.iter().map(|(_, count)| count.per_s(now));
        let unseen = rates.sum::<f64>() * report_age.as_secs_f64();
        (CONTESTED_PART * unseen / (self.running.max(1) as f64)).min(MAX_CONTESTED_SHARE)
    }

    /// Returns the largest share that a stream of a rank leaves free for capacity that others may
    /// have taken. With the reserves, a less urgent stream that is sure of its capacity still
    /// yields to a more urgent one of another gateway that is not.
    pub fn max_contested_share(&self, rank: u32) -> f64 {
        RESERVE_SHARE * (1 + self.more_urgent(rank).count()) as f64
    }

    /// Returns the share of the fleet's capacity that streams at a rate take within the lag of
    /// reports and the time that a stream may wait.
    fn capacity_share(&self, per_s: f64, report_age: Duration) -> f64 {
        let span = report_age + HEADROOM_MARGIN;
        per_s * span.as_secs_f64() / (self.running.max(1) as f64)
    }
}
