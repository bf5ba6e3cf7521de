//! Structured logs on standard output. The queue is bounded, and logging never
//! blocks the caller.

mod queued_stdout;
mod settings;

use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

pub use queued_stdout::{Batch, LOG_QUEUE_LINES, LineQueue, LineReader, QueuedStdout};
pub use settings::{LogFormat, LogLevel};

/// Installs the logger, which writes to standard output as text or JSON.
pub fn start(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let stdout = match format {
        LogFormat::Text => QueuedStdout::start(TextLayout::default().no_color()),
        LogFormat::Json => QueuedStdout::start(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stdout))
        .apply();
}

/// Writes queued lines. Call before the process exits.
pub fn flush() {
    log::logger().flush();
}
