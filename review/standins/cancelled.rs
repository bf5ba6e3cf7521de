//! UNASKED: the owner of a job is cut off from the store while another entry takes the
//! job's cancel. It goes on with the job until its ownership lapses.

use std::thread::sleep;
use std::time::Duration;

use crate::checks::holds_cancel;
use crate::fleet::Fleet;
use crate::{Outcome, record};

/// Forty tasks, one at a time on the only worker of kind `b`.
const BODY: &str = r#"{"spec":"300","steps":[{"count":40,"cpu":16000,"mem-mb":64,"estimate-ms":300,"requirements":"b"}]}"#;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, 6)?;
    let id = fleet.submit(0, BODY)?;
    sleep(Duration::from_secs(2));
    if trouble {
        record::write("trouble: entry-0 is partitioned from the store for 5.5 s");
        fleet.store.cut_off(0);
    }
    sleep(Duration::from_millis(100));
    let cancelled = fleet.request(1, "DELETE", &id, "");
    let acknowledged_ms = record::now_ms();
    if !matches!(cancelled, Ok((200, _))) {
        return Err("the cancel was not acknowledged".to_owned());
    }
    sleep(Duration::from_millis(5_400));
    fleet.store.take_back(0);
    record::write("the store is in reach again");
    sleep(Duration::from_secs(15));
    let _ = fleet.request(1, "GET", &id, "");
    Ok(holds_cancel(&fleet.workers.ledger(), &id, acknowledged_ms))
}
