//! The scripted cases of the third review: `jujubewall-review-3 CASE FOLDER`, run in the root of
//! the repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod engines;
mod false_promise;
mod http;
mod leaving_engine;
mod raised_limit;
mod record;
mod returned_entry;
mod site;

use std::panic;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    // A panic means that the case could not run; gateways are killed as they are dropped.
    let is_broken = panic::catch_unwind(|| match name.as_str() {
        "false-promise" => false_promise::run(&folder),
        "leaving-engine" => leaving_engine::run(&folder),
        "raised-limit" => raised_limit::run(&folder),
        "returned-entry" => returned_entry::run(&folder),
        _ => panic!("there is no case {name}"),
    });
    match is_broken {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
