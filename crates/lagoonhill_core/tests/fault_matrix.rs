//! The fault matrix: every fault at every step of a job, with the real decision
//! code in a simulated world. Each case is named `step__fault`.

#![allow(non_snake_case, reason = "cases are named step__fault")]

mod support;

use lagoonhill_core::entry::CallerId;
use lagoonhill_standin::{FaultPoint, NodeId, WorldConfig};
use support::{DEADLINE_MS, OutcomeChecker, TestWorld, config, is_complete, job, world};

const ENTRY: usize = 0;
const OTHER_ENTRY: usize = 1;
const WORKERS: usize = 2;

/// Longer than the timeout of any session.
const LONG_FREEZE_MS: u64 = 12_000;

/// Shorter than a start lease.
const SHORT_FREEZE_MS: u64 = 1_000;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EntryDies,
    AgentDies,
    AgentRestarts,
    TargetFails,
    ConnectionCut,
    ConnectionSilentBothWays,
    ConnectionSilentToAgent,
    ConnectionSilentToEntry,
    AgentFreezes,
    AgentFreezesShortly,
    EntryFreezes,
    AgentLeaves,
    TargetLeaves,
    EntryLeaves,
    CallerCancels,
    PlatformDown,
    PlatformAnswerLost,
}

struct Case {
    world: TestWorld,
    config: WorldConfig,
    checker: OutcomeChecker,
    /// Callers that wait for the entry that a fault may kill.
    callers: Vec<CallerId>,
}

impl Case {
    /// Runs until one job reaches `step`. Worker 0 holds all of its tasks, so
    /// that faults of that worker always affect the job.
    fn at(step: FaultPoint) -> Self {
        let mut config = config(2, WORKERS, 7);
        config.network.jitter_ms = 0;
        let mut world = world(&config);
        let mut checker = OutcomeChecker::default();
        world.with_agent(1, |agent, now| agent.set_target(None, now));
        world.run_for(100);
        let mut callers = Vec::new();
        if step == FaultPoint::Queued {
            let blocking = job("blocking", 3, 1_500);
            let blocker = world.submit(ENTRY, blocking.clone());
            callers.push(checker.watch(blocker, &blocking));
            world.run_for(50);
        }
        let wanted = job("wanted", 3, 300);
        let key = "wanted".parse().expect("the key is valid");
        let caller = world.submit_key(ENTRY, &key, wanted.clone());
        callers.push(checker.watch(caller, &wanted));
        if step == FaultPoint::Queued {
            world.run_for(50);
        } else {
            assert!(
                world.run_until_reached(step, 5_000),
                "the job never reached {step:?}"
            );
        }
        let target = world.agent(0).and_then(|agent| agent.target().cloned());
        world.with_agent(1, |agent, now| agent.set_target(target, now));
        Self {
            world,
            config,
            checker,
            callers,
        }
    }

    fn inject(&mut self, fault: Fault) {
        let Self {
            world,
            config,
            checker,
            callers,
        } = self;
        let (entry, agent) = (NodeId::Entry(ENTRY), NodeId::Agent(0));
        match fault {
            Fault::EntryDies => {
                world.kill(entry);
                for caller in callers.iter() {
                    checker.allow_unanswered(*caller);
                }
            }
            Fault::AgentDies => world.kill(agent),
            Fault::AgentRestarts => world.restart_agent(0, config),
            Fault::TargetFails => {
                let mut model = support::average_target();
                model.fails_all = true;
                world.set_target(0, model);
            }
            Fault::ConnectionCut => {
                world.partition(entry, agent);
                world.run_for(700);
                world.heal(entry, agent);
            }
            Fault::ConnectionSilentBothWays => {
                world.silence(entry, agent);
                world.silence(agent, entry);
            }
            Fault::ConnectionSilentToAgent => world.silence(entry, agent),
            Fault::ConnectionSilentToEntry => world.silence(agent, entry),
            Fault::AgentFreezes => world.freeze(agent, LONG_FREEZE_MS),
            Fault::AgentFreezesShortly => world.freeze(agent, SHORT_FREEZE_MS),
            Fault::EntryFreezes => world.freeze(entry, LONG_FREEZE_MS),
            Fault::AgentLeaves => world.with_agent(0, lagoonhill_core::agent::Agent::leave),
            Fault::TargetLeaves => world.with_agent(0, |agent, now| agent.set_target(None, now)),
            Fault::EntryLeaves => world.with_entry(ENTRY, |entry, _| entry.leave()),
            Fault::CallerCancels => {
                let id = world
                    .entry(ENTRY)
                    .map(lagoonhill_core::entry::Entry::jobs)
                    .unwrap_or_default();
                for id in id {
                    world.with_entry(ENTRY, |entry, now| {
                        entry.cancel(id, now);
                    });
                }
            }
            Fault::PlatformDown => world.platform_down = true,
            Fault::PlatformAnswerLost => world.platform_loses_answer = true,
        }
    }

    /// Whether the job must complete despite the faults: no process that takes
    /// part in it is lost for longer than a session's timeout.
    fn must_complete(faults: &[Fault]) -> bool {
        faults.iter().all(|fault| match fault {
            Fault::ConnectionCut
            | Fault::ConnectionSilentBothWays
            | Fault::ConnectionSilentToAgent
            | Fault::ConnectionSilentToEntry
            | Fault::AgentFreezesShortly
            | Fault::AgentLeaves
            | Fault::TargetLeaves
            | Fault::EntryLeaves
            | Fault::PlatformDown
            | Fault::PlatformAnswerLost => true,
            Fault::EntryDies
            | Fault::AgentDies
            | Fault::AgentRestarts
            | Fault::TargetFails
            | Fault::AgentFreezes
            | Fault::EntryFreezes
            | Fault::CallerCancels => false,
        })
    }

    /// Runs until the deadline, then submits more to the other entry: the same
    /// request again and a new job.
    fn finish(mut self, faults: &[Fault]) {
        self.world.run_for(DEADLINE_MS);
        if Self::must_complete(faults) {
            let waiting = self
                .callers
                .iter()
                .find(|caller| !is_complete(&self.world, **caller));
            assert_eq!(waiting, None, "a job did not complete after {faults:?}");
        }
        let wanted = job("wanted", 3, 300);
        let key = "wanted".parse().expect("the key is valid");
        let again = self.world.submit_key(OTHER_ENTRY, &key, wanted.clone());
        self.checker.watch(again, &wanted);
        let fresh = job("fresh", 2, 100);
        let after = self.world.submit(OTHER_ENTRY, fresh.clone());
        self.checker.watch(after, &fresh);
        self.world.run_for(DEADLINE_MS);
        self.checker.assert_no_violations(&self.world);
        if faults != [Fault::TargetFails] {
            assert!(
                is_complete(&self.world, after),
                "a new job did not complete after {faults:?}"
            );
        }
    }
}

fn run(step: FaultPoint, faults: &[Fault]) {
    let mut case = Case::at(step);
    for fault in faults {
        case.inject(*fault);
    }
    case.finish(faults);
}

macro_rules! cells {
    ($($name:ident: $step:ident, [$($fault:ident),+];)+) => {
        $(
            #[test]
            fn $name() {
                run(FaultPoint::$step, &[$(Fault::$fault),+]);
            }
        )+
    };
}

cells! {
    accepted__entry_dies: Accepted, [EntryDies];
    accepted__agent_dies: Accepted, [AgentDies];
    accepted__agent_restarts: Accepted, [AgentRestarts];
    accepted__target_fails: Accepted, [TargetFails];
    accepted__connection_cut: Accepted, [ConnectionCut];
    accepted__connection_silent_both_ways: Accepted, [ConnectionSilentBothWays];
    accepted__connection_silent_to_agent: Accepted, [ConnectionSilentToAgent];
    accepted__connection_silent_to_entry: Accepted, [ConnectionSilentToEntry];
    accepted__agent_freezes: Accepted, [AgentFreezes];
    accepted__agent_freezes_shortly: Accepted, [AgentFreezesShortly];
    accepted__entry_freezes: Accepted, [EntryFreezes];
    accepted__agent_leaves: Accepted, [AgentLeaves];
    accepted__target_leaves: Accepted, [TargetLeaves];
    accepted__entry_leaves: Accepted, [EntryLeaves];
    accepted__caller_cancels: Accepted, [CallerCancels];
    accepted__platform_down: Accepted, [PlatformDown];
    accepted__platform_answer_lost: Accepted, [PlatformAnswerLost];
    queued__entry_dies: Queued, [EntryDies];
    queued__agent_dies: Queued, [AgentDies];
    queued__agent_restarts: Queued, [AgentRestarts];
    queued__target_fails: Queued, [TargetFails];
    queued__connection_cut: Queued, [ConnectionCut];
    queued__connection_silent_both_ways: Queued, [ConnectionSilentBothWays];
    queued__connection_silent_to_agent: Queued, [ConnectionSilentToAgent];
    queued__connection_silent_to_entry: Queued, [ConnectionSilentToEntry];
    queued__agent_freezes: Queued, [AgentFreezes];
    queued__agent_freezes_shortly: Queued, [AgentFreezesShortly];
    queued__entry_freezes: Queued, [EntryFreezes];
    queued__agent_leaves: Queued, [AgentLeaves];
    queued__target_leaves: Queued, [TargetLeaves];
    queued__entry_leaves: Queued, [EntryLeaves];
    queued__caller_cancels: Queued, [CallerCancels];
    queued__platform_down: Queued, [PlatformDown];
    queued__platform_answer_lost: Queued, [PlatformAnswerLost];
    sent__entry_dies: Sent, [EntryDies];
    sent__agent_dies: Sent, [AgentDies];
    sent__agent_restarts: Sent, [AgentRestarts];
    sent__target_fails: Sent, [TargetFails];
    sent__connection_cut: Sent, [ConnectionCut];
    sent__connection_silent_both_ways: Sent, [ConnectionSilentBothWays];
    sent__connection_silent_to_agent: Sent, [ConnectionSilentToAgent];
    sent__connection_silent_to_entry: Sent, [ConnectionSilentToEntry];
    sent__agent_freezes: Sent, [AgentFreezes];
    sent__agent_freezes_shortly: Sent, [AgentFreezesShortly];
    sent__entry_freezes: Sent, [EntryFreezes];
    sent__agent_leaves: Sent, [AgentLeaves];
    sent__target_leaves: Sent, [TargetLeaves];
    sent__entry_leaves: Sent, [EntryLeaves];
    sent__caller_cancels: Sent, [CallerCancels];
    sent__platform_down: Sent, [PlatformDown];
    sent__platform_answer_lost: Sent, [PlatformAnswerLost];
    received__entry_dies: Received, [EntryDies];
    received__agent_dies: Received, [AgentDies];
    received__agent_restarts: Received, [AgentRestarts];
    received__target_fails: Received, [TargetFails];
    received__connection_cut: Received, [ConnectionCut];
    received__connection_silent_both_ways: Received, [ConnectionSilentBothWays];
    received__connection_silent_to_agent: Received, [ConnectionSilentToAgent];
    received__connection_silent_to_entry: Received, [ConnectionSilentToEntry];
    received__agent_freezes: Received, [AgentFreezes];
    received__agent_freezes_shortly: Received, [AgentFreezesShortly];
    received__entry_freezes: Received, [EntryFreezes];
    received__agent_leaves: Received, [AgentLeaves];
    received__target_leaves: Received, [TargetLeaves];
    received__entry_leaves: Received, [EntryLeaves];
    received__caller_cancels: Received, [CallerCancels];
    received__platform_down: Received, [PlatformDown];
    received__platform_answer_lost: Received, [PlatformAnswerLost];
    started__entry_dies: Started, [EntryDies];
    started__agent_dies: Started, [AgentDies];
    started__agent_restarts: Started, [AgentRestarts];
    started__target_fails: Started, [TargetFails];
    started__connection_cut: Started, [ConnectionCut];
    started__connection_silent_both_ways: Started, [ConnectionSilentBothWays];
    started__connection_silent_to_agent: Started, [ConnectionSilentToAgent];
    started__connection_silent_to_entry: Started, [ConnectionSilentToEntry];
    started__agent_freezes: Started, [AgentFreezes];
    started__agent_freezes_shortly: Started, [AgentFreezesShortly];
    started__entry_freezes: Started, [EntryFreezes];
    started__agent_leaves: Started, [AgentLeaves];
    started__target_leaves: Started, [TargetLeaves];
    started__entry_leaves: Started, [EntryLeaves];
    started__caller_cancels: Started, [CallerCancels];
    started__platform_down: Started, [PlatformDown];
    started__platform_answer_lost: Started, [PlatformAnswerLost];
    finished__entry_dies: Finished, [EntryDies];
    finished__agent_dies: Finished, [AgentDies];
    finished__agent_restarts: Finished, [AgentRestarts];
    finished__target_fails: Finished, [TargetFails];
    finished__connection_cut: Finished, [ConnectionCut];
    finished__connection_silent_both_ways: Finished, [ConnectionSilentBothWays];
    finished__connection_silent_to_agent: Finished, [ConnectionSilentToAgent];
    finished__connection_silent_to_entry: Finished, [ConnectionSilentToEntry];
    finished__agent_freezes: Finished, [AgentFreezes];
    finished__agent_freezes_shortly: Finished, [AgentFreezesShortly];
    finished__entry_freezes: Finished, [EntryFreezes];
    finished__agent_leaves: Finished, [AgentLeaves];
    finished__target_leaves: Finished, [TargetLeaves];
    finished__entry_leaves: Finished, [EntryLeaves];
    finished__caller_cancels: Finished, [CallerCancels];
    finished__platform_down: Finished, [PlatformDown];
    finished__platform_answer_lost: Finished, [PlatformAnswerLost];
    answered__entry_dies: Answered, [EntryDies];
    answered__agent_dies: Answered, [AgentDies];
    answered__agent_restarts: Answered, [AgentRestarts];
    answered__target_fails: Answered, [TargetFails];
    answered__connection_cut: Answered, [ConnectionCut];
    answered__connection_silent_both_ways: Answered, [ConnectionSilentBothWays];
    answered__connection_silent_to_agent: Answered, [ConnectionSilentToAgent];
    answered__connection_silent_to_entry: Answered, [ConnectionSilentToEntry];
    answered__agent_freezes: Answered, [AgentFreezes];
    answered__agent_freezes_shortly: Answered, [AgentFreezesShortly];
    answered__entry_freezes: Answered, [EntryFreezes];
    answered__agent_leaves: Answered, [AgentLeaves];
    answered__target_leaves: Answered, [TargetLeaves];
    answered__entry_leaves: Answered, [EntryLeaves];
    answered__caller_cancels: Answered, [CallerCancels];
    answered__platform_down: Answered, [PlatformDown];
    answered__platform_answer_lost: Answered, [PlatformAnswerLost];
    acknowledged__entry_dies: Acknowledged, [EntryDies];
    acknowledged__agent_dies: Acknowledged, [AgentDies];
    acknowledged__agent_restarts: Acknowledged, [AgentRestarts];
    acknowledged__target_fails: Acknowledged, [TargetFails];
    acknowledged__connection_cut: Acknowledged, [ConnectionCut];
    acknowledged__connection_silent_both_ways: Acknowledged, [ConnectionSilentBothWays];
    acknowledged__connection_silent_to_agent: Acknowledged, [ConnectionSilentToAgent];
    acknowledged__connection_silent_to_entry: Acknowledged, [ConnectionSilentToEntry];
    acknowledged__agent_freezes: Acknowledged, [AgentFreezes];
    acknowledged__agent_freezes_shortly: Acknowledged, [AgentFreezesShortly];
    acknowledged__entry_freezes: Acknowledged, [EntryFreezes];
    acknowledged__agent_leaves: Acknowledged, [AgentLeaves];
    acknowledged__target_leaves: Acknowledged, [TargetLeaves];
    acknowledged__entry_leaves: Acknowledged, [EntryLeaves];
    acknowledged__caller_cancels: Acknowledged, [CallerCancels];
    acknowledged__platform_down: Acknowledged, [PlatformDown];
    acknowledged__platform_answer_lost: Acknowledged, [PlatformAnswerLost];
    sent__connection_silent_both_ways__agent_restarts: Sent, [ConnectionSilentBothWays, AgentRestarts];
    sent__agent_freezes__connection_cut: Sent, [AgentFreezes, ConnectionCut];
    received__agent_freezes__entry_dies: Received, [AgentFreezes, EntryDies];
    received__agent_leaves__connection_cut: Received, [AgentLeaves, ConnectionCut];
    started__entry_freezes__agent_dies: Started, [EntryFreezes, AgentDies];
    started__connection_silent_to_entry__agent_leaves: Started, [ConnectionSilentToEntry, AgentLeaves];
    started__connection_silent_to_entry__agent_freezes_shortly: Started, [ConnectionSilentToEntry, AgentFreezesShortly];
    finished__connection_silent_to_entry__platform_down: Finished, [ConnectionSilentToEntry, PlatformDown];
    finished__agent_freezes__entry_freezes: Finished, [AgentFreezes, EntryFreezes];
    finished__connection_cut__connection_cut: Finished, [ConnectionCut, ConnectionCut];
    queued__agent_dies__entry_freezes: Queued, [AgentDies, EntryFreezes];
    queued__caller_cancels__agent_freezes: Queued, [CallerCancels, AgentFreezes];
    accepted__platform_down__entry_dies: Accepted, [PlatformDown, EntryDies];
    answered__entry_dies__platform_down: Answered, [EntryDies, PlatformDown];
    acknowledged__agent_restarts__connection_silent_both_ways: Acknowledged, [AgentRestarts, ConnectionSilentBothWays];
    sent__agent_freezes__agent_freezes: Sent, [AgentFreezes, AgentFreezes];
}
