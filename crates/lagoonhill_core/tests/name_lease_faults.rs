//! Best-effort jobs sent to two entries while the entry that grants the lease on their
//! names is out of reach of one of them, is lost, or is not the same for both.

mod support;

use lagoonhill_core::Timing;
use lagoonhill_core::entry::{Entry, LeastExpectedFinish, Submission};
use lagoonhill_standin::{NodeId, StopResult};
use lagoonhill_types::prelude::*;
use support::{TestWorld, config, queue_job, queue_rules, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

type TestEntry = Entry<LeastExpectedFinish>;

const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
const TASKS: u16 = 2;

/// Long enough for the second submission to arrive while the first one runs.
const RUN_MS: u64 = 900;

fn fleet(seed: u64) -> TestWorld {
    let mut config = config(4, 6, seed);
    config.rules = queue_rules();
    config.timing = Timing::SUB_SECOND;
    config.overcommit = 0;
    let mut world = world(&config);
    world.stop_result = StopResult::Interrupted;
    world
}

fn job(name: &str) -> Submission {
    let mut job = queue_job("short", name, TASKS, MilliProcessors(1_000), RUN_MS);
    job.deadline_ms = Some(DurationMs(1_500));
    job
}

/// Plays a case with a job of each name; fails with the names of those that ran twice.
fn assert_starts_once(play: impl Fn(&mut TestWorld, &str)) {
    let mut twice = Vec::new();
    for (seed, name) in (1..).zip(NAMES) {
        let mut world = fleet(seed);
        play(&mut world, name);
        if world.starts.values().any(|count| *count > 1) {
            twice.push(name);
        }
    }
    assert_eq!(twice, Vec::<&str>::new(), "jobs that ran twice at once");
}

cases! {
    // Guards against two leases on a name where only the path from one entry to the
    // name's home is cut.
    a_cut_path_to_the_home_gives_no_second_lease => {
        assert_starts_once(|world, name| {
            world.partition(NodeId::Entry(0), NodeId::Entry(2));
            world.submit_named(0, job(name));
            world.run_for(300);
            world.submit_named(1, job(name));
            world.run_for(1_000);
        });
    }

    // Guards against two leases on a name where one packet to the name's home is lost,
    // such as by a connection that breaks.
    a_lost_request_gives_no_second_lease => {
        assert_starts_once(|world, name| {
            world.network.loss_permille = 1_000;
            world.submit_named(0, job(name));
            world.run_for(5);
            world.network.loss_permille = 0;
            world.run_for(245);
            world.submit_named(1, job(name));
            world.run_for(1_000);
        });
    }

    // Guards against two leases on a name while two entries know different entries.
    entries_with_different_peers_start_a_job_once => {
        assert_starts_once(|world, name| {
            let listed: Vec<_> = world.entry(0).expect("it runs").entries().copied().collect();
            let earlier = listed[..3].to_vec();
            world.with_entry(0, |entry, _| entry.set_entries(earlier));
            world.submit_named(0, job(name));
            world.run_for(200);
            world.submit_named(1, job(name));
            world.run_for(1_000);
        });
    }

    // Guards against a second lease on a name after an entry has joined that is its new
    // home.
    a_joined_home_grants_no_second_lease => {
        assert_starts_once(|world, name| {
            let listed: Vec<_> = world.entry(0).expect("it runs").entries().copied().collect();
            for index in 0..3 {
                let earlier = listed[..3].to_vec();
                world.with_entry(index, |entry, _| entry.set_entries(earlier));
            }
            world.submit_named(0, job(name));
            world.run_for(200);
            for index in 0..3 {
                let listed = listed.clone();
                world.with_entry(index, |entry, _| entry.set_entries(listed));
            }
            world.run_for(200);
            world.submit_named(1, job(name));
            world.run_for(1_000);
        });
    }

    // Guards against a second lease on a name whose home was lost with its leases.
    a_lost_home_gives_no_second_lease => {
        assert_starts_once(|world, name| {
            world.submit_named(0, job(name));
            world.run_for(150);
            world.kill(NodeId::Entry(2));
            world.submit_named(1, job(name));
            world.run_for(1_000);
        });
    }

    // Guards against a woken entry that takes its own pause for the silence of a home,
    // and starts a job without a lease that another entry runs by then.
    a_woken_entry_starts_no_job_without_a_lease => {
        assert_starts_once(|world, name| {
            world.submit_named(0, job(name));
            world.freeze(NodeId::Entry(0), 1_500);
            world.run_for(1_300);
            // Runs of names that are at home at the frozen entry have ended.
            world.starts.clear();
            world.submit_named(1, job(name));
            world.run_for(199);
            // A woken process handles its timers before what has arrived.
            world.with_entry(0, TestEntry::tick);
            world.run_for(1_000);
        });
    }

    // Guards against a woken entry that takes its own pause for the silence of a home,
    // and asks another one for the leases of requests that were held meanwhile.
    a_woken_entry_asks_the_same_home_as_others => {
        assert_starts_once(|world, name| {
            for other in 0..6 {
                let mut other = job(&format!("other-{other}"));
                other.tasks.truncate(1);
                other.tasks[0] = Payload::from(b"40".to_vec());
                if let Some(queued) = &mut other.queued {
                    queued.steps[0].count = 1;
                }
                world.submit_named(0, other);
            }
            world.freeze(NodeId::Entry(0), 600);
            world.run_for(400);
            world.submit_named(1, job(name));
            world.run_for(199);
            world.with_entry(0, TestEntry::tick);
            // The request that was held reaches the woken entry.
            world.submit_named(0, job(name));
            world.run_for(1_000);
            world.starts.retain(|payload, _| payload.as_slice().starts_with(b"900 "));
        });
    }
}
