//! Faults of links and processes.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::stream::agent::AgentStreams;

use super::ProcessState;
use super::StreamNetwork;
use super::queue::Event;

/// The delay and faults of every link.
#[derive(Clone, Copy, Debug)]
pub struct LinkFaults {
    /// The minimum delay of a message.
    pub delay: Duration,
    /// The bound of the random delay added to each message, which reorders messages.
    pub jitter: Duration,
    /// The share of messages that are lost, in permille.
    pub loss_permille: u32,
    /// The share of messages that arrive twice, in permille.
    pub duplicate_permille: u32,
}

impl Default for LinkFaults {
    fn default() -> Self {
        Self {
            delay: Duration::from_micros(250),
            jitter: Duration::ZERO,
            loss_permille: 0,
            duplicate_permille: 0,
        }
    }
}

impl StreamNetwork {
    /// Kills an agent together with its engine.
    ///
    /// Entries are told after [`super::NetworkSettings::kill_noticed_after`],
    /// if it is set.
    pub fn kill(&mut self, agent: usize) {
        let address = self.agents[agent].address;
        self.agents[agent].streams = AgentStreams::new(address, self.settings.agent);
        self.agents[agent].state = ProcessState::Dead;
        self.agents[agent].deferred.clear();
        self.agents[agent].engine.kill();
        if let Some(delay) = self.settings.kill_noticed_after {
            let peer = address;
            for entry in 0..self.entries.len() {
                self.events
                    .push(self.now + delay, Event::PeerLost { entry, peer });
            }
        }
    }

    /// Restarts a killed agent without any state.
    pub fn restart(&mut self, agent: usize) {
        if self.agents[agent].state == ProcessState::Dead {
            self.agents[agent].state = ProcessState::Running;
            let assignment = self.topology.assignment(agent);
            self.agents[agent].engine.restart(assignment);
        }
    }

    /// Pauses an agent's process.
    pub fn freeze(&mut self, agent: usize) {
        if self.agents[agent].state == ProcessState::Running {
            self.agents[agent].state = ProcessState::Frozen;
        }
    }

    /// Resumes a paused process, which then handles the events that arrived meanwhile.
    pub fn thaw(&mut self, agent: usize) {
        if self.agents[agent].state == ProcessState::Frozen {
            self.agents[agent].state = ProcessState::Running;
            for event in std::mem::take(&mut self.agents[agent].deferred) {
                self.events.push(self.now, event);
            }
        }
    }

    /// Keeps an agent's engine from beginning steps for `silence`; the agent answers.
    pub fn silence_engine(&mut self, agent: usize, silence: Duration) {
        self.agents[agent].engine.occupy(self.now, silence);
    }

    /// Drops all messages between two agents, or an agent and every entry, until
    /// [`Self::heal`] is called.
    pub fn cut(&mut self, agent: usize, other: Option<usize>) {
        let address = self.agents[agent].address;
        let others: Vec<SocketAddr> = match other {
            Some(other) => vec![self.agents[other].address],
            None => self.entries.iter().map(|entry| entry.address).collect(),
        };
        for other in others {
            self.blocked_links.insert((address, other));
            self.blocked_links.insert((other, address));
        }
    }

    /// Drops all messages from and to an agent until [`Self::heal`] is called.
    pub fn isolate(&mut self, agent: usize) {
        self.cut(agent, None);
        for other in (0..self.agents.len()).filter(|&other| other != agent) {
            self.cut(agent, Some(other));
        }
    }

    /// Repairs all links that were cut.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Replaces the faults of every link.
    pub const fn set_faults(&mut self, faults: LinkFaults) {
        self.settings.faults = faults;
    }

    /// Makes an agent announce that it is leaving.
    pub fn leave(&mut self, agent: usize, grace: Duration) {
        let (now, grace_end) = (self.now, self.now + grace);
        let actions = self.agents[agent].streams.leave(now, grace_end);
        self.apply_agent(agent, actions);
        self.agents[agent].engine.is_leaving = true;
    }
}
