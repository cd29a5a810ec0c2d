//! Construction of call results.

use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::ServiceReply;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::RequestId;
use jujubewall_types::outcome::Outcome;

/// The retry delay that is suggested to callers whose call failed.
const RETRY_AFTER_MS: u64 = 1000;

/// Builds the result of a call that ran; `reply` is `None` if it was not kept.
pub const fn completed(request: RequestId, reply: Option<ServiceReply>) -> CallResult {
    CallResult {
        request,
        outcome: Outcome::Completed,
        reply,
        failure: None,
    }
}

/// Builds the result of a call that failed, with the outcome that belongs to `kind`.
pub fn failed(request: RequestId, kind: ErrorKind, message: &str) -> CallResult {
    let failure = Failure::new(kind, message);
    CallResult {
        request,
        outcome: kind.answer().outcome,
        reply: None,
        failure: Some(failure.with_retry_after_ms(RETRY_AFTER_MS)),
    }
}
