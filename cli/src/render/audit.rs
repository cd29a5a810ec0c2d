//! Text output of `audit`.

use std::fmt::Write;

use jujubewall_types::admin::AuditAnswer;
use jujubewall_types::admin::AuditRecord;
use jujubewall_types::admin::NoteAnswer;

use crate::print::Render;
use crate::render::note::render_change;

impl Render for AuditAnswer {
    fn render(&self) -> String {
        let mut text = String::new();
        for record in &self.records {
            render_record(&mut text, record);
        }
        if let Some(next) = self.next {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "more records: --from {next}");
        }
        text
    }
}

fn render_record(text: &mut String, record: &AuditRecord) {
    let AuditRecord {
        sequence,
        unix_ms,
        partner,
        submitted_by,
        note,
        ..
    } = record;
    let result = match &record.answer {
        NoteAnswer::Accepted { revision } => format!("accepted as revision {revision}"),
        NoteAnswer::Refused { .. } => "refused".to_owned(),
        NoteAnswer::Unknown { .. } => "unknown".to_owned(),
    };
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{sequence} {unix_ms} ms {partner}/{submitted_by} {note}: {result}"
    );
    if let NoteAnswer::Refused { clashes } = &record.answer {
        for clash in clashes {
            let _ = writeln!(text, "  {}: {}", clash.item, clash.message);
        }
    }
    for change in &record.changes {
        text.push_str(&render_change(change));
    }
}
