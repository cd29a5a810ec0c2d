//! An estimate of the work that peers have assigned since their last reports.
//!
//! Gateways that choose by the same rules give an upstream about as much work as this one
//! does. Reports are some hundred milliseconds old, and right after a start there are none:
//! without the estimate, all gateways would choose the upstreams that seem idle, whose
//! queues grow by the work of all.

use std::time::Duration;

use jujubewall_types::id::FailureDomainName;
use tokio::time::Instant;

use super::InstanceTable;
use super::TrackedInstance;
use super::Work;

/// How many peers give work to the same upstreams as this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSharing {
    /// The failure domain whose upstreams this gateway prefers.
    pub own_domain: Option<FailureDomainName>,
    /// The number of peers that prefer the same domain.
    pub same_domain_peers: f64,
    /// The number of peers that use an upstream of another domain at the same time as this
    /// gateway.
    pub cross_domain_peers: f64,
    /// The mean age of the peers' reports.
    pub report_age: Duration,
}

/// The work that this gateway has recently given to an upstream, decaying exponentially.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentWork {
    requests: f64,
    first_requests: f64,
    token_layers: f64,
    at: Instant,
}

impl RecentWork {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            requests: 0.0,
            first_requests: 0.0,
            token_layers: 0.0,
            at: now,
        }
    }

    /// Returns the share that remains after the time since the last update.
    fn remaining_share(&self, age: Duration, now: Instant) -> f64 {
        if age.is_zero() {
            return 0.0;
        }
        let past = now.saturating_duration_since(self.at);
        (-past.as_secs_f64() / age.as_secs_f64()).exp()
    }

    fn add(&mut self, work: &Work, age: Duration, now: Instant) {
        let remaining = self.remaining_share(age, now);
        self.requests = remaining * self.requests + f64::from(work.requests);
        self.first_requests = remaining * self.first_requests + f64::from(work.first_requests);
        self.token_layers = remaining * self.token_layers + work.token_layers;
        self.at = now;
    }
}

impl InstanceTable {
    /// Sets how many peers give work to the same upstreams.
    pub fn set_peer_sharing(&mut self, sharing: PeerSharing) {
        self.sharing = sharing;
    }

    /// Returns the mean age of the peers' reports.
    pub const fn report_age(&self) -> Duration {
        self.sharing.report_age
    }

    /// Records work that was just given to an upstream.
    pub(super) fn note_recent(&mut self, key: super::InstanceKey, work: &Work, now: Instant) {
        let age = self.sharing.report_age;
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.recent.add(work, age, now);
        }
    }

    /// Returns the work that all gateways are expected to have in flight at an upstream.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn expected_work(&self, tracked: &TrackedInstance, now: Instant) -> Work {
        let mut expected = self.total_work(tracked);
        let is_near = self.sharing.own_domain.as_ref() == Some(&tracked.instance.failure_domain);
        let others = if is_near {
            self.sharing.same_domain_peers
        } else {
            self.sharing.cross_domain_peers
        };
        let factor = others * tracked.recent.remaining_share(self.sharing.report_age, now);
        expected.add(&Work {
            requests: (factor * tracked.recent.requests).round() as u32,
            first_requests: (factor * tracked.recent.first_requests).round() as u32,
            token_layers: factor * tracked.recent.token_layers,
        });
        expected
    }
}
