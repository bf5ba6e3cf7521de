//! The event loop of a daemon's control thread.

use std::ops::ControlFlow;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use lagoonhill_types::prelude::*;

use crate::StartError;

/// Interval at which timers run.
const TICK_INTERVAL: DurationMs = DurationMs(20);

/// Maximum number of events handled before effects are applied.
const MAX_BATCH: usize = 512;

/// State owned by one thread and changed only through events sent to it.
pub trait ControlState {
    /// Event sent to the thread.
    type Event;

    /// Runs timers that are due.
    fn tick(&mut self, now: TimestampMs);

    /// Handles an event. Returns `Break` to end the thread.
    fn handle(&mut self, event: Self::Event, now: TimestampMs) -> ControlFlow<()>;

    /// Applies the effects requested by events and timers.
    fn carry_out(&mut self, now: TimestampMs);
}

/// Runs the event loop on a new thread, until the state breaks or all senders are
/// dropped.
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
    let mut next_tick = clock.now() + TICK_INTERVAL;
    loop {
        let wait = Duration::from(next_tick.since(clock.now()));
        let received = events.recv_timeout(wait);
        // If the process was frozen, timers run before queued events, so that no
        // event is judged by deadlines that the freeze has delayed.
        if clock.now() >= next_tick {
            state.tick(clock.now());
            next_tick = clock.now() + TICK_INTERVAL;
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
