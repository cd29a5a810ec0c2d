//! An engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use jujubewall_http_client::CallDeadlines;
use jujubewall_http_client::HttpClient;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;

use crate::engine::CacheEvent;
use crate::engine::CacheExport;
use crate::engine::Engine;
use crate::engine::EngineOrder;
use crate::engine::EngineOutput;
use crate::engine::EngineStatus;
use crate::engine::EngineStep;
use crate::engine::LoadReport;
use crate::error::UpstreamError;
use crate::wire::ENGINE_PATH;
use crate::wire::EngineCall;
use crate::wire::EngineRefusal;
use crate::wire::EngineReply;

/// The time that an order may take, since it includes loading weights.
const ORDER_LIMIT: Duration = Duration::from_mins(30);

/// A client of one engine.
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates a client of the engine at `address` with the usual deadlines.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_deadlines(address, CallDeadlines::default())
    }

    /// Creates a client of the engine at `address`; orders keep their own deadline.
    pub fn with_deadlines(address: SocketAddr, deadlines: CallDeadlines) -> Self {
        Self {
            client: HttpClient::new(address, deadlines),
        }
    }

    async fn call(&self, call: EngineCall) -> Result<EngineReply, UpstreamError> {
        self.call_within(call, self.client.deadlines().reply).await
    }

    async fn call_within(
        &self,
        call: EngineCall,
        limit: Duration,
    ) -> Result<EngineReply, UpstreamError> {
        let body = postcard::to_stdvec(&call).map_err(|error| unsendable(&error))?;
        let request = Request::post(ENGINE_PATH)
            .body(Bytes::from(body))
            .map_err(|error| unsendable(&error))?;
        let reply = self.client.call_within(request, limit).await?;
        if reply.status() != StatusCode::OK {
            let text = format!("the engine answered with status {}", reply.status());
            return Err(UpstreamError::ReplyLost(text));
        }
        let reply: Result<EngineReply, EngineRefusal> =
            postcard::from_bytes(reply.body()).map_err(|error| malformed(&error))?;
        Ok(reply?)
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn run(&self, step: EngineStep) -> Result<EngineOutput, UpstreamError> {
        match self.call(EngineCall::Run(step)).await? {
            EngineReply::Output(output) => Ok(output),
            _ => Err(unexpected()),
        }
    }

    async fn release(&self, request: RequestId, attempt: Attempt) -> Result<(), UpstreamError> {
        read_empty(&self.call(EngineCall::Release { request, attempt }).await?)
    }

    async fn export_cache(&self, request: RequestId) -> Result<CacheExport, UpstreamError> {
        match self.call(EngineCall::ExportCache { request }).await? {
            EngineReply::Cache(cache) => Ok(cache),
            _ => Err(unexpected()),
        }
    }

    async fn import_cache(
        &self,
        request: RequestId,
        attempt: Attempt,
        cache: CacheExport,
    ) -> Result<(), UpstreamError> {
        let call = EngineCall::ImportCache {
            request,
            attempt,
            cache,
        };
        read_empty(&self.call(call).await?)
    }

    async fn load(&self) -> Result<LoadReport, UpstreamError> {
        match self.call(EngineCall::Load).await? {
            EngineReply::Load(report) => Ok(report),
            _ => Err(unexpected()),
        }
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, UpstreamError> {
        match self.call(EngineCall::CacheEvents { after }).await? {
            EngineReply::CacheEvents(events) => Ok(events),
            _ => Err(unexpected()),
        }
    }

    async fn status(&self) -> Result<EngineStatus, UpstreamError> {
        match self.call(EngineCall::Status).await? {
            EngineReply::Status(status) => Ok(status),
            _ => Err(unexpected()),
        }
    }

    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError> {
        let call = EngineCall::Order(order);
        read_empty(&self.call_within(call, ORDER_LIMIT).await?)
    }
}

fn read_empty(reply: &EngineReply) -> Result<(), UpstreamError> {
    match reply {
        EngineReply::Empty => Ok(()),
        _ => Err(unexpected()),
    }
}

fn unexpected() -> UpstreamError {
    UpstreamError::ReplyLost("the reply belongs to another call".into())
}

fn unsendable(error: &impl ToString) -> UpstreamError {
    UpstreamError::NotSent(error.to_string())
}

fn malformed(error: &postcard::Error) -> UpstreamError {
    UpstreamError::ReplyLost(error.to_string())
}
