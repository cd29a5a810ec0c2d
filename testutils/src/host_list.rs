//! The host list, which lags.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::host_list::HostList;
use jujubewall_platform::host_list::HostRecord;
use jujubewall_platform::wire::HostListReply;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::serve_http;
use crate::platform_answer::answer_of;

struct PendingList {
    visible_at: Instant,
    hosts: Vec<HostRecord>,
}

#[derive(Default)]
struct State {
    lag: Duration,
    is_down: bool,
    visible: Vec<HostRecord>,
    pending: VecDeque<PendingList>,
}

/// A host list in memory; clones share their content.
#[derive(Clone, Default)]
pub struct FakeHostList {
    state: Arc<Mutex<State>>,
}

impl FakeHostList {
    /// Creates an empty list without lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time after which later changes become visible.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// Sets whether the list refuses every call.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    /// Replaces the list, visible once the lag has passed.
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        let mut state = self.state();
        let visible_at = Instant::now() + state.lag;
        state.pending.push_back(PendingList { visible_at, hosts });
    }

    /// Serves this list over HTTP.
    pub fn serve(&self, listener: TcpListener) -> ServerHandle {
        serve_http(listener, Arc::new(self.clone()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl HostList for FakeHostList {
    async fn hosts(&self) -> Result<Vec<HostRecord>, PlatformError> {
        let now = Instant::now();
        let mut state = self.state();
        if state.is_down {
            return Err(PlatformError::Unavailable("outage".into()));
        }
        while let Some(list) = state.pending.pop_front_if(|list| list.visible_at <= now) {
            state.visible = list.hosts;
        }
        Ok(state.visible.clone())
    }
}

#[async_trait]
impl HttpHandler for FakeHostList {
    async fn handle(&self, _request: Request<Bytes>) -> ServerAnswer {
        answer_of(self.hosts().await.map(|hosts| HostListReply { hosts }))
    }
}
