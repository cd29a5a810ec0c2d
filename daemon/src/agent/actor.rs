//! The actor that carries out an agent's decisions about stages.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_routing::stream::action::AgentAction;
use jujubewall_routing::stream::action::StageError;
use jujubewall_routing::stream::agent::AgentStreams;
use jujubewall_routing::stream::agent::StageKey;
use jujubewall_routing::stream::settings::AgentSettings;
use jujubewall_types::config::Configuration;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use tokio::time::Instant;

use crate::agent::engine;
use crate::agent::service;
use crate::agent::upstreams::Upstreams;
use crate::alarm::Alarm;
use crate::metrics::Metrics;
use crate::network::Network;

/// What the actor is built from.
#[derive(Debug)]
pub struct AgentArgs {
    /// The network.
    pub network: Network,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The settings of the stages.
    pub settings: AgentSettings,
}

/// Owns the stages of an agent and the clients of its engines.
pub struct AgentActor {
    network: Network,
    metrics: Arc<Metrics>,
    streams: AgentStreams,
    upstreams: Upstreams,
    alarm: Alarm,
}

/// A message about a stream has arrived.
#[derive(Debug)]
pub struct StreamReceived {
    /// The address at which the sender accepts connections.
    pub from: SocketAddr,
    /// The message.
    pub message: StreamMessage,
}

/// A message about a call has arrived.
#[derive(Debug)]
pub struct CallReceived(pub CallMessage);

/// Another configuration is to be applied.
#[derive(Debug)]
pub struct ApplyConfiguration(pub Arc<Configuration>);

/// Asks the agent to take no new work.
#[derive(Debug)]
pub struct Leave {
    /// When the process stops at the latest.
    pub grace_end: Instant,
}

/// Asks whether no stage is left.
#[derive(Debug)]
pub struct IsIdle;

/// The alarm has rung.
struct Wake;

/// The engine has answered.
enum EngineAnswer {
    Step(StageKey, Result<Bytes, StageError>),
    Exported(StageKey, Result<KvCache, StageError>),
    Imported(StageKey, Result<(), StageError>),
}

impl AgentActor {
    fn carry_out(&mut self, actions: Vec<AgentAction>, actor: &ActorRef<Self>) {
        for action in actions {
            self.carry_out_one(action, actor);
        }
        self.alarm.set(self.streams.next_wakeup());
    }

    fn carry_out_one(&mut self, action: AgentAction, actor: &ActorRef<Self>) {
        match action {
            AgentAction::Send { to, message } => self.network.send(to, message),
            AgentAction::Admit { ticket, .. } => {
                let actions = self.streams.on_admitted(Instant::now(), ticket);
                self.carry_out(actions, actor);
            }
            AgentAction::RunStep {
                ticket,
                upstream,
                step,
            } => {
                let engine = self.upstreams.engine(&upstream);
                let metrics = Arc::clone(&self.metrics);
                tell_when_done(actor, async move {
                    let started = Instant::now();
                    let result = engine::run_step(engine, step).await;
                    metrics.count_step(started.elapsed());
                    EngineAnswer::Step(ticket, result)
                });
            }
            AgentAction::Release {
                upstream,
                request,
                attempt,
            } => {
                if let Some(engine) = self.upstreams.engine(&upstream) {
                    // An engine that does not hear of it evicts the cache by itself.
                    tokio::spawn(async move { engine.release(request, attempt).await });
                }
            }
            AgentAction::ExportCache {
                ticket,
                upstream,
                request,
            } => {
                let engine = self.upstreams.engine(&upstream);
                tell_when_done(actor, async move {
                    EngineAnswer::Exported(ticket, engine::export_cache(engine, request).await)
                });
            }
            AgentAction::ImportCache {
                ticket,
                upstream,
                request,
                attempt,
                cache,
            } => {
                let engine = self.upstreams.engine(&upstream);
                tell_when_done(actor, async move {
                    let result = engine::import_cache(engine, request, attempt, cache).await;
                    EngineAnswer::Imported(ticket, result)
                });
            }
            AgentAction::Ended { .. } => {}
        }
    }
}

fn tell_when_done(
    actor: &ActorRef<AgentActor>,
    call: impl Future<Output = EngineAnswer> + Send + 'static,
) {
    let actor = actor.clone();
    tokio::spawn(async move {
        let answer = call.await;
        let _ = actor.tell(answer).send().await;
    });
}

impl Actor for AgentActor {
    type Args = AgentArgs;
    type Error = Infallible;

    async fn on_start(args: AgentArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let target = actor.downgrade();
        let alarm = Alarm::start(move || {
            let target = target.upgrade();
            async move {
                match target {
                    Some(target) => target.tell(Wake).send().await.is_ok(),
                    None => false,
                }
            }
        });
        Ok(Self {
            streams: AgentStreams::new(args.network.own_address(), args.settings),
            network: args.network,
            metrics: args.metrics,
            upstreams: Upstreams::default(),
            alarm,
        })
    }
}

impl Handle<StreamReceived> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, received: StreamReceived, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self
            .streams
            .on_message(now, received.from, received.message);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<CallReceived> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, received: CallReceived, _: &mut Context<Self, ()>) {
        if let CallMessage::Call(call) = received.0 {
            let service = self.upstreams.service(&call.upstream);
            tokio::spawn(service::run_call(service, call, self.network.clone()));
        }
    }
}

impl Handle<EngineAnswer> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, answer: EngineAnswer, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = match answer {
            EngineAnswer::Step(ticket, result) => self.streams.on_step_done(now, ticket, result),
            EngineAnswer::Exported(ticket, result) => self.streams.on_exported(now, ticket, result),
            EngineAnswer::Imported(ticket, result) => self.streams.on_imported(now, ticket, result),
        };
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<ApplyConfiguration> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, apply: ApplyConfiguration, _: &mut Context<Self, ()>) {
        self.upstreams.apply(&apply.0, self.network.own_address());
    }
}

impl Handle<Leave> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, leave: Leave, context: &mut Context<Self, ()>) {
        let actions = self.streams.leave(Instant::now(), leave.grace_end);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<IsIdle> for AgentActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsIdle, _: &mut Context<Self, bool>) -> bool {
        self.streams.is_idle()
    }
}

impl Handle<Wake> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Wake, context: &mut Context<Self, ()>) {
        let actions = self.streams.on_tick(Instant::now());
        self.carry_out(actions, context.actor_ref());
    }
}
