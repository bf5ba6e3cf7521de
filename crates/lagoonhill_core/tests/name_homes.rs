//! Homes of job names that leave, start again, have just started, or do not answer: jobs
//! wait for none of them, and no second lease is granted meanwhile.

mod support;

use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_core::entry::{
    CallerId, Entry, EntryConfig, EntryEffect, LeastExpectedFinish, Submission,
};
use lagoonhill_protocol::{EntryAddress, NameLeaseId, NameReply, NameRequest, Packet};
use lagoonhill_standin::NodeId;
use lagoonhill_types::prelude::*;
use support::{TestWorld, config, queue_job, queue_rules, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

type TestEntry = Entry<LeastExpectedFinish>;

/// When the entry under test starts.
const START: TimestampMs = TimestampMs(1_000_000);

/// Time after which a home that has started knows all leases on its names.
const SETTLED_MS: DurationMs = DurationMs(10_000);

/// Most that a job may wait for a home that does not answer: a few milliseconds, and the
/// interval of the timers.
const MAX_WAIT_MS: u64 = 40;

fn address(host: u8, started_ms: TimestampMs) -> EntryAddress {
    EntryAddress {
        incarnation: Incarnation(started_ms.0 << 20 | u64::from(host)),
        inbox: SocketAddr::from(([10, 0, 0, host], 7_440)),
        http: SocketAddr::from(([10, 0, 0, host], 7_441)),
    }
}

/// An entry on host 1 that has started at `START`, and knows `others`.
fn entry(others: &[EntryAddress]) -> TestEntry {
    let mut config = EntryConfig::new(address(1, START));
    config.timing = Timing::SUB_SECOND;
    let mut entry = Entry::new(config, LeastExpectedFinish::with_seed(1), START);
    entry.install_rules(queue_rules(), START);
    entry.set_entries(others.iter().copied());
    entry
}

fn request(holder: EntryAddress, home: EntryAddress, name: &str) -> NameRequest {
    NameRequest {
        id: NameLeaseId(7),
        holder,
        home: home.incarnation,
        name: name.parse().expect("the name is valid"),
        lease_ms: DurationMs(1_216),
        on_new_connection: false,
    }
}

fn receive(entry: &mut TestEntry, request: NameRequest, now: TimestampMs) -> Vec<Packet> {
    entry.poll_effects(now);
    entry.receive(Packet::NameRequest(request), now);
    sent(entry, now)
}

fn sent(entry: &mut TestEntry, now: TimestampMs) -> Vec<Packet> {
    let effects = entry.poll_effects(now).into_iter();
    effects
        .filter_map(|effect| match effect {
            EntryEffect::Send { packet, .. } => Some(packet),
            _ => None,
        })
        .collect()
}

fn reply(packets: &[Packet]) -> Option<NameReply> {
    packets.iter().find_map(|packet| match packet {
        Packet::NameReply(reply) => Some(*reply),
        _ => None,
    })
}

fn forwarded_to(packets: &[Packet]) -> Option<Incarnation> {
    packets.iter().find_map(|packet| match packet {
        Packet::NameRequest(request) => Some(request.home),
        _ => None,
    })
}

fn fleet(seed: u64) -> TestWorld {
    let mut config = config(4, 6, seed);
    config.rules = queue_rules();
    config.timing = Timing::SUB_SECOND;
    config.overcommit = 0;
    world(&config)
}

fn job(name: &str) -> Submission {
    let mut job = queue_job("short", name, 1, MilliProcessors(1_000), 50);
    job.deadline_ms = Some(DurationMs(1_500));
    job
}

/// Names of which the first home is each of the entries.
const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Names whose jobs have not started within the time for which a job may wait.
fn late_names(prepare: impl Fn(&mut TestWorld)) -> Vec<&'static str> {
    let starts_late = |name: &&str| {
        let mut world = fleet(1);
        prepare(&mut world);
        world.submit_named(0, job(name));
        world.run_for(MAX_WAIT_MS);
        world.starts.is_empty()
    };
    NAMES.into_iter().filter(starts_late).collect()
}

cases! {
    // Guards against jobs that wait until a home that stands still counts as lost.
    a_frozen_home_delays_no_job => {
        let late = late_names(|world| world.freeze(NodeId::Entry(2), 2_000));
        assert_eq!(late, Vec::<&str>::new());
    }

    // Guards against jobs that wait for a killed home that their entry still counts as there.
    a_killed_home_that_is_still_listed_delays_no_job => {
        let late = late_names(|world| {
            let listed: Vec<_> = world.entry(0).expect("it runs").entries().copied().collect();
            world.kill(NodeId::Entry(2));
            world.with_entry(0, |entry, _| entry.set_entries(listed));
        });
        assert_eq!(late, Vec::<&str>::new());
    }

    // Guards against requests to an earlier process at the same address that nobody answers.
    a_request_to_an_earlier_incarnation_is_answered => {
        let holder = address(2, START);
        let mut home = entry(&[holder]);
        let earlier = address(1, TimestampMs(10_000));
        let packets = receive(&mut home, request(holder, earlier, "a"), START + SETTLED_MS);
        let reply = reply(&packets).expect("the request is answered");
        assert!(reply.is_granted);
        assert_eq!(reply.home, address(1, START).incarnation);
    }

    // Guards against a lease from an entry that is leaving, which takes it along.
    a_leaving_home_forwards_requests => {
        let (holder, other) = (address(2, START), address(3, START));
        for name in NAMES {
            let mut home = entry(&[holder, other]);
            home.retire_as_home();
            let request = request(holder, address(1, START), name);
            let packets = receive(&mut home, request, START + SETTLED_MS);
            assert_eq!(reply(&packets), None);
            let next = forwarded_to(&packets).expect("the request is forwarded");
            assert_eq!(next, other.incarnation);
        }
    }

    // Guards against a second lease from a home that has just started, on a name that is
    // leased by the home of before.
    a_home_that_has_just_started_asks_those_before => {
        let before = START - DurationMs(60_000);
        let (holder, earlier_home) = (address(2, START), address(3, before));
        let mut home = entry(&[holder, earlier_home]);
        let asked = request(holder, address(1, START), "a");
        let soon = START + DurationMs(500);
        let packets = receive(&mut home, asked.clone(), soon);
        assert_eq!(reply(&packets), None);
        assert_eq!(forwarded_to(&packets), Some(earlier_home.incarnation));
        // The request is repeated, as the home of before has not answered.
        let packets = receive(&mut home, asked.clone(), soon + DurationMs(100));
        assert_eq!(reply(&packets), None);
        // A renewal: the home of before has granted the lease.
        let packets = receive(&mut home, asked, soon + DurationMs(600));
        assert!(reply(&packets).is_some_and(|reply| reply.is_granted));
    }

    // Guards against jobs of a fleet of two entries that wait while one of them has just
    // started: the other knows all leases.
    a_home_that_has_just_started_asks_the_holder_if_it_is_alone => {
        let holder = address(2, START - DurationMs(60_000));
        let mut home = entry(&[holder]);
        let asked = request(holder, address(1, START), "a");
        let packets = receive(&mut home, asked, START + DurationMs(500));
        assert_eq!(forwarded_to(&packets), Some(holder.incarnation));
    }

    // Guards against a process that is asked as both homes of a name, once by its earlier
    // incarnation: only it answers, and it does not know the leases.
    a_home_that_starts_again_is_not_the_second_home => {
        let now = START + SETTLED_MS;
        let (earlier, again) = (address(2, START), address(2, now));
        let third = address(3, START);
        for name in NAMES {
            let mut holder = entry(&[earlier, third]);
            holder.submit_named(CallerId(1), job(name), now);
            let first = forwarded_to(&sent(&mut holder, now));
            holder.set_entries([again, third]);
            let later = now + DurationMs(20);
            holder.tick(later);
            let second = forwarded_to(&sent(&mut holder, later));
            if first == Some(earlier.incarnation) {
                assert_eq!(second, Some(third.incarnation), "job {name}");
            }
        }
    }

    // Guards against a second lease from a home that has just started and has not been told
    // yet of the entries before it.
    a_home_that_knows_no_entry_yet_grants_nothing => {
        let holder = address(2, START - DurationMs(60_000));
        let mut home = entry(&[]);
        let earlier = address(1, TimestampMs(10_000));
        let packets = receive(&mut home, request(holder, earlier, "a"), START + DurationMs(5));
        assert_eq!(reply(&packets), None);
    }

    // Guards against a fleet that has just started as a whole, whose homes all wait for
    // those before.
    homes_that_start_together_grant_at_once => {
        let (holder, other) = (address(2, START), address(3, START));
        let mut home = entry(&[holder, other]);
        let asked = request(holder, address(1, START), "a");
        let packets = receive(&mut home, asked, START + DurationMs(500));
        assert!(reply(&packets).is_some_and(|reply| reply.is_granted));
    }

    // Guards against a job that goes on at one entry although a home that answers later
    // has granted the lease to another.
    a_late_refusal_ends_the_job => {
        let other = address(2, START);
        let third = address(3, START);
        let now = START + SETTLED_MS;
        let mut holder = entry(&[other, third]);
        let caller = CallerId(1);
        let name = NAMES.into_iter().find(|name| {
            let mut holder = entry(&[other, third]);
            holder.submit_named(caller, job(name), now);
            forwarded_to(&sent(&mut holder, now)).is_some()
        });
        holder.submit_named(caller, job(name.expect("one name has another home")), now);
        let packets = sent(&mut holder, now);
        let home = forwarded_to(&packets).expect("the home is asked");
        let id = packets.iter().find_map(|packet| match packet {
            Packet::NameRequest(request) => Some(request.id),
            _ => None,
        });
        let id = id.expect("the home is asked");
        let granted = NameReply { id, home, is_granted: true };
        holder.receive(Packet::NameReply(granted), now);
        assert!(!holder.is_idle());
        let refused = [other, third].into_iter().find(|entry| entry.incarnation != home);
        let refused = refused.expect("a second home").incarnation;
        let refused = NameReply { id, home: refused, is_granted: false };
        holder.receive(Packet::NameReply(refused), now);
        assert!(holder.is_idle());
    }
}
