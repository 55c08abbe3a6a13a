/*
 * Leases and fences of the runs of one task on the users' platform, in discrete time. One step is
 * 100 ms.
 *
 * Entry 1 orders a run at agent 1, whose target is target 1. The task is run again, on target 2,
 * when the entry takes the first run for lost, or when the entry has failed and the caller
 * resubmits its job to another entry. In each step every message and call may be lost. A heartbeat
 * of the entry may be delayed in a queue, where its age grows. Agent 1 may freeze, or end and be
 * replaced by a successor at the same target. A start call may be executed after its caller has
 * stopped waiting for the reply, a list call long after it was made, and a stop late or never.
 *
 * Ages saturate one above the limit that they are compared with. Target 1 never restarts: a start
 * call that is executed after a restart of the target is not modelled; docs/platform.md describes
 * this case.
 *
 * Stamps and echoes: each message of agent 1 contains a stamp, the time of its clock. The entry
 * echoes the newest one that it has received.
 *
 * Each mechanism has a mutant, a macro named MUTANT_... that disables it. tests/checks/model
 * requires that each mutant violates an assertion.
 */

/* Time limits in steps. */
#define ENTRY_LEASE 6 /* 600 ms: the agent stops the runs of an entry that echoes no newer stamp */
#define TARGET_LEASE 7 /* 600 ms on a target whose clock is 2% slow: 612 ms, rounded up */
#define MAX_ORDER_AGE 6 /* maximum age of the stamp that an order echoes */
#define RUN_LOSS_TIMEOUT 14 /* 1,400 ms: the entry repeats a run when it receives no message */
#define RESUBMIT_DELAY 13 /* 1,300 ms from the loss of its entry until a caller resubmits its job */

bool executing1; /* a run is executing on target 1 */
bool executing2; /* a run is executing on target 2 */
byte leaseLeft; /* steps until the lease of the run on target 1 expires */

bool entryAlive = true;
bool agentAlive = true;
bool agentFrozen;
byte sinceEntryLost; /* steps since entry 1 ended */
byte agentSilence; /* steps since entry 1 received a message of agent 1 */
byte echoAge; /* age of the newest stamp that the entry has echoed to agent 1 */
byte stampAge; /* age of the newest stamp of agent 1 that the entry has */
bool heartbeatQueued; /* a heartbeat of the entry to agent 1 waits in a queue */
byte heartbeatAge; /* age of the stamp that it echoes */

bool orderSent; /* entry 1 has sent its order */
bool orderQueued; /* the order waits in a queue */
byte orderAge; /* age of the stamp that it echoes */
bool taskRepeated; /* entry 1 or another entry has started the task on target 2 */

bool runHeld; /* agent 1 has the run in its table as started, and the run may execute */
bool stopDue; /* the run may not execute any longer, and agent 1 has no proof that it has ended */
byte stopAge; /* steps since the run may not execute any longer */
byte listLeaseLeft; /* steps until the lease end in a delayed list call; 0: no such call */
bool callPending; /* the start call has no reply and has not been executed yet */
byte callFence; /* fence in the start call */
byte callLeaseLeft; /* steps until the lease end in the start call */
byte targetFence; /* highest fence that target 1 has received */
byte agentFence = 1; /* fence that the agent at target 1 puts into its next start call */
bool runRestarted; /* the agent has started the task again under a raised fence */
bool successor; /* another agent has replaced the first one at target 1 */
byte newLease; /* lease in the list call that the agent makes */
bool cleared = true; /* no run that the agent does not know can execute on target 1 */

inline increaseAge(age, limit) {
    if
    :: age <= limit -> age++;
    :: else -> skip;
    fi
}

inline decreaseTimeLeft(left) {
    if
    :: left > 0 -> left--;
    :: else -> skip;
    fi
}

/* Target 1 executes a start call, or refuses it because of its fence or its expired lease. */
inline executeStart(startFence, startLeaseLeft) {
    if
    :: startFence >= targetFence && startLeaseLeft > 0 ->
        targetFence = startFence;
        assert(!executing1); /* no start while a run of the task executes on the target */
        executing1 = true;
        leaseLeft = startLeaseLeft;
    :: else -> skip;
    fi
}

inline startOnTarget2() {
    taskRepeated = true;
    executing2 = true;
    assert(!executing1);
}

inline passTime() {
    increaseAge(echoAge, ENTRY_LEASE + TARGET_LEASE - 1);
    increaseAge(stampAge, RUN_LOSS_TIMEOUT);
    increaseAge(agentSilence, RUN_LOSS_TIMEOUT);
    if
    :: heartbeatQueued -> increaseAge(heartbeatAge, ENTRY_LEASE);
    :: else -> skip;
    fi;
    if
    :: orderQueued -> increaseAge(orderAge, MAX_ORDER_AGE);
    :: else -> skip;
    fi;
    if
    :: !entryAlive -> increaseAge(sinceEntryLost, RESUBMIT_DELAY);
    :: else -> skip;
    fi;
    if
    :: stopDue -> increaseAge(stopAge, TARGET_LEASE - 1);
    :: else -> skip;
    fi;
    decreaseTimeLeft(callLeaseLeft);
    decreaseTimeLeft(listLeaseLeft);
#ifndef MUTANT_NO_TARGET_LEASE /* mutant: the target does not stop a run whose lease has ended */
    decreaseTimeLeft(leaseLeft);
    if
    :: executing1 && leaseLeft == 0 -> executing1 = false;
    :: else -> skip;
    fi;
#endif
}

inline entryActs() {
    if
    :: entryAlive && !orderSent -> /* the order echoes the newest stamp that the entry has */
        orderSent = true;
        orderQueued = true;
        orderAge = stampAge;
    :: entryAlive && orderSent && !taskRepeated && agentSilence >= RUN_LOSS_TIMEOUT ->
        startOnTarget2();
#ifdef MUTANT_REPEATED_EARLY /* the entry repeats the run after ENTRY_LEASE without a message */
    :: entryAlive && orderSent && !taskRepeated && agentSilence >= ENTRY_LEASE -> startOnTarget2();
#endif
    :: !entryAlive && orderSent && !taskRepeated && sinceEntryLost >= RESUBMIT_DELAY ->
        startOnTarget2();
    :: entryAlive && !heartbeatQueued -> /* a queued heartbeat is delivered later or never */
        heartbeatQueued = true;
        heartbeatAge = stampAge;
    :: entryAlive -> entryAlive = false;
    :: skip;
    fi
}

/* An agent that is not frozen stops the runs of a silent entry before it handles the entry's next
 * message. These runs stay stopped even if the entry is heard again. */
inline agentStopsRunsOfSilentEntry() {
#ifndef MUTANT_NO_ENTRY_LEASE /* mutant: the agent keeps the runs of a silent entry */
    if
    :: agentAlive && !agentFrozen && cleared && echoAge >= ENTRY_LEASE && runHeld ->
        runHeld = false;
        stopDue = true;
        stopAge = echoAge - ENTRY_LEASE;
    :: else -> skip;
    fi
#else
    skip
#endif
}

inline messagesArrive() {
    agentStopsRunsOfSilentEntry();
    if
    :: agentAlive && !agentFrozen && !successor && heartbeatQueued ->
        if
        :: heartbeatAge < echoAge -> echoAge = heartbeatAge;
        :: else -> skip;
        fi;
        heartbeatQueued = false;
    :: heartbeatQueued -> heartbeatQueued = false; /* lost */
    :: skip;
    fi;
    if
    :: agentAlive && !agentFrozen && !successor && orderQueued ->
        orderQueued = false;
        if
        :: orderAge < echoAge -> echoAge = orderAge;
        :: else -> skip;
        fi;
#ifdef MUTANT_NO_ORDER_AGE /* the agent accepts an order of any age */
        runHeld = true;
#else
        if
        :: orderAge <= MAX_ORDER_AGE -> runHeld = true;
        :: else -> skip;
        fi;
#endif
        if
        :: runHeld -> /* the agent makes the start call */
            callFence = agentFence;
            callLeaseLeft = TARGET_LEASE;
            if
            :: executeStart(callFence, callLeaseLeft);
            :: callPending = true; /* no reply: the call is executed later or never */
            fi;
        :: else -> skip;
        fi;
    :: orderQueued -> orderQueued = false; /* lost */
    :: skip;
    fi;
    if /* entry 1 receives a message of agent 1 */
    :: entryAlive && agentAlive && !agentFrozen && !successor -> agentSilence = 0; stampAge = 0;
    :: skip;
    fi
}

/* Target 1 executes a list call. A lease end never shortens the lease. */
inline executeList(newLeaseLeft) {
    if
    :: newLeaseLeft > leaseLeft && executing1 -> leaseLeft = newLeaseLeft;
    :: else -> skip;
    fi
}

/* The agent makes a list call, or starts another run, and so extends the lease of all runs. */
inline sendList() {
    if
#ifdef MUTANT_UNBOUNDED_LEASE /* mutant: the lease is extended while the run is not stopped */
    :: stopDue -> newLease = TARGET_LEASE;
#else
    :: stopDue -> newLease = TARGET_LEASE - stopAge;
#endif
    :: else -> newLease = TARGET_LEASE;
    fi;
    if
    :: executeList(newLease);
    :: listLeaseLeft = newLease;
    fi;
    newLease = 0;
}

inline agentActs() {
    if
    :: agentAlive && !agentFrozen && cleared && runHeld && callPending && !runRestarted ->
        /* Invalidates the start call without a reply and starts the task again. */
#ifndef MUTANT_NO_FENCE /* mutant: the first start call stays valid */
        agentFence++;
        targetFence = agentFence;
#endif
        runRestarted = true;
        if
        :: !executing1 -> executeStart(agentFence, TARGET_LEASE);
        :: else -> skip;
        fi;
    :: agentAlive && !agentFrozen && !cleared -> /* a successor stops the runs it does not know */
        /* 5 is above every fence of the first agent: it starts at 1 and rises at most twice. */
        agentFence = 5;
        targetFence = 5;
        executing1 = false;
        cleared = true;
    :: agentAlive && !agentFrozen && cleared && stopDue ->
        /* The stop is executed, the raised fence invalidates the start call, and the agent knows
         * both. While this step is not taken, the calls are lost. */
        agentFence++;
        targetFence = agentFence;
        callPending = false;
        executing1 = false;
        stopDue = false;
    :: agentAlive && !agentFrozen && cleared && executing1 && (runHeld || stopDue) ->
        sendList();
#ifdef MUTANT_LEASE_BEFORE_CHECK /* the agent extends the lease before it looks for silent entries */
    :: agentFrozen && executing1 && runHeld -> agentFrozen = false; leaseLeft = TARGET_LEASE;
#endif
#ifdef MUTANT_SUCCESSOR_EXTENDS /* a successor extends the lease of a run it does not know */
    :: agentAlive && successor && executing1 -> leaseLeft = TARGET_LEASE; cleared = true;
#endif
    :: agentAlive && !agentFrozen -> agentFrozen = true;
    :: agentFrozen -> agentFrozen = false;
    :: agentAlive -> agentAlive = false; runHeld = false; stopDue = false;
    :: !agentAlive -> agentAlive = true; agentFrozen = false; successor = true; cleared = false;
    :: skip;
    fi;
    if
    :: callPending -> callPending = false; executeStart(callFence, callLeaseLeft);
    :: skip;
    fi;
    if
    :: listLeaseLeft > 0 ->
#ifdef MUTANT_RELATIVE_LEASE /* the lease begins when the list call is executed */
        listLeaseLeft = TARGET_LEASE;
#endif
        executeList(listLeaseLeft);
        listLeaseLeft = 0;
    :: skip;
    fi;
    assert(!(executing1 && executing2)) /* two runs of the task never execute at the same time */
}

/* Resets variables that no step can read before it sets them, which reduces the number of states. */
inline resetUnused() {
    if
    :: !heartbeatQueued -> heartbeatAge = 0;
    :: else -> skip;
    fi;
    if
    :: !orderQueued -> orderAge = 0;
    :: else -> skip;
    fi;
    if
    :: !callPending -> callFence = 0; callLeaseLeft = 0;
    :: else -> skip;
    fi;
    if
    :: !executing1 -> leaseLeft = 0;
    :: else -> skip;
    fi;
    if
    :: !stopDue -> stopAge = 0;
    :: else -> skip;
    fi;
    if
    :: !entryAlive -> stampAge = 0; agentSilence = 0;
    :: else -> skip;
    fi;
    if
    :: taskRepeated -> sinceEntryLost = 0; agentSilence = 0;
    :: else -> skip;
    fi;
    if
    :: orderSent && !orderQueued && !runHeld -> /* no run of the entry is left at agent 1 */
        echoAge = 0;
        heartbeatQueued = false;
        heartbeatAge = 0;
    :: else -> skip;
    fi
}

active proctype fleet() {
    do
    :: atomic {
        entryActs();
        messagesArrive();
        agentActs();
        passTime();
        resetUnused();
    }
    od
}
