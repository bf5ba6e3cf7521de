//! An entry stands still with requests that it has not read, and the third entry is killed.
//! The callers send their jobs again, and both entries run them.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Instant;

use crate::world::{HOST, World, config, has_trouble, ms, verdict};

const JOBS: usize = 40;
const WORK_MS: u64 = 1_200;
/// What callers wait for an answer, and then before they send the job again.
const TIME_LIMIT_MS: u64 = 1_500;
const RESEND_MS: u64 = 1_300;
const FREEZE_MS: u64 = 3_700;
const SENT_MS: u64 = 200;

fn request_of(id: &str) -> String {
    let body = format!(
        r#"{{"spec":"work","best-effort":true,"steps":[{{"count":1,"cpu":1600,"mem-mb":64,"estimate-ms":{WORK_MS}}}]}}"#
    );
    format!(
        "POST /desk/{id} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\nLagoonhill-Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends all jobs to an entry; answers are not read.
fn send(world: &World, entry: usize, ids: &[String]) -> Vec<TcpStream> {
    let frontend = world.entries[entry].frontend;
    let to_entry = |id: &String| {
        world.record.line(&format!("client: POST /desk/{id} to entry {entry}"));
        let mut stream = TcpStream::connect_timeout(&frontend, ms(500)).ok()?;
        stream.write_all(request_of(id).as_bytes()).ok()?;
        Some(stream)
    };
    ids.iter().filter_map(to_entry).collect()
}

pub fn play(folder: &Path) -> i32 {
    let mut world = World::start(folder, 3, 8, &config(7));
    let record = world.record.clone();
    let ids: Vec<String> = (0..JOBS).map(|_| world.job_id()).collect();
    for id in &ids {
        world.workers.plan(id, &[WORK_MS]);
    }
    // Entries learn of each other.
    thread::sleep(ms(4_500));
    let started = Instant::now();
    let wait_until = |at_ms: u64| {
        let at = started + ms(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    if has_trouble() {
        world.entries[0].signal("STOP", &record);
    }
    wait_until(SENT_MS);
    // The callers keep these channels, as the entry does not close them.
    let first_channels = send(&world, 0, &ids);
    if has_trouble() {
        wait_until(SENT_MS + TIME_LIMIT_MS);
        record.line("client: no answers from entry 0 within the time limit");
        wait_until(SENT_MS + TIME_LIMIT_MS + RESEND_MS - 150);
        world.entries[2].kill(&record);
        wait_until(SENT_MS + TIME_LIMIT_MS + RESEND_MS);
        let second_channels = send(&world, 1, &ids);
        wait_until(FREEZE_MS);
        world.entries[0].signal("CONT", &record);
        world.entries[2].start(&record);
        wait_until(FREEZE_MS + 4_000);
        drop(second_channels);
    } else {
        wait_until(8_000);
    }
    drop(first_channels);
    verdict(&world, &world.workers.overlaps())
}
