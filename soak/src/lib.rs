//! A randomized soak of gateways as real processes, with faults from outside.
//!
//! Gateways run before stand-ins of the store and the runners, behind loopback proxies.
//! A seed decides what fails, when, and for how long: signals, restarts, silent
//! connections, cut watches, the store's moods, outages that changes follow at once, followers
//! killed, stopped or turned away together, runners that fail, leave and come back, changed
//! configurations and keys. Planned work alone alternates with everything at once. What clients
//! and runners see is checked against [`promises`].

pub mod clients;
pub mod promises;
pub mod schedule;
pub mod world;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::promises::Broken;
use crate::promises::Promise;
use crate::schedule::Schedule;
use crate::world::World;

/// The time after which all has to be served again, by the platform's bounds.
const RECOVERY: Duration = Duration::from_secs(12);

/// What a run of the soak has seen.
#[derive(Debug)]
pub struct Report {
    /// The number of requests.
    pub requests: usize,
    /// The number of runs.
    pub runs: usize,
    /// The number of faults.
    pub faults: usize,
    /// The promises that were not kept.
    pub broken: Vec<Broken>,
}

/// Plays the faults of a seed for a time and checks what was seen.
///
/// `program` is run with `--gateway`. The logs of the gateways are in `folder`.
pub async fn soak(program: &Path, folder: &Path, seed: u64, length: Duration) -> Report {
    let world = World::start(program, folder, seed).await;
    let load = clients::start(&world, seed);
    let failing = tokio::spawn(schedule::fail_runners(Arc::clone(&world), seed));
    let beside = tokio::spawn(schedule::play_beside(Arc::clone(&world), seed));
    let misleading = tokio::spawn(schedule::mislead(Arc::clone(&world), seed));
    let mut schedule = Schedule::new(seed);
    let end = Instant::now() + length;
    while Instant::now() < end {
        schedule.play_next(&world).await;
    }
    failing.abort();
    beside.abort();
    misleading.abort();
    world.end_faults().await;
    // What gateways wrongly believe has to pass without a restart.
    let has_settled = world.serves_within(RECOVERY).await;
    world.kill_all_gateways().await;
    let has_recovered = world.serves_within(RECOVERY).await;
    load.stop().await;
    let history = world.history();
    let mut broken = promises::check(&history, &world::BOUNDS);
    if !has_settled {
        broken.push(Broken {
            promise: Promise::Recovery,
            seen: format!("not served {RECOVERY:?} after all faults"),
        });
    }
    if !has_recovered {
        broken.push(Broken {
            promise: Promise::Recovery,
            seen: format!("not served {RECOVERY:?} after the loss of all gateways"),
        });
    }
    Report {
        requests: history.sent.len(),
        runs: history.runs.len(),
        faults: schedule.played(),
        broken,
    }
}
