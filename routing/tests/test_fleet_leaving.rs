//! Entries that are stopped one after the other.

use std::time::Duration;

use jujubewall_routing::fleet::leaving::Arrival;
use jujubewall_routing::fleet::leaving::BALANCER_NOTICE;
use jujubewall_routing::fleet::leaving::Leaving;
use jujubewall_routing::fleet::leaving::Others;
use tokio::time::Instant;

const GRACE: Duration = Duration::from_secs(8);
const CALL: Duration = Duration::from_millis(1_500);
const STREAM: Duration = Duration::from_secs(20);

#[test]
fn test_everything_is_taken_until_the_balancer_has_noticed() {
    let start = Instant::now();
    let leaving = Leaving::new(start, GRACE);
    let before = start + BALANCER_NOTICE - Duration::from_millis(1);
    assert_eq!(
        leaving.on_request(STREAM, Others::Take, before),
        Arrival::Taken
    );
}

#[test]
fn test_what_certainly_ends_in_time_is_taken_and_the_rest_rejected() {
    let start = Instant::now();
    let leaving = Leaving::new(start, GRACE);
    let after = leaving.notice_end();
    assert_eq!(
        leaving.on_request(CALL, Others::Take, after),
        Arrival::Taken
    );
    assert_ne!(
        leaving.on_request(STREAM, Others::Take, after),
        Arrival::Taken
    );
    let late = start + GRACE - CALL;
    assert_ne!(leaving.on_request(CALL, Others::Take, late), Arrival::Taken);
}

/// Replays four entries that are stopped with gaps of one and a half seconds: from the notice
/// of the last one on, none takes a stream until the first is back.
#[test]
fn test_rejected_clients_come_back_when_another_entry_is_back() {
    let start = Instant::now();
    let gap = Duration::from_millis(1_500);
    let last = Leaving::new(start + 3 * gap, GRACE);
    let others = Others::LeaveSince(start);
    let first_is_back = start + GRACE + Duration::from_secs(1);
    let mut now = last.notice_end();
    let mut rejected = 0;
    while now < first_is_back {
        if let Arrival::Rejected(wait) = last.on_request(STREAM, others, now) {
            rejected += 1;
            assert!(now + wait >= first_is_back, "too early by a second stop");
            assert!(wait <= GRACE, "later than any entry takes to be back");
        }
        now += Duration::from_millis(10);
    }
    assert!(rejected > 0);
}

#[test]
fn test_a_client_moves_at_once_while_another_entry_takes_requests() {
    let leaving = Leaving::new(Instant::now(), GRACE);
    let after = leaving.notice_end();
    let Arrival::Rejected(wait) = leaving.on_request(STREAM, Others::Take, after) else {
        panic!("a stream may outlast the entry");
    };
    assert!(wait <= Duration::from_millis(100));
}

/// The platform's rules hold nothing against an entry that was sent later than three seconds
/// after the signal, so nothing that may outlast the entry is taken then.
#[test]
fn test_nothing_that_may_be_cut_is_taken_late() {
    let start = Instant::now();
    let leaving = Leaving::new(start, GRACE);
    let late = start + Duration::from_secs(3);
    let step = leaving.on_request(STREAM, Others::LeaveSince(start), late);
    assert_ne!(step, Arrival::Taken);
}

#[test]
fn test_a_short_grace_leaves_time_for_what_was_taken() {
    let start = Instant::now();
    let grace = Duration::from_secs(2);
    let leaving = Leaving::new(start, grace);
    let end = start + grace;
    assert!(leaving.notice_end() + grace / 4 < end);
}
