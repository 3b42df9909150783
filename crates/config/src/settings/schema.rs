//! Schemas of the sections of the daemon's settings file.

use crate::checked_file::SectionSchema;
use crate::schema::{Field, ValueType};

const ENTRY: &[Field] = &[
    Field::required(
        "name",
        ValueType::Name,
        "Name of the entry host; its replacement takes it over.",
    ),
    Field::required(
        "zone",
        ValueType::Name,
        "Availability zone of the entry host.",
    ),
    Field::default(
        "listen",
        ValueType::Address,
        "0.0.0.0:8080",
        "Address on which callers connect.",
    ),
    Field::default(
        "operators",
        ValueType::Address,
        "127.0.0.1:8081",
        "Address for operators, health checks and metrics.",
    ),
    Field::default(
        "peers-listen",
        ValueType::Address,
        "0.0.0.0:8082",
        "Address on which other entry hosts connect.",
    ),
    Field::optional(
        "advertise",
        ValueType::Address,
        "Address advertised to other entry hosts; required when peers-listen is 0.0.0.0.",
    ),
];

const PEERS: &[Field] = &[
    Field::optional(
        "addresses",
        ValueType::Addresses,
        "Entry hosts that are asked for the members while the store is down.",
    ),
    Field::optional(
        "secret-file",
        ValueType::Text,
        "File with the secret that entry hosts share, relative to the settings file.",
    ),
    Field::optional(
        "secret",
        ValueType::Text,
        "The secret itself; use secret-file outside tests.",
    ),
    Field::default(
        "heartbeat",
        ValueType::Duration,
        "1s",
        "Interval between heartbeats.",
    ),
    Field::default(
        "stale-after",
        ValueType::Duration,
        "30s",
        "Time without contact to the store, directly or through peers, after which the \
         configuration may be out of date; see when-cut-off.",
    ),
];

/// The prefix of all keys in the store, for settings files with a `[store]` section.
pub const STORE_PREFIX: Field = Field::default(
    "prefix",
    ValueType::Text,
    "rhubarbrill/",
    "Prefix of all keys in the store.",
);

/// The timeout of calls to the store, for settings files with a `[store]` section.
pub const STORE_TIMEOUT: Field = Field::default(
    "timeout",
    ValueType::Duration,
    "2s",
    "Timeout of a single call to the store.",
);

const STORE: &[Field] = &[
    Field::required(
        "kind",
        ValueType::Choice(&["etcd", "memory"]),
        "The platform's store, or one in memory for a single entry host.",
    ),
    Field::optional("urls", ValueType::Urls, "URLs of the store; only for etcd."),
    STORE_PREFIX,
    STORE_TIMEOUT,
    Field::default(
        "lease",
        ValueType::Duration,
        "10s",
        "Time to live of the entry host's member lease.",
    ),
];

const DECLARATIONS: &[Field] = &[Field::required(
    "path",
    ValueType::Text,
    "File or folder read at the start, relative to the settings file.",
)];

const LIMITS: &[Field] = &[
    Field::default(
        "max-body",
        ValueType::Size,
        "4MiB",
        "Maximum body size of a request or response.",
    ),
    Field::default(
        "max-open",
        ValueType::Count(1),
        "2000",
        "Maximum number of requests open at once.",
    ),
    Field::default(
        "header-timeout",
        ValueType::Duration,
        "5s",
        "Maximum time until a request's header is complete.",
    ),
    Field::default(
        "max-header",
        ValueType::Size,
        "16KiB",
        "Maximum size of a request's header.",
    ),
    Field::default(
        "drain-timeout",
        ValueType::Duration,
        "10m",
        "Maximum time a planned shutdown waits for open requests.",
    ),
    Field::default(
        "default-deadline",
        ValueType::Duration,
        "30s",
        "Deadline of a request that doesn't set one.",
    ),
    Field::default(
        "max-deadline",
        ValueType::Duration,
        "10m",
        "Latest deadline that a request may set.",
    ),
];

const LOG: &[Field] = &[
    Field::default(
        "format",
        ValueType::Choice(&["human", "json"]),
        "human",
        "Format of a log line.",
    ),
    Field::default(
        "level",
        ValueType::Choice(&["error", "warning", "info", "debug", "trace"]),
        "info",
        "Least severe level that is logged.",
    ),
];

const HOSTS: &[Field] = &[
    Field::required(
        "url",
        ValueType::Url,
        "URL of the platform's list of hosts.",
    ),
    Field::default(
        "interval",
        ValueType::Duration,
        "1s",
        "Interval between reads of the list.",
    ),
];

/// The schemas of all sections of the settings file.
pub const SECTIONS: &[SectionSchema] = &[
    SectionSchema {
        title: "entry",
        is_required: true,
        fields: ENTRY,
    },
    SectionSchema {
        title: "peers",
        is_required: true,
        fields: PEERS,
    },
    SectionSchema {
        title: "store",
        is_required: true,
        fields: STORE,
    },
    SectionSchema {
        title: "declarations",
        is_required: false,
        fields: DECLARATIONS,
    },
    SectionSchema {
        title: "limits",
        is_required: false,
        fields: LIMITS,
    },
    SectionSchema {
        title: "log",
        is_required: false,
        fields: LOG,
    },
    SectionSchema {
        title: "hosts",
        is_required: false,
        fields: HOSTS,
    },
];
