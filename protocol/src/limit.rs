//! Messages by which entries share out the limits of client accounts.
//!
//! One entry, found by hashing, shares out the limits of an account; the
//! others tell it what they need and what they hold.

use jujubewall_types::id::AccountName;
use serde::Deserialize;
use serde::Serialize;

/// A part of an account's limits.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitShare {
    /// The rate of requests, in thousandths of a request a second.
    pub requests_per_1000_s: u64,
    /// The number of requests in flight.
    pub in_flight: u32,
}

/// What one entry needs and holds of one account's limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitDemand {
    /// The account.
    pub account: AccountName,
    /// What the entry could use now.
    pub wanted: LimitShare,
    /// What the entry holds now.
    pub held: LimitShare,
    /// The number of the last grant that the entry has applied.
    pub applied_grant: u64,
}

/// What one entry may use of one account's limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitGrant {
    /// The account.
    pub account: AccountName,
    /// The share.
    pub share: LimitShare,
    /// What stays set aside for the entry until it has confirmed its share.
    pub reserved: LimitShare,
    /// The number of the grant, which rises; a lower one is stale.
    pub number: u64,
}

/// Any message about the limits of accounts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LimitMessage {
    /// Entry to sharing entry: what the sender needs and holds.
    Demands(Vec<LimitDemand>),
    /// Sharing entry to entry: what the receiver may use until the grant lapses.
    Grants(Vec<LimitGrant>),
}
