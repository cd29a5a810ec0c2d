//! How fast gateways that nothing disturbs learn of changes in the store, whatever happens to
//! those that read it for them: each loss, at each small size, and at each moment of a change.

#[allow(
    dead_code,
    reason = "the simulated fleet also has what other tests use"
)]
mod entry_world;
mod fleet_addresses;

use std::time::Duration;

use self::entry_world::Away;
use self::entry_world::World;

/// The bounds of the smaller deployments on the times from the store's acknowledgement until
/// a configuration is in force, and until the last request to an upstream that has left.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// The time after a reset of connections from which on the bounds hold.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The time in which a fleet has started.
const START: Duration = Duration::from_millis(3_500);

/// The time for which a loss lasts.
const LOSS_TIME: Duration = Duration::from_secs(8);

/// The time for which gateways that are told to stop go on.
const STOP_TIME: Duration = Duration::from_millis(400);

/// The time after which killed gateways are started again.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// The time for which gateways are frozen.
const FREEZE_TIME: Duration = Duration::from_millis(1_200);

/// The times from a loss to the change.
const MOMENTS_MS: [u64; 5] = [0, 200, 500, 900, 1_500];

const MAX_GATEWAYS: usize = 9;
const MAX_DOMAINS: usize = 3;

/// What happens to gateways that follow the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// The store turns them away in some way.
    TurnedAway(Away),
    /// They are killed.
    Killed,
    /// They are killed and started again.
    Restarted,
    /// They are told to stop, and end after a while.
    Stopped,
    /// They are told to stop, and work in progress keeps them for long.
    Draining,
    /// Their processes do nothing for a while.
    Frozen,
    /// The open connections of all gateways go silent.
    Links,
    /// The store closes all watches.
    Watches,
}

impl Loss {
    /// Whether the gateways that follow the store are disturbed themselves.
    const fn disturbs_followers(self) -> bool {
        !matches!(self, Self::Links | Self::Watches)
    }

    /// Returns how long after the loss the bounds do not hold.
    const fn excuse(self) -> Duration {
        match self {
            Self::Links => STABLE_WINDOW,
            _ => Duration::ZERO,
        }
    }
}

/// Begins a loss of gateways, and lets some time pass.
fn begin(world: &mut World, loss: Loss, affected: &[usize], time: Duration) {
    // What becomes of them after a while.
    let (next_at, next): (Duration, fn(&mut World, &[usize])) = match loss {
        Loss::Restarted => (RESTART_TIME, World::restart),
        Loss::Stopped => (STOP_TIME, World::end),
        Loss::Frozen => (FREEZE_TIME, World::thaw),
        _ => (Duration::MAX, |_, _| {}),
    };
    match loss {
        Loss::TurnedAway(away) => world.turn_these_away(affected, away, LOSS_TIME),
        Loss::Killed | Loss::Restarted => world.end(affected),
        Loss::Stopped | Loss::Draining => world.stop(affected),
        Loss::Frozen => world.freeze(affected),
        Loss::Links => world.silence_links(),
        Loss::Watches => world.cut_watches(),
    }
    world.run_for(time.min(next_at));
    if time >= next_at {
        next(world, affected);
        world.run_for(time.saturating_sub(next_at));
    }
}

/// Changes the configuration and removes an upstream. Returns the longer one of the times until
/// the gateways that nothing disturbs know it beyond what is allowed, which is the bound, or the
/// rest of the time in which the bounds do not hold.
fn lateness(world: &mut World, undisturbed: &[usize], excuse_left: Duration) -> Duration {
    let version = world.change_config();
    world.remove_upstream(0);
    let config = world.run_until(CONFIG_BOUND * 3, |world| {
        world.is_config_applied(undisturbed, version)
    });
    let entries = world.run_until(DRAIN_BOUND * 3, |world| {
        !world.is_known_to_any(undisturbed, 0)
    });
    let late = |time: Duration, bound: Duration| time.saturating_sub(bound.max(excuse_left));
    late(config, CONFIG_BOUND).max(late(config + entries, DRAIN_BOUND))
}

/// Plays a loss of all followers, and of those of one failure domain, in all small fleets and
/// at all moments, and fails if some change is learned late.
fn check(loss: Loss) {
    let mut late = Vec::new();
    for size in 2..=MAX_GATEWAYS {
        for domains in 1..=MAX_DOMAINS.min(size) {
            for (seed, moment_ms) in MOMENTS_MS.into_iter().enumerate() {
                for is_one_domain in [false, true] {
                    let seed = u64::try_from(seed * 31 + size).unwrap();
                    if is_one_domain && domains == 1 {
                        continue;
                    }
                    let mut world = World::with_domains(size, domains, DRAIN_BOUND, seed);
                    world.run_for(START + Duration::from_millis(70 * seed));
                    let mut affected = world.followers();
                    if is_one_domain {
                        affected.retain(|index| world.domain_of(*index) == 0);
                    }
                    if affected.len() == size {
                        continue;
                    }
                    let undisturbed: Vec<usize> = (0..size)
                        .filter(|index| !loss.disturbs_followers() || !affected.contains(index))
                        .collect();
                    let moment = Duration::from_millis(moment_ms);
                    begin(&mut world, loss, &affected, moment);
                    let excuse_left = loss.excuse().saturating_sub(moment);
                    let time = lateness(&mut world, &undisturbed, excuse_left);
                    if !time.is_zero() {
                        late.push(format!(
                            "{size} gateways in {domains} domains, {} affected, {moment_ms} ms later, \
                             seed {seed}: {time:?} late",
                            affected.len()
                        ));
                    }
                }
            }
        }
    }
    assert!(
        late.is_empty(),
        "{loss:?}: {} late:\n{}",
        late.len(),
        late.join("\n")
    );
}

/// Guards against followers that are cut from the store and keep the role.
#[test]
fn test_changes_are_learned_in_time_while_followers_are_cut_off() {
    check(Loss::TurnedAway(Away::Silent));
}

/// Guards against followers whose calls get no answer and that keep the role.
#[test]
fn test_changes_are_learned_in_time_while_followers_get_no_answer() {
    check(Loss::TurnedAway(Away::Unanswered));
}

/// Guards against frozen followers that go on with what they knew before.
#[test]
fn test_changes_are_learned_in_time_after_followers_were_frozen() {
    check(Loss::Frozen);
}

/// Guards against followers whose calls the store refuses and that keep the role.
#[test]
fn test_changes_are_learned_in_time_while_followers_are_refused() {
    check(Loss::TurnedAway(Away::Refused));
}

/// Guards against followers that get nothing but refusals because of the rate of calls.
#[test]
fn test_changes_are_learned_in_time_while_followers_are_rate_limited() {
    check(Loss::TurnedAway(Away::RateLimited));
}

/// Guards against followers that the store answers late.
#[test]
fn test_changes_are_learned_in_time_while_followers_are_answered_late() {
    check(Loss::TurnedAway(Away::Slow));
}

/// Guards against killed followers whose claims are believed for too long.
#[test]
fn test_changes_are_learned_in_time_after_followers_were_killed() {
    check(Loss::Killed);
}

/// Guards against followers that have just started and have read nothing.
#[test]
fn test_changes_are_learned_in_time_after_followers_were_restarted() {
    check(Loss::Restarted);
}

/// Guards against a planned stop of followers that is taken for an outage of the store.
#[test]
fn test_changes_are_learned_in_time_while_followers_are_stopped() {
    check(Loss::Stopped);
}

/// Guards against stopping followers that still read and pass nothing on.
#[test]
fn test_changes_are_learned_in_time_while_followers_finish_their_work() {
    check(Loss::Draining);
}

/// Guards against silent connections that nobody notices.
#[test]
fn test_changes_are_learned_in_time_after_connections_went_silent() {
    check(Loss::Links);
}

/// Guards against closed watches that are taken for an outage of the store.
#[test]
fn test_changes_are_learned_in_time_after_watches_were_closed() {
    check(Loss::Watches);
}

/// Guards against losses in series: those that step in for lost followers are lost too.
#[test]
fn test_changes_are_learned_in_time_after_one_loss_upon_the_other() {
    const LOSSES: [Loss; 8] = [
        Loss::TurnedAway(Away::Silent),
        Loss::TurnedAway(Away::Refused),
        Loss::TurnedAway(Away::RateLimited),
        Loss::Killed,
        Loss::Stopped,
        Loss::Links,
        Loss::TurnedAway(Away::Unanswered),
        Loss::Frozen,
    ];
    const LATER: Duration = Duration::from_millis(300);

    let mut late = Vec::new();
    for (size, domains) in [(7, 1), (9, 1), (9, 2)] {
        for (seed, first) in LOSSES.into_iter().enumerate() {
            for second in LOSSES {
                for gap_ms in [700, 1_800] {
                    let seed = u64::try_from(seed).unwrap();
                    let mut world = World::with_domains(size, domains, DRAIN_BOUND, seed);
                    world.run_for(START + Duration::from_millis(70 * seed));
                    let mut affected = world.followers();
                    begin(&mut world, first, &affected, Duration::from_millis(gap_ms));
                    let mut next = world.followers();
                    next.retain(|index| !affected.contains(index));
                    begin(&mut world, second, &next, LATER);
                    affected.extend(next);
                    let undisturbed: Vec<usize> = (0..size)
                        .filter(|index| !affected.contains(index))
                        .collect();
                    let excuse = first.excuse().max(second.excuse());
                    let excuse_left = excuse.saturating_sub(LATER);
                    let time = lateness(&mut world, &undisturbed, excuse_left);
                    if !time.is_zero() {
                        late.push(format!(
                            "{size} gateways in {domains} domains, {first:?}, {second:?} \
                             {gap_ms} ms later, seed {seed}, {} left: {time:?} late",
                            undisturbed.len()
                        ));
                    }
                }
            }
        }
    }
    assert!(late.is_empty(), "{} late:\n{}", late.len(), late.join("\n"));
}

/// Guards against a gateway that asked in vain, and does not ask again when the store serves it
/// while it serves nobody else.
#[test]
fn test_gateway_that_alone_is_served_again_learns_changes_in_time() {
    let mut late = Vec::new();
    for size in [2, 5, 9, 40] {
        for returning in 0..size.min(9) {
            let seed = u64::try_from(returning).unwrap();
            let mut world = World::with_domains(size, 1, DRAIN_BOUND, seed);
            world.run_for(START);
            let all: Vec<usize> = (0..size).collect();
            world.turn_these_away(&all, Away::Refused, Duration::from_mins(1));
            world.run_for(LOSS_TIME + Duration::from_millis(300 * seed));
            world.turn_these_away(&[returning], Away::Refused, Duration::ZERO);
            world.run_for(STABLE_WINDOW);
            let time = lateness(&mut world, &[returning], Duration::ZERO);
            if !time.is_zero() {
                late.push(format!("{size} gateways, {returning} served: {time:?}"));
            }
        }
    }
    assert!(late.is_empty(), "{} late:\n{}", late.len(), late.join("\n"));
}

/// Fails if a large fleet in so many domains makes more calls to the store than it allows.
fn check_calls(domains: usize) {
    /// The reading calls a second that the platform's store allows.
    const READS_PER_S: u64 = 2_000;
    /// The part of them that gateways may make while nothing happens.
    const CALM_SHARE: u64 = 50;
    /// The part of them that gateways may make while the store is away.
    const AWAY_SHARE: u64 = 4;

    let mut world = World::with_domains(300, domains, DRAIN_BOUND, 7);
    world.run_for(START);
    let before = world.calls();
    world.run_for(Duration::from_secs(3));
    let calm_per_s = (world.calls() - before) / 3;
    assert!(
        calm_per_s <= READS_PER_S / CALM_SHARE,
        "{calm_per_s} a second"
    );
    let all: Vec<usize> = (0..world.len()).collect();
    world.turn_these_away(&all, Away::Refused, LOSS_TIME);
    for second in 0..5 {
        let before = world.calls();
        world.run_for(Duration::from_secs(1));
        let calls = world.calls() - before;
        println!(
            "{domains} domains, second {second} without the store: {calls} calls, {calm_per_s} before"
        );
        assert!(calls <= READS_PER_S / AWAY_SHARE, "{calls} in a second");
    }
}

/// Guards against fleets of many gateways in which each asks the store for itself, beyond the
/// calls that it allows.
#[test]
fn test_calls_to_the_store_stay_few_in_large_fleets() {
    check_calls(MAX_DOMAINS);
}

/// Guards against many gateways of one domain that ask the store again at the same time.
#[test]
fn test_calls_to_the_store_stay_few_in_large_domains() {
    check_calls(1);
}
