//! Slopes of the state that every process holds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubewall_daemon::entry::view::View;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::TestSite;
use jujubewall_types::config::ClientAccount;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::Owned;
use jujubewall_types::config::Upstream;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::Revision;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::note::ReleaseNote;

use crate::fit::Fit;
use crate::fit::Point;

/// The client accounts for each hundred upstreams, as in the large fleet.
const ACCOUNTS_PER_100_UPSTREAMS: usize = 61;

/// The number of times that a view is built for one point.
const VIEW_ROUNDS: u32 = 20;

/// The number of copies whose memory is measured for one point.
const COPIES: usize = 8;

/// The number of microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Measures the memory of the configuration and the time to take in another one.
pub fn measure() -> eyre::Result<Vec<Fit>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let note = runtime.block_on(async {
        let site = TestSite::start(SiteShape::default()).await;
        site.release_note("slopes")
    });
    let mut memory = Vec::new();
    let mut time = Vec::new();
    let mut kept = Vec::new();
    for upstreams in [500_usize, 1_000, 2_000, 4_100] {
        let size = upstreams as f64;
        let before = resident_bytes()?;
        for _ in 0..COPIES {
            kept.push(configuration(&note, upstreams)?);
        }
        let grown = (resident_bytes()? - before).max(0.0);
        let cost = grown / COPIES as f64;
        memory.push(Point { size, cost });
        let configuration = Arc::new(configuration(&note, upstreams)?);
        let started = std::time::Instant::now();
        for _ in 0..VIEW_ROUNDS {
            std::hint::black_box(View::new(Arc::clone(&configuration)));
        }
        let cost = started.elapsed().as_secs_f64() * US_PER_S / f64::from(VIEW_ROUNDS);
        time.push(Point { size, cost });
    }
    drop(kept);
    Ok(vec![
        Fit::new("configuration", "upstreams", "resident bytes", memory)?,
        Fit::new("view of the configuration", "upstreams", "us", time)?,
    ])
}

/// Builds a configuration out of copies of the site's items under other names.
fn configuration(note: &ReleaseNote, upstreams: usize) -> eyre::Result<Configuration> {
    let owner = PartnerName::new("trust")?;
    let accounts = upstreams * ACCOUNTS_PER_100_UPSTREAMS / 100;
    let mut configuration = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    for model in &note.added.models {
        let name = model.name.clone();
        configuration.models.insert(name, owned(&owner, model));
    }
    configuration.upstreams = copies(upstreams, |index| {
        let name = UpstreamName::new(format!("upstream-{index}"))?;
        let template = &note.added.upstreams[index % note.added.upstreams.len()];
        let upstream = Upstream {
            name: name.clone(),
            agent_address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
            ..template.clone()
        };
        Ok((name, owned(&owner, &upstream)))
    })?;
    configuration.accounts = copies(accounts, |index| {
        let name = AccountName::new(format!("account-{index}"))?;
        let account = ClientAccount {
            name: name.clone(),
            ..note.added.accounts[0].clone()
        };
        Ok((name, owned(&owner, &account)))
    })?;
    Ok(configuration)
}

fn copies<K: Ord, V>(
    count: usize,
    copy: impl Fn(usize) -> eyre::Result<(K, V)>,
) -> eyre::Result<BTreeMap<K, V>> {
    (0..count).map(copy).collect()
}

fn owned<T: Clone>(owner: &PartnerName, item: &T) -> Owned<T> {
    Owned {
        owner: owner.clone(),
        item: item.clone(),
    }
}

/// Reads the memory that this process has in use.
fn resident_bytes() -> eyre::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: f64 = pages.unwrap_or_default().parse()?;
    Ok(pages * PAGE_BYTES)
}
