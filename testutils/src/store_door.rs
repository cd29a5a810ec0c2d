//! The way of one gateway to the stand-in for the metadata store, which may turn this gateway
//! away and serve the others.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::serve_http;
use crate::relay::Relay;
use crate::site_store::SiteStore;
use crate::site_store::StoreMood;

struct Handler {
    store: Arc<SiteStore>,
    mood: watch::Sender<StoreMood>,
}

#[async_trait]
impl HttpHandler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        let mut mood = self.mood.subscribe();
        loop {
            let now = *mood.borrow_and_update();
            if let Some(answer) = now.unserved_answer().await {
                return answer;
            }
            // A watch that waits is treated anew when the mood changes.
            tokio::select! {
                answer = self.store.handle(request.clone()) => return answer,
                _ = mood.changed() => {}
            }
        }
    }
}

/// The way of one gateway to the store.
pub struct StoreDoor {
    handler: Arc<Handler>,
    link: Relay,
    _server: ServerHandle,
}

impl StoreDoor {
    /// Opens a way to the store.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    pub async fn new(store: &Arc<SiteStore>) -> Self {
        let handler = Arc::new(Handler {
            store: Arc::clone(store),
            mood: watch::Sender::default(),
        });
        let server = serve_http(
            listener().await,
            Arc::clone(&handler) as Arc<dyn HttpHandler>,
        );
        let link = Relay::new(listener().await, server.address());
        Self {
            handler,
            link,
            _server: server,
        }
    }

    /// Returns the address at which the gateway calls the store.
    pub const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Makes the open connections go silent; new ones work.
    pub fn silence_open_connections(&self) {
        self.link.silence_open_connections();
    }

    /// Sets how the store treats calls of this gateway, watches that wait too. A silent store is
    /// one that the gateway is cut off from, so that open connections go silent too.
    pub fn set_mood(&self, mood: StoreMood) {
        self.handler.mood.send_replace(mood);
        if mood == StoreMood::Silent {
            self.silence_open_connections();
        }
    }
}

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}
