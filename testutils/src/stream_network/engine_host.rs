//! A fake engine on the simulated clock, and the admission in front of it.

use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::stream::action::AgentAction;
use jujubewall_routing::stream::action::StageError;
use jujubewall_routing::stream::action::StageStep;
use jujubewall_routing::stream::agent::AgentStreams;
use jujubewall_routing::stream::agent::StageKey;
use jujubewall_routing::stream::payload::decode_token;
use jujubewall_routing::stream::payload::encode_tokens;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;
use jujubewall_upstream::engine::CacheExport;
use jujubewall_upstream::engine::Engine as _;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::error::UpstreamError;
use tokio::time::Instant;

use super::topology::NetworkSettings;
use crate::engine::EngineSettings;
use crate::engine::FakeEngine;

/// The number of low bits of a token that the model's fold determines; sampling sets the
/// others.
pub(super) const FOLD_TOKEN_BITS: u32 = 8;

/// The number of tokens that an engine can sample before it reuses samples of the next one.
const SAMPLES_PER_ENGINE: u32 = 1 << 16;

/// A call to the engine or to admission whose result is due later.
pub(super) enum EngineCall {
    Admit(StageKey),
    Run(StageKey, StageStep),
    Export(StageKey, RequestId),
    Import(StageKey, RequestId, Attempt, KvCache),
}

/// An engine that runs one step at a time on the simulated clock.
pub(super) struct EngineHost {
    engine: FakeEngine,
    timings: EngineSettings,
    cache_position_layer: Duration,
    busy_until: Option<Instant>,
    samples: bool,
    last_sample: Token,
    pub(super) is_leaving: bool,
}

impl EngineHost {
    /// Creates an engine that holds `assignment`.
    ///
    /// The engine itself computes without delay; the host adds the duration of each step.
    pub(super) fn new(settings: &NetworkSettings, assignment: Assignment, index: usize) -> Self {
        let timings = settings.engine.clone();
        let engine = FakeEngine::new(EngineSettings {
            decode_token_layer: Duration::ZERO,
            prefill_token_layer: Duration::ZERO,
            ..timings.clone()
        });
        engine.hold(assignment);
        Self {
            engine,
            timings,
            cache_position_layer: settings.cache_position_layer,
            busy_until: None,
            samples: settings.samples,
            last_sample: SAMPLES_PER_ENGINE * u32::try_from(index).expect("there are few engines"),
            is_leaving: false,
        }
    }

    pub(super) const fn engine(&self) -> &FakeEngine {
        &self.engine
    }

    pub(super) fn kill(&mut self) {
        self.engine.kill();
    }

    pub(super) fn restart(&mut self, assignment: Assignment) {
        self.engine.restart();
        self.engine.hold(assignment);
        self.busy_until = None;
        self.is_leaving = false;
    }

    /// Begins the call that an action asks for, and returns when its result is due.
    ///
    /// Returns `None` for actions without a result.
    pub(super) fn begin(
        &mut self,
        action: AgentAction,
        now: Instant,
    ) -> Option<(Instant, EngineCall)> {
        match action {
            AgentAction::Admit { ticket, .. } => Some((now, EngineCall::Admit(ticket))),
            AgentAction::RunStep { ticket, step, .. } => {
                let work = step.positions * step.layers.len();
                let duration = self.timings.token_layer(step.positions) * work;
                let end = self.occupy(now, duration);
                Some((end, EngineCall::Run(ticket, step)))
            }
            AgentAction::ExportCache {
                ticket, request, ..
            } => Some((now, EngineCall::Export(ticket, request))),
            AgentAction::ImportCache {
                ticket,
                request,
                attempt,
                cache,
                ..
            } => {
                let work = cache.positions * cache.layers.len();
                let end = now + self.cache_position_layer * work;
                Some((end, EngineCall::Import(ticket, request, attempt, cache)))
            }
            AgentAction::Release {
                request, attempt, ..
            } => {
                // A dead engine has nothing to release.
                let _ = ready(self.engine.release(request, attempt));
                None
            }
            AgentAction::Ended { .. } | AgentAction::Send { .. } => None,
        }
    }

    /// Performs a call that is due, and passes its result to the agent.
    pub(super) fn finish(
        &mut self,
        call: EngineCall,
        now: Instant,
        streams: &mut AgentStreams,
    ) -> Vec<AgentAction> {
        match call {
            EngineCall::Admit(ticket) => streams.on_admitted(now, ticket),
            EngineCall::Run(ticket, step) => {
                let is_last = step.is_last;
                let output = ready(self.engine.run(engine_step(step)));
                let result = output.map(|output| self.sample(output.payload, is_last));
                streams.on_step_done(now, ticket, result.map_err(|error| stage_error(&error)))
            }
            EngineCall::Export(ticket, request) => {
                let cache = ready(self.engine.export_cache(request));
                let result = cache.map(kv_cache).map_err(|error| stage_error(&error));
                streams.on_exported(now, ticket, result)
            }
            EngineCall::Import(ticket, request, attempt, cache) => {
                let cache = CacheExport {
                    layers: cache.layers,
                    positions: cache.positions,
                    payload: cache.payload,
                };
                let result = ready(self.engine.import_cache(request, attempt, cache));
                streams.on_imported(now, ticket, result.map_err(|error| stage_error(&error)))
            }
        }
    }

    /// Sets the upper bits of each generated token to a different value, if sampling is on.
    fn sample(&mut self, output: Bytes, is_last: bool) -> Bytes {
        let (true, Some(token)) = (self.samples && is_last, decode_token(&output)) else {
            return output;
        };
        self.last_sample += 1;
        encode_tokens(&[token | (self.last_sample << FOLD_TOKEN_BITS)])
    }

    pub(super) fn occupy(&mut self, now: Instant, duration: Duration) -> Instant {
        let start = self.busy_until.map_or(now, |end| end.max(now));
        let end = start + duration;
        self.busy_until = Some(end);
        end
    }
}

/// Returns the result of a call that never waits.
fn ready<T>(call: impl Future<Output = Result<T, UpstreamError>>) -> Result<T, UpstreamError> {
    let mut context = Context::from_waker(Waker::noop());
    match pin!(call).poll(&mut context) {
        Poll::Ready(result) => result,
        Poll::Pending => Err(UpstreamError::ReplyLost("the engine hangs".into())),
    }
}

fn engine_step(step: StageStep) -> EngineStep {
    EngineStep {
        request: step.request,
        attempt: step.attempt,
        model: step.model,
        version: step.version,
        first_position: step.first_position,
        positions: step.positions,
        layers: step.layers,
        is_last: step.is_last,
        priority: step.priority,
        payload: step.payload,
    }
}

fn kv_cache(cache: CacheExport) -> KvCache {
    KvCache {
        layers: cache.layers,
        positions: cache.positions,
        payload: cache.payload,
    }
}

fn stage_error(error: &UpstreamError) -> StageError {
    StageError {
        message: error.to_string(),
    }
}
