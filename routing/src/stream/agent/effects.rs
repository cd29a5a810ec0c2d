//! The output of one call to the agent's state machine.

use std::collections::VecDeque;
use std::net::SocketAddr;

use jujubewall_protocol::stream::StreamMessage;

use crate::stream::action::AgentAction;
use crate::stream::invariant::StreamInvariant;
use crate::stream::invariant::StreamInvariants;

/// The actions that a call returns, the messages to the agent itself, and the invariant
/// violations counted so far.
#[derive(Debug)]
pub struct Effects {
    own_address: SocketAddr,
    actions: Vec<AgentAction>,
    own_messages: VecDeque<StreamMessage>,
    /// The number of violations of each invariant.
    pub invariants: StreamInvariants,
}

impl Effects {
    /// Creates empty effects for the agent that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            actions: Vec::new(),
            own_messages: VecDeque::new(),
            invariants: StreamInvariants::default(),
        }
    }

    /// Returns the address at which the agent receives messages.
    pub const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Adds an action that sends a message, or queues a message to the agent itself.
    pub fn send(&mut self, to: SocketAddr, message: StreamMessage) {
        if to == self.own_address {
            self.own_messages.push_back(message);
        } else {
            self.push(AgentAction::Send { to, message });
        }
    }

    /// Adds an action.
    pub fn push(&mut self, action: AgentAction) {
        self.actions.push(action);
    }

    /// Counts a violation of `invariant` unless `holds`.
    pub fn check(&mut self, invariant: StreamInvariant, holds: bool) {
        self.invariants.check(invariant, holds);
    }

    /// Removes and returns the next message to the agent itself.
    pub fn next_own_message(&mut self) -> Option<StreamMessage> {
        self.own_messages.pop_front()
    }

    /// Removes and returns the actions in the order in which they were added.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }
}
