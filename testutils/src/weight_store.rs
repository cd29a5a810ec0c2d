//! The weight store, whose rate all transfers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::weight_store::WeightStore;
use jujubewall_platform::wire::WeightStoreCall;
use jujubewall_platform::wire::WeightStoreReply;
use jujubewall_types::config::Assignment;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::serve_http;
use crate::platform_answer::answer_of;
use crate::platform_answer::parse_call;

struct State {
    layer_bytes: u64,
    bytes_per_s: u64,
    is_down: bool,
    busy_until: Option<Instant>,
    transferred_bytes: u64,
}

/// A weight store in memory, which transfers one after another; clones share their state.
#[derive(Clone)]
pub struct FakeWeightStore {
    state: Arc<Mutex<State>>,
}

impl FakeWeightStore {
    /// Creates a store that holds layers of `layer_bytes` and sends `bytes_per_s`.
    pub fn new(layer_bytes: u64, bytes_per_s: u64) -> Self {
        let state = State {
            layer_bytes,
            bytes_per_s: bytes_per_s.max(1),
            is_down: false,
            busy_until: None,
            transferred_bytes: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets whether the store refuses every call.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    /// Returns the sum of all transfers that have begun.
    pub fn transferred_bytes(&self) -> u64 {
        self.state().transferred_bytes
    }

    /// Serves this store over HTTP.
    pub fn serve(&self, listener: TcpListener) -> ServerHandle {
        serve_http(listener, Arc::new(self.clone()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the next place in the store's schedule and returns the transfer's size and end.
    fn begin(&self, assignment: &Assignment) -> Result<(u64, Instant), PlatformError> {
        let mut state = self.state();
        if state.is_down {
            return Err(PlatformError::Unavailable("outage".into()));
        }
        let size_bytes = state.layer_bytes * u64::from(assignment.layers.len());
        let duration = Duration::from_secs_f64(size_bytes as f64 / state.bytes_per_s as f64);
        let now = Instant::now();
        let start = state.busy_until.map_or(now, |busy| busy.max(now));
        let end = start + duration;
        state.busy_until = Some(end);
        state.transferred_bytes += size_bytes;
        Ok((size_bytes, end))
    }
}

#[async_trait]
impl WeightStore for FakeWeightStore {
    async fn fetch(&self, assignment: &Assignment) -> Result<u64, PlatformError> {
        let (size_bytes, end) = self.begin(assignment)?;
        sleep_until(end).await;
        Ok(size_bytes)
    }
}

#[async_trait]
impl HttpHandler for FakeWeightStore {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        let call: WeightStoreCall = match parse_call(&request) {
            Ok(call) => call,
            Err(error) => return answer_of::<WeightStoreReply>(Err(error)),
        };
        let size_bytes = self.fetch(&call.assignment).await;
        answer_of(size_bytes.map(|size_bytes| WeightStoreReply { size_bytes }))
    }
}
