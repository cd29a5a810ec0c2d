//! Runners leave without reporting it just after the gateways that follow the store were killed.

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
use crate::world::cannot_run;
use crate::world::has_trouble;
use crate::world::plain_config;
use crate::world::statuses;

const ZONE: &str = "arrivals-hall";

/// The number of gateways.
const GATEWAYS: usize = 6;

/// The largest share of them that is killed at once.
const MAX_KILLED_SHARE: f64 = 0.55;

/// The time after which killed gateways are started again.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// The bound of the rule.
const DRAIN: Duration = Duration::from_millis(2_000);

/// The time for which a leaving runner serves on after `DRAIN`.
const LONGER: Duration = Duration::from_secs(4);

/// The time for which a machine has to be undisturbed to be in touch, and some more.
const CALM: Duration = Duration::from_secs(7);

/// The number of times that the followers are killed.
const ROUNDS: usize = 6;

/// The number of runners that serve at a time.
const RUNNERS: usize = 3;

/// The requests that a gateway gets one after the other, and the time between two such groups.
const GROUP: usize = 4;
const GROUP_INTERVAL: Duration = Duration::from_millis(2_600);

/// A request that was sent to a gateway.
struct Sent {
    gateway: usize,
    answer: (String, u16),
}

pub fn play() -> bool {
    let mut world = World::new(&[ZONE; GATEWAYS]);
    world.store.put("op/config", &plain_config(7));
    let mut runners: Vec<Arc<Runner>> = Vec::new();
    for index in 0..RUNNERS {
        runners.push(start_runner(&mut world, index));
    }
    world.start_gateways();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for gateway in 0..GATEWAYS {
        let client = world.client(gateway);
        let is_over = Arc::clone(&is_over);
        let sent = Arc::clone(&sent);
        tasks.push(thread::spawn(move || {
            thread::sleep(GROUP_INTERVAL.mul_f64(gateway as f64 / GATEWAYS as f64));
            while !is_over.load(Ordering::SeqCst) {
                for number in 0..GROUP {
                    let answer = if number % 2 == 0 {
                        client.send("POST", "/orders/1", Duration::from_millis(4_000))
                    } else {
                        client.send("GET", "/stock/1", Duration::from_millis(4_000))
                    };
                    sent.lock()
                        .expect("the requests")
                        .push(Sent { gateway, answer });
                }
                thread::sleep(GROUP_INTERVAL);
            }
        }));
    }
    // Each removal, and the gateways that were undisturbed.
    let mut left: Vec<(Arc<Runner>, Instant, BTreeSet<usize>)> = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(CALM);
        let followers = followers(&world);
        if followers.is_empty() || followers.len() as f64 > MAX_KILLED_SHARE * GATEWAYS as f64 {
            world.record.note(&format!(
                "{} gateways follow the store, no round",
                followers.len()
            ));
            continue;
        }
        if has_trouble() {
            for gateway in &followers {
                world.gateways[*gateway].signal("KILL");
            }
            world.record.note(&format!(
                "the gateways that follow the store are killed: {}",
                followers
                    .iter()
                    .map(|index| (index + 1).to_string())
                    .collect::<Vec<_>>()
                    .join(", ")
            ));
        }
        let killed_at = Instant::now();
        thread::sleep(Duration::from_millis(100));
        let runner = Arc::clone(&runners[round]);
        let calm: BTreeSet<usize> = (0..GATEWAYS)
            .filter(|gateway| !has_trouble() || !followers.contains(gateway))
            .collect();
        left.push((Arc::clone(&runner), runner.leave_silently(), calm));
        tasks.push(thread::spawn(move || {
            thread::sleep(DRAIN + LONGER);
            runner.exit();
        }));
        let index = runners.len();
        runners.push(start_runner(&mut world, index));
        thread::sleep(RESTART_DELAY.saturating_sub(killed_at.elapsed()));
        if has_trouble() {
            for gateway in &followers {
                world.gateways[*gateway].wait();
                let root = world.root.clone();
                world.gateways[*gateway].start(&root);
            }
            world.record.note("the killed gateways are started again");
        }
    }
    thread::sleep(DRAIN + LONGER);
    is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        let _ = task.join();
    }
    let record = Arc::clone(&world.record);
    let sent = sent.lock().expect("the requests");
    let mut late_count = 0;
    for (runner, left_at, calm) in &left {
        for arrival in runner.arrivals() {
            let gateway = sent
                .iter()
                .find(|sent| sent.answer.0 == arrival.id)
                .map(|sent| sent.gateway);
            let is_calm = gateway.is_some_and(|gateway| calm.contains(&gateway));
            if arrival.at > *left_at + DRAIN && is_calm {
                late_count += 1;
                record.tell(&format!(
                    "DRAIN: {} reached {} through undisturbed gateway {} {} ms after the store \
                     had acknowledged that it is gone",
                    arrival.id,
                    runner.id,
                    gateway.map_or(0, |gateway| gateway + 1),
                    (arrival.at - *left_at).as_millis()
                ));
            }
        }
    }
    let answers: Vec<(String, u16)> = sent.iter().map(|sent| sent.answer.clone()).collect();
    record.tell(&format!(
        "{} runners left; answers: {}; {late_count} requests reached a runner through an \
         undisturbed gateway later than {} ms after it had left",
        left.len(),
        statuses(&answers),
        DRAIN.as_millis()
    ));
    world.end();
    if left.len() < ROUNDS / 2 {
        cannot_run("too many gateways follow the store");
    }
    late_count > 0
}

fn start_runner(world: &mut World, index: usize) -> Arc<Runner> {
    let runner = Runner::start(world, &format!("i-{index}"), "bay-ledger", ZONE);
    runner.set_behaviour(Behaviour {
        work: Duration::from_millis(60),
        ..Behaviour::default()
    });
    runner
}

/// Returns the gateways that follow the store, as their metrics show.
fn followers(world: &World) -> BTreeSet<usize> {
    let watches = || -> Vec<u64> {
        let gateways = world.gateways.iter();
        gateways
            .map(|gateway| gateway.metric("store_watch_entries"))
            .collect()
    };
    let before = watches();
    thread::sleep(Duration::from_millis(1_500));
    let pairs = before.into_iter().zip(watches());
    pairs
        .enumerate()
        .filter(|(_, (before, after))| after > before)
        .map(|(index, _)| index)
        .collect()
}
