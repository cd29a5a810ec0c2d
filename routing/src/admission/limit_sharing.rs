//! Granting of shares of account limits by the entry that owns an account.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::limit::LimitDemand;
use jujubewall_protocol::limit::LimitGrant;
use jujubewall_protocol::limit::LimitShare;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::MemberName;
use tokio::time::Instant;
use twox_hash::XxHash64;

/// Returns the entry that owns an account and grants shares of its limits.
///
/// With rendezvous hashing, every entry determines the owner without exchanging
/// messages, and few accounts change owners when an entry joins or leaves.
pub(super) fn owner_of<'a>(
    account: &AccountName,
    members: &'a [MemberName],
) -> Option<&'a MemberName> {
    let account = XxHash64::oneshot(0, account.as_str().as_bytes());
    let score = |member: &&MemberName| XxHash64::oneshot(account, member.as_str().as_bytes());
    members.iter().max_by_key(score)
}

/// Combines two shares component-wise.
pub(super) fn combine(
    a: LimitShare,
    b: LimitShare,
    combine_rates: impl Fn(u64, u64) -> u64,
    combine_counts: impl Fn(u32, u32) -> u32,
) -> LimitShare {
    LimitShare {
        requests_per_1000_s: combine_rates(a.requests_per_1000_s, b.requests_per_1000_s),
        in_flight: combine_counts(a.in_flight, b.in_flight),
    }
}

/// Returns the component-wise minimum of two shares.
pub(super) fn component_min(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::min, u32::min)
}

/// Returns the component-wise maximum of two shares.
pub(super) fn component_max(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::max, u32::max)
}

/// Returns the component-wise difference `a - b`, saturating at zero.
pub(super) fn subtract(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::saturating_sub, u32::saturating_sub)
}

/// Returns the component-wise sum of two shares, saturating at the maximum.
pub(super) fn add(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::saturating_add, u32::saturating_add)
}

/// The share of one account that an entry holds, as known to the owner.
#[derive(Clone, Copy, Debug)]
struct HolderState {
    wanted: LimitShare,
    granted: LimitShare,
    /// The most that the entry may still be using.
    reserved: LimitShare,
    /// The number of the last grant, which rises with each grant.
    grant_number: u64,
    expires_at: Instant,
}

impl HolderState {
    /// Releases what an expired grant no longer reserves.
    ///
    /// Requests in flight were started under the grant and outlive it, so their
    /// number stays reserved until the entry itself releases it.
    fn expire(&mut self) {
        self.wanted = LimitShare::default();
        self.reserved.requests_per_1000_s = 0;
    }
}

/// The account limits that this entry owns and grants shares of.
#[derive(Debug, Default)]
pub(super) struct OwnedLimits {
    accounts: HashMap<AccountName, HashMap<MemberName, HolderState>>,
}

impl OwnedLimits {
    /// Answers the demand of one entry for an account of which `grantable` can be
    /// granted in total.
    ///
    /// A lowered share stays reserved until the entry confirms it, so the entries
    /// together never hold more than `grantable`. Until `is_settled` holds after a
    /// change of members, the owner only renews what an entry already holds.
    pub(super) fn on_demand(
        &mut self,
        now: Instant,
        member: &MemberName,
        demand: &LimitDemand,
        grantable: LimitShare,
        lifetime: Duration,
        is_settled: bool,
    ) -> LimitGrant {
        let holders = self.accounts.entry(demand.account.clone()).or_default();
        for (name, holder) in holders.iter_mut() {
            if name != member && holder.expires_at <= now {
                holder.expire();
            }
        }
        let others = holders.iter().filter(|(name, _)| *name != member);
        let others_reserved = others.fold(LimitShare::default(), |total, (_, holder)| {
            add(total, holder.reserved)
        });
        let available = subtract(grantable, others_reserved);
        let mut holder = holders.get(member).copied().unwrap_or(HolderState {
            wanted: demand.wanted,
            granted: demand.held,
            reserved: demand.held,
            grant_number: demand.applied_grant,
            expires_at: now,
        });
        if demand.applied_grant >= holder.grant_number {
            holder.reserved = holder.granted;
            holder.grant_number = demand.applied_grant;
        }
        holder.reserved = component_max(holder.reserved, demand.held);
        holder.wanted = demand.wanted;
        holders.insert(member.clone(), holder);
        let wanted = if is_settled {
            component_min(demand.wanted, fair_share(holders, grantable))
        } else {
            component_min(demand.wanted, demand.held)
        };
        holder.granted = component_min(wanted, available);
        holder.reserved = component_max(holder.reserved, holder.granted);
        holder.grant_number += 1;
        holder.expires_at = now + lifetime;
        holders.insert(member.clone(), holder);
        LimitGrant {
            account: demand.account.clone(),
            share: holder.granted,
            reserved: holder.reserved,
            number: holder.grant_number,
        }
    }

    /// Removes accounts that other entries own now or that are idle.
    ///
    /// A grant to an entry that is no longer live ends when it expires; one to a
    /// live entry ends once the entry has confirmed that it holds nothing.
    pub(super) fn retain(
        &mut self,
        now: Instant,
        is_live: impl Fn(&MemberName) -> bool,
        is_owned: impl Fn(&AccountName) -> bool,
    ) {
        self.accounts.retain(|account, holders| {
            holders.retain(|name, holder| {
                holder.expires_at > now || (is_live(name) && holder.reserved.in_flight > 0)
            });
            !holders.is_empty() && is_owned(account)
        });
    }
}

/// Returns the max-min fair share: the level at which the demands of all entries,
/// capped there, fit in `grantable`.
fn fair_share(holders: &HashMap<MemberName, HolderState>, grantable: LimitShare) -> LimitShare {
    let rates = holders
        .values()
        .map(|holder| holder.wanted.requests_per_1000_s);
    let counts = holders
        .values()
        .map(|holder| u64::from(holder.wanted.in_flight));
    let rate = water_level(rates.collect(), grantable.requests_per_1000_s);
    let count = water_level(counts.collect(), u64::from(grantable.in_flight));
    LimitShare {
        requests_per_1000_s: rate,
        in_flight: u32::try_from(count).unwrap_or(u32::MAX),
    }
}

/// Returns the highest level at which the demands, capped there, fit in
/// `capacity`.
fn water_level(mut demands: Vec<u64>, capacity: u64) -> u64 {
    demands.sort_unstable();
    let mut remaining = capacity;
    for (index, &demand) in demands.iter().enumerate() {
        let sharing = (demands.len() - index) as u64;
        let level = remaining / sharing;
        if demand >= level {
            return level;
        }
        remaining -= demand;
    }
    u64::MAX
}
