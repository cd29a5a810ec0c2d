//! The settings of a simulated network, and the assignment of layers to engines.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::stream::settings::AgentSettings;
use jujubewall_routing::stream::settings::EntrySettings;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;

use super::faults::LinkFaults;
use crate::engine::EngineSettings;
use crate::model_fold::following_tokens;

/// The settings of a simulated network.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// The number of entries.
    pub entries: usize,
    /// The number of stages of each route.
    pub stages: usize,
    /// The number of engines that can run each stage.
    pub replicas: usize,
    /// The number of layers of each stage.
    pub layers_per_stage: u32,
    /// The settings of the engines.
    pub engine: EngineSettings,
    /// Whether a position that is generated again yields a different token.
    pub samples: bool,
    /// The time to import a KV cache for each position and layer.
    pub cache_position_layer: Duration,
    /// The settings of the entries.
    pub entry: EntrySettings,
    /// The settings of the agents.
    pub agent: AgentSettings,
    /// The faults of every link.
    pub faults: LinkFaults,
    /// The time after which entries are told that a process was killed, or `None` if they
    /// are not told.
    pub kill_noticed_after: Option<Duration>,
    /// The time from the start of each request to its deadline.
    pub deadline: Duration,
    /// The seed of the random number generator.
    pub seed: u64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            entries: 1,
            stages: 3,
            replicas: 2,
            layers_per_stage: 2,
            engine: EngineSettings::default(),
            samples: false,
            cache_position_layer: Duration::ZERO,
            entry: EntrySettings::default(),
            agent: AgentSettings::default(),
            faults: LinkFaults::default(),
            kill_noticed_after: None,
            deadline: Duration::from_mins(10),
            seed: 0,
        }
    }
}

/// The addresses of entries and agents, and the layers of each agent.
pub(super) struct Topology {
    stages: usize,
    replicas: usize,
    layers_per_stage: u32,
}

impl Topology {
    pub(super) const fn new(settings: &NetworkSettings) -> Self {
        Self {
            stages: settings.stages,
            replicas: settings.replicas,
            layers_per_stage: settings.layers_per_stage,
        }
    }

    pub(super) const fn agent_count(&self) -> usize {
        self.stages * self.replicas
    }

    pub(super) const fn stage_of(&self, agent: usize) -> usize {
        agent % self.stages
    }

    pub(super) fn entry_address(&self, index: usize) -> SocketAddr {
        process_address(self.agent_count() + index)
    }

    pub(super) fn layer_count(&self) -> u32 {
        self.layers_per_stage * u32::try_from(self.stages).expect("there are few stages")
    }

    pub(super) fn layers(&self, agent: usize) -> LayerRange {
        let stage = u32::try_from(self.stage_of(agent)).expect("there are few stages");
        let first = stage * self.layers_per_stage;
        LayerRange::new(first, first + self.layers_per_stage)
    }

    pub(super) fn assignment(&self, agent: usize) -> Assignment {
        Assignment {
            model: model(),
            version: version(),
            layers: self.layers(agent),
        }
    }

    pub(super) fn route_stage(&self, agent: usize) -> RouteStage {
        RouteStage {
            upstream: UpstreamName::new(format!("engine-{agent}")).expect("the name is valid"),
            agent_address: process_address(agent),
            layers: self.layers(agent),
        }
    }

    /// Returns the token that follows each prefix of `tokens`, without the bits that sampling
    /// sets.
    pub(super) fn following_tokens(&self, tokens: &[Token]) -> Vec<Token> {
        following_tokens(&model(), &version(), self.layer_count(), tokens)
    }
}

/// Returns the address of a process; entries are numbered after the agents.
pub(super) fn process_address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("there are few processes");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the name of the only model.
pub(super) fn model() -> ModelName {
    ModelName::new("model").expect("the name is valid")
}

/// Returns the name of the only version.
pub(super) fn version() -> VersionName {
    VersionName::new("v1").expect("the name is valid")
}
