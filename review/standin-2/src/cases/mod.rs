//! The cases.

mod forgotten_pause;
mod kept_runner;
mod planned_stops;
mod stale_followers;

use std::path::Path;
use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

pub fn play(case: &str, root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    use stale_followers::Trouble;
    let stale = |trouble| stale_followers::play(root, record, trouble, has_trouble);
    match case {
        "cut-followers" => stale(Trouble::Cut),
        "refused-followers" => stale(Trouble::Refused),
        "busy-followers" => stale(Trouble::Busy),
        "frozen-followers" => stale(Trouble::Frozen),
        "stopped-followers" => stale(Trouble::Stopped),
        "killed-followers" => stale(Trouble::Killed),
        "kept-runner" => kept_runner::play(root, record, has_trouble),
        "planned-stops" => planned_stops::play(root, record, has_trouble),
        "forgotten-pause" => forgotten_pause::play(root, record, has_trouble),
        _ => Verdict::NotPlayed(format!("there is no case {case}")),
    }
}
