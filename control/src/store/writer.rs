//! Writes values and swaps the head, with retries when replies are lost.

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

/// Delay before the first retry of a call; it doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of concurrent writes of one submission.
const MAX_CONCURRENT_WRITES: usize = 8;

/// Time between the starts of two writes of one submission, so that a note with hundreds of
/// chunks leaves capacity for other writers.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// Error message of a submission whose deadline has passed.
pub const SUBMIT_TIMED_OUT: &str = "the submission ran out of time";

/// Result of swapping the head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The head was swapped and has this revision in the key-value service.
    Done(Revision),
    /// The head has moved past the expected revision.
    Lost {
        /// Whether an earlier attempt without a reply may have swapped it.
        may_have_taken_effect: bool,
    },
    /// It is unknown whether the head was swapped.
    Unknown,
}

/// A key that was written, with the revision needed to delete it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenKey {
    /// Key of the value.
    pub key: String,
    /// Revision of the value in the key-value service.
    pub stored_at: Revision,
}

/// Writes the values of one submission until its deadline.
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

    /// Writes every value. Each key is written only once, so a key that already holds the same
    /// value counts as written.
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
            let this = self.clone();
            let value = value.clone();
            writes.spawn(async move { this.write_value(&value).await });
            tokio::time::sleep(WRITE_INTERVAL).await;
        }
        while let Some(key) = next_written(&mut writes).await? {
            written.push(key);
        }
        Ok(written)
    }

    /// Swaps the head if it has the revision `expected` in the key-value service.
    ///
    /// An error means that the head was not and will not be swapped.
    pub async fn swap_head(
        &self,
        expected: Option<Revision>,
        head: &Bytes,
    ) -> Result<SwapResult, StoreError> {
        let mut delay = MIN_RETRY_DELAY;
        let mut may_have_taken_effect = false;
        loop {
            match self.swap(keys::HEAD, expected, head).await {
                Ok(Swap::Done(stored_at)) => return Ok(SwapResult::Done(stored_at)),
                Ok(Swap::Conflict(_)) => {
                    return Ok(SwapResult::Lost {
                        may_have_taken_effect,
                    });
                }
                Err(error) => {
                    may_have_taken_effect |= may_have_effect(&error);
                    if !self.wait_to_retry(&mut delay).await {
                        return swap_result_at_deadline(error, may_have_taken_effect);
                    }
                }
            }
        }
    }

    async fn write_value(&self, value: &PendingValue) -> Result<WrittenKey, StoreError> {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let error = match self.swap(&value.key, None, &value.value).await {
                Ok(Swap::Done(stored_at)) => return Ok(written(value, stored_at)),
                Ok(Swap::Conflict(Some(entry))) if entry.value == value.value => {
                    return Ok(written(value, entry.revision));
                }
                Ok(Swap::Conflict(_)) => return Err(StoreError::Overwritten(value.key.clone())),
                Err(error) => error,
            };
            if !self.wait_to_retry(&mut delay).await {
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
            return Err(PlatformError::Unavailable(SUBMIT_TIMED_OUT.to_owned()));
        }
        let swap = self
            .service
            .compare_and_swap(key, expected, value.clone(), None);
        call(swap).await
    }

    /// Waits before a retry; returns `false` if the deadline leaves no time for one.
    async fn wait_to_retry(&self, delay: &mut Duration) -> bool {
        let retry_at = Instant::now() + *delay;
        if retry_at >= self.deadline {
            return false;
        }
        tokio::time::sleep_until(retry_at).await;
        *delay = (*delay * 2).min(MAX_RETRY_DELAY);
        true
    }
}

/// Waits for one of the writes to end; returns `None` if no write is left.
async fn next_written(
    writes: &mut JoinSet<Result<WrittenKey, StoreError>>,
) -> Result<Option<WrittenKey>, StoreError> {
    match writes.join_next().await {
        None => Ok(None),
        Some(Ok(result)) => result.map(Some),
        Some(Err(error)) => Err(PlatformError::Unavailable(error.to_string()).into()),
    }
}

/// Waits for a call up to [`CALL_TIMEOUT`]; a call that times out may still take effect.
pub async fn call<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(PlatformError::ReplyLost("no reply in time".to_owned())),
    }
}

fn swap_result_at_deadline(
    error: PlatformError,
    may_have_taken_effect: bool,
) -> Result<SwapResult, StoreError> {
    if may_have_taken_effect {
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
