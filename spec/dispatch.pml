/* Dispatch of the tasks of one job from one entry to two workers.
 *
 * The network is two sets of messages. A message in a set may be delivered at
 * any time, any number of times, or never, which covers loss, repetition, delay
 * and reordering. Sequence numbers are abstracted to "this agent incarnation has
 * received this task before", which is what they decide. A process may crash or
 * pause at any step.
 *
 * Bounds: 1 job, 2 tasks, 2 workers, one of them replaced once, 2 moves of a
 * task.
 * Not modelled: payloads, several entries (each owns its own jobs), timers (any
 * timeout may happen at any time), acknowledgements (they only end repetition).
 */

#define TASKS 2
#define WORKERS 2
#define INCARNATIONS 2
#define AGENTS 4            /* worker * INCARNATIONS + incarnation */
#define MAX_MOVES 2
#define NONE 255

/* Worker 0 is replaced once, worker 1 never. */
#define incarnations_of(w) (2 - (w))

#define agent_of(w, l) ((w) * INCARNATIONS + (l))

mtype = { Ready, Sent, Done };                 /* state of a task at the entry */
mtype = { Unseen, Waiting, Running, Over };    /* state of a task at an agent */
mtype = { Open, Complete, NotRun, MayHaveRun } /* answer to the job */

mtype task[TASKS] = Ready;
byte sent_to[TASKS] = NONE;
byte moves[TASKS] = 0;
byte returned[AGENTS] = 0;      /* tasks returned unstarted by an agent, as bits */
mtype answer = Open;
byte answers = 0;
byte done_count = 0;

byte incarnation[WORKERS] = 0;  /* present incarnation of the agent */
byte known[WORKERS] = 0;        /* incarnation that the entry has a session with */
bool abandoned[AGENTS] = false; /* the entry ended its session with the agent */
bool leaving[AGENTS] = false;

/* Messages sent, by agent and task. */
bool start_sent[8];
bool cancel_sent[AGENTS];
bool done_sent[8];
bool not_run_sent[8];
mtype agent_task[8] = Unseen;

byte starts[TASKS] = 0;

#define at(a, t) ((a) * TASKS + (t))

inline reply(what) {
    assert(answer == Open);
    answer = what;
    answers++;
    assert(answers == 1);
}

/* Whether any task may have started, as far as the entry knows. */
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
            /* Dispatch a ready task. */
            :: task[t] == Ready && !abandoned[a] && !(returned[a] & (1 << t)) ->
                task[t] = Sent;
                sent_to[t] = a;
                start_sent[at(a, t)] = true
            /* Receive an outcome; ignored unless it is the first from the agent that
             * the task was dispatched to. */
            :: done_sent[at(a, t)] && !abandoned[a] && task[t] == Sent && sent_to[t] == a ->
                task[t] = Done;
                done_count++;
#ifdef BUG_PARTIAL
                if :: done_count >= 1 -> reply(Complete) :: else fi
#else
                if :: done_count == TASKS -> reply(Complete) :: else fi
#endif
            :: not_run_sent[at(a, t)] && !abandoned[a] && task[t] == Sent && sent_to[t] == a ->
                task[t] = Ready;
                sent_to[t] = NONE;
                returned[a] = returned[a] | (1 << t);
                moves[t]++;
                if :: moves[t] > MAX_MOVES -> fail_job() :: else fi
            /* The agent was replaced, or its session timed out: tasks dispatched to
             * it may have run. */
            :: abandoned[a] == false && (incarnation[w] != known[w] || true) ->
                abandoned[a] = true;
                if
#ifdef BUG_REQUEUE_LOST
                :: task[t] == Sent && sent_to[t] == a -> task[t] = Ready; sent_to[t] = NONE
#else
                :: (task[0] == Sent && sent_to[0] == a) || (task[1] == Sent && sent_to[1] == a) ->
                    fail_job()
#endif
                :: else
                fi
            /* A new incarnation sent its hello. */
            :: abandoned[a] && incarnation[w] > known[w] ->
                known[w] = incarnation[w]
            /* The caller cancels, or the deadline passes. */
            :: true -> fail_job()
            fi;
            w = 0; t = 0; a = 0
        }
    :: answer != Open -> break
    od;
    /* The job is answered as complete only with the results of all tasks. */
    assert(answer != Complete || (starts[0] >= 1 && starts[1] >= 1 && done_count == TASKS))
}

proctype Agent(byte w; byte l) {
    byte a, t;
    a = agent_of(w, l);
    do
    :: atomic { incarnation[w] == l ->
            if :: t = 0 :: t = 1 fi;
            if
            /* Receive a start, first or repeated, before or after its lease expired. */
            :: incarnation[w] == l && start_sent[at(a, t)] ->
                if
                :: agent_task[at(a, t)] == Unseen ->
                    if
                    :: !leaving[a] -> agent_task[at(a, t)] = Waiting
                    :: true -> agent_task[at(a, t)] = Over; not_run_sent[at(a, t)] = true
                    fi
#ifdef BUG_TAKE_REPEATED
                :: agent_task[at(a, t)] == Over -> agent_task[at(a, t)] = Waiting
#endif
                :: else
                fi
            /* Withdraw a waiting task: cancelled, expired, or the agent leaves. */
            :: incarnation[w] == l && agent_task[at(a, t)] == Waiting ->
                not_run_sent[at(a, t)] = true;
#ifndef BUG_WITHDRAWN_STAYS
                agent_task[at(a, t)] = Over
#endif
            /* Start a waiting task. */
            :: incarnation[w] == l && agent_task[at(a, t)] == Waiting ->
                agent_task[at(a, t)] = Running;
                starts[t]++;
                assert(starts[t] <= 1);
                assert(answer != NotRun)
            /* Finish a running task. */
            :: incarnation[w] == l && agent_task[at(a, t)] == Running ->
                agent_task[at(a, t)] = Over;
                done_sent[at(a, t)] = true
            :: leaving[a] = true
            /* The agent crashes; the next incarnation starts without state. */
            :: incarnation[w] == l && l + 1 < incarnations_of(w) -> incarnation[w] = l + 1
            :: else
            fi;
            t = 0
        }
    :: incarnation[w] != l -> break
    :: answer != Open && agent_task[at(a, 0)] != Waiting && agent_task[at(a, 1)] != Waiting -> break
    od
}

init {
    atomic {
        run Agent(0, 0);
        run Agent(0, 1);
        run Agent(1, 0)
    }
}
