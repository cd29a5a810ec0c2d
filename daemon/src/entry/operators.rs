//! The interface that operators use.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use jujubewall_control::answer as note_answers;
use jujubewall_control::audit;
use jujubewall_control::audit::Submission;
use jujubewall_control::change::changes;
use jujubewall_control::dissemination::Event;
use jujubewall_control::item;
use jujubewall_control::merge;
use jujubewall_control::store::NoteResult;
use jujubewall_control::store::NoteStore;
use jujubewall_types::admin::AUDIT_PATH;
use jujubewall_types::admin::ItemChange;
use jujubewall_types::admin::NOTE_CHECK_PATH;
use jujubewall_types::admin::NOTES_PATH;
use jujubewall_types::admin::NoteCheckAnswer;
use jujubewall_types::admin::STATUS_PATH;
use jujubewall_types::admin::UPSTREAMS_PATH;
use jujubewall_types::admin::UpstreamStatus;
use jujubewall_types::admin::UpstreamsAnswer;
use jujubewall_types::config::Configuration;
use jujubewall_types::digest::Digest;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::Revision;
use jujubewall_types::note::ReleaseNote;
use kameo::actor::ActorRef;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::entry::credentials;
use crate::entry::view::View;
use crate::membership;
use crate::membership::Members;
use crate::membership::actor::ListMembers;
use crate::membership::actor::MembershipActor;
use crate::metrics::Metrics;
use crate::server::answer;
use crate::server::answer::Answer;
use crate::server::body;
use crate::server::body::BodyLimits;
use crate::server::body::LimitedBody;
use crate::settings::PartnerSettings;

/// The number of audit records that are given unless the operator asks for another one.
const DEFAULT_AUDIT_LIMIT: usize = 100;

/// The largest number of audit records that one answer holds.
const MAX_AUDIT_LIMIT: usize = 1_000;

/// The number of digits of a key's digest that name an operator in the audit trail.
const KEY_NAME_DIGITS: usize = 12;

/// What the handler of operators' requests needs.
#[derive(Clone)]
pub struct Operators {
    /// The store of release notes.
    pub store: Arc<NoteStore>,
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// The members as of their last change.
    pub members: Members,
    /// The actor that knows the members.
    pub membership: ActorRef<MembershipActor>,
    /// Where accepted notes go at once, so that they spread without the service.
    pub dissemination: mpsc::Sender<Event>,
    /// The partners with their keys.
    pub partners: Arc<Vec<PartnerSettings>>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The limits on bodies.
    pub limits: BodyLimits,
}

/// An operator whose key was recognised.
struct Operator {
    partner: PartnerName,
    name: SmolStr,
}

impl Operators {
    /// Answers one request.
    pub fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
        let operators = self.clone();
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let mut body = LimitedBody::new(body, &head, operators.limits.clone());
            match operators.dispatch(head, &mut body).await {
                Ok(answer) => answer,
                Err(failure) => {
                    body.discard(&failure).await;
                    answer::failure(failure)
                }
            }
        })
    }

    async fn dispatch(self, head: Parts, body: &mut LimitedBody) -> Result<Answer, Failure> {
        let operator = self.authenticate(&head.headers)?;
        match (head.uri.path(), &head.method) {
            (NOTES_PATH, &Method::POST) => self.submit(operator, body).await,
            (NOTE_CHECK_PATH, &Method::POST) => self.check(&operator, body).await,
            (STATUS_PATH, &Method::GET) => Ok(self.status().await),
            (AUDIT_PATH, &Method::GET) => self.audit(head.uri.query()).await,
            (UPSTREAMS_PATH, &Method::GET) => Ok(self.upstreams()),
            (path, &Method::GET) => match path.strip_prefix(NOTES_PATH) {
                Some(id) => self.note_status(id.trim_start_matches('/')).await,
                None => Err(not_found("no such path")),
            },
            _ => Err(not_found("no such path")),
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<Operator, Failure> {
        let digest = Digest::of(credentials::bearer_key(headers)?.as_bytes());
        let partner = self
            .partners
            .iter()
            .find(|partner| partner.operator_key_digests.contains(&digest))
            .ok_or_else(|| {
                Failure::new(
                    ErrorKind::Unauthenticated,
                    "the key belongs to no partner's operator",
                )
            })?;
        let digits = &digest.to_string()[..KEY_NAME_DIGITS];
        Ok(Operator {
            partner: partner.name.clone(),
            name: SmolStr::from(format!("key-{digits}")),
        })
    }

    async fn submit(self, operator: Operator, body: &mut LimitedBody) -> Result<Answer, Failure> {
        let note = self.read_note(&operator, body).await?;
        let submission = Submission {
            note,
            submitted_by: operator.name,
            submitted_at_ms: unix_ms(),
        };
        let result = self
            .store
            .submit(&submission)
            .await
            .map_err(|error| Failure::from(&error))?;
        self.metrics.count_note(result_name(&result));
        if matches!(result, NoteResult::Accepted { .. }) {
            let snapshot = self.store.newest_snapshot();
            let _ = self.dissemination.send(Event::Loaded(snapshot)).await;
        }
        let failure = result.failure();
        match (note_answers::note_answer(result), failure) {
            (Some(document), failure) => Ok(answer::json(http_status(failure), &document)),
            (None, Some(failure)) => Err(failure),
            (None, None) => Err(Failure::new(ErrorKind::Internal, "the note has no result")),
        }
    }

    async fn check(self, operator: &Operator, body: &mut LimitedBody) -> Result<Answer, Failure> {
        let note = self.read_note(operator, body).await?;
        let (before, _) = self
            .store
            .load()
            .await
            .map_err(|error| Failure::from(&error))?;
        let clashes = match merge::apply(&before, &note) {
            Ok(_) => Vec::new(),
            Err(clashes) => clashes.into_iter().map(Into::into).collect(),
        };
        let check = NoteCheckAnswer {
            head: before.revision,
            clashes,
            diff: diff(&before, &note),
        };
        Ok(answer::json(StatusCode::OK, &check))
    }

    async fn read_note(
        &self,
        operator: &Operator,
        body: &mut LimitedBody,
    ) -> Result<ReleaseNote, Failure> {
        let body = body.read().await?;
        let note: ReleaseNote = body::parse_json(&body)?;
        if note.partner != operator.partner {
            return Err(Failure::new(
                ErrorKind::Forbidden,
                format!(
                    "the key belongs to {}, the note to {}",
                    operator.partner, note.partner
                ),
            ));
        }
        Ok(note)
    }

    async fn note_status(&self, id: &str) -> Result<Answer, Failure> {
        let id = NoteId::new(id)
            .map_err(|error| Failure::new(ErrorKind::BadRequest, error.to_string()))?;
        let status = self
            .store
            .note_status(&id)
            .await
            .map_err(|error| Failure::from(&error))?;
        note_answers::status_answer(status)
            .map(|status| answer::json(StatusCode::OK, &status))
            .ok_or_else(|| not_found("no note of that identifier is on record"))
    }

    async fn audit(&self, query: Option<&str>) -> Result<Answer, Failure> {
        let from = number(query, "from")?.unwrap_or_default();
        let limit = number(query, "limit")?
            .and_then(|limit| usize::try_from(limit).ok())
            .unwrap_or(DEFAULT_AUDIT_LIMIT)
            .clamp(1, MAX_AUDIT_LIMIT);
        let trail = self
            .store
            .audit(Revision(from), limit)
            .await
            .map_err(|error| Failure::from(&error))?;
        let document = note_answers::audit_answer(trail, limit);
        Ok(answer::json(StatusCode::OK, &document))
    }

    async fn status(&self) -> Answer {
        let head = self.view.borrow().configuration().revision;
        let members = self.membership.ask(ListMembers).send().await;
        let status = membership::status(&members.unwrap_or_default(), head);
        answer::json(StatusCode::OK, &status)
    }

    fn upstreams(&self) -> Answer {
        let view = Arc::clone(&self.view.borrow());
        let configuration = view.configuration();
        let upstreams = configuration
            .upstreams
            .values()
            .map(|upstream| UpstreamStatus {
                agent_state: self.members.state_at(upstream.item.agent_address),
                upstream: upstream.clone(),
                in_flight: 0,
            });
        let document = UpstreamsAnswer {
            revision: configuration.revision,
            upstreams: upstreams.collect(),
        };
        answer::json(StatusCode::OK, &document)
    }
}

fn diff(before: &Configuration, note: &ReleaseNote) -> Vec<ItemChange> {
    changes(note)
        .iter()
        .map(|change| {
            note_answers::item_change(&audit::ItemChange {
                before: item::find(before, &change.key).map(|owned| owned.item),
                after: change.after().cloned(),
                key: change.key.clone(),
            })
        })
        .collect()
}

fn result_name(result: &NoteResult) -> &'static str {
    match result {
        NoteResult::Accepted { .. } => "accepted",
        NoteResult::Refused { .. } => "refused",
        NoteResult::IdReused { .. } => "id_reused",
        NoteResult::Unknown { .. } => "unknown",
    }
}

fn http_status(failure: Option<Failure>) -> StatusCode {
    let code = failure.map(|failure| failure.kind.answer().http_status);
    code.and_then(|code| StatusCode::from_u16(code).ok())
        .unwrap_or(StatusCode::OK)
}

fn number(query: Option<&str>, name: &str) -> Result<Option<u64>, Failure> {
    let pairs = query.unwrap_or_default().split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value);
    let Some(value) = value else {
        return Ok(None);
    };
    value
        .parse()
        .map(Some)
        .map_err(|_| Failure::new(ErrorKind::BadRequest, format!("{name} is a whole number")))
}

fn not_found(message: &str) -> Failure {
    Failure::new(ErrorKind::NotFound, message)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
