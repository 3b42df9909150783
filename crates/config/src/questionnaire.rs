//! Generates the declarations of a new workspace from its answers to a questionnaire.
//!
//! The workspace states its load. Its limit is the number of concurrent requests in the
//! busiest minute (rate times mean run time, by Little's law) plus headroom for bursts.
//! Operators review the generated sections like any other change.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use crate::checked_file::{CheckedFile, FieldError, SectionSchema};
use crate::document::{Id, Kind, Properties, Section};
use crate::schema::{Field, Presence, Reader, ValueType};
use crate::{Report, key};

/// The limit, as a percentage of the concurrent requests in the busiest minute.
const HEADROOM_PERCENT: u64 = 150;

const WORKSPACE: &[Field] = &[
    Field::required("name", ValueType::Name, "Name of the new team."),
    Field::default(
        "share",
        ValueType::Count(1),
        "1",
        "Requested weight of the team when a pool is full.",
    ),
    Field::required(
        "busiest-rate",
        ValueType::Count(1),
        "Requests per second in the busiest minute.",
    ),
    Field::required(
        "mean-run-time",
        ValueType::Duration,
        "Mean run time of a request.",
    ),
    Field::optional(
        "limit",
        ValueType::Count(1),
        "Maximum number of requests at once; by default computed from the load.",
    ),
    Field::default(
        "when-cut-off",
        ValueType::Choice(&["serve", "refuse"]),
        "serve",
        "What an entry host does when its configuration may be out of date.",
    ),
];

const QUEUE: &[Field] = &[
    Field::required("name", ValueType::Name, "Name of the new queue."),
    Field::required(
        "pool",
        ValueType::Name,
        "Pool whose endpoints serve the queue.",
    ),
    Field::required(
        "path",
        ValueType::Path,
        "Path prefix that selects the queue.",
    ),
    Field::required(
        "longest-run-time",
        ValueType::Duration,
        "Maximum time a request may run.",
    ),
    Field::required(
        "longest-wait",
        ValueType::Duration,
        "Maximum time a request is worth waiting for.",
    ),
];

const KEY: &[Field] = &[Field::default(
    "name",
    ValueType::Name,
    "first",
    "Name of the team's first access key.",
)];

/// The schemas of the sections of a questionnaire.
pub const SECTIONS: &[SectionSchema] = &[
    SectionSchema {
        title: "team",
        is_required: true,
        fields: WORKSPACE,
    },
    SectionSchema {
        title: "queue",
        is_required: false,
        fields: QUEUE,
    },
    SectionSchema {
        title: "key",
        is_required: false,
        fields: KEY,
    },
];

/// The declarations of a new workspace, and the token of its first access key.
#[derive(Clone, Debug)]
pub struct Onboarding {
    /// Sections to declare: the workspace, its queue if asked for, and its access key.
    pub sections: Vec<Section>,
    /// Token that the workspace presents; it isn't stored and can't be recovered.
    pub token: String,
}

impl fmt::Display for Onboarding {
    /// Writes the sections as INI, without the token.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sections: Vec<String> =
            self.sections.iter().map(ToString::to_string).collect();
        f.write_str(&sections.join("\n"))
    }
}

/// Generates declarations from the text of the filled-in questionnaire at `path`.
///
/// # Errors
///
/// Returns all mistakes in the answers.
///
/// # Example
///
/// ```
/// use std::path::Path;
/// use rhubarbrill_config::questionnaire;
///
/// let answers = "[team]\nname = green\nbusiest-rate = 20\nmean-run-time = 400ms\n";
/// let onboarding = questionnaire::generate(Path::new("green.ini"), answers)?;
/// assert!(onboarding.to_string().contains("limit = 12"));
/// # Ok::<(), rhubarbrill_config::Report>(())
/// ```
pub fn generate(path: &Path, answers: &str) -> Result<Onboarding, Report> {
    let mut file = CheckedFile::new(path, answers, SECTIONS);
    let workspace = file.read_section("team", Workspace::read);
    let onboarding = workspace.and_then(|workspace| workspace.onboarding(&mut file));
    file.finish(onboarding)
}

/// Returns an empty questionnaire as INI text, with optional keys commented out.
pub fn template() -> String {
    SECTIONS.iter().map(template_section).collect()
}

fn template_section(section: &SectionSchema) -> String {
    let comment_prefix = if section.is_required { "" } else { "; " };
    let mut text = format!("{comment_prefix}[{}]\n", section.title);
    for field in section.fields {
        let (comment_prefix, value) = match field.presence {
            Presence::Required => (comment_prefix, ""),
            Presence::Optional => ("; ", ""),
            Presence::Default(default) => ("; ", default),
        };
        text += &format!("; {} ({})\n", field.description, field.value);
        text += &format!("{comment_prefix}{} = {value}\n", field.key);
    }
    text + "\n"
}

struct Workspace {
    name: String,
    busiest_rate: u32,
    properties: Properties,
}

impl Workspace {
    fn read(reader: Reader<'_>) -> Result<Self, FieldError> {
        let busiest_rate = reader.count("busiest-rate")?;
        let limit = match reader.get("limit") {
            Some(limit) => limit.to_owned(),
            None => concurrency_limit(busiest_rate, reader.duration("mean-run-time")?)
                .to_string(),
        };
        Ok(Self {
            name: reader.text("name")?.to_owned(),
            busiest_rate,
            properties: [
                ("share", reader.text("share")?),
                ("limit", limit.as_str()),
                ("when-cut-off", reader.text("when-cut-off")?),
            ]
            .into_iter()
            .collect(),
        })
    }

    fn onboarding(self, file: &mut CheckedFile) -> Option<Onboarding> {
        let rate = self.busiest_rate;
        let queue = file.read_optional_section("queue", |reader| queue(reader, rate));
        let grant = file.read_section("key", |reader| {
            key::grant(&self.name, reader.text("name")?).map_err(FieldError::from)
        })?;
        let workspace = Section {
            id: Id::new(Kind::Workspace, self.name),
            properties: self.properties,
        };
        let sections = [Some(workspace), queue, Some(grant.section)];
        Some(Onboarding {
            sections: sections.into_iter().flatten().collect(),
            token: grant.token,
        })
    }
}

fn queue(reader: Reader<'_>, rate: u32) -> Result<Section, FieldError> {
    let waiting =
        concurrent_requests(rate, reader.duration("longest-wait")?, 100).to_string();
    let properties = [
        ("pool", reader.text("pool")?),
        ("path", reader.text("path")?),
        ("max-run-time", reader.text("longest-run-time")?),
        ("max-waiting", waiting.as_str()),
    ];
    Ok(Section {
        id: Id::new(Kind::Queue, reader.text("name")?),
        properties: properties.into_iter().collect(),
    })
}

fn concurrency_limit(rate: u32, run_time: Duration) -> u64 {
    concurrent_requests(rate, run_time, HEADROOM_PERCENT)
}

/// Returns the number of concurrent requests by Little's law, times `percent` / 100.
///
/// `rate` is in requests per second. The result is rounded up and at least one.
fn concurrent_requests(rate: u32, duration: Duration, percent: u64) -> u64 {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let scaled = u64::from(rate)
        .saturating_mul(millis)
        .saturating_mul(percent);
    scaled.div_ceil(100 * 1_000).clamp(1, u64::from(u32::MAX))
}
