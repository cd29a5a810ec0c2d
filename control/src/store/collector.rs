//! Garbage collection of values that no head refers to any more.
//!
//! A chunk's key contains the revision that it was written for. Once the head has reached
//! that revision without referring to the chunk, no later head can refer to it, so any
//! process may delete it at any time. Chunks of earlier heads are kept for a grace period,
//! which the head itself tracks.

use std::collections::BTreeSet;
use std::sync::Arc;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_types::id::Revision;

use crate::audit::MAX_ACCEPTED_PAGES;
use crate::head::Head;
use crate::head::NOTES_PER_PAGE;
use crate::keys;
use crate::proposal::Proposal;
use crate::shard::ChunkRef;
use crate::store::writer::WrittenKey;
use crate::store::writer::call;

/// Number of accepted notes between two sweeps for orphaned chunks.
const SWEEP_INTERVAL_NOTES: u64 = 256;

/// Number of older pages that each pruning visits again, in case earlier ones failed.
const PRUNE_LOOKBACK_PAGES: u64 = 4;

/// Deletes in the background the values that the accepted `proposal` made obsolete.
pub fn spawn_collection(service: Arc<dyn KeyValue>, proposal: &Proposal) {
    let head = proposal.head.clone();
    let expired = proposal.expired.clone();
    let filled_page = proposal.filled_page;
    let is_sweep = head.revision.0.is_multiple_of(SWEEP_INTERVAL_NOTES);
    if expired.is_empty() && filled_page.is_none() && !is_sweep {
        return;
    }
    tokio::spawn(async move {
        let collected = collect(&*service, &head, &expired, filled_page, is_sweep).await;
        if let Err(error) = collected {
            log::debug!(
                "failed to delete obsolete values, leaving them to the next sweep: {error}"
            );
        }
    });
}

/// Deletes in the background those of the `written` keys that `head` does not need.
pub fn spawn_orphan_deletion(service: Arc<dyn KeyValue>, head: &Head, written: Vec<WrittenKey>) {
    let needed = needed_keys(head);
    let orphans: Vec<WrittenKey> = written
        .into_iter()
        .filter(|written| is_orphan(head, &needed, &written.key))
        .collect();
    if orphans.is_empty() {
        return;
    }
    tokio::spawn(async move {
        for orphan in orphans {
            let deleted = call(service.delete(&orphan.key, orphan.stored_at)).await;
            if deleted.is_err() {
                return;
            }
        }
    });
}

async fn collect(
    service: &dyn KeyValue,
    head: &Head,
    expired: &[ChunkRef],
    filled_page: Option<u64>,
    is_sweep: bool,
) -> Result<(), PlatformError> {
    for chunk in expired {
        delete(service, &keys::chunk(chunk)).await?;
    }
    if let Some(number) = filled_page {
        prune_pages(service, number).await?;
    }
    if is_sweep {
        sweep(service, head).await?;
    }
    Ok(())
}

/// Deletes every chunk that `head` neither refers to nor retains for readers of earlier heads.
async fn sweep(service: &dyn KeyValue, head: &Head) -> Result<(), PlatformError> {
    let needed = needed_keys(head);
    for entry in call(service.list(keys::CHUNKS)).await? {
        if is_orphan(head, &needed, &entry.key) {
            call(service.delete(&entry.key, entry.revision)).await?;
        }
    }
    Ok(())
}

fn needed_keys(head: &Head) -> BTreeSet<String> {
    let shards = head.shards.values();
    let retired = head.retired.iter().map(|retired| &retired.chunk);
    shards.chain(retired).map(keys::chunk).collect()
}

/// Returns whether `key` is that of a chunk that no head can refer to any more.
fn is_orphan(head: &Head, needed: &BTreeSet<String>, key: &str) -> bool {
    let chunk = keys::parse_chunk(key);
    chunk.is_some_and(|chunk| chunk.generation <= head.revision) && !needed.contains(key)
}

/// Deletes the pages that exceed the kept history after page `filled` was added.
async fn prune_pages(service: &dyn KeyValue, filled: u64) -> Result<(), PlatformError> {
    let Some(newest_pruned) = filled.checked_sub(MAX_ACCEPTED_PAGES) else {
        return Ok(());
    };
    let oldest_pruned = newest_pruned.saturating_sub(PRUNE_LOOKBACK_PAGES);
    for number in oldest_pruned..=newest_pruned {
        let key = keys::page(number);
        let Some(page) = call(service.get(&key)).await? else {
            continue;
        };
        let first = number * NOTES_PER_PAGE as u64 + 1;
        for revision in first..first + NOTES_PER_PAGE as u64 {
            delete_records(service, Revision(revision)).await?;
        }
        call(service.delete(&key, page.revision)).await?;
    }
    Ok(())
}

async fn delete_records(service: &dyn KeyValue, revision: Revision) -> Result<(), PlatformError> {
    for entry in call(service.list(&keys::records(revision))).await? {
        call(service.delete(&entry.key, entry.revision)).await?;
    }
    Ok(())
}

async fn delete(service: &dyn KeyValue, key: &str) -> Result<(), PlatformError> {
    if let Some(entry) = call(service.get(key)).await? {
        call(service.delete(key, entry.revision)).await?;
    }
    Ok(())
}
