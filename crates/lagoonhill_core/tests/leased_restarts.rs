//! A leased target that crashes and starts again under its name before its agent
//! knows: calls to the earlier life may be carried out by the new one, also seconds
//! later.

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::EndKind;
use lagoonhill_protocol::TaskResult;

#[path = "support/restarting_target.rs"]
mod restarting_target;

use restarting_target::RestartingTarget;

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[test] fn $name() $body)+
    };
}

/// A target with an earlier end, so that the numbers of ends are above 1.
fn target_with_earlier_ends() -> RestartingTarget {
    let mut target = RestartingTarget::ready();
    for index in 100..103 {
        let key = target.started(index);
        target.end(index, EndKind::Done);
        target.pass(20);
        assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))));
    }
    target
}

/// Starts a task whose start call is carried out by the next life and answered
/// before the agent knows of that life.
fn started_by_the_next_life(target: &mut RestartingTarget) -> TaskKey {
    let key = target.start(0);
    target.restart();
    target.answer_start();
    key
}

cases! {
    // Guards against two runs at once: a late start reaches the new life after its
    // task was returned.
    an_unanswered_start_is_not_over_before_the_announced_new_life_has_stopped_it => {
        let mut target = RestartingTarget::ready();
        let key = target.start(0);
        let late = target.lose_start();
        target.restart();
        target.answers_stops = false;
        target.announce();
        target.pass(300);
        assert_eq!(target.result_of(key), None, "the new life may still start it");
        target.answers_stops = true;
        target.pass(300);
        assert!(matches!(target.result_of(key), Some(TaskResult::Interrupted(_))));
        target.carry_out(&late);
        assert!(!target.is_running(0));
    }

    // Guards against two runs at once: as above, but a list of runs shows the new
    // life before its first announcement.
    an_unanswered_start_is_not_over_before_the_polled_new_life_has_stopped_it => {
        let mut target = RestartingTarget::ready();
        let key = target.start(0);
        let late = target.lose_start();
        target.restart();
        target.answers_stops = false;
        target.pass(300);
        assert_eq!(target.result_of(key), None, "the new life may still start it");
        target.answers_stops = true;
        target.announce();
        target.pass(300);
        assert!(matches!(target.result_of(key), Some(TaskResult::Interrupted(_))));
        target.carry_out(&late);
        assert!(!target.is_running(0));
    }

    // Guards against two runs at once: the late start arrives at the new life before
    // the stop does.
    a_late_start_that_the_new_life_carries_out_is_over_only_with_its_end => {
        let mut target = RestartingTarget::ready();
        let key = target.start(0);
        let late = target.lose_start();
        target.restart();
        target.answers_stops = false;
        target.announce();
        target.pass(50);
        target.carry_out(&late);
        target.pass(100);
        assert_eq!(target.result_of(key), None, "the new life runs it");
        target.answers_stops = true;
        target.pass(200);
        if target.is_running(0) {
            target.end(0, EndKind::Done);
            target.pass(50);
        }
        assert!(target.result_of(key).is_some(), "its end is not reported");
    }

    // Guards against two runs at once: the earlier life confirms the second attempt,
    // and the new one carries out the first.
    a_confirmed_run_with_an_unanswered_attempt_is_not_over_before_the_new_life_has_stopped_it => {
        let mut target = RestartingTarget::ready();
        let key = target.start(0);
        let late = target.lose_start();
        target.pass(50);
        target.answer_start();
        target.pass(50);
        target.restart();
        target.answers_stops = false;
        target.announce();
        target.pass(300);
        assert_eq!(target.result_of(key), None, "the new life may still start it");
        target.answers_stops = true;
        target.pass(300);
        assert!(matches!(target.result_of(key), Some(TaskResult::Interrupted(_))));
        target.carry_out(&late);
        assert!(!target.is_running(0));
    }

    // Guards against two runs at once: the new life answers a start of the earlier
    // one, and its announcement returns the task.
    a_run_that_the_announced_new_life_lists_goes_on => {
        let mut target = RestartingTarget::ready();
        let key = started_by_the_next_life(&mut target);
        target.announce();
        assert_eq!(target.result_of(key), None, "the new life runs it");
        target.pass(200);
        assert_eq!(target.result_of(key), None, "the new life runs it");
        assert!(target.is_running(0), "it was stopped");
        target.end(0, EndKind::Done);
        target.pass(50);
        assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))));
    }

    // Guards against two runs at once: as above, and the list that shows the new life
    // returns the task.
    a_run_that_the_polled_new_life_lists_goes_on => {
        let mut target = RestartingTarget::ready();
        let key = started_by_the_next_life(&mut target);
        target.pass(100);
        assert_eq!(target.result_of(key), None, "the new life runs it");
        target.announce();
        target.pass(100);
        assert_eq!(target.result_of(key), None, "the new life runs it");
        assert!(target.is_running(0), "it was stopped");
        target.end(0, EndKind::Done);
        target.pass(50);
        assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))));
    }

    // Guards against two runs at once: answers overtake each other, so the first list
    // of the new life may be older than the start that it has confirmed.
    a_run_confirmed_after_the_poll_is_not_over_because_the_new_lifes_list_lacks_it => {
        let mut target = RestartingTarget::ready();
        target.pass(10);
        let poll = target.take_poll();
        let key = target.start(0);
        target.restart();
        let older_list = target.carry_out(&poll);
        target.answer_start();
        target.answer(&poll, older_list);
        target.pass(50);
        if target.is_running(0) {
            target.end(0, EndKind::Done);
        }
        target.announce();
        target.pass(100);
        assert!(target.result_of(key).is_some(), "its end is not reported");
    }

    // Guards against a task that starts elsewhere on the word of an announcement
    // alone, and against one that waits for a lease although its run is over.
    a_confirmed_run_is_over_as_soon_as_the_new_life_answers => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.pass(50);
        target.answers_polls = false;
        target.restart();
        target.announce();
        assert_eq!(target.result_of(key), None, "only an announcement tells of the new life");
        target.answers_polls = true;
        // Polls are repeated within 200 ms, and the lease is 400 ms.
        target.pass(210);
        assert!(matches!(target.result_of(key), Some(TaskResult::Interrupted(_))));
    }

    // Guards against a second run of a task that is done: ends of the new life are
    // numbered from 1 again, below the last one of the earlier life.
    an_end_in_the_new_life_of_a_run_that_it_confirmed_counts => {
        let mut target = target_with_earlier_ends();
        let key = started_by_the_next_life(&mut target);
        target.announce();
        // Polls to the earlier life, which acknowledge its ends, are over by then.
        target.pass(100);
        target.end(0, EndKind::Done);
        target.pass(100);
        assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))), "{:?}", target.result_of(key));
        assert!(!target.lists_end(0), "the end was not acknowledged");
    }

    // Guards against a second run of a durable task that is done: its end is dropped
    // by the target before it is stored.
    the_end_of_a_durable_run_in_the_new_life_is_acknowledged_once_it_is_stored => {
        let mut target = target_with_earlier_ends();
        target.durable = true;
        let key = started_by_the_next_life(&mut target);
        target.announce();
        target.pass(100);
        target.end(0, EndKind::Done);
        target.pass(100);
        assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))), "{:?}", target.result_of(key));
        assert!(target.lists_end(0), "the end was acknowledged before it was stored");
        target.runs.end_stored(key, target.now);
        target.pass(100);
        assert!(!target.lists_end(0), "the end was not acknowledged");
    }
}
