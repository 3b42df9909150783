//! The features file, which switches scheduling features of a deployment on.
//!
//! It has one section, `[features]`, with a key for each feature. A feature whose key is
//! missing is off.

use std::path::Path;

use rhubarbrill_core::job::{Feature, Features};

use crate::Report;
use crate::checked_file::{self, CheckedFile, FieldError, SectionSchema};
use crate::schema::{Field, Reader, ValueType};

const TITLE: &str = "features";

/// Values of a key.
const FLAG: ValueType = ValueType::Choice(&["no", "yes"]);

/// The section of the file with all its keys.
pub const SECTIONS: &[SectionSchema] = &[SectionSchema {
    title: TITLE,
    is_required: true,
    fields: &[
        switch(Feature::Admission, "Reject jobs that can't be served."),
        switch(
            Feature::DemandPatterns,
            "Move hosts before recurring demand.",
        ),
        switch(
            Feature::EndpointPace,
            "Place tasks by the speed of endpoints.",
        ),
        switch(
            Feature::FeasibleSet,
            "Serve the jobs that can end on time first.",
        ),
        switch(
            Feature::HandOver,
            "Let a leader without the store hand over.",
        ),
        switch(
            Feature::Interference,
            "Separate tasks that slow each other down.",
        ),
        switch(Feature::RunTimeEstimates, "Learn run times by queue."),
    ],
}];

const fn switch(feature: Feature, help: &'static str) -> Field {
    Field::default(feature.as_str(), FLAG, "no", help)
}

/// Reads a features file.
///
/// # Errors
///
/// Returns all mistakes, or a single one if the file can't be read.
pub fn read(path: &Path) -> Result<Features, Report> {
    parse(path, &checked_file::load(path)?)
}

/// Reads features from the text of the file at `path`, which is only used in messages.
///
/// # Errors
///
/// Returns all mistakes.
pub fn parse(path: &Path, text: &str) -> Result<Features, Report> {
    let mut file = CheckedFile::new(path, text, SECTIONS);
    let features = file.read_section(TITLE, features);
    file.finish(features)
}

fn features(reader: Reader<'_>) -> Result<Features, FieldError> {
    let mut enabled = Features::NONE;
    for feature in Feature::ALL {
        if reader.flag(feature.as_str())? {
            enabled = enabled.with(feature);
        }
    }
    Ok(enabled)
}
