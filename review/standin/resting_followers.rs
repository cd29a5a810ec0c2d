//! Keys are taken away just after a short outage of the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::Runner;
use crate::world::World;
use crate::world::config_with_keys;
use crate::world::has_trouble;
use crate::world::statuses;

/// The zones of the gateways, two in each.
const GATEWAYS: [&str; 4] = [
    "arrivals-hall",
    "arrivals-hall",
    "departures-hall",
    "departures-hall",
];

/// The zones of the runners.
const RUNNERS: [&str; 3] = ["arrivals-hall", "departures-hall", "arrivals-hall"];

/// The length of an outage.
const OUTAGE: Duration = Duration::from_millis(2_000);

/// The time from the end of an outage until the operator takes a key away.
const REVOKE_DELAY: Duration = Duration::from_millis(600);

/// The bound of the rule.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// The time after an outage from which machines are in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// The undisturbed time before each outage.
const CALM: Duration = Duration::from_secs(7);

/// The number of outages, each with a key of its own.
const ROUNDS: usize = 5;

/// The interval between two requests to one gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A request with a key.
struct Sent {
    key: usize,
    gateway: usize,
    at: Instant,
    answer: (String, u16),
}

/// A key that was taken away.
struct Revoked {
    key: usize,
    acknowledged_at: Instant,
    store_back_at: Instant,
}

fn keys(from: usize) -> Vec<String> {
    (from..=ROUNDS).map(|key| format!("key-{key}")).collect()
}

pub fn play() -> bool {
    let mut world = World::new(&GATEWAYS);
    world.store.put("op/config", &config_with_keys(7, &keys(0)));
    for (index, zone) in RUNNERS.iter().enumerate() {
        Runner::start(&mut world, &format!("i-{index}"), "bay-ledger", zone);
    }
    world.start_gateways();
    let is_over = Arc::new(AtomicBool::new(false));
    let key = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for gateway in 0..GATEWAYS.len() {
        let client = world.client(gateway);
        let is_over = Arc::clone(&is_over);
        let key = Arc::clone(&key);
        let sent = Arc::clone(&sent);
        tasks.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let key = key.load(Ordering::SeqCst);
                let at = Instant::now();
                let answer = client.send_with_key(
                    &format!("key-{key}"),
                    "GET",
                    "/stock/1",
                    Duration::from_millis(4_000),
                );
                sent.lock().expect("the requests").push(Sent {
                    key,
                    gateway,
                    at,
                    answer,
                });
                thread::sleep(REQUEST_INTERVAL);
            }
        }));
    }
    let mut revoked: Vec<Revoked> = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(CALM);
        if has_trouble() {
            world.record.note("the store is down");
            world.store.set_down(true);
        }
        thread::sleep(OUTAGE);
        world.store.set_down(false);
        let store_back_at = Instant::now();
        world.record.note("the store is well");
        thread::sleep(REVOKE_DELAY);
        let version = 10 + round as u64 * 3;
        let config = config_with_keys(version, &keys(round + 1));
        let acknowledged_at = world.store.put("op/config", &config);
        world.record.note(&format!(
            "the store acknowledges version {version}, which takes key-{round} away"
        ));
        revoked.push(Revoked {
            key: round,
            acknowledged_at,
            store_back_at,
        });
        thread::sleep(Duration::from_secs(7));
        key.store(round + 1, Ordering::SeqCst);
    }
    is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        let _ = task.join();
    }
    let record = Arc::clone(&world.record);
    let sent = sent.lock().expect("the requests");
    let mut late_count = 0;
    for Revoked {
        key,
        acknowledged_at,
        store_back_at,
    } in &revoked
    {
        let late: Vec<&Sent> = sent
            .iter()
            .filter(|sent| sent.key == *key && sent.answer.1 == 200)
            .filter(|sent| sent.at > *acknowledged_at + CONFIG_APPLY)
            .filter(|sent| sent.at > *store_back_at + STABLE_WINDOW)
            .collect();
        late_count += late.len();
        if let Some(last) = late.last() {
            record.tell(&format!(
                "CONFIG: {} requests with key-{key} were served by gateways in touch; the last one, \
                 {}, by gateway {}, was sent {} ms after the acknowledgement and {} ms after the \
                 outage",
                late.len(),
                last.answer.0,
                last.gateway + 1,
                (last.at - *acknowledged_at).as_millis(),
                (last.at - *store_back_at).as_millis()
            ));
        }
    }
    let answers: Vec<(String, u16)> = sent.iter().map(|sent| sent.answer.clone()).collect();
    record.tell(&format!(
        "{} keys taken away; answers: {}; {late_count} requests with a key that had been taken \
         away were served by gateways in touch more than {} ms later",
        revoked.len(),
        statuses(&answers),
        CONFIG_APPLY.as_millis()
    ));
    world.end();
    late_count > 0
}
