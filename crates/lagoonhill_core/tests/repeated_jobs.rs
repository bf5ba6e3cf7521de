//! Best-effort jobs that their callers send to a second entry while the first one may
//! still run them: a request that was held on its way, or a caller whose connection
//! broke without a notice.

mod support;

use std::collections::HashMap;

use lagoonhill_core::Timing;
use lagoonhill_core::entry::{CallerId, Cause, EntryEffect, RunCertainty, Submission};
use lagoonhill_protocol::Packet;
use lagoonhill_standin::{NodeId, StopResult};
use lagoonhill_types::prelude::*;
use support::{TestWorld, config, failure, is_complete, queue_job, queue_rules, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const ENTRIES: usize = 4;
const TASKS: u16 = 2;

/// Long enough for the second submission to arrive while the first one runs.
const RUN_MS: u64 = 900;

fn fleet(seed: u64) -> TestWorld {
    fleet_with_delay(seed, 1)
}

/// A fleet whose packets take `delay_ms` each way.
fn fleet_with_delay(seed: u64, delay_ms: u64) -> TestWorld {
    let mut config = config(ENTRIES, 6, seed);
    config.rules = queue_rules();
    config.timing = Timing::SUB_SECOND;
    config.overcommit = 0;
    config.network.delay_ms = delay_ms;
    let mut world = world(&config);
    world.stop_result = StopResult::Interrupted;
    world
}

fn job(name: &str) -> Submission {
    let mut job = queue_job("short", name, TASKS, MilliProcessors(1_000), RUN_MS);
    job.deadline_ms = Some(DurationMs(1_500));
    job
}

/// Tasks of the jobs that have started more than once.
fn repeated_starts(world: &TestWorld) -> Vec<String> {
    let repeated = world.starts.iter().filter(|(_, count)| **count > 1);
    repeated
        .map(|(payload, count)| {
            let task = String::from_utf8_lossy(payload.as_slice());
            format!("{task}: {count} starts")
        })
        .collect()
}

/// Whether the caller was told that its job may run, without an answer from it.
fn may_run_elsewhere(world: &TestWorld, caller: CallerId) -> bool {
    failure(world, caller).is_some_and(|(run, _)| run == RunCertainty::MayHaveRun)
}

cases! {
    // Guards against two runs at once when a caller sends its job to another entry while
    // the first one runs it (issue 49).
    a_job_that_another_entry_runs_is_not_started => {
        for (seed, name) in (1..).zip(["a", "b", "c", "d", "e", "f", "g", "h"]) {
            let mut world = fleet(seed);
            let first = world.submit_named(0, job(name));
            world.run_for(150);
            let second = world.submit_named(1, job(name));
            world.run_for(200);
            assert!(may_run_elsewhere(&world, second), "job {name}");
            world.run_for(2_000);
            assert!(is_complete(&world, first), "job {name}");
            assert_eq!(repeated_starts(&world), Vec::<String>::new(), "job {name}");
        }
    }

    // Guards against an entry that goes without a lease because its path is slow.
    a_job_that_another_entry_runs_is_not_started_over_a_slow_path => {
        for (seed, name) in (1..).zip(["a", "b", "c", "d", "e", "f", "g", "h"]) {
            let mut world = fleet_with_delay(seed, 70);
            let first = world.submit_named(0, job(name));
            world.run_for(250);
            let second = world.submit_named(1, job(name));
            world.run_for(300);
            assert!(may_run_elsewhere(&world, second), "job {name}");
            world.run_for(2_000);
            assert!(is_complete(&world, first), "job {name}");
            assert_eq!(repeated_starts(&world), Vec::<String>::new(), "job {name}");
        }
    }

    // Guards against entries whose connections have gone silent for good.
    a_job_that_another_entry_runs_is_not_started_after_its_path_went_silent => {
        for (seed, name) in (1..).zip(["a", "b", "c", "d", "e", "f", "g", "h"]) {
            let mut world = fleet(seed);
            for (from, to) in (0..ENTRIES).flat_map(|from| (0..ENTRIES).map(move |to| (from, to))) {
                world.silence(NodeId::Entry(from), NodeId::Entry(to));
            }
            let first = world.submit_named(0, job(name));
            world.run_for(300);
            let second = world.submit_named(1, job(name));
            world.run_for(300);
            assert!(may_run_elsewhere(&world, second), "job {name}");
            world.run_for(2_000);
            assert!(is_complete(&world, first), "job {name}");
            assert_eq!(repeated_starts(&world), Vec::<String>::new(), "job {name}");
        }
    }

    // Guards against a lease that goes to each of two requests on their way to its home.
    requests_of_the_same_moment_start_a_job_once => {
        for (seed, name) in (1..).zip(["a", "b", "c", "d", "e", "f", "g", "h"]) {
            let mut world = fleet(seed);
            let callers: Vec<CallerId> = (0..ENTRIES)
                .map(|entry| world.submit_named(entry, job(name)))
                .collect();
            world.run_for(2_000);
            let complete = callers.iter().filter(|caller| is_complete(&world, **caller));
            assert_eq!(complete.count(), 1, "job {name}");
            assert_eq!(repeated_starts(&world), Vec::<String>::new(), "job {name}");
        }
    }

    // Guards against a lease that is kept for a job that has ended.
    a_job_that_has_ended_may_be_sent_again => {
        let mut world = fleet(1);
        let first = world.submit_named(0, job("again"));
        world.run_for(1_200);
        assert!(is_complete(&world, first));
        let second = world.submit_named(1, job("again"));
        world.run_for(1_200);
        assert!(is_complete(&world, second));
    }

    // Guards against a job that is refused as running elsewhere although all its runs have
    // ended.
    a_job_whose_runs_have_all_failed_may_be_sent_again_at_once => {
        let mut world = fleet(1);
        let mut job = queue_job("short", "hopeless", 1, MilliProcessors(1_000), 40);
        job.deadline_ms = Some(DurationMs(1_500));
        let first = world.submit_named(0, job.clone());
        world.run_for(500);
        assert!(failure(&world, first).is_some());
        let second = world.submit_named(1, job);
        world.run_for(500);
        let failed = failure(&world, second).map(|(_, cause)| cause);
        assert_ne!(failed, Some(Cause::RunsElsewhere.to_string()));
    }

    // Guards against a lease that outlives its holder: callers send a job again 1,300 ms
    // after their connection broke.
    a_job_of_a_lost_entry_may_be_sent_again => {
        for lost_after_ms in [5, 100, 190, 210, 390, 600] {
            let mut world = fleet(lost_after_ms);
            world.submit_named(0, job("lost"));
            world.run_for(lost_after_ms);
            world.kill(NodeId::Entry(0));
            world.run_for(1_300);
            let second = world.submit_named(1, job("lost"));
            world.run_for(1_400);
            assert!(is_complete(&world, second), "lost after {lost_after_ms} ms");
        }
    }

    // Guards against jobs that wait for a home that does not answer.
    a_lost_home_delays_no_job_for_long => {
        let mut world = fleet(1);
        world.freeze(NodeId::Entry(3), 5_000);
        let names: Vec<String> = (0..24).map(|number| format!("job-{number}")).collect();
        let callers: Vec<CallerId> = names
            .iter()
            .map(|name| {
                let mut job = job(name);
                job.tasks.truncate(1);
                if let Some(queued) = &mut job.queued {
                    queued.steps[0].count = 1;
                    queued.steps[0].estimate_ms = DurationMs(40);
                }
                job.tasks[0] = Payload::from(format!("40 {name}").into_bytes());
                let caller = world.submit_named(0, job);
                world.run_for(25);
                caller
            })
            .collect();
        world.run_for(300);
        assert!(callers.iter().all(|caller| is_complete(&world, *caller)));
    }

    // Guards against homes that get many times their share of the names.
    numbered_names_are_spread_over_the_homes => {
        let mut world = fleet(1);
        let mut requests: HashMap<Incarnation, usize> = HashMap::new();
        world.with_entry(0, |entry, now| {
            for number in 0..400 {
                entry.submit_named(CallerId(1_000 + number), job(&format!("job-{number}")), now);
            }
            for effect in entry.poll_effects(now) {
                if let EntryEffect::Send { packet: Packet::NameRequest(request), .. } = effect {
                    *requests.entry(request.home).or_default() += 1;
                }
            }
        });
        let most = requests.values().max().copied();
        assert_eq!(requests.len(), ENTRIES - 1, "{requests:?}");
        assert!(most.is_some_and(|most| most < 150), "{requests:?}");
    }

    // Guards against a woken entry that goes on with a job that another one has taken.
    a_woken_entry_starts_nothing_that_another_runs => {
        for seed in 1..9 {
            let mut world = fleet(seed);
            world.submit_named(0, job("woken"));
            world.run_for(20);
            world.freeze(NodeId::Entry(0), 1_400);
            world.run_for(1_330);
            let starts = world.starts.values().max().copied();
            let second = world.submit_named(1, job("woken"));
            world.run_for(1_400);
            assert!(is_complete(&world, second), "seed {seed}");
            let most = world.starts.values().max().copied();
            assert!(most <= starts.map(|starts| starts + 1), "seed {seed}: {most:?} starts");
        }
    }
}
