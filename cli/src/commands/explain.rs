//! The command `explain`.

use std::fmt::Write as _;
use std::net::SocketAddr;

use argh::FromArgs;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::explain::EXPLAIN_PATH;
use jujubewall_types::explain::Explanation;

use crate::client::Client;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;

/// Shows where a gateway would send a request now and why, without sending it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// the metrics address of the gateway
    #[argh(option)]
    gateway: SocketAddr,
    /// the host that the request names
    #[argh(option)]
    host: String,
    /// the path of the request, without a query
    #[argh(option)]
    path: String,
    /// the account that holds the request's key
    #[argh(option)]
    account: Option<String>,
    /// the tokens of the prompt; by default the usual number
    #[argh(option)]
    prompt: Option<u32>,
    /// the tokens of the answer; by default the usual number
    #[argh(option)]
    answer: Option<u32>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl ExplainCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let explain = async {
            let document = self.document()?;
            let client = Client::without_key(self.gateway);
            client.get::<Explanation>(&document).await
        };
        explain
            .await
            .and_then(|explanation| print(&explanation, format))
            .map_err(|failure| CommandFailure::new(failure, format))
    }

    /// Returns the path and the query of the document.
    fn document(&self) -> Result<String, Failure> {
        let texts = [Some(&self.host), Some(&self.path), self.account.as_ref()];
        // Values are not decoded, since a path may hold encoded characters of its own.
        if texts.into_iter().flatten().any(|text| text.contains('&')) {
            let message = "a host, path or account with & cannot be explained";
            return Err(Failure::new(ErrorKind::BadRequest, message));
        }
        let mut document = format!("{EXPLAIN_PATH}?host={}&path={}", self.host, self.path);
        let options = [
            ("account", self.account.clone()),
            ("prompt", self.prompt.map(|tokens| tokens.to_string())),
            ("answer", self.answer.map(|tokens| tokens.to_string())),
        ];
        for (name, value) in options {
            if let Some(value) = value {
                // Writing to a string cannot fail.
                let _ = write!(document, "&{name}={value}");
            }
        }
        Ok(document)
    }
}
