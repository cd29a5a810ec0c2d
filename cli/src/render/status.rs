//! Text output of `status`.

use std::fmt::Write;

use jujubewall_types::admin::MemberStatus;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::id::MemberName;

use crate::print::Render;
use crate::render::table::Table;

impl Render for StatusAnswer {
    fn render(&self) -> String {
        let mut text = String::new();
        let verdict = if self.is_in_force {
            "in force everywhere"
        } else {
            "not in force everywhere"
        };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "revision {}: {verdict}", self.head);
        if !self.slowest.is_empty() {
            let _ = writeln!(text, "behind: {}", names(&self.slowest));
        }
        if !self.unreachable.is_empty() {
            let _ = writeln!(text, "unreachable: {}", names(&self.unreachable));
        }
        text.push_str(&table(&self.members));
        text
    }
}

fn names(members: &[MemberName]) -> String {
    let names: Vec<&str> = members.iter().map(MemberName::as_str).collect();
    names.join(", ")
}

fn table(members: &[MemberStatus]) -> String {
    let mut table = Table::new([
        "MEMBER", "HOST", "DOMAIN", "ROLE", "STATE", "REVISION", "AGE_MS",
    ]);
    for member in members {
        table.push([
            member.member.to_string(),
            member.host.to_string(),
            member.failure_domain.to_string(),
            member.role.to_string(),
            member.state.to_string(),
            member.applied_revision.to_string(),
            member.age_ms.to_string(),
        ]);
    }
    table.render()
}
