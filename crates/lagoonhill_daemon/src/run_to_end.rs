use std::fmt;
use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;

use crate::logging;

/// Runs a command on a runtime of its own, writes what is left of the logs, and
/// tells the user why it failed, if it did.
pub fn run_to_end<E: fmt::Display>(
    runtime: &mut Builder,
    command: impl Future<Output = Result<ExitCode, E>>,
) -> ExitCode {
    let runtime = match runtime.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("could not start the runtime: {error}; raise the limit on processes");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(command);
    // Blocked helper threads must not hold up the exit.
    runtime.shutdown_background();
    logging::flush();
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::FAILURE
    })
}
