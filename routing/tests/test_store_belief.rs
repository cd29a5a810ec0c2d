//! What a gateway believes about the store, and the bounds on how long that and the steps by
//! which changes are learned may take.

use std::time::Duration;

use jujubewall_routing::fleet::claims::FollowerCounts;
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
    let mut belief = StoreBelief::new();
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

#[test]
fn test_silent_followers_are_no_outage() {
    let now = Instant::now();
    let mut belief = StoreBelief::new();
    let served = FollowerCounts {
        served: 2,
        unserved: 0,
    };
    assert_eq!(belief.on_followers(served, false, now), None);
    let silent = FollowerCounts::default();
    assert_eq!(belief.on_followers(silent, false, now), None);
    assert!(!belief.is_away());
    assert_eq!(belief.on_present(now), None);
    assert_eq!(belief.rewriting_until(now), None);
}

#[test]
fn test_store_that_serves_nobody_is_away_until_it_answers_somebody() {
    let now = Instant::now();
    let mut belief = StoreBelief::new();
    let unserved = FollowerCounts {
        served: 0,
        unserved: 1,
    };
    let away = belief.on_followers(unserved, false, now);
    assert_eq!(away, Some(BeliefChange::WentAway));
    // That the followers fall silent as well is no evidence of the store's return.
    assert_eq!(
        belief.on_followers(FollowerCounts::default(), false, now),
        None
    );
    assert!(belief.is_away());
    let served = FollowerCounts {
        served: 1,
        unserved: 1,
    };
    let away_for = ms(700);
    let change = belief.on_followers(served, false, now + away_for);
    assert_eq!(change, Some(BeliefChange::Returned { away_for }));
    let until = belief.rewriting_until(now + away_for);
    assert_eq!(until, Some(now + away_for + REWRITE_GRACE));
}

/// Gateways that follow the store ask before others take that for a loss.
#[test]
fn test_followers_ask_before_candidates() {
    for rank in [0, 1, 2, 7, 40] {
        assert!(follower_answer_age(rank) < MAX_ANSWER_AGE, "rank {rank}");
    }
}

/// Ages survive a message to within their unit, and the absence of answers does too.
#[test]
fn test_ages_of_answers_are_told() {
    let now = Instant::now() + Duration::from_hours(3);
    let mut answers = StoreAnswers::new();
    answers.record(Topic::Entries, now);
    let told = AnswerAges::new(answers, now + ms(1_234)).answers(now + ms(1_234));
    assert_eq!(told.answered_at(Topic::Config), None);
    let at = told.answered_at(Topic::Entries).unwrap();
    assert!(at >= now && at.saturating_duration_since(now) < ms(10));
    assert_eq!(told.complete_until(), None);
    let old = AnswerAges::new(answers, now + Duration::from_hours(1));
    assert_eq!(old.answers(now).last(), None);
}
