//! MIXED: after the process that owned them was killed, jobs that wait are not
//! counted as waiting any more.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KILL};
use crate::{Outcome, record};

const JOBS: i64 = 12;

/// Fills the only worker of kind `b` for a while.
const LONG: &str = r#"{"spec":"60000","steps":[{"count":1,"cpu":16000,"mem-mb":64,"estimate-ms":60000,"requirements":"b"}]}"#;
const SHORT: &str = r#"{"spec":"200","steps":[{"count":1,"cpu":16000,"mem-mb":64,"estimate-ms":200,"requirements":"b"}]}"#;

pub fn play(trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(3, 6)?;
    fleet.submit(1, LONG)?;
    sleep(Duration::from_secs(2));
    let ids: Vec<String> =
        (0..JOBS).map(|_| fleet.submit(0, SHORT)).collect::<Result<_, String>>()?;
    // visible-ms + 2 s later they have to be counted.
    sleep(Duration::from_secs(6));
    if trouble {
        fleet.signal(0, KILL);
        fleet.wait_for_exit(0, Duration::from_secs(2));
        sleep(Duration::from_millis(3_500));
        fleet.restart(0);
    }
    let watched = Instant::now();
    let mut low_since: Option<Instant> = None;
    let mut worst = Duration::ZERO;
    while watched.elapsed() < Duration::from_secs(25) {
        let has_begun =
            |id: &String| fleet.workers.ledger().iter().any(|run| run.task.starts_with(id.as_str()));
        let begun = ids.iter().filter(|id| has_begun(id)).count();
        if begun > 0 {
            return Err("waiting jobs have begun".to_owned());
        }
        let answer = fleet.request(1, "GET", "", "");
        let waiting = match &answer {
            Ok((200, body)) => body.get("waiting").as_int(),
            _ => None,
        };
        match waiting {
            Some(count) if count < JOBS / 2 => {
                let since = *low_since.get_or_insert_with(Instant::now);
                worst = worst.max(since.elapsed());
            }
            _ => low_since = None,
        }
        sleep(Duration::from_millis(500));
    }
    if worst > Duration::from_secs(2) {
        record::write(&format!(
            "MIXED: entry-1 gave under half of {JOBS} waiting jobs for {} ms on end",
            worst.as_millis()
        ));
        return Ok(false);
    }
    Ok(true)
}
