//! Random sequences of submissions and faults, with the real decision code in a
//! simulated world. Seeds are fixed; a failing run is shrunk and added below as a
//! test of its own.

mod support;

use lagoonhill_core::entry::Submission;
use lagoonhill_standin::{NodeId, WorldConfig};
use lagoonhill_types::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{DEADLINE_MS, OutcomeChecker, TestWorld, config, is_complete, job, world};

const ENTRIES: usize = 3;
const WORKERS: usize = 3;
const RUNS: u64 = 1_500;
const MAX_ACTIONS: usize = 24;

/// Time until all jobs have ended after the last action: a frozen process
/// resumes, then a session may fail, then a deadline may pass.
const SETTLE_MS: u64 = 2 * DEADLINE_MS + 20_000;

/// A submission, a fault or its repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Submit {
        entry: usize,
        tasks: usize,
        run_ms: u64,
    },
    SubmitKey {
        entry: usize,
        key: u8,
    },
    SubmitTicket {
        issuer: usize,
        entry: usize,
    },
    RepeatTicket {
        entry: usize,
    },
    Abandon,
    CancelAll {
        entry: usize,
    },
    KillEntry {
        entry: usize,
    },
    RestartAgent {
        agent: usize,
    },
    KillAgent {
        agent: usize,
    },
    AgentLeaves {
        agent: usize,
    },
    EntryLeaves {
        entry: usize,
    },
    TargetGoes {
        agent: usize,
    },
    Freeze {
        node: NodeId,
        length_ms: u64,
    },
    Cut {
        entry: usize,
        agent: usize,
    },
    Heal {
        entry: usize,
        agent: usize,
    },
    SilenceToAgent {
        entry: usize,
        agent: usize,
    },
    SilenceToEntry {
        entry: usize,
        agent: usize,
    },
    PlatformDown(bool),
    PlatformAnswerLost,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = |g: &mut Gen, below: usize| usize::arbitrary(g) % below;
        let entry = pick(g, ENTRIES);
        let agent = pick(g, WORKERS);
        let run_ms = *g.choose(&[0, 20, 200, 1_500]).unwrap_or(&20);
        match pick(g, 26) {
            0..=4 => Self::Submit {
                entry,
                tasks: 1 + pick(g, 9),
                run_ms,
            },
            5..=7 => Self::SubmitKey {
                entry,
                key: u8::arbitrary(g) % 3,
            },
            8 => Self::SubmitTicket {
                issuer: pick(g, ENTRIES),
                entry,
            },
            9 => Self::RepeatTicket { entry },
            10 => Self::Abandon,
            11 => Self::CancelAll { entry },
            12 => Self::KillEntry { entry },
            13 => Self::RestartAgent { agent },
            14 => Self::KillAgent { agent },
            15 => Self::AgentLeaves { agent },
            16 => Self::EntryLeaves { entry },
            17 => Self::TargetGoes { agent },
            18 => {
                let nodes = [NodeId::Entry(entry), NodeId::Agent(agent)];
                let length_ms = *g
                    .choose(&[300, 2_000, 4_500, 9_000, 15_000])
                    .unwrap_or(&300);
                Self::Freeze {
                    node: *g.choose(&nodes).unwrap_or(&nodes[0]),
                    length_ms,
                }
            }
            19 => Self::Cut { entry, agent },
            20 | 21 => Self::Heal { entry, agent },
            22 => Self::SilenceToAgent { entry, agent },
            23 => Self::SilenceToEntry { entry, agent },
            24 => Self::PlatformDown(bool::arbitrary(g)),
            _ => Self::PlatformAnswerLost,
        }
    }
}

/// The network conditions and actions of one run.
#[derive(Clone, Debug)]
struct Script {
    seed: u64,
    loss_permille: u32,
    repeat_permille: u32,
    jitter_ms: u64,
    /// Actions, each with the pause in milliseconds before it.
    actions: Vec<(u64, Action)>,
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % MAX_ACTIONS;
        let action = |g: &mut Gen| {
            let pause_ms = *g.choose(&[0, 1, 2, 5, 30, 250, 1_100, 3_000]).unwrap_or(&1);
            (pause_ms, Action::arbitrary(g))
        };
        Self {
            seed: u64::arbitrary(g),
            loss_permille: *g.choose(&[0, 0, 50, 200]).unwrap_or(&0),
            repeat_permille: *g.choose(&[0, 0, 100]).unwrap_or(&0),
            jitter_ms: *g.choose(&[0, 1, 10, 400]).unwrap_or(&0),
            actions: (0..count).map(|_| action(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let without = move |index: usize| {
            let mut shorter = whole.clone();
            shorter.actions.remove(index);
            shorter
        };
        Box::new((0..self.actions.len()).map(without))
    }
}

/// A run in progress.
struct Run {
    world: TestWorld,
    config: WorldConfig,
    checker: OutcomeChecker,
    submitted: u32,
    waiting: Vec<(lagoonhill_core::entry::CallerId, usize)>,
    last_ticket: Option<(Ticket, Submission)>,
}

impl Run {
    fn new(script: &Script) -> Self {
        let mut config = config(ENTRIES, WORKERS, script.seed);
        config.network.loss_permille = script.loss_permille;
        config.network.repeat_permille = script.repeat_permille;
        config.network.jitter_ms = script.jitter_ms;
        let world = world(&config);
        let checker = OutcomeChecker {
            repeated: true,
            ..OutcomeChecker::default()
        };
        Self {
            world,
            config,
            checker,
            submitted: 0,
            waiting: Vec::new(),
            last_ticket: None,
        }
    }

    fn fresh_job(&mut self, tasks: usize, run_ms: u64) -> Submission {
        self.submitted += 1;
        job(&format!("job{}", self.submitted), tasks, run_ms)
    }

    fn watch(
        &mut self,
        caller: lagoonhill_core::entry::CallerId,
        entry: usize,
        submission: &Submission,
    ) {
        self.checker.watch(caller, submission);
        if self.world.entry(entry).is_none() {
            self.checker.allow_unanswered(caller);
        }
        self.waiting.push((caller, entry));
    }

    /// Permits callers that wait for a killed entry, directly or forwarded, to stay
    /// without an answer: their connection was closed.
    fn allow_callers_unanswered(&mut self) {
        for (caller, _) in &self.waiting {
            if !self.world.received.contains_key(caller) {
                self.checker.allow_unanswered(*caller);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Submit {
                entry,
                tasks,
                run_ms,
            } => {
                let submission = self.fresh_job(tasks, run_ms);
                let caller = self.world.submit(entry, submission.clone());
                self.watch(caller, entry, &submission);
            }
            Action::SubmitKey { entry, key } => {
                let submission = job(&format!("key{key}"), 2, 200);
                let key: RequestKey = format!("key{key}").parse().expect("the key is valid");
                let caller = self.world.submit_key(entry, &key, submission.clone());
                self.watch(caller, entry, &submission);
            }
            Action::SubmitTicket { issuer, entry } => {
                if let Some(ticket) = self.world.ticket(issuer) {
                    let submission = self.fresh_job(2, 200);
                    self.last_ticket = Some((ticket, submission));
                    self.submit_last_ticket(entry);
                }
            }
            Action::RepeatTicket { entry } => self.submit_last_ticket(entry),
            Action::Abandon => {
                if let Some((caller, _)) = self.waiting.pop() {
                    self.checker.allow_unanswered(caller);
                    self.world.abandon(caller);
                }
            }
            Action::CancelAll { entry } => {
                let jobs = self
                    .world
                    .entry(entry)
                    .map(lagoonhill_core::entry::Entry::jobs)
                    .unwrap_or_default();
                for id in jobs {
                    self.world.with_entry(entry, |entry, now| {
                        entry.cancel(id, now);
                    });
                }
            }
            Action::KillEntry { entry } => {
                self.allow_callers_unanswered();
                self.world.kill(NodeId::Entry(entry));
            }
            Action::RestartAgent { agent } => self.world.restart_agent(agent, &self.config),
            Action::KillAgent { agent } => self.world.kill(NodeId::Agent(agent)),
            Action::AgentLeaves { agent } => {
                self.world
                    .with_agent(agent, lagoonhill_core::agent::Agent::leave);
            }
            Action::EntryLeaves { entry } => self.world.with_entry(entry, |e, _| e.leave()),
            Action::TargetGoes { agent } => {
                self.world
                    .with_agent(agent, |agent, now| agent.set_target(None, now));
            }
            Action::Freeze { node, length_ms } => self.world.freeze(node, length_ms),
            Action::Cut { entry, agent } => {
                self.world
                    .partition(NodeId::Entry(entry), NodeId::Agent(agent));
            }
            Action::Heal { entry, agent } => {
                self.world.heal(NodeId::Entry(entry), NodeId::Agent(agent));
            }
            Action::SilenceToAgent { entry, agent } => {
                self.world
                    .silence(NodeId::Entry(entry), NodeId::Agent(agent));
            }
            Action::SilenceToEntry { entry, agent } => {
                self.world
                    .silence(NodeId::Agent(agent), NodeId::Entry(entry));
            }
            Action::PlatformDown(down) => self.world.platform_down = down,
            Action::PlatformAnswerLost => self.world.platform_loses_answer = true,
        }
    }

    fn submit_last_ticket(&mut self, entry: usize) {
        if let Some((ticket, submission)) = self.last_ticket.clone() {
            let caller = self.world.submit_ticket(entry, ticket, submission.clone());
            self.watch(caller, entry, &submission);
        }
    }
}

fn guarantee_violations(script: &Script) -> Vec<String> {
    let mut run = Run::new(script);
    for (pause_ms, action) in &script.actions {
        run.world.run_for(*pause_ms);
        run.act(*action);
    }
    run.world.run_for(SETTLE_MS);
    run.checker.violations(&run.world)
}

#[test]
fn guarantees_hold_under_random_faults() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(script: Script) -> bool {
        guarantee_violations(&script).is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 20_261_204))
        .tests(RUNS)
        .quickcheck(holds as fn(Script) -> bool);
}

/// Guards against random runs that complete too few jobs to test anything.
#[test]
fn random_runs_complete_jobs() {
    let mut g = Gen::from_size_and_seed(30, 1);
    let (mut submitted, mut completed) = (0, 0);
    for _ in 0..100 {
        let script = Script::arbitrary(&mut g);
        let mut run = Run::new(&script);
        for (pause_ms, action) in &script.actions {
            run.world.run_for(*pause_ms);
            run.act(*action);
        }
        run.world.run_for(SETTLE_MS);
        submitted += run.world.received.len();
        completed += run
            .world
            .received
            .keys()
            .filter(|c| is_complete(&run.world, **c))
            .count();
    }
    assert!(
        completed * 4 > submitted,
        "only {completed} of {submitted} jobs were completed"
    );
}
