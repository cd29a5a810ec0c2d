//! Observes single runs: whether the upstream crashes on a run, or the run succeeds.
//!
//! A run that is abandoned while it is young, mostly because its client has left, is observed
//! further: the upstream may crash on it although nobody waits for the answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_platform::site::headers::PromptPartKeys;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::poison_parts::CrashId;
use jujubewall_routing::fleet::poison_parts::YOUNG_TIME;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::RequestDigest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::gateway::poison;
use crate::gateway::probe;
use crate::gateway::state::Gateway;
use crate::gateway::upstream_socket::SocketTakeover;

/// The times between probes after a connection broke, within which the upstream must be found
/// to have ended: other faults break connections of upstreams that live on, and one that
/// crashes may accept connections for a moment more.
const CONFIRMATION_PAUSES: [Duration; 4] = [
    Duration::from_millis(30),
    Duration::from_millis(70),
    Duration::from_millis(200),
    Duration::from_millis(700),
];

/// The interval between checks whether an upstream has ended.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time for which a request waits to learn whether an upstream has ended before it is
/// sent to a third one: two attempts to connect.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(60);

/// The number of crashed upstreams after which a request is not sent again.
const MAX_CRASHED_UPSTREAMS: usize = 2;

/// The time for which the connection of an abandoned run is still read, after its sending side
/// was closed. Upstreams must see it closed within 500 ms after the client has left.
const ABANDONED_READ_TIME: Duration = Duration::from_millis(400);

/// The time after which an abandoned run is no longer observed, if its upstream has not closed
/// the connection. Upstreams that ignore the close finish their calls within this time.
const ABANDONED_WATCH_TIME: Duration = Duration::from_secs(3);

/// The time for which the upstream of an abandoned run is probed after it has closed the
/// connection, as long as after other breaks: sound ones close it too, when their client leaves.
const CLOSED_WATCH_TIME: Duration = Duration::from_secs(1);

/// The interval between probes of the upstream of an abandoned run, so that several fall into
/// [`CLOSED_WATCH_TIME`].
const ABANDONED_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The number of abandoned runs that are observed at the same time. Each holds a descriptor for
/// up to [`ABANDONED_READ_TIME`], of about a thousand that are reserved for upstreams.
const MAX_ABANDONED_WATCHES: usize = 256;

/// The size in bytes of the buffer into which the rest of an abandoned answer is read.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// The size in bytes of an abandoned answer's rest from which the connection is closed early, so
/// that upstreams which ignore the close use no more of the link.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// What may crash the upstreams that run a request.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// The request itself.
    pub request: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: PromptPartKeys,
}

/// What is observed of one run.
pub struct CrashWatch {
    gateway: Rc<Gateway>,
    suspects: Suspects,
    /// The upstream that the run was sent to.
    upstream: InstanceKey,
    crash: Option<CrashId>,
    started_at: Instant,
    first_event_at: Option<Instant>,
    has_succeeded: bool,
    /// The connection that the run was sent on, while its end is not known.
    sent_on: RefCell<Option<SocketTakeover>>,
}

impl Drop for CrashWatch {
    fn drop(&mut self) {
        let Some(sent_on) = self.sent_on.take() else {
            return;
        };
        if !self.is_young() {
            return;
        }
        let (Some(crash), Some(count)) = (self.crash, CountedWatch::new(&self.gateway)) else {
            self.gateway.metrics.count("abandoned_run_unwatched");
            return;
        };
        let run = AbandonedRun {
            gateway: Rc::clone(&self.gateway),
            suspects: self.suspects.clone(),
            upstream: self.upstream,
            crash,
            young_until: self.first_event_at.map(|at| at + YOUNG_TIME),
            _count: count,
        };
        self.gateway.metrics.count("abandoned_run_watched");
        spawn_local(run.watch(sent_on.request()));
    }
}

impl CrashWatch {
    /// Starts to observe a run that is sent to `upstream`.
    pub fn new(gateway: &Rc<Gateway>, suspects: Suspects, upstream: InstanceKey) -> Self {
        let crash = gateway
            .instances()
            .get(upstream)
            .map(|tracked| CrashId::of_instance(tracked.digest()));
        Self {
            gateway: Rc::clone(gateway),
            suspects,
            upstream,
            crash,
            started_at: Instant::now(),
            first_event_at: None,
            has_succeeded: false,
            sent_on: RefCell::new(None),
        }
    }

    /// Records that the run is sent on a connection.
    pub fn on_send(&self, connection: SocketTakeover) {
        self.sent_on.replace(Some(connection));
    }

    /// Records that the run has ended, or was not sent, so that the upstream works on it no
    /// longer.
    pub fn on_run_over(&self) {
        self.sent_on.take();
    }

    /// Returns whether a crash of the upstream may be due to this run.
    pub fn is_young(&self) -> bool {
        let first_event_at = self.first_event_at;
        !self.has_succeeded && first_event_at.is_none_or(|at| at.elapsed() < YOUNG_TIME)
    }

    /// Returns whether another run of the request would be rejected.
    pub fn is_quarantined(&self) -> bool {
        poison::quarantine(&self.gateway, &self.suspects).is_some()
    }

    /// Records that events have arrived.
    pub fn on_events(&mut self) {
        self.first_event_at.get_or_insert_with(Instant::now);
        if !self.has_succeeded && !self.is_young() {
            self.on_success();
        }
    }

    /// Records that the upstream has answered completely.
    pub fn on_answer(&mut self) {
        if !self.has_succeeded {
            self.on_success();
        }
    }

    /// Records that the stream is complete. The engine may still crash on a young run.
    pub fn on_end(&mut self) {
        self.on_run_over();
        let Some(first_event_at) = self.first_event_at else {
            return;
        };
        if std::mem::replace(&mut self.has_succeeded, true) {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let suspects = self.suspects.clone();
        let (upstream, started_at) = (self.upstream, self.started_at);
        let young_until = first_event_at + YOUNG_TIME;
        spawn_local(async move {
            sleep_until(young_until).await;
            if !has_ended(&gateway, upstream) {
                poison::on_success(&gateway, &suspects, started_at);
            }
        });
    }

    fn on_success(&mut self) {
        self.has_succeeded = true;
        poison::on_success(&self.gateway, &self.suspects, self.started_at);
    }

    /// Records that the connection broke. If the upstream turns out to have ended, the
    /// suspects of a young run are implicated in its crash.
    pub fn on_connection_lost(&self) {
        self.on_run_over();
        if !self.is_young() || is_leaving(&self.gateway, self.upstream) {
            return;
        }
        let Some(crash) = self.crash else {
            return;
        };
        let gateway = Rc::clone(&self.gateway);
        let suspects = self.suspects.clone();
        let upstream = self.upstream;
        let broken_at = Instant::now();
        spawn_local(async move {
            if confirm_end(&gateway, upstream).await {
                poison::on_crash(&gateway, upstream, crash, &suspects, broken_at);
            } else {
                gateway.metrics.count("part_cleared_by_probe");
            }
        });
    }
}

/// Counts a watch of an abandoned run until it is dropped.
struct CountedWatch(Rc<Cell<usize>>);

impl CountedWatch {
    /// Counts a watch, unless there are too many.
    fn new(gateway: &Gateway) -> Option<Self> {
        let count = &gateway.poison.abandoned_watches;
        if count.get() >= MAX_ABANDONED_WATCHES {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(Rc::clone(count)))
    }
}

impl Drop for CountedWatch {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A young run of which nobody awaits the answer any longer.
struct AbandonedRun {
    gateway: Rc<Gateway>,
    suspects: Suspects,
    upstream: InstanceKey,
    crash: CrashId,
    /// When the run is no longer young; `None` if no event has arrived.
    young_until: Option<Instant>,
    _count: CountedWatch,
}

impl AbandonedRun {
    /// Watches the connection and then the upstream. If the upstream turns out to have ended,
    /// the suspects are implicated in its crash.
    async fn watch(self, socket: oneshot::Receiver<TcpStream>) {
        let begun_at = Instant::now();
        let until = begun_at + ABANDONED_WATCH_TIME;
        let until = self.young_until.unwrap_or(until).min(until);
        let read_until = until.min(begun_at + ABANDONED_READ_TIME);
        let is_closed = timeout_at(read_until, wait_for_close(socket))
            .await
            .unwrap_or(false);
        let closed_at = Instant::now();
        let until = if is_closed {
            closed_at + CLOSED_WATCH_TIME
        } else {
            until
        };
        if !self.refuses_until(until).await || is_leaving(&self.gateway, self.upstream) {
            self.gateway.metrics.count("abandoned_run_cleared");
            return;
        }
        let crashed_at = if is_closed { closed_at } else { Instant::now() };
        poison::on_crash(
            &self.gateway,
            self.upstream,
            self.crash,
            &self.suspects,
            crashed_at,
        );
    }

    /// Probes the upstream until it is found to refuse connections; returns whether it was in
    /// time.
    async fn refuses_until(&self, until: Instant) -> bool {
        while Instant::now() < until {
            probe::probe_again(&self.gateway, self.upstream);
            let next_probe_at = until.min(Instant::now() + ABANDONED_PROBE_INTERVAL);
            while Instant::now() < next_probe_at {
                if refuses(&self.gateway, self.upstream) {
                    return true;
                }
                sleep(CONFIRMATION_POLL_INTERVAL).await;
            }
        }
        false
    }
}

/// Closes the sending side of an abandoned run's connection, which tells the upstream to stop
/// its work, and waits until the upstream closes its side as well; returns whether it did.
async fn wait_for_close(socket: oneshot::Receiver<TcpStream>) -> bool {
    let Ok(mut socket) = socket.await else {
        // The connection was closed before.
        return true;
    };
    if socket.shutdown().await.is_err() {
        return true;
    }
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES {
        match socket.read(&mut buffer).await {
            Ok(0) | Err(_) => return true,
            Ok(read_bytes) => discarded_bytes += read_bytes,
        }
    }
    false
}

/// Returns whether an upstream is gone or refuses connections. Silence is no evidence that an
/// upstream has ended: clients also leave because an upstream cannot be reached.
fn refuses(gateway: &Gateway, key: InstanceKey) -> bool {
    let instances = gateway.instances();
    instances
        .get(key)
        .is_none_or(|tracked| tracked.refused_since().is_some() || tracked.has_departed())
}

/// Returns whether the upstreams of two young runs of one request have crashed. The end of
/// the last one may only just be found out.
pub async fn has_crashed_upstreams(gateway: &Gateway, young_losses: &[InstanceKey]) -> bool {
    if young_losses.len() < MAX_CRASHED_UPSTREAMS {
        return false;
    }
    let mut crashed = 0;
    for key in young_losses {
        crashed += usize::from(wait_for_end(gateway, *key, CRASH_CHECK_TIME).await);
    }
    crashed >= MAX_CRASHED_UPSTREAMS
}

/// Returns whether an upstream has announced its end, so that its end is no crash.
fn is_leaving(gateway: &Gateway, key: InstanceKey) -> bool {
    let instances = gateway.instances();
    instances.get(key).is_some_and(|tracked| {
        tracked.leaving_since().is_some() || tracked.instance.state == InstanceState::Draining
    })
}

/// Returns whether an upstream is gone, or there is evidence that it has ended.
fn has_ended(gateway: &Gateway, key: InstanceKey) -> bool {
    let instances = gateway.instances();
    instances.get(key).is_none_or(|tracked| {
        tracked.suspected_since().is_some()
            || tracked.refused_since().is_some()
            || tracked.has_departed()
    })
}

/// Probes an upstream whose connection broke until it is found to have ended; returns whether
/// it was in time.
async fn confirm_end(gateway: &Rc<Gateway>, key: InstanceKey) -> bool {
    for pause in CONFIRMATION_PAUSES {
        if wait_for_end(gateway, key, pause).await {
            return true;
        }
        probe::probe_again(gateway, key);
    }
    wait_for_end(gateway, key, CRASH_CHECK_TIME).await
}

/// Waits until an upstream is found to have ended; returns whether it was within `limit`.
async fn wait_for_end(gateway: &Gateway, key: InstanceKey, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    loop {
        if has_ended(gateway, key) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
}
