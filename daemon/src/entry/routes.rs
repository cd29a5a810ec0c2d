//! What the entry tells the pipeline chooser.

use jujubewall_control::plan::document::Assignments;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::choice::ChoiceRequest;
use jujubewall_routing::choice::EngineState;
use jujubewall_routing::choice::EngineView;
use jujubewall_routing::choice::NoPipeline;
use jujubewall_routing::choice::PipelineChooser;
use jujubewall_routing::stream::action::RerouteRequest;
use jujubewall_types::config::Assignment;
use jujubewall_types::config::EngineProfile;
use jujubewall_types::config::Upstream;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::VersionName;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::entry::holdings::FleetHoldings;
use crate::entry::view::View;
use crate::membership::Members;

/// The number of tokens in a block of an engine's prefix cache.
const PREFIX_BLOCK_TOKENS: usize = 16;

/// The number of first tokens by which prompts are taken to share a prefix.
const PREFIX_TOKENS: usize = 64;

/// The time after which a request that found no pipeline may be repeated.
const NO_PIPELINE_RETRY_MS: u64 = 1_000;

/// Lists each assignment that an engine has loaded and gives work.
///
/// Until its agent has reported, an engine is taken to hold what the operator
/// fixed for it.
pub fn engine_views(view: &View, members: &Members, holdings: &FleetHoldings) -> Vec<EngineView> {
    let mut views = Vec::new();
    for (upstream, profile, fixed) in view.engines() {
        let agent = members.state_at(upstream.agent_address);
        let reported = holdings.of(upstream);
        let is_reachable = reported.as_ref().is_none_or(|held| held.is_reachable);
        let state = engine_state(agent, is_reachable);
        let held: Assignments = match &reported {
            Some(reported) => reported.usable().cloned().collect(),
            None => fixed.into_iter().cloned().collect(),
        };
        let held = held.into_iter();
        views.extend(held.map(|held| engine_view(upstream, profile, held, state)));
    }
    views
}

fn engine_view(
    upstream: &Upstream,
    profile: &EngineProfile,
    held: Assignment,
    state: EngineState,
) -> EngineView {
    EngineView {
        upstream: upstream.name.clone(),
        agent_address: upstream.agent_address,
        failure_domain: upstream.failure_domain.clone(),
        model: held.model,
        version: held.version,
        layers: held.layers,
        decode_token_layers_per_s: profile.decode_token_layers_per_s,
        prefill_token_layers_per_s: profile.prefill_token_layers_per_s,
        state,
    }
}

/// Judges an engine by its agent; one whose agent is not a member yet is tried.
fn engine_state(agent: Option<MemberState>, is_reachable: bool) -> EngineState {
    match agent {
        Some(MemberState::Leaving) => EngineState::Leaving,
        None | Some(MemberState::Alive) if is_reachable => EngineState::Usable,
        _ => EngineState::Suspect,
    }
}

/// Chooses a pipeline of the first version that is whole, and notes the version in `choice`.
///
/// While engines change to another version, an older one serves until the new
/// one is whole. A version whose engines only refuse work is not passed over.
pub fn choose_version(
    chooser: &mut PipelineChooser,
    now: Instant,
    choice: &mut ChoiceRequest,
    versions: impl IntoIterator<Item = VersionName>,
) -> Result<Route, NoPipeline> {
    let mut first_reason = None;
    for version in versions {
        choice.version = version;
        match chooser.choose(now, choice) {
            Err(reason @ (NoPipeline::NotLoaded { .. } | NoPipeline::LayerMissing { .. })) => {
                first_reason.get_or_insert(reason);
            }
            chosen => return chosen,
        }
    }
    Err(first_reason.unwrap_or(NoPipeline::LayerMissing { layer: 0 }))
}

/// Hashes the part of a prompt that an engine's prefix cache is likely to share.
///
/// A prompt that is shorter than one block of such caches shares nothing.
pub fn prefix_hash(prompt: &[Token]) -> Option<u64> {
    let blocks = prompt.len().min(PREFIX_TOKENS) / PREFIX_BLOCK_TOKENS;
    let prefix = &prompt[..blocks * PREFIX_BLOCK_TOKENS];
    if prefix.is_empty() {
        return None;
    }
    let bytes: Vec<u8> = prefix
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect();
    Some(XxHash64::oneshot(0, &bytes))
}

/// Adapts the first choice to a repair: the engines to avoid are excluded.
pub fn repair_request(first: &ChoiceRequest, need: &RerouteRequest) -> ChoiceRequest {
    ChoiceRequest {
        exclude: need.excluded_upstreams.iter().cloned().collect(),
        ..first.clone()
    }
}

/// Puts a chosen pipeline's stages in the place of the lost ones where the ranges allow it.
///
/// Stages that are kept hold caches, so that only the replacements run anything again.
pub fn repaired_route(need: &RerouteRequest, chosen: Route) -> Route {
    let mut route = need.route.clone();
    for &lost in &need.stages_to_replace {
        let Some(stage) = route.get_mut(usize::from(lost)) else {
            return chosen;
        };
        let replacement = chosen
            .iter()
            .find(|candidate| candidate.layers == stage.layers);
        match replacement {
            Some(replacement) => *stage = replacement.clone(),
            None => return chosen,
        }
    }
    route
}

/// Tells the caller that no pipeline can serve its request now.
pub fn no_pipeline(reason: &NoPipeline) -> Failure {
    let retry_after_ms = match reason {
        NoPipeline::Refused { retry_after_ms } => *retry_after_ms,
        NoPipeline::NotLoaded { .. } | NoPipeline::LayerMissing { .. } => NO_PIPELINE_RETRY_MS,
    };
    Failure::new(ErrorKind::NoUpstream, reason.to_string()).with_retry_after_ms(retry_after_ms)
}
