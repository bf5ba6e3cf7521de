//! Validated names of workers, services, teams and so on.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a {kind}: use 1 to {max_bytes} characters out of letters, digits, `-`, `_`, `.` and `:`"
)]
pub struct InvalidName {
    kind: &'static str,
    text: String,
    max_bytes: usize,
}

const MAX_NAME_BYTES: usize = 128;

fn check_name(kind: &'static str, text: &str) -> Result<(), InvalidName> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(InvalidName {
        kind,
        text: text.to_owned(),
        max_bytes: MAX_NAME_BYTES,
    })
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct NameVisitor;

                impl de::Visitor<'_> for NameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!("a ", $kind))
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }
                }

                deserializer.deserialize_str(NameVisitor)
            }
        }
    };
}

name!(
    /// Identifies a worker: one target instance and its agent.
    WorkerId,
    "worker id"
);
name!(
    /// Name of a service that operators have created.
    ServiceName,
    "service name"
);
name!(
    /// Name of a team, the unit of quotas.
    TeamName,
    "team name"
);
name!(
    /// Name of an availability zone.
    AvailabilityZone,
    "availability zone"
);
name!(
    /// Idempotency key chosen by a caller.
    RequestKey,
    "idempotency key"
);
name!(
    /// Name of a queue: jobs of one kind, with their service and limits.
    QueueName,
    "queue name"
);
name!(
    /// A property that a target announces and a task may require.
    Label,
    "label"
);
