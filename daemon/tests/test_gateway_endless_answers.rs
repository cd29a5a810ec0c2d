//! Upstreams that send bytes without end to as many requests as a gateway carries: it serves
//! on, within the memory of the smallest host of all deployments.
//!
//! Guards against an operators' report: a machine kept all bytes of answers without end, ran
//! out of memory, and the requests of other clients ended with it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::raw_runner::RawAnswer;
use jujubewall_testutils::raw_runner::RawRunner;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::Written;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The requests that a gateway can carry by its file descriptors: each takes two of 4,100, of
/// which 200 are not for sockets.
const REQUESTS: usize = 1_900;

/// The memory of the smallest host that the gateway is deployed on, in bytes.
const SMALLEST_HOST_BYTES: u64 = 160 * 1024 * 1024;

/// The time in which most of the requests reach the upstream.
const START_TIME: Duration = Duration::from_secs(30);

/// The time for which answers without end are sent from then on.
const FLOOD_TIME: Duration = Duration::from_secs(8);

/// The time that the requests have, longer than both.
const DEADLINE_MS: u64 = 60_000;

/// Lets one case run at a time, since each fills a gateway.
static TURN: Mutex<()> = Mutex::const_new(());

/// The time in which a sound request is answered after them.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// What clients do with their answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Client {
    Reads,
    ReadsNothing,
}

async fn start_site() -> ScriptedSite {
    ScriptedSite::start(Path::new(PROGRAM), |config| {
        for service in 0..2 {
            config["services"][service]["max_conns"] = json!(10_000);
        }
        let engine = &mut config["services"][0]["engine"];
        engine["slots"] = json!(10_000);
        engine["kinds"][0]["mb"] = json!(1_000_000.0);
        for route in 0..3 {
            config["routes"][route]["timeout_ms"] = json!(DEADLINE_MS);
        }
    })
    .await
}

async fn send(address: SocketAddr, service: &str, id: String, client: Client) {
    let (method, path) = match service {
        "llm" => ("POST", "/notes/1"),
        _ => ("GET", "/stock/1"),
    };
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
         request-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\ntoken-counts: 10,40\r\n\
         content-length: 4\r\n\r\nbody"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return;
    }
    let mut buffer = vec![0; 16 * 1024];
    match client {
        Client::Reads => while matches!(stream.read(&mut buffer).await, Ok(1..)) {},
        Client::ReadsNothing => sleep(START_TIME + FLOOD_TIME).await,
    }
}

/// Fails if the gateway uses more memory than the smallest host has, or ends, while one
/// upstream of `service` answers all requests in this way.
async fn check(service: &'static str, answer: RawAnswer, client: Client) {
    let _turn = TURN.lock().await;
    let site = start_site().await;
    let raw = RawRunner::start_large(&site.store, "raw-0", service, answer).await;
    wait_until("the upstream is known", async || {
        site.gateway.log().contains("event=upstream id=raw-0")
    })
    .await;
    let mut clients = JoinSet::new();
    for index in 0..REQUESTS {
        let id = format!("q-{index}");
        clients.spawn(send(site.gateway.clients, service, id, client));
    }
    let case = format!("{service}, {answer:?}, {client:?}");
    let begun = async {
        loop {
            let log = site.gateway.log();
            let ids = log.split(" id=q-").skip(1);
            let ids: HashSet<&str> = ids.filter_map(|rest| rest.split(' ').next()).collect();
            if ids.len() >= REQUESTS * 9 / 10 {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    };
    let has_begun = timeout(START_TIME, begun).await.is_ok();
    assert!(has_begun, "{case}: most requests did not arrive");
    let _ = timeout(FLOOD_TIME, async {
        while clients.join_next().await.is_some() {}
    })
    .await;
    let peak = site.gateway.peak_memory_bytes();
    assert!(peak < SMALLEST_HOST_BYTES, "{case}: {peak} bytes");
    drop(clients);
    drop(raw);
    site.store.remove("servers/raw-0");
    let script: Script = Arc::new(|received| {
        let id = &received.id;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-stamp: sound\r\nrequest-id: {id}\r\n\
             content-length: 2\r\n\r\nok"
        );
        Written::new(answer, After::Keep)
    });
    let _sound = site.upstream("sound-0", "ledger", script).await;
    let served = async {
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("s-{number}");
            if site.raw_answer("GET", "/stock/1", &id).await.status == 200 {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    let is_served = timeout(RECOVERY_TIME, served).await.is_ok();
    assert!(is_served, "{case}: nothing is served afterwards");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_calls_with_heads_without_end_use_bounded_memory() {
    check("ledger", RawAnswer::EndlessHead, Client::Reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_calls_with_interim_answers_without_end_use_bounded_memory() {
    check("ledger", RawAnswer::EndlessInterim, Client::Reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_calls_with_bodies_without_end_use_bounded_memory() {
    check("ledger", RawAnswer::EndlessBody, Client::Reads).await;
    check("ledger", RawAnswer::EndlessBody, Client::ReadsNothing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_calls_with_failures_without_end_use_bounded_memory() {
    check("ledger", RawAnswer::EndlessFailure, Client::ReadsNothing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_calls_with_trailers_without_end_use_bounded_memory() {
    check("ledger", RawAnswer::EndlessTrailers, Client::Reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_streams_with_heads_without_end_use_bounded_memory() {
    check("llm", RawAnswer::EndlessHead, Client::Reads).await;
    check("llm", RawAnswer::EndlessNoise, Client::Reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_streams_with_events_without_end_use_bounded_memory() {
    check("llm", RawAnswer::EndlessEvent, Client::Reads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_streams_with_failures_without_end_use_bounded_memory() {
    check("llm", RawAnswer::EndlessFailure, Client::ReadsNothing).await;
}
