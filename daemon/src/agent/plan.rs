//! The actor that brings an agent's engines to what the plan says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_control::plan::document::Plan;
use jujubewall_control::plan::reconcile::ReconcileSettings;
use jujubewall_control::plan::reconcile::Reconciler;
use jujubewall_control::plan::reconcile::action::ReadToken;
use jujubewall_control::plan::reconcile::action::ReconcileAction;
use jujubewall_control::plan::reconcile::action::ReconcileActions;
use jujubewall_control::plan::settings::PlanSettings;
use jujubewall_control::plan::writer::PlanStepError;
use jujubewall_control::plan::writer::PlanWriter;
use jujubewall_control::plan::writer::WrittenPlan;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::weight_store::WeightStore;
use jujubewall_protocol::report::HoldingsReport;
use jujubewall_protocol::report::ReportMessage;
use jujubewall_types::config::Assignment;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::UpstreamName;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::engine::EngineOrder;
use jujubewall_upstream::engine::EngineStatus;
use jujubewall_upstream::error::UpstreamError;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use log::info;
use log::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::agent::actor::AgentActor;
use crate::agent::actor::UsesAssignment;
use crate::agent::holdings::Holdings;
use crate::agent::upstreams::Upstreams;
use crate::alarm::tick;
use crate::membership::Members;
use crate::network::Network;

/// The time between two ticks, several of which fit into the pause threshold.
const TICK: Duration = Duration::from_millis(100);

/// The time between two reports without a change.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The time after a failed transfer or order before the next one.
const FAILURE_DELAY: Duration = Duration::from_secs(1);

/// The time that entries have to learn of a drain before its end is looked for.
const DRAIN_NOTICE: Duration = Duration::from_secs(1);

/// The time between two looks at a drained assignment.
const DRAIN_POLL: Duration = Duration::from_millis(300);

/// What the actor is built from.
pub struct PlanArgs {
    /// The network.
    pub network: Network,
    /// The members, among which are the entries that are told what engines hold.
    pub members: Members,
    /// The key-value service, which holds the plan.
    pub key_value: Arc<dyn KeyValue>,
    /// The weight store.
    pub weight_store: Arc<dyn WeightStore>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The actor that knows the stages.
    pub agent: ActorRef<AgentActor>,
}

/// Owns the reconciler of an agent.
pub struct PlanActor {
    network: Network,
    members: Members,
    writer: Arc<PlanWriter>,
    weight_store: Arc<dyn WeightStore>,
    agent: ActorRef<AgentActor>,
    reconciler: Reconciler,
    upstreams: Upstreams,
    holdings: Holdings,
    drains: Vec<Drain>,
    /// How often each engine was given an order or answered one, so that a
    /// status that was asked for before is known to be old.
    order_epochs: HashMap<UpstreamName, u64>,
    entries: Vec<SocketAddr>,
    last_report: HoldingsReport,
    report_due: Instant,
}

/// An assignment that takes no new work.
struct Drain {
    engine: UpstreamName,
    assignment: Assignment,
    next_look: Instant,
}

/// Another configuration is to be applied.
#[derive(Debug)]
pub struct ApplyEngines(pub Arc<Configuration>);

/// An entry has passed on the part of a plan that is about this agent's engines.
#[derive(Debug)]
pub struct PlanTold {
    /// The number of the plan.
    pub number: FencingNumber,
    /// The part of the plan.
    pub plan: Plan,
}

/// The period of the reconciler has passed.
struct Tick;

/// Something that was asked for has come about.
enum PlanAnswer {
    Read(ReadToken, Result<WrittenPlan, PlanStepError>),
    Status {
        engine: UpstreamName,
        epoch: u64,
        result: Result<EngineStatus, UpstreamError>,
    },
    Fetched(UpstreamName, bool),
    Idle(UpstreamName, Assignment),
    Ordered(UpstreamName, Result<(), UpstreamError>),
}

impl PlanActor {
    fn carry_out(&mut self, actions: ReconcileActions, actor: &ActorRef<Self>) {
        for action in actions {
            self.carry_out_one(action, actor);
        }
    }

    fn carry_out_one(&mut self, action: ReconcileAction, actor: &ActorRef<Self>) {
        match action {
            ReconcileAction::ReadPlan { token } => {
                let writer = Arc::clone(&self.writer);
                tell_when_done(actor, async move {
                    PlanAnswer::Read(token, writer.read().await)
                });
            }
            ReconcileAction::ReadStatus { engine } => self.read_status(engine, actor),
            ReconcileAction::Fetch { engine, assignment } => {
                let weight_store = Arc::clone(&self.weight_store);
                tell_when_done(actor, fetch(weight_store, engine, assignment));
            }
            ReconcileAction::Drain { engine, assignment } => {
                self.drains.retain(|drain| drain.engine != engine);
                self.holdings.set_draining(&engine, &assignment, true);
                let next_look = Instant::now() + DRAIN_NOTICE;
                self.drains.push(Drain {
                    engine,
                    assignment,
                    next_look,
                });
            }
            ReconcileAction::EndDrain { engine, assignment } => {
                self.end_drain(&engine, &assignment);
            }
            ReconcileAction::OrderReady { engine } => self.order(engine, actor),
        }
    }

    fn read_status(&self, engine: UpstreamName, actor: &ActorRef<Self>) {
        let epoch = self.epoch(&engine);
        let client = self.upstreams.engine(&engine);
        tell_when_done(actor, async move {
            let result = match client {
                Some(client) => client.status().await,
                None => Err(unknown_engine()),
            };
            PlanAnswer::Status {
                engine,
                epoch,
                result,
            }
        });
    }

    fn order(&mut self, engine: UpstreamName, actor: &ActorRef<Self>) {
        let client = self.upstreams.engine(&engine);
        let released_at = Instant::now();
        let Some(order) = self.reconciler.release_order(released_at, &engine) else {
            return;
        };
        info!("engine {engine} is ordered: {order:?}");
        self.next_epoch(&engine);
        tell_when_done(actor, send_order(client, engine, order, released_at));
    }

    fn end_drain(&mut self, engine: &UpstreamName, assignment: &Assignment) {
        self.drains.retain(|drain| drain.engine != *engine);
        self.holdings.set_draining(engine, assignment, false);
    }

    /// Asks whether drained assignments have work left.
    fn poll_drains(&mut self, now: Instant, actor: &ActorRef<Self>) {
        for drain in &mut self.drains {
            if now < drain.next_look {
                continue;
            }
            drain.next_look = now + DRAIN_POLL;
            let agent = self.agent.clone();
            let asked = UsesAssignment {
                upstream: drain.engine.clone(),
                assignment: drain.assignment.clone(),
            };
            let (engine, assignment) = (drain.engine.clone(), drain.assignment.clone());
            let actor = actor.clone();
            tokio::spawn(async move {
                if let Ok(false) = agent.ask(asked).send().await {
                    let idle = PlanAnswer::Idle(engine, assignment);
                    let _ = actor.tell(idle).send().await;
                }
            });
        }
    }

    /// Tells the live entries what the engines hold if that or the entries have changed.
    fn report(&mut self, now: Instant) {
        let entries = self.members.entry_addresses();
        let have_holdings_changed = self.holdings.take_changed();
        let have_entries_changed = entries != self.entries;
        let is_due = now >= self.report_due;
        if !have_holdings_changed && !have_entries_changed && !is_due {
            return;
        }
        self.report_due = now + REPORT_INTERVAL;
        self.entries = entries;
        self.last_report.number += 1;
        self.last_report.plan = self.reconciler.authority().highest();
        self.last_report.engines = self.holdings.list();
        for entry in &self.entries {
            let report = ReportMessage::Holdings(self.last_report.clone());
            self.network.send(*entry, report);
        }
    }

    fn epoch(&self, engine: &UpstreamName) -> u64 {
        self.order_epochs.get(engine).copied().unwrap_or_default()
    }

    fn next_epoch(&mut self, engine: &UpstreamName) {
        *self.order_epochs.entry(engine.clone()).or_default() += 1;
    }

    fn on_read(
        &mut self,
        now: Instant,
        token: ReadToken,
        result: Result<WrittenPlan, PlanStepError>,
    ) -> ReconcileActions {
        match result {
            Ok(read) => {
                let number = read.fencing();
                self.reconciler.on_plan_read(now, token, number, read.plan)
            }
            // The reconciler asks again.
            Err(error) => {
                warn!("the plan cannot be read: {error}");
                Vec::new()
            }
        }
    }

    fn on_status(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        epoch: u64,
        result: Result<EngineStatus, UpstreamError>,
    ) -> ReconcileActions {
        if epoch != self.epoch(engine) || self.upstreams.engine(engine).is_none() {
            return Vec::new();
        }
        let Ok(status) = result else {
            self.holdings.on_status_failed(engine);
            return Vec::new();
        };
        self.holdings.on_status(engine, &status.loaded);
        self.reconciler.on_status(now, engine, status)
    }

    fn on_ordered(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        result: &Result<(), UpstreamError>,
    ) -> ReconcileActions {
        if let Err(error) = result {
            warn!("engine {engine} has not followed an order: {error}");
        }
        self.next_epoch(engine);
        // What was drained is dropped now, or drained anew; until the next status
        // it takes no new work.
        self.drains.retain(|drain| drain.engine != *engine);
        self.reconciler.on_order_answer(now, engine, result)
    }
}

async fn fetch(
    weight_store: Arc<dyn WeightStore>,
    engine: UpstreamName,
    assignment: Assignment,
) -> PlanAnswer {
    let fetched = weight_store.fetch(&assignment).await;
    if let Err(error) = &fetched {
        warn!("weights for {engine} cannot be fetched: {error}");
        sleep(FAILURE_DELAY).await;
    }
    PlanAnswer::Fetched(engine, fetched.is_ok())
}

/// Sends an order unless the process was paused since its release.
async fn send_order(
    client: Option<Arc<dyn Engine>>,
    engine: UpstreamName,
    order: EngineOrder,
    released_at: Instant,
) -> PlanAnswer {
    let is_late = released_at.elapsed() > ReconcileSettings::default().send_window;
    let result = match client {
        Some(_) if is_late => Err(UpstreamError::NotSent("the order is too old".to_owned())),
        Some(client) => client.order(order).await,
        None => Err(unknown_engine()),
    };
    if result.is_err() {
        sleep(FAILURE_DELAY).await;
    }
    PlanAnswer::Ordered(engine, result)
}

fn unknown_engine() -> UpstreamError {
    UpstreamError::NotSent("the agent knows no such engine".to_owned())
}

fn tell_when_done(
    actor: &ActorRef<PlanActor>,
    call: impl Future<Output = PlanAnswer> + Send + 'static,
) {
    let actor = actor.clone();
    tokio::spawn(async move {
        let answer = call.await;
        let _ = actor.tell(answer).send().await;
    });
}

impl Actor for PlanActor {
    type Args = PlanArgs;
    type Error = Infallible;

    async fn on_start(args: PlanArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(TICK, actor.downgrade(), || Tick));
        let now = Instant::now();
        let writer = PlanWriter::new(args.key_value, PlanSettings::default());
        Ok(Self {
            network: args.network,
            members: args.members,
            writer: Arc::new(writer),
            weight_store: args.weight_store,
            agent: args.agent,
            reconciler: Reconciler::new(ReconcileSettings::default(), now),
            upstreams: Upstreams::default(),
            holdings: Holdings::default(),
            drains: Vec::new(),
            order_epochs: HashMap::new(),
            entries: Vec::new(),
            last_report: HoldingsReport {
                incarnation: args.incarnation,
                number: 0,
                plan: FencingNumber::default(),
                engines: Vec::new(),
            },
            report_due: now,
        })
    }
}

impl Handle<ApplyEngines> for PlanActor {
    type Reply = ();

    async fn handle(&mut self, apply: ApplyEngines, _: &mut Context<Self, ()>) {
        let own_address = self.network.own_address();
        self.upstreams.apply(&apply.0, own_address, Instant::now());
        let upstreams = apply.0.upstreams.iter();
        let engines = upstreams.filter_map(|(name, owned)| match &owned.item.kind {
            UpstreamKind::Engine(profile) if owned.item.agent_address == own_address => {
                Some((name.clone(), profile.max_layers))
            }
            _ => None,
        });
        self.reconciler.set_engines(engines);
        let upstreams = &self.upstreams;
        self.holdings
            .retain(|name| upstreams.engine(name).is_some());
        self.drains
            .retain(|drain| upstreams.engine(&drain.engine).is_some());
    }
}

impl Handle<PlanTold> for PlanActor {
    type Reply = ();

    async fn handle(&mut self, told: PlanTold, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self
            .reconciler
            .on_plan_received(now, told.number, told.plan);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<PlanAnswer> for PlanActor {
    type Reply = ();

    async fn handle(&mut self, answer: PlanAnswer, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = match answer {
            PlanAnswer::Read(token, result) => self.on_read(now, token, result),
            PlanAnswer::Status {
                engine,
                epoch,
                result,
            } => self.on_status(now, &engine, epoch, result),
            PlanAnswer::Fetched(engine, is_done) => {
                self.reconciler.on_fetched(now, &engine, is_done)
            }
            PlanAnswer::Idle(engine, assignment) => {
                self.reconciler.on_idle(now, &engine, &assignment)
            }
            PlanAnswer::Ordered(engine, result) => self.on_ordered(now, &engine, &result),
        };
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<Tick> for PlanActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self.reconciler.on_tick(now);
        self.carry_out(actions, context.actor_ref());
        self.poll_drains(now, context.actor_ref());
        self.report(now);
    }
}
