//! Entries come, accept a durable job and are gone again: the others take the job over,
//! also those that have never known of a durable job.

mod support;

use std::time::Duration;

use lagoonhill_entry::EntryDaemon;
use lagoonhill_platform::OWNERS_PREFIX;
use lagoonhill_standin::{PlatformFaults, PlatformStandin};
use serde_json::json;
use support::{Worker, until_complete};
use tokio::time::sleep;

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

/// Run time of a job, longer than its first owner stays.
const RUN_MS: u64 = 2_000;

/// Time in which an entry has searched for durable jobs after its start.
const FIRST_SEARCH: Duration = Duration::from_millis(500);

struct Fleet {
    platform: PlatformStandin,
    _worker: Worker,
}

impl Fleet {
    async fn start() -> Self {
        let platform = support::platform().await;
        let worker = Worker::start(&platform).await;
        Self {
            platform,
            _worker: worker,
        }
    }

    async fn entry(&self) -> EntryDaemon {
        support::entry(&self.platform).await
    }

    /// An entry that has searched for durable jobs and found none.
    async fn idle_entry(&self) -> EntryDaemon {
        let entry = self.entry().await;
        sleep(FIRST_SEARCH).await;
        entry
    }

    /// Starts an entry that accepts a job and leaves at once.
    async fn accept_and_leave(&self, name: &str) {
        let entry = self.entry().await;
        accept(&entry, name).await;
        entry.drain().await;
    }

    fn owners(&self) -> usize {
        self.platform.count(OWNERS_PREFIX)
    }
}

async fn accept(entry: &EntryDaemon, name: &str) {
    let steps = json!([{"count": 1, "run_time_ms": RUN_MS}]);
    let job = json!({"input": {"run_ms": RUN_MS}, "steps": steps});
    support::accept(entry, name, &job).await;
}

cases! {
    // Guards against an accepted job that nobody runs: the first owner of a fleet comes and
    // leaves between two looks of an entry that knows of no durable job.
    the_first_job_of_a_fleet_is_taken_over_from_an_owner_that_leaves_at_once => {
        let fleet = Fleet::start().await;
        let idle = fleet.idle_entry().await;
        fleet.accept_and_leave("first").await;
        until_complete(&idle, "first").await;
    }

    several_owners_come_and_leave_in_series => {
        let fleet = Fleet::start().await;
        let idle = fleet.idle_entry().await;
        for name in ["one", "two", "three"] {
            fleet.accept_and_leave(name).await;
        }
        for name in ["one", "two", "three"] {
            until_complete(&idle, name).await;
        }
    }

    // The idle entry's watch is cut, and when the store is back the owner is gone.
    an_owner_that_is_lost_while_the_store_is_down => {
        let fleet = Fleet::start().await;
        let idle = fleet.idle_entry().await;
        let owner = fleet.entry().await;
        accept(&owner, "lost").await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        owner.drain().await;
        fleet.platform.expire_all_leases();
        assert_eq!(fleet.owners(), 0);
        fleet.platform.set_faults(PlatformFaults::default());
        until_complete(&idle, "lost").await;
    }

    the_last_entry_of_a_fleet_leaves_its_job_to_the_next_one => {
        let fleet = Fleet::start().await;
        fleet.accept_and_leave("last").await;
        assert_eq!(fleet.owners(), 0);
        let next = fleet.entry().await;
        until_complete(&next, "last").await;
    }

    // The entry that stays is an owner itself and polls the others.
    an_owner_that_leaves_between_two_polls_of_another_one => {
        let fleet = Fleet::start().await;
        let other = fleet.entry().await;
        accept(&other, "own").await;
        until_complete(&other, "own").await;
        fleet.accept_and_leave("between").await;
        until_complete(&other, "between").await;
    }
}
