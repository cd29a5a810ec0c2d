//! The content of the key-value service.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::LeaseId;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::Revision;
use smol_str::SmolStr;
use tokio::time::Instant;

/// A conditional write; without a value it removes the key.
pub(super) struct Write {
    pub(super) key: SmolStr,
    pub(super) expected: Option<Revision>,
    pub(super) value: Option<Bytes>,
    pub(super) lease: Option<LeaseId>,
}

struct StoredValue {
    value: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl: Duration,
    lapses_at: Instant,
}

#[derive(Default)]
pub(super) struct Store {
    revision: Revision,
    values: BTreeMap<SmolStr, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl Store {
    pub(super) fn get(&mut self, key: &str, now: Instant) -> Option<KeyValueEntry> {
        self.expire(now);
        let (key, stored) = self.values.get_key_value(key)?;
        Some(entry_of(key, stored))
    }

    pub(super) fn list(&mut self, prefix: &str, now: Instant) -> Vec<KeyValueEntry> {
        self.expire(now);
        self.values
            .range(SmolStr::from(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| entry_of(key, stored))
            .collect()
    }

    pub(super) fn apply(&mut self, write: Write, now: Instant) -> Result<Swap, PlatformError> {
        self.expire(now);
        self.check_lease(write.lease)?;
        let current = self.get(&write.key, now);
        if current.as_ref().map(|entry| entry.revision) != write.expected {
            return Ok(Swap::Conflict(current));
        }
        self.revision = self.revision.next();
        self.put(write);
        Ok(Swap::Done(self.revision))
    }

    fn put(&mut self, write: Write) {
        let Some(value) = write.value else {
            self.values.remove(&write.key);
            return;
        };
        let stored = StoredValue {
            value,
            revision: self.revision,
            lease: write.lease,
        };
        self.values.insert(write.key, stored);
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        let lapses_at = now + ttl;
        self.leases
            .insert(self.last_lease, Lease { ttl, lapses_at });
        LeaseId(self.last_lease)
    }

    pub(super) fn keep_alive(&mut self, lease: LeaseId, now: Instant) -> Result<(), PlatformError> {
        self.expire(now);
        let lease = self.leases.get_mut(&lease.0);
        let lease = lease.ok_or(PlatformError::LeaseLapsed)?;
        lease.lapses_at = now + lease.ttl;
        Ok(())
    }

    pub(super) fn revoke(&mut self, lease: LeaseId) {
        self.leases.remove(&lease.0);
        self.remove_keys_without_lease();
    }

    fn check_lease(&self, lease: Option<LeaseId>) -> Result<(), PlatformError> {
        match lease {
            Some(lease) if !self.leases.contains_key(&lease.0) => Err(PlatformError::LeaseLapsed),
            _ => Ok(()),
        }
    }

    fn expire(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.lapses_at > now);
        if self.leases.len() < before {
            self.remove_keys_without_lease();
        }
    }

    fn remove_keys_without_lease(&mut self) {
        let leases = &self.leases;
        self.values.retain(|_, stored| {
            let lease = stored.lease;
            lease.is_none_or(|lease| leases.contains_key(&lease.0))
        });
    }
}

fn entry_of(key: &SmolStr, stored: &StoredValue) -> KeyValueEntry {
    KeyValueEntry {
        key: key.clone(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
