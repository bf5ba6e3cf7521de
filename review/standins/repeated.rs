//! TWICE: the store is down for some seconds, so that an entry gives up its jobs.
//! Requests that arrive once more right after that start them anew.

use std::thread::sleep;
use std::time::Duration;

use crate::checks::holds_twice;
use crate::fleet::Fleet;
use crate::{Outcome, record};

const JOBS: usize = 60;

const ENTRIES: usize = 3;

/// Of so many jobs the request of one arrives once more.
const JOBS_PER_REPEAT: usize = 3;

/// A short first step, and a second one that is at work through the outage.
const BODY: &str = r#"{"spec":"300,9000","steps":[{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":300},{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":9000,"after":[0]}]}"#;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(ENTRIES, 6)?;
    let ids: Vec<String> = (0..JOBS)
        .map(|number| fleet.submit(number / JOBS_PER_REPEAT % ENTRIES, BODY))
        .collect::<Result<_, String>>()?;
    // The first steps end, and their ends are taken note of.
    sleep(Duration::from_secs(3));
    let ledger = fleet.workers.ledger();
    if ledger.iter().filter(|run| run.is_done()).count() < JOBS {
        return Err("not all first steps have ended".to_owned());
    }
    if trouble {
        record::write("trouble: the store is down for 5.7 s, all channels to it are reset");
        fleet.store.go_down();
    }
    sleep(Duration::from_millis(5_700));
    if trouble {
        fleet.store.come_back();
        record::write("the store is back");
    }
    // Some requests arrive once more, seconds after their 2xx, where they were accepted.
    for (number, id) in ids.iter().step_by(JOBS_PER_REPEAT).enumerate() {
        let _ = fleet.request(number % ENTRIES, "POST", id, BODY);
        sleep(Duration::from_millis(120));
    }
    sleep(Duration::from_secs(20));
    Ok(holds_twice(&fleet.workers.ledger()))
}
