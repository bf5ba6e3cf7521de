//! Encoding of packets: round trips, and invalid input that must not panic.

use std::net::SocketAddr;

use lagoonhill_protocol::{
    DecodeError, Frame, Load, Message, NotRunReason, Outcome, Packet, Sequence, SessionId, Speed,
    Start, TaskResult, decode, encode,
};
use lagoonhill_types::prelude::*;
use quickcheck::{Gen, QuickCheck};

fn task(number: u64, index: u16) -> TaskId {
    let job = JobId {
        entry: Incarnation(!number),
        number,
    };
    TaskId {
        job,
        index: TaskIndex(index),
    }
}

fn frame(messages: Vec<Message>) -> Packet {
    let session = SessionId {
        entry: Incarnation(u64::MAX),
        agent: Incarnation(1),
        number: u32::MAX,
    };
    Packet::Frame(Frame {
        echo_ms: TimestampMs(11),
        session,
        reply_to: SocketAddr::from(([127, 0, 0, 1], 65_535)),
        sent_ms: TimestampMs(1),
        ack: Sequence(2),
        first: Sequence(3),
        rules_revision: Revision(4),
        load: Load {
            total: 5,
            yours: 6,
            total_processors: MilliProcessors(7),
            your_processors: MilliProcessors(8),
            overdue: 9,
            failed_jobs: 10,
            speed: Speed {
                slowness_permille: 700,
                runs: 64,
            },
        },
        ping: 7,
        messages,
    })
}

#[test]
fn frames_round_trip() {
    fn round_trips(number: u64, index: u16, bytes: Vec<u8>, text: String) -> bool {
        let start = Start {
            task: task(number, index),
            decided_ms: TimestampMs(number),
            run_limit_ms: DurationMs(number),
            usual_ms: DurationMs(number),
            is_learned: number.is_multiple_of(2),
            needs: Resources {
                processors: MilliProcessors(u32::from(index)),
                memory_bytes: ByteCount(number),
                accelerators: index,
            },
            run: RunNumber(u32::from(index)),
            kept: index.is_multiple_of(2),
            name: Some(TaskName {
                job: "0123456789abcdef".parse().expect("the name is valid"),
                step: index,
                index,
            }),
            payload: bytes.clone().into(),
        };
        let results = [
            TaskResult::Done(bytes.into()),
            TaskResult::Failed(text.clone()),
            TaskResult::NotRun(NotRunReason::Expired),
            TaskResult::MayHaveRun(text.clone()),
            TaskResult::Interrupted(text),
        ];
        let outcomes = results.into_iter().map(|result| {
            Message::Outcome(Outcome {
                task: task(number, index),
                run_ms: DurationMs(number),
                result,
            })
        });
        let packet = frame(
            std::iter::once(Message::Start(start))
                .chain(outcomes)
                .collect(),
        );
        decode(&encode(&packet)) == Ok(packet)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 1))
        .tests(500)
        .quickcheck(round_trips as fn(u64, u16, Vec<u8>, String) -> bool);
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn does_not_panic(bytes: Vec<u8>) -> bool {
        let mut versioned = vec![2];
        versioned.extend_from_slice(&bytes);
        let _ = (decode(&bytes), decode(&versioned));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 2))
        .tests(5_000)
        .quickcheck(does_not_panic as fn(Vec<u8>) -> bool);
}

#[test]
fn a_truncated_packet_is_an_error_at_every_length() {
    let whole = encode(&frame(vec![Message::Leaving]));
    for length in 0..whole.len() {
        assert!(
            decode(&whole[..length]).is_err(),
            "decoded from {length} of {} bytes",
            whole.len()
        );
    }
}

#[test]
fn trailing_bytes_are_an_error() {
    let mut bytes = encode(&frame(Vec::new()));
    bytes.push(0);
    assert!(matches!(decode(&bytes), Err(DecodeError::Malformed(_))));
}

#[test]
fn another_format_version_is_reported() {
    assert_eq!(decode(&[9, 1, 2]), Err(DecodeError::Version(9)));
}
