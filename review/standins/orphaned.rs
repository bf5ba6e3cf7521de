//! LOST: a machine is replaced as planned while it owns the first kept job. It gives
//! its ownership up before any other entry has looked, and nobody takes the job over.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::{Outcome, record};

const BODY: &str =
    r#"{"spec":"7000","steps":[{"count":2,"cpu":1600,"mem-mb":64,"estimate-ms":7000}]}"#;

pub fn play(trouble: bool) -> Outcome {
    // Returns 10 s after the start of the machines, when idle entries have just looked
    // for owners.
    let mut fleet = Fleet::start(3, 6)?;
    let mut replacement = 1;
    if trouble {
        sleep(Duration::from_millis(200));
        record::write("trouble: entry-0 is replaced as planned: the new machine starts first");
        replacement = fleet.add_entry();
        sleep(Duration::from_secs(1));
        fleet.signal(0, crate::fleet::TERM);
        sleep(Duration::from_millis(300));
    }
    // The entry is still in rotation: fewer than two probes have missed.
    let id = fleet.submit(0, BODY)?;
    if trouble && !fleet.wait_for_exit(0, Duration::from_secs(7)) {
        return Err("entry-0 did not exit".to_owned());
    }
    // `finish-s` after the end of the traffic jobs are asked for.
    sleep(Duration::from_secs(15));
    let watched = Instant::now();
    let mut idle = Duration::ZERO;
    let mut last = Instant::now();
    let mut state = String::new();
    while watched.elapsed() < Duration::from_secs(20) {
        let answer = fleet.request(replacement, "GET", &id, "");
        state = match answer {
            Ok((_, body)) => body.get("state").as_str().unwrap_or_default().to_owned(),
            Err(_) => String::new(),
        };
        let ledger = fleet.workers.ledger();
        let is_at_work = ledger.iter().any(|run| run.ended_ms.is_none());
        idle = if state == "complete" || is_at_work { Duration::ZERO } else { idle + last.elapsed() };
        last = Instant::now();
        if state == "complete" {
            return Ok(true);
        }
        sleep(Duration::from_millis(500));
    }
    record::write(&format!(
        "LOST: the job is shown as `{state}`; nothing of it has run for the last {} ms, and all workers are free",
        idle.as_millis()
    ));
    Ok(idle <= Duration::from_secs(3))
}
