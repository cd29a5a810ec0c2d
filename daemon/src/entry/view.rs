//! The configuration in the form in which an entry looks things up.

use std::collections::HashMap;
use std::sync::Arc;

use jujubewall_routing::admission::AccountLimit;
use jujubewall_types::config::Assignment;
use jujubewall_types::config::ClientAccount;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::EngineProfile;
use jujubewall_types::config::Model;
use jujubewall_types::config::ServiceProfile;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::UpstreamName;
use smallvec::SmallVec;

/// The configuration with its indices.
#[derive(Debug, Default)]
pub struct View {
    configuration: Arc<Configuration>,
    accounts_by_key: HashMap<Digest, AccountName>,
    services: HashMap<ServiceName, SmallVec<[UpstreamName; 4]>>,
}

impl View {
    /// Builds the indices of a configuration.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        Self {
            accounts_by_key: index_keys(&configuration),
            services: index_services(&configuration),
            configuration,
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the account that a key belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&ClientAccount> {
        let name = self.accounts_by_key.get(&Digest::of(key.as_bytes()))?;
        self.account(name)
    }

    /// Returns an account.
    pub fn account(&self, name: &AccountName) -> Option<&ClientAccount> {
        self.configuration
            .accounts
            .get(name)
            .map(|owned| &owned.item)
    }

    /// Returns the limits of every account.
    pub fn account_limits(&self) -> Vec<AccountLimit> {
        let accounts = self.configuration.accounts.values();
        accounts
            .map(|owned| AccountLimit {
                account: owned.item.name.clone(),
                requests_per_s: owned.item.requests_per_s,
                max_in_flight: owned.item.max_in_flight,
            })
            .collect()
    }

    /// Returns a model.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.configuration.models.get(name).map(|owned| &owned.item)
    }

    /// Returns the upstreams that offer a service.
    pub fn upstreams_of(&self, service: &ServiceName) -> &[UpstreamName] {
        self.services.get(service).map_or(&[], SmallVec::as_slice)
    }

    /// Returns a plain service's upstream with its properties.
    pub fn service(&self, name: &UpstreamName) -> Option<(&Upstream, &ServiceProfile)> {
        let upstream = &self.configuration.upstreams.get(name)?.item;
        match &upstream.kind {
            UpstreamKind::Service(profile) => Some((upstream, profile)),
            UpstreamKind::Engine(_) => None,
        }
    }

    /// Returns every engine with its properties and what the operator fixed for it.
    pub fn engines(
        &self,
    ) -> impl Iterator<Item = (&Upstream, &EngineProfile, Option<&Assignment>)> {
        self.configuration
            .upstreams
            .values()
            .filter_map(|owned| match &owned.item.kind {
                UpstreamKind::Engine(profile) => {
                    Some((&owned.item, profile, profile.assignment.as_ref()))
                }
                UpstreamKind::Service(_) => None,
            })
    }
}

fn index_keys(configuration: &Configuration) -> HashMap<Digest, AccountName> {
    let accounts = configuration.accounts.values();
    accounts
        .flat_map(|owned| {
            let account = &owned.item;
            let digests = account.key_digests.iter();
            digests.map(|digest| (*digest, account.name.clone()))
        })
        .collect()
}

fn index_services(
    configuration: &Configuration,
) -> HashMap<ServiceName, SmallVec<[UpstreamName; 4]>> {
    let mut services: HashMap<_, SmallVec<[UpstreamName; 4]>> = HashMap::new();
    for owned in configuration.upstreams.values() {
        if let UpstreamKind::Service(profile) = &owned.item.kind {
            let upstreams = services.entry(profile.service.clone()).or_default();
            upstreams.push(owned.item.name.clone());
        }
    }
    services
}
