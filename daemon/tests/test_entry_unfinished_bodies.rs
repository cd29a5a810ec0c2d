//! Clients that leave large request bodies and connections unfinished at an entry.
//!
//! Guards against bodies whose sum nothing bounded, and against silent connections that kept
//! others from being accepted. The tests check only what does not depend on the machine's
//! speed: the process lives, its memory and its open descriptors are bounded, and an ordinary
//! request is answered.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::body_crowd::BodyCrowd;
use jujubewall_testutils::body_crowd::Unfinished;
use jujubewall_testutils::daemon::DaemonProcess;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::fleet::COMPLETIONS;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::fleet::NOTES;
use jujubewall_testutils::site::ACCOUNT_KEY;
use jujubewall_testutils::site::OPERATOR_KEY;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::TestSite;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The most memory that an entry may use at its peak with the default limits.
const MAX_MEMORY_BYTES: u64 = 160 * 1024 * 1024;

/// The most file descriptors that an entry may have open.
const MAX_DESCRIPTORS: usize = 400;

/// The connections that an entry accepts by its settings.
const MAX_CONNECTIONS: u64 = 128;

/// The largest body by the default limits.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The clients of a crowd that sends bodies: with whole bodies, more than twice the bound.
const CLIENTS: usize = 100;

/// The clients of a crowd that sends nothing: more than are accepted.
const SILENT_CLIENTS: usize = 200;

/// The time for which a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(10);

/// The time that one attempt of an ordinary request gets.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Lets one case run at a time, since each takes much of the machine.
static TURN: Mutex<()> = Mutex::const_new(());

async fn check(
    clients: usize,
    shape: Unfinished,
    path: &str,
    key: &str,
    target: impl Fn(&DaemonProcess) -> SocketAddr,
) {
    let _turn = TURN.lock().await;
    let mut site = TestSite::start(SiteShape::default()).await;
    site.set_limit("max_connections", MAX_CONNECTIONS);
    site.set_limit("body_timeout_ms", 60_000);
    let fleet = Fleet::start_at(Path::new(PROGRAM), site).await;
    let entry = &fleet.entries[0];
    let fields = format!("authorization: Bearer {key}\r\n");
    let mut crowd = BodyCrowd::start(target(entry), clients, path, &fields, shape);
    crowd.settle(SEND_TIME).await;
    let answered = async || {
        let models = timeout(ATTEMPT_TIMEOUT, fleet.caller(0).get("/v1/models")).await;
        let status = timeout(
            ATTEMPT_TIMEOUT,
            fleet.operator(0).get("/admin/v1/upstreams"),
        )
        .await;
        let is_ok = |answer| matches!(answer, Ok(Ok(200)));
        is_ok(models.map(|answer| answer.map(|answer| answer.status)))
            && is_ok(status.map(|answer| answer.map(|answer| answer.status)))
    };
    eventually("an answer to ordinary requests", answered).await;
    let peak = entry.peak_memory_bytes();
    eprintln!("{shape:?} {path}: peak of {} KiB", peak / 1024);
    assert!(peak < MAX_MEMORY_BYTES, "{shape:?} {path}: {peak} bytes");
    let descriptors = entry.open_descriptors();
    assert!(descriptors <= MAX_DESCRIPTORS, "{shape:?}: {descriptors}");
    drop(crowd);
    eventually("an answer to ordinary requests afterwards", answered).await;
}

fn callers(entry: &DaemonProcess) -> SocketAddr {
    entry.address("caller_address")
}

fn operators(entry: &DaemonProcess) -> SocketAddr {
    entry.address("operator_address")
}

#[tokio::test(flavor = "multi_thread")]
async fn test_announced_bodies_without_their_last_byte_use_bounded_memory() {
    let shape = Unfinished::Announced {
        bytes: MAX_BODY_BYTES,
    };
    check(CLIENTS, shape, COMPLETIONS, ACCOUNT_KEY, callers).await;
    check(CLIENTS, shape, NOTES, OPERATOR_KEY, operators).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_chunked_bodies_without_their_end_use_bounded_memory() {
    let shape = Unfinished::Chunked {
        bytes: MAX_BODY_BYTES - 64 * 1024,
        chunk_bytes: 64 * 1024,
    };
    check(CLIENTS, shape, COMPLETIONS, ACCOUNT_KEY, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_chunked_bodies_over_the_limit_use_bounded_memory() {
    let shape = Unfinished::Chunked {
        bytes: 4 * MAX_BODY_BYTES,
        chunk_bytes: 64 * 1024,
    };
    check(CLIENTS, shape, COMPLETIONS, ACCOUNT_KEY, callers).await;
}

/// Connections that sent nothing were never closed, and all others waited to be accepted.
#[tokio::test(flavor = "multi_thread")]
async fn test_connections_that_send_nothing_give_way() {
    let nothing = Unfinished::Nothing;
    check(SILENT_CLIENTS, nothing, COMPLETIONS, ACCOUNT_KEY, callers).await;
}
