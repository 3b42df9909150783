//! Acceptance of a proposal as the next revision.

use std::thread;

use rhubarbrill_edge::store::{Entry, Expect, Store, Swap, Swapped};

use super::record::{
    HEAD_KEY, Head, StoredRevision, parse, part_prefix, revision_key, serialize,
};
use super::retry::SwapFailure;
use super::{Configuration, ConflictingRevision, Error, Outcome, Proposal};

/// The head as it was last observed, with the expectation for the next swap of it.
struct ObservedHead {
    head: Head,
    expect: Expect,
}

/// Outcome of the write of a revision record.
enum Written {
    /// The record holds this proposal.
    Ours(StoredRevision),
    /// The record with this number holds another proposal.
    Theirs(StoredRevision),
}

impl<S: Store> Configuration<'_, S> {
    /// Makes a proposal the next revision, unless another one was accepted first.
    ///
    /// # Errors
    ///
    /// Fails when the change is certain not to be accepted, now or later: the store is
    /// unreachable, or its reads are stale.
    pub fn accept(&self, proposal: &Proposal) -> Result<Outcome, Error> {
        let observed = self.observe_head(proposal.base)?;
        if observed.head.number > proposal.base {
            return Ok(Outcome::Conflict(ConflictingRevision::from(&observed.head)));
        }
        let content =
            self.store_content(proposal.base + 1, proposal.nonce, &proposal.delta)?;
        let stored = StoredRevision::new(proposal, content);
        match self.write_revision(stored) {
            Ok(Written::Ours(stored)) => Ok(self.confirm(&observed, &stored)),
            Ok(Written::Theirs(stored)) => {
                Ok(self.resolve_conflict(&observed, &stored, proposal))
            }
            Err(RevisionWriteError::NotWritten(error)) => Err(error),
            Err(RevisionWriteError::Indeterminate(error)) => Ok(Outcome::Unknown(error)),
        }
    }

    /// Returns the head by a linearizable read, which a plain read of a lagging store
    /// isn't.
    ///
    /// The unchanged head is written again, so each watch of it receives one extra
    /// change.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't respond, or when a record is malformed.
    pub fn confirm_head(&self) -> Result<Head, Error> {
        let Some(entry) = self.get(HEAD_KEY)? else {
            return Ok(Head::default());
        };
        let head = Head::parse(&entry)?;
        let swap = head_swap(&head, Expect::Version(entry.version))?;
        match self.swap(&swap).map_err(|failure| failure.error)? {
            Swapped::Done(_) => Ok(head),
            Swapped::Conflict(found) => Ok(ObservedHead::new(found.as_ref())?.head),
        }
    }

    /// Reads the head until it shows at least revision `base`.
    fn observe_head(&self, base: u64) -> Result<ObservedHead, Error> {
        for _ in 0..self.attempts {
            let observed = ObservedHead::new(self.get(HEAD_KEY)?.as_ref())?;
            if observed.head.number >= base {
                return Ok(observed);
            }
            thread::sleep(self.initial_backoff);
        }
        Err(Error::stale(format!(
            "{HEAD_KEY} has not reached revision {base}"
        )))
    }

    fn write_revision(
        &self,
        stored: StoredRevision,
    ) -> Result<Written, RevisionWriteError> {
        let key = revision_key(stored.number);
        let swap = Swap {
            value: Some(
                serialize(&key, &stored).map_err(RevisionWriteError::NotWritten)?,
            ),
            key,
            expect: Expect::Absent,
            lease: None,
        };
        match self.swap(&swap).map_err(RevisionWriteError::from)? {
            Swapped::Done(_) => Ok(Written::Ours(stored)),
            Swapped::Conflict(None) => {
                Err(RevisionWriteError::Indeterminate(Error::stale(swap.key)))
            }
            Swapped::Conflict(Some(entry)) => match parse::<StoredRevision>(&entry) {
                Ok(found) if found.nonce == stored.nonce => Ok(Written::Ours(found)),
                Ok(found) => Ok(Written::Theirs(found)),
                Err(error) => Err(RevisionWriteError::NotWritten(error)),
            },
        }
    }

    /// Advances the head to this proposal's revision.
    ///
    /// An operator who was suspended while hundreds of changes were accepted may have
    /// written a number that was used and deleted long before. Readers ignore such a
    /// record, so the outcome is unknown.
    fn confirm(&self, observed: &ObservedHead, stored: &StoredRevision) -> Outcome {
        match self.advance(observed, stored) {
            Ok(head) if stored.number <= head.floor => Outcome::Unknown(Error::stale(
                format!("revision {} has been deleted", stored.number),
            )),
            Ok(head) => {
                self.snapshot_if_due(&head);
                Outcome::Accepted(stored.number)
            }
            Err(error) => Outcome::Unknown(error),
        }
    }

    /// Deletes the parts of this proposal and advances the head to the other's revision,
    /// since the other operator may have crashed before doing so.
    fn resolve_conflict(
        &self,
        observed: &ObservedHead,
        stored: &StoredRevision,
        proposal: &Proposal,
    ) -> Outcome {
        self.delete_all(&part_prefix(stored.number, proposal.nonce), |_| true);
        match self.advance(observed, stored) {
            Ok(head) if head.number > stored.number => {
                Outcome::Conflict(ConflictingRevision::from(&head))
            }
            Ok(_) | Err(_) => Outcome::Conflict(ConflictingRevision {
                revision: stored.number,
                author: stored.author.clone(),
            }),
        }
    }

    /// Advances the head to `stored` from the revision before it, and returns a head that
    /// has reached `stored`.
    fn advance(
        &self,
        observed: &ObservedHead,
        stored: &StoredRevision,
    ) -> Result<Head, Error> {
        let mut head = observed.head.clone();
        let mut expect = observed.expect;
        for _ in 0..self.attempts {
            if head.number >= stored.number {
                return Ok(head);
            }
            let next = head.advanced_to(stored);
            let swap = head_swap(&next, expect)?;
            match self.swap(&swap).map_err(|failure| failure.error)? {
                Swapped::Done(_) => return Ok(next),
                Swapped::Conflict(found) => {
                    ObservedHead { head, expect } = ObservedHead::new(found.as_ref())?;
                }
            }
        }
        Err(Error::stale(format!("{HEAD_KEY} changed on every attempt")))
    }
}

/// Error of the write of a revision record.
enum RevisionWriteError {
    /// The record was not written and won't be.
    NotWritten(Error),
    /// The record may have been written, or may still be.
    Indeterminate(Error),
}

impl From<SwapFailure> for RevisionWriteError {
    fn from(failure: SwapFailure) -> Self {
        let error = failure.error.into();
        if failure.may_have_applied {
            return Self::Indeterminate(error);
        }
        Self::NotWritten(error)
    }
}

impl ObservedHead {
    fn new(entry: Option<&Entry>) -> Result<Self, Error> {
        Ok(match entry {
            Some(entry) => Self {
                head: Head::parse(entry)?,
                expect: Expect::Version(entry.version),
            },
            None => Self {
                head: Head::default(),
                expect: Expect::Absent,
            },
        })
    }
}

impl From<&Head> for ConflictingRevision {
    fn from(head: &Head) -> Self {
        Self {
            revision: head.number,
            author: head.author.clone(),
        }
    }
}

pub(super) fn head_swap(head: &Head, expect: Expect) -> Result<Swap, Error> {
    Ok(Swap {
        key: HEAD_KEY.to_owned(),
        expect,
        value: Some(serialize(HEAD_KEY, head)?),
        lease: None,
    })
}
