//! Which requests crash the upstreams that run them, and are therefore not sent.
//!
//! Such a request comes again under another identifier, at any gateway, so that no gateway
//! sees enough of its crashes to draw a conclusion. Gateways tell each other in which crashes
//! a request was running, and all derive the same quarantine from the union of what they
//! know, so nothing has to be agreed on. A run that succeeds clears its request of all
//! earlier crashes.
//!
//! A request that happened to run on a crashed upstream is implicated like the one that
//! crashed it. It is told apart by the number of crashes, since it is not there at the next.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::RequestDigest;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::poison_parts::CrashId;
use super::poison_parts::PROBATION_TIME;
use super::poison_parts::QUARANTINE_TIME;
use super::recent_successes::RecentSuccesses;
use super::recent_successes::Soundness;

mod reports;

pub use self::reports::RequestCrashReport;

/// The number of crashes from which a request is quarantined.
pub const MIN_CRASHES: usize = 3;

/// The number of crashes from which a request is quarantined that succeeded before them, if
/// they are in [`MIN_CRASHES`] events: many clients may send the same short request, and a
/// service can lose all its upstreams at once.
pub const MIN_CRASHES_IF_SOUND: usize = 5;

/// The time from the first of several crashes in which others belong to the same event.
const EVENT_SPAN: Duration = Duration::from_millis(150);

/// How long a crash is remembered.
const CRASH_RETENTION: Duration = QUARANTINE_TIME.saturating_add(PROBATION_TIME);

/// The number of crashes that are remembered of one request, the last ones.
const MAX_CRASHES_PER_REQUEST: usize = 32;

/// The number of requests that are remembered. Those with the fewest and oldest crashes go
/// first.
const MAX_REQUESTS: usize = 2_048;

/// The share of the requests that stays when there are too many.
const KEPT_SHARE: f64 = 0.75;

/// What is known of a request in one crash. When gateways know different things, the greatest
/// applies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestMark {
    /// A young run of the request was on the crashed upstream.
    Implicated,
    /// Also, the request had succeeded not long before the crash.
    KnownSound,
    /// A run of the request succeeded after the crash.
    Cleared,
}

/// A crash in which a request was implicated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ImplicatedCrash {
    id: CrashId,
    at: Instant,
    mark: RequestMark,
}

/// The crashes in which one request was implicated.
#[derive(Clone, Debug)]
struct Suspect {
    /// The last crash last.
    crashes: SmallVec<[ImplicatedCrash; 4]>,
    /// When something new was last learned of the request.
    news_at: Instant,
    is_quarantined: bool,
}

impl Suspect {
    const fn new(now: Instant) -> Self {
        Self {
            crashes: SmallVec::new_const(),
            news_at: now,
            is_quarantined: false,
        }
    }

    fn implicated(&self) -> impl Iterator<Item = &ImplicatedCrash> {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.mark != RequestMark::Cleared)
    }

    /// Returns whether the crashes suffice for a quarantine.
    fn is_convicted(&self) -> bool {
        let is_sound = self
            .implicated()
            .any(|crash| crash.mark == RequestMark::KnownSound);
        let count = self.implicated().count();
        if is_sound {
            count >= MIN_CRASHES_IF_SOUND && self.event_count() >= MIN_CRASHES
        } else {
            count >= MIN_CRASHES
        }
    }

    /// Returns the number of events to which the crashes belong.
    fn event_count(&self) -> usize {
        let mut count = 0;
        let mut event_at: Option<Instant> = None;
        for crash in self.implicated() {
            if event_at.is_none_or(|at| crash.at > at + EVENT_SPAN) {
                count += 1;
                event_at = Some(crash.at);
            }
        }
        count
    }

    /// Returns whether all crashes of this request are among the more numerous ones of another.
    fn is_explained_by(&self, other: &Self) -> bool {
        other.implicated().count() > self.implicated().count()
            && self
                .implicated()
                .all(|crash| other.implicated().any(|known| known.id == crash.id))
    }

    /// Returns when the last crash happened that is not cleared.
    fn last_crash_at(&self) -> Option<Instant> {
        self.implicated().map(|crash| crash.at).max()
    }

    fn quarantine_end(&self) -> Option<Instant> {
        let last = self.last_crash_at().filter(|_| self.is_convicted())?;
        Some(last + QUARANTINE_TIME)
    }

    /// Merges news of a crash; returns whether it changes anything. The earliest time of a
    /// crash applies: later ones include delays of messages, which would add up as gateways
    /// relay them.
    fn merge(&mut self, news: ImplicatedCrash) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.id == news.id);
        let has_changed = if let Some(known) = known {
            known.at = known.at.min(news.at);
            let is_higher = news.mark > known.mark;
            known.mark = known.mark.max(news.mark);
            is_higher
        } else {
            self.crashes.push(news);
            true
        };
        self.crashes.sort_by_key(|crash| (crash.at, crash.id));
        if self.crashes.len() > MAX_CRASHES_PER_REQUEST {
            self.crashes.remove(0);
        }
        has_changed
    }
}

/// A change of the quarantined requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestChange {
    /// The request is no longer sent.
    Quarantined(RequestDigest),
    /// The request is sent again.
    Released(RequestDigest),
}

/// A quarantined request, for the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: RequestDigest,
    /// The crashes that are not cleared and the times since them, the last one last.
    pub crashes: SmallVec<[(CrashId, Duration); 4]>,
    /// The rest of the quarantine.
    pub left: Duration,
}

/// What a gateway knows of crashes and of the requests that may have caused them.
#[derive(Debug, Default)]
pub struct PoisonRequests {
    suspects: HashMap<RequestDigest, Suspect>,
    successes: RecentSuccesses<RequestDigest>,
    changes: Vec<RequestChange>,
    /// Varies which of many requests are reported.
    rotation: u64,
}

impl PoisonRequests {
    /// Creates a table that knows no crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream crashed while a young run of a request was on it.
    pub fn on_crash(&mut self, request: RequestDigest, id: CrashId, at: Instant, now: Instant) {
        let mark = RequestMark::Implicated;
        self.merge(request, ImplicatedCrash { id, at, mark }, now);
    }

    /// Records that a run has succeeded. A request that crashes upstreams never does, so the
    /// crashes during the run are cleared as well.
    pub fn on_success(&mut self, request: RequestDigest, now: Instant) {
        self.successes.note(&[request], now, now);
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        for crash in &mut suspect.crashes {
            if crash.at < now && crash.mark != RequestMark::Cleared {
                crash.mark = RequestMark::Cleared;
                suspect.news_at = now;
            }
        }
        self.judge(request, now);
    }

    /// Applies what another gateway knows.
    pub fn apply_reports(&mut self, reports: &[RequestCrashReport], now: Instant) {
        for report in reports {
            for (id, age, mark) in report.crashes() {
                if age < CRASH_RETENTION {
                    let at = now.checked_sub(age).unwrap_or(now);
                    self.merge(report.request(), ImplicatedCrash { id, at, mark }, now);
                }
            }
        }
    }

    fn merge(&mut self, request: RequestDigest, mut news: ImplicatedCrash, now: Instant) {
        if !self.suspects.contains_key(&request) && self.suspects.len() >= MAX_REQUESTS {
            self.forget_least_suspicious(now);
        }
        let own_mark = match self.successes.soundness(request, news.at) {
            Soundness::Unknown => RequestMark::Implicated,
            Soundness::SoundBefore => RequestMark::KnownSound,
            Soundness::SoundSince => RequestMark::Cleared,
        };
        news.mark = news.mark.max(own_mark);
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        if !suspect.merge(news) {
            return;
        }
        suspect.news_at = now;
        self.judge(request, now);
        if self.suspects[&request].is_quarantined {
            self.judge_others(request, now);
        }
    }

    /// Derives anew whether others are quarantined, whose crashes those of `request` may
    /// explain.
    fn judge_others(&mut self, request: RequestDigest, now: Instant) {
        let suspect = &self.suspects[&request];
        let explained: Vec<RequestDigest> = self
            .quarantined_digests()
            .filter(|other| self.suspects[other].is_explained_by(suspect))
            .collect();
        for other in explained {
            self.judge(other, now);
        }
    }

    /// Returns whether another quarantined request explains the crashes of this one.
    fn is_explained(&self, request: RequestDigest) -> bool {
        let suspect = &self.suspects[&request];
        let mut others = self.quarantined_digests().filter(|other| *other != request);
        others.any(|other| suspect.is_explained_by(&self.suspects[&other]))
    }

    /// Derives whether a request is quarantined.
    fn judge(&mut self, request: RequestDigest, now: Instant) {
        let Some(suspect) = self.suspects.get(&request) else {
            return;
        };
        let is_quarantined =
            suspect.quarantine_end().is_some_and(|end| end > now) && !self.is_explained(request);
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        if is_quarantined != std::mem::replace(&mut suspect.is_quarantined, is_quarantined) {
            self.changes.push(if is_quarantined {
                RequestChange::Quarantined(request)
            } else {
                RequestChange::Released(request)
            });
        }
    }

    /// Makes room for requests by removing those with the fewest and oldest crashes.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn forget_least_suspicious(&mut self, now: Instant) {
        let mut ranks: Vec<_> = self
            .suspects
            .iter()
            .map(|(request, suspect)| (suspect.rank(now), *request))
            .collect();
        ranks.sort_unstable();
        let kept = (MAX_REQUESTS as f64 * KEPT_SHARE) as usize;
        let excess = ranks.len().saturating_sub(kept);
        for (_, request) in ranks.into_iter().take(excess) {
            let removed = self.suspects.remove(&request);
            if removed.is_some_and(|suspect| suspect.is_quarantined) {
                self.changes.push(RequestChange::Released(request));
            }
        }
    }

    /// Ends quarantines, and forgets what is too old.
    pub fn refresh(&mut self, now: Instant) {
        for suspect in self.suspects.values_mut() {
            suspect
                .crashes
                .retain(|crash| now.saturating_duration_since(crash.at) < CRASH_RETENTION);
        }
        let ended: Vec<RequestDigest> = self
            .quarantined_digests()
            .filter(|request| {
                let end = self.suspects[request].quarantine_end();
                end.is_none_or(|end| end <= now)
            })
            .collect();
        for request in ended {
            self.judge(request, now);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Returns how the quarantined requests have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<RequestChange> {
        std::mem::take(&mut self.changes)
    }

    fn quarantined_digests(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        let quarantined = self.suspects.iter();
        let quarantined = quarantined.filter(|(_, suspect)| suspect.is_quarantined);
        quarantined.map(|(request, _)| *request)
    }

    /// Returns the rest of the quarantine of a request that may not be sent.
    pub fn quarantine_left(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        let suspect = self.suspects.get(&request)?;
        let end = suspect
            .quarantine_end()
            .filter(|_| suspect.is_quarantined)?;
        end.checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// Returns the crashes in which a request is implicated, the last one last.
    pub fn crashes(&self, request: RequestDigest) -> SmallVec<[CrashId; 4]> {
        let suspect = self.suspects.get(&request);
        let crashes = suspect.into_iter().flat_map(Suspect::implicated);
        crashes.map(|crash| crash.id).collect()
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedRequest> {
        let suspects = self.suspects.iter();
        let mut quarantined: Vec<_> = suspects
            .filter(|(_, suspect)| suspect.is_quarantined)
            .filter_map(|(request, suspect)| {
                let left = suspect.quarantine_end()?.checked_duration_since(now)?;
                let crashes = suspect.implicated();
                let crashes =
                    crashes.map(|crash| (crash.id, now.saturating_duration_since(crash.at)));
                Some(QuarantinedRequest {
                    request: *request,
                    crashes: crashes.collect(),
                    left,
                })
            })
            .collect();
        quarantined.sort_by_key(|quarantined| quarantined.request);
        quarantined
    }

    /// Returns the crashes of each quarantined request.
    pub fn crashes_by_request(&self) -> Vec<BTreeSet<CrashId>> {
        let mut quarantined: Vec<RequestDigest> = self.quarantined_digests().collect();
        quarantined.sort_unstable();
        let crashes = quarantined.iter().map(|request| &self.suspects[request]);
        crashes
            .map(|suspect| suspect.implicated().map(|crash| crash.id).collect())
            .collect()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
