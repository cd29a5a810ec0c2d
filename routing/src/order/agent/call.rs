//! The state of one call at its agent.

use std::net::SocketAddr;

use jujubewall_protocol::call::CallOrigin;
use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::id::RequestId;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::order::action::ShardKey;
use crate::order::record::LedgerEntry;
use crate::timer::TimerSlot;

new_key_type! {
    /// Identifies an [`AgentCall`].
    pub struct CallKey;
}

/// The claim that a call with an idempotency key needs before it may be sent.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The shard that holds the key.
    pub shard: ShardKey,
    /// The ledger entry of the claim.
    pub entry: LedgerEntry,
    /// Whether the claim is known to be written.
    pub is_granted: bool,
}

/// The phase of a call.
#[derive(Clone, Debug)]
pub enum CallPhase {
    /// The call waits for its key to be claimed.
    Claiming(Box<ServiceCall>),
    /// The call may be sent.
    Ready(Box<ServiceCall>),
    /// The call was released for sending and may have run.
    Begun,
    /// The call has ended with this result.
    Ended(Box<CallResult>),
}

/// A call that an agent received or that was cancelled before it arrived.
#[derive(Debug)]
pub struct AgentCall {
    pub request: RequestId,
    pub origin: CallOrigin,
    pub entry_address: SocketAddr,
    pub deadline: Instant,
    pub timer: TimerSlot,
    pub claim: Option<Claim>,
    pub phase: CallPhase,
}

impl AgentCall {
    /// Returns whether the call has not been released for sending and can be cancelled.
    pub const fn is_unsent(&self) -> bool {
        matches!(self.phase, CallPhase::Claiming(_) | CallPhase::Ready(_))
    }

    /// Moves a ready call to [`CallPhase::Begun`] and returns it for sending.
    pub fn begin(&mut self) -> Option<ServiceCall> {
        match std::mem::replace(&mut self.phase, CallPhase::Begun) {
            CallPhase::Ready(service_call) => Some(*service_call),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Returns whether the call may be running at its upstream.
    pub const fn is_begun(&self) -> bool {
        matches!(self.phase, CallPhase::Begun)
    }
}
