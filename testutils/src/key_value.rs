//! The key-value service: compare-and-swap, leases, watches and their faults.

mod faults;
mod http;
mod rate;
mod store;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::LeaseId;
use jujubewall_platform::key_value::MAX_VALUE_BYTES;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::Revision;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

pub use self::faults::CallCounts;
use self::faults::FaultState;
pub use self::faults::KeyValueFaults;
pub use self::faults::Outage;
use self::faults::ReplyFate;
use self::rate::CallKind;
use self::store::Store;
use self::store::Write;

/// The time after which a caller in memory gives up on a silent service.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct State {
    store: Store,
    faults: FaultState,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// A key-value service in memory; clones share their content.
#[derive(Clone, Default)]
pub struct FakeKeyValue {
    shared: Arc<Shared>,
}

impl FakeKeyValue {
    /// Creates an empty service without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty service whose random faults follow from `seed`.
    pub fn with_seed(seed: u64) -> Self {
        let fake = Self::default();
        fake.state().faults = FaultState::with_seed(seed);
        fake
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut KeyValueFaults)) {
        change(&mut self.state().faults.settings);
        self.shared.changed.notify_waiters();
    }

    /// Returns how often each kind of call arrived, refused calls included.
    pub fn counts(&self) -> CallCounts {
        self.state().faults.counts
    }

    /// Returns an entry without a call to the service.
    pub fn peek(&self, key: &str) -> Option<KeyValueEntry> {
        self.state().store.get(key, Instant::now())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a call arrive: counts it, delays it and applies outage and rate limits.
    async fn arrive(&self, kind: CallKind) -> Result<ReplyFate, PlatformError> {
        let delay = self.state().faults.count(kind);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.admit(kind).await
    }

    async fn admit(&self, kind: CallKind) -> Result<ReplyFate, PlatformError> {
        let outage = self.state().faults.settings.outage;
        match outage {
            Outage::None => {}
            Outage::Refusing => return Err(PlatformError::Unavailable("outage".into())),
            Outage::Silent => {
                sleep(SILENCE_LIMIT).await;
                return Err(PlatformError::ReplyLost("silence".into()));
            }
        }
        self.state().faults.admit(kind, Instant::now())
    }

    /// Applies a write now, or later if its effect is delayed.
    fn apply(&self, fate: ReplyFate, write: Write) -> Result<Swap, PlatformError> {
        if let ReplyFate::EffectDelayed(delay) = fate {
            self.apply_later(delay, write);
            return Err(PlatformError::ReplyLost("the effect is delayed".into()));
        }
        let swap = self.apply_now(write);
        fate.deliver()?;
        swap
    }

    fn apply_now(&self, write: Write) -> Result<Swap, PlatformError> {
        let swap = self.state().store.apply(write, Instant::now());
        self.shared.changed.notify_waiters();
        swap
    }

    fn apply_later(&self, delay: Duration, write: Write) {
        let fake = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let swap = fake.apply_now(write);
            log::debug!("a delayed write ended: {swap:?}");
        });
    }

    async fn await_change(
        &self,
        key: &str,
        after: Revision,
        deadline: Instant,
    ) -> Result<Option<KeyValueEntry>, PlatformError> {
        loop {
            let changed = self.shared.changed.notified();
            let entry = self.peek(key).filter(|entry| entry.revision > after);
            if entry.is_some() {
                return Ok(entry);
            }
            if self.state().faults.settings.outage == Outage::Refusing {
                return Err(PlatformError::ReplyLost("outage".into()));
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(deadline) => return Ok(None),
            }
        }
    }
}

#[async_trait]
impl KeyValue for FakeKeyValue {
    async fn get(&self, key: &str) -> Result<Option<KeyValueEntry>, PlatformError> {
        let fate = self.arrive(CallKind::Get).await?;
        let entry = self.peek(key);
        fate.deliver()?;
        Ok(entry)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyValueEntry>, PlatformError> {
        let fate = self.arrive(CallKind::List).await?;
        let entries = self.state().store.list(prefix, Instant::now());
        fate.deliver()?;
        Ok(entries)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, PlatformError> {
        let fate = self.arrive(CallKind::CompareAndSwap).await?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let write = Write {
            key: key.into(),
            expected,
            value: Some(value),
            lease,
        };
        self.apply(fate, write)
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Swap, PlatformError> {
        let fate = self.arrive(CallKind::Delete).await?;
        let write = Write {
            key: key.into(),
            expected: Some(expected),
            value: None,
            lease: None,
        };
        self.apply(fate, write)
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<KeyValueEntry>, PlatformError> {
        let deadline = Instant::now() + wait;
        let fate = self.arrive(CallKind::Watch).await?;
        if self.state().faults.settings.silent_watches {
            sleep_until(deadline + SILENCE_LIMIT).await;
            return Err(PlatformError::ReplyLost("silence".into()));
        }
        let entry = self.await_change(key, after, deadline).await?;
        fate.deliver()?;
        Ok(entry)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let fate = self.arrive(CallKind::GrantLease).await?;
        let lease = self.state().store.grant(ttl, Instant::now());
        fate.deliver()?;
        Ok(lease)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let fate = self.arrive(CallKind::KeepAlive).await?;
        let kept = self.state().store.keep_alive(lease, Instant::now());
        fate.deliver()?;
        kept
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let fate = self.arrive(CallKind::RevokeLease).await?;
        self.state().store.revoke(lease);
        fate.deliver()
    }
}
