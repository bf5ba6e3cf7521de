//! TWICE: writes that got no answer are done late, over newer ones. The owner of the
//! jobs is killed after that, and the next one starts tasks that have ended.

use std::thread::sleep;
use std::time::Duration;

use crate::checks::holds_twice;
use crate::fleet::{Fleet, KILL};
use crate::{Outcome, record};

const JOBS: usize = 16;

/// Two short steps and a long one that is at work when the owner is killed.
const BODY: &str = r#"{"spec":"2000,900,20000","steps":[{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":2000},{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":900,"after":[0]},{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":20000,"after":[1]}]}"#;

pub fn play(trouble: bool) -> Outcome {
    let mut fleet = Fleet::start(3, 6)?;
    // With the first kept job all entries begin to look after such jobs.
    fleet.submit(1, r#"{"spec":"200","steps":[{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":200}]}"#)?;
    sleep(Duration::from_secs(7));
    for _ in 0..JOBS {
        fleet.submit(0, BODY)?;
        sleep(Duration::from_millis(90));
    }
    if trouble {
        record::write("trouble: of the writes 0.323 get no answer and are done 1 to 6 s later");
        fleet.store.lose_answers_late(323);
    }
    sleep(Duration::from_millis(5_100));
    fleet.store.lose_answers_late(0);
    record::write("the store answers all writes");
    // By then all late writes are done.
    sleep(Duration::from_secs(7));
    if trouble {
        fleet.signal(0, KILL);
        fleet.wait_for_exit(0, Duration::from_secs(2));
        sleep(Duration::from_millis(3_500));
        fleet.restart(0);
    }
    sleep(Duration::from_secs(30));
    Ok(holds_twice(&fleet.workers.ledger()))
}
