//! The pace of a new upstream at a gateway as a process.

use std::path::Path;

use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::wait_until;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// A pace whose answers were not reported by the gateway's tasks would last for a minute; paces
/// that are not logged cannot be found by operators.
#[tokio::test(flavor = "multi_thread")]
async fn test_pace_of_new_upstream_begins_ends_and_is_logged() {
    let site = Site::start(Path::new(PROGRAM), 200).await;
    let before = site.gateway.event_count("pace_end").await;
    let _new = site.runners.start("ledger-9", "ledger", "hall", None).await;
    let begun = "event=pace upstream=ledger-9 change=begin reason=new_incarnation";
    wait_until("a pace has begun", async || {
        site.gateway.log().contains(begun)
    })
    .await;
    let mut sent = 0;
    wait_until("the pace has ended", async || {
        sent += 1;
        let call = request("GET", "/stock/7", &format!("c-{sent}"));
        assert_eq!(site.send(call).await.unwrap().status(), 200);
        let ended = "event=pace upstream=ledger-9 change=end";
        site.gateway.log().contains(ended)
    })
    .await;
    assert!(site.gateway.event_count("pace_begin").await >= 1);
    assert!(site.gateway.event_count("pace_end").await > before);
}
