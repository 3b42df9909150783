//! Faults that tests bring into a running process.
//!
//! In builds with debug assertions, the variable `RHUBARBRILL_FAULTS` names places and texts, as
//! `PLACE=TEXT` separated by commas: the program panics where it handles such a text at such a
//! place. Other builds ignore the variable.

#[cfg(debug_assertions)]
use std::sync::atomic::{AtomicBool, Ordering};

/// Variable that names the faults.
#[cfg(debug_assertions)]
const VARIABLE: &str = "RHUBARBRILL_FAULTS";

/// A place where a fault can be brought in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Place {
    /// The submission of a job, by its payload.
    Call,
    /// An order to start a run, by the payload of its job.
    Order,
    /// The decision to start a run, by the payload of its job.
    Scheduling,
    /// A change of the process's copy of the store, by its key. The fault occurs once.
    View,
}

#[cfg(debug_assertions)]
impl Place {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Order => "order",
            Self::Scheduling => "scheduling",
            Self::View => "view",
        }
    }
}

/// Panics if a fault is brought in at a place for a text.
#[cfg(debug_assertions)]
pub(crate) fn check(place: Place, text: &str) {
    static HAS_OCCURRED: AtomicBool = AtomicBool::new(false);
    let Ok(faults) = std::env::var(VARIABLE) else {
        return;
    };
    let is_fault = |fault: &str| {
        let (name, part) = fault.split_once('=').unwrap_or_default();
        name == place.as_str() && text.contains(part)
    };
    if !faults.split(',').any(is_fault) {
        return;
    }
    let is_first = !HAS_OCCURRED.swap(true, Ordering::Relaxed);
    assert!(
        place == Place::View && !is_first,
        "a fault was brought in at {place:?}"
    );
}

/// Does nothing, as no faults can be brought in.
#[cfg(not(debug_assertions))]
pub(crate) const fn check(_place: Place, _text: &str) {}
