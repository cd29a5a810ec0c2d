//! The gateway before upstreams that leave or want nothing for a time, and before a store
//! that comes back from an older copy.

use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::config_with;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::site_runner::RunnerFault;
use tokio::time::Instant;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The repeated sends that are allowed beside a fifth of the requests, which these tests
/// never use up.
const RETRY_BURST: u32 = 200;

/// The time within which upstreams' entries are the same at all gateways.
const CATCH_UP: Duration = Duration::from_secs(4);

async fn start_site() -> Site {
    Site::start(Path::new(PROGRAM), RETRY_BURST).await
}

/// Sends calls one after the other until one has reached a runner.
async fn call_until_reached(site: &Site, runner: &str, name: &str) {
    let before = site.runners.arrived(runner).len();
    for index in 0..50 {
        let id = format!("{name}-{index}");
        site.send(request("GET", "/stock/", &id)).await.unwrap();
        if site.runners.arrived(runner).len() > before {
            return;
        }
    }
    panic!("no call reached {runner}");
}

/// DRAIN: an upstream that says in an answer that it leaves gets no further request, although
/// its entry and its health check say nothing of it.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_says_that_it_leaves_gets_no_further_call() {
    let site = start_site().await;
    site.runners.set_fault("ledger-0", RunnerFault::SayLeaving);
    call_until_reached(&site, "ledger-0", "before").await;
    let reached = site.runners.arrived("ledger-0").len();
    // Longer than any question about its health takes to find it well.
    let end = Instant::now() + Duration::from_secs(3);
    let mut index = 0;
    while Instant::now() < end {
        let id = format!("after-{index}");
        let answer = site.send(request("GET", "/stock/", &id)).await.unwrap();
        assert_eq!(answer.status(), 200, "{answer:?}");
        index += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(site.runners.arrived("ledger-0").len(), reached);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_engine_that_says_that_it_leaves_is_on_no_further_path() {
    let site = start_site().await;
    let answer = site.send(stream_request("first")).await.unwrap();
    assert_eq!(answer.status(), 200);
    let leaving = site.ran("first").remove(0);
    site.runners.set_fault(&leaving, RunnerFault::SayLeaving);
    wait_until("the gateway has heard it", async || {
        site.gateway
            .log()
            .contains(&format!("event=says_leaving upstream={leaving}"))
    })
    .await;
    let reached = site.runners.arrived(&leaving).len();
    for index in 0..10 {
        let id = format!("after-{index}");
        let answer = site.send(stream_request(&id)).await.unwrap();
        assert_eq!(answer.status(), 200, "{answer:?}");
    }
    assert_eq!(site.runners.arrived(&leaving).len(), reached);
}

/// BUDGET: an upstream that wants nothing for a time gets at most two requests from half a
/// second after its refusal to the end of that time, and serves again after it.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_wants_a_pause_gets_it() {
    let site = start_site().await;
    site.runners
        .set_fault("ledger-0", RunnerFault::RefuseFor("2.5"));
    call_until_reached(&site, "ledger-0", "before").await;
    let refused_at = Instant::now();
    let quiet_from = refused_at + Duration::from_millis(500);
    let quiet_to = refused_at + Duration::from_millis(2_400);
    let mut index = 0;
    while Instant::now() < quiet_to {
        let id = format!("during-{index}");
        let answer = site.send(request("GET", "/stock/", &id)).await.unwrap();
        assert_eq!(answer.status(), 200, "{answer:?}");
        index += 1;
        sleep(Duration::from_millis(10)).await;
    }
    let arrived = site.runners.arrived("ledger-0");
    let during = arrived.iter().filter(|at| **at > quiet_from).count();
    assert!(during <= 2, "{during} requests in the pause");
    site.runners.set_fault("ledger-0", RunnerFault::None);
    sleep(Duration::from_millis(300)).await;
    call_until_reached(&site, "ledger-0", "later").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_pause_without_a_time_is_none() {
    let site = start_site().await;
    for nonsense in ["soon", "-3", "NaN", ""] {
        site.runners
            .set_fault("ledger-0", RunnerFault::RefuseFor(nonsense));
        call_until_reached(&site, "ledger-0", "before").await;
        site.runners.set_fault("ledger-0", RunnerFault::None);
        call_until_reached(&site, "ledger-0", "after").await;
    }
    assert!(site.gateway.log().contains("event=pause_unreadable"));
}

/// When all upstreams want nothing, a client is told to come back no sooner than one of them
/// wants requests again.
#[tokio::test(flavor = "multi_thread")]
async fn test_client_comes_back_when_a_pause_ends() {
    let site = start_site().await;
    for ledger in ["ledger-0", "ledger-1"] {
        site.runners
            .set_fault(ledger, RunnerFault::RefuseFor("1.5"));
    }
    site.send(request("GET", "/stock/", "first")).await.unwrap();
    let answer = site.send(request("GET", "/stock/", "later")).await.unwrap();
    assert_eq!(answer.status(), 503);
    let wait = answer.headers()["retry-after"].to_str().unwrap();
    let wait: f64 = wait.parse().unwrap();
    assert!(wait > 1.0, "{wait} s");
}

/// The store comes back from a copy that is older than a configuration, a withdrawn key and a
/// lease, and gives their revisions out again.
#[tokio::test(flavor = "multi_thread")]
async fn test_store_from_an_older_copy_takes_nothing_back() {
    let mut site = start_site().await;
    site.store.keep_copy();
    site.store.put_config(&config_with(8, &["key-1"], 8_000));
    wait_until("the configuration is in force", async || {
        site.gateway.log().contains("event=config version=8")
    })
    .await;
    let orders = site.runners.orders("place").len();
    site.store.restore();
    wait_until("the gateway knows of the new era", async || {
        site.gateway.log().contains("event=store_era era=2")
    })
    .await;
    // Neither does the configuration go back, nor does a withdrawn key become valid again.
    let mut withdrawn = request("GET", "/stock/", "withdrawn");
    let key = "Bearer key-2".parse().unwrap();
    withdrawn.headers_mut().insert("authorization", key);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let answer = site.send(withdrawn.clone()).await.unwrap();
        assert_eq!(answer.status(), 401, "{answer:?}");
        let answer = site.send(stream_request("goes-on")).await.unwrap();
        assert_eq!(answer.status(), 200, "{answer:?}");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(site.runners.orders("place").len(), orders, "ordered again");
    // What is written from now on is followed, at revisions that were given out before.
    let late = site.runners.start("late-0", "llm", "hall", Some("card"));
    site.engines.push(late.await);
    let written_at = Instant::now();
    wait_until("a new entry is known", async || {
        site.gateway.log().contains("event=upstream id=late-0")
    })
    .await;
    assert!(written_at.elapsed() < CATCH_UP);
    let log = site.gateway.log();
    let forgotten = log.find("event=lease_forgotten").unwrap_or(usize::MAX);
    assert!(
        forgotten < log.len(),
        "the lease of the era before was kept"
    );
}

/// Entries that the copy lacks are written again some seconds later; none of their upstreams
/// is given up meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstreams_that_the_copy_lacks_go_on() {
    let mut site = start_site().await;
    site.store.keep_copy();
    let late = site.runners.start("ledger-9", "ledger", "hall", None);
    site.engines.push(late.await);
    call_until_reached(&site, "ledger-9", "before").await;
    site.store.restore();
    wait_until("the gateway knows of the new era", async || {
        site.gateway.log().contains("event=store_era era=2")
    })
    .await;
    sleep(Duration::from_millis(1_500)).await;
    site.runners.rewrite_entries();
    sleep(Duration::from_secs(2)).await;
    let log = site.gateway.log();
    assert!(!log.contains("event=upstream_gone id=ledger-9"), "{log}");
    call_until_reached(&site, "ledger-9", "after").await;
}

/// An upstream that drained before the store lost its word of it stays out, as the copy's
/// entry says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn test_draining_is_not_taken_back_by_an_older_copy() {
    let site = start_site().await;
    site.store.keep_copy();
    site.runners.drain("ledger-0");
    wait_until("the gateway knows of the draining", async || {
        let log = site.gateway.log();
        log.lines()
            .any(|line| line.contains("id=ledger-0") && line.contains("state=draining"))
    })
    .await;
    let reached = site.runners.arrived("ledger-0").len();
    site.store.restore();
    let end = Instant::now() + Duration::from_secs(4);
    let mut index = 0;
    while Instant::now() < end {
        let id = format!("after-{index}");
        site.send(request("GET", "/stock/", &id)).await.unwrap();
        index += 1;
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(site.runners.arrived("ledger-0").len(), reached);
}
