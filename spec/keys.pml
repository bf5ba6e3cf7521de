/* Binding of a request key to an entry, so that the request starts at most once.
 *
 * The platform's create-if-absent takes effect or not, and its answer arrives
 * or not. A caller may submit through any entry, any number of times. An entry
 * may crash at each step; the next incarnation starts without state. Time is
 * abstracted: a binding may expire only once no entry can start the request any
 * more (its deadline has passed), which the settings guarantee.
 *
 * Bounds: 1 key, 2 entries, 2 incarnations each, 4 requests.
 * Not modelled: payloads and fingerprints, tickets (bound to an entry when they
 * are issued).
 */

#define ENTRIES 2
#define INCARNATIONS 2
#define OWNERS 4
#define REQUESTS 4
#define NONE 255

mtype = { Unknown, Mine, Finished, RefusedOnce }

byte bound = NONE;               /* the platform's value: the owner of the key */
byte incarnation[ENTRIES] = 0;
mtype record[OWNERS] = Unknown;  /* each incarnation's record of the key */
bool may_start[OWNERS] = false;  /* admitted, deadline not passed */
byte starts = 0;
byte requests = 0;
bool can_lapse = false;

#define owner_of(e, l) ((e) * INCARNATIONS + (l))

inline start_once(o) {
    starts++;
    assert(starts <= 1);
    record[o] = Finished
}

proctype Entry(byte e; byte l) {
    byte o, found;
    o = owner_of(e, l);
    do
    :: incarnation[e] == l && requests < REQUESTS ->
        atomic { requests < REQUESTS -> requests++ };
        if
        /* Answered from the record, without the platform. */
        :: record[o] == Finished -> skip
        :: record[o] != Finished ->
            /* Create if absent, or read the present value. */
            atomic {
                if
                :: incarnation[e] == l && bound == NONE -> bound = o; found = o
                :: incarnation[e] == l && bound != NONE -> found = bound
                :: incarnation[e] == l -> found = NONE     /* platform down: no effect, no answer */
                :: incarnation[e] == l && bound == NONE -> bound = o; found = NONE /* answer lost */
                :: incarnation[e] != l -> found = NONE
                fi
            };
            if
            :: found == o ->
                atomic {
                    if
                    :: incarnation[e] == l && record[o] != Finished -> may_start[o] = true
                    :: else
                    fi
                }
            :: found == NONE ->
#ifdef BUG_UNKNOWN_IS_MINE
                atomic { if :: incarnation[e] == l -> may_start[o] = true :: else fi }
#else
                skip    /* refused as not run; the caller may retry */
#endif
            :: found != NONE && found != o ->
#ifdef BUG_NO_FORWARD
                atomic { if :: incarnation[e] == l -> may_start[o] = true :: else fi }
#else
                /* Forwarded to the owner, if that incarnation still runs. */
                atomic {
                    if
                    :: incarnation[found / INCARNATIONS] == found % INCARNATIONS && record[found] != Finished ->
                        may_start[found] = true
                    :: else     /* refused as may have run; it won't start now */
                    fi
                }
#endif
            fi
        fi
    /* The admitted request starts, unless its entry crashed. */
    :: atomic {
        incarnation[e] == l && may_start[o] && record[o] != Finished ->
        start_once(o)
       }
#ifdef BUG_FORGETS_RECORD
    :: atomic { incarnation[e] == l && record[o] == Finished -> record[o] = Unknown; may_start[o] = false }
#endif
    /* The deadline passes before the start: refused as not run. */
    :: atomic { incarnation[e] == l && may_start[o] && record[o] != Finished -> may_start[o] = false }
    :: atomic { incarnation[e] == l && l + 1 < INCARNATIONS -> incarnation[e] = l + 1 }
    :: incarnation[e] != l -> break
    :: requests == REQUESTS && !may_start[o] -> break
    od
}

#ifdef BUG_LAPSES_EARLY
/* The binding expires while its owner can still start the request. */
active proctype Expiry() {
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
