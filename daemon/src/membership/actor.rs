//! The actor that carries out membership.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_control::dissemination::Event;
use jujubewall_control::dissemination::Peer;
use jujubewall_platform::host_list::HostList;
use jujubewall_platform::host_list::HostRecord;
use jujubewall_platform::host_list::HostState;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::member::MemberMessage;
use jujubewall_protocol::member::MemberRecord;
use jujubewall_routing::membership::ListedHost;
use jujubewall_routing::membership::MemberChange;
use jujubewall_routing::membership::MemberView;
use jujubewall_routing::membership::Membership;
use jujubewall_routing::membership::MembershipAction;
use jujubewall_routing::membership::MembershipActions;
use jujubewall_routing::membership::MembershipInvariant;
use jujubewall_routing::membership::MembershipSettings;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::Revision;
use jujubewall_types::member::MemberState;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::alarm::tick;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::network::Network;

/// The time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// What the rest of the process is told about the members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MembershipEvent {
    /// The list of members has changed.
    Changed,
    /// The member at an address is alive with this incarnation.
    Alive(SocketAddr, Incarnation),
    /// The member at an address takes no new work.
    Leaving(SocketAddr),
    /// The member at an address is gone.
    Lost(SocketAddr),
    /// The platform lists this process's host as leaving.
    OwnHostLeaving,
}

/// What the actor is built from.
pub struct MembershipArgs {
    /// What this process claims about itself.
    pub own: MemberRecord,
    /// The addresses at which members are expected.
    pub seed_peers: Vec<SocketAddr>,
    /// The network.
    pub network: Network,
    /// The host list.
    pub host_list: Arc<dyn HostList>,
    /// The handle through which the rest of the process sees the members.
    pub members: Members,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Where changes of the live members go, for the configuration.
    pub dissemination: mpsc::Sender<Event>,
    /// Where changes go, for the rest of the process.
    pub events: mpsc::Sender<MembershipEvent>,
}

/// Owns the table of members.
pub struct MembershipActor {
    membership: Membership,
    network: Network,
    members: Members,
    metrics: Arc<Metrics>,
    dissemination: mpsc::Sender<Event>,
    events: mpsc::Sender<MembershipEvent>,
    live: Vec<Peer>,
}

/// A message about membership has arrived.
#[derive(Debug)]
pub struct MemberReceived {
    /// The sender.
    pub from: Arc<Hello>,
    /// The message.
    pub message: MemberMessage,
}

/// This process has applied another revision of the configuration.
#[derive(Debug)]
pub struct RevisionApplied(pub Revision);

/// Asks the process to tell the others that it leaves.
#[derive(Debug)]
pub struct AnnounceLeaving;

/// Asks for every member that is known.
#[derive(Debug)]
pub struct ListMembers;

/// The period of membership has passed.
struct Tick;

/// Asks whether this process should read the host list.
struct ReadsHostList;

/// The host list has been read.
struct HostsRead(Vec<HostRecord>);

impl MembershipActor {
    async fn carry_out(&mut self, actions: MembershipActions) {
        let mut has_changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.network.send(to, message),
                MembershipAction::Redial { to } => self.network.redial(to),
                MembershipAction::MemberChanged(change) => {
                    has_changed = true;
                    self.on_changed(&change).await;
                }
                MembershipAction::OwnLinkSuspect(is_suspect) => {
                    if is_suspect {
                        self.metrics.own_link_suspicions.inc();
                    }
                    info!("the own link is suspect: {is_suspect}");
                }
                MembershipAction::OwnHostLeaving => {
                    info!("the host list says that this host leaves");
                    self.tell(MembershipEvent::OwnHostLeaving).await;
                }
                MembershipAction::NameTaken { by } => {
                    warn!("another process at {by} has taken this member's name");
                }
            }
        }
        if has_changed {
            self.publish().await;
        }
    }

    async fn on_changed(&mut self, change: &MemberChange) {
        let record = &change.record;
        info!("member {} is {}", record.member, record.state);
        let address = record.peer_address;
        match record.state {
            MemberState::Alive => {
                let event = MembershipEvent::Alive(address, record.incarnation);
                self.tell(event).await;
            }
            MemberState::Dead => self.tell(MembershipEvent::Lost(address)).await,
            MemberState::Leaving => self.tell(MembershipEvent::Leaving(address)).await,
            MemberState::Suspect => {}
        }
    }

    /// Lets the rest of the process see the members.
    async fn publish(&mut self) {
        self.members.replace(self.membership.members().collect());
        let live = self.live_peers();
        if live != self.live {
            self.live.clone_from(&live);
            let _ = self.dissemination.send(Event::Members(live)).await;
        }
        self.tell(MembershipEvent::Changed).await;
    }

    fn live_peers(&self) -> Vec<Peer> {
        let is_live = |member: &MemberView| {
            matches!(
                member.record.state,
                MemberState::Alive | MemberState::Suspect
            )
        };
        let mut live: Vec<_> = self
            .membership
            .members()
            .filter(is_live)
            .map(|member| Peer {
                member: member.record.member,
                failure_domain: member.record.failure_domain,
                address: member.record.peer_address,
            })
            .collect();
        live.sort_by(|a, b| a.member.cmp(&b.member));
        live
    }

    async fn tell(&self, event: MembershipEvent) {
        // The rest of the process has stopped if nobody receives.
        let _ = self.events.send(event).await;
    }

    fn export_invariants(&self) {
        let invariants = self.membership.invariants();
        for invariant in MembershipInvariant::ALL {
            let violations = invariants.violations(invariant);
            self.metrics.set_violations(invariant.as_str(), violations);
        }
    }
}

/// Reads the host list from time to time while it is this process's task.
async fn read_hosts(host_list: Arc<dyn HostList>, actor: WeakActorRef<MembershipActor>) {
    while let Some(is_task) = ask_whether_to_read(&actor).await {
        if is_task {
            read_hosts_once(&*host_list, &actor).await;
        }
        sleep(HOST_LIST_INTERVAL).await;
    }
}

/// Returns `None` when the actor has stopped.
async fn ask_whether_to_read(actor: &WeakActorRef<MembershipActor>) -> Option<bool> {
    actor.upgrade()?.ask(ReadsHostList).send().await.ok()
}

async fn read_hosts_once(host_list: &dyn HostList, actor: &WeakActorRef<MembershipActor>) {
    let Ok(hosts) = host_list.hosts().await else {
        return;
    };
    if let Some(actor) = actor.upgrade() {
        // The process stops if the actor has stopped.
        let _ = actor.tell(HostsRead(hosts)).send().await;
    }
}

impl Actor for MembershipActor {
    type Args = MembershipArgs;
    type Error = Infallible;

    async fn on_start(args: MembershipArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let settings = MembershipSettings::default();
        tokio::spawn(tick(settings.tick, actor.downgrade(), || Tick));
        tokio::spawn(read_hosts(args.host_list, actor.downgrade()));
        let membership = Membership::new(
            args.own,
            settings,
            &args.seed_peers,
            rand::random(),
            Instant::now(),
        );
        let mut state = Self {
            membership,
            network: args.network,
            members: args.members,
            metrics: args.metrics,
            dissemination: args.dissemination,
            events: args.events,
            live: Vec::new(),
        };
        state.publish().await;
        Ok(state)
    }
}

impl Handle<MemberReceived> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, received: MemberReceived, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self
            .membership
            .on_message(now, &received.from, received.message);
        self.carry_out(actions).await;
    }
}

impl Handle<RevisionApplied> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, applied: RevisionApplied, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self.membership.set_applied_revision(now, applied.0);
        self.carry_out(actions).await;
    }
}

impl Handle<AnnounceLeaving> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: AnnounceLeaving, _: &mut Context<Self, ()>) {
        let actions = self.membership.leave(Instant::now());
        self.carry_out(actions).await;
    }
}

impl Handle<ListMembers> for MembershipActor {
    type Reply = Vec<MemberView>;

    async fn handle(
        &mut self,
        _: ListMembers,
        _: &mut Context<Self, Vec<MemberView>>,
    ) -> Vec<MemberView> {
        self.membership.members().collect()
    }
}

impl Handle<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let actions = self.membership.on_tick(Instant::now());
        self.carry_out(actions).await;
        self.export_invariants();
    }
}

impl Handle<ReadsHostList> for MembershipActor {
    type Reply = bool;

    async fn handle(&mut self, _: ReadsHostList, _: &mut Context<Self, bool>) -> bool {
        self.membership.reads_host_list()
    }
}

impl Handle<HostsRead> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, read: HostsRead, _: &mut Context<Self, ()>) {
        let hosts: Vec<_> = read
            .0
            .iter()
            .map(|host| ListedHost {
                peer_address: host.peer_address,
                is_leaving: host.state == HostState::Leaving,
            })
            .collect();
        let actions = self.membership.on_host_list(Instant::now(), &hosts);
        self.carry_out(actions).await;
    }
}
