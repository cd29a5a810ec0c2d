//! What is known of an upstream whose entry goes and comes back.

use std::time::Duration;

use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ServiceName;
use tokio::time::Instant;

const ID: &str = "i-0";

/// The time for which an upstream asks for no requests.
const PAUSE: Duration = Duration::from_secs(14);

/// The time for which its entry is gone.
const GONE: Duration = Duration::from_secs(5);

fn service() -> ServiceName {
    ServiceName::new("ledger").unwrap()
}

fn instance(born_unix_ms: u64) -> Instance {
    Instance {
        id: ID.into(),
        service: service(),
        address: ([10, 9, 0, 1], 80).into(),
        failure_domain: FailureDomainName::new("hall").unwrap(),
        slots: 8,
        state: InstanceState::Ready,
        born_unix_ms,
        layers: None,
        accelerator: None,
    }
}

/// Returns a table whose upstream has said something of itself, and lost its entry and got it
/// back as `returned`.
fn after_return(
    say: impl Fn(&mut InstanceTable, InstanceKey, Instant),
    gone: Duration,
    returned: Instance,
) -> (InstanceTable, InstanceKey, Instant) {
    let start = Instant::now();
    let mut table = InstanceTable::new();
    let key = table.upsert(instance(1), start);
    say(&mut table, key, start);
    table.depart(ID, start).unwrap();
    let now = start + gone;
    table.expire_departed(now);
    let key = table.upsert(returned, now);
    assert_eq!(table.of_service(&service()).count(), 1);
    assert_eq!(table.by_id(ID).unwrap().instance.id, ID);
    (table, key, now)
}

fn pause(table: &mut InstanceTable, key: InstanceKey, now: Instant) {
    assert!(table.pause(key, PAUSE, now));
}

/// Guards against an upstream that asked for a pause, lost its entry while it was cut from the
/// store, and got requests in its pause when the entry was back.
#[test]
fn test_pause_goes_on_when_the_entry_is_back() {
    let (table, key, now) = after_return(pause, GONE, instance(1));
    let tracked = table.get(key).unwrap();
    assert_eq!(tracked.pause_left(now), Some(PAUSE.saturating_sub(GONE)));
    assert!(tracked.is_paused(now));
    assert!(!tracked.is_paused(now + PAUSE));
}

/// Guards against a pause that is forgotten with an entry that is gone for longer than work in
/// flight lasts.
#[test]
fn test_long_pause_outlives_an_entry_that_is_gone_for_long() {
    let long = Duration::from_secs(90);
    let ask = |table: &mut InstanceTable, key, now| assert!(table.pause(key, long, now));
    let gone = Duration::from_secs(40);
    let (table, key, now) = after_return(ask, gone, instance(1));
    let left = table.get(key).unwrap().pause_left(now);
    assert_eq!(left, Some(long.saturating_sub(gone)));
}

#[test]
fn test_announced_leaving_goes_on_when_the_entry_is_back() {
    let announce = |table: &mut InstanceTable, key, now| {
        table.note_leaving_announced(key, now);
    };
    let (mut table, key, now) = after_return(announce, GONE, instance(1));
    assert!(!table.get(key).unwrap().is_usable());
    table.note_health(key, true, now);
    assert!(!table.get(key).unwrap().is_usable());
}

/// Direct evidence takes precedence over an entry, also one that comes back.
#[test]
fn test_suspicion_goes_on_until_the_upstream_answers() {
    let suspect = |table: &mut InstanceTable, key, now| {
        table.suspect(key, Evidence::Silent, now);
    };
    let (mut table, key, now) = after_return(suspect, GONE, instance(1));
    table.note_health(key, true, now);
    assert!(!table.get(key).unwrap().is_usable());
    table.clear_suspicion(key, now);
    assert!(table.get(key).unwrap().is_usable());
}

/// What an incarnation has said does not hold for the next one.
#[test]
fn test_restarted_upstream_begins_anew() {
    let say = |table: &mut InstanceTable, key, now| {
        pause(table, key, now);
        table.note_leaving_announced(key, now);
        table.suspect(key, Evidence::Refused, now);
    };
    let (table, key, now) = after_return(say, GONE, instance(2));
    let tracked = table.get(key).unwrap();
    assert!(tracked.is_usable() && !tracked.is_paused(now));
}

/// Guards against a sign of leaving that is not the upstream's own word and holds for good.
#[test]
fn test_inferred_leaving_is_taken_back_by_a_health_check() {
    let now = Instant::now();
    let mut table = InstanceTable::new();
    let key = table.upsert(instance(1), now);
    assert!(table.infer_leaving(key, now));
    assert!(!table.infer_leaving(key, now));
    let tracked = table.get(key).unwrap();
    assert!(!tracked.is_usable() && !tracked.has_announced_leaving());
    assert!(table.note_health(key, true, now));
    assert!(table.get(key).unwrap().is_usable());
    // Its own word is not.
    table.infer_leaving(key, now);
    table.note_leaving_announced(key, now);
    assert!(!table.note_health(key, true, now));
    assert!(!table.get(key).unwrap().is_usable());
}

/// Guards against an old copy of an entry making an upstream usable whose removal is newer: only
/// the upstream itself can tell that it goes on.
#[test]
fn test_upstream_whose_entry_is_back_has_to_answer_first() {
    let (mut table, key, now) = after_return(|_, _, _| {}, GONE, instance(1));
    assert!(!table.get(key).unwrap().is_usable());
    assert_eq!(table.in_doubt().len(), 1);
    assert!(table.note_health(key, true, now));
    assert!(table.get(key).unwrap().is_usable());
    assert!(table.in_doubt().is_empty());
    // Its own word is final.
    table.note_leaving_announced(key, now);
    table.infer_leaving(key, now);
    assert!(table.in_doubt().is_empty());
}
