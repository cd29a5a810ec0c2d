//! Results of the commands under `settings`.

use std::fmt::Write;

use jujubewall_daemon::settings::SettingsFault;
use jujubewall_daemon::settings::SettingsFaults;
use schemars::Schema;
use serde::Serialize;

use crate::print::Render;

/// The result of checking a settings file.
#[derive(Serialize)]
pub struct SettingsReport {
    /// Whether a process can start from the file.
    pub is_valid: bool,
    /// Every fault.
    pub faults: Vec<SettingsFault>,
}

impl SettingsReport {
    /// Creates the report of a check.
    pub fn new(result: Result<(), SettingsFaults>) -> Self {
        let faults = result.err().map(|faults| faults.faults().to_vec());
        Self {
            is_valid: faults.is_none(),
            faults: faults.unwrap_or_default(),
        }
    }
}

impl Render for SettingsReport {
    fn render(&self) -> String {
        if self.is_valid {
            return "no faults\n".to_owned();
        }
        let mut text = String::new();
        for fault in &self.faults {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{fault}");
        }
        text
    }
}

/// The JSON schema of settings files.
#[derive(Serialize)]
#[serde(transparent)]
pub struct SchemaReport(pub Schema);

impl Render for SchemaReport {
    fn render(&self) -> String {
        format!("{:#}\n", self.0.as_value())
    }
}
