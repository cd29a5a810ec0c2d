//! The admission of streams and calls at one upstream.

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::concurrency::ConcurrencyBound;
use super::concurrency::ConcurrencySettings;
use super::fair_queue::FairQueue;
use super::request::AdmissionRequest;
use super::request::Decision;
use super::request::Refusal;
use super::request::RefusalReason;
use super::request::Released;

/// The time over which the rate of finished work is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// The settings of admission at one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// How the bound on the work in flight is found.
    pub concurrency: ConcurrencySettings,
    /// The longest time that an account's work is made to wait.
    pub max_wait_ms: u64,
    /// The shortest time that a refused caller is told to stay away.
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

/// Work that waits.
#[derive(Debug)]
struct Waiting<I> {
    id: I,
    account: AccountName,
    cost: u64,
    deadline: Instant,
}

/// Work that was admitted.
#[derive(Debug)]
struct Admitted {
    account: AccountName,
    cost: u64,
}

/// Admits work at one upstream.
///
/// `next` is called after every other call that changes anything, so that no
/// room stays unused while work waits.
#[derive(Debug)]
pub struct Admission<I> {
    settings: AdmissionSettings,
    bound: ConcurrencyBound,
    queue: FairQueue<Waiting<I>>,
    in_flight: HashMap<I, Admitted>,
    is_draining: bool,
    cost_per_s: Option<f64>,
    window_start: Option<Instant>,
    window_cost: u64,
}

impl<I: Copy + Debug + Eq + Hash> Admission<I> {
    /// Creates an admission with nothing in flight.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            bound: ConcurrencyBound::new(settings.concurrency.clone()),
            settings,
            queue: FairQueue::new(),
            in_flight: HashMap::new(),
            is_draining: false,
            cost_per_s: None,
            window_start: None,
            window_cost: 0,
        }
    }

    /// Decides at once whether work starts, waits or is refused.
    ///
    /// A resumed stream starts even beyond the bound, since its caller already
    /// has part of the answer; new work then waits until the bound is kept again.
    pub fn offer(&mut self, now: Instant, request: AdmissionRequest<I>) -> Decision {
        if let Some(refusal) = self.refusal(now, &request) {
            return Decision::Refuse(refusal);
        }
        let is_idle = self.queue.len() == 0 && self.has_room();
        if is_idle || request.is_resumed {
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

    /// Releases the work that may start now, and that which came too late.
    pub fn next(&mut self, now: Instant) -> Released<I> {
        let mut released = Released {
            admitted: Vec::new(),
            refused: Vec::new(),
        };
        while self.has_room() {
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            if waiting.deadline <= now {
                released.refused.push((waiting.id, self.late_refusal()));
                continue;
            }
            self.start(waiting.id, waiting.account, waiting.cost);
            released.admitted.push(waiting.id);
        }
        released
    }

    /// Notes that admitted work has ended after `used_cost` of its cost.
    pub fn on_finished(&mut self, now: Instant, id: I, used_cost: u64) {
        let Some(admitted) = self.in_flight.remove(&id) else {
            return;
        };
        let unused = admitted.cost.saturating_sub(used_cost);
        self.queue.credit(&admitted.account, unused);
        self.note_finished_cost(now, admitted.cost);
    }

    /// Forgets work that its caller has given up, waiting or admitted.
    pub fn cancel(&mut self, _now: Instant, id: I) {
        if self.in_flight.remove(&id).is_none() {
            self.queue.remove_where(|waiting| waiting.id == id);
        }
    }

    /// Notes the response of one step of admitted work.
    pub fn on_response(&mut self, now: Instant, response: Duration) {
        let in_flight = self.in_flight.len();
        self.bound.on_response(now, response, in_flight);
    }

    /// Refuses all new work from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns the bound on the work in flight.
    pub fn bound(&self) -> usize {
        self.bound.get()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn has_room(&self) -> bool {
        self.in_flight.len() < self.bound.get()
    }

    fn start(&mut self, id: I, account: AccountName, cost: u64) {
        self.in_flight.insert(id, Admitted { account, cost });
    }

    /// Returns the refusal of work that may not even wait.
    fn refusal(&self, now: Instant, request: &AdmissionRequest<I>) -> Option<Refusal> {
        if self.is_draining {
            return Some(self.refuse(RefusalReason::Draining, Duration::ZERO));
        }
        if request.is_resumed {
            return None;
        }
        let wait = self.expected_wait(request);
        if now + wait >= request.deadline {
            return Some(self.refuse(RefusalReason::DeadlineUnreachable, wait));
        }
        let max_wait = Duration::from_millis(self.settings.max_wait_ms);
        if wait > max_wait {
            return Some(self.refuse(RefusalReason::QueueFull, wait.saturating_sub(max_wait)));
        }
        None
    }

    fn late_refusal(&self) -> Refusal {
        self.refuse(RefusalReason::DeadlineUnreachable, Duration::ZERO)
    }

    fn refuse(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Refusal {
            reason,
            retry_after_ms: wait_ms.max(self.settings.min_retry_after_ms),
        }
    }

    /// Returns the time after which the request is expected to start.
    fn expected_wait(&self, request: &AdmissionRequest<I>) -> Duration {
        if self.queue.len() == 0 && self.has_room() {
            return Duration::ZERO;
        }
        let Some(cost_per_s) = self.cost_per_s else {
            return Duration::ZERO;
        };
        let ahead = self.queue.cost_ahead(&request.account, request.weight);
        let wait_s = (ahead + request.cost) as f64 / cost_per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX / 4)
    }

    fn note_finished_cost(&mut self, now: Instant, cost: u64) {
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
