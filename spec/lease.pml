/* Run leases: a task is never at work on two targets at once, though packets
 * are late, lost or overtaken, agents freeze, and entries can't see agents.
 *
 * One entry, one task, two workers, each an agent and its target. Time is a
 * counter that may advance between any two steps, so everything may be late.
 * An agent renews its target's lease only while something that it sent itself
 * within LEASE has been answered; a target ends by itself what holds no lease.
 * The entry gives a worker up whenever it likes: that ends their session, and
 * the task runs elsewhere once LEASE and HOLD have passed since it heard of the
 * worker last. An agent drops the orders of a session that has ended.
 *
 * Left out: failures of tasks, several tasks and entries, clocks that drift
 * (the code adds a margin to HOLD), restarts of agents and targets.
 */

#define LEASE 1
#define HOLD  1
#define END   5
#define MOVES 1   /* how often the entry gives a worker up */
#define NONE  2

byte now;

/* Agents. */
byte mine[2];        /* the session that the agent knows */
byte answered[2];    /* the newest of its own times that the entry has echoed */
byte beat[2];        /* when it sent last: once in each moment is enough */
bool ordered[2];     /* holds an order that it has not started */
/* Targets: at work until then; 0 is never. */
byte until[2];

/* The entry. */
byte session[2];
byte shown[2];       /* the newest time of sending seen of each worker */
byte heard[2];       /* when that was seen */
byte at = NONE;      /* the worker that the task is ordered from */
byte from = NONE;    /* the worker that was given up, until its run is over */
byte moves;
bool news[2];        /* something that the worker has not been told */

/* Packets under way: their order and their delay are arbitrary. */
chan to_agent[2] = [1] of { byte, byte, bool };   /* session, echo, is an order */
chan to_entry[2] = [1] of { byte, byte };         /* session, time of sending */

#define ANSWERED(w) (now <= answered[w] + LEASE && answered[w] > 0)

#ifdef BUG_STARTS_UNCONFIRMED
#define MAY_START(w) true
#else
#define MAY_START(w) ANSWERED(w)
#endif

#ifdef BUG_RENEWS_UNANSWERED
#define MAY_RENEW(w) true
#else
#define MAY_RENEW(w) ANSWERED(w)
#endif

#ifdef BUG_OVER_AT_ONCE
#define IS_OVER(w) true
#else
#define IS_OVER(w) (now > heard[w] + LEASE + HOLD)
#endif

#define AT_WORK(w) (until[w] >= now && until[w] > 0)

inline check() { assert(!(AT_WORK(0) && AT_WORK(1))) }

active proctype clock() {
  do
  :: atomic { now < END -> now++; check() }
  :: now == END -> break
  od
}

active [2] proctype agent() {
  byte me = _pid - 1;
  byte id;
  byte echo;
  bool is_order;
  do
  /* A beat, or any other frame. */
  :: atomic { now < END && now > beat[me] && nfull(to_entry[me]) ->
       beat[me] = now; to_entry[me]!mine[me], now }
  /* A frame of the entry. */
  :: atomic { to_agent[me]?id, echo, is_order ->
       if
       :: id > mine[me] -> mine[me] = id; answered[me] = 0; ordered[me] = false
       :: else
       fi;
       if
       :: id == mine[me] ->
#ifdef BUG_COUNTS_FROM_ARRIVAL
          answered[me] = now;
#else
          if
          :: echo > answered[me] -> answered[me] = echo
          :: else
          fi;
#endif
          if
          :: is_order -> ordered[me] = true
          :: else
          fi
       :: else
       fi;
       id = 0; echo = 0; is_order = false }
  /* An order is started. */
  :: atomic { ordered[me] && MAY_START(me) -> ordered[me] = false; until[me] = now + HOLD; check() }
  /* The target's lease is renewed while it lasts. */
  :: atomic { AT_WORK(me) && until[me] < now + HOLD && MAY_RENEW(me) -> until[me] = now + HOLD; check() }
  :: now == END -> break
  od
}

active proctype entry() {
  byte id;
  byte sent;
  byte w;
  do
  :: atomic { now < END ->
     if
     :: w = 0
     :: w = 1
     fi;
     if
     /* Takes a frame of a worker. */
     :: to_entry[w]?id, sent ->
        if
        :: id == session[w] && sent > shown[w] -> shown[w] = sent; heard[w] = now; news[w] = true
        :: else
        fi;
        id = 0; sent = 0
     /* Answers, or tells of a new session. */
     :: news[w] && nfull(to_agent[w]) -> news[w] = false; to_agent[w]!session[w], shown[w], false
     /* Orders the task, at first or once it is over elsewhere. */
     :: at == NONE && shown[w] > 0 && nfull(to_agent[w]) && (from == NONE || IS_OVER(from)) ->
        at = w; from = NONE; to_agent[w]!session[w], shown[w], true
     /* Gives the worker up. */
     :: at == w && moves < MOVES ->
        at = NONE; from = w; moves++; session[w]++; shown[w] = 0; news[w] = true
     :: else
     fi;
     w = 0 }
  :: now == END -> break
  od
}
