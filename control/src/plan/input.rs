//! Input of the planner.

use std::collections::BTreeMap;

use jujubewall_types::config::Assignment;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::EngineProfile;
use jujubewall_types::config::Model;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Revision;
use jujubewall_types::id::UpstreamName;

use super::document::Assignments;

/// Availability of an engine for work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Presence {
    /// The agent on the engine's host answers.
    Live,
    /// The engine takes no new work and is about to shut down.
    Leaving,
    /// The agent on the engine's host does not answer.
    #[default]
    Lost,
}

/// State of an engine as reported by membership and its agent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Availability of the engine for work.
    pub presence: Presence,
    /// Measured decoding rate; `None` if it is unknown, in which case the configured rate
    /// is used.
    pub measured_token_layers_per_s: Option<u64>,
    /// Assignments that are loaded.
    pub loaded: Assignments,
}

/// Configured and reported state of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// Failure domain in which the engine runs.
    pub failure_domain: FailureDomainName,
    /// Number of layers that fit into the engine's memory.
    pub max_layers: u32,
    /// Decoding rate, at least one.
    pub token_layers_per_s: u64,
    /// Assignment fixed by the operator, which the planner does not change.
    pub fixed: Option<Assignment>,
    /// State reported by membership and the agent.
    pub report: EngineReport,
}

impl EngineView {
    /// Creates the view of an upstream, if it is an engine.
    pub fn new(upstream: &Upstream, report: EngineReport) -> Option<Self> {
        let UpstreamKind::Engine(profile) = &upstream.kind else {
            return None;
        };
        Some(Self {
            failure_domain: upstream.failure_domain.clone(),
            max_layers: profile.max_layers,
            token_layers_per_s: token_layers_per_s(profile, &report),
            fixed: profile.assignment.clone(),
            report,
        })
    }

    /// Returns the rate at which tokens pass through `layers` layers on this engine.
    pub fn tokens_per_s(&self, layers: u32) -> u64 {
        self.token_layers_per_s / u64::from(layers.max(1))
    }

    /// Returns whether the engine can be given work.
    pub fn is_live(&self) -> bool {
        self.report.presence == Presence::Live
    }
}

fn token_layers_per_s(profile: &EngineProfile, report: &EngineReport) -> u64 {
    report
        .measured_token_layers_per_s
        .unwrap_or(profile.decode_token_layers_per_s)
        .max(1)
}

/// Input of the planner, apart from the previous plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlanInput {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Configured models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Configured engines by name.
    pub engines: BTreeMap<UpstreamName, EngineView>,
}

impl PlanInput {
    /// Combines the configuration with the reports about its engines.
    pub fn new(
        configuration: &Configuration,
        report: impl Fn(&UpstreamName) -> EngineReport,
    ) -> Self {
        let models = configuration.models.iter();
        let engines = configuration.upstreams.iter();
        Self {
            revision: configuration.revision,
            models: models
                .map(|(name, owned)| (name.clone(), owned.item.clone()))
                .collect(),
            engines: engines
                .filter_map(|(name, owned)| {
                    let view = EngineView::new(&owned.item, report(name))?;
                    Some((name.clone(), view))
                })
                .collect(),
        }
    }
}
