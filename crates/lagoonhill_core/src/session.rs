use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use lagoonhill_protocol::{Frame, Load, Message, Sequence, SessionId};
use lagoonhill_types::prelude::*;

use crate::{RulesSpread, Timing};

/// Messages sent in one frame at most.
const MAX_FRAME_MESSAGES: usize = 128;

/// Messages kept at most while an earlier one is missing.
const MAX_EARLY_MESSAGES: usize = 1_024;

/// What a tick found out about the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The peer answers, or nothing is expected of it.
    Alive,
    /// The peer was silent on the present connection: dial anew, then send.
    Redial,
    /// The peer was silent on new connections too.
    Failed,
}

/// One side of a reliable, ordered message stream over unreliable links.
///
/// Messages are numbered; the receiver takes each exactly once and in order.
/// A lost connection is not a lost session: whatever is not acknowledged is
/// sent again, on whichever connection the owner has by then.
#[derive(Debug)]
pub struct Session {
    id: SessionId,
    timing: Timing,
    heartbeat_ms: DurationMs,
    /// Sent or waiting, not acknowledged; the first has number `acked + 1`.
    unacked: VecDeque<Message>,
    acked: Sequence,
    transmitted: Sequence,
    retransmit_from_ms: TimestampMs,
    received: Sequence,
    /// Arrived ahead of a gap, as happens when a connection is replaced.
    early: BTreeMap<Sequence, Message>,
    ack_due_ms: Option<TimestampMs>,
    last_heard_ms: TimestampMs,
    /// When we sent the newest frame that the peer is known to have answered.
    alive_ms: TimestampMs,
    /// The newest time of sending that the peer has shown.
    peer_sent_ms: TimestampMs,
    /// When that was received.
    peer_shown_ms: TimestampMs,
    last_sent_ms: TimestampMs,
    /// When the answer that is now expected began to be expected.
    waiting_since_ms: Option<TimestampMs>,
    pings: u8,
    /// When a frame last asked for an answer.
    asked_ms: TimestampMs,
    ping_due: bool,
    /// Smallest observed `receive time - send time`, across both clocks.
    min_offset_ms: Option<i64>,
    peer_revision: Revision,
    offered_revision: Revision,
}

fn signed(at: TimestampMs) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

impl Session {
    /// Opens a session at the moment the peer was first heard.
    pub fn new(id: SessionId, timing: Timing, heartbeat_ms: DurationMs, now: TimestampMs) -> Self {
        Self {
            id,
            timing,
            heartbeat_ms,
            unacked: VecDeque::new(),
            acked: Sequence(0),
            transmitted: Sequence(0),
            retransmit_from_ms: now,
            received: Sequence(0),
            early: BTreeMap::new(),
            ack_due_ms: None,
            last_heard_ms: now,
            alive_ms: TimestampMs(0),
            peer_sent_ms: TimestampMs(0),
            peer_shown_ms: now,
            last_sent_ms: now,
            waiting_since_ms: None,
            pings: 0,
            asked_ms: TimestampMs(0),
            ping_due: false,
            min_offset_ms: None,
            peer_revision: Revision(0),
            offered_revision: Revision(0),
        }
    }

    /// The session's name.
    pub fn id(&self) -> SessionId {
        self.id
    }

    /// The highest rules revision that the peer has shown.
    pub fn peer_revision(&self) -> Revision {
        self.peer_revision
    }

    /// When the peer was last heard.
    pub fn last_heard_ms(&self) -> TimestampMs {
        self.last_heard_ms
    }

    /// When the peer was certainly alive, on our clock: it has answered a frame
    /// that we sent then. However long its answer was on its way, or how its
    /// clock runs, does not matter.
    pub fn alive_ms(&self) -> TimestampMs {
        self.alive_ms
    }

    /// The newest time of sending that the peer has shown, on its clock.
    pub fn peer_sent_ms(&self) -> TimestampMs {
        self.peer_sent_ms
    }

    /// The latest moment that the peer may take as our last sign of life: no
    /// frame of ours has answered anything that it sent later.
    pub fn peer_shown_ms(&self) -> TimestampMs {
        self.peer_shown_ms
    }

    /// Whether every message has been acknowledged.
    pub fn is_drained(&self) -> bool {
        self.unacked.is_empty()
    }

    /// Changes how often an idle session is heard of.
    pub fn set_heartbeat(&mut self, heartbeat_ms: DurationMs) {
        self.heartbeat_ms = heartbeat_ms;
    }

    /// Queues a message.
    pub fn push(&mut self, message: Message) {
        self.unacked.push_back(message);
    }

    /// Queues what the peer needs to reach our rules, unless that is under way.
    pub fn offer_rules(&mut self, spread: &RulesSpread) {
        let known = self.peer_revision.max(self.offered_revision);
        if let Some(update) = spread.update_for(known) {
            self.push(Message::Rules(update));
            self.offered_revision = spread.revision();
        }
    }

    /// Acknowledges at once, for a peer that waits to see the effect.
    pub fn acknowledge_now(&mut self, now: TimestampMs) {
        self.ack_due_ms = Some(now);
    }

    /// Whether the peer owes an answer and has been asked for it in vain.
    pub fn is_silent(&self) -> bool {
        self.pings > 0
    }

    /// Records a sign of life that carries the peer's clock.
    pub fn heard(&mut self, sent_ms: TimestampMs, revision: Revision, now: TimestampMs) {
        let offset_ms = signed(now) - signed(sent_ms);
        let least = self
            .min_offset_ms
            .map_or(offset_ms, |least| least.min(offset_ms));
        self.min_offset_ms = Some(least);
        self.peer_revision = self.peer_revision.max(revision);
        if sent_ms > self.peer_sent_ms {
            self.peer_sent_ms = sent_ms;
            self.peer_shown_ms = now;
        }
        self.last_heard_ms = now;
        self.waiting_since_ms = None;
        self.pings = 0;
    }

    /// Records that the peer has answered what we sent at a moment.
    pub fn answered(&mut self, echo_ms: TimestampMs, now: TimestampMs) {
        if echo_ms <= now {
            self.alive_ms = self.alive_ms.max(echo_ms);
        }
    }

    /// Asks for a sign of life with the next frame, unless an answer to an
    /// earlier question may still be under way.
    pub fn ask(&mut self, patience_ms: DurationMs, now: TimestampMs) {
        if now.since(self.asked_ms) >= patience_ms {
            self.ping_due = true;
        }
    }

    /// How long ago the peer's clock showed `at`, by the fastest delivery seen.
    pub fn age(&self, at: TimestampMs, now: TimestampMs) -> DurationMs {
        let offset_ms = self
            .min_offset_ms
            .unwrap_or_else(|| signed(now) - signed(at));
        let age_ms = signed(now) - signed(at) - offset_ms;
        DurationMs(u64::try_from(age_ms).unwrap_or(0))
    }

    /// Takes a frame of this session; returns its new messages in order.
    pub fn receive(&mut self, frame: Frame, now: TimestampMs) -> Vec<Message> {
        self.heard(frame.sent_ms, frame.rules_revision, now);
        self.answered(frame.echo_ms, now);
        self.take_ack(frame.ack, now);
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
            self.take_message(number, message, &mut fresh);
            number = number.next();
        }
        fresh
    }

    /// Releases a message that is next in order, with all that it was missing
    /// for; holds one that is ahead, within limits; drops a repeated one.
    fn take_message(&mut self, number: Sequence, message: Message, fresh: &mut Vec<Message>) {
        if number > self.received.next() {
            if self.early.len() < MAX_EARLY_MESSAGES {
                self.early.entry(number).or_insert(message);
            }
            return;
        }
        if number <= self.received {
            return;
        }
        self.early.remove(&number);
        self.received = number;
        fresh.push(message);
        while let Some(message) = self.early.remove(&self.received.next()) {
            self.received = self.received.next();
            fresh.push(message);
        }
    }

    fn take_ack(&mut self, ack: Sequence, now: TimestampMs) {
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

    /// Forgets silence that the process itself slept through.
    pub fn forgive(&mut self, now: TimestampMs) {
        self.waiting_since_ms = None;
        self.pings = 0;
        self.last_heard_ms = now;
        self.retransmit_from_ms = now;
    }

    /// Watches for silence. `busy` says that the peer owes an answer beyond
    /// acknowledgements.
    pub fn tick(&mut self, busy: bool, now: TimestampMs) -> Verdict {
        let idle_too_long = now.since(self.last_heard_ms) > self.heartbeat_ms * 2;
        if !busy && self.unacked.is_empty() && !idle_too_long {
            self.waiting_since_ms = None;
            return Verdict::Alive;
        }
        let since_ms = *self.waiting_since_ms.get_or_insert(now);
        let silent_ms = now.since(since_ms);
        if silent_ms >= self.timing.session_timeout_ms {
            return Verdict::Failed;
        }
        if silent_ms < self.timing.ping_interval_ms * (u64::from(self.pings) + 1) {
            return Verdict::Alive;
        }
        self.pings = self.pings.saturating_add(1);
        self.ping_due = true;
        if self.pings == 1 {
            return Verdict::Alive;
        }
        self.transmitted = self.acked;
        self.retransmit_from_ms = now;
        Verdict::Redial
    }

    /// The next frame to send, if one is due. Call until it returns `None`.
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
            Heartbeat::AsAgreed => now.since(self.last_sent_ms) >= self.heartbeat_ms,
            Heartbeat::WithinLease(interval_ms) => {
                now.since(self.alive_ms.max(self.asked_ms)) >= interval_ms
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
            self.asked_ms = now;
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

/// What the owner of a session adds to each frame.
#[derive(Clone, Copy, Debug)]
pub struct FrameHeader {
    /// Where the owner takes packets.
    pub reply_to: SocketAddr,
    /// The owner's rules.
    pub rules_revision: Revision,
    /// The owner's load.
    pub load: Load,
    /// How often the owner asks for a sign of life.
    pub heartbeat: Heartbeat,
}

/// How often one side of a session asks the other for a sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// Never: the other side does.
    None,
    /// At the interval that the session agreed on.
    AsAgreed,
    /// When the last answered question, or the last question, is this old.
    WithinLease(DurationMs),
}
