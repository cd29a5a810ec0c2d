//! The key-value service over HTTP.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::wire::KeyValueCall;
use jujubewall_platform::wire::KeyValueReply;
use jujubewall_platform::wire::WireEntry;
use tokio::net::TcpListener;

use super::FakeKeyValue;
use super::Outage;
use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::serve_http;
use crate::platform_answer::answer_of;
use crate::platform_answer::parse_call;

impl FakeKeyValue {
    /// Serves this service over HTTP.
    pub fn serve(&self, listener: TcpListener) -> ServerHandle {
        serve_http(listener, Arc::new(self.clone()))
    }

    fn is_silent(&self, call: &KeyValueCall) -> bool {
        let settings = &self.state().faults.settings;
        let is_watch = matches!(call, KeyValueCall::Watch { .. });
        settings.outage == Outage::Silent || settings.silent_watches && is_watch
    }

    async fn dispatch(&self, call: KeyValueCall) -> Result<KeyValueReply, PlatformError> {
        match call {
            KeyValueCall::Get { key } => {
                let entry = self.get(&key).await?.map(WireEntry::from);
                Ok(KeyValueReply::Entry { entry })
            }
            KeyValueCall::List { prefix } => {
                let entries = self.list(&prefix).await?;
                let entries = entries.into_iter().map(WireEntry::from).collect();
                Ok(KeyValueReply::Entries { entries })
            }
            KeyValueCall::CompareAndSwap {
                key,
                expected,
                value,
                lease,
            } => Ok(self
                .compare_and_swap(&key, expected, value, lease)
                .await?
                .into()),
            KeyValueCall::Delete { key, expected } => Ok(self.delete(&key, expected).await?.into()),
            KeyValueCall::Watch {
                key,
                after,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let entry = self.watch(&key, after, wait).await?;
                let entry = entry.map(WireEntry::from);
                Ok(KeyValueReply::Entry { entry })
            }
            lease_call => self.dispatch_lease(lease_call).await,
        }
    }

    async fn dispatch_lease(&self, call: KeyValueCall) -> Result<KeyValueReply, PlatformError> {
        match call {
            KeyValueCall::GrantLease { ttl_ms } => {
                let lease = self.grant_lease(Duration::from_millis(ttl_ms)).await?;
                return Ok(KeyValueReply::Lease { lease });
            }
            KeyValueCall::KeepAlive { lease } => self.keep_alive(lease).await?,
            KeyValueCall::RevokeLease { lease } => self.revoke_lease(lease).await?,
            other => return Err(PlatformError::Malformed(format!("{other:?}"))),
        }
        Ok(KeyValueReply::Empty {})
    }
}

#[async_trait]
impl HttpHandler for FakeKeyValue {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        let call: KeyValueCall = match parse_call(&request) {
            Ok(call) => call,
            Err(error) => return answer_of::<KeyValueReply>(Err(error)),
        };
        if self.is_silent(&call) {
            return pending().await;
        }
        answer_of(self.dispatch(call).await)
    }
}
