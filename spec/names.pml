/* Leases on the names of best-effort jobs, so that no two entries run a job that its
 * caller has sent to both.
 *
 * A name has a first and a second home. A request goes to the first, and also to the
 * second if the first does not answer within a few milliseconds; either may grant. A
 * holder renews at both while it runs the job, and starts tasks only within MARGIN of a
 * renewal; its runs end at the latest OUTLAST after it was last alive. A second home that
 * records a lease passes it on to the first. The first home may be lost and be replaced by
 * one without leases, which passes requests on to the second home for GRACE. Any entry may
 * get the request at any time, freeze, wake and be killed.
 *
 * Bounds: 1 job, 2 entries, 2 homes, 1 loss of a home. Time is in steps.
 * Not modelled: a first home that is lost while only it knows the lease, within RENEWAL
 * of its first grant or of a job that failed within that time; both homes lost at once,
 * where entries go without a lease.
 */

#define ENTRIES 2
#define HOMES 2
#define FIRST 0
#define SECOND 1
#define NONE 255

#define OUTLAST 3
#define MARGIN 2
#define RENEWAL 1
#ifdef BUG_SHORT_LEASE
#define LEASE OUTLAST
#else
#define LEASE (OUTLAST + MARGIN)
#endif
/* A holder that is lost just before its renewal does not tell the home that has joined. */
#define GRACE LEASE

byte holder[HOMES] = NONE;
byte lease_left[HOMES] = 0;
bool is_first_up = true;
bool may_lose_home = true;
byte grace = 0;                 /* of the first home, after it has joined */
bool is_up[ENTRIES] = true;
bool has_job[ENTRIES] = false;
byte valid[ENTRIES] = 0;        /* how long tasks may start under the lease */
byte unrenewed[ENTRIES] = 0;    /* since the last renewal */
byte runs[ENTRIES] = 0;         /* how long its runs would go on if it were lost now */
bool is_known[ENTRIES] = false; /* the second home has recorded the lease of the job */

#define is_free(h, e) (lease_left[h] == 0 || holder[h] == (e))
#ifdef BUG_STARTS_UNRENEWED
#define may_start(e) true
#else
#define may_start(e) (valid[e] > 0)
#endif
#define must_renew(e) (is_up[e] && has_job[e] && unrenewed[e] >= RENEWAL)
#ifdef BUG_JOINS_AT_ONCE
#define in_grace false
#else
#define in_grace (grace > 0)
#endif
#ifdef BUG_ONE_HOME
#define renews_at_second !is_first_up
#else
#define renews_at_second true
#endif

#ifdef BUG_ONE_HOME
#define may_lose(e) true
#else
#define may_lose(e) ((!has_job[e] && runs[e] == 0) || is_known[e])
#endif

inline grant(h, e) {
    holder[h] = e;
    lease_left[h] = LEASE
}

inline release(h, e, left) {
    if
    :: holder[h] == e && lease_left[h] > left -> lease_left[h] = left
    :: else
    fi
}

inline hold(e, known) {
    has_job[e] = true;
    is_known[e] = known;
    valid[e] = MARGIN;
    unrenewed[e] = 0
}

inline end_job(e, left) {
    has_job[e] = false;
    release(FIRST, e, left);
    release(SECOND, e, left)
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

inline pass_lease(h) {
    if :: lease_left[h] > 0 -> lease_left[h]-- :: else fi
}

active proctype Time() {
    do
    :: atomic {
        !must_renew(0) && !must_renew(1) ->
        pass_lease(FIRST);
        pass_lease(SECOND);
        if :: grace > 0 -> grace-- :: else fi;
        pass(0);
        pass(1)
    }
    od
}

active proctype Home() {
    do
    :: atomic { may_lose_home && is_first_up && may_lose(0) && may_lose(1) ->
        may_lose_home = false;
        is_first_up = false;
        holder[FIRST] = NONE;
        lease_left[FIRST] = 0
    }
    :: atomic { !is_first_up ->
        is_first_up = true;
        grace = GRACE
    }
    od
}

proctype Entry(byte e) {
    do
    /* The first home answers. */
    :: atomic { is_up[e] && !has_job[e] && runs[e] == 0 && is_first_up && !in_grace &&
            is_free(FIRST, e) ->
        grant(FIRST, e);
        if
        :: hold(e, false)
        :: skip    /* the answer is lost */
        fi
    }
    /* The first home does not answer in time, is lost, or passes requests on. */
    :: atomic { is_up[e] && !has_job[e] && runs[e] == 0 && is_free(SECOND, e) ->
        grant(SECOND, e);
        if
#ifndef BUG_NO_PASS_ON
        :: is_first_up && is_free(FIRST, e) -> grant(FIRST, e); hold(e, true)
        /* The refusal of the first home. */
        :: is_first_up && !is_free(FIRST, e) -> release(SECOND, e, 0)
        :: !is_first_up -> hold(e, true)
#else
        :: hold(e, true)
#endif
        :: skip    /* the answer is lost */
        fi
    }
    :: atomic { is_up[e] && has_job[e] && runs[e] == 0 && may_start(e) ->
        runs[e] = OUTLAST;
        assert(runs[1 - e] == 0)
    }
    :: atomic { is_up[e] && has_job[e] ->
        if
        :: (is_first_up && !is_free(FIRST, e)) || (renews_at_second && !is_free(SECOND, e)) ->
            end_job(e, OUTLAST)
        :: else ->
            if :: is_first_up -> grant(FIRST, e) :: else fi;
            if :: renews_at_second -> grant(SECOND, e); is_known[e] = true :: else fi;
            valid[e] = MARGIN;
            unrenewed[e] = 0
        fi
    }
    /* The job fails; its runs are being stopped. */
    :: atomic { is_up[e] && has_job[e] ->
#ifdef BUG_RELEASES_AT_ONCE
        end_job(e, 0)
#else
        end_job(e, OUTLAST)
#endif
    }
    /* The job is complete. */
    :: atomic { is_up[e] && has_job[e] && runs[e] > 0 ->
        runs[e] = 0;
        end_job(e, 0)
    }
    :: atomic { is_up[e] -> is_up[e] = false }
    :: atomic { !is_up[e] -> is_up[e] = true }
    :: atomic { !is_up[e] -> has_job[e] = false; valid[e] = 0 }
    od
}

init {
    atomic { run Entry(0); run Entry(1) }
}
