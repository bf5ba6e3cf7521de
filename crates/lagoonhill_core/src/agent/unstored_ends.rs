//! The ends of durable jobs' runs that their entries have not resolved yet.

use std::collections::{HashMap, VecDeque};

use lagoonhill_protocol::SessionId;
use lagoonhill_types::prelude::*;

use super::UnstoredEnd;

/// The reported ends of durable jobs' runs, in the order of their reports.
///
/// A task that fails may run again here before its first end is stored, so it can have
/// several. An entry resolves each reported end once, by naming its task, and resolves
/// the ends of one task in the order in which its session delivered them.
#[derive(Debug, Default)]
pub struct UnstoredEnds {
    by_task: HashMap<TaskId, VecDeque<UnstoredEnd>>,
    len: usize,
}

impl UnstoredEnds {
    /// Number of ends.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no end.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an end that has just been reported.
    pub fn push(&mut self, end: UnstoredEnd) {
        self.by_task.entry(end.task).or_default().push_back(end);
        self.len += 1;
    }

    /// Removes the oldest end of a task.
    pub fn pop_oldest(&mut self, task: TaskId) -> Option<UnstoredEnd> {
        let ends = self.by_task.get_mut(&task)?;
        let oldest = ends.pop_front()?;
        if ends.is_empty() {
            self.by_task.remove(&task);
        }
        self.len -= 1;
        Some(oldest)
    }

    /// Removes the ends that were reported to a session.
    pub fn remove_session(&mut self, session: SessionId) -> Vec<UnstoredEnd> {
        let mut removed = Vec::new();
        self.by_task.retain(|_, ends| {
            let (of_session, others) = std::mem::take(ends)
                .into_iter()
                .partition(|end| end.session == session);
            *ends = others;
            removed.extend::<VecDeque<_>>(of_session);
            !ends.is_empty()
        });
        self.len -= removed.len();
        removed
    }
}
