//! What a gateway believes about the store, and the bounds on how long that and the steps by
//! which changes are learned may take.

use std::time::Duration;

use jujubewall_routing::fleet::follower_election::MAX_ANSWER_AGE;
use jujubewall_routing::fleet::gossip_timing::GossipTiming;
use jujubewall_routing::fleet::store_answers::AnswerAges;
use jujubewall_routing::fleet::store_answers::StoreAnswers;
use jujubewall_routing::fleet::store_answers::Topic;
use jujubewall_routing::fleet::store_belief::BeliefChange;
use jujubewall_routing::fleet::store_belief::REWRITE_GRACE;
use jujubewall_routing::fleet::store_belief::StoreBelief;
use jujubewall_routing::fleet::store_belief::StoreCall;
use jujubewall_routing::fleet::store_timing::CONFIG_FETCH_DELAY;
use jujubewall_routing::fleet::store_timing::Loss;
use jujubewall_routing::fleet::store_timing::follower_answer_age;
use jujubewall_routing::fleet::store_timing::longest_after;
use jujubewall_routing::fleet::store_timing::spread_time;
use jujubewall_routing::fleet::store_timing::watch_wait;
use tokio::time::Instant;

/// The time between two writes of an upstream's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A time without answers after which entries may have lapsed.
const LONG: Duration = Duration::from_millis(2_400);

/// The bounds of the platform's rules.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The chains of waits keep to the bounds at every size, for each kind of loss.
#[test]
fn test_chains_of_waits_add_up_to_less_than_the_bounds() {
    for peers in [0, 1, 2, 4, 5, 17, 27, 102, 299] {
        let timing = GossipTiming::new(peers);
        let spread = spread_time(timing);
        // Gateways that lost nothing have to keep to the bound itself.
        for loss in [
            Loss::Followers { candidates: 3 },
            Loss::Unserved { candidates: 3 },
        ] {
            let time = longest_after(loss, timing) + spread;
            assert!(time <= DRAIN_BOUND, "{peers} peers, {loss:?}: {time:?}");
        }
        for loss in [Loss::Links, Loss::Store] {
            // A gateway that follows the store leaves it time to deliver a configuration.
            let time = longest_after(loss, timing) + CONFIG_FETCH_DELAY + spread;
            assert!(time <= STABLE_WINDOW, "{peers} peers, {loss:?}: {time:?}");
        }
        let kept = longest_after(Loss::Store, timing) + REWRITE_GRACE + spread;
        assert!(
            kept <= STABLE_WINDOW + DRAIN_BOUND,
            "{peers} peers: {kept:?}"
        );
    }
}

/// The watches of all followers end one after the other, whatever their number.
#[test]
fn test_watches_of_all_followers_end_in_turn() {
    for followers in [1, 2, 3, 6, 16, 40] {
        let mut ends: Vec<Duration> = Vec::new();
        for rank in 0..followers {
            let mut end = ms(150);
            while end < Duration::from_secs(20) {
                ends.push(end);
                end += watch_wait(rank, followers, end);
            }
        }
        ends.sort();
        let gaps = ends.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
        let longest = gaps.max().unwrap();
        assert!(longest <= ms(1_050), "{followers} followers: {longest:?}");
        // Beside the start and the first call of each follower.
        let calls = ends.len() - 2 * followers;
        assert!(
            calls <= 20 * 5,
            "{followers} followers: {calls} calls in 20 s"
        );
    }
}

#[test]
fn test_one_failed_call_is_no_outage() {
    let now = Instant::now();
    let mut belief = StoreBelief::new(HEARTBEAT);
    belief.on_call(StoreCall::Answered, now);
    let begun_at = now;
    assert_eq!(
        belief.on_call(StoreCall::Failed { begun_at }, now + ms(10)),
        None
    );
    // Another call that began on the same connections shows nothing either.
    assert_eq!(
        belief.on_call(StoreCall::Failed { begun_at }, now + ms(20)),
        None
    );
    assert!(belief.is_link_up());
    let begun_at = now + ms(110);
    let change = belief.on_call(StoreCall::Failed { begun_at }, now + ms(120));
    assert_eq!(change, Some(BeliefChange::LinkLost));
    assert!(!belief.is_link_up());
}

/// Returns a belief for which the store has answered at `start`.
fn answered_belief(start: Instant) -> StoreBelief {
    let mut belief = StoreBelief::new(HEARTBEAT);
    assert_eq!(
        belief.weigh(StoreAnswers::with_both(start), false, start),
        None
    );
    belief
}

/// Guards against followers that fall silent and were taken for an outage.
#[test]
fn test_time_without_answers_is_no_outage_without_a_failed_call() {
    let now = Instant::now();
    let mut belief = answered_belief(now);
    assert_eq!(belief.weigh(StoreAnswers::new(), false, now + LONG), None);
    assert!(!belief.is_away());
    let returned_at = now + LONG + ms(100);
    let returned = StoreAnswers::with_both(returned_at);
    assert_eq!(belief.weigh(returned, false, returned_at), None);
    assert_eq!(belief.rewriting_until(returned_at), None);
}

/// Guards against a gateway that was cut off from the store and took that for an outage, though
/// the store answered others.
#[test]
fn test_own_failed_calls_are_no_outage_while_others_are_answered() {
    let start = Instant::now();
    let mut belief = answered_belief(start);
    for step in 1..60 {
        let now = start + ms(100) * step;
        belief.on_call(StoreCall::Failed { begun_at: now }, now);
        assert_eq!(belief.weigh(StoreAnswers::with_both(now), false, now), None);
    }
    let back_at = start + ms(6_100);
    belief.on_call(StoreCall::Answered, back_at);
    assert_eq!(belief.on_read(Topic::Entries, back_at, back_at), None);
    assert_eq!(belief.rewriting_until(back_at), None);
}

/// Guards against followers that are cut off, refused, stopping or just starting, and were taken
/// for an outage by gateways that had not asked the store themselves.
#[test]
fn test_followers_that_are_not_served_are_no_outage_before_entries_may_have_lapsed() {
    let start = Instant::now();
    let mut belief = answered_belief(start);
    // Others have asked by then.
    let asked_at = start + MAX_ANSWER_AGE + ms(500);
    assert_eq!(belief.weigh(StoreAnswers::new(), true, asked_at), None);
    let answered = StoreAnswers::with_both(asked_at);
    assert_eq!(belief.weigh(answered, true, asked_at), None);
    assert_eq!(belief.rewriting_until(asked_at), None);
}

/// Guards against entries that lapsed and were dropped by a gateway whose first call came when
/// the store had just returned.
#[test]
fn test_long_absence_for_others_is_an_outage() {
    let start = Instant::now();
    let mut belief = answered_belief(start);
    let away = belief.weigh(StoreAnswers::new(), true, start + LONG);
    assert_eq!(away, Some(BeliefChange::WentAway));
    let returned_at = start + LONG + ms(10);
    let change = belief.on_read(Topic::Entries, returned_at, returned_at);
    assert!(matches!(change, Some(BeliefChange::Returned { .. })));
    assert!(belief.rewriting_until(returned_at).is_some());
}

/// Guards against an absence shorter than the time in which entries lapse, after which an
/// upstream that had left was kept.
#[test]
fn test_short_absence_lets_no_entry_lapse() {
    let start = Instant::now();
    let mut belief = answered_belief(start);
    let now = start + MAX_ANSWER_AGE;
    belief.on_call(StoreCall::Failed { begun_at: now }, now);
    assert_eq!(
        belief.weigh(StoreAnswers::new(), false, now + ms(300)),
        None
    );
    let answered_at = now + ms(400);
    assert_eq!(
        belief.on_read(Topic::Entries, answered_at, answered_at),
        None
    );
    assert_eq!(belief.rewriting_until(answered_at), None);
}

#[test]
fn test_store_that_serves_nobody_is_away_until_it_answers_somebody() {
    let start = Instant::now();
    let mut belief = answered_belief(start);
    let failed_at = start + ms(500);
    belief.on_call(
        StoreCall::Failed {
            begun_at: failed_at,
        },
        failed_at,
    );
    assert_eq!(
        belief.weigh(StoreAnswers::new(), false, start + ms(2_000)),
        None
    );
    let away = belief.weigh(StoreAnswers::new(), false, start + LONG);
    assert_eq!(away, Some(BeliefChange::WentAway));
    // An old answer that is heard of late is no evidence of the store's return.
    let old = StoreAnswers::with_both(start);
    assert_eq!(belief.weigh(old, false, start + LONG), None);
    assert!(belief.is_away());
    let away_for = LONG + ms(700);
    let returned_at = start + away_for;
    let change = belief.weigh(StoreAnswers::with_both(returned_at), false, returned_at);
    assert_eq!(change, Some(BeliefChange::Returned { away_for }));
    let until = belief.rewriting_until(returned_at);
    assert_eq!(until, Some(returned_at + REWRITE_GRACE));
}

/// Guards against an outage that ended and began again whenever the last answer before it became
/// known from yet another gateway, a little newer than known.
#[test]
fn test_answers_from_before_an_outage_do_not_end_it() {
    let start = Instant::now();
    let mut belief = answered_belief(start);
    let away = belief.weigh(StoreAnswers::new(), true, start + LONG);
    assert_eq!(away, Some(BeliefChange::WentAway));
    let last = start + ms(90);
    let told = belief.weigh(StoreAnswers::with_both(last), true, start + LONG);
    assert_eq!(told, None);
    assert!(belief.is_away());
    let returned_at = start + LONG * 2;
    let change = belief.weigh(StoreAnswers::with_both(returned_at), true, returned_at);
    let away_for = returned_at - last;
    assert_eq!(change, Some(BeliefChange::Returned { away_for }));
}

/// Gateways that follow the store ask before others take that for a loss.
#[test]
fn test_followers_ask_before_candidates() {
    for rank in [0, 1, 2, 7, 40] {
        assert!(follower_answer_age(rank) < MAX_ANSWER_AGE, "rank {rank}");
    }
}

/// Ages survive a message to within their unit, and the absence of answers does too. An answer
/// never looks newer than it is.
#[test]
fn test_ages_of_answers_are_told() {
    let now = Instant::now() + Duration::from_hours(3);
    let mut answers = StoreAnswers::new();
    answers.record(Topic::Entries, now);
    let told = AnswerAges::new(answers, now + ms(1_234)).answers(now + ms(1_234));
    assert_eq!(told.answered_at(Topic::Config), None);
    let at = told.answered_at(Topic::Entries).unwrap();
    assert!(at <= now && now.saturating_duration_since(at) < ms(10));
    assert_eq!(told.complete_until(), None);
    let old = AnswerAges::new(answers, now + Duration::from_hours(1));
    assert_eq!(old.answers(now).last(), None);
}
