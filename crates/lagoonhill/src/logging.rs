use logforth::append;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

use crate::settings::{LogFormat, LogLevel};

/// Sends log records to standard error, as text or JSON.
pub(crate) fn start(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let builder = logforth::starter_log::builder();
    match format {
        LogFormat::Text => builder
            .dispatch(|dispatch| {
                let layout = TextLayout::default().no_color();
                dispatch
                    .filter(filter)
                    .append(append::Stderr::default().with_layout(layout))
            })
            .apply(),
        LogFormat::Json => builder
            .dispatch(|dispatch| {
                let layout = JsonLayout::default();
                dispatch
                    .filter(filter)
                    .append(append::Stderr::default().with_layout(layout))
            })
            .apply(),
    }
}
