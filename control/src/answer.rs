//! Conversions into the answers of the operator API.

use jujubewall_types::admin;
use jujubewall_types::admin::AuditAnswer;
use jujubewall_types::admin::AuditRecord;
use jujubewall_types::admin::ItemAction;
use jujubewall_types::admin::ItemRef;
use jujubewall_types::admin::NoteAnswer;
use jujubewall_types::admin::NoteClash;

use crate::audit::AcceptedRecord;
use crate::audit::AuditTrail;
use crate::audit::ItemChange;
use crate::audit::RefusedRecord;
use crate::clash::Clash;
use crate::clash::ClashReason;
use crate::item::Item;
use crate::store::NoteResult;
use crate::store::NoteStatus;
use crate::store::UNKNOWN_ADVICE;

impl From<Clash> for NoteClash {
    fn from(clash: Clash) -> Self {
        Self {
            item: ItemRef::from(&clash.item),
            reason: (&clash.reason).into(),
            message: clash.reason.to_string(),
            reference: clash.reason.other_item().map(ItemRef::from),
            owner: clash.owner,
            note: clash.winner,
        }
    }
}

impl From<&ClashReason> for admin::ClashReason {
    fn from(reason: &ClashReason) -> Self {
        match reason {
            ClashReason::Exists => Self::AlreadyExists,
            ClashReason::Missing => Self::NotFound,
            ClashReason::NotOwned => Self::OwnedByOther,
            ClashReason::Repeated => Self::NamedTwice,
            ClashReason::Unresolved { .. } => Self::MissingReference,
            ClashReason::Referenced { .. } => Self::StillUsed,
            ClashReason::Invalid { .. }
            | ClashReason::Taken { .. }
            | ClashReason::Contradicts { .. }
            | ClashReason::TooManyItems { .. } => Self::Invalid,
        }
    }
}

/// Converts a result; `None` for a reused identifier, which is a failure.
pub fn note_answer(result: NoteResult) -> Option<NoteAnswer> {
    match result {
        NoteResult::Accepted { revision } => Some(NoteAnswer::Accepted { revision }),
        NoteResult::Refused { clashes } => Some(refused(clashes)),
        NoteResult::IdReused { .. } => None,
        NoteResult::Unknown { .. } => Some(unknown()),
    }
}

/// Converts a status; `None` if no note with that identifier is on record.
pub fn status_answer(status: NoteStatus) -> Option<NoteAnswer> {
    match status {
        NoteStatus::Accepted { revision } => Some(NoteAnswer::Accepted { revision }),
        NoteStatus::Refused { clashes } => Some(refused(clashes)),
        NoteStatus::NotFound => None,
    }
}

/// Converts one change of an item.
pub fn item_change(change: &ItemChange) -> admin::ItemChange {
    let action = match (&change.before, &change.after) {
        (None, _) => ItemAction::Added,
        (Some(_), Some(_)) => ItemAction::Changed,
        (Some(_), None) => ItemAction::Withdrawn,
    };
    admin::ItemChange {
        item: ItemRef::from(&change.key),
        action,
        before: change.before.as_ref().and_then(to_document),
        after: change.after.as_ref().and_then(to_document),
    }
}

/// Converts a section of the audit trail, ordered by sequence number and arrival time.
///
/// The sequence number of a record is a revision: the one that an accepted note led to, or
/// the one that a refused note was evaluated against.
pub fn audit_answer(trail: AuditTrail, limit: usize) -> AuditAnswer {
    let last = trail.accepted.last().map(|record| record.revision.next().0);
    let next = last.filter(|_| trail.accepted.len() == limit);
    let accepted = trail.accepted.into_iter().map(accepted_record);
    let refused = trail.refused.into_iter().map(refused_record);
    let is_past = |record: &AuditRecord| next.is_none_or(|next| record.sequence < next);
    let mut records: Vec<AuditRecord> = accepted.chain(refused).filter(is_past).collect();
    records.sort_by_key(|record| (record.sequence, record.unix_ms));
    AuditAnswer {
        oldest: trail.oldest_kept.0,
        records,
        next,
    }
}

fn accepted_record(record: AcceptedRecord) -> AuditRecord {
    let revision = record.revision;
    AuditRecord {
        sequence: revision.0,
        unix_ms: record.submitted_at_ms,
        partner: record.partner,
        submitted_by: record.submitted_by,
        note: record.note,
        note_digest: record.content,
        answer: NoteAnswer::Accepted { revision },
        changes: record.changes.iter().map(item_change).collect(),
    }
}

fn refused_record(record: RefusedRecord) -> AuditRecord {
    AuditRecord {
        sequence: record.revision.0,
        unix_ms: record.submitted_at_ms,
        partner: record.partner,
        submitted_by: record.submitted_by,
        note: record.note,
        note_digest: record.content,
        answer: refused(record.clashes),
        changes: Vec::new(),
    }
}

fn refused(clashes: Vec<Clash>) -> NoteAnswer {
    NoteAnswer::Refused {
        clashes: clashes.into_iter().map(NoteClash::from).collect(),
    }
}

fn unknown() -> NoteAnswer {
    NoteAnswer::Unknown {
        advice: UNKNOWN_ADVICE.to_owned(),
    }
}

fn to_document(item: &Item) -> Option<serde_json::Value> {
    let value = match item {
        Item::Model(item) => serde_json::to_value(item),
        Item::Adapter(item) => serde_json::to_value(item),
        Item::Account(item) => serde_json::to_value(item),
        Item::Upstream(item) => serde_json::to_value(item),
    };
    value.ok()
}
