//! Keeps the quarantined prompt parts in the store, so that they are known after all
//! gateways have restarted at once.
//!
//! One gateway writes each conviction once, under a lease that ends with the quarantine. A
//! store that is away or busy delays nothing but this.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::site::headers::PromptPartKeys;
use jujubewall_platform::site::stored_parts::STORED_PARTS_PREFIX;
use jujubewall_platform::site::stored_parts::StoredCrash;
use jujubewall_platform::site::stored_parts::StoredParts;
use jujubewall_routing::fleet::gossip_datagram::CrashReports;
use jujubewall_routing::fleet::poison_parts::Conviction;
use jujubewall_routing::fleet::poison_parts::CrashId;
use jujubewall_routing::fleet::poison_parts::CrashReport;
use jujubewall_routing::fleet::poison_parts::PartMark;
use jujubewall_routing::fleet::rendezvous;
use jujubewall_types::id::Revision;
use log::info;
use log::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway::clock;
use crate::gateway::poison;
use crate::gateway::state::Gateway;

/// The interval between checks for convictions that are to be written.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// The time after a conviction before it is written, in which it may still change.
const WRITE_DELAY: Duration = Duration::from_millis(1_500);

/// The further delay for each gateway that comes before this one in the order of those that
/// write a conviction.
const WRITE_TURN: Duration = Duration::from_secs(2);

/// The largest number of such delays.
const MAX_WRITE_TURNS: u32 = 10;

/// The growth of a quarantine from which it is written anew.
const REWRITE_GROWTH: Duration = Duration::from_mins(1);

/// The number of crashes that are written for one conviction.
const MAX_STORED_CRASHES: usize = 8;

/// The longest time before the first read, which spreads the reads of gateways that start at
/// the same time.
const MAX_READ_DELAY_MS: u64 = 300;

/// The pause after the first failed read; it doubles with each further one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after failed reads.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// The number of items that are read.
const MAX_ITEMS: usize = 64;

/// A conviction that is known to be quarantined.
struct Known {
    since: Instant,
    /// The end of the quarantine that the store holds.
    stored_until: Option<Instant>,
}

/// Starts to read and write the quarantined parts.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("read_parts", read);
    gateway.spawn_loop("write_parts", write_loop);
}

/// Reads the quarantined parts once, and never returns.
async fn read(gateway: Rc<Gateway>) {
    read_once(&gateway, STORED_PARTS_PREFIX, |value| {
        StoredParts::decode(value).map(|stored| CrashReports {
            parts: reports(&stored),
            ..CrashReports::default()
        })
    })
    .await;
    std::future::pending::<()>().await;
}

/// Reads what the gateways have stored under a prefix, and applies it. Tries again until the
/// store answers.
pub async fn read_once(
    gateway: &Gateway,
    prefix: &str,
    decode: impl Fn(&[u8]) -> Result<CrashReports, PlatformError>,
) {
    sleep(Duration::from_millis(
        gateway.random_u64() % MAX_READ_DELAY_MS,
    ))
    .await;
    let mut pause = MIN_RETRY_PAUSE;
    loop {
        match gateway.store().list(prefix).await {
            Ok(list) => {
                info!(
                    "event=parts_read prefix={prefix} count={}",
                    list.items.len()
                );
                for item in list.items.iter().take(MAX_ITEMS) {
                    match decode(&item.value) {
                        Ok(reports) => poison::apply_reports(gateway, &reports, "store"),
                        Err(failure) => {
                            gateway.metrics.count("part_unreadable");
                            warn!(
                                "event=part_unreadable key={} reason=\"{failure}\"",
                                item.key
                            );
                        }
                    }
                }
                return;
            }
            Err(failure) => {
                gateway.metrics.count("parts_not_read");
                info!("event=parts_not_read prefix={prefix} reason=\"{failure}\"");
                let jitter = Duration::from_millis(gateway.random_u64() % 100);
                sleep(pause + jitter).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Returns what an item says, as another gateway would report it.
fn reports(stored: &StoredParts) -> Vec<CrashReport> {
    let parts: PromptPartKeys = stored.parts().collect();
    let crashes = stored.crashes.iter();
    crashes
        .map(|crash| {
            let age = age(crash);
            let marked = parts.iter().map(|part| (*part, PartMark::Confirmed));
            CrashReport::new(CrashId(crash.id), age, marked)
        })
        .collect()
}

/// Returns the time since a stored crash. One in the future is due to clocks that differ.
pub fn age(crash: &StoredCrash) -> Duration {
    Duration::from_millis(clock::unix_ms().saturating_sub(crash.unix_ms))
}

/// Returns a crash as it is stored, from the time since it.
pub fn stored_crash(id: CrashId, age: Duration) -> StoredCrash {
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    StoredCrash {
        id: id.0,
        unix_ms: clock::unix_ms().saturating_sub(age_ms),
    }
}

/// Writes convictions when it is this gateway's turn and no other has.
async fn write_loop(gateway: Rc<Gateway>) {
    let mut known: HashMap<PromptPartKeys, Known> = HashMap::new();
    loop {
        sleep(WRITE_INTERVAL).await;
        let convictions = poison::quarantined_parts(&gateway);
        let now = Instant::now();
        known.retain(|parts, _| convictions.iter().any(|it| it.parts[..] == parts[..]));
        for conviction in convictions {
            let parts = PromptPartKeys::from_slice(&conviction.parts);
            let entry = known.entry(parts).or_insert(Known {
                since: now,
                stored_until: None,
            });
            let ends_at = conviction.ends_at();
            let is_stored = entry
                .stored_until
                .is_some_and(|until| ends_at < until + REWRITE_GROWTH);
            let seed = conviction.parts.first().map_or(0, |part| part.0);
            let is_due = now >= entry.since + write_delay(&gateway, seed);
            if is_stored || !is_due {
                continue;
            }
            // After a failure it is tried again with the next turn of all.
            entry.since = now;
            match write(&gateway, &conviction).await {
                Ok(()) => entry.stored_until = Some(ends_at),
                Err(failure) => {
                    gateway.metrics.count("part_not_stored");
                    info!("event=part_not_stored reason=\"{failure}\"");
                }
            }
        }
    }
}

/// Returns the delay after which this gateway writes what no other has written: the longer,
/// the more live gateways come before it in the order that follows from `seed`.
pub fn write_delay(gateway: &Gateway, seed: u64) -> Duration {
    let gossip = gateway.peers.gossip();
    let own = rendezvous::score(seed, gossip.own_address());
    let before = gossip
        .live_peers(Instant::now())
        .filter(|(address, _)| rendezvous::score(seed, *address) < own)
        .count();
    let turn = u32::try_from(before).unwrap_or(u32::MAX);
    WRITE_DELAY + WRITE_TURN * turn.min(MAX_WRITE_TURNS)
}

/// Writes a conviction unless the store holds its last crash.
async fn write(gateway: &Gateway, conviction: &Conviction) -> Result<(), PlatformError> {
    let now = Instant::now();
    let crashes = conviction.crashes.iter().rev().take(MAX_STORED_CRASHES);
    let crashes: Vec<StoredCrash> = crashes
        .filter_map(|id| {
            let age = poison::crash_age(gateway, *id, now)?;
            Some(stored_crash(*id, age))
        })
        .collect();
    let Some(stored) = StoredParts::new(&conviction.parts, crashes) else {
        return Ok(());
    };
    let store = gateway.store();
    let key = stored.key();
    let held = store.get(&key).await?;
    if let Some(item) = &held
        && let Ok(held) = StoredParts::decode(&item.value)
        && held.crashes.first().map(|crash| crash.id) == stored.crashes.first().map(|it| it.id)
    {
        return Ok(());
    }
    let revision = held.map_or(Revision(0), |item| item.revision);
    let left = conviction.ends_at().saturating_duration_since(now);
    let min_ttl = Duration::from_millis(gateway.settings().min_lease_ttl_ms);
    let lease = store.grant_lease(left.max(min_ttl)).await?;
    let outcome = store
        .write_if(&key, revision, stored.encode()?, lease)
        .await?;
    gateway.metrics.count("part_stored");
    info!("event=part_stored key={key} outcome={outcome:?}");
    Ok(())
}
