//! Submits release notes to the key-value service and reads them back.
//!
//! A note is accepted by a compare-and-swap of the head. A submitter that loses the swap
//! reads the new head, evaluates its note again and retries. A submitter whose reply is
//! lost sends the same bytes again with the same expected revision, which is safe whether
//! or not the first call took effect. Until the outcome is known, the result is `unknown`.

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
use crate::store::reader::LoadedSnapshot;
use crate::store::reader::Reader;
use crate::store::refusals::RefusalLog;
use crate::store::writer::SUBMIT_TIMED_OUT;
use crate::store::writer::SwapResult;
use crate::store::writer::Writer;

/// Time after which a submission ends; its result may then be `unknown`.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of one call to the key-value service.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of times that a submission is evaluated, each time after a lost swap.
pub const MAX_SUBMIT_ATTEMPTS: u32 = 64;

/// Delay after which a client should ask again for an unknown result.
pub const UNKNOWN_RETRY_AFTER_MS: u64 = 2_000;

/// Advice to operators on how to resolve an unknown result.
pub const UNKNOWN_ADVICE: &str =
    "submit the same note again under the same identifier, or ask for its status";

/// Result of submitting a note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum NoteResult {
    /// The note is accepted and durable.
    Accepted {
        /// Revision that the note led to.
        revision: Revision,
    },
    /// The note is refused and changed nothing.
    Refused {
        /// All reasons for the refusal.
        clashes: Vec<Clash>,
    },
    /// The identifier belongs to an accepted note with different content.
    IdReused {
        /// Revision that the accepted note led to.
        revision: Revision,
        /// Partner that submitted the accepted note.
        partner: PartnerName,
    },
    /// It is unknown whether the note is or will be accepted.
    ///
    /// Asking for its status, or submitting the same note again under the same identifier,
    /// is safe and resolves the question.
    Unknown {
        /// Identifier to ask for.
        note: NoteId,
        /// Delay after which to ask again.
        retry_after_ms: u64,
    },
}

/// Status of the note with a given identifier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum NoteStatus {
    /// The note was accepted.
    Accepted {
        /// Revision that the note led to.
        revision: Revision,
    },
    /// The last recorded submission was refused.
    Refused {
        /// The first reasons for the refusal.
        clashes: Vec<Clash>,
    },
    /// No note with that identifier is on record.
    ///
    /// A submission in progress may still be accepted.
    NotFound,
}

/// Reason for which the store returns no result; the note was not accepted.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The key-value service did not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The stored configuration is invalid.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The values to write cannot be computed.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// A record cannot be decoded.
    #[error("a record is malformed: {0}")]
    Record(#[from] serde_json::Error),
    /// A key that is written only once holds different content.
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
/// Any number of processes may hold a store. Together they accept notes in one total order,
/// because every acceptance is a compare-and-swap of the same head.
pub struct NoteStore {
    service: Arc<dyn KeyValue>,
    reader: Reader,
    history: History,
    refusals: RefusalLog,
    submit_lock: Mutex<()>,
}

impl NoteStore {
    /// Creates a store on `service`.
    pub fn new(service: Arc<dyn KeyValue>) -> Self {
        Self {
            reader: Reader::new(service.clone()),
            history: History::new(service.clone()),
            refusals: RefusalLog::new(service.clone()),
            submit_lock: Mutex::new(()),
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
    /// After an acceptance it contains the note, so that the process can announce it to its
    /// peers immediately.
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
                "accepted note {} of partner {} as revision {revision}",
                note.id,
                note.partner
            );
        }
        Ok(result)
    }

    /// Returns the status of the note with `id`.
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

    /// Reads up to `limit` accepted notes and up to `limit` refused ones, both from revision
    /// `from` on.
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
        let submit_lock = tokio::time::timeout_at(deadline, self.submit_lock.lock()).await;
        let _guard = submit_lock.map_err(|_| timed_out())?;
        let mut may_be_accepted = false;
        let result = self
            .submit_locked(submission, deadline, &mut may_be_accepted)
            .await;
        match result {
            Err(_) if may_be_accepted => Ok(unknown(submission)),
            result => result,
        }
    }

    /// Submits a note while holding the submit lock.
    ///
    /// Sets `may_be_accepted` to whether a swap without a reply may have accepted the note.
    async fn submit_locked(
        &self,
        submission: &Submission,
        deadline: Instant,
        may_be_accepted: &mut bool,
    ) -> Result<NoteResult, StoreError> {
        let mut loaded = self.reader.refresh().await?;
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            if let Some(result) = self.find_known_result(&loaded, submission).await? {
                return Ok(result);
            }
            // The head has moved past every earlier swap, and none of them accepted the note.
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
                    self.reader.adopt_proposal(&loaded, &proposal, stored_at)?;
                    collector::spawn_collection(self.service.clone(), &proposal);
                    let revision = proposal.head.revision;
                    return Ok(NoteResult::Accepted { revision });
                }
                SwapResult::Unknown => return Ok(unknown(submission)),
                SwapResult::Lost {
                    may_have_taken_effect,
                } => {
                    *may_be_accepted = may_have_taken_effect;
                    loaded = self.reader.refresh().await?;
                    let head = loaded.snapshot.head();
                    collector::spawn_orphan_deletion(self.service.clone(), head, written);
                }
            }
        }
        Err(timed_out())
    }

    /// Returns the result if a note with the same identifier is already accepted.
    async fn find_known_result(
        &self,
        loaded: &LoadedSnapshot,
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
        loaded: &LoadedSnapshot,
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
    PlatformError::Unavailable(SUBMIT_TIMED_OUT.to_owned()).into()
}
