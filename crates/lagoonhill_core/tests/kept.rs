//! Jobs that are kept: stored before they are accepted, owned by one entry,
//! gone on with when their owner is gone.

mod support;

use lagoonhill_core::entry::{DurableJobState, Needs, QueueSubmission, Step, Submission};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{NodeId, Stopped, TargetModel};
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

/// Entries that own their jobs for as long as a test takes.
fn fleet(entries: usize, targets: usize, seed: u64) -> TestWorld {
    let mut config = config(entries, targets, seed);
    config.slots = 4;
    let lines = parse_rules(RULES).expect("the test rules are valid");
    config.rules = RuleSet::new(Revision(1), lines);
    let mut world = world(&config);
    world.stopped = Stopped::Interrupted;
    for entry in 0..entries {
        world.own(entry, 600_000);
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

fn heal(world: &mut TestWorld) {
    for entry in 0..3 {
        for agent in 0..3 {
            world.heal(NodeId::Entry(entry), NodeId::Agent(agent));
        }
    }
}

/// Tasks that were started, and good ends that were noted.
fn counts(world: &TestWorld) -> (usize, usize) {
    (world.starts.len(), world.noted.len())
}

cases! {
    accepted_when_stored_and_complete_when_every_end_is => {
        let mut world = fleet(1, 2, 1);
        let caller = world.submit_durable(0, simple("kept", 3, 50));
        assert!(!is_complete(&world, caller), "accepted before it was stored");
        assert!(world.starts.is_empty(), "started before it was stored");
        world.run_for(20);
        assert!(is_complete(&world, caller));
        assert_eq!(world.kept.state(&name("kept")), Some(DurableJobState::Open));
        world.run_for(500);
        assert_eq!(world.kept.state(&name("kept")), Some(DurableJobState::Complete));
        assert_eq!(counts(&world), (3, 3));
        assert_eq!(world.started_after_noted, 0);
    }

    a_job_that_is_not_stored_is_refused_as_not_run => {
        let mut world = fleet(1, 2, 2);
        world.kept.is_down = true;
        let caller = world.submit_durable(0, simple("refused", 3, 50));
        world.run_for(500);
        let (run, _) = failure(&world, caller).expect("it was refused");
        assert_eq!(run, lagoonhill_core::entry::RunCertainty::NotRun);
        assert!(world.starts.is_empty());
    }

    submitted_twice_it_is_one_job => {
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

    another_entry_goes_on_with_the_jobs_of_one_that_is_gone => {
        let mut world = fleet(2, 2, 4);
        let steps = vec![step(3, &[], 100), step(2, &[0], 400)];
        world.submit_durable(0, job("orphan", steps));
        world.run_for(250);
        world.kill(NodeId::Entry(0));
        world.run_for(1_000);
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.kept.state(&name("orphan")), Some(DurableJobState::Complete));
        assert_eq!(world.started_after_noted, 0, "a task ran again whose end had been noted");
        let first_step = world.starts.iter().filter(|(payload, _)| {
            String::from_utf8_lossy(payload.as_slice()).contains("orphan 0")
        });
        assert!(first_step.into_iter().all(|(_, count)| *count == 1), "what was stored was run again");
    }

    an_end_that_its_owner_did_not_store_is_void => {
        let mut world = fleet(2, 1, 5);
        world.submit_durable(0, simple("void", 1, 100));
        world.run_for(50);
        world.kept.is_down = true;
        world.run_for(200);
        assert!(world.noted.is_empty(), "noted though it is not stored");
        world.kill(NodeId::Entry(0));
        world.kept.is_down = false;
        world.run_for(15_000);
        assert_eq!(world.void.len(), 1);
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.kept.state(&name("void")), Some(DurableJobState::Complete));
        assert_eq!(world.started_after_noted, 0);
        assert_eq!(world.starts.values().sum::<u32>(), 2);
    }

    an_entry_that_can_not_show_that_it_owns_its_jobs_stops_them => {
        let mut world = fleet(2, 1, 6);
        world.own(0, 1_000);
        world.submit_durable(0, simple("cut", 2, 5_000));
        world.run_for(900);
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::running), Some(2));
        world.run_for(400);
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::running), Some(0));
        world.run_for(3_000);
        assert_eq!(world.starts.values().sum::<u32>(), 2, "it went on without being the owner");
        world.take_over(0, 1);
        world.run_for(30_000);
        assert_eq!(world.kept.state(&name("cut")), Some(DurableJobState::Complete));
    }

    nothing_starts_before_an_earlier_owners_runs_are_over => {
        for seed in 0..10 {
            let mut world = fleet(2, 2, 20 + seed);
            world.own(0, 1_000);
            world.submit_durable(0, simple("both", 1, 60_000));
            world.run_for(950);
            let running = |world: &TestWorld, agent| {
                world.agent(agent).map_or(0, lagoonhill_core::agent::Agent::running)
            };
            let holder = (0..2).find(|agent| running(&world, *agent) > 0).expect("it runs");
            world.cut(NodeId::Entry(0), NodeId::Agent(holder));
            world.run_for(60);
            world.take_over(0, 1);
            for _ in 0..20_000 {
                world.run_for(1);
                if world.starts.values().sum::<u32>() > 1 {
                    break;
                }
            }
            assert_eq!(world.starts.values().sum::<u32>(), 2, "seed {seed}: it was not gone on with");
            let at_once = running(&world, 0) + running(&world, 1);
            assert_eq!(at_once, 1, "seed {seed}: a task runs twice at once");
        }
    }

    a_job_that_another_took_over_is_given_up => {
        let mut world = fleet(2, 1, 7);
        world.submit_durable(0, simple("taken", 1, 300));
        world.run_for(50);
        world.take_over(0, 1);
        world.run_for(20_000);
        assert_eq!(world.kept.state(&name("taken")), Some(DurableJobState::Complete));
        assert_eq!(world.started_after_noted, 0);
    }

    a_cancelled_job_is_stopped_and_stays_so => {
        let mut world = fleet(2, 1, 8);
        world.submit_durable(0, simple("cancelled", 6, 2_000));
        world.run_for(100);
        assert!(world.cancel_durable(0, &name("cancelled")));
        world.run_for(200);
        assert_eq!(world.kept.state(&name("cancelled")), Some(DurableJobState::Cancelled));
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::running), Some(0));
        let starts = world.starts.values().sum::<u32>();
        world.run_for(5_000);
        assert_eq!(world.starts.values().sum::<u32>(), starts, "it went on after its cancel");
    }

    a_job_that_can_never_be_done_fails_after_its_attempts => {
        let mut world = fleet(1, 2, 9);
        for agent in 0..2 {
            world.set_target(agent, TargetModel { fails_all: true, ..average_target() });
        }
        world.submit_durable(0, simple("broken", 1, 50));
        world.run_for(2_000);
        assert_eq!(world.kept.state(&name("broken")), Some(DurableJobState::Failed));
        assert_eq!(world.starts.values().sum::<u32>(), 2, "attempts");
    }

    a_flood_refuses_no_accepted_job => {
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
            assert_eq!(world.kept.state(&name(text)), Some(DurableJobState::Complete), "{caller:?}");
        }
    }

    whatever_fails_no_end_that_counts_is_run_again => {
        // Kills, takeovers and outages at random times; every accepted job ends.
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
                        world.kept.is_down = true;
                        world.run_for(random.u64(10..500));
                        world.kept.is_down = false;
                    }
                    2 => world.cut(NodeId::Entry(owner), NodeId::Agent(random.usize(0..3))),
                    3 => heal(&mut world),
                    _ => {}
                }
            }
            heal(&mut world);
            world.run_for(60_000);
            let open = accepted.iter().filter(|text| world.kept.state(&name(text)) != Some(DurableJobState::Complete));
            let open: Vec<&String> = open.collect();
            if !open.is_empty() {
                return TestResult::error(format!("seed {seed}: not complete: {open:?}"));
            }
            TestResult::from_bool(world.started_after_noted == 0)
        }
        QuickCheck::new().tests(200).quickcheck(survives as fn(u64) -> TestResult);
    }
}
