//! Enforcement of the fleet-wide limits of client accounts at one entry.
//!
//! An entry always holds an even share of half of each limit. The owner of an
//! account, found by rendezvous hashing, grants shares of the rest on demand.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::f64::consts::LN_2;
use std::time::Duration;

use jujubewall_protocol::limit::LimitDemand;
use jujubewall_protocol::limit::LimitGrant;
use jujubewall_protocol::limit::LimitMessage;
use jujubewall_protocol::limit::LimitShare;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::RequestId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::time::Instant;

use super::limit_sharing::OwnedLimits;
use super::limit_sharing::add;
use super::limit_sharing::owner_of;
use super::limit_sharing::subtract;

/// The settings for sharing account limits between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The interval between demands for a larger share, in milliseconds.
    pub round_ms: u64,
    /// The lifetime of a grant that is not renewed, in milliseconds.
    pub grant_ms: u64,
    /// The interval between repeated demands for a share that was not granted in
    /// full, in milliseconds.
    pub ask_again_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            round_ms: 250,
            grant_ms: 6_000,
            ask_again_ms: 4_000,
        }
    }
}

/// The limits of one account across the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountLimit {
    /// The account.
    pub account: AccountName,
    /// The maximum rate of new requests.
    pub requests_per_s: u32,
    /// The maximum number of requests in flight.
    pub max_in_flight: u32,
}

/// The kind of account limit that a request exceeds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LimitKind {
    /// The rate of requests.
    Rate,
    /// The number of requests in flight.
    InFlight,
}

/// The rejection of a request that exceeds a limit of its account.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the account's limit is used up for another {retry_after_ms} ms")]
pub struct LimitExceeded {
    /// The limit that is exceeded.
    pub limit: LimitKind,
    /// The time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl LimitExceeded {
    /// Returns the error kind reported to the caller.
    pub const fn kind(self) -> ErrorKind {
        ErrorKind::AccountLimit
    }
}

/// A message about account limits and its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedLimitMessage {
    /// The member that the message is sent to.
    pub to: MemberName,
    /// The content of the message.
    pub message: LimitMessage,
}

/// The divisor for the part of a limit that is split evenly without grants, which
/// is one half.
const EVEN_SHARE_DIVISOR: u64 = 2;
/// The factor by which an entry demands more than its current use.
const DEMAND_HEADROOM: f64 = 1.25;
/// The half-life of the measured demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);

/// The usage of one account's limits at this entry.
#[derive(Debug)]
struct AccountUsage {
    limit: AccountLimit,
    /// The share granted by the owner in addition to the even share.
    granted: LimitShare,
    /// The share that the owner reserves for this entry, which exceeds the grant
    /// until this entry confirms a lowered one.
    reserved: LimitShare,
    /// The number of the last grant that was applied; lower numbers are stale.
    grant_number: u64,
    /// The time at which the grant expires.
    granted_until: Instant,
    /// The time of the last demand, or `None` if the next one is due at once.
    demanded_at: Option<Instant>,
    /// The share that the last demand asked for.
    demanded: LimitShare,
    /// The time from which the lifetime of the next grant is counted.
    lease_start: Instant,
    /// The tokens of the rate limit; one request takes one token.
    rate_tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
    /// The exponentially decayed number of requests, as of `demand_at`.
    demand: f64,
    demand_at: Instant,
    /// The requests rejected by the limit on requests in flight since the last
    /// tick.
    rejected_in_flight: u32,
}

impl AccountUsage {
    fn new(now: Instant, limit: AccountLimit) -> Self {
        Self {
            limit,
            granted: LimitShare::default(),
            reserved: LimitShare::default(),
            grant_number: 0,
            granted_until: now,
            demanded_at: None,
            demanded: LimitShare::default(),
            lease_start: now,
            rate_tokens: 1.0,
            refilled_at: now,
            in_flight: 0,
            demand: 0.0,
            demand_at: now,
            rejected_in_flight: 0,
        }
    }

    /// Returns the share that this entry may use now.
    fn share(&self, now: Instant, entries: u32) -> LimitShare {
        let even = even_share(&self.limit, entries);
        if self.granted_until <= now {
            return even;
        }
        add(even, self.granted)
    }

    fn refill(&mut self, now: Instant, share: LimitShare) {
        let rate = share.requests_per_1000_s as f64 / 1_000.0;
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.rate_tokens = (self.rate_tokens + elapsed_s * rate).min(rate.max(1.0));
        self.refilled_at = now;
    }

    fn record_demand(&mut self, now: Instant) {
        self.demand = self.decayed_demand(now) + 1.0;
        self.demand_at = now;
    }

    fn decayed_demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * 0.5_f64.powf(age.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64())
    }

    /// Returns the share that the entry could use in addition to its even share.
    fn wanted(&self, now: Instant, even: LimitShare) -> LimitShare {
        let per_s = self.decayed_demand(now) * LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        let in_flight = f64::from(self.in_flight + self.rejected_in_flight);
        let wanted = LimitShare {
            requests_per_1000_s: ceil_to_count(per_s * DEMAND_HEADROOM * 1_000.0),
            in_flight: u32::try_from(ceil_to_count(in_flight * DEMAND_HEADROOM))
                .unwrap_or(u32::MAX),
        };
        subtract(wanted, even)
    }

    /// Returns the share that the entry may be using in addition to its even
    /// share.
    ///
    /// Requests in flight outlive an expired grant.
    fn held(&self, now: Instant, even: LimitShare) -> LimitShare {
        let mut held = self.granted;
        if self.granted_until <= now {
            held = LimitShare::default();
        }
        held.in_flight = held
            .in_flight
            .max(self.in_flight.saturating_sub(even.in_flight));
        held
    }

    /// Returns whether a demand to the account's owner is due.
    ///
    /// An entry whose even share suffices sends no demand, and one whose demand
    /// is met sends another only to renew its grant. An entry that no longer
    /// needs a grant reports so until the owner reserves nothing for it.
    fn is_demand_due(&self, now: Instant, settings: &LimitSettings, demand: &LimitDemand) -> bool {
        let none = LimitShare::default();
        if demand.wanted == none && demand.held == none && self.reserved == none {
            return false;
        }
        let Some(demanded_at) = self.demanded_at else {
            return true;
        };
        let wants_more = subtract(demand.wanted, demand.held) != none;
        let was_reduced = subtract(self.demanded, self.granted) != none;
        let interval_ms = match (wants_more, was_reduced) {
            (true, true) => settings.ask_again_ms,
            (true, false) => settings.round_ms,
            (false, _) => settings.grant_ms / 2,
        };
        demanded_at + Duration::from_millis(interval_ms) <= now
    }
}

/// Returns the share of an account's limits that each entry has without a grant.
///
/// Every entry may have one request in flight, so that an account's first
/// request does not wait for another process. An account whose limit is below
/// the number of entries may therefore have one request in flight at each.
fn even_share(limit: &AccountLimit, entries: u32) -> LimitShare {
    let parts = u64::from(entries.max(1)) * EVEN_SHARE_DIVISOR;
    let in_flight = u64::from(limit.max_in_flight) / parts;
    LimitShare {
        requests_per_1000_s: u64::from(limit.requests_per_s) * 1_000 / parts,
        in_flight: u32::try_from(in_flight.max(1)).unwrap_or(u32::MAX),
    }
}

/// Returns what is left to grant besides the even shares of all entries.
fn grantable_share(limit: &AccountLimit, entries: u32) -> LimitShare {
    let even = even_share(limit, entries);
    let even_total = LimitShare {
        requests_per_1000_s: even.requests_per_1000_s * u64::from(entries),
        in_flight: even.in_flight.saturating_mul(entries),
    };
    let total = LimitShare {
        requests_per_1000_s: u64::from(limit.requests_per_s) * 1_000,
        in_flight: limit.max_in_flight,
    };
    subtract(total, even_total)
}

/// Rounds a non-negative value up to an integer.
fn ceil_to_count(value: f64) -> u64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = value.ceil() as u64;
    count
}

/// Enforces account limits at one entry, in cooperation with the other entries.
#[derive(Debug)]
pub struct AccountLimits {
    member: MemberName,
    settings: LimitSettings,
    members: Vec<MemberName>,
    /// The number of entries among which the evenly split part is divided.
    entries: u32,
    /// The time at which a pending change of members takes full effect.
    settled_at: Option<Instant>,
    accounts: HashMap<AccountName, AccountUsage>,
    requests: HashMap<RequestId, AccountName>,
    owned: OwnedLimits,
}

impl AccountLimits {
    /// Creates the limits of the entry `member`, as the only entry at first.
    pub fn new(member: MemberName, settings: LimitSettings) -> Self {
        Self {
            members: vec![member.clone()],
            member,
            settings,
            entries: 1,
            settled_at: None,
            accounts: HashMap::new(),
            requests: HashMap::new(),
            owned: OwnedLimits::default(),
        }
    }

    /// Replaces the live entries among which limits are shared.
    ///
    /// Even shares shrink at once but grow only after the lifetime of a grant,
    /// when no entry can hold a grant from before the change.
    pub fn set_members(&mut self, now: Instant, members: &[MemberName]) {
        let mut members = members.to_vec();
        if !members.contains(&self.member) {
            members.push(self.member.clone());
        }
        members.sort_unstable();
        members.dedup();
        if members == self.members {
            return;
        }
        self.members = members;
        self.entries = self.entries.max(self.member_count());
        self.settled_at = Some(now + self.grant_lifetime());
    }

    /// Replaces the configured accounts and keeps the usage of those that remain.
    pub fn set_accounts(&mut self, now: Instant, limits: &[AccountLimit]) {
        let mut previous = std::mem::take(&mut self.accounts);
        for limit in limits {
            let mut usage = previous
                .remove(&limit.account)
                .unwrap_or_else(|| AccountUsage::new(now, limit.clone()));
            usage.limit = limit.clone();
            self.accounts.insert(limit.account.clone(), usage);
        }
    }

    /// Counts a new request against the limits of its account.
    ///
    /// Accounts without configured limits are not limited.
    pub fn try_start(
        &mut self,
        now: Instant,
        account: &AccountName,
        request: RequestId,
    ) -> Result<(), LimitExceeded> {
        self.apply_settled_members(now);
        let entries = self.entries;
        let retry_after_ms = self.settings.round_ms;
        let limit_exceeded = |limit| LimitExceeded {
            limit,
            retry_after_ms,
        };
        let Some(usage) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        let share = usage.share(now, entries);
        usage.refill(now, share);
        usage.record_demand(now);
        if usage.in_flight >= share.in_flight {
            usage.rejected_in_flight += 1;
            return Err(limit_exceeded(LimitKind::InFlight));
        }
        if usage.rate_tokens < 1.0 {
            return Err(limit_exceeded(LimitKind::Rate));
        }
        usage.rate_tokens -= 1.0;
        usage.in_flight += 1;
        let replaced = self.requests.insert(request, account.clone());
        debug_assert!(replaced.is_none(), "{request} was started twice");
        Ok(())
    }

    /// Releases what a request held, whatever its outcome.
    pub fn on_finished(&mut self, _now: Instant, request: RequestId) {
        let Some(account) = self.requests.remove(&request) else {
            return;
        };
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Returns the demands of this entry that are due, as messages to the owners of
    /// the accounts.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AddressedLimitMessage> {
        self.apply_settled_members(now);
        let members = &self.members;
        let member = &self.member;
        self.owned.retain(
            now,
            |name| members.contains(name),
            |account| owner_of(account, members) == Some(member),
        );
        let mut by_owner: BTreeMap<MemberName, Vec<LimitDemand>> = BTreeMap::new();
        for (account, usage) in &mut self.accounts {
            let demand = current_demand(now, account, usage, self.entries);
            usage.rejected_in_flight = 0;
            if !usage.is_demand_due(now, &self.settings, &demand) {
                continue;
            }
            let Some(owner) = owner_of(account, members) else {
                continue;
            };
            usage.demanded_at = Some(now);
            usage.demanded = demand.wanted;
            usage.lease_start = now;
            by_owner.entry(owner.clone()).or_default().push(demand);
        }
        let own = by_owner.remove(&self.member).unwrap_or_default();
        let own_name = self.member.clone();
        let grants = self.answer_demands(now, &own_name, &own);
        self.apply_grants(now, &grants);
        let message = |(to, demands)| AddressedLimitMessage {
            to,
            message: LimitMessage::Demands(demands),
        };
        by_owner.into_iter().map(message).collect()
    }

    /// Handles a message from another entry.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &MemberName,
        message: LimitMessage,
    ) -> Vec<AddressedLimitMessage> {
        self.apply_settled_members(now);
        match message {
            LimitMessage::Demands(demands) => {
                let grants = self.answer_demands(now, from, &demands);
                let message = LimitMessage::Grants(grants);
                let to = from.clone();
                vec![AddressedLimitMessage { to, message }]
            }
            LimitMessage::Grants(grants) => {
                self.apply_grants(now, &grants);
                Vec::new()
            }
        }
    }

    /// Returns the interval at which `on_tick` is called.
    pub fn tick_interval(&self) -> Duration {
        Duration::from_millis(self.settings.round_ms)
    }

    /// Returns the number of requests that an account has in flight at this entry.
    pub fn in_flight(&self, account: &AccountName) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |usage| usage.in_flight)
    }

    /// Applies a pending change of members once all earlier grants have expired.
    fn apply_settled_members(&mut self, now: Instant) {
        if self.settled_at.is_some_and(|at| at <= now) {
            self.settled_at = None;
            self.entries = self.member_count();
        }
    }

    fn member_count(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    fn grant_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.grant_ms)
    }

    /// Answers demands for the accounts that this entry owns.
    fn answer_demands(
        &mut self,
        now: Instant,
        from: &MemberName,
        demands: &[LimitDemand],
    ) -> Vec<LimitGrant> {
        let lifetime = self.grant_lifetime();
        let is_settled = self.settled_at.is_none();
        let mut grants = Vec::with_capacity(demands.len());
        for demand in demands {
            let is_owned = owner_of(&demand.account, &self.members) == Some(&self.member);
            let Some(usage) = self.accounts.get(&demand.account).filter(|_| is_owned) else {
                continue;
            };
            let grantable = grantable_share(&usage.limit, self.entries);
            let owned = &mut self.owned;
            grants.push(owned.on_demand(now, from, demand, grantable, lifetime, is_settled));
        }
        grants
    }

    /// Applies grants of other entries or of this one.
    ///
    /// The lifetime of a grant is counted from the demand for it, so the grant
    /// expires here before its owner releases it.
    fn apply_grants(&mut self, now: Instant, grants: &[LimitGrant]) {
        let lifetime = self.grant_lifetime();
        for grant in grants {
            let Some(usage) = self.accounts.get_mut(&grant.account) else {
                continue;
            };
            if grant.number <= usage.grant_number {
                continue;
            }
            let share = usage.share(now, self.entries);
            usage.refill(now, share);
            if subtract(grant.reserved, grant.share) != LimitShare::default() {
                // Confirms a lowered grant at the next tick.
                usage.demanded_at = None;
            }
            usage.reserved = grant.reserved;
            usage.grant_number = grant.number;
            usage.granted = grant.share;
            usage.granted_until = usage.lease_start + lifetime;
        }
    }
}

/// Returns the demand of an entry for one account.
///
/// A lowered grant is confirmed only once the requests in flight fit into it.
fn current_demand(
    now: Instant,
    account: &AccountName,
    usage: &AccountUsage,
    entries: u32,
) -> LimitDemand {
    let even = even_share(&usage.limit, entries);
    let held = usage.held(now, even);
    let fits = held.in_flight <= usage.granted.in_flight;
    LimitDemand {
        account: account.clone(),
        wanted: usage.wanted(now, even),
        held,
        applied_grant: usage.grant_number.saturating_sub(u64::from(!fits)),
    }
}
