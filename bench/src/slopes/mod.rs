//! The growth of cost with the size of the fleet.

mod load;
mod state;
mod streams;

use argh::FromArgs;
use serde::Serialize;

use crate::fit::Fit;

/// Measures how costs grow with the size of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesCommand {
    /// print one JSON document
    #[argh(switch)]
    json: bool,
}

/// Every slope, and the clock that times were taken with.
#[derive(Serialize)]
struct Slopes {
    clock: &'static str,
    slopes: Vec<Fit>,
}

impl SlopesCommand {
    /// Measures and prints the slopes.
    pub fn run(self) -> eyre::Result<()> {
        // Memory is measured first, while little has been freed.
        let mut fits = state::measure()?;
        fits.extend(streams::measure()?);
        fits.extend(load::measure()?);
        let slopes = Slopes {
            clock: "wall clock, one thread",
            slopes: fits,
        };
        let text = if self.json {
            serde_json::to_string(&slopes)?
        } else {
            serde_json::to_string_pretty(&slopes)?
        };
        println!("{text}");
        Ok(())
    }
}
