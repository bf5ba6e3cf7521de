//! Helpers of the tests in simulated worlds: configurations, jobs and the outcome
//! checker.

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

/// Default deadline of jobs in these tests.
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

/// Rules with a queue for each class, and one with few attempts per job.
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

/// Submits a job; returns its caller and the time of submission.
pub(crate) fn submit_timed(
    world: &mut TestWorld,
    entry: usize,
    submission: Submission,
) -> (CallerId, TimestampMs) {
    let submitted_ms = world.now();
    (world.submit(entry, submission), submitted_ms)
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
        overcommit: 8,
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

/// A job whose payloads contain `mark`, so that the checker can tell them apart.
pub(crate) fn job(mark: &str, tasks: usize, run_ms: u64) -> Submission {
    let payload = |index| Payload::from(format!("{run_ms} {mark} {index}").into_bytes());
    Submission {
        service: service(),
        team: "parents".parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs(DEADLINE_MS)),
        waited_ms: DurationMs::ZERO,
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
        waited_ms: DurationMs::ZERO,
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

/// Records submitted jobs and checks their outcomes at the end of a run.
#[derive(Debug, Default)]
pub(crate) struct OutcomeChecker {
    pub(crate) submitted: Vec<(CallerId, Submission)>,
    /// Callers that may stay without an answer because their entry was killed.
    pub(crate) may_be_unanswered: Vec<CallerId>,
    /// Whether the same payloads are submitted again on purpose, so that a start
    /// after a failure may belong to the repeated submission.
    pub(crate) repeated: bool,
}

impl OutcomeChecker {
    pub(crate) fn watch(&mut self, caller: CallerId, submission: &Submission) -> CallerId {
        self.submitted.push((caller, submission.clone()));
        caller
    }

    pub(crate) fn allow_unanswered(&mut self, caller: CallerId) {
        self.may_be_unanswered.push(caller);
    }

    /// Descriptions of all violated guarantees.
    pub(crate) fn violations(&self, world: &TestWorld) -> Vec<String> {
        let mut violations = Vec::new();
        for (payload, count) in &world.starts {
            if *count > 1 {
                violations.push(format!("{} started {count} times", text(payload)));
            }
        }
        let mut may_have_run: HashMap<&Payload, bool> = HashMap::new();
        for (caller, submission) in &self.submitted {
            let not_run = self.check_answer(world, *caller, submission, &mut violations);
            for payload in &submission.tasks {
                let elsewhere = may_have_run.entry(payload).or_default();
                *elsewhere |= !not_run;
            }
        }
        for (payload, elsewhere) in may_have_run {
            if !elsewhere && world.starts.contains_key(payload) {
                violations.push(format!(
                    "{} was reported as not run, but was started",
                    text(payload)
                ));
            }
        }
        violations
    }

    /// Checks one caller's answer; returns whether it said "not run".
    fn check_answer(
        &self,
        world: &TestWorld,
        caller: CallerId,
        submission: &Submission,
        violations: &mut Vec<String>,
    ) -> bool {
        let answers = world.received.get(&caller).map_or(&[][..], Vec::as_slice);
        let answer = match answers {
            [answer] => answer,
            [] if self.may_be_unanswered.contains(&caller) => return false,
            [] => {
                violations.push(format!("{caller:?} has no answer"));
                return false;
            }
            _ => {
                violations.push(format!("{caller:?} has {} answers", answers.len()));
                return false;
            }
        };
        match &answer.answer.outcome {
            Ok(results) => {
                let expected: Vec<Payload> = submission.tasks.iter().map(result_of).collect();
                if results[..] != expected[..] {
                    violations.push(format!("{caller:?} got wrong or partial results"));
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
                    violations.push(format!(
                        "{} started long after its job failed",
                        text(payload)
                    ));
                }
                failure.run == RunCertainty::NotRun
            }
        }
    }

    pub(crate) fn assert_no_violations(&self, world: &TestWorld) {
        let violations = self.violations(world);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

fn text(payload: &Payload) -> String {
    String::from_utf8_lossy(payload.as_slice()).into_owned()
}

/// Whether a caller got all results.
pub(crate) fn is_complete(world: &TestWorld, caller: CallerId) -> bool {
    world
        .received
        .get(&caller)
        .and_then(|answers| answers.first())
        .is_some_and(|received| received.answer.outcome.is_ok())
}

/// The failure that a caller received: whether the job may have run, and the cause.
pub(crate) fn failure(world: &TestWorld, caller: CallerId) -> Option<(RunCertainty, String)> {
    let received = world.received.get(&caller)?.first()?;
    let failure = received.answer.outcome.as_ref().err()?;
    Some((failure.run, failure.cause.to_string()))
}
