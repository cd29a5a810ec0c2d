//! The output of one call to the entry's state machine.

use std::net::SocketAddr;

use jujubewall_protocol::stream::StreamMessage;

use crate::stream::action::EntryAction;
use crate::stream::action::Observation;
use crate::stream::invariant::StreamInvariant;
use crate::stream::invariant::StreamInvariants;

/// The actions that a call returns, and the invariant violations counted so far.
#[derive(Debug)]
pub struct Effects {
    own_address: SocketAddr,
    actions: Vec<EntryAction>,
    /// The number of violations of each invariant.
    pub invariants: StreamInvariants,
}

impl Effects {
    /// Creates empty effects for the entry that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            actions: Vec::new(),
            invariants: StreamInvariants::default(),
        }
    }

    /// Returns the address at which the entry receives messages.
    pub const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Adds an action that sends a message.
    pub fn send(&mut self, to: SocketAddr, message: StreamMessage) {
        self.push(EntryAction::Send { to, message });
    }

    /// Adds an action that reports an observation to the pipeline chooser.
    pub fn observe(&mut self, observation: Observation) {
        self.push(EntryAction::Observe(observation));
    }

    /// Adds an action.
    pub fn push(&mut self, action: EntryAction) {
        self.actions.push(action);
    }

    /// Counts a violation of `invariant` unless `holds`.
    pub fn check(&mut self, invariant: StreamInvariant, holds: bool) {
        self.invariants.check(invariant, holds);
    }

    /// Removes and returns the actions in the order in which they were added.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }
}
