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
 * Ages saturate one above the limit that they are compared with.
 *
 * Target 1 may end once and, after at least RESTART steps, start again under the same id. The new
 * lifetime has received no fence, and its clock began anew. Until an agent has called it under a
 * raised fence, it executes start and list calls that were sent to its predecessor, with the
 * maximum lease. So a start call without a reply is in doubt, also after a higher fence has
 * voided it in the lifetime to which it was sent. It is settled when a listing of that lifetime
 * shows the run and the call has not been voided, or when the next lifetime has answered under a
 * raised fence. While a start of the task is in doubt, the agent reports no end of the run,
 * whether its lease has expired or a stop is confirmed, and the entry does not repeat the run
 * because the agent is silent.
 *
 * Simplifications: a start call is delayed without limit, and a run in doubt waits as long; the
 * time after which such a call is taken as never executed is not modelled. The program reports a run
 * that has failed or was stopped although a voided start of its task is in doubt. The new lifetime
 * receives no order. The second start of a task, under a raised fence, has a reply.
 *
 * Assumptions that the protocol does not ensure; without either of them the specification
 * violates an assertion:
 * - No call to the earlier lifetime is executed in the new one after entry 1 has ended. The entry
 *   that receives the resubmitted job does not know of a start in doubt. The macro
 *   LATE_CALLS_AFTER_ENTRY_LOSS removes this assumption.
 * - The same after a successor of agent 1 has cleared the earlier lifetime and entry 1 has
 *   learned it. The successor has voided the start in that lifetime only. The macro
 *   LATE_CALLS_AFTER_SUCCESSOR removes this assumption.
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
#define MAX_LEASE 11 /* 1 s, a target's longest lease, with a clock that is 2% slow: 1,020 ms */
#define RESTART 20 /* 2 s: least time from the end of a target to its next lifetime */
#define MAX_ORDER_AGE 6 /* maximum age of the stamp that an order echoes */
#define RUN_LOSS_TIMEOUT 14 /* 1,400 ms: the entry repeats a run when it receives no message */
#define RESUBMIT_DELAY 13 /* 1,300 ms from the loss of its entry until a caller resubmits its job */

/* Phases of target 1. */
#define FIRST_LIFETIME 0
#define DOWN 1
#define RESTARTED 2 /* in its new lifetime, which no agent has called under a raised fence */
#define NEXT_LIFETIME 3 /* in its new lifetime, which an agent has called under a raised fence */

byte targetPhase = FIRST_LIFETIME;
byte downTime; /* steps since target 1 ended */
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
bool settledReported; /* the newest report that the entry has: no start of the task is in doubt */
bool endReported; /* the entry has learned that the run has ended */
bool taskRepeated; /* entry 1 or another entry has started the task on target 2 */

bool runHeld; /* agent 1 has the run in its table as started, and the run may execute */
bool stopDue; /* the run may not execute any longer, and agent 1 has no proof that it has ended */
byte stopAge; /* steps since the run may not execute any longer */
byte listLeaseLeft; /* steps until the lease end in a delayed list call; 0: no such call */
byte grantedLeft; /* steps until all leases that agent 1 has granted to the run have expired */
bool startInDoubt; /* as agent 1 knows, a start call of the task may still be executed */
bool runEnded; /* agent 1 knows that the run has ended, and reports it to the entry */
bool callPending; /* the start call has no reply and has not been executed yet */
byte callFence; /* fence in the start call */
byte callLeaseLeft; /* steps until the lease end in the start call */
byte targetFence; /* highest fence that target 1 has received */
byte agentFence = 1; /* fence that the agent at target 1 puts into its next start call */
bool runRestarted; /* the agent has voided the start call and started the task again */
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

inline grant(lease) {
    if
    :: lease > grantedLeft -> grantedLeft = lease;
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
    if
    :: targetPhase == DOWN -> increaseAge(downTime, RESTART - 1);
    :: else -> skip;
    fi;
    decreaseTimeLeft(callLeaseLeft);
    decreaseTimeLeft(listLeaseLeft);
    decreaseTimeLeft(grantedLeft);
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
    :: entryAlive && !taskRepeated && endReported -> startOnTarget2();
    :: entryAlive && !taskRepeated && agentSilence >= RUN_LOSS_TIMEOUT && settledReported ->
        startOnTarget2();
#ifdef MUTANT_REPEAT_UNSETTLED /* the entry repeats the run whatever the newest report says */
    :: entryAlive && orderSent && !taskRepeated && agentSilence >= RUN_LOSS_TIMEOUT ->
        startOnTarget2();
#endif
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
        :: runHeld && targetPhase > DOWN -> runHeld = false; /* no order to the new lifetime */
        :: runHeld && targetPhase <= DOWN -> /* the agent makes the start call */
            callFence = agentFence;
            callLeaseLeft = TARGET_LEASE;
            grant(TARGET_LEASE);
            if
            :: targetPhase == FIRST_LIFETIME -> executeStart(callFence, callLeaseLeft);
            :: callPending = true; /* no reply: the call is executed later or never */
                startInDoubt = true;
            fi;
        :: else -> skip;
        fi;
    :: orderQueued -> orderQueued = false; /* lost */
    :: skip;
    fi;
    if /* entry 1 receives a message of agent 1 or of its successor */
    :: entryAlive && agentAlive && !agentFrozen && !successor ->
        agentSilence = 0;
        stampAge = 0;
        settledReported = (runHeld || stopDue) && !startInDoubt;
        endReported = runEnded;
    :: entryAlive && agentAlive && !agentFrozen && successor && cleared && orderSent ->
        endReported = true;
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
    grant(newLease);
    if
    :: executeList(newLease);
    :: listLeaseLeft = newLease;
    fi;
    newLease = 0;
}

/* Target 1 ends or begins its new lifetime. */
inline targetRestarts() {
    if
    :: targetPhase == FIRST_LIFETIME ->
        targetPhase = DOWN;
        executing1 = false;
        listLeaseLeft = 0; /* see executeEarlierList */
    :: targetPhase == DOWN && downTime >= RESTART ->
        targetPhase = RESTARTED;
        targetFence = 0;
#ifndef LATE_CALLS_AFTER_SUCCESSOR
        if
        :: successor && (endReported || taskRepeated) -> callPending = false;
        :: else -> skip;
        fi;
#endif
        if
        :: successor -> cleared = false;
        :: else -> skip;
        fi;
    :: skip;
    fi;
#ifndef LATE_CALLS_AFTER_ENTRY_LOSS
    if
    :: targetPhase != FIRST_LIFETIME && !entryAlive -> callPending = false;
    :: else -> skip;
    fi
#endif
}

/* The new lifetime of target 1 executes a list call that was sent to its predecessor, or whose agent
 * does not know the new lifetime yet. Such a call may be on its way at any time. */
inline executeEarlierList() {
    if
#ifndef LATE_CALLS_AFTER_ENTRY_LOSS
    :: targetPhase == RESTARTED && executing1 && entryAlive -> leaseLeft = MAX_LEASE;
#else
    :: targetPhase == RESTARTED && executing1 -> leaseLeft = MAX_LEASE;
#endif
    :: skip;
    fi
}

/* The run has ended in the current lifetime. No end is reported while a start is in doubt. */
inline endRun() {
    runHeld = false;
    stopDue = false;
    runEnded = !startInDoubt;
}

/* A raised fence has voided the start call in the current lifetime. */
inline startVoided() {
#ifdef MUTANT_FORGET_VOIDED /* mutant: a voided start counts as settled */
    startInDoubt = false;
#else
    skip
#endif
}

/* The new lifetime has answered the first agent under a raised fence, which refuses all starts from
 * before. A run that is listed is continued, or stopped when it may not execute. The agent extends no
 * lease while the lifetime executes a run that it has not in its table. */
inline nextLifetimeAnswers() {
    agentFence++;
    targetFence = agentFence;
    targetPhase = NEXT_LIFETIME;
    if
    :: executing1 ->
        grant(MAX_LEASE);
        if
        :: !runHeld && !stopDue -> stopDue = true; stopAge = TARGET_LEASE;
        :: else -> skip;
        fi;
        startInDoubt = false;
    :: !executing1 && (runHeld || stopDue || startInDoubt) -> startInDoubt = false; endRun();
    :: else -> skip;
    fi
}

inline agentActs() {
    if
    :: agentAlive && !agentFrozen && cleared && runHeld && startInDoubt && !runRestarted &&
            targetPhase == FIRST_LIFETIME ->
        /* Voids the start call without a reply, and starts the task again unless it executes. */
#ifndef MUTANT_NO_FENCE /* mutant: the first start call stays valid */
        agentFence++;
        targetFence = agentFence;
#endif
        if
        :: executing1 -> startInDoubt = false;
        :: else ->
            runRestarted = true;
            startVoided();
            grant(TARGET_LEASE);
            executeStart(agentFence, TARGET_LEASE);
        fi;
    :: agentAlive && !agentFrozen && !cleared && targetPhase != DOWN ->
        /* A successor stops the runs it does not know. 5 is above every fence of the first agent:
         * it starts at 1 and rises at most three times. */
        agentFence = 5;
        targetFence = 5;
        executing1 = false;
        cleared = true;
        if
        :: targetPhase == RESTARTED -> targetPhase = NEXT_LIFETIME;
        :: else -> skip;
        fi;
    :: agentAlive && !agentFrozen && !successor && targetPhase == RESTARTED ->
        nextLifetimeAnswers();
    :: agentAlive && !agentFrozen && cleared && stopDue &&
            (targetPhase == FIRST_LIFETIME || targetPhase == NEXT_LIFETIME) ->
        /* The stop is executed, the raised fence voids the start call, and the agent knows both.
         * While this step is not taken, the calls are lost. */
        agentFence++;
        targetFence = agentFence;
        if
        :: executing1 && !runRestarted -> startInDoubt = false;
        :: else -> startVoided();
        fi;
        executing1 = false;
        endRun();
    :: agentAlive && !agentFrozen && cleared && (runHeld || stopDue) && !startInDoubt &&
            targetPhase == FIRST_LIFETIME && !executing1 ->
        endRun(); /* a listing does not show the run */
    :: agentAlive && !agentFrozen && cleared && (runHeld || stopDue) && !startInDoubt &&
            grantedLeft == 0 && entryAlive && !taskRepeated ->
        endRun(); /* its lease has expired; only entry 1 needs the outcome */
#ifdef MUTANT_LOST_IN_DOUBT /* the agent reports the run as lost although a start is in doubt */
    :: agentAlive && !agentFrozen && cleared && (runHeld || stopDue) && grantedLeft == 0 &&
            entryAlive && !taskRepeated ->
        startInDoubt = false;
        endRun();
#endif
    :: agentAlive && !agentFrozen && cleared && executing1 && (runHeld || stopDue) &&
            targetPhase != RESTARTED ->
        sendList();
#ifdef MUTANT_LEASE_BEFORE_CHECK /* the agent extends the lease before it looks for silent entries */
    :: agentFrozen && executing1 && runHeld -> agentFrozen = false; leaseLeft = TARGET_LEASE;
#endif
#ifdef MUTANT_SUCCESSOR_EXTENDS /* a successor extends the lease of a run it does not know */
    :: agentAlive && successor && executing1 -> leaseLeft = TARGET_LEASE; cleared = true;
#endif
    :: agentAlive && !agentFrozen -> agentFrozen = true;
    :: agentFrozen -> agentFrozen = false;
    :: agentAlive ->
        agentAlive = false;
        runHeld = false;
        stopDue = false;
        startInDoubt = false;
        runEnded = false;
    :: !agentAlive -> agentAlive = true; agentFrozen = false; successor = true; cleared = false;
    :: skip;
    fi;
    if
    :: callPending && targetPhase == FIRST_LIFETIME ->
        callPending = false;
        executeStart(callFence, callLeaseLeft);
    :: callPending && targetPhase > DOWN ->
        callPending = false;
        executeStart(callFence, MAX_LEASE);
    :: skip;
    fi;
    executeEarlierList();
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
    :: callPending && targetPhase != FIRST_LIFETIME -> callLeaseLeft = 0;
    :: else -> skip;
    fi;
    if
    :: targetPhase != DOWN -> downTime = 0;
    :: else -> skip;
    fi;
    if
    :: !runHeld && !stopDue -> grantedLeft = 0;
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
    :: !entryAlive -> stampAge = 0;
    :: else -> skip;
    fi;
    if
    :: taskRepeated -> sinceEntryLost = 0;
    :: else -> skip;
    fi;
    if
    :: !entryAlive || taskRepeated ->
        agentSilence = 0;
        settledReported = false;
        endReported = false;
        runEnded = false;
        grantedLeft = 0;
    :: else -> skip;
    fi;
    if
    :: orderSent && !orderQueued && !runHeld -> /* no run of the entry is left at agent 1 */
        echoAge = 0;
        heartbeatQueued = false;
        heartbeatAge = 0;
    :: else -> skip;
    fi;
    if
    :: targetPhase > DOWN -> orderQueued = false; orderAge = 0; /* it would be refused */
    :: else -> skip;
    fi;
    if
    :: targetPhase != FIRST_LIFETIME && orderSent && !orderQueued && !callPending && !executing1 ->
        /* No run can execute on target 1 any more, so no step can violate an assertion. */
        targetPhase = NEXT_LIFETIME;
        downTime = 0;
        taskRepeated = true;
        executing2 = true;
        entryAlive = false;
        sinceEntryLost = 0;
        agentSilence = 0;
        stampAge = 0;
        echoAge = 0;
        heartbeatQueued = false;
        heartbeatAge = 0;
        agentAlive = true;
        agentFrozen = false;
        successor = true;
        cleared = true;
        agentFence = 5;
        targetFence = 5;
        runHeld = false;
        stopDue = false;
        stopAge = 0;
        grantedLeft = 0;
        startInDoubt = false;
        runEnded = false;
        runRestarted = false;
        settledReported = false;
        endReported = false;
        listLeaseLeft = 0;
    :: else -> skip;
    fi
}

active proctype fleet() {
    do
    :: atomic {
        entryActs();
        targetRestarts();
        messagesArrive();
        agentActs();
        passTime();
        resetUnused();
    }
    od
}
