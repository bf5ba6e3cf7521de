use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Lines that wait to be written at most; later ones are dropped and counted.
pub const LOG_QUEUE_LINES: usize = 8_192;

/// Pause between two writes, so that one write takes many lines.
const WRITE_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for the lines that are left when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Everything before this is to be written, then this is to be answered.
    Flush(SyncSender<()>),
}

/// A bounded queue of log lines. Adding never waits.
#[derive(Clone, Debug)]
pub struct LineQueue {
    entries: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// A queue of at most `limit` lines, and its reader's end.
    pub fn new(limit: usize) -> (Self, LineReader) {
        let (entries, receiver) = sync_channel(limit);
        let dropped = Arc::new(AtomicU64::new(0));
        let queue = Self {
            entries,
            dropped: Arc::clone(&dropped),
        };
        (queue, LineReader { receiver, dropped })
    }

    /// Adds a line, or counts it as dropped when the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.entries.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until everything has been written, for a while at most.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.entries.try_send(Entry::Flush(done)).is_ok() {
            // A reader that is stuck must not hold up the end of the process.
            let _ = written.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// The reader's end of a [`LineQueue`].
#[derive(Debug)]
pub struct LineReader {
    receiver: Receiver<Entry>,
    dropped: Arc<AtomicU64>,
}

impl LineReader {
    /// Waits for lines and returns all there are, with a line that says how
    /// many were dropped; `None` once the queue is closed.
    pub fn next_batch(&self) -> Option<Batch> {
        let mut batch = Batch::default();
        let first = self.receiver.recv().ok()?;
        for entry in std::iter::once(first).chain(self.receiver.try_iter()) {
            match entry {
                Entry::Line(line) => batch.lines.extend_from_slice(&line),
                Entry::Flush(done) => batch.flushed.push(done),
            }
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch
                .lines
                .extend_from_slice(format!("log lines dropped={dropped}\n").as_bytes());
        }
        Some(batch)
    }
}

/// Lines to be written at once.
#[derive(Debug, Default)]
pub struct Batch {
    /// The lines.
    pub lines: Vec<u8>,
    flushed: Vec<SyncSender<()>>,
}

/// Writes records to standard output on a thread of its own.
#[derive(Debug)]
pub struct QueuedStdout {
    layout: Box<dyn Layout>,
    queue: LineQueue,
}

impl QueuedStdout {
    /// Starts the writing thread. Without one, every line counts as dropped.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (queue, reader) = LineQueue::new(LOG_QUEUE_LINES);
        let write = move || {
            while let Some(batch) = reader.next_batch() {
                // There is nowhere left to complain to.
                let _ = io::stdout().write_all(&batch.lines);
                let _ = io::stdout().flush();
                for done in batch.flushed {
                    let _ = done.send(());
                }
                thread::sleep(WRITE_PAUSE);
            }
        };
        if let Err(error) = thread::Builder::new().name("log".to_owned()).spawn(write) {
            eprintln!("could not start the log's thread: {error}; logs are lost");
        }
        Self {
            layout: layout.into(),
            queue,
        }
    }
}

impl Append for QueuedStdout {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        self.queue.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush();
        Ok(())
    }
}
