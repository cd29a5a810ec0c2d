//! Clients that leave large request bodies and heads unfinished at a gateway.
//!
//! Guards against a measured fault: the memory of a gateway grew with the number of unfinished
//! bodies (170 to 378 MB for 100 clients), and nothing bounded their sum. The tests check only
//! what does not depend on the machine's speed: the process lives, its memory and its open
//! descriptors are bounded, and an ordinary request is answered.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_testutils::body_crowd::BodyCrowd;
use jujubewall_testutils::body_crowd::Unfinished;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::Written;
use serde_json::json;
use tokio::sync::Mutex;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The memory of the host in the gateway's settings, in MB.
const MEMORY_MB: u64 = 48;

/// The most memory that the gateway may use at its peak.
const MAX_MEMORY_BYTES: u64 = MEMORY_MB * 1024 * 1024;

/// The file descriptors that the gateway may have open by its settings.
const MAX_DESCRIPTORS: usize = 4_100;

/// The largest body in the configuration.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The largest head in the configuration.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// The clients of a crowd that sends bodies: with whole bodies, twice the gateway's memory.
const CLIENTS: usize = 100;

/// The clients of a crowd that sends heads: with whole heads, more than the gateway's memory.
const HEAD_CLIENTS: usize = 1_000;

/// The time for which a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(10);

/// The lines of a head beside those of the body.
const FIELDS: &str = "authorization: Bearer key-1\r\nrequest-id: crowd\r\n";

/// Lets one case run at a time, since each takes much of the machine.
static TURN: Mutex<()> = Mutex::const_new(());

async fn start_site() -> ScriptedSite {
    ScriptedSite::start_changed(
        Path::new(PROGRAM),
        |config| {
            config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
            config["limits"]["max_header_bytes"] = json!(MAX_HEADER_BYTES);
            config["limits"]["idle_timeout_ms"] = json!(60_000);
            for route in 0..3 {
                config["routes"][route]["timeout_ms"] = json!(60_000);
            }
        },
        |settings| {
            settings["limits"] = json!({"max_fds": MAX_DESCRIPTORS, "memory_mb": MEMORY_MB});
        },
    )
    .await
}

/// Fails if the gateway exceeds its bounds or answers no ordinary request while a crowd sends
/// `shape` to the address that `target` selects.
async fn check(clients: usize, shape: Unfinished, target: impl Fn(&ScriptedSite) -> SocketAddr) {
    let _turn = TURN.lock().await;
    let site = start_site().await;
    let script: Script = Arc::new(|received| {
        let id = &received.id;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-stamp: sound\r\nrequest-id: {id}\r\n\
             content-length: 2\r\n\r\nok"
        );
        Written::new(answer, After::Keep)
    });
    let _sound = site.upstream("sound-0", "ledger", script).await;
    let mut crowd = BodyCrowd::start(target(&site), clients, "/stock/1", FIELDS, shape);
    crowd.settle(SEND_TIME).await;
    wait_until("an ordinary request is answered", async || {
        let answer = site.raw_answer("GET", "/stock/1", "ordinary").await;
        if answer.status != 200 {
            eprintln!("{shape:?}: {} {}", answer.status, answer.body.trim());
        }
        answer.status == 200
    })
    .await;
    let peak = site.gateway.peak_memory_bytes();
    eprintln!("{shape:?}: peak of {} KiB", peak / 1024);
    assert!(peak < MAX_MEMORY_BYTES, "{shape:?}: {peak} bytes");
    let descriptors = site.gateway.open_descriptors();
    assert!(descriptors <= MAX_DESCRIPTORS, "{shape:?}: {descriptors}");
    drop(crowd);
    wait_until(
        "a request of the largest size is answered afterwards",
        async || {
            let mut request = request("POST", "/stock/1", "large");
            *request.body_mut() = Bytes::from(vec![b'l'; MAX_BODY_BYTES]);
            let answer = site.gateway.send(request).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_announced_bodies_without_their_last_byte_use_bounded_memory() {
    let shape = Unfinished::Announced {
        bytes: MAX_BODY_BYTES,
    };
    check(CLIENTS, shape, |site| site.gateway.clients).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_chunked_bodies_without_their_end_use_bounded_memory() {
    let shape = Unfinished::Chunked {
        bytes: MAX_BODY_BYTES - 64 * 1024,
        chunk_bytes: 64 * 1024,
    };
    check(CLIENTS, shape, |site| site.gateway.clients).await;
}

/// Each kept chunk of one byte took many times its size.
#[tokio::test(flavor = "multi_thread")]
async fn test_chunks_of_one_byte_use_bounded_memory() {
    let shape = Unfinished::Chunked {
        bytes: 16 * 1024,
        chunk_bytes: 1,
    };
    check(CLIENTS, shape, |site| site.gateway.clients).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_bodies_announced_over_the_limit_use_bounded_memory() {
    let shape = Unfinished::Announced {
        bytes: 8 * MAX_BODY_BYTES,
    };
    check(CLIENTS, shape, |site| site.gateway.clients).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_chunked_bodies_over_the_limit_use_bounded_memory() {
    let shape = Unfinished::Chunked {
        bytes: 8 * MAX_BODY_BYTES,
        chunk_bytes: 64 * 1024,
    };
    check(CLIENTS, shape, |site| site.gateway.clients).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_heads_without_their_end_use_bounded_memory() {
    let shape = Unfinished::Head {
        bytes: MAX_HEADER_BYTES - 1_024,
    };
    check(HEAD_CLIENTS, shape, |site| site.gateway.clients).await;
}

/// The addresses for readiness, metrics and peers had no bound on connections or heads.
#[tokio::test(flavor = "multi_thread")]
async fn test_heads_without_their_end_at_the_readiness_address_use_bounded_memory() {
    let shape = Unfinished::Head { bytes: 256 * 1024 };
    check(HEAD_CLIENTS, shape, |site| site.gateway.ready).await;
}

/// Connections that send nothing kept others from being accepted.
#[tokio::test(flavor = "multi_thread")]
async fn test_connections_that_send_nothing_give_way() {
    check(MAX_DESCRIPTORS, Unfinished::Nothing, |site| {
        site.gateway.clients
    })
    .await;
}
