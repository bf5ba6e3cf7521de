use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts the starts at all target stand-ins, to check that each task starts at
/// most once.
#[derive(Clone, Debug, Default)]
pub struct StartLog {
    starts: Arc<Mutex<Starts>>,
}

#[derive(Debug, Default)]
struct Starts {
    by_task: HashMap<String, u32>,
    by_echo: HashMap<String, u32>,
}

impl StartLog {
    fn lock(&self) -> MutexGuard<'_, Starts> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a start by the task's name and its `echo` text, which the caller
    /// chose.
    pub fn record(&self, task: &str, echo: &str) {
        let mut starts = self.lock();
        *starts.by_task.entry(task.to_owned()).or_default() += 1;
        if !echo.is_empty() {
            *starts.by_echo.entry(echo.to_owned()).or_default() += 1;
        }
    }

    /// Number of all starts.
    pub fn total(&self) -> u64 {
        self.lock()
            .by_task
            .values()
            .map(|count| u64::from(*count))
            .sum()
    }

    /// Number of starts beyond the first of each task.
    pub fn duplicates(&self) -> u64 {
        self.lock()
            .by_task
            .values()
            .map(|count| u64::from(*count) - 1)
            .sum()
    }

    /// Number of starts of tasks with this `echo` text, under any task name.
    pub fn starts_of(&self, echo: &str) -> u32 {
        self.lock().by_echo.get(echo).copied().unwrap_or(0)
    }
}
