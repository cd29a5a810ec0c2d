//! Keeps requests from upstreams that would crash on them: those that have crashed several,
//! and those that hold a part of a prompt which has.
//!
//! The decisions are in `jujubewall_routing::fleet::poison_requests` and `poison_parts`.
//! This module tells them of crashes and successes, and logs what they decide.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_routing::fleet::gossip_datagram::CrashReports;
use jujubewall_routing::fleet::gossip_datagram::MAX_CRASH_REPORT_BYTES;
use jujubewall_routing::fleet::gossip_datagram::MAX_REQUEST_REPORT_BYTES;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::poison_parts::Conviction;
use jujubewall_routing::fleet::poison_parts::CrashId;
use jujubewall_routing::fleet::poison_parts::PartChange;
use jujubewall_routing::fleet::poison_parts::PartVerdict;
use jujubewall_routing::fleet::poison_parts::PoisonParts;
use jujubewall_routing::fleet::poison_requests::PoisonRequests;
use jujubewall_routing::fleet::poison_requests::QuarantinedRequest;
use jujubewall_routing::fleet::poison_requests::RequestChange;
use jujubewall_types::id::RequestDigest;
use log::info;
use log::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway::crash_watch::Suspects;
use crate::gateway::request::ClientRequest;
use crate::gateway::state::Gateway;

/// The reason of a rejection because a part of the prompt is quarantined.
pub const PART_CRASHES: &str = "a part of the prompt crashes engines";

/// The reason of a rejection because the request is quarantined.
pub const REQUEST_CRASHES: &str = "the request crashes upstreams";

/// The interval between checks of the quarantines, apart from those for each request.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// The number of crashes that a log line names.
const MAX_LOGGED_CRASHES: usize = 8;

/// What this gateway knows of requests and prompt parts that crash upstreams.
#[derive(Default)]
pub struct PoisonState {
    parts: RefCell<PoisonParts>,
    requests: RefCell<PoisonRequests>,
    /// The number of abandoned runs that are observed.
    pub(super) abandoned_watches: Rc<Cell<usize>>,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quarantine {
    /// The reason.
    pub reason: &'static str,
    /// The rest of the quarantine.
    pub left: Duration,
}

/// Records that an upstream crashed while a young run was on it.
pub fn on_crash(
    gateway: &Gateway,
    key: InstanceKey,
    crash: CrashId,
    suspects: &Suspects,
    broken_at: Instant,
) {
    let now = Instant::now();
    let id = gateway
        .instances()
        .get(key)
        .map_or_else(|| "gone".into(), |tracked| tracked.instance.id.clone());
    let request = suspects.request;
    let mut requests = gateway.poison.requests.borrow_mut();
    requests.on_crash(request, crash, broken_at, now);
    info!(
        "event=request_implicated request={request} upstream={id} crash={:08x} crashes={}",
        crash.0,
        requests.crashes(request).len()
    );
    drop(requests);
    gateway.metrics.count("request_implicated");
    let mut table = gateway.poison.parts.borrow_mut();
    table.on_crash(crash, &suspects.parts, broken_at, now);
    for part in &suspects.parts {
        info!(
            "event=part_implicated part={part} upstream={id} crash={:08x} crashes={}",
            crash.0,
            table.crash_count(*part)
        );
        gateway.metrics.count("part_implicated");
    }
    drop(table);
    log_changes(gateway, "own");
}

/// Records that a run which began at `started_at` has succeeded.
pub fn on_success(gateway: &Gateway, suspects: &Suspects, started_at: Instant) {
    let now = Instant::now();
    let mut requests = gateway.poison.requests.borrow_mut();
    requests.on_success(suspects.request, now);
    drop(requests);
    if !suspects.parts.is_empty() {
        let mut table = gateway.poison.parts.borrow_mut();
        table.on_success(&suspects.parts, started_at, now);
    }
    log_changes(gateway, "own");
}

/// Returns why the request may not be sent, if so.
pub fn quarantine(gateway: &Gateway, suspects: &Suspects) -> Option<Quarantine> {
    let now = Instant::now();
    let requests = gateway.poison.requests.borrow();
    if let Some(left) = requests.quarantine_left(suspects.request, now) {
        let reason = REQUEST_CRASHES;
        return Some(Quarantine { reason, left });
    }
    drop(requests);
    if suspects.parts.is_empty() {
        return None;
    }
    log_changes(gateway, "peer");
    let table = gateway.poison.parts.borrow();
    match table.verdict(&suspects.parts, now) {
        PartVerdict::Allow => None,
        PartVerdict::Reject { retry_after } => Some(Quarantine {
            reason: PART_CRASHES,
            left: retry_after,
        }),
    }
}

/// Logs that a request is rejected, with the crashes because of which it is.
pub fn log_rejection(gateway: &Gateway, request: &ClientRequest) {
    let suspects = &request.suspects;
    let requests = gateway.poison.requests.borrow();
    if requests
        .quarantine_left(suspects.request, Instant::now())
        .is_some()
    {
        gateway.metrics.count("request_rejected");
        info!(
            "event=request_rejected id={} {}",
            request.id,
            request_text(&requests, suspects.request)
        );
        return;
    }
    gateway.metrics.count("part_rejected");
    let table = gateway.poison.parts.borrow();
    let conviction = table.quarantined().iter().find(|conviction| {
        let mut parts = conviction.parts.iter();
        parts.all(|part| suspects.parts.contains(part))
    });
    if let Some(conviction) = conviction {
        info!("event=part_rejected id={} {}", request.id, text(conviction));
    }
}

/// Returns what to tell another gateway.
pub fn reports(gateway: &Gateway, now: Instant) -> CrashReports {
    let mut parts = gateway.poison.parts.borrow_mut();
    let mut requests = gateway.poison.requests.borrow_mut();
    CrashReports {
        parts: parts.reports(MAX_CRASH_REPORT_BYTES, now),
        requests: requests.reports(MAX_REQUEST_REPORT_BYTES, now),
    }
}

/// Applies what another gateway knows, or the store.
pub fn apply_reports(gateway: &Gateway, reports: &CrashReports, source: &str) {
    if reports.parts.is_empty() && reports.requests.is_empty() {
        return;
    }
    let now = Instant::now();
    let mut parts = gateway.poison.parts.borrow_mut();
    parts.apply_reports(&reports.parts, now);
    drop(parts);
    let mut requests = gateway.poison.requests.borrow_mut();
    requests.apply_reports(&reports.requests, now);
    drop(requests);
    log_changes(gateway, source);
}

/// Returns the quarantined parts.
pub fn quarantined_parts(gateway: &Gateway) -> Vec<Conviction> {
    gateway.poison.parts.borrow().quarantined().to_vec()
}

/// Returns the quarantined requests.
pub fn quarantined_requests(gateway: &Gateway) -> Vec<QuarantinedRequest> {
    let requests = gateway.poison.requests.borrow();
    requests.quarantined(Instant::now())
}

/// Returns the time since a crash in which a part was implicated, if it is known.
pub fn crash_age(gateway: &Gateway, crash: CrashId, now: Instant) -> Option<Duration> {
    gateway.poison.parts.borrow().crash_age(crash, now)
}

/// Starts to check when quarantines begin and end.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("refresh_quarantines", |gateway| async move {
        loop {
            sleep(REFRESH_INTERVAL).await;
            gateway.poison.requests.borrow_mut().refresh(Instant::now());
            log_changes(&gateway, "peer");
        }
    });
}

/// Logs how the quarantines have changed.
fn log_changes(gateway: &Gateway, source: &str) {
    log_request_changes(gateway, source);
    let mut parts = gateway.poison.parts.borrow_mut();
    if !parts.is_empty() {
        let requests = gateway.poison.requests.borrow();
        parts.set_crashes_by_requests(requests.crashes_by_request());
    }
    let changes = parts.refresh(Instant::now());
    drop(parts);
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

fn log_request_changes(gateway: &Gateway, source: &str) {
    let mut requests = gateway.poison.requests.borrow_mut();
    for change in requests.take_changes() {
        match change {
            RequestChange::Quarantined(request) => {
                gateway.metrics.count("request_quarantined");
                let text = request_text(&requests, request);
                warn!("event=request_quarantined {text} source={source}");
            }
            RequestChange::Released(request) => {
                gateway.metrics.count("request_released");
                info!("event=request_released request={request} source={source}");
            }
        }
    }
}

/// Returns the fields of a log line that tell the crashes of a quarantined request.
fn request_text(requests: &PoisonRequests, request: RequestDigest) -> String {
    let crashes = requests.crashes(request);
    format!(
        "request={request} crashes={} last={}",
        crashes.len(),
        crash_list(&crashes)
    )
}

/// Returns the fields of a log line that tell the parts and the crashes of a conviction.
fn text(conviction: &Conviction) -> String {
    let parts: Vec<String> = conviction.parts.iter().map(ToString::to_string).collect();
    format!(
        "part={} crashes={} last={}",
        parts.join("+"),
        conviction.crashes.len(),
        crash_list(&conviction.crashes)
    )
}

/// Lists the last crashes, the newest one first.
fn crash_list(crashes: &[CrashId]) -> String {
    let crashes = crashes.iter().rev().take(MAX_LOGGED_CRASHES);
    let crashes: Vec<String> = crashes.map(|crash| format!("{:08x}", crash.0)).collect();
    crashes.join(",")
}
