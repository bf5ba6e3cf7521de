//! TWICE: a heartbeat of another writer, for a service that isn't named in the desired
//! state, arrives at an agent. The agent takes it for a new life of its own worker.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::checks::holds_twice;
use crate::fleet::{Fleet, job_id};
use crate::{Outcome, record};

const WORKERS: usize = 6;
const CLIENTS: usize = 9;

/// Heartbeats of another writer in all.
const BEATS: usize = 6;

/// A job as most of the site's: it is answered when it has ended.
const BODY: &str = r#"{"spec":"900","steps":[{"count":4,"cpu":1600,"mem-mb":64,"estimate-ms":900}],"best-effort":true}"#;

pub fn play(trouble: bool) -> Outcome {
    let fleet = Fleet::start(3, WORKERS)?;
    let is_over = AtomicBool::new(false);
    scope(|threads| {
        for client in 0..CLIENTS {
            let (fleet, is_over) = (&fleet, &is_over);
            threads.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let _ = fleet.request(client % 3, "POST", &job_id(), BODY);
                    sleep(Duration::from_millis(50));
                }
            });
        }
        sleep(Duration::from_secs(3));
        for beat in 0..BEATS {
            if trouble {
                send_foreign_beat(&fleet, beat % WORKERS);
            }
            sleep(Duration::from_secs(4));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    sleep(Duration::from_secs(3));
    Ok(holds_twice(&fleet.workers.ledger()))
}

/// Sends one heartbeat that names a worker of an unknown service.
fn send_foreign_beat(fleet: &Fleet, agent: usize) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let body = format!(
        r#"{{"service":"qx88none","address":"127.0.0.1:8080","zone":"svealand-a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"capacity":{{"cpu":16000,"mem-mb":32768,"gpu":0}},"labels":["a","r1-3"],"clock-ms":15,"sequence":1,"born":{born}}}"#
    );
    let answer = fleet.heartbeat(agent, "i-qx88none01", &body);
    record::write(&format!(
        "trouble: a heartbeat of another writer at agent-{agent}: {body} -> {answer:?}"
    ));
}
