//! Many jobs want the same rack, which is busy; others wait behind them although the other
//! workers are idle.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::Instant;

use crate::world::{World, config, has_trouble, ms, verdict};

const WORKERS: usize = 11;
/// The last rack has two workers.
const RACK: &str = "r1-3";
const RACK_WORKERS: usize = 2;
const WORKER_CPU: usize = 16_000;
const TASK_CPU: usize = 400;
const TASK_MS: u64 = 60;
/// 25 jobs a second, of which three in five want the rack for 5.5 s.
const PAUSE_MS: u64 = 40;
const HOT_MS: u64 = 5_500;
const TRAFFIC_MS: u64 = 7_000;
const FINISH_MS: u64 = 14_000;
const WATCH_MS: u64 = 8_000;

fn job_of(cpu: usize, estimate_ms: u64, rack: Option<&str>) -> String {
    let needs = rack.map_or_else(String::new, |rack| format!(r#","requirements":"{rack}""#));
    format!(
        r#"{{"spec":"work","steps":[{{"count":1,"cpu":{cpu},"mem-mb":64,"estimate-ms":{estimate_ms}{needs}}}]}}"#
    )
}

fn accepted(world: &World, path: &str, body: &str) -> bool {
    matches!(world.request(0, "POST", path, body), Some((200..=299, _)))
}

pub fn play(folder: &Path) -> i32 {
    let world = World::start(folder, 3, WORKERS, &config(7));
    let first = world.job_id();
    world.workers.plan(&first, &[TASK_MS]);
    if !world.submit(0, &first, &job_of(TASK_CPU, TASK_MS, None)) {
        world.fail_to_run("the first job was not accepted");
    }
    thread::sleep(ms(2_500));
    // Large jobs: the rack is busy for a minute, the other workers for eight seconds.
    for at in 0..WORKERS {
        let id = world.job_id();
        let (work, rack) = if at < RACK_WORKERS { (60_000, Some(RACK)) } else { (8_000, None) };
        world.workers.plan(&id, &[work]);
        if !accepted(&world, &format!("/large/{id}"), &job_of(WORKER_CPU, work, rack)) {
            world.fail_to_run("a large job was not accepted");
        }
        thread::sleep(ms(100));
    }
    let started = Instant::now();
    let (mut wants_rack, mut plain) = (Vec::new(), Vec::new());
    let mut count = 0_u64;
    while started.elapsed() < ms(TRAFFIC_MS) {
        let id = world.job_id();
        count += 1;
        let is_hot = started.elapsed() < ms(HOT_MS) && count % 5 < 3;
        let rack = (is_hot && has_trouble()).then_some(RACK);
        world.workers.plan(&id, &[TASK_MS]);
        if accepted(&world, &format!("/desk/{id}"), &job_of(TASK_CPU, TASK_MS, rack)) {
            if rack.is_some() { wants_rack.push(id) } else { plain.push(id) }
        }
        thread::sleep(ms(PAUSE_MS - 18));
    }
    let ended = Instant::now();
    let summary = format!("accepted: {} jobs for the rack, {} for any worker", wants_rack.len(), plain.len());
    world.record.line(&summary);
    println!("{summary}");
    thread::sleep(ms(FINISH_MS));
    let mut found = Vec::new();
    let mut idle_since: HashMap<String, Instant> = HashMap::new();
    let mut peak = 0;
    while ended.elapsed() < ms(FINISH_MS + WATCH_MS) {
        let ledger = world.workers.ledger();
        peak = peak.max(ledger.iter().filter(|ran| ran.end.is_none()).count());
        for id in &plain {
            if ledger.iter().any(|ran| ran.task.starts_with(id.as_str())) {
                idle_since.remove(id);
                continue;
            }
            let since = idle_since.entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() >= ms(3_000) {
                found.push(format!("LOST: job {id} has nothing running for 3 s, and could run on any worker"));
            }
        }
        thread::sleep(ms(50));
    }
    let summary = format!("meanwhile at most {peak} tasks were at work, on {WORKERS} workers");
    world.record.line(&summary);
    println!("{summary}");
    // Under half of the capacity is in use.
    if peak * 2 >= WORKERS {
        found.clear();
    }
    verdict(&world, &found)
}
