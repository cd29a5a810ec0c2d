//! Reads accepted notes and their audit records.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::Revision;

use crate::audit::AcceptedRecord;
use crate::audit::MAX_ACCEPTED_PAGES;
use crate::head::AcceptedNote;
use crate::head::Head;
use crate::head::NOTES_PER_PAGE;
use crate::keys;
use crate::proposal::HistoryPage;
use crate::store::StoreError;
use crate::store::writer::call;

/// Number of missing pages above which all pages are listed with one call.
const LIST_THRESHOLD: usize = 8;

/// Reads the pages of accepted notes and caches them; pages are immutable.
pub struct History {
    service: Arc<dyn KeyValue>,
    pages: Mutex<PageCache>,
}

/// Cached pages by number, and the notes in them by identifier.
#[derive(Default)]
struct PageCache {
    pages: HashMap<u64, Arc<HistoryPage>>,
    notes: HashMap<NoteId, AcceptedNote>,
}

impl PageCache {
    fn insert(&mut self, number: u64, page: HistoryPage) {
        for note in &page.notes {
            self.notes.insert(note.id.clone(), note.clone());
        }
        self.pages.insert(number, Arc::new(page));
    }

    fn drop_before(&mut self, first: u64) {
        self.pages.retain(|number, _| *number >= first);
        let oldest = Revision(first * NOTES_PER_PAGE as u64);
        self.notes.retain(|_, note| note.revision > oldest);
    }
}

impl History {
    /// Creates a history with an empty cache.
    pub fn new(service: Arc<dyn KeyValue>) -> Self {
        Self {
            service,
            pages: Mutex::default(),
        }
    }

    /// Returns the oldest revision whose record is kept under `head`.
    pub fn oldest_kept(head: &Head) -> Revision {
        Revision(first_page(head) * NOTES_PER_PAGE as u64 + 1)
    }

    /// Returns the accepted note with `id`, if it is still kept.
    pub async fn find(&self, head: &Head, id: &NoteId) -> Result<Option<AcceptedNote>, StoreError> {
        if let Some(note) = head.find_recent(id) {
            return Ok(Some(note.clone()));
        }
        self.load_pages(head).await?;
        let pages = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(pages.notes.get(id).cloned())
    }

    /// Reads the records of up to `limit` notes from revision `from` on.
    pub async fn read(
        &self,
        head: &Head,
        from: Revision,
        limit: usize,
    ) -> Result<Vec<AcceptedRecord>, StoreError> {
        self.load_pages(head).await?;
        let mut records = Vec::new();
        for note in self.notes_from(head, from, limit) {
            if let Some(record) = self.read_record(&note).await? {
                records.push(record);
            }
        }
        Ok(records)
    }

    fn notes_from(&self, head: &Head, from: Revision, limit: usize) -> Vec<AcceptedNote> {
        let cache = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        let numbers = first_page(head)..head.page_count();
        numbers
            .filter_map(|number| cache.pages.get(&number))
            .flat_map(|page| &page.notes)
            .chain(&head.recent)
            .filter(|note| note.revision >= from)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Reads a record; returns `None` if it has been pruned in the meantime.
    async fn read_record(&self, note: &AcceptedNote) -> Result<Option<AcceptedRecord>, StoreError> {
        let mut parts: Vec<Bytes> = Vec::with_capacity(note.record.len());
        for digest in &note.record {
            let key = keys::record_part(note.revision, digest);
            match call(self.service.get(&key)).await? {
                Some(entry) => parts.push(entry.value),
                None => return Ok(None),
            }
        }
        Ok(Some(AcceptedRecord::decode_parts(&parts)?))
    }

    async fn load_pages(&self, head: &Head) -> Result<(), StoreError> {
        let missing = self.missing_pages(head);
        if missing.len() > LIST_THRESHOLD {
            for entry in call(self.service.list(keys::PAGES)).await? {
                if let Some(number) = keys::parse_page(&entry.key) {
                    self.insert(number, &entry.value)?;
                }
            }
            return Ok(());
        }
        for number in missing {
            if let Some(entry) = call(self.service.get(&keys::page(number))).await? {
                self.insert(number, &entry.value)?;
            }
        }
        Ok(())
    }

    fn missing_pages(&self, head: &Head) -> Vec<u64> {
        let mut cache = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        cache.drop_before(first_page(head));
        let pages = first_page(head)..head.page_count();
        pages
            .filter(|number| !cache.pages.contains_key(number))
            .collect()
    }

    fn insert(&self, number: u64, value: &[u8]) -> Result<(), StoreError> {
        let page: HistoryPage = serde_json::from_slice(value)?;
        let mut cache = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        cache.insert(number, page);
        Ok(())
    }
}

fn first_page(head: &Head) -> u64 {
    head.page_count().saturating_sub(MAX_ACCEPTED_PAGES)
}
