use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::{Incarnation, ParseIdError, TimestampMs};

/// A permit for one submission that may run at most once.
///
/// Names the entry that issued it, so that any other entry can forward the
/// submission to it. Displayed as `<incarnation>-<number>-<expiry>-<address>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The only entry incarnation that ever starts the submission.
    pub entry: Incarnation,
    /// Counts up from 1 within the incarnation.
    pub number: u64,
    /// When the ticket stops being valid, on the issuing entry's clock.
    pub expires_ms: TimestampMs,
    /// The issuing entry's HTTP address.
    pub address: SocketAddr,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entry,
            number,
            expires_ms,
            address,
        } = self;
        write!(f, "{entry}-{number:x}-{:x}-{address}", expires_ms.0)
    }
}

impl FromStr for Ticket {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            kind: "ticket",
            text: text.to_owned(),
        };
        let mut parts = text.splitn(4, '-');
        let mut next = || parts.next().ok_or_else(error);
        let hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_| error());
        Ok(Self {
            entry: Incarnation(hex(next()?)?),
            number: hex(next()?)?,
            expires_ms: TimestampMs(hex(next()?)?),
            address: next()?.parse().map_err(|_| error())?,
        })
    }
}
