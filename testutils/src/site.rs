//! A small site: stand-ins for everything outside, and settings for the processes.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use jujubewall_types::config::Assignment;
use jujubewall_types::config::ClientAccount;
use jujubewall_types::config::EngineProfile;
use jujubewall_types::config::Model;
use jujubewall_types::config::ModelVersion;
use jujubewall_types::config::ServiceProfile;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::AcceleratorName;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::note::NoteItems;
use jujubewall_types::note::NoteNames;
use jujubewall_types::note::ReleaseNote;
use serde_json::Value;
use serde_json::json;
use smallvec::smallvec;
use tempfile::TempDir;
use tokio::net::TcpListener;

use crate::certificates::TestCertificates;
use crate::engine::EngineSettings;
use crate::engine::FakeEngine;
use crate::host_list::FakeHostList;
use crate::http_server::ServerHandle;
use crate::key_value::FakeKeyValue;
use crate::model_fold::Token;
use crate::model_fold::expected_answer;
use crate::ports::free_address;
use crate::service::FakeService;
use crate::udp_relay::UdpRelay;
use crate::weight_store::FakeWeightStore;

/// The partner that owns everything at the site.
pub const PARTNER: &str = "trust";

/// The operator key of [`PARTNER`].
pub const OPERATOR_KEY: &str = "operator-key-of-the-trust";

/// The other partner.
pub const OTHER_PARTNER: &str = "bureau";

/// The operator key of [`OTHER_PARTNER`].
pub const OTHER_OPERATOR_KEY: &str = "operator-key-of-the-bureau";

/// The model that the site's engines hold.
pub const MODEL: &str = "assistant";

/// The version of the weights.
pub const VERSION: &str = "v1";

/// The plain service whose calls may not be repeated.
pub const SERVICE: &str = "orders";

/// The account of the site's callers.
pub const ACCOUNT: &str = "gate-1";

/// The key of [`ACCOUNT`].
pub const ACCOUNT_KEY: &str = "key-of-gate-1";

/// The size of one layer's weights, in bytes.
const LAYER_BYTES: u64 = 1_000;

/// The rate of the weight store, in bytes a second.
const WEIGHT_BYTES_PER_S: u64 = 1_000_000_000;

/// The rate that the configuration states for every engine, in token-layers a second.
const TOKEN_LAYERS_PER_S: u64 = 100_000;

/// The time within which a body has to arrive, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 2_000;

/// The number of failure domains.
const DOMAIN_COUNT: usize = 3;

/// The shape of a site.
#[derive(Clone, Debug)]
pub struct SiteShape {
    /// The number of pipelines, each of which covers the model once.
    pub pipelines: usize,
    /// The number of stages of each pipeline.
    pub stages: usize,
    /// The number of layers of the model.
    pub layer_count: u32,
    /// The number of engines beside those of the pipelines, which hold nothing at first.
    pub spare_engines: usize,
    /// Whether the note fixes what the pipelines' engines hold, which then hold it at once.
    pub has_fixed_assignments: bool,
    /// The properties of every engine.
    pub engine: EngineSettings,
}

impl Default for SiteShape {
    fn default() -> Self {
        Self {
            pipelines: 1,
            stages: 3,
            layer_count: 12,
            spare_engines: 0,
            has_fixed_assignments: true,
            engine: EngineSettings::default(),
        }
    }
}

/// One upstream with the agent beside it.
pub struct SiteUpstream<T> {
    /// The stand-in.
    pub fake: T,
    /// The upstream as the release note names it.
    pub upstream: Upstream,
    server: ServerHandle,
}

impl<T> SiteUpstream<T> {
    /// Returns the address at which the stand-in is served.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// The stand-ins of a site, its files and its settings.
pub struct TestSite {
    /// The key-value service.
    pub key_value: FakeKeyValue,
    /// The host list.
    pub host_list: FakeHostList,
    /// The weight store.
    pub weight_store: FakeWeightStore,
    /// The engines, pipeline by pipeline in the order of their layers, then the spare ones.
    pub engines: Vec<SiteUpstream<FakeEngine>>,
    /// The plain service.
    pub service: SiteUpstream<FakeService>,
    shape: SiteShape,
    directory: TempDir,
    certificates: TestCertificates,
    platform: [ServerHandle; 3],
    relays: Vec<UdpRelay>,
    limits: Value,
}

impl TestSite {
    /// Starts the stand-ins and writes the shared files.
    ///
    /// # Panics
    ///
    /// Panics if a socket or file cannot be made.
    pub async fn start(shape: SiteShape) -> Self {
        let key_value = FakeKeyValue::new();
        let host_list = FakeHostList::new();
        let weight_store = FakeWeightStore::new(LAYER_BYTES, WEIGHT_BYTES_PER_S);
        let platform = [
            key_value.serve(listener().await),
            host_list.serve(listener().await),
            weight_store.serve(listener().await),
        ];
        let mut engines = Vec::new();
        for index in 0..shape.pipelines * shape.stages + shape.spare_engines {
            engines.push(start_engine(&shape, index, &weight_store).await);
        }
        let service = start_service(engines.len()).await;
        let directory = TempDir::new().expect("a directory can be made");
        let certificates = TestCertificates::new();
        let authority = certificates.authority_pem();
        fs::write(directory.path().join("authority.pem"), authority).expect("files can be written");
        Self {
            key_value,
            host_list,
            weight_store,
            engines,
            service,
            shape,
            directory,
            certificates,
            platform,
            relays: Vec::new(),
            limits: json!({ "body_timeout_ms": BODY_TIMEOUT_MS }),
        }
    }

    /// Returns the directory of the site's files.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Sets one of the limits in settings that are written later.
    pub fn set_limit(&mut self, name: &str, value: u64) {
        self.limits[name] = json!(value);
    }

    /// Writes the settings of an entry and returns their path.
    pub fn entry_settings(&self, member: &str) -> PathBuf {
        let mut document = self.settings(member, free_address());
        document["role"] = json!("entry");
        document["caller_address"] = json!(free_address());
        document["operator_address"] = json!(free_address());
        document["partners"] = json!([
            partner(PARTNER, OPERATOR_KEY),
            partner(OTHER_PARTNER, OTHER_OPERATOR_KEY),
        ]);
        self.write_settings(member, &document)
    }

    /// Writes the settings of the agent beside each upstream and returns their paths.
    pub fn agent_settings(&self) -> Vec<PathBuf> {
        let engines = self.engines.iter().map(|engine| &engine.upstream);
        engines
            .chain([&self.service.upstream])
            .enumerate()
            .map(|(index, upstream)| {
                let member = format!("agent-{}", upstream.name);
                let mut document = self.settings(&member, upstream.agent_address);
                if let Some(relay) = self.relays.get(index) {
                    document["peer_bind_address"] = json!(relay.target());
                }
                document["role"] = json!("agent");
                document["host"] = json!(upstream.host);
                document["failure_domain"] = json!(upstream.failure_domain);
                self.write_settings(&member, &document)
            })
            .collect()
    }

    /// Puts a relay in front of every agent whose settings are written later.
    pub async fn relay_agents(&mut self) {
        let engines = self.engines.iter().map(|engine| &engine.upstream);
        for upstream in engines.chain([&self.service.upstream]) {
            let relay = UdpRelay::start(upstream.agent_address, free_address()).await;
            self.relays.push(relay);
        }
    }

    /// Returns the relays in front of the agents, in the agents' order.
    pub fn relays(&self) -> &[UdpRelay] {
        &self.relays
    }

    /// Returns the note that adds the model, every upstream and the account.
    pub fn release_note(&self, id: &str) -> ReleaseNote {
        let engines = self.engines.iter().map(|engine| engine.upstream.clone());
        let services = [self.service.upstream.clone()];
        ReleaseNote {
            id: name(id, NoteId::new),
            partner: name(PARTNER, PartnerName::new),
            added: NoteItems {
                models: vec![self.model()],
                adapters: Vec::new(),
                accounts: vec![account()],
                upstreams: engines.chain(services).collect(),
            },
            changed: NoteItems::default(),
            withdrawn: NoteNames::default(),
        }
    }

    /// Returns the note that makes another version of the model the active one.
    pub fn version_note(&self, id: &str, version: &str) -> ReleaseNote {
        let mut model = self.model();
        model.active_version = name(version, VersionName::new);
        model.versions.push(ModelVersion {
            name: model.active_version.clone(),
            layer_bytes: LAYER_BYTES,
        });
        ReleaseNote {
            id: name(id, NoteId::new),
            partner: name(PARTNER, PartnerName::new),
            added: NoteItems::default(),
            changed: NoteItems {
                models: vec![model],
                ..NoteItems::default()
            },
            withdrawn: NoteNames::default(),
        }
    }

    /// Computes the answer to `prompt` without any engine.
    pub fn expected_text(&self, prompt: &str, tokens: usize) -> String {
        self.expected_text_in(VERSION, prompt, tokens)
    }

    /// Computes the answer of one version to `prompt` without any engine.
    pub fn expected_text_in(&self, version: &str, prompt: &str, tokens: usize) -> String {
        let prompt: Vec<Token> = prompt.bytes().map(Token::from).collect();
        let answer = expected_answer(
            &name(MODEL, ModelName::new),
            &name(version, VersionName::new),
            self.shape.layer_count,
            &prompt,
            tokens,
        );
        answer.into_iter().filter_map(char::from_u32).collect()
    }

    fn model(&self) -> Model {
        let version = name(VERSION, VersionName::new);
        Model {
            name: name(MODEL, ModelName::new),
            layer_count: self.shape.layer_count,
            active_version: version.clone(),
            versions: smallvec![ModelVersion {
                name: version,
                layer_bytes: LAYER_BYTES,
            }],
            max_prompt_tokens: 4_096,
            max_answer_tokens: 4_096,
        }
    }

    fn settings(&self, member: &str, peer_address: SocketAddr) -> Value {
        let [key_value, host_list, weight_store] = &self.platform;
        json!({
            "member": member,
            "host": member,
            "failure_domain": "domain-0",
            "region": "region-0",
            "peer_address": peer_address,
            "metrics_address": free_address(),
            "tls": self.write_certificate(member),
            "platform": {
                "key_value_address": key_value.address(),
                "host_list_address": host_list.address(),
                "weight_store_address": weight_store.address(),
            },
            "limits": self.limits,
            "seed_peers": [self.engines[0].upstream.agent_address],
        })
    }

    fn write_certificate(&self, member: &str) -> Value {
        let issued = self.certificates.issue(member);
        let certificate = self.directory().join(format!("{member}.pem"));
        let key = self.directory().join(format!("{member}.key.pem"));
        fs::write(&certificate, issued.certificate_pem).expect("files can be written");
        fs::write(&key, issued.private_key_pem).expect("files can be written");
        json!({
            "certificate_path": certificate,
            "key_path": key,
            "authority_path": self.directory().join("authority.pem"),
        })
    }

    fn write_settings(&self, member: &str, document: &Value) -> PathBuf {
        let path = self.directory().join(format!("{member}.json"));
        fs::write(&path, document.to_string()).expect("files can be written");
        path
    }
}

async fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a socket can be bound")
}

async fn start_engine(
    shape: &SiteShape,
    index: usize,
    weight_store: &FakeWeightStore,
) -> SiteUpstream<FakeEngine> {
    let is_fixed = shape.has_fixed_assignments && index < shape.pipelines * shape.stages;
    let assignment = is_fixed.then(|| Assignment {
        model: name(MODEL, ModelName::new),
        version: name(VERSION, VersionName::new),
        layers: stage_layers(shape, index % shape.stages),
    });
    let weight_store = Arc::new(weight_store.clone());
    let fake = FakeEngine::new(shape.engine.clone()).with_weight_store(weight_store);
    if let Some(assignment) = &assignment {
        fake.hold(assignment.clone());
    }
    let server = fake.serve(listener().await);
    let profile = EngineProfile {
        accelerator: name("small", AcceleratorName::new),
        checks_fencing: shape.engine.checks_fencing,
        max_layers: shape.engine.max_layers,
        decode_token_layers_per_s: TOKEN_LAYERS_PER_S,
        prefill_token_layers_per_s: TOKEN_LAYERS_PER_S,
        assignment,
    };
    SiteUpstream {
        fake,
        upstream: upstream(
            &format!("engine-{index}"),
            index,
            server.address(),
            UpstreamKind::Engine(profile),
        ),
        server,
    }
}

async fn start_service(index: usize) -> SiteUpstream<FakeService> {
    let fake = FakeService::new();
    let server = fake.serve(listener().await);
    let profile = ServiceProfile {
        service: name(SERVICE, ServiceName::new),
        idempotent: false,
    };
    SiteUpstream {
        fake,
        upstream: upstream(
            "orders-0",
            index,
            server.address(),
            UpstreamKind::Service(profile),
        ),
        server,
    }
}

fn upstream(text: &str, index: usize, address: SocketAddr, kind: UpstreamKind) -> Upstream {
    Upstream {
        name: name(text, UpstreamName::new),
        host: name(&format!("host-{index}"), HostName::new),
        failure_domain: name(
            &format!("domain-{}", index % DOMAIN_COUNT),
            FailureDomainName::new,
        ),
        address,
        agent_address: free_address(),
        kind,
    }
}

fn stage_layers(shape: &SiteShape, stage: usize) -> LayerRange {
    let bound = |index: usize| {
        let layers = shape.layer_count as usize * index / shape.stages;
        u32::try_from(layers).unwrap_or(u32::MAX)
    };
    LayerRange::new(bound(stage), bound(stage + 1))
}

fn account() -> ClientAccount {
    ClientAccount {
        name: name(ACCOUNT, AccountName::new),
        key_digests: smallvec![Digest::of(ACCOUNT_KEY.as_bytes())],
        weight: 1,
        max_in_flight: 1_000,
        requests_per_s: 1_000,
    }
}

fn partner(name: &str, key: &str) -> Value {
    json!({
        "name": name,
        "operator_key_digests": [Digest::of(key.as_bytes())],
    })
}

fn name<T, E: std::fmt::Debug>(text: &str, new: impl FnOnce(String) -> Result<T, E>) -> T {
    new(text.to_owned()).expect("the name is valid")
}
