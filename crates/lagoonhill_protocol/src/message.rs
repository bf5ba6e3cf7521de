//! Messages that a session delivers reliably and in order.

use lagoonhill_rules::ZoneDrain;
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EntryAddress, Feature, Outcome, Start, Target, TargetAnswered};

/// Rule changes for a peer whose revision is older, the drain of a zone, or a feature of
/// the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesUpdate {
    /// The revision to which the update applies; 0 replaces all lines.
    pub from: Revision,
    /// The revision after the update; 0 if it is the drain of a zone or a feature.
    pub to: Revision,
    /// Lines to add or replace, as text.
    pub set: Vec<String>,
    /// Keys of lines to remove, as `kind subject`.
    pub removed: Vec<String>,
}

/// Kind of the rule line that stands for the drain of a zone.
const ZONE_KIND: &str = "zone ";

/// Kind of the rule line that stands for a feature of the sender.
const FEATURE_KIND: &str = "feature ";

impl RulesUpdate {
    /// Tells a peer whether a zone is drained: `from` is the store's revision, and
    /// the line is set or removed.
    ///
    /// `to` is 0, so that releases that know of rules only ignore the update.
    pub fn of_zone_drain(drain: &ZoneDrain) -> Self {
        let key = format!("{ZONE_KIND}{}", drain.zone);
        let (set, removed) = if drain.is_drained {
            (vec![key], Vec::new())
        } else {
            (Vec::new(), vec![key])
        };
        Self {
            from: drain.revision,
            to: Revision(0),
            set,
            removed,
        }
    }

    /// Tells a peer that the sender has a feature.
    ///
    /// `to` is 0, so that releases that know of rules only ignore the update.
    pub fn of_feature(feature: Feature) -> Self {
        Self {
            from: Revision(0),
            to: Revision(0),
            set: vec![format!("{FEATURE_KIND}{feature}")],
            removed: Vec::new(),
        }
    }

    /// The feature that the update tells, if it does and this release knows it.
    pub fn feature(&self) -> Option<Feature> {
        let [key] = self.set.as_slice() else {
            return None;
        };
        let name = key.strip_prefix(FEATURE_KIND)?;
        (self.to == Revision(0)).then(|| name.parse().ok())?
    }

    /// The drain of a zone that the update tells, if it does.
    pub fn zone_drain(&self) -> Option<ZoneDrain> {
        if self.to != Revision(0) {
            return None;
        }
        let (key, is_drained) = match (self.set.as_slice(), self.removed.as_slice()) {
            ([key], []) => (key, true),
            ([], [key]) => (key, false),
            _ => return None,
        };
        Some(ZoneDrain {
            revision: self.from,
            zone: key.strip_prefix(ZONE_KIND)?.parse().ok()?,
            is_drained,
        })
    }
}

/// A reliable message of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to agent: run a task.
    Start(Start),
    /// Agent to entry: the outcome of a task.
    Outcome(Outcome),
    /// Entry to agent: drop waiting tasks of the job and stop running ones.
    CancelJob(JobId),
    /// Entry to agent: return the task unstarted, or stop it if it runs. Its
    /// outcome follows.
    Withdraw(TaskId),
    /// Entry to agent: the ends of these tasks are stored.
    EndsStored(Vec<TaskId>),
    /// Entry to agent: the ends of these tasks are discarded and will never be
    /// stored.
    EndsDiscarded(Vec<TaskId>),
    /// Agent to entry: the target has changed, or (`None`) is gone.
    Target(Option<Target>),
    /// Agent to entry: the agent is shutting down and takes no new work.
    Leaving,
    /// Both directions: newer rules, or whether the agent's zone is drained. Entry to
    /// agent: a feature of the entry.
    Rules(RulesUpdate),
    /// Entry to agent: newly discovered entries.
    Entries(Vec<EntryAddress>),
    /// Agent to entry: the target has answered as another incarnation, or again after a
    /// loss. Only sent to entries that have announced [`Feature::TargetLosses`], since
    /// earlier releases can't decode it.
    TargetAnswered(TargetAnswered),
}
