/* Binding a caller's key to an entry, and starting its request at most once.
 *
 * The platform's create-if-absent takes effect or not, and its answer arrives
 * or not. A caller asks through any entry, any number of times. An entry may
 * die at each step; a new one knows nothing. Time is abstracted: a binding may
 * lapse only once no entry can start the request any more (its deadline has
 * passed), which the settings guarantee.
 *
 * Bounds: 1 key, 2 entries, 2 lives each, 4 requests.
 * Left out: payloads and fingerprints, tickets (a key bound at birth).
 */

#define ENTRIES 2
#define LIVES 2
#define OWNERS 4
#define REQUESTS 4
#define NONE 255

mtype = { Unknown, Mine, Finished, RefusedOnce }

byte bound = NONE;               /* the platform's value */
byte life[ENTRIES] = 0;
mtype record[OWNERS] = Unknown;  /* what each incarnation knows of the key */
bool may_start[OWNERS] = false;  /* admitted, deadline not passed */
byte starts = 0;
byte requests = 0;
bool can_lapse = false;

#define owner_of(e, l) ((e) * LIVES + (l))

inline start_once(o) {
    starts++;
    assert(starts <= 1);
    record[o] = Finished
}

proctype Entry(byte e; byte l) {
    byte o, found;
    o = owner_of(e, l);
    do
    :: life[e] == l && requests < REQUESTS ->
        atomic { requests < REQUESTS -> requests++ };
        if
        /* A record answers repetitions without the platform. */
        :: record[o] == Finished -> skip
        :: record[o] != Finished ->
            /* Create if absent, or read what stands there. */
            atomic {
                if
                :: life[e] == l && bound == NONE -> bound = o; found = o
                :: life[e] == l && bound != NONE -> found = bound
                :: life[e] == l -> found = NONE     /* down: no effect, no answer */
                :: life[e] == l && bound == NONE -> bound = o; found = NONE /* answer lost */
                :: life[e] != l -> found = NONE
                fi
            };
            if
            :: found == o ->
                atomic {
                    if
                    :: life[e] == l && record[o] != Finished -> may_start[o] = true
                    :: else
                    fi
                }
            :: found == NONE ->
#ifdef BUG_UNKNOWN_IS_MINE
                atomic { if :: life[e] == l -> may_start[o] = true :: else fi }
#else
                skip    /* refused: not run, come back later */
#endif
            :: found != NONE && found != o ->
#ifdef BUG_NO_FORWARD
                atomic { if :: life[e] == l -> may_start[o] = true :: else fi }
#else
                /* Handed to the owner, if that incarnation still lives. */
                atomic {
                    if
                    :: life[found / LIVES] == found % LIVES && record[found] != Finished ->
                        may_start[found] = true
                    :: else     /* may have run, will not run */
                    fi
                }
#endif
            fi
        fi
    /* The admitted request starts, unless its entry died. */
    :: atomic {
        life[e] == l && may_start[o] && record[o] != Finished ->
        start_once(o)
       }
#ifdef BUG_FORGETS_RECORD
    :: atomic { life[e] == l && record[o] == Finished -> record[o] = Unknown; may_start[o] = false }
#endif
    /* The deadline passes before the start: refused, not run. */
    :: atomic { life[e] == l && may_start[o] && record[o] != Finished -> may_start[o] = false }
    :: atomic { life[e] == l && l + 1 < LIVES -> life[e] = l + 1 }
    :: life[e] != l -> break
    :: requests == REQUESTS && !may_start[o] -> break
    od
}

#ifdef BUG_LAPSES_EARLY
/* The binding lapses while its owner can still start. */
active proctype Lapse() {
    atomic { bound != NONE -> bound = NONE }
}
#endif

init {
    atomic {
        run Entry(0, 0);
        run Entry(1, 0);
        run Entry(0, 1);
        run Entry(1, 1)
    }
}
