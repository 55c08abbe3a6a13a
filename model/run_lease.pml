/*
 * One task on the users' platform, in discrete time: one step is 100 ms.
 *
 * Entry 1 orders a run at agent 1, whose target is target 1. The task gets another run, on target 2,
 * when the entry takes the run for lost, or when the entry is gone and the caller sends its job to
 * another entry. In each step every message and call may be lost; a pulse of the entry may wait in a
 * queue and grow older; agent 1 may stand still, end, and be followed by another one at the same
 * target; a start call may be carried out later than its caller waits.
 *
 * Ages saturate one above the limit that they are compared with. Target 1 keeps its lifetime: a
 * start that is carried out in a later one is the residual case of docs/platform.md.
 */

#define ENTRY_LEASE 6 /* agent stops runs of an entry that has echoed no stamp for 600 ms */
#define TARGET_LEASE 7 /* 600 ms, and a clock that is 2% slow */
#define ORDER_AGE 6 /* an order has to be based on a stamp of the agent's that is newer */
#define RUN_LOSS 14 /* entry repeats a run after 1,400 ms without a message */
#define RESEND 13 /* a caller sends its job again 1,300 ms after its entry was lost */

bool work1; /* a run is at work on target 1 */
bool work2;
byte lease; /* steps until target 1 ends its run */

bool entryAlive = true;
bool agentAlive = true;
bool agentFrozen;
byte sinceEntryLost; /* steps since entry 1 ended */
byte silence; /* steps since entry 1 got a message of agent 1 */
byte echoAge; /* age of the newest stamp of agent 1 that the entry has echoed to it */
byte stampAge; /* age of the newest stamp of agent 1 that the entry holds */
bool pulseWaits; /* a pulse waits in a queue */
byte pulseAge;

bool ordered; /* entry 1 has sent its order */
bool orderWaits; /* the order waits in a queue */
byte orderAge; /* age of the stamp that it echoes */
bool repeated; /* the entry, or another one, has started the task again */

bool held; /* agent 1 counts a run as started */
bool callPending; /* the start call has no reply and is not carried out yet */
byte callFence;
byte callLease; /* steps until the lease end that the call names */
byte fence; /* newest fence that target 1 has seen */
byte agentFence = 1;
bool restarted; /* the agent has started the task again under a raised fence */
bool successor; /* another agent has taken over target 1 */
bool cleared = true; /* the agent knows all that runs on target 1 */

inline older(age, limit) {
    if
    :: age <= limit -> age++;
    :: else -> skip;
    fi
}

inline younger(left) {
    if
    :: left > 0 -> left--;
    :: else -> skip;
    fi
}

/* Target 1 carries out a start. */
inline carryOut(callsFence, callsLease) {
    if
    :: callsFence >= fence && callsLease > 0 ->
        fence = callsFence;
        assert(!work1); /* the task is not started twice on one target */
        work1 = true;
        lease = callsLease;
    :: else -> skip;
    fi
}

inline startAt2() {
    repeated = true;
    work2 = true;
    assert(!work1);
}

inline passTime() {
    older(echoAge, ENTRY_LEASE);
    older(stampAge, RUN_LOSS);
    older(silence, RUN_LOSS);
    if
    :: pulseWaits -> older(pulseAge, ENTRY_LEASE);
    :: else -> skip;
    fi;
    if
    :: orderWaits -> older(orderAge, ORDER_AGE);
    :: else -> skip;
    fi;
    if
    :: !entryAlive -> older(sinceEntryLost, RESEND);
    :: else -> skip;
    fi;
    younger(callLease);
#ifndef MUTANT_NO_TARGET_LEASE
    younger(lease);
    if
    :: work1 && lease == 0 -> work1 = false;
    :: else -> skip;
    fi;
#endif
}

inline entryActs() {
    if
    :: entryAlive && !ordered -> /* orders, with the stamp that it holds */
        ordered = true;
        orderWaits = true;
        orderAge = stampAge;
    :: entryAlive && ordered && !repeated && silence >= RUN_LOSS -> startAt2();
#ifdef MUTANT_REPEATED_EARLY
    :: entryAlive && ordered && !repeated && silence >= ENTRY_LEASE -> startAt2();
#endif
    :: !entryAlive && ordered && !repeated && sinceEntryLost >= RESEND -> startAt2();
    :: entryAlive && !pulseWaits -> /* a pulse that waits is delivered later, if at all */
        pulseWaits = true;
        pulseAge = stampAge;
    :: entryAlive -> entryAlive = false;
    :: skip;
    fi
}

/* An agent that is awake stops the runs of a silent entry for good, before it hears it again. */
inline agentStopsOrphans() {
#ifndef MUTANT_NO_ENTRY_LEASE
    if
    :: agentAlive && !agentFrozen && cleared && echoAge >= ENTRY_LEASE && held ->
        held = false;
        callPending = false; /* the raised fence makes it void */
        fence = agentFence + 1;
        agentFence = fence;
        work1 = false;
    :: else -> skip;
    fi
#else
    skip
#endif
}

inline agentHears() {
    agentStopsOrphans();
    if
    :: agentAlive && !agentFrozen && !successor && pulseWaits ->
        if
        :: pulseAge < echoAge -> echoAge = pulseAge;
        :: else -> skip;
        fi;
        pulseWaits = false;
    :: pulseWaits -> pulseWaits = false; /* lost */
    :: skip;
    fi;
    if
    :: agentAlive && !agentFrozen && !successor && orderWaits ->
        orderWaits = false;
        if
        :: orderAge < echoAge -> echoAge = orderAge;
        :: else -> skip;
        fi;
#ifdef MUTANT_NO_ORDER_AGE
        held = true;
#else
        if
        :: orderAge <= ORDER_AGE -> held = true;
        :: else -> skip;
        fi;
#endif
        if
        :: held -> /* the start call */
            callFence = agentFence;
            callLease = TARGET_LEASE;
            if
            :: carryOut(callFence, callLease);
            :: callPending = true; /* no reply: carried out later or never */
            fi;
        :: else -> skip;
        fi;
    :: orderWaits -> orderWaits = false; /* lost */
    :: skip;
    fi;
    if /* entry 1 hears of agent 1 */
    :: entryAlive && agentAlive && !agentFrozen && !successor -> silence = 0; stampAge = 0;
    :: skip;
    fi
}

inline agentActs() {
    if
    :: agentAlive && !agentFrozen && cleared && held && callPending && !restarted ->
        /* Makes the start without a reply void and starts the task again. */
#ifndef MUTANT_NO_FENCE
        agentFence++;
        fence = agentFence;
#endif
        restarted = true;
        if
        :: !work1 -> carryOut(agentFence, TARGET_LEASE);
        :: else -> skip;
        fi;
    :: agentAlive && !agentFrozen && !cleared -> /* a successor stops what it does not know */
        agentFence = 5;
        fence = 5;
        work1 = false;
        cleared = true;
    :: agentAlive && !agentFrozen && cleared && work1 && held -> lease = TARGET_LEASE;
#ifdef MUTANT_SUCCESSOR_EXTENDS
    :: agentAlive && successor && work1 -> lease = TARGET_LEASE; cleared = true;
#endif
    :: agentAlive && !agentFrozen -> agentFrozen = true;
    :: agentFrozen -> agentFrozen = false;
    :: agentAlive -> agentAlive = false; held = false;
    :: !agentAlive -> agentAlive = true; agentFrozen = false; successor = true; cleared = false;
    :: skip;
    fi;
    if
    :: callPending -> callPending = false; carryOut(callFence, callLease);
    :: skip;
    fi;
    assert(!(work1 && work2))
}

active proctype fleet() {
    do
    :: atomic {
        entryActs();
        agentHears();
        agentActs();
        passTime();
    }
    od
}
