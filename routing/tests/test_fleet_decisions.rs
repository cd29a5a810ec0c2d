//! Decisions about requests on fleets whose engines pass activations to each other.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use jujubewall_routing::fleet::events::EventError;
use jujubewall_routing::fleet::events::EventFilter;
use jujubewall_routing::fleet::retry_budget::RetryBounds;
use jujubewall_routing::fleet::retry_budget::WindowedRetryBudget;
use jujubewall_routing::fleet::retry_schedule::RetrySchedule;
use jujubewall_routing::fleet::routes::RouteTable;
use jujubewall_routing::fleet::routes::UnknownKey;
use jujubewall_routing::fleet::silence::PathState;
use jujubewall_routing::fleet::silence::SilenceAction;
use jujubewall_routing::fleet::silence::SilentStream;
use jujubewall_routing::fleet::silence::may_have_run;
use jujubewall_routing::fleet::silence::silence_action;
use jujubewall_types::fleet::ClientAccount;
use jujubewall_types::fleet::ClientLimits;
use jujubewall_types::fleet::FleetConfig;
use jujubewall_types::fleet::RequestKind;
use jujubewall_types::fleet::Route;
use jujubewall_types::fleet::Service;
use jujubewall_types::fleet::TrafficShare;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ServiceName;
use proptest::prelude::*;
use smallvec::smallvec;
use tokio::time::Instant;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn route(name: &str, path_prefix: &str, shares: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: path_prefix.into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 2_000,
        target_latency_ms: 300,
        target_gap_ms: 0,
        rank: 1,
        shares: shares
            .iter()
            .map(|(name, weight)| TrafficShare {
                service: service(name),
                weight: *weight,
            })
            .collect(),
        max_attempts: 2,
        is_open: false,
        is_resumable: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(FleetConfig {
        version: 1,
        routes,
        services: ["old", "new"]
            .map(|name| Service {
                name: service(name),
                health_path: "/health".into(),
                max_connections: 10,
                engine: None,
            })
            .into(),
        limits: ClientLimits::default(),
        accounts: Some(vec![ClientAccount {
            name: AccountName::new("desk").unwrap(),
            keys: smallvec!["secret".into()],
            rank: Some(0),
        }]),
    })
}

#[test]
fn test_longest_prefix_of_the_host_takes_a_request() {
    let table = table(vec![
        route("all", "/", &[("old", 1)]),
        route("bay", "/bay/", &[("old", 1)]),
        route("stock", "/bay/stock/", &[("old", 1)]),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("desk.example", "/bay/stock/7"), Some("stock"));
    assert_eq!(name("DESK.example:80", "/bay/stocks"), Some("bay"));
    assert_eq!(name("desk.example", "/bay"), Some("all"));
    assert_eq!(name("other.example", "/bay/"), None);
}

#[test]
fn test_only_known_keys_admit_and_open_routes_need_none() {
    let mut open = route("open", "/open/", &[("old", 1)]);
    open.is_open = true;
    let table = table(vec![route("all", "/", &[("old", 1)]), open]);
    let closed = table.find("desk.example", "/x").unwrap();
    let holder = table.authenticate(closed, Some("secret")).unwrap().unwrap();
    assert_eq!(holder.account.as_str(), "desk");
    assert_eq!(holder.rank, Some(0));
    assert_eq!(table.authenticate(closed, Some("gone")), Err(UnknownKey));
    assert_eq!(table.authenticate(closed, None), Err(UnknownKey));
    let open = table.find("desk.example", "/open/x").unwrap();
    assert_eq!(table.authenticate(open, None), Ok(None));
}

#[test]
fn test_shares_of_a_route_follow_their_weights() {
    let table = table(vec![route("all", "/", &[("old", 90), ("new", 10)])]);
    let route = table.find("desk.example", "/").unwrap();
    let new = (0..1_000)
        .filter(|draw| table.service_for(route, *draw).unwrap().name == service("new"))
        .count();
    assert_eq!(new, 100);
}

fn budget(burst: f64) -> (WindowedRetryBudget, Instant) {
    let now = Instant::now();
    let bounds = RetryBounds {
        ratio: 0.2,
        burst,
        window: Duration::from_secs(10),
    };
    (WindowedRetryBudget::new(bounds, now), now)
}

/// Simulates a retry storm: every request fails and is to be sent again at once.
#[test]
fn test_retries_in_a_storm_stay_within_the_ratio_of_any_window() {
    let (mut budget, start) = budget(0.0);
    let desk = service("desk");
    let mut sent: Vec<Instant> = Vec::new();
    for step in 0..3_000_u32 {
        let now = start + Duration::from_millis(10) * step;
        budget.on_request(&desk, now);
        if budget.try_retry(&desk, 1.0, now) {
            sent.push(now);
        }
    }
    let window = Duration::from_secs(10);
    for (index, first) in sent.iter().enumerate() {
        let within = sent[index..]
            .iter()
            .filter(|at| **at - *first < window)
            .count();
        assert!(within <= 200, "{within} retries for 1000 requests");
    }
    assert!(sent.len() > 300, "only {} retries were allowed", sent.len());
}

#[test]
fn test_burst_of_a_fresh_process_grows_over_the_first_window() {
    let (mut budget, start) = budget(100.0);
    let desk = service("desk");
    let taken = |budget: &mut WindowedRetryBudget, now| {
        (0..200)
            .filter(|_| budget.try_retry(&desk, 0.5, now))
            .count()
    };
    assert_eq!(taken(&mut budget, start), 0);
    // In the first second, a process may not have heard of all other gateways.
    assert_eq!(taken(&mut budget, start + Duration::from_secs(1)), 0);
    let later = taken(&mut budget, start + Duration::from_secs(11));
    assert!(
        (30..=50).contains(&later),
        "{later} retries of a share of 50"
    );
    assert_eq!(taken(&mut budget, start + Duration::from_secs(12)), 0);
}

/// Simulates a burst: 200 clients are rejected within a second, while 50 slots a second
/// become free.
#[test]
fn test_rejected_clients_retry_at_the_rate_of_free_slots() {
    let start = Instant::now();
    let mut schedule = RetrySchedule::new(start);
    for step in 0..200 {
        schedule.on_end(start + Duration::from_millis(20) * step);
    }
    let burst = start + Duration::from_secs(4);
    let mut retries: Vec<Duration> = (0..200)
        .map(|step| {
            let now = burst + Duration::from_millis(5) * step;
            now + schedule.next_retry_after(now) - burst
        })
        .collect();
    retries.sort();
    let in_second = |second: u64| {
        let range = Duration::from_secs(second)..Duration::from_secs(second + 1);
        retries.iter().filter(|retry| range.contains(retry)).count()
    };
    for second in 1..4 {
        let count = in_second(second);
        assert!(
            (40..=60).contains(&count),
            "{count} come back in second {second}"
        );
    }
    assert!(retries[0] >= Duration::from_millis(300));
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: word word\n\n")
}

#[test]
fn test_partial_event_is_never_sent() {
    let mut filter = EventFilter::new(None);
    let whole = event(0) + &event(1);
    let events = filter
        .push(Bytes::from(whole.clone() + "id: 2\nda"))
        .unwrap();
    assert_eq!(events, whole.as_bytes());
    assert!(filter.has_partial_event());
    filter.take_partial_event();
    // The next run continues after the last complete event.
    let events = filter.push(Bytes::from(event(2))).unwrap();
    assert_eq!(events, event(2).as_bytes());
    assert_eq!(filter.last_id(), Some(2));
}

#[test]
fn test_repeated_missing_and_unidentified_events_end_a_run() {
    let fault = |text: String| {
        let mut filter = EventFilter::new(Some(4));
        filter.push(Bytes::from(text)).unwrap_err()
    };
    assert_eq!(fault(event(4)), EventError::OutOfOrder { last: 4, got: 4 });
    assert_eq!(fault(event(6)), EventError::OutOfOrder { last: 4, got: 6 });
    assert_eq!(fault("data: word\n\n".to_owned()), EventError::NoId);
}

/// Events that arrived together with a wrong one were counted as sent, but not sent.
#[test]
fn test_events_before_a_wrong_one_are_sent() {
    for wrong in [event(9), event(1), "data: word\n\n".to_owned()] {
        let mut filter = EventFilter::new(None);
        let text = event(0) + &event(1) + &wrong + &event(2);
        let sent = filter.push(Bytes::from(text)).unwrap();
        assert_eq!(sent, event(0) + &event(1));
        assert_eq!(filter.last_id(), Some(1));
        assert!(filter.has_partial_event());
        let more = filter.push(Bytes::from(event(2)));
        assert!(more.is_err(), "{more:?}");
        assert_eq!(filter.last_id(), Some(1));
    }
}

/// The identifier before the largest number was followed by an overflow.
#[test]
fn test_largest_identifier_is_followed_by_none() {
    let mut filter = EventFilter::new(Some(u64::MAX));
    let fault = filter.push(Bytes::from(event(0))).unwrap_err();
    let last = u64::MAX;
    assert_eq!(fault, EventError::OutOfOrder { last, got: 0 });
}

#[test]
fn test_event_that_reports_an_error_ends_a_run() {
    let mut filter = EventFilter::new(Some(4));
    let text = "id: 5\nevent: error\ndata: no\n\n";
    assert_eq!(
        filter.push(Bytes::from(text)).unwrap_err(),
        EventError::Failed
    );
}

proptest! {
    /// However the bytes are split and wherever a wrong event stands, what was sent and what
    /// counts as sent agree.
    #[test]
    fn test_what_counts_as_sent_was_sent(
        ids in prop::collection::vec(0_u64..12, 1..20),
        cuts in prop::collection::vec(1_usize..60, 1..40),
    ) {
        let whole: String = (0..6).chain(ids).map(event).collect();
        let mut filter = EventFilter::new(None);
        let mut sent = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.iter().cycle() {
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            rest = left;
            match filter.push(Bytes::copy_from_slice(part)) {
                Ok(events) => sent.extend_from_slice(&events),
                Err(_) => break,
            }
            if rest.is_empty() {
                break;
            }
        }
        let counted = filter.last_id().map_or(0, |last| last + 1);
        let expected: String = (0..counted).map(event).collect();
        prop_assert_eq!(sent, expected.as_bytes());
    }

    /// However the bytes are split, the client gets each event once and in order.
    #[test]
    fn test_events_are_the_same_however_their_bytes_are_cut(
        count in 1_u64..20,
        cuts in prop::collection::vec(1_usize..40, 1..60),
    ) {
        let whole: String = (0..count).map(event).collect();
        let mut filter = EventFilter::new(None);
        let mut passed = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            rest = left;
            passed.extend_from_slice(&filter.push(Bytes::copy_from_slice(part)).unwrap());
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
        }
        prop_assert_eq!(passed, whole.as_bytes());
        prop_assert_eq!(filter.last_id(), Some(count - 1));
    }
}

/// Guards against torn events of a stream that comes back to a run which was set aside in the
/// middle of an event.
#[test]
fn test_run_that_was_set_aside_goes_on_in_the_middle_of_its_event() {
    let mut filter = EventFilter::new(None);
    let first = filter.push(Bytes::from_static(b"id: 0\ndata: a\n\nid: 1\nda"));
    assert_eq!(&first.unwrap()[..], b"id: 0\ndata: a\n\n");
    let partial = filter.take_partial_event();
    assert!(!filter.has_partial_event());
    filter
        .push(Bytes::from_static(b"id: 1\ndata: oth"))
        .unwrap();
    filter.restore_partial_event(partial);
    let rest = filter.push(Bytes::from_static(b"ta: b\n\n"));
    assert_eq!(&rest.unwrap()[..], b"id: 1\ndata: b\n\n");
}

fn silent(silence_ms: u64) -> SilentStream {
    SilentStream {
        has_begun: true,
        silence: Duration::from_millis(silence_ms),
        expected_gap: Duration::from_millis(30),
        client_timeout: Duration::from_secs(2),
        path: PathState::Intact,
        can_reroute: true,
    }
}

#[test]
fn test_silent_path_is_probed_before_it_is_given_up() {
    assert_eq!(silence_action(&silent(40)), SilenceAction::Wait);
    assert_eq!(silence_action(&silent(90)), SilenceAction::ProbeParts);
    assert_eq!(silence_action(&silent(400)), SilenceAction::QueryFirst);
    assert_eq!(silence_action(&silent(1_300)), SilenceAction::Move);
}

/// Guards against rerouting a slow but healthy stream, whose route allows long pauses and
/// whose client waits for as long, after a fixed time.
#[test]
fn test_slow_stream_is_not_given_up_while_its_client_waits() {
    let slow = SilentStream {
        expected_gap: Duration::from_millis(900),
        client_timeout: Duration::from_secs(8),
        ..silent(3_000)
    };
    assert_eq!(silence_action(&slow), SilenceAction::ProbeParts);
    let stalled = SilentStream {
        silence: Duration::from_secs(5),
        ..slow
    };
    assert_eq!(silence_action(&stalled), SilenceAction::Move);
}

#[test]
fn test_lost_part_ends_a_run_within_the_pause_that_clients_accept() {
    let lost = SilentStream {
        path: PathState::PartLost,
        ..silent(35)
    };
    assert_eq!(silence_action(&lost), SilenceAction::GiveUp);
}

/// Guards against giving up a run whose engine is silent and may still go on, before another
/// run is known to be allowed.
#[test]
fn test_silent_part_does_not_end_a_run() {
    let part_silent = SilentStream {
        path: PathState::PartSilent,
        ..silent(35)
    };
    assert_eq!(silence_action(&part_silent), SilenceAction::Move);
    let kept = SilentStream {
        can_reroute: false,
        ..part_silent
    };
    // It may still be rerouted, which is no other run.
    assert_eq!(silence_action(&kept), SilenceAction::Move);
}

/// Guards against moving queued streams in a full fleet, which would only load the next
/// engine.
#[test]
fn test_queued_stream_stays_where_it_is() {
    let queued = SilentStream {
        has_begun: false,
        path: PathState::Queued,
        ..silent(1_900)
    };
    assert_eq!(silence_action(&queued), SilenceAction::QueryFirst);
}

#[test]
fn test_stream_that_may_not_be_repeated_is_not_given_up_for_silence() {
    let kept = SilentStream {
        can_reroute: false,
        ..silent(10_000)
    };
    assert_matches!(silence_action(&kept), SilenceAction::QueryFirst);
}

#[test]
fn test_only_a_repeatable_stream_without_a_token_is_known_not_to_have_run() {
    let lost = SilentStream {
        has_begun: false,
        path: PathState::PartLost,
        ..silent(300)
    };
    assert!(!may_have_run(&lost));
    for may_have in [
        SilentStream {
            can_reroute: false,
            ..lost
        },
        SilentStream {
            has_begun: true,
            ..lost
        },
        SilentStream {
            path: PathState::Intact,
            ..lost
        },
        SilentStream {
            path: PathState::PartSilent,
            ..lost
        },
    ] {
        assert!(may_have_run(&may_have), "{may_have:?}");
    }
}
