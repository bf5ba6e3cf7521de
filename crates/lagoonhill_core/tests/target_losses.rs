//! What a target's answers tell of its losses. Guards against a crash that is taken back, a
//! cut that counts as a crash, and a report that is older than the loss.

use lagoonhill_core::entry::{
    CrashEvidence, LossOutcome, SeenRun, TaskCrash, TaskCrashes, UnresolvedCrash, Verdict,
};
use lagoonhill_protocol::{LossId, TargetAnswered, TargetIncarnation};
use lagoonhill_types::prelude::*;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const AGENT: Incarnation = Incarnation(100);

fn worker(name: &str) -> WorkerId {
    name.parse().expect("the name is valid")
}

fn incarnation(born_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: worker("target"),
        born_ms,
    }
}

/// The second loss that its agent numbered, of the incarnation born at 5.
fn second_loss() -> UnresolvedCrash {
    UnresolvedCrash {
        worker: worker("worker"),
        agent: AGENT,
        loss: LossId {
            number: 2,
            incarnation: incarnation(5),
        },
        evidence: CrashEvidence::AtWork(SeenRun {
            age_ms: DurationMs(50),
            is_cause: false,
        }),
    }
}

/// What an answer after `losses` losses, of which `crashes` were crashes, tells.
fn outcome(agent: Incarnation, losses: u32, crashes: &[u32], born_ms: u64) -> Option<LossOutcome> {
    let answered = TargetAnswered {
        losses,
        crashes: crashes.to_vec(),
        incarnation: incarnation(born_ms),
    };
    second_loss().outcome(&worker("worker"), agent, &answered)
}

/// The verdict after certain crashes.
fn verdict(evidence: &[CrashEvidence]) -> Verdict {
    let mut crashes = TaskCrashes::default();
    for evidence in evidence {
        crashes.add(TaskCrash::Certain(*evidence));
    }
    crashes.verdict()
}

fn at_work(age_ms: u64) -> CrashEvidence {
    CrashEvidence::AtWork(SeenRun {
        age_ms: DurationMs(age_ms),
        is_cause: true,
    })
}

fn near_end(age_ms: u64) -> CrashEvidence {
    CrashEvidence::NearEnd(SeenRun {
        age_ms: DurationMs(age_ms),
        is_cause: true,
    })
}

// Guards against a conviction with one crash at work, and against deadly tasks that take
// more workers than needed.
cases! {
    two_crashes_at_work_convict => {
        assert_eq!(verdict(&[at_work(50), at_work(400)]), Verdict::Convicted);
    }

    one_run_that_may_have_ended_in_the_last_moment_does_not_convict => {
        for age_ms in [2_500, 1_200, 700] {
            assert_eq!(verdict(&[near_end(age_ms), at_work(500)]), Verdict::Suspected);
            assert_eq!(verdict(&[near_end(age_ms), near_end(500)]), Verdict::Suspected);
        }
        assert_eq!(verdict(&[near_end(2_500), at_work(500), at_work(500)]), Verdict::Convicted);
    }

    runs_that_crash_at_the_same_age_convict => {
        assert_eq!(verdict(&[near_end(52), at_work(50)]), Verdict::Convicted);
        assert_eq!(verdict(&[near_end(60), near_end(40)]), Verdict::Convicted);
    }

    unseen_runs_convict_later => {
        let unseen = CrashEvidence::MayHaveEnded;
        assert_eq!(verdict(&[unseen, at_work(500)]), Verdict::Suspected);
        assert_eq!(verdict(&[unseen; 3]), Verdict::Suspected);
        assert_eq!(verdict(&[unseen; 4]), Verdict::Convicted);
        assert_eq!(verdict(&[CrashEvidence::AtStart; 4]), Verdict::Suspected);
        assert_eq!(verdict(&[CrashEvidence::AtStart; 5]), Verdict::Convicted);
    }
}

cases! {
    the_same_incarnation_has_survived => {
        assert_eq!(outcome(AGENT, 2, &[1], 5), Some(LossOutcome::Survived));
    }

    another_incarnation_shows_a_crash => {
        assert_eq!(outcome(AGENT, 2, &[1, 2], 6), Some(LossOutcome::Crashed));
    }

    a_report_from_before_the_loss_tells_nothing => {
        assert_eq!(outcome(AGENT, 1, &[1], 5), None);
    }

    a_survived_loss_is_none_after_a_later_crash => {
        assert_eq!(outcome(AGENT, 3, &[1, 3], 6), Some(LossOutcome::Survived));
    }

    a_crash_is_one_after_a_later_crash => {
        assert_eq!(outcome(AGENT, 3, &[1, 2, 3], 7), Some(LossOutcome::Crashed));
    }

    a_later_agent_tells_by_the_incarnation => {
        let later = Incarnation(AGENT.0 + 1);
        assert_eq!(outcome(later, 0, &[], 5), Some(LossOutcome::Survived));
        assert_eq!(outcome(later, 0, &[], 6), Some(LossOutcome::Crashed));
    }

    an_earlier_agent_tells_nothing => {
        assert_eq!(outcome(Incarnation(AGENT.0 - 1), 9, &[], 5), None);
    }

    another_worker_tells_nothing => {
        let answered = TargetAnswered { losses: 2, crashes: vec![2], incarnation: incarnation(6) };
        assert_eq!(second_loss().outcome(&worker("other"), AGENT, &answered), None);
    }
}
