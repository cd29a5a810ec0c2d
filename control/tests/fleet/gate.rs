//! A key-value client whose process can be paused before and after each call.

use std::future::Future;
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
use tokio::sync::watch;

pub struct GatedKeyValue {
    service: FakeKeyValue,
    is_paused: watch::Sender<bool>,
}

impl GatedKeyValue {
    pub fn new(service: FakeKeyValue) -> Self {
        let (is_paused, _) = watch::channel(false);
        Self { service, is_paused }
    }

    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.send_replace(is_paused);
    }

    async fn pass<T>(&self, call: impl Future<Output = T>) -> T {
        self.open().await;
        let result = call.await;
        self.open().await;
        result
    }

    async fn open(&self) {
        let mut receiver = self.is_paused.subscribe();
        drop(receiver.wait_for(|is_paused| !is_paused).await);
    }
}

#[async_trait]
impl KeyValue for GatedKeyValue {
    async fn get(&self, key: &str) -> Result<Option<KeyValueEntry>, PlatformError> {
        self.pass(self.service.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValueEntry>, PlatformError> {
        self.pass(self.service.list(prefix)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, PlatformError> {
        let swap = self.service.compare_and_swap(key, expected, value, lease);
        self.pass(swap).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Swap, PlatformError> {
        self.pass(self.service.delete(key, expected)).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<KeyValueEntry>, PlatformError> {
        self.pass(self.service.watch(key, after, wait)).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        self.pass(self.service.grant_lease(ttl)).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.pass(self.service.keep_alive(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.pass(self.service.revoke_lease(lease)).await
    }
}
