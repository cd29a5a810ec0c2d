//! Tests the limits on the sends of one request.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::fleet::attempts::Attempts;
use jujubewall_routing::fleet::attempts::Barred;
use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::instances::Suspicion;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::fleet::RequestKind;
use jujubewall_types::fleet::Route;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ServiceName;
use smallvec::SmallVec;
use smol_str::format_smolstr;
use tokio::time::Instant;

fn route(max_attempts: u32, is_resumable: bool) -> Route {
    Route {
        name: "notes".into(),
        host: "desk.example".into(),
        path_prefix: "/notes/".into(),
        kind: RequestKind::Stream,
        timeout_ms: 20_000,
        target_latency_ms: 500,
        target_gap_ms: 200,
        rank: 1,
        shares: SmallVec::new(),
        max_attempts,
        is_open: false,
        is_resumable,
    }
}

/// Adds three engines to a table.
fn engines(now: Instant) -> (InstanceTable, [InstanceKey; 3]) {
    let mut table = InstanceTable::new();
    let keys = [0, 1, 2].map(|index| {
        table.upsert(
            Instance {
                id: format_smolstr!("engine-{index}"),
                born_unix_ms: 1,
                service: ServiceName::new("model").unwrap(),
                address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index)),
                failure_domain: FailureDomainName::new("hall").unwrap(),
                state: InstanceState::Ready,
                slots: 192,
                accelerator: None,
                layers: None,
            },
            now,
        )
    });
    (table, keys)
}

#[test]
fn test_request_that_has_not_run_is_barred_by_its_sends_only() {
    let now = Instant::now();
    let (table, _) = engines(now);
    let mut attempts = Attempts::new(&route(1, false));
    for _ in 0..3 {
        attempts.begin_send();
        assert_eq!(attempts.barred(&table, now), None);
    }
    attempts.begin_send();
    assert_eq!(attempts.barred(&table, now), Some(Barred::Sends));
    attempts.cancel_send();
    assert_eq!(attempts.barred(&table, now), None);
}

#[test]
fn test_run_that_goes_on_counts_before_it_is_given_up() {
    let now = Instant::now();
    let (table, [first, second, _]) = engines(now);
    let mut attempts = Attempts::new(&route(2, true));
    attempts.begin_send();
    assert_eq!(attempts.barred_after(first, &table, now), None);
    assert!(!attempts.may_have_run());
    attempts.note_run(first);
    attempts.begin_send();
    assert_eq!(attempts.barred(&table, now), None);
    let barred = attempts.barred_after(second, &table, now);
    assert_eq!(barred, Some(Barred::Attempts));
    let single = Attempts::new(&route(2, false));
    let barred = single.barred_after(first, &table, now);
    assert_eq!(barred, Some(Barred::Attempts), "it may not be resumed");
}

/// Guards against a third engine for a stream whose two engines go on: one refused connection or
/// some silence is no end, but a link that is cut for a moment.
#[test]
fn test_engines_that_cannot_be_reached_for_a_moment_count_and_ended_ones_do_not() {
    for evidence in [Evidence::Silent, Evidence::Refused] {
        let now = Instant::now();
        let (mut table, [cut, other, _]) = engines(now);
        let mut attempts = Attempts::new(&route(2, true));
        for key in [cut, other] {
            attempts.begin_send();
            attempts.note_run(key);
        }
        table.suspect(cut, evidence, now);
        let at = |age_ms| now + Duration::from_millis(age_ms);
        for age_ms in [0, 500, 1_200] {
            let barred = attempts.barred(&table, at(age_ms));
            assert_eq!(barred, Some(Barred::Attempts), "{evidence} {age_ms}");
        }
        assert_eq!(attempts.barred(&table, at(2_000)), None, "{evidence}");
    }
}

/// An engine that runs anew has ended for certain, whatever was known of it.
#[test]
fn test_engine_that_restarted_does_not_count() {
    let now = Instant::now();
    let (mut table, [restarted, other, _]) = engines(now);
    let mut attempts = Attempts::new(&route(2, true));
    for key in [restarted, other] {
        attempts.begin_send();
        attempts.note_run(key);
    }
    assert_eq!(attempts.barred(&table, now), Some(Barred::Attempts));
    let mut instance = table.get(restarted).unwrap().instance.clone();
    instance.born_unix_ms += 1;
    table.upsert(instance, now);
    assert_eq!(attempts.barred(&table, now), None);
}

/// Guards against a refusal from before being taken for one of the present suspicion: too many
/// upstreams were suspected then, and the upstream has accepted connections since.
#[test]
fn test_earlier_refusal_is_no_evidence_in_a_later_suspicion() {
    let now = Instant::now();
    let (mut table, [first, second, key]) = engines(now);
    for other in [first, second] {
        table.suspect(other, Evidence::Silent, now);
    }
    let suspicion = table.suspect(key, Evidence::Refused, now);
    assert_eq!(suspicion, Suspicion::OwnLink);
    assert!(table.get(key).unwrap().refused_since().is_some());
    for other in [first, second] {
        table.clear_suspicion(other, now);
    }
    let later = now + Duration::from_secs(9);
    table.suspect(key, Evidence::Silent, later);
    assert_eq!(table.get(key).unwrap().refused_since(), None);
    table.clear_suspicion(key, later);
    for other in [first, second] {
        table.suspect(other, Evidence::Silent, later);
    }
    table.suspect(key, Evidence::Refused, later);
    table.note_accepted(key);
    assert_eq!(table.get(key).unwrap().refused_since(), None);
}
