//! Checks decision log lines against the documented table of events.

use std::collections::{BTreeMap, BTreeSet};

use crate::LogMessage;

/// The documented fields of one event.
#[derive(Clone, Debug, Default)]
struct EventFields {
    required: BTreeSet<String>,
    optional: BTreeSet<String>,
}

/// The events and fields of decision log lines, parsed from the table of a
/// documentation page with rows `| event | by | always | may have | says |`.
#[derive(Clone, Debug)]
pub struct LogSchema {
    events: BTreeMap<String, EventFields>,
}

impl LogSchema {
    /// Parses the table of a page; other lines are ignored.
    pub fn parse(page: &str) -> Self {
        let names = |cell: &str| cell.split_whitespace().map(ToOwned::to_owned).collect();
        let row = |line: &str| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let [_, event, _, required, optional, _, _] = cells[..] else {
                return None;
            };
            let expected = EventFields {
                required: names(required),
                optional: names(optional),
            };
            Some((event.trim_matches('`').to_owned(), expected))
        };
        let rows = page.lines().filter(|line| line.starts_with("| `"));
        Self {
            events: rows.filter_map(row).collect(),
        }
    }

    /// Describes how a decision message differs from its documentation, if it does.
    pub fn difference(&self, message: &LogMessage) -> Option<String> {
        let Some(expected) = self.events.get(&message.event) else {
            return Some(format!("`{}` is not on the page", message.event));
        };
        let fields: BTreeSet<String> = message
            .fields
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        let missing: Vec<&String> = expected.required.difference(&fields).collect();
        let is_extra = |name: &&String| {
            !expected.required.contains(*name) && !expected.optional.contains(*name)
        };
        let extra: Vec<&String> = fields.iter().filter(is_extra).collect();
        (!missing.is_empty() || !extra.is_empty()).then(|| {
            format!(
                "`{}`: missing {missing:?}, not on the page {extra:?}",
                message.event
            )
        })
    }
}
