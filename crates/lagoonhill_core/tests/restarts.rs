//! Load patterns after a restart of the whole fleet: callers arrive before the
//! workers have joined.

mod support;

use lagoonhill_core::entry::{
    CallerId, Cause, Decision, DecisionKind, LeastExpectedFinish, RunCertainty, Submission,
};
use lagoonhill_standin::{NodeId, World};
use lagoonhill_types::prelude::*;
use support::{TestWorld, config, is_complete, job, queue_job, queue_rules};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Longest duration of start-up discovery, with a margin.
const DISCOVERY_MS: u64 = 700;

/// Delay of the agents' start after that of the entries.
const LATE_MS: u64 = 200;

/// Ten such tasks fill a target.
const TASK_PROCESSORS: MilliProcessors = MilliProcessors(6_400);

/// A world in which no worker has joined yet.
fn world_without_workers(entries: usize, workers: usize) -> TestWorld {
    let config = config(entries, workers, 1);
    World::new(&config, |entry| {
        LeastExpectedFinish::with_seed(entry as u64)
    })
}

/// As [`world_without_workers`], with all connections cut until the test heals them.
fn world_with_late_agents(entries: usize, workers: usize) -> TestWorld {
    let mut world = world_without_workers(entries, workers);
    for_all_pairs(entries, workers, |entry, agent| {
        world.partition(entry, agent);
    });
    world
}

fn for_all_pairs(entries: usize, workers: usize, mut act: impl FnMut(NodeId, NodeId)) {
    for entry in 0..entries {
        for agent in 0..workers {
            act(NodeId::Entry(entry), NodeId::Agent(agent));
        }
    }
}

fn refusal(world: &TestWorld, caller: CallerId) -> Option<(Cause, RunCertainty, TimestampMs)> {
    let received = world.received.get(&caller)?.first()?;
    let failure = received.answer.outcome.as_ref().err()?;
    Some((failure.cause.clone(), failure.run, received.at_ms))
}

cases! {
    // Load pattern: power loss. Callers that waited for its end arrive before any
    // agent has joined.
    callers_before_the_first_worker_are_served => {
        let mut world = world_with_late_agents(2, 4);
        let early: Vec<CallerId> = (0..8)
            .map(|number| world.submit(number % 2, job(&format!("early{number}"), 2, 50)))
            .collect();
        world.run_for(LATE_MS);
        for_all_pairs(2, 4, |entry, agent| world.heal(entry, agent));
        world.run_for(2_000);
        for caller in early {
            assert!(is_complete(&world, caller), "{:?}", refusal(&world, caller));
        }
    }

    // One worker has joined, the others are still joining.
    a_burst_is_not_refused_for_the_first_workers_capacity => {
        let mut config = config(1, 8, 1);
        config.rules = queue_rules();
        config.slots = 10;
        let mut world: TestWorld = World::new(&config, |_| LeastExpectedFinish::with_seed(1));
        for agent in 1..8 {
            world.partition(NodeId::Entry(0), NodeId::Agent(agent));
        }
        world.run_for(60);
        let wide = |number| queue_job("short", &format!("crowd{number}"), 4, TASK_PROCESSORS, 300);
        let burst: Vec<CallerId> = (0..16).map(|number| world.submit(0, wide(number))).collect();
        for agent in 1..8 {
            world.heal(NodeId::Entry(0), NodeId::Agent(agent));
        }
        world.run_for(3_000);
        let refused = burst.iter().filter(|caller| refusal(&world, **caller).is_some());
        assert_eq!(refused.count(), 0);
    }

    without_workers_early_callers_are_refused_soon_and_later_ones_at_once => {
        let mut world = world_with_late_agents(1, 2);
        let submitted_ms = world.now();
        let early = world.submit(0, job("early", 1, 50));
        world.run_for(DISCOVERY_MS);
        let (cause, run, at_ms) = refusal(&world, early).expect("the caller was not refused");
        assert!(matches!(cause, Cause::NoWorkers(_)), "{cause}");
        assert_eq!(run, RunCertainty::NotRun);
        assert!(at_ms.since(submitted_ms) <= DurationMs(DISCOVERY_MS));
        let submitted_ms = world.now();
        let later = world.submit(0, job("later", 1, 50));
        let (_, _, at_ms) = refusal(&world, later).expect("the caller was not refused at once");
        assert_eq!(at_ms, submitted_ms);
    }

    // Whether a job fits no worker is known only when start-up discovery is complete.
    a_job_that_fits_no_worker_is_refused_when_discovery_is_complete => {
        let mut config = config(1, 2, 1);
        config.rules = queue_rules();
        let mut world: TestWorld = World::new(&config, |_| LeastExpectedFinish::with_seed(1));
        let huge = MilliProcessors(1_000_000);
        let early = world.submit(0, queue_job("short", "early", 1, huge, 50));
        assert!(refusal(&world, early).is_none(), "refused before any worker could join");
        world.run_for(DISCOVERY_MS);
        let (cause, ..) = refusal(&world, early).expect("the caller was not refused");
        assert!(matches!(cause, Cause::NeverFits(_)), "{cause}");
        let later = world.submit(0, queue_job("short", "later", 1, huge, 50));
        assert!(refusal(&world, later).is_some(), "the caller was not refused at once");
    }

    // Callers were held until the store was back and the first rules came. What they
    // waited counts: a promise made anew would be broken for those who keep theirs.
    a_job_that_was_held_for_the_rules_is_promised_what_is_left => {
        let mut config = config(1, 2, 1);
        config.rules = queue_rules();
        let mut world: TestWorld = World::new(&config, |_| LeastExpectedFinish::with_seed(1));
        world.record_decisions = true;
        let mut promised = |name: &str, waited_ms| {
            let job = queue_job("short", name, 1, TASK_PROCESSORS, 100);
            world.submit(0, Submission { waited_ms: DurationMs(waited_ms), ..job });
            let admitted = |decision: &Decision| match decision.kind {
                DecisionKind::Admitted { promised_ms, .. } => promised_ms,
                _ => None,
            };
            world.decisions.iter().rev().find_map(admitted).expect("the job was not admitted")
        };
        let fresh_ms = promised("fresh", 0);
        let held_ms = promised("held", 150);
        assert_eq!(held_ms + DurationMs(150), fresh_ms);
    }

    // An answer after three times the promise is of no use: the job must not take the
    // place of another, and its caller must hear at once.
    a_job_that_was_held_for_too_long_is_refused_when_the_rules_come => {
        let mut config = config(1, 2, 1);
        config.rules = queue_rules();
        let mut world: TestWorld = World::new(&config, |_| LeastExpectedFinish::with_seed(1));
        let submitted_ms = world.now();
        let job = queue_job("short", "lost", 1, TASK_PROCESSORS, 100);
        let lost = world.submit(0, Submission { waited_ms: DurationMs(800), ..job });
        let (cause, run, at_ms) = refusal(&world, lost).expect("the caller was not refused at once");
        assert!(matches!(cause, Cause::Backlog { .. }), "{cause}");
        assert_eq!((run, at_ms), (RunCertainty::NotRun, submitted_ms));
        world.run_for(1_000);
        assert!(world.starts.is_empty(), "a refused job was started");
    }
}
