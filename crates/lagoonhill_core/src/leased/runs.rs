use std::collections::{BTreeMap, HashMap};

use lagoonhill_protocol::{NotRunReason, Start, Target, TaskResult};
use lagoonhill_types::prelude::*;

use super::{
    Announcement, CallId, EndKind, EndedRun, FencingToken, Refusal, RunOrder, RunRef, TargetCall,
    TargetClock, TargetLife, TargetReply, TargetTimeMs,
};
use crate::agent::TaskKey;
use crate::on_slow_clock;

/// Added to the fencing token when the target has seen a higher one: more than
/// a predecessor's wall clock may have been ahead of ours, in seconds.
const TOKEN_STEP: u64 = 600;

/// Time limits of a leased target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Length of a lease.
    pub hold_ms: DurationMs,
    /// How long the target may wait for an end before it answers a hold.
    pub wait_ms: DurationMs,
    /// How long an answer may take beyond that.
    pub reply_ms: DurationMs,
    /// Silence after which the target gets no new work and no new lease.
    pub silence_ms: DurationMs,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            // Four looks, so that one lost answer does not end what runs.
            hold_ms: DurationMs(400),
            // Ten looks a second at a target on which nothing ends.
            wait_ms: DurationMs(100),
            // A call on the machine itself, on a busy one.
            reply_ms: DurationMs(100),
            // One look without an answer, and a margin.
            silence_ms: DurationMs(250),
        }
    }
}

/// How long the target may wait before it answers a look at runs that are to
/// end soon.
const LOOK_WAIT_MS: DurationMs = DurationMs(20);

/// A silent target is looked at this often within the time that its silence
/// has lasted.
const SILENT_LOOKS: u64 = 4;

/// A look that is unanswered for this long after its wait has probably lost its
/// answer. On the machine itself an answer takes a few milliseconds.
const LATE_LOOK_MS: DurationMs = DurationMs(25);

/// A start is ordered again after so long without an answer; a target ignores a
/// repetition of what it has.
const REPEAT_START_MS: DurationMs = DurationMs(25);

/// How long a target that left a call unanswered gets two looks at a time: ends
/// are told by looks alone, so a lost answer would hold up the ends of all runs.
const DOUBT_MS: DurationMs = DurationMs(5_000);

/// Pause between two looks while ends wait to be stored, which takes a few of
/// the store's answers.
const UNNOTED_PAUSE_MS: DurationMs = DurationMs(25);

/// Longest pause between two looks at a silent target.
const MAX_LOOK_PAUSE_MS: DurationMs = DurationMs(1_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Ordered; no answer yet.
    Starting { tries: u32 },
    /// The target has it.
    Running { since_ms: TimestampMs },
    /// To be stopped; `since_ms` is when the target agreed.
    Stopping { since_ms: Option<TimestampMs> },
}

#[derive(Debug)]
struct Run {
    reference: RunRef,
    payload: Payload,
    /// Whether its end must be held until it is stored.
    kept: bool,
    phase: Phase,
    /// When an unanswered call about it is repeated.
    due_ms: Option<TimestampMs>,
}

/// What a call was about, for its answer.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Start(TaskKey),
    Stop(TaskKey),
    StopForeign,
    Hold { sent_ms: TimestampMs, observed: u64 },
}

/// What the owner of [`LeasedRuns`] is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeasedEffect {
    /// Make a call and report back with [`LeasedRuns::answered`].
    Call {
        /// Names the call.
        id: CallId,
        /// The incarnation that it is meant for.
        life: TargetLife,
        /// The token to send.
        token: FencingToken,
        /// The call.
        call: TargetCall,
        /// Longest wait for the answer.
        limit_ms: DurationMs,
    },
    /// A run is over.
    Ended {
        /// Which.
        key: TaskKey,
        /// What became of it.
        result: TaskResult,
    },
    /// The target takes orders now, or (`None`) does not.
    Target(Option<Target>),
}

/// The runs on one target, each under the target's lease.
///
/// A run that the target does not answer for is over when the last lease has
/// lapsed on the slowest clock that a target may have; not before.
#[derive(Debug)]
pub struct LeasedRuns {
    timing: LeaseTiming,
    token: FencingToken,
    /// The newest announcement of the incarnation in charge.
    announced: Option<Announcement>,
    /// An incarnation that has said good-bye; what it said earlier may still
    /// arrive.
    departed: Option<Announcement>,
    clock: Option<TargetClock>,
    /// When the target has ended everything, if it gets no further lease.
    lapses_ms: TimestampMs,
    /// The highest end seen.
    seen: u64,
    /// Ends that are not stored yet, by number, and the runs of this process
    /// among them; the target must go on listing them.
    unnoted: BTreeMap<u64, Option<TaskKey>>,
    /// Ends that will never be stored wait for the lease to lapse: then they no
    /// longer count, and neither does what still runs.
    voiding: bool,
    runs: HashMap<TaskKey, Run>,
    by_reference: HashMap<RunRef, TaskKey>,
    /// Runs of a predecessor of this process, being stopped.
    foreign: HashMap<RunRef, TimestampMs>,
    calls: HashMap<CallId, Purpose>,
    next_call: u64,
    /// Looks that wait for their answers, with when they were sent.
    looks: Vec<(CallId, TimestampMs)>,
    /// Until when a second look is sent beside the first.
    doubted_until_ms: TimestampMs,
    /// When the last look at the target was ordered.
    held_ms: TimestampMs,
    heard_ms: TimestampMs,
    /// Whether the target answers and runs nothing that we don't know.
    responsive: bool,
    /// What was last said of the target.
    told: Option<Target>,
    effects: Vec<LeasedEffect>,
}

impl LeasedRuns {
    /// No target yet. `token` should grow from one process to the next.
    pub fn new(timing: LeaseTiming, token: FencingToken, now: TimestampMs) -> Self {
        Self {
            timing,
            token,
            announced: None,
            departed: None,
            clock: None,
            // A predecessor may have granted a lease until just now.
            lapses_ms: now + on_slow_clock(timing.hold_ms),
            seen: 0,
            unnoted: BTreeMap::new(),
            voiding: false,
            runs: HashMap::new(),
            by_reference: HashMap::new(),
            foreign: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            looks: Vec::new(),
            doubted_until_ms: TimestampMs(0),
            held_ms: now,
            heard_ms: now,
            responsive: false,
            told: None,
            effects: Vec::new(),
        }
    }

    /// The incarnation in charge.
    pub fn life(&self) -> Option<&TargetLife> {
        self.announced.as_ref().map(|announced| &announced.life)
    }

    /// Whether the target takes orders.
    fn is_usable(&self) -> bool {
        self.told.is_some()
    }

    /// Whether the target has answered lately.
    fn is_heard(&self, now: TimestampMs) -> bool {
        now.since(self.heard_ms) < self.timing.silence_ms
    }

    /// A target announced itself. Another incarnation ends every run of the
    /// one before. Returns false when the announcement is out of date.
    pub fn announce(&mut self, announcement: Announcement, now: TimestampMs) -> bool {
        let known = self.announced.as_ref().or(self.departed.as_ref());
        if known.is_some_and(|known| announcement.is_older_than(known)) {
            return false;
        }
        let departed = self.departed.as_ref().map(|departed| &departed.life);
        if departed == Some(&announcement.life) {
            return false;
        }
        let is_new = self.life() != Some(&announcement.life);
        if is_new {
            self.end_life("another incarnation of the target took its place");
        }
        self.announced = Some(announcement);
        if is_new {
            self.heard_ms = now;
            self.hold(now);
        }
        self.tell();
        true
    }

    /// A target said good-bye: it is gone, and everything on it.
    pub fn left(&mut self, life_name: &WorkerId) {
        if self.life().is_some_and(|life| life.name == *life_name) {
            self.departed = self.announced.take();
            self.end_life("the target has left");
        }
    }

    fn end_life(&mut self, why: &str) {
        self.interrupt_all(why);
        self.announced = None;
        self.clock = None;
        self.seen = 0;
        self.unnoted.clear();
        self.voiding = false;
        self.foreign.clear();
        self.calls.clear();
        self.looks.clear();
        self.responsive = false;
        self.tell();
    }

    /// Tells the owner when the target begins or ceases to take orders, or
    /// offers something else.
    fn tell(&mut self) {
        let announced = self.announced.as_ref();
        let usable = announced.filter(|announced| self.responsive && !announced.draining);
        let target = usable.map(|announced| announced.target.clone());
        if self.told != target {
            self.told.clone_from(&target);
            self.effects.push(LeasedEffect::Target(target));
        }
    }

    /// Starts a run.
    pub fn start(&mut self, key: TaskKey, start: &Start, now: TimestampMs) {
        let Some(task) = start.name.clone() else {
            let why = "the job has no name: submit it to a queue".to_owned();
            return self.effects.push(LeasedEffect::Ended {
                key,
                result: TaskResult::Failed(why),
            });
        };
        if !self.is_usable() || self.voiding {
            return self.effects.push(LeasedEffect::Ended {
                key,
                result: TaskResult::NotRun(NotRunReason::NoTarget),
            });
        }
        let reference = RunRef {
            task,
            run: start.run,
        };
        let run = Run {
            reference: reference.clone(),
            payload: start.payload.clone(),
            kept: start.kept,
            phase: Phase::Starting { tries: 0 },
            due_ms: None,
        };
        self.by_reference.insert(reference, key);
        self.runs.insert(key, run);
        self.order(key, now);
    }

    /// Stops a run; its end follows.
    pub fn stop(&mut self, key: TaskKey, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if !matches!(run.phase, Phase::Stopping { .. }) {
            run.phase = Phase::Stopping { since_ms: None };
            self.order_stop(key, now);
        }
    }

    fn order(&mut self, key: TaskKey, now: TimestampMs) {
        let Some(clock) = self.clock else {
            return;
        };
        let until_ms = self.grant(clock, now);
        let reply_ms = self.timing.reply_ms;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let Phase::Starting { tries } = &mut run.phase else {
            return;
        };
        *tries += 1;
        let tries = u64::from(*tries);
        run.due_ms = Some(now + REPEAT_START_MS * tries);
        let order = RunOrder {
            run: run.reference.clone(),
            payload: run.payload.clone(),
            until_ms,
        };
        self.call(Purpose::Start(key), TargetCall::Start(order), reply_ms);
    }

    fn order_stop(&mut self, key: TaskKey, now: TimestampMs) {
        let reply_ms = self.timing.reply_ms;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        run.due_ms = Some(now + reply_ms);
        let stop = TargetCall::Stop(run.reference.clone());
        self.call(Purpose::Stop(key), stop, reply_ms);
    }

    /// Extends the lease and returns its end on the target's clock.
    fn grant(&mut self, clock: TargetClock, now: TimestampMs) -> TargetTimeMs {
        let hold_ms = self.timing.hold_ms;
        self.lapses_ms = self.lapses_ms.max(now + on_slow_clock(hold_ms));
        clock.after(hold_ms, now)
    }

    fn hold(&mut self, now: TimestampMs) {
        let is_heard = self.is_heard(now);
        let may_grant = is_heard && self.foreign.is_empty() && !self.voiding;
        let clock = self.clock.filter(|_| may_grant);
        let until_ms = clock.map(|clock| self.grant(clock, now));
        // The first look must not wait: nothing is started before its answer.
        let wait_ms = match (until_ms, self.clock) {
            (Some(_), _) => self.timing.wait_ms,
            (None, Some(_)) => LOOK_WAIT_MS,
            (None, None) => DurationMs::ZERO,
        };
        self.held_ms = now;
        let observed = self.observed();
        let hold = TargetCall::Hold {
            until_ms,
            observed,
            wait_ms,
        };
        let purpose = Purpose::Hold {
            sent_ms: now,
            observed,
        };
        let limit_ms = wait_ms + self.timing.reply_ms;
        let look = self.call(purpose, hold, limit_ms);
        self.looks.extend(look.map(|id| (id, now)));
    }

    /// Whether fewer looks wait for their answers than should.
    fn lacks_look(&self, now: TimestampMs) -> bool {
        let late_ms = self.timing.wait_ms + LATE_LOOK_MS;
        match self.looks.as_slice() {
            [] => true,
            [(_, sent_ms)] => now < self.doubted_until_ms || now.since(*sent_ms) > late_ms,
            _ => false,
        }
    }

    /// Sends as many looks as should be under way.
    fn look(&mut self, now: TimestampMs) {
        while self.announced.is_some() && self.lacks_look(now) {
            self.hold(now);
        }
    }

    fn call(&mut self, purpose: Purpose, call: TargetCall, limit_ms: DurationMs) -> Option<CallId> {
        let life = self.life()?.clone();
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, purpose);
        self.effects.push(LeasedEffect::Call {
            id,
            life,
            token: self.token,
            call,
            limit_ms,
        });
        Some(id)
    }

    /// Takes what became of a call.
    pub fn answered(&mut self, id: CallId, reply: TargetReply, now: TimestampMs) {
        let Some(purpose) = self.calls.remove(&id) else {
            return;
        };
        self.looks.retain(|(look, _)| *look != id);
        match &reply {
            TargetReply::Unanswered(_) => self.doubted_until_ms = now + DOUBT_MS,
            TargetReply::OtherLife => {
                return self.end_life("another incarnation of the target answers");
            }
            TargetReply::Started(clock_ms)
            | TargetReply::Refused(_, clock_ms)
            | TargetReply::Stopping(clock_ms)
            | TargetReply::Held { clock_ms, .. } => {
                self.clock = Some(TargetClock::read(*clock_ms, now));
                self.heard_ms = now;
            }
            TargetReply::Unhealthy | TargetReply::Invalid(_) => self.heard_ms = now,
        }
        if matches!(reply, TargetReply::Refused(Refusal::Fenced, _)) {
            self.token.0 += TOKEN_STEP;
        }
        match purpose {
            Purpose::Start(key) => self.start_answered(key, reply, now),
            Purpose::Stop(key) => self.stop_answered(key, &reply, now),
            Purpose::StopForeign => {}
            Purpose::Hold { sent_ms, observed } => {
                self.hold_answered(sent_ms, observed, reply, now);
            }
        }
    }

    fn start_answered(&mut self, key: TaskKey, reply: TargetReply, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let Phase::Starting { tries } = run.phase else {
            return;
        };
        match reply {
            TargetReply::Started(_) => {
                run.phase = Phase::Running { since_ms: now };
                run.due_ms = None;
            }
            // An earlier try was carried out after all and has ended: its end
            // is listed.
            TargetReply::Refused(Refusal::Stale, _) if tries > 1 => {
                run.phase = Phase::Running { since_ms: now };
                run.due_ms = None;
            }
            TargetReply::Refused(Refusal::Stale, _) => self.renumber(key, now),
            TargetReply::Refused(refusal @ (Refusal::NoRoom | Refusal::NoPermit), _) => {
                let result = if refusal == Refusal::NoRoom {
                    TaskResult::NotRun(NotRunReason::Full)
                } else {
                    TaskResult::Failed(refusal.to_string())
                };
                self.end_unless_tried(key, tries, result, now);
            }
            TargetReply::Unhealthy => {
                let result = TaskResult::NotRun(NotRunReason::TargetUnhealthy);
                self.end_unless_tried(key, tries, result, now);
            }
            TargetReply::Invalid(message) => self.end(key, TaskResult::Failed(message)),
            TargetReply::Refused(Refusal::Fenced | Refusal::Late, _)
            | TargetReply::Stopping(_)
            | TargetReply::Held { .. }
            | TargetReply::OtherLife
            | TargetReply::Unanswered(_) => run.due_ms = Some(now),
        }
    }

    /// Ends a run that the target refused, unless an earlier try may still be
    /// carried out: then it is stopped first.
    fn end_unless_tried(&mut self, key: TaskKey, tries: u32, result: TaskResult, now: TimestampMs) {
        if tries == 1 {
            return self.end(key, result);
        }
        self.stop(key, now);
    }

    /// Gives a run a higher number: one of this number was there in the past.
    fn renumber(&mut self, key: TaskKey, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        self.by_reference.remove(&run.reference);
        run.reference.run = run.reference.run.next();
        run.phase = Phase::Starting { tries: 0 };
        self.by_reference.insert(run.reference.clone(), key);
        self.order(key, now);
    }

    fn stop_answered(&mut self, key: TaskKey, reply: &TargetReply, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if let (Phase::Stopping { since_ms }, TargetReply::Stopping(_)) = (&mut run.phase, reply) {
            *since_ms = Some(now);
            run.due_ms = None;
        }
    }

    fn hold_answered(
        &mut self,
        sent_ms: TimestampMs,
        observed: u64,
        reply: TargetReply,
        now: TimestampMs,
    ) {
        let TargetReply::Held {
            born_ms,
            running,
            ended,
            ..
        } = reply
        else {
            return;
        };
        let expected = self.life().map(|life| life.born_ms);
        if born_ms.is_some() && expected.is_some_and(|born| born > 0 && Some(born) != born_ms) {
            return self.end_life("another incarnation of the target answers");
        }
        // Answers overtake each other: a list from before an end that is known
        // still names the run.
        let newest = ended.last().map_or(observed, |end| end.number);
        let is_outdated = newest < self.seen;
        for end in ended {
            self.take_end(&end, now);
        }
        if !is_outdated {
            self.reconcile(&running, sent_ms);
            self.stop_foreign(running, now);
        }
        if self.foreign.is_empty() && !self.voiding {
            self.responsive = true;
            self.tell();
        }
        // A target that lists ends does not wait; neither do ours get stored
        // sooner by looking.
        if self.unnoted.is_empty() {
            self.look(now);
        }
    }

    /// Ends up to this one may be forgotten by the target.
    fn observed(&self) -> u64 {
        let first = self.unnoted.first_key_value();
        first.map_or(self.seen, |(number, _)| (*number - 1).min(self.seen))
    }

    /// The end of a run is stored.
    pub fn noted(&mut self, key: TaskKey, now: TimestampMs) {
        self.unnoted.retain(|_, unnoted| *unnoted != Some(key));
        if self.unnoted.is_empty() {
            self.look(now);
        }
    }

    /// The end of a run will never be stored, so the task may run again
    /// elsewhere. It stops to count when the lease lapses before the target may
    /// forget it.
    pub fn void(&mut self, key: TaskKey) {
        if self.unnoted.values().any(|unnoted| *unnoted == Some(key)) {
            self.begin_voiding();
        }
    }

    fn begin_voiding(&mut self) {
        self.voiding = true;
        self.responsive = false;
        self.tell();
    }

    fn end_voiding(&mut self) {
        self.voiding = false;
        self.unnoted.clear();
    }

    fn take_end(&mut self, end: &EndedRun, now: TimestampMs) {
        if end.number <= self.seen {
            return;
        }
        self.seen = end.number;
        self.foreign.remove(&end.run);
        let counts = matches!(end.kind, EndKind::Done | EndKind::Failed);
        let Some(&key) = self.by_reference.get(&end.run) else {
            // Its entry counts the run as lost.
            if counts && end.run.run.is_of_kept_job() && now < self.lapses_ms {
                self.unnoted.insert(end.number, None);
                self.begin_voiding();
            }
            return;
        };
        let is_kept = self.runs.get(&key).is_some_and(|run| run.kept);
        if is_kept && counts {
            self.unnoted.insert(end.number, Some(key));
        }
        let result = match end.kind {
            EndKind::Done => TaskResult::Done(Payload::default()),
            EndKind::Failed => TaskResult::Failed("the target lists it as failed".to_owned()),
            EndKind::Stopped => TaskResult::Interrupted("it was stopped".to_owned()),
            EndKind::Lapsed => TaskResult::Interrupted("the target's lease lapsed".to_owned()),
            EndKind::Broken => TaskResult::Interrupted("another member ended".to_owned()),
        };
        self.end(key, result);
    }

    /// Ends runs that the target neither runs nor lists as ended, as after a
    /// stop that came before its start.
    fn reconcile(&mut self, running: &[RunRef], looked_ms: TimestampMs) {
        let missing = |(key, run): (&TaskKey, &Run)| {
            let certain_since_ms = match run.phase {
                Phase::Starting { .. } => return None,
                Phase::Running { since_ms } => Some(since_ms),
                Phase::Stopping { since_ms } => since_ms,
            };
            let is_known = certain_since_ms.is_some_and(|since_ms| since_ms < looked_ms);
            (is_known && !running.contains(&run.reference)).then_some(*key)
        };
        let gone: Vec<TaskKey> = self.runs.iter().filter_map(missing).collect();
        for key in gone {
            let why = "the target no longer runs it".to_owned();
            self.end(key, TaskResult::Interrupted(why));
        }
    }

    /// Stops runs that a predecessor of this process has left behind.
    fn stop_foreign(&mut self, running: Vec<RunRef>, now: TimestampMs) {
        self.foreign.retain(|run, _| running.contains(run));
        for run in running {
            let told = self.foreign.get(&run);
            let is_due = told.is_none_or(|told_ms| now.since(*told_ms) >= self.timing.reply_ms);
            if self.by_reference.contains_key(&run) || !is_due {
                continue;
            }
            self.foreign.insert(run.clone(), now);
            let stop = TargetCall::Stop(run);
            self.call(Purpose::StopForeign, stop, self.timing.reply_ms);
        }
    }

    fn end(&mut self, key: TaskKey, result: TaskResult) {
        if let Some(run) = self.runs.remove(&key) {
            self.by_reference.remove(&run.reference);
            self.effects.push(LeasedEffect::Ended { key, result });
        }
    }

    fn interrupt_all(&mut self, why: &str) {
        let keys: Vec<TaskKey> = self.runs.keys().copied().collect();
        for key in keys {
            self.end(key, TaskResult::Interrupted(why.to_owned()));
        }
    }

    /// Runs timers. Call every few tens of milliseconds.
    pub fn tick(&mut self, now: TimestampMs) {
        if self.announced.is_none() {
            return;
        }
        self.repeat_calls(now);
        self.drop_lost_looks(now);
        let silent_ms = now.since(self.heard_ms);
        let pause_ms = (silent_ms / SILENT_LOOKS).min(MAX_LOOK_PAUSE_MS);
        let pause_ms = if self.unnoted.is_empty() {
            pause_ms
        } else {
            pause_ms.max(UNNOTED_PAUSE_MS)
        };
        if self.voiding && now >= self.lapses_ms {
            self.end_voiding();
        }
        if now.since(self.held_ms) >= pause_ms && self.lacks_look(now) {
            self.hold(now);
        }
        if self.is_heard(now) {
            return;
        }
        self.responsive = false;
        self.tell();
        if now >= self.lapses_ms {
            self.interrupt_all("the target fell silent and its lease has lapsed");
        }
    }

    /// Gives up looks whose answers are long overdue.
    fn drop_lost_looks(&mut self, now: TimestampMs) {
        let limit_ms = self.timing.wait_ms + self.timing.reply_ms;
        let is_lost = |sent_ms: TimestampMs| now.since(sent_ms) > limit_ms;
        for (id, _) in self.looks.extract_if(.., |(_, sent_ms)| is_lost(*sent_ms)) {
            self.calls.remove(&id);
            self.doubted_until_ms = now + DOUBT_MS;
        }
    }

    fn repeat_calls(&mut self, now: TimestampMs) {
        let is_due = |run: &Run| run.due_ms.is_some_and(|due_ms| due_ms <= now);
        let due: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| is_due(run))
            .map(|(key, _)| *key)
            .collect();
        let is_heard = self.is_heard(now);
        for key in due {
            match self.runs[&key].phase {
                Phase::Starting { .. } if is_heard && !self.voiding => self.order(key, now),
                Phase::Stopping { .. } => self.order_stop(key, now),
                Phase::Starting { .. } | Phase::Running { .. } => {}
            }
        }
    }

    /// Every effect since the last call.
    pub fn poll_effects(&mut self) -> Vec<LeasedEffect> {
        std::mem::take(&mut self.effects)
    }
}
