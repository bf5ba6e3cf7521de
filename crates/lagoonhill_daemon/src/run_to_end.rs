use std::fmt;
use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;

use crate::logging;

/// Runs a command on its own runtime, then flushes the logs and prints the error,
/// if any, to standard error.
pub fn run_to_end<E: fmt::Display>(
    runtime: &mut Builder,
    command: impl Future<Output = Result<ExitCode, E>>,
) -> ExitCode {
    let runtime = match runtime.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("could not start the async runtime: {error}; raise the limit on processes");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(command);
    // Blocked worker threads must not delay the exit.
    runtime.shutdown_background();
    logging::flush();
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::FAILURE
    })
}
