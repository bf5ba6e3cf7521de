//! Load patterns of overload: which jobs are refused, when, and how the others
//! are served.

mod support;

use lagoonhill_core::entry::{CallerId, RunCertainty, Submission, Throughput, Work};
use lagoonhill_standin::NodeId;
use lagoonhill_types::prelude::*;
use support::{TestWorld, class_rules, config, queue_job, submit_timed, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Ten such tasks fill a target.
const TASK_PROCESSORS: MilliProcessors = MilliProcessors(6_400);

/// Longest time until a caller must have its refusal.
const MAX_REFUSAL_MS: u64 = 100;

fn fleet(entries: usize, targets: usize, seed: u64) -> TestWorld {
    let mut config = config(entries, targets, seed);
    config.slots = 10;
    config.rules = class_rules();
    world(&config)
}

fn job(queue: &str, name: &str, run_ms: u64) -> Submission {
    wide_job(queue, name, 1, run_ms)
}

fn wide_job(queue: &str, name: &str, count: u16, run_ms: u64) -> Submission {
    queue_job(queue, name, count, TASK_PROCESSORS, run_ms)
}

/// Outcomes of the submitted jobs.
#[derive(Debug, Default)]
struct Tally {
    submitted: usize,
    in_time: usize,
    answered: usize,
    refused: usize,
    slowest_refusal_ms: u64,
    retries_ms: Vec<u64>,
}

fn tally(world: &TestWorld, callers: &[(CallerId, TimestampMs)], limit_ms: u64) -> Tally {
    let mut tally = Tally {
        submitted: callers.len(),
        ..Tally::default()
    };
    for (caller, submitted_ms) in callers {
        let Some(received) = world.received.get(caller).and_then(|all| all.first()) else {
            continue;
        };
        let taken_ms = received.at_ms.since(*submitted_ms).0;
        match &received.answer.outcome {
            Ok(_) => {
                tally.answered += 1;
                tally.in_time += usize::from(taken_ms <= limit_ms);
            }
            Err(failure) => {
                assert_eq!(failure.run, RunCertainty::NotRun, "{failure:?}");
                tally.refused += 1;
                tally.slowest_refusal_ms = tally.slowest_refusal_ms.max(taken_ms);
                tally
                    .retries_ms
                    .extend(failure.retry_after_ms.map(|retry_ms| retry_ms.0));
            }
        }
    }
    tally
}

/// Runs jobs so that the entries learn their run times.
fn warm_up(world: &mut TestWorld, entries: usize, queue: &str, run_ms: u64) {
    for number in 0..20 {
        world.submit(
            number % entries,
            job(queue, &format!("{queue}-warm{number}"), run_ms),
        );
        world.run_for(run_ms / 2);
    }
    world.run_for(run_ms * 4);
}

fn second(second: u64) -> TimestampMs {
    TimestampMs(second * 1_000)
}

cases! {
    // Load pattern: jobs arrive at twice the capacity for two seconds.
    excess_jobs_are_refused_at_once_and_the_rest_finish_in_time => {
        let mut world = fleet(2, 2, 1);
        warm_up(&mut world, 2, "short", 100);
        let mut callers = Vec::new();
        for number in 0..800 {
            callers.push(submit_timed(&mut world, number % 2, job("short", &format!("flood{number}"), 100)));
            world.run_for(if number % 2 == 0 { 2 } else { 3 });
        }
        world.run_for(2_000);
        let tally = tally(&world, &callers, 220);
        assert!(tally.slowest_refusal_ms <= MAX_REFUSAL_MS, "{tally:?}");
        // The capacity suffices for half of the jobs.
        assert!(tally.in_time * 100 >= tally.submitted * 45, "{tally:?}");
        assert!(tally.in_time * 100 >= tally.answered * 95, "{tally:?}");
    }

    // Load pattern: callers with persistent connections, most of them to one
    // entry. It needs more than an even share of the capacity, which is free.
    an_entry_with_most_callers_gets_most_of_the_capacity => {
        let mut world = fleet(5, 4, 2);
        warm_up(&mut world, 5, "short", 100);
        let mut callers = Vec::new();
        for number in 0..1_200 {
            let entry = if number % 10 < 8 { 0 } else { 1 + number % 4 };
            callers.push(submit_timed(&mut world, entry, job("short", &format!("skewed{number}"), 100)));
            world.run_for(3);
        }
        world.run_for(2_000);
        let tally = tally(&world, &callers, 220);
        assert_eq!(tally.refused, 0, "{tally:?}");
        assert!(tally.in_time * 100 >= tally.submitted * 98, "{tally:?}");
    }

    // Load pattern: an overload of jobs, some with several times as many tasks.
    wide_jobs_are_served_at_least_half_as_often_as_all => {
        let mut world = fleet(2, 4, 3);
        warm_up(&mut world, 2, "short", 100);
        let (mut all, mut wide) = (Vec::new(), Vec::new());
        for number in 0..1_000 {
            let is_wide = number % 10 == 0;
            let width = if is_wide { 6 } else { 1 };
            let name = format!("mixed{number}");
            let submitted = submit_timed(&mut world, number % 2, wide_job("short", &name, width, 100));
            all.push(submitted);
            if is_wide {
                wide.push(submitted);
            }
            world.run_for(2);
        }
        world.run_for(3_000);
        let (all, wide) = (tally(&world, &all, 220), tally(&world, &wide, 220));
        assert!(all.refused > 100, "too few refusals for an overload: {all:?}");
        let share = |tally: &Tally| tally.answered as f64 / tally.submitted as f64;
        assert!(share(&wide) >= share(&all) / 2.0, "{} {}", share(&wide), share(&all));
    }

    // A retry time covers the backlog, and differs between callers so that they
    // don't all return at once.
    refused_callers_are_asked_to_come_back_at_different_times => {
        let mut world = fleet(1, 1, 4);
        warm_up(&mut world, 1, "short", 100);
        let mut callers = Vec::new();
        for number in 0..300 {
            callers.push(submit_timed(&mut world, 0, job("short", &format!("back{number}"), 100)));
            world.run_for(3);
        }
        world.run_for(2_000);
        let mut tally = tally(&world, &callers, 220);
        assert!(tally.retries_ms.len() > 50, "{tally:?}");
        tally.retries_ms.sort_unstable();
        tally.retries_ms.dedup();
        assert!(tally.retries_ms.len() >= 10, "{:?}", tally.retries_ms);
    }

    // An entry that is disconnected from every target can't serve any caller.
    an_entry_without_a_reachable_target_refuses_at_once => {
        let mut world = fleet(2, 3, 5);
        warm_up(&mut world, 2, "short", 100);
        for agent in 0..3 {
            world.partition(NodeId::Entry(0), NodeId::Agent(agent));
        }
        world.run_for(20_000);
        let mut callers = Vec::new();
        for number in 0..20 {
            callers.push(submit_timed(&mut world, 0, job("short", &format!("cut{number}"), 100)));
            world.run_for(20);
        }
        world.run_for(1_000);
        let tally = tally(&world, &callers, 220);
        assert_eq!(tally.refused, tally.submitted, "{tally:?}");
        assert!(tally.slowest_refusal_ms <= MAX_REFUSAL_MS, "{tally:?}");
    }

    // One malformed request must not crash the process.
    absurd_estimates_do_not_stop_the_entry => {
        let mut world = fleet(1, 1, 6);
        for estimate_ms in [u64::MAX, u64::MAX / 1_000, 0] {
            for number in 0..20 {
                let name = format!("absurd{estimate_ms}-{number}");
                let mut submission = job("short", &name, 100);
                submission.run_time_ms = Some(DurationMs(estimate_ms));
                if let Some(order) = &mut submission.queued {
                    order.steps[0].estimate_ms = DurationMs(estimate_ms);
                }
                world.submit(0, submission);
                world.run_for(10);
            }
        }
        world.run_for(7_000);
        let submitted = submit_timed(&mut world, 0, job("short", "sound", 100));
        world.run_for(1_000);
        let tally = tally(&world, &[submitted], 400);
        assert_eq!(tally.answered, 1, "{tally:?}");
    }

    throughput_is_known_only_after_jobs_have_waited => {
        let mut throughput = Throughput::default();
        throughput.record_placed(Work(1_000), second(1));
        assert_eq!(throughput.placed_per_s(second(1)), None);
        throughput.set_waiting(true, second(1));
        assert_eq!(throughput.placed_per_s(second(1) + DurationMs(20)), None);
        let after = second(1) + DurationMs(100);
        throughput.record_placed(Work(1_000), after);
        assert_eq!(throughput.placed_per_s(after), Some(Work(20_000)));
        throughput.set_waiting(false, after);
        assert_eq!(throughput.placed_per_s(after), None);
    }

    old_placements_do_not_count_in_throughput => {
        let mut throughput = Throughput::default();
        throughput.set_waiting(true, second(1));
        throughput.record_placed(Work(1_000_000), second(1));
        throughput.record_placed(Work(500), second(9));
        assert_eq!(throughput.placed_per_s(second(9)), Some(Work(1_000)));
    }
}
