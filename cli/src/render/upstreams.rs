//! Text output of `upstreams`.

use jujubewall_types::admin::UpstreamStatus;
use jujubewall_types::admin::UpstreamsAnswer;
use jujubewall_types::config::UpstreamKind;

use crate::print::Render;
use crate::render::table::Table;

impl Render for UpstreamsAnswer {
    fn render(&self) -> String {
        let mut table = Table::new([
            "UPSTREAM",
            "OWNER",
            "HOST",
            "DOMAIN",
            "KIND",
            "AGENT",
            "IN_FLIGHT",
        ]);
        for status in &self.upstreams {
            table.push(row(status));
        }
        format!("revision {}\n{}", self.revision, table.render())
    }
}

fn row(status: &UpstreamStatus) -> [String; 7] {
    let upstream = &status.upstream.item;
    let agent = status
        .agent_state
        .map_or_else(|| "unknown".to_owned(), |state| state.to_string());
    [
        upstream.name.to_string(),
        status.upstream.owner.to_string(),
        upstream.host.to_string(),
        upstream.failure_domain.to_string(),
        kind(&upstream.kind),
        agent,
        status.in_flight.to_string(),
    ]
}

fn kind(kind: &UpstreamKind) -> String {
    match kind {
        UpstreamKind::Engine(profile) => format!("engine {}", profile.accelerator),
        UpstreamKind::Service(profile) => format!("service {}", profile.service),
    }
}
