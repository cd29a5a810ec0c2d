//! Keeps the quarantined requests in the store, so that they are known after all gateways
//! have restarted at once.
//!
//! All are in one item, since there may be many at the same time. One gateway adds those that
//! it lacks, under a lease that ends with the quarantine of the last one.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::site::store::WriteOutcome;
use jujubewall_platform::site::stored_requests::STORED_REQUESTS_KEY;
use jujubewall_platform::site::stored_requests::STORED_REQUESTS_PREFIX;
use jujubewall_platform::site::stored_requests::StoredRequest;
use jujubewall_platform::site::stored_requests::StoredRequests;
use jujubewall_routing::fleet::gossip_datagram::CrashReports;
use jujubewall_routing::fleet::poison_parts::CrashId;
use jujubewall_routing::fleet::poison_parts::QUARANTINE_TIME;
use jujubewall_routing::fleet::poison_requests::QuarantinedRequest;
use jujubewall_routing::fleet::poison_requests::RequestCrashReport;
use jujubewall_routing::fleet::poison_requests::RequestMark;
use jujubewall_types::id::RequestDigest;
use jujubewall_types::id::Revision;
use log::info;
use log::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway::clock;
use crate::gateway::poison;
use crate::gateway::poison_store;
use crate::gateway::state::Gateway;

/// Decides the order in which gateways write the item.
const WRITER_SEED: u64 = 0x7265_7175_6573_7473;

/// Starts to read and write the quarantined requests.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("read_requests", read);
    gateway.spawn_loop("write_requests", write_loop);
}

/// Reads the item once, and never returns.
async fn read(gateway: Rc<Gateway>) {
    poison_store::read_once(&gateway, STORED_REQUESTS_PREFIX, |value| {
        StoredRequests::decode(value).map(|stored| CrashReports {
            requests: reports(&stored),
            ..CrashReports::default()
        })
    })
    .await;
    std::future::pending::<()>().await;
}

/// Returns what the item says, as another gateway would report it.
fn reports(stored: &StoredRequests) -> Vec<RequestCrashReport> {
    let requests = stored.requests();
    requests
        .map(|(request, crashes)| {
            let crashes = crashes.iter().map(|crash| {
                let age = poison_store::age(crash);
                (CrashId(crash.id), age, RequestMark::Implicated)
            });
            RequestCrashReport::new(request, crashes)
        })
        .collect()
}

/// Writes quarantined requests when it is this gateway's turn and no other has.
async fn write_loop(gateway: Rc<Gateway>) {
    // The last crash of each request that the store holds, and since when others are known.
    let mut stored: BTreeMap<RequestDigest, CrashId> = BTreeMap::new();
    let mut unstored_since: Option<Instant> = None;
    loop {
        sleep(poison_store::WRITE_INTERVAL).await;
        let quarantined = poison::quarantined_requests(&gateway);
        let is_stored = |quarantined: &QuarantinedRequest| {
            stored.get(&quarantined.request) == last_crash(quarantined).as_ref()
        };
        if quarantined.iter().all(is_stored) {
            unstored_since = None;
            continue;
        }
        let now = Instant::now();
        let since = *unstored_since.get_or_insert(now);
        if now < since + poison_store::write_delay(&gateway, WRITER_SEED) {
            continue;
        }
        unstored_since = None;
        match write(&gateway, &quarantined).await {
            Ok(held) => stored = held,
            Err(failure) => {
                gateway.metrics.count("requests_not_stored");
                info!("event=requests_not_stored reason=\"{failure}\"");
            }
        }
    }
}

fn last_crash(quarantined: &QuarantinedRequest) -> Option<CrashId> {
    quarantined.crashes.last().map(|(id, _)| *id)
}

/// Adds requests to the item unless it holds their last crashes; returns the last crash of
/// each request in it.
async fn write(
    gateway: &Gateway,
    quarantined: &[QuarantinedRequest],
) -> Result<BTreeMap<RequestDigest, CrashId>, PlatformError> {
    let store = gateway.store();
    let held = store.get(STORED_REQUESTS_KEY).await?;
    let revision = held.as_ref().map_or(Revision(0), |item| item.revision);
    let known = match held.map(|item| StoredRequests::decode(&item.value)) {
        Some(Ok(known)) => known,
        Some(Err(failure)) => {
            gateway.metrics.count("requests_unreadable");
            warn!("event=requests_unreadable reason=\"{failure}\"");
            // A later build's item is left as it is.
            return Err(failure);
        }
        None => StoredRequests::new(Vec::new()),
    };
    let own: BTreeMap<RequestDigest, CrashId> = quarantined
        .iter()
        .filter_map(|quarantined| Some((quarantined.request, last_crash(quarantined)?)))
        .collect();
    let held = last_crashes(&known);
    if own
        .iter()
        .all(|(request, id)| held.get(request) == Some(id))
    {
        return Ok(held);
    }
    let requests = quarantined.iter().map(|quarantined| {
        let crashes = quarantined.crashes.iter();
        let crashes = crashes.map(|(id, age)| poison_store::stored_crash(*id, *age));
        StoredRequest::new(quarantined.request, crashes.collect())
    });
    let quarantine_ms = u64::try_from(QUARANTINE_TIME.as_millis()).unwrap_or(u64::MAX);
    let min_unix_ms = clock::unix_ms().saturating_sub(quarantine_ms);
    let merged = known.merged_with(StoredRequests::new(requests.collect()), min_unix_ms);
    let left = quarantined.iter().map(|quarantined| quarantined.left).max();
    let min_ttl = Duration::from_millis(gateway.settings().min_lease_ttl_ms);
    let lease = store
        .grant_lease(left.unwrap_or_default().max(min_ttl))
        .await?;
    let outcome = store
        .write_if(STORED_REQUESTS_KEY, revision, merged.encode()?, lease)
        .await?;
    gateway.metrics.count("requests_stored");
    info!(
        "event=requests_stored count={} outcome={outcome:?}",
        merged.requests().count()
    );
    match outcome {
        WriteOutcome::Done(_) => Ok(last_crashes(&merged)),
        // Another gateway has written meanwhile, perhaps not the same.
        WriteOutcome::Conflict => Ok(held),
    }
}

fn last_crashes(stored: &StoredRequests) -> BTreeMap<RequestDigest, CrashId> {
    let requests = stored.requests();
    requests
        .filter_map(|(request, crashes)| {
            let last = crashes.iter().max_by_key(|crash| crash.unix_ms)?;
            Some((request, CrashId(last.id)))
        })
        .collect()
}
