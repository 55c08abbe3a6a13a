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
 * Target 1 may end any number of times and, each time after at least RESTART steps, start again under
 * the same id. A new lifetime has received no fence, and its clock began anew. Until an agent has
 * called it under a raised fence, it executes start and list calls that were sent to an earlier
 * lifetime, with the maximum lease. So a start call without a reply is in doubt, also after a higher
 * fence has voided it in the lifetimes that have received the fence. It is settled when a listing
 * shows the run and the call has not been voided.
 *
 * While a start of the task may still be executed by target 1, the task starts on no other target:
 * - An end of the run that is reported while a start is in doubt binds the task to target 1.
 * - So does the successor of agent 1 when the newest report has not shown the start as settled.
 * - The entry does not repeat a run in doubt because the agent is silent. The agent does not take it
 *   for lost because its lease has expired.
 * - When agent 1 stops a run, or the run ends with any outcome, while a start is in doubt, the agent
 *   tells all other entries, and the entry that receives the resubmitted job is bound if it has been
 *   told before.
 * A bound task starts on target 1 when the agent has called the current lifetime under a raised
 * fence and has no run of the task, and all unknown runs are stopped.
 *
 * Simplifications: a start call is delayed without limit, and a bound holds as long; the time after
 * which such a call is taken as never executed is not modelled, nor is a target under another id. A
 * new lifetime receives no order but that of the bound task. The second start of a task, under a
 * raised fence, has a reply. Only the first run and its first repetition are modelled: a repeated
 * run is ordered, stopped and repeated as the first one is. There are two entries. That entry 1
 * answers at the job's time limit, after which the caller may submit the job again without
 * RESUBMIT_DELAY, is not modelled.
 *
 * Assumption that the protocol does not ensure: no later lifetime executes calls to an earlier one
 * after entry 1 has ended, if the job is resubmitted to an entry that agent 1 has not told of the
 * start in doubt. That needs a start in doubt and two failures before the start is executed: entry 1
 * ends, and agent 1 ends, is suspended, or reaches the other entry with no message between the stop of
 * the run and the resubmission. The successor of agent 1 does not know of the start. With the macro
 * LATE_CALLS_AFTER_DOUBLE_FAILURE, which removes the assumption, the specification violates an
 * assertion.
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
bool endBound; /* and that a start of the task may still be executed on target 1 */
bool otherTold; /* the other entry knows that a start of the task is in doubt */
bool untold; /* the other entry has started the task and had not been told */
bool taskRepeated; /* entry 1 or another entry has started the task again, or ordered its start */
bool boundOrder; /* the agent at target 1 has the order of the bound task, or will receive it */

bool runHeld; /* agent 1 has the run in its table as started, and the run may execute */
bool stopDue; /* the run may not execute any longer, and agent 1 has no proof that it has ended */
byte stopAge; /* steps since the run may not execute any longer */
byte listLeaseLeft; /* steps until the lease end in a delayed list call; 0: no such call */
byte grantedLeft; /* steps until all leases that agent 1 has granted to the run have expired */
bool startInDoubt; /* as agent 1 knows, a start call of the task may still be executed */
bool runEnded; /* agent 1 knows that the run has ended, and reports it to the entry */
bool endInDoubt; /* a start of the task was in doubt when the run ended */
bool callPending; /* the start call has no reply and has not been executed yet */
bool lateAfterLoss; /* a later lifetime has executed such a call after entry 1 has ended */
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
        if
        :: targetPhase == RESTARTED && !entryAlive -> lateAfterLoss = true;
        :: else -> skip;
        fi;
    :: else -> skip;
    fi
}

inline startOnTarget2() {
    taskRepeated = true;
    executing2 = true;
    assert(!executing1);
}

inline orderBound() {
    taskRepeated = true;
    boundOrder = true;
}

/* The entry repeats the run after its end. */
inline repeatEnded() {
    if
    :: endBound -> orderBound();
    :: else -> startOnTarget2();
    fi
}

/* Another entry, which has received the job again, starts its task. */
inline startResubmitted() {
    /* Agent 1, unless it has ended, knows of the start, and so could have told the entry. */
    assert(!callPending || !agentAlive || successor || startInDoubt);
    if
#ifndef MUTANT_UNBOUND_RESUBMIT /* mutant: the entry ignores what agent 1 has told it */
    :: otherTold -> orderBound();
#else
    :: otherTold -> startOnTarget2();
#endif
#ifndef LATE_CALLS_AFTER_DOUBLE_FAILURE
    :: !otherTold && !lateAfterLoss ->
        startOnTarget2();
        untold = true;
    :: !otherTold && lateAfterLoss -> skip; /* excluded by assumption */
#else
    :: !otherTold -> startOnTarget2();
#endif
    fi
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
    :: entryAlive && !taskRepeated && endReported -> repeatEnded();
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
        startResubmitted();
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
#ifndef MUTANT_UNBOUND_END /* mutant: an end with a start in doubt does not bind the task */
        endBound = endInDoubt;
#endif
    :: entryAlive && agentAlive && !agentFrozen && successor && cleared && orderSent ->
#ifndef MUTANT_UNBOUND_AFTER_SUCCESSOR /* mutant: a cleared lifetime does not bind the task */
        endBound = endBound || (!endReported && !settledReported);
#endif
        endReported = true;
    :: skip;
    fi;
    if /* another entry receives what agent 1 tells of a run that is stopped or has ended */
    :: agentAlive && !agentFrozen && startInDoubt && !runHeld && !taskRepeated -> otherTold = true;
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

/* Target 1 ends or begins a new lifetime. */
inline targetRestarts() {
    if
    :: targetPhase == FIRST_LIFETIME || (targetPhase == NEXT_LIFETIME && callPending) ->
        targetPhase = DOWN;
        executing1 = false;
        listLeaseLeft = 0; /* see executeEarlierList */
    :: targetPhase == DOWN && downTime >= RESTART ->
        targetPhase = RESTARTED;
        targetFence = 0;
        if
        :: successor -> cleared = false;
        :: else -> skip;
        fi;
    :: skip;
    fi;
    if
    :: untold && targetPhase != FIRST_LIFETIME -> callPending = false; /* by assumption */
    :: else -> skip;
    fi
}

/* The new lifetime of target 1 executes a list call that was sent to its predecessor, or whose agent
 * does not know the new lifetime yet. Such a call may be on its way at any time. */
inline executeEarlierList() {
    if
    :: targetPhase == RESTARTED && executing1 && !untold ->
        leaseLeft = MAX_LEASE;
        lateAfterLoss = lateAfterLoss || !entryAlive;
    :: skip;
    fi
}

/* The run has ended in the current lifetime. */
inline endRun() {
    runHeld = false;
    stopDue = false;
    runEnded = true;
    endInDoubt = endInDoubt || startInDoubt;
}

/* The run has succeeded. Entry 1 does not repeat it, but its task runs again when the caller submits
 * the job again, so a start that is in doubt remains in doubt. */
inline runDone() {
    executing1 = false;
    startListed();
    runHeld = false;
    stopDue = false;
#ifdef MUTANT_FORGET_DOUBT_AT_DONE /* mutant: the agent reports no start of a task that is done */
    startInDoubt = false;
#endif
}

inline raiseFence() {
    if
    :: agentFence < 4 -> agentFence++; /* only the first start call has no reply, and its fence is 1 */
    :: else -> skip;
    fi;
    targetFence = agentFence;
}

/* A raised fence has voided the start call in the current lifetime. */
inline startVoided() {
#ifdef MUTANT_FORGET_VOIDED /* mutant: a voided start counts as settled */
    startInDoubt = false;
#else
    skip
#endif
}

/* A listing shows the run. A voided start remains in doubt. */
inline startListed() {
    if
    :: !runRestarted -> startInDoubt = false;
    :: else -> startVoided();
    fi
}

/* A new lifetime has answered the first agent under a raised fence, which refuses all starts from
 * before; a later lifetime may still execute them. A run that is listed is continued, or stopped when
 * it may not execute. The agent extends no lease while the lifetime executes a run that it has not in
 * its table. */
inline nextLifetimeAnswers() {
    raiseFence();
    targetPhase = NEXT_LIFETIME;
    if
    :: executing1 && (runHeld || stopDue) -> grant(MAX_LEASE); startListed();
    :: executing1 && !runHeld && !stopDue -> stopDue = true; stopAge = TARGET_LEASE;
    :: !executing1 && (runHeld || stopDue) ->
#ifdef MUTANT_FORGET_DOUBT_AT_RESTART /* mutant: the answer of a new lifetime settles the start */
        startInDoubt = false;
#endif
        endRun();
    :: else -> skip;
    fi
}

/* The agent at target 1 starts the bound task. The run is not followed any further. */
inline startBound() {
    boundOrder = false;
    executeStart(agentFence, TARGET_LEASE);
    assert(!callPending || callFence < targetFence); /* no earlier call is executed beside it */
    callPending = false;
    executing1 = false;
    targetPhase = NEXT_LIFETIME;
}

inline agentActs() {
    if
    :: agentAlive && !agentFrozen && cleared && runHeld && startInDoubt && !runRestarted &&
            targetPhase == FIRST_LIFETIME ->
        /* Voids the start call without a reply, and starts the task again unless it executes. */
#ifndef MUTANT_NO_FENCE /* mutant: the first start call stays valid */
        raiseFence();
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
        /* A successor stops the runs it does not know. 5 is above every fence of the first agent. */
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
        raiseFence();
        if
        :: executing1 -> startListed();
        :: else -> startVoided();
        fi;
        executing1 = false;
        endRun();
    :: agentAlive && !agentFrozen && cleared && runHeld && executing1 &&
            (targetPhase == FIRST_LIFETIME || targetPhase == NEXT_LIFETIME) ->
        executing1 = false; /* the run has failed, and a listing shows its end */
        startListed();
        endRun();
    :: agentAlive && !agentFrozen && cleared && runHeld && executing1 &&
            (targetPhase == FIRST_LIFETIME || targetPhase == NEXT_LIFETIME) ->
        runDone(); /* and a listing shows its end */
    :: agentAlive && !agentFrozen && cleared && boundOrder && !runHeld && !stopDue &&
            (targetPhase == FIRST_LIFETIME || targetPhase == NEXT_LIFETIME) ->
        startBound();
#ifdef MUTANT_BOUND_BESIDE_RUN /* the bound task starts while a stop of its earlier run is due */
    :: agentAlive && !agentFrozen && cleared && boundOrder && targetPhase == FIRST_LIFETIME ->
        startBound();
#endif
#ifdef MUTANT_BOUND_UNCALLED /* the bound task starts in a lifetime that has not been called before */
    :: agentAlive && !agentFrozen && boundOrder && !runHeld && !stopDue &&
            targetPhase == RESTARTED ->
        startBound();
#endif
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
        endInDoubt = false;
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
        endBound = false;
        runEnded = false;
        endInDoubt = false;
        grantedLeft = 0;
    :: else -> skip;
    fi;
    if
    :: taskRepeated -> otherTold = false;
    :: else -> skip;
    fi;
    if
    :: !executing1 || taskRepeated -> lateAfterLoss = false;
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
        boundOrder = false;
        untold = false;
        otherTold = false;
        lateAfterLoss = false;
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
        endInDoubt = false;
        runRestarted = false;
        settledReported = false;
        endReported = false;
        endBound = false;
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
        d_step { /* has no choices, and so is explored faster */
            passTime();
            resetUnused();
        }
    }
    od
}
