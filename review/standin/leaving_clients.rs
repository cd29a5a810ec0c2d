//! A request that crashes the runners that run it comes again, from clients that leave early.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::Behaviour;
use crate::world::Runner;
use crate::world::World;
use crate::world::has_trouble;
use crate::world::plain_config;
use crate::world::statuses;

const ZONES: [&str; 2] = ["arrivals-hall", "departures-hall"];

/// The number of runners.
const RUNNERS: usize = 6;

/// The time after which a client leaves: a third of the objective.
const PATIENCE: Duration = Duration::from_millis(100);

/// The time after which the request crashes a runner.
const CRASH_DELAY: Duration = Duration::from_millis(200);

/// The time after which a crashed runner is back, under another identifier.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// The interval between two attempts of clients.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The interval between two sound requests to one gateway, which are many times as many.
const SOUND_INTERVAL: Duration = Duration::from_millis(200);

/// The time for which attempts are made.
const LENGTH: Duration = Duration::from_secs(30);

/// The time after the third crash from which retries count.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// The retries that the rule allows.
const MAX_RETRIES: usize = 3;

pub fn play() -> bool {
    let mut world = World::new(&ZONES);
    world.store.put("op/config", &plain_config(7));
    let mut runners: Vec<Arc<Runner>> = Vec::new();
    for index in 0..RUNNERS {
        runners.push(start_runner(&mut world, index));
    }
    world.start_gateways();
    // The gateways have been undisturbed for longer than `stable_window_ms`.
    thread::sleep(Duration::from_secs(5));
    let clients = [world.client(0), world.client(1)];
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for client in clients.clone() {
        let is_over = Arc::clone(&is_over);
        let sound = Arc::clone(&sound);
        tasks.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let answer = client.send("POST", "/orders/1", Duration::from_millis(4_000));
                sound.lock().expect("the answers").push(answer);
                thread::sleep(SOUND_INTERVAL);
            }
        }));
    }
    let begun = Instant::now();
    let mut fatal_ids: BTreeSet<String> = BTreeSet::new();
    let mut attempts = 0;
    let mut restarted = 0;
    let mut waiting = Vec::new();
    while begun.elapsed() < LENGTH {
        let client = clients[attempts % clients.len()].clone();
        attempts += 1;
        if has_trouble() {
            fatal_ids.insert(client.send_and_leave("/orders/fatal", PATIENCE));
        } else {
            waiting.push(thread::spawn(move || {
                let deadline = Duration::from_millis(4_000);
                client.send("POST", "/orders/fatal", deadline).0
            }));
        }
        let next_at = Instant::now() + ATTEMPT_INTERVAL;
        while Instant::now() < next_at {
            let is_due = |runner: &&Arc<Runner>| {
                let crashed_at = runner.crashed_at();
                crashed_at.is_some_and(|at| at.elapsed() >= RESTART_DELAY)
            };
            let due_count = runners.iter().filter(is_due).count();
            while restarted < due_count {
                restarted += 1;
                let index = runners.len();
                runners.push(start_runner(&mut world, index));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    for task in waiting {
        fatal_ids.extend(task.join());
    }
    is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        let _ = task.join();
    }
    let record = Arc::clone(&world.record);
    let mut crashes: Vec<Instant> = runners.iter().filter_map(|it| it.crashed_at()).collect();
    crashes.sort_unstable();
    let mut late_count = 0;
    if let Some(third) = crashes.get(2) {
        for runner in &runners {
            for arrival in runner.arrivals() {
                if arrival.at > *third + STABLE_WINDOW && fatal_ids.contains(&arrival.id) {
                    late_count += 1;
                    record.note(&format!(
                        "BUDGET: {} reached {} {} ms after the third crash",
                        arrival.id,
                        runner.id,
                        (arrival.at - *third).as_millis()
                    ));
                }
            }
        }
    }
    record.tell(&format!(
        "{attempts} attempts; {} crashes; {late_count} sends reached runners later than {} ms \
         after the third crash, {MAX_RETRIES} are allowed; sound orders: {}",
        crashes.len(),
        STABLE_WINDOW.as_millis(),
        statuses(&sound.lock().expect("the answers"))
    ));
    world.end();
    late_count > MAX_RETRIES
}

fn start_runner(world: &mut World, index: usize) -> Arc<Runner> {
    let zone = ZONES[index % ZONES.len()];
    let runner = Runner::start(world, &format!("i-{index}"), "bay-ledger", zone);
    runner.set_behaviour(Behaviour {
        work: Duration::from_millis(60),
        crash_delay: CRASH_DELAY,
    });
    runner
}
