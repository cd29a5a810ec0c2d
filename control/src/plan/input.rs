//! What a plan follows from.

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

/// Whether an engine can be given work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Presence {
    /// The agent beside the engine answers.
    Live,
    /// The engine takes no new work and is about to go.
    Leaving,
    /// The agent beside the engine does not answer.
    #[default]
    Lost,
}

/// What membership and the agent tell about an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether the engine can be given work.
    pub presence: Presence,
    /// The number of token-layers a second that were measured when decoding.
    pub measured_rate: Option<u64>,
    /// The assignments that are loaded.
    pub loaded: Assignments,
}

/// One engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The failure domain.
    pub failure_domain: FailureDomainName,
    /// The number of layers that fit into its memory.
    pub max_layers: u32,
    /// The number of token-layers that it computes a second when decoding.
    pub rate: u64,
    /// The assignment that the operator fixes.
    pub fixed: Option<Assignment>,
    /// What membership and the agent tell.
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
            rate: rate(profile, &report),
            fixed: profile.assignment.clone(),
            report,
        })
    }

    /// Returns the number of tokens a second that the engine takes through `layers` layers.
    pub fn tokens_per_s(&self, layers: u32) -> u64 {
        self.rate / u64::from(layers.max(1))
    }

    /// Returns whether the engine can be given work.
    pub fn is_live(&self) -> bool {
        self.report.presence == Presence::Live
    }
}

fn rate(profile: &EngineProfile, report: &EngineReport) -> u64 {
    report
        .measured_rate
        .unwrap_or(profile.decode_token_layers_per_s)
        .max(1)
}

/// What a plan follows from, besides the plan before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlanInput {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// The engines by name.
    pub engines: BTreeMap<UpstreamName, EngineView>,
}

impl PlanInput {
    /// Joins the configuration with the reports about its engines.
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
