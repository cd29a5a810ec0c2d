//! The admission of streams: which capacity each may plan for, and the streams that wait for it.
//!
//! Decisions are those of [`StreamAdmission`]. Only the stream that is served next searches for a
//! path, so the cost does not grow with the number of waiting ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_routing::admission::Applicant;
use jujubewall_routing::admission::ClientPatience;
use jujubewall_routing::admission::NotAdmitted;
use jujubewall_routing::admission::NotAdmittedCause;
use jujubewall_routing::admission::StreamAdmission;
use jujubewall_routing::admission::StreamTicket;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::Shortage;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ServiceName;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// The longest time between two searches for a path of the stream that is served next. The fleet
/// releases capacity every few milliseconds; reports of it arrive less often.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// The shortest time between two such searches. One takes about 0.1 ms, and a gateway may have a
/// tenth of a core.
const MIN_SEARCH_SPACING: Duration = Duration::from_millis(10);

/// The account of requests that need no key.
const NO_ACCOUNT: &str = "-";

/// The streams of one service.
#[derive(Debug)]
struct ServiceStreams {
    admission: StreamAdmission,
    /// Wakes the waiting streams.
    wakers: HashMap<StreamTicket, Rc<Notify>>,
}

impl ServiceStreams {
    fn new(now: Instant) -> Self {
        Self {
            admission: StreamAdmission::new(now),
            wakers: HashMap::new(),
        }
    }

    fn wake_head(&self) {
        if let Some(head) = self.admission.head()
            && let Some(waker) = self.wakers.get(&head)
        {
            waker.notify_one();
        }
    }
}

/// The admission of streams to all services.
#[derive(Debug, Default)]
pub struct StreamAdmissions {
    services: RefCell<HashMap<ServiceName, ServiceStreams>>,
    patience: RefCell<ClientPatience>,
}

impl StreamAdmissions {
    /// Creates the state of a gateway without streams.
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// Records that a client asks for a stream of a service, whose stream routes have different
    /// ranks if it `is_ranked`.
    pub fn offer(
        self: &Rc<Self>,
        service: &ServiceName,
        applicant: Applicant,
        is_ranked: bool,
    ) -> AdmittedStream {
        let admissions = Rc::clone(self);
        admissions.update(service, |streams, now| {
            streams.admission.on_offered(&applicant, now);
        });
        AdmittedStream {
            admissions,
            service: service.clone(),
            applicant,
            is_ranked,
            started_at: None,
            place: None,
            searched_at: None,
        }
    }

    /// Returns the limits of a path for a stream that is not counted.
    pub fn limits(
        &self,
        service: &ServiceName,
        applicant: &Applicant,
        is_ranked: bool,
        report_age: Duration,
    ) -> CapacityLimits {
        self.update(service, |streams, now| {
            let admission = &mut streams.admission;
            admission.limits(applicant, is_ranked, report_age, now)
        })
    }

    /// Returns whether a client that will wait for `patience` has already waited longer than
    /// `target`.
    pub fn is_overdue(
        &self,
        route: &SmolStr,
        patience: Option<Duration>,
        target: Duration,
    ) -> bool {
        patience.is_some_and(|patience| {
            let mut known = self.patience.borrow_mut();
            known.is_overdue(route, patience, target, Instant::now())
        })
    }

    /// Makes the streams that are served next search for a path again, since capacity may have
    /// become free.
    pub fn wake(&self) {
        for streams in self.services.borrow().values() {
            streams.wake_head();
        }
    }

    fn update<T>(
        &self,
        service: &ServiceName,
        apply: impl FnOnce(&mut ServiceStreams, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut services = self.services.borrow_mut();
        if let Some(streams) = services.get_mut(service) {
            return apply(streams, now);
        }
        let streams = services
            .entry(service.clone())
            .or_insert_with(|| ServiceStreams::new(now));
        apply(streams, now)
    }
}

/// Returns the account under which the streams of a request are queued.
pub fn queue_account(account: &str) -> AccountName {
    AccountName::new(account)
        .or_else(|_| AccountName::new(NO_ACCOUNT))
        .expect("the constant is a name")
}

/// The place of a stream in the queue.
#[derive(Debug)]
struct Place {
    ticket: StreamTicket,
    start_by: Instant,
    since: Instant,
    expected_wait: Duration,
    waker: Rc<Notify>,
}

/// One stream, which is counted, and waits if it has to, until this is dropped.
#[derive(Debug)]
pub struct AdmittedStream {
    admissions: Rc<StreamAdmissions>,
    service: ServiceName,
    applicant: Applicant,
    is_ranked: bool,
    started_at: Option<Instant>,
    place: Option<Place>,
    /// When the stream last searched for a path.
    searched_at: Option<Instant>,
}

impl AdmittedStream {
    /// Records that the stream has a path, and the tokens of context that it takes. Returns how
    /// long it waited, if it did, the first time.
    pub fn start(&mut self, context_tokens: f64) -> Option<Duration> {
        if self.started_at.is_some() {
            return None;
        }
        self.started_at = Some(Instant::now());
        let place = self.place.take();
        let ticket = place.as_ref().map(|place| place.ticket);
        // A stream takes at least one token, and at most some millions.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let cost = context_tokens.max(1.0) as u64;
        self.update(|streams, now| {
            let admission = &mut streams.admission;
            admission.on_started(&self.applicant, ticket, cost, now);
            if let Some(ticket) = ticket {
                streams.wakers.remove(&ticket);
                streams.wake_head();
            }
        });
        place.map(|place| place.since.elapsed())
    }

    /// Records that the first event of the stream has arrived.
    pub fn on_first_event(&self) {
        if let Some(started_at) = self.started_at {
            let time = started_at.elapsed();
            self.update(|streams, _| streams.admission.on_first_event(time));
        }
    }

    /// Returns the limits of a path for the stream before it was sent.
    pub fn limits(&self, report_age: Duration) -> CapacityLimits {
        self.update(|streams, now| {
            let admission = &mut streams.admission;
            admission.limits(&self.applicant, self.is_ranked, report_age, now)
        })
    }

    /// Returns the limits of a path for the stream after it has lost one.
    pub const fn moved_limits(&self) -> CapacityLimits {
        if self.is_ranked {
            CapacityLimits::MOST_URGENT
        } else {
            CapacityLimits::UNRANKED
        }
    }

    /// Returns whether the stream has to wait without a search for a path, since others that are
    /// served before it wait.
    pub fn must_wait(&self) -> bool {
        self.place.is_none()
            && self.update(|streams, now| streams.admission.must_wait(&self.applicant, now))
    }

    /// Waits until the stream may search for a path again, after a search that found every path
    /// short of `shortage`, if there was one.
    pub async fn wait_for_turn(&mut self, shortage: Option<Shortage>) -> Result<(), NotAdmitted> {
        if let Some(shortage) = shortage {
            self.searched_at = Some(Instant::now());
            self.update(|streams, _| streams.admission.note_shortage(shortage));
        }
        if self.place.is_none() {
            self.enqueue()?;
        }
        let Some(Place {
            ticket,
            start_by,
            expected_wait,
            ref waker,
            ..
        }) = self.place
        else {
            return Ok(());
        };
        let waker = Rc::clone(waker);
        let mut is_woken = false;
        loop {
            let now = Instant::now();
            let (is_waiting, is_head) = self.update(|streams, _| {
                let admission = &streams.admission;
                let is_head = admission.head() == Some(ticket);
                (admission.is_waiting(ticket), is_head)
            });
            let lost_by = if !is_waiting {
                Some(NotAdmittedCause::QueueFull)
            } else if now >= start_by {
                Some(NotAdmittedCause::Expired)
            } else {
                None
            };
            if let Some(cause) = lost_by {
                return Err(
                    self.update(|streams, _| streams.admission.not_admitted(cause, expected_wait))
                );
            }
            let spacing = if is_woken {
                MIN_SEARCH_SPACING
            } else {
                SEARCH_INTERVAL
            };
            let search_at = self.searched_at.map_or(now, |at| at + spacing);
            if is_head && search_at <= now {
                self.searched_at = Some(now);
                return Ok(());
            }
            let until = if is_head {
                search_at.min(start_by)
            } else {
                start_by
            };
            tokio::select! {
                () = waker.notified() => is_woken = true,
                () = sleep_until(until) => {}
            }
        }
    }

    /// Returns how long the stream has waited.
    pub fn waited(&self) -> Duration {
        let place = self.place.as_ref();
        place.map_or(Duration::ZERO, |place| place.since.elapsed())
    }

    /// Returns whether the stream has got a path.
    pub const fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the time after which the client of the rejected stream should retry; `None` if too
    /// few streams have ended to tell. `draw` is uniformly distributed from zero to one.
    pub fn next_retry_after(&self, longest: Duration, draw: f64) -> Option<Duration> {
        self.update(|streams, now| {
            let admission = &mut streams.admission;
            admission.next_retry_after(&self.applicant, longest, draw, now)
        })
    }

    fn enqueue(&mut self) -> Result<(), NotAdmitted> {
        let waker = Rc::new(Notify::new());
        let placed = self.update(|streams, now| {
            let placed = streams.admission.enqueue(&self.applicant, now)?;
            if let Some(evicted) = placed.evicted
                && let Some(waker) = streams.wakers.remove(&evicted)
            {
                waker.notify_one();
            }
            streams.wakers.insert(placed.ticket, Rc::clone(&waker));
            Ok(placed)
        })?;
        self.place = Some(Place {
            ticket: placed.ticket,
            start_by: placed.start_by,
            since: Instant::now(),
            expected_wait: placed.expected_wait,
            waker,
        });
        Ok(())
    }

    fn update<T>(&self, apply: impl FnOnce(&mut ServiceStreams, Instant) -> T) -> T {
        self.admissions.update(&self.service, apply)
    }
}

impl Drop for AdmittedStream {
    fn drop(&mut self) {
        let ticket = self.place.take().map(|place| place.ticket);
        let has_started = self.has_started();
        self.update(|streams, now| {
            if let Some(ticket) = ticket {
                streams.admission.leave(ticket);
                streams.wakers.remove(&ticket);
            }
            if has_started {
                streams.admission.on_ended(now);
            }
            streams.wake_head();
        });
    }
}
