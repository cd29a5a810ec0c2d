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

/// A client with the address that it was made for.
struct Client<T: ?Sized> {
    address: SocketAddr,
    client: Arc<T>,
}

/// The clients of the upstreams that the configuration puts behind this agent.
#[derive(Default)]
pub struct Upstreams {
    engines: HashMap<UpstreamName, Client<dyn Engine>>,
    services: HashMap<UpstreamName, Client<dyn Service>>,
}

impl Upstreams {
    /// Follows the configuration for the agent at `agent_address`.
    pub fn apply(&mut self, configuration: &Configuration, agent_address: SocketAddr) {
        let mut engines = HashMap::new();
        let mut services = HashMap::new();
        for (name, owned) in &configuration.upstreams {
            let upstream = &owned.item;
            if upstream.agent_address != agent_address {
                continue;
            }
            match &upstream.kind {
                UpstreamKind::Engine(_) => {
                    let client = keep(&mut self.engines, name, upstream.address)
                        .unwrap_or_else(|| engine_client(upstream.address));
                    engines.insert(name.clone(), client);
                }
                UpstreamKind::Service(_) => {
                    let client = keep(&mut self.services, name, upstream.address)
                        .unwrap_or_else(|| service_client(upstream.address));
                    services.insert(name.clone(), client);
                }
            }
        }
        self.engines = engines;
        self.services = services;
    }

    /// Returns the client of an engine.
    pub fn engine(&self, name: &UpstreamName) -> Option<Arc<dyn Engine>> {
        self.engines
            .get(name)
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
