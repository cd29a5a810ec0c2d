//! A key-value client that counts the bytes of values.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::LeaseId;
use jujubewall_platform::key_value::Swap;
use jujubewall_testutils::key_value::FakeKeyValue;
use jujubewall_types::id::Revision;

/// The service in memory with a count of the bytes that cross to it and back.
pub struct CountingService {
    inner: FakeKeyValue,
    bytes: AtomicU64,
}

impl CountingService {
    /// Creates the client of `inner`.
    pub fn new(inner: FakeKeyValue) -> Self {
        Self {
            inner,
            bytes: AtomicU64::new(0),
        }
    }

    /// Returns the service, to set its faults and read its counts.
    pub fn inner(&self) -> &FakeKeyValue {
        &self.inner
    }

    /// Returns the bytes of all values written and read.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count(&self, len: usize) {
        self.bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    fn count_entries<'a>(&self, entries: impl IntoIterator<Item = &'a KeyValueEntry>) {
        for entry in entries {
            self.count(entry.value.len());
        }
    }
}

#[async_trait]
impl KeyValue for CountingService {
    async fn get(&self, key: &str) -> Result<Option<KeyValueEntry>, PlatformError> {
        let entry = self.inner.get(key).await?;
        self.count_entries(&entry);
        Ok(entry)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValueEntry>, PlatformError> {
        let entries = self.inner.list(prefix).await?;
        self.count_entries(&entries);
        Ok(entries)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, PlatformError> {
        self.count(value.len());
        let inner = &self.inner;
        inner.compare_and_swap(key, expected, value, lease).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Swap, PlatformError> {
        self.inner.delete(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<KeyValueEntry>, PlatformError> {
        let entry = self.inner.watch(key, after, wait).await?;
        self.count_entries(&entry);
        Ok(entry)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        self.inner.grant_lease(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.inner.keep_alive(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.inner.revoke_lease(lease).await
    }
}
