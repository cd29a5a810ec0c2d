//! A key-value client that can be paused around its calls, or lose its link.

use std::future::Future;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jujubewall_control::keys::HEAD;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::LeaseId;
use jujubewall_platform::key_value::Swap;
use jujubewall_testutils::key_value::FakeKeyValue;
use jujubewall_types::id::Revision;
use tokio::sync::watch;

/// What is wrong with the link of one process to the service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    #[default]
    Whole,
    /// Every call fails without an effect.
    Cut,
    /// The next swap of the head is lost on its way, and the link is cut.
    CutBeforeSwap,
    /// The next swap of the head takes effect, and then the link is cut.
    CutAfterSwap,
    /// The next swap of the head takes effect without a reply; the link is cut
    /// after the conflict that its repetition meets.
    CutAfterConflict,
}

pub struct GatedKeyValue {
    service: FakeKeyValue,
    is_paused: watch::Sender<bool>,
    link: Mutex<Link>,
}

impl GatedKeyValue {
    pub fn new(service: FakeKeyValue) -> Self {
        let (is_paused, _) = watch::channel(false);
        Self {
            service,
            is_paused,
            link: Mutex::default(),
        }
    }

    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.send_replace(is_paused);
    }

    pub fn set_link(&self, link: Link) {
        *self.link.lock().unwrap() = link;
    }

    /// Cuts the link and loses the reply if the link has the fault `planned`.
    fn replace_link(&self, planned: Link) -> Result<(), PlatformError> {
        let mut link = self.link.lock().unwrap();
        if *link != planned {
            return Ok(());
        }
        *link = Link::Cut;
        Err(PlatformError::ReplyLost("the link is cut".to_owned()))
    }

    fn cut_after_conflict(&self, result: &Swap) -> Result<(), PlatformError> {
        let mut link = self.link.lock().unwrap();
        match result {
            _ if *link != Link::CutAfterConflict => Ok(()),
            Swap::Done(_) => Err(PlatformError::ReplyLost("the reply is lost".to_owned())),
            Swap::Conflict(_) => {
                *link = Link::Cut;
                Ok(())
            }
        }
    }

    async fn pass<T>(
        &self,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        self.open().await;
        if *self.link.lock().unwrap() == Link::Cut {
            return Err(PlatformError::Unavailable("the link is cut".to_owned()));
        }
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
        if key == HEAD {
            self.replace_link(Link::CutBeforeSwap)?;
        }
        let swap = self.service.compare_and_swap(key, expected, value, lease);
        let result = self.pass(swap).await?;
        if key == HEAD {
            self.replace_link(Link::CutAfterSwap)?;
            self.cut_after_conflict(&result)?;
        }
        Ok(result)
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
