//! Previews of submissions. Guards against a preview that changes what it looks at, and
//! against one that tells something else than what a submission meets.

mod support;

use lagoonhill_core::entry::{DecisionKind, Preview, Submission};
use lagoonhill_types::prelude::*;
use support::{TestWorld, class_rules, config, is_complete, queue_job, service, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn fleet(workers: usize, seed: u64) -> TestWorld {
    let mut config = config(1, workers, seed);
    config.rules = class_rules();
    let mut world = world(&config);
    world.record_decisions = true;
    world
}

fn job(queue: &str, name: &str, count: u16, run_ms: u64) -> Submission {
    queue_job(queue, name, count, MilliProcessors(0), run_ms)
}

fn preview(world: &mut TestWorld, submission: &Submission) -> Preview {
    let mut preview = None;
    world.with_entry(0, |entry, now| {
        preview = Some(entry.preview(submission, now));
    });
    preview.expect("the entry is alive")
}

/// Workers of the tasks of the last job submitted, by task.
fn placed(world: &TestWorld) -> Vec<(TaskIndex, WorkerId)> {
    let job = world
        .decisions
        .iter()
        .rev()
        .find_map(|decision| decision.job);
    let placed = world
        .decisions
        .iter()
        .filter(|decision| decision.job == job);
    placed
        .filter_map(|decision| match &decision.kind {
            DecisionKind::Placed { worker, .. } => Some((decision.index?, worker.clone())),
            _ => None,
        })
        .collect()
}

cases! {
    a_preview_tells_where_the_tasks_then_go => {
        for seed in 0..20 {
            let mut world = fleet(6, seed);
            world.submit(0, job("middle", "before", 5, 400));
            world.run_for(20);
            let submission = job("short", "asked", 4, 100);
            let told = preview(&mut world, &submission);
            world.submit(0, submission);
            let told: Vec<(TaskIndex, WorkerId)> = told
                .placed
                .into_iter()
                .map(|task| (task.index, task.chosen.worker))
                .collect();
            assert_eq!(told, placed(&world), "seed {seed}");
            assert_eq!(told.len(), 4, "seed {seed}");
        }
    }

    a_preview_starts_and_answers_nothing => {
        let mut world = fleet(2, 1);
        let submission = job("short", "asked", 3, 100);
        for _ in 0..5 {
            preview(&mut world, &submission);
        }
        world.run_for(1_000);
        assert!(world.starts.is_empty() && world.received.is_empty() && world.decisions.is_empty());
        let caller = world.submit(0, submission);
        world.run_for(1_000);
        assert!(is_complete(&world, caller));
        assert!(world.starts.values().all(|count| *count == 1));
    }

    the_next_best_worker_is_another_one => {
        let mut world = fleet(3, 2);
        let told = preview(&mut world, &job("short", "asked", 2, 100));
        for task in &told.placed {
            let next = task.next.as_ref().expect("three workers are free");
            assert_ne!(next.worker, task.chosen.worker);
        }
        assert_eq!(told.placed.len(), 2);
    }

    tasks_beyond_the_room_wait => {
        let mut world = fleet(1, 3);
        let told = preview(&mut world, &job("long", "asked", 20, 100));
        assert!(told.refusal.is_none());
        assert_eq!(told.placed.len() + told.waiting_tasks, 20);
        assert!(told.waiting_tasks > 0);
        assert!(told.placed.iter().all(|task| task.next.is_none()), "there is one worker");
    }

    a_refusal_has_its_reason => {
        let mut world = fleet(1, 4);
        let told = preview(&mut world, &job("removed", "asked", 1, 100));
        let refusal = told.refusal.expect("the queue does not exist");
        assert!(refusal.cause.to_string().contains("removed"), "{}", refusal.cause);
        assert!(told.placed.is_empty());
        assert_eq!(told.waiting_tasks, 0);
    }

    a_flood_is_refused_as_it_would_be => {
        let mut world = fleet(1, 5);
        for number in 0..200 {
            world.submit(0, job("short", &format!("flood{number}"), 4, 100));
        }
        let submission = job("short", "asked", 4, 100);
        let told = preview(&mut world, &submission).refusal.expect("it is refused");
        let caller = world.submit(0, submission);
        world.run_for(20);
        let (_, cause) = support::failure(&world, caller).expect("it is refused");
        assert_eq!(told.cause.to_string(), cause);
        assert!(told.retry_after_ms.is_some());
    }

    a_durable_job_is_previewed_without_a_write => {
        let mut world = fleet(2, 6);
        world.extend_ownership(0, 600_000);
        let mut submission = job("short", "kept", 2, 100);
        submission.durable = true;
        let told = preview(&mut world, &submission);
        assert_eq!(told.placed.len(), 2);
        world.run_for(500);
        let name = "kept".parse().expect("the name is valid");
        assert_eq!(world.durable_jobs.state(&name), None);
        assert_eq!(world.entry(0).map(|entry| entry.status().queued_tasks), Some(0));
        assert_eq!(service(), submission.service);
    }
}
