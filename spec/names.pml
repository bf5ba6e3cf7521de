/* Leases on the names of best-effort jobs, so that no two entries run a job that its
 * caller has sent to both.
 *
 * A job's name has one home, which grants one lease at a time. A holder renews its
 * lease while it runs the job, and starts tasks only within MARGIN of a renewal; its
 * runs end at the latest OUTLAST after it was last alive. Any entry may get the request at any time, freeze, wake and be killed.
 *
 * Bounds: 1 job, 2 entries, 1 home. Time is in steps.
 * Not modelled: homes that are lost or not agreed on, for which entries go without
 * a lease.
 */

#define ENTRIES 2
#define NONE 255

#define OUTLAST 3
#define MARGIN 2
#define RENEWAL 1
#ifdef BUG_SHORT_LEASE
#define LEASE OUTLAST
#else
#define LEASE (OUTLAST + MARGIN)
#endif

byte holder = NONE;             /* at the home */
byte lease_left = 0;            /* at the home */
bool is_up[ENTRIES] = true;
bool has_job[ENTRIES] = false;
byte valid[ENTRIES] = 0;        /* how long tasks may start under the lease */
byte unrenewed[ENTRIES] = 0;    /* since the last renewal */
byte runs[ENTRIES] = 0;         /* how long its runs would go on if it were lost now */

#define is_free(e) (lease_left == 0 || holder == (e))
#ifdef BUG_STARTS_UNRENEWED
#define may_start(e) true
#else
#define may_start(e) (valid[e] > 0)
#endif
#define must_renew(e) (is_up[e] && has_job[e] && unrenewed[e] >= RENEWAL)

inline grant(e) {
    holder = e;
    lease_left = LEASE
}

inline release(e, left) {
    if
    :: holder == e && lease_left > left -> lease_left = left
    :: else
    fi
}

inline pass(e) {
    if :: valid[e] > 0 -> valid[e]-- :: else fi;
    if :: unrenewed[e] < RENEWAL -> unrenewed[e]++ :: else fi;
    if
    :: runs[e] > 0 && is_up[e] && has_job[e] -> runs[e] = OUTLAST
    :: runs[e] > 0 && !(is_up[e] && has_job[e]) -> runs[e]--
    :: runs[e] == 0
    fi
}

active proctype Time() {
    do
    :: atomic {
        !must_renew(0) && !must_renew(1) ->
        if :: lease_left > 0 -> lease_left-- :: else fi;
        pass(0);
        pass(1)
    }
    od
}

proctype Entry(byte e) {
    do
    :: atomic { is_up[e] && !has_job[e] && runs[e] == 0 && is_free(e) ->
        grant(e);
        if
        :: has_job[e] = true; valid[e] = MARGIN; unrenewed[e] = 0
        :: skip    /* the answer is lost */
        fi
    }
    :: atomic { is_up[e] && has_job[e] && runs[e] == 0 && may_start(e) ->
        runs[e] = OUTLAST;
        assert(runs[1 - e] == 0)
    }
    :: atomic { is_up[e] && has_job[e] ->
        if
        :: is_free(e) -> grant(e); valid[e] = MARGIN; unrenewed[e] = 0
        :: !is_free(e) -> has_job[e] = false
        fi
    }
    /* The job fails; its runs are being stopped. */
    :: atomic { is_up[e] && has_job[e] ->
        has_job[e] = false;
#ifdef BUG_RELEASES_AT_ONCE
        release(e, 0)
#else
        release(e, OUTLAST)
#endif
    }
    /* The job is complete. */
    :: atomic { is_up[e] && has_job[e] && runs[e] > 0 ->
        has_job[e] = false;
        runs[e] = 0;
        release(e, 0)
    }
    :: atomic { is_up[e] -> is_up[e] = false }
    :: atomic { !is_up[e] -> is_up[e] = true }
    :: atomic { !is_up[e] -> has_job[e] = false; valid[e] = 0 }
    od
}

init {
    atomic { run Entry(0); run Entry(1) }
}
