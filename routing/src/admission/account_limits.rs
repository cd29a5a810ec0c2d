//! The limits of client accounts at one entry.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::limit::LimitMessage;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::RequestId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::time::Instant;

/// The settings of the sharing of limits between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The time between two messages about what an entry needs.
    pub round_ms: u64,
    /// The time after which a grant lapses that was not renewed.
    pub grant_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            round_ms: 250,
            grant_ms: 1_500,
        }
    }
}

/// The limits of one account in the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountLimit {
    /// The account.
    pub account: AccountName,
    /// The rate of requests that is allowed.
    pub requests_per_s: u32,
    /// The number of requests that may be in flight.
    pub max_in_flight: u32,
}

/// Which limit of an account is used up.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LimitKind {
    /// The rate of requests.
    Rate,
    /// The number of requests in flight.
    InFlight,
}

/// The refusal of a request beyond its account's limits.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the account's limit is used up for another {retry_after_ms} ms")]
pub struct LimitExceeded {
    /// The limit.
    pub limit: LimitKind,
    /// The time after which asking again makes sense.
    pub retry_after_ms: u64,
}

impl LimitExceeded {
    /// Returns the error kind that the caller is given.
    pub const fn kind(self) -> ErrorKind {
        ErrorKind::AccountLimit
    }
}

/// A message with the member that it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedLimitMessage {
    /// The receiver.
    pub to: MemberName,
    /// The message.
    pub message: LimitMessage,
}

/// The use of one account's limits at this entry.
#[derive(Debug)]
struct AccountUse {
    limit: AccountLimit,
    tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
}

/// Keeps the limits of accounts together with the other entries.
#[derive(Debug)]
pub struct AccountLimits {
    member: MemberName,
    settings: LimitSettings,
    members: Vec<MemberName>,
    accounts: HashMap<AccountName, AccountUse>,
    requests: HashMap<RequestId, AccountName>,
}

impl AccountLimits {
    /// Creates the limits of the entry `member`, alone at first.
    pub fn new(member: MemberName, settings: LimitSettings) -> Self {
        Self {
            members: vec![member.clone()],
            member,
            settings,
            accounts: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Replaces the live entries, among which limits are shared.
    pub fn set_members(&mut self, _now: Instant, members: &[MemberName]) {
        self.members = members.to_vec();
        if !self.members.contains(&self.member) {
            self.members.push(self.member.clone());
        }
    }

    /// Replaces the configured accounts, and keeps the use of those that stay.
    pub fn set_accounts(&mut self, now: Instant, limits: &[AccountLimit]) {
        let mut known = std::mem::take(&mut self.accounts);
        for limit in limits {
            let mut used = known.remove(&limit.account).unwrap_or_else(|| AccountUse {
                limit: limit.clone(),
                tokens: f64::from(limit.requests_per_s),
                refilled_at: now,
                in_flight: 0,
            });
            used.limit = limit.clone();
            self.accounts.insert(limit.account.clone(), used);
        }
    }

    /// Takes one request of an account into its limits.
    pub fn try_start(
        &mut self,
        now: Instant,
        account: &AccountName,
        request: RequestId,
    ) -> Result<(), LimitExceeded> {
        let entries = self.members.len() as f64;
        let Some(used) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        let rate = f64::from(used.limit.requests_per_s) / entries;
        let in_flight = f64::from(used.limit.max_in_flight) / entries;
        let elapsed = now - used.refilled_at;
        used.tokens = (used.tokens + elapsed.as_secs_f64() * rate).min(rate.max(1.0));
        used.refilled_at = now;
        if f64::from(used.in_flight) >= in_flight.max(1.0) {
            return Err(self.exceeded(LimitKind::InFlight));
        }
        if used.tokens < 1.0 {
            return Err(self.exceeded(LimitKind::Rate));
        }
        used.tokens -= 1.0;
        used.in_flight += 1;
        self.requests.insert(request, account.clone());
        Ok(())
    }

    /// Gives back what a request held, however it ended.
    pub fn on_finished(&mut self, _now: Instant, request: RequestId) {
        let Some(account) = self.requests.remove(&request) else {
            return;
        };
        if let Some(used) = self.accounts.get_mut(&account) {
            used.in_flight -= 1;
        }
    }

    /// Returns the messages that are due.
    pub fn on_tick(&mut self, _now: Instant) -> Vec<AddressedLimitMessage> {
        Vec::new()
    }

    /// Handles a message of another entry.
    pub fn on_message(
        &mut self,
        _now: Instant,
        _from: &MemberName,
        _message: LimitMessage,
    ) -> Vec<AddressedLimitMessage> {
        Vec::new()
    }

    /// Returns the time between two calls of `on_tick`.
    pub fn tick_interval(&self) -> Duration {
        Duration::from_millis(self.settings.round_ms)
    }

    fn exceeded(&self, limit: LimitKind) -> LimitExceeded {
        LimitExceeded {
            limit,
            retry_after_ms: self.settings.round_ms,
        }
    }
}
