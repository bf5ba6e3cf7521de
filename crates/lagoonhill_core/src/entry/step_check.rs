//! Checks of the steps of a job that comes from outside this process.

use super::Step;

/// Most steps of a job, and most tasks. Tasks and steps are numbered with 16 bits.
const MAX_STEPS_AND_TASKS: usize = 10_000;

/// Why the steps of a job can't be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSteps {
    /// There are too many steps.
    #[error("it has {0} steps: send at most {MAX_STEPS_AND_TASKS}")]
    TooManySteps(usize),
    /// There are too many tasks.
    #[error("it has {0} tasks: send at most {MAX_STEPS_AND_TASKS}")]
    TooManyTasks(usize),
    /// A step waits for itself or a later one, or for one that does not exist.
    #[error("step {0} comes after itself or a later one: order the steps")]
    NotInOrder(usize),
}

impl Step {
    /// Checks the steps of one job, and returns the number of its tasks.
    pub fn check_all(steps: &[Self]) -> Result<usize, InvalidSteps> {
        if steps.len() > MAX_STEPS_AND_TASKS {
            return Err(InvalidSteps::TooManySteps(steps.len()));
        }
        let is_earlier = |position: usize| move |after: &u16| usize::from(*after) < position;
        for (position, step) in steps.iter().enumerate() {
            if !step.after.iter().all(is_earlier(position)) {
                return Err(InvalidSteps::NotInOrder(position));
            }
        }
        let count = steps.iter().map(|step| usize::from(step.count)).sum();
        if count > MAX_STEPS_AND_TASKS {
            return Err(InvalidSteps::TooManyTasks(count));
        }
        Ok(count)
    }
}
