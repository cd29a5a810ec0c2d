//! Connects a disseminator to the key-value service and the network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_platform::key_value::KeyValue;
use jujubewall_protocol::config::ConfigMessage;
use jujubewall_types::id::Revision;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::dissemination::Action;
use crate::dissemination::CallId;
use crate::dissemination::Event;
use crate::dissemination::disseminator::Disseminator;
use crate::dissemination::handle::ConfigHandle;
use crate::keys;
use crate::shard::ChunkRef;
use crate::store::reader::fetch_chunks;

/// Capacity of the queue of results of the key-value service.
const RESULT_QUEUE_LEN: usize = 16;

/// A message and its destination.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Message to send.
    pub message: ConfigMessage,
}

/// Runs a disseminator and carries out its actions.
pub struct Driver {
    disseminator: Disseminator,
    service: Arc<dyn KeyValue>,
    handle: Arc<ConfigHandle>,
    outgoing: mpsc::Sender<Outgoing>,
    results: mpsc::Sender<Event>,
    calls: HashMap<CallId, JoinHandle<()>>,
}

impl Driver {
    /// Runs until `events` is closed.
    ///
    /// Messages that do not fit into `outgoing` are dropped; the periodic comparison makes up
    /// for them.
    pub async fn run(
        disseminator: Disseminator,
        service: Arc<dyn KeyValue>,
        handle: Arc<ConfigHandle>,
        outgoing: mpsc::Sender<Outgoing>,
        mut events: mpsc::Receiver<Event>,
    ) {
        let (results, mut results_receiver) = mpsc::channel(RESULT_QUEUE_LEN);
        let mut driver = Self {
            disseminator,
            service,
            handle,
            outgoing,
            results,
            calls: HashMap::new(),
        };
        loop {
            let wake_at = driver.disseminator.next_wake_at();
            let event = tokio::select! {
                event = events.recv() => event,
                event = results_receiver.recv() => event,
                () = tokio::time::sleep_until(wake_at) => Some(Event::Wake),
            };
            let Some(event) = event else {
                break;
            };
            driver.handle_event(event);
        }
        for (_, call) in driver.calls {
            call.abort();
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::WatchEnded { call, .. } | Event::ChunksRead { call, .. } = &event {
            self.calls.remove(call);
        }
        for action in self.disseminator.handle(event, Instant::now()) {
            self.perform(action);
        }
        self.handle.set_counters(self.disseminator.counters());
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => {
                drop(self.outgoing.try_send(Outgoing { to, message }));
            }
            Action::Watch { call, after, wait } => self.watch(call, after, wait),
            Action::ReadChunks { call, chunks } => self.read_chunks(call, chunks),
            Action::Cancel(call) => {
                if let Some(running) = self.calls.remove(&call) {
                    running.abort();
                }
            }
            Action::Publish(snapshot) => self.handle.publish(snapshot),
        }
    }

    fn watch(&mut self, call: CallId, after: Revision, wait: Duration) {
        let service = self.service.clone();
        let results = self.results.clone();
        let task = tokio::spawn(async move {
            let result = service.watch(keys::HEAD, after, wait).await;
            drop(results.send(Event::WatchEnded { call, result }).await);
        });
        self.calls.insert(call, task);
    }

    fn read_chunks(&mut self, call: CallId, chunks: Vec<ChunkRef>) {
        let service = self.service.clone();
        let results = self.results.clone();
        let task = tokio::spawn(async move {
            let result = fetch_chunks(&*service, &chunks).await;
            drop(results.send(Event::ChunksRead { call, result }).await);
        });
        self.calls.insert(call, task);
    }
}
