//! Daemons that run as processes of their own.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::client::HttpUser;
use crate::program;

/// The time within which a daemon starts, stops or reaches a state.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon that is killed when it is dropped.
pub struct DaemonProcess {
    child: Child,
    settings: Value,
    settings_path: PathBuf,
}

impl DaemonProcess {
    /// Starts `binary` with a settings file.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be read or the process cannot be started.
    pub fn spawn(binary: &Path, settings: &Path) -> Self {
        let text = std::fs::read_to_string(settings).expect("the settings can be read");
        let log = std::fs::File::create(settings.with_extension("log")).expect("a log can be made");
        let mut command = Command::new(binary);
        command
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        let child = program::spawn(&mut command).expect("the daemon can be started");
        Self {
            child,
            settings_path: settings.to_owned(),
            settings: serde_json::from_str(&text).expect("the settings are JSON"),
        }
    }

    /// Starts the same daemon again after it has ended.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    #[must_use]
    pub fn restart(self, binary: &Path) -> Self {
        Self::spawn(binary, &self.settings_path)
    }

    /// Returns the address of one of the daemon's interfaces, such as `caller_address`.
    ///
    /// # Panics
    ///
    /// Panics if the settings hold no such address.
    pub fn address(&self, interface: &str) -> SocketAddr {
        let address = self.settings[interface].as_str().unwrap_or_default();
        address.parse().expect("the settings hold it")
    }

    /// Returns a client of one of the daemon's interfaces.
    pub fn user(&self, interface: &str, key: &str) -> HttpUser {
        HttpUser::new(self.address(interface), key)
    }

    /// Waits until the daemon answers that it is alive.
    pub async fn wait_until_alive(&self) {
        self.wait_for_path("/healthz").await;
    }

    /// Waits until the daemon answers that it is ready.
    pub async fn wait_until_ready(&self) {
        self.wait_for_path("/readyz").await;
    }

    /// Reads the value of a metric without labels.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let answer = self
            .user("metrics_address", "")
            .get("/metrics")
            .await
            .ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        line.parse().ok()
    }

    /// Returns how many file descriptors the process has open.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn open_descriptors(&self) -> usize {
        program::open_descriptors(self.child.id().expect("the process runs"))
    }

    /// Returns the most memory that the process has used so far, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn peak_memory_bytes(&self) -> u64 {
        program::peak_memory_bytes(self.child.id().expect("the process runs"))
    }

    /// Sends a signal by its number.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("the process runs");
        let process = rustix::process::Pid::from_raw(i32::try_from(id).expect("ids are small"))
            .expect("ids are not zero");
        rustix::process::kill_process(process, signal.number()).expect("the process runs");
    }

    /// Waits until the process has ended and returns whether it ended well.
    ///
    /// # Panics
    ///
    /// Panics if it does not end within [`PROCESS_TIMEOUT`].
    pub async fn wait(&mut self) -> bool {
        let status = timeout(PROCESS_TIMEOUT, self.child.wait()).await;
        let status = status.expect("the process ends in time");
        status.is_ok_and(|status| status.success())
    }

    async fn wait_for_path(&self, path: &str) {
        let user = self.user("metrics_address", "");
        eventually(path, async || {
            let answer = user.send(Method::GET, path, &[], "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
}

/// A signal that tests send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks the process to drain and stop.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Pause,
    /// Lets a paused process go on.
    Resume,
}

impl Signal {
    const fn number(self) -> rustix::process::Signal {
        match self {
            Self::Terminate => rustix::process::Signal::TERM,
            Self::Kill => rustix::process::Signal::KILL,
            Self::Pause => rustix::process::Signal::STOP,
            Self::Resume => rustix::process::Signal::CONT,
        }
    }
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics if it does not hold within [`PROCESS_TIMEOUT`].
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let give_up_at = Instant::now() + PROCESS_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < give_up_at, "{what} does not come about");
        sleep(POLL_INTERVAL).await;
    }
}
