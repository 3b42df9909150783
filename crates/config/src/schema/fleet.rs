//! Sections of declarations.

use super::{Field, Value};
use crate::document::Kind;

const YES_NO: Value = Value::Choice(&["yes", "no"]);

const ZONE: &[Field] = &[Field::required(
    "region",
    Value::Name,
    "Region the availability zone lies in.",
)];

const WORKSPACE: &[Field] = &[
    Field::required(
        "share",
        Value::Count(1),
        "Weight of the team when a pool is full.",
    ),
    Field::required(
        "limit",
        Value::Count(0),
        "Most requests that run at once over the whole fleet.",
    ),
    Field::default(
        "when-cut-off",
        Value::Choice(&["serve", "refuse"]),
        "serve",
        "What an entry host does once its configuration may be out of date.",
    ),
];

const POOL: &[Field] = &[
    Field::required(
        "max-out",
        Value::Amount,
        "Most hosts out of service at once.",
    ),
    Field::required(
        "max-out-per-rack",
        Value::Count(0),
        "Most hosts of one rack out of service at once.",
    ),
    Field::required(
        "max-out-per-zone",
        Value::Count(0),
        "Most hosts of one availability zone out of service at once.",
    ),
    Field::default(
        "spare",
        YES_NO,
        "no",
        "Whether other pools may take its hosts.",
    ),
];

const HOST: &[Field] = &[
    Field::required(
        "pool",
        Value::Reference(Kind::Pool),
        "Pool the host belongs to.",
    ),
    Field::required(
        "zone",
        Value::Reference(Kind::Zone),
        "Availability zone the host stands in.",
    ),
    Field::required("rack", Value::Name, "Rack the host stands in."),
    Field::required("address", Value::Address, "Where the endpoint answers."),
    Field::required(
        "slots",
        Value::Count(1),
        "Requests the endpoint runs at once.",
    ),
    Field::required(
        "connections",
        Value::Count(1),
        "Connections the endpoint accepts.",
    ),
];

const QUEUE: &[Field] = &[
    Field::required(
        "pool",
        Value::Reference(Kind::Pool),
        "Pool whose endpoints answer.",
    ),
    Field::required("path", Value::Path, "Path prefix that selects the queue."),
    Field::default("open", YES_NO, "no", "Whether requests need no key."),
    Field::optional(
        "team",
        Value::Reference(Kind::Workspace),
        "Team that the work of an open queue counts for; only with open = yes.",
    ),
    Field::required(
        "max-run-time",
        Value::Duration,
        "Longest time a request runs at an endpoint.",
    ),
    Field::default(
        "stops-on-close",
        YES_NO,
        "no",
        "Whether endpoints stop a request's work when its connection closes; if not, the \
         work counts as running for max-run-time.",
    ),
    Field::required(
        "max-waiting",
        Value::Count(0),
        "Most requests that one entry host keeps waiting.",
    ),
];

const KEY: &[Field] = &[
    Field::required(
        "salt",
        Value::Hex { least: 8, most: 64 },
        "Salt hashed before the secret.",
    ),
    Field::required(
        "digest",
        Value::Hex {
            least: 32,
            most: 32,
        },
        "SHA-256 of salt and secret.",
    ),
];

/// Returns the keys that a section of this kind may hold.
pub const fn fields(kind: Kind) -> &'static [Field] {
    match kind {
        Kind::Zone => ZONE,
        Kind::Workspace => WORKSPACE,
        Kind::Pool => POOL,
        Kind::Host => HOST,
        Kind::Queue => QUEUE,
        Kind::Key => KEY,
    }
}

/// Returns the title of a section of this kind, as it is written.
pub const fn title(kind: Kind) -> &'static str {
    match kind {
        Kind::Zone => "[zone NAME]",
        Kind::Workspace => "[team NAME]",
        Kind::Pool => "[pool NAME]",
        Kind::Host => "[host NAME]",
        Kind::Queue => "[queue NAME]",
        Kind::Key => "[key TEAM/NAME]",
    }
}
