//! The clients of the upstreams beside an agent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubewall_types::config::Configuration;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::id::UpstreamName;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::http_engine::HttpEngine;
use jujubewall_upstream::http_service::HttpService;
use jujubewall_upstream::service::Service;
use tokio::time::Instant;

/// A client with the address that it was made for.
struct Client<T: ?Sized> {
    address: SocketAddr,
    client: Arc<T>,
}

/// The clients of the upstreams that the configuration puts behind this agent.
///
/// An engine that is withdrawn keeps its client for a time, so that stages in
/// progress end or move instead of being cut off.
#[derive(Default)]
pub struct Upstreams {
    engines: HashMap<UpstreamName, Client<dyn Engine>>,
    retiring: HashMap<UpstreamName, Retiring>,
    services: HashMap<UpstreamName, Client<dyn Service>>,
}

/// The client of a withdrawn engine.
struct Retiring {
    client: Client<dyn Engine>,
    until: Instant,
}

/// The engines that came or went with a configuration.
#[derive(Debug, Default)]
pub struct EngineChanges {
    /// The engines that are new or have come back.
    pub added: Vec<UpstreamName>,
    /// The engines that were withdrawn.
    pub withdrawn: Vec<UpstreamName>,
}

impl Upstreams {
    /// Follows the configuration for the agent at `agent_address`.
    ///
    /// Withdrawn engines can be called until `grace_end`.
    pub fn apply(
        &mut self,
        configuration: &Configuration,
        agent_address: SocketAddr,
        grace_end: Instant,
    ) -> EngineChanges {
        let mut changes = EngineChanges::default();
        let now = Instant::now();
        self.retiring.retain(|_, retiring| retiring.until > now);
        let mut engines = HashMap::new();
        let mut services = HashMap::new();
        for (name, owned) in &configuration.upstreams {
            let upstream = &owned.item;
            if upstream.agent_address != agent_address {
                continue;
            }
            match &upstream.kind {
                UpstreamKind::Engine(_) => {
                    let kept = keep(&mut self.engines, name, upstream.address);
                    let client = kept.unwrap_or_else(|| {
                        changes.added.push(name.clone());
                        engine_client(upstream.address)
                    });
                    self.retiring.remove(name);
                    engines.insert(name.clone(), client);
                }
                UpstreamKind::Service(_) => {
                    let client = keep(&mut self.services, name, upstream.address)
                        .unwrap_or_else(|| service_client(upstream.address));
                    services.insert(name.clone(), client);
                }
            }
        }
        for (name, client) in std::mem::replace(&mut self.engines, engines) {
            if self.engines.contains_key(&name) {
                continue;
            }
            changes.withdrawn.push(name.clone());
            let until = grace_end;
            self.retiring.insert(name, Retiring { client, until });
        }
        self.services = services;
        changes
    }

    /// Returns the client of an engine.
    pub fn engine(&self, name: &UpstreamName) -> Option<Arc<dyn Engine>> {
        let client = self.engines.get(name);
        let retiring = || Some(&self.retiring.get(name)?.client);
        client
            .or_else(retiring)
            .map(|client| Arc::clone(&client.client))
    }

    /// Returns the client of a plain service.
    pub fn service(&self, name: &UpstreamName) -> Option<Arc<dyn Service>> {
        self.services
            .get(name)
            .map(|client| Arc::clone(&client.client))
    }
}

fn keep<T: ?Sized>(
    clients: &mut HashMap<UpstreamName, Client<T>>,
    name: &UpstreamName,
    address: SocketAddr,
) -> Option<Client<T>> {
    clients
        .remove(name)
        .filter(|client| client.address == address)
}

fn engine_client(address: SocketAddr) -> Client<dyn Engine> {
    Client {
        address,
        client: Arc::new(HttpEngine::new(address)),
    }
}

fn service_client(address: SocketAddr) -> Client<dyn Service> {
    Client {
        address,
        client: Arc::new(HttpService::new(address)),
    }
}
