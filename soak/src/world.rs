//! The gateways as processes, the stand-ins before which they run, and what was seen.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::join_all;
use jujubewall_testutils::gateway_site::ENGINES_PER_ZONE;
use jujubewall_testutils::gateway_site::EVENTS;
use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::all_events;
use jujubewall_testutils::gateway_site::config_with;
use jujubewall_testutils::gateway_site::neighbour_at;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::ports::free_neighbourhood;
use jujubewall_testutils::site_runner::RunnerFault;
use jujubewall_testutils::site_runner::RunnerHandle;
use jujubewall_testutils::site_runner::RunnerKind;
use jujubewall_testutils::site_runner::SiteRunners;
use jujubewall_testutils::site_store::SiteStore;
use jujubewall_testutils::site_store::StoreMood;
use jujubewall_testutils::store_door::StoreDoor;
use serde_json::Value;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use crate::promises::Bounds;
use crate::promises::History;
use crate::promises::Run;
use crate::promises::Sent;

/// The failure domains of gateways.
const ZONES: [&str; 3] = ["hall", "apron", "dock"];

/// The keys of clients, of which all but the first may be taken away.
pub const KEYS: [&str; 4] = ["key-1", "key-2", "key-3", "key-4"];

/// The bounds that the gateways' settings state.
pub const BOUNDS: Bounds = Bounds {
    drain: Duration::from_secs(2),
    config_apply: Duration::from_secs(2),
    retry_ratio: 0.2,
    retry_burst: 20,
    retry_window: Duration::from_secs(1),
};

/// The time without a disturbance after which bounds in time hold.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The time for which a leaving runner serves beyond the bound.
const LINGER: Duration = Duration::from_millis(1_500);

/// The time from the start of a runner to the removal of the entry of the one that it replaces.
const REMOVAL_DELAY: Duration = Duration::from_millis(100);

/// The time for which the balancer sends connections to a gateway that stops.
const BALANCER_DELAY: Duration = Duration::from_secs(1);

/// The time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The first limit on the heads of requests, and by how much a configuration raises it.
const FIRST_MAX_HEAD_BYTES: usize = 8 * 1024;
const HEAD_BYTES_STEP: usize = 4 * 1024;

/// How often a link is cut, and for how long each time.
const LINK_CUTS: usize = 4;
const LINK_CUT_TIME: Duration = Duration::from_millis(500);

/// The number of gateways of some seeds, and how many seeds there are to one of them.
const MANY_GATEWAYS: usize = 24;
const MANY_GATEWAYS_EVERY: u64 = 25;

/// The number of gateways that planned work stops at a time.
const MAX_STOPPED_AT_ONCE: usize = 2;

/// How a runner leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Leave {
    /// It reports that it drains.
    Drain,
    /// Its entry is removed, and it serves on for a while.
    RemoveEntry,
    /// It reports that it drains, and refuses streams with this status, in the name of another
    /// runner of their path.
    Blame(u16),
    /// It ends, and comes back after this time.
    Crash(Duration),
}

/// A gateway as clients see it.
#[derive(Clone, Copy, Debug)]
pub struct GatewayView {
    /// Its number.
    pub index: usize,
    /// The number of its life.
    pub life: u64,
    /// Its address for clients.
    pub clients: SocketAddr,
}

struct Slot {
    name: String,
    zone: &'static str,
    peers: SocketAddr,
    door: StoreDoor,
    process: AsyncMutex<GatewayProcess>,
}

/// What is played.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    /// Planned work only.
    #[default]
    PlannedOnly,
    /// Planned work and disturbances.
    Everything,
    /// Disturbances end, and none begins.
    Settling,
}

#[derive(Default)]
struct State {
    views: Vec<Option<GatewayView>>,
    running: HashSet<u64>,
    lives: u64,
    /// Up to when each gateway is or was disturbed.
    disturbed_at: Vec<Option<Instant>>,
    /// Up to when the store is or was disturbed.
    store_disturbed_at: Option<Instant>,
    /// When each disturbance of a gateway, or of the store, began or ended.
    disturbance_log: Vec<(Option<usize>, Instant)>,
    disturbances: u64,
    phase: Phase,
    version: u64,
    /// The limits on the heads of requests, each larger than the one before, and since when.
    head_limits: Vec<(Instant, usize)>,
    revoked: HashMap<&'static str, Instant>,
    drained: HashMap<String, Instant>,
    /// When runners ended, which may have come back under their names.
    ended: Vec<(String, Instant)>,
    sent: Vec<Sent>,
    runners: Vec<RunnerHandle>,
    /// The runners that leave or are about to come back.
    replaced: HashSet<String>,
    replacements: u64,
}

/// All that runs.
pub struct World {
    program: PathBuf,
    folder: PathBuf,
    store: Arc<SiteStore>,
    fleet: Arc<SiteRunners>,
    slots: Vec<Slot>,
    state: Mutex<State>,
    tasks: TaskTracker,
}

impl World {
    /// Starts everything, with two to nine gateways, or many, in one to three failure domains as
    /// a seed decides, and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start(program: &Path, folder: &Path, seed: u64) -> Arc<Self> {
        let gateways = if seed.is_multiple_of(MANY_GATEWAYS_EVERY) {
            MANY_GATEWAYS
        } else {
            2 + usize::try_from(seed % 8).unwrap_or_default()
        };
        let zones = 1 + usize::try_from(seed / 8).unwrap_or_default() % ZONES.len();
        let store = SiteStore::new();
        let fleet = SiteRunners::new(&store, EVENTS);
        let mut runners = Vec::new();
        for zone in ["hall", "apron"] {
            for index in 0..ENGINES_PER_ZONE {
                let id = format!("{zone}-{index}");
                let kind = RunnerKind::new("llm", zone, Some("card"));
                runners.push(fleet.start_relayed(&id, &kind).await);
            }
        }
        for index in 0..3 {
            let id = format!("ledger-{index}");
            let kind = RunnerKind::new("ledger", "hall", None);
            runners.push(fleet.start_relayed(&id, &kind).await);
        }
        let mut state = State {
            runners,
            version: 7,
            head_limits: vec![(Instant::now(), FIRST_MAX_HEAD_BYTES)],
            ..State::default()
        };
        store.put_config(&document(&state));
        let mut slots: Vec<Slot> = Vec::new();
        let first_peers = free_neighbourhood(u8::try_from(gateways).unwrap_or(u8::MAX));
        let mut peers = first_peers;
        for index in 0..gateways {
            let zone = ZONES[index % zones];
            let name = format!("front-{index}");
            let door = StoreDoor::new(&store).await;
            let seed = slots.first().map(|slot| slot.peers);
            let process = GatewayProcess::start(&GatewayStart {
                program,
                folder,
                name: &name,
                zone,
                store: door.address(),
                peers,
                seed,
                retry_burst: BOUNDS.retry_burst,
            });
            state.begin_life(index, &process);
            slots.push(Slot {
                name,
                zone,
                peers,
                door,
                process: AsyncMutex::new(process),
            });
            peers = neighbour_at(first_peers, u8::try_from(index + 1).unwrap_or(u8::MAX));
        }
        let world = Arc::new(Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            store,
            fleet,
            slots,
            state: Mutex::new(state),
            tasks: TaskTracker::new(),
        });
        wait_until("the gateways serve", async || world.all_serve().await).await;
        world
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the tracker of events that are being played.
    pub fn tasks(&self) -> TaskTracker {
        self.tasks.clone()
    }

    /// Returns a gateway to which the balancer sends connections.
    pub fn pick_gateway(&self, pick: u64) -> Option<GatewayView> {
        let state = self.state();
        let views: Vec<GatewayView> = state.views.iter().flatten().copied().collect();
        let index = pick.checked_rem(views.len() as u64)?;
        views.get(usize::try_from(index).ok()?).copied()
    }

    /// Returns whether a life of a gateway still goes on.
    pub fn is_running(&self, life: u64) -> bool {
        self.state().running.contains(&life)
    }

    /// Returns whether a gateway and the store have been undisturbed for a while.
    pub fn is_calm(&self, gateway: usize) -> bool {
        let state = self.state();
        let is_over = |at: Option<Instant>| at.is_none_or(|at| at.elapsed() > STABLE_WINDOW);
        is_over(state.disturbed_at[gateway]) && is_over(state.store_disturbed_at)
    }

    /// Returns when a gateway or the store was first disturbed after a time, if it was.
    pub fn disturbed_after(&self, gateway: usize, after: Instant) -> Option<Instant> {
        let state = self.state();
        let concerns = |index: Option<usize>| index.is_none_or(|index| index == gateway);
        let mut later = state.disturbance_log.iter();
        later
            .find(|(index, at)| concerns(*index) && *at > after)
            .map(|(_, at)| *at)
    }

    /// Returns the number of disturbances that have begun or ended.
    pub fn disturbances(&self) -> u64 {
        self.state().disturbances
    }

    /// Counts the begin or the end of something that is not planned work.
    pub fn note_disturbance(&self) {
        self.state().disturbances += 1;
    }

    /// Returns whether only planned work is played, and all disturbances are over.
    pub fn is_planned_phase(&self) -> bool {
        self.state().phase == Phase::PlannedOnly
    }

    /// Returns whether disturbances may begin.
    pub fn may_be_disturbed(&self) -> bool {
        self.state().phase == Phase::Everything
    }

    /// Goes over from planned work to everything, or back once all disturbances are over.
    pub async fn change_phase(&self) {
        if self.is_planned_phase() {
            self.state().phase = Phase::Everything;
            return;
        }
        self.settle().await;
        sleep(STABLE_WINDOW).await;
        self.state().phase = Phase::PlannedOnly;
    }

    async fn settle(&self) {
        self.state().phase = Phase::Settling;
        self.tasks.close();
        self.tasks.wait().await;
        self.tasks.reopen();
    }

    /// Ends all disturbances.
    pub async fn end_faults(&self) {
        self.settle().await;
        self.store.set_mood(StoreMood::Well);
    }

    /// Notes what a client got.
    pub fn note_sent(&self, sent: Sent) {
        self.state().sent.push(sent);
    }

    /// Returns what was seen so far.
    pub fn history(&self) -> History {
        let ran = self.fleet.ran();
        let state = self.state();
        History {
            sent: state.sent.clone(),
            runs: ran
                .into_iter()
                .map(|ran| Run {
                    id: ran.id,
                    runner: ran.runner,
                    at: ran.at,
                })
                .collect(),
            drained: state.drained.clone(),
            ended: state.ended.clone(),
            revoked: state.revoked.clone(),
        }
    }

    /// Stops a gateway, by request or without, and starts it again.
    pub async fn restart_gateway(&self, index: usize, is_planned: bool) {
        let slot = &self.slots[index];
        let Ok(mut process) = slot.process.try_lock() else {
            return;
        };
        self.state().disturb(index, Instant::now());
        if is_planned {
            process.terminate().await;
            sleep(BALANCER_DELAY).await;
            self.state().views[index] = None;
            process.ended().await;
        } else {
            process.kill().await;
        }
        self.state().end_life(index);
        sleep(RESTART_DELAY).await;
        self.start_again(index, &mut process);
    }

    fn start_again(&self, index: usize, process: &mut GatewayProcess) {
        let slot = &self.slots[index];
        let seed = &self.slots[(index + 1) % self.slots.len()];
        *process = GatewayProcess::start(&GatewayStart {
            program: &self.program,
            folder: &self.folder,
            name: &slot.name,
            zone: slot.zone,
            store: slot.door.address(),
            peers: slot.peers,
            seed: Some(seed.peers),
            retry_burst: BOUNDS.retry_burst,
        });
        self.state().begin_life(index, process);
    }

    /// Stops a gateway's process for a time, in which it does not end.
    pub async fn pause_gateway(&self, index: usize, span: Duration) {
        let Ok(process) = self.slots[index].process.try_lock() else {
            return;
        };
        self.state().disturb(index, Instant::now() + span);
        process.pause().await;
        sleep(span).await;
        process.resume().await;
        self.state().disturb(index, Instant::now());
    }

    /// Returns the number of gateways.
    pub fn gateway_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the gateways that follow the store, but for those that are stopped just now.
    fn followers(&self) -> Vec<usize> {
        let mut followers = Vec::new();
        for (index, slot) in self.slots.iter().enumerate() {
            let Ok(process) = slot.process.try_lock() else {
                continue;
            };
            let log = process.log();
            let mut changes = log.lines().filter(|line| line.contains("follows_store"));
            let last = changes.next_back();
            if last.is_some_and(|line| line.contains("holds=true")) {
                followers.push(index);
            }
        }
        followers
    }

    /// Kills all gateways that follow the store at once and starts them again.
    pub async fn kill_followers(&self) {
        let followers = self.followers();
        let kills = followers
            .iter()
            .map(|index| self.restart_gateway(*index, false));
        join_all(kills).await;
    }

    /// Stops gateways that follow the store at once, as planned work does, and starts them again.
    pub async fn terminate_followers(&self) {
        let mut followers = self.followers();
        followers.truncate(MAX_STOPPED_AT_ONCE.min(self.slots.len() / 2));
        let stops = followers
            .iter()
            .map(|index| self.restart_gateway(*index, true));
        join_all(stops).await;
    }

    /// Lets the store turn those gateways away that follow it, for a time.
    pub async fn turn_followers_away(&self, mood: StoreMood, span: Duration) {
        let followers = self.followers();
        for is_begin in [true, false] {
            for &index in &followers {
                let mood = if is_begin { mood } else { StoreMood::Well };
                self.slots[index].door.set_mood(mood);
                let left = if is_begin { span } else { Duration::ZERO };
                self.state().disturb(index, Instant::now() + left);
            }
            if is_begin {
                sleep(span).await;
            }
        }
    }

    /// Stops the processes of gateways that follow the store for a time, in which they do not end.
    pub async fn pause_followers(&self, span: Duration) {
        let followers = self.followers();
        let pauses = followers
            .iter()
            .map(|index| self.pause_gateway(*index, span));
        join_all(pauses).await;
    }

    /// Kills all gateways at once and starts them again.
    pub async fn kill_all_gateways(&self) {
        // Requests that are in flight now are not cut by planned work.
        self.note_disturbance();
        let mut processes = Vec::new();
        for slot in &self.slots {
            processes.push(slot.process.lock().await);
        }
        for (index, process) in processes.iter_mut().enumerate() {
            process.kill().await;
            self.state().end_life(index);
        }
        sleep(RESTART_DELAY).await;
        for (index, process) in processes.iter_mut().enumerate() {
            self.start_again(index, process);
        }
    }

    /// Returns whether all gateways serve streams within a time.
    pub async fn serves_within(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.all_serve().await {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn all_serve(&self) -> bool {
        for slot in &self.slots {
            let process = slot.process.lock().await;
            let answer = process.send(stream_request("check")).await;
            let is_whole = answer.is_ok_and(|answer| answer.body() == all_events().as_bytes());
            if !is_whole || !process.is_ready().await {
                return false;
            }
        }
        true
    }

    /// Writes a configuration that changes times, and raises the limit on heads.
    pub fn configure(&self) {
        let mut state = self.state();
        state.version += 3;
        let limit = state.max_head_bytes(Duration::ZERO) + HEAD_BYTES_STEP;
        state.head_limits.push((Instant::now(), limit));
        self.store.put_config(&document(&state));
    }

    /// Returns the size of heads that every configuration allows which may be in force.
    pub fn max_head_bytes(&self) -> usize {
        self.state().max_head_bytes(BOUNDS.config_apply)
    }

    /// Takes a key away, unless only one is left.
    pub fn revoke_key(&self) {
        let mut state = self.state();
        let left = KEYS
            .iter()
            .rev()
            .find(|key| !state.revoked.contains_key(*key));
        let Some(key) = left.filter(|key| **key != KEYS[0]) else {
            return;
        };
        state.revoked.insert(key, Instant::now());
        state.version += 1;
        self.store.put_config(&document(&state));
    }

    /// Treats calls to the store in another way for a time.
    pub async fn disturb_store(&self, mood: StoreMood, span: Duration) {
        self.state().disturb_store_until(Instant::now() + span);
        self.store.set_mood(mood);
        sleep(span).await;
        self.store.set_mood(StoreMood::Well);
        self.state().disturb_store_until(Instant::now());
    }

    /// Lets the store forget its history.
    pub fn compact_store(&self) {
        self.state().disturb_store_until(Instant::now());
        self.store.compact();
    }

    /// Closes the connections of watches that wait, which is no disturbance by the platform's
    /// protocol.
    pub fn cut_watches(&self) {
        self.store.cut_watches();
    }

    /// Silences the open connections of all gateways to the store.
    pub fn silence_store_links(&self) {
        for index in 0..self.slots.len() {
            self.silence_store_link(index);
        }
    }

    /// Silences a gateway's open connections to the store.
    pub fn silence_store_link(&self, index: usize) {
        self.state().disturb(index, Instant::now());
        self.slots[index].door.silence_open_connections();
    }

    /// Silences all open connections to runners.
    pub fn silence_runners(&self) {
        for runner in &self.state().runners {
            runner.silence_open_connections();
        }
    }

    /// Lets a runner do something wrong for a time.
    pub async fn fail_runner(&self, pick: u64, fault: RunnerFault, span: Duration) {
        let Some(id) = self.pick_runner(pick) else {
            return;
        };
        self.fleet.set_fault(&id, fault);
        sleep(span).await;
        self.fleet.set_fault(&id, RunnerFault::None);
    }

    /// Cuts the link to a runner, which goes on, several times for a moment.
    pub async fn cut_runner(&self, pick: u64) {
        let Some(id) = self.pick_runner(pick) else {
            return;
        };
        for _ in 0..LINK_CUTS {
            self.cut_link(&id);
            sleep(LINK_CUT_TIME * 2).await;
        }
    }

    fn cut_link(&self, id: &str) {
        let state = self.state();
        let mut runners = state.runners.iter();
        if let Some(runner) = runners.find(|runner| runner.id() == id) {
            runner.cut_link(LINK_CUT_TIME);
        }
    }

    fn pick_runner(&self, pick: u64) -> Option<String> {
        let state = self.state();
        let index = pick.checked_rem(state.runners.len() as u64)?;
        let runner = state.runners.get(usize::try_from(index).ok()?)?;
        Some(runner.id().to_owned())
    }

    /// Returns whether the store has been undisturbed for a while.
    fn is_store_stable(&self) -> bool {
        let disturbed_at = self.state().store_disturbed_at;
        disturbed_at.is_none_or(|at| at.elapsed() > STABLE_WINDOW)
    }

    /// Lets a runner leave, by its entry's state or by removing the entry, or end without a
    /// word; one like it comes.
    pub async fn replace_runner(&self, pick: u64, leave: Leave) {
        let is_planned = !matches!(leave, Leave::Crash(_));
        let Some(id) = self.pick_runner(pick) else {
            return;
        };
        let Some(kind) = self.fleet.kind(&id) else {
            return;
        };
        // One that leaves does not come back under its name.
        if !self.state().replaced.insert(id.clone()) {
            return;
        }
        if is_planned {
            let new_id = {
                let mut state = self.state();
                state.replacements += 1;
                format!("new-{}", state.replacements)
            };
            let new = self.fleet.start_relayed(&new_id, &kind).await;
            self.state().runners.push(new);
            match leave {
                Leave::Drain => {
                    sleep(LINGER).await;
                    self.fleet.drain(&id);
                }
                Leave::Blame(status) => {
                    self.fleet.set_fault(&id, RunnerFault::LeaveBlaming(status));
                    sleep(REMOVAL_DELAY).await;
                    self.fleet.drain(&id);
                }
                Leave::RemoveEntry | Leave::Crash(_) => {
                    sleep(REMOVAL_DELAY).await;
                    self.fleet.remove_entry(&id);
                }
            }
            // An acknowledgement counts only if the store gives it while it is stable.
            if self.is_store_stable() {
                self.state().drained.insert(id.clone(), Instant::now());
            }
            sleep(BOUNDS.drain + LINGER).await;
        }
        let ended = {
            let mut state = self.state();
            state.ended.push((id.clone(), Instant::now()));
            let index = state.runners.iter().position(|runner| runner.id() == id);
            index.map(|index| state.runners.swap_remove(index))
        };
        drop(ended);
        if is_planned {
            self.fleet.remove_entry(&id);
            return;
        }
        if let Leave::Crash(pause) = leave {
            sleep(pause).await;
        }
        let again = self.fleet.start_relayed(&id, &kind).await;
        let mut state = self.state();
        state.runners.push(again);
        state.replaced.remove(&id);
    }
}

impl State {
    /// Returns the limit on heads that was the newest one so long ago.
    fn max_head_bytes(&self, ago: Duration) -> usize {
        let mut older = self.head_limits.iter().rev();
        let limit = older.find(|(since, _)| since.elapsed() >= ago);
        limit.map_or(FIRST_MAX_HEAD_BYTES, |(_, bytes)| *bytes)
    }

    fn begin_life(&mut self, index: usize, process: &GatewayProcess) {
        self.lives += 1;
        let view = GatewayView {
            index,
            life: self.lives,
            clients: process.clients,
        };
        self.running.insert(view.life);
        if self.views.len() <= index {
            self.views.push(None);
            self.disturbed_at.push(None);
        }
        self.views[index] = Some(view);
        self.disturb(index, Instant::now());
    }

    fn end_life(&mut self, index: usize) {
        if let Some(view) = self.views[index].take() {
            self.running.remove(&view.life);
        }
        self.disturb(index, Instant::now());
    }

    /// Notes that a gateway is disturbed up to a time; several disturbances may overlap.
    fn disturb(&mut self, index: usize, until: Instant) {
        self.disturbed_at[index] = self.disturbed_at[index].max(Some(until));
        self.disturbance_log.push((Some(index), Instant::now()));
    }

    /// Notes that the store is disturbed up to a time.
    fn disturb_store_until(&mut self, until: Instant) {
        self.store_disturbed_at = self.store_disturbed_at.max(Some(until));
        self.disturbance_log.push((None, Instant::now()));
    }
}

/// Returns the configuration with the keys that are left.
fn document(state: &State) -> Value {
    let keys = KEYS.iter().filter(|key| !state.revoked.contains_key(*key));
    let keys: Vec<&str> = keys.copied().collect();
    let mut document = config_with(state.version, &keys, 7_000 + state.version % 5 * 500);
    document["limits"]["max_header_bytes"] = state.max_head_bytes(Duration::ZERO).into();
    document
}
