//! Reads the newest snapshot from the key-value service.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_types::id::Revision;

use crate::head::Head;
use crate::invariant::Invariant;
use crate::keys;
use crate::proposal::Proposal;
use crate::shard::ChunkRef;
use crate::snapshot::ChunkMap;
use crate::snapshot::Snapshot;
use crate::snapshot::SnapshotError;
use crate::store::StoreError;
use crate::store::writer::call;

/// Number of missing chunks above which all chunks are listed with one call.
const LIST_THRESHOLD: usize = 16;

/// Maximum number of times that the head is read; reading again is needed if its chunks were
/// deleted in the meantime.
const MAX_READ_ATTEMPTS: u32 = 4;

/// A snapshot with the revision of its head in the key-value service.
#[derive(Clone, Debug)]
pub struct LoadedSnapshot {
    /// Loaded snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Revision of the head in the key-value service; `None` if there is no head yet.
    pub stored_at: Option<Revision>,
}

/// Reads snapshots and keeps the newest one, so that only changed chunks are read.
pub struct Reader {
    service: Arc<dyn KeyValue>,
    newest: Mutex<LoadedSnapshot>,
}

impl Reader {
    /// Creates a reader that starts from the empty snapshot.
    pub fn new(service: Arc<dyn KeyValue>) -> Self {
        let empty = LoadedSnapshot {
            snapshot: Arc::default(),
            stored_at: None,
        };
        Self {
            service,
            newest: Mutex::new(empty),
        }
    }

    /// Reads the newest snapshot.
    pub async fn refresh(&self) -> Result<LoadedSnapshot, StoreError> {
        let mut last_error = None;
        for _ in 0..MAX_READ_ATTEMPTS {
            let Some(entry) = call(self.service.get(keys::HEAD)).await? else {
                return Ok(self.newest());
            };
            match self.read(entry).await {
                Ok(loaded) => return Ok(self.keep_newest(loaded)),
                Err(error @ StoreError::Snapshot(SnapshotError::Missing(_))) => {
                    last_error = Some(error);
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error.unwrap_or_else(|| SnapshotError::Missing(Vec::new()).into()))
    }

    /// Keeps the snapshot that results from a proposal accepted by this process.
    pub fn adopt_proposal(
        &self,
        before: &LoadedSnapshot,
        proposal: &Proposal,
        stored_at: Revision,
    ) -> Result<(), StoreError> {
        let bytes = proposal.head_bytes.clone();
        let snapshot = before.snapshot.advance(bytes, &proposal.chunks)?;
        self.keep_newest(LoadedSnapshot {
            snapshot: Arc::new(snapshot),
            stored_at: Some(stored_at),
        });
        Ok(())
    }

    /// Returns the newest known snapshot without a call to the service.
    pub fn newest(&self) -> LoadedSnapshot {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.clone()
    }

    async fn read(&self, entry: KeyValueEntry) -> Result<LoadedSnapshot, StoreError> {
        let known = self.newest();
        if known.stored_at == Some(entry.revision) {
            return Ok(known);
        }
        let head = Head::decode(&entry.value).map_err(SnapshotError::Head)?;
        let missing = known.snapshot.missing_chunks(&head);
        let fetched = fetch_chunks(&*self.service, &missing).await?;
        let snapshot = known.snapshot.advance(entry.value, &fetched)?;
        Ok(LoadedSnapshot {
            snapshot: Arc::new(snapshot),
            stored_at: Some(entry.revision),
        })
    }

    /// Keeps `loaded` unless a newer snapshot is kept already; returns the newest one.
    fn keep_newest(&self, loaded: LoadedSnapshot) -> LoadedSnapshot {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        if newest.stored_at < loaded.stored_at {
            Invariant::AcceptedNotesAreOrdered.check(
                newest.snapshot.revision() < loaded.snapshot.revision(),
                format_args!(
                    "the stored configuration went from revision {} to {}",
                    newest.snapshot.revision(),
                    loaded.snapshot.revision()
                ),
            );
            *newest = loaded;
        }
        newest.clone()
    }
}

/// Reads the `missing` chunks; chunks that the service does not hold are left out.
pub async fn fetch_chunks(
    service: &dyn KeyValue,
    missing: &[ChunkRef],
) -> Result<ChunkMap, PlatformError> {
    let mut fetched = ChunkMap::new();
    if missing.len() > LIST_THRESHOLD {
        for entry in call(service.list(keys::CHUNKS)).await? {
            if let Some(chunk) = keys::parse_chunk(&entry.key) {
                fetched.insert(chunk.digest, entry.value);
            }
        }
        return Ok(fetched);
    }
    for chunk in missing {
        if let Some(entry) = call(service.get(&keys::chunk(chunk))).await? {
            fetched.insert(chunk.digest, entry.value);
        }
    }
    Ok(fetched)
}
