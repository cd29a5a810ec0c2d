//! Starting and stopping one process of the system.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr as _;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujubewall_control::store::NoteStore;
use jujubewall_platform::http_key_value::HttpKeyValue;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::hello::PROTOCOL_VERSION;
use jujubewall_protocol::message::Message;
use jujubewall_routing::choice::ChooserSettings;
use jujubewall_routing::choice::PipelineChooser;
use jujubewall_routing::stream::settings::AgentSettings;
use jujubewall_routing::stream::settings::EntrySettings;
use jujubewall_types::config::Configuration;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::Incarnation;
use kameo::actor::ActorRef;
use kameo::actor::Spawn as _;
use kameo::mailbox;
use log::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::agent::actor as agent;
use crate::agent::actor::AgentActor;
use crate::agent::actor::AgentArgs;
use crate::configuration;
use crate::entry::actor as entry;
use crate::entry::actor::EntryActor;
use crate::entry::actor::EntryArgs;
use crate::entry::callers::Callers;
use crate::entry::operators::Operators;
use crate::entry::view::View;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::network::NetworkEvent;
use crate::network::actor::RoundTrip;
use crate::network::tls::Identity;
use crate::server::answer;
use crate::server::answer::Answer;
use crate::server::body::BodyLimits;
use crate::server::listener::ConnectionLimits;
use crate::server::listener::Listener;
use crate::settings::CheckedSettings;
use crate::settings::RoleSettings;
use crate::settings::Settings;

/// The number of messages that wait for an actor before its senders slow down.
const MAILBOX_LEN: usize = 16 * 1024;

/// The time between two looks at whether a draining process is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A process that serves.
pub struct Running {
    network: Network,
    metrics: Arc<Metrics>,
    role: RunningRole,
    monitoring: Listener,
    is_ready: watch::Sender<bool>,
    drain_grace: Duration,
}

/// The parts that only one role has.
enum RunningRole {
    Entry {
        actor: ActorRef<EntryActor>,
        callers: Listener,
        operators: Listener,
    },
    Agent {
        actor: ActorRef<AgentActor>,
    },
}

/// Where the network's events go.
#[derive(Clone)]
enum Receiver {
    Entry(ActorRef<EntryActor>),
    Agent(ActorRef<AgentActor>),
}

/// What both roles are built from.
struct Parts {
    network: Network,
    metrics: Arc<Metrics>,
    store: Arc<NoteStore>,
    applied: watch::Receiver<Arc<Configuration>>,
    members: Members,
}

impl Running {
    /// Starts the process that the settings describe.
    pub async fn start(checked: &CheckedSettings) -> eyre::Result<Self> {
        let settings = checked.settings();
        let metrics = Metrics::new();
        let (network, events) = start_network(settings)?;
        let service: Arc<dyn KeyValue> =
            Arc::new(HttpKeyValue::new(settings.platform.key_value_address));
        let store = Arc::new(NoteStore::new(Arc::clone(&service)));
        let (apply, applied) = watch::channel(Arc::default());
        tokio::spawn(configuration::follow(Arc::clone(&store), service, apply));
        let (is_ready, ready) = watch::channel(true);
        let monitoring = start_monitoring(settings, &metrics, &applied, ready).await?;
        let parts = Parts {
            network: network.clone(),
            metrics: Arc::clone(&metrics),
            store,
            applied,
            members: Members::default(),
        };
        let (role, receiver) = match checked.role() {
            RoleSettings::Entry {
                caller_address,
                operator_address,
            } => start_entry(parts, settings, caller_address, operator_address).await?,
            RoleSettings::Agent => start_agent(parts),
        };
        tokio::spawn(dispatch(events, receiver));
        info!("{} {} serves", settings.role, settings.member);
        Ok(Self {
            network,
            metrics,
            role,
            monitoring,
            is_ready,
            drain_grace: Duration::from_millis(settings.limits.drain_grace_ms),
        })
    }

    /// Returns the address at which peers reach the process.
    pub fn peer_address(&self) -> SocketAddr {
        self.network.own_address()
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
        &self.metrics
    }

    /// Returns the time that a packet takes to each connected peer and back.
    pub async fn round_trips(&self) -> Vec<RoundTrip> {
        self.network.round_trips().await
    }

    /// Takes no new work, finishes what is in progress and stops.
    pub async fn stop(self) {
        info!("the process drains");
        let _ = self.is_ready.send(false);
        let grace_end = Instant::now() + self.drain_grace;
        match self.role {
            RunningRole::Entry {
                actor,
                callers,
                operators,
            } => {
                let _ = actor.tell(entry::Drain).send().await;
                callers.drain(self.drain_grace).await;
                operators.drain(self.drain_grace).await;
                wait_until_idle(grace_end, async || {
                    actor.ask(entry::IsIdle).send().await.unwrap_or(true)
                })
                .await;
            }
            RunningRole::Agent { actor } => {
                let _ = actor.tell(agent::Leave { grace_end }).send().await;
                wait_until_idle(grace_end, async || {
                    actor.ask(agent::IsIdle).send().await.unwrap_or(true)
                })
                .await;
            }
        }
        self.network.shut_down().await;
        self.monitoring.drain(DRAIN_POLL_INTERVAL).await;
        info!("the process stops");
    }
}

async fn wait_until_idle(grace_end: Instant, is_idle: impl AsyncFn() -> bool) {
    while Instant::now() < grace_end {
        if is_idle().await {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn start_network(settings: &Settings) -> eyre::Result<(Network, mpsc::Receiver<NetworkEvent>)> {
    let identity = read_identity(settings)?;
    let hello = Hello {
        version: PROTOCOL_VERSION,
        member: settings.member.clone(),
        host: settings.host.clone(),
        failure_domain: settings.failure_domain.clone(),
        role: settings.role,
        incarnation: Incarnation(unix_ms()),
        peer_address: settings.peer_address,
    };
    Ok(Network::start(hello, identity)?)
}

/// Reads the TLS identity from the files that the settings name.
fn read_identity(settings: &Settings) -> eyre::Result<Identity> {
    let read = |path: &std::path::Path| {
        std::fs::read(path).wrap_err_with(|| format!("{} cannot be read", path.display()))
    };
    let certificate = read(&settings.tls.certificate_path)?;
    let key = read(&settings.tls.key_path)?;
    let authority = read(&settings.tls.authority_path)?;
    Ok(Identity::from_pem(&certificate, &key, &authority)?)
}

async fn start_entry(
    parts: Parts,
    settings: &Settings,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
) -> eyre::Result<(RunningRole, Receiver)> {
    let args = EntryArgs {
        network: parts.network.clone(),
        metrics: Arc::clone(&parts.metrics),
        settings: EntrySettings::default(),
        chooser: PipelineChooser::new(ChooserSettings::default(), rand::random()),
    };
    let actor = EntryActor::spawn_with_mailbox(args, mailbox::bounded(MAILBOX_LEN));
    let (views, view) = watch::channel(Arc::default());
    tokio::spawn(publish_views(parts.applied, views, actor.clone()));
    let callers = Callers {
        actor: actor.clone(),
        view: view.clone(),
        metrics: Arc::clone(&parts.metrics),
        limits: body_limits(settings, settings.limits.max_body_bytes),
        own_address: parts.network.own_address(),
    };
    let operators = Operators {
        store: parts.store,
        view,
        members: parts.members,
        partners: Arc::new(settings.partners.clone()),
        metrics: parts.metrics,
        limits: body_limits(settings, settings.limits.max_note_bytes),
    };
    let limits = connection_limits(settings);
    let role = RunningRole::Entry {
        actor: actor.clone(),
        callers: Listener::start(bind(caller_address).await?, limits, move |request| {
            callers.handle(request)
        })?,
        operators: Listener::start(bind(operator_address).await?, limits, move |request| {
            operators.handle(request)
        })?,
    };
    Ok((role, Receiver::Entry(actor)))
}

fn start_agent(parts: Parts) -> (RunningRole, Receiver) {
    let args = AgentArgs {
        network: parts.network,
        metrics: parts.metrics,
        settings: AgentSettings::default(),
    };
    let actor = AgentActor::spawn_with_mailbox(args, mailbox::bounded(MAILBOX_LEN));
    tokio::spawn(publish_to_agent(parts.applied, actor.clone()));
    let role = RunningRole::Agent {
        actor: actor.clone(),
    };
    (role, Receiver::Agent(actor))
}

async fn publish_views(
    mut applied: watch::Receiver<Arc<Configuration>>,
    views: watch::Sender<Arc<View>>,
    actor: ActorRef<EntryActor>,
) {
    while applied.changed().await.is_ok() {
        let configuration = Arc::clone(&applied.borrow_and_update());
        let view = Arc::new(View::new(configuration));
        let told = actor.tell(entry::ApplyView(Arc::clone(&view))).send().await;
        views.send_replace(view);
        if told.is_err() {
            return;
        }
    }
}

async fn publish_to_agent(
    mut applied: watch::Receiver<Arc<Configuration>>,
    actor: ActorRef<AgentActor>,
) {
    while applied.changed().await.is_ok() {
        let configuration = Arc::clone(&applied.borrow_and_update());
        let apply = agent::ApplyConfiguration(configuration);
        if actor.tell(apply).send().await.is_err() {
            return;
        }
    }
}

async fn dispatch(mut events: mpsc::Receiver<NetworkEvent>, receiver: Receiver) {
    while let Some(event) = events.recv().await {
        match &receiver {
            Receiver::Entry(actor) => tell_entry(actor, event).await,
            Receiver::Agent(actor) => tell_agent(actor, event).await,
        }
    }
}

async fn tell_entry(actor: &ActorRef<EntryActor>, event: NetworkEvent) {
    // An actor that has stopped needs no events.
    let _ = match event {
        NetworkEvent::Received { from, message } => match *message {
            Message::Stream(message) => {
                let from = from.peer_address;
                let received = entry::StreamReceived { from, message };
                actor.tell(received).send().await.is_ok()
            }
            Message::Call(jujubewall_protocol::call::CallMessage::Result(result)) => {
                actor.tell(entry::CallEnded(result)).send().await.is_ok()
            }
            _ => false,
        },
        NetworkEvent::Lost(peer) => actor.tell(entry::PeerLost(peer)).send().await.is_ok(),
        NetworkEvent::Connected(_) | NetworkEvent::OwnLinkSuspect => false,
    };
}

async fn tell_agent(actor: &ActorRef<AgentActor>, event: NetworkEvent) {
    let NetworkEvent::Received { from, message } = event else {
        return;
    };
    let _ = match *message {
        Message::Stream(message) => {
            let from = from.peer_address;
            let received = agent::StreamReceived { from, message };
            actor.tell(received).send().await.is_ok()
        }
        Message::Call(message) => actor
            .tell(agent::CallReceived(message))
            .send()
            .await
            .is_ok(),
        _ => false,
    };
}

async fn start_monitoring(
    settings: &Settings,
    metrics: &Arc<Metrics>,
    applied: &watch::Receiver<Arc<Configuration>>,
    ready: watch::Receiver<bool>,
) -> eyre::Result<Listener> {
    let metrics = Arc::clone(metrics);
    let applied = applied.clone();
    let handler = move |request: Request<Incoming>| {
        let revision = applied.borrow().revision;
        let is_ready = *ready.borrow() && revision.0 > 0;
        metrics
            .applied_revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        let answer = monitoring_answer(request.uri().path(), &metrics, is_ready);
        async move { answer }
    };
    let socket = bind(settings.metrics_address).await?;
    Ok(Listener::start(
        socket,
        connection_limits(settings),
        handler,
    )?)
}

fn monitoring_answer(path: &str, metrics: &Metrics, is_ready: bool) -> Answer {
    let plain = "text/plain; charset=utf-8";
    match path {
        "/metrics" => answer::text(StatusCode::OK, METRICS_TYPE, metrics.encode()),
        "/healthz" => answer::text(StatusCode::OK, plain, "alive\n".to_owned()),
        "/readyz" if is_ready => answer::text(StatusCode::OK, plain, "ready\n".to_owned()),
        "/readyz" => answer::text(
            StatusCode::SERVICE_UNAVAILABLE,
            plain,
            "not ready\n".to_owned(),
        ),
        _ => answer::failure(Failure::new(ErrorKind::NotFound, "no such path")),
    }
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("{address} cannot be bound"))
}

fn connection_limits(settings: &Settings) -> ConnectionLimits {
    let limits = &settings.limits;
    ConnectionLimits {
        max_connections: clamp(limits.max_connections),
        max_header_bytes: clamp(limits.max_header_bytes),
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
    }
}

fn body_limits(settings: &Settings, max_body_bytes: u64) -> BodyLimits {
    BodyLimits {
        max_body_bytes: clamp(max_body_bytes),
        body_timeout: Duration::from_millis(settings.limits.body_timeout_ms),
    }
}

fn clamp(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
