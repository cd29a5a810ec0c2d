//! The actor that plans what engines hold.
//!
//! Any number of entries may plan at once, since only the compare-and-swap
//! decides. So that the key-value service is not loaded by every entry of the
//! fleet, only the first few by name do, each after a random delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_control::plan::document::Plan;
use jujubewall_control::plan::input::EngineReport;
use jujubewall_control::plan::input::PlanInput;
use jujubewall_control::plan::input::Presence;
use jujubewall_control::plan::settings::PlanSettings;
use jujubewall_control::plan::writer::PlanStep;
use jujubewall_control::plan::writer::PlanStepError;
use jujubewall_control::plan::writer::PlanWriter;
use jujubewall_control::plan::writer::WrittenPlan;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_protocol::report::HoldingsReport;
use jujubewall_protocol::report::ReportMessage;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::member::MemberState;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use log::info;
use log::warn;
use tokio::time::Instant;

use crate::alarm::tick;
use crate::entry::actor::EntryActor;
use crate::entry::holdings::FleetHoldings;
use crate::entry::messages::HoldingsChanged;
use crate::entry::messages::MembersChanged;
use crate::membership::Members;
use crate::network::Network;

/// The number of entries that plan.
const PLANNERS: usize = 3;

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// The shortest time from a change to the plan for it, in milliseconds.
const MIN_DELAY_MS: u64 = 200;

/// The longest time that is added to it at random, in milliseconds.
const MAX_JITTER_MS: u64 = 500;

/// The time between two plans without a change.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The time after the start from which on agents that are unknown count as lost.
const START_GRACE: Duration = Duration::from_secs(15);

/// What the actor is built from.
pub struct PlannerArgs {
    /// The network.
    pub network: Network,
    /// The name of this process.
    pub member: MemberName,
    /// The members.
    pub members: Members,
    /// What the engines hold, which this actor keeps up to date.
    pub holdings: FleetHoldings,
    /// The key-value service, which holds the plan.
    pub key_value: Arc<dyn KeyValue>,
    /// The actor that is told when holdings change.
    pub entry: ActorRef<EntryActor>,
}

/// Keeps the reports of the agents and plans what engines hold.
pub struct PlannerActor {
    network: Network,
    member: MemberName,
    members: Members,
    holdings: FleetHoldings,
    entry: ActorRef<EntryActor>,
    writer: Arc<PlanWriter>,
    configuration: Arc<Configuration>,
    /// The engines beside each agent.
    agents: BTreeMap<SocketAddr, Vec<UpstreamName>>,
    started_at: Instant,
    due: Instant,
    /// When the plan is made again even from the same input.
    recheck_at: Instant,
    /// The input of the last step, unless it has failed.
    planned_for: Option<PlanInput>,
    is_stepping: bool,
    have_holdings_changed: bool,
    in_force: Option<WrittenPlan>,
}

/// Another configuration is to be planned for.
#[derive(Debug)]
pub struct PlanConfiguration(pub Arc<Configuration>);

/// An agent has told what its engines hold.
#[derive(Debug)]
pub struct ReportReceived {
    /// The address at which the agent accepts connections.
    pub from: SocketAddr,
    /// The report.
    pub report: HoldingsReport,
}

/// It is time to look at what is due.
struct Tick;

/// A step of planning has ended.
struct StepDone(Result<PlanStep, PlanStepError>);

impl PlannerActor {
    /// Plans soon; several changes are planned for together.
    fn plan_soon(&mut self) {
        self.due = self.due.min(Instant::now() + jittered_delay());
    }

    fn step_if_due(&mut self, now: Instant, actor: &ActorRef<Self>) {
        if now < self.due || self.is_stepping {
            return;
        }
        let recheck_at = now + RECHECK_INTERVAL + jittered_delay();
        self.due = recheck_at;
        if !self.is_planner() || !self.is_informed(now) {
            return;
        }
        let input = self.input();
        if now < self.recheck_at && self.planned_for.as_ref() == Some(&input) {
            self.due = self.recheck_at;
            return;
        }
        self.is_stepping = true;
        self.recheck_at = recheck_at;
        self.planned_for = Some(input.clone());
        let writer = Arc::clone(&self.writer);
        let actor = actor.clone();
        tokio::spawn(async move {
            let done = StepDone(writer.step(&input).await);
            let _ = actor.tell(done).send().await;
        });
    }

    fn is_planner(&self) -> bool {
        let mut entries = self.members.live_entries();
        entries.sort_unstable();
        entries.iter().take(PLANNERS).any(|it| *it == self.member)
    }

    /// Returns whether enough is known to plan.
    ///
    /// A plan from partial knowledge would move engines for those that have
    /// just not been heard of yet.
    fn is_informed(&self, now: Instant) -> bool {
        if self.configuration.models.is_empty() {
            return false;
        }
        let mut engines = engines(&self.configuration);
        let is_known = |engine: &Upstream| match self.members.state_at(engine.agent_address) {
            None => false,
            Some(MemberState::Alive | MemberState::Suspect) => self.holdings.of(engine).is_some(),
            Some(MemberState::Leaving | MemberState::Dead) => true,
        };
        now >= self.started_at + START_GRACE || engines.all(is_known)
    }

    fn input(&self) -> PlanInput {
        PlanInput::new(&self.configuration, |name| self.engine_report(name))
    }

    fn engine_report(&self, name: &UpstreamName) -> EngineReport {
        let Some(owned) = self.configuration.upstreams.get(name) else {
            return EngineReport::default();
        };
        let engine = &owned.item;
        let Some(held) = self.holdings.of(engine) else {
            return EngineReport::default();
        };
        let presence = match self.members.state_at(engine.agent_address) {
            Some(MemberState::Leaving) => Presence::Leaving,
            Some(MemberState::Alive | MemberState::Suspect) if held.is_reachable => Presence::Live,
            _ => Presence::Lost,
        };
        EngineReport {
            presence,
            measured_token_layers_per_s: None,
            loaded: held.loaded,
        }
    }

    fn on_plan(&mut self, plan: WrittenPlan) {
        let is_newer = |known: &WrittenPlan| plan.fencing() > known.fencing();
        if !self.in_force.as_ref().is_none_or(is_newer) {
            return;
        }
        let before = self.in_force.replace(plan);
        for &agent in self.agents.keys() {
            let part = before.as_ref().map(|before| self.part(before, agent));
            self.tell_plan(agent, part.as_ref());
        }
    }

    /// Sends an agent the part of the plan that is about its engines, unless it knows it.
    fn tell_plan(&self, agent: SocketAddr, known: Option<&Plan>) {
        let Some(in_force) = &self.in_force else {
            return;
        };
        let part = self.part(in_force, agent);
        if known.is_some_and(|known| known.engines == part.engines) {
            return;
        }
        match part.encode() {
            Ok(plan) => {
                let number = in_force.fencing();
                let message = ReportMessage::Plan { number, plan };
                self.network.send(agent, message);
            }
            Err(error) => warn!("a plan cannot be passed on: {error}"),
        }
    }

    fn part(&self, whole: &WrittenPlan, agent: SocketAddr) -> Plan {
        let beside = self.agents.get(&agent).into_iter().flatten();
        let planned = beside.filter_map(|name| {
            let planned = whole.plan.engines.get(name)?;
            Some((name.clone(), planned.clone()))
        });
        Plan {
            config_revision: whole.plan.config_revision,
            engines: planned.collect(),
            ..Plan::default()
        }
    }
}

fn engines(configuration: &Configuration) -> impl Iterator<Item = &Upstream> {
    let upstreams = configuration.upstreams.values().map(|owned| &owned.item);
    upstreams.filter(|upstream| matches!(upstream.kind, UpstreamKind::Engine(_)))
}

fn jittered_delay() -> Duration {
    let jitter_ms = rand::random::<u64>() % MAX_JITTER_MS;
    Duration::from_millis(MIN_DELAY_MS + jitter_ms)
}

impl Actor for PlannerActor {
    type Args = PlannerArgs;
    type Error = Infallible;

    async fn on_start(args: PlannerArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(TICK, actor.downgrade(), || Tick));
        let now = Instant::now();
        let writer = PlanWriter::new(args.key_value, PlanSettings::default());
        Ok(Self {
            network: args.network,
            member: args.member,
            members: args.members,
            holdings: args.holdings,
            entry: args.entry,
            writer: Arc::new(writer),
            configuration: Arc::default(),
            agents: BTreeMap::new(),
            started_at: now,
            due: now,
            recheck_at: now,
            planned_for: None,
            is_stepping: false,
            have_holdings_changed: false,
            in_force: None,
        })
    }
}

impl Handle<PlanConfiguration> for PlannerActor {
    type Reply = ();

    async fn handle(&mut self, apply: PlanConfiguration, _: &mut Context<Self, ()>) {
        self.configuration = apply.0;
        self.agents.clear();
        for engine in engines(&self.configuration) {
            let beside = self.agents.entry(engine.agent_address).or_default();
            beside.push(engine.name.clone());
        }
        let agents = &self.agents;
        self.holdings.retain(|agent| agents.contains_key(&agent));
        self.plan_soon();
    }
}

impl Handle<MembersChanged> for PlannerActor {
    type Reply = ();

    async fn handle(&mut self, _: MembersChanged, _: &mut Context<Self, ()>) {
        self.plan_soon();
    }
}

impl Handle<ReportReceived> for PlannerActor {
    type Reply = ();

    async fn handle(&mut self, received: ReportReceived, _: &mut Context<Self, ()>) {
        let known = received.report.plan;
        if self.holdings.accept(received.from, received.report) {
            self.have_holdings_changed = true;
            self.plan_soon();
        }
        let is_newer = |plan: &WrittenPlan| plan.fencing() > known;
        if self.in_force.as_ref().is_some_and(is_newer) {
            self.tell_plan(received.from, None);
        }
    }
}

impl Handle<StepDone> for PlannerActor {
    type Reply = ();

    async fn handle(&mut self, done: StepDone, _: &mut Context<Self, ()>) {
        self.is_stepping = false;
        match done.0 {
            Ok(PlanStep::Unchanged(plan)) => self.on_plan(plan),
            Ok(PlanStep::Written(plan)) => {
                info!("plan {} is written", plan.fencing());
                self.on_plan(plan);
            }
            Ok(PlanStep::Superseded) => {
                self.planned_for = None;
                self.plan_soon();
            }
            // The next look at what is due plans again.
            Err(error) => {
                self.planned_for = None;
                warn!("planning fails: {error}");
            }
        }
    }
}

impl Handle<Tick> for PlannerActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        if std::mem::take(&mut self.have_holdings_changed) {
            let _ = self.entry.tell(HoldingsChanged).send().await;
        }
        self.step_if_due(Instant::now(), context.actor_ref());
    }
}
