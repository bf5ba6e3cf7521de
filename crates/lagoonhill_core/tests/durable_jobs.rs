//! Durable jobs: stored before they are accepted, owned by one entry, taken over
//! by another when their owner fails.

mod support;

use lagoonhill_core::entry::{DurableJobState, Needs, QueueSubmission, Step, Submission};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{NodeId, StopResult, TargetModel};
use lagoonhill_types::prelude::*;
use quickcheck::{QuickCheck, TestResult};
use support::{TestWorld, average_target, config, failure, is_complete, service, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
queue jobs service=dispatch attempts=2 objective=60ms slack-permille=1600  # tests
";

/// The rules while the queue is removed.
const WITHOUT_QUEUE: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
";

/// Installs rules at both entries.
fn install(world: &mut TestWorld, revision: u64, rules: &str) {
    let lines = parse_rules(rules).expect("the test rules are valid");
    for entry in 0..2 {
        let rules = RuleSet::new(Revision(revision), lines.clone());
        world.with_entry(entry, |machine, now| {
            machine.install_rules(rules, now);
        });
    }
}

/// A fleet whose entries own their jobs for longer than any test takes.
fn fleet(entries: usize, targets: usize, seed: u64) -> TestWorld {
    let mut config = config(entries, targets, seed);
    config.slots = 4;
    let lines = parse_rules(RULES).expect("the test rules are valid");
    config.rules = RuleSet::new(Revision(1), lines);
    let mut world = world(&config);
    world.stop_result = StopResult::Interrupted;
    for entry in 0..entries {
        world.extend_ownership(entry, 600_000);
    }
    world
}

fn step(count: u16, after: &[u16], run_ms: u64) -> Step {
    Step {
        count,
        after: after.to_vec(),
        needs: Needs::default(),
        estimate_ms: DurationMs(run_ms),
    }
}

fn name(text: &str) -> RequestKey {
    text.parse().expect("the name is valid")
}

fn job(text: &str, steps: Vec<Step>) -> Submission {
    let mut tasks = Vec::new();
    for (position, step) in steps.iter().enumerate() {
        for index in 0..step.count {
            let text = format!("{} {text} {position} {index}", step.estimate_ms.0);
            tasks.push(Payload::from(text.into_bytes()));
        }
    }
    Submission {
        service: service(),
        team: "jobs".parse().expect("the name is valid"),
        deadline_ms: None,
        waited_ms: DurationMs::ZERO,
        run_time_ms: steps.iter().map(|step| step.estimate_ms).max(),
        needs: Needs::default(),
        tasks,
        durable: true,
        queued: Some(QueueSubmission {
            queue: "jobs".parse().expect("the name is valid"),
            name: name(text),
            steps,
        }),
    }
}

fn simple(text: &str, count: u16, run_ms: u64) -> Submission {
    job(text, vec![step(count, &[], run_ms)])
}

fn heal_all(world: &mut TestWorld) {
    for entry in 0..3 {
        for agent in 0..3 {
            world.heal(NodeId::Entry(entry), NodeId::Agent(agent));
        }
    }
}

/// Number of started tasks, and of stored successful ends.
fn counts(world: &TestWorld) -> (usize, usize) {
    (world.starts.len(), world.acknowledged_ends.len())
}

cases! {
    a_job_is_accepted_when_stored_and_complete_when_every_end_is_stored => {
        let mut world = fleet(1, 2, 1);
        let caller = world.submit_durable(0, simple("kept", 3, 50));
        assert!(!is_complete(&world, caller), "the job was accepted before it was stored");
        assert!(world.starts.is_empty(), "a task started before the job was stored");
        world.run_for(20);
        assert!(is_complete(&world, caller));
        assert_eq!(world.durable_jobs.state(&name("kept")), Some(DurableJobState::Open));
        world.run_for(500);
        assert_eq!(world.durable_jobs.state(&name("kept")), Some(DurableJobState::Complete));
        assert_eq!(counts(&world), (3, 3));
        assert_eq!(world.started_after_stored_end, 0);
    }

    a_job_that_is_not_stored_is_refused_as_not_run => {
        let mut world = fleet(1, 2, 2);
        world.durable_jobs.is_down = true;
        let caller = world.submit_durable(0, simple("refused", 3, 50));
        world.run_for(500);
        let (run, _) = failure(&world, caller).expect("the job was not refused");
        assert_eq!(run, lagoonhill_core::entry::RunCertainty::NotRun);
        assert!(world.starts.is_empty());
    }

    // A caller that reuses a name must not be told that its other job was accepted.
    another_job_under_a_name_in_use_is_refused => {
        let mut world = fleet(1, 2, 21);
        let first = world.submit_durable(0, simple("reused", 2, 300));
        world.run_for(50);
        let mut other = simple("reused", 2, 300);
        if let Some(queued) = &mut other.queued {
            queued.steps[0].needs.max_per_worker = Some(1);
        }
        let second = world.submit_durable(0, other);
        let again = world.submit_durable(0, simple("reused", 2, 300));
        world.run_for(50);
        assert!(is_complete(&world, first) && is_complete(&world, again));
        let (run, cause) = failure(&world, second).expect("the other job was not refused");
        assert_eq!(run, lagoonhill_core::entry::RunCertainty::NotRun);
        assert!(cause.contains("different request"), "{cause}");
    }

    a_job_submitted_twice_runs_once => {
        let mut world = fleet(2, 2, 3);
        let first = world.submit_durable(0, simple("twice", 3, 200));
        let second = world.submit_durable(0, simple("twice", 3, 200));
        world.run_for(50);
        let third = world.submit_durable(1, simple("twice", 3, 200));
        world.run_for(1_000);
        for caller in [first, second, third] {
            assert!(is_complete(&world, caller));
        }
        assert!(world.starts.values().all(|count| *count == 1), "a task ran twice");
    }

    another_entry_takes_over_a_failed_entrys_jobs => {
        let mut world = fleet(2, 2, 4);
        let steps = vec![step(3, &[], 100), step(2, &[0], 400)];
        world.submit_durable(0, job("orphan", steps));
        world.run_for(250);
        world.kill(NodeId::Entry(0));
        world.run_for(1_000);
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.durable_jobs.state(&name("orphan")), Some(DurableJobState::Complete));
        assert_eq!(world.started_after_stored_end, 0, "a task with a stored end ran again");
        let first_step = world.starts.iter().filter(|(payload, _)| {
            String::from_utf8_lossy(payload.as_slice()).contains("orphan 0")
        });
        assert!(first_step.into_iter().all(|(_, count)| *count == 1), "a task with a stored end ran again");
    }

    // Guards against a job that fails after fewer runs than its queue allowed when it was
    // accepted: it is taken over while the queue is removed (review/10).
    a_job_taken_over_while_its_queue_is_away_keeps_its_attempts => {
        let mut world = fleet(2, 1, 8);
        world.submit_durable(0, simple("hopeless", 1, 100));
        world.run_for(20);
        assert_eq!(world.durable_jobs.state(&name("hopeless")), Some(DurableJobState::Open));
        install(&mut world, 2, WITHOUT_QUEUE);
        world.kill(NodeId::Entry(0));
        world.run_for(1_000);
        world.set_target(0, TargetModel { fails_all: true, ..average_target() });
        world.take_over(0, 1);
        install(&mut world, 3, RULES);
        world.run_for(20_000);
        assert_eq!(world.durable_jobs.state(&name("hopeless")), Some(DurableJobState::Failed));
        let starts = world.starts.values().sum::<u32>();
        assert_eq!(starts, 3, "one run under the first owner and two attempts");
    }

    // The record was written by a release that stores no terms. How often a task may fail
    // is not known until the queue is back: it must neither fail for good nor run again.
    a_job_without_stored_terms_waits_for_its_queue_after_a_failure => {
        let mut world = fleet(2, 1, 9);
        world.submit_durable(0, simple("older", 1, 100));
        world.run_for(20);
        world.durable_jobs.forget_terms();
        install(&mut world, 2, WITHOUT_QUEUE);
        world.kill(NodeId::Entry(0));
        world.run_for(1_000);
        world.set_target(0, TargetModel { fails_all: true, ..average_target() });
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.durable_jobs.state(&name("older")), Some(DurableJobState::Open));
        assert_eq!(world.starts.values().sum::<u32>(), 2, "it ran again without a known limit");
        world.set_target(0, average_target());
        install(&mut world, 3, RULES);
        world.run_for(2_000);
        assert_eq!(world.durable_jobs.state(&name("older")), Some(DurableJobState::Complete));
    }

    // As above, but the task has used up all its attempts by the time the queue is back.
    a_withheld_task_without_an_attempt_left_fails_its_job => {
        let mut world = fleet(2, 1, 10);
        world.submit_durable(0, simple("spent", 1, 100));
        world.run_for(20);
        world.durable_jobs.forget_terms();
        install(&mut world, 2, WITHOUT_QUEUE);
        world.kill(NodeId::Entry(0));
        world.run_for(1_000);
        world.set_target(0, TargetModel { fails_all: true, ..average_target() });
        world.take_over(0, 1);
        world.run_for(20_000);
        let starts = world.starts.values().sum::<u32>();
        install(&mut world, 3, &RULES.replace("attempts=2", "attempts=1"));
        world.run_for(2_000);
        assert_eq!(world.durable_jobs.state(&name("spent")), Some(DurableJobState::Failed));
        assert_eq!(world.starts.values().sum::<u32>(), starts);
    }

    // A job that waits for its queue for good must not be beyond its caller's control.
    a_withheld_job_can_be_cancelled => {
        let mut world = fleet(2, 1, 11);
        world.submit_durable(0, simple("unwanted", 1, 100));
        world.run_for(20);
        world.durable_jobs.forget_terms();
        install(&mut world, 2, WITHOUT_QUEUE);
        world.kill(NodeId::Entry(0));
        world.run_for(1_000);
        world.set_target(0, TargetModel { fails_all: true, ..average_target() });
        world.take_over(0, 1);
        world.run_for(20_000);
        assert!(world.cancel_durable(1, &name("unwanted")));
        world.run_for(500);
        assert_eq!(world.durable_jobs.state(&name("unwanted")), Some(DurableJobState::Cancelled));
    }

    // The store is down when the run ends, and the owner fails before it could store
    // the end. The agent discards the end, and the new owner runs the task again.
    an_end_that_its_owner_did_not_store_is_discarded => {
        let mut world = fleet(2, 1, 5);
        world.submit_durable(0, simple("void", 1, 100));
        world.run_for(50);
        world.durable_jobs.is_down = true;
        world.run_for(200);
        assert!(world.acknowledged_ends.is_empty(), "an end was acknowledged before it was stored");
        world.kill(NodeId::Entry(0));
        world.durable_jobs.is_down = false;
        world.run_for(15_000);
        assert_eq!(world.discarded_ends.len(), 1);
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.durable_jobs.state(&name("void")), Some(DurableJobState::Complete));
        assert_eq!(world.started_after_stored_end, 0);
        assert_eq!(world.starts.values().sum::<u32>(), 2);
    }

    // After its ownership expired, another entry may run the same tasks.
    an_entry_whose_ownership_expired_stops_its_jobs => {
        let mut world = fleet(2, 1, 6);
        world.extend_ownership(0, 1_000);
        world.submit_durable(0, simple("cut", 2, 5_000));
        world.run_for(900);
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::running), Some(2));
        world.run_for(400);
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::running), Some(0));
        world.run_for(3_000);
        assert_eq!(world.starts.values().sum::<u32>(), 2, "the entry started tasks after its ownership expired");
        world.take_over(0, 1);
        world.run_for(30_000);
        assert_eq!(world.durable_jobs.state(&name("cut")), Some(DurableJobState::Complete));
    }

    // Guards against a task that runs twice at the same time: the earlier owner has
    // lost the connection to the agent that still runs it.
    nothing_starts_before_an_earlier_owners_runs_are_over => {
        for seed in 0..10 {
            let mut world = fleet(2, 2, 20 + seed);
            world.extend_ownership(0, 1_000);
            world.submit_durable(0, simple("both", 1, 60_000));
            world.run_for(950);
            let running = |world: &TestWorld, agent| {
                world.agent(agent).map_or(0, lagoonhill_core::agent::Agent::running)
            };
            let holder = (0..2).find(|agent| running(&world, *agent) > 0).expect("no agent runs the task");
            world.partition(NodeId::Entry(0), NodeId::Agent(holder));
            world.run_for(60);
            world.take_over(0, 1);
            for _ in 0..20_000 {
                world.run_for(1);
                if world.starts.values().sum::<u32>() > 1 {
                    break;
                }
            }
            assert_eq!(world.starts.values().sum::<u32>(), 2, "seed {seed}: the job was not taken over");
            let at_once = running(&world, 0) + running(&world, 1);
            assert_eq!(at_once, 1, "seed {seed}: the task runs on both workers at the same time");
        }
    }

    // The earlier owner still runs when another entry takes over its job.
    a_job_taken_over_by_another_entry_is_abandoned => {
        let mut world = fleet(2, 1, 7);
        world.submit_durable(0, simple("taken", 1, 300));
        world.run_for(50);
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.durable_jobs.state(&name("taken")), Some(DurableJobState::Complete));
        assert_eq!(world.started_after_stored_end, 0);
    }

    // Guards against a task that runs again although its successful end was
    // acknowledged: it ends while the order to stop it is on its way, after its entry
    // has lost its ownership.
    an_end_that_crosses_the_abandonment_of_its_job_is_discarded => {
        let mut world = fleet(2, 1, 11);
        let lapse_ms = 2_000;
        world.extend_ownership(0, lapse_ms);
        world.run_for(5);
        for number in 0..4 {
            let run_ms = lapse_ms - 10 + 2 * number;
            world.submit_durable(0, simple(&format!("crossing{number}"), 1, run_ms));
        }
        world.run_for(lapse_ms + 600);
        let discarded = world.discarded_ends.len();
        assert!(discarded > 0, "no run ended while it was abandoned");
        world.take_over(0, 1);
        world.run_for(30_000);
        assert_eq!(world.started_after_stored_end, 0, "a task with an acknowledged end ran again");
    }

    // Guards against a second run of tasks that are done: the owner abandons a job while
    // the answer to its last write is on its way, and the caller submits the job again.
    the_answer_to_an_abandoned_jobs_write_does_not_accept_the_next_submission => {
        let mut world = fleet(1, 1, 12);
        world.extend_ownership(0, 1_000);
        let steps = || vec![step(1, &[], 100), step(1, &[0], 3_000)];
        world.submit_durable(0, job("repeated", steps()));
        world.run_for(50);
        // The progress of the first step is stored in time, its answer comes late.
        world.durable_jobs.answer_delay_ms = 1_500;
        world.run_for(1_200);
        world.extend_ownership(0, 600_000);
        let caller = world.submit_durable(0, job("repeated", steps()));
        world.run_for(3_000);
        assert!(is_complete(&world, caller), "the repeated submission was not answered");
        world.durable_jobs.answer_delay_ms = 0;
        world.take_over(0, 0);
        world.run_for(20_000);
        assert_eq!(world.durable_jobs.state(&name("repeated")), Some(DurableJobState::Complete));
        let first_step = world.starts.iter().filter(|(payload, _)| {
            String::from_utf8_lossy(payload.as_slice()).contains("repeated 0")
        });
        assert!(first_step.into_iter().all(|(_, count)| *count == 1), "a task that is done ran again");
    }

    // Guards against jobs that end far too late, with most of their work thrown away: run
    // times are learned from the short step, so the long tasks of the same needs count as
    // overdue and are withdrawn, again and again. The bound is three times the objective.
    long_tasks_after_short_ones_with_the_same_needs_are_not_withdrawn => {
        const STEPS_MS: [u64; 2] = [300, 9_000];
        let mut world = fleet(1, 6, 13);
        let names: Vec<String> = (0..20).map(|number| format!("mixed{number}")).collect();
        for text in &names {
            let steps = vec![step(1, &[], STEPS_MS[0]), step(1, &[0], STEPS_MS[1])];
            world.submit_durable(0, job(text, steps));
            world.run_for(50);
        }
        let objective_ms = (STEPS_MS[0] + STEPS_MS[1]) * 1_600 / 1_000 + 60;
        world.run_for(3 * objective_ms);
        let is_open = |text: &&String| world.durable_jobs.state(&name(text)) == Some(DurableJobState::Open);
        let open: Vec<&String> = names.iter().filter(is_open).collect();
        let starts: u32 = world.starts.values().sum();
        assert!(open.is_empty(), "not over after {starts} starts of 40 tasks: {open:?}");
    }

    a_cancelled_job_stops_and_stays_cancelled => {
        let mut world = fleet(2, 1, 8);
        world.submit_durable(0, simple("cancelled", 6, 2_000));
        world.run_for(100);
        assert!(world.cancel_durable(0, &name("cancelled")));
        world.run_for(200);
        assert_eq!(world.durable_jobs.state(&name("cancelled")), Some(DurableJobState::Cancelled));
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::running), Some(0));
        let starts = world.starts.values().sum::<u32>();
        world.run_for(5_000);
        assert_eq!(world.starts.values().sum::<u32>(), starts, "a task started after the job was cancelled");
    }

    a_job_whose_tasks_always_fail_ends_after_its_attempts => {
        let mut world = fleet(1, 2, 9);
        for agent in 0..2 {
            world.set_target(agent, TargetModel { fails_all: true, ..average_target() });
        }
        world.submit_durable(0, simple("broken", 1, 50));
        world.run_for(2_000);
        assert_eq!(world.durable_jobs.state(&name("broken")), Some(DurableJobState::Failed));
        assert_eq!(world.starts.values().sum::<u32>(), 2, "number of attempts");
    }

    an_overload_drops_no_accepted_job => {
        let mut world = fleet(1, 1, 10);
        let mut accepted = Vec::new();
        for number in 0..200 {
            let text = format!("flood{number}");
            let caller = world.submit_durable(0, simple(&text, 1, 100));
            world.run_for(10);
            accepted.push((caller, text));
        }
        world.run_for(60_000);
        for (caller, text) in accepted.iter().filter(|(caller, _)| is_complete(&world, *caller)) {
            assert_eq!(world.durable_jobs.state(&name(text)), Some(DurableJobState::Complete), "{caller:?}");
        }
    }

    no_task_with_a_stored_end_runs_again_under_random_faults => {
        // Kills, takeovers and store outages at random times; every accepted job
        // must complete.
        fn survives(seed: u64) -> TestResult {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut world = fleet(3, 3, seed);
            let mut accepted = Vec::new();
            let mut owner = 0;
            for number in 0..12 {
                let text = format!("random{number}");
                let steps = vec![step(random.u16(1..4), &[], random.u64(20..400)), step(2, &[0], 50)];
                let caller = world.submit_durable(owner, job(&text, steps));
                world.run_for(random.u64(10..200));
                if is_complete(&world, caller) {
                    accepted.push(text);
                }
                match random.u32(0..6) {
                    0 if owner < 2 => {
                        world.kill(NodeId::Entry(owner));
                        world.run_for(random.u64(0..1_500));
                        world.take_over(owner, owner + 1);
                        owner += 1;
                    }
                    1 => {
                        world.durable_jobs.is_down = true;
                        world.run_for(random.u64(10..500));
                        world.durable_jobs.is_down = false;
                    }
                    2 => world.partition(NodeId::Entry(owner), NodeId::Agent(random.usize(0..3))),
                    3 => heal_all(&mut world),
                    _ => {}
                }
            }
            heal_all(&mut world);
            world.run_for(60_000);
            let open = accepted.iter().filter(|text| world.durable_jobs.state(&name(text)) != Some(DurableJobState::Complete));
            let open: Vec<&String> = open.collect();
            if !open.is_empty() {
                return TestResult::error(format!("seed {seed}: not complete: {open:?}"));
            }
            TestResult::from_bool(world.started_after_stored_end == 0)
        }
        QuickCheck::new().tests(200).quickcheck(survives as fn(u64) -> TestResult);
    }
}
