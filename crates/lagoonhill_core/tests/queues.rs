//! Jobs submitted to queues: steps, reruns, lost workers, and the load patterns
//! that tiers, objective-aware placement and agents' reports handle.

mod support;

use lagoonhill_core::entry::{
    CallerId, Decision, DecisionKind, Needs, QueueSubmission, Step, Submission,
};
use lagoonhill_standin::{NodeId, StopResult, TargetModel};
use lagoonhill_types::prelude::*;
use support::{
    TestWorld, average_target, class_rules, config, is_complete, service, submit_timed, world,
};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// A fleet of targets with ten slots each, one for each model.
fn fleet(entries: usize, targets: Vec<TargetModel>, seed: u64) -> TestWorld {
    let mut config = config(entries, targets.len(), seed);
    config.targets = targets;
    config.slots = 10;
    config.rules = class_rules();
    let mut world = world(&config);
    world.stop_result = StopResult::Interrupted;
    world
}

fn step(count: u16, after: &[u16], run_ms: u64) -> Step {
    Step {
        count,
        after: after.to_vec(),
        needs: Needs::of(Resources {
            processors: MilliProcessors(6_000),
            ..Resources::default()
        }),
        estimate_ms: DurationMs(run_ms),
    }
}

fn job(queue: &str, name: &str, steps: Vec<Step>) -> Submission {
    let mut tasks = Vec::new();
    for (position, step) in steps.iter().enumerate() {
        for index in 0..step.count {
            let text = format!("{} {name} {position} {index}", step.estimate_ms.0);
            tasks.push(Payload::from(text.into_bytes()));
        }
    }
    Submission {
        service: service(),
        team: queue.parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs(6_000)),
        waited_ms: DurationMs::ZERO,
        run_time_ms: steps.iter().map(|step| step.estimate_ms).max(),
        needs: Needs::default(),
        tasks,
        durable: false,
        queued: Some(QueueSubmission {
            queue: queue.parse().expect("the name is valid"),
            name: name.parse().expect("the name is valid"),
            steps,
        }),
    }
}

fn simple(queue: &str, name: &str, count: u16, run_ms: u64) -> Submission {
    job(queue, name, vec![step(count, &[], run_ms)])
}

/// Share of callers with a successful answer within `limit_ms` of their request.
fn share_in_time(world: &TestWorld, callers: &[(CallerId, TimestampMs)], limit_ms: u64) -> f64 {
    let is_in_time = |(caller, submitted_ms): &&(CallerId, TimestampMs)| {
        let received = world.received.get(caller).and_then(|all| all.first());
        received.is_some_and(|received| {
            received.answer.outcome.is_ok() && received.at_ms.since(*submitted_ms).0 <= limit_ms
        })
    };
    let count = callers.iter().filter(is_in_time).count();
    count as f64 / callers.len() as f64
}

cases! {
    steps_run_after_their_prerequisites => {
        let mut world = fleet(1, vec![average_target(); 2], 1);
        let steps = vec![step(3, &[], 50), step(2, &[0], 30), step(1, &[0, 1], 10)];
        let caller = world.submit(0, job("short", "stepped", steps));
        world.run_for(1_000);
        assert!(is_complete(&world, caller));
        let starts = |position: usize| {
            let prefix = format!(" stepped {position} ");
            let times: Vec<TimestampMs> = world
                .started_ms
                .iter()
                .filter(|(payload, _)| String::from_utf8_lossy(payload.as_slice()).contains(&prefix))
                .map(|(_, at_ms)| *at_ms)
                .collect();
            (*times.iter().min().expect("no task of the step started"), *times.iter().max().expect("no task of the step started"))
        };
        assert!(starts(1).0 >= starts(0).1 + DurationMs(50));
        assert!(starts(2).0 >= starts(1).1 + DurationMs(30));
    }

    a_failed_task_is_retried_on_another_worker => {
        let failing = TargetModel { fails_all: true, ..average_target() };
        let mut world = fleet(1, vec![failing, average_target()], 2);
        let callers: Vec<_> = (0..12)
            .map(|number| {
                let caller = world.submit(0, simple("fragile", &format!("job{number}"), 1, 20));
                world.run_for(40);
                caller
            })
            .collect();
        world.run_for(1_000);
        let lost: Vec<_> = callers.iter().filter(|caller| !is_complete(&world, **caller)).collect();
        let why: Vec<_> = lost.iter().map(|caller| support::failure(&world, **caller)).collect();
        assert!(lost.is_empty(), "jobs failed although another worker was healthy: {why:?}");
    }

    a_job_whose_tasks_always_fail_ends_after_its_attempts => {
        let failing = TargetModel { fails_all: true, ..average_target() };
        let mut world = fleet(1, vec![failing; 3], 3);
        let caller = world.submit(0, simple("fragile", "poison", 1, 20));
        world.run_for(1_000);
        assert!(!is_complete(&world, caller));
        assert_eq!(world.starts.values().sum::<u32>(), 2, "number of attempts");
    }

    tasks_of_a_lost_worker_are_rerun_once_their_runs_are_over => {
        let mut world = fleet(1, vec![average_target(); 2], 4);
        let mut submission = simple("long", "lost", 8, 2_000);
        submission.deadline_ms = Some(DurationMs::from_secs(30));
        let caller = world.submit(0, submission);
        world.run_for(100);
        world.kill(NodeId::Agent(0));
        world.run_for(19_000);
        assert!(is_complete(&world, caller), "the tasks of a lost worker were not run again");
    }

    submitting_the_same_name_twice_gives_one_job => {
        let mut world = fleet(1, vec![average_target(); 2], 5);
        let key = "twice".parse::<RequestKey>().expect("the name is valid");
        let first = world.submit_key(0, &key, simple("short", "twice", 4, 200));
        world.run_for(50);
        let second = world.submit_key(0, &key, simple("short", "twice", 4, 200));
        world.run_for(1_000);
        assert!(is_complete(&world, first) && is_complete(&world, second));
        assert!(world.starts.values().all(|count| *count == 1), "a task ran twice");
    }

    // Load pattern: jobs arrive at a third over the capacity for two seconds.
    // Ordered by due time alone, nearly every one of them ends late.
    most_jobs_finish_in_time_under_overload => {
        let mut world = fleet(2, vec![average_target(); 2], 6);
        let mut callers = Vec::new();
        for number in 0..400 {
            let entry = number % 2;
            callers.push(submit_timed(&mut world, entry, simple("short", &format!("flood{number}"), 1, 100)));
            world.run_for(if number % 3 == 0 { 3 } else { 4 });
        }
        world.run_for(3_000);
        let share = share_in_time(&world, &callers, 100 * 16 / 10 + 60);
        assert!(share > 0.6, "a share of {share} finished in time");
    }

    // Load pattern: a busy fleet of workers of unequal speed. A long task that
    // starts on a slow worker is late in any case.
    long_tasks_wait_for_a_worker_that_is_fast_enough => {
        let slow = TargetModel { slowness_permille: 1_900, ..average_target() };
        let fast = TargetModel { slowness_permille: 800, ..average_target() };
        let mut world = fleet(1, vec![slow, fast], 7);
        for number in 0..60 {
            world.submit(0, simple("long", &format!("learn{number}"), 1, 300));
            world.run_for(150);
        }
        world.run_for(1_000);
        let mut callers = Vec::new();
        for round in 0..10 {
            for number in 0..14 {
                let name = format!("long{round}-{number}");
                callers.push(submit_timed(&mut world, 0, simple("long", &name, 1, 300)));
            }
            world.run_for(700);
        }
        world.run_for(2_000);
        let share = share_in_time(&world, &callers, 300 * 16 / 10 + 60);
        assert!(share > 0.9, "a share of {share} finished in time");
    }

    // Load pattern: a target on which all tasks stall. Each of several entries
    // sees too few of its tasks to detect it; the agent sees all of them.
    stalled_tasks_are_withdrawn_and_run_elsewhere => {
        let mut world = fleet(4, vec![average_target(); 3], 8);
        for number in 0..60 {
            world.submit(number % 4, simple("short", &format!("learn{number}"), 1, 50));
            world.run_for(20);
        }
        world.set_target(0, TargetModel { slowness_permille: 400_000, ..average_target() });
        let mut callers = Vec::new();
        for number in 0..200 {
            callers.push(submit_timed(&mut world, number % 4, simple("short", &format!("hang{number}"), 1, 50)));
            world.run_for(10);
        }
        world.run_for(2_000);
        let share = share_in_time(&world, &callers, 1_500);
        assert!(share > 0.97, "{share} of the callers were served within 1.5 s");
    }

    // The first frame of a session often arrives before the welcome.
    a_start_right_after_the_hello_is_not_delayed => {
        for seed in 0..20 {
            let mut world = fleet(1, vec![average_target()], 100 + seed);
            let caller = world.submit(0, simple("short", "first", 1, 20));
            world.run_for(100);
            assert!(is_complete(&world, caller), "seed {seed}");
        }
    }

    // Guards against a task that runs twice at the same time: only the connection is
    // cut, and the worker still runs its tasks.
    a_disconnected_worker_stops_its_tasks_before_they_run_elsewhere => {
        let mut world = fleet(1, vec![average_target(); 2], 10);
        let mut submission = simple("long", "cut", 8, 15_000);
        submission.deadline_ms = Some(DurationMs::from_secs(60));
        world.submit(0, submission);
        world.run_for(100);
        let disconnected = usize::from(world.starts_at[1] > world.starts_at[0]);
        let before = world.starts.values().sum::<u32>();
        world.partition(NodeId::Entry(0), NodeId::Agent(disconnected));
        for _ in 0..14_000 {
            world.run_for(1);
            if world.starts.values().sum::<u32>() > before {
                break;
            }
        }
        assert!(world.starts.values().sum::<u32>() > before, "no task was started on the other worker");
        let running = world.agent(disconnected).map_or(0, lagoonhill_core::agent::Agent::running);
        assert_eq!(running, 0, "tasks run on both workers at the same time");
    }

    // Load pattern: an overload that lasts longer than any promised time. A job
    // that can't start in time is refused as soon as that is known, not when its
    // time is over.
    a_job_that_cannot_start_in_time_is_refused_early => {
        let mut world = fleet(1, vec![average_target(); 1], 11);
        let mut callers = Vec::new();
        for number in 0..300 {
            let name = format!("flood{number}");
            callers.push(submit_timed(&mut world, 0, simple("long", &name, 1, 600)));
            world.run_for(10);
        }
        world.run_for(8_000);
        let promised_ms = 600 * 16 / 10 + 60;
        let refusals: Vec<u64> = callers
            .iter()
            .filter_map(|(caller, submitted_ms)| {
                let received = world.received[caller].first()?;
                let failure = received.answer.outcome.as_ref().err()?;
                assert!(failure.retry_after_ms.is_some(), "the refusal has no retry time: {failure}");
                Some(received.at_ms.since(*submitted_ms).0)
            })
            .collect();
        assert!(refusals.len() > 50, "too few jobs were refused for an overload");
        let early = refusals.iter().filter(|refused_after_ms| **refused_after_ms <= promised_ms).count();
        assert!(early * 10 > refusals.len() * 9, "{early} of {} refusals came within the promised time", refusals.len());
    }

    // Load pattern: the tasks of one job in ten fail on every worker, which says
    // nothing about the workers.
    jobs_that_always_fail_quarantine_no_worker => {
        let mut quarantines = 0;
        for seed in 0..5 {
            let mut world = fleet(3, vec![average_target(); 6], 60 + seed);
            world.record_decisions = true;
            for number in 0..400 {
                let mark = if number % 10 == 0 { "hopeless" } else { "sound" };
                world.submit(number % 3, simple("short", &format!("{mark}{number}"), 6, 50));
                world.run_for(12);
            }
            let is_quarantine = |decision: &&Decision| matches!(decision.kind, DecisionKind::Quarantined { .. });
            quarantines += world.decisions.iter().filter(is_quarantine).count();
        }
        assert_eq!(quarantines, 0, "healthy workers were quarantined");
    }

    // Tasks of this queue have two attempts, which must not both go to the failing
    // worker.
    a_wide_job_completes_despite_a_worker_that_fails_every_task => {
        for seed in 0..10 {
            let failing = TargetModel { fails_all: true, ..average_target() };
            let mut world = fleet(1, vec![failing, average_target()], 20 + seed);
            let caller = world.submit(0, simple("fragile", "wide", 10, 20));
            world.run_for(2_000);
            assert!(is_complete(&world, caller), "seed {seed}: {:?}", support::failure(&world, caller));
        }
    }

    // Load pattern: light load on workers of unequal speed. The slow ones get
    // hardly any tasks, so what was learned about them becomes outdated.
    estimates_stay_accurate_under_light_load => {
        for seed in 0..3 {
            let slow = TargetModel { slowness_permille: 1_900, ..average_target() };
            let fast = TargetModel { slowness_permille: 800, ..average_target() };
            let mut world = fleet(1, vec![fast, slow, fast, slow], 40 + seed);
            world.record_decisions = true;
            for number in 0..3_000 {
                let tasks = 1 + number % 8;
                world.submit(0, simple("short", &format!("calm{number}"), tasks, 100));
                world.run_for(60);
            }
            let promised = |decision: &Decision| match decision.kind {
                DecisionKind::Admitted { promised_ms, .. } => promised_ms,
                _ => None,
            };
            let last = world.decisions.iter().rev().find_map(promised).expect("no job was admitted with a promised time");
            let fair = 60 + 100 * 16 / 10;
            let shares = (fair * 7 / 10)..=(fair * 2);
            assert!(shares.contains(&last.0), "seed {seed}: {last} is promised for 100 ms of work");
        }
    }
}
