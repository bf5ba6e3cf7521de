//! Losses of the target, as this agent reports them to entries.

use lagoonhill_protocol::{Feature, Interruption, Message, TargetAnswered, TaskResult};

use super::Agent;
use crate::agent::EntryKey;

impl Agent {
    /// Handles that the target has answered as another incarnation, or again after a loss.
    pub fn target_answered(&mut self, answered: TargetAnswered) {
        let message = Message::TargetAnswered(answered.clone());
        self.answered = Some(answered);
        let readers = self.entries.values_mut().filter(|link| link.reads_losses);
        for session in readers.filter_map(|link| link.session.as_mut()) {
            session.push(message.clone());
        }
    }

    /// Handles a feature that an entry has announced, at the start of a session.
    pub(super) fn on_feature(&mut self, key: EntryKey, feature: Feature) {
        match feature {
            Feature::TargetLosses => {
                let answered = self.answered.clone().map(Message::TargetAnswered);
                let Some(link) = self.entries.get_mut(key) else {
                    return;
                };
                link.reads_losses = true;
                if let (Some(session), Some(answered)) = (&mut link.session, answered) {
                    session.push(answered);
                }
            }
        }
    }

    /// The result of a run in the form that its entry reads. A target that ends while
    /// operators drain its zone, or while this machine shuts down, was not lost.
    pub(super) fn result_for(&self, entry: EntryKey, result: TaskResult) -> TaskResult {
        let TaskResult::Interrupted(why) = &result else {
            return result;
        };
        let interruption = Interruption::from(why.as_str());
        if matches!(interruption, Interruption::Other(_)) {
            return result;
        }
        if self.leaving || self.is_zone_drained() {
            return TaskResult::Interrupted("its target has ended".to_owned());
        }
        if self
            .entries
            .get(entry)
            .is_some_and(|link| link.reads_losses)
        {
            return result;
        }
        TaskResult::Interrupted(interruption.for_earlier_release().to_string())
    }
}
