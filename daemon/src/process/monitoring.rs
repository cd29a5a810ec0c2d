//! Metrics, liveness and readiness.

use std::sync::Arc;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujubewall_control::invariant::Invariant;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use tokio::sync::watch;

use crate::listening;
use crate::metrics::Metrics;
use crate::process::limits;
use crate::server::answer;
use crate::server::answer::Answer;
use crate::server::listener::Listener;
use crate::settings::Settings;

/// The media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The media type of plain text.
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// Starts to serve the metrics and the state of the process.
///
/// A process is ready once its role has applied a configuration, until it drains.
pub fn start(
    settings: &Settings,
    metrics: &Arc<Metrics>,
    is_serving: watch::Receiver<bool>,
) -> eyre::Result<Listener> {
    let counted = Arc::clone(metrics);
    let metrics = Arc::clone(metrics);
    let handler = move |request: Request<Incoming>| {
        let is_ready = *is_serving.borrow() && metrics.has_configuration();
        let answer = answer_path(request.uri().path(), &metrics, is_ready);
        async move { answer }
    };
    let socket = listening::bind(settings.metrics_address)?;
    Ok(Listener::start(
        socket,
        limits::connections(settings),
        &counted,
        handler,
    )?)
}

fn answer_path(path: &str, metrics: &Metrics, is_ready: bool) -> Answer {
    let text = |status, text: &str| answer::text(status, TEXT_TYPE, text.to_owned());
    match path {
        "/metrics" => {
            for invariant in Invariant::ALL {
                metrics.set_violations(invariant.label(), invariant.violations());
            }
            answer::text(StatusCode::OK, METRICS_TYPE, metrics.encode())
        }
        "/healthz" => text(StatusCode::OK, "alive\n"),
        "/readyz" if is_ready => text(StatusCode::OK, "ready\n"),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => answer::failure(Failure::new(ErrorKind::NotFound, "no such path")),
    }
}
