//! The gateway: an entry for fleets whose engines pass activations to each other directly.
//!
//! It accepts clients' requests, chooses the path or the upstream of each, and passes the
//! answer on. All decisions are in `jujubewall_routing::fleet` and
//! `jujubewall_control::placement`; this module does the I/O for them. It runs on a single
//! thread, since a host gives the process only a fifth of a core, so shared state needs no
//! locks.

mod activity;
mod answer;
mod body;
mod call;
mod client_connection;
mod clients;
mod clock;
mod crash_watch;
mod explain;
mod followers;
mod head_meter;
mod logging;
mod metrics;
mod monitoring;
mod path;
mod peers;
mod planner;
mod poison;
mod poison_request_store;
mod poison_store;
mod probe;
mod request;
mod run;
mod run_fault;
mod state;
mod stream;
mod stream_head;
mod upstream_socket;
mod upstreams;
mod waiting;

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr as _;
use jujubewall_platform::site::settings::SiteSettings;
use jujubewall_routing::fleet::drain::Drain;
use jujubewall_routing::lifecycle::DrainStep;
use jujubewall_routing::lifecycle::Lifecycle;
use log::error;
use log::info;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gateway::state::Gateway;
use crate::listening;

/// The time before the end of the grace period, when the process would be killed, at which
/// a draining process stops by itself.
const STOP_MARGIN: Duration = Duration::from_millis(250);

/// The interval between checks whether a draining process is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between checks whether the settings file has changed, which may happen
/// without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings and serves until the process receives a termination signal.
pub fn run() -> eyre::Result<()> {
    let path = SiteSettings::path()?;
    let settings = SiteSettings::read(&path)?;
    logging::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(&path, settings))
}

async fn serve(path: &Path, settings: SiteSettings) -> eyre::Result<()> {
    let clients = listening::bind(settings.client_address)?;
    let ready = listening::bind(settings.ready_address)?;
    let metrics = listening::bind(settings.metrics_address)?;
    let peer_calls = listening::bind(settings.peer_address)?;
    let peer_socket = UdpSocket::bind(settings.peer_address)
        .await
        .wrap_err_with(|| format!("cannot bind UDP {}", settings.peer_address))?;
    info!(
        "event=start member={} domain={} clients={} store={}",
        settings.member, settings.failure_domain, settings.client_address, settings.store_address
    );
    let gateway = Gateway::new(settings);
    followers::start(&gateway);
    peers::start(&gateway, peer_socket);
    probe::start(&gateway);
    planner::start(&gateway);
    poison::start(&gateway);
    poison_store::start(&gateway);
    poison_request_store::start(&gateway);
    monitoring::start(&gateway, ready);
    monitoring::start(&gateway, metrics);
    monitoring::start(&gateway, peer_calls);
    let listener = clients::start(&gateway, clients);
    let path = path.to_owned();
    gateway.spawn_loop("reload_settings", move |gateway| {
        reload_settings(gateway, path.clone())
    });
    wait_for_stop().await?;
    drain(&gateway, &listener).await;
    Ok(())
}

async fn wait_for_stop() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Finishes the requests in progress while clients move to other gateways.
async fn drain(gateway: &Rc<Gateway>, listener: &clients::ClientListener) {
    let grace = Duration::from_millis(gateway.settings().bounds.grace_ms());
    let started = Instant::now();
    let grace = grace.saturating_sub(STOP_MARGIN);
    let mut draining = Lifecycle::new().drain(started, grace);
    let drain = Drain::new(started, grace);
    info!("event=drain in_flight={}", gateway.in_flight());
    gateway.begin_drain(drain);
    planner::resign(gateway).await;
    sleep_until(drain.balancer_notice_end()).await;
    // A client whose connection is refused finds another gateway at once. While all gateways
    // leave, this one keeps listening, to tell clients when to retry.
    let last_stop = started + grace.saturating_sub(clients::FIRST_REQUEST_WAIT);
    while gateway.streams_in_flight() > 0 && Instant::now() < last_stop {
        let all_leave_since = gateway.peers.gossip().all_draining_since(Instant::now());
        if all_leave_since.is_none() {
            break;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    listener.stop();
    loop {
        sleep(DRAIN_POLL_INTERVAL).await;
        // Idle connections are closed by now. The open ones wait for a request, for its answer,
        // or until the client has taken the answer.
        let in_flight = gateway.in_flight().max(listener.open_count());
        match draining.step(Instant::now(), in_flight) {
            DrainStep::Wait(waiting) => draining = waiting,
            DrainStep::Stop(stopped) => {
                info!("event=stop cut_off={}", stopped.cut_off());
                logging::flush();
                return;
            }
        }
    }
}

/// Applies changes of the settings file while the process runs.
async fn reload_settings(gateway: Rc<Gateway>, path: std::path::PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(failure) => {
            error!("event=no_reload reason=\"{failure}\"");
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match SiteSettings::read(&path) {
            Ok(settings) => gateway.apply_settings(settings),
            Err(failure) => error!("event=reload_refused reason=\"{failure}\""),
        }
    }
}
