//! Notes which runs crash engines, and keeps requests from engines that hold a part which
//! does.
//!
//! The decisions are in `jujubewall_routing::fleet::poison_parts`. This module tells it of
//! crashes and successes, and logs what it decides.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_platform::site::headers::PromptPartKeys;
use jujubewall_routing::fleet::gossip_datagram::MAX_CRASH_REPORT_BYTES;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::poison_parts::Conviction;
use jujubewall_routing::fleet::poison_parts::CrashId;
use jujubewall_routing::fleet::poison_parts::CrashReport;
use jujubewall_routing::fleet::poison_parts::PartChange;
use jujubewall_routing::fleet::poison_parts::PartVerdict;
use jujubewall_routing::fleet::poison_parts::PoisonParts;
use jujubewall_routing::fleet::poison_parts::YOUNG_TIME;
use jujubewall_types::fleet::InstanceState;
use log::info;
use log::warn;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gateway::request::ClientRequest;
use crate::gateway::state::Gateway;

/// The reason of a rejection because a part of the prompt is quarantined.
pub const PART_CRASHES: &str = "a part of the prompt crashes engines";

/// The time after a connection broke within which the engine must be found to have ended:
/// other faults break connections of engines that live on.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);

/// The interval between checks whether an engine has ended.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time for which a stream waits to learn whether an engine has ended before it is sent
/// to a third one: two attempts to connect.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(60);

/// The number of crashed engines after which a request is not sent again.
const MAX_CRASHED_ENGINES: usize = 2;

/// The interval between checks of the convictions, apart from those for each request.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// The number of crashes that a log line names.
const MAX_LOGGED_CRASHES: usize = 8;

/// What this gateway knows of prompt parts that crash engines.
#[derive(Default)]
pub struct PoisonState {
    parts: RefCell<PoisonParts>,
}

/// The prompt parts of one run, and how far it has come.
pub struct RunParts {
    gateway: Rc<Gateway>,
    parts: PromptPartKeys,
    first: InstanceKey,
    started_at: Instant,
    first_event_at: Option<Instant>,
    has_succeeded: bool,
}

impl RunParts {
    /// Starts to observe a run that is sent to `first`.
    pub fn new(gateway: &Rc<Gateway>, parts: PromptPartKeys, first: InstanceKey) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            parts,
            first,
            started_at: Instant::now(),
            first_event_at: None,
            has_succeeded: false,
        }
    }

    /// Returns whether a crash of the first engine may be due to this run.
    pub fn is_young(&self) -> bool {
        let first_event_at = self.first_event_at;
        first_event_at.is_none_or(|at| at.elapsed() < YOUNG_TIME)
    }

    /// Returns whether another run would be rejected for the prompt's parts.
    pub fn is_quarantined(&self) -> bool {
        parts_quarantine_left(&self.gateway, &self.parts).is_some()
    }

    /// Records that events have arrived.
    pub fn on_events(&mut self) {
        self.first_event_at.get_or_insert_with(Instant::now);
        if !self.has_succeeded && !self.is_young() {
            self.has_succeeded = true;
            on_success(&self.gateway, &self.parts, self.started_at);
        }
    }

    /// Records that the stream is complete. The engine may still crash on a young run.
    pub fn on_end(&mut self) {
        let Some(first_event_at) = self.first_event_at else {
            return;
        };
        if self.parts.is_empty() || std::mem::replace(&mut self.has_succeeded, true) {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let parts = self.parts.clone();
        let (first, started_at) = (self.first, self.started_at);
        let young_until = first_event_at + YOUNG_TIME;
        spawn_local(async move {
            sleep_until(young_until).await;
            if !has_ended(&gateway, first) {
                on_success(&gateway, &parts, started_at);
            }
        });
    }

    /// Records that the connection broke. If the first engine turns out to have ended, the
    /// parts of a young run are implicated in its crash.
    pub fn on_connection_lost(&self) {
        if self.parts.is_empty() || !self.is_young() || is_leaving(&self.gateway, self.first) {
            return;
        }
        let Some(crash) = crash_id(&self.gateway, self.first) else {
            return;
        };
        let gateway = Rc::clone(&self.gateway);
        let parts = self.parts.clone();
        let first = self.first;
        let broken_at = Instant::now();
        spawn_local(async move {
            if wait_for_end(&gateway, first, CONFIRMATION_TIME).await {
                on_crash(&gateway, first, crash, &parts, broken_at);
            } else {
                gateway.metrics.count("part_cleared_by_probe");
            }
        });
    }
}

fn crash_id(gateway: &Gateway, key: InstanceKey) -> Option<CrashId> {
    let instances = gateway.instances();
    let tracked = instances.get(key)?;
    Some(CrashId::of_instance(tracked.digest()))
}

/// Returns whether an engine has announced its end, so that its end is no crash.
fn is_leaving(gateway: &Gateway, key: InstanceKey) -> bool {
    let instances = gateway.instances();
    instances.get(key).is_some_and(|tracked| {
        tracked.leaving_since().is_some() || tracked.instance.state == InstanceState::Draining
    })
}

/// Returns whether an engine is gone, or there is evidence that it has ended.
fn has_ended(gateway: &Gateway, key: InstanceKey) -> bool {
    let instances = gateway.instances();
    instances
        .get(key)
        .is_none_or(|tracked| tracked.suspected_since().is_some() || tracked.has_departed())
}

/// Waits until an engine is found to have ended; returns whether it was within `limit`.
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

fn on_crash(
    gateway: &Gateway,
    key: InstanceKey,
    crash: CrashId,
    parts: &PromptPartKeys,
    broken_at: Instant,
) {
    let now = Instant::now();
    let mut table = gateway.poison.parts.borrow_mut();
    table.on_crash(crash, parts, broken_at, now);
    let id = gateway
        .instances()
        .get(key)
        .map_or_else(|| "gone".into(), |tracked| tracked.instance.id.clone());
    for part in parts {
        info!(
            "event=part_implicated part={part} upstream={id} crash={:08x} crashes={}",
            crash.0,
            table.crash_count(*part)
        );
        gateway.metrics.count("part_implicated");
    }
    drop(table);
    refresh(gateway, "own");
}

fn on_success(gateway: &Gateway, parts: &PromptPartKeys, started_at: Instant) {
    let now = Instant::now();
    let mut table = gateway.poison.parts.borrow_mut();
    table.on_success(parts, started_at, now);
    drop(table);
    refresh(gateway, "own");
}

/// Returns whether the engines of two young runs of one request have crashed. The end of the
/// last one may only just be found out.
pub async fn has_crashed_engines(gateway: &Gateway, young_losses: &[InstanceKey]) -> bool {
    if young_losses.len() < MAX_CRASHED_ENGINES {
        return false;
    }
    let mut crashed = 0;
    for key in young_losses {
        crashed += usize::from(wait_for_end(gateway, *key, CRASH_CHECK_TIME).await);
    }
    crashed >= MAX_CRASHED_ENGINES
}

/// Returns the rest of the quarantine if the request holds quarantined parts.
pub fn quarantine_left(gateway: &Gateway, request: &ClientRequest) -> Option<Duration> {
    parts_quarantine_left(gateway, &request.prompt_parts)
}

fn parts_quarantine_left(gateway: &Gateway, parts: &PromptPartKeys) -> Option<Duration> {
    if parts.is_empty() {
        return None;
    }
    refresh(gateway, "peer");
    let table = gateway.poison.parts.borrow();
    match table.verdict(parts, Instant::now()) {
        PartVerdict::Allow => None,
        PartVerdict::Reject { retry_after } => Some(retry_after),
    }
}

/// Logs that a request is rejected, with the parts and the crashes because of which it is.
pub fn log_rejection(gateway: &Gateway, request: &ClientRequest) {
    gateway.metrics.count("part_rejected");
    let table = gateway.poison.parts.borrow();
    let conviction = table.quarantined().iter().find(|conviction| {
        let mut parts = conviction.parts.iter();
        parts.all(|part| request.prompt_parts.contains(part))
    });
    if let Some(conviction) = conviction {
        info!("event=part_rejected id={} {}", request.id, text(conviction));
    }
}

/// Returns what to tell another gateway.
pub fn reports(gateway: &Gateway, now: Instant) -> Vec<CrashReport> {
    let mut table = gateway.poison.parts.borrow_mut();
    table.reports(MAX_CRASH_REPORT_BYTES, now)
}

/// Applies what another gateway knows.
pub fn apply_reports(gateway: &Gateway, reports: &[CrashReport], source: &str) {
    if reports.is_empty() {
        return;
    }
    let mut table = gateway.poison.parts.borrow_mut();
    table.apply_reports(reports, Instant::now());
    drop(table);
    refresh(gateway, source);
}

/// Returns the quarantined parts.
pub fn quarantined(gateway: &Gateway) -> Vec<Conviction> {
    gateway.poison.parts.borrow().quarantined().to_vec()
}

/// Returns the time since a crash, if it is known.
pub fn crash_age(gateway: &Gateway, crash: CrashId, now: Instant) -> Option<Duration> {
    gateway.poison.parts.borrow().crash_age(crash, now)
}

/// Starts to check when quarantines begin and end.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("refresh_parts", |gateway| async move {
        loop {
            sleep(REFRESH_INTERVAL).await;
            refresh(&gateway, "peer");
        }
    });
}

/// Derives the convictions anew if there is news, and logs how they have changed.
fn refresh(gateway: &Gateway, source: &str) {
    let changes = gateway.poison.parts.borrow_mut().refresh(Instant::now());
    for change in changes {
        match change {
            PartChange::Quarantined(conviction) => {
                gateway.metrics.count("part_quarantined");
                warn!(
                    "event=part_quarantined {} source={source}",
                    text(&conviction)
                );
            }
            PartChange::Released(conviction) => {
                gateway.metrics.count("part_released");
                info!("event=part_released {} source={source}", text(&conviction));
            }
        }
    }
}

/// Returns the fields of a log line that tell the parts and the crashes of a conviction.
fn text(conviction: &Conviction) -> String {
    let parts: Vec<String> = conviction.parts.iter().map(ToString::to_string).collect();
    let crashes = conviction.crashes.iter().rev().take(MAX_LOGGED_CRASHES);
    let crashes: Vec<String> = crashes.map(|crash| format!("{:08x}", crash.0)).collect();
    format!(
        "part={} crashes={} last={}",
        parts.join("+"),
        conviction.crashes.len(),
        crashes.join(",")
    )
}
