use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::ControlFlow;
use std::sync::Arc;

use lagoonhill_core::entry::{
    Answer, CallerId, Decision, DrainSource, DurableJob, Entry, EntryEffect, EntryStatus,
    KeyBinding, Placement, StoreOutcome, StoreWrite, StoreWriteId, Submission,
};
use lagoonhill_daemon::ControlState;
use lagoonhill_link::Link;
use lagoonhill_protocol::{EntryAddress, Packet};
use lagoonhill_rules::{RuleSet, ZoneDrains};
use lagoonhill_types::prelude::*;
use log::info;
use tokio::sync::{mpsc, oneshot, watch};

use crate::metrics::Metrics;

/// Recent decisions that `explain` can show.
const MAX_DECISIONS: usize = 20_000;

/// How a submission is identified and answered.
#[derive(Clone, Debug)]
pub(crate) enum SubmissionKind {
    Plain,
    /// A job of a queue that is not durable, under the name that its caller gave to it.
    Named,
    Ticket(Ticket),
    Key {
        key: RequestKey,
        bound_here: bool,
    },
    /// A durable job: answered once it is stored.
    Durable,
}

/// The reply to a waiting caller.
#[derive(Debug)]
pub(crate) enum CallerReply {
    Answer(Answer),
    Forward(EntryAddress),
}

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    Packet {
        packet: Packet,
        size_bytes: usize,
    },
    Submit {
        caller: CallerId,
        kind: SubmissionKind,
        submission: Submission,
        reply: oneshot::Sender<CallerReply>,
    },
    Abandon(CallerId),
    Cancel {
        job: JobId,
        reply: oneshot::Sender<bool>,
    },
    Tickets {
        count: u16,
        reply: oneshot::Sender<Vec<Ticket>>,
    },
    KeyBound {
        key: RequestKey,
        binding: KeyBinding,
    },
    Stored {
        name: RequestKey,
        id: StoreWriteId,
        stored: StoreOutcome,
    },
    OwnedUntil(TimestampMs),
    TakeOver {
        name: RequestKey,
        job: Box<DurableJob>,
    },
    CancelledAtPeer(RequestKey),
    CancelDurable {
        name: RequestKey,
        reply: oneshot::Sender<bool>,
    },
    DurableJobStarted {
        name: RequestKey,
        reply: oneshot::Sender<Option<bool>>,
    },
    KnowsDurableJob {
        name: RequestKey,
        reply: oneshot::Sender<bool>,
    },
    Rules(RuleSet),
    Drains {
        drains: ZoneDrains,
        source: DrainSource,
    },
    Entries(Vec<EntryAddress>),
    /// The entry leaves: it grants no more leases on names.
    RetireHome,
    Status(oneshot::Sender<EntryStatus>),
    Waiting {
        queue: QueueName,
        reply: oneshot::Sender<usize>,
    },
    /// Counts the durable jobs that wait, by queue.
    WaitingDurable(oneshot::Sender<BTreeMap<QueueName, usize>>),
    CurrentRules(oneshot::Sender<(RuleSet, ZoneDrains)>),
    Explain {
        job: JobId,
        reply: oneshot::Sender<Vec<Decision>>,
    },
    Leave,
    Depart,
    Stop,
}

/// The state of the control thread: the entry and all that its effects need.
pub(crate) struct Control<P, L> {
    entry: Entry<P>,
    link: L,
    metrics: Metrics,
    keys_to_bind: mpsc::UnboundedSender<RequestKey>,
    durable_writes: mpsc::UnboundedSender<StoreWrite>,
    callers: HashMap<CallerId, oneshot::Sender<CallerReply>>,
    decisions: VecDeque<Decision>,
    rules: watch::Sender<Arc<RuleSet>>,
}

impl<P: Placement, L: Link> ControlState for Control<P, L> {
    type Event = ControlEvent;

    fn tick(&mut self, now: TimestampMs) {
        self.entry.tick(now);
    }

    fn handle(&mut self, event: ControlEvent, now: TimestampMs) -> ControlFlow<()> {
        match event {
            ControlEvent::Packet { packet, size_bytes } => {
                self.metrics.packets.received(size_bytes);
                self.entry.receive(packet, now);
            }
            ControlEvent::Submit {
                caller,
                kind,
                submission,
                reply,
            } => {
                self.callers.insert(caller, reply);
                self.submit(caller, kind, submission, now);
            }
            ControlEvent::Abandon(caller) => {
                if self.callers.remove(&caller).is_some() {
                    self.entry.on_caller_disconnected(caller, now);
                }
            }
            ControlEvent::Cancel { job, reply } => {
                let _ = reply.send(self.entry.cancel(job, now));
            }
            ControlEvent::Tickets { count, reply } => {
                let _ = reply.send(self.entry.issue_tickets(count, now));
            }
            ControlEvent::KeyBound { key, binding } => self.entry.on_key_bound(key, binding, now),
            ControlEvent::Stored { name, id, stored } => {
                self.entry.on_stored(&name, id, stored, now);
            }
            ControlEvent::OwnedUntil(until_ms) => self.entry.set_ownership_expiry(until_ms),
            ControlEvent::TakeOver { name, job } => self.entry.take_over(&name, &job, now),
            ControlEvent::CancelledAtPeer(name) => {
                self.entry.cancel_durable(&name, now);
            }
            ControlEvent::CancelDurable { name, reply } => {
                let _ = reply.send(self.entry.cancel_durable(&name, now));
            }
            ControlEvent::DurableJobStarted { name, reply } => {
                let _ = reply.send(self.entry.durable_job_started(&name));
            }
            ControlEvent::KnowsDurableJob { name, reply } => {
                let _ = reply.send(self.entry.knows_durable_job(&name));
            }
            ControlEvent::Rules(rules) => {
                self.entry.install_rules(rules, now);
            }
            ControlEvent::Drains { drains, source } => {
                self.entry.install_drains(drains, source, now);
            }
            ControlEvent::Entries(entries) => self.entry.set_entries(entries),
            ControlEvent::RetireHome => self.entry.retire_as_home(),
            ControlEvent::Status(reply) => {
                let _ = reply.send(self.entry.status());
            }
            ControlEvent::Waiting { queue, reply } => {
                let _ = reply.send(self.entry.waiting_jobs(&queue));
            }
            ControlEvent::WaitingDurable(reply) => {
                let _ = reply.send(self.entry.waiting_durable());
            }
            ControlEvent::CurrentRules(reply) => {
                let rules = self.entry.rules().clone();
                let _ = reply.send((rules, self.entry.drains().clone()));
            }
            ControlEvent::Explain { job, reply } => {
                let about = |decision: &&Decision| decision.job == Some(job);
                let _ = reply.send(self.decisions.iter().filter(about).cloned().collect());
            }
            ControlEvent::Leave => self.entry.leave(),
            ControlEvent::Depart => self.entry.send_leave(),
            ControlEvent::Stop => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    fn apply_effects(&mut self, now: TimestampMs) {
        if self.rules.borrow().revision != self.entry.rules().revision {
            self.rules
                .send_replace(Arc::new(self.entry.rules().clone()));
        }
        for effect in self.entry.poll_effects(now) {
            match effect {
                EntryEffect::Send { to, packet } => {
                    let size_bytes = self.link.send(to, &packet);
                    self.metrics.packets.sent(size_bytes);
                }
                EntryEffect::Reconnect { to } => self.link.reconnect(to),
                EntryEffect::Disconnect { to } => self.link.disconnect(to),
                EntryEffect::Answer { caller, answer } => {
                    self.reply(caller, CallerReply::Answer(answer));
                }
                EntryEffect::Forward { caller, owner } => {
                    self.reply(caller, CallerReply::Forward(owner));
                }
                EntryEffect::BindKey { key } => {
                    let _ = self.keys_to_bind.send(key);
                }
                EntryEffect::Store(write) => {
                    let _ = self.durable_writes.send(write);
                }
                EntryEffect::LogDecision(decision) => self.record(decision),
            }
        }
        self.link.flush();
    }
}

impl<P: Placement, L: Link> Control<P, L> {
    pub(crate) fn new(
        entry: Entry<P>,
        link: L,
        metrics: Metrics,
        keys_to_bind: mpsc::UnboundedSender<RequestKey>,
        durable_writes: mpsc::UnboundedSender<StoreWrite>,
        rules: watch::Sender<Arc<RuleSet>>,
    ) -> Self {
        let (callers, decisions) = (HashMap::new(), VecDeque::new());
        Self {
            entry,
            link,
            metrics,
            keys_to_bind,
            durable_writes,
            callers,
            decisions,
            rules,
        }
    }

    fn submit(
        &mut self,
        caller: CallerId,
        kind: SubmissionKind,
        submission: Submission,
        now: TimestampMs,
    ) {
        match kind {
            SubmissionKind::Plain => self.entry.submit(caller, submission, now),
            SubmissionKind::Named => self.entry.submit_named(caller, submission, now),
            SubmissionKind::Ticket(ticket) => {
                self.entry.submit_ticket(caller, ticket, submission, now);
            }
            SubmissionKind::Key { key, bound_here } => {
                self.entry
                    .submit_key(caller, key, bound_here, submission, now);
            }
            SubmissionKind::Durable => self.entry.submit_durable(caller, submission, now),
        }
    }

    fn reply(&mut self, caller: CallerId, reply: CallerReply) {
        if let Some(waiting) = self.callers.remove(&caller) {
            let _ = waiting.send(reply);
        }
    }

    fn record(&mut self, decision: Decision) {
        self.metrics.count_decision(&decision.kind);
        info!(target: "decision", "{decision}");
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }
}

impl<P, L> Drop for Control<P, L> {
    /// Closes the reply channels of waiting callers: their handlers answer that
    /// the entry has stopped.
    fn drop(&mut self) {
        self.callers.clear();
    }
}
