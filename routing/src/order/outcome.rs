//! Results of calls.

use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::ServiceReply;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::RequestId;
use jujubewall_types::outcome::Outcome;

/// The time after which a caller that was refused may come back.
const RETRY_AFTER_MS: u64 = 1000;

/// Builds the result of a call that ran; a reply that was not kept is missing.
pub const fn completed(request: RequestId, reply: Option<ServiceReply>) -> CallResult {
    CallResult {
        request,
        outcome: Outcome::Completed,
        reply,
        failure: None,
    }
}

/// Builds the result of a call that failed; its outcome is that of the error's kind.
pub fn failed(request: RequestId, kind: ErrorKind, message: &str) -> CallResult {
    let failure = Failure::new(kind, message);
    CallResult {
        request,
        outcome: kind.answer().outcome,
        reply: None,
        failure: Some(failure.with_retry_after_ms(RETRY_AFTER_MS)),
    }
}
