/* Run leases: a task never runs on two targets at once, even if packets are late,
 * lost or reordered, agents freeze, or entries can't reach agents.
 *
 * One entry, one task, two workers, each an agent and its target. Time is a
 * counter that may advance between any two steps, so that any step may be late.
 * An agent renews its target's lease only while the entry has answered a frame
 * that the agent sent within the last LEASE; a target stops a run whose lease has
 * expired. The entry may abandon a worker at any time: that ends their session,
 * and the task runs elsewhere once LEASE and HOLD have passed since the entry last
 * received from the worker. An agent drops the tasks of an ended session.
 *
 * Not modelled: failures of tasks, several tasks and entries, clocks that drift
 * (the code adds a margin to HOLD), restarts of agents and targets.
 */

#define LEASE 1
#define HOLD  1
#define END   5
#define MOVES 1   /* how often the entry may abandon a worker */
#define NONE  2

byte now;

/* Agents. */
byte agent_session[2];    /* session that the agent knows */
byte echoed[2];           /* latest of its own send times that the entry has echoed */
byte last_sent[2];        /* time of its last frame; one per time step is enough */
bool has_task[2];         /* has a dispatched task that it has not started */
/* Targets: end of the run's lease; 0 is no run. */
byte until[2];

/* The entry. */
byte session[2];
byte newest_sent[2];      /* latest send time received from each worker */
byte received_at[2];      /* when that was received */
byte assigned = NONE;     /* worker that the task is dispatched to */
byte abandoned = NONE;    /* abandoned worker, until its run has certainly ended */
byte moves;
bool frame_due[2];        /* a frame to the worker is due */

/* Packets in flight: their order and their delay are arbitrary. */
chan to_agent[2] = [1] of { byte, byte, bool };   /* session, echo, carries the task */
chan to_entry[2] = [1] of { byte, byte };         /* session, send time */

#define ANSWERED(w) (now <= echoed[w] + LEASE && echoed[w] > 0)

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
#define IS_OVER(w) (now > received_at[w] + LEASE + HOLD)
#endif

#define IS_RUNNING(w) (until[w] >= now && until[w] > 0)

inline check() { assert(!(IS_RUNNING(0) && IS_RUNNING(1))) }

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
  bool carries_task;
  do
  /* Sends a heartbeat or any other frame. */
  :: atomic { now < END && now > last_sent[me] && nfull(to_entry[me]) ->
       last_sent[me] = now; to_entry[me]!agent_session[me], now }
  /* Receives a frame of the entry. */
  :: atomic { to_agent[me]?id, echo, carries_task ->
       if
       :: id > agent_session[me] -> agent_session[me] = id; echoed[me] = 0; has_task[me] = false
       :: else
       fi;
       if
       :: id == agent_session[me] ->
#ifdef BUG_COUNTS_FROM_ARRIVAL
          echoed[me] = now;
#else
          if
          :: echo > echoed[me] -> echoed[me] = echo
          :: else
          fi;
#endif
          if
          :: carries_task -> has_task[me] = true
          :: else
          fi
       :: else
       fi;
       id = 0; echo = 0; carries_task = false }
  /* Starts the task. */
  :: atomic { has_task[me] && MAY_START(me) -> has_task[me] = false; until[me] = now + HOLD; check() }
  /* Renews the target's lease before it expires. */
  :: atomic { IS_RUNNING(me) && until[me] < now + HOLD && MAY_RENEW(me) -> until[me] = now + HOLD; check() }
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
     /* Receives a frame of a worker. */
     :: to_entry[w]?id, sent ->
        if
        :: id == session[w] && sent > newest_sent[w] -> newest_sent[w] = sent; received_at[w] = now; frame_due[w] = true
        :: else
        fi;
        id = 0; sent = 0
     /* Sends an echo or a new session. */
     :: frame_due[w] && nfull(to_agent[w]) -> frame_due[w] = false; to_agent[w]!session[w], newest_sent[w], false
     /* Dispatches the task, at first or once its run elsewhere has ended. */
     :: assigned == NONE && newest_sent[w] > 0 && nfull(to_agent[w]) && (abandoned == NONE || IS_OVER(abandoned)) ->
        assigned = w; abandoned = NONE; to_agent[w]!session[w], newest_sent[w], true
     /* Abandons the worker. */
     :: assigned == w && moves < MOVES ->
        assigned = NONE; abandoned = w; moves++; session[w]++; newest_sent[w] = 0; frame_due[w] = true
     :: else
     fi;
     w = 0 }
  :: now == END -> break
  od
}
