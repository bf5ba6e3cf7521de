//! Crashes of a leased target, as its agent reports them. Guards against a task given up
//! for a crash that was none, and against a crash that counts for no task.

#[path = "support/restarting_target.rs"]
mod restarting_target;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_protocol::{Interruption, TaskResult};
use restarting_target::RestartingTarget;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Why a run was reported as interrupted.
fn interruption(target: &RestartingTarget, key: TaskKey) -> Interruption {
    match target.result_of(key) {
        Some(TaskResult::Interrupted(why)) => Interruption::from(why.as_str()),
        other => panic!("not interrupted: {other:?}"),
    }
}

fn is_crash(target: &RestartingTarget, key: TaskKey) -> bool {
    matches!(
        interruption(target, key),
        Interruption::TargetCrashed { .. }
    )
}

fn is_no_crash(target: &RestartingTarget, key: TaskKey) -> bool {
    matches!(interruption(target, key), Interruption::Other(_))
}

cases! {
    a_run_of_a_target_that_is_gone_has_crashed_it => {
        let mut target = RestartingTarget::ready();
        let first = target.started(0);
        target.pass(80);
        let last = target.started(1);
        target.crash();
        target.pass(800);
        let Interruption::TargetCrashed { before_last_start_ms } = interruption(&target, first) else {
            panic!("{:?}", target.result_of(first));
        };
        assert_eq!(before_last_start_ms.0, 80);
        assert!(is_crash(&target, last));
    }

    a_run_of_a_target_that_starts_again_at_once_has_crashed_it => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.pass(50);
        target.restart();
        target.pass(800);
        assert!(is_crash(&target, key));
    }

    a_run_with_an_unanswered_start_may_have_crashed_the_target => {
        let mut target = RestartingTarget::ready();
        let key = target.start(0);
        target.lose_start();
        target.crash();
        target.pass(800);
        assert_eq!(interruption(&target, key), Interruption::TargetCrashedAtStart);
    }

    a_run_that_never_reached_the_target_has_not_crashed_it => {
        let mut target = RestartingTarget::ready();
        target.crash();
        let key = target.start(0);
        target.pass(800);
        assert!(is_no_crash(&target, key));
    }

    a_silent_target_has_not_crashed => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.answers_polls = false;
        target.pass(800);
        assert!(is_no_crash(&target, key));
    }

    a_target_that_leaves_has_not_crashed => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.leave();
        target.crash();
        target.pass(800);
        assert!(is_no_crash(&target, key));
    }

    a_target_that_drains_has_not_crashed => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.drains = true;
        target.announce();
        target.crash();
        target.pass(800);
        assert!(is_no_crash(&target, key));
    }

    a_stopped_run_has_not_crashed_the_target => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.answers_polls = false;
        target.stop(key);
        target.pass(20);
        target.crash();
        target.pass(800);
        assert!(is_no_crash(&target, key));
    }

    // The runs were over with their lease before the target ended.
    a_target_that_is_gone_after_a_suspension_has_not_crashed_under_its_runs => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.pass(50);
        target.suspend(1_000);
        target.crash();
        target.pass(800);
        assert!(is_no_crash(&target, key));
    }
}
