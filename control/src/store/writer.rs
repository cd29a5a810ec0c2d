//! Writes values and swaps the head, also when replies are lost.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::Revision;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::keys;
use crate::proposal::PendingValue;
use crate::store::CALL_TIMEOUT;
use crate::store::StoreError;

/// The pause before a call is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause before a call is sent again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The largest number of values that one submission writes at the same time.
const MAX_CONCURRENT_WRITES: usize = 8;

/// The time between two writes of one submission.
///
/// A note that writes hundreds of chunks leaves room for other writers.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// Why a call is not sent any more.
pub const OUT_OF_TIME: &str = "the submission ran out of time";

/// How the swap of the head ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The head was swapped at this revision of the service.
    Done(Revision),
    /// The head has moved past the expected revision.
    Lost {
        /// Whether an earlier try without a reply may have moved it.
        may_have_run: bool,
    },
    /// Whether the head was swapped is not known.
    Unknown,
}

/// A key that was written, with the revision that a deletion needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenKey {
    /// The key.
    pub key: String,
    /// The revision at which it was written.
    pub stored_at: Revision,
}

/// Writes on behalf of one submission until its deadline.
#[derive(Clone)]
pub struct Writer {
    service: Arc<dyn KeyValue>,
    deadline: Instant,
}

impl Writer {
    /// Creates a writer that gives up at `deadline`.
    pub fn new(service: Arc<dyn KeyValue>, deadline: Instant) -> Self {
        Self { service, deadline }
    }

    /// Writes every value; each key only ever holds one value.
    pub async fn write_values(
        &self,
        values: &[PendingValue],
    ) -> Result<Vec<WrittenKey>, StoreError> {
        let mut written = Vec::with_capacity(values.len());
        let mut writes = JoinSet::new();
        for value in values {
            if writes.len() >= MAX_CONCURRENT_WRITES {
                written.extend(next_written(&mut writes).await?);
            }
            let own = self.clone();
            let value = value.clone();
            writes.spawn(async move { own.write_value(&value).await });
            tokio::time::sleep(WRITE_INTERVAL).await;
        }
        while let Some(key) = next_written(&mut writes).await? {
            written.push(key);
        }
        Ok(written)
    }

    /// Swaps the head that the service holds at `expected`.
    ///
    /// An error means that the head was not and will not be swapped.
    pub async fn swap_head(
        &self,
        expected: Option<Revision>,
        head: &Bytes,
    ) -> Result<SwapResult, StoreError> {
        let mut pause = RETRY_PAUSE;
        let mut may_have_run = false;
        loop {
            match self.swap(keys::HEAD, expected, head).await {
                Ok(Swap::Done(stored_at)) => return Ok(SwapResult::Done(stored_at)),
                Ok(Swap::Conflict(_)) => return Ok(SwapResult::Lost { may_have_run }),
                Err(error) => {
                    may_have_run |= may_have_effect(&error);
                    if !self.pause(&mut pause).await {
                        return unresolved(error, may_have_run);
                    }
                }
            }
        }
    }

    async fn write_value(&self, value: &PendingValue) -> Result<WrittenKey, StoreError> {
        let mut pause = RETRY_PAUSE;
        loop {
            let error = match self.swap(&value.key, None, &value.value).await {
                Ok(Swap::Done(stored_at)) => return Ok(written(value, stored_at)),
                Ok(Swap::Conflict(Some(entry))) if entry.value == value.value => {
                    return Ok(written(value, entry.revision));
                }
                Ok(Swap::Conflict(_)) => return Err(StoreError::Overwritten(value.key.clone())),
                Err(error) => error,
            };
            if !self.pause(&mut pause).await {
                return Err(error.into());
            }
        }
    }

    async fn swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &Bytes,
    ) -> Result<Swap, PlatformError> {
        if Instant::now() >= self.deadline {
            return Err(PlatformError::Unavailable(OUT_OF_TIME.to_owned()));
        }
        let swap = self
            .service
            .compare_and_swap(key, expected, value.clone(), None);
        call(swap).await
    }

    /// Pauses before another try; returns false if no time is left for one.
    async fn pause(&self, pause: &mut Duration) -> bool {
        let resume_at = Instant::now() + *pause;
        if resume_at >= self.deadline {
            return false;
        }
        tokio::time::sleep_until(resume_at).await;
        *pause = (*pause * 2).min(MAX_RETRY_PAUSE);
        true
    }
}

/// Waits for one of the writes to end; returns `None` if there are none.
async fn next_written(
    writes: &mut JoinSet<Result<WrittenKey, StoreError>>,
) -> Result<Option<WrittenKey>, StoreError> {
    match writes.join_next().await {
        None => Ok(None),
        Some(Ok(result)) => result.map(Some),
        Some(Err(error)) => Err(PlatformError::Unavailable(error.to_string()).into()),
    }
}

/// Waits for a call at most [`CALL_TIMEOUT`]; a call that runs longer may have its effect.
pub async fn call<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(PlatformError::ReplyLost("no reply in time".to_owned())),
    }
}

fn unresolved(error: PlatformError, may_have_run: bool) -> Result<SwapResult, StoreError> {
    if may_have_run {
        Ok(SwapResult::Unknown)
    } else {
        Err(error.into())
    }
}

fn may_have_effect(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::ReplyLost(_) | PlatformError::Malformed(_)
    )
}

fn written(value: &PendingValue, stored_at: Revision) -> WrittenKey {
    WrittenKey {
        key: value.key.clone(),
        stored_at,
    }
}
