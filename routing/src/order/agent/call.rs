//! One call at its agent.

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
    /// One call at its agent.
    pub struct CallKey;
}

/// The claim of a key that a call needs before it may be sent.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The shard that holds the key.
    pub shard: ShardKey,
    /// The claim as it is recorded.
    pub entry: LedgerEntry,
    /// Whether the claim has been recorded.
    pub is_granted: bool,
}

/// Where a call stands.
#[derive(Clone, Debug)]
pub enum CallPhase {
    /// The call waits for its key to be claimed.
    Claiming(Box<ServiceCall>),
    /// The call may be begun.
    Ready(Box<ServiceCall>),
    /// The call was begun and may have run.
    Begun,
    /// The call has ended.
    Ended(Box<CallResult>),
}

/// One call at its agent.
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
    /// Returns whether the call can still be kept from being sent.
    pub const fn is_unsent(&self) -> bool {
        matches!(self.phase, CallPhase::Claiming(_) | CallPhase::Ready(_))
    }

    /// Begins the call if it is ready, and returns what is to be sent.
    pub fn begin(&mut self) -> Option<ServiceCall> {
        match std::mem::replace(&mut self.phase, CallPhase::Begun) {
            CallPhase::Ready(service_call) => Some(*service_call),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Returns whether the call has been begun and not ended.
    pub const fn is_begun(&self) -> bool {
        matches!(self.phase, CallPhase::Begun)
    }
}
