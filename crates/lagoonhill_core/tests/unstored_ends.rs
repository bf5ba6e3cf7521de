//! Ends of durable jobs' runs, from the target that lists them to the entry that
//! stores them: none is acknowledged before it is stored, and none is held for ever.

#[path = "support/agent_on_target.rs"]
mod agent_on_target;

use agent_on_target::{AgentOnTarget, Faults};

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[test] fn $name() $body)+
    };
}

/// Runs of the random test.
const SEEDS: u64 = 200;

/// Time in which every open end is resolved once the faults are over.
const SETTLE_MS: u64 = 30_000;

/// Lets all tasks succeed and every end be stored.
fn settle(world: &mut AgentOnTarget) {
    world.faults = Faults {
        max_store_ms: 100,
        ..Faults::default()
    };
    for _ in 0..SETTLE_MS / 100 {
        world.pass(100);
        if world.is_done() && world.listed() == 0 && world.agent.unstored_ends() == 0 {
            return;
        }
    }
}

/// Checks that every task was done, that the target has dropped every end, and that it
/// dropped none too early.
fn check(world: &AgentOnTarget, what: &str) {
    assert_eq!(
        world.lost_ends,
        [],
        "{what}: acknowledged before they were stored"
    );
    assert!(world.is_done(), "{what}: not every task has succeeded");
    assert_eq!(
        world.listed(),
        0,
        "{what}: ends that the target still lists"
    );
    assert_eq!(
        world.agent.unstored_ends(),
        0,
        "{what}: ends that the agent still holds"
    );
}

cases! {
    // Guards against ends that no entry ever resolves, so that the target lists them for
    // ever: a task fails again on its worker before its first end is stored.
    a_task_that_fails_repeatedly_on_one_worker_holds_no_end => {
        let faults = Faults { max_store_ms: 100, ..Faults::default() };
        let mut world = AgentOnTarget::new(1, faults, 1);
        world.submit(0, 1, 3);
        settle(&mut world);
        check(&world, "three failures");
    }

    // The same, with more ends open than the target lists at a time.
    a_page_of_unstored_ends_is_stored_and_the_next_one_is_seen => {
        let faults = Faults { max_store_ms: 4_000, ..Faults::default() };
        let mut world = AgentOnTarget::new(2, faults, 2);
        for entry in 0..2 {
            world.submit(entry, 600, 1);
        }
        world.pass(4_000);
        settle(&mut world);
        assert!(world.most_listed > 500, "only {} ends were listed", world.most_listed);
        check(&world, "full pages");
    }

    // Random failures, slow stores, and lost calls, packets and sessions.
    no_end_is_held_for_ever_or_acknowledged_before_it_is_stored => {
        for seed in 0..SEEDS {
            let mut random = fastrand::Rng::with_seed(seed);
            let faults = Faults {
                lost_call_permille: random.u32(..60),
                lost_packet_permille: random.u32(..40),
                lost_session_permille: random.u32(..100),
                max_store_ms: [20, 200, 3_000][random.usize(..3)],
                ..Faults::default()
            };
            let entries = random.usize(1..4);
            let mut world = AgentOnTarget::new(entries, faults, seed);
            for entry in 0..entries {
                world.submit(entry, random.u16(1..300), random.u8(..4));
            }
            world.pass(3_000);
            settle(&mut world);
            check(&world, &format!("seed {seed}, {entries} entries, {faults:?}"));
        }
    }
}
