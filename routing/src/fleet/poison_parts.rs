//! Which parts of prompts crash engines, and which requests are therefore not sent.
//!
//! Gateways tell each other the crashes that they see, each with the prompt parts of the
//! runs that had just begun on the crashed engine. All derive the same convictions from
//! the union of these crashes (see [`judgement`]), so nothing has to be agreed on. Runs
//! that wrote events for a while clear their parts of earlier crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use jujubewall_types::id::PromptPartKey;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::recent_successes::RecentSuccesses;
use super::recent_successes::Soundness;

mod judgement;
mod reports;

pub use self::judgement::Conviction;
pub use self::reports::CrashReport;

/// The time after its first event for which a run is young. An engine crashes on a part of a
/// prompt when it begins to write, so a run that has written for longer is not the cause.
pub const YOUNG_TIME: Duration = Duration::from_millis(300);

/// How long a part is quarantined after the last crash in which it was implicated.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// How long a part is on probation after its quarantine: one more crash convicts it again.
pub const PROBATION_TIME: Duration = Duration::from_hours(1);

/// How long a crash is remembered.
const CRASH_RETENTION: Duration = QUARANTINE_TIME.saturating_add(PROBATION_TIME);

/// The number of crashes that are remembered. Those that convict a part go last.
const MAX_CRASHES: usize = 128;

/// The number of parts that are remembered for one crash.
const MAX_PARTS_PER_CRASH: usize = 48;

/// The number of parts that are quarantined at the same time.
const MAX_CONVICTIONS: usize = 32;

/// The number of crashes that are kept for each convicted part.
const KEPT_CRASHES: usize = 4;

/// Identifies the crash of one incarnation of an engine: the lower half of its digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u32);

impl CrashId {
    /// Returns the crash of the engine incarnation with the given digest.
    #[allow(clippy::cast_possible_truncation)]
    pub const fn of_instance(digest: u64) -> Self {
        Self(digest as u32)
    }
}

/// What is known of a part in one crash. When gateways know different things, the greatest
/// applies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PartMark {
    /// A young run on the crashed engine held the part.
    Implicated,
    /// Also, runs that held the part succeeded not long before the crash.
    KnownSound,
    /// No success has followed in the time in which one was expected.
    Confirmed,
    /// A run that held the part began after the crash and succeeded.
    Cleared,
}

/// A crash of an engine.
#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    /// When something new was last learned of the crash, or another gateway was last seen to
    /// know less.
    news_at: Instant,
    parts: SmallVec<[(PromptPartKey, PartMark); 8]>,
}

impl Crash {
    fn mark(&self, part: PromptPartKey) -> Option<PartMark> {
        let mut parts = self.parts.iter();
        parts.find(|(key, _)| *key == part).map(|(_, mark)| *mark)
    }

    /// Returns the parts that may have caused the crash.
    fn implicated(&self) -> impl Iterator<Item = (PromptPartKey, PartMark)> + '_ {
        let parts = self.parts.iter().copied();
        parts.filter(|(_, mark)| *mark != PartMark::Cleared)
    }
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// The request may be sent.
    Allow,
    /// The request holds quarantined parts.
    Reject {
        /// The rest of the quarantine.
        retry_after: Duration,
    },
}

/// A change of the quarantined parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// Requests that hold all of these parts are no longer sent.
    Quarantined(Conviction),
    /// Requests that hold these parts are sent again.
    Released(Conviction),
}

/// What a gateway knows of crashes and of the prompt parts that may have caused them.
#[derive(Debug, Default)]
pub struct PoisonParts {
    crashes: BTreeMap<CrashId, Crash>,
    sound: RecentSuccesses<PromptPartKey>,
    /// The crashes that each quarantined request caused.
    by_requests: Vec<BTreeSet<CrashId>>,
    /// All convictions, including those whose quarantine has ended.
    convictions: Vec<Conviction>,
    /// The convictions whose quarantine has been announced as a change.
    in_force: Vec<Conviction>,
    /// When the convictions may change although no news has arrived.
    judge_at: Option<Instant>,
    has_news: bool,
    /// Varies which of many crashes are reported.
    rotation: u64,
}

impl PoisonParts {
    /// Creates a table that knows no crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an engine crashed while young runs that held `parts` were on it.
    pub fn on_crash(&mut self, crash: CrashId, parts: &[PromptPartKey], at: Instant, now: Instant) {
        for part in parts {
            self.merge(crash, at, (*part, PartMark::Implicated), now);
        }
    }

    /// Records that a run which held `parts` and began at `started_at` has written events for
    /// longer than [`YOUNG_TIME`].
    pub fn on_success(&mut self, parts: &[PromptPartKey], started_at: Instant, now: Instant) {
        self.sound.note(parts, started_at, now);
        for crash in self.crashes.values_mut() {
            if crash.at >= started_at {
                continue;
            }
            for (part, mark) in &mut crash.parts {
                if *mark != PartMark::Cleared && parts.contains(part) {
                    *mark = PartMark::Cleared;
                    crash.news_at = now;
                    self.has_news = true;
                }
            }
        }
    }

    /// Applies what another gateway knows of crashes.
    pub fn apply_reports(&mut self, reports: &[CrashReport], now: Instant) {
        for report in reports {
            let age = report.age();
            if age >= CRASH_RETENTION {
                continue;
            }
            let at = now.checked_sub(age).unwrap_or(now);
            for part in report.parts() {
                self.merge(report.crash(), at, part, now);
            }
        }
    }

    /// Merges news of a crash. The earliest time applies: later ones include delays of
    /// messages, which would add up as gateways relay them.
    fn merge(
        &mut self,
        id: CrashId,
        at: Instant,
        (part, mark): (PromptPartKey, PartMark),
        now: Instant,
    ) {
        if !self.crashes.contains_key(&id) {
            self.make_room();
        }
        let crash = self.crashes.entry(id).or_insert_with(|| Crash {
            at,
            news_at: now,
            parts: SmallVec::new(),
        });
        crash.at = crash.at.min(at);
        let own_mark = match self.sound.soundness(part, crash.at) {
            Soundness::Unknown => PartMark::Implicated,
            Soundness::SoundBefore => PartMark::KnownSound,
            Soundness::SoundSince => PartMark::Cleared,
        };
        let index = crash.parts.iter().position(|(known, _)| *known == part);
        if let Some(index) = index {
            let known = &mut crash.parts[index].1;
            if *known == PartMark::Cleared && mark < PartMark::Cleared {
                crash.news_at = now;
            }
            if *known >= mark.max(own_mark) {
                return;
            }
            *known = mark.max(own_mark);
        } else if crash.parts.len() < MAX_PARTS_PER_CRASH {
            crash.parts.push((part, mark.max(own_mark)));
        } else {
            return;
        }
        crash.news_at = now;
        self.has_news = true;
    }

    /// Removes the oldest crash that no conviction needs if there are too many.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let pinned: BTreeSet<CrashId> = self
            .convictions
            .iter()
            .flat_map(|conviction| conviction.crashes.iter().rev().take(KEPT_CRASHES))
            .copied()
            .collect();
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(id, crash)| (pinned.contains(id), crash.at))
            .map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.crashes.remove(&oldest);
        }
    }

    /// Takes note of the crashes that each quarantined request caused, as far as is known.
    pub fn set_crashes_by_requests(&mut self, crashes: Vec<BTreeSet<CrashId>>) {
        if self.by_requests != crashes {
            self.by_requests = crashes;
            self.has_news = true;
        }
    }

    /// Derives the convictions from what is known, and returns how the quarantined parts have
    /// changed since the last call.
    pub fn refresh(&mut self, now: Instant) -> Vec<PartChange> {
        let is_due = self.judge_at.is_some_and(|at| at <= now);
        if !self.has_news && !is_due {
            return Vec::new();
        }
        self.has_news = false;
        self.crashes
            .retain(|_, crash| now.saturating_duration_since(crash.at) < CRASH_RETENTION);
        let judgement = judgement::judge(
            &self.crashes,
            &self.by_requests,
            self.sound.newest_start(),
            now,
        );
        self.convictions = judgement.convictions;
        self.confirm_convicted();
        let in_force: Vec<Conviction> = self
            .convictions
            .iter()
            .filter(|conviction| conviction.is_in_force(now))
            .cloned()
            .collect();
        let ends = in_force.iter().map(Conviction::ends_at);
        let expiries = self
            .crashes
            .values()
            .map(|crash| crash.at + CRASH_RETENTION);
        self.judge_at = ends.chain(expiries).chain(judgement.next_at).min();
        let is_among = |conviction: &Conviction, list: &[Conviction]| {
            list.iter().any(|other| other.parts == conviction.parts)
        };
        let released = self
            .in_force
            .iter()
            .filter(|conviction| !is_among(conviction, &in_force))
            .map(|conviction| PartChange::Released(conviction.clone()));
        let quarantined = in_force
            .iter()
            .filter(|conviction| !is_among(conviction, &self.in_force))
            .map(|conviction| PartChange::Quarantined(conviction.clone()));
        let changes = released.chain(quarantined).collect();
        self.in_force = in_force;
        changes
    }

    /// Tells gateways that have not waited for a success that it has not come.
    fn confirm_convicted(&mut self) {
        for conviction in &self.convictions {
            for id in &conviction.crashes {
                let Some(crash) = self.crashes.get_mut(id) else {
                    continue;
                };
                for (part, mark) in &mut crash.parts {
                    if *mark == PartMark::KnownSound && conviction.parts.contains(part) {
                        *mark = PartMark::Confirmed;
                    }
                }
            }
        }
    }

    /// Returns whether a request that holds `parts` may be sent, as of the last call of
    /// [`Self::refresh`].
    pub fn verdict(&self, parts: &[PromptPartKey], now: Instant) -> PartVerdict {
        let ends = self
            .in_force
            .iter()
            .filter(|conviction| conviction.parts.iter().all(|part| parts.contains(part)))
            .map(Conviction::ends_at);
        match ends.max() {
            Some(at) if at > now => PartVerdict::Reject {
                retry_after: at - now,
            },
            _ => PartVerdict::Allow,
        }
    }

    /// Returns the quarantined parts, as of the last call of [`Self::refresh`].
    pub fn quarantined(&self) -> &[Conviction] {
        &self.in_force
    }

    /// Returns the time since a crash, if it is known.
    pub fn crash_age(&self, crash: CrashId, now: Instant) -> Option<Duration> {
        let crash = self.crashes.get(&crash)?;
        Some(now.saturating_duration_since(crash.at))
    }

    /// Returns the number of crashes in which a part is implicated.
    pub fn crash_count(&self, part: PromptPartKey) -> usize {
        let is_implicated = |crash: &&Crash| {
            crash
                .mark(part)
                .is_some_and(|mark| mark != PartMark::Cleared)
        };
        self.crashes.values().filter(is_implicated).count()
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the numbers of crashes and of entries of parts that are remembered.
    pub fn sizes(&self) -> (usize, usize) {
        let parts: usize = self.crashes.values().map(|crash| crash.parts.len()).sum();
        (self.crashes.len(), parts + self.sound.key_count())
    }
}
