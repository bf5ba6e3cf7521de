//! One job takes longer than its estimate; then its tasks wait although all workers are idle.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::Instant;

use crate::world::{World, config, has_trouble, ms, verdict};

const WORKERS: usize = 11;
/// Estimate of every task, and what it takes.
const WORK_MS: u64 = 900;
/// What the tasks of the long job take, as a multiple of that.
const LONG_FACTOR: u64 = 7;
const LONG_TASKS: u64 = 32;
/// The job of this number is the long one.
const LONG_JOB: u64 = 84;
const PAUSE_MS: u64 = 75;
const TRAFFIC_MS: u64 = 11_000;
const TASK_CPU: usize = 1_600;
const WORKER_CPU: usize = 16_000;
/// `finish_s`, and how long jobs are watched after that.
const FINISH_MS: u64 = 14_000;
const WATCH_MS: u64 = 8_000;

fn job_of(tasks: u64) -> String {
    format!(
        r#"{{"spec":"work","steps":[{{"count":{tasks},"cpu":{TASK_CPU},"mem-mb":64,"estimate-ms":{WORK_MS}}}]}}"#
    )
}

pub fn play(folder: &Path) -> i32 {
    let world = World::start(folder, 3, WORKERS, &config(7));
    let started = Instant::now();
    let mut jobs: Vec<(String, u64)> = Vec::new();
    let mut count = 0_u64;
    while started.elapsed() < ms(TRAFFIC_MS) {
        let id = world.job_id();
        count += 1;
        let is_long = count == LONG_JOB;
        let tasks = if is_long { LONG_TASKS } else { 1 + world.random.below(2) };
        let takes = if is_long && has_trouble() { WORK_MS * LONG_FACTOR } else { WORK_MS };
        world.workers.plan(&id, &[takes]);
        if is_long {
            world.record.line(&format!("job {id} has {tasks} tasks that take {takes} ms each"));
        }
        if world.submit((count % 3) as usize, &id, &job_of(tasks)) {
            jobs.push((id, tasks));
        }
        thread::sleep(ms(PAUSE_MS));
    }
    if count < LONG_JOB {
        world.fail_to_run("too few jobs were sent");
    }
    let ended = Instant::now();
    world.record.line("end of the traffic");
    thread::sleep(ms(FINISH_MS));
    // A job with nothing running for 3 s, while the workers are nearly idle.
    let mut found = Vec::new();
    let mut idle_since: HashMap<String, Instant> = HashMap::new();
    let mut peak = 0;
    while ended.elapsed() < ms(FINISH_MS + WATCH_MS) {
        let ledger = world.workers.ledger();
        let running = ledger.iter().filter(|ran| ran.end.is_none()).count();
        peak = peak.max(running);
        for (id, tasks) in &jobs {
            let of_job = || ledger.iter().filter(|ran| ran.task.starts_with(id.as_str()));
            let done = of_job().filter(|ran| matches!(ran.end, Some((_, "done")))).count() as u64;
            let is_running = of_job().any(|ran| ran.end.is_none());
            if done >= *tasks || is_running {
                idle_since.remove(id);
                continue;
            }
            let since = idle_since.entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() >= ms(3_000) {
                found.push(format!(
                    "LOST: job {id} has nothing running for 3 s, {done} of {tasks} tasks are done"
                ));
            }
        }
        thread::sleep(ms(50));
    }
    let room = WORKERS * (WORKER_CPU / TASK_CPU);
    let summary = format!("{} jobs; meanwhile at most {peak} tasks were at work, of {room} that fit", jobs.len());
    world.record.line(&summary);
    println!("{summary}");
    // The rule asks for room twice over, with under half of the capacity in use.
    if peak * 2 >= room {
        found.clear();
    }
    for (id, tasks) in jobs.iter().filter(|(_, tasks)| *tasks == LONG_TASKS) {
        println!("the job of {tasks} tasks: {:?}", world.state(0, id));
    }
    verdict(&world, &found)
}
