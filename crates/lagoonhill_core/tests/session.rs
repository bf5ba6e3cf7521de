//! The session: sequence numbers, acknowledgements, silence and message ages.

use std::net::SocketAddr;

use lagoonhill_core::{FrameHeader, Heartbeat, Liveness, Session, Timing};
use lagoonhill_protocol::{Frame, Load, Message, SessionId};
use lagoonhill_types::prelude::*;

const START: TimestampMs = TimestampMs(1_000_000);
const HEARTBEAT: DurationMs = DurationMs(2_000);

/// The default delay of an acknowledgement that no data frame carries.
const ACK_MS: u64 = 800;

fn session() -> Session {
    let id = SessionId {
        entry: Incarnation(1),
        agent: Incarnation(2),
        number: 1,
    };
    Session::new(id, Timing::default(), HEARTBEAT, START)
}

fn header() -> FrameHeader {
    FrameHeader {
        reply_to: SocketAddr::from(([127, 0, 0, 1], 1)),
        rules_revision: Revision(1),
        load: Load::default(),
        heartbeat: Heartbeat::None,
    }
}

fn message(number: u64) -> Message {
    Message::CancelJob(JobId {
        entry: Incarnation(1),
        number,
    })
}

fn frames(session: &mut Session, now: TimestampMs) -> Vec<Frame> {
    std::iter::from_fn(|| session.poll_frame(header(), now)).collect()
}

fn after(ms: u64) -> TimestampMs {
    START + DurationMs(ms)
}

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

cases! {
    delivers_in_order_across_frames => {
        let (mut left, mut right) = (session(), session());
        (1..=300).for_each(|number| left.push(message(number)));
        let sent = frames(&mut left, START);
        assert!(sent.len() > 1, "300 messages were sent in one frame");
        let received: Vec<Message> =
            sent.into_iter().flat_map(|frame| right.receive(frame, START)).collect();
        assert_eq!(received, (1..=300).map(message).collect::<Vec<_>>());
    }

    drops_a_repeated_frame => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        let frame = frames(&mut left, START).remove(0);
        assert_eq!(right.receive(frame.clone(), START), [message(1)]);
        assert_eq!(right.receive(frame, START), []);
    }

    buffers_messages_past_a_gap_until_it_is_filled => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        let delayed = frames(&mut left, START).remove(0);
        left.push(message(2));
        let early = frames(&mut left, START).remove(0);
        assert_eq!(right.receive(early.clone(), START), []);
        assert_eq!(right.receive(early, START), []);
        assert_eq!(right.receive(delayed, START), [message(1), message(2)]);
    }

    accepts_the_missing_message_however_many_are_buffered => {
        let (mut left, mut right) = (session(), session());
        (1..=3_000).for_each(|number| left.push(message(number)));
        let mut sent = frames(&mut left, START);
        let first = sent.remove(0);
        for frame in sent {
            assert_eq!(right.receive(frame, START), []);
        }
        assert!(right.receive(first, START).len() > 128);
    }

    acknowledges_nothing_past_a_gap => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        drop(frames(&mut left, START));
        left.push(message(2));
        right.receive(frames(&mut left, START).remove(0), START);
        let ack = frames(&mut right, after(ACK_MS)).remove(0);
        assert_eq!(ack.ack, lagoonhill_protocol::Sequence(0));
    }

    repeats_a_lost_message_within_a_second_and_a_half => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        drop(frames(&mut left, START));
        let again = frames(&mut left, after(1_500));
        let received: Vec<Message> =
            again.into_iter().flat_map(|frame| right.receive(frame, after(1_500))).collect();
        assert_eq!(received, [message(1)]);
    }

    stops_repeating_once_acknowledged => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        let sent = frames(&mut left, START).remove(0);
        right.receive(sent, START);
        let ack = frames(&mut right, after(ACK_MS)).remove(0);
        left.receive(ack, after(ACK_MS));
        assert!(left.is_drained());
        assert_eq!(frames(&mut left, after(1_500)).len(), 0);
    }

    delays_an_acknowledgement_to_piggyback_it_on_data => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        right.receive(frames(&mut left, START).remove(0), START);
        assert_eq!(frames(&mut right, after(ACK_MS - 1)).len(), 0);
        assert_eq!(frames(&mut right, after(ACK_MS)).len(), 1);
    }

    ignores_an_acknowledgement_of_what_was_never_sent => {
        let (mut left, mut right) = (session(), session());
        left.push(message(1));
        let mut ack = { right.push(message(9)); frames(&mut right, START).remove(0) };
        ack.ack = lagoonhill_protocol::Sequence(50);
        left.receive(ack, START);
        assert!(!left.is_drained());
    }

    pings_before_reconnecting_and_reconnects_before_failing => {
        let mut left = session();
        let verdict = |left: &mut Session, ms| left.tick(true, after(ms));
        assert_eq!(verdict(&mut left, 0), Liveness::Alive);
        assert_eq!(verdict(&mut left, 1_000), Liveness::Alive);
        assert!(left.is_silent());
        assert_eq!(verdict(&mut left, 2_000), Liveness::Reconnect);
        assert_eq!(verdict(&mut left, 3_000), Liveness::Reconnect);
        assert_eq!(verdict(&mut left, 5_000), Liveness::Failed);
    }

    answers_a_ping_at_once => {
        let (mut left, mut right) = (session(), session());
        left.tick(true, START);
        left.tick(true, after(1_000));
        let ping = frames(&mut left, after(1_000)).remove(0);
        assert_eq!(ping.ping, 1);
        right.receive(ping, after(1_001));
        assert_eq!(frames(&mut right, after(1_001)).len(), 1);
    }

    expects_no_traffic_from_an_idle_peer => {
        let mut left = session();
        assert_eq!(left.tick(false, after(2 * HEARTBEAT.0)), Liveness::Alive);
        assert!(!left.is_silent());
    }

    does_not_count_silence_while_suspended => {
        let mut left = session();
        left.tick(true, START);
        left.reset_silence(after(60_000));
        assert_eq!(left.tick(true, after(60_000)), Liveness::Alive);
    }

    estimates_age_from_the_fastest_delivery => {
        let mut left = session();
        let peer = |ms: u64| TimestampMs(500 + ms);
        left.record_received(peer(0), Revision(1), after(30));
        left.record_received(peer(100), Revision(1), after(110));
        assert_eq!(left.age(peer(100), after(110)), DurationMs(0));
        assert_eq!(left.age(peer(100), after(5_110)), DurationMs(5_000));
    }

    never_reports_a_lower_peer_revision => {
        let mut left = session();
        left.record_received(TimestampMs(1), Revision(7), START);
        left.record_received(TimestampMs(2), Revision(5), START);
        assert_eq!(left.peer_revision(), Revision(7));
    }
}
