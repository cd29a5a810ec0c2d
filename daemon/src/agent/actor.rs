//! The actor that carries out an agent's decisions about stages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_routing::stream::action::AgentAction;
use jujubewall_routing::stream::action::StageError;
use jujubewall_routing::stream::agent::AgentStreams;
use jujubewall_routing::stream::agent::StageKey;
use jujubewall_routing::stream::invariant::StreamInvariant;
use jujubewall_routing::stream::settings::AgentSettings;
use jujubewall_types::config::Assignment;
use jujubewall_types::config::Configuration;
use jujubewall_types::id::UpstreamName;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use tokio::time::Instant;

use crate::agent::admissions::Admissions;
use crate::agent::admissions::Admitted;
use crate::agent::engine;
use crate::agent::orders::ApplyServices;
use crate::agent::orders::AreOrdersIdle;
use crate::agent::orders::LeaveOrders;
use crate::agent::orders::OrdersActor;
use crate::agent::upstreams::Upstreams;
use crate::alarm::Alarm;
use crate::metrics::Metrics;
use crate::network::Network;

/// The time between two looks at stages that wait to be admitted.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(50);

/// What the actor is built from.
#[derive(Debug)]
pub struct AgentArgs {
    /// The network.
    pub network: Network,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The settings of the stages.
    pub settings: AgentSettings,
    /// The time that stages of a withdrawn engine have to end or move.
    pub drain_grace: Duration,
    /// The actor of calls to plain services.
    pub orders: ActorRef<OrdersActor>,
}

/// Owns the stages of an agent and the clients of its engines.
pub struct AgentActor {
    network: Network,
    metrics: Arc<Metrics>,
    streams: AgentStreams,
    upstreams: Upstreams,
    drain_grace: Duration,
    orders: ActorRef<OrdersActor>,
    admissions: Admissions,
    used_costs: HashMap<StageKey, u64>,
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

/// Asks whether a stage runs layers of an assignment at an engine.
#[derive(Debug)]
pub struct UsesAssignment {
    /// The engine.
    pub upstream: UpstreamName,
    /// The assignment.
    pub assignment: Assignment,
}

/// The alarm has rung.
struct Wake;

/// The engine has answered.
enum EngineAnswer {
    Step(StepDone),
    Exported(StageKey, Result<KvCache, StageError>),
    Imported(StageKey, Result<(), StageError>),
}

/// The result of a step.
struct StepDone {
    ticket: StageKey,
    positions: u32,
    time: Duration,
    result: Result<Bytes, StageError>,
}

impl AgentActor {
    fn on_step_done(&mut self, done: StepDone, actor: &ActorRef<Self>) -> Vec<AgentAction> {
        let now = Instant::now();
        self.metrics.count_step(done.time);
        // Only steps of one position take about the same time.
        if done.result.is_ok() && done.positions == 1 {
            let answers = self.admissions.on_response(now, done.ticket, done.time);
            self.answer_admissions(answers, actor);
        }
        self.streams.on_step_done(now, done.ticket, done.result)
    }

    fn answer_admissions(&mut self, answers: Vec<Admitted>, actor: &ActorRef<Self>) {
        for Admitted { ticket, result } in answers {
            let now = Instant::now();
            let actions = match result {
                Ok(()) => self.streams.on_admitted(now, ticket),
                Err(failure) => self.streams.on_refused(now, ticket, failure),
            };
            self.carry_out(actions, actor);
        }
    }

    fn export_invariants(&self) {
        let invariants = self.streams.invariants();
        for invariant in StreamInvariant::ALL {
            let violations = invariants.violations(invariant);
            self.metrics.set_violations(invariant.as_str(), violations);
        }
    }

    fn set_alarm(&self) {
        let waiting = self.admissions.has_waiting();
        let admission = waiting.then(|| Instant::now() + ADMISSION_INTERVAL);
        let wakeups = [self.streams.next_wakeup(), admission];
        self.alarm.set(wakeups.into_iter().flatten().min());
    }

    fn carry_out(&mut self, actions: Vec<AgentAction>, actor: &ActorRef<Self>) {
        for action in actions {
            self.carry_out_one(action, actor);
        }
        self.set_alarm();
    }

    fn carry_out_one(&mut self, action: AgentAction, actor: &ActorRef<Self>) {
        match action {
            AgentAction::Send { to, message } => self.network.send(to, message),
            AgentAction::Admit { ticket, open } => {
                let answer = self.admissions.offer(Instant::now(), ticket, &open);
                self.answer_admissions(answer.into_iter().collect(), actor);
            }
            AgentAction::RunStep {
                ticket,
                upstream,
                step,
            } => {
                let engine = self.upstreams.engine(&upstream);
                let positions = step.positions;
                let cost = u64::from(positions) * u64::from(step.layers.len());
                *self.used_costs.entry(ticket).or_default() += cost;
                tell_when_done(actor, async move {
                    let started = Instant::now();
                    let result = engine::run_step(engine, step).await;
                    EngineAnswer::Step(StepDone {
                        ticket,
                        positions,
                        time: started.elapsed(),
                        result,
                    })
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
            AgentAction::Ended { ticket } => {
                let used_cost = self.used_costs.remove(&ticket).unwrap_or_default();
                let answers = self.admissions.on_ended(Instant::now(), ticket, used_cost);
                self.answer_admissions(answers, actor);
            }
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
        let alarm = Alarm::start_for(&actor, || Wake);
        Ok(Self {
            streams: AgentStreams::new(args.network.own_address(), args.settings),
            network: args.network,
            metrics: args.metrics,
            upstreams: Upstreams::default(),
            drain_grace: args.drain_grace,
            orders: args.orders,
            admissions: Admissions::default(),
            used_costs: HashMap::new(),
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
        // An actor that has stopped needs no messages.
        let _ = self.orders.tell(received).send().await;
    }
}

impl Handle<EngineAnswer> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, answer: EngineAnswer, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = match answer {
            EngineAnswer::Step(done) => self.on_step_done(done, context.actor_ref()),
            EngineAnswer::Exported(ticket, result) => self.streams.on_exported(now, ticket, result),
            EngineAnswer::Imported(ticket, result) => self.streams.on_imported(now, ticket, result),
        };
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<ApplyConfiguration> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, apply: ApplyConfiguration, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let grace_end = now + self.drain_grace;
        let changes = self
            .upstreams
            .apply(&apply.0, self.network.own_address(), grace_end);
        for engine in &changes.added {
            self.streams.cancel_upstream_leave(engine);
        }
        for engine in &changes.withdrawn {
            let actions = self.streams.leave_upstream(now, engine, grace_end);
            self.carry_out(actions, context.actor_ref());
        }
        let configuration = Arc::clone(&apply.0);
        let _ = self.orders.tell(ApplyServices(configuration)).send().await;
        self.admissions.apply(apply.0);
    }
}

impl Handle<Leave> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, leave: Leave, context: &mut Context<Self, ()>) {
        self.admissions.drain();
        let _ = self.orders.tell(LeaveOrders).send().await;
        let actions = self.streams.leave(Instant::now(), leave.grace_end);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<IsIdle> for AgentActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsIdle, _: &mut Context<Self, bool>) -> bool {
        let is_idle = self.orders.ask(AreOrdersIdle).send().await;
        self.streams.is_idle() && is_idle.unwrap_or(true)
    }
}

impl Handle<UsesAssignment> for AgentActor {
    type Reply = bool;

    async fn handle(&mut self, asked: UsesAssignment, _: &mut Context<Self, bool>) -> bool {
        self.streams.uses(&asked.upstream, &asked.assignment)
    }
}

impl Handle<Wake> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Wake, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self.streams.on_tick(now);
        self.carry_out(actions, context.actor_ref());
        let answers = self.admissions.on_tick(now);
        self.answer_admissions(answers, context.actor_ref());
        self.export_invariants();
    }
}
