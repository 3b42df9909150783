//! Schemas of the sections of declarations.

use super::{Field, ValueType};
use crate::document::Kind;

const YES_NO: ValueType = ValueType::Choice(&["yes", "no"]);

const ZONE: &[Field] = &[Field::required(
    "region",
    ValueType::Name,
    "Region that contains the availability zone.",
)];

const WORKSPACE: &[Field] = &[
    Field::required(
        "share",
        ValueType::Count(1),
        "Weight of the team when a pool is full.",
    ),
    Field::required(
        "limit",
        ValueType::Count(0),
        "Maximum number of requests running at once in the whole fleet.",
    ),
    Field::default(
        "when-cut-off",
        ValueType::Choice(&["serve", "refuse"]),
        "serve",
        "What an entry host does when its configuration may be out of date.",
    ),
];

const POOL: &[Field] = &[
    Field::required(
        "max-out",
        ValueType::CountOrPercent,
        "Maximum number of hosts out of service at once.",
    ),
    Field::required(
        "max-out-per-rack",
        ValueType::Count(0),
        "Maximum number of hosts of one rack out of service at once.",
    ),
    Field::required(
        "max-out-per-zone",
        ValueType::Count(0),
        "Maximum number of hosts of one availability zone out of service at once.",
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
        ValueType::Reference(Kind::Pool),
        "Pool the host belongs to.",
    ),
    Field::required(
        "zone",
        ValueType::Reference(Kind::Zone),
        "Availability zone of the host.",
    ),
    Field::required("rack", ValueType::Name, "Rack of the host."),
    Field::required(
        "address",
        ValueType::Address,
        "Address on which the endpoint accepts requests.",
    ),
    Field::required(
        "slots",
        ValueType::Count(1),
        "Number of requests that the endpoint runs at once.",
    ),
    Field::required(
        "connections",
        ValueType::Count(1),
        "Number of connections that the endpoint accepts.",
    ),
];

const QUEUE: &[Field] = &[
    Field::required(
        "pool",
        ValueType::Reference(Kind::Pool),
        "Pool whose endpoints serve the queue.",
    ),
    Field::required(
        "path",
        ValueType::Path,
        "Path prefix that selects the queue.",
    ),
    Field::default(
        "open",
        YES_NO,
        "no",
        "Whether requests are accepted without an access key.",
    ),
    Field::optional(
        "team",
        ValueType::Reference(Kind::Workspace),
        "Team to which the requests of an open queue are accounted; only with open = \
         yes.",
    ),
    Field::required(
        "max-run-time",
        ValueType::Duration,
        "Maximum time a request runs at an endpoint.",
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
        ValueType::Count(0),
        "Maximum number of requests waiting at one entry host.",
    ),
];

const KEY: &[Field] = &[
    Field::required(
        "salt",
        ValueType::Hex { min: 8, max: 64 },
        "Salt hashed before the secret.",
    ),
    Field::required(
        "digest",
        ValueType::Hex { min: 32, max: 32 },
        "SHA-256 of salt and secret.",
    ),
];

/// Returns the schema of the keys of a section of this kind.
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

/// Returns the form of the title of a section of this kind, with brackets.
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
