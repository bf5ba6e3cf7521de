//! What the tests of the decisions share: worlds, jobs and the judge.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::HashMap;

use lagoonhill_core::Timing;
use lagoonhill_core::entry::{
    CallerId, LeastExpectedFinish, Needs, QueueSubmission, RunCertainty, Step, Submission,
};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{Network, TargetModel, World, WorldConfig, result_of};
use lagoonhill_types::prelude::*;

pub(crate) type TestWorld = World<LeastExpectedFinish>;

/// Longest life of a job in these tests.
pub(crate) const DEADLINE_MS: u64 = 20_000;

const RULES: &str = "\
service dispatch deadline=20s run-time=200ms run-limit=10s  # tests
team parents class=rush  # tests
team offices class=office  # tests
";

pub(crate) fn rules() -> RuleSet {
    RuleSet::new(
        Revision(1),
        parse_rules(RULES).expect("the test rules are valid"),
    )
}

/// Rules with a queue for each class, and one whose jobs get few attempts.
pub(crate) fn class_rules() -> RuleSet {
    const CLASS_RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
queue short service=dispatch class=rush attempts=4 objective=60ms slack-permille=1600  # tests
queue middle service=dispatch class=standard attempts=4 objective=60ms slack-permille=1600  # tests
queue long service=dispatch class=office attempts=4 objective=60ms slack-permille=1600  # tests
queue fragile service=dispatch attempts=2 objective=60ms slack-permille=1600  # tests
";
    RuleSet::new(
        Revision(1),
        parse_rules(CLASS_RULES).expect("the rules are valid"),
    )
}

/// Submits a job; returns its caller and when it asked.
pub(crate) fn ask(
    world: &mut TestWorld,
    entry: usize,
    submission: Submission,
) -> (CallerId, TimestampMs) {
    let asked_ms = world.now();
    (world.submit(entry, submission), asked_ms)
}

/// Rules with a queue of short tasks.
pub(crate) fn queue_rules() -> RuleSet {
    const QUEUE_RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
queue short service=dispatch attempts=4 objective=60ms slack-permille=1600  # tests
";
    RuleSet::new(
        Revision(1),
        parse_rules(QUEUE_RULES).expect("the rules are valid"),
    )
}

pub(crate) fn service() -> ServiceName {
    "dispatch".parse().expect("the name is valid")
}

pub(crate) fn average_target() -> TargetModel {
    TargetModel {
        slowness_permille: 1_000,
        fails_all: false,
    }
}

pub(crate) fn config(entries: usize, workers: usize, seed: u64) -> WorldConfig {
    WorldConfig {
        entries,
        targets: vec![average_target(); workers],
        zones: 1,
        slots: 2,
        service: service(),
        rules: rules(),
        network: Network {
            delay_ms: 1,
            cross_zone_ms: 0,
            jitter_ms: 1,
            loss_permille: 0,
            repeat_permille: 0,
        },
        look_ahead: 1,
        timing: Timing::default(),
        seed,
    }
}

/// A world whose agents have all joined.
pub(crate) fn world(config: &WorldConfig) -> TestWorld {
    let mut world = World::new(config, |entry| LeastExpectedFinish::with_seed(entry as u64));
    world.run_for(500);
    world
}

/// A job whose payloads are marked, so that the judge can tell them apart.
pub(crate) fn job(mark: &str, tasks: usize, run_ms: u64) -> Submission {
    let payload = |index| Payload::from(format!("{run_ms} {mark} {index}").into_bytes());
    Submission {
        service: service(),
        team: "parents".parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs(DEADLINE_MS)),
        run_time_ms: None,
        needs: Needs::default(),
        tasks: (0..tasks).map(payload).collect(),
        durable: false,
        queued: None,
    }
}

/// A job of one step, submitted to a queue.
pub(crate) fn queue_job(
    queue: &str,
    name: &str,
    count: u16,
    processors: MilliProcessors,
    run_ms: u64,
) -> Submission {
    let payload = |index| Payload::from(format!("{run_ms} {name} {index}").into_bytes());
    let step = Step {
        count,
        after: Vec::new(),
        needs: Needs::of(Resources {
            processors,
            ..Resources::default()
        }),
        estimate_ms: DurationMs(run_ms),
    };
    Submission {
        service: service(),
        team: queue.parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs(6_000)),
        run_time_ms: Some(DurationMs(run_ms)),
        needs: Needs::default(),
        tasks: (0..count).map(payload).collect(),
        durable: false,
        queued: Some(QueueSubmission {
            queue: queue.parse().expect("the name is valid"),
            name: name.parse().expect("the name is valid"),
            steps: vec![step],
        }),
    }
}

/// Submitted jobs, to be judged at the end of a run.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    pub(crate) submitted: Vec<(CallerId, Submission)>,
    /// Callers whose entry was killed may stay without an answer.
    pub(crate) excused: Vec<CallerId>,
    /// The same payloads are submitted again on purpose, so that a start after
    /// a failure may belong to the repetition.
    pub(crate) repeated: bool,
}

impl Judge {
    pub(crate) fn watch(&mut self, caller: CallerId, submission: &Submission) -> CallerId {
        self.submitted.push((caller, submission.clone()));
        caller
    }

    pub(crate) fn excuse(&mut self, caller: CallerId) {
        self.excused.push(caller);
    }

    /// Every promise, as one list of what was broken.
    pub(crate) fn broken(&self, world: &TestWorld) -> Vec<String> {
        let mut broken = Vec::new();
        for (payload, count) in &world.starts {
            if *count > 1 {
                broken.push(format!("{} started {count} times", text(payload)));
            }
        }
        let mut ran_elsewhere: HashMap<&Payload, bool> = HashMap::new();
        for (caller, submission) in &self.submitted {
            let not_run = self.judge_answer(world, *caller, submission, &mut broken);
            for payload in &submission.tasks {
                let elsewhere = ran_elsewhere.entry(payload).or_default();
                *elsewhere |= !not_run;
            }
        }
        for (payload, elsewhere) in ran_elsewhere {
            if !elsewhere && world.starts.contains_key(payload) {
                broken.push(format!("{} was refused as not run, but ran", text(payload)));
            }
        }
        broken
    }

    /// Judges one caller's answer; returns whether it said "not run".
    fn judge_answer(
        &self,
        world: &TestWorld,
        caller: CallerId,
        submission: &Submission,
        broken: &mut Vec<String>,
    ) -> bool {
        let answers = world.received.get(&caller).map_or(&[][..], Vec::as_slice);
        let answer = match answers {
            [answer] => answer,
            [] if self.excused.contains(&caller) => return false,
            [] => {
                broken.push(format!("{caller:?} has no answer"));
                return false;
            }
            _ => {
                broken.push(format!("{caller:?} has {} answers", answers.len()));
                return false;
            }
        };
        match &answer.answer.outcome {
            Ok(results) => {
                let expected: Vec<Payload> = submission.tasks.iter().map(result_of).collect();
                if results[..] != expected[..] {
                    broken.push(format!("{caller:?} got another or a partial answer"));
                }
                false
            }
            Err(failure) => {
                let latest_ms = answer.at_ms + Timing::default().start_lease_ms;
                let late = |payload: &&Payload| {
                    world
                        .started_ms
                        .get(*payload)
                        .is_some_and(|at_ms| *at_ms > latest_ms)
                };
                if failure.run == RunCertainty::MayHaveRun
                    && !self.repeated
                    && let Some(payload) = submission.tasks.iter().find(late)
                {
                    broken.push(format!(
                        "{} started long after its job failed",
                        text(payload)
                    ));
                }
                failure.run == RunCertainty::NotRun
            }
        }
    }

    pub(crate) fn assert_kept(&self, world: &TestWorld) {
        let broken = self.broken(world);
        assert!(broken.is_empty(), "{broken:#?}");
    }
}

fn text(payload: &Payload) -> String {
    String::from_utf8_lossy(payload.as_slice()).into_owned()
}

/// Whether a caller got every result.
pub(crate) fn is_complete(world: &TestWorld, caller: CallerId) -> bool {
    world
        .received
        .get(&caller)
        .and_then(|answers| answers.first())
        .is_some_and(|received| received.answer.outcome.is_ok())
}

/// What a failed caller was told.
pub(crate) fn failure(world: &TestWorld, caller: CallerId) -> Option<(RunCertainty, String)> {
    let received = world.received.get(&caller)?.first()?;
    let failure = received.answer.outcome.as_ref().err()?;
    Some((failure.run, failure.cause.to_string()))
}
