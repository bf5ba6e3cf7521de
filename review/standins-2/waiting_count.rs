//! Jobs wait for busy workers; the entry that accepted them is killed. The other entries
//! take them over, and then no longer count them as waiting.

use std::path::Path;
use std::thread;
use std::time::Instant;

use crate::world::{World, config, has_trouble, ms, verdict};

const WORKERS: usize = 3;
const WAITING: usize = 20;

fn job_of(cpu: u64, estimate_ms: u64) -> String {
    format!(
        r#"{{"spec":"work","steps":[{{"count":1,"cpu":{cpu},"mem-mb":64,"estimate-ms":{estimate_ms}}}]}}"#
    )
}

pub fn play(folder: &Path) -> i32 {
    let mut world = World::start(folder, 3, WORKERS, &config(7));
    let first = world.job_id();
    world.workers.plan(&first, &[60]);
    if !world.submit(0, &first, &job_of(400, 60)) {
        world.fail_to_run("the first job was not accepted");
    }
    thread::sleep(ms(2_500));
    // Entry 0 keeps all workers busy.
    for _ in 0..WORKERS {
        let id = world.job_id();
        world.workers.plan(&id, &[70_000]);
        if !world.submit(0, &id, &job_of(16_000, 70_000)) {
            world.fail_to_run("a long job was not accepted");
        }
    }
    thread::sleep(ms(1_000));
    let mut waiting = Vec::new();
    for _ in 0..WAITING {
        let id = world.job_id();
        world.workers.plan(&id, &[60]);
        if world.submit(1, &id, &job_of(8_000, 60)) {
            waiting.push(id);
        }
    }
    if waiting.len() < WAITING / 2 {
        world.fail_to_run("too few jobs were accepted");
    }
    let accepted = Instant::now();
    thread::sleep(ms(6_000));
    for entry in [0, 2] {
        world.request(entry, "GET", "/desk/", "");
    }
    if has_trouble() {
        world.entries[1].kill(&world.record);
        thread::sleep(ms(500));
        let record = world.record.clone();
        world.entries[1].start(&record);
    }
    // The owner's lease of 6 s ends, another entry takes the jobs over; then longer than
    // `contact-ms`.
    thread::sleep(ms(12_000));
    let mut found = Vec::new();
    for round in 0..3 {
        thread::sleep(ms(1_000));
        for entry in [0, 2] {
            let ledger = world.workers.ledger();
            let begun = |id: &&String| ledger.iter().any(|ran| ran.task.starts_with(id.as_str()));
            let unbegun = waiting.iter().filter(|id| !begun(id)).count();
            let Some((200, body)) = world.request(entry, "GET", "/desk/", "") else {
                continue;
            };
            let told = usize::try_from(body.int("waiting")).unwrap_or(0);
            if told * 2 < unbegun {
                found.push(format!(
                    "MIXED: entry {entry} gives {told} as waiting in round {round}; {unbegun} jobs that were accepted {} s before haven't begun",
                    accepted.elapsed().as_secs()
                ));
            }
        }
    }
    world.state(0, &waiting[0]);
    verdict(&world, &found)
}
