//! Which streams of one service get scarce capacity at one gateway.
//!
//! A stream without capacity waits while it can still meet its objective. How long that takes is
//! estimated from the streams that end at this gateway: all gateways are alike, so what they
//! release is on average what each of them may start.

use std::fmt;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use tokio::time::Instant;

use super::fair_weights::FairWeights;
use super::stream_queue::StreamQueue;
use super::stream_queue::StreamTicket;
use crate::fleet::demand::MAX_HEADROOM_SHARE;
use crate::fleet::demand::ServedShares;
use crate::fleet::demand::StreamDemand;
use crate::fleet::layer_path::CapacityLimits;
use crate::fleet::layer_path::Shortage;
use crate::fleet::retry_schedule::ReturnCapacity;
use crate::fleet::retry_schedule::StreamRetries;

/// The largest number of waiting streams. A gateway starts some tens of streams a second at
/// most, and each waits for less than a second.
const MAX_WAITING: usize = 64;

/// The part of the objective for which holding a stream never does harm.
const HARMLESS_SHARE: u32 = 8;

/// The time from the start of a stream to its first event before any was observed.
const INITIAL_FIRST_EVENT: Duration = Duration::from_millis(120);

/// The weight of a new sample in the mean and in the deviation of the time to the first event.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// The number of mean deviations that are added to the mean time to the first event, so that
/// about nine of ten streams are faster.
const DEVIATIONS: f64 = 2.0;

/// The rate of ended streams below which it does not show when capacity becomes free.
const MIN_RELEASES_PER_S: f64 = 0.5;

/// The smallest part of the released capacity that a rank expects to get beside the arrivals of
/// more urgent ranks.
const MIN_RELEASE_SHARE: f64 = 0.25;

/// The time after a stream lacked capacity for which accounts above their fair share leave some
/// free. Streams last for some seconds, so capacity stays scarce about as long.
const SCARCITY_TIME: Duration = Duration::from_secs(2);

/// The number of reserves that a stream leaves free which yields to those of all other ranks.
const YIELDED_RESERVES: f64 = 3.0;

/// What is added to the rank of streams that missed their objective before they arrived, so that
/// they are queued behind all that can still be served in time.
const OVERDUE_RANKS: u32 = 1_000;

/// What is added to the rank of streams of an account above its fair share, so that they are
/// queued behind those of all ranks of the other accounts.
const YIELDED_RANKS: u32 = 2_000;

/// The longest wait of a stream that missed its objective before it arrived. Its client leaves
/// after two seconds without an event.
const MAX_OVERDUE_WAIT: Duration = Duration::from_millis(1_200);

/// The time to the first event of streams, as observed.
#[derive(Clone, Copy, Debug)]
struct FirstEventTime {
    mean_s: f64,
    deviation_s: f64,
}

impl FirstEventTime {
    const fn new() -> Self {
        Self {
            mean_s: INITIAL_FIRST_EVENT.as_secs_f64(),
            deviation_s: 0.0,
        }
    }

    fn add(&mut self, sample: Duration) {
        let error_s = sample.as_secs_f64() - self.mean_s;
        self.mean_s += SAMPLE_WEIGHT * error_s;
        self.deviation_s += SAMPLE_WEIGHT * (error_s.abs() - self.deviation_s);
    }

    fn usual(self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}

/// A stream that asks for capacity.
#[derive(Clone, Debug)]
pub struct Applicant {
    /// The rank, where 0 is the most urgent.
    pub rank: u32,
    /// The account.
    pub account: AccountName,
    /// When the request was received.
    pub received_at: Instant,
    /// The time to the first event that the route wants.
    pub target: Duration,
    /// Whether the client has waited longer than that before, since it was rejected once.
    pub is_overdue: bool,
}

/// The place of a stream in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placed {
    /// Identifies the waiting stream.
    pub ticket: StreamTicket,
    /// The latest time at which the stream starts in time.
    pub start_by: Instant,
    /// The stream that lost its place to this one.
    pub evicted: Option<StreamTicket>,
    /// The time after which the stream is expected to start.
    pub expected_wait: Duration,
}

/// The reason why a stream without capacity does not wait, or no longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotAdmittedCause {
    /// It is not expected to start in time.
    ExpectedWait,
    /// It waited as long as it could be served in time.
    Expired,
    /// The queue is full, or the stream lost its place to a more urgent one.
    QueueFull,
}

impl NotAdmittedCause {
    /// Returns the name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ExpectedWait => "expected_wait",
            Self::Expired => "expired",
            Self::QueueFull => "queue_full",
        }
    }
}

impl fmt::Display for NotAdmittedCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A stream that gets no capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotAdmitted {
    /// Why it does not wait, or no longer.
    pub cause: NotAdmittedCause,
    /// The resource of which every path was short.
    pub shortage: Shortage,
    /// The time after which it would have been expected to start.
    pub expected_wait: Duration,
}

/// The admission of the streams of one service.
#[derive(Debug)]
pub struct StreamAdmission {
    demand: StreamDemand,
    queue: StreamQueue,
    weights: FairWeights,
    accounts: ServedShares<AccountName>,
    scarce_at: Option<Instant>,
    first_event: FirstEventTime,
    shortage: Shortage,
    retries: StreamRetries,
}

impl StreamAdmission {
    /// Creates the state of a gateway without streams.
    pub fn new(now: Instant) -> Self {
        Self {
            demand: StreamDemand::new(now),
            queue: StreamQueue::new(now),
            weights: FairWeights::new(),
            accounts: ServedShares::new(now),
            scarce_at: None,
            first_event: FirstEventTime::new(),
            shortage: Shortage::ContextMemory,
            retries: StreamRetries::new(),
        }
    }

    /// Records that a client asks for a stream.
    pub fn on_offered(&mut self, applicant: &Applicant, now: Instant) {
        self.demand.on_offered(applicant.rank, now);
        self.accounts.on_offered(&applicant.account, now);
    }

    /// Returns the limits of a path for a stream that was not sent, of a service whose stream
    /// routes have different ranks if it `is_ranked`.
    ///
    /// The most urgent rank may use everything; each other one leaves free what more urgent ranks
    /// ask for. While capacity is scarce, an account above its fair share also leaves free what
    /// the others ask for.
    pub fn limits(
        &mut self,
        applicant: &Applicant,
        is_ranked: bool,
        report_age: Duration,
        now: Instant,
    ) -> CapacityLimits {
        let (limits, mut headroom) = if is_ranked {
            let headroom = self.demand.headroom(applicant.rank, report_age, now);
            (CapacityLimits::MOST_URGENT, headroom)
        } else {
            (CapacityLimits::UNRANKED, 0.0)
        };
        if self.is_scarce(now) {
            let contested = self.demand.contested_share(report_age, now);
            headroom += if is_ranked {
                contested.min(self.demand.max_contested_share(applicant.rank))
            } else {
                contested
            };
            // A stream of a large account whose client was rejected before yields twice.
            let yields = [
                self.must_yield(&applicant.account, now),
                applicant.is_overdue,
            ];
            let yield_count = yields.into_iter().filter(|yields| *yields).count();
            let offered_per_s = self.accounts.offered_per_s(now);
            let reserve = self.demand.reserve(offered_per_s, report_age);
            headroom += yield_count as f64 * YIELDED_RESERVES * reserve;
        }
        limits.with_headroom(headroom.min(MAX_HEADROOM_SHARE))
    }

    /// Returns whether some stream lacked capacity recently.
    fn is_scarce(&self, now: Instant) -> bool {
        self.scarce_at
            .is_some_and(|at| now.saturating_duration_since(at) < SCARCITY_TIME)
    }

    /// Returns whether an account is above its fair share, and gets its minimum share.
    fn must_yield(&mut self, account: &AccountName, now: Instant) -> bool {
        self.weights.is_above_fair_share(now, account) && !self.accounts.is_starved(account, now)
    }

    /// Returns whether a new stream queues without a search for a path, since others that are
    /// served before it wait.
    pub fn must_wait(&mut self, applicant: &Applicant, now: Instant) -> bool {
        let rank = self.queue_rank(applicant, now);
        self.queue.has_ahead(rank)
    }

    /// Records the resource of which every path was short.
    pub fn note_shortage(&mut self, shortage: Shortage) {
        self.shortage = shortage;
    }

    /// Places a stream without capacity in the queue, unless it cannot be expected to start in
    /// time.
    pub fn enqueue(&mut self, applicant: &Applicant, now: Instant) -> Result<Placed, NotAdmitted> {
        self.scarce_at = Some(now);
        let rank = self.queue_rank(applicant, now);
        let weight = self.weights.weight(now, &applicant.account, 1);
        let ahead = self.queue.count_ahead(rank, &applicant.account, weight);
        let expected_wait = self.expected_wait(rank, ahead, now);
        let mut start_by = self.start_by(applicant);
        if now + expected_wait > start_by {
            start_by = applicant.received_at + applicant.target / HARMLESS_SHARE;
            if ahead > 0 || start_by <= now {
                return Err(self.not_admitted(NotAdmittedCause::ExpectedWait, expected_wait));
            }
        }
        let mut evicted = None;
        if self.queue.len() >= MAX_WAITING {
            evicted = self.queue.evict(rank);
            if evicted.is_none() {
                return Err(self.not_admitted(NotAdmittedCause::QueueFull, expected_wait));
            }
        }
        let ticket = self.queue.push(rank, &applicant.account, weight, start_by);
        Ok(Placed {
            ticket,
            start_by,
            evicted,
            expected_wait,
        })
    }

    /// Returns a rejection for the resource that was short at the last search.
    pub const fn not_admitted(
        &self,
        cause: NotAdmittedCause,
        expected_wait: Duration,
    ) -> NotAdmitted {
        NotAdmitted {
            cause,
            shortage: self.shortage,
            expected_wait,
        }
    }

    /// Returns whether a stream has its place in the queue.
    pub fn is_waiting(&self, ticket: StreamTicket) -> bool {
        self.queue.contains(ticket)
    }

    /// Returns the waiting stream that is served next.
    pub fn head(&self) -> Option<StreamTicket> {
        self.queue.head()
    }

    /// Removes a stream that no longer waits.
    pub fn leave(&mut self, ticket: StreamTicket) {
        self.queue.leave(ticket);
    }

    /// Records that a stream got capacity; `ticket` if it has waited, and `cost` as the service
    /// that its account receives.
    pub fn on_started(
        &mut self,
        applicant: &Applicant,
        ticket: Option<StreamTicket>,
        cost: u64,
        now: Instant,
    ) {
        let weight = self.weights.weight(now, &applicant.account, 1);
        let rank = self.queue_rank(applicant, now);
        if let Some(ticket) = ticket {
            self.queue.take(ticket, weight);
        } else {
            self.queue.charge(rank, &applicant.account, weight);
        }
        self.weights.on_served(now, &applicant.account, 1, cost);
        self.demand.on_started(applicant.rank, now);
        self.accounts.on_started(&applicant.account, now);
    }

    /// Records the time from the start of a stream to its first event.
    pub fn on_first_event(&mut self, time: Duration) {
        self.first_event.add(time);
    }

    /// Records that a stream that had got capacity has ended.
    pub fn on_ended(&mut self, now: Instant) {
        self.demand.on_ended(now);
    }

    /// Returns the time after which the client of a rejected stream should retry, at most
    /// `longest`; `None` if too few streams have ended to tell. `draw` is uniformly distributed
    /// from zero to one.
    pub fn next_retry_after(
        &mut self,
        applicant: &Applicant,
        longest: Duration,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        let released_per_s = self.demand.releases_per_s(now);
        let rank = self.queue_rank(applicant, now);
        let capacity = ReturnCapacity {
            released_per_s,
            offered_per_s: self.demand.more_urgent_per_s(rank.saturating_add(1), now),
        };
        (released_per_s >= MIN_RELEASES_PER_S).then(|| {
            self.retries
                .next_retry_after(rank, capacity, longest, draw, now)
        })
    }

    /// Returns the latest time at which a stream starts in time.
    fn start_by(&self, applicant: &Applicant) -> Instant {
        if applicant.is_overdue {
            return applicant.received_at + MAX_OVERDUE_WAIT;
        }
        let longest = applicant.target.saturating_sub(self.first_event.usual());
        applicant.received_at + longest.max(applicant.target / HARMLESS_SHARE)
    }

    /// Returns the time after which a stream is expected to start behind `ahead` others.
    fn expected_wait(&self, rank: u32, ahead: u64, now: Instant) -> Duration {
        let released = self.demand.releases_per_s(now);
        let left = released - self.demand.more_urgent_per_s(rank, now);
        let per_s = left.max(MIN_RELEASE_SHARE * released);
        let wait_s = (ahead + 1) as f64 / per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX / 4)
    }

    /// Returns the rank by which a stream is queued. Streams of a rank that is served far less
    /// than the others go first until that has changed.
    fn queue_rank(&mut self, applicant: &Applicant, now: Instant) -> u32 {
        let is_starved = self.demand.is_starved(applicant.rank, now);
        let mut rank = if is_starved { 0 } else { applicant.rank };
        if applicant.is_overdue {
            rank += OVERDUE_RANKS;
        }
        if self.is_scarce(now) && self.must_yield(&applicant.account, now) {
            rank + YIELDED_RANKS
        } else {
            rank
        }
    }
}
