//! Prints a document of an entry.

use std::net::SocketAddr;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::Client;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::Render;
use crate::print::print;

/// Reads a document from an entry and prints it.
pub async fn show<T>(
    path: &str,
    entry: Option<SocketAddr>,
    key_file: Option<&Path>,
    json: bool,
) -> Result<(), CommandFailure>
where
    T: DeserializeOwned + Render + Serialize,
{
    let format = Format::from_switch(json);
    let fetch = async {
        let client = Client::new(entry, key_file)?;
        client.get::<T>(path).await
    };
    fetch
        .await
        .and_then(|answer| print(&answer, format))
        .map_err(|failure| CommandFailure::new(failure, format))
}
