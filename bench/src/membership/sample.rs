//! The measurement at one size.

use std::time::Duration;
use std::time::Instant as WallInstant;

use jujubewall_protocol::member::MemberState;
use jujubewall_testutils::members::MemberNetwork;
use jujubewall_testutils::members::MemberNetworkSettings;
use jujubewall_testutils::members::MemberTraffic;
use serde::Serialize;
use tokio::time::Instant;

/// The number of failure domains.
const DOMAINS: usize = 7;

/// The longest time that a message takes.
const MAX_LATENCY: Duration = Duration::from_millis(20);

/// The time for which the idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// The time for which the loss of a failure domain is followed.
const DOMAIN_LOSS_TIME: Duration = Duration::from_secs(10);

/// The longest wait for anything to be known.
const PATIENCE: Duration = Duration::from_secs(30);

/// The time in which a change comes to rest.
const REST: Duration = Duration::from_secs(3);

/// Times of several events of one kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    /// The median.
    pub p50_ms: u64,
    /// The longest.
    pub max_ms: u64,
}

/// What was measured at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// The number of members.
    pub members: usize,
    /// Messages that each idle member sends in a second.
    pub idle_messages_per_s: f64,
    /// Bytes that each idle member sends in a second.
    pub idle_sent_bytes_per_s: f64,
    /// Bytes that the busiest idle member, an entry, receives in a second.
    pub idle_max_received_bytes_per_s: f64,
    /// Bytes that each member sends for one restart, beyond the idle ones.
    pub restart_bytes: f64,
    /// The time after a crash until no member holds the crashed one for alive.
    pub suspected_everywhere: Times,
    /// The time after a crash until every member holds the crashed one for dead.
    pub dead_everywhere: Times,
    /// The time from a member's announcement until every member knows that it leaves.
    pub leaving_everywhere: Times,
    /// The time after the loss of a failure domain until the others know it.
    pub domain_loss_known_ms: u64,
    /// Bytes that each member sends in the ten seconds after that loss.
    pub domain_loss_bytes: f64,
    /// Processor time of each idle member in a second, the simulated network included.
    pub idle_processor_us_per_s: f64,
}

/// Measures at one size.
pub fn measure(members: usize, seed: u64, events: usize) -> Sample {
    let settings = MemberNetworkSettings {
        members,
        domains: DOMAINS,
        seed,
        max_latency: MAX_LATENCY,
        loss_permille: 0,
    };
    let mut network = MemberNetwork::new_joined(settings, Instant::now());
    network.run(REST);
    let mut sample = Sample {
        members,
        ..Sample::default()
    };
    measure_idle(&mut network, &mut sample);
    measure_restarts(&mut network, events, &mut sample);
    measure_domain_loss(&mut network, &mut sample);
    sample
}

fn measure_idle(network: &mut MemberNetwork, sample: &mut Sample) {
    network.reset_traffic();
    let start = WallInstant::now();
    network.run(IDLE_TIME);
    let processor_us = start.elapsed().as_secs_f64() * 1e6;
    let idle_s = IDLE_TIME.as_secs_f64();
    let member_seconds = network.members.len() as f64 * idle_s;
    let sent: u64 = traffic(network).map(|traffic| traffic.sent).sum();
    let max_received = traffic(network).map(|traffic| traffic.received_bytes).max();
    sample.idle_messages_per_s = sent as f64 / member_seconds;
    sample.idle_sent_bytes_per_s = sent_bytes(network) / member_seconds;
    sample.idle_max_received_bytes_per_s = max_received.unwrap_or_default() as f64 / idle_s;
    sample.idle_processor_us_per_s = processor_us / member_seconds;
}

/// Crashes, restarts and drains members one after the other.
fn measure_restarts(network: &mut MemberNetwork, events: usize, sample: &mut Sample) {
    let members = network.members.len();
    let mut suspected = Vec::new();
    let mut dead = Vec::new();
    let mut leaving = Vec::new();
    let mut bytes = 0.0;
    for event in 0..events {
        let victim = 1 + event * (members - 1) / events.max(1);
        let life = u16::try_from(event + 1).unwrap_or(u16::MAX);
        network.reset_traffic();
        let start = network.now;
        network.crash(victim);
        let not_alive = [MemberState::Suspect, MemberState::Dead];
        suspected.push(wait(network, |network| {
            network.all_know(victim, &not_alive)
        }));
        let known = [MemberState::Dead];
        let rest = wait(network, |network| network.all_know(victim, &known));
        dead.push(suspected[event] + rest);
        network.restart(victim, life, u64::from(life) * 1000);
        network.run(REST);
        network.leave(victim);
        let gone = [MemberState::Leaving, MemberState::Dead];
        leaving.push(wait(network, |network| network.all_know(victim, &gone)));
        network.run(REST);
        let time_s = (network.now - start).as_secs_f64();
        bytes += sent_bytes(network) / members as f64 - sample.idle_sent_bytes_per_s * time_s;
    }
    sample.suspected_everywhere = times(suspected);
    sample.dead_everywhere = times(dead);
    sample.leaving_everywhere = times(leaving);
    sample.restart_bytes = bytes / events.max(1) as f64;
}

fn measure_domain_loss(network: &mut MemberNetwork, sample: &mut Sample) {
    let lost = DOMAINS - 1;
    network.reset_traffic();
    let start = network.now;
    network.cut(lost);
    let members = network.members.len();
    let outside: Vec<_> = (0..members)
        .filter(|index| network.domain(*index) != lost)
        .collect();
    let inside: Vec<_> = (0..members)
        .filter(|index| network.domain(*index) == lost)
        .collect();
    let known = wait(network, |network| {
        let is_alive = |at, about| network.state(at, about) == Some(MemberState::Alive);
        let knows = |at: &usize| inside.iter().all(|about| !is_alive(*at, *about));
        outside.iter().all(knows)
    });
    let spent = network.now - start;
    network.run(DOMAIN_LOSS_TIME.saturating_sub(spent));
    sample.domain_loss_known_ms = millis(known);
    sample.domain_loss_bytes = sent_bytes(network) / members as f64;
}

fn wait(network: &mut MemberNetwork, holds: impl FnMut(&MemberNetwork) -> bool) -> Duration {
    network.run_until(PATIENCE, holds).unwrap_or(PATIENCE)
}

fn times(mut times: Vec<Duration>) -> Times {
    times.sort_unstable();
    Times {
        p50_ms: times.get(times.len() / 2).copied().map_or(0, millis),
        max_ms: times.last().copied().map_or(0, millis),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn traffic(network: &MemberNetwork) -> impl Iterator<Item = MemberTraffic> {
    network.members.iter().map(|member| member.traffic)
}

fn sent_bytes(network: &MemberNetwork) -> f64 {
    traffic(network)
        .map(|traffic| traffic.sent_bytes)
        .sum::<u64>() as f64
}
