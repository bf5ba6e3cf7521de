//! LOST: the store takes away the keys of the entry that stored a job's end. The end
//! goes with them: the job isn't known any more, and a repeated request runs it again.

use std::thread::sleep;
use std::time::Duration;

use crate::checks::holds_twice;
use crate::fleet::Fleet;
use crate::{Outcome, record};

const BODY: &str =
    r#"{"spec":"200","steps":[{"count":2,"cpu":1600,"mem-mb":64,"estimate-ms":200}]}"#;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, 6)?;
    let id = fleet.submit(0, BODY)?;
    let is_complete = |entry| {
        let answer = fleet.request(entry, "GET", &id, "");
        matches!(answer, Ok((200, body)) if body.get("state").as_str() == Some("complete"))
    };
    if !(0..20).any(|_| {
        sleep(Duration::from_millis(250));
        is_complete(1)
    }) {
        return Err("the job did not complete".to_owned());
    }
    sleep(Duration::from_secs(4));
    if trouble {
        record::write("trouble: the store turns entry-0 away for 9 s and takes its keys away");
        fleet.store.turn_away(0, true);
    }
    sleep(Duration::from_secs(9));
    fleet.store.take_back(0);
    // After contact-ms the store is stable and all machines are in touch.
    sleep(Duration::from_secs(4));
    let mut held = true;
    for round in 0..6 {
        for entry in [1, 2] {
            if matches!(fleet.request(entry, "GET", &id, ""), Ok((410, _))) {
                held = false;
                record::write(&format!("LOST: entry-{entry} answers 410 for the accepted job {id}"));
            }
        }
        if round == 2 {
            record::write("client: the same request arrives once more");
            let _ = fleet.request(1, "POST", &id, BODY);
        }
        sleep(Duration::from_secs(1));
    }
    // `&`, so that both are recorded.
    Ok(held & holds_twice(&fleet.workers.ledger()))
}
