//! Whether this process knows the current fencing number.

use jujubewall_types::id::FencingNumber;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use tokio::time::Instant;

use super::action::ReadToken;

/// An authority that has to be confirmed by reading the plan.
#[derive(Clone, Copy, Debug)]
pub struct Unconfirmed {
    /// The highest number that has been seen.
    highest: FencingNumber,
    /// The reading that would confirm it.
    token: ReadToken,
    /// When the reading was asked for.
    asked_at: Option<Instant>,
}

/// An authority that may give orders.
#[derive(Clone, Copy, Debug)]
pub struct Confirmed {
    number: FencingNumber,
    token: ReadToken,
}

/// The authority of this process.
#[derive(Clone, Copy, Debug)]
pub enum Authority {
    /// It has to be confirmed.
    Unconfirmed(Unconfirmed),
    /// It may give orders.
    Confirmed(Confirmed),
}

impl Unconfirmed {
    /// Notes that the reading is asked for, unless that was done within `patience`.
    pub fn ask(&mut self, now: Instant, patience: std::time::Duration) -> Option<ReadToken> {
        let is_waiting = self.asked_at.is_some_and(|asked| now < asked + patience);
        if is_waiting {
            return None;
        }
        self.asked_at = Some(now);
        Some(self.token)
    }

    /// Confirms the authority by a reading that was asked for since it was lost.
    pub fn confirm(self, token: ReadToken, number: FencingNumber) -> Result<Confirmed, Self> {
        if token != self.token || self.asked_at.is_none() || number < self.highest {
            return Err(self);
        }
        Ok(Confirmed { number, token })
    }
}

impl Confirmed {
    /// Returns the number that orders carry.
    pub const fn number(&self) -> FencingNumber {
        self.number
    }

    /// Signs an order.
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
            asked_at: None,
        })
    }

    /// Returns the highest number that has been seen.
    pub const fn highest(&self) -> FencingNumber {
        match self {
            Self::Unconfirmed(unconfirmed) => unconfirmed.highest,
            Self::Confirmed(confirmed) => confirmed.number,
        }
    }

    /// Returns the authority if it may give orders.
    pub const fn confirmed(&self) -> Option<&Confirmed> {
        match self {
            Self::Unconfirmed(_) => None,
            Self::Confirmed(confirmed) => Some(confirmed),
        }
    }

    /// Withdraws the authority; readings that were asked for before do not confirm it.
    #[must_use]
    pub fn doubt(self, seen: FencingNumber) -> Self {
        let token = match &self {
            Self::Unconfirmed(unconfirmed) => unconfirmed.token,
            Self::Confirmed(confirmed) => confirmed.token,
        };
        Self::Unconfirmed(Unconfirmed {
            highest: self.highest().max(seen),
            token: ReadToken(token.0 + 1),
            asked_at: None,
        })
    }

    /// Takes a plan in that another process has passed on.
    ///
    /// Returns whether its number is higher. It raises a confirmed authority but
    /// does not confirm one, since there may be a still higher number.
    pub fn raise(&mut self, number: FencingNumber) -> bool {
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
