//! Settings without a fault.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use jujubewall_types::member::Role;
use schemars::Schema;
use schemars::schema_for;
use serde_json::Value;

use super::document::Settings;
use super::fault::FaultList;
use super::fault::SettingsFault;
use super::fault::SettingsFaults;
use super::fault::SettingsProblem;
use super::shape::read_settings;

/// The settings that only one of the roles has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleSettings {
    /// The settings of an entry.
    Entry {
        /// The address at which callers reach it.
        caller_address: SocketAddr,
        /// The address at which operators reach it.
        operator_address: SocketAddr,
    },
    /// The settings of an agent.
    Agent,
}

/// Settings without a fault, from which a process can start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckedSettings {
    settings: Settings,
    role: RoleSettings,
}

impl CheckedSettings {
    /// Wraps a document in which no fault was found.
    fn new(settings: Settings) -> Option<Self> {
        let role = match settings.role {
            Role::Entry => RoleSettings::Entry {
                caller_address: settings.caller_address?,
                operator_address: settings.operator_address?,
            },
            Role::Agent => RoleSettings::Agent,
        };
        Some(Self { settings, role })
    }

    /// Returns the document.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the settings that only this role has.
    pub fn role(&self) -> RoleSettings {
        self.role
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<CheckedSettings, SettingsFaults> {
        let text = fs::read_to_string(path)
            .map_err(|error| document_fault(SettingsProblem::Unreadable(error.to_string())))?;
        Self::parse(&text)
    }

    /// Checks the text of a settings document and the files that it names.
    pub fn parse(text: &str) -> Result<CheckedSettings, SettingsFaults> {
        let value: Value = serde_json::from_str(text)
            .map_err(|error| document_fault(SettingsProblem::NotJson(error.to_string())))?;
        let faults = FaultList::default();
        let settings = read_settings(&value, &faults);
        faults.finish()?;
        settings
            .and_then(CheckedSettings::new)
            .ok_or_else(|| document_fault(SettingsProblem::Missing))
    }

    /// Returns the JSON schema of the document.
    pub fn schema() -> Schema {
        schema_for!(Settings)
    }
}

fn document_fault(problem: SettingsProblem) -> SettingsFaults {
    let path = String::new();
    SettingsFault { path, problem }.into()
}
