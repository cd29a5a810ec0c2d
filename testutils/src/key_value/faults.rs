//! Faults of the key-value service and counts of its calls.

use std::time::Duration;

use jujubewall_platform::error::PlatformError;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::rate::CallKind;
use super::rate::RateLimit;

/// The number of parts in a permille.
const PERMILLE: u32 = 1000;

/// How the service fails as a whole.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// The service works.
    #[default]
    None,
    /// The service refuses every call at once.
    Refusing,
    /// The service answers no call.
    Silent,
}

/// The faults that a test can set.
#[derive(Clone, Debug, Default)]
pub struct KeyValueFaults {
    /// How the service fails as a whole.
    pub outage: Outage,
    /// The time by which each call is late.
    pub delay: Duration,
    /// The number of next calls whose replies are lost after the effect.
    pub lose_next_replies: u32,
    /// How many of a thousand replies are lost after the effect.
    pub lose_reply_permille: u32,
    /// The number of next writes whose replies are lost and whose effects come late.
    pub delay_next_effects: u32,
    /// The time by which those effects are late.
    pub effect_delay: Duration,
    /// Whether watches are never answered.
    pub silent_watches: bool,
    /// The number of writes that are allowed a second.
    pub writes_per_s: Option<u32>,
    /// The number of reads that are allowed a second; a watch is one read.
    pub reads_per_s: Option<u32>,
}

/// How often each kind of call arrived.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of one key.
    pub gets: u64,
    /// Reads of a prefix.
    pub lists: u64,
    /// Compare-and-swap calls.
    pub swaps: u64,
    /// Removals.
    pub deletes: u64,
    /// Watches.
    pub watches: u64,
    /// Leases granted.
    pub grants: u64,
    /// Leases kept alive.
    pub keep_alives: u64,
    /// Leases revoked.
    pub revokes: u64,
}

impl CallCounts {
    /// Returns the number of calls that count as writes.
    pub const fn writes(&self) -> u64 {
        self.swaps + self.deletes + self.grants + self.keep_alives + self.revokes
    }

    /// Returns the number of calls that count as reads.
    pub const fn reads(&self) -> u64 {
        self.gets + self.lists + self.watches
    }

    fn of_kind(&mut self, kind: CallKind) -> &mut u64 {
        match kind {
            CallKind::Get => &mut self.gets,
            CallKind::List => &mut self.lists,
            CallKind::CompareAndSwap => &mut self.swaps,
            CallKind::Delete => &mut self.deletes,
            CallKind::Watch => &mut self.watches,
            CallKind::GrantLease => &mut self.grants,
            CallKind::KeepAlive => &mut self.keep_alives,
            CallKind::RevokeLease => &mut self.revokes,
        }
    }
}

/// What happens to a call that has been admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplyFate {
    Delivered,
    Lost,
    EffectDelayed(Duration),
}

impl ReplyFate {
    /// Fails if the reply is lost.
    pub(super) fn deliver(self) -> Result<(), PlatformError> {
        match self {
            Self::Delivered => Ok(()),
            Self::Lost | Self::EffectDelayed(_) => {
                Err(PlatformError::ReplyLost("the reply is dropped".into()))
            }
        }
    }
}

/// The faults together with what they have used up.
pub(super) struct FaultState {
    pub(super) settings: KeyValueFaults,
    pub(super) counts: CallCounts,
    rng: ChaCha8Rng,
    writes: RateLimit,
    reads: RateLimit,
}

impl Default for FaultState {
    fn default() -> Self {
        Self::with_seed(0)
    }
}

impl FaultState {
    pub(super) fn with_seed(seed: u64) -> Self {
        Self {
            settings: KeyValueFaults::default(),
            counts: CallCounts::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            writes: RateLimit::default(),
            reads: RateLimit::default(),
        }
    }

    /// Counts a call and returns the time by which it is late.
    pub(super) fn count(&mut self, kind: CallKind) -> Duration {
        *self.counts.of_kind(kind) += 1;
        self.settings.delay
    }

    /// Applies the rate limits and decides what happens to the reply.
    pub(super) fn admit(
        &mut self,
        kind: CallKind,
        now: Instant,
    ) -> Result<ReplyFate, PlatformError> {
        let allowed = if kind.is_write() {
            self.writes.take(self.settings.writes_per_s, now)
        } else {
            self.reads.take(self.settings.reads_per_s, now)
        };
        if !allowed {
            return Err(PlatformError::RateLimited);
        }
        Ok(self.fate(kind))
    }

    fn fate(&mut self, kind: CallKind) -> ReplyFate {
        let settings = &mut self.settings;
        if kind.is_swap() && settings.delay_next_effects > 0 {
            settings.delay_next_effects -= 1;
            return ReplyFate::EffectDelayed(settings.effect_delay);
        }
        if settings.lose_next_replies > 0 {
            settings.lose_next_replies -= 1;
            return ReplyFate::Lost;
        }
        if settings.lose_reply_permille == 0 {
            return ReplyFate::Delivered;
        }
        if self.rng.random_range(0..PERMILLE) < settings.lose_reply_permille {
            ReplyFate::Lost
        } else {
            ReplyFate::Delivered
        }
    }
}
