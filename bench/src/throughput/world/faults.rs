//! Reports, cache events and planned faults.

use jujubewall_routing::choice::CacheHint;
use jujubewall_routing::choice::EngineState;
use jujubewall_routing::choice::EngineView;
use jujubewall_routing::choice::ReportedLoad;

use super::Event;
use super::Fault;
use super::REPORT_US;
use super::StreamState;
use super::World;
use super::admission_settings;
use crate::throughput::engine::FakeEngine;

/// The time after which entries notice that an engine or entry is gone.
const DETECTION_US: u64 = 500_000;

impl World {
    pub(super) fn report(&mut self, engine: usize, live_requests: u32) {
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

    pub(super) fn take_reports(&mut self) {
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

    pub(super) fn cache_change(&mut self, engine: usize, hint: CacheHint) {
        let now = self.now();
        let upstream = self.engines[engine].view.upstream.clone();
        for entry in &mut self.entries {
            entry.policy.on_cache_event(now, &upstream, hint);
        }
    }

    pub(super) fn fault(&mut self, index: usize) {
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

    pub(super) fn set_speed(&mut self, engine: usize, speed: f64) {
        if speed <= 0.0 {
            let settings = admission_settings(&self.engines[engine].view);
            self.engines[engine].kill(settings);
        } else {
            self.engines[engine].speed = speed;
        }
    }

    /// Lets entries see dead engines, and agents see lost entries.
    pub(super) fn noticed(&mut self) {
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
    pub(super) fn move_if_cut(&mut self, stream: usize) {
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
