//! What goes wrong with links and processes.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::stream::agent::AgentStreams;

use super::ProcessState;
use super::StreamNetwork;
use super::queue::Event;

/// The properties of every link.
#[derive(Clone, Copy, Debug)]
pub struct LinkFaults {
    /// The time that every message takes.
    pub delay: Duration,
    /// The largest further time that a message takes, which reorders messages.
    pub jitter: Duration,
    /// How many of a thousand messages are lost.
    pub loss_permille: u32,
    /// How many of a thousand messages come twice.
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
    /// Kills an agent together with its engine; entries learn of it as the settings say.
    pub fn kill(&mut self, agent: usize) {
        let address = self.agents[agent].address;
        self.agents[agent].streams = AgentStreams::new(address, self.settings.agent);
        self.agents[agent].state = ProcessState::Dead;
        self.agents[agent].parked.clear();
        self.agents[agent].engine.kill();
        if let Some(delay) = self.settings.kill_noticed_after {
            let peer = address;
            for entry in 0..self.entries.len() {
                self.events
                    .push(self.now + delay, Event::PeerLost { entry, peer });
            }
        }
    }

    /// Starts a killed agent again; it remembers nothing.
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

    /// Lets a paused process go on with all that came meanwhile.
    pub fn thaw(&mut self, agent: usize) {
        if self.agents[agent].state == ProcessState::Frozen {
            self.agents[agent].state = ProcessState::Running;
            for event in std::mem::take(&mut self.agents[agent].parked) {
                self.events.push(self.now, event);
            }
        }
    }

    /// Swallows all messages between two agents, or an agent and every entry, until healed.
    pub fn cut(&mut self, agent: usize, other: Option<usize>) {
        let address = self.agents[agent].address;
        let others: Vec<SocketAddr> = match other {
            Some(other) => vec![self.agents[other].address],
            None => self.entries.iter().map(|entry| entry.address).collect(),
        };
        for other in others {
            self.cuts.insert((address, other));
            self.cuts.insert((other, address));
        }
    }

    /// Swallows all messages of an agent until healed.
    pub fn isolate(&mut self, agent: usize) {
        self.cut(agent, None);
        for other in (0..self.agents.len()).filter(|&other| other != agent) {
            self.cut(agent, Some(other));
        }
    }

    /// Lets messages through again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Changes what the links do to messages.
    pub const fn set_faults(&mut self, faults: LinkFaults) {
        self.settings.faults = faults;
    }

    /// Makes an agent leave.
    pub fn leave(&mut self, agent: usize, grace: Duration) {
        let (now, grace_end) = (self.now, self.now + grace);
        let actions = self.agents[agent].streams.leave(now, grace_end);
        self.apply_agent(agent, actions);
        self.agents[agent].engine.is_leaving = true;
    }
}
