//! Sessions with entries: hellos, welcomes, frames and the end of a session.

use lagoonhill_protocol::{EntryAddress, Frame, Hello, Message, Packet, Reset, SessionId, Welcome};
use lagoonhill_types::prelude::*;

use super::Agent;
use crate::agent::{AgentEffect, EntryKey, EntryLink, HeldTask, TaskKey, TaskPhase};
use crate::{Liveness, Session, Timing};

/// Longest pause between two hellos to an entry that does not answer.
const MAX_HELLO_INTERVAL_MS: DurationMs = DurationMs(10_000);

/// Number of hellos sent at the shorter interval, for an entry that is still
/// starting and will answer within moments.
const FAST_HELLOS: u32 = 4;

/// Divisor of the hello interval for those.
const FAST_HELLO_DIVISOR: u64 = 5;

/// Time for an edit of the rules to reach the entries without this agent.
const RULES_ECHO_DELAY_MS: DurationMs = DurationMs(3_000);

impl Agent {
    /// Adds entries that are not known yet, and sends each a hello.
    pub fn add_entries(&mut self, entries: &[EntryAddress], now: TimestampMs) {
        for address in entries {
            let known = self.by_incarnation.contains_key(&address.incarnation);
            if known || self.departed.contains(&address.incarnation) {
                continue;
            }
            let number = self.next_session_number();
            let key = self.entries.insert(EntryLink::new(*address, number, now));
            self.by_incarnation.insert(address.incarnation, key);
            self.send_hello(key, now);
        }
    }

    fn next_session_number(&mut self) -> u32 {
        self.sessions += 1;
        self.sessions
    }

    pub(super) fn session_mut(&mut self, key: EntryKey) -> Option<&mut Session> {
        self.entries.get_mut(key)?.session.as_mut()
    }

    pub(super) fn broadcast(&mut self, message: &Message) {
        for link in self.entries.values_mut() {
            if let Some(session) = &mut link.session {
                session.push(message.clone());
            }
        }
    }

    fn send_hello(&mut self, key: EntryKey, now: TimestampMs) {
        let link = &mut self.entries[key];
        link.hello_due_ms = now + hello_pause(self.config.timing, link.unanswered);
        link.unanswered += 1;
        let to = link.address.inbox;
        // The first hello may be to a process that has taken over the address of
        // another: it would be lost on a connection to the other one.
        if link.unanswered == 1 || link.unanswered > 2 {
            self.effects.push(AgentEffect::Reconnect { to });
        }
        let hello = Hello {
            session: SessionId {
                entry: link.address.incarnation,
                agent: self.config.incarnation,
                number: link.session_number,
            },
            inbox: self.config.inbox,
            worker: self.config.worker.clone(),
            zone: self.config.zone.clone(),
            target: self.target.clone(),
            leaving: self.leaving,
            sent_ms: now,
            rules_revision: self.rules.revision(),
        };
        self.effects.push(AgentEffect::Send {
            to,
            packet: Packet::Hello(hello),
        });
    }

    pub(super) fn check_entry(&mut self, key: EntryKey, now: TimestampMs) {
        let timing = self.config.timing;
        let link = &mut self.entries[key];
        let to = link.address.inbox;
        let Some(session) = &mut link.session else {
            if now.since(link.last_received_ms) >= timing.forget_entry_ms {
                self.forget(key);
            } else if now >= link.hello_due_ms && !self.leaving {
                self.send_hello(key, now);
            }
            return;
        };
        let lease_expired = now.since(session.alive_ms()) > timing.run_lease_ms;
        match session.tick(false, now) {
            Liveness::Alive => {}
            Liveness::Reconnect => self.effects.push(AgentEffect::Reconnect { to }),
            Liveness::Failed => return self.end_session(key, now),
        }
        if lease_expired {
            self.stop_expired(key);
        }
    }

    /// Stops the tasks of an entry not confirmed alive within the run lease.
    fn stop_expired(&mut self, entry: EntryKey) {
        let is_running = |task: &HeldTask| {
            task.entry == entry && matches!(task.phase, TaskPhase::Running { .. })
        };
        let running: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| is_running(task))
            .map(|(key, _)| key)
            .collect();
        for key in running {
            self.drop_or_stop(key);
        }
    }

    fn forget(&mut self, key: EntryKey) {
        if let Some(link) = self.entries.remove(key) {
            self.by_incarnation.remove(&link.address.incarnation);
            self.effects.push(AgentEffect::Disconnect {
                to: link.address.inbox,
            });
        }
    }

    pub(super) fn on_welcome(&mut self, welcome: &Welcome, now: TimestampMs) {
        let id = welcome.session;
        if id.agent != self.config.incarnation {
            return;
        }
        if let Some(&key) = self.by_incarnation.get(&id.entry) {
            let timing = self.config.timing;
            let link = &mut self.entries[key];
            link.last_received_ms = now;
            if link.session_number == id.number {
                link.unanswered = 0;
                let is_new = link.session.is_none();
                let session = link
                    .session
                    .get_or_insert_with(|| Session::new(id, timing, welcome.heartbeat_ms, now));
                session.set_heartbeat_interval(welcome.heartbeat_ms);
                session.record_received(welcome.sent_ms, welcome.rules_revision, now);
                session.record_echo(welcome.echo_ms, now);
                if is_new {
                    self.resend_state(key);
                }
                self.offer_rules(key, now);
            }
        }
        self.add_entries(&welcome.entries, now);
    }

    /// Repeats the state sent with the hello: the entry has handled the first of
    /// several hellos, and the target may have changed since.
    fn resend_state(&mut self, key: EntryKey) {
        let Some(session) = self
            .entries
            .get_mut(key)
            .and_then(|link| link.session.as_mut())
        else {
            return;
        };
        session.push(Message::Target(self.target.clone()));
        if self.leaving {
            session.push(Message::Leaving);
        }
        if self.is_zone_drained() {
            self.tell_zone_drain(key);
        }
    }

    /// Sends newer rules to an entry with an older revision, but not those of a
    /// recent edit: entries usually receive an edit before agents do.
    fn offer_rules(&mut self, key: EntryKey, now: TimestampMs) {
        if now.since(self.rules_installed_ms) < RULES_ECHO_DELAY_MS {
            return;
        }
        if let Some(session) = self
            .entries
            .get_mut(key)
            .and_then(|link| link.session.as_mut())
        {
            session.offer_rules(&self.rules);
        }
    }

    pub(super) fn on_reset(&mut self, reset: Reset, now: TimestampMs) {
        let Some(&key) = self.by_incarnation.get(&reset.session.entry) else {
            return;
        };
        let link = &mut self.entries[key];
        link.last_received_ms = now;
        let Reset { session } = reset;
        if session.agent != self.config.incarnation || session.number != link.session_number {
            return;
        }
        if link.session.is_some() {
            self.end_session(key, now);
        } else {
            // The entry abandoned the session before its welcome arrived.
            self.entries[key].session_number = self.next_session_number();
        }
        if !self.leaving {
            self.send_hello(key, now);
        }
    }

    /// Ends a session: drops its waiting tasks and stops its running ones. The
    /// entry counts both as "may have run", so no report is expected.
    fn end_session(&mut self, key: EntryKey, now: TimestampMs) {
        let Some(session) = self.entries[key].session.take() else {
            return;
        };
        let number = self.next_session_number();
        let link = &mut self.entries[key];
        link.session_number = number;
        link.hello_due_ms = now;
        let id = session.id();
        let ended: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.session == id)
            .map(|(task_key, _)| task_key)
            .collect();
        for task_key in ended {
            self.drop_or_stop(task_key);
        }
        let discarded = self.unstored_ends.remove_session(id).into_iter();
        self.effects
            .extend(discarded.map(|end| AgentEffect::DiscardEnd { end }));
        self.start_waiting(now);
    }

    pub(super) fn on_frame(&mut self, frame: Frame, now: TimestampMs) {
        let Some(&key) = self.by_incarnation.get(&frame.session.entry) else {
            return;
        };
        let ping = frame.ping;
        self.open_session_by_frame(key, frame.session, now);
        let link = &mut self.entries[key];
        let to = link.address.inbox;
        let Some(session) = link
            .session
            .as_mut()
            .filter(|open| open.id() == frame.session)
        else {
            return;
        };
        link.last_received_ms = now;
        let messages = session.receive(frame, now);
        if ping >= 2 {
            self.effects.push(AgentEffect::Reconnect { to });
        }
        for message in messages {
            if self.entries.contains_key(key) {
                self.on_message(key, message, now);
            }
        }
        self.offer_rules(key, now);
        self.start_waiting(now);
    }

    /// Opens the requested session when its first frame arrives before the
    /// welcome: the entry has accepted it.
    fn open_session_by_frame(&mut self, key: EntryKey, id: SessionId, now: TimestampMs) {
        let timing = self.config.timing;
        let link = &mut self.entries[key];
        let is_requested = id.agent == self.config.incarnation && id.number == link.session_number;
        if link.session.is_none() && is_requested {
            link.unanswered = 0;
            link.session = Some(Session::new(id, timing, timing.min_heartbeat_ms, now));
            self.resend_state(key);
        }
    }

    /// Handles the exit of an entry; none of its jobs waits for this agent.
    pub(super) fn on_departure(&mut self, key: EntryKey, now: TimestampMs) {
        self.departed.insert(self.entries[key].address.incarnation);
        self.end_session(key, now);
        self.forget(key);
    }
}

/// Pause before the next hello after `unanswered` hellos without an answer.
fn hello_pause(timing: Timing, unanswered: u32) -> DurationMs {
    let interval_ms = timing.hello_interval_ms;
    let pause_ms = match unanswered.checked_sub(FAST_HELLOS) {
        None => interval_ms / FAST_HELLO_DIVISOR,
        Some(later) => interval_ms * u64::from(later + 1),
    };
    pause_ms.min(MAX_HELLO_INTERVAL_MS)
}
