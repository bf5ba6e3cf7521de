use std::collections::{BTreeMap, BTreeSet};

use crate::LogMessage;

/// Fields of one event.
#[derive(Clone, Debug, Default)]
struct Shape {
    always: BTreeSet<String>,
    sometimes: BTreeSet<String>,
}

/// What the lines about decisions look like, as read from the table of a page
/// whose rows are `| event | by | always | may have | says |`.
#[derive(Clone, Debug)]
pub struct LogSchema {
    shapes: BTreeMap<String, Shape>,
}

impl LogSchema {
    /// Reads the table of a page; other lines are ignored.
    pub fn parse(page: &str) -> Self {
        let names = |cell: &str| cell.split_whitespace().map(ToOwned::to_owned).collect();
        let row = |line: &str| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let [_, event, _, always, sometimes, _, _] = cells[..] else {
                return None;
            };
            let shape = Shape {
                always: names(always),
                sometimes: names(sometimes),
            };
            Some((event.trim_matches('`').to_owned(), shape))
        };
        let rows = page.lines().filter(|line| line.starts_with("| `"));
        Self {
            shapes: rows.filter_map(row).collect(),
        }
    }

    /// What is wrong with a message about a decision, if anything.
    pub fn mistake(&self, message: &LogMessage) -> Option<String> {
        let Some(shape) = self.shapes.get(&message.event) else {
            return Some(format!("`{}` is not on the page", message.event));
        };
        let fields: BTreeSet<String> = message
            .fields
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        let missing: Vec<&String> = shape.always.difference(&fields).collect();
        let is_extra =
            |name: &&String| !shape.always.contains(*name) && !shape.sometimes.contains(*name);
        let extra: Vec<&String> = fields.iter().filter(is_extra).collect();
        (!missing.is_empty() || !extra.is_empty()).then(|| {
            format!(
                "`{}`: missing {missing:?}, not on the page {extra:?}",
                message.event
            )
        })
    }
}
