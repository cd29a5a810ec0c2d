//! Whether this process knows the current fencing number and may give orders.

use jujubewall_types::id::FencingNumber;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use tokio::time::Instant;

use super::action::ReadToken;

/// An authority that has to be confirmed by reading the plan.
#[derive(Clone, Copy, Debug)]
pub struct Unconfirmed {
    /// Highest fencing number seen so far.
    highest: FencingNumber,
    /// Token of the read that would confirm the authority.
    token: ReadToken,
    /// Time at which the read was last requested.
    requested_at: Option<Instant>,
}

/// An authority that may give orders.
#[derive(Clone, Copy, Debug)]
pub struct Confirmed {
    number: FencingNumber,
    token: ReadToken,
}

/// The authority of this process to give orders.
#[derive(Clone, Copy, Debug)]
pub enum Authority {
    /// The plan has to be read before any order.
    Unconfirmed(Unconfirmed),
    /// Orders may be given.
    Confirmed(Confirmed),
}

impl Unconfirmed {
    /// Returns the token for a new read of the plan, unless one was requested within the
    /// last `timeout`.
    pub fn begin_read(&mut self, now: Instant, timeout: std::time::Duration) -> Option<ReadToken> {
        let is_waiting = self
            .requested_at
            .is_some_and(|requested| now < requested + timeout);
        if is_waiting {
            return None;
        }
        self.requested_at = Some(now);
        Some(self.token)
    }

    /// Confirms the authority by a read that was requested since it was lost.
    pub fn confirm(self, token: ReadToken, number: FencingNumber) -> Result<Confirmed, Self> {
        if token != self.token || self.requested_at.is_none() || number < self.highest {
            return Err(self);
        }
        Ok(Confirmed { number, token })
    }
}

impl Confirmed {
    /// Returns the fencing number of the orders.
    pub const fn number(&self) -> FencingNumber {
        self.number
    }

    /// Creates an order with the current fencing number.
    pub const fn sign(&self, action: EngineAction) -> EngineOrder {
        EngineOrder {
            fencing: self.number,
            action,
        }
    }
}

impl Authority {
    /// Creates the authority of a process that has just started.
    pub fn new() -> Self {
        Self::Unconfirmed(Unconfirmed {
            highest: FencingNumber::default(),
            token: ReadToken::default(),
            requested_at: None,
        })
    }

    /// Returns the highest fencing number seen so far.
    pub const fn highest(&self) -> FencingNumber {
        match self {
            Self::Unconfirmed(unconfirmed) => unconfirmed.highest,
            Self::Confirmed(confirmed) => confirmed.number,
        }
    }

    /// Returns the authority if it is confirmed.
    pub const fn confirmed(&self) -> Option<&Confirmed> {
        match self {
            Self::Unconfirmed(_) => None,
            Self::Confirmed(confirmed) => Some(confirmed),
        }
    }

    /// Revokes the authority after `seen` was observed.
    ///
    /// Reads that were requested before do not confirm it again.
    #[must_use]
    pub fn revoke(self, seen: FencingNumber) -> Self {
        let token = match &self {
            Self::Unconfirmed(unconfirmed) => unconfirmed.token,
            Self::Confirmed(confirmed) => confirmed.token,
        };
        Self::Unconfirmed(Unconfirmed {
            highest: self.highest().max(seen),
            token: ReadToken(token.0 + 1),
            requested_at: None,
        })
    }

    /// Raises the fencing number to that of a plan received from another process.
    ///
    /// Returns whether the number was higher than before. The state stays confirmed or
    /// unconfirmed: such a plan confirms nothing, since a still higher number may exist.
    pub fn raise_to(&mut self, number: FencingNumber) -> bool {
        if number <= self.highest() {
            return false;
        }
        match self {
            Self::Unconfirmed(unconfirmed) => unconfirmed.highest = number,
            Self::Confirmed(confirmed) => confirmed.number = number,
        }
        true
    }
}

impl Default for Authority {
    fn default() -> Self {
        Self::new()
    }
}
