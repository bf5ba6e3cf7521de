use std::collections::HashMap;

use lagoonhill_types::prelude::*;

/// Tasks whose run times are alike: of one service, or of one of its queues.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// The service.
    pub service: ServiceName,
    /// The queue, if there is one.
    pub queue: Option<QueueName>,
}

/// Learned run times by kind of work, on a worker of average speed.
#[derive(Debug, Default)]
pub struct RunTimes {
    mean_micros: HashMap<WorkKind, u64>,
}

/// Weight of the past against one observation.
const MEMORY: u64 = 63;

impl RunTimes {
    /// The expected run time, or `prior_ms` when nothing is known.
    pub fn expected(&self, kind: &WorkKind, prior_ms: DurationMs) -> DurationMs {
        let learned = self.mean_micros.get(kind);
        learned.map_or(prior_ms, |micros| DurationMs(micros.div_ceil(1_000)))
    }

    /// Learns from a finished task.
    pub fn observe(&mut self, kind: &WorkKind, run_ms: DurationMs) {
        let micros = run_ms.0 * 1_000;
        match self.mean_micros.get_mut(kind) {
            Some(mean) => *mean = (*mean * MEMORY + micros) / (MEMORY + 1),
            None => {
                self.mean_micros.insert(kind.clone(), micros);
            }
        }
    }
}
