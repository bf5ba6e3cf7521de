//! The command `analyze`.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::ExitCode;

use jiff::Timestamp;
use lagoonhill_operator::{AnalysisOptions, LogAnalysis, LogLine};

use crate::cli::AnalyzeOptions;
use crate::commands::STDIN_PATH;

/// Reads the logs, merged by time, and prints what they tell.
pub(crate) fn analyze(options: &AnalyzeOptions) -> Result<ExitCode, String> {
    let mut analysis = LogAnalysis::new(AnalysisOptions {
        by: options.by,
        from_s: options.from,
        to_s: options.to,
    });
    let stdin = [STDIN_PATH.to_owned()];
    let paths = if options.logs.is_empty() {
        &stdin[..]
    } else {
        &options.logs
    };
    let sources: Result<Vec<LogSource>, String> =
        paths.iter().map(|path| LogSource::open(path)).collect();
    merge(&mut sources?, &mut analysis)
        .map_err(|error| format!("a log can't be read further: {error}"))?;
    let report = analysis.finish();
    if options.json {
        println!("{}", report.to_json());
    } else {
        print!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Passes on the lines of all logs in the order of their time.
fn merge(sources: &mut [LogSource], analysis: &mut LogAnalysis) -> io::Result<()> {
    for source in &mut *sources {
        source.advance(analysis)?;
    }
    loop {
        let waiting = sources.iter_mut().filter(|source| source.next.is_some());
        let Some(source) = waiting.min_by_key(|source| source.next_at()) else {
            return Ok(());
        };
        if let Some(line) = source.next.take() {
            analysis.push(&source.process, &line);
        }
        source.advance(analysis)?;
    }
}

/// A log that is read line by line.
struct LogSource {
    process: String,
    input: Box<dyn BufRead>,
    next: Option<LogLine>,
}

impl LogSource {
    fn open(path: &str) -> Result<Self, String> {
        let input: Box<dyn BufRead> = if path == STDIN_PATH {
            Box::new(io::stdin().lock())
        } else {
            let file = File::open(path);
            let file = file.map_err(|error| format!("{path}: {error}; check the file's name"))?;
            Box::new(BufReader::new(file))
        };
        let process = Path::new(path).file_stem().unwrap_or_default();
        Ok(Self {
            process: process.to_string_lossy().into_owned(),
            input,
            next: None,
        })
    }

    /// Time of the next line; lines without one come first.
    fn next_at(&self) -> Option<Timestamp> {
        self.next.as_ref().and_then(|line| line.at)
    }

    /// Reads the next line in the log format.
    fn advance(&mut self, analysis: &mut LogAnalysis) -> io::Result<()> {
        let mut bytes = Vec::new();
        while self.input.read_until(b'\n', &mut bytes)? > 0 {
            // A damaged line may hold bytes that are not text.
            let text = String::from_utf8_lossy(&bytes);
            self.next = LogLine::parse(&text);
            if self.next.is_some() {
                return Ok(());
            }
            if !text.trim().is_empty() {
                analysis.push_damaged();
            }
            bytes.clear();
        }
        Ok(())
    }
}
