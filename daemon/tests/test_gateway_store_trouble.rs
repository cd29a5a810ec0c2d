//! Changes in the store that follow some trouble of the store, of the connections to it or of
//! the gateways that follow it: they are in force everywhere in time.

use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::gateway_fleet::GatewayFleet;
use jujubewall_testutils::site_store::StoreMood;
use tokio::time::Instant;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The bound on the time from the acknowledgement of a configuration until it is in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// The bound on the time from the acknowledgement that an upstream has left to the last
/// request to it.
const DRAIN: Duration = Duration::from_secs(2);

/// The time after a disturbance from which on the bounds hold.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The time in which the gateways have agreed who follows the store.
const SETTLING: Duration = Duration::from_secs(4);

/// The time after a change within which late requests are looked for.
const OBSERVATION: Duration = Duration::from_secs(5);

/// The time for which the store turns followers away, or they are cut off from it.
const TURNED_AWAY: Duration = Duration::from_secs(6);

const HALL: &str = "hall";
const APRON: &str = "apron";

async fn start(zones: &[&str]) -> GatewayFleet {
    let fleet = GatewayFleet::start(Path::new(PROGRAM), zones, &["key-1", "key-2"]).await;
    sleep(SETTLING).await;
    fleet
}

/// Takes a key away a moment after an outage, and fails if it opens anything later than the
/// rules allow.
async fn check_withdrawn_key(zones: &[&str], mood: StoreMood, outage: Duration) {
    let mut fleet = start(zones).await;
    fleet.store.set_mood(mood);
    sleep(outage).await;
    fleet.store.set_mood(StoreMood::Well);
    let returned_at = Instant::now();
    sleep(Duration::from_millis(600)).await;
    fleet.configure(&["key-2"]);
    let withdrawn_at = Instant::now();
    sleep(OBSERVATION).await;
    let from = (withdrawn_at + CONFIG_APPLY).max(returned_at + STABLE_WINDOW);
    let sent = fleet.sent();
    let late: Vec<_> = sent
        .iter()
        .filter(|sent| sent.status == Some(200) && sent.at > from)
        .collect();
    assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
    let refused = sent.iter().filter(|sent| sent.status == Some(401));
    assert!(refused.count() > 0, "the key is never refused");
}

/// Guards against a withdrawn key that stayed valid since all followers of both domains gave
/// the role up during an outage and rested after it.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_key_is_refused_soon_after_an_outage_of_the_store() {
    let zones = [HALL, HALL, APRON, APRON];
    check_withdrawn_key(&zones, StoreMood::Closing, Duration::from_secs(2)).await;
}

/// Guards against the same in domains with gateways that do not follow the store, which the
/// followers leave the role to during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_key_is_refused_soon_after_an_outage_in_a_domain_of_six() {
    check_withdrawn_key(&[HALL; 6], StoreMood::Silent, Duration::from_secs(5)).await;
}

/// Guards against upstreams that got requests long after they had left, since a call on a
/// silent connection was taken for an outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_leaves_gets_no_requests_after_store_links_went_silent() {
    let mut fleet = start(&[HALL, HALL, APRON, APRON, "dock"]).await;
    for index in 0..2 {
        let silenced_at = Instant::now();
        fleet.silence_store_links();
        sleep(Duration::from_millis(500)).await;
        let left_at = fleet.replace_runner(index).await;
        sleep(OBSERVATION).await;
        let runner = format!("ledger-{index}");
        let late = fleet.runs_at(&runner, left_at + DRAIN, silenced_at + STABLE_WINDOW);
        assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
    }
}

/// Guards against the same when the store closes watches that wait, which it may.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_leaves_gets_no_requests_while_watches_are_cut() {
    let mut fleet = start(&[HALL, HALL, APRON, APRON, "dock"]).await;
    for index in 0..2 {
        fleet.store.cut_watches();
        sleep(Duration::from_millis(100)).await;
        let left_at = fleet.replace_runner(index).await;
        for _ in 0..5 {
            sleep(OBSERVATION / 5).await;
            fleet.store.cut_watches();
        }
        let runner = format!("ledger-{index}");
        let late = fleet.runs_at(&runner, left_at + DRAIN, left_at);
        assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
    }
}

/// Guards against upstreams that got requests long after they had left, since the loss of all
/// followers was taken for an outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_leaves_gets_no_requests_after_the_followers_were_killed() {
    let mut fleet = start(&[HALL; 6]).await;
    for index in 0..2 {
        let followers = fleet.followers();
        assert!(followers.len() < fleet.len(), "all follow the store");
        fleet.kill(&followers).await;
        sleep(Duration::from_millis(100)).await;
        let left_at = fleet.replace_runner(index).await;
        sleep(Duration::from_secs(2)).await;
        fleet.restart(&followers);
        sleep(OBSERVATION).await;
        let runner = format!("ledger-{index}");
        let late = fleet.runs_at(&runner, left_at + DRAIN, left_at);
        assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
    }
}

/// Turns the followers of a domain of `gateways` away, takes a key away, and fails if it opens
/// anything at the others later than the rules allow.
async fn check_followers_turned_away(gateways: usize, mood: StoreMood) {
    let mut fleet = start(&vec![HALL; gateways]).await;
    let followers = fleet.followers();
    assert!(followers.len() < fleet.len(), "all follow the store");
    fleet.turn_away(&followers, mood);
    sleep(Duration::from_millis(200)).await;
    fleet.configure(&["key-2"]);
    let withdrawn_at = Instant::now();
    sleep(TURNED_AWAY).await;
    fleet.turn_away(&followers, StoreMood::Well);
    let late: Vec<_> = fleet
        .sent()
        .into_iter()
        .filter(|sent| !followers.contains(&sent.gateway))
        .filter(|sent| sent.status == Some(200) && sent.at > withdrawn_at + CONFIG_APPLY)
        .collect();
    assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
}

/// Guards against a withdrawn key that stayed valid at gateways that nothing disturbed, while
/// those that followed the store for them were cut off from it and kept the role.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_key_is_refused_soon_while_followers_are_cut_off() {
    check_followers_turned_away(6, StoreMood::Silent).await;
}

/// Guards against the same while the store answers the followers nothing but 429.
#[tokio::test(flavor = "multi_thread")]
async fn test_withdrawn_key_is_refused_soon_while_followers_are_rate_limited() {
    check_followers_turned_away(9, StoreMood::Refusing(429)).await;
}

/// Guards against followers that get nothing but 429 from the store, which counted as no
/// failure, so that they kept the role and told the others that the store serves them.
#[tokio::test(flavor = "multi_thread")]
async fn test_followers_that_are_rate_limited_leave_the_role() {
    let fleet = start(&[HALL; 5]).await;
    let followers = fleet.followers();
    assert!(followers.len() < fleet.len(), "all follow the store");
    fleet.turn_away(&followers, StoreMood::Refusing(429));
    sleep(TURNED_AWAY).await;
    let planner_may_stay = 1;
    let still = fleet.followers();
    let still = still.iter().filter(|index| followers.contains(index));
    assert!(still.count() <= planner_may_stay);
    for follower in followers {
        assert!(fleet.log(follower).contains("event=store_lost"));
    }
}

/// Guards against an upstream that had left and got requests through gateways that nothing
/// disturbed: they took followers that were cut off for an outage of the store, and the first
/// answer to others for its return.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_leaves_gets_no_requests_while_followers_are_cut_off() {
    let mut fleet = start(&[HALL; 6]).await;
    let followers = fleet.followers();
    assert!(followers.len() < fleet.len(), "all follow the store");
    fleet.turn_away(&followers, StoreMood::Silent);
    sleep(Duration::from_millis(200)).await;
    let left_at = fleet.replace_runner(0).await;
    sleep(TURNED_AWAY).await;
    fleet.turn_away(&followers, StoreMood::Well);
    let mut late = fleet.runs_at("ledger-0", left_at + DRAIN, left_at);
    late.retain(|sent| !followers.contains(&sent.gateway));
    assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
}

/// Guards against the same after a planned stop of the followers, when those that step in have
/// not read the store yet.
#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_that_leaves_gets_no_requests_after_a_planned_stop_of_followers() {
    let mut fleet = start(&[HALL; 6]).await;
    for index in 0..2 {
        let followers = fleet.followers();
        assert!(followers.len() < fleet.len(), "all follow the store");
        fleet.terminate(&followers).await;
        sleep(Duration::from_millis(300)).await;
        let left_at = fleet.replace_runner(index).await;
        sleep(OBSERVATION).await;
        let runner = format!("ledger-{index}");
        let late = fleet.runs_at(&runner, left_at + DRAIN, left_at);
        assert!(late.is_empty(), "{} late: {:?}", late.len(), late.last());
        for gateway in 0..fleet.len() {
            let has_kept = fleet.log(gateway).contains("event=upstream_kept");
            assert!(!has_kept, "gateway {gateway} took the stop for an outage");
        }
        fleet.wait_ended(&followers).await;
        fleet.restart(&followers);
        sleep(SETTLING).await;
    }
}
