//! Two entries restart a second apart while the store is slow and many jobs are open. One
//! takes over jobs that the other has just accepted and runs.

use std::path::Path;
use std::thread;
use std::time::Instant;

use crate::world::{StoreFault, World, config, has_trouble, ms, verdict};

const WORKERS: usize = 6;
/// The second rack is busy with large jobs.
const RACK: &str = "r1-1";
const WAITING: usize = 500;
/// Bytes of `spec`, at most 4,000.
const SPEC_BYTES: usize = 4_000;
/// 60 times the usual 4 ms.
const SLOW_MS: u64 = 240;

fn job_of(cpu: u64, estimate_ms: u64, spec: &str, rack: Option<&str>) -> String {
    let needs = rack.map_or_else(String::new, |rack| format!(r#","requirements":"{rack}""#));
    format!(
        r#"{{"spec":"{spec}","steps":[{{"count":1,"cpu":{cpu},"mem-mb":64,"estimate-ms":{estimate_ms}{needs}}}]}}"#
    )
}

pub fn play(folder: &Path) -> i32 {
    let mut world = World::start(folder, 3, WORKERS, &config(7));
    let first = world.job_id();
    world.workers.plan(&first, &[5]);
    if !world.submit(0, &first, &job_of(400, 5, "work", None)) {
        world.fail_to_run("the first job was not accepted");
    }
    thread::sleep(ms(2_500));
    for _ in 0..3 {
        let id = world.job_id();
        world.workers.plan(&id, &[90_000]);
        let body = job_of(16_000, 90_000, "work", Some(RACK));
        if !matches!(world.request(0, "POST", &format!("/large/{id}"), &body), Some((200..=299, _))) {
            world.fail_to_run("a large job was not accepted");
        }
    }
    let spec = "w".repeat(SPEC_BYTES);
    let mut waiting = 0;
    for _ in 0..WAITING {
        let id = world.job_id();
        world.workers.plan(&id, &[5]);
        waiting += usize::from(world.submit(0, &id, &job_of(8_000, 1, &spec, Some(RACK))));
    }
    if waiting < WAITING * 9 / 10 {
        world.fail_to_run("too few jobs were accepted");
    }
    let record = world.record.clone();
    record.line(&format!("{waiting} jobs wait for the rack at entry 0"));
    if has_trouble() {
        record.line("store: slow for 4.5 s");
        world.store.set_fault(StoreFault::Slow { ms: SLOW_MS });
    }
    let started = Instant::now();
    let wait_until = |at_ms: u64| {
        let at = started + ms(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    for (entry, at_ms) in [(1, 200), (2, 1_200)] {
        if has_trouble() {
            wait_until(at_ms);
            world.entries[entry].kill(&record);
            wait_until(at_ms + 500);
            world.entries[entry].start(&record);
        }
    }
    wait_until(1_750);
    // Clients of the zone of entry 2 go on to send jobs, which fit on the idle workers.
    let world = &world;
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                while started.elapsed() < ms(3_500) {
                    let id = world.job_id();
                    world.workers.plan(&id, &[4_000]);
                    let body = job_of(400, 4_000, "work", None);
                    world.request(2, "POST", &format!("/large/{id}"), &body);
                    thread::sleep(ms(50));
                }
            });
        }
        wait_until(4_500);
        world.store.set_fault(StoreFault::None);
        record.line("store: sound again");
    });
    wait_until(10_000);
    verdict(world, &world.workers.twice())
}
