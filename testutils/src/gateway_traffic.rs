//! Requests that clients send to the gateways of a [`Site`] again and again, and checks of
//! their answers.
//!
//! [`Site`]: crate::gateway_site::Site

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use jujubewall_http_client::HttpCallError;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::gateway_site::GatewayProcess;
use crate::gateway_site::all_events;
use crate::gateway_site::request;
use crate::gateway_site::stream_request;
use crate::gateway_site::with_prompt;
use crate::site_runner::SiteRunners;
use crate::site_runner::crash::FatalRequest;

/// The own parts of prompts begin here.
const FIRST_OWN_PART: usize = 0x1000_0000;

/// The last part of a prompt, which belongs to the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LastPart {
    /// The same each time.
    Same(&'static str),
    /// Another one each time.
    New,
}

/// What the attempts of a request have in common. Each has an identifier of its own.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    method: &'static str,
    path: String,
    body: Bytes,
    key: &'static str,
    is_stream: bool,
    prompt: Option<(Vec<String>, LastPart)>,
}

impl RequestTemplate {
    /// Describes a call that gets a single answer.
    pub fn call(method: &'static str, path: &str, body: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            body: Bytes::copy_from_slice(body.as_bytes()),
            key: "key-1",
            is_stream: false,
            prompt: None,
        }
    }

    /// Describes a request that is answered by a stream.
    pub fn stream(path: &str, body: &str) -> Self {
        Self {
            is_stream: true,
            ..Self::call("POST", path, body)
        }
    }

    /// Sets the parts of the prompt.
    #[must_use]
    pub fn with_prompt(self, shared_parts: &[&str], last: LastPart) -> Self {
        let shared_parts = shared_parts.iter().map(|part| (*part).to_owned());
        Self {
            prompt: Some((shared_parts.collect(), last)),
            ..self
        }
    }

    /// Sets another key of the client account.
    #[must_use]
    pub fn with_key(self, key: &'static str) -> Self {
        Self { key, ..self }
    }

    /// Adds a number to the body, so that it is another request.
    #[must_use]
    pub fn numbered(&self, number: usize) -> Self {
        let mut body = self.body.to_vec();
        body.extend_from_slice(format!(" {number}").as_bytes());
        Self {
            body: body.into(),
            ..self.clone()
        }
    }

    /// Returns the path and the body as a request that crashes runners.
    pub fn as_fatal(&self) -> FatalRequest {
        FatalRequest {
            path: self.path.clone(),
            body: self.body.clone(),
        }
    }

    /// Builds an attempt, with `new_part` as its last part if that is to be a new one.
    ///
    /// # Panics
    ///
    /// Panics if the path or an identifier is not valid.
    pub fn build(&self, id: &str, new_part: &str) -> Request<Bytes> {
        let mut built = if self.is_stream {
            stream_request(id)
        } else {
            request(self.method, &self.path, id)
        };
        *built.uri_mut() = self.path.parse().unwrap();
        *built.body_mut() = self.body.clone();
        let key = format!("Bearer {}", self.key).parse().unwrap();
        built.headers_mut().insert("authorization", key);
        let Some((shared_parts, last)) = &self.prompt else {
            return built;
        };
        let mut parts: Vec<&str> = shared_parts.iter().map(String::as_str).collect();
        parts.push(match last {
            LastPart::Same(part) => part,
            LastPart::New => new_part,
        });
        with_prompt(built, &parts)
    }
}

/// An attempt and what came of it.
#[derive(Debug)]
pub struct Sent {
    /// The identifier of the attempt.
    pub id: String,
    /// The request.
    pub template: RequestTemplate,
    /// When it was sent.
    pub sent_at: Instant,
    /// The whole answer, or why there is none.
    pub answer: Result<Response<Bytes>, HttpCallError>,
}

impl Sent {
    /// Returns whether the request was served with a whole answer.
    pub fn is_complete(&self) -> bool {
        let events = all_events();
        let expected = if self.template.is_stream {
            &events
        } else {
            "done"
        };
        let answer = self.answer.as_ref();
        answer.is_ok_and(|answer| answer.status() == 200 && answer.body() == expected.as_bytes())
    }

    /// Returns the number of runners that began to run the attempt.
    pub fn run_count(&self, runners: &SiteRunners) -> usize {
        let ran = runners.ran();
        ran.iter().filter(|ran| ran.id == self.id).count()
    }

    /// Checks that the request was rejected validly: the answer says when to come again, and
    /// nothing has run, or it may have run.
    ///
    /// # Panics
    ///
    /// Panics if it was not.
    pub fn assert_rejected_well(&self, runners: &SiteRunners) {
        let run_count = self.run_count(runners);
        let answer = self.answer.as_ref();
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", self.id));
        match answer.status().as_u16() {
            503 => {
                assert!(answer.headers().contains_key("retry-after"), "{}", self.id);
                assert_eq!(
                    run_count, 0,
                    "{} ran, and its answer says that it did not",
                    self.id
                );
            }
            502 => assert!(run_count > 0, "{} did not run", self.id),
            status => panic!("{}: status {status}", self.id),
        }
    }

    /// Checks that the answer to a request that no runner can complete does not deny a run.
    ///
    /// # Panics
    ///
    /// Panics if it does.
    pub fn assert_truthful(&self, runners: &SiteRunners) {
        let run_count = self.run_count(runners);
        match &self.answer {
            Ok(answer) if answer.status() == 503 => self.assert_rejected_well(runners),
            Ok(answer) => assert_eq!(answer.status(), 502, "{}", self.id),
            Err(error) => assert!(
                self.template.is_stream && run_count > 0,
                "{}: {error}, {run_count} runs",
                self.id
            ),
        }
    }
}

/// Requests that are under way.
#[derive(Debug)]
pub struct Traffic {
    sends: JoinSet<Sent>,
    next: usize,
    name: &'static str,
}

impl Traffic {
    /// Creates traffic whose identifiers begin with `name`.
    pub fn new(name: &'static str) -> Self {
        Self {
            sends: JoinSet::new(),
            next: 0,
            name,
        }
    }

    /// Returns the number of attempts so far.
    pub fn sent_count(&self) -> usize {
        self.next
    }

    /// Sends an attempt to one of the gateways, each in turn.
    ///
    /// # Panics
    ///
    /// Panics if the template is not valid or there is no gateway.
    pub fn send(&mut self, gateways: &[&GatewayProcess], template: &RequestTemplate) {
        let clients = gateways[self.next % gateways.len()].clients;
        let id = format!("{}-{}", self.name, self.next);
        let new_part = FIRST_OWN_PART + fingerprint(self.name) + self.next;
        self.next += 1;
        let request = template.build(&id, &format!("{new_part:08x}"));
        self.sends
            .spawn(send(clients, request, id, template.clone()));
    }

    /// Waits for all answers.
    pub async fn answers(self) -> Vec<Sent> {
        self.sends.join_all().await
    }
}

async fn send(
    clients: SocketAddr,
    request: Request<Bytes>,
    id: String,
    template: RequestTemplate,
) -> Sent {
    let sent_at = Instant::now();
    let answer = GatewayProcess::send_to(clients, request).await;
    Sent {
        id,
        template,
        sent_at,
        answer,
    }
}

/// Keeps the own parts of different kinds of requests apart.
fn fingerprint(name: &str) -> usize {
    name.bytes().map(usize::from).sum::<usize>() << 12
}

/// Crashes a third of the runners of a service in each failure domain at the same moment.
pub fn crash_a_third(runners: &Arc<SiteRunners>, service: &str) {
    let mut of_zone: HashMap<String, Vec<String>> = HashMap::new();
    for id in runners.running(service) {
        let zone = runners.kind(&id).map(|kind| kind.zone).unwrap_or_default();
        of_zone.entry(zone).or_default().push(id);
    }
    for ids in of_zone.values() {
        for id in &ids[..ids.len() / 3] {
            runners.crash(id);
        }
    }
}
