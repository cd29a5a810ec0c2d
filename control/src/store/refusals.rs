//! Ring buffer of pages that record refused notes.
//!
//! Refusals that arrive while a page is being written are batched into the next write, so
//! that a flood of refused notes causes few writes.

use std::sync::Arc;
use std::sync::Mutex as SyncMutex;
use std::sync::PoisonError;

use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::Revision;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Mutex;

use crate::audit::REFUSAL_PAGES;
use crate::audit::REFUSALS_PER_PAGE;
use crate::audit::RefusedRecord;
use crate::keys;
use crate::store::StoreError;
use crate::store::writer::call;

/// Maximum number of attempts to write a page that other processes write as well.
const MAX_APPEND_ATTEMPTS: u32 = 8;

/// Maximum number of unwritten records kept for the next attempt; the oldest are dropped.
const MAX_PENDING_RECORDS: usize = 256;

/// One page, stored as one value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct RefusalPage {
    /// Number of pages started before this one; modulo the size of the ring, it gives the slot.
    number: u64,
    records: Vec<RefusedRecord>,
}

/// A page with its revision in the key-value service; `None` if it is not stored yet.
#[derive(Clone, Debug, Default)]
struct StoredPage {
    page: RefusalPage,
    stored_at: Option<Revision>,
}

/// Appends refused notes to the ring buffer and reads them.
pub struct RefusalLog {
    service: Arc<dyn KeyValue>,
    pending: SyncMutex<Vec<RefusedRecord>>,
    newest: Mutex<StoredPage>,
}

impl RefusalLog {
    /// Creates a log on `service` without reading from it.
    pub fn new(service: Arc<dyn KeyValue>) -> Self {
        Self {
            service,
            pending: SyncMutex::default(),
            newest: Mutex::default(),
        }
    }

    /// Records a refusal, together with those that could not be written before.
    ///
    /// A record that cannot be written is kept for the next call. The refusal itself is valid
    /// in any case, because it changed nothing.
    pub async fn append(&self, record: RefusedRecord) {
        self.push_pending(record);
        let mut newest = self.newest.lock().await;
        let records = self.take_pending();
        if records.is_empty() {
            return;
        }
        if let Err(error) = self.write(&mut newest, &records).await {
            log::warn!(
                "failed to record {} refused notes, keeping them for the next attempt: {error}",
                records.len()
            );
            self.restore_pending(records);
        }
    }

    /// Returns the newest refusal of the note with `id`, if one is on record.
    pub async fn find(&self, id: &NoteId) -> Result<Option<RefusedRecord>, StoreError> {
        let records = self.read_all().await?;
        Ok(records.into_iter().rev().find(|record| record.note == *id))
    }

    /// Reads the newest `limit` refusals against revision `from` or a later one.
    pub async fn read(
        &self,
        from: Revision,
        limit: usize,
    ) -> Result<Vec<RefusedRecord>, StoreError> {
        let mut records = self.read_all().await?;
        records.retain(|record| record.revision >= from);
        let excess = records.len().saturating_sub(limit);
        Ok(records.split_off(excess))
    }

    async fn read_all(&self) -> Result<Vec<RefusedRecord>, StoreError> {
        let mut pages = Vec::new();
        for entry in call(self.service.list(keys::REFUSALS)).await? {
            pages.push(decode(&entry)?.page);
        }
        pages.sort_by_key(|page| page.number);
        Ok(pages.into_iter().flat_map(|page| page.records).collect())
    }

    async fn write(
        &self,
        newest: &mut StoredPage,
        records: &[RefusedRecord],
    ) -> Result<(), StoreError> {
        for batch in records.chunks(REFUSALS_PER_PAGE) {
            self.write_batch(newest, batch).await?;
        }
        Ok(())
    }

    async fn write_batch(
        &self,
        newest: &mut StoredPage,
        batch: &[RefusedRecord],
    ) -> Result<(), StoreError> {
        for _ in 0..MAX_APPEND_ATTEMPTS {
            if newest.stored_at.is_none() {
                *newest = self.find_newest().await?;
            }
            let (page, expected) = self.page_with(newest, batch).await?;
            let value = Bytes::from(serde_json::to_vec(&page)?);
            let key = keys::refusals(page.number % REFUSAL_PAGES);
            let swap = self.service.compare_and_swap(&key, expected, value, None);
            match call(swap).await {
                Ok(Swap::Done(stored_at)) => {
                    let stored_at = Some(stored_at);
                    *newest = StoredPage { page, stored_at };
                    return Ok(());
                }
                // Either another process wrote first, or this call took effect and its reply was
                // lost. Reading the page again shows which of the two happened.
                Ok(Swap::Conflict(_)) | Err(PlatformError::ReplyLost(_)) => {
                    *newest = self.find_newest().await?;
                    if contains_all(&newest.page, batch) {
                        return Ok(());
                    }
                }
                Err(error) => return Err(error.into()),
            }
        }
        Err(PlatformError::Unavailable("the refusal page is contended".to_owned()).into())
    }

    /// Returns the page to write for `batch` and the expected revision of its slot.
    ///
    /// If the newest page has no space left, this is a new page.
    async fn page_with(
        &self,
        newest: &StoredPage,
        batch: &[RefusedRecord],
    ) -> Result<(RefusalPage, Option<Revision>), StoreError> {
        let mut page = newest.page.clone();
        if page.records.len() + batch.len() <= REFUSALS_PER_PAGE {
            page.records.extend_from_slice(batch);
            return Ok((page, newest.stored_at));
        }
        let number = page.number + 1;
        let key = keys::refusals(number % REFUSAL_PAGES);
        let replaced = call(self.service.get(&key)).await?;
        let records = batch.to_vec();
        let page = RefusalPage { number, records };
        Ok((page, replaced.map(|entry| entry.revision)))
    }

    async fn find_newest(&self) -> Result<StoredPage, StoreError> {
        let mut newest = StoredPage::default();
        for entry in call(self.service.list(keys::REFUSALS)).await? {
            let stored = decode(&entry)?;
            if stored.page.number >= newest.page.number {
                newest = stored;
            }
        }
        Ok(newest)
    }

    fn push_pending(&self, record: RefusedRecord) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.push(record);
    }

    fn take_pending(&self) -> Vec<RefusedRecord> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *pending)
    }

    fn restore_pending(&self, mut records: Vec<RefusedRecord>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        records.append(&mut pending);
        let excess = records.len().saturating_sub(MAX_PENDING_RECORDS);
        *pending = records.split_off(excess);
    }
}

fn contains_all(page: &RefusalPage, batch: &[RefusedRecord]) -> bool {
    batch.iter().all(|record| page.records.contains(record))
}

fn decode(entry: &KeyValueEntry) -> Result<StoredPage, StoreError> {
    Ok(StoredPage {
        page: serde_json::from_slice(&entry.value)?,
        stored_at: Some(entry.revision),
    })
}
