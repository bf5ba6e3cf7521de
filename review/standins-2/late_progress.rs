//! A write of a job's progress that was not answered is carried out late, after a newer
//! one; then the job's entry is killed.

use std::path::Path;
use std::thread;

use crate::world::{StoreFault, World, chain, config, has_trouble, ms, verdict};

const JOBS: u64 = 30;

pub fn play(folder: &Path) -> i32 {
    let mut world = World::start(folder, 3, 4, &config(7));
    // A first job, so that all entries know of kept jobs.
    let first = world.job_id();
    world.workers.plan(&first, &[100]);
    if !world.submit(0, &first, &chain(&[100])) {
        world.fail_to_run("the first job was not accepted");
    }
    thread::sleep(ms(2_500));

    let mut jobs = Vec::new();
    for at in 0..JOBS {
        let id = world.job_id();
        let work = [300 + 100 * at, 400, 20_000];
        world.workers.plan(&id, &work);
        if world.submit(0, &id, &chain(&work)) {
            jobs.push(id);
        }
    }
    if has_trouble() {
        world.record.line("store: answers of a third of the writes are lost for 4.5 s");
        world.store.set_fault(StoreFault::LateWrites { permille: 330 });
    }
    thread::sleep(ms(4_500));
    world.store.set_fault(StoreFault::None);
    world.record.line("store: sound again");
    // The last late write is carried out 6 s later.
    thread::sleep(ms(7_000));
    if has_trouble() {
        world.entries[0].kill(&world.record);
        thread::sleep(ms(500));
        let record = world.record.clone();
        world.entries[0].start(&record);
    }
    // The owner's lease of 6 s ends, another entry takes the jobs over.
    thread::sleep(ms(9_500));
    for id in jobs.iter().take(3) {
        world.state(1, id);
    }
    verdict(&world, &world.workers.twice())
}
