//! Calls to plain services that wait for their result.

use std::collections::HashMap;

use jujubewall_protocol::call::CallResult;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::RequestId;
use jujubewall_types::outcome::Outcome;
use tokio::sync::oneshot;

/// The calls that wait for their result.
#[derive(Debug, Default)]
pub struct PendingCalls {
    waiting: HashMap<RequestId, oneshot::Sender<CallResult>>,
}

impl PendingCalls {
    /// Notes a call and returns where its result arrives.
    pub fn start(&mut self, request: RequestId) -> oneshot::Receiver<CallResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(request, sender);
        receiver
    }

    /// Passes a result on, once.
    pub fn finish(&mut self, result: CallResult) {
        if let Some(waiting) = self.waiting.remove(&result.request) {
            // A caller that has gone needs no result.
            let _ = waiting.send(result);
        }
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Builds the result of a call of which nothing was heard in time.
pub fn unknown_result(request: RequestId) -> CallResult {
    let failure = Failure::new(
        ErrorKind::OutcomeUnknown,
        "no result arrived before the deadline",
    );
    CallResult {
        request,
        outcome: Outcome::Unknown,
        reply: None,
        failure: Some(failure),
    }
}
