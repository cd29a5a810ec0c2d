//! What can be wrong with a settings document.

use std::cell::RefCell;
use std::fmt;
use std::path::PathBuf;

use jujubewall_types::member::Role;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;
use thiserror::Error;

/// The problem with one part of a settings document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsProblem {
    /// The settings file cannot be read.
    #[error("the settings file cannot be read: {0}")]
    Unreadable(String),
    /// The settings file is not JSON.
    #[error("the settings file is not JSON: {0}")]
    NotJson(String),
    /// A field that is needed is absent.
    #[error("the field is missing")]
    Missing,
    /// No such field exists.
    #[error("unknown field")]
    Unknown,
    /// No such field exists, but one that differs in its unit does.
    #[error("unknown field; the field is `{0}`, whose unit is its suffix")]
    WrongUnit(&'static str),
    /// The value has another type or form.
    #[error("expected {expected}, found {found}")]
    WrongForm {
        /// What the field holds.
        expected: &'static str,
        /// What was found, shortened.
        found: String,
    },
    /// A member's name cannot stand in its certificate.
    #[error("must have the form of a host name, since the member's certificate holds it")]
    NotCertifiable,
    /// The value is zero.
    #[error("must be positive")]
    Zero,
    /// The value is above its bound.
    #[error("must be at most {max}")]
    TooLarge {
        /// The bound.
        max: u64,
    },
    /// The field has no meaning in this role.
    #[error("has no meaning for the role {0}")]
    NotForRole(Role),
    /// The field is needed in this role.
    #[error("the role {0} needs this field")]
    NeededForRole(Role),
    /// Peers cannot be told this address.
    #[error("must be an address that peers can reach, not an unspecified one")]
    UnspecifiedAddress,
    /// A remote address has no port.
    #[error("must have a port other than 0")]
    NoPort,
    /// Two listeners would take the same port.
    #[error("takes the same address and port as `{0}`")]
    PortClash(&'static str),
    /// A value occurs twice where it has to be unique.
    #[error("repeats `{0}`")]
    Repeated(String),
    /// A list needs at least one element.
    #[error("needs at least one element")]
    Empty,
    /// A file cannot be read.
    #[error("the file {} cannot be read: {reason}", path.display())]
    FileUnreadable {
        /// The file.
        path: PathBuf,
        /// The reason given by the operating system.
        reason: String,
    },
    /// A file holds something else than what it should.
    #[error("the file {} holds no {expected}", path.display())]
    FileContent {
        /// The file.
        path: PathBuf,
        /// What it should hold.
        expected: &'static str,
    },
    /// A private key does not belong to its certificate.
    #[error("the private key does not belong to the certificate of `tls.certificate_path`")]
    KeyMismatch,
}

/// One fault with its place in the document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// The path of the value, such as `seed_peers[1]`; empty for the whole document.
    pub path: String,
    /// The problem.
    pub problem: SettingsProblem,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return self.problem.fmt(f);
        }
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl Serialize for SettingsFault {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("SettingsFault", 2)?;
        fields.serialize_field("path", &self.path)?;
        fields.serialize_field("message", &self.problem.to_string())?;
        fields.end()
    }
}

/// Every fault of one settings document; never empty.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SettingsFaults(Vec<SettingsFault>);

impl SettingsFaults {
    /// Returns the faults in the order in which they were found.
    pub fn faults(&self) -> &[SettingsFault] {
        &self.0
    }
}

impl From<SettingsFault> for SettingsFaults {
    fn from(fault: SettingsFault) -> Self {
        Self(vec![fault])
    }
}

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

/// Collects the faults of one document.
#[derive(Debug, Default)]
pub(super) struct FaultList(RefCell<Vec<SettingsFault>>);

impl FaultList {
    /// Adds a fault.
    pub(super) fn add(&self, path: impl Into<String>, problem: SettingsProblem) {
        let path = path.into();
        self.0.borrow_mut().push(SettingsFault { path, problem });
    }

    /// Returns the faults, or `Ok` if there are none.
    pub(super) fn finish(self) -> Result<(), SettingsFaults> {
        let faults = self.0.into_inner();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsFaults(faults))
        }
    }
}
