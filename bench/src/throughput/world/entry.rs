//! What callers and entries do.

use std::time::Duration;

use jujubewall_protocol::stream::Route;
use jujubewall_routing::choice::ChoiceRequest;
use jujubewall_routing::retry::RetryCause;
use jujubewall_types::id::Attempt;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::CALLER_PATIENCE_US;
use super::Event;
use super::FAR_US;
use super::StageKey;
use super::Stream;
use super::StreamState;
use super::World;
use super::cost_of;
use super::micros;
use super::stream_id;
use crate::throughput::scenario;

/// The time by which cache events are late.
const CACHE_EVENT_US: u64 = 300_000;
/// The part of cache events that are lost, in thousandths.
const CACHE_EVENT_LOSS_PERMILLE: u32 = 50;
/// The time after which a caller repeats a request that was refused.
const CALLER_RETRY_US: u64 = 500_000;

impl World {
    pub(super) fn schedule_arrival(&mut self, account: usize) {
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

    pub(super) fn start_request(&mut self, account: usize, repeats_left: u32) {
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

    pub(super) fn choice_request(&self, stream: usize) -> ChoiceRequest {
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

    pub(super) fn choose(&mut self, stream: usize, attempt: u32) {
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

    pub(super) fn open(&mut self, stream: usize, route: &Route) {
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

    pub(super) fn opened(&mut self, key: StageKey) {
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

    pub(super) fn start_prefill(&mut self, key: StageKey) {
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

    pub(super) fn token(&mut self, stream: usize, attempt: u32) {
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
    pub(super) fn end_attempt(&mut self, stream: usize) {
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

    pub(super) fn refused(&mut self, key: StageKey, retry_after_ms: u64) {
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
    pub(super) fn retry_or_refuse(&mut self, stream: usize, cause: RetryCause) {
        self.end_attempt(stream);
        let known = &mut self.streams[stream];
        let failed = Attempt(known.attempt);
        known.attempt += 1;
        known.route.clear();
        known.state = StreamState::Opening;
        let (entry, attempt) = (known.entry, known.attempt);
        let account = scenario::account(known.account);
        let retry = self.entries[entry]
            .retries
            .try_retry(&account, failed, cause);
        if let Ok(delay) = retry {
            self.measured.retries += 1;
            self.after(micros(delay), Event::Choose { stream, attempt });
            return;
        }
        if cause == RetryCause::Refusal {
            let now = self.now();
            self.entries[entry].gate.on_refused(now);
        }
        self.give_up(stream);
    }

    pub(super) fn give_up(&mut self, stream: usize) {
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
}
