//! Text output of `explain`.

use std::fmt::Write as _;

use jujubewall_types::explain::Exclusion;
use jujubewall_types::explain::ExplainedCandidate;
use jujubewall_types::explain::ExplainedOutcome;
use jujubewall_types::explain::ExplainedPart;
use jujubewall_types::explain::Explanation;

use crate::print::Render;
use crate::render::table::Table;

impl Render for Explanation {
    fn render(&self) -> String {
        let account = self.account.as_ref().map_or("none", |name| name.as_str());
        let mut text = format!(
            "route {} service {} account {account} rank {} config {}\n",
            self.route, self.service, self.rank, self.config_version
        );
        text.push_str(&outcome(&self.outcome));
        let mut table = Table::new([
            "UPSTREAM",
            "DOMAIN",
            "LAYERS",
            "COST",
            "EXPECTED",
            "FREE_SLOTS",
            "FREE_TOKENS",
            "PACE",
            "EXCLUDED",
        ]);
        for candidate in &self.candidates {
            table.push(row(candidate));
        }
        text.push_str(&table.render());
        if self.omitted > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{} more", self.omitted);
        }
        text
    }
}

fn outcome(outcome: &ExplainedOutcome) -> String {
    match outcome {
        ExplainedOutcome::Sent(parts) => {
            let parts: Vec<String> = parts.iter().map(part).collect();
            format!("would be sent at once to {}\n", parts.join(", "))
        }
        ExplainedOutcome::Rejected {
            status,
            reason,
            retry_after_ms,
        } => {
            let retry = retry_after_ms.map_or_else(String::new, |wait_ms| {
                format!(", to retry after {wait_ms} ms")
            });
            format!("would be told {status}: {reason}{retry}\n")
        }
    }
}

fn part(part: &ExplainedPart) -> String {
    match part.layers {
        Some(layers) => format!("{} ({layers})", part.upstream),
        None => part.upstream.to_string(),
    }
}

fn row(candidate: &ExplainedCandidate) -> [String; 9] {
    let exclusions: Vec<String> = candidate.exclusions.iter().map(exclusion).collect();
    [
        candidate.upstream.to_string(),
        candidate.domain.to_string(),
        or_dash(candidate.layers),
        or_dash(candidate.cost.map(|cost| format!("{cost:.3}"))),
        candidate.expected_requests.to_string(),
        candidate.free_slots.to_string(),
        or_dash(candidate.free_context_tokens),
        or_dash(candidate.starts_per_s.map(|pace| format!("{pace:.2}/s"))),
        exclusions.join("; "),
    ]
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn exclusion(exclusion: &Exclusion) -> String {
    let mut text = exclusion.belief.to_string();
    if let Some(age_ms) = exclusion.age_ms {
        let _ = write!(text, ", for {age_ms} ms");
    }
    if let Some(left_ms) = exclusion.ends_in_ms {
        let _ = write!(text, ", for {left_ms} ms more");
    }
    if exclusion.is_last_resort {
        text.push_str(" (last resort)");
    }
    text
}
