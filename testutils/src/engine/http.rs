//! An engine over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::wire::EngineCall;
use jujubewall_upstream::wire::EngineRefusal;
use jujubewall_upstream::wire::EngineReply;
use tokio::net::TcpListener;

use super::FakeEngine;
use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::serve_http;

impl FakeEngine {
    /// Serves this engine over HTTP.
    pub fn serve(&self, listener: TcpListener) -> ServerHandle {
        serve_http(listener, Arc::new(self.clone()))
    }

    async fn dispatch(&self, call: EngineCall) -> Result<EngineReply, UpstreamError> {
        match call {
            EngineCall::Run(step) => return self.run(step).await.map(EngineReply::Output),
            EngineCall::Release { request, attempt } => self.release(request, attempt).await?,
            EngineCall::ExportCache { request } => {
                return self.export_cache(request).await.map(EngineReply::Cache);
            }
            EngineCall::ImportCache {
                request,
                attempt,
                cache,
            } => self.import_cache(request, attempt, cache).await?,
            EngineCall::Load => return Engine::load(self).await.map(EngineReply::Load),
            EngineCall::CacheEvents { after } => {
                let events = self.cache_events(after).await;
                return events.map(EngineReply::CacheEvents);
            }
            EngineCall::Status => return self.status().await.map(EngineReply::Status),
            EngineCall::Order(order) => self.order(order).await?,
        }
        Ok(EngineReply::Empty)
    }
}

#[async_trait]
impl HttpHandler for FakeEngine {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        let reply = match postcard::from_bytes(request.body()) {
            Ok(call) => self.dispatch(call).await,
            Err(error) => Err(UpstreamError::Refused(error.to_string())),
        };
        let reply = match reply {
            Ok(reply) => Ok(reply),
            Err(UpstreamError::Refused(text)) => Err(EngineRefusal::Refused(text)),
            Err(UpstreamError::Fenced) => Err(EngineRefusal::Fenced),
            Err(UpstreamError::NotSent(_) | UpstreamError::ReplyLost(_)) => {
                return ServerAnswer::Closed;
            }
        };
        let body = postcard::to_stdvec(&reply).expect("replies encode");
        ServerAnswer::Reply(Response::new(Bytes::from(body)))
    }
}
