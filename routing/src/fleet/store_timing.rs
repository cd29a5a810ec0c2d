//! How long each step may take by which gateways learn of a change in the store.
//!
//! The rules bound the time until a change is in force, counted from the store's
//! acknowledgement, and let a gateway that was disturbed take a stable window longer. A change
//! that meets a loss passes through a chain of waits, one chain for each kind of loss. All
//! waits are set here, and [`longest_after`] adds them up, so that none can grow beyond the
//! bounds unnoticed.
//!
//! The steps after a gateway has learned of a change, by gossip and fetches between peers, are
//! in [`EntryBounds`](super::entry_bounds::EntryBounds).

use std::time::Duration;

use super::entry_bounds::SYNC_INTERVAL;
use super::follower_election::CANDIDATES_AT_ONCE;
use super::follower_election::MAX_ANSWER_AGE;
use super::follower_election::TAKEOVER_CONFIRMATION;
use super::follower_election::TAKEOVER_STAGGER;
use super::gossip_timing::GossipTiming;

/// The time between two answered watch calls, over all gateways that follow the store.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest duration of the watch calls of a gateway that follows the store alone.
const MIN_WATCH_PERIOD: Duration = Duration::from_millis(800);

/// The longest duration of a watch call.
const MAX_WATCH_PERIOD: Duration = Duration::from_secs(8);

/// The shortest duration of a watch call; one that would be shorter lasts a period longer.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(250);

/// The time after the end of a watch's duration from which its connection is doubted.
pub const WATCH_OVERDUE: Duration = Duration::from_millis(300);

/// The age of the newest answer to any gateway from which a gateway that follows the store asks
/// it at once on a new connection, since its own or those of other followers may be lost.
const FOLLOWER_ANSWER_AGE: Duration = Duration::from_millis(650);

/// The further time for each follower before it, within which an answer to that one becomes
/// known.
const FOLLOWER_STAGGER: Duration = Duration::from_millis(100);

/// The largest number of followers that are waited for, so that the last ones ask before
/// gateways that do not follow the store.
const MAX_FOLLOWER_TURNS: usize = 2;

/// The duration of the watch call that shows whether the store answers on a new connection.
pub const PROBE_WAIT: Duration = Duration::from_millis(1);

/// The pause after the first failed call; it doubles with each further one.
pub const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls.
pub const MAX_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The interval between checks whether this gateway follows the store.
pub const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time that a connection to the store may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time that the store's answer may take.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// The time that the store usually takes for a list.
const LIST_TIME: Duration = Duration::from_millis(100);

/// The time that a fetch from a peer usually takes.
const FETCH_TIME: Duration = Duration::from_millis(100);

/// The time for which a gateway that follows the store waits for the store to deliver a
/// newer configuration before it fetches it from a peer.
pub const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(600);

/// Returns how long the next watch call of one of the gateways that follow the store lasts.
///
/// All of them get the same changes at about the same time. Counted from then, their watches
/// end one after the other, `rank` being this gateway's place among `followers`. Thus, if all
/// their connections go silent at once, one of them notices it soon, and the others learn
/// from it what they miss.
pub fn watch_wait(rank: usize, followers: usize, since_change: Duration) -> Duration {
    let followers = u32::try_from(followers.max(1)).unwrap_or(u32::MAX);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(followers - 1);
    let period = WATCH_INTERVAL
        .saturating_mul(followers)
        .clamp(MIN_WATCH_PERIOD, MAX_WATCH_PERIOD);
    let first = period / followers * (rank + 1);
    let wait = match since_change.checked_sub(first) {
        None => first.saturating_sub(since_change),
        Some(since_first) => {
            let into_period = since_first.as_millis() % period.as_millis();
            let into_period = u64::try_from(into_period).unwrap_or_default();
            period.saturating_sub(Duration::from_millis(into_period))
        }
    };
    if wait < MIN_WATCH_WAIT {
        wait + period
    } else {
        wait
    }
}

/// Returns the age of the newest answer to any gateway from which the follower at `rank` asks
/// the store beside its own watch.
pub fn follower_answer_age(rank: usize) -> Duration {
    let turns = u32::try_from(rank.min(MAX_FOLLOWER_TURNS)).unwrap_or_default();
    FOLLOWER_ANSWER_AGE + FOLLOWER_STAGGER * turns
}

/// A loss that a change in the store may meet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// All open connections go silent, and new ones work.
    Links,
    /// All gateways of a failure domain that follow the store are lost, and so many
    /// candidates for the role.
    Followers {
        /// The candidates that are lost too.
        candidates: usize,
    },
    /// The followers of all failure domains live and are not served, whatever the reason.
    Unserved {
        /// The candidates of a domain that are not served either.
        candidates: usize,
    },
    /// The store is away for all.
    Store,
}

/// Returns the longest time after the loss, or after the store's return, until some gateway
/// of each failure domain has read the store again.
pub fn longest_after(loss: Loss, timing: GossipTiming) -> Duration {
    match loss {
        Loss::Links => MIN_WATCH_PERIOD + MIN_WATCH_WAIT + WATCH_OVERDUE + LIST_TIME,
        Loss::Followers { candidates } => {
            let waits = u32::try_from(candidates / CANDIDATES_AT_ONCE).unwrap_or(u32::MAX);
            // Messages that were sent before the loss may still be relayed.
            timing.propagation_time()
                + timing.role_silence()
                + SYNC_INTERVAL
                + TAKEOVER_CONFIRMATION
                + TAKEOVER_STAGGER.saturating_mul(waits)
                + ROLE_POLL_INTERVAL
                + LIST_TIME
        }
        Loss::Unserved { candidates } => {
            let waits = u32::try_from(candidates / CANDIDATES_AT_ONCE).unwrap_or(u32::MAX);
            MAX_ANSWER_AGE
                + TAKEOVER_STAGGER.saturating_mul(waits)
                + SYNC_INTERVAL
                + ROLE_POLL_INTERVAL
                + LIST_TIME
        }
        Loss::Store => {
            // The role may have just been given up.
            let change_of_role = SYNC_INTERVAL * 2
                + timing.propagation_time()
                + TAKEOVER_CONFIRMATION
                + TAKEOVER_STAGGER
                + ROLE_POLL_INTERVAL;
            let retry = CONNECT_TIMEOUT.max(MIN_RETRY_PAUSE) + MAX_RETRY_PAUSE;
            change_of_role.max(retry) + LIST_TIME
        }
    }
}

/// Returns the longest time from when one gateway has read a change until all gateways that
/// do not follow the store apply it.
pub fn spread_time(timing: GossipTiming) -> Duration {
    timing.propagation_time() + SYNC_INTERVAL + FETCH_TIME
}
