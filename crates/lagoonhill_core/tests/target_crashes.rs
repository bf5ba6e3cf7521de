//! Crashes of a leased target, as its agent reports them. Guards against a task given up
//! for a crash that was none, and against a crash that counts for no task.

#[path = "support/restarting_target.rs"]
mod restarting_target;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::EndKind;
use lagoonhill_protocol::{HeldRun, Interruption, LossId, TargetLoss, TaskResult};
use lagoonhill_types::prelude::*;
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

/// The loss under which a run was interrupted.
fn loss(target: &RestartingTarget, key: TaskKey) -> TargetLoss {
    match interruption(target, key) {
        Interruption::TargetLost(loss) => loss,
        other => panic!("interrupted by no loss: {other}"),
    }
}

/// Whether a run was confirmed when the target crashed for certain.
fn is_crash(target: &RestartingTarget, key: TaskKey) -> bool {
    let TargetLoss { held, unresolved } = loss(target, key);
    matches!(held, HeldRun::Confirmed { .. }) && unresolved.is_none()
}

fn is_no_crash(target: &RestartingTarget, key: TaskKey) -> bool {
    matches!(interruption(target, key), Interruption::Other(_))
}

cases! {
    // Refused connections alone don't tell a crash from a cut; the next life does.
    a_run_of_a_target_that_is_gone_has_crashed_it => {
        let mut target = RestartingTarget::ready();
        let first = target.started(0);
        target.pass(80);
        let last = target.started(1);
        let first_loss = LossId { number: 1, incarnation: target.incarnation() };
        target.crash();
        target.pass(800);
        for (key, before_last_start_ms) in [(first, 80), (last, 0)] {
            let TargetLoss { held, unresolved } = loss(&target, key);
            let HeldRun::Confirmed { before_last_start_ms: found_ms, .. } = held else {
                panic!("{held:?}");
            };
            assert_eq!(found_ms.0, before_last_start_ms);
            assert_eq!(unresolved.as_ref(), Some(&first_loss));
        }
        target.restart();
        target.reconnect();
        target.announce();
        target.pass(2_000);
        let answered = target.answered.last().expect("the target has answered");
        assert_eq!((answered.losses, answered.crashes.as_slice()), (1, [1].as_slice()));
        assert_ne!(answered.incarnation, first_loss.incarnation);
    }

    // Guards against a run that counts as at work in a crash although it had ended before:
    // while ends wait to be stored, the agent looks at its target from time to time only.
    a_run_that_has_ended_since_the_last_look_is_not_reported_as_seen => {
        let mut target = RestartingTarget::ready();
        target.durable = true;
        let key = target.started(0);
        target.started(1);
        target.pass(50);
        target.end(1, EndKind::Done);
        target.pass(100);
        assert!(target.lists_end(1), "the end is stored");
        target.end(0, EndKind::Done);
        target.pass_unseen(20);
        target.crash();
        target.pass(800);
        let HeldRun::Confirmed { unseen_ms, age_ms, .. } = loss(&target, key).held else {
            panic!("the start was confirmed");
        };
        assert!(unseen_ms >= DurationMs(20), "{unseen_ms}");
        assert!(age_ms >= DurationMs(170), "{age_ms}");
    }

    // The same, if the next look follows as soon as those ends are stored: a poll that is
    // refused has not waited at the target.
    a_refused_poll_does_not_show_that_a_run_was_at_work => {
        let mut target = RestartingTarget::ready();
        target.durable = true;
        let key = target.started(0);
        let other = target.started(1);
        target.pass(50);
        target.end(1, EndKind::Done);
        target.pass(30);
        target.end(0, EndKind::Done);
        target.pass_unseen(12);
        target.crash();
        target.store_end(other);
        target.pass(800);
        let HeldRun::Confirmed { unseen_ms, .. } = loss(&target, key).held else {
            panic!("the start was confirmed");
        };
        assert!(unseen_ms >= DurationMs(12), "{unseen_ms}");
    }

    // Guards against deadly tasks that are never convicted, as no run is ever seen.
    a_run_under_a_waiting_poll_is_seen_until_the_crash => {
        let mut target = RestartingTarget::ready();
        target.polls_wait = true;
        let key = target.started(0);
        target.pass(40);
        target.crash();
        target.pass(800);
        let HeldRun::Confirmed { unseen_ms, age_ms, .. } = loss(&target, key).held else {
            panic!("the start was confirmed");
        };
        assert_eq!(unseen_ms, DurationMs(0));
        assert!(age_ms <= DurationMs(50), "{age_ms}");
    }

    // Guards against a run that counts as a crash of its target although the target was
    // cut off, refused connections and let the run lapse.
    a_target_that_was_cut_off_is_reported_as_the_same_incarnation => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        let first_loss = LossId { number: 1, incarnation: target.incarnation() };
        target.pass(50);
        target.cut_off();
        target.pass(5_500);
        assert_eq!(loss(&target, key).unresolved, Some(first_loss.clone()));
        assert!(target.answered.iter().all(|answered| answered.losses == 0));
        target.reconnect();
        target.pass(2_000);
        let answered = target.answered.last().expect("the target has answered");
        assert_eq!((answered.losses, answered.crashes.len()), (1, 0));
        assert_eq!(answered.incarnation, first_loss.incarnation);
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
        let unresolved = Some(LossId { number: 1, incarnation: target.incarnation() });
        let key = target.start(0);
        target.lose_start();
        target.crash();
        target.pass(800);
        let held = HeldRun::Unconfirmed;
        assert_eq!(loss(&target, key), TargetLoss { held, unresolved });
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
