//! Clients that are rejected while no failure domain holds all layers.

use std::time::Duration;

use jujubewall_routing::fleet::repair_estimate::RepairEstimate;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// The time between two new clients at one gateway.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(25);

/// A third of the time that clients of streams usually have.
const CLIENT_LIMIT: Duration = Duration::from_millis(6_600);

/// The longest load of one engine.
const LONGEST_LOAD: Duration = Duration::from_secs(3);

/// Rejects a client at every interval while layers are missing for `gap`. Returns the share
/// of those that return before the layers are back, by what they were told.
fn share_returning_in_vain(
    estimate: &mut RepairEstimate,
    start: Instant,
    gap: Duration,
    rng: &mut ChaCha8Rng,
) -> f64 {
    let mut now = start;
    let (mut rejected, mut in_vain) = (0.0, 0.0);
    while now < start + gap {
        let wait = estimate.next_retry_after(rng.random(), now);
        assert!(
            wait >= Duration::from_secs(1) && wait <= CLIENT_LIMIT,
            "{wait:?}"
        );
        rejected += 1.0;
        in_vain += f64::from(u8::from(now + wait < start + gap));
        now += ARRIVAL_INTERVAL;
    }
    estimate.on_path(now);
    in_vain / rejected
}

/// Guards against a constant time of one second, with which five of six clients came back in
/// vain while engines took six seconds to load what was missing.
#[test]
fn test_few_clients_return_before_layers_are_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut estimate = RepairEstimate::new(LONGEST_LOAD);
    let start = Instant::now();
    let gap = Duration::from_secs(6);
    let first = share_returning_in_vain(&mut estimate, start, gap, &mut rng);
    assert!(first < 0.5, "{first:.2}");
    let later = start + Duration::from_secs(20);
    let second = share_returning_in_vain(&mut estimate, later, gap, &mut rng);
    assert!(second < first, "{second:.2} after {first:.2}");
}

#[test]
fn test_clients_do_not_wait_long_once_repairs_are_seen_to_be_short() {
    let mut estimate = RepairEstimate::new(LONGEST_LOAD);
    let mut now = Instant::now();
    for _ in 0..6 {
        estimate.next_retry_after(0.0, now);
        now += Duration::from_millis(800);
        estimate.next_retry_after(0.0, now);
        estimate.on_path(now);
        now += Duration::from_secs(10);
    }
    assert!(estimate.next_retry_after(0.0, now) < Duration::from_millis(1_100));
}

#[test]
fn test_gap_without_rejections_for_a_while_is_not_taken_for_a_long_repair() {
    let mut estimate = RepairEstimate::new(LONGEST_LOAD);
    let start = Instant::now();
    let before = estimate.next_retry_after(0.0, start);
    estimate.on_path(start + Duration::from_mins(1));
    let after = estimate.next_retry_after(0.0, start + Duration::from_secs(61));
    assert_eq!(after, before);
}

#[test]
fn test_waits_of_clients_that_are_rejected_together_differ() {
    let mut estimate = RepairEstimate::new(LONGEST_LOAD);
    let now = Instant::now();
    let first = estimate.next_retry_after(0.0, now);
    let last = estimate.next_retry_after(1.0, now);
    assert!(last >= first.mul_f64(1.2), "{first:?} {last:?}");
}
