//! What fails, when, and for how long, by a seed.

use std::sync::Arc;
use std::time::Duration;

use jujubewall_testutils::site_runner::RunnerFault;
use jujubewall_testutils::site_store::StoreMood;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::world::Leave;
use crate::world::World;

/// The time for which only planned work is played, and then everything.
const PHASE: Duration = Duration::from_secs(7);

/// Statuses that HTTP does not define and that runners in trouble answer.
pub const INVALID_STATUSES: [u16; 3] = [600, 777, 999];

/// Statuses that promise a client that nothing ran, and that runners answer that ran a request. 421
/// is left out: by the platform's protocol a runner that answers it has not run the request.
const FALSE_PROMISES: [u16; 3] = [408, 429, 503];

/// The time from a disturbance of followers to the changes beside it.
const CHANGE_DELAY: Duration = Duration::from_millis(200);

/// One thing that happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    Terminate(usize),
    Configure,
    RevokeKey,
    DrainRunner(u64),
    RemoveRunner(u64),
    CutWatches,
    Kill(usize),
    KillFollowers,
    /// A planned stop of followers beside a runner that leaves.
    TerminateFollowers(u64),
    /// A store that turns followers away and serves the others, beside changes.
    TurnFollowersAway(StoreMood, Duration, u64),
    /// Followers whose processes stand still for a time, beside changes.
    PauseFollowers(Duration, u64),
    /// An outage of the store that is followed at once by changes.
    OutageThenChanges(StoreMood, Duration, u64),
    SilenceStoreLinks(u64),
    Pause(usize, Duration),
    Store(StoreMood, Duration),
    CompactStore,
    SilenceStoreLink(usize),
    SilenceRunners,
    CrashRunner(u64, Duration),
    FailRunner(u64, RunnerFault, Duration),
    /// A runner that leaves and refuses streams in the name of others.
    LeaveBlaming(u64, u16),
    /// A link to a runner that is cut again and again for a moment.
    CutRunner(u64),
}

impl Event {
    const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate(_)
                | Self::Configure
                | Self::RevokeKey
                | Self::DrainRunner(_)
                | Self::RemoveRunner(_)
                | Self::TerminateFollowers(_)
                | Self::CutWatches
        )
    }
}

/// The events of a seed, in series and overlapping.
pub struct Schedule {
    rng: ChaCha8Rng,
    played: usize,
    phase_left: Duration,
}

impl Schedule {
    /// Creates the schedule of a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            played: 0,
            phase_left: PHASE,
        }
    }

    /// Returns the number of events played.
    pub const fn played(&self) -> usize {
        self.played
    }

    /// Waits for the next event and starts it; its end is played beside others.
    pub async fn play_next(&mut self, world: &Arc<World>) {
        let pause = Duration::from_millis(self.rng.random_range(50..900));
        sleep(pause).await;
        if let Some(left) = self.phase_left.checked_sub(pause) {
            self.phase_left = left;
        } else {
            self.phase_left = PHASE;
            world.change_phase().await;
        }
        let event = self.draw(world.gateway_count());
        if !event.is_planned() && !world.may_be_disturbed() {
            return;
        }
        self.played += 1;
        spawn(world, event);
    }

    fn draw(&mut self, gateways: usize) -> Event {
        let rng = &mut self.rng;
        let gateway = rng.random_range(0..gateways);
        let runner: u64 = rng.random();
        let span = Duration::from_millis(rng.random_range(100..2_500));
        match rng.random_range(0..22) {
            0 => Event::Terminate(gateway),
            1 => Event::Configure,
            2 => Event::RevokeKey,
            3 => Event::DrainRunner(runner),
            4 => Event::Kill(gateway),
            5 | 6 => Event::Pause(gateway, span),
            7 | 8 => {
                let moods = [
                    StoreMood::Refusing(503),
                    StoreMood::Refusing(429),
                    StoreMood::Closing,
                    StoreMood::LosingReplies,
                    StoreMood::Silent,
                ];
                Event::Store(moods[rng.random_range(0..moods.len())], span)
            }
            9 => Event::CompactStore,
            10 => Event::SilenceStoreLink(gateway),
            11 => Event::SilenceRunners,
            12 => Event::CrashRunner(runner, span),
            13 => Event::RemoveRunner(runner),
            14 => Event::CutWatches,
            15 => Event::KillFollowers,
            16 => Event::SilenceStoreLinks(runner),
            17 => {
                let moods = [StoreMood::Closing, StoreMood::Silent];
                let mood = moods[rng.random_range(0..moods.len())];
                let span = Duration::from_millis(rng.random_range(500..5_000));
                Event::OutageThenChanges(mood, span, runner)
            }
            18 => Event::TerminateFollowers(runner),
            19 | 20 => {
                let moods = [
                    StoreMood::Silent,
                    StoreMood::Refusing(429),
                    StoreMood::Refusing(503),
                    StoreMood::Closing,
                ];
                let mood = moods[rng.random_range(0..moods.len())];
                let span = Duration::from_millis(rng.random_range(500..5_000));
                Event::TurnFollowersAway(mood, span, runner)
            }
            _ => {
                let faults = runner_faults(rng.random_range(0..20));
                let fault = faults[rng.random_range(0..faults.len())];
                Event::FailRunner(runner, fault, span)
            }
        }
    }
}

/// Returns what a runner may do wrong, with the events after which its streams end.
const fn runner_faults(events: u64) -> [RunnerFault; 6] {
    [
        RunnerFault::CutAfter(events),
        RunnerFault::TornAfter(events),
        RunnerFault::LoseAnswer,
        RunnerFault::Refuse,
        RunnerFault::FailWith(500),
        RunnerFault::AnswerAnother,
    ]
}

/// Lets one runner after the other do something wrong, beside the schedule, until the
/// task is ended: lost answers and refusals are what most promises are about.
pub async fn fail_runners(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    loop {
        sleep(Duration::from_millis(rng.random_range(100..500))).await;
        let runner = rng.random();
        let faults = runner_faults(rng.random_range(0..20));
        // Lost answers come twice as often as the others.
        let drawn = rng.random_range(0..=faults.len());
        let fault = *faults.get(drawn).unwrap_or(&RunnerFault::LoseAnswer);
        let span = Duration::from_millis(rng.random_range(100..800));
        if !world.may_be_disturbed() {
            continue;
        }
        spawn(&world, Event::FailRunner(runner, fault, span));
    }
}

/// Lets frozen followers and answers of invalid statuses come in turn, beside the schedule, until
/// the task is ended.
pub async fn play_beside(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    loop {
        sleep(Duration::from_millis(rng.random_range(500..4_000))).await;
        let pick = rng.random();
        let span = Duration::from_millis(rng.random_range(100..3_000));
        let event = if rng.random_bool(0.5) {
            Event::PauseFollowers(span, pick)
        } else {
            let status = INVALID_STATUSES[rng.random_range(0..INVALID_STATUSES.len())];
            Event::FailRunner(pick, RunnerFault::AnswerInvalid(status), span)
        };
        if !world.may_be_disturbed() {
            continue;
        }
        spawn(&world, event);
    }
}

/// Lets runners give signs that mislead, beside the schedule, until the task is ended: that nothing
/// ran which did, that another runner is at fault, or refused connections of one that goes on.
pub async fn mislead(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    loop {
        sleep(Duration::from_millis(rng.random_range(200..2_000))).await;
        let runner = rng.random();
        let span = Duration::from_millis(rng.random_range(100..1_500));
        let event = match rng.random_range(0..10) {
            0 => Event::LeaveBlaming(runner, if rng.random() { 503 } else { 421 }),
            1..4 => Event::CutRunner(runner),
            _ => {
                let status = FALSE_PROMISES[rng.random_range(0..FALSE_PROMISES.len())];
                Event::FailRunner(runner, RunnerFault::FailWith(status), span)
            }
        };
        if world.may_be_disturbed() {
            spawn(&world, event);
        }
    }
}

/// Plays an event beside others.
fn spawn(world: &Arc<World>, event: Event) {
    let world = Arc::clone(world);
    let tasks = world.tasks();
    tasks.spawn(async move { play(&world, event).await });
}

/// Takes a key away and removes a runner a little later.
async fn change_soon(world: &World, pick: u64) {
    sleep(CHANGE_DELAY).await;
    world.revoke_key();
    world.replace_runner(pick, Leave::RemoveEntry).await;
}

async fn play(world: &Arc<World>, event: Event) {
    if !event.is_planned() {
        world.note_disturbance();
    }
    match event {
        Event::Terminate(gateway) => world.restart_gateway(gateway, true).await,
        Event::Configure => world.configure(),
        Event::RevokeKey => world.revoke_key(),
        Event::DrainRunner(pick) => world.replace_runner(pick, Leave::Drain).await,
        Event::RemoveRunner(pick) => world.replace_runner(pick, Leave::RemoveEntry).await,
        Event::CutWatches => world.cut_watches(),
        Event::KillFollowers => {
            let kills = world.kill_followers();
            tokio::join!(kills, world.replace_runner(0, Leave::RemoveEntry));
        }
        Event::TerminateFollowers(pick) => {
            let stops = world.terminate_followers();
            tokio::join!(stops, world.replace_runner(pick, Leave::RemoveEntry));
        }
        Event::TurnFollowersAway(mood, span, pick) => {
            tokio::join!(
                world.turn_followers_away(mood, span),
                change_soon(world, pick)
            );
        }
        Event::PauseFollowers(span, pick) => {
            tokio::join!(world.pause_followers(span), change_soon(world, pick));
        }
        Event::SilenceStoreLinks(pick) => {
            world.silence_store_links();
            world.replace_runner(pick, Leave::RemoveEntry).await;
        }
        Event::OutageThenChanges(mood, span, pick) => {
            world.disturb_store(mood, span).await;
            world.revoke_key();
            world.replace_runner(pick, Leave::RemoveEntry).await;
        }
        Event::Kill(gateway) => world.restart_gateway(gateway, false).await,
        Event::Pause(gateway, span) => world.pause_gateway(gateway, span).await,
        Event::Store(mood, span) => world.disturb_store(mood, span).await,
        Event::CompactStore => world.compact_store(),
        Event::SilenceStoreLink(gateway) => world.silence_store_link(gateway),
        Event::SilenceRunners => world.silence_runners(),
        Event::CrashRunner(pick, span) => world.replace_runner(pick, Leave::Crash(span)).await,
        Event::FailRunner(pick, fault, span) => world.fail_runner(pick, fault, span).await,
        Event::CutRunner(pick) => world.cut_runner(pick).await,
        Event::LeaveBlaming(pick, status) => {
            world.replace_runner(pick, Leave::Blame(status)).await;
        }
    }
    if !event.is_planned() {
        world.note_disturbance();
    }
}
