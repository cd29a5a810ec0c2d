//! The sharing-out of accounts' limits by the entry that owns an account.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::limit::LimitDemand;
use jujubewall_protocol::limit::LimitGrant;
use jujubewall_protocol::limit::LimitShare;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::MemberName;
use tokio::time::Instant;
use twox_hash::XxHash64;

/// Returns the entry that shares out an account's limits.
///
/// Rendezvous hashing lets every entry find it without talking to the others,
/// and moves few accounts when an entry comes or goes.
pub(super) fn owner_of<'a>(
    account: &AccountName,
    members: &'a [MemberName],
) -> Option<&'a MemberName> {
    let account = XxHash64::oneshot(0, account.as_str().as_bytes());
    let score = |member: &&MemberName| XxHash64::oneshot(account, member.as_str().as_bytes());
    members.iter().max_by_key(score)
}

/// Combines two shares part by part.
pub(super) fn combine(
    a: LimitShare,
    b: LimitShare,
    rates: impl Fn(u64, u64) -> u64,
    counts: impl Fn(u32, u32) -> u32,
) -> LimitShare {
    LimitShare {
        requests_per_1000_s: rates(a.requests_per_1000_s, b.requests_per_1000_s),
        in_flight: counts(a.in_flight, b.in_flight),
    }
}

/// Returns the lower of two shares part by part.
pub(super) fn lower(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::min, u32::min)
}

/// Returns the higher of two shares part by part.
pub(super) fn higher(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::max, u32::max)
}

/// Returns what is left of a share.
pub(super) fn rest(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::saturating_sub, u32::saturating_sub)
}

/// Returns the sum of two shares.
pub(super) fn sum(a: LimitShare, b: LimitShare) -> LimitShare {
    combine(a, b, u64::saturating_add, u32::saturating_add)
}

/// What one entry holds of one account, as its owner knows it.
#[derive(Clone, Copy, Debug)]
struct Holder {
    wanted: LimitShare,
    granted: LimitShare,
    /// The most that the entry may still be using.
    reserved: LimitShare,
    number: u64,
    expires: Instant,
}

impl Holder {
    /// Takes back what the lapse of a grant frees.
    ///
    /// Requests in flight were started under the grant and outlive it, so their
    /// number stays reserved until the entry itself has let go of it.
    fn lapse(&mut self) {
        self.wanted = LimitShare::default();
        self.reserved.requests_per_1000_s = 0;
    }
}

/// The limits that this entry shares out.
#[derive(Debug, Default)]
pub(super) struct OwnedLimits {
    accounts: HashMap<AccountName, HashMap<MemberName, Holder>>,
}

impl OwnedLimits {
    /// Answers what one entry wants of an account of which `spare` is shared out.
    ///
    /// A lowered share stays reserved until the entry confirms it, so the entries
    /// together never hold more than `spare`. While the owner is new it only
    /// renews what an entry holds already.
    pub(super) fn on_demand(
        &mut self,
        now: Instant,
        member: &MemberName,
        demand: &LimitDemand,
        spare: LimitShare,
        grant: Duration,
        is_settled: bool,
    ) -> LimitGrant {
        let holders = self.accounts.entry(demand.account.clone()).or_default();
        for (name, holder) in holders.iter_mut() {
            if name != member && holder.expires <= now {
                holder.lapse();
            }
        }
        let others = holders.iter().filter(|(name, _)| *name != member);
        let others_reserved = others.fold(LimitShare::default(), |total, (_, holder)| {
            sum(total, holder.reserved)
        });
        let available = rest(spare, others_reserved);
        let mut holder = holders.get(member).copied().unwrap_or(Holder {
            wanted: demand.wanted,
            granted: demand.held,
            reserved: demand.held,
            number: demand.applied_grant,
            expires: now,
        });
        if demand.applied_grant >= holder.number {
            holder.reserved = holder.granted;
            holder.number = demand.applied_grant;
        }
        holder.reserved = higher(holder.reserved, demand.held);
        holder.wanted = demand.wanted;
        holders.insert(member.clone(), holder);
        let target = if is_settled {
            lower(demand.wanted, fair_share(holders, spare))
        } else {
            lower(demand.wanted, demand.held)
        };
        holder.granted = lower(target, available);
        holder.reserved = higher(holder.reserved, holder.granted);
        holder.number += 1;
        holder.expires = now + grant;
        holders.insert(member.clone(), holder);
        LimitGrant {
            account: demand.account.clone(),
            share: holder.granted,
            reserved: holder.reserved,
            number: holder.number,
        }
    }

    /// Forgets accounts that other entries own now, or that are idle.
    ///
    /// A grant of an entry that is no longer live ends with its lifetime; one of
    /// a live entry ends once the entry has confirmed that it holds nothing.
    pub(super) fn retain(
        &mut self,
        now: Instant,
        is_live: impl Fn(&MemberName) -> bool,
        is_owned: impl Fn(&AccountName) -> bool,
    ) {
        self.accounts.retain(|account, holders| {
            holders.retain(|name, holder| {
                holder.expires > now || (is_live(name) && holder.reserved.in_flight > 0)
            });
            !holders.is_empty() && is_owned(account)
        });
    }
}

/// Returns the level at which what all entries want, cut off there, fits.
fn fair_share(holders: &HashMap<MemberName, Holder>, spare: LimitShare) -> LimitShare {
    let rates = holders.values().map(|h| h.wanted.requests_per_1000_s);
    let counts = holders.values().map(|h| u64::from(h.wanted.in_flight));
    let rate = water_level(rates.collect(), spare.requests_per_1000_s);
    let count = water_level(counts.collect(), u64::from(spare.in_flight));
    LimitShare {
        requests_per_1000_s: rate,
        in_flight: u32::try_from(count).unwrap_or(u32::MAX),
    }
}

/// Returns the highest level at which the wants, cut off there, fit in `spare`.
fn water_level(mut wants: Vec<u64>, spare: u64) -> u64 {
    wants.sort_unstable();
    let mut left = spare;
    for (index, &want) in wants.iter().enumerate() {
        let sharing = (wants.len() - index) as u64;
        let level = left / sharing;
        if want >= level {
            return level;
        }
        left -= want;
    }
    u64::MAX
}
