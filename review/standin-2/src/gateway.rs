//! Gateways as processes of their own, with the command of the deploy file.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Signals, by their numbers on Linux.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Term = 15,
    Cont = 18,
    Stop = 19,
}

/// The bounds of the small deployments' sheets.
const BOUNDS: &str = r#"{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":3000,"ack_ms":4000,
"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,
"rollback_slack_ms":250,"max_stretch_ms":5000,"strict_revoke":false,"revoke_ms":5000,
"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_burst":200,"recovery_s":12,
"pass_ms":120,"retry_after_s":0,"stall_ms":2500,"fencing_required":false}"#;

/// The ports that all machines use alike.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    metrics: u16,
    peers: u16,
}

/// The loopback addresses of machines, on which the same ports are free.
pub struct Machines {
    pub ips: Vec<IpAddr>,
    pub ports: Ports,
}

impl Machines {
    pub fn find(count: usize) -> Option<Self> {
        let draw = std::process::id();
        for attempt in 0..50_u32 {
            let mixed = draw.wrapping_mul(31).wrapping_add(attempt * 97);
            let (a, b) = ((mixed >> 3) % 200 + 20, mixed % 200 + 20);
            let ips: Vec<IpAddr> = (1..=count)
                .map(|host| IpAddr::V4(Ipv4Addr::new(127, a as u8, b as u8, host as u8)))
                .collect();
            let first = 20_000 + (mixed % 10_000) as u16;
            let ports = Ports {
                front: first,
                ready: first + 1,
                metrics: first + 2,
                peers: first + 3,
            };
            let is_free = ips.iter().all(|ip| {
                let tcp = (first..first + 4).all(|port| TcpListener::bind((*ip, port)).is_ok());
                tcp && UdpSocket::bind((*ip, ports.peers)).is_ok()
            });
            if is_free {
                return Some(Self { ips, ports });
            }
        }
        None
    }
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    program: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn start(
        root: &Path,
        folder: &Path,
        machines: &Machines,
        index: usize,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        let (ip, ports) = (machines.ips[index], machines.ports);
        let name = format!("front-{zone}-{}", index + 1);
        let seeds: Vec<String> =
            machines.ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports.ready)).collect();
        let platform = format!(
            "{{\"node\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"front\",\
             \"serves\":[\"front\",\"control\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\
             \"region\":\"addis\",\"listen\":{{\"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\"}},\
             \"port_range\":[{},{}],\"seeds\":[{}],\"bootstrap\":true,\
             \"limits\":{{\"cpu_share\":0.19,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\
             \"entry\":\"vip\",\"heartbeat_ms\":1200,\"bounds\":{BOUNDS},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"kv\",\"writes_per_s\":400,\
             \"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000}}}}",
            ports.front,
            ports.ready,
            ports.peers,
            ports.peers,
            seeds.join(",")
        );
        let template = std::fs::read_to_string(root.join("deploy/gateway-settings.json.in"))
            .expect("the settings template is there");
        // The metrics port of the deploy file may be taken on this machine.
        let text = template
            .replace("{{.|json}}", &platform)
            .replace("9464", &ports.metrics.to_string());
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let mut gateway = Self {
            log: folder.join(format!("{name}.log")),
            name,
            front: SocketAddr::new(ip, ports.front),
            ready: SocketAddr::new(ip, ports.ready),
            settings,
            program: root.join("target/release/jujubewalld"),
            root: root.to_owned(),
            child: None,
        };
        gateway.run();
        gateway
    }

    /// Starts the process, also after it has ended.
    pub fn run(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let child = Command::new(&self.program)
            .arg("--gateway")
            .current_dir(&self.root)
            .env_clear()
            .env("JUJUBEWALL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(fault) => {
                eprintln!("{}: {fault}", self.program.display());
                std::process::exit(2);
            }
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = client::get(self.ready, "/v1/ready", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Stops the process as planned work does, and starts it again.
    pub fn restart(&mut self) {
        self.signal(Signal::Term);
        self.finish_restart();
    }

    /// Starts the process again when it has ended.
    pub fn finish_restart(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        self.run();
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id().cast_signed(), signal as i32) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all gateways are ready; returns whether they are in time.
pub fn wait_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
