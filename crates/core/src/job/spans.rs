//! Sets of numbers that mostly follow one another, such as those of completed occurrences.

use serde::{Deserialize, Serialize};

/// A set of numbers, as spans in ascending order that neither touch nor overlap.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Spans(Vec<Span>);

/// The first and the last of some numbers that follow one another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Span(u32, u32);

impl Spans {
    /// Returns whether the set is empty.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a number belongs to the set.
    pub fn contains(&self, number: u32) -> bool {
        let position = self.0.partition_point(|span| span.1 < number);
        self.0.get(position).is_some_and(|span| span.0 <= number)
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        let position = self.0.partition_point(|span| span.1 < number);
        let next = self.0.get(position).copied();
        if next.is_some_and(|next| next.0 <= number) {
            return;
        }
        let extends_earlier =
            position > 0 && self.0[position - 1].1.checked_add(1) == Some(number);
        let extends_next = next.is_some_and(|next| number.checked_add(1) == Some(next.0));
        match (extends_earlier, extends_next) {
            (true, true) => {
                self.0[position - 1].1 = self.0[position].1;
                self.0.remove(position);
            }
            (true, false) => self.0[position - 1].1 = number,
            (false, true) => self.0[position].0 = number,
            (false, false) => self.0.insert(position, Span(number, number)),
        }
    }

    /// Removes the numbers that follow one another from `first` on, and returns the first one
    /// that isn't in the set.
    pub fn remove_from(&mut self, first: u32) -> u32 {
        match self.0.first() {
            Some(&span) if span.0 <= first => {
                self.0.remove(0);
                first.max(span.1.saturating_add(1))
            }
            _ => first,
        }
    }

    /// Returns the first number from `first` on that isn't in the set.
    pub fn first_absent_from(&self, first: u32) -> u32 {
        let position = self.0.partition_point(|span| span.1 < first);
        match self.0.get(position) {
            Some(span) if span.0 <= first => span.1.saturating_add(1),
            _ => first,
        }
    }
}
