//! Calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::call::ServiceCall;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::Service;
use jujubewall_upstream::service::ServiceRequest;
use jujubewall_upstream::service::ServiceResponse;
use smol_str::format_smolstr;

/// Sends a call to its service once.
pub async fn send_call(
    service: Option<Arc<dyn Service>>,
    call: ServiceCall,
) -> Result<ServiceResponse, UpstreamError> {
    match service {
        Some(service) => service.call(service_request(call)).await,
        None => Err(UpstreamError::NotSent(
            "the agent knows no such upstream".to_owned(),
        )),
    }
}

fn service_request(call: ServiceCall) -> ServiceRequest {
    ServiceRequest {
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        request_id: format_smolstr!("{}", call.request),
        body: call.body,
        reply_timeout: Some(Duration::from_millis(call.deadline_ms)),
    }
}
