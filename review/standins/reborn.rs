//! TWICE: workers crash and are up again at once, under the id that they had. Starts
//! that were on their way reach the new life, while the tasks are started elsewhere.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use crate::checks::holds_twice;
use crate::fleet::{Fleet, job_id};
use crate::Outcome;

const WORKERS: usize = 8;
const CLIENTS: usize = 9;

/// Crashes in all, of one worker at a time.
const CRASHES: usize = 30;

/// Time for which a crashed worker is away: that of a restart by a supervisor.
const AWAY: Duration = Duration::from_millis(100);

/// A job as most of the site's: it is answered when it has ended.
const BODY: &str = r#"{"spec":"300","steps":[{"count":4,"cpu":1600,"mem-mb":64,"estimate-ms":300}],"best-effort":true}"#;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, WORKERS)?;
    let is_over = AtomicBool::new(false);
    scope(|threads| {
        for client in 0..CLIENTS {
            let (fleet, is_over) = (&fleet, &is_over);
            threads.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let _ = fleet.request(client % 3, "POST", &job_id(), BODY);
                    sleep(Duration::from_millis(50));
                }
            });
        }
        for crash in 0..CRASHES {
            if trouble {
                fleet.workers.crash(crash % WORKERS);
                sleep(AWAY);
                fleet.workers.start_again(crash % WORKERS);
            }
            sleep(Duration::from_millis(1_400));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    sleep(Duration::from_secs(3));
    Ok(holds_twice(&fleet.workers.ledger()))
}
