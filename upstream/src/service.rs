//! Plain services.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use smol_str::SmolStr;

use crate::error::UpstreamError;

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRequest {
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query.
    pub path: SmolStr,
    /// The media type of the body.
    pub content_type: Option<SmolStr>,
    /// The identifier of the request, for the service's own records.
    pub request_id: SmolStr,
    /// The body.
    pub body: Bytes,
    /// The time within which the reply is of use; without one the client's own applies.
    pub reply_timeout: Option<Duration>,
}

/// A plain service's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Bytes,
}

/// One plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends one call, once.
    async fn call(&self, request: ServiceRequest) -> Result<ServiceResponse, UpstreamError>;
}
