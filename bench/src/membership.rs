//! Load and speed of membership by the size of the fleet.
//!
//! Every size runs the product's decisions over a simulated network under a
//! simulated clock, so the times are those of the protocol and the bytes those
//! of the encoded messages, without what QUIC adds.

mod report;
mod sample;

use argh::FromArgs;

use crate::membership::report::MembershipReport;
use crate::membership::sample::Sample;
use crate::membership::sample::measure;

/// The sizes that are measured unless others are given.
const SIZES: [usize; 6] = [50, 100, 200, 400, 800, 1200];

/// Measures messages, bytes and times of membership by the size of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "membership")]
pub struct MembershipCommand {
    /// the number of members; may be repeated
    #[argh(option)]
    members: Vec<usize>,
    /// the seed of every random choice
    #[argh(option, default = "20261204")]
    seed: u64,
    /// the number of crashes and of leaves at each size
    #[argh(option, default = "20")]
    events: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl MembershipCommand {
    /// Runs the measurement.
    pub fn run(self) -> eyre::Result<()> {
        let mut sizes = self.members;
        if sizes.is_empty() {
            sizes.extend(SIZES);
        }
        let measure = |size: &usize| measure(*size, self.seed, self.events);
        let samples: Vec<Sample> = sizes.iter().map(measure).collect();
        let report = MembershipReport::new(samples)?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{report}");
        }
        Ok(())
    }
}
