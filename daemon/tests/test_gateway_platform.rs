//! Tests the gateway with upstreams that leave or ask for a pause, and with a store that is
//! restored from an older copy.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::config_with;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::Written;
use jujubewall_testutils::site_runner::RunnerFault;
use tokio::time::Instant;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The burst of the retry budget, on top of a fifth of the requests. These tests never use
/// it up.
const RETRY_BURST: u32 = 200;

/// The time within which a new entry is known to all gateways.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(4);

async fn start_site() -> Site {
    Site::start(Path::new(PROGRAM), RETRY_BURST).await
}

/// Sends calls one after the other for a time, whatever their answers are.
async fn call_for(site: &Site, time: Duration) {
    let end = Instant::now() + time;
    let mut index = 0;
    while Instant::now() < end {
        let id = format!("after-{index}");
        site.send(request("GET", "/stock/", &id)).await.unwrap();
        index += 1;
        sleep(Duration::from_millis(30)).await;
    }
}

/// Sends calls one after the other until one has reached `runner`.
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

/// DRAIN: an upstream that states in an answer that it is leaving gets no further request,
/// although its entry and its health check do not show it.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_states_that_it_leaves_gets_no_further_call() {
    let site = start_site().await;
    site.runners.set_fault("ledger-0", RunnerFault::SayLeaving);
    call_until_reached(&site, "ledger-0", "before").await;
    let reached = site.runners.arrived("ledger-0").len();
    // Longer than a health check takes to find the upstream healthy.
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
async fn test_engine_that_states_that_it_leaves_is_on_no_further_path() {
    let site = start_site().await;
    let answer = site.send(stream_request("first")).await.unwrap();
    assert_eq!(answer.status(), 200);
    let leaving = site.ran("first").remove(0);
    site.runners.set_fault(&leaving, RunnerFault::SayLeaving);
    wait_until("the gateway knows that the engine leaves", async || {
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

/// Guards against a sound engine that a leaving one names in its last refusals being taken for
/// leaving itself, for good: no path is left, and all streams are rejected.
#[tokio::test(flavor = "multi_thread")]
async fn test_engine_that_a_leaving_one_names_is_used_again() {
    for status in [503, 421] {
        let site = start_site().await;
        let leaving: Vec<String> = site
            .engine_ids()
            .into_iter()
            .filter(|id| {
                site.runners
                    .layers_of(id)
                    .is_some_and(|held| held.first == 0)
            })
            .collect();
        for id in &leaving {
            site.runners
                .set_fault(id, RunnerFault::LeaveBlaming(status));
        }
        for index in 0..10 {
            let id = format!("refused-{index}");
            site.send(stream_request(&id)).await.unwrap();
        }
        let mut count = 0;
        wait_until("the other engines serve all streams", async || {
            count += 1;
            let id = format!("after-{count}");
            let answer = site.send(stream_request(&id)).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
        let mut failed = Vec::new();
        for index in 0..20 {
            let id = format!("later-{index}");
            let answer = site.send(stream_request(&id)).await.unwrap();
            if answer.status() != 200 {
                failed.push(format!("{id}: {}", answer.status()));
            }
        }
        assert!(failed.is_empty(), "{status}: {failed:?}");
        for id in site.engine_ids() {
            let says = format!("event=says_leaving upstream={id}");
            let is_believed = site.gateway.log().contains(&says);
            assert!(!is_believed || leaving.contains(&id), "{status}: {id}");
        }
    }
}

/// BUDGET: an upstream that asks for a pause gets at most two requests from half a second
/// after its refusal to the end of the pause, and serves requests again after it.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_asks_for_a_pause_gets_at_most_two_requests_in_it() {
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

/// Guards against a pause that one engine asks for in a refusal being kept at the engine which the
/// refusal names: that one has asked for none.
#[tokio::test(flavor = "multi_thread")]
async fn test_pause_holds_for_the_engine_that_asks_for_it() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let sound: Script = Arc::new(|received: &Received| {
        let body = "id: 0\ndata: word\n\n";
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: raw\r\n\
             content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n",
            received.id,
            body.len()
        );
        Written::new(head + body, After::Close)
    });
    let sound = site.upstream("engine-0", "llm", sound).await;
    let named = sound.address;
    let asking: Script = Arc::new(move |received: &Received| {
        let head = format!(
            "HTTP/1.1 503 Full\r\nrequest-id: {}\r\nnot-run: 1\r\nat-server: {named}\r\n\
             retry-after: 30\r\ncontent-length: 0\r\n\r\n",
            received.id
        );
        Written::new(head, After::Close)
    });
    let asking = site.upstream("engine-1", "llm", asking).await;
    let mut refused = 0;
    for index in 0..40 {
        let id = format!("s-{index}");
        let answer = site.gateway.send(stream_request(&id)).await.unwrap();
        refused += asking.received(&id).len();
        // The named engine is avoided for a moment.
        if answer.status() != 200 {
            sleep(Duration::from_millis(50)).await;
        }
    }
    assert!(refused > 0, "no stream was refused");
    let answer = site.gateway.send(stream_request("last")).await.unwrap();
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert!(
        refused <= 3,
        "{refused} streams reached the engine in its pause"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn test_pause_without_a_valid_time_is_ignored() {
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

/// When all upstreams are paused, a client is told to retry no sooner than the first of them
/// accepts requests again.
#[tokio::test(flavor = "multi_thread")]
async fn test_retry_after_lasts_until_a_pause_ends() {
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

/// The store is restored from a copy that is older than a configuration, a withdrawn key and
/// a lease, and assigns their revisions again.
#[tokio::test(flavor = "multi_thread")]
async fn test_store_restored_from_an_older_copy_reverts_nothing() {
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
    // The configuration does not revert, and a withdrawn key does not become valid again.
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
    // New writes are followed, although their revisions were assigned before.
    let late = site.runners.start("late-0", "llm", "hall", Some("card"));
    site.engines.push(late.await);
    let written_at = Instant::now();
    wait_until("a new entry is known", async || {
        site.gateway.log().contains("event=upstream id=late-0")
    })
    .await;
    assert!(written_at.elapsed() < MAX_ENTRY_DELAY);
    let log = site.gateway.log();
    let forgotten = log.find("event=lease_forgotten").unwrap_or(usize::MAX);
    assert!(
        forgotten < log.len(),
        "the lease of the previous era was kept"
    );
}

/// Entries that the copy lacks are rewritten some seconds later; their upstreams stay in use
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstreams_missing_in_the_restored_copy_stay_in_use() {
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

/// An upstream that drains stays out of use after the store has lost the write of it,
/// although the copy's entry says that the upstream is ready.
#[tokio::test(flavor = "multi_thread")]
async fn test_draining_is_not_reverted_by_an_older_copy() {
    let site = start_site().await;
    site.store.keep_copy();
    site.runners.drain("ledger-0");
    wait_until("the gateway knows that the upstream drains", async || {
        let log = site.gateway.log();
        log.lines()
            .any(|line| line.contains("id=ledger-0") && line.contains("state=draining"))
    })
    .await;
    let reached = site.runners.arrived("ledger-0").len();
    site.store.restore();
    call_for(&site, Duration::from_secs(4)).await;
    assert_eq!(site.runners.arrived("ledger-0").len(), reached);
}

/// Guards against an upstream whose removal was seen being used again when an older copy of the
/// store shows its entry: a removal is not taken back by an entry that is older.
#[tokio::test(flavor = "multi_thread")]
async fn test_removal_is_not_reverted_by_an_older_copy() {
    let site = start_site().await;
    site.store.keep_copy();
    site.runners.remove_entry("ledger-0");
    let gone = "event=upstream_gone id=ledger-0";
    wait_until("the gateway knows that the upstream is gone", async || {
        site.gateway.log().contains(gone)
    })
    .await;
    // It says so in all its answers, of which the gateway has got none.
    site.runners.set_fault("ledger-0", RunnerFault::SayLeaving);
    let reached = site.runners.arrived("ledger-0").len();
    site.store.restore();
    call_for(&site, Duration::from_secs(4)).await;
    assert_eq!(site.runners.arrived("ledger-0").len(), reached);
}

/// An upstream whose entry lapsed while it was cut off from the store is used again soon after
/// the entry is back.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_whose_entry_lapsed_is_used_again() {
    let site = start_site().await;
    site.runners.remove_entry("ledger-0");
    let gone = "event=upstream_gone id=ledger-0";
    wait_until("the gateway knows that the upstream is gone", async || {
        site.gateway.log().contains(gone)
    })
    .await;
    site.runners.rewrite_entries();
    sleep(Duration::from_secs(1)).await;
    call_until_reached(&site, "ledger-0", "back").await;
}
