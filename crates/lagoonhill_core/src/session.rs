//! Reliable, ordered message streams between entries and agents, with detection
//! of silent peers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use lagoonhill_protocol::{Frame, Load, Message, Sequence, SessionId};
use lagoonhill_types::prelude::*;

use crate::{RulesSync, Timing};

/// Most messages in one frame.
const MAX_FRAME_MESSAGES: usize = 128;

/// Most messages buffered while an earlier one is missing.
const MAX_OUT_OF_ORDER_MESSAGES: usize = 1_024;

/// State of the peer, as determined by a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The peer answers, or no answer is expected.
    Alive,
    /// The peer is silent on the present connection: reconnect, then send.
    Reconnect,
    /// The peer is silent on new connections too.
    Failed,
}

/// One side of a reliable, ordered message stream over unreliable links.
///
/// Messages are numbered; the receiver accepts each exactly once and in order.
/// A session survives a lost connection: unacknowledged messages are sent again
/// on the owner's current connection.
#[derive(Debug)]
pub struct Session {
    id: SessionId,
    timing: Timing,
    heartbeat_ms: DurationMs,
    /// Unacknowledged messages, sent or queued; the first has number `acked + 1`.
    unacked: VecDeque<Message>,
    acked: Sequence,
    transmitted: Sequence,
    retransmit_from_ms: TimestampMs,
    received: Sequence,
    /// Messages received after a gap, as happens when a connection is replaced.
    out_of_order: BTreeMap<Sequence, Message>,
    ack_due_ms: Option<TimestampMs>,
    last_received_ms: TimestampMs,
    /// Time of sending of the newest frame that the peer has answered.
    alive_ms: TimestampMs,
    /// The newest time of sending in the peer's packets, on its clock.
    peer_sent_ms: TimestampMs,
    /// When `peer_sent_ms` was received.
    peer_sent_received_ms: TimestampMs,
    last_sent_ms: TimestampMs,
    /// Since when an answer has been expected.
    waiting_since_ms: Option<TimestampMs>,
    pings: u8,
    /// When a frame with a ping was last sent.
    last_ping_ms: TimestampMs,
    ping_due: bool,
    /// Smallest difference seen between the time of receipt on the own clock and
    /// the time of sending on the peer's.
    min_offset_ms: Option<i64>,
    peer_revision: Revision,
    offered_revision: Revision,
}

fn signed(at: TimestampMs) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

impl Session {
    /// Opens a session on the first packet from the peer.
    pub fn new(id: SessionId, timing: Timing, heartbeat_ms: DurationMs, now: TimestampMs) -> Self {
        Self {
            id,
            timing,
            heartbeat_ms: heartbeat_ms.max(timing.min_heartbeat_ms),
            unacked: VecDeque::new(),
            acked: Sequence(0),
            transmitted: Sequence(0),
            retransmit_from_ms: now,
            received: Sequence(0),
            out_of_order: BTreeMap::new(),
            ack_due_ms: None,
            last_received_ms: now,
            alive_ms: TimestampMs(0),
            peer_sent_ms: TimestampMs(0),
            peer_sent_received_ms: now,
            last_sent_ms: now,
            waiting_since_ms: None,
            pings: 0,
            last_ping_ms: TimestampMs(0),
            ping_due: false,
            min_offset_ms: None,
            peer_revision: Revision(0),
            offered_revision: Revision(0),
        }
    }

    /// Identifier of the session.
    pub fn id(&self) -> SessionId {
        self.id
    }

    /// The highest rules revision that the peer has reported.
    pub fn peer_revision(&self) -> Revision {
        self.peer_revision
    }

    /// When a packet was last received from the peer.
    pub fn last_received_ms(&self) -> TimestampMs {
        self.last_received_ms
    }

    /// Latest time, on the own clock, at which the peer was certainly alive: it
    /// has answered a frame sent then. Independent of the answer's delay and of
    /// the peer's clock.
    pub fn alive_ms(&self) -> TimestampMs {
        self.alive_ms
    }

    /// The newest time of sending in the peer's packets, on its clock: the echo.
    pub fn peer_sent_ms(&self) -> TimestampMs {
        self.peer_sent_ms
    }

    /// Upper bound, on the own clock, of the peer's `alive_ms`: no frame sent so
    /// far answers anything that the peer sent later.
    pub fn peer_sent_received_ms(&self) -> TimestampMs {
        self.peer_sent_received_ms
    }

    /// Whether every message has been acknowledged.
    pub fn is_drained(&self) -> bool {
        self.unacked.is_empty()
    }

    /// Changes the heartbeat interval of an idle session. A shorter one than any
    /// entry sends would make a heartbeat due at all times.
    pub fn set_heartbeat_interval(&mut self, heartbeat_ms: DurationMs) {
        self.heartbeat_ms = heartbeat_ms.max(self.timing.min_heartbeat_ms);
    }

    /// Queues a message.
    pub fn push(&mut self, message: Message) {
        self.unacked.push_back(message);
    }

    /// Queues the rules update that the peer lacks, unless one is in flight.
    pub fn offer_rules(&mut self, rules: &RulesSync) {
        let known = self.peer_revision.max(self.offered_revision);
        if let Some(update) = rules.update_for(known) {
            self.push(Message::Rules(update));
            self.offered_revision = rules.revision();
        }
    }

    /// Makes an acknowledgement due at once, for a peer that waits for it.
    pub fn acknowledge_now(&mut self, now: TimestampMs) {
        self.ack_due_ms = Some(now);
    }

    /// Whether an expected answer is missing and the peer has been pinged for it.
    pub fn is_silent(&self) -> bool {
        self.pings > 0
    }

    /// Records a packet from the peer, with its time of sending and revision.
    pub fn record_received(&mut self, sent_ms: TimestampMs, revision: Revision, now: TimestampMs) {
        let offset_ms = signed(now) - signed(sent_ms);
        let least = self
            .min_offset_ms
            .map_or(offset_ms, |least| least.min(offset_ms));
        self.min_offset_ms = Some(least);
        self.peer_revision = self.peer_revision.max(revision);
        if sent_ms > self.peer_sent_ms {
            self.peer_sent_ms = sent_ms;
            self.peer_sent_received_ms = now;
        }
        self.last_received_ms = now;
        self.waiting_since_ms = None;
        self.pings = 0;
    }

    /// Records that the peer has answered a frame sent at `echo_ms`.
    pub fn record_echo(&mut self, echo_ms: TimestampMs, now: TimestampMs) {
        if echo_ms <= now {
            self.alive_ms = self.alive_ms.max(echo_ms);
        }
    }

    /// Pings the peer with the next frame, unless the last ping was sent less
    /// than `retry_ms` ago and its answer may be in flight.
    pub fn request_ping(&mut self, retry_ms: DurationMs, now: TimestampMs) {
        if now.since(self.last_ping_ms) >= retry_ms {
            self.ping_due = true;
        }
    }

    /// Time since the peer's clock read `at`, if the fastest delivery took no time.
    pub fn age(&self, at: TimestampMs, now: TimestampMs) -> DurationMs {
        let offset_ms = self
            .min_offset_ms
            .unwrap_or_else(|| signed(now) - signed(at));
        let age_ms = (signed(now) - signed(at)).saturating_sub(offset_ms);
        DurationMs(u64::try_from(age_ms).unwrap_or(0))
    }

    /// Handles a frame of this session; returns the new messages in order.
    pub fn receive(&mut self, frame: Frame, now: TimestampMs) -> Vec<Message> {
        self.record_received(frame.sent_ms, frame.rules_revision, now);
        self.record_echo(frame.echo_ms, now);
        self.accept_ack(frame.ack, now);
        if frame.ping > 0 {
            self.ack_due_ms = Some(now);
        }
        if !frame.messages.is_empty() {
            let due_ms = now + self.timing.ack_delay_ms;
            self.ack_due_ms = Some(self.ack_due_ms.map_or(due_ms, |at| at.min(due_ms)));
        }
        let mut fresh = Vec::new();
        let mut number = frame.first;
        for message in frame.messages {
            self.accept_message(number, message, &mut fresh);
            number = number.next();
        }
        fresh
    }

    /// Delivers a message that is next in order, and the buffered ones that
    /// follow it; buffers one after a gap, within limits; drops a repeated one.
    fn accept_message(&mut self, number: Sequence, message: Message, fresh: &mut Vec<Message>) {
        if number > self.received.next() {
            if self.out_of_order.len() < MAX_OUT_OF_ORDER_MESSAGES {
                self.out_of_order.entry(number).or_insert(message);
            }
            return;
        }
        if number <= self.received {
            return;
        }
        self.out_of_order.remove(&number);
        self.received = number;
        fresh.push(message);
        while let Some(message) = self.out_of_order.remove(&self.received.next()) {
            self.received = self.received.next();
            fresh.push(message);
        }
    }

    fn accept_ack(&mut self, ack: Sequence, now: TimestampMs) {
        let highest = Sequence(self.acked.0 + self.unacked.len() as u64);
        if ack <= self.acked || ack > highest {
            return;
        }
        let count = usize::try_from(ack.0 - self.acked.0).unwrap_or(usize::MAX);
        self.unacked.drain(..count.min(self.unacked.len()));
        self.acked = ack;
        self.transmitted = self.transmitted.max(ack);
        self.retransmit_from_ms = now;
    }

    /// Resets the silence timer after this process was frozen.
    pub fn reset_silence(&mut self, now: TimestampMs) {
        self.waiting_since_ms = None;
        self.pings = 0;
        self.last_received_ms = now;
        self.retransmit_from_ms = now;
    }

    /// Checks for silence of the peer. `busy` means that an answer other than an
    /// acknowledgement is expected.
    pub fn tick(&mut self, busy: bool, now: TimestampMs) -> Liveness {
        let idle_too_long = now.since(self.last_received_ms) > self.heartbeat_ms * 2;
        if !busy && self.unacked.is_empty() && !idle_too_long {
            self.waiting_since_ms = None;
            return Liveness::Alive;
        }
        let since_ms = *self.waiting_since_ms.get_or_insert(now);
        let silent_ms = now.since(since_ms);
        if silent_ms >= self.timing.session_timeout_ms {
            return Liveness::Failed;
        }
        if silent_ms < self.timing.ping_interval_ms * (u64::from(self.pings) + 1) {
            return Liveness::Alive;
        }
        self.pings = self.pings.saturating_add(1);
        self.ping_due = true;
        if self.pings == 1 {
            return Liveness::Alive;
        }
        self.transmitted = self.acked;
        self.retransmit_from_ms = now;
        Liveness::Reconnect
    }

    /// The next frame to send, if one is due. To be called until it returns `None`.
    pub fn poll_frame(&mut self, header: FrameHeader, now: TimestampMs) -> Option<Frame> {
        let overdue = now.since(self.retransmit_from_ms) >= self.timing.retransmit_ms;
        if self.transmitted > self.acked && overdue {
            self.transmitted = self.acked;
        }
        let skip = usize::try_from(self.transmitted.0 - self.acked.0).unwrap_or(usize::MAX);
        let has_new = skip < self.unacked.len();
        let ack_due = self.ack_due_ms.is_some_and(|due_ms| due_ms <= now);
        let heartbeat_due = match header.heartbeat {
            Heartbeat::None => false,
            Heartbeat::AtSessionInterval => now.since(self.last_sent_ms) >= self.heartbeat_ms,
            Heartbeat::WithinLease(interval_ms) => {
                now.since(self.alive_ms.max(self.last_ping_ms)) >= interval_ms
            }
        };
        if !has_new && !ack_due && !heartbeat_due && !self.ping_due {
            return None;
        }
        let messages: Vec<Message> = self
            .unacked
            .iter()
            .skip(skip)
            .take(MAX_FRAME_MESSAGES)
            .cloned()
            .collect();
        let first = self.transmitted.next();
        if self.transmitted == self.acked {
            self.retransmit_from_ms = now;
        }
        self.transmitted = Sequence(self.transmitted.0 + messages.len() as u64);
        if self.ping_due || heartbeat_due {
            self.last_ping_ms = now;
        }
        let ping = if self.ping_due {
            self.pings.max(1)
        } else {
            u8::from(heartbeat_due)
        };
        self.ack_due_ms = None;
        self.ping_due = false;
        self.last_sent_ms = now;
        Some(Frame {
            session: self.id,
            reply_to: header.reply_to,
            sent_ms: now,
            echo_ms: self.peer_sent_ms,
            ack: self.received,
            first,
            rules_revision: header.rules_revision,
            load: header.load,
            ping,
            messages,
        })
    }
}

/// The data that the owner of a session adds to each frame.
#[derive(Clone, Copy, Debug)]
pub struct FrameHeader {
    /// Address at which the owner receives packets.
    pub reply_to: SocketAddr,
    /// Revision of the owner's rules.
    pub rules_revision: Revision,
    /// The owner's load.
    pub load: Load,
    /// When the owner pings the peer.
    pub heartbeat: Heartbeat,
}

/// When one side of a session pings the other without waiting for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// Never: the other side sends heartbeats.
    None,
    /// At the session's heartbeat interval.
    AtSessionInterval,
    /// When both the last ping and the newest answered frame are this old.
    WithinLease(DurationMs),
}
