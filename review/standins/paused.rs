//! UNASKED: the owner of a job stands still while another entry takes the job's cancel.
//! When it wakes it goes on with the job, on the permission that it had.

use std::thread::sleep;
use std::time::Duration;

use crate::checks::holds_cancel;
use crate::fleet::{CONT, Fleet, STOP};
use crate::{Outcome, record};

/// Times that it is done, one after the other.
const ROUNDS: usize = 3;

/// Sixty tasks, one at a time on each of six workers.
const BODY: &str =
    r#"{"spec":"400","steps":[{"count":60,"cpu":16000,"mem-mb":64,"estimate-ms":400}]}"#;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, 6)?;
    let mut held = true;
    for _ in 0..ROUNDS {
        let id = fleet.submit(0, BODY)?;
        sleep(Duration::from_secs(1));
        if trouble {
            record::write("trouble: entry-0 stands still for 3.5 s");
            fleet.signal(0, STOP);
        }
        sleep(Duration::from_millis(100));
        let cancelled = fleet.request(1, "DELETE", &id, "");
        let acknowledged_ms = record::now_ms();
        sleep(Duration::from_millis(3_400));
        if trouble {
            fleet.signal(0, CONT);
        }
        if !matches!(cancelled, Ok((200, _))) {
            return Err("the cancel was not acknowledged".to_owned());
        }
        sleep(Duration::from_secs(8));
        held &= holds_cancel(&fleet.workers.ledger(), &id, acknowledged_ms);
    }
    Ok(held)
}
