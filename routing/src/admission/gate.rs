//! Admission control for streams and calls at one upstream.

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::concurrency::ConcurrencyLimit;
use super::concurrency::ConcurrencySettings;
use super::fair_queue::FairQueue;
use super::request::AdmissionRequest;
use super::request::Decision;
use super::request::Refusal;
use super::request::RefusalReason;
use super::request::Released;

/// The time over which the rate of finished work is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// The settings of admission control at one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// The settings of the limit on the work in flight.
    pub concurrency: ConcurrencySettings,
    /// The longest expected wait at which work is still queued.
    pub max_wait_ms: u64,
    /// The shortest retry delay that is reported to a rejected caller.
    pub min_retry_after_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            concurrency: ConcurrencySettings::default(),
            max_wait_ms: 300,
            min_retry_after_ms: 50,
        }
    }
}

/// Work that waits in the queue.
#[derive(Debug)]
struct Waiting<I> {
    id: I,
    account: AccountName,
    cost: u64,
    deadline: Instant,
}

/// Work that was admitted and has not ended.
#[derive(Debug)]
struct Admitted {
    account: AccountName,
    cost: u64,
}

/// Controls the admission of work at one upstream.
///
/// Call [`Self::release_waiting`] after every other call that changes the state,
/// so that no capacity stays unused while work waits.
#[derive(Debug)]
pub struct AdmissionController<I> {
    settings: AdmissionSettings,
    concurrency_limit: ConcurrencyLimit,
    queue: FairQueue<Waiting<I>>,
    in_flight: HashMap<I, Admitted>,
    is_draining: bool,
    /// The smoothed rate of finished work, once one window has passed.
    cost_per_s: Option<f64>,
    window_start: Option<Instant>,
    /// The cost of the work finished in the current window.
    window_cost: u64,
}

impl<I: Copy + Debug + Eq + Hash> AdmissionController<I> {
    /// Creates an admission controller with nothing in flight.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            concurrency_limit: ConcurrencyLimit::new(settings.concurrency.clone()),
            settings,
            queue: FairQueue::new(),
            in_flight: HashMap::new(),
            is_draining: false,
            cost_per_s: None,
            window_start: None,
            window_cost: 0,
        }
    }

    /// Decides whether work starts, waits or is rejected.
    ///
    /// A resumed stream starts even beyond the concurrency limit, because its
    /// caller already has part of the response. New work then waits until the work
    /// in flight is below the limit again.
    pub fn offer(&mut self, now: Instant, request: AdmissionRequest<I>) -> Decision {
        if let Some(refusal) = self.check_refusal(now, &request) {
            return Decision::Refuse(refusal);
        }
        let can_start = self.queue.len() == 0 && self.has_capacity();
        if can_start || request.is_resumed {
            let AdmissionRequest {
                id,
                account,
                weight,
                cost,
                ..
            } = request;
            self.queue.charge(&account, weight, cost);
            self.start(id, account, cost);
            return Decision::Admit;
        }
        let waiting = Waiting {
            id: request.id,
            account: request.account.clone(),
            cost: request.cost,
            deadline: request.deadline,
        };
        self.queue.push(
            &request.account,
            request.weight,
            request.priority,
            request.cost,
            waiting,
        );
        Decision::Queue
    }

    /// Removes from the queue the work that may start now.
    ///
    /// Work whose deadline has passed when its turn comes is rejected instead.
    pub fn release_waiting(&mut self, now: Instant) -> Released<I> {
        let mut released = Released {
            admitted: Vec::new(),
            refused: Vec::new(),
        };
        while self.has_capacity() {
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            if waiting.deadline <= now {
                released.refused.push((waiting.id, self.deadline_refusal()));
                continue;
            }
            self.start(waiting.id, waiting.account, waiting.cost);
            released.admitted.push(waiting.id);
        }
        released
    }

    /// Records that admitted work has ended after using `used_cost` of its cost.
    ///
    /// The unused cost is refunded to the account.
    pub fn on_finished(&mut self, now: Instant, id: I, used_cost: u64) {
        let Some(admitted) = self.in_flight.remove(&id) else {
            return;
        };
        let unused = admitted.cost.saturating_sub(used_cost);
        self.queue.credit(&admitted.account, unused);
        self.record_finished_cost(now, admitted.cost);
    }

    /// Removes waiting or admitted work that its caller has cancelled.
    pub fn cancel(&mut self, _now: Instant, id: I) {
        if self.in_flight.remove(&id).is_none() {
            self.queue.remove_where(|waiting| waiting.id == id);
        }
    }

    /// Records the response time of one step of admitted work.
    pub fn on_response(&mut self, now: Instant, response: Duration) {
        let in_flight = self.in_flight.len();
        self.concurrency_limit.on_response(now, response, in_flight);
    }

    /// Rejects all new work from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns the limit on the work in flight.
    pub fn concurrency_limit(&self) -> usize {
        self.concurrency_limit.get()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn has_capacity(&self) -> bool {
        self.in_flight.len() < self.concurrency_limit.get()
    }

    fn start(&mut self, id: I, account: AccountName, cost: u64) {
        self.in_flight.insert(id, Admitted { account, cost });
    }

    /// Returns the rejection of work that may neither start nor wait, if any.
    fn check_refusal(&self, now: Instant, request: &AdmissionRequest<I>) -> Option<Refusal> {
        if self.is_draining {
            return Some(self.new_refusal(RefusalReason::Draining, Duration::ZERO));
        }
        if request.is_resumed {
            return None;
        }
        let wait = self.expected_wait(request);
        if now + wait >= request.deadline {
            return Some(self.new_refusal(RefusalReason::DeadlineUnreachable, wait));
        }
        let max_wait = Duration::from_millis(self.settings.max_wait_ms);
        if wait > max_wait {
            return Some(self.new_refusal(RefusalReason::QueueFull, wait.saturating_sub(max_wait)));
        }
        None
    }

    fn deadline_refusal(&self) -> Refusal {
        self.new_refusal(RefusalReason::DeadlineUnreachable, Duration::ZERO)
    }

    fn new_refusal(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Refusal {
            reason,
            retry_after_ms: wait_ms.max(self.settings.min_retry_after_ms),
        }
    }

    /// Returns the time after which the request is expected to start.
    fn expected_wait(&self, request: &AdmissionRequest<I>) -> Duration {
        if self.queue.len() == 0 && self.has_capacity() {
            return Duration::ZERO;
        }
        let Some(cost_per_s) = self.cost_per_s else {
            return Duration::ZERO;
        };
        let ahead = self.queue.cost_ahead(&request.account, request.weight);
        let wait_s = (ahead + request.cost) as f64 / cost_per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX / 4)
    }

    fn record_finished_cost(&mut self, now: Instant, cost: u64) {
        let start = *self.window_start.get_or_insert(now);
        self.window_cost += cost;
        let elapsed = now - start;
        if elapsed < RATE_WINDOW {
            return;
        }
        let rate = self.window_cost as f64 / elapsed.as_secs_f64();
        self.cost_per_s = Some(
            self.cost_per_s
                .map_or(rate, |known| f64::midpoint(known, rate)),
        );
        self.window_start = Some(now);
        self.window_cost = 0;
    }
}
