//! Decisions of one member on watching, announcing and fetching the configuration.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_protocol::config::Chunk;
use jujubewall_protocol::config::ConfigMessage;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::Revision;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::dissemination::Action;
use crate::dissemination::CallId;
use crate::dissemination::DisseminationSettings;
use crate::dissemination::Event;
use crate::dissemination::Peer;
use crate::dissemination::gossip::Gossip;
use crate::dissemination::head_watch::HeadWatch;
use crate::dissemination::selection::Neighbours;
use crate::dissemination::selection::is_watcher;
use crate::head::Head;
use crate::invariant::Invariant;
use crate::snapshot::ChunkMap;
use crate::snapshot::Snapshot;
use crate::snapshot::SnapshotError;

/// Counters of a disseminator, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DisseminationCounters {
    /// Number of revisions applied.
    pub applied: u64,
    /// Number of updates ignored because they were damaged or incomplete.
    pub unusable: u64,
    /// Number of heads ignored because they were not newer than the applied one.
    pub outdated: u64,
    /// Number of peers' fetches not answered because of the rate limit.
    pub not_served: u64,
}

/// Decides when to watch, announce, compare and fetch, without I/O.
#[derive(Debug)]
pub struct Disseminator {
    settings: DisseminationSettings,
    own: Peer,
    neighbours: Neighbours,
    snapshot: Arc<Snapshot>,
    head_digest: Digest,
    watch: HeadWatch,
    gossip: Gossip,
    compare_at: Instant,
    rng: ChaCha8Rng,
    counters: DisseminationCounters,
}

impl Disseminator {
    /// Creates the state of a member that has not applied any revision.
    pub fn new(own: Peer, settings: DisseminationSettings, seed: u64, now: Instant) -> Self {
        let snapshot = Arc::new(Snapshot::new());
        Self {
            head_digest: snapshot.head_digest(),
            snapshot,
            neighbours: Neighbours::default(),
            watch: HeadWatch::new(settings),
            gossip: Gossip::new(settings),
            compare_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: DisseminationCounters::default(),
            settings,
            own,
        }
    }

    /// Returns the applied snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the counters.
    pub fn counters(&self) -> DisseminationCounters {
        self.counters
    }

    /// Returns the time at which [`Event::Wake`] is due.
    pub fn next_wake_at(&self) -> Instant {
        let wakes = [self.watch.wake_at(), self.gossip.wake_at()];
        let earliest = wakes.into_iter().flatten().min();
        earliest.map_or(self.compare_at, |wake_at| wake_at.min(self.compare_at))
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Members(live) => self.on_members(&live, now, &mut actions),
            Event::Message(message) => self.on_message(message, now, &mut actions),
            Event::WatchEnded { call, result } => {
                self.on_watch_ended(call, result, now, &mut actions);
            }
            Event::ChunksRead { call, result } => {
                self.on_chunks_read(call, result, now, &mut actions);
            }
            Event::Loaded(snapshot) => self.apply(snapshot, &mut actions),
            Event::Wake => self.on_wake(now, &mut actions),
        }
        actions
    }

    fn on_members(&mut self, live: &[Peer], now: Instant, actions: &mut Vec<Action>) {
        let near = self.settings.near_neighbours;
        let far = self.settings.far_neighbours;
        self.neighbours = Neighbours::new(&self.own, live, near, far);
        let watchers = self.settings.watchers_per_domain;
        let is_active = is_watcher(&self.own, live, watchers);
        self.watch.set_active(is_active, now, actions);
        if self.snapshot.revision() == Revision::default() {
            // Neighbours with a newer revision answer at once, so that a starting member need
            // not wait for the next comparison.
            self.announce(actions);
        }
    }

    fn on_message(&mut self, message: ConfigMessage, now: Instant, actions: &mut Vec<Action>) {
        match message {
            ConfigMessage::Digest {
                revision,
                head,
                reply_address,
            } => self.on_digest(revision, head, reply_address, now, actions),
            ConfigMessage::Fetch {
                have,
                reply_address,
            } => self.on_fetch(have, reply_address, now, actions),
            ConfigMessage::Update { head, chunks } => self.on_update(head, chunks, now, actions),
        }
    }

    fn on_digest(
        &mut self,
        revision: Revision,
        head: Digest,
        from: SocketAddr,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match revision.cmp(&self.snapshot.revision()) {
            Ordering::Less => actions.push(self.announce_to(from)),
            Ordering::Equal => self.check_same_head(head, from),
            Ordering::Greater => {
                self.gossip.on_announced(from, revision);
                self.fetch(now, actions);
            }
        }
    }

    fn check_same_head(&self, head: Digest, from: SocketAddr) {
        let revision = self.snapshot.revision();
        Invariant::OneHeadPerRevision.check(
            head == self.head_digest,
            format_args!("{from} has a different head of revision {revision}"),
        );
    }

    fn on_fetch(
        &mut self,
        have: Revision,
        from: SocketAddr,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if have >= self.snapshot.revision() {
            return;
        }
        let head = self.snapshot.head_bytes().clone();
        let chunks = self.snapshot.chunks_since(have);
        let chunk_bytes: usize = chunks.iter().map(|chunk| chunk.content.len()).sum();
        if !self.gossip.try_serve(head.len() + chunk_bytes, now) {
            self.counters.not_served += 1;
            return;
        }
        let message = ConfigMessage::Update { head, chunks };
        actions.push(Action::Send { to: from, message });
    }

    fn on_update(
        &mut self,
        head: Bytes,
        chunks: Vec<Chunk>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let chunks = chunks
            .into_iter()
            .map(|chunk| (chunk.digest, chunk.content))
            .collect();
        match self.apply_head(head, &chunks, actions) {
            Ok(()) => self.gossip.on_applied(),
            Err(error) => {
                self.report_unusable(&error);
                self.gossip.on_unusable();
            }
        }
        self.fetch(now, actions);
    }

    fn on_watch_ended(
        &mut self,
        call: CallId,
        result: Result<Option<KeyValueEntry>, PlatformError>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let rng = &mut self.rng;
        let Some(entry) = self.watch.on_watch_ended(call, result, now, rng, actions) else {
            return;
        };
        let missing = match Head::decode(&entry.value) {
            Ok(head) if head.revision > self.snapshot.revision() => {
                self.snapshot.missing_chunks(&head)
            }
            Ok(_) => {
                self.watch.on_handled(entry.revision, now, actions);
                return;
            }
            Err(error) => {
                self.report_unusable(&error.into());
                self.watch.back_off(now, &mut self.rng);
                return;
            }
        };
        if missing.is_empty() {
            self.apply_watched(&entry, &ChunkMap::new(), now, actions);
        } else {
            self.watch.read(entry, missing, now, actions);
        }
    }

    fn on_chunks_read(
        &mut self,
        call: CallId,
        result: Result<ChunkMap, PlatformError>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.watch.on_chunks_read(call) else {
            return;
        };
        match result {
            Ok(chunks) => self.apply_watched(&entry, &chunks, now, actions),
            Err(error) => {
                log::debug!("failed to read the chunks of a head: {error}");
                self.watch.back_off(now, &mut self.rng);
            }
        }
    }

    fn apply_watched(
        &mut self,
        entry: &KeyValueEntry,
        chunks: &ChunkMap,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match self.apply_head(entry.value.clone(), chunks, actions) {
            Ok(()) => self.watch.on_handled(entry.revision, now, actions),
            Err(error) => {
                self.report_unusable(&error);
                self.watch.back_off(now, &mut self.rng);
            }
        }
    }

    fn on_wake(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.watch.on_wake(now, &mut self.rng, actions);
        self.fetch(now, actions);
        if self.compare_at <= now {
            self.compare_with_peer(actions);
            let jitter = self.rng.random_range(0.75..1.25);
            self.compare_at = now + self.settings.compare_interval.mul_f64(jitter);
        }
    }

    fn compare_with_peer(&mut self, actions: &mut Vec<Action>) {
        let peer = self.neighbours.choose(&mut self.rng);
        actions.extend(peer.map(|peer| self.announce_to(peer)));
    }

    fn fetch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let applied = self.snapshot.revision();
        if let Some(to) = self.gossip.next_fetch(applied, now) {
            let message = ConfigMessage::Fetch {
                have: applied,
                reply_address: self.own.address,
            };
            actions.push(Action::Send { to, message });
        }
    }

    /// Applies a head with its chunks if it is newer than the applied one.
    fn apply_head(
        &mut self,
        head: Bytes,
        chunks: &ChunkMap,
        actions: &mut Vec<Action>,
    ) -> Result<(), SnapshotError> {
        if Head::decode(&head)?.revision <= self.snapshot.revision() {
            self.counters.outdated += 1;
            return Ok(());
        }
        let snapshot = self.snapshot.advance(head, chunks)?;
        self.apply(Arc::new(snapshot), actions);
        Ok(())
    }

    fn apply(&mut self, snapshot: Arc<Snapshot>, actions: &mut Vec<Action>) {
        if snapshot.revision() <= self.snapshot.revision() {
            self.counters.outdated += 1;
            return;
        }
        self.counters.applied += 1;
        self.head_digest = snapshot.head_digest();
        self.snapshot = snapshot.clone();
        actions.push(Action::Publish(snapshot));
        self.announce(actions);
    }

    fn announce(&self, actions: &mut Vec<Action>) {
        let peers = self.neighbours.iter();
        actions.extend(peers.map(|peer| self.announce_to(peer)));
    }

    fn announce_to(&self, to: SocketAddr) -> Action {
        let message = ConfigMessage::Digest {
            revision: self.snapshot.revision(),
            head: self.head_digest,
            reply_address: self.own.address,
        };
        Action::Send { to, message }
    }

    fn report_unusable(&mut self, error: &SnapshotError) {
        self.counters.unusable += 1;
        log::debug!("ignoring an unusable configuration: {error}");
    }
}
