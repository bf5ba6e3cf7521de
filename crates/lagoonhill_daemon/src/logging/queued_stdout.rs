//! Log appender that queues lines for a writer thread.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Maximum number of queued lines. Further lines are dropped and counted.
pub const LOG_QUEUE_LINES: usize = 8_192;

/// Pause between two writes, so that one write takes many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for queued lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum QueueItem {
    Line(Vec<u8>),
    /// Request to signal the sender once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// A bounded queue of log lines. Pushing never blocks.
#[derive(Clone, Debug)]
pub struct LineQueue {
    items: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Creates a queue of at most `limit` lines, and its reader.
    pub fn new(limit: usize) -> (Self, LineReader) {
        let (items, receiver) = sync_channel(limit);
        let dropped = Arc::new(AtomicU64::new(0));
        let queue = Self {
            items,
            dropped: Arc::clone(&dropped),
        };
        (queue, LineReader { receiver, dropped })
    }

    /// Adds a line, or counts it as dropped when the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.items.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, for at most [`FLUSH_TIMEOUT`].
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.items.try_send(QueueItem::Flush(done)).is_ok() {
            // A blocked reader must not delay the exit of the process.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// The receiving end of a [`LineQueue`].
#[derive(Debug)]
pub struct LineReader {
    receiver: Receiver<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl LineReader {
    /// Waits for lines and returns all that are queued, followed by a line with
    /// the number of dropped lines, if any. Returns `None` once the queue is closed.
    pub fn next_batch(&self) -> Option<Batch> {
        let mut batch = Batch::default();
        let first = self.receiver.recv().ok()?;
        for item in std::iter::once(first).chain(self.receiver.try_iter()) {
            match item {
                QueueItem::Line(line) => batch.lines.extend_from_slice(&line),
                QueueItem::Flush(done) => batch.flush_waiters.push(done),
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

/// Lines to write at once.
#[derive(Debug, Default)]
pub struct Batch {
    /// The lines, each with its line break.
    pub lines: Vec<u8>,
    flush_waiters: Vec<SyncSender<()>>,
}

/// Appender that writes records to standard output on its own thread.
#[derive(Debug)]
pub struct QueuedStdout {
    layout: Box<dyn Layout>,
    queue: LineQueue,
}

impl QueuedStdout {
    /// Starts the writer thread. If that fails, every line is dropped.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (queue, reader) = LineQueue::new(LOG_QUEUE_LINES);
        let write = move || {
            while let Some(batch) = reader.next_batch() {
                // There is no other place to report a write error.
                let _ = io::stdout().write_all(&batch.lines);
                let _ = io::stdout().flush();
                for done in batch.flush_waiters {
                    let _ = done.send(());
                }
                thread::sleep(WRITE_INTERVAL);
            }
        };
        if let Err(error) = thread::Builder::new().name("log".to_owned()).spawn(write) {
            eprintln!("could not start the log thread: {error}; logs are lost");
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
