//! Callers, entries, agents and fake engines on a clock that only events move.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamId;
use jujubewall_routing::admission::AdmissionRequest;
use jujubewall_routing::admission::AdmissionSettings;
use jujubewall_routing::admission::ConcurrencySettings;
use jujubewall_routing::admission::Decision;
use jujubewall_routing::admission::EntryGate;
use jujubewall_routing::admission::EntryGateSettings;
use jujubewall_routing::admission::FairWeights;
use jujubewall_routing::admission::Refusal;
use jujubewall_routing::choice::CacheHint;
use jujubewall_routing::choice::ChoiceRequest;
use jujubewall_routing::choice::EngineState;
use jujubewall_routing::choice::EngineView;
use jujubewall_routing::choice::ReportedLoad;
use jujubewall_routing::choice::StepSample;
use jujubewall_routing::retry::RetryBudget;
use jujubewall_routing::retry::RetryCause;
use jujubewall_routing::retry::RetrySettings;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::priority::Priority;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::engine::EngineStep;
use super::engine::FakeEngine;
use super::policy::Policy;
use super::policy::PolicyKind;
use super::scenario;

/// The time to cross to another process of the same failure domain.
const NEAR_US: u64 = 50;
/// The time to cross to another failure domain.
const FAR_US: u64 = 250;
/// The time between two looks at queues and deadlines.
const POLL_US: u64 = 20_000;
/// The time between two load reports, and by which each is late.
const REPORT_US: u64 = 250_000;
/// The time by which cache events are late.
const CACHE_EVENT_US: u64 = 300_000;
/// The part of cache events that are lost, in thousandths.
const CACHE_EVENT_LOSS_PERMILLE: u32 = 50;
/// The time after which entries notice that an engine or entry is gone.
const DETECTION_US: u64 = 500_000;
/// The time that a caller waits for a whole answer.
const CALLER_PATIENCE_US: u64 = 12_000_000;
/// The time between tokens that entries expect when they set deadlines.
const EXPECTED_TOKEN_GAP_US: u64 = 80_000;
/// The time between tokens that agents aim at, each for its part of the layers.
const TARGET_TOKEN_GAP_US: u64 = 66_000;
/// The time after which a caller repeats a request that was refused.
const CALLER_RETRY_US: u64 = 500_000;

/// One stage of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StageKey {
    /// The index of the stream.
    pub stream: usize,
    /// The attempt.
    pub attempt: u32,
    /// The index of the stage.
    pub stage: usize,
}

/// Something that happens at one instant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive {
        account: usize,
    },
    Repeat {
        account: usize,
        repeats_left: u32,
    },
    Choose {
        stream: usize,
        attempt: u32,
    },
    Offer(StageKey),
    Opened(StageKey),
    Refused {
        key: StageKey,
        retry_after_ms: u64,
    },
    Step {
        key: StageKey,
        prefill_tokens: u32,
    },
    BatchEnd {
        engine: usize,
        epoch: u64,
    },
    Token {
        stream: usize,
        attempt: u32,
    },
    Close {
        engine: usize,
        key: StageKey,
        used_cost: u64,
    },
    Report {
        engine: usize,
        live_requests: u32,
    },
    CacheChange {
        engine: usize,
        sequence: u64,
        prefix: u64,
        is_cached: bool,
    },
    Poll,
    TakeReports,
    Fault(usize),
    Noticed,
}

/// A planned change of the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Engines run at a part of their speed; zero kills them.
    Speed {
        /// The engines.
        engines: Vec<usize>,
        /// The part of the rated speed.
        speed: f64,
    },
    /// The first entries are lost with their streams.
    LoseEntries(usize),
}

/// The state of a stream at its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamState {
    Opening,
    Running,
    Ended,
}

/// One request and its current attempt.
struct Stream {
    account: usize,
    entry: usize,
    prefix: u64,
    answer_tokens: u32,
    generated: u32,
    attempt: u32,
    state: StreamState,
    route: SmallVec<[(usize, jujubewall_types::layer::LayerRange); 4]>,
    opened: usize,
    has_cached_prefix: bool,
    exclude: SmallVec<[UpstreamName; 4]>,
    arrived_us: u64,
    last_token_us: u64,
    repeats_left: u32,
}

/// One entry.
struct Entry {
    policy: Policy,
    retries: RetryBudget,
    weights: FairWeights,
    gate: EntryGate,
    is_lost: bool,
}

/// What a run is about.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// The seed of everything random.
    pub seed: u64,
    /// How entries choose.
    pub policy: PolicyKind,
    /// The number of entries.
    pub entries: usize,
    /// The rate of each account's requests.
    pub requests_per_s: Vec<f64>,
    /// The times at which callers repeat a refused request at most.
    pub caller_repeats: u32,
    /// The planned changes by their time.
    pub faults: Vec<(u64, Fault)>,
    /// The length of the run.
    pub end_us: u64,
}

/// What was measured, with the time of each item.
#[derive(Default)]
pub struct Measured {
    /// Each token: its time and account.
    pub tokens: Vec<(u64, usize)>,
    /// Each request: its time, account and the tokens that it asks for.
    pub asked: Vec<(u64, usize, u32)>,
    /// Each answer in time by its arrival: time, account, tokens.
    pub answered: Vec<(u64, usize, u32)>,
    /// Each complete answer within the caller's patience: time, account, tokens.
    pub completed: Vec<(u64, usize, u32)>,
    /// The times from arrival to first token, by arrival.
    pub first_token_us: Vec<(u64, u64)>,
    /// The times between tokens, by time.
    pub token_gap_us: Vec<(u64, u64)>,
    /// The requests that were refused.
    pub refused: u64,
    /// The attempts beyond first ones.
    pub retries: u64,
    /// The prompts whose shared prefix was cached, and all prompts.
    pub cached_prompts: (u64, u64),
    /// The time that each engine was busy.
    pub engine_busy_us: Vec<u64>,
}

/// The simulated fleet.
pub struct World {
    settings: WorldSettings,
    base: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    rng: ChaCha8Rng,
    engines: Vec<FakeEngine>,
    index_of: HashMap<UpstreamName, usize>,
    known_dead: Vec<bool>,
    entries: Vec<Entry>,
    streams: Vec<Stream>,
    measured: Measured,
}

fn admission_settings(view: &EngineView) -> AdmissionSettings {
    let layers = u64::from(view.layers.len());
    let target_response_us = TARGET_TOKEN_GAP_US * layers / u64::from(scenario::LAYERS);
    AdmissionSettings {
        concurrency: ConcurrencySettings {
            target_response_us,
            ..ConcurrencySettings::default()
        },
        ..AdmissionSettings::default()
    }
}

fn cost_of(tokens: u32, layers: u32) -> u64 {
    u64::from(tokens) * u64::from(layers)
}

impl World {
    /// Runs a fleet to its end and returns what was measured.
    pub fn run(settings: WorldSettings) -> Measured {
        let mut world = Self::new(settings);
        world.schedule_start();
        while let Some(Reverse((at_us, _, event))) = world.events.pop() {
            if at_us > world.settings.end_us {
                break;
            }
            world.now_us = at_us;
            world.handle(event);
        }
        let busy_us = world.engines.iter().map(|engine| engine.busy_us);
        world.measured.engine_busy_us = busy_us.collect();
        world.measured
    }

    fn new(settings: WorldSettings) -> Self {
        let views = scenario::engines();
        let index_of = views
            .iter()
            .enumerate()
            .map(|(i, v)| (v.upstream.clone(), i))
            .collect();
        let entry = |index: usize| {
            let seed = settings.seed ^ ((index as u64 + 1) << 32);
            Entry {
                policy: Policy::new(settings.policy, seed),
                retries: RetryBudget::new(RetrySettings::default(), seed),
                weights: FairWeights::new(),
                gate: EntryGate::new(EntryGateSettings::default(), seed),
                is_lost: false,
            }
        };
        Self {
            base: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            known_dead: vec![false; views.len()],
            engines: views
                .into_iter()
                .map(|view| {
                    let settings = admission_settings(&view);
                    FakeEngine::new(view, settings)
                })
                .collect(),
            index_of,
            entries: (0..settings.entries).map(entry).collect(),
            streams: Vec::new(),
            measured: Measured::default(),
            settings,
        }
    }

    fn schedule_start(&mut self) {
        for (index, (at_us, _)) in self.settings.faults.clone().iter().enumerate() {
            self.at(*at_us, Event::Fault(index));
        }
        for account in 0..self.settings.requests_per_s.len() {
            self.schedule_arrival(account);
        }
        self.at(0, Event::Noticed);
        self.at(POLL_US, Event::Poll);
        self.at(REPORT_US, Event::TakeReports);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn instant(&self, at_us: u64) -> Instant {
        self.base + Duration::from_micros(at_us)
    }

    fn now(&self) -> Instant {
        self.instant(self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { account } => {
                self.schedule_arrival(account);
                self.start_request(account, self.settings.caller_repeats);
            }
            Event::Repeat {
                account,
                repeats_left,
            } => self.start_request(account, repeats_left),
            Event::Choose { stream, attempt } => self.choose(stream, attempt),
            Event::Offer(key) => self.offer(key),
            Event::Opened(key) => self.opened(key),
            Event::Refused {
                key,
                retry_after_ms,
            } => self.refused(key, retry_after_ms),
            Event::Step {
                key,
                prefill_tokens,
            } => self.step(key, prefill_tokens),
            Event::BatchEnd { engine, epoch } => self.batch_end(engine, epoch),
            Event::Token { stream, attempt } => self.token(stream, attempt),
            Event::Close {
                engine,
                key,
                used_cost,
            } => self.close(engine, key, used_cost),
            Event::Report {
                engine,
                live_requests,
            } => self.report(engine, live_requests),
            Event::CacheChange {
                engine,
                sequence,
                prefix,
                is_cached,
            } => {
                let hint = CacheHint {
                    sequence,
                    prefix_hash: prefix,
                    is_cached,
                };
                self.cache_change(engine, hint);
            }
            Event::Poll => {
                self.after(POLL_US, Event::Poll);
                for engine in 0..self.engines.len() {
                    self.release(engine);
                }
            }
            Event::TakeReports => self.take_reports(),
            Event::Fault(index) => self.fault(index),
            Event::Noticed => self.noticed(),
        }
    }

    fn schedule_arrival(&mut self, account: usize) {
        let rate = self.settings.requests_per_s[account];
        if rate <= 0.0 {
            return;
        }
        let uniform: f64 = self.rng.random();
        let gap_s = -(1.0 - uniform).ln() / rate;
        self.after(
            micros(Duration::from_secs_f64(gap_s)),
            Event::Arrive { account },
        );
    }

    fn start_request(&mut self, account: usize, repeats_left: u32) {
        let live: SmallVec<[usize; 16]> = (0..self.entries.len())
            .filter(|&e| !self.entries[e].is_lost)
            .collect();
        let entry = live[self.rng.random_range(0..live.len())];
        // The lower of two draws makes some prefixes more frequent.
        let draw = |rng: &mut ChaCha8Rng| rng.random_range(0..scenario::PREFIXES_PER_ACCOUNT);
        let prefix = draw(&mut self.rng).min(draw(&mut self.rng));
        let answer_tokens = self
            .rng
            .random_range(scenario::MIN_ANSWER_TOKENS..=scenario::MAX_ANSWER_TOKENS);
        self.streams.push(Stream {
            account,
            entry,
            prefix: account as u64 * scenario::PREFIXES_PER_ACCOUNT + prefix,
            answer_tokens,
            generated: 0,
            attempt: 1,
            state: StreamState::Opening,
            route: SmallVec::new(),
            opened: 0,
            has_cached_prefix: false,
            exclude: SmallVec::new(),
            arrived_us: self.now_us,
            last_token_us: 0,
            repeats_left,
        });
        self.entries[entry]
            .retries
            .on_first_attempt(&scenario::account(account));
        let stream = self.streams.len() - 1;
        let asked = (self.now_us, account, answer_tokens);
        self.measured.asked.push(asked);
        let (now, name) = (self.now(), scenario::account(account));
        if self.entries[entry].gate.admit(now, &name, 1).is_err() {
            self.give_up(stream);
            return;
        }
        self.choose(stream, 1);
    }

    fn is_current(&self, stream: usize, attempt: u32) -> bool {
        let known = &self.streams[stream];
        known.attempt == attempt && known.state != StreamState::Ended
    }

    fn choice_request(&self, stream: usize) -> ChoiceRequest {
        let known = &self.streams[stream];
        ChoiceRequest {
            model: scenario::model(),
            version: scenario::version(),
            layer_count: scenario::LAYERS,
            account: scenario::account(known.account),
            prefix_hash: Some(known.prefix),
            prompt_tokens: scenario::PREFIX_TOKENS + scenario::SUFFIX_TOKENS,
            max_answer_tokens: scenario::MAX_ANSWER_TOKENS,
            exclude: known.exclude.clone(),
        }
    }

    fn choose(&mut self, stream: usize, attempt: u32) {
        if !self.is_current(stream, attempt) {
            return;
        }
        let now = self.now();
        let request = self.choice_request(stream);
        let entry = self.streams[stream].entry;
        let Ok(route) = self.entries[entry].policy.choose(now, &request) else {
            self.retry_or_refuse(stream, RetryCause::Failure);
            return;
        };
        let id = stream_id(stream, attempt);
        self.entries[entry]
            .policy
            .on_started(now, id, &request, &route);
        self.open(stream, &route);
    }

    fn open(&mut self, stream: usize, route: &Route) {
        let stages = route
            .iter()
            .map(|stage| (self.index_of[&stage.upstream], stage.layers));
        let stages = stages.collect();
        let known = &mut self.streams[stream];
        known.route = stages;
        known.opened = 0;
        known.state = StreamState::Opening;
        let key = StageKey {
            stream,
            attempt: known.attempt,
            stage: 0,
        };
        self.after(FAR_US, Event::Offer(key));
    }

    fn offer(&mut self, key: StageKey) {
        if !self.is_current(key.stream, key.attempt) {
            return;
        }
        let known = &self.streams[key.stream];
        let (engine, layers) = known.route[key.stage];
        if self.engines[engine].speed <= 0.0 {
            return;
        }
        let service_us = u64::from(scenario::MAX_ANSWER_TOKENS) * EXPECTED_TOKEN_GAP_US;
        let start_by_us = known.arrived_us + CALLER_PATIENCE_US - service_us;
        let account = scenario::account(known.account);
        let now = self.now();
        let weight = self.entries[known.entry].weights.weight(now, &account, 1);
        let request = AdmissionRequest {
            id: key,
            account,
            weight,
            is_resumed: known.generated > 0,
            priority: Priority::Normal,
            cost: cost_of(scenario::MAX_ANSWER_TOKENS, layers.len()),
            deadline: self.instant(start_by_us),
        };
        match self.engines[engine].admission.offer(now, request) {
            Decision::Admit => self.after(FAR_US, Event::Opened(key)),
            Decision::Queue => {}
            Decision::Refuse(refusal) => self.send_refusal(key, refusal),
        }
    }

    fn send_refusal(&mut self, key: StageKey, refusal: Refusal) {
        let retry_after_ms = refusal.retry_after_ms;
        self.after(
            FAR_US,
            Event::Refused {
                key,
                retry_after_ms,
            },
        );
    }

    fn release(&mut self, engine: usize) {
        let now = self.now();
        let released = self.engines[engine].admission.next(now);
        for key in released.admitted {
            self.after(FAR_US, Event::Opened(key));
        }
        for (key, refusal) in released.refused {
            self.send_refusal(key, refusal);
        }
    }

    fn opened(&mut self, key: StageKey) {
        if !self.is_current(key.stream, key.attempt) {
            return;
        }
        let known = &mut self.streams[key.stream];
        known.opened = key.stage + 1;
        if known.opened < known.route.len() {
            let next = StageKey {
                stage: key.stage + 1,
                ..key
            };
            self.after(FAR_US, Event::Offer(next));
            return;
        }
        self.start_prefill(key);
    }

    fn start_prefill(&mut self, key: StageKey) {
        let now = self.now();
        let known = &mut self.streams[key.stream];
        known.state = StreamState::Running;
        if known.generated == 0 {
            self.entries[known.entry].gate.on_accepted(now);
        }
        let prefix = known.prefix;
        let route = known.route.clone();
        let committed = known.generated;
        let has_prefix = |&(engine, _): &(usize, _)| self.engines[engine].has_prefix(prefix);
        let is_cached = route.iter().all(has_prefix);
        self.streams[key.stream].has_cached_prefix = is_cached;
        self.measured.cached_prompts.0 += u64::from(is_cached);
        self.measured.cached_prompts.1 += 1;
        for &(engine, _) in &route {
            for (sequence, prefix, is_cached) in self.engines[engine].use_prefix(prefix) {
                if self.rng.random_range(0..1000) >= CACHE_EVENT_LOSS_PERMILLE {
                    let event = Event::CacheChange {
                        engine,
                        sequence,
                        prefix,
                        is_cached,
                    };
                    self.after(CACHE_EVENT_US, event);
                }
            }
        }
        let prefix_tokens = if is_cached {
            0
        } else {
            scenario::PREFIX_TOKENS
        };
        let prefill_tokens = prefix_tokens + scenario::SUFFIX_TOKENS + committed;
        self.after(
            FAR_US,
            Event::Step {
                key: StageKey { stage: 0, ..key },
                prefill_tokens,
            },
        );
    }

    fn step(&mut self, key: StageKey, prefill_tokens: u32) {
        if !self.is_current(key.stream, key.attempt) {
            return;
        }
        let (engine, layers) = self.streams[key.stream].route[key.stage];
        if self.engines[engine].speed <= 0.0 {
            return;
        }
        let arrived_us = self.now_us;
        self.engines[engine].push(EngineStep {
            key,
            layers,
            prefill_tokens,
            arrived_us,
            token_layers: 0,
        });
        self.start_batch(engine);
    }

    fn start_batch(&mut self, engine: usize) {
        if let Some(duration_us) = self.engines[engine].start_batch() {
            let epoch = self.engines[engine].epoch;
            self.after(duration_us, Event::BatchEnd { engine, epoch });
        }
    }

    fn batch_end(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        let steps = self.engines[engine].end_batch();
        for step in steps {
            self.step_done(engine, &step);
        }
        self.start_batch(engine);
    }

    fn step_done(&mut self, engine: usize, step: &EngineStep) {
        let key = step.key;
        if !self.is_current(key.stream, key.attempt) {
            return;
        }
        let now = self.now();
        let duration = Duration::from_micros(self.now_us - step.arrived_us);
        if step.prefill_tokens == 0 {
            self.engines[engine].admission.on_response(now, duration);
            let upstream = self.engines[engine].view.upstream.clone();
            let entry = self.streams[key.stream].entry;
            let sample = StepSample {
                token_layers: step.token_layers,
                duration,
            };
            self.entries[entry]
                .policy
                .on_step_time(now, &upstream, sample);
        }
        self.pass_on(engine, step);
    }

    fn pass_on(&mut self, engine: usize, step: &EngineStep) {
        let StageKey {
            stream,
            attempt,
            stage,
        } = step.key;
        if let Some(&(next, _)) = self.streams[stream].route.get(stage + 1) {
            let delay_us = self.link_us(engine, next);
            let prefill_tokens = self.whole_prefill(step);
            let key = StageKey {
                stage: stage + 1,
                ..step.key
            };
            self.after(
                delay_us,
                Event::Step {
                    key,
                    prefill_tokens,
                },
            );
            return;
        }
        self.after(FAR_US, Event::Token { stream, attempt });
        self.start_next_token(engine, step.key);
    }

    /// Sends a token from the last stage to the first, unless it is the last one.
    fn start_next_token(&mut self, engine: usize, key: StageKey) {
        let known = &self.streams[key.stream];
        if known.generated + 1 >= known.answer_tokens {
            return;
        }
        let delay_us = self.link_us(engine, known.route[0].0);
        let key = StageKey { stage: 0, ..key };
        self.after(
            delay_us,
            Event::Step {
                key,
                prefill_tokens: 0,
            },
        );
    }

    /// Returns the prompt tokens that the next stage has to run.
    fn whole_prefill(&self, step: &EngineStep) -> u32 {
        if step.prefill_tokens == 0 {
            return 0;
        }
        let known = &self.streams[step.key.stream];
        let prefix_tokens = if known.has_cached_prefix {
            0
        } else {
            scenario::PREFIX_TOKENS
        };
        prefix_tokens + scenario::SUFFIX_TOKENS + known.generated
    }

    fn link_us(&self, from: usize, to: usize) -> u64 {
        let domain = |engine: usize| &self.engines[engine].view.failure_domain;
        if domain(from) == domain(to) {
            NEAR_US
        } else {
            FAR_US
        }
    }

    fn token(&mut self, stream: usize, attempt: u32) {
        if !self.is_current(stream, attempt) {
            return;
        }
        let now_us = self.now_us;
        let known = &mut self.streams[stream];
        known.generated += 1;
        self.measured.tokens.push((now_us, known.account));
        if known.generated == 1 {
            self.measured
                .first_token_us
                .push((known.arrived_us, now_us - known.arrived_us));
        } else {
            self.measured
                .token_gap_us
                .push((now_us, now_us - known.last_token_us));
        }
        known.last_token_us = now_us;
        let account = scenario::account(known.account);
        let (entry, now) = (known.entry, self.base + Duration::from_micros(now_us));
        self.entries[entry].weights.on_served(now, &account, 1, 1);
        let known = &self.streams[stream];
        if known.generated >= known.answer_tokens {
            let is_in_time = now_us - known.arrived_us <= CALLER_PATIENCE_US;
            if is_in_time {
                let item = (now_us, known.account, known.answer_tokens);
                self.measured.completed.push(item);
                let item = (known.arrived_us, known.account, known.answer_tokens);
                self.measured.answered.push(item);
            }
            self.end_attempt(stream);
            self.streams[stream].state = StreamState::Ended;
        }
    }

    /// Frees what the current attempt holds.
    fn end_attempt(&mut self, stream: usize) {
        let now = self.now();
        let known = &self.streams[stream];
        let attempt = known.attempt;
        let used_tokens = known.generated;
        let route = known.route.clone();
        let entry = known.entry;
        self.entries[entry]
            .policy
            .on_finished(now, stream_id(stream, attempt));
        for (stage, (engine, layers)) in route.into_iter().enumerate() {
            let key = StageKey {
                stream,
                attempt,
                stage,
            };
            let used_cost = cost_of(used_tokens, layers.len());
            self.after(
                FAR_US,
                Event::Close {
                    engine,
                    key,
                    used_cost,
                },
            );
        }
    }

    fn close(&mut self, engine: usize, key: StageKey, used_cost: u64) {
        let now = self.now();
        let admission = &mut self.engines[engine].admission;
        admission.on_finished(now, key, used_cost);
        admission.cancel(now, key);
        self.release(engine);
    }

    fn refused(&mut self, key: StageKey, retry_after_ms: u64) {
        if !self.is_current(key.stream, key.attempt) {
            return;
        }
        let now = self.now();
        let (engine, _) = self.streams[key.stream].route[key.stage];
        let upstream = self.engines[engine].view.upstream.clone();
        let entry = self.streams[key.stream].entry;
        let account = scenario::account(self.streams[key.stream].account);
        let retry_after = Duration::from_millis(retry_after_ms);
        self.entries[entry]
            .policy
            .on_refused(now, &upstream, &account, retry_after);
        self.streams[key.stream].exclude.push(upstream);
        self.retry_or_refuse(key.stream, RetryCause::Refusal);
    }

    /// Starts the next attempt, or tells the caller that the request is refused.
    fn retry_or_refuse(&mut self, stream: usize, cause: RetryCause) {
        self.end_attempt(stream);
        let known = &mut self.streams[stream];
        let failed = Attempt(known.attempt);
        known.attempt += 1;
        known.route.clear();
        known.state = StreamState::Opening;
        let (entry, attempt) = (known.entry, known.attempt);
        let account = scenario::account(known.account);
        match self.entries[entry]
            .retries
            .try_retry(&account, failed, cause)
        {
            Ok(delay) => {
                self.measured.retries += 1;
                self.after(micros(delay), Event::Choose { stream, attempt });
            }
            Err(_) => {
                let now = self.now();
                if cause == RetryCause::Refusal {
                    self.entries[entry].gate.on_refused(now);
                }
                self.give_up(stream);
            }
        }
    }

    fn give_up(&mut self, stream: usize) {
        self.measured.refused += 1;
        let known = &mut self.streams[stream];
        known.state = StreamState::Ended;
        if known.repeats_left > 0 {
            let event = Event::Repeat {
                account: known.account,
                repeats_left: known.repeats_left - 1,
            };
            self.after(CALLER_RETRY_US, event);
        }
    }

    fn report(&mut self, engine: usize, live_requests: u32) {
        let now = self.now();
        let upstream = self.engines[engine].view.upstream.clone();
        let report = ReportedLoad {
            live_requests,
            age_ms: REPORT_US / 1_000,
        };
        for entry in &mut self.entries {
            entry.policy.on_load_report(now, &upstream, report);
        }
    }

    fn take_reports(&mut self) {
        self.after(REPORT_US, Event::TakeReports);
        for engine in 0..self.engines.len() {
            let live = self.engines[engine].admission.in_flight();
            let live_requests = u32::try_from(live).unwrap_or(u32::MAX);
            self.after(
                REPORT_US,
                Event::Report {
                    engine,
                    live_requests,
                },
            );
        }
    }

    fn cache_change(&mut self, engine: usize, hint: CacheHint) {
        let now = self.now();
        let upstream = self.engines[engine].view.upstream.clone();
        for entry in &mut self.entries {
            entry.policy.on_cache_event(now, &upstream, hint);
        }
    }

    fn fault(&mut self, index: usize) {
        let fault = self.settings.faults[index].1.clone();
        match fault {
            Fault::Speed { engines, speed } => {
                for engine in engines {
                    self.set_speed(engine, speed);
                }
            }
            Fault::LoseEntries(count) => {
                for entry in &mut self.entries[..count] {
                    entry.is_lost = true;
                }
            }
        }
        self.after(DETECTION_US, Event::Noticed);
    }

    fn set_speed(&mut self, engine: usize, speed: f64) {
        if speed <= 0.0 {
            let settings = admission_settings(&self.engines[engine].view);
            self.engines[engine].kill(settings);
        } else {
            self.engines[engine].speed = speed;
        }
    }

    /// Lets entries see dead engines, and agents see lost entries.
    fn noticed(&mut self) {
        for engine in 0..self.engines.len() {
            self.known_dead[engine] = self.engines[engine].speed <= 0.0;
        }
        let view = |(engine, &is_dead): (&FakeEngine, &bool)| {
            let mut view: EngineView = engine.view.clone();
            if is_dead {
                view.state = EngineState::Leaving;
            }
            view
        };
        let views: Vec<EngineView> = self
            .engines
            .iter()
            .zip(&self.known_dead)
            .map(view)
            .collect();
        let now = self.now();
        let live_entries = self.entries.iter().filter(|entry| !entry.is_lost).count();
        for entry in &mut self.entries {
            entry.policy.set_engines(now, &views);
            entry.policy.set_entry_count(now, live_entries);
        }
        for stream in 0..self.streams.len() {
            self.move_if_cut(stream);
        }
    }

    /// Restarts a stream that lost a stage, and forgets one that lost its entry.
    fn move_if_cut(&mut self, stream: usize) {
        let known = &self.streams[stream];
        if known.state == StreamState::Ended {
            return;
        }
        if self.entries[known.entry].is_lost {
            self.end_attempt(stream);
            self.streams[stream].state = StreamState::Ended;
        } else if known
            .route
            .iter()
            .any(|&(engine, _)| self.known_dead[engine])
        {
            self.end_attempt(stream);
            let known = &mut self.streams[stream];
            known.attempt += 1;
            known.state = StreamState::Opening;
            let attempt = known.attempt;
            self.choose(stream, attempt);
        }
    }
}

fn stream_id(stream: usize, attempt: u32) -> StreamId {
    StreamId {
        request: RequestId(stream as u128),
        attempt: Attempt(attempt),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
