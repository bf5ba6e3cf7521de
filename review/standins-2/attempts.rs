//! A queue is removed and added again. Its jobs that are taken over in between have a single
//! attempt from then on.

use std::path::Path;
use std::thread;
use std::time::Instant;

use crate::world::{World, config, config_with, has_trouble, ms, verdict};

const WORKERS: usize = 3;
const JOBS: usize = 10;
const TASK_MS: u64 = 60;
const LARGE_MS: u64 = 17_000;
const MAX_ATTEMPTS: usize = 4;

fn job_of(cpu: u64, estimate_ms: u64) -> String {
    format!(
        r#"{{"spec":"work","steps":[{{"count":1,"cpu":{cpu},"mem-mb":64,"estimate-ms":{estimate_ms}}}]}}"#
    )
}

pub fn play(folder: &Path) -> i32 {
    let mut world = World::start(folder, 3, WORKERS, &config(7));
    let record = world.record.clone();
    let first = world.job_id();
    world.workers.plan(&first, &[TASK_MS]);
    if !world.submit(0, &first, &job_of(400, TASK_MS)) {
        world.fail_to_run("the first job was not accepted");
    }
    thread::sleep(ms(2_500));
    // Large jobs of entry 0 keep all workers busy.
    for _ in 0..WORKERS {
        let id = world.job_id();
        world.workers.plan(&id, &[LARGE_MS]);
        let body = job_of(16_000, LARGE_MS);
        if !matches!(world.request(0, "POST", &format!("/large/{id}"), &body), Some((200..=299, _))) {
            world.fail_to_run("a large job was not accepted");
        }
    }
    let started = Instant::now();
    let wait_until = |at_ms: u64| {
        let at = started + ms(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    let mut jobs = Vec::new();
    for _ in 0..JOBS {
        let id = world.job_id();
        world.workers.plan(&id, &[TASK_MS]);
        // One run of each task fails; the queue allows four.
        world.workers.fail_first_runs(&id);
        if world.submit(1, &id, &job_of(8_000, TASK_MS)) {
            jobs.push(id);
        }
    }
    if jobs.len() < JOBS / 2 {
        world.fail_to_run("too few jobs were accepted");
    }
    if has_trouble() {
        wait_until(1_000);
        record.line("operator: version 12 removes the queue");
        world.store.operator_put("op/config", &config_with(12, &[("large", 2)]));
        wait_until(2_500);
        world.entries[1].kill(&record);
        wait_until(3_000);
        world.entries[1].start(&record);
        // The lease of the owner, 6 s, ends, and the jobs are taken over.
        wait_until(12_000);
        record.line("operator: version 15 adds the queue again");
        world.store.operator_put("op/config", &config(15));
    }
    wait_until(LARGE_MS + 6_000);
    let mut found = Vec::new();
    for id in &jobs {
        let Some((200, state)) = world.state(0, id) else {
            continue;
        };
        let ledger = world.workers.ledger();
        let failed = |ran: &&crate::world::Ran| {
            ran.task.starts_with(id.as_str()) && matches!(ran.end, Some((_, "failed")))
        };
        let failures = ledger.iter().filter(failed).count();
        if state == "failed" && failures < MAX_ATTEMPTS {
            found.push(format!(
                "LOST: job {id} is shown as failed; {failures} of {MAX_ATTEMPTS} attempts have ended `failed`"
            ));
        }
    }
    verdict(&world, &found)
}
