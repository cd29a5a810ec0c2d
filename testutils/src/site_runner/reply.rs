//! The answers of the stand-in for runners.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use jujubewall_types::layer::LayerRange;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::site_runner::RunnerFault;

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// The time between two single bytes of a stalled stream.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// The body of an answer.
pub(super) type ReplyBody = BoxBody<Bytes, CutError>;

/// The error that makes the library close a connection.
#[derive(Debug, Error)]
#[error("the connection is cut")]
pub(super) struct CutError;

pub(super) fn layers_json(layers: Option<LayerRange>) -> Value {
    layers.map_or(
        Value::Null,
        |layers| json!({"from": layers.first, "target": layers.end, "version": 1}),
    )
}

pub(super) fn plain(status: u16, body: &str) -> Response<ReplyBody> {
    let body = Full::new(Bytes::from(body.to_owned())).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed());
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    reply
}

pub(super) fn not_run() -> Response<ReplyBody> {
    let mut reply = plain(503, "");
    let value = hyper::header::HeaderValue::from_static("1");
    reply.headers_mut().insert("not-run", value);
    reply
}

/// Answers with the events from `first` on, one after the other.
///
/// No event is sent while one of the runners of the path is suspended.
pub(super) fn stream(
    first: u64,
    count: u64,
    fault: RunnerFault,
    mut suspensions: Vec<watch::Receiver<bool>>,
) -> Response<ReplyBody> {
    let (events, coming) = mpsc::unbounded_channel::<Result<Frame<Bytes>, CutError>>();
    tokio::spawn(async move {
        for id in first..count {
            sleep(EVENT_INTERVAL).await;
            all_awake(&mut suspensions).await;
            let sent = id - first;
            if fault == RunnerFault::DripAfter(sent) {
                while events
                    .send(Ok(Frame::data(Bytes::from_static(b"d"))))
                    .is_ok()
                {
                    sleep(DRIP_INTERVAL).await;
                }
                return;
            }
            let event = format!("id: {id}\ndata: word\n\n");
            let is_torn = fault == RunnerFault::TornAfter(sent);
            let bytes = if is_torn { &event[..7] } else { &event };
            let frame = Frame::data(Bytes::copy_from_slice(bytes.as_bytes()));
            let is_cut = fault == RunnerFault::CutAfter(sent);
            let is_gone = !is_cut && events.send(Ok(frame)).is_err();
            if is_torn || is_cut {
                // The part that was sent arrives before the connection is cut.
                sleep(EVENT_INTERVAL).await;
                let _ = events.send(Err(CutError));
            }
            if is_gone || is_torn || is_cut {
                return;
            }
        }
    });
    let parts = futures_util::stream::unfold(coming, |mut coming| async move {
        let frame = coming.recv().await?;
        Some((frame, coming))
    });
    Response::new(StreamBody::new(Box::pin(parts)).boxed())
}

/// Answers with the head of a stream whose events never come.
pub(super) fn head_only() -> Response<ReplyBody> {
    let parts = futures_util::stream::pending::<Result<Frame<Bytes>, CutError>>();
    Response::new(StreamBody::new(Box::pin(parts)).boxed())
}

/// Returns once no runner is suspended.
pub(super) async fn all_awake(suspensions: &mut [watch::Receiver<bool>]) {
    for suspended in suspensions {
        // Nobody waits for a runner that has ended.
        let _ = suspended.wait_for(|is_suspended| !is_suspended).await;
    }
}
