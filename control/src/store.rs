//! Submits release notes to the key-value service and reads them back.
//!
//! The swap of the head is the acceptance. A submitter that loses the swap
//! reads the new head, evaluates its note again and retries. A submitter whose
//! reply is lost sends the same bytes again with the same expected revision,
//! which is harmless whether or not the first call took effect; until one of
//! the two is known, the result is `unknown`.

mod collector;
mod history;
pub(crate) mod reader;
mod refusals;
mod writer;

use std::sync::Arc;
use std::time::Duration;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_types::config::Configuration;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::Revision;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::audit::AuditTrail;
use crate::audit::RefusedRecord;
use crate::audit::Submission;
use crate::change::content_digest;
use crate::clash::Clash;
use crate::head::Head;
use crate::proposal::ProposalError;
use crate::proposal::propose;
use crate::snapshot::Snapshot;
use crate::snapshot::SnapshotError;
use crate::store::history::History;
use crate::store::reader::Loaded;
use crate::store::reader::Reader;
use crate::store::refusals::RefusalLog;
use crate::store::writer::OUT_OF_TIME;
use crate::store::writer::SwapResult;
use crate::store::writer::Writer;

/// How long a submission goes on before its result is `unknown`.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// The longest time that one call of the service is waited for.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a submission is evaluated again after losing the swap.
pub const MAX_SUBMIT_TRIES: u32 = 64;

/// When asking again for an unknown result makes sense, in milliseconds.
pub const UNKNOWN_RETRY_AFTER_MS: u64 = 2_000;

/// How an operator settles an unknown result.
pub const UNKNOWN_ADVICE: &str =
    "submit the same note again under the same identifier, or ask for its status";

/// What became of a note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum NoteResult {
    /// The note is accepted and cannot be lost any more.
    Accepted {
        /// The revision that the note led to.
        revision: Revision,
    },
    /// The note is refused and changed nothing.
    Refused {
        /// Every reason.
        clashes: Vec<Clash>,
    },
    /// The identifier belongs to an accepted note with other content.
    IdReused {
        /// The revision that the accepted note led to.
        revision: Revision,
        /// The partner that submitted the accepted note.
        partner: PartnerName,
    },
    /// The note may yet turn out to be accepted.
    ///
    /// Asking for its status, or submitting the same note under the same
    /// identifier, is safe and settles the question.
    Unknown {
        /// The identifier to ask for.
        note: NoteId,
        /// When asking again makes sense.
        retry_after_ms: u64,
    },
}

/// What is known about an identifier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum NoteStatus {
    /// The note was accepted.
    Accepted {
        /// The revision that the note led to.
        revision: Revision,
    },
    /// The last submission that is on record was refused.
    Refused {
        /// The first reasons.
        clashes: Vec<Clash>,
    },
    /// No note with that identifier is on record.
    ///
    /// A submission that is still under way may yet be accepted.
    NotFound,
}

/// The reason that the store gives no result; the note was not accepted.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The key-value service gave no answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// What the service holds cannot be used.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The values cannot be computed.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// A record cannot be decoded.
    #[error("a record is malformed: {0}")]
    Record(#[from] serde_json::Error),
    /// A value that must not change holds other content.
    #[error("key {0} holds other content than expected")]
    Overwritten(String),
}

impl NoteResult {
    /// Returns the failure to report, unless the note is accepted.
    pub fn failure(&self) -> Option<Failure> {
        match self {
            Self::Accepted { .. } => None,
            Self::Refused { clashes } => {
                let reasons: Vec<String> = clashes.iter().map(ToString::to_string).collect();
                Some(Failure::new(ErrorKind::NoteRefused, reasons.join("; ")))
            }
            Self::IdReused { revision, partner } => Some(Failure::new(
                ErrorKind::NoteIdReused,
                format!("the identifier was used by {partner} for revision {revision}"),
            )),
            Self::Unknown { retry_after_ms, .. } => Some(
                Failure::new(ErrorKind::NoteUnknown, UNKNOWN_ADVICE)
                    .with_retry_after_ms(*retry_after_ms),
            ),
        }
    }
}

impl From<&StoreError> for Failure {
    fn from(error: &StoreError) -> Self {
        match error {
            StoreError::Platform(_) => Self::new(ErrorKind::PlatformUnavailable, error.to_string())
                .with_retry_after_ms(UNKNOWN_RETRY_AFTER_MS),
            _ => Self::new(ErrorKind::Internal, error.to_string()),
        }
    }
}

/// Reads and changes the configuration in the key-value service.
///
/// Any process may hold a store. All of them together accept notes in one
/// order, since each acceptance is one compare-and-swap of the head.
pub struct NoteStore {
    service: Arc<dyn KeyValue>,
    reader: Reader,
    history: History,
    refusals: RefusalLog,
    turn: Mutex<()>,
}

impl NoteStore {
    /// Creates a store on `service`.
    pub fn new(service: Arc<dyn KeyValue>) -> Self {
        Self {
            reader: Reader::new(service.clone()),
            history: History::new(service.clone()),
            refusals: RefusalLog::new(service.clone()),
            turn: Mutex::new(()),
            service,
        }
    }

    /// Reads the newest configuration and its head.
    pub async fn load(&self) -> Result<(Arc<Configuration>, Head), StoreError> {
        let loaded = self.reader.refresh().await?;
        let snapshot = loaded.snapshot;
        Ok((snapshot.configuration().clone(), snapshot.head().clone()))
    }

    /// Returns the newest snapshot that this store has read or written.
    ///
    /// After an acceptance it holds the note, so that the process can announce
    /// it to its peers at once.
    pub fn newest_snapshot(&self) -> Arc<Snapshot> {
        self.reader.newest().snapshot
    }

    /// Submits a note; the same note may be submitted any number of times.
    ///
    /// An error means that the note was not accepted by this call.
    pub async fn submit(&self, submission: &Submission) -> Result<NoteResult, StoreError> {
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        let result = self.submit_before(submission, deadline).await?;
        if let NoteResult::Accepted { revision } = &result {
            let note = &submission.note;
            log::info!(
                "note {} of {} is accepted as revision {revision}",
                note.id,
                note.partner
            );
        }
        Ok(result)
    }

    /// Says what became of the note with `id`.
    pub async fn note_status(&self, id: &NoteId) -> Result<NoteStatus, StoreError> {
        let loaded = self.reader.refresh().await?;
        if let Some(accepted) = self.history.find(loaded.snapshot.head(), id).await? {
            let revision = accepted.revision;
            return Ok(NoteStatus::Accepted { revision });
        }
        let refused = self.refusals.find(id).await?;
        Ok(
            refused.map_or(NoteStatus::NotFound, |record| NoteStatus::Refused {
                clashes: record.clashes,
            }),
        )
    }

    /// Reads up to `limit` accepted notes from revision `from` on, and the refused ones.
    pub async fn audit(&self, from: Revision, limit: usize) -> Result<AuditTrail, StoreError> {
        let loaded = self.reader.refresh().await?;
        let head = loaded.snapshot.head();
        Ok(AuditTrail {
            oldest_kept: History::oldest_kept(head),
            accepted: self.history.read(head, from, limit).await?,
            refused: self.refusals.read(from, limit).await?,
        })
    }

    async fn submit_before(
        &self,
        submission: &Submission,
        deadline: Instant,
    ) -> Result<NoteResult, StoreError> {
        let turn = tokio::time::timeout_at(deadline, self.turn.lock()).await;
        let _turn = turn.map_err(|_| timed_out())?;
        let mut may_be_accepted = false;
        let result = self
            .submit_in_turn(submission, deadline, &mut may_be_accepted)
            .await;
        match result {
            Err(_) if may_be_accepted => Ok(unknown(submission)),
            result => result,
        }
    }

    /// Submits a note, and says whether a swap without a reply may have accepted it.
    async fn submit_in_turn(
        &self,
        submission: &Submission,
        deadline: Instant,
        may_be_accepted: &mut bool,
    ) -> Result<NoteResult, StoreError> {
        let mut loaded = self.reader.refresh().await?;
        for _ in 0..MAX_SUBMIT_TRIES {
            if let Some(result) = self.settled(&loaded, submission).await? {
                return Ok(result);
            }
            // The head has moved past every earlier swap, and none was the note's.
            *may_be_accepted = false;
            let proposal = match propose(&loaded.snapshot, submission) {
                Ok(proposal) => proposal,
                Err(ProposalError::Refused(clashes)) => {
                    return Ok(self.refuse(&loaded, submission, clashes).await);
                }
                Err(error) => return Err(error.into()),
            };
            let writer = Writer::new(self.service.clone(), deadline);
            let written = writer.write_values(&proposal.values).await?;
            match writer
                .swap_head(loaded.stored_at, &proposal.head_bytes)
                .await?
            {
                SwapResult::Done(stored_at) => {
                    self.reader.adopt(&loaded, &proposal, stored_at)?;
                    collector::spawn(self.service.clone(), &proposal);
                    let revision = proposal.head.revision;
                    return Ok(NoteResult::Accepted { revision });
                }
                SwapResult::Unknown => return Ok(unknown(submission)),
                SwapResult::Lost { may_have_run } => {
                    *may_be_accepted = may_have_run;
                    loaded = self.reader.refresh().await?;
                    let head = loaded.snapshot.head();
                    collector::spawn_orphans(self.service.clone(), head, written);
                }
            }
        }
        Err(timed_out())
    }

    /// Returns the result if the note's identifier is known already.
    async fn settled(
        &self,
        loaded: &Loaded,
        submission: &Submission,
    ) -> Result<Option<NoteResult>, StoreError> {
        let id = &submission.note.id;
        let accepted = self.history.find(loaded.snapshot.head(), id).await?;
        let Some(accepted) = accepted else {
            return Ok(None);
        };
        if accepted.content == content_digest(&submission.note) {
            let revision = accepted.revision;
            return Ok(Some(NoteResult::Accepted { revision }));
        }
        let record = RefusedRecord::new(&loaded.snapshot, submission, &[]);
        self.refusals.append(record).await;
        Ok(Some(NoteResult::IdReused {
            revision: accepted.revision,
            partner: accepted.partner,
        }))
    }

    async fn refuse(
        &self,
        loaded: &Loaded,
        submission: &Submission,
        clashes: Vec<Clash>,
    ) -> NoteResult {
        let record = RefusedRecord::new(&loaded.snapshot, submission, &clashes);
        self.refusals.append(record).await;
        NoteResult::Refused { clashes }
    }
}

fn unknown(submission: &Submission) -> NoteResult {
    NoteResult::Unknown {
        note: submission.note.id.clone(),
        retry_after_ms: UNKNOWN_RETRY_AFTER_MS,
    }
}

fn timed_out() -> StoreError {
    PlatformError::Unavailable(OUT_OF_TIME.to_owned()).into()
}
