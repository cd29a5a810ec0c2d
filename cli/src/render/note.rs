//! Results of the commands under `note`.

use std::fmt::Write;

use jujubewall_types::admin::ItemChange;
use jujubewall_types::admin::NoteAnswer;
use jujubewall_types::admin::NoteCheckAnswer;
use jujubewall_types::admin::NoteClash;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::error::ErrorKind;
use serde::Serialize;

use crate::print::Render;

/// Returns the error kind of an answer, or `None` if it reports success.
pub fn failure_kind(answer: &NoteAnswer) -> Option<ErrorKind> {
    match answer {
        NoteAnswer::Accepted { .. } => None,
        NoteAnswer::Refused { .. } => Some(ErrorKind::NoteRefused),
        NoteAnswer::Unknown { .. } => Some(ErrorKind::NoteUnknown),
    }
}

impl Render for NoteAnswer {
    fn render(&self) -> String {
        match self {
            Self::Accepted { revision } => format!("accepted as revision {revision}\n"),
            Self::Refused { clashes } => format!("refused\n{}", render_clashes(clashes)),
            Self::Unknown { advice } => format!("unknown: {advice}\n"),
        }
    }
}

/// The result of a check.
#[derive(Serialize)]
#[serde(transparent)]
pub struct CheckReport(pub NoteCheckAnswer);

impl Render for CheckReport {
    fn render(&self) -> String {
        let NoteCheckAnswer { head, clashes, .. } = &self.0;
        if clashes.is_empty() {
            return format!("would be accepted at revision {head}\n");
        }
        let lines = render_clashes(clashes);
        format!("would be refused at revision {head}\n{lines}")
    }
}

/// The changes that a note would make.
#[derive(Serialize)]
#[serde(transparent)]
pub struct DiffReport(pub NoteCheckAnswer);

impl Render for DiffReport {
    fn render(&self) -> String {
        let changes: String = self.0.diff.iter().map(render_change).collect();
        format!("{changes}{}", render_clashes(&self.0.clashes))
    }
}

/// The result of a submission and, after a wait, how far the note has come.
#[derive(Serialize)]
pub struct SubmitReport {
    /// The entry's answer.
    #[serde(flatten)]
    pub answer: NoteAnswer,
    /// The status at the end of the wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<StatusAnswer>,
}

impl SubmitReport {
    /// Creates the report of a submission without a wait.
    pub fn new(answer: NoteAnswer) -> Self {
        Self {
            answer,
            status: None,
        }
    }

    /// Adds the status at the end of a wait.
    #[must_use]
    pub fn with_status(mut self, status: StatusAnswer) -> Self {
        self.status = Some(status);
        self
    }

    /// Returns whether the wait found the note in force everywhere.
    pub fn is_in_force(&self) -> bool {
        let (NoteAnswer::Accepted { revision }, Some(status)) = (&self.answer, &self.status) else {
            return false;
        };
        status.is_in_force && status.head >= *revision
    }
}

impl Render for SubmitReport {
    fn render(&self) -> String {
        let status = self.status.as_ref().map(Render::render);
        format!("{}{}", self.answer.render(), status.unwrap_or_default())
    }
}

/// Returns the lines of one change.
pub fn render_change(change: &ItemChange) -> String {
    let mut text = format!("  {} {}\n", change.action, change.item);
    if let Some(before) = &change.before {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "    - {before}");
    }
    if let Some(after) = &change.after {
        let _ = writeln!(text, "    + {after}");
    }
    text
}

fn render_clashes(clashes: &[NoteClash]) -> String {
    let line = |clash: &NoteClash| {
        let owner = clash.owner.iter().map(|owner| format!(" [owner {owner}]"));
        let note = clash.note.iter().map(|note| format!(" [note {note}]"));
        let details: String = owner.chain(note).collect();
        format!("  {}: {}{details}\n", clash.item, clash.message)
    };
    clashes.iter().map(line).collect()
}
