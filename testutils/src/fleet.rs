//! Two entries and the agents of a site as real processes.

use std::path::Path;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::client::EventStream;
use crate::client::HttpUser;
use crate::daemon::DaemonProcess;
use crate::daemon::Signal;
use crate::daemon::eventually;
use crate::site::ACCOUNT_KEY;
use crate::site::MODEL;
use crate::site::OPERATOR_KEY;
use crate::site::SiteShape;
use crate::site::TestSite;

/// The path of text completions.
pub const COMPLETIONS: &str = "/v1/completions";

/// The path of release notes.
pub const NOTES: &str = "/admin/v1/notes";

/// Two entries and the agents of a site, all ready, with the site's note accepted.
pub struct Fleet {
    /// The stand-ins.
    pub site: TestSite,
    /// The entries.
    pub entries: Vec<DaemonProcess>,
    /// The agents: those of the engines in their order, then that of the service.
    pub agents: Vec<DaemonProcess>,
}

impl Fleet {
    /// Starts the stand-ins and every process, and submits the site's note.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or the note is not accepted.
    pub async fn start(binary: &Path, shape: SiteShape) -> Self {
        Self::start_at(binary, TestSite::start(shape).await).await
    }

    /// Starts every process at a site, and submits the site's note.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or the note is not accepted.
    pub async fn start_at(binary: &Path, site: TestSite) -> Self {
        let spawn = |path: &PathBuf| DaemonProcess::spawn(binary, path);
        let agents: Vec<_> = site.agent_settings().iter().map(spawn).collect();
        let entries = ["entry-0", "entry-1"].map(|name| site.entry_settings(name));
        let entries: Vec<_> = entries.iter().map(spawn).collect();
        let fleet = Self {
            site,
            entries,
            agents,
        };
        for process in fleet.processes() {
            process.wait_until_alive().await;
        }
        let note = json!(fleet.site.release_note("first"));
        let answer = fleet.operator(0).post(NOTES, &note).await;
        let answer = answer.expect("the entry answers").json();
        assert_eq!(answer["result"], "accepted", "{answer}");
        for process in fleet.processes() {
            process.wait_until_ready().await;
        }
        fleet.wait_until_known().await;
        fleet
    }

    /// Returns every process, the entries first.
    pub fn processes(&self) -> impl Iterator<Item = &DaemonProcess> {
        self.entries.iter().chain(&self.agents)
    }

    /// Returns a caller of an entry.
    pub fn caller(&self, entry: usize) -> HttpUser {
        self.entries[entry].user("caller_address", ACCOUNT_KEY)
    }

    /// Returns an operator at an entry.
    pub fn operator(&self, entry: usize) -> HttpUser {
        self.entries[entry].user("operator_address", OPERATOR_KEY)
    }

    /// Begins a streamed answer.
    ///
    /// # Panics
    ///
    /// Panics if the entry refuses it.
    pub async fn stream(&self, entry: usize, prompt: &str, tokens: usize) -> EventStream {
        let body = completion(prompt, tokens, true);
        let stream = self.caller(entry).stream(COMPLETIONS, &body).await;
        stream.unwrap_or_else(|answer| panic!("refused: {answer:?}"))
    }

    /// Drains every process.
    ///
    /// # Panics
    ///
    /// Panics if one does not end well.
    pub async fn stop(self) {
        for mut process in self.entries.into_iter().chain(self.agents) {
            process.signal(Signal::Terminate);
            assert!(process.wait().await, "the process drains and ends well");
        }
    }

    /// Waits until every entry knows every member.
    async fn wait_until_known(&self) {
        let expected = self.entries.len() + self.agents.len();
        for entry in 0..self.entries.len() {
            let operator = self.operator(entry);
            eventually("the list of members", async || {
                let status = operator.get("/admin/v1/status").await;
                let Ok(status) = status.map(|answer| answer.json()) else {
                    return false;
                };
                let members = status["members"].as_array().map(Vec::len);
                members == Some(expected) && status["is_in_force"] == json!(true)
            })
            .await;
        }
    }
}

/// Builds the body of a request for a completion.
pub fn completion(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream })
}
