//! What one call to the agent's decisions brings about.

use std::collections::VecDeque;
use std::net::SocketAddr;

use jujubewall_protocol::stream::StreamMessage;

use crate::stream::action::AgentAction;
use crate::stream::invariant::StreamInvariant;
use crate::stream::invariant::StreamInvariants;

/// The actions, the messages to the agent itself, and the violations.
#[derive(Debug)]
pub struct Effects {
    own_address: SocketAddr,
    actions: Vec<AgentAction>,
    own_messages: VecDeque<StreamMessage>,
    /// The number of violations of each invariant.
    pub invariants: StreamInvariants,
}

impl Effects {
    /// Creates the effects of the agent that receives messages at `own_address`.
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

    /// Sends a message; one to the agent itself stays inside.
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

    /// Checks an invariant.
    pub fn check(&mut self, invariant: StreamInvariant, holds: bool) {
        self.invariants.check(invariant, holds);
    }

    /// Takes the next message to the agent itself.
    pub fn next_own_message(&mut self) -> Option<StreamMessage> {
        self.own_messages.pop_front()
    }

    /// Takes the actions.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }
}
