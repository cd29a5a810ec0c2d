//! Tests the gateway end to end, as a process, from a client's request to its answer.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::LAYERS;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::all_events;
use jujubewall_testutils::gateway_site::config;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::http_server::ServerHandle;
use jujubewall_testutils::site_runner::RunnerFault;
use jujubewall_testutils::site_store::SiteStore;
use jujubewall_testutils::site_store::StoreMood;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The burst of the retry budget, on top of a fifth of the requests. These tests never use
/// it up.
const RETRY_BURST: u32 = 200;

async fn start_site() -> Site {
    Site::start(Path::new(PROGRAM), RETRY_BURST).await
}

fn header(answer: &hyper::Response<bytes::Bytes>, name: &str) -> String {
    let value = answer
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn test_stream_and_call_are_served_with_headers_that_runners_need() {
    let site = start_site().await;
    let answer = site.send(stream_request("s-1")).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body(), all_events().as_bytes());
    assert_eq!(header(&answer, "request-id"), "s-1");
    assert!(!header(&answer, "response-stamp").is_empty());
    let answer = site.send(request("GET", "/stock/7", "c-1")).await.unwrap();
    assert_eq!(
        (answer.status().as_u16(), &answer.body()[..]),
        (200, &b"done"[..])
    );
    let ran = site.runners.ran();
    let ran = ran.iter().find(|ran| ran.id == "c-1").unwrap();
    let text = |name: &str| ran.headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(text("tenant"), Some("hall"));
    assert_eq!(text("expect-instance"), Some(ran.runner.as_str()));
    assert_eq!(text("authorization"), None);
    assert_eq!(&ran.body[..], b"body");
    let left: u64 = text("deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 2_000, "{left} ms are more than the route allows");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_requests_that_the_configuration_does_not_allow_are_refused() {
    let site = start_site().await;
    let status = async |request| site.send(request).await.unwrap().status().as_u16();
    assert_eq!(status(request("GET", "/nowhere/", "r-1")).await, 404);
    let mut foreign = request("GET", "/stock/7", "r-2");
    let key = "Bearer other".parse().unwrap();
    foreign.headers_mut().insert("authorization", key);
    assert_eq!(status(foreign).await, 401);
    let mut large = request("POST", "/orders/", "r-3");
    *large.body_mut() = bytes::Bytes::from(vec![0; 70_000]);
    assert_eq!(status(large).await, 413);
    let ran = site.runners.ran();
    assert!(ran.iter().all(|ran| !ran.id.starts_with("r-")));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_stream_continues_on_another_engine_after_its_last_complete_event() {
    let site = start_site().await;
    for (id, fault) in [
        ("cut", RunnerFault::CutAfter(5)),
        ("torn", RunnerFault::TornAfter(5)),
    ] {
        // Every engine has the fault until the stream has run on one of them.
        for engine in site.engine_ids() {
            site.runners.set_fault(&engine, fault);
        }
        let send = site.send(stream_request(id));
        let clear_faults = async {
            wait_until("the stream has run", async || !site.ran(id).is_empty()).await;
            for engine in site.engine_ids() {
                site.runners.set_fault(&engine, RunnerFault::None);
            }
        };
        let (answer, ()) = tokio::join!(send, clear_faults);
        let answer = answer.unwrap();
        assert_eq!(answer.body(), all_events().as_bytes(), "{id}");
        let ran = site.ran(id);
        assert_eq!(ran.len(), 2, "{id} ran on {ran:?}");
        assert_eq!(header(&answer, "response-stamp"), ran[0]);
        sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_order_whose_answer_is_lost_runs_once_and_is_not_reported_as_not_run() {
    let site = start_site().await;
    for ledger in ["ledger-0", "ledger-1"] {
        site.runners.set_fault(ledger, RunnerFault::LoseAnswer);
    }
    let answer = site.send(request("POST", "/orders/", "o-1")).await.unwrap();
    assert_eq!(answer.status(), 502);
    assert_eq!(site.ran("o-1").len(), 1);
    // An idempotent call is sent to the other upstream too.
    let answer = site.send(request("GET", "/stock/", "q-1")).await.unwrap();
    assert_eq!(answer.status(), 502);
    assert_eq!(site.ran("q-1").len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_refused_order_is_sent_elsewhere_or_reported_as_not_run() {
    let site = start_site().await;
    site.runners.set_fault("ledger-0", RunnerFault::Refuse);
    for index in 0..4 {
        let id = format!("o-{index}");
        let answer = site.send(request("POST", "/orders/", &id)).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(site.ran(&id), ["ledger-1"]);
    }
    site.runners.set_fault("ledger-1", RunnerFault::Refuse);
    let begun = Instant::now();
    let answer = site.send(request("POST", "/orders/", "o-9")).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(begun.elapsed() < Duration::from_secs(1));
    let wait: f64 = header(&answer, "retry-after").parse().unwrap();
    assert!(wait > 0.0 && wait < 6.0);
    assert!(site.ran("o-9").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn test_answer_of_another_request_reaches_nobody() {
    let site = start_site().await;
    for ledger in ["ledger-0", "ledger-1"] {
        site.runners.set_fault(ledger, RunnerFault::AnswerAnother);
    }
    let answer = site.send(request("POST", "/orders/", "o-1")).await.unwrap();
    assert_eq!(answer.status(), 502);
    assert_eq!(header(&answer, "response-stamp"), "");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_runners_own_failure_is_passed_on_unchanged() {
    let site = start_site().await;
    for ledger in ["ledger-0", "ledger-1"] {
        site.runners.set_fault(ledger, RunnerFault::FailWith(500));
    }
    let answer = site.send(request("POST", "/orders/", "o-1")).await.unwrap();
    assert_eq!(
        (answer.status().as_u16(), &answer.body()[..]),
        (500, &b"failure"[..])
    );
    assert_eq!(header(&answer, "response-stamp"), site.ran("o-1")[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_configurations_take_effect_and_never_revert_to_older_ones() {
    let site = start_site().await;
    let status = async |id: &str| {
        let answer = site.send(request("GET", "/stock/", id)).await;
        answer.unwrap().status().as_u16()
    };
    let mut revoked = config(9);
    revoked["tenants"][0]["api_keys"] = json!(["key-2"]);
    site.store.put("op/config", revoked.to_string().as_bytes());
    wait_until("the key is revoked", async || status("v9").await == 401).await;
    for older in [config(8).to_string(), "{\"version\":".to_owned()] {
        site.store.put("op/config", older.as_bytes());
        sleep(Duration::from_millis(600)).await;
        assert_eq!(status("v8").await, 401);
    }
    site.store
        .put("op/config", config(12).to_string().as_bytes());
    wait_until("the key is back", async || status("v12").await == 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_foreign_entries_and_leaving_runners_get_no_request() {
    let site = start_site().await;
    site.store.put("servers/foreign", b"\xff");
    let unknown = json!({"service": "ledger", "state": "resting"});
    site.store
        .put("servers/odd", unknown.to_string().as_bytes());
    site.runners.drain("ledger-0");
    sleep(Duration::from_millis(500)).await;
    for index in 0..6 {
        let id = format!("d-{index}");
        let answer = site.send(request("GET", "/stock/", &id)).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(site.ran(&id), ["ledger-1"]);
    }
    assert!(
        site.gateway
            .log()
            .contains("event=entry_unreadable key=servers/odd")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn test_without_engines_a_stream_is_rejected_at_once_with_retry_after() {
    let mut site = start_site().await;
    let ids = site.engine_ids();
    site.engines.clear();
    for id in ids {
        site.store.remove(&format!("servers/{id}"));
    }
    sleep(Duration::from_millis(500)).await;
    let begun = Instant::now();
    let answer = site.send(stream_request("s-1")).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(!header(&answer, "retry-after").is_empty());
    assert!(begun.elapsed() < Duration::from_millis(500));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_lost_engine_is_replaced_in_its_domain() {
    let mut site = start_site().await;
    let lost = site.engines.remove(1);
    let id = lost.id().to_owned();
    drop(lost);
    site.runners.remove_entry(&id);
    wait_until("the rest of the domain holds the model", async || {
        site.runners.held_layers() >= 2 * LAYERS
    })
    .await;
    assert!(!site.runners.orders("place").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn test_requests_are_served_while_the_store_is_unavailable() {
    let site = start_site().await;
    for mood in [
        StoreMood::Closing,
        StoreMood::Silent,
        StoreMood::Refusing(503),
    ] {
        site.store.set_mood(mood);
        sleep(Duration::from_millis(1_200)).await;
        let answer = site.send(stream_request("s-1")).await.unwrap();
        assert_eq!(answer.status(), 200, "{mood:?}");
        assert!(site.gateway.is_ready().await);
    }
    site.store.set_mood(StoreMood::Well);
    wait_until("the store is regained", async || {
        site.gateway.log().contains("event=store_regained")
    })
    .await;
}

/// Starts a second gateway, which knows the first one.
fn start_second(
    folder: &Path,
    store: SocketAddr,
    peers: SocketAddr,
    known: SocketAddr,
) -> GatewayProcess {
    GatewayProcess::start(&GatewayStart {
        program: Path::new(PROGRAM),
        folder,
        name: "front-2",
        zone: "hall",
        store,
        peers,
        seed: Some(known),
        retry_burst: RETRY_BURST,
    })
}

/// Starts a gateway whose store refuses all calls, so that it learns of the site only from
/// the first gateway.
async fn start_without_store(site: &Site) -> (GatewayProcess, ServerHandle) {
    let refusing = SiteStore::new();
    refusing.set_mood(StoreMood::Refusing(503));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = refusing.serve(listener);
    // All peers listen on the same port, each on its own host address.
    let known = site.gateway.peers;
    let own = neighbour(known);
    let folder = site.folder.path();
    let fresh = start_second(folder, store.address(), own, known);
    wait_until("the gateway is ready with its peer's data", async || {
        fresh.is_ready().await
    })
    .await;
    (fresh, store)
}

#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_refused_by_the_store_learns_from_a_peer() {
    let site = start_site().await;
    let (fresh, _store) = start_without_store(&site).await;
    let log = fresh.log();
    assert!(
        log.contains("event=config version=7 before=0 source=peer"),
        "{log}"
    );
    assert!(log.contains("event=instances count=8 source=peer"), "{log}");
    let answer = fresh.send(stream_request("s-1")).await.unwrap();
    assert_eq!(answer.body(), all_events().as_bytes());
}

/// Guards against incident inc-047f: the planner stopped while the store was unavailable, and
/// lost layers were not replaced until the store was available again.
#[tokio::test(flavor = "multi_thread")]
async fn test_layers_are_replaced_though_the_planner_stopped_while_the_store_is_unavailable() {
    let mut site = start_site().await;
    let (fresh, _store) = start_without_store(&site).await;
    site.store.set_mood(StoreMood::Refusing(503));
    site.gateway.terminate().await;
    assert!(site.gateway.ended().await.success());
    let placed = site.runners.orders("place").len();
    site.end_sole_holders();
    wait_until("the lost layers are placed anew", async || {
        // Only streams show that the engine is lost, since its entry remains.
        let _ = fresh.send(stream_request("probe")).await;
        site.runners.orders("place").len() > placed
    })
    .await;
    wait_until("a stream is served", async || {
        let answer = fresh.send(stream_request("after")).await;
        answer.is_ok_and(|answer| answer.body() == all_events().as_bytes())
    })
    .await;
}

/// Guards against a killed planner whose lease outlives it: engines lost at the same moment
/// were replaced only after the lease had expired.
#[tokio::test(flavor = "multi_thread")]
async fn test_layers_are_replaced_though_a_killed_planner_still_holds_the_lease() {
    let mut site = start_site().await;
    let known = site.gateway.peers;
    let own = neighbour(known);
    let store = site.store_address();
    let folder = site.folder.path();
    let other = start_second(folder, store, own, known);
    wait_until(
        "the other gateway has received a message of the planner",
        async || other.is_ready().await && other.log().contains("event=peer "),
    )
    .await;
    // Simulates a lease that never expires.
    site.store.put("jujubewall/planner", b"front-1");
    site.gateway.kill().await;
    let placed = site.runners.orders("place").len();
    site.end_sole_holders();
    wait_until("the lost layers are placed anew", async || {
        let _ = other.send(stream_request("probe")).await;
        site.runners.orders("place").len() > placed
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_termination_cuts_no_stream_and_ends_the_process() {
    let mut site = start_site().await;
    let send = site.send(stream_request("s-1"));
    let stop = async {
        wait_until("the stream runs", async || !site.ran("s-1").is_empty()).await;
        site.gateway.terminate().await;
        wait_until("the gateway is no longer ready", async || {
            !site.gateway.is_ready().await
        })
        .await;
    };
    let (answer, ()) = tokio::join!(send, stop);
    assert_eq!(answer.unwrap().body(), all_events().as_bytes());
    // Until the balancer has noticed, connections are still served.
    let answer = site.send(request("GET", "/stock/", "late")).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "connection"), "close");
    assert!(site.gateway.ended().await.success());
    let log = site.gateway.log();
    assert!(log.contains("event=stop cut_off=0"), "{log}");
}
