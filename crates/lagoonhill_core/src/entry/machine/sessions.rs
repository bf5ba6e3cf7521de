//! Sessions with agents: their start, messages and end.

use lagoonhill_protocol::{
    Feature, Frame, Hello, Message, Packet, Reset, RulesUpdate, SessionId, Welcome,
};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{Cause, DecisionKind, EntryEffect, JobKey, Placement, Worker, WorkerKey};
use crate::{Session, on_slow_clock};

/// Size of an idle heartbeat and its answer on the wire, in bytes.
const HEARTBEAT_COST_BYTES: u64 = 240;

/// Maximum bytes per second that an entry spends on idle heartbeats.
const HEARTBEAT_BUDGET_BYTES_PER_S: u64 = 3_000;

impl<P: Placement> Entry<P> {
    /// Handles a packet received from an agent or another entry.
    pub fn receive(&mut self, packet: Packet, now: TimestampMs) {
        match packet {
            Packet::Hello(hello) => self.on_hello(hello, now),
            Packet::Frame(frame) => self.on_frame(frame, now),
            Packet::NameRequest(request) => self.on_name_request(&request, now),
            Packet::NameReply(reply) => self.on_name_reply(reply, now),
            Packet::NameRelease(release) => self.on_name_release(&release, now),
            Packet::Welcome(_) | Packet::Reset(_) | Packet::Entries(_) => {}
        }
    }

    /// Heartbeat interval at which all sessions together stay within the budget.
    pub(super) fn heartbeat_interval(&self) -> DurationMs {
        let sessions = self.fleet.len() as u64;
        let interval_ms = sessions * HEARTBEAT_COST_BYTES * 1_000 / HEARTBEAT_BUDGET_BYTES_PER_S;
        DurationMs(interval_ms).max(self.config.timing.min_heartbeat_ms)
    }

    pub(super) fn on_hello(&mut self, hello: Hello, now: TimestampMs) {
        let to = hello.inbox;
        if hello.session.entry != self.config.address.incarnation {
            let packet = Packet::Entries(self.entries.iter().copied().collect());
            return self.effects.push(EntryEffect::Send { to, packet });
        }
        let known = self.fleet.find_by_id(&hello.worker);
        if let Some(key) = known {
            let current = self.fleet.get(key).map(|worker| worker.session.id());
            if current == Some(hello.session) {
                return self.welcome(key, now);
            }
            if current.is_some_and(|current| is_newer(current, hello.session)) {
                return;
            }
            self.lose_worker(key, "its agent began a new session", now);
        }
        // The agent may be a new process: its old connection would lose the answer.
        self.effects.push(EntryEffect::Reconnect { to });
        if self.fleet.has_ended(&hello.worker, hello.session) {
            let session = hello.session;
            let packet = Packet::Reset(Reset { session });
            return self.effects.push(EntryEffect::Send { to, packet });
        }
        let heartbeat_ms = self.heartbeat_interval();
        let mut session = Session::new(hello.session, self.config.timing, heartbeat_ms, now);
        session.record_received(hello.sent_ms, hello.rules_revision, now);
        session.push(Message::Rules(RulesUpdate::of_feature(
            Feature::TargetLosses,
        )));
        if self.config.shares_rules {
            session.offer_rules(&self.rules);
        }
        let mut worker = Worker::new(hello.worker, hello.zone, to, hello.target, session);
        worker.leaving = hello.leaving;
        let id = worker.id.clone();
        let key = self.fleet.insert(worker);
        self.update_operator_state(key);
        if self
            .fleet
            .get(key)
            .is_some_and(|worker| self.drains.is_drained(&worker.zone))
        {
            self.tell_zone_drain(key);
        }
        self.discovery.worker_joined(now);
        self.log_decision(now, None, None, DecisionKind::Joined { worker: id });
        self.welcome(key, now);
        self.dirty.insert(key);
        self.dispatch_all(now);
    }

    pub(super) fn welcome(&mut self, key: WorkerKey, now: TimestampMs) {
        let heartbeat_ms = self.heartbeat_interval();
        let rules_revision = self.rules.revision();
        let entries = self.entries.iter().copied().collect();
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.sent_heartbeat_ms = heartbeat_ms;
        worker.session.set_heartbeat_interval(heartbeat_ms);
        let session = worker.session.id();
        let welcome = Welcome {
            session,
            sent_ms: now,
            echo_ms: worker.session.peer_sent_ms(),
            heartbeat_ms,
            rules_revision,
            entries,
        };
        let packet = Packet::Welcome(welcome);
        self.effects.push(EntryEffect::Send {
            to: worker.inbox,
            packet,
        });
    }

    pub(super) fn on_frame(&mut self, frame: Frame, now: TimestampMs) {
        let Some(key) = self.fleet.find_by_session(frame.session) else {
            let packet = Packet::Reset(Reset {
                session: frame.session,
            });
            return self.effects.push(EntryEffect::Send {
                to: frame.reply_to,
                packet,
            });
        };
        let ping = frame.ping;
        let heartbeat_ms = self.heartbeat_interval();
        let worker = self.fleet.get_mut(key).expect("the key was just found");
        worker.load = frame.load;
        let messages = worker.session.receive(frame, now);
        let to = worker.inbox;
        let announced_ms = worker.sent_heartbeat_ms;
        self.dirty.insert(key);
        if ping >= 2 {
            self.effects.push(EntryEffect::Reconnect { to });
        }
        if ping > 0 && (heartbeat_ms > announced_ms * 2 || announced_ms > heartbeat_ms * 2) {
            self.welcome(key, now);
        }
        for message in messages {
            self.on_message(key, message, now);
        }
        self.assess_report(key, now);
        if self.config.shares_rules
            && let Some(worker) = self.fleet.get_mut(key)
        {
            worker.session.offer_rules(&self.rules);
        }
        self.dispatch_all(now);
    }

    pub(super) fn on_message(&mut self, key: WorkerKey, message: Message, now: TimestampMs) {
        match message {
            Message::Outcome(outcome) => self.on_outcome(key, outcome, now),
            Message::Target(target) => self.on_target(key, target, now),
            Message::TargetAnswered(answered) => self.on_target_answered(key, answered, now),
            Message::Leaving => {
                if let Some(worker) = self.fleet.get_mut(key) {
                    worker.leaving = true;
                    let left = DecisionKind::Left {
                        worker: worker.id.clone(),
                        why: "it is leaving",
                    };
                    self.log_decision(now, None, None, left);
                }
            }
            Message::Rules(update) => {
                if let Some(drain) = update.zone_drain() {
                    self.on_zone_drain(key, drain, now);
                } else if self.rules.install_update(&update) {
                    self.distribute_rules(now);
                }
            }
            Message::Start(_)
            | Message::CancelJob(_)
            | Message::Withdraw(_)
            | Message::EndsStored(_)
            | Message::EndsDiscarded(_)
            | Message::Entries(_) => {}
        }
    }

    /// Ends a worker's session. The tasks dispatched to it may have run.
    pub(super) fn lose_worker(&mut self, key: WorkerKey, why: &'static str, now: TimestampMs) {
        let Some(worker) = self.fleet.remove(key) else {
            return;
        };
        self.dirty.remove(&key);
        let left = DecisionKind::Left {
            worker: worker.id.clone(),
            why,
        };
        self.log_decision(now, None, None, left);
        let in_doubt_until_ms = self.runs_ended_by(&worker);
        for (task, dispatched) in worker.dispatched_tasks() {
            self.release_quota(&dispatched.team);
            let Some(&job) = self.by_job.get(&task.job) else {
                continue;
            };
            if self.jobs[job].may_rerun() {
                self.mark_in_doubt(job, task.index, key, &worker.id, in_doubt_until_ms, now);
                continue;
            }
            let cause = Cause::WorkerLost {
                index: task.index,
                worker: worker.id.clone(),
            };
            self.fail_job(job, cause, now);
        }
    }

    /// When all runs of this entry's tasks at a lost worker have certainly ended:
    /// its agent lets them run for the run lease after this entry's last answer,
    /// and its target for its lease duration after that.
    fn runs_ended_by(&self, worker: &Worker) -> TimestampMs {
        let timing = self.config.timing;
        worker.session.peer_sent_received_ms() + timing.run_lease_ms + on_slow_clock(timing.hold_ms)
    }

    fn mark_in_doubt(
        &mut self,
        job: JobKey,
        index: TaskIndex,
        from: WorkerKey,
        worker: &WorkerId,
        in_doubt_until_ms: TimestampMs,
        now: TimestampMs,
    ) {
        if !self.jobs[job].mark_in_doubt(index, from, in_doubt_until_ms) {
            return;
        }
        self.in_doubt.insert((in_doubt_until_ms, job, index));
        let id = self.jobs[job].plan.id;
        let kind = DecisionKind::InDoubt {
            worker: worker.clone(),
            in_doubt_until_ms,
        };
        self.log_decision(now, Some(id), Some(index), kind);
    }
}

fn is_newer(left: SessionId, right: SessionId) -> bool {
    (left.agent, left.number) > (right.agent, right.number)
}
