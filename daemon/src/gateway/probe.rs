//! Asking upstreams over new connections whether they answer.
//!
//! A kept connection may have gone silent although the upstream is sound, so only
//! a new connection is evidence for or against an upstream.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use jujubewall_platform::site::report::REPORT_PATH;
use jujubewall_platform::site::report::decode_report;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_types::fleet::EngineState;
use log::info;
use log::warn;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::state::Gateway;
use crate::gateway::upstreams::Connection;

/// The time between two questions to a suspected upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The time that an engine's report may take; it needs no free place.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time that a health check may take; it waits for a free place.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);

/// Starts to ask suspected upstreams until they answer.
pub fn start(gateway: &Rc<Gateway>) {
    spawn_local(probe_suspects(Rc::clone(gateway)));
}

async fn probe_suspects(gateway: Rc<Gateway>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        gateway.connections.expire();
        let suspected = gateway.instances().suspected();
        for key in suspected {
            let gateway = Rc::clone(&gateway);
            spawn_local(async move {
                if answers(&gateway, key).await {
                    clear(&gateway, key);
                }
            });
        }
    }
}

/// Notes direct evidence against an upstream.
pub fn suspect(gateway: &Gateway, key: InstanceKey, reason: &str) {
    let is_new = gateway.instances_mut().suspect(key, Instant::now());
    if !is_new {
        return;
    }
    gateway.connections.forget(key);
    gateway.metrics.count("suspected");
    if let Some(tracked) = gateway.instances().get(key) {
        warn!(
            "event=suspect upstream={} address={} reason=\"{reason}\" in_flight={}",
            tracked.instance.id,
            tracked.instance.address,
            tracked.own_work().requests
        );
    }
}

fn clear(gateway: &Gateway, key: InstanceKey) {
    let was_suspected = gateway.instances_mut().clear_suspicion(key);
    if !was_suspected {
        return;
    }
    gateway.metrics.count("cleared");
    if let Some(tracked) = gateway.instances().get(key) {
        info!("event=cleared upstream={}", tracked.instance.id);
    }
}

/// Looks into upstreams that another gateway suspects.
pub fn look_into(gateway: &Rc<Gateway>, told: &[u64]) {
    let keys = gateway.instances().unsuspected_of(told);
    for key in keys {
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            if !answers(&gateway, key).await {
                suspect(&gateway, key, "suspected by a peer and does not answer");
            }
        });
    }
}

/// Returns whether an upstream answers over a new connection.
async fn answers(gateway: &Gateway, key: InstanceKey) -> bool {
    let target = gateway.instances().get(key).map(|tracked| {
        let instance = &tracked.instance;
        (instance.address, instance.service.clone())
    });
    let Some((address, service)) = target else {
        return false;
    };
    let health_path = gateway.routes().and_then(|routes| {
        let service = routes.service(&service)?;
        service
            .engine
            .is_none()
            .then(|| service.health_path.clone())
    });
    match health_path {
        Some(path) => timeout(HEALTH_TIMEOUT, get(address, &path))
            .await
            .is_ok_and(|answer| answer.is_some_and(|(is_success, _)| is_success)),
        None => ask_report(address).await.is_some(),
    }
}

/// Asks an engine for its fresh state; `None` if it does not answer in time.
pub async fn ask_report(address: SocketAddr) -> Option<EngineState> {
    let answer = timeout(REPORT_TIMEOUT, get(address, REPORT_PATH)).await;
    let (is_success, body) = answer.ok()??;
    if !is_success {
        return None;
    }
    match decode_report(&body) {
        Ok(state) => Some(state),
        Err(failure) => {
            warn!("event=report_unreadable address={address} reason=\"{failure}\"");
            None
        }
    }
}

/// Fetches a path over a new connection.
pub async fn get(address: SocketAddr, path: &str) -> Option<(bool, Bytes)> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let mut connection = Connection::open(address).await.ok()?;
    let answer = connection.send(request).await.ok()?;
    let is_success = answer.status().is_success();
    let body = answer.into_body().collect().await.ok()?;
    Some((is_success, body.to_bytes()))
}
