use std::ops::ControlFlow;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use lagoonhill_types::prelude::*;

use crate::StartError;

/// Time between two runs of the timers.
const TICK: DurationMs = DurationMs(20);

/// Events handled before effects are carried out, at most.
const MAX_BATCH: usize = 512;

/// State that one thread owns and everybody else reaches by events.
pub trait ControlState {
    /// What reaches the thread.
    type Event;

    /// Runs timers.
    fn tick(&mut self, now: TimestampMs);

    /// Handles an event; breaks when the thread is to end.
    fn handle(&mut self, event: Self::Event, now: TimestampMs) -> ControlFlow<()>;

    /// Carries out what events and timers have asked for.
    fn carry_out(&mut self, now: TimestampMs);
}

/// Runs a state on a thread of its own until it breaks or all senders are gone.
pub fn spawn_control<S>(
    state: S,
    clock: Clock,
    events: Receiver<S::Event>,
) -> Result<(), StartError>
where
    S: ControlState<Event: Send> + Send + 'static,
{
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(state, clock, &events))
        .map(drop)
        .map_err(StartError::Thread)
}

fn run<S: ControlState>(mut state: S, clock: Clock, events: &Receiver<S::Event>) {
    let mut next_tick = clock.now() + TICK;
    loop {
        let wait = Duration::from(next_tick.since(clock.now()));
        let received = events.recv_timeout(wait);
        // After a freeze the timers come before any event, so that nothing is
        // judged by what the freeze made late.
        if clock.now() >= next_tick {
            state.tick(clock.now());
            next_tick = clock.now() + TICK;
        }
        let first = match received {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        for event in first.into_iter().chain(events.try_iter()).take(MAX_BATCH) {
            if state.handle(event, clock.now()).is_break() {
                return;
            }
        }
        state.carry_out(clock.now());
    }
}
