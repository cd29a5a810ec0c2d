//! How a runner treats the requests that reach it.

use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use jujubewall_types::layer::LayerRange;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::site_runner::Arrival;
use crate::site_runner::FleetState;
use crate::site_runner::RanRequest;
use crate::site_runner::RunnerFault;
use crate::site_runner::SiteRunners;
use crate::site_runner::crash::FatalAttempt;
use crate::site_runner::reply::CutError;
use crate::site_runner::reply::ReplyBody;
use crate::site_runner::reply::head_only;
use crate::site_runner::reply::not_run;
use crate::site_runner::reply::plain;
use crate::site_runner::reply::stream;

impl SiteRunners {
    /// Runs a request or refuses it. Returns no answer if the runner crashes before it gives
    /// one.
    pub(super) async fn run(
        self: &Arc<Self>,
        id: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Option<Response<ReplyBody>>, CutError> {
        let reply = self.begin(id, parts, body)?;
        let is_call = !parts.headers.contains_key("hop-count");
        let call_time = self.state().call_time;
        if is_call && reply.as_ref().is_some_and(|reply| reply.status() == 200) {
            sleep(call_time).await;
        }
        Ok(reply)
    }

    fn begin(
        self: &Arc<Self>,
        id: &str,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Option<Response<ReplyBody>>, CutError> {
        let request_path = parts.uri.to_string();
        let headers = &parts.headers;
        let mut state = self.state();
        let attempt_id = text(headers, "request-id");
        state.arrived.push(Arrival {
            id: attempt_id.clone(),
            runner: id.to_owned(),
            path: request_path.clone(),
            body: body.clone(),
            at: Instant::now(),
        });
        if text(headers, "expect-instance") != id {
            return Ok(Some(plain(421, "")));
        }
        let path = text(headers, "hop-count");
        if let Some(faulty) = faulty_part(&state, &path) {
            let mut refusal = not_run();
            let value = faulty.parse().map_err(|_| CutError)?;
            refusal.headers_mut().insert("at-server", value);
            return Ok(Some(refusal));
        }
        let fault = state
            .runners
            .get(id)
            .map(|runner| runner.fault)
            .unwrap_or_default();
        if let RunnerFault::LeaveBlaming(status) = fault
            && let Some(part) = path.rsplit(',').find_map(|part| part.split_once('='))
        {
            let mut refusal = not_run();
            *refusal.status_mut() = StatusCode::from_u16(status).map_err(|_| CutError)?;
            let value = part.0.parse().map_err(|_| CutError)?;
            refusal.headers_mut().insert("at-server", value);
            return Ok(Some(refusal));
        }
        if fault == RunnerFault::Refuse {
            return Ok(Some(not_run()));
        }
        if let RunnerFault::RefuseFor(pause) = fault {
            let mut refusal = not_run();
            let value = HeaderValue::from_static(pause);
            refusal.headers_mut().insert("retry-after", value);
            return Ok(Some(refusal));
        }
        let fatal_attempt = state
            .crash
            .fatal_request(&request_path, &body)
            .map(|request| FatalAttempt {
                request,
                id: attempt_id.clone(),
            });
        state.ran.push(RanRequest {
            id: attempt_id.clone(),
            runner: id.to_owned(),
            path: request_path,
            headers: headers.clone(),
            body,
            at: Instant::now(),
        });
        if fault == RunnerFault::LoseAnswer {
            return Err(CutError);
        }
        let is_stream = !path.is_empty();
        let has_fatal_part = is_stream && state.crash.is_fatal(&text(headers, "prompt-prefix"));
        let is_fatal_request = fatal_attempt.is_some();
        if has_fatal_part || is_fatal_request {
            self.crash_soon(id, fatal_attempt, state.crash.delay());
        }
        let mut reply = match fault {
            RunnerFault::RefuseAnother => not_run(),
            RunnerFault::FailWith(status) => plain(status, "failure"),
            RunnerFault::AnswerInvalid(status) => plain(status, "trouble"),
            _ if !is_stream && is_fatal_request && state.crash.breaks_first() => {
                return Err(CutError);
            }
            _ if !is_stream && is_fatal_request => return Ok(None),
            _ if !is_stream => plain(200, "done"),
            _ if has_fatal_part => head_only(),
            _ => {
                let first = text(headers, "last-event-id")
                    .parse::<u64>()
                    .map_or(0, |last| last + 1);
                let parts = runners_of(&state, &path);
                let runners = parts.iter().filter_map(|part| state.runners.get(part));
                let suspensions = runners.map(|runner| runner.suspended.subscribe()).collect();
                state.paths.insert(attempt_id.clone(), parts);
                stream(first, state.event_count, fault, suspensions)
            }
        };
        let request_id = match fault {
            RunnerFault::AnswerAnother | RunnerFault::RefuseAnother => "another".to_owned(),
            _ => attempt_id,
        };
        let fields = reply.headers_mut();
        fields.insert("request-id", request_id.parse().map_err(|_| CutError)?);
        fields.insert("response-stamp", id.parse().map_err(|_| CutError)?);
        Ok(Some(reply))
    }
}

/// Returns the value of a header, or nothing if there is none.
fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns the address of the first part of a path that does not hold its layers.
fn faulty_part(state: &FleetState, path: &str) -> Option<String> {
    path.split(',')
        .filter(|part| !part.is_empty())
        .find_map(|part| {
            let (address, layers) = part.split_once('=')?;
            let (first, end) = layers.split_once('-')?;
            let wanted = LayerRange::new(first.parse().ok()?, end.parse().ok()?);
            let is_held = state.runners.values().any(|runner| {
                runner.address.to_string() == address
                    && !runner.is_draining
                    && runner
                        .layers
                        .is_some_and(|held| held.first <= wanted.first && wanted.end <= held.end)
            });
            (!is_held).then(|| address.to_owned())
        })
}

/// Returns the runners at the addresses of a path.
fn runners_of(state: &FleetState, path: &str) -> Vec<String> {
    path.split(',')
        .filter_map(|part| part.split_once('='))
        .filter_map(|(address, _)| {
            let mut runners = state.runners.iter();
            runners.find(|(_, runner)| runner.address.to_string() == address)
        })
        .map(|(id, _)| id.clone())
        .collect()
}
