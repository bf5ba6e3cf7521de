//! Too little room: which jobs wait, which are refused, and what bounds starvation.

mod support;

use lagoonhill_core::entry::{CallerId, RunCertainty, Submission};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_types::prelude::*;
use support::{TestWorld, config, queue_job, submit_timed, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Queues of three classes; two organisations have a queue of the middle class.
const RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
queue short service=dispatch class=rush attempts=4 objective=60ms slack-permille=1600  # tests
queue middle service=dispatch class=standard attempts=4 objective=60ms slack-permille=1600  # tests
queue other service=dispatch class=standard attempts=4 objective=60ms slack-permille=1600  # tests
queue long service=dispatch class=office attempts=4 objective=60ms slack-permille=1600  # tests
";

/// Ten such tasks fill a target.
const TASK_PROCESSORS: MilliProcessors = MilliProcessors(6_400);

/// Longest time until a caller must have its refusal.
const MAX_REFUSAL_MS: u64 = 100;

fn fleet(entries: usize, targets: usize, seed: u64) -> TestWorld {
    let mut config = config(entries, targets, seed);
    config.slots = 10;
    config.rules = RuleSet::new(
        Revision(1),
        parse_rules(RULES).expect("the rules are valid"),
    );
    world(&config)
}

fn job(queue: &str, name: &str, count: u16, run_ms: u64) -> Submission {
    queue_job(queue, name, count, TASK_PROCESSORS, run_ms)
}

/// Runs jobs so that the entries learn their run times.
fn warm_up(world: &mut TestWorld, entries: usize, queue: &str, run_ms: u64) {
    for number in 0..20 {
        let name = format!("{queue}-warm{number}");
        world.submit(number % entries, job(queue, &name, 1, run_ms));
        world.run_for(run_ms / 2);
    }
    world.run_for(run_ms * 4);
}

/// Time within which a job with these tasks is to be answered.
fn objective_ms(run_ms: u64) -> u64 {
    run_ms * 1_600 / 1_000 + 60
}

/// Jobs of one kind and when they were submitted.
#[derive(Debug, Default)]
struct Kind {
    run_ms: u64,
    callers: Vec<(CallerId, TimestampMs)>,
}

/// What became of the jobs of a kind.
#[derive(Debug, Default)]
struct Outcomes {
    submitted: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    slowest_refusal_ms: u64,
}

impl Kind {
    fn of(run_ms: u64) -> Self {
        Self {
            run_ms,
            callers: Vec::new(),
        }
    }

    fn submit(&mut self, world: &mut TestWorld, entry: usize, submission: Submission) {
        self.callers.push(submit_timed(world, entry, submission));
    }

    fn outcomes(&self, world: &TestWorld) -> Outcomes {
        let mut outcomes = Outcomes {
            submitted: self.callers.len(),
            ..Outcomes::default()
        };
        for (caller, submitted_ms) in &self.callers {
            let Some(received) = world.received.get(caller).and_then(|all| all.first()) else {
                continue;
            };
            let taken_ms = received.at_ms.since(*submitted_ms).0;
            match &received.answer.outcome {
                Ok(_) if taken_ms <= objective_ms(self.run_ms) => outcomes.in_time += 1,
                Ok(_) => outcomes.late += 1,
                Err(failure) => {
                    assert_eq!(failure.run, RunCertainty::NotRun, "{failure:?}");
                    outcomes.refused += 1;
                    outcomes.slowest_refusal_ms = outcomes.slowest_refusal_ms.max(taken_ms);
                }
            }
        }
        outcomes
    }
}

impl Outcomes {
    /// Whether at least this share of the jobs was in time.
    fn are_in_time(&self, percent: usize) -> bool {
        self.in_time * 100 >= self.submitted * percent
    }
}

cases! {
    // Load: wide jobs of long tasks at three times the capacity, and few small urgent jobs.
    small_urgent_jobs_are_in_time_in_a_burst_of_large_ones => {
        let mut world = fleet(2, 4, 1);
        warm_up(&mut world, 2, "short", 50);
        warm_up(&mut world, 2, "long", 400);
        let (mut urgent, mut large) = (Kind::of(50), Kind::of(400));
        for number in 0..150 {
            // 40 slots do 100 such tasks a second.
            if number % 2 == 0 {
                large.submit(&mut world, number % 2, job("long", &format!("large{number}"), 6, 400));
            }
            urgent.submit(&mut world, number % 2, job("short", &format!("urgent{number}"), 1, 50));
            world.run_for(20);
        }
        world.run_for(3_000);
        let (urgent, large) = (urgent.outcomes(&world), large.outcomes(&world));
        assert!(urgent.are_in_time(95), "{urgent:?}");
        assert!(large.in_time + large.late > 10, "large jobs starve: {large:?}");
    }

    // Load: the fleet is full of jobs of the middle class when urgent ones come.
    urgent_jobs_get_the_room_of_a_full_fleet_as_it_becomes_free => {
        let mut world = fleet(2, 4, 2);
        warm_up(&mut world, 2, "short", 50);
        warm_up(&mut world, 2, "middle", 200);
        let (mut urgent, mut others) = (Kind::of(50), Kind::of(200));
        for number in 0..600 {
            // 40 slots do 200 such tasks a second; 250 come.
            others.submit(&mut world, number % 2, job("middle", &format!("middle{number}"), 1, 200));
            if number > 200 && number % 5 == 0 {
                urgent.submit(&mut world, number % 2, job("short", &format!("urgent{number}"), 1, 50));
            }
            world.run_for(4);
        }
        world.run_for(2_000);
        let (urgent, others) = (urgent.outcomes(&world), others.outcomes(&world));
        assert!(others.refused > 50, "the fleet was not full: {others:?}");
        assert!(urgent.are_in_time(95), "{urgent:?}");
    }

    // Load: one organisation sends three times what the fleet can do, another of the same
    // class a tenth of it. Fair shares would serve the other at once, but a forecast that
    // counts the whole class's backlog refuses it.
    an_organisation_that_floods_the_fleet_does_not_shut_out_another => {
        let mut world = fleet(1, 2, 3);
        warm_up(&mut world, 1, "middle", 100);
        warm_up(&mut world, 1, "other", 100);
        let (mut flood, mut other) = (Kind::of(100), Kind::of(100));
        for number in 0..1_800 {
            // 20 slots do 200 such tasks a second.
            flood.submit(&mut world, 0, job("middle", &format!("flood{number}"), 1, 100));
            if number % 30 == 0 {
                other.submit(&mut world, 0, job("other", &format!("other{number}"), 1, 100));
            }
            world.run_for(if number % 3 == 0 { 1 } else { 2 });
        }
        world.run_for(2_000);
        let (flood, other) = (flood.outcomes(&world), other.outcomes(&world));
        assert!(flood.refused > 500, "there was room for all: {flood:?}");
        assert!(other.are_in_time(90), "{other:?}");
        // What the other leaves is used.
        assert!(flood.in_time * 100 >= flood.submitted * 20, "{flood:?}");
    }

    // Load: many jobs of long tasks of an organisation wait; jobs of short ones from another
    // queue of it come. These are served first, as their promises end sooner, so the long
    // ones are no reason to refuse them.
    a_short_job_is_not_refused_for_long_ones_that_are_served_after_it => {
        let mut world = fleet(1, 4, 4);
        warm_up(&mut world, 1, "middle", 1_000);
        warm_up(&mut world, 1, "other", 40);
        let of_one_team = |mut submission: Submission| {
            submission.team = "crew".parse().expect("the name is valid");
            submission
        };
        let (mut short, mut long) = (Kind::of(40), Kind::of(1_000));
        for number in 0..120 {
            // 40 slots do 40 long tasks a second; 50 come.
            long.submit(&mut world, 0, of_one_team(job("middle", &format!("long{number}"), 2, 1_000)));
            short.submit(&mut world, 0, of_one_team(job("other", &format!("short{number}"), 1, 40)));
            world.run_for(40);
        }
        world.run_for(4_000);
        let (short, long) = (short.outcomes(&world), long.outcomes(&world));
        assert!(long.refused > 10, "there was room for all: {long:?}");
        assert!(short.refused * 100 <= short.submitted * 10, "{short:?}");
        assert!(short.are_in_time(80), "{short:?}");
    }

    // Load: for a minute, urgent jobs alone exceed the fleet. Every class keeps a share by
    // its weight: large jobs of the least urgent class are still served.
    every_class_moves_while_there_is_too_little_room_for_a_minute => {
        let mut world = fleet(1, 1, 5);
        warm_up(&mut world, 1, "short", 100);
        warm_up(&mut world, 1, "long", 200);
        let (mut urgent, mut large) = (Kind::of(100), Kind::of(200));
        for number in 0..6_000 {
            // 10 slots do 100 such tasks a second.
            urgent.submit(&mut world, 0, job("short", &format!("urgent{number}"), 1, 100));
            if number % 3 == 0 {
                urgent.submit(&mut world, 0, job("short", &format!("more{number}"), 1, 100));
            }
            if number % 100 == 0 {
                large.submit(&mut world, 0, job("long", &format!("large{number}"), 2, 200));
            }
            world.run_for(10);
        }
        world.run_for(3_000);
        let (urgent, large) = (urgent.outcomes(&world), large.outcomes(&world));
        assert!(urgent.are_in_time(60), "{urgent:?}");
        // The class is entitled to 2 of 34 parts of the fleet: it needs 4 of 100.
        assert!((large.in_time + large.late) * 2 >= large.submitted, "{large:?}");
    }

    // Load: callers whose deadline is shorter than what waits before them. They are
    // refused at once and take no room.
    jobs_that_cannot_meet_their_deadline_are_refused_at_once => {
        let mut world = fleet(1, 1, 6);
        warm_up(&mut world, 1, "middle", 100);
        let mut hopeless = Kind::of(100);
        for number in 0..100 {
            world.submit(0, job("middle", &format!("fill{number}"), 1, 100));
            world.submit(0, job("middle", &format!("more{number}"), 1, 100));
            if number > 50 {
                let mut submission = job("middle", &format!("hopeless{number}"), 1, 100);
                submission.deadline_ms = Some(DurationMs(90));
                hopeless.submit(&mut world, 0, submission);
            }
            world.run_for(10);
        }
        world.run_for(2_000);
        let outcomes = hopeless.outcomes(&world);
        assert_eq!(outcomes.refused, outcomes.submitted, "{outcomes:?}");
        assert!(outcomes.slowest_refusal_ms <= MAX_REFUSAL_MS, "{outcomes:?}");
        let started = world.starts.keys().filter(|payload| {
            String::from_utf8_lossy(payload.as_slice()).contains("hopeless")
        });
        assert_eq!(started.count(), 0);
    }

    // Load: jobs that cost the same, submitted at the same time to a full fleet after
    // others have ended. The memory of ended jobs is used again in any order.
    jobs_of_equal_cost_are_served_in_the_order_of_arrival => {
        let mut world = fleet(1, 1, 7);
        warm_up(&mut world, 1, "middle", 100);
        for number in 0..8 {
            world.submit(0, job("middle", &format!("ended{number}"), 1, 20 + 3 * (number * 5 % 8)));
        }
        world.run_for(400);
        for number in 0..10 {
            world.submit(0, job("middle", &format!("fill{number}"), 1, 60 + 5 * number));
        }
        let names: Vec<String> = (0..5).map(|number| format!("equal{number}")).collect();
        for name in &names {
            world.submit(0, job("middle", name, 1, 100));
        }
        world.run_for(3_000);
        let first_start = |name: &String| {
            let text = format!("100 {name} 0");
            world.started_ms.get(&Payload::from(text.into_bytes())).copied()
        };
        let starts: Vec<_> = names.iter().filter_map(first_start).collect();
        assert_eq!(starts.len(), names.len(), "not all were served: {starts:?}");
        assert!(starts.is_sorted(), "{starts:?}");
    }
}
