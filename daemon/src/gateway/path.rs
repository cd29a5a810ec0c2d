//! Chooses the path of engines for a run, and counts the run's work on them.

use std::net::SocketAddr;
use std::rc::Rc;

use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::LayerPath;
use jujubewall_routing::fleet::layer_path::NoPath;
use jujubewall_routing::fleet::layer_path::PathPart;
use jujubewall_routing::fleet::layer_path::PathRequest;
use jujubewall_routing::fleet::layer_path::Preference;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::layer_path::choose_path;
use jujubewall_routing::fleet::layer_path::part_work;
use jujubewall_routing::fleet::rendezvous;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use log::info;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::gateway::request::ClientRequest;
use crate::gateway::state::Gateway;

/// The path of a run. The run's work on the path's engines is counted until this is dropped.
pub struct CountedPath {
    /// The gateway whose table counts the work.
    pub gateway: Rc<Gateway>,
    /// The path.
    pub path: LayerPath,
    /// What the stream is expected to need.
    pub need: StreamNeed,
    /// The engines that still process the stream's prompt, with their tokens times layers.
    reading: SmallVec<[(InstanceKey, f64); 16]>,
    /// Whether events of the stream have arrived over the path.
    has_stream: bool,
}

impl CountedPath {
    /// Starts to count a stream's work on `path`.
    pub fn new(gateway: &Rc<Gateway>, path: LayerPath, need: StreamNeed) -> Self {
        let mut instances = gateway.instances_mut();
        let now = Instant::now();
        for part in &path.parts {
            instances.begin_work(part.instance, &part_work(&need, part), now);
        }
        drop(instances);
        Self {
            gateway: Rc::clone(gateway),
            path,
            need,
            reading: SmallVec::new(),
            has_stream: false,
        }
    }

    /// Counts `tokens` as still to be processed by those parts of the path for which `reads`
    /// returns true.
    pub fn begin_prefill(&mut self, tokens: f64, reads: impl Fn(&PathPart) -> bool) {
        self.end_prefill();
        let mut instances = self.gateway.instances_mut();
        for part in self.path.parts.iter().filter(|part| reads(part)) {
            let token_layers = tokens * f64::from(part.layers.len());
            instances.begin_prefill(part.instance, token_layers);
            self.reading.push((part.instance, token_layers));
        }
    }

    /// Counts the stream's tokens as processed.
    pub fn end_prefill(&mut self) {
        if self.reading.is_empty() {
            return;
        }
        let mut instances = self.gateway.instances_mut();
        for (key, token_layers) in self.reading.drain(..) {
            instances.end_prefill(key, token_layers);
        }
    }

    /// Counts the stream as one whose events pass through all engines of the path.
    pub fn begin_stream(&mut self) {
        if std::mem::replace(&mut self.has_stream, true) {
            return;
        }
        let mut instances = self.gateway.instances_mut();
        for part in &self.path.parts {
            instances.begin_stream(part.instance);
        }
    }

    /// Returns the engines of the path.
    pub fn keys(&self) -> SmallVec<[InstanceKey; 16]> {
        self.path.parts.iter().map(|part| part.instance).collect()
    }
}

impl Drop for CountedPath {
    fn drop(&mut self) {
        self.end_prefill();
        let mut instances = self.gateway.instances_mut();
        for part in &self.path.parts {
            instances.end_work(part.instance, &part_work(&self.need, part));
            if self.has_stream {
                instances.end_stream(part.instance);
            }
        }
    }
}

/// Returns a path in the text form that orders use.
pub fn path_text(instances: &InstanceTable, path: &LayerPath) -> String {
    let value = headers::path_value(path_hops(instances, path).into_iter());
    value.to_str().unwrap_or_default().to_owned()
}

/// Returns the engine addresses and the layers of a path's parts.
fn path_hops(
    instances: &InstanceTable,
    path: &LayerPath,
) -> SmallVec<[(SocketAddr, LayerRange); 16]> {
    path.parts
        .iter()
        .filter_map(|part| {
            let tracked = instances.get(part.instance)?;
            Some((tracked.instance.address, part.layers))
        })
        .collect()
}

/// A path with the addresses of its engines.
pub struct ChosenPath {
    /// The path.
    pub path: LayerPath,
    /// The engine addresses and the layers of its parts.
    pub hops: SmallVec<[(SocketAddr, LayerRange); 16]>,
    /// The first engine.
    pub first: InstanceKey,
    /// The address of the first engine.
    pub first_address: SocketAddr,
    /// The identifier of the first engine.
    pub first_id: SmolStr,
}

/// What the path of a run has to serve.
#[derive(Clone, Copy)]
pub struct Choice<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The service's engines.
    pub spec: &'a EngineSpec,
    /// What the stream is expected to need.
    pub need: &'a StreamNeed,
    /// The engines that the path must avoid.
    pub excluded: &'a [InstanceKey],
    /// Whether the stream has lost an earlier path.
    pub is_moved: bool,
    /// The shares of each engine's resources that the path may plan for.
    pub limits: CapacityLimits,
}

impl Choice<'_> {
    fn layer_path(&self, gateway: &Gateway) -> Result<LayerPath, NoPath> {
        let settings = gateway.settings();
        let choice = PathRequest {
            service: self.service,
            spec: self.spec,
            need: self.need,
            excluded: self.excluded,
            may_cross: gateway.may_cross_domains(self.spec),
            preference: Preference {
                // All failure domains share the work of restarting streams that lost their
                // path.
                own_domain: (!self.is_moved).then_some(&settings.failure_domain),
                domain_order_seed: rendezvous::gateway_key(settings.peer_address),
                jitter_seed: gateway.random_u64(),
            },
            limits: self.limits,
        };
        choose_path(&gateway.instances(), &choice, Instant::now())
    }

    /// Returns whether there is a path.
    pub fn has_path(&self, gateway: &Gateway) -> bool {
        self.layer_path(gateway).is_ok()
    }

    /// Chooses the path of a run by the present state of the engines.
    pub fn choose(&self, gateway: &Gateway, request: &ClientRequest) -> Result<ChosenPath, NoPath> {
        let path = self.layer_path(gateway)?;
        if self.excluded.is_empty() {
            gateway.record_path(self.service);
        }
        if path.crossings > 0 {
            gateway.record_crossing();
        }
        let instances = gateway.instances();
        let hops = path_hops(&instances, &path);
        let first = path.parts[0].instance;
        let tracked = instances.get(first).ok_or(NoPath::LayerMissing(0))?;
        info!(
            "event=path id={} parts={} first={} token_ms={:.1} excluded={} config={} path={}",
            request.id,
            hops.len(),
            tracked.instance.id,
            path.token_ms,
            self.excluded.len(),
            request.config_version,
            path_text(&instances, &path)
        );
        Ok(ChosenPath {
            hops,
            first,
            first_address: tracked.instance.address,
            first_id: tracked.instance.id.clone(),
            path,
        })
    }
}
