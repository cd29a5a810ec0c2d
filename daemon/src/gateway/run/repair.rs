//! Engines of a run's path that are lost, and the way around them.

use std::rc::Rc;

use jujubewall_platform::site::order::OrderAnswer;
use jujubewall_platform::site::order::repath_order;
use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::layer_path::PathRequest;
use jujubewall_routing::fleet::layer_path::Preference;
use jujubewall_routing::fleet::layer_path::repair_path;
use jujubewall_types::fleet::EngineState;
use log::info;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::gateway::path;
use crate::gateway::path::CountedPath;
use crate::gateway::probe;
use crate::gateway::run::Run;

/// The largest number of times that one run is rerouted around lost engines.
const MAX_REPATHS: u32 = 4;

impl Run {
    /// Reroutes the run around its lost engines. Returns whether it continues.
    ///
    /// The engines that are kept need not process the tokens so far again, and a rerouted run
    /// counts neither against the route's limit nor against the retry budget.
    pub(super) async fn repath(&mut self) -> bool {
        let gateway = Rc::clone(&self.work.gateway);
        let lost = self.lost_parts();
        // Without an engine that is known to be lost, the same path would be chosen again.
        let can_repath = self.has_begun && !lost.is_empty() && !lost.contains(&self.first);
        if !can_repath || self.repaths >= MAX_REPATHS {
            return false;
        }
        let chosen = {
            let instances = gateway.instances();
            let choice = PathRequest {
                service: &self.service,
                spec: &self.spec,
                need: &self.work.need,
                excluded: &lost,
                may_cross: false,
                preference: Preference {
                    jitter_seed: gateway.random_u64(),
                    ..Preference::default()
                },
                limits: self.moved_limits,
            };
            let path = repair_path(&instances, &choice, &self.work.path, Instant::now());
            path.map(|path| (path::path_text(&instances, &path), path))
        };
        let Some((text, path)) = chosen else {
            return false;
        };
        self.repaths += 1;
        let body = repath_order(&self.request_id, &text);
        let answer = probe::send_order(&gateway, self.first_address, body).await;
        let is_done = matches!(answer, Some(OrderAnswer::Begun | OrderAnswer::Holds));
        info!(
            "event=repath id={} lost={} parts={} answer={answer:?} path={text}",
            self.request_id,
            lost.len(),
            path.parts.len()
        );
        gateway.metrics.count("repath");
        if is_done {
            let need = self.work.need;
            let mut work = CountedPath::new(&gateway, path, need);
            work.begin_prefill(need.context_tokens(), |part| {
                !self.work.path.parts.contains(part)
            });
            self.work = work;
        }
        is_done
    }

    /// Processes the first engine's report on its streams, or its silence.
    pub(super) fn process_report(&mut self, report: Option<EngineState>) {
        let gateway = &self.work.gateway;
        let Some(report) = report else {
            probe::suspect(
                gateway,
                self.first,
                Evidence::Silent,
                "does not answer while a stream is silent",
            );
            return;
        };
        self.is_queued = report.queued > 0;
        let stalled = report
            .stalled
            .iter()
            .find(|stalled| stalled.request_id == self.request_id);
        let Some(stalled) = stalled else {
            return;
        };
        let lost = gateway.instances().at_address(stalled.lost_part);
        if let Some(lost) = lost {
            probe::suspect(gateway, lost, Evidence::Silent, "a stream waits for it");
        }
    }

    /// Returns one engine of the path that is gone or suspected.
    pub(super) fn first_lost_part(&self) -> Option<InstanceKey> {
        self.lost_parts().first().copied()
    }

    /// Returns whether an engine of the path has ended, as far as is known. One that is only silent
    /// may go on.
    pub(super) fn has_ended_part(&self) -> bool {
        let now = Instant::now();
        let instances = self.work.gateway.instances();
        self.work.path.parts.iter().any(|part| {
            let tracked = instances.get(part.instance);
            tracked.is_none_or(|tracked| tracked.has_ended(now))
        })
    }

    /// Returns the engines of the path that are gone or suspected.
    fn lost_parts(&self) -> SmallVec<[InstanceKey; 4]> {
        let instances = self.work.gateway.instances();
        let is_lost = |key: &InstanceKey| {
            instances
                .get(*key)
                .is_none_or(|tracked| tracked.suspected_since().is_some())
        };
        self.work.keys().into_iter().filter(is_lost).collect()
    }
}
