//! Who plans when the planner is gone and its lease cannot tell.

use std::time::Duration;

use jujubewall_routing::fleet::planner_watch::PlannerWatch;
use jujubewall_types::id::MemberName;
use tokio::time::Instant;

fn member(name: &str) -> MemberName {
    MemberName::new(name).unwrap()
}

/// Replays a planner that is stopped while the store is away: it serves its streams for
/// several seconds, in which it was taken for the one to plan by its name.
#[test]
fn test_draining_planner_is_replaced_at_once() {
    let now = Instant::now();
    let mut watch = PlannerWatch::new();
    watch.on_told(&member("a"), true, false, now);
    watch.on_told(&member("c"), false, false, now);
    assert!(watch.has_planner(now) && !watch.has_lost_planner(now));
    watch.on_told(&member("a"), false, true, now);
    assert!(watch.has_lost_planner(now));
    assert!(watch.is_first(&member("b"), now));
    assert!(!watch.is_first(&member("d"), now));
}

/// Replays a killed planner, whose lease still stands.
#[test]
fn test_silent_planner_counts_as_lost_after_a_second() {
    let now = Instant::now();
    let mut watch = PlannerWatch::new();
    watch.on_told(&member("a"), true, false, now);
    let soon = now + Duration::from_millis(900);
    assert!(watch.has_planner(soon));
    assert!(!watch.is_first(&member("b"), soon));
    let later = now + Duration::from_millis(1_100);
    assert!(watch.has_lost_planner(later));
    assert!(watch.is_first(&member("b"), later));
}

/// Replays the start of a fleet, in which the winner of the lease is about to tell.
#[test]
fn test_nobody_stands_in_before_anybody_has_planned() {
    let now = Instant::now();
    let mut watch = PlannerWatch::new();
    watch.on_told(&member("b"), false, false, now);
    assert!(!watch.has_planner(now) && !watch.has_lost_planner(now));
}
