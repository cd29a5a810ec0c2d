//! Finds the route of a request and the service that handles it.

use std::collections::HashMap;
use std::collections::HashSet;

use jujubewall_types::fleet::FleetConfig;
use jujubewall_types::fleet::RequestKind;
use jujubewall_types::fleet::Route;
use jujubewall_types::fleet::Service;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ServiceName;
use smol_str::SmolStr;

/// The account that owns a request's API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// The name of the account.
    pub account: AccountName,
    /// The rank of its requests, which overrides that of the route.
    pub rank: Option<u32>,
}

/// The error for a missing or unknown key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownKey;

/// A configuration, indexed for lookup by request.
#[derive(Debug)]
pub struct RouteTable {
    config: FleetConfig,
    /// The routes of each host, longest prefix first.
    by_host: HashMap<SmolStr, Vec<usize>>,
    by_key: Option<HashMap<SmolStr, KeyHolder>>,
    /// The services whose stream routes have different ranks.
    ranked_services: HashSet<ServiceName>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: FleetConfig) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            by_host.entry(host).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].path_prefix.len()));
        }
        let by_key = config.accounts.as_ref().map(|accounts| {
            let mut by_key = HashMap::new();
            for account in accounts {
                let holder = KeyHolder {
                    account: account.name.clone(),
                    rank: account.rank,
                };
                for key in &account.keys {
                    by_key.insert(key.clone(), holder.clone());
                }
            }
            by_key
        });
        let ranked_services = ranked_services(&config);
        Self {
            config,
            by_host,
            by_key,
            ranked_services,
        }
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the route with the longest prefix of `path`.
    ///
    /// `host` may include a port, which routes do not name.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .by_host
            .get(host)
            .or_else(|| self.by_host.get(host.to_ascii_lowercase().as_str()))?;
        routes
            .iter()
            .map(|&index| &self.config.routes[index])
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the account that owns a request's key, or `None` if the request needs no
    /// key.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<KeyHolder>, UnknownKey> {
        let Some(by_key) = &self.by_key else {
            return Ok(None);
        };
        let holder = key.and_then(|key| by_key.get(key));
        match holder {
            Some(holder) => Ok(Some(holder.clone())),
            None if route.is_open => Ok(None),
            None => Err(UnknownKey),
        }
    }

    /// Returns whether the stream routes of a service have different ranks.
    pub fn has_ranked_streams(&self, service: &ServiceName) -> bool {
        self.ranked_services.contains(service)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.config
            .services
            .iter()
            .find(|service| service.name == *name)
    }

    /// Returns the service for a request, by the weights of the route's shares.
    ///
    /// `draw` is uniformly distributed over all numbers.
    pub fn service_for(&self, route: &Route, draw: u64) -> Option<&Service> {
        let total: u64 = route
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = draw.checked_rem(total)?;
        let share = route.shares.iter().find(|share| {
            let weight = u64::from(share.weight);
            let is_hit = point < weight;
            point = point.saturating_sub(weight);
            is_hit
        })?;
        self.service(&share.service)
    }
}

/// Returns the services whose stream routes have different ranks.
fn ranked_services(config: &FleetConfig) -> HashSet<ServiceName> {
    let mut first_ranks: HashMap<&ServiceName, u32> = HashMap::new();
    let mut ranked = HashSet::new();
    for route in &config.routes {
        if route.kind != RequestKind::Stream {
            continue;
        }
        for share in &route.shares {
            let first = *first_ranks.entry(&share.service).or_insert(route.rank);
            if first != route.rank {
                ranked.insert(share.service.clone());
            }
        }
    }
    ranked
}
