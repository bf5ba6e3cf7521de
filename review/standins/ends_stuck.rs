//! Acks: a task fails twice in quick succession on one worker. The first end is never
//! taken note of, nor are those after it, and in the end no job ends on that worker.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::{Outcome, record};

/// A job that can never be done: each run fails by its own fault.
const HOPELESS: &str = r#"{"spec":"f60","steps":[{"count":1,"cpu":1600,"mem-mb":64,"estimate-ms":60,"requirements":"b"}]}"#;
const SOUND: &str = r#"{"spec":"60","steps":[{"count":10,"cpu":1600,"mem-mb":64,"estimate-ms":60,"requirements":"b"}]}"#;
const JOBS: usize = 80;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, 6)?;
    let state_of = |id: &String| match fleet.request(1, "GET", id, "") {
        Ok((200, body)) => body.get("state").as_str().unwrap_or_default().to_owned(),
        _ => String::new(),
    };
    let mut ids = Vec::new();
    for number in 0..JOBS {
        ids.push(fleet.submit(0, SOUND)?);
        sleep(Duration::from_millis(120));
        if trouble && number == JOBS / 4 {
            record::write("trouble: one job comes that can never be done");
            fleet.submit(0, HOPELESS)?;
        }
    }
    record::write("the traffic ends");
    // `finish-s`, and `ack-ms` of it without any disturbance.
    let ended = Instant::now();
    while ended.elapsed() < Duration::from_secs(15) && state_of(&ids[JOBS - 1]) != "complete" {
        sleep(Duration::from_secs(1));
    }
    sleep(Duration::from_secs(5));
    let unfinished = ids.iter().filter(|id| state_of(id) != "complete").count();
    let ledger = fleet.workers.ledger();
    let most = ids.iter().map(|id| ledger.iter().filter(|run| run.task.starts_with(id.as_str())).count());
    let (listed, open) = fleet.workers.listed_ends();
    record::write(&format!(
        "Acks: of {listed} ends that workers have listed {open} are not taken note of; {unfinished} of {JOBS} sound jobs have not ended, and the 10 tasks of one of them have run {} times",
        most.max().unwrap_or(0)
    ));
    Ok(open * 5 <= listed)
}
