/* Editing of the rules with compare-and-swap, and their adoption by processes.
 *
 * Two operators each make one edit of a line of their own. A write may take
 * effect without an answer. Processes receive revisions from the platform and
 * from each other, late and in any order.
 *
 * Bounds: 2 operators, 3 attempts each, 2 processes that receive three revisions
 * each.
 * Not modelled: line texts (an edit is a bit), conflicting edits of one line
 * (refused).
 */

#define OPERATORS 2
#define ATTEMPTS 3
#define PROCESSES 2

byte revision = 0;               /* the platform's value ... */
byte lines = 0;                  /* ... one bit for each operator's line */
byte applied[OPERATORS] = 0;     /* how often each edit took effect */
bool accepted[OPERATORS] = false;

byte history[8];                 /* the lines at each revision */
byte in_force[PROCESSES] = 0;

#define line_of(o) (1 << (o))

proctype Operator(byte o) {
    byte seen, seen_lines, attempt;
    do
    :: attempt < ATTEMPTS && !accepted[o] ->
        attempt++;
        atomic { seen = revision; seen_lines = lines };
        if
#ifndef BUG_BLIND_RETRY
        /* The edit's id is already stored: the write without an answer succeeded. */
        :: (seen_lines & line_of(o)) -> accepted[o] = true
#endif
        :: else ->
            atomic {
                if
#ifdef BUG_NO_SWAP
                :: true ->
#else
                :: revision == seen ->
#endif
                    lines = seen_lines | line_of(o);
                    revision++;
                    history[revision] = lines;
                    applied[o]++;
                    assert(applied[o] <= 1);
                    /* An accepted line is never lost. */
                    assert(!accepted[0] || (lines & line_of(0)));
                    assert(!accepted[1] || (lines & line_of(1)));
                    if
                    :: accepted[o] = true
                    :: skip     /* the answer is lost */
                    fi
                :: else         /* conflict: read again */
                fi
            }
        fi
    :: else -> break
    od
}

proctype Process(byte p) {
    byte received, steps;
    do
    :: steps < 3 ->
        steps++;
        /* Receives the platform's value, or a peer's older one. */
        if
        :: received = revision
        :: received = in_force[1 - p]
        :: received = 1
        fi;
        atomic {
            if
#ifdef BUG_TAKES_LOWER
            :: received <= revision && received > 0 ->
#else
            :: received <= revision && received > in_force[p] ->
#endif
                /* No line in force is ever removed. */
                assert((history[in_force[p]] & ~history[received]) == 0);
                assert(received >= in_force[p]);
                in_force[p] = received
            :: else
            fi
        }
    :: steps >= 3 -> break
    od
}

init {
    atomic {
        run Operator(0);
        run Operator(1);
        run Process(0);
        run Process(1)
    }
}
