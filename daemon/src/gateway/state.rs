//! The gateway's state, shared by its tasks on one thread.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_http_client::CallDeadlines;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::site::settings::SiteBounds;
use jujubewall_platform::site::settings::SiteSettings;
use jujubewall_platform::site::store::StoreClient;
use jujubewall_routing::fleet::absences::Absences;
use jujubewall_routing::fleet::answer_memory::AnswerMemory;
use jujubewall_routing::fleet::answer_memory::AnswerShare;
use jujubewall_routing::fleet::claims::FollowerCounts;
use jujubewall_routing::fleet::drain::Drain;
use jujubewall_routing::fleet::entry_bounds::EntryBounds;
use jujubewall_routing::fleet::entry_log::EntryLog;
use jujubewall_routing::fleet::follower_election::StoreView;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::layer_path::max_crossing_streams_per_s;
use jujubewall_routing::fleet::repair_estimate::RepairEstimate;
use jujubewall_routing::fleet::request_memory;
use jujubewall_routing::fleet::retry_budget::RetryBounds;
use jujubewall_routing::fleet::retry_budget::WindowedRetryBudget;
use jujubewall_routing::fleet::retry_schedule::RetrySchedule;
use jujubewall_routing::fleet::routes::RouteTable;
use jujubewall_routing::fleet::store_answers::Topic;
use jujubewall_routing::fleet::store_belief::BeliefChange;
use jujubewall_routing::fleet::store_belief::StoreBelief;
use jujubewall_routing::fleet::store_belief::StoreCall;
use jujubewall_routing::fleet::store_timing;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::FleetConfig;
use jujubewall_types::id::Revision;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::StoreEra;
use jujubewall_types::id::StorePosition;
use log::info;
use log::warn;
use rand::Rng as _;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::Peers;
use crate::gateway::planner::PlannerState;
use crate::gateway::poison::PoisonState;
use crate::gateway::upstreams::ConnectionPool;
use crate::gateway::waiting::StreamAdmissions;
use crate::request_memory::RequestShare;
use crate::request_memory::SharedRequestMemory;
use crate::supervise::spawn_supervised;

/// The longest `Retry-After` time that is due to paused upstreams: other upstreams are
/// likely to have capacity before.
const MAX_RESUME_RETRY_AFTER: Duration = Duration::from_secs(4);

/// The state of one gateway.
pub struct Gateway {
    settings: RefCell<SiteSettings>,
    store: RefCell<Rc<StoreClient>>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    instances: RefCell<InstanceTable>,
    is_synced: Cell<bool>,
    instances_position: Cell<StorePosition>,
    budget: RefCell<WindowedRetryBudget>,
    last_crossing: Cell<Option<Instant>>,
    retry_schedules: RefCell<HashMap<ServiceName, RetrySchedule>>,
    repair_estimates: RefCell<HashMap<ServiceName, RepairEstimate>>,
    rng: RefCell<SmallRng>,
    in_flight: Cell<usize>,
    streams_in_flight: Cell<usize>,
    drain: watch::Sender<Option<Drain>>,
    store_belief: RefCell<StoreBelief>,
    entry_log: RefCell<EntryLog>,
    /// Wakes silent streams when an upstream is newly suspected.
    pub suspicions: Notify,
    suspicion_count: Cell<u64>,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// The idle connections to upstreams.
    pub connections: ConnectionPool,
    /// The other gateways.
    pub peers: Peers,
    /// The planner's state.
    pub planner: PlannerState,
    /// The requests and prompt parts that crash upstreams.
    pub poison: PoisonState,
    /// The upstreams whose entries the store lost while it was unavailable.
    absences: RefCell<Absences>,
    /// The memory for unfinished answers.
    pub answer_memory: Rc<AnswerMemory>,
    /// The admission of streams.
    pub admissions: Rc<StreamAdmissions>,
    /// The memory for unfinished requests.
    pub request_memory: Arc<SharedRequestMemory>,
    /// The number of connections that clients may hold open.
    max_connections: usize,
}

impl Gateway {
    /// Creates a gateway that knows neither a configuration nor an upstream.
    pub fn new(settings: SiteSettings) -> Rc<Self> {
        let store = Rc::new(store_client(settings.store_address));
        let budget = WindowedRetryBudget::new(repeat_bounds(&settings.bounds), Instant::now());
        let mut rng: SmallRng = rand::make_rng();
        let peers = Peers::new(&settings, rng.next_u64());
        let mut instances = InstanceTable::new();
        instances.set_pace_seed(rng.next_u64());
        Rc::new(Self {
            store: RefCell::new(store),
            routes: RefCell::new(None),
            instances: RefCell::new(instances),
            is_synced: Cell::new(false),
            instances_position: Cell::new(StorePosition::default()),
            budget: RefCell::new(budget),
            last_crossing: Cell::new(None),
            retry_schedules: RefCell::new(HashMap::new()),
            repair_estimates: RefCell::new(HashMap::new()),
            rng: RefCell::new(rng),
            in_flight: Cell::new(0),
            streams_in_flight: Cell::new(0),
            drain: watch::Sender::new(None),
            store_belief: RefCell::new(StoreBelief::new(heartbeat_interval(&settings))),
            entry_log: RefCell::new(EntryLog::new()),
            suspicions: Notify::new(),
            suspicion_count: Cell::new(0),
            metrics: GatewayMetrics::new(),
            connections: ConnectionPool::new(),
            peers,
            planner: PlannerState::default(),
            poison: PoisonState::default(),
            absences: RefCell::new(Absences::new()),
            admissions: StreamAdmissions::new(),
            answer_memory: AnswerMemory::new(settings.max_memory_bytes),
            request_memory: SharedRequestMemory::new(request_memory::capacity_bytes(
                settings.max_memory_bytes,
            )),
            max_connections: request_memory::max_connections(settings.max_memory_bytes),
            settings: RefCell::new(settings),
        })
    }

    /// Returns the settings.
    pub fn settings(&self) -> Ref<'_, SiteSettings> {
        self.settings.borrow()
    }

    /// Applies changed settings. Addresses that are already bound do not change until a
    /// restart.
    pub fn apply_settings(&self, settings: SiteSettings) {
        let mut known = self.settings.borrow_mut();
        if *known == settings {
            return;
        }
        info!(
            "event=reload store={} drain_ms={} config_apply_ms={}",
            settings.store_address, settings.bounds.drain_ms, settings.bounds.config_apply_ms
        );
        if known.store_address != settings.store_address {
            *self.store.borrow_mut() = Rc::new(store_client(settings.store_address));
        }
        if known.client_address != settings.client_address {
            warn!("event=reload_partial field=client_address reason=\"applies after a restart\"");
        }
        let bounds = repeat_bounds(&settings.bounds);
        self.budget.borrow_mut().set_bounds(bounds);
        self.store_belief_mut()
            .set_heartbeat_interval(heartbeat_interval(&settings));
        *known = settings;
    }

    /// Returns the client of the metadata store.
    pub fn store(&self) -> Rc<StoreClient> {
        Rc::clone(&self.store.borrow())
    }

    /// Returns what this gateway believes about the store.
    pub fn store_belief(&self) -> Ref<'_, StoreBelief> {
        self.store_belief.borrow()
    }

    /// Returns what this gateway believes about the store for modification.
    pub fn store_belief_mut(&self) -> RefMut<'_, StoreBelief> {
        self.store_belief.borrow_mut()
    }

    /// Returns whether the store serves this gateway as far as is known.
    pub fn is_store_up(&self) -> bool {
        self.store_belief.borrow().is_link_up()
    }

    /// Returns whether this gateway has all upstreams' entries from the store itself.
    pub fn is_store_source(&self) -> bool {
        self.peers.follows()
            && self.is_store_up()
            && self.is_synced()
            && self.entry_log.borrow().is_running()
    }

    /// Returns whether this gateway receives changes, from the store or through a peer.
    pub fn receives_changes(&self) -> bool {
        self.is_store_source() || self.peers.follower_counts().served > 0
    }

    /// Returns the log of changes of upstreams' entries that this gateway got from the store.
    pub fn entry_log(&self) -> Ref<'_, EntryLog> {
        self.entry_log.borrow()
    }

    /// Returns the log of changes of upstreams' entries for modification.
    pub fn entry_log_mut(&self) -> RefMut<'_, EntryLog> {
        self.entry_log.borrow_mut()
    }

    /// Returns the upstreams that are kept although the store has no entry of them.
    pub fn absences_mut(&self) -> RefMut<'_, Absences> {
        self.absences.borrow_mut()
    }

    /// Returns the times for the steps by which changed entries are learned.
    pub fn entry_bounds(&self) -> EntryBounds {
        let bound = Duration::from_millis(self.settings().bounds.drain_ms);
        EntryBounds::new(bound, self.peers.gossip().timing())
    }

    /// Records how a call to the store ended that began at `begun_at`.
    ///
    /// A call that the store refuses, also because of the rate of calls, got nothing from it.
    pub fn record_store_call<T>(&self, result: &Result<T, PlatformError>, begun_at: Instant) {
        let call = match result {
            Ok(_) | Err(PlatformError::LeaseLapsed) => StoreCall::Answered,
            Err(_) => StoreCall::Failed { begun_at },
        };
        let change = self.store_belief_mut().on_call(call, Instant::now());
        self.note_belief_change(change);
    }

    /// Records that a read of the store was answered, which shows its state `at` a time.
    pub fn record_store_read(&self, topic: Topic, at: Instant) {
        let now = Instant::now();
        let change = self.store_belief_mut().on_read(topic, at, now);
        self.note_belief_change(change);
    }

    /// Weighs when the store last answered the other gateways.
    pub fn weigh_store_answers(&self) {
        let told = self.peers.gossip().claims().newest_answers();
        let is_other_unserved = self.peers.follower_counts().unserved > 0;
        let change = self
            .store_belief_mut()
            .weigh(told, is_other_unserved, Instant::now());
        self.note_belief_change(change);
    }

    /// Returns what is known of the store for the decision whether to follow it.
    pub fn store_view(&self) -> StoreView {
        let told = self.peers.gossip().claims().newest_answers();
        let belief = self.store_belief();
        StoreView {
            is_served: belief.is_link_up(),
            answers: belief.own_answers().newest(told),
        }
    }

    fn note_belief_change(&self, change: Option<BeliefChange>) {
        let Some(change) = change else {
            return;
        };
        let FollowerCounts { served, unserved } = self.peers.follower_counts();
        let others = format!("served={served} unserved={unserved}");
        match change {
            BeliefChange::LinkLost => {
                self.metrics.count("store_lost");
                warn!("event=store_lost {others}");
            }
            BeliefChange::LinkRegained { lost_for } => {
                info!(
                    "event=store_regained lost_ms={} {others}",
                    lost_for.as_millis()
                );
            }
            BeliefChange::WentAway => {
                self.metrics.count("store_away");
                warn!("event=store_away {others}");
            }
            BeliefChange::Returned { away_for } => {
                self.metrics.count("store_returned");
                info!(
                    "event=store_returned away_ms={} {others}",
                    away_for.as_millis()
                );
            }
        }
    }

    /// Returns a share of the memory for unfinished answers.
    pub fn answer_share(&self) -> AnswerShare {
        AnswerShare::new(&self.answer_memory)
    }

    /// Records that an answer may not hold more.
    pub fn note_answer_memory_full(&self, id: &str, bytes: usize) {
        self.metrics.count("answer_memory_full");
        warn!(
            "event=answer_memory_full id={id} bytes={bytes} used={} capacity={}",
            self.answer_memory.used_bytes(),
            self.answer_memory.capacity_bytes()
        );
    }

    /// Returns a share of the memory for unfinished requests.
    pub fn request_share(&self) -> RequestShare {
        RequestShare::new(&self.request_memory)
    }

    /// Returns the number of connections that clients may hold open, as far as memory goes.
    pub const fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Records that there is no memory for the body of a request, or that its sender has stopped
    /// while others waited for memory.
    pub fn note_request_memory_full(&self, id: &str, event: &'static str) {
        self.metrics.count(event);
        warn!(
            "event={event} id={id} used={} capacity={}",
            self.request_memory.used_bytes(),
            self.request_memory.capacity_bytes()
        );
    }

    /// Returns the routes of the configuration in force; `None` if there is none yet.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the version of the configuration in force; zero if there is none.
    pub fn config_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.config().version)
    }

    /// Puts a configuration in force unless it is no newer than the current one. `source`
    /// is only logged.
    pub fn apply_config(&self, config: FleetConfig, source: &str) {
        let version = config.version;
        if version <= self.config_version() {
            return;
        }
        info!(
            "event=config version={version} before={} source={source} routes={} services={}",
            self.config_version(),
            config.routes.len(),
            config.services.len()
        );
        self.metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
    }

    /// Returns the table of upstreams.
    pub fn instances(&self) -> Ref<'_, InstanceTable> {
        self.instances.borrow()
    }

    /// Returns the table of upstreams for modification.
    pub fn instances_mut(&self) -> RefMut<'_, InstanceTable> {
        self.instances.borrow_mut()
    }

    /// Returns the number of times that an upstream was newly suspected.
    pub fn suspicion_count(&self) -> u64 {
        self.suspicion_count.get()
    }

    /// Makes all streams check whether their path uses a suspected upstream.
    pub fn announce_suspicion(&self) {
        self.suspicion_count.set(self.suspicion_count.get() + 1);
        self.suspicions.notify_waiters();
    }

    /// Returns the newest store position of the upstreams' entries that have been applied.
    pub fn instances_position(&self) -> StorePosition {
        self.instances_position.get()
    }

    /// Raises the newest store position of the upstreams' entries that have been applied.
    pub fn advance_instances_position(&self, position: StorePosition) {
        let newest = self.instances_position.get().max(position);
        self.instances_position.set(newest);
    }

    /// Applies the era of the store that one of its answers, or a peer, has named.
    ///
    /// A new era means that the store has lost writes that it acknowledged in the last
    /// seconds of the previous one. Positions and leases of the previous era are invalid,
    /// and upstreams get time to rewrite their entries. Other state stays: the configuration
    /// never goes back to an older version, nor does what upstreams have reported about
    /// themselves.
    pub fn apply_store_era(&self, era: StoreEra) {
        let known = self.instances_position.get().era;
        if era <= known {
            return;
        }
        let is_first = known == StoreEra::default();
        info!(
            "event=store_era era={era} before={known} config={}",
            self.config_version()
        );
        self.instances_position.set(StorePosition {
            era,
            revision: Revision(0),
        });
        if is_first {
            return;
        }
        self.metrics.count("store_era");
        self.entry_log.borrow_mut().stop();
        self.store_belief_mut().on_new_era(Instant::now());
        self.planner.forget_lease();
    }

    /// Records that all upstreams' entries have been read once.
    pub fn set_synced(&self) {
        self.is_synced.set(true);
        self.instances_mut().set_filled();
    }

    /// Returns whether all upstreams' entries have been read once.
    pub fn is_synced(&self) -> bool {
        self.is_synced.get()
    }

    /// Returns whether the gateway is ready for new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_synced.get() && self.routes.borrow().is_some()
    }

    /// Begins to drain: the gateway is no longer ready, so the balancer stops sending
    /// connections.
    pub fn begin_drain(&self, drain: Drain) {
        self.drain.send_replace(Some(drain));
    }

    /// Returns which requests this gateway still accepts; `None` unless it drains.
    pub fn drain(&self) -> Option<Drain> {
        *self.drain.borrow()
    }

    /// Waits until the last moment at which an answer is written before this gateway stops;
    /// never returns unless it is told to stop.
    pub async fn last_answer_time(&self) {
        let drain = self.drain_begun().await;
        sleep_until(drain.last_answer_at()).await;
    }

    /// Waits until this gateway drains.
    pub async fn drain_begun(&self) -> Drain {
        let mut drain = self.drain.subscribe();
        let begun = drain.wait_for(Option::is_some).await;
        let begun = begun.ok().and_then(|drain| *drain);
        match begun {
            Some(drain) => drain,
            // The sender lives as long as the gateway.
            None => pending().await,
        }
    }

    /// Returns whether the gateway drains before it stops.
    pub fn is_draining(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Returns the number of streams in progress.
    pub fn streams_in_flight(&self) -> usize {
        self.streams_in_flight.get()
    }

    /// Counts a stream as in progress if it `has_begun`, or else as ended.
    pub fn count_stream(&self, has_begun: bool) {
        let count = self.streams_in_flight.get();
        self.streams_in_flight.set(if has_begun {
            count + 1
        } else {
            count.saturating_sub(1)
        });
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.inc();
        InFlightGuard {
            gateway: Rc::clone(self),
        }
    }

    /// Spawns a task that is restarted if it panics.
    pub fn spawn_loop<F>(self: &Rc<Self>, name: &'static str, run: impl Fn(Rc<Self>) -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let counting = Rc::clone(self);
        let gateway = Rc::clone(self);
        spawn_supervised(
            name,
            move || counting.metrics.count("task_failed"),
            move || run(Rc::clone(&gateway)),
        );
    }

    /// Counts a client's request for a service, on which the retry budget depends.
    pub fn count_request(&self, service: &ServiceName) {
        self.budget.borrow_mut().on_request(service, Instant::now());
    }

    /// Returns whether the service's retry budget allows a repeated send.
    pub fn can_repeat(&self, service: &ServiceName) -> bool {
        let burst_share = self.peers.gossip().equal_share();
        let mut budget = self.budget.borrow_mut();
        budget.allows_retry(service, burst_share, Instant::now())
    }

    /// Takes one repeated send from the service's retry budget. Returns whether it allows it.
    pub fn try_repeat(&self, service: &ServiceName) -> bool {
        let burst_share = self.peers.gossip().equal_share();
        let now = Instant::now();
        let mut budget = self.budget.borrow_mut();
        let may_retry = budget.try_retry(service, burst_share, now);
        let event = if may_retry { "repeat" } else { "repeat_denied" };
        self.metrics.count(event);
        may_retry
    }

    /// Returns whether this gateway may route another stream across failure domains now.
    pub fn may_cross_domains(&self, spec: &EngineSpec) -> bool {
        let per_s = max_crossing_streams_per_s(spec) * self.peers.gossip().equal_share();
        self.last_crossing
            .get()
            .is_none_or(|last| last.elapsed().as_secs_f64() * per_s >= 1.0)
    }

    /// Records that a stream was routed across failure domains.
    pub fn record_crossing(&self) {
        self.last_crossing.set(Some(Instant::now()));
        self.metrics.count("crossing");
    }

    /// Returns the time after which a rejected client should retry.
    pub fn next_retry_after(&self, service: &ServiceName) -> Duration {
        self.update_retry_schedule(service, RetrySchedule::next_retry_after)
    }

    /// Returns the time after which the next rejected client will be told to retry. Nothing is
    /// changed.
    pub fn peek_retry_after(&self, service: &ServiceName) -> Option<Duration> {
        let retry_schedules = self.retry_schedules.borrow();
        let schedule = retry_schedules.get(service)?;
        Some(schedule.peek_retry_after(Instant::now()))
    }

    /// Returns the time after which a client should retry that was rejected because layers
    /// are missing.
    pub fn retry_after_repair(&self, service: &ServiceName, spec: &EngineSpec) -> Duration {
        let draw = self.random_u64() as f64 / u64::MAX as f64;
        let mut estimates = self.repair_estimates.borrow_mut();
        let estimate = estimates
            .entry(service.clone())
            .or_insert_with(|| RepairEstimate::new(spec.longest_engine_load()));
        estimate.next_retry_after(draw, Instant::now())
    }

    /// Records that a complete path of a service was found.
    pub fn record_path(&self, service: &ServiceName) {
        if let Some(estimate) = self.repair_estimates.borrow_mut().get_mut(service) {
            estimate.on_path(Instant::now());
        }
    }

    /// Returns the time after which a rejected client should retry: `wait`, extended until
    /// the first paused upstream of the service accepts requests again.
    pub fn extend_until_resume(&self, service: &ServiceName, wait: Duration) -> Duration {
        let now = Instant::now();
        let resume = self.instances().next_resume(service, now);
        let pause = resume.map(|at| at.saturating_duration_since(now));
        wait.max(pause.unwrap_or_default().min(MAX_RESUME_RETRY_AFTER))
    }

    /// Records that a request for a service has ended.
    pub fn record_end(&self, service: &ServiceName) {
        self.update_retry_schedule(service, RetrySchedule::on_end);
    }

    fn update_retry_schedule<T>(
        &self,
        service: &ServiceName,
        apply: impl FnOnce(&mut RetrySchedule, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut retry_schedules = self.retry_schedules.borrow_mut();
        let retry_schedule = retry_schedules
            .entry(service.clone())
            .or_insert_with(|| RetrySchedule::new(now));
        apply(retry_schedule, now)
    }

    /// Returns a random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.borrow_mut().next_u64()
    }
}

fn heartbeat_interval(settings: &SiteSettings) -> Duration {
    Duration::from_millis(settings.heartbeat_interval_ms)
}

fn store_client(address: SocketAddr) -> StoreClient {
    let deadlines = CallDeadlines::new(store_timing::CONNECT_TIMEOUT, store_timing::REPLY_TIMEOUT);
    StoreClient::new(address, deadlines)
}

fn repeat_bounds(bounds: &SiteBounds) -> RetryBounds {
    RetryBounds {
        ratio: bounds.retry_budget_ratio,
        burst: bounds.retry_budget_burst,
        window: Duration::from_millis(bounds.budget_window_ms().max(1)),
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = self.gateway.in_flight.get();
        self.gateway.in_flight.set(count.saturating_sub(1));
        self.gateway.metrics.in_flight.dec();
    }
}
