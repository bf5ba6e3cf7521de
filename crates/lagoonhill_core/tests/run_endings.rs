//! Runs that an agent takes for over, so that their tasks may start elsewhere:
//! only on the word of the target, or once the target's lease has certainly expired.

use lagoonhill_core::leased::{EndKind, LeaseTiming};
use lagoonhill_core::on_slow_clock;
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

/// Most ends that a target lists at a time.
const LISTED_ENDS: u16 = 500;

cases! {
    // Guards against two runs at once: a leave message is of another writer, or of an
    // earlier life of the target, and arrives late.
    a_leave_message_alone_ends_no_run => {
        let mut target = RestartingTarget::ready();
        let key = target.started(0);
        target.pass(50);
        target.leave();
        assert_eq!(target.result_of(key), None, "the target runs it");
        target.pass(1_000);
        assert!(target.result_of(key).is_some() || target.is_running(0), "its end is not reported");
    }

    // Guards against two runs at once: the entry of a lost session counts its runs as
    // over at the run lease and the target's lease, while the lease is renewed for the
    // runs of others.
    a_run_whose_stops_are_lost_ends_with_the_lease => {
        let mut target = RestartingTarget::ready();
        target.started(0);
        let stopped = target.started(1);
        target.pass(50);
        target.answers_stops = false;
        target.stop(stopped);
        let lease_ms = on_slow_clock(LeaseTiming::default().hold_ms);
        target.pass(lease_ms.0.next_multiple_of(10));
        assert!(!target.is_running(1), "the target runs it {lease_ms} after it was to be stopped");
    }

    // Guards against two runs at once: a late start sets the lease of the new life by
    // the clock of the earlier one, so it is as long as the target allows.
    a_run_of_a_new_life_is_not_over_at_the_lease_by_the_earlier_clock => {
        let mut target = RestartingTarget::ready();
        target.pass(2_000);
        target.start(0);
        let late = target.lose_start();
        target.restart();
        target.carry_out(&late);
        assert!(target.is_running(0));
        target.answers_polls = false;
        target.answers_stops = false;
        // The bench fails if the run is reported as interrupted while it goes on.
        target.pass(1_500);
    }

    // Guards against a second run of a task that is done: the target lists its end only
    // after 500 others.
    a_run_is_not_over_because_a_full_page_of_ends_lacks_it => {
        let mut target = RestartingTarget::ready();
        let keys: Vec<_> = (0..=LISTED_ENDS).map(|index| target.started(index)).collect();
        target.pass(50);
        for index in 0..=LISTED_ENDS {
            target.end(index, EndKind::Done);
        }
        target.pass(100);
        for key in keys {
            assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))), "{:?}", target.result_of(key));
        }
    }

    // Guards against a second run of a durable task that is done: a poll to the earlier
    // life acknowledges ends of the new one that have the same numbers.
    a_poll_to_the_earlier_life_drops_no_end_of_the_new_one => {
        let mut target = RestartingTarget::ready();
        target.durable = true;
        for index in 100..103 {
            let key = target.started(index);
            target.end(index, EndKind::Done);
            target.pass(50);
            target.runs.end_stored(key, target.now);
            target.pass(50);
        }
        let key = target.start(0);
        target.restart();
        target.answer_start();
        target.end(0, EndKind::Done);
        target.pass(100);
        target.announce();
        target.pass(100);
        assert!(matches!(target.result_of(key), Some(TaskResult::Done(_))), "{:?}", target.result_of(key));
    }
}
