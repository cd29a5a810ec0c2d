//! Members that share one service, and the notes submitted to it.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use eyre::bail;
use jujubewall_control::audit::Submission;
use jujubewall_control::dissemination::Event;
use jujubewall_control::store::NoteResult;
use jujubewall_control::store::NoteStore;
use jujubewall_testutils::certificates::TestCertificates;
use jujubewall_testutils::key_value::FakeKeyValue;
use jujubewall_testutils::notes::account;
use jujubewall_testutils::notes::assignment;
use jujubewall_testutils::notes::engine;
use jujubewall_testutils::notes::model;
use jujubewall_testutils::notes::note;
use jujubewall_types::id::Revision;
use jujubewall_types::note::ReleaseNote;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::notes::member::Member;
use crate::notes::member::Traffic;
use crate::notes::service::CountingService;

/// The time in which a note must reach every member, or the trial fails.
const REACH_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of items in the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSize {
    /// The client accounts.
    pub accounts: u32,
    /// The upstreams.
    pub upstreams: u32,
    /// The models.
    pub models: u32,
}

/// Running members with their service.
pub struct Fleet {
    /// The service.
    pub service: Arc<CountingService>,
    /// What the members have sent.
    pub traffic: Arc<Traffic>,
    members: Vec<Member>,
    store: NoteStore,
    notes: u32,
}

impl Fleet {
    /// Starts `size` members, spread evenly over `domains`.
    pub async fn start(size: usize, domains: usize, call_delay: Duration) -> Result<Self> {
        let fake = FakeKeyValue::new();
        fake.set_faults(|faults| faults.delay = call_delay);
        let service = Arc::new(CountingService::new(fake));
        let traffic = Arc::new(Traffic::default());
        let certificates = TestCertificates::new();
        let mut members = Vec::with_capacity(size);
        for index in 0..size {
            members.push(Member::start(
                index,
                index % domains,
                &certificates,
                service.clone(),
                traffic.clone(),
            )?);
        }
        let fleet = Self {
            store: NoteStore::new(service.clone()),
            service,
            traffic,
            members,
            notes: 0,
        };
        fleet.introduce().await;
        Ok(fleet)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Accepts the note that builds up the whole configuration.
    pub async fn build(&mut self, size: ConfigurationSize) -> Result<Vec<Duration>> {
        let models: Vec<Value> = (0..size.models)
            .map(|n| model(&format!("model-{n}"), 80, &["v1"]))
            .collect();
        let accounts: Vec<Value> = (0..size.accounts)
            .map(|n| account(&format!("account-{n}"), 1))
            .collect();
        let upstreams: Vec<Value> = (0..size.upstreams)
            .map(|n| engine(n, assignment("model-0", "v1", 0, 10)))
            .collect();
        let items = json!({ "models": models, "accounts": accounts, "upstreams": upstreams });
        let first = note("first", "partner", &items, &json!({}), &json!({}));
        let revision = self.submit(first).await?;
        self.wait_for(revision).await
    }

    /// Accepts a note that changes one account; returns its revision.
    pub async fn change_account(&mut self) -> Result<Revision> {
        self.notes += 1;
        let changed = json!({ "accounts": [account("account-0", self.notes + 1)] });
        let id = format!("note-{}", self.notes);
        self.submit(note(&id, "partner", &json!({}), &changed, &json!({})))
            .await
    }

    /// Lets one member announce what the store has accepted, as its entry would.
    pub async fn announce(&self) {
        let index = self.notes as usize % self.members.len();
        let snapshot = self.store.newest_snapshot();
        self.members[index].tell(Event::Loaded(snapshot)).await;
    }

    /// Waits until every member has `revision`; returns how long each one took.
    pub async fn wait_for(&self, revision: Revision) -> Result<Vec<Duration>> {
        let started_at = Instant::now();
        let mut waits = JoinSet::new();
        for member in &self.members {
            let mut applied = member.handle.subscribe();
            waits.spawn(async move {
                let reached = applied.wait_for(|applied| *applied >= revision);
                let is_reached = tokio::time::timeout(REACH_TIMEOUT, reached).await.is_ok();
                is_reached.then(|| started_at.elapsed())
            });
        }
        let mut times = Vec::with_capacity(self.members.len());
        for time in waits.join_all().await {
            let Some(time) = time else {
                bail!("a member has not applied revision {revision} in time");
            };
            times.push(time);
        }
        Ok(times)
    }

    /// Stops every member.
    pub async fn stop(self) {
        let mut stops = JoinSet::new();
        for member in self.members {
            stops.spawn(member.stop());
        }
        stops.join_all().await;
    }

    async fn introduce(&self) {
        let peers: Vec<_> = self
            .members
            .iter()
            .map(|member| member.peer.clone())
            .collect();
        for member in &self.members {
            member.tell(Event::Members(peers.clone())).await;
        }
    }

    async fn submit(&self, note: ReleaseNote) -> Result<Revision> {
        let submission = Submission {
            note,
            submitted_by: SmolStr::new_static("bench"),
            submitted_at_ms: 0,
        };
        match self.store.submit(&submission).await? {
            NoteResult::Accepted { revision } => Ok(revision),
            other => bail!("the note was not accepted: {other:?}"),
        }
    }
}
