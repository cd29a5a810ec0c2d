//! Runners that crash and start again under a new identifier.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::site_runner::SiteRunners;

/// The time from the start of a run to the crash that it causes, unless the test sets another.
const DEFAULT_CRASH_DELAY: Duration = Duration::from_millis(60);

/// The time for which the entry of a crashed runner stays, unless it starts again before.
const DEFAULT_ENTRY_STAY: Duration = Duration::from_secs(1);

/// The time after which a crashed runner starts again, unless the test sets another.
const DEFAULT_RESTART_DELAY: Duration = Duration::from_secs(1);

/// A request that crashes each runner that begins to run it, whatever its other headers are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FatalRequest {
    /// The path and the query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

impl FatalRequest {
    fn is(&self, path: &str, body: &Bytes) -> bool {
        self.path == path && self.body == *body
    }
}

/// A crash of a runner.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The identifier that the runner had.
    pub id: String,
    /// When it crashed.
    pub at: Instant,
    /// The attempt that made it crash, if a fatal request did.
    pub attempt: Option<FatalAttempt>,
}

/// An attempt of a fatal request.
#[derive(Clone, Debug)]
pub struct FatalAttempt {
    /// The request.
    pub request: FatalRequest,
    /// The identifier of the attempt.
    pub id: String,
}

/// What makes runners crash, and the crashes so far.
pub(super) struct CrashState {
    fatal_part: Option<String>,
    fatal_requests: Vec<FatalRequest>,
    delay: Duration,
    breaks_first: bool,
    entry_stay: Duration,
    restart_delay: Duration,
    crashes: Vec<Crash>,
    ended: Vec<String>,
}

impl Default for CrashState {
    fn default() -> Self {
        Self {
            fatal_part: None,
            fatal_requests: Vec::new(),
            delay: DEFAULT_CRASH_DELAY,
            breaks_first: false,
            entry_stay: DEFAULT_ENTRY_STAY,
            restart_delay: DEFAULT_RESTART_DELAY,
            crashes: Vec::new(),
            ended: Vec::new(),
        }
    }
}

impl CrashState {
    /// Returns whether a runner that begins to answer the prompt crashes.
    pub(super) fn is_fatal(&self, prompt: &str) -> bool {
        let fatal = self.fatal_part.as_deref();
        fatal.is_some_and(|fatal| has_shared_part(prompt, fatal))
    }

    /// Returns the fatal request with the path and the body, if there is one.
    pub(super) fn fatal_request(&self, path: &str, body: &Bytes) -> Option<FatalRequest> {
        let mut fatal = self.fatal_requests.iter();
        fatal.find(|fatal| fatal.is(path, body)).cloned()
    }

    /// Returns whether the connections of fatal calls break when they begin to run.
    pub(super) fn breaks_first(&self) -> bool {
        self.breaks_first
    }

    /// Returns the time from the start of a run to the crash that it causes.
    pub(super) fn delay(&self) -> Duration {
        self.delay
    }
}

/// Returns whether a prompt holds a part other than the request's own, which is the last.
fn has_shared_part(prompt: &str, part: &str) -> bool {
    let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
    let mut ids = shared
        .split(',')
        .filter_map(|entry| entry.split(':').next());
    ids.any(|id| id.trim() == part)
}

impl SiteRunners {
    /// Lets each runner crash that begins to answer a prompt with the part, unless it is the
    /// prompt's last one.
    pub fn crash_on_part(&self, part: &str) {
        self.state().crash.fatal_part = Some(part.to_owned());
    }

    /// Lets each runner crash that begins to run the request, be it a stream or a call. A call
    /// is not answered; the events of a stream arrive until the crash.
    pub fn crash_on_request(&self, request: FatalRequest) {
        self.state().crash.fatal_requests.push(request);
    }

    /// Sets the time from the start of a run to the crash that it causes.
    pub fn set_crash_delay(&self, delay: Duration) {
        self.state().crash.delay = delay;
    }

    /// Lets the connection of each fatal call break when it begins to run, while the runner
    /// accepts connections until it crashes.
    pub fn break_before_crash(&self) {
        self.state().crash.breaks_first = true;
    }

    /// Sets the time for which the entry of a crashed runner stays, unless it starts again
    /// before.
    pub fn set_entry_stay(&self, stay: Duration) {
        self.state().crash.entry_stay = stay;
    }

    /// Sets the time after which a crashed runner starts again.
    pub fn set_restart_delay(&self, delay: Duration) {
        self.state().crash.restart_delay = delay;
    }

    /// Returns the crashes so far, in order.
    pub fn crashes(&self) -> Vec<Crash> {
        self.state().crash.crashes.clone()
    }

    /// Returns the crashes that a request caused, in order: the identifiers of the attempts
    /// and the times.
    pub fn crashes_by(&self, request: &FatalRequest) -> Vec<(String, Instant)> {
        let state = self.state();
        let crashes = state.crash.crashes.iter();
        let caused = crashes.filter_map(|crash| Some((crash.attempt.as_ref()?, crash.at)));
        let caused = caused.filter(|(attempt, _)| attempt.request == *request);
        caused
            .map(|(attempt, at)| (attempt.id.clone(), at))
            .collect()
    }

    /// Returns the sends of a request that reached runners, also if they refused it, in order:
    /// the identifiers of the attempts and the times.
    pub fn reached_by(&self, request: &FatalRequest) -> Vec<(String, Instant)> {
        let state = self.state();
        let arrived = state.arrived.iter();
        let arrived = arrived.filter(|arrival| request.is(&arrival.path, &arrival.body));
        arrived
            .map(|arrival| (arrival.id.clone(), arrival.at))
            .collect()
    }

    /// Returns the requests that began to run and whose prompt holds the part, unless as its
    /// last one: their identifiers and the times.
    pub fn ran_with_part(&self, part: &str) -> Vec<(String, Instant)> {
        let state = self.state();
        let with_part = state.ran.iter().filter(|ran| {
            let prompt = ran.headers.get("prompt-prefix");
            let prompt = prompt.and_then(|prompt| prompt.to_str().ok());
            prompt.is_some_and(|prompt| has_shared_part(prompt, part))
        });
        with_part.map(|ran| (ran.id.clone(), ran.at)).collect()
    }

    /// Returns the identifiers of the running runners of a service.
    pub fn running(&self, service: &str) -> Vec<String> {
        let state = self.state();
        let runners = state.runners.iter();
        let of_service = runners.filter(|(_, runner)| runner.kind.service == service);
        of_service.map(|(id, _)| id.clone()).collect()
    }

    /// Ends a runner with its connections. It starts again at the same address later, with
    /// a new identifier and without layers.
    ///
    /// # Panics
    ///
    /// The later start panics if the address is taken meanwhile.
    pub fn crash(self: &Arc<Self>, id: &str) {
        self.crash_for(id, None);
    }

    fn crash_for(self: &Arc<Self>, id: &str, attempt: Option<FatalAttempt>) {
        let (lost, count, entry_stay, restart_delay) = {
            let mut state = self.state();
            let Some(lost) = state.runners.remove(id) else {
                return;
            };
            state.crash.crashes.push(Crash {
                id: id.to_owned(),
                at: Instant::now(),
                attempt,
            });
            if let Some(task) = &lost.task {
                task.abort();
            }
            let crash = &state.crash;
            (
                lost,
                crash.crashes.len(),
                crash.entry_stay,
                crash.restart_delay,
            )
        };
        let fleet = Arc::clone(self);
        let id = id.to_owned();
        tokio::spawn(async move {
            sleep(entry_stay.min(restart_delay)).await;
            fleet.remove_entry(&id);
            sleep(restart_delay.saturating_sub(entry_stay)).await;
            if fleet.state().crash.ended.contains(&lost.first_id) {
                return;
            }
            let listener = TcpListener::bind(lost.address).await;
            let listener = listener.expect("the address of a crashed runner is free");
            let new_id = format!("{}-r{count}", lost.first_id);
            fleet.start_at(&new_id, &lost.first_id, lost.kind, listener, lost.address);
        });
    }

    pub(super) fn crash_soon(
        self: &Arc<Self>,
        id: &str,
        attempt: Option<FatalAttempt>,
        delay: Duration,
    ) {
        let fleet = Arc::clone(self);
        let id = id.to_owned();
        tokio::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            fleet.crash_for(&id, attempt);
        });
    }

    /// Ends a runner, also one that has started again since.
    pub(super) fn end_for_good(&self, first_id: &str) {
        let mut state = self.state();
        state.crash.ended.push(first_id.to_owned());
        state.runners.retain(|_, runner| {
            let stays = runner.first_id != first_id;
            if !stays && let Some(task) = &runner.task {
                task.abort();
            }
            stays
        });
    }
}
