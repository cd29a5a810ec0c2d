//! Cases of the review in which gateways run as processes of their own. Each one plays a
//! disruption, or with `TROUBLE=0` the same without it, and ends with 1 if the rule was broken,
//! with 0 if it held, and with 2 if it could not be played.

mod cases;
mod client;
mod gateway;
mod http;
mod json;
mod link;
mod record;
mod runner;
mod site;
mod store;

use std::path::PathBuf;
use std::sync::Arc;

use crate::record::Record;

/// The result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotPlayed(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let root = std::env::current_dir().expect("the root of the repository");
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let has_trouble = !has_trouble;
    let record = Arc::new(Record::new());
    let verdict = cases::play(&case, &root, &record, has_trouble);
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotPlayed(text) => (2, format!("not played: {text}")),
    };
    println!("{text}");
    record.note(&text);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}
