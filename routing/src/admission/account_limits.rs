//! The limits of client accounts at one entry.

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
use super::limit_sharing::owner_of;
use super::limit_sharing::rest;
use super::limit_sharing::sum;

/// The settings of the sharing of limits between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The time between two messages about what an entry needs.
    pub round_ms: u64,
    /// The time after which a grant lapses that was not renewed.
    pub grant_ms: u64,
    /// The time after which an entry asks again for what it was not granted.
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

/// The part of a limit that is split evenly and needs no grant.
const EVEN_PART: u64 = 2;
/// The factor by which an entry asks for more than it uses now.
const HEADROOM: f64 = 1.25;
/// The time in which half of the measured demand is forgotten.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);

/// The use of one account's limits at this entry.
#[derive(Debug)]
struct AccountUse {
    limit: AccountLimit,
    /// What other entries have granted beyond the even part.
    granted: LimitShare,
    /// What the owner sets aside for this entry, which is more than the grant
    /// until a lowered one is confirmed.
    reserved: LimitShare,
    grant_number: u64,
    /// The time at which the grant lapses.
    granted_until: Instant,
    /// The time of the last demand, unless the next one is due at once.
    asked_at: Option<Instant>,
    /// What the last demand asked for.
    asked: LimitShare,
    /// The time from which the next grant counts.
    lease_from: Instant,
    bucket: f64,
    refilled_at: Instant,
    in_flight: u32,
    demand: f64,
    demand_at: Instant,
    refused_in_flight: u32,
}

impl AccountUse {
    fn new(now: Instant, limit: AccountLimit) -> Self {
        Self {
            limit,
            granted: LimitShare::default(),
            reserved: LimitShare::default(),
            grant_number: 0,
            granted_until: now,
            asked_at: None,
            asked: LimitShare::default(),
            lease_from: now,
            bucket: 1.0,
            refilled_at: now,
            in_flight: 0,
            demand: 0.0,
            demand_at: now,
            refused_in_flight: 0,
        }
    }

    /// Returns what may be used now.
    fn share(&self, now: Instant, entries: u32) -> LimitShare {
        let even = even_part(&self.limit, entries);
        if self.granted_until <= now {
            return even;
        }
        sum(even, self.granted)
    }

    fn refill(&mut self, now: Instant, share: LimitShare) {
        let rate = share.requests_per_1000_s as f64 / 1_000.0;
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.bucket = (self.bucket + elapsed_s * rate).min(rate.max(1.0));
        self.refilled_at = now;
    }

    fn note_demand(&mut self, now: Instant) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = now;
    }

    fn demand_now(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * 0.5_f64.powf(age.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64())
    }

    /// Returns what the entry could use beyond its even part.
    fn wanted(&self, now: Instant, even: LimitShare) -> LimitShare {
        let per_s = self.demand_now(now) * LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        let in_flight = f64::from(self.in_flight + self.refused_in_flight);
        let wanted = LimitShare {
            requests_per_1000_s: to_count(per_s * HEADROOM * 1_000.0),
            in_flight: u32::try_from(to_count(in_flight * HEADROOM)).unwrap_or(u32::MAX),
        };
        rest(wanted, even)
    }

    /// Returns what the entry may be using beyond its even part.
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

    /// Returns whether the owner of the account is to be asked now.
    ///
    /// An entry that gets by with its even part asks for nothing, and one that
    /// has what it wants asks again only to renew its grant. One that needs
    /// nothing any more says so until the owner sets nothing aside for it.
    fn is_due(&self, now: Instant, settings: &LimitSettings, demand: &LimitDemand) -> bool {
        let nothing = LimitShare::default();
        if demand.wanted == nothing && demand.held == nothing && self.reserved == nothing {
            return false;
        }
        let Some(asked_at) = self.asked_at else {
            return true;
        };
        let wants_more = rest(demand.wanted, demand.held) != nothing;
        let was_cut = rest(self.asked, self.granted) != nothing;
        let pause_ms = match (wants_more, was_cut) {
            (true, true) => settings.ask_again_ms,
            (true, false) => settings.round_ms,
            (false, _) => settings.grant_ms / 2,
        };
        asked_at + Duration::from_millis(pause_ms) <= now
    }
}

/// Returns the part of an account's limits that each entry has without a grant.
///
/// An entry may always have one request in flight, so that an account's first
/// request needs no other process; an account with a lower limit than there are
/// entries may therefore have one request at each.
fn even_part(limit: &AccountLimit, entries: u32) -> LimitShare {
    let parts = u64::from(entries.max(1)) * EVEN_PART;
    let in_flight = u64::from(limit.max_in_flight) / parts;
    LimitShare {
        requests_per_1000_s: u64::from(limit.requests_per_s) * 1_000 / parts,
        in_flight: u32::try_from(in_flight.max(1)).unwrap_or(u32::MAX),
    }
}

/// Returns what is shared out beyond the even parts of all entries.
fn spare_part(limit: &AccountLimit, entries: u32) -> LimitShare {
    let even = even_part(limit, entries);
    let evens = LimitShare {
        requests_per_1000_s: even.requests_per_1000_s * u64::from(entries),
        in_flight: even.in_flight.saturating_mul(entries),
    };
    let whole = LimitShare {
        requests_per_1000_s: u64::from(limit.requests_per_s) * 1_000,
        in_flight: limit.max_in_flight,
    };
    rest(whole, evens)
}

/// Rounds a count up; it is never negative.
fn to_count(value: f64) -> u64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = value.ceil() as u64;
    count
}

/// Keeps the limits of accounts together with the other entries.
#[derive(Debug)]
pub struct AccountLimits {
    member: MemberName,
    settings: LimitSettings,
    members: Vec<MemberName>,
    /// The number of entries among which even parts are split.
    entries: u32,
    /// The time at which changed members count in full.
    settled_at: Option<Instant>,
    accounts: HashMap<AccountName, AccountUse>,
    requests: HashMap<RequestId, AccountName>,
    owned: OwnedLimits,
}

impl AccountLimits {
    /// Creates the limits of the entry `member`, alone at first.
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

    /// Replaces the live entries, among which limits are shared.
    ///
    /// Parts only shrink at once; they grow after the lifetime of a grant, when
    /// no entry can hold one from before the change.
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

    /// Replaces the configured accounts, and keeps the use of those that stay.
    pub fn set_accounts(&mut self, now: Instant, limits: &[AccountLimit]) {
        let mut known = std::mem::take(&mut self.accounts);
        for limit in limits {
            let mut used = known
                .remove(&limit.account)
                .unwrap_or_else(|| AccountUse::new(now, limit.clone()));
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
        self.settle(now);
        let entries = self.entries;
        let retry_after_ms = self.settings.round_ms;
        let exceeded = |limit| LimitExceeded {
            limit,
            retry_after_ms,
        };
        let Some(used) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        let share = used.share(now, entries);
        used.refill(now, share);
        used.note_demand(now);
        if used.in_flight >= share.in_flight {
            used.refused_in_flight += 1;
            return Err(exceeded(LimitKind::InFlight));
        }
        if used.bucket < 1.0 {
            return Err(exceeded(LimitKind::Rate));
        }
        used.bucket -= 1.0;
        used.in_flight += 1;
        let replaced = self.requests.insert(request, account.clone());
        debug_assert!(replaced.is_none(), "{request} was started twice");
        Ok(())
    }

    /// Gives back what a request held, however it ended.
    pub fn on_finished(&mut self, _now: Instant, request: RequestId) {
        let Some(account) = self.requests.remove(&request) else {
            return;
        };
        if let Some(used) = self.accounts.get_mut(&account) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }

    /// Returns what this entry needs, as messages to the owners of the accounts.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AddressedLimitMessage> {
        self.settle(now);
        let members = &self.members;
        let member = &self.member;
        self.owned.retain(
            now,
            |name| members.contains(name),
            |account| owner_of(account, members) == Some(member),
        );
        let mut by_owner: BTreeMap<MemberName, Vec<LimitDemand>> = BTreeMap::new();
        for (account, used) in &mut self.accounts {
            let demand = demand_of(now, account, used, self.entries);
            used.refused_in_flight = 0;
            if !used.is_due(now, &self.settings, &demand) {
                continue;
            }
            let Some(owner) = owner_of(account, members) else {
                continue;
            };
            used.asked_at = Some(now);
            used.asked = demand.wanted;
            used.lease_from = now;
            by_owner.entry(owner.clone()).or_default().push(demand);
        }
        let own = by_owner.remove(&self.member).unwrap_or_default();
        let own_name = self.member.clone();
        let grants = self.answer(now, &own_name, &own);
        self.apply(now, &grants);
        let message = |(to, demands)| AddressedLimitMessage {
            to,
            message: LimitMessage::Demands(demands),
        };
        by_owner.into_iter().map(message).collect()
    }

    /// Handles a message of another entry.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &MemberName,
        message: LimitMessage,
    ) -> Vec<AddressedLimitMessage> {
        self.settle(now);
        match message {
            LimitMessage::Demands(demands) => {
                let grants = self.answer(now, from, &demands);
                let message = LimitMessage::Grants(grants);
                let to = from.clone();
                vec![AddressedLimitMessage { to, message }]
            }
            LimitMessage::Grants(grants) => {
                self.apply(now, &grants);
                Vec::new()
            }
        }
    }

    /// Returns the time between two calls of `on_tick`.
    pub fn tick_interval(&self) -> Duration {
        Duration::from_millis(self.settings.round_ms)
    }

    /// Returns the number of requests that an account has in flight here.
    pub fn in_flight(&self, account: &AccountName) -> u32 {
        self.accounts.get(account).map_or(0, |used| used.in_flight)
    }

    /// Lets changed members count in full once no older grant is left.
    fn settle(&mut self, now: Instant) {
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

    /// Shares out the accounts that this entry owns.
    fn answer(
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
            let Some(used) = self.accounts.get(&demand.account).filter(|_| is_owned) else {
                continue;
            };
            let spare = spare_part(&used.limit, self.entries);
            let owned = &mut self.owned;
            grants.push(owned.on_demand(now, from, demand, spare, lifetime, is_settled));
        }
        grants
    }

    /// Takes what other entries, or this one, granted.
    ///
    /// A grant lapses its lifetime after it was asked for, which is before its owner lets go of it.
    fn apply(&mut self, now: Instant, grants: &[LimitGrant]) {
        let lifetime = self.grant_lifetime();
        for grant in grants {
            let Some(used) = self.accounts.get_mut(&grant.account) else {
                continue;
            };
            if grant.number <= used.grant_number {
                continue;
            }
            let share = used.share(now, self.entries);
            used.refill(now, share);
            if rest(grant.reserved, grant.share) != LimitShare::default() {
                // The next round confirms a lowered grant.
                used.asked_at = None;
            }
            used.reserved = grant.reserved;
            used.grant_number = grant.number;
            used.granted = grant.share;
            used.granted_until = used.lease_from + lifetime;
        }
    }
}

/// Returns what an entry needs and holds of one account.
///
/// A lowered grant is confirmed only once the requests in flight fit into it.
fn demand_of(now: Instant, account: &AccountName, used: &AccountUse, entries: u32) -> LimitDemand {
    let even = even_part(&used.limit, entries);
    let held = used.held(now, even);
    let fits = held.in_flight <= used.granted.in_flight;
    LimitDemand {
        account: account.clone(),
        wanted: used.wanted(now, even),
        held,
        applied_grant: used.grant_number.saturating_sub(u64::from(!fits)),
    }
}
