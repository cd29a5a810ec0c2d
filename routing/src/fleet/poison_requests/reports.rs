//! What gateways report to each other about requests that may crash upstreams.

use std::cmp::Reverse;
use std::time::Duration;

use jujubewall_types::id::RequestDigest;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::CrashId;
use super::ImplicatedCrash;
use super::MIN_CRASHES;
use super::MIN_CRASHES_IF_SOUND;
use super::PoisonRequests;
use super::RequestMark;
use super::Suspect;

/// How long a request that is not quarantined is reported after the last news of it. All
/// gateways have heard of it by then.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// The share of the reports that quarantined requests may take while others are to be
/// reported.
const QUARANTINED_SHARE: f64 = 0.5;

/// What a gateway knows of the crashes of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCrashReport {
    request: [u8; 8],
    crashes: Vec<ReportedCrash>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ReportedCrash {
    id: CrashId,
    /// The time since the crash. Hosts' clocks may differ, so no clock time is sent.
    age_ms: u32,
    mark: u8,
}

impl RequestCrashReport {
    /// Creates the report of a request's crashes and the times since them.
    pub fn new(
        request: RequestDigest,
        crashes: impl IntoIterator<Item = (CrashId, Duration, RequestMark)>,
    ) -> Self {
        let crashes = crashes.into_iter().map(|(id, age, mark)| ReportedCrash {
            id,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            mark: mark_code(mark),
        });
        Self {
            request: request.0.to_le_bytes(),
            crashes: crashes.collect(),
        }
    }

    /// Returns the request.
    pub const fn request(&self) -> RequestDigest {
        RequestDigest(u64::from_le_bytes(self.request))
    }

    /// Returns the crashes whose marks this build knows, with the times since them.
    pub fn crashes(&self) -> impl Iterator<Item = (CrashId, Duration, RequestMark)> + '_ {
        self.crashes.iter().filter_map(|crash| {
            let age = Duration::from_millis(crash.age_ms.into());
            Some((crash.id, age, mark_of_code(crash.mark)?))
        })
    }

    fn encoded_bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

const fn mark_code(mark: RequestMark) -> u8 {
    match mark {
        RequestMark::Implicated => 0,
        RequestMark::KnownSound => 1,
        RequestMark::Cleared => 2,
    }
}

const fn mark_of_code(code: u8) -> Option<RequestMark> {
    match code {
        0 => Some(RequestMark::Implicated),
        1 => Some(RequestMark::KnownSound),
        2 => Some(RequestMark::Cleared),
        _ => None,
    }
}

impl Suspect {
    /// Orders requests by how much is known against them, the least first.
    pub(super) fn rank(&self, now: Instant) -> (bool, usize, Reverse<Duration>) {
        let news_age = now.saturating_duration_since(self.news_at);
        let count = self.implicated().count();
        (self.is_quarantined, count, Reverse(news_age))
    }

    fn report(&self, request: RequestDigest, rotation: u64, now: Instant) -> RequestCrashReport {
        // The last ones, and of earlier ones others in each report.
        let mut crashes: SmallVec<[&ImplicatedCrash; 8]> = self.crashes.iter().rev().collect();
        if crashes.len() > MIN_CRASHES_IF_SOUND {
            crashes[MIN_CRASHES..]
                .sort_by_key(|crash| XxHash64::oneshot(rotation, &crash.id.0.to_le_bytes()));
            crashes.truncate(MIN_CRASHES_IF_SOUND);
        }
        let crashes = crashes.into_iter().map(|crash| {
            let age = now.saturating_duration_since(crash.at);
            (crash.id, age, crash.mark)
        });
        RequestCrashReport::new(request, crashes)
    }
}

impl PoisonRequests {
    /// Returns what to tell another gateway, in at most `max_bytes`: quarantined requests, and
    /// those of which something new was learned. If not all fit, the next call returns others.
    pub fn reports(&mut self, max_bytes: usize, now: Instant) -> Vec<RequestCrashReport> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        self.rotation = self.rotation.wrapping_add(1);
        // With each second report, requests with a single crash get their turn.
        let is_by_count = self.rotation.is_multiple_of(2);
        let mut quarantined = Vec::new();
        let mut open = Vec::new();
        for (request, suspect) in &self.suspects {
            let is_new = now.saturating_duration_since(suspect.news_at) < REPORT_TIME;
            let draw = XxHash64::oneshot(self.rotation, &request.0.to_le_bytes());
            if suspect.is_quarantined {
                quarantined.push((Reverse(usize::from(is_new)), draw, *request));
            } else if is_new {
                let count = suspect.implicated().count();
                let weight = if is_by_count { count } else { 0 };
                open.push((Reverse(weight), draw, *request));
            }
        }
        quarantined.sort_unstable();
        open.sort_unstable();
        let share = if open.is_empty() {
            1.0
        } else {
            QUARANTINED_SHARE
        };
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let quarantined_bytes = (max_bytes as f64 * share) as usize;
        let mut reports = Vec::new();
        // The number of reports is encoded before them.
        let mut used_bytes = 1;
        for (candidates, limit_bytes) in [(quarantined, quarantined_bytes), (open, max_bytes)] {
            for (_, _, request) in candidates {
                let report = self.suspects[&request].report(request, self.rotation, now);
                let bytes = report.encoded_bytes();
                if used_bytes + bytes > limit_bytes {
                    break;
                }
                used_bytes += bytes;
                reports.push(report);
            }
        }
        reports
    }
}
