//! Reading of JSON values that goes on after a fault.

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;

use super::fault::FaultList;
use super::fault::SettingsProblem;
use super::leaf::Leaf;
use super::listen::check_remote;

/// The longest piece of a document that a fault repeats, in characters.
const MAX_FOUND_CHARS: usize = 60;

/// The suffixes that give a field's unit.
const UNIT_SUFFIXES: &[&str] = &[
    "ns", "us", "ms", "s", "min", "h", "bytes", "kb", "kib", "mb", "mib",
];

/// Reads the fields of one JSON object and notes every fault.
pub(super) struct ObjectReader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    faults: &'a FaultList,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of `value`, which should be an object.
    pub(super) fn new(path: String, value: &'a Value, faults: &'a FaultList) -> Self {
        let fields = value.as_object();
        if fields.is_none() {
            faults.add(path.clone(), wrong_form("an object", value));
        }
        Self {
            path,
            fields,
            known: Vec::new(),
            faults,
        }
    }

    /// Creates a reader of an object that is absent.
    fn absent(path: String, faults: &'a FaultList) -> Self {
        Self {
            path,
            fields: None,
            known: Vec::new(),
            faults,
        }
    }

    /// Reads a field that has to be there.
    pub(super) fn required<T: Leaf>(&mut self, name: &'static str) -> Option<T> {
        let value = self.required_value(name)?;
        read_leaf(self.child(name), value, self.faults)
    }

    /// Reads a field that may be absent.
    pub(super) fn optional<T: Leaf>(&mut self, name: &'static str) -> Option<T> {
        let value = self.value(name)?;
        read_leaf(self.child(name), value, self.faults)
    }

    /// Reads a positive number up to `max`; without one, returns `default`.
    pub(super) fn bounded(&mut self, name: &'static str, default: u64, max: u64) -> u64 {
        let Some(number) = self.optional::<u64>(name) else {
            return default;
        };
        if number == 0 {
            self.faults.add(self.child(name), SettingsProblem::Zero);
        } else if number > max {
            let problem = SettingsProblem::TooLarge { max };
            self.faults.add(self.child(name), problem);
        }
        number
    }

    /// Reads an address that the process dials.
    pub(super) fn remote(&mut self, name: &'static str) -> Option<SocketAddr> {
        let address = self.required(name)?;
        check_remote(&self.child(name), address, self.faults);
        Some(address)
    }

    /// Reads a list of addresses that the process dials; an absent list is empty.
    pub(super) fn remotes(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let faults = self.faults;
        let read = |(path, value): (String, _)| {
            let address = read_leaf(path.clone(), value, faults)?;
            check_remote(&path, address, faults);
            Some(address)
        };
        self.elements(name).into_iter().filter_map(read).collect()
    }

    /// Opens an object that has to be there.
    pub(super) fn object(&mut self, name: &'static str) -> ObjectReader<'a> {
        let path = self.child(name);
        match self.required_value(name) {
            Some(value) => ObjectReader::new(path, value, self.faults),
            None => ObjectReader::absent(path, self.faults),
        }
    }

    /// Opens an object that may be absent.
    pub(super) fn optional_object(&mut self, name: &'static str) -> ObjectReader<'a> {
        let path = self.child(name);
        match self.value(name) {
            Some(value) => ObjectReader::new(path, value, self.faults),
            None => ObjectReader::absent(path, self.faults),
        }
    }

    /// Reads a list of at least one value without parts.
    pub(super) fn filled_leaves<T: Leaf>(&mut self, name: &'static str) -> Vec<T> {
        let faults = self.faults;
        let elements = self.elements(name);
        if elements.is_empty() {
            faults.add(self.child(name), SettingsProblem::Empty);
        }
        let read = |(path, value)| read_leaf(path, value, faults);
        elements.into_iter().filter_map(read).collect()
    }

    /// Opens every object of a list; an absent list is empty.
    pub(super) fn objects(&mut self, name: &'static str) -> Vec<ObjectReader<'a>> {
        let faults = self.faults;
        let open = |(path, value)| ObjectReader::new(path, value, faults);
        self.elements(name).into_iter().map(open).collect()
    }

    /// Returns whether the document gives the field a value.
    pub(super) fn holds(&self, name: &str) -> bool {
        self.given(name).is_some()
    }

    /// Notes every field that was not asked for.
    pub(super) fn finish(self) {
        for name in self.fields.into_iter().flat_map(Map::keys) {
            if self.known.contains(&name.as_str()) {
                continue;
            }
            let problem = match self.same_but_for_unit(name) {
                Some(known) => SettingsProblem::WrongUnit(known),
                None => SettingsProblem::Unknown,
            };
            self.faults.add(self.child(name), problem);
        }
    }

    fn elements(&mut self, name: &'static str) -> Vec<(String, &'a Value)> {
        let path = self.child(name);
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(list) = value.as_array() else {
            self.faults.add(path, wrong_form("a list", value));
            return Vec::new();
        };
        let with_path = |(index, value)| (format!("{path}[{index}]"), value);
        list.iter().enumerate().map(with_path).collect()
    }

    fn required_value(&mut self, name: &'static str) -> Option<&'a Value> {
        let value = self.value(name);
        if value.is_none() && self.fields.is_some() {
            self.faults.add(self.child(name), SettingsProblem::Missing);
        }
        value
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.given(name)
    }

    /// Returns the value of a field; one that is null counts as absent.
    fn given(&self, name: &str) -> Option<&'a Value> {
        self.fields?.get(name).filter(|value| !value.is_null())
    }

    fn child(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn same_but_for_unit(&self, name: &str) -> Option<&'static str> {
        let stem = without_unit(name);
        let is_same = |known: &&&str| without_unit(known) == stem;
        self.known.iter().find(is_same).copied()
    }
}

fn without_unit(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, suffix)) if UNIT_SUFFIXES.contains(&suffix) => stem,
        _ => name,
    }
}

fn read_leaf<T: Leaf>(path: String, value: &Value, faults: &FaultList) -> Option<T> {
    let leaf = T::deserialize(value).ok();
    if leaf.is_none() {
        faults.add(path, wrong_form(T::EXPECTED, value));
    }
    leaf
}

fn wrong_form(expected: &'static str, value: &Value) -> SettingsProblem {
    let mut found = value.to_string();
    if let Some((end, _)) = found.char_indices().nth(MAX_FOUND_CHARS) {
        found.truncate(end);
        found.push('…');
    }
    SettingsProblem::WrongForm { expected, found }
}
