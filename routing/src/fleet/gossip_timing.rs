//! The timing of the gossip between gateways.
//!
//! A gateway sends its messages one by one at a rate that does not grow with the fleet, so
//! each peer hears from it less often the larger the fleet is. Small and urgent news is
//! relayed by all, and reaches every gateway after a number of messages that grows with the
//! logarithm of the fleet's size. All limits of freshness and silence follow from these two
//! times.

use std::time::Duration;

/// The shortest time between two messages of a gateway. It bounds the rate that a gateway
/// sends and, because all gateways send alike, the rate that it receives.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(10);

/// The longest time between two messages of a gateway, so that news spreads as fast in
/// small fleets as in large ones.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(25);

/// The shortest time of a round; work in flight changes little within it.
const MIN_ROUND: Duration = Duration::from_millis(100);

/// The time that a gateway with a small share of a core may need to read a message and to
/// relay its news.
const HANDLING_TIME: Duration = Duration::from_millis(60);

/// The shortest silence after which a gateway counts as lost. Gateways with a CPU quota
/// stall for up to a tenth of a second, several times in a row.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// The shortest silence after which others prepare to take over the role of a gateway. A
/// surplus holder only costs some calls, so this is shorter than [`MIN_SILENCE`].
const MIN_ROLE_SILENCE: Duration = Duration::from_millis(650);

/// The number of messages, for each doubling of the fleet, after which news has reached
/// nearly all gateways. Some of the gateways to which the news is relayed already know it.
const MESSAGES_PER_DOUBLING: u32 = 2;

/// The number of further messages that reach the last gateways and make up for lost
/// messages.
const EXTRA_MESSAGES: u32 = 6;

/// The gossip timing for a number of peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipTiming {
    peers: u32,
}

impl GossipTiming {
    /// Creates the timing for a gateway with the given number of peers.
    pub fn new(peers: usize) -> Self {
        Self {
            peers: u32::try_from(peers).unwrap_or(u32::MAX).max(1),
        }
    }

    /// Returns the time between two messages of a gateway.
    pub fn message_interval(self) -> Duration {
        (MIN_ROUND / self.peers).clamp(MIN_MESSAGE_INTERVAL, MAX_MESSAGE_INTERVAL)
    }

    /// Returns the time in which a gateway sends a message to every peer.
    pub fn round(self) -> Duration {
        self.message_interval() * self.peers
    }

    /// Returns the time in which relayed news reaches all gateways.
    pub fn propagation_time(self) -> Duration {
        let doublings = u32::BITS - self.peers.leading_zeros();
        let messages = MESSAGES_PER_DOUBLING * doublings + EXTRA_MESSAGES;
        self.message_interval() * messages + HANDLING_TIME
    }

    /// Returns how long a work report is valid; one message of the peer may be lost.
    pub fn report_lifetime(self) -> Duration {
        MIN_SILENCE.max(self.round() * 3)
    }

    /// Returns the silence after which a gateway with relayed heartbeats counts as lost.
    pub fn silence_timeout(self) -> Duration {
        MIN_SILENCE.max(self.propagation_time() * 3)
    }

    /// Returns the silence after which others prepare to take over the role of a gateway
    /// with relayed heartbeats.
    pub fn role_silence(self) -> Duration {
        MIN_ROLE_SILENCE.max(self.propagation_time() * 3 / 2)
    }
}
