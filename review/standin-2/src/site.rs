//! A small deployment: a store, runners of a plain service, and gateways.

use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::gateway::Machines;
use crate::gateway::wait_ready;
use crate::link::Link;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Door;
use crate::store::Store;

pub const SERVICE: &str = "bay-ledger";

/// The operator's configuration.
pub struct Config<'a> {
    pub version: u64,
    /// The keys of the two tenants.
    pub keys: &'a [(&'a str, &'a str)],
    pub routes: &'a [&'a str],
}

impl Config<'_> {
    pub fn text(&self) -> String {
        let routes: Vec<String> = self
            .routes
            .iter()
            .map(|prefix| {
                let (kind, attempts) =
                    if prefix.contains("order") { ("unsafe", 1) } else { ("safe", 2) };
                format!(
                    "{{\"name\":\"r{}\",\"host\":\"desk.example\",\"path_prefix\":\"{prefix}\",\
                     \"kind\":\"{kind}\",\"timeout_ms\":4000,\"target_latency_ms\":300,\
                     \"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":{attempts}}}",
                    prefix.replace('/', "-")
                )
            })
            .collect();
        let tenants: Vec<String> = ["desk-a", "desk-b"]
            .iter()
            .map(|tenant| {
                let keys: Vec<String> = self
                    .keys
                    .iter()
                    .filter(|(holder, _)| holder == tenant)
                    .map(|(_, key)| format!("\"{key}\""))
                    .collect();
                format!("{{\"name\":\"{tenant}\",\"api_keys\":[{}]}}", keys.join(","))
            })
            .collect();
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_conns\":110}}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\
             \"idle_timeout_ms\":30000}},\"tenants\":[{}]}}",
            self.version,
            routes.join(","),
            tenants.join(",")
        )
    }
}

pub struct Site {
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub gateways: Vec<Gateway>,
    /// The ways of the gateways to the store.
    pub links: Vec<Arc<Link>>,
    pub doors: Vec<Arc<Door>>,
    folder: PathBuf,
}

impl Site {
    /// Starts a deployment with a gateway in each of the `zones`.
    pub fn start(
        root: &std::path::Path,
        record: &Arc<Record>,
        zones: &[&str],
        runners: usize,
        work: Duration,
        config: &Config<'_>,
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::new();
        store.put("op/config", &config.text());
        let runners = (0..runners)
            .map(|index| {
                let id = format!("i-ledger-{index}");
                Runner::start(&store, record, &id, SERVICE, zones[0], work)
            })
            .collect();
        let machines = Machines::find(zones.len())?;
        let mut site = Self {
            store,
            runners,
            gateways: Vec::new(),
            links: Vec::new(),
            doors: Vec::new(),
            folder,
        };
        for (index, zone) in zones.iter().enumerate() {
            let door = TcpListener::bind("127.0.0.1:0").ok()?;
            let target = door.local_addr().ok()?;
            site.doors.push(site.store.serve(door));
            let link = Link::new(TcpListener::bind("127.0.0.1:0").ok()?, target);
            let gateway =
                Gateway::start(root, &site.folder, &machines, index, zone, link.address());
            record.note(&format!("platform: starts {} at {}", gateway.name, gateway.front));
            site.links.push(link);
            site.gateways.push(gateway);
        }
        wait_ready(&site.gateways, Duration::from_secs(15)).then_some(site)
    }

    /// Returns the gateways that have read the store within a time.
    pub fn readers(&self, within: Duration) -> Vec<usize> {
        let is_reader = |index: &usize| {
            let read_at = *self.doors[*index].read_at.lock().unwrap();
            read_at.is_some_and(|at| at.elapsed() < within)
        };
        (0..self.gateways.len()).filter(is_reader).collect()
    }

    /// Returns the gateway that renewed a lease last: the planner.
    pub fn planner(&self) -> Option<usize> {
        let renewed_at = |index: &usize| *self.doors[*index].renewed_at.lock().unwrap();
        (0..self.gateways.len()).filter(|index| renewed_at(index).is_some()).max_by_key(renewed_at)
    }

    /// Copies the gateways' logs into a folder, for a look at the cause.
    pub fn keep_logs(&self) {
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            let _ = std::fs::create_dir_all(&folder);
            for gateway in &self.gateways {
                if let Some(name) = gateway.log.file_name() {
                    let _ = std::fs::copy(&gateway.log, PathBuf::from(&folder).join(name));
                }
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.keep_logs();
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
