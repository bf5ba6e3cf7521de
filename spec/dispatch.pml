/* The session between one entry and two workers, and the job on top of it.
 *
 * The network is two sets of messages. A message in a set may be delivered at
 * any time, any number of times, or never: loss, repetition, delay and
 * reordering are all contained in that. Sequence numbers are abstracted to
 * "this agent incarnation has taken this order before", which is what they
 * decide. Crashes and pauses are processes' own choices.
 *
 * Bounds: 1 job, 2 tasks, 2 workers, one of them replaced once, 2 moves.
 * Left out: payloads, several entries (each owns its own jobs), timers (any
 * timeout may happen at any time), acknowledgements (they only end repetition).
 */

#define TASKS 2
#define WORKERS 2
#define LIVES 2
#define AGENTS 4            /* worker * LIVES + life */
#define MAX_MOVES 2
#define NONE 255

/* Worker 0 is replaced once, worker 1 never. */
#define lives_of(w) (2 - (w))

#define agent_of(w, l) ((w) * LIVES + (l))

mtype = { Ready, Sent, Done };                 /* a task at the entry */
mtype = { Unseen, Waiting, Running, Over };    /* an order at an agent */
mtype = { Open, Complete, NotRun, MayHaveRun } /* the job's answer */

mtype task[TASKS] = Ready;
byte sent_to[TASKS] = NONE;
byte moves[TASKS] = 0;
byte moved_away[AGENTS] = 0;    /* tasks handed back by an agent, as bits */
mtype answer = Open;
byte answers = 0;
byte done_count = 0;

byte life[WORKERS] = 0;         /* the agent's present incarnation */
byte known[WORKERS] = 0;        /* the incarnation the entry has a session with */
bool given_up[AGENTS] = false;  /* the entry ended its session with it */
bool leaving[AGENTS] = false;

/* The network, by agent and task. */
bool start_sent[8];
bool cancel_sent[AGENTS];
bool done_sent[8];
bool not_run_sent[8];
mtype order[8] = Unseen;

byte starts[TASKS] = 0;

#define at(a, t) ((a) * TASKS + (t))

inline reply(what) {
    assert(answer == Open);
    answer = what;
    answers++;
    assert(answers == 1);
}

/* Whether any task may have started, as the entry knows it. */
#define may_have_run (task[0] != Ready || task[1] != Ready)

inline fail_job() {
    if
#ifdef BUG_ALWAYS_NOT_RUN
    :: true -> reply(NotRun)
#else
    :: may_have_run -> reply(MayHaveRun)
    :: else -> reply(NotRun)
#endif
    fi;
    cancel_sent[agent_of(0, known[0])] = true;
    cancel_sent[agent_of(1, known[1])] = true
}

active proctype Entry() {
    byte w, t, a;
    do
    :: answer == Open ->
        atomic {
            if :: w = 0 :: w = 1 fi;
            if :: t = 0 :: t = 1 fi;
            a = agent_of(w, known[w]);
            if
            /* Place a ready task. */
            :: task[t] == Ready && !given_up[a] && !(moved_away[a] & (1 << t)) ->
                task[t] = Sent;
                sent_to[t] = a;
                start_sent[at(a, t)] = true
            /* Take an outcome; any but the ordered agent's first is ignored. */
            :: done_sent[at(a, t)] && !given_up[a] && task[t] == Sent && sent_to[t] == a ->
                task[t] = Done;
                done_count++;
#ifdef BUG_PARTIAL
                if :: done_count >= 1 -> reply(Complete) :: else fi
#else
                if :: done_count == TASKS -> reply(Complete) :: else fi
#endif
            :: not_run_sent[at(a, t)] && !given_up[a] && task[t] == Sent && sent_to[t] == a ->
                task[t] = Ready;
                sent_to[t] = NONE;
                moved_away[a] = moved_away[a] | (1 << t);
                moves[t]++;
                if :: moves[t] > MAX_MOVES -> fail_job() :: else fi
            /* The agent was replaced, or is silent too long: whatever it held
             * may have run. */
            :: given_up[a] == false && (life[w] != known[w] || true) ->
                given_up[a] = true;
                if
#ifdef BUG_REQUEUE_LOST
                :: task[t] == Sent && sent_to[t] == a -> task[t] = Ready; sent_to[t] = NONE
#else
                :: (task[0] == Sent && sent_to[0] == a) || (task[1] == Sent && sent_to[1] == a) ->
                    fail_job()
#endif
                :: else
                fi
            /* A new incarnation greeted. */
            :: given_up[a] && life[w] > known[w] ->
                known[w] = life[w]
            /* The caller cancels, or the deadline passes. */
            :: true -> fail_job()
            fi;
            w = 0; t = 0; a = 0
        }
    :: answer != Open -> break
    od;
    /* The answer is complete only with every result. */
    assert(answer != Complete || (starts[0] >= 1 && starts[1] >= 1 && done_count == TASKS))
}

proctype Agent(byte w; byte l) {
    byte a, t;
    a = agent_of(w, l);
    do
    :: atomic { life[w] == l ->
            if :: t = 0 :: t = 1 fi;
            if
            /* A start arrives, fresh or repeated, in time or after its lease. */
            :: life[w] == l && start_sent[at(a, t)] ->
                if
                :: order[at(a, t)] == Unseen ->
                    if
                    :: !leaving[a] -> order[at(a, t)] = Waiting
                    :: true -> order[at(a, t)] = Over; not_run_sent[at(a, t)] = true
                    fi
#ifdef BUG_TAKE_REPEATED
                :: order[at(a, t)] == Over -> order[at(a, t)] = Waiting
#endif
                :: else
                fi
            /* A waiting task is withdrawn: cancelled, expired, or the agent leaves. */
            :: life[w] == l && order[at(a, t)] == Waiting ->
                not_run_sent[at(a, t)] = true;
#ifndef BUG_WITHDRAWN_STAYS
                order[at(a, t)] = Over
#endif
            /* A waiting task starts. */
            :: life[w] == l && order[at(a, t)] == Waiting ->
                order[at(a, t)] = Running;
                starts[t]++;
                assert(starts[t] <= 1);
                assert(answer != NotRun)
            /* A running task ends. */
            :: life[w] == l && order[at(a, t)] == Running ->
                order[at(a, t)] = Over;
                done_sent[at(a, t)] = true
            :: leaving[a] = true
            /* The agent dies; the next one knows nothing. */
            :: life[w] == l && l + 1 < lives_of(w) -> life[w] = l + 1
            :: else
            fi;
            t = 0
        }
    :: life[w] != l -> break
    :: answer != Open && order[at(a, 0)] != Waiting && order[at(a, 1)] != Waiting -> break
    od
}

init {
    atomic {
        run Agent(0, 0);
        run Agent(0, 1);
        run Agent(1, 0)
    }
}
