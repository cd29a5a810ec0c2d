//! A key-value service in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::LeaseId;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::Revision;
use smol_str::SmolStr;

#[derive(Default)]
struct Values {
    revision: u64,
    entries: BTreeMap<SmolStr, KeyValueEntry>,
}

#[derive(Default)]
pub struct StubKeyValue {
    values: Mutex<Values>,
}

impl StubKeyValue {
    pub fn keys(&self) -> Vec<SmolStr> {
        self.values
            .lock()
            .unwrap()
            .entries
            .keys()
            .cloned()
            .collect()
    }

    pub fn largest_value_bytes(&self) -> usize {
        let values = self.values.lock().unwrap();
        let lens = values.entries.values().map(|entry| entry.value.len());
        lens.max().unwrap_or(0)
    }

    pub fn revision(&self) -> u64 {
        self.values.lock().unwrap().revision
    }
}

#[async_trait]
impl KeyValue for StubKeyValue {
    async fn get(&self, key: &str) -> Result<Option<KeyValueEntry>, PlatformError> {
        Ok(self.values.lock().unwrap().entries.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValueEntry>, PlatformError> {
        let values = self.values.lock().unwrap();
        let found = values.entries.values();
        Ok(found
            .filter(|e| e.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: Bytes,
        _lease: Option<LeaseId>,
    ) -> Result<Swap, PlatformError> {
        let mut values = self.values.lock().unwrap();
        let found = values.entries.get(key).cloned();
        if found.as_ref().map(|entry| entry.revision) != expected {
            return Ok(Swap::Conflict(found));
        }
        values.revision += 1;
        let revision = Revision(values.revision);
        let key = SmolStr::new(key);
        let entry = KeyValueEntry {
            key: key.clone(),
            value,
            revision,
        };
        values.entries.insert(key, entry);
        Ok(Swap::Done(revision))
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Swap, PlatformError> {
        let mut values = self.values.lock().unwrap();
        let found = values.entries.get(key).cloned();
        if found.as_ref().map(|entry| entry.revision) != Some(expected) {
            return Ok(Swap::Conflict(found));
        }
        values.revision += 1;
        values.entries.remove(key);
        Ok(Swap::Done(Revision(values.revision)))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: Revision,
        _wait: Duration,
    ) -> Result<Option<KeyValueEntry>, PlatformError> {
        Err(PlatformError::Unavailable("no watches".to_owned()))
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, PlatformError> {
        Err(PlatformError::Unavailable("no leases".to_owned()))
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<(), PlatformError> {
        Err(PlatformError::LeaseLapsed)
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), PlatformError> {
        Err(PlatformError::LeaseLapsed)
    }
}
