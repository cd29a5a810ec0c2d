//! Starting and stopping one process of the system.

mod dispatch;
mod limits;
mod monitoring;
mod shared;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_control::store::NoteStore;
use jujubewall_platform::http_weight_store::HttpWeightStore;
use jujubewall_routing::choice::ChooserSettings;
use jujubewall_routing::choice::PipelineChooser;
use jujubewall_routing::lifecycle;
use jujubewall_routing::lifecycle::DrainStep;
use jujubewall_routing::lifecycle::Draining;
use jujubewall_routing::lifecycle::Lifecycle;
use jujubewall_routing::lifecycle::Stopped;
use jujubewall_routing::stream::settings::AgentSettings;
use jujubewall_routing::stream::settings::EntrySettings;
use kameo::actor::ActorRef;
use kameo::actor::Spawn as _;
use kameo::mailbox;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::agent::actor as agent;
use crate::agent::actor::AgentActor;
use crate::agent::actor::AgentArgs;
use crate::agent::orders::OrdersActor;
use crate::agent::orders::OrdersArgs;
use crate::agent::plan::PlanActor;
use crate::agent::plan::PlanArgs;
use crate::entry::actor::EntryActor;
use crate::entry::actor::EntryArgs;
use crate::entry::callers::Callers;
use crate::entry::holdings::FleetHoldings;
use crate::entry::messages as entry;
use crate::entry::operators::Operators;
use crate::entry::planner::PlannerActor;
use crate::entry::planner::PlannerArgs;
use crate::listening;
use crate::membership::actor::AnnounceLeaving;
use crate::metrics::Metrics;
use crate::network::actor::RoundTrip;
use crate::process::dispatch::RoleActor;
use crate::process::shared::Shared;
use crate::server::listener::Listener;
use crate::settings::CheckedSettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;

/// The number of messages that wait for an actor before its senders slow down.
const MAILBOX_LEN: usize = 16 * 1024;

/// The time between two looks at whether a draining process is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that serves.
pub struct Running {
    shared: Shared,
    role: RunningRole,
    monitoring: Listener,
    is_serving: watch::Sender<bool>,
    lifecycle: Lifecycle<lifecycle::Running>,
    drain_grace: Duration,
}

/// The parts that only one role has.
enum RunningRole {
    Entry {
        actor: ActorRef<EntryActor>,
        planner: ActorRef<PlannerActor>,
        callers: Listener,
        operators: Listener,
    },
    Agent {
        actor: ActorRef<AgentActor>,
        plans: ActorRef<PlanActor>,
    },
}

impl RunningRole {
    fn actor(&self) -> RoleActor {
        match self {
            Self::Entry { actor, planner, .. } => RoleActor::Entry(actor.clone(), planner.clone()),
            Self::Agent { actor, plans } => RoleActor::Agent(actor.clone(), plans.clone()),
        }
    }
}

impl Running {
    /// Starts the process that the settings describe.
    pub fn start(checked: &CheckedSettings) -> eyre::Result<Self> {
        let settings = checked.settings();
        let (shared, events) = Shared::start(settings)?;
        let role = match checked.role() {
            RoleSettings::Entry {
                caller_address,
                operator_address,
            } => start_entry(&shared, settings, caller_address, operator_address)?,
            RoleSettings::Agent => start_agent(&shared, settings),
        };
        let drain_grace = Duration::from_millis(settings.limits.drain_grace_ms);
        tokio::spawn(dispatch::network_events(
            events.network,
            shared.clone(),
            role.actor(),
        ));
        tokio::spawn(dispatch::member_events(
            events.members,
            role.actor(),
            drain_grace,
        ));
        // A process that answers monitoring has bound all of its sockets.
        let (is_serving, serving) = watch::channel(true);
        let monitoring = monitoring::start(settings, &shared.metrics, serving)?;
        info!("{} {} serves", settings.role, settings.member);
        Ok(Self {
            shared,
            role,
            monitoring,
            is_serving,
            lifecycle: Lifecycle::new(),
            drain_grace,
        })
    }

    /// Returns the address at which peers reach the process.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.network.own_address()
    }

    /// Returns the address at which callers reach the process, if it is an entry.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        match &self.role {
            RunningRole::Entry { callers, .. } => Some(callers.address()),
            RunningRole::Agent { .. } => None,
        }
    }

    /// Returns the address at which operators reach the process, if it is an entry.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        match &self.role {
            RunningRole::Entry { operators, .. } => Some(operators.address()),
            RunningRole::Agent { .. } => None,
        }
    }

    /// Returns the address that serves metrics, liveness and readiness.
    pub fn metrics_address(&self) -> SocketAddr {
        self.monitoring.address()
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the time that a packet takes to each connected peer and back.
    pub async fn round_trips(&self) -> Vec<RoundTrip> {
        self.shared.network.round_trips().await
    }

    /// Reads the TLS identity again, so that keys are rotated without a restart.
    pub async fn reload_identity(&self, settings: &Settings) -> eyre::Result<()> {
        let identity = shared::read_identity(settings)?;
        self.shared.network.replace_identity(identity).await;
        Ok(())
    }

    /// Takes no new work, finishes what is in progress and stops.
    pub async fn stop(self) {
        info!("the process drains");
        let _ = self.is_serving.send(false);
        let draining = self.lifecycle.drain(Instant::now(), self.drain_grace);
        let _ = self.shared.membership.tell(AnnounceLeaving).send().await;
        let stopped = match self.role {
            RunningRole::Entry {
                actor,
                callers,
                operators,
                ..
            } => {
                let _ = actor.tell(entry::Drain).send().await;
                callers.drain(self.drain_grace).await;
                operators.drain(self.drain_grace).await;
                wait_until_idle(draining, async || {
                    actor.ask(entry::IsIdle).send().await.unwrap_or(true)
                })
                .await
            }
            RunningRole::Agent { actor, .. } => {
                let grace_end = draining.grace_end();
                let _ = actor.tell(agent::Leave { grace_end }).send().await;
                wait_until_idle(draining, async || {
                    actor.ask(agent::IsIdle).send().await.unwrap_or(true)
                })
                .await
            }
        };
        if stopped.cut_off() > 0 {
            warn!("the grace time has ended with work in progress");
        }
        self.shared.network.shut_down().await;
        self.monitoring.drain(DRAIN_POLL_INTERVAL).await;
        info!("the process stops");
    }
}

async fn wait_until_idle(
    mut draining: Lifecycle<Draining>,
    is_idle: impl AsyncFn() -> bool,
) -> Lifecycle<Stopped> {
    loop {
        let in_progress = usize::from(!is_idle().await);
        match draining.step(Instant::now(), in_progress) {
            DrainStep::Wait(waiting) => draining = waiting,
            DrainStep::Stop(stopped) => return stopped,
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn start_entry(
    shared: &Shared,
    settings: &Settings,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
) -> eyre::Result<RunningRole> {
    let holdings = FleetHoldings::default();
    let args = EntryArgs {
        member: settings.member.clone(),
        incarnation: shared.incarnation,
        network: shared.network.clone(),
        members: shared.members.clone(),
        holdings: holdings.clone(),
        metrics: Arc::clone(&shared.metrics),
        settings: EntrySettings::default(),
        chooser: PipelineChooser::new(ChooserSettings::default(), rand::random()),
    };
    let actor = EntryActor::spawn_with_mailbox(args, mailbox::bounded(MAILBOX_LEN));
    let planner = PlannerArgs {
        network: shared.network.clone(),
        member: settings.member.clone(),
        members: shared.members.clone(),
        holdings,
        key_value: Arc::clone(&shared.service),
        entry: actor.clone(),
    };
    let planner = PlannerActor::spawn_with_mailbox(planner, mailbox::bounded(MAILBOX_LEN));
    let (views, view) = watch::channel(Arc::default());
    tokio::spawn(dispatch::views(
        shared.clone(),
        views,
        actor.clone(),
        planner.clone(),
    ));
    let memory = limits::request_memory(settings);
    let callers = Callers {
        actor: actor.clone(),
        view: view.clone(),
        members: shared.members.clone(),
        metrics: Arc::clone(&shared.metrics),
        limits: limits::bodies(
            settings,
            settings.limits.max_body_bytes,
            &memory,
            &shared.metrics,
        ),
        own_address: shared.network.own_address(),
    };
    let operators = Operators {
        store: Arc::new(NoteStore::new(Arc::clone(&shared.service))),
        view,
        members: shared.members.clone(),
        membership: shared.membership.clone(),
        dissemination: shared.dissemination.clone(),
        partners: Arc::new(settings.partners.clone()),
        metrics: Arc::clone(&shared.metrics),
        limits: limits::bodies(
            settings,
            settings.limits.max_note_bytes,
            &memory,
            &shared.metrics,
        ),
    };
    let connections = limits::connections(settings);
    let caller_socket = listening::bind(caller_address)?;
    let operator_socket = listening::bind(operator_address)?;
    Ok(RunningRole::Entry {
        actor,
        planner,
        callers: Listener::start(
            caller_socket,
            connections,
            &shared.metrics,
            move |request| callers.handle(request),
        )?,
        operators: Listener::start(
            operator_socket,
            connections,
            &shared.metrics,
            move |request| operators.handle(request),
        )?,
    })
}

fn start_agent(shared: &Shared, settings: &Settings) -> RunningRole {
    let orders = OrdersArgs {
        network: shared.network.clone(),
        metrics: Arc::clone(&shared.metrics),
        key_value: Arc::clone(&shared.service),
        incarnation: shared.incarnation,
    };
    let args = AgentArgs {
        orders: OrdersActor::spawn_with_mailbox(orders, mailbox::bounded(MAILBOX_LEN)),
        network: shared.network.clone(),
        metrics: Arc::clone(&shared.metrics),
        settings: AgentSettings::default(),
        drain_grace: Duration::from_millis(settings.limits.drain_grace_ms),
    };
    let actor = AgentActor::spawn_with_mailbox(args, mailbox::bounded(MAILBOX_LEN));
    let weight_store = HttpWeightStore::new(settings.platform.weight_store_address);
    let plans = PlanArgs {
        network: shared.network.clone(),
        members: shared.members.clone(),
        key_value: Arc::clone(&shared.service),
        weight_store: Arc::new(weight_store),
        incarnation: shared.incarnation,
        agent: actor.clone(),
    };
    let plans = PlanActor::spawn_with_mailbox(plans, mailbox::bounded(MAILBOX_LEN));
    tokio::spawn(dispatch::agent_configurations(
        shared.clone(),
        actor.clone(),
        plans.clone(),
    ));
    RunningRole::Agent { actor, plans }
}
