//! LOST: jobs that can never be done come among sound ones, for the same worker. It is
//! taken for a failing one, and the sound jobs wait while it is free.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::{Outcome, record};

/// A job that can never be done: each run fails by its own fault.
const HOPELESS: &str = r#"{"spec":"f60","steps":[{"count":1,"cpu":1600,"mem-mb":64,"estimate-ms":60,"requirements":"b"}]}"#;
const SOUND: &str = r#"{"spec":"60","steps":[{"count":1,"cpu":1600,"mem-mb":64,"estimate-ms":60,"requirements":"b"}]}"#;
const SOUND_JOBS: usize = 40;

const HOPELESS_JOBS: usize = 5;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, 6)?;
    let mut ids = Vec::new();
    for number in 0..SOUND_JOBS {
        ids.push(fleet.submit(number % 3, SOUND)?);
        if trouble && number == SOUND_JOBS / 2 {
            for _ in 0..HOPELESS_JOBS {
                fleet.submit(0, HOPELESS)?;
            }
        }
        sleep(Duration::from_millis(100));
    }
    record::write("the traffic ends");
    sleep(Duration::from_secs(14));
    // For 3 s: nothing of a job runs, and its worker is free.
    let watched = Instant::now();
    let mut held = true;
    while watched.elapsed() < Duration::from_secs(10) {
        sleep(Duration::from_millis(500));
        let ledger = fleet.workers.ledger();
        let last_ms = ledger.iter().map(|run| run.ended_ms.unwrap_or(u64::MAX)).max().unwrap_or(0);
        let idle_ms = record::now_ms().saturating_sub(last_ms);
        if idle_ms < 3_000 {
            continue;
        }
        for id in &ids {
            let answer = fleet.request(1, "GET", id, "");
            let state = match &answer {
                Ok((_, body)) => body.get("state").as_str().unwrap_or_default(),
                Err(_) => "",
            };
            if state != "complete" {
                held = false;
                record::write(&format!(
                    "LOST: sound job {id} is `{state}`; nothing has run on any worker for {idle_ms} ms"
                ));
            }
        }
        break;
    }
    Ok(held)
}
