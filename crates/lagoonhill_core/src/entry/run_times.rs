use std::collections::HashMap;

use lagoonhill_types::prelude::*;

/// Learned run times by service, on a worker of average speed.
#[derive(Debug, Default)]
pub struct RunTimes {
    mean_micros: HashMap<ServiceName, u64>,
}

/// Weight of the past against one observation.
const MEMORY: u64 = 63;

impl RunTimes {
    /// The expected run time, or `prior_ms` when nothing is known.
    pub fn expected(&self, service: &ServiceName, prior_ms: DurationMs) -> DurationMs {
        let learned = self.mean_micros.get(service);
        learned.map_or(prior_ms, |micros| DurationMs(micros.div_ceil(1_000)))
    }

    /// Learns from a finished task.
    pub fn observe(&mut self, service: &ServiceName, run_ms: DurationMs) {
        let micros = run_ms.0 * 1_000;
        match self.mean_micros.get_mut(service) {
            Some(mean) => *mean = (*mean * MEMORY + micros) / (MEMORY + 1),
            None => {
                self.mean_micros.insert(service.clone(), micros);
            }
        }
    }
}
