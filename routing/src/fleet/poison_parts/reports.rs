//! What gateways report to each other about crashes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use jujubewall_types::id::PromptPartKey;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::Crash;
use super::CrashId;
use super::KEPT_CRASHES;
use super::PartMark;
use super::PoisonParts;

/// How long a crash is reported after the last news of it if no conviction explains it and it
/// shares no part with another one. All gateways have heard of it by then.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// The number of parts of one crash that one message names.
const MAX_REPORTED_PARTS: usize = 8;

/// The number of cleared parts that are named with the convicted ones of a crash.
const MAX_REPORTED_CLEARED_PARTS: usize = 2;

/// The share of the reports that convictions may take while other crashes are to be reported.
const CONVICTION_SHARE: f64 = 0.6;

/// What a gateway knows of one crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    crash: CrashId,
    /// The time since the crash. Hosts' clocks may differ, so no clock time is sent.
    age_ms: u32,
    /// The bytes of the parts' keys and the codes of their marks.
    parts: Vec<([u8; 8], u8)>,
}

impl CrashReport {
    /// Creates the report of a crash of the given age.
    pub fn new(
        crash: CrashId,
        age: Duration,
        parts: impl IntoIterator<Item = (PromptPartKey, PartMark)>,
    ) -> Self {
        Self {
            crash,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            parts: parts
                .into_iter()
                .map(|(part, mark)| (part.0.to_le_bytes(), mark_code(mark)))
                .collect(),
        }
    }

    /// Returns which crash this is.
    pub const fn crash(&self) -> CrashId {
        self.crash
    }

    /// Returns the time since the crash.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Returns the parts whose marks this build knows.
    pub fn parts(&self) -> impl Iterator<Item = (PromptPartKey, PartMark)> + '_ {
        self.parts.iter().filter_map(|(bytes, code)| {
            let part = PromptPartKey(u64::from_le_bytes(*bytes));
            Some((part, mark_of_code(*code)?))
        })
    }

    fn encoded_bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

const fn mark_code(mark: PartMark) -> u8 {
    match mark {
        PartMark::Implicated => 0,
        PartMark::KnownSound => 1,
        PartMark::Confirmed => 2,
        PartMark::Cleared => 3,
    }
}

const fn mark_of_code(code: u8) -> Option<PartMark> {
    match code {
        0 => Some(PartMark::Implicated),
        1 => Some(PartMark::KnownSound),
        2 => Some(PartMark::Confirmed),
        3 => Some(PartMark::Cleared),
        _ => None,
    }
}

impl PoisonParts {
    /// Returns what to tell another gateway, in at most `max_bytes`: the crashes that convict
    /// parts, then those that may come to. If not all fit, the next call returns others.
    pub fn reports(&mut self, max_bytes: usize, now: Instant) -> Vec<CrashReport> {
        self.rotation = self.rotation.wrapping_add(1);
        let open = self.open_reports(now);
        let convicting = self.conviction_reports(now);
        let share = if open.is_empty() {
            1.0
        } else {
            CONVICTION_SHARE
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let conviction_bytes = (max_bytes as f64 * share) as usize;
        let mut reports = Vec::new();
        // The number of reports is encoded before them.
        let mut used = 1;
        let limits = [(convicting, conviction_bytes), (open, max_bytes)];
        for (candidates, limit) in limits {
            for report in candidates {
                let bytes = report.encoded_bytes();
                if used + bytes <= limit {
                    used += bytes;
                    reports.push(report);
                }
            }
        }
        reports
    }

    /// Returns the last crashes of each quarantined part, in varying order.
    fn conviction_reports(&self, now: Instant) -> Vec<CrashReport> {
        let mut convictions: Vec<_> = self.in_force.iter().collect();
        if !convictions.is_empty() {
            let len = u64::try_from(convictions.len()).unwrap_or(u64::MAX);
            let turn = usize::try_from(self.rotation % len).unwrap_or(0);
            convictions.rotate_left(turn);
        }
        let mut reports = Vec::new();
        for conviction in convictions {
            for id in conviction.crashes.iter().rev().take(KEPT_CRASHES) {
                let Some(crash) = self.crashes.get(id) else {
                    continue;
                };
                let convicted = crash.parts.iter().copied();
                let convicted = convicted.filter(|(part, _)| conviction.parts.contains(part));
                let cleared = crash.parts.iter().copied();
                let cleared = cleared.filter(|(_, mark)| *mark == PartMark::Cleared);
                let parts = convicted.chain(cleared.take(MAX_REPORTED_CLEARED_PARTS));
                let age = now.saturating_duration_since(crash.at);
                reports.push(CrashReport::new(*id, age, parts));
            }
        }
        reports
    }

    /// Returns the crashes that no conviction explains: by turns those first whose parts are in
    /// the most crashes, and those of which something new was learned, such as that some parts
    /// are cleared.
    fn open_reports(&self, now: Instant) -> Vec<CrashReport> {
        let explained: BTreeSet<CrashId> = self
            .convictions
            .iter()
            .flat_map(|conviction| conviction.crashes.iter().copied())
            .collect();
        let open: Vec<(CrashId, &Crash)> = self
            .crashes
            .iter()
            .filter(|(id, _)| !explained.contains(id))
            .map(|(id, crash)| (*id, crash))
            .collect();
        let mut counts: BTreeMap<PromptPartKey, usize> = BTreeMap::new();
        for (_, crash) in &open {
            for (part, _) in crash.implicated() {
                *counts.entry(part).or_default() += 1;
            }
        }
        let count_of = |part: PromptPartKey| counts.get(&part).copied().unwrap_or_default();
        let is_by_count = self.rotation.is_multiple_of(2);
        let mut ranked: Vec<(usize, Duration, u64, CrashReport)> = Vec::new();
        for (id, crash) in open {
            let most = crash.implicated().map(|(part, _)| count_of(part)).max();
            let most = most.unwrap_or_default();
            let age = now.saturating_duration_since(crash.at);
            let news_age = now.saturating_duration_since(crash.news_at);
            if news_age >= REPORT_TIME && most < 2 {
                continue;
            }
            let mut parts: SmallVec<[(PromptPartKey, PartMark); 8]> = crash.parts.clone();
            parts.sort_by_cached_key(|(part, mark)| {
                let count = if *mark == PartMark::Cleared && is_by_count {
                    0
                } else {
                    count_of(*part)
                };
                (Reverse(count), self.draw(part.0))
            });
            parts.truncate(MAX_REPORTED_PARTS);
            let report = CrashReport::new(id, age, parts);
            ranked.push((most, news_age, self.draw(id.0.into()), report));
        }
        if is_by_count {
            ranked.sort_by_key(|(most, _, draw, _)| (Reverse(*most), *draw));
        } else {
            ranked.sort_by_key(|(_, news_age, draw, _)| (*news_age, *draw));
        }
        ranked.into_iter().map(|(_, _, _, report)| report).collect()
    }

    /// Returns a number that orders equally important entries differently at each call.
    fn draw(&self, entry: u64) -> u64 {
        XxHash64::oneshot(self.rotation, &entry.to_le_bytes())
    }
}
