/* Drains of one availability zone, set and ended by operators beside the rules, and
 * their adoption by two entries and by an agent in the zone.
 *
 * What a process knows is a pair: a revision of the store, and whether the zone is
 * drained as of it. Entries learn pairs from listings and watch events of the
 * store, late and in any order, and from each other; the agent learns them from
 * entries and tells them back.
 *
 * Bounds: 3 edits, 2 entries that learn 3 pairs each, 1 agent that is told 2.
 * Not modelled: several zones (each is ordered like this one), and the time within
 * which a drain is known.
 */

#define EDITS 3
#define LEARNED 3
#define TOLD 2
#define PROCESSES 3
#define AGENT 2

byte revision = 1;
bool drained = false;
bool history[8];                 /* whether the zone is drained, at each revision */

byte known[PROCESSES] = 0;       /* 0: nothing yet */
bool is_drained[PROCESSES] = false;

proctype Operator() {
    byte edits = 0;
    do
    :: edits < EDITS ->
        atomic {
            edits++;
            drained = !drained;
            revision++;
            history[revision] = drained
        }
    :: edits < EDITS ->          /* another key changes */
        atomic { edits++; revision++; history[revision] = drained }
    :: edits >= EDITS -> break
    od
}

inline install(p, at, value) {
    atomic {
        if
#ifdef BUG_TAKES_LOWER
        :: at > 0 ->
#else
        :: at > known[p] ->
#endif
            /* What is in force never goes back. */
            assert(at >= known[p]);
            known[p] = at;
#ifdef BUG_LIST_KEEPS_REMOVED
            is_drained[p] = is_drained[p] || value;
#else
            is_drained[p] = value;
#endif
            /* It is what operators had asked for at that revision. */
            assert(is_drained[p] == history[at])
        :: else
        fi
    }
}

proctype Entry(byte p) {
    byte at, steps;
    bool value;
    do
    :: steps < LEARNED ->
        steps++;
        if
        :: atomic { at = revision; value = drained };      /* a listing */
#ifdef BUG_LABELS_AT_ARRIVAL
            at = revision
#else
            skip
#endif
        :: atomic {                                        /* an event, maybe late */
                select(at : 1 .. 4);
                if
                :: at <= revision -> value = history[at]
                :: else -> at = 0
                fi
            }
        :: atomic { at = known[1 - p]; value = is_drained[1 - p] }
        :: atomic { at = known[AGENT]; value = is_drained[AGENT] }
        fi;
        install(p, at, value)
    :: steps >= LEARNED -> break
    od
}

proctype Agent() {
    byte at, steps;
    bool value;
    byte drained_at = 0;         /* highest revision at which it knew of a drain */
    do
    :: steps < TOLD ->
        steps++;
        if
        :: atomic { at = known[0]; value = is_drained[0] }
        :: atomic { at = known[1]; value = is_drained[1] }
        fi;
        install(AGENT, at, value);
        atomic {
            if
            :: is_drained[AGENT] -> drained_at = known[AGENT]
            :: else ->
                /* A task may start here: only a later edit has ended the drain. */
                assert(drained_at == 0 || known[AGENT] > drained_at)
            fi
        }
    :: steps >= TOLD -> break
    od
}

init {
    atomic {
        run Operator();
        run Entry(0);
        run Entry(1);
        run Agent()
    }
}
