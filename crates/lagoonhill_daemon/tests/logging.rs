//! The queue of log lines: it is bounded, never blocks and reports dropped lines.

use lagoonhill_daemon::logging::LineQueue;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

cases! {
    a_full_queue_drops_lines_and_reports_their_number => {
        let (queue, reader) = LineQueue::new(3);
        for number in 0..10 {
            queue.push(format!("line {number}\n").into_bytes());
        }
        let batch = reader.next_batch().expect("the queue is open");
        let text = String::from_utf8(batch.lines).expect("text");
        assert_eq!(text, "line 0\nline 1\nline 2\nlog lines dropped=7\n");
    }

    dropped_lines_are_reported_once => {
        let (queue, reader) = LineQueue::new(1);
        queue.push(b"a\n".to_vec());
        queue.push(b"b\n".to_vec());
        reader.next_batch().expect("the queue is open");
        queue.push(b"c\n".to_vec());
        let batch = reader.next_batch().expect("the queue is open");
        assert_eq!(batch.lines, b"c\n");
    }

    a_closed_queue_ends_its_reader => {
        let (queue, reader) = LineQueue::new(1);
        queue.push(b"a\n".to_vec());
        drop(queue);
        assert!(reader.next_batch().is_some());
        assert!(reader.next_batch().is_none());
    }
}
