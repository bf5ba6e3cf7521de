//! The loss of a target, and what its later answers tell about it.

use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::TargetIncarnation;

/// Identifies a loss of a target within one incarnation of its agent: connections to it
/// were refused until its lease had expired.
///
/// Its process has ended, or its machine is cut off while it runs on. Only its next
/// answer tells which: see [`TargetAnswered`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossId {
    /// Number of the loss, from 1.
    pub number: u32,
    /// The incarnation that was lost.
    pub incarnation: TargetIncarnation,
}

/// Tells that a target has answered, after how many losses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAnswered {
    /// Losses of the target so far, as its agent numbers them.
    pub losses: u32,
    /// Numbers of the last losses after which another incarnation answered first.
    pub crashes: Vec<u32>,
    /// The incarnation that has answered.
    pub incarnation: TargetIncarnation,
}

/// How a lost target held a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldRun {
    /// It had confirmed the start.
    Confirmed {
        /// How much later the last run started that was at work there.
        before_last_start_ms: DurationMs,
        /// Time from the request of the start to the first sign of the loss: the run had
        /// been at work no longer than that.
        age_ms: DurationMs,
        /// Time before the first sign of the loss in which the run may have ended without
        /// a report of its end.
        unseen_ms: DurationMs,
    },
    /// It had not confirmed the start, and may not have received it.
    Unconfirmed,
}

/// The loss of a target under a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoss {
    /// How the target held the run.
    pub held: HeldRun,
    /// The loss, while it is not known whether the target's process has ended. `None` if
    /// it has: another incarnation has answered.
    pub unresolved: Option<LossId>,
}

const CRASHED: &str = "the target crashed:";
const REFUSED: &str = "the target refused connections until its lease had expired:";
const UNCONFIRMED: &str = "unconfirmed";

impl fmt::Display for TargetLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.unresolved {
            None => CRASHED,
            Some(_) => REFUSED,
        })?;
        match self.held {
            HeldRun::Confirmed {
                before_last_start_ms,
                age_ms,
                unseen_ms,
            } => write!(
                f,
                " before_last_start={before_last_start_ms} age={age_ms} unseen={unseen_ms}"
            )?,
            HeldRun::Unconfirmed => write!(f, " start={UNCONFIRMED}")?,
        }
        let Some(loss) = &self.unresolved else {
            return Ok(());
        };
        write!(f, " loss={} target={}", loss.number, loss.incarnation)
    }
}

/// The text describes no loss of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the loss of a target: expected the text that an agent of this release sends")]
pub struct ParseTargetLossError;

impl FromStr for TargetLoss {
    type Err = ParseTargetLossError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or(ParseTargetLossError)
    }
}

fn parse(text: &str) -> Option<TargetLoss> {
    let (fields, is_unresolved) = match text.strip_prefix(CRASHED) {
        Some(fields) => (fields, false),
        None => (text.strip_prefix(REFUSED)?, true),
    };
    let field = |name: &str| {
        let mut fields = fields.split_whitespace();
        fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    };
    let held = if field("start") == Some(UNCONFIRMED) {
        HeldRun::Unconfirmed
    } else {
        HeldRun::Confirmed {
            before_last_start_ms: field("before_last_start")?.parse().ok()?,
            age_ms: field("age")?.parse().ok()?,
            unseen_ms: field("unseen")?.parse().ok()?,
        }
    };
    let unresolved = if is_unresolved {
        Some(LossId {
            number: field("loss")?.parse().ok()?,
            incarnation: field("target")?.parse().ok()?,
        })
    } else {
        None
    };
    Some(TargetLoss { held, unresolved })
}
