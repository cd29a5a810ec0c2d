//! State machine that watches the head in the key-value service.

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_types::id::Revision;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::dissemination::Action;
use crate::dissemination::CallId;
use crate::dissemination::DisseminationSettings;
use crate::shard::ChunkRef;

/// State of the watch.
#[derive(Clone, Debug)]
enum State {
    /// This member does not watch.
    Idle,
    /// The service holds a watch.
    Watching { call: CallId, deadline: Instant },
    /// The chunks of a new head are being read.
    Reading {
        call: CallId,
        head: KeyValueEntry,
        deadline: Instant,
    },
    /// A call has failed, and the next watch is delayed.
    BackingOff { until: Instant },
}

/// The watch of one member on the head.
///
/// A watch without an answer by its deadline is cancelled, so that the next one is sent over
/// another connection.
#[derive(Clone, Debug)]
pub struct HeadWatch {
    settings: DisseminationSettings,
    state: State,
    last_call: u64,
    seen_revision: Revision,
    failures: u32,
}

impl HeadWatch {
    /// Creates an idle watch.
    pub fn new(settings: DisseminationSettings) -> Self {
        Self {
            settings,
            state: State::Idle,
            last_call: 0,
            seen_revision: Revision::default(),
            failures: 0,
        }
    }

    /// Starts or stops watching.
    pub fn set_active(&mut self, is_active: bool, now: Instant, actions: &mut Vec<Action>) {
        match (&self.state, is_active) {
            (State::Idle, true) => self.watch(now, actions),
            (State::Idle, false) | (_, true) => {}
            (_, false) => {
                self.cancel(actions);
                self.state = State::Idle;
            }
        }
    }

    /// Handles the result of a watch; returns the head if it has changed.
    pub fn on_watch_ended(
        &mut self,
        call: CallId,
        result: Result<Option<KeyValueEntry>, PlatformError>,
        now: Instant,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<Action>,
    ) -> Option<KeyValueEntry> {
        let is_current =
            matches!(&self.state, State::Watching { call: current, .. } if *current == call);
        if !is_current {
            return None;
        }
        match result {
            Err(error) => {
                log::debug!("failed to watch the head: {error}");
                self.back_off(now, rng);
            }
            Ok(None) => {
                self.failures = 0;
                self.watch(now, actions);
            }
            Ok(Some(entry)) => return Some(entry),
        }
        None
    }

    /// Starts reading the missing chunks of a new head.
    pub fn read(
        &mut self,
        head: KeyValueEntry,
        chunks: Vec<ChunkRef>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let call = self.next_call();
        let deadline = now + self.settings.read_timeout;
        actions.push(Action::ReadChunks { call, chunks });
        self.state = State::Reading {
            call,
            head,
            deadline,
        };
    }

    /// Handles the end of a read; returns the head that was waiting for it.
    pub fn on_chunks_read(&mut self, call: CallId) -> Option<KeyValueEntry> {
        match &self.state {
            State::Reading {
                call: current,
                head,
                ..
            } if *current == call => Some(head.clone()),
            _ => None,
        }
    }

    /// Continues watching after a head has been handled.
    pub fn on_handled(&mut self, seen_revision: Revision, now: Instant, actions: &mut Vec<Action>) {
        self.seen_revision = seen_revision;
        self.failures = 0;
        self.watch(now, actions);
    }

    /// Delays the next watch after a call to the service has failed.
    pub fn back_off(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        let exponential = self.settings.min_backoff * 2_u32.pow(self.failures.min(8));
        let limited = exponential.min(self.settings.max_backoff);
        let pause = limited.mul_f64(rng.random_range(0.5..1.0));
        self.failures += 1;
        self.state = State::BackingOff { until: now + pause };
    }

    /// Cancels calls that are overdue and ends backoffs.
    pub fn on_wake(&mut self, now: Instant, rng: &mut ChaCha8Rng, actions: &mut Vec<Action>) {
        match self.wake_at() {
            Some(wake_at) if wake_at <= now => {}
            _ => return,
        }
        match self.state {
            State::Idle => {}
            State::BackingOff { .. } => self.watch(now, actions),
            State::Watching { .. } | State::Reading { .. } => {
                self.cancel(actions);
                self.back_off(now, rng);
            }
        }
    }

    /// Returns the time at which [`Self::on_wake`] is due; `None` while idle.
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.state {
            State::Idle => None,
            State::Watching { deadline, .. } | State::Reading { deadline, .. } => Some(*deadline),
            State::BackingOff { until } => Some(*until),
        }
    }

    fn watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let call = self.next_call();
        let wait = self.settings.watch_wait;
        actions.push(Action::Watch {
            call,
            after: self.seen_revision,
            wait,
        });
        let deadline = now + wait + self.settings.watch_grace;
        self.state = State::Watching { call, deadline };
    }

    fn cancel(&mut self, actions: &mut Vec<Action>) {
        match &self.state {
            State::Watching { call, .. } | State::Reading { call, .. } => {
                actions.push(Action::Cancel(*call));
            }
            State::Idle | State::BackingOff { .. } => {}
        }
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
