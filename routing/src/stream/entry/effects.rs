//! What one call to the entry's decisions brings about.

use std::net::SocketAddr;

use jujubewall_protocol::stream::StreamMessage;

use crate::stream::action::EntryAction;
use crate::stream::action::Observation;
use crate::stream::invariant::StreamInvariant;
use crate::stream::invariant::StreamInvariants;

/// The actions and the violations.
#[derive(Debug)]
pub struct Effects {
    own_address: SocketAddr,
    actions: Vec<EntryAction>,
    /// The number of violations of each invariant.
    pub invariants: StreamInvariants,
}

impl Effects {
    /// Creates the effects of the entry that receives messages at `own_address`.
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

    /// Sends a message.
    pub fn send(&mut self, to: SocketAddr, message: StreamMessage) {
        self.push(EntryAction::Send { to, message });
    }

    /// Tells the pipeline chooser what was seen.
    pub fn observe(&mut self, observation: Observation) {
        self.push(EntryAction::Observe(observation));
    }

    /// Adds an action.
    pub fn push(&mut self, action: EntryAction) {
        self.actions.push(action);
    }

    /// Checks an invariant.
    pub fn check(&mut self, invariant: StreamInvariant, holds: bool) {
        self.invariants.check(invariant, holds);
    }

    /// Takes the actions.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }
}
