//! Running calls of plain services.

use std::sync::Arc;

use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::ServiceCall;
use jujubewall_protocol::call::ServiceReply;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::RequestId;
use jujubewall_types::outcome::Outcome;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::Service;
use jujubewall_upstream::service::ServiceRequest;
use jujubewall_upstream::service::ServiceResponse;
use smol_str::format_smolstr;

use crate::network::Network;

/// Sends a call to its service once and its result to the entry.
pub async fn run_call(service: Option<Arc<dyn Service>>, call: ServiceCall, network: Network) {
    let request = call.request;
    let entry_address = call.entry_address;
    let result = match service {
        Some(service) => ended(request, service.call(service_request(call)).await),
        None => not_run(
            request,
            ErrorKind::NoUpstream,
            "the agent knows no such upstream",
        ),
    };
    network.send(entry_address, CallMessage::Result(result));
}

fn service_request(call: ServiceCall) -> ServiceRequest {
    ServiceRequest {
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        request_id: format_smolstr!("{}", call.request),
        body: call.body,
    }
}

fn ended(request: RequestId, answer: Result<ServiceResponse, UpstreamError>) -> CallResult {
    match answer {
        Ok(response) => CallResult {
            request,
            outcome: Outcome::Completed,
            reply: Some(ServiceReply {
                status: response.status,
                content_type: response.content_type,
                body: response.body,
            }),
            failure: None,
        },
        Err(UpstreamError::NotSent(message)) => not_run(request, ErrorKind::NoUpstream, &message),
        Err(error @ (UpstreamError::Refused(_) | UpstreamError::Fenced)) => {
            not_run(request, ErrorKind::UpstreamRefused, &error.to_string())
        }
        Err(UpstreamError::ReplyLost(message)) => CallResult {
            request,
            outcome: Outcome::Unknown,
            reply: None,
            failure: Some(Failure::new(ErrorKind::OutcomeUnknown, message)),
        },
    }
}

fn not_run(request: RequestId, kind: ErrorKind, message: &str) -> CallResult {
    CallResult {
        request,
        outcome: Outcome::NotRun,
        reply: None,
        failure: Some(Failure::new(kind, message)),
    }
}
