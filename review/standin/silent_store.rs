//! Runners leave without reporting it just after open connections to the store went silent.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::Runner;
use crate::world::World;
use crate::world::has_trouble;
use crate::world::plain_config;
use crate::world::statuses;

/// The zones of the gateways.
const GATEWAYS: [&str; 5] = [
    "arrivals-hall",
    "arrivals-hall",
    "departures-hall",
    "departures-hall",
    "cargo-apron",
];

/// The zones of the runners that serve at a time.
const RUNNERS: [&str; 3] = ["arrivals-hall", "departures-hall", "cargo-apron"];

/// The bound of the rule.
const DRAIN: Duration = Duration::from_millis(2_000);

/// The time after which a machine is in touch again.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// The time for which a leaving runner serves on after `DRAIN`.
const LONGER: Duration = Duration::from_secs(5);

/// The undisturbed time before each silence.
const CALM: Duration = Duration::from_secs(6);

/// The number of times that connections go silent.
const ROUNDS: usize = 6;

/// The requests that a gateway gets one after the other, and the time between two such groups.
const GROUP: usize = 4;
const GROUP_INTERVAL: Duration = Duration::from_millis(4_000);

/// A request and when it was sent.
struct Sent {
    at: Instant,
    answer: (String, u16),
}

/// A runner that left, when, and the silence before.
struct Left {
    runner: Arc<Runner>,
    at: Instant,
    silence_at: Instant,
}

pub fn play() -> bool {
    let mut world = World::new(&GATEWAYS);
    world.store.put("op/config", &plain_config(7));
    let mut runners: Vec<Arc<Runner>> = Vec::new();
    for (index, zone) in RUNNERS.iter().enumerate() {
        runners.push(Runner::start(
            &mut world,
            &format!("i-{index}"),
            "bay-ledger",
            zone,
        ));
    }
    world.start_gateways();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for gateway in 0..GATEWAYS.len() {
        let client = world.client(gateway);
        let is_over = Arc::clone(&is_over);
        let sent = Arc::clone(&sent);
        tasks.push(thread::spawn(move || {
            thread::sleep(GROUP_INTERVAL.mul_f64(gateway as f64 / GATEWAYS.len() as f64));
            while !is_over.load(Ordering::SeqCst) {
                for number in 0..GROUP {
                    let at = Instant::now();
                    let answer = if number % 2 == 0 {
                        client.send("POST", "/orders/1", Duration::from_millis(4_000))
                    } else {
                        client.send("GET", "/stock/1", Duration::from_millis(4_000))
                    };
                    sent.lock().expect("the requests").push(Sent { at, answer });
                }
                thread::sleep(GROUP_INTERVAL);
            }
        }));
    }
    let mut left: Vec<Left> = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(CALM);
        let silence_at = Instant::now();
        if has_trouble() {
            world.store_relay.silence();
            world
                .record
                .note("the open connections to the store go silent; new ones work");
        }
        thread::sleep(Duration::from_millis(500));
        let runner = Arc::clone(&runners[round]);
        left.push(Left {
            runner: Arc::clone(&runner),
            at: runner.leave_silently(),
            silence_at,
        });
        tasks.push(thread::spawn(move || {
            thread::sleep(DRAIN + LONGER);
            runner.exit();
        }));
        let id = format!("i-{}", runners.len());
        let zone = RUNNERS[round % RUNNERS.len()];
        runners.push(Runner::start(&mut world, &id, "bay-ledger", zone));
        thread::sleep(Duration::from_secs(6));
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        let _ = task.join();
    }
    let record = Arc::clone(&world.record);
    let sent = sent.lock().expect("the requests");
    let mut late_count = 0;
    for Left {
        runner,
        at,
        silence_at,
    } in &left
    {
        for arrival in runner.arrivals() {
            let sent_at = sent
                .iter()
                .find(|sent| sent.answer.0 == arrival.id)
                .map(|sent| sent.at);
            let is_in_touch = sent_at.is_some_and(|sent_at| sent_at > *silence_at + STABLE_WINDOW);
            if arrival.at > *at + DRAIN && is_in_touch {
                late_count += 1;
                record.tell(&format!(
                    "DRAIN: {} reached {} {} ms after the store had acknowledged that it is gone, \
                     {} ms after the silence",
                    arrival.id,
                    runner.id,
                    (arrival.at - *at).as_millis(),
                    (arrival.at - *silence_at).as_millis()
                ));
            }
        }
    }
    let answers: Vec<(String, u16)> = sent.iter().map(|sent| sent.answer.clone()).collect();
    record.tell(&format!(
        "{} runners left; answers: {}; {late_count} requests reached a runner through a gateway \
         in touch later than {} ms after it had left",
        left.len(),
        statuses(&answers),
        DRAIN.as_millis()
    ));
    world.end();
    late_count > 0
}
