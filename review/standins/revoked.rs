//! TWICE: an entry that owns a job is turned away by the store, which takes its keys
//! away at once. Another entry takes the job over while the first goes on with it.

use std::thread::sleep;
use std::time::Duration;

use crate::checks::holds_twice;
use crate::fleet::Fleet;
use crate::{Outcome, record};

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, 6)?;
    // With the first kept job all entries begin to look after such jobs.
    fleet.submit(0, r#"{"spec":"200","steps":[{"count":1,"cpu":1600,"mem-mb":64,"estimate-ms":200}]}"#)?;
    sleep(Duration::from_secs(12));
    let id = fleet.submit(
        0,
        r#"{"spec":"7000","steps":[{"count":4,"cpu":1600,"mem-mb":64,"estimate-ms":7000}]}"#,
    )?;
    sleep(Duration::from_secs(1));
    if trouble {
        record::write("trouble: the store turns entry-0 away for 9 s and takes its keys away");
        fleet.store.turn_away(0, true);
    }
    sleep(Duration::from_secs(9));
    fleet.store.take_back(0);
    sleep(Duration::from_secs(16));
    let _ = fleet.request(1, "GET", &id, "");
    Ok(holds_twice(&fleet.workers.ledger()))
}
