//! Accepting a change.

use std::thread;

use rhubarbrill_edge::store::{Entry, Expect, Store, Swap, Swapped};

use super::certain::Failure;
use super::record::{HEAD_KEY, Head, Stored, parse, part_prefix, revision_key, write};
use super::{Configuration, Error, Outcome, Proposal, Rival};

/// The head as it was last seen.
struct Seen {
    head: Head,
    expect: Expect,
}

/// How the write of a revision ended.
enum Written {
    /// The revision is this proposal's.
    Own(Stored),
    /// The number belongs to another proposal.
    Other(Stored),
}

impl<S: Store> Configuration<'_, S> {
    /// Makes a proposal the next revision, unless another came first.
    ///
    /// # Errors
    ///
    /// Fails when the change certainly isn't accepted and never will be: the store can't be
    /// reached, or its answers are out of date.
    pub fn accept(&self, proposal: &Proposal) -> Result<Outcome, Error> {
        let seen = self.seen_at(proposal.base)?;
        if seen.head.number > proposal.base {
            return Ok(Outcome::Conflict(Rival::from(&seen.head)));
        }
        let content = self.place(proposal.base + 1, proposal.nonce, &proposal.delta)?;
        let stored = Stored::new(proposal, content);
        match self.write_revision(stored) {
            Ok(Written::Own(stored)) => Ok(self.confirm(&seen, &stored)),
            Ok(Written::Other(stored)) => Ok(self.give_way(&seen, &stored, proposal)),
            Err(Doubt::Certain(error)) => Err(error),
            Err(Doubt::Open(error)) => Ok(Outcome::Unknown(error)),
        }
    }

    /// Returns the newest revision for certain, which a read that lags doesn't.
    ///
    /// Writes the head again as it is, so each watch of it sees one change more.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer, or a record can't be read.
    pub fn confirm_head(&self) -> Result<Head, Error> {
        let Some(entry) = self.get(HEAD_KEY)? else {
            return Ok(Head::default());
        };
        let head = Head::parse(&entry)?;
        let swap = head_swap(&head, Expect::Version(entry.version))?;
        match self.swap(&swap).map_err(|failure| failure.error)? {
            Swapped::Done(_) => Ok(head),
            Swapped::Conflict(found) => Ok(Seen::new(found.as_ref())?.head),
        }
    }

    /// Reads the head until it shows at least revision `base`.
    fn seen_at(&self, base: u64) -> Result<Seen, Error> {
        for _ in 0..self.attempts {
            let seen = Seen::new(self.get(HEAD_KEY)?.as_ref())?;
            if seen.head.number >= base {
                return Ok(seen);
            }
            thread::sleep(self.first_wait);
        }
        Err(Error::behind(format!(
            "{HEAD_KEY} doesn't show revision {base}"
        )))
    }

    fn write_revision(&self, stored: Stored) -> Result<Written, Doubt> {
        let key = revision_key(stored.number);
        let swap = Swap {
            value: Some(write(&key, &stored).map_err(Doubt::Certain)?),
            key,
            expect: Expect::Absent,
            lease: None,
        };
        match self.swap(&swap).map_err(Doubt::from)? {
            Swapped::Done(_) => Ok(Written::Own(stored)),
            Swapped::Conflict(None) => Err(Doubt::Open(Error::behind(swap.key))),
            Swapped::Conflict(Some(entry)) => match parse::<Stored>(&entry) {
                Ok(found) if found.nonce == stored.nonce => Ok(Written::Own(found)),
                Ok(found) => Ok(Written::Other(found)),
                Err(error) => Err(Doubt::Certain(error)),
            },
        }
    }

    /// Moves the head to this proposal's revision.
    ///
    /// An operator who was held up while hundreds of others went on may have written under
    /// a number that was used and deleted long before; readers don't look there.
    fn confirm(&self, seen: &Seen, stored: &Stored) -> Outcome {
        match self.advance(seen, stored) {
            Ok(head) if stored.number <= head.floor => Outcome::Unknown(Error::behind(
                format!("revision {} is no longer kept", stored.number),
            )),
            Ok(head) => {
                self.tidy(&head);
                Outcome::Accepted(stored.number)
            }
            Err(error) => Outcome::Unknown(error),
        }
    }

    /// Moves the head to the other's revision, since nobody else may be there to do it.
    fn give_way(&self, seen: &Seen, stored: &Stored, proposal: &Proposal) -> Outcome {
        self.delete_all(&part_prefix(stored.number, proposal.nonce), |_| true);
        match self.advance(seen, stored) {
            Ok(head) if head.number > stored.number => {
                Outcome::Conflict(Rival::from(&head))
            }
            Ok(_) | Err(_) => Outcome::Conflict(Rival {
                revision: stored.number,
                author: stored.author.clone(),
            }),
        }
    }

    /// Moves the head from the revision before `stored` to it, and returns the head that
    /// has reached it.
    fn advance(&self, seen: &Seen, stored: &Stored) -> Result<Head, Error> {
        let mut head = seen.head.clone();
        let mut expect = seen.expect;
        for _ in 0..self.attempts {
            if head.number >= stored.number {
                return Ok(head);
            }
            let next = head.reached(stored);
            let swap = head_swap(&next, expect)?;
            match self.swap(&swap).map_err(|failure| failure.error)? {
                Swapped::Done(_) => return Ok(next),
                Swapped::Conflict(found) => {
                    Seen { head, expect } = Seen::new(found.as_ref())?;
                }
            }
        }
        Err(Error::behind(format!("{HEAD_KEY} keeps changing")))
    }
}

/// Why a revision couldn't be written.
enum Doubt {
    /// It certainly isn't there.
    Certain(Error),
    /// It may be there, or may yet be.
    Open(Error),
}

impl From<Failure> for Doubt {
    fn from(failure: Failure) -> Self {
        let error = failure.error.into();
        if failure.is_doubtful {
            return Self::Open(error);
        }
        Self::Certain(error)
    }
}

impl Seen {
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

impl From<&Head> for Rival {
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
        value: Some(write(HEAD_KEY, head)?),
        lease: None,
    })
}
