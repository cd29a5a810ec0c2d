//! Requests and answers of the operators' interface.
//!
//! An entry serves them as JSON under [`NOTES_PATH`] and its siblings, and the
//! operators' tool reads them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::config::Owned;
use crate::config::Upstream;
use crate::digest::Digest;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::id::FailureDomainName;
use crate::id::HostName;
use crate::id::MemberName;
use crate::id::NoteId;
use crate::id::PartnerName;
use crate::id::Revision;
use crate::member::MemberState;
use crate::member::Role;
use crate::outcome::Outcome;

/// The path that takes release notes; a note's result is below it, by identifier.
pub const NOTES_PATH: &str = "/admin/v1/notes";

/// The path that checks a release note without submitting it.
pub const NOTE_CHECK_PATH: &str = "/admin/v1/notes/check";

/// The path of the status.
pub const STATUS_PATH: &str = "/admin/v1/status";

/// The path of the audit trail.
pub const AUDIT_PATH: &str = "/admin/v1/audit";

/// The path of the upstreams.
pub const UPSTREAMS_PATH: &str = "/admin/v1/upstreams";

/// The sort of an item that a release note can name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// A client account.
    Account,
    /// An upstream.
    Upstream,
}

impl ItemKind {
    /// Returns the kind as it is written in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Account => "account",
            Self::Upstream => "upstream",
        }
    }
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Names one item of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ItemRef {
    /// The sort of the item.
    pub kind: ItemKind,
    /// The name of the item.
    pub name: SmolStr,
}

impl fmt::Display for ItemRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// The rule that an item of a release note breaks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClashReason {
    /// The note adds an item that exists.
    AlreadyExists,
    /// The note changes or withdraws an item that does not exist.
    NotFound,
    /// The item belongs to another partner.
    OwnedByOther,
    /// The item is withdrawn while another one refers to it.
    StillUsed,
    /// The item refers to one that does not exist.
    MissingReference,
    /// The note names the item twice.
    NamedTwice,
    /// The item is not valid in itself.
    Invalid,
}

/// One reason that a release note is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NoteClash {
    /// The item of the note.
    pub item: ItemRef,
    /// The rule that the item breaks.
    pub reason: ClashReason,
    /// A sentence for the operator.
    pub message: String,
    /// The partner that owns the item in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<PartnerName>,
    /// The accepted note that the item clashes with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<NoteId>,
    /// The other item that is referred to or refers to this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reference: Option<ItemRef>,
}

/// The result of submitting a release note or of asking about one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum NoteAnswer {
    /// The note is part of the configuration from this revision on.
    Accepted {
        /// The revision that the note made.
        revision: Revision,
    },
    /// The note is no part of the configuration and never will be.
    Refused {
        /// Every reason.
        clashes: Vec<NoteClash>,
    },
    /// Whether the note was accepted is not known.
    Unknown {
        /// How to ask again.
        advice: String,
    },
}

/// What a release note does to an item.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemAction {
    /// The item is new.
    Added,
    /// The item is replaced.
    Changed,
    /// The item is removed.
    Withdrawn,
}

impl ItemAction {
    /// Returns the action as it is written in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Changed => "changed",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl fmt::Display for ItemAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// One item before and after a release note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ItemChange {
    /// The item.
    pub item: ItemRef,
    /// What the note does to it.
    pub action: ItemAction,
    /// The item's JSON document before the note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<serde_json::Value>,
    /// The item's JSON document after the note.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<serde_json::Value>,
}

/// What a release note would do if it were submitted now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NoteCheckAnswer {
    /// The revision that the note was checked against.
    pub head: Revision,
    /// The reasons for which it would be refused; empty if it would be accepted.
    pub clashes: Vec<NoteClash>,
    /// Its changes.
    pub diff: Vec<ItemChange>,
}

/// What an entry knows about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    /// The name of the member.
    pub member: MemberName,
    /// The host of the member.
    pub host: HostName,
    /// The failure domain of the member.
    pub failure_domain: FailureDomainName,
    /// The role of the member.
    pub role: Role,
    /// The state of the member.
    pub state: MemberState,
    /// The configuration revision that the member had applied when last heard of.
    pub applied_revision: Revision,
    /// The time since the applied revision was reported.
    pub age_ms: u64,
}

/// The state of the fleet as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StatusAnswer {
    /// The revision of the newest accepted note that the entry knows.
    pub head: Revision,
    /// Whether every reachable member has applied `head`.
    pub is_in_force: bool,
    /// The members that have yet to apply `head`, the furthest behind first.
    pub slowest: Vec<MemberName>,
    /// The members that do not answer.
    pub unreachable: Vec<MemberName>,
    /// Every member.
    pub members: Vec<MemberStatus>,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// The revision that an accepted note led to or that a refused one was evaluated against.
    pub sequence: u64,
    /// The time of the decision, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The partner that submitted the note.
    pub partner: PartnerName,
    /// The operator, as named by the key that was used.
    pub submitted_by: SmolStr,
    /// The identifier of the note.
    pub note: NoteId,
    /// The digest of the note's content.
    pub note_digest: Digest,
    /// What was decided.
    pub answer: NoteAnswer,
    /// The changes of an accepted note.
    pub changes: Vec<ItemChange>,
}

/// A part of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditAnswer {
    /// The number of the oldest record that is kept.
    pub oldest: u64,
    /// The records, in the order of their numbers.
    pub records: Vec<AuditRecord>,
    /// The number to ask for next, if there are more records.
    pub next: Option<u64>,
}

/// One upstream as an entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamStatus {
    /// The upstream and its owner.
    pub upstream: Owned<Upstream>,
    /// The state of the agent beside it; `None` if no such member is known.
    pub agent_state: Option<MemberState>,
    /// The number of requests that this entry has in flight at it.
    pub in_flight: u32,
}

/// Every upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamsAnswer {
    /// The revision that the entry has applied.
    pub revision: Revision,
    /// The upstreams, by name.
    pub upstreams: Vec<UpstreamStatus>,
}

/// The body of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The code of the error's kind.
    pub code: ErrorKind,
    /// A sentence for the reader.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The time after which asking again makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<Failure> for ErrorBody {
    fn from(failure: Failure) -> Self {
        Self {
            code: failure.kind,
            message: failure.message,
            outcome: failure.kind.answer().outcome,
            retry_after_ms: failure.retry_after_ms,
        }
    }
}

/// The document that every error is answered with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorAnswerBody {
    /// The error.
    pub error: ErrorBody,
}
