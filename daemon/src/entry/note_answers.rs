//! Translation of the note store's results into the operators' documents.

use jujubewall_control::audit::AcceptedRecord;
use jujubewall_control::audit::AuditTrail;
use jujubewall_control::audit::ItemChange as RecordedChange;
use jujubewall_control::audit::RefusedRecord;
use jujubewall_control::clash::Clash;
use jujubewall_control::clash::ClashReason as StoreReason;
use jujubewall_control::item::ItemKey;
use jujubewall_control::item::Section;
use jujubewall_control::store::NoteResult;
use jujubewall_control::store::NoteStatus;
use jujubewall_types::admin::AuditAnswer;
use jujubewall_types::admin::AuditRecord;
use jujubewall_types::admin::ClashReason;
use jujubewall_types::admin::ItemAction;
use jujubewall_types::admin::ItemChange;
use jujubewall_types::admin::ItemKind;
use jujubewall_types::admin::ItemRef;
use jujubewall_types::admin::NoteAnswer;
use jujubewall_types::admin::NoteClash;
use serde::Serialize;
use smol_str::SmolStr;

/// Translates the result of a submission.
pub fn note_answer(result: NoteResult) -> NoteAnswer {
    match result {
        NoteResult::Accepted { revision } => NoteAnswer::Accepted { revision },
        NoteResult::Refused { clashes } => refused(&clashes),
        NoteResult::Unknown {
            note,
            retry_after_ms,
        } => NoteAnswer::Unknown {
            advice: format!(
                "ask for the status of note {note}, or submit the same note again, \
                 in {retry_after_ms} ms"
            ),
        },
    }
}

/// Translates what is on record; `None` tells that nothing is.
pub fn status_answer(status: NoteStatus) -> Option<NoteAnswer> {
    match status {
        NoteStatus::Accepted { revision } => Some(NoteAnswer::Accepted { revision }),
        NoteStatus::Refused { clashes } => Some(refused(&clashes)),
        NoteStatus::NotFound => None,
    }
}

/// Translates a stretch of the audit trail.
///
/// Accepted notes keep the revision that they led to as their number, and a
/// refused note has the revision that it was refused against.
pub fn audit_answer(trail: AuditTrail, limit: usize) -> AuditAnswer {
    let oldest = trail.oldest_kept.0;
    let is_full = trail.accepted.len() >= limit;
    let next = trail.accepted.last().map(|record| record.revision.0 + 1);
    let accepted = trail.accepted.into_iter().map(accepted_record);
    let refused = trail.refused.into_iter().map(refused_record);
    let mut records: Vec<_> = accepted.chain(refused).collect();
    records.sort_by_key(|record| (record.sequence, record.unix_ms));
    AuditAnswer {
        oldest,
        records,
        next: next.filter(|_| is_full),
    }
}

/// Translates one reason for a refusal.
pub fn note_clash(clash: &Clash) -> NoteClash {
    NoteClash {
        item: clash.item.as_ref().map_or_else(whole_note, item_ref),
        reason: reason(&clash.reason),
        message: clash.reason.to_string(),
        owner: clash.owner.clone(),
        note: clash.winner.clone(),
        reference: reference(&clash.reason),
    }
}

/// Names an item.
pub fn item_ref(key: &ItemKey) -> ItemRef {
    let kind = match key.section() {
        Section::Model => ItemKind::Model,
        Section::Adapter => ItemKind::Adapter,
        Section::Account => ItemKind::Account,
        Section::Upstream => ItemKind::Upstream,
    };
    ItemRef {
        kind,
        name: SmolStr::new(key.name()),
    }
}

/// Describes an item before and after a note.
pub fn item_change(
    key: &ItemKey,
    before: Option<&impl Serialize>,
    after: Option<&impl Serialize>,
) -> ItemChange {
    let action = match (before.is_some(), after.is_some()) {
        (false, _) => ItemAction::Added,
        (true, true) => ItemAction::Changed,
        (true, false) => ItemAction::Withdrawn,
    };
    ItemChange {
        item: item_ref(key),
        action,
        before: before.and_then(|item| serde_json::to_value(item).ok()),
        after: after.and_then(|item| serde_json::to_value(item).ok()),
    }
}

fn refused(clashes: &[Clash]) -> NoteAnswer {
    NoteAnswer::Refused {
        clashes: clashes.iter().map(note_clash).collect(),
    }
}

fn whole_note() -> ItemRef {
    ItemRef {
        kind: ItemKind::Note,
        name: SmolStr::default(),
    }
}

fn reason(reason: &StoreReason) -> ClashReason {
    match reason {
        StoreReason::Exists => ClashReason::AlreadyExists,
        StoreReason::Missing => ClashReason::NotFound,
        StoreReason::NotOwned => ClashReason::OwnedByOther,
        StoreReason::Repeated => ClashReason::NamedTwice,
        StoreReason::Unresolved { .. } => ClashReason::MissingReference,
        StoreReason::Referenced { .. } => ClashReason::StillUsed,
        StoreReason::IdReused => ClashReason::IdReused,
        StoreReason::Invalid { .. }
        | StoreReason::Taken { .. }
        | StoreReason::Contradicts { .. }
        | StoreReason::TooManyItems { .. } => ClashReason::Invalid,
    }
}

fn reference(reason: &StoreReason) -> Option<ItemRef> {
    match reason {
        StoreReason::Referenced { by, .. }
        | StoreReason::Taken { by, .. }
        | StoreReason::Contradicts { by, .. } => Some(item_ref(by)),
        _ => None,
    }
}

fn accepted_record(record: AcceptedRecord) -> AuditRecord {
    let changes = record.changes.iter().map(recorded_change).collect();
    AuditRecord {
        sequence: record.revision.0,
        unix_ms: record.submitted_at_ms,
        partner: record.partner,
        note: record.note,
        note_digest: record.content,
        answer: NoteAnswer::Accepted {
            revision: record.revision,
        },
        changes,
    }
}

fn recorded_change(change: &RecordedChange) -> ItemChange {
    item_change(&change.key, change.before.as_ref(), change.after.as_ref())
}

fn refused_record(record: RefusedRecord) -> AuditRecord {
    AuditRecord {
        sequence: record.revision.0,
        unix_ms: record.submitted_at_ms,
        partner: record.partner,
        note: record.note,
        note_digest: record.content,
        answer: refused(&record.clashes),
        changes: Vec::new(),
    }
}
