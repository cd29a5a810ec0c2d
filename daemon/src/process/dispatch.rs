//! Passing what arrives on to the part of the process that it is for.

use std::net::SocketAddr;
use std::sync::Arc;

use jujubewall_control::dissemination::Event;
use jujubewall_control::dissemination::handle::ConfigHandle;
use jujubewall_control::plan::document::Plan;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::limit::LimitMessage;
use jujubewall_protocol::message::Message;
use jujubewall_protocol::report::ReportMessage;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::config::Configuration;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::Revision;
use jujubewall_types::member::Role;
use kameo::actor::ActorRef;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::agent::actor as agent;
use crate::agent::actor::AgentActor;
use crate::agent::plan::ApplyEngines;
use crate::agent::plan::PlanActor;
use crate::agent::plan::PlanTold;
use crate::entry::actor::EntryActor;
use crate::entry::messages as entry;
use crate::entry::planner::PlanConfiguration;
use crate::entry::planner::PlannerActor;
use crate::entry::planner::ReportReceived;
use crate::entry::view::View;
use crate::membership::actor::MemberReceived;
use crate::membership::actor::MembershipEvent;
use crate::membership::actor::RevisionApplied;
use crate::network::NetworkEvent;
use crate::process::shared::Shared;

/// The actor of the process's role.
#[derive(Clone)]
pub enum RoleActor {
    /// The actors of an entry.
    Entry(ActorRef<EntryActor>, ActorRef<PlannerActor>),
    /// The actors of an agent.
    Agent(ActorRef<AgentActor>, ActorRef<PlanActor>),
}

impl RoleActor {
    // An actor that has stopped needs no messages, so that failures are passed over.

    async fn on_stream(&self, from: SocketAddr, message: StreamMessage) {
        match self {
            Self::Entry(actor, _) => {
                let received = entry::StreamReceived { from, message };
                let _ = actor.tell(received).send().await;
            }
            Self::Agent(actor, _) => {
                let received = agent::StreamReceived { from, message };
                let _ = actor.tell(received).send().await;
            }
        }
    }

    async fn on_call(&self, message: CallMessage) {
        match self {
            Self::Entry(actor, _) => {
                if let CallMessage::Result(result) = message {
                    let _ = actor.tell(entry::CallEnded(result)).send().await;
                }
            }
            Self::Agent(actor, _) => {
                let _ = actor.tell(agent::CallReceived(message)).send().await;
            }
        }
    }

    async fn on_limit(&self, from: MemberName, message: LimitMessage) {
        if let Self::Entry(actor, _) = self {
            let received = entry::LimitReceived { from, message };
            let _ = actor.tell(received).send().await;
        }
    }

    async fn on_report(&self, from: &Hello, message: ReportMessage) {
        match (self, message) {
            (Self::Entry(_, planner), ReportMessage::Holdings(report)) => {
                let from = from.peer_address;
                let _ = planner.tell(ReportReceived { from, report }).send().await;
            }
            (Self::Agent(_, plans), ReportMessage::Plan { number, plan })
                if from.role == Role::Entry =>
            {
                match Plan::decode(&plan) {
                    Ok(plan) => {
                        let _ = plans.tell(PlanTold { number, plan }).send().await;
                    }
                    Err(error) => warn!("{} passes on no plan: {error}", from.member),
                }
            }
            _ => warn!("{} sends a report for another role", from.member),
        }
    }

    async fn on_peer_lost(&self, peer: SocketAddr) {
        if let Self::Entry(actor, _) = self {
            let _ = actor.tell(entry::PeerLost(peer)).send().await;
        }
    }

    async fn on_peer_alive(&self, peer: SocketAddr, incarnation: Incarnation) {
        if let Self::Entry(actor, _) = self {
            let alive = entry::PeerAlive { peer, incarnation };
            let _ = actor.tell(alive).send().await;
        }
    }

    async fn on_peer_leaving(&self, peer: SocketAddr, grace_end: Instant) {
        if let Self::Entry(actor, _) = self {
            let leaving = entry::PeerLeaving { peer, grace_end };
            let _ = actor.tell(leaving).send().await;
        }
    }

    async fn on_members_changed(&self) {
        if let Self::Entry(actor, planner) = self {
            let _ = actor.tell(entry::MembersChanged).send().await;
            let _ = planner.tell(entry::MembersChanged).send().await;
        }
    }

    async fn on_own_host_leaving(&self, grace_end: Instant) {
        if let Self::Agent(actor, _) = self {
            let _ = actor.tell(agent::Leave { grace_end }).send().await;
        }
    }
}

/// Passes the network's events on until the network has stopped.
pub async fn network_events(
    mut events: mpsc::Receiver<NetworkEvent>,
    shared: Shared,
    role: RoleActor,
) {
    while let Some(event) = events.recv().await {
        match event {
            NetworkEvent::Received { from, message } => {
                received(&shared, &role, from, *message).await;
            }
            NetworkEvent::Lost(peer) => role.on_peer_lost(peer).await,
            NetworkEvent::Connected(_) | NetworkEvent::OwnLinkSuspect => {}
        }
    }
}

async fn received(shared: &Shared, role: &RoleActor, from: Arc<Hello>, message: Message) {
    match message {
        Message::Stream(message) => role.on_stream(from.peer_address, message).await,
        Message::Call(message) => role.on_call(message).await,
        Message::Member(message) => {
            let received = MemberReceived { from, message };
            let _ = shared.membership.tell(received).send().await;
        }
        Message::Config(message) => {
            let _ = shared.dissemination.send(Event::Message(message)).await;
        }
        Message::Limit(message) => role.on_limit(from.member.clone(), message).await,
        Message::Report(message) => role.on_report(&from, message).await,
    }
}

/// Passes changes of the members on until membership has stopped.
pub async fn member_events(
    mut events: mpsc::Receiver<MembershipEvent>,
    role: RoleActor,
    drain_grace: std::time::Duration,
) {
    while let Some(event) = events.recv().await {
        match event {
            MembershipEvent::Changed => role.on_members_changed().await,
            MembershipEvent::Alive(peer, incarnation) => {
                role.on_peer_alive(peer, incarnation).await;
            }
            MembershipEvent::Leaving(peer) => {
                role.on_peer_leaving(peer, Instant::now() + drain_grace)
                    .await;
            }
            MembershipEvent::Lost(peer) => role.on_peer_lost(peer).await,
            MembershipEvent::OwnHostLeaving => {
                role.on_own_host_leaving(Instant::now() + drain_grace).await;
            }
        }
    }
}

/// Brings each applied configuration to an entry.
pub async fn views(
    shared: Shared,
    views: watch::Sender<Arc<View>>,
    actor: ActorRef<EntryActor>,
    planner: ActorRef<PlannerActor>,
) {
    let mut revisions = Revisions::new(&shared);
    while let Some(configuration) = revisions.next().await {
        let apply = PlanConfiguration(Arc::clone(&configuration));
        let _ = planner.tell(apply).send().await;
        let view = Arc::new(View::new(configuration));
        let applied = view.configuration().revision;
        let told = actor.tell(entry::ApplyView(Arc::clone(&view))).send().await;
        views.send_replace(view);
        if told.is_err() {
            return;
        }
        report_applied(&shared, applied).await;
    }
}

/// Brings each applied configuration to an agent.
pub async fn agent_configurations(
    shared: Shared,
    actor: ActorRef<AgentActor>,
    plans: ActorRef<PlanActor>,
) {
    let mut revisions = Revisions::new(&shared);
    while let Some(configuration) = revisions.next().await {
        let applied = configuration.revision;
        let engines = ApplyEngines(Arc::clone(&configuration));
        let _ = plans.tell(engines).send().await;
        let apply = agent::ApplyConfiguration(configuration);
        if actor.tell(apply).send().await.is_err() {
            return;
        }
        report_applied(&shared, applied).await;
    }
}

/// The configurations that are in force one after the other.
struct Revisions {
    handle: Arc<ConfigHandle>,
    changes: watch::Receiver<Revision>,
}

impl Revisions {
    /// Starts with the configuration that is in force now, if there is one.
    fn new(shared: &Shared) -> Self {
        let mut changes = shared.configuration.subscribe();
        changes.mark_changed();
        Self {
            handle: Arc::clone(&shared.configuration),
            changes,
        }
    }

    /// Waits for the next configuration; some may be skipped for a newer one.
    async fn next(&mut self) -> Option<Arc<Configuration>> {
        loop {
            self.changes.changed().await.ok()?;
            let revision = *self.changes.borrow_and_update();
            if revision > Revision::default() {
                return Some(self.handle.configuration());
            }
        }
    }
}

/// Tells monitoring and the other members what the role has applied.
async fn report_applied(shared: &Shared, applied: Revision) {
    shared.metrics.set_applied_revision(applied);
    let _ = shared
        .membership
        .tell(RevisionApplied(applied))
        .send()
        .await;
}
