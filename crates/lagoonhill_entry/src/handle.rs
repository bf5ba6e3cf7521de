use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;

use lagoonhill_core::entry::{CallerId, Submission};
use tokio::sync::oneshot;

use crate::control::{CallerReply, ControlEvent, SubmissionKind};

/// Sends events to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    events: Sender<ControlEvent>,
    next_caller: Arc<AtomicU64>,
}

/// The control thread has ended.
#[derive(Debug, thiserror::Error)]
#[error("the entry has stopped: send the request again, another entry will take it")]
pub struct Stopped;

impl ControlHandle {
    pub(crate) fn new(events: Sender<ControlEvent>) -> Self {
        Self {
            events,
            next_caller: Arc::default(),
        }
    }

    /// Sends an event; returns whether the control thread still runs.
    pub(crate) fn send(&self, event: ControlEvent) -> bool {
        self.events.send(event).is_ok()
    }

    /// Sends an event that carries a reply channel, and waits for the reply.
    pub(crate) async fn request<T>(
        &self,
        make_event: impl FnOnce(oneshot::Sender<T>) -> ControlEvent,
    ) -> Result<T, Stopped> {
        let (sender, receiver) = oneshot::channel();
        self.send(make_event(sender));
        receiver.await.map_err(|_| Stopped)
    }

    /// Submits a job and waits for its reply. Dropping the future abandons the job.
    pub(crate) async fn submit(
        &self,
        kind: SubmissionKind,
        submission: Submission,
    ) -> Result<CallerReply, Stopped> {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let guard = AbandonOnDrop {
            handle: self.clone(),
            caller,
            armed: true,
        };
        let reply = self
            .request(|reply| ControlEvent::Submit {
                caller,
                kind,
                submission,
                reply,
            })
            .await;
        guard.disarm();
        reply
    }
}

/// Abandons a caller's job if the caller disconnects before the reply.
struct AbandonOnDrop {
    handle: ControlHandle,
    caller: CallerId,
    armed: bool,
}

impl AbandonOnDrop {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        if self.armed {
            self.handle.send(ControlEvent::Abandon(self.caller));
        }
    }
}
