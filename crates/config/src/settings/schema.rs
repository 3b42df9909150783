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
        "Where callers connect.",
    ),
    Field::default(
        "operators",
        ValueType::Address,
        "127.0.0.1:8081",
        "Where operators, health checks and metrics connect.",
    ),
    Field::default(
        "peers-listen",
        ValueType::Address,
        "0.0.0.0:8082",
        "Where other entry hosts connect.",
    ),
    Field::optional(
        "advertise",
        ValueType::Address,
        "Address other entry hosts are told; needed when peers-listen is 0.0.0.0.",
    ),
];

const PEERS: &[Field] = &[
    Field::optional(
        "addresses",
        ValueType::Addresses,
        "Entry hosts to ask for members while the store is down.",
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
        "Time between heartbeats.",
    ),
    Field::default(
        "stale-after",
        ValueType::Duration,
        "30s",
        "Time without word of the store, also by peers, after which the configuration may \
         be out of date; see when-cut-off.",
    ),
];

/// The prefix of all keys in the store, for settings files with a `[store]` section.
pub const STORE_PREFIX: Field = Field::default(
    "prefix",
    ValueType::Text,
    "rhubarbrill/",
    "Prefix of every key.",
);

/// The timeout of calls to the store, for settings files with a `[store]` section.
pub const STORE_TIMEOUT: Field = Field::default(
    "timeout",
    ValueType::Duration,
    "2s",
    "Longest time one call may take.",
);

const STORE: &[Field] = &[
    Field::required(
        "kind",
        ValueType::Choice(&["etcd", "memory"]),
        "The platform's store, or one in memory for a single entry host.",
    ),
    Field::optional(
        "urls",
        ValueType::Urls,
        "Where the store answers; only for etcd.",
    ),
    STORE_PREFIX,
    STORE_TIMEOUT,
    Field::default(
        "lease",
        ValueType::Duration,
        "10s",
        "Term of the entry host's member lease.",
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
        "Largest body of a request or an answer.",
    ),
    Field::default(
        "max-open",
        ValueType::Count(1),
        "2000",
        "Most requests open at once.",
    ),
    Field::default(
        "header-timeout",
        ValueType::Duration,
        "5s",
        "Longest time until a request's header is complete.",
    ),
    Field::default(
        "max-header",
        ValueType::Size,
        "16KiB",
        "Largest header of a request.",
    ),
    Field::default(
        "drain-timeout",
        ValueType::Duration,
        "10m",
        "Longest time a planned stop waits for open requests.",
    ),
    Field::default(
        "default-deadline",
        ValueType::Duration,
        "30s",
        "Deadline of a request that names none.",
    ),
    Field::default(
        "max-deadline",
        ValueType::Duration,
        "10m",
        "Latest deadline a request may name.",
    ),
];

const LOG: &[Field] = &[
    Field::default(
        "format",
        ValueType::Choice(&["human", "json"]),
        "human",
        "Form of a line.",
    ),
    Field::default(
        "level",
        ValueType::Choice(&["error", "warning", "info", "debug", "trace"]),
        "info",
        "Least severe level that is written.",
    ),
];

const HOSTS: &[Field] = &[
    Field::required(
        "url",
        ValueType::Url,
        "Where the platform's list of hosts is read.",
    ),
    Field::default("interval", ValueType::Duration, "1s", "Time between reads."),
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
