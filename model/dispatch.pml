/*
 * Protocol of one job: submission, job record at the backup, scope, orders, refusals, takeover
 * with fences, resumption by the backup, answers.
 *
 * The network is a set of sent messages. Each message may be delivered at any later time, more than
 * once, out of order, or never, which covers loss, duplication, delay and reordering. A suspended
 * process is one whose actions are not scheduled for a while. A crash loses all memory; a restarted
 * process is a new incarnation and takes no part in this job.
 *
 * Each mechanism has a mutant, a macro named MUTANT_... that disables it. tests/checks/model
 * requires that each mutant violates an assertion. R1, R2, R4, R5 and R6 are requirements of
 * docs/design.md.
 */

#define TASKS 2
#define AGENTS 2
#define PAIRS 4 /* pairs of a task and an agent */
#define PAIR(t, a) ((t) * AGENTS + (a))

/* State of the order of a task at an agent. A refused order is void: it never starts its task. */
#define ORDER_NONE 0 /* the agent has no record of an order */
#define ORDER_QUEUED 1
#define ORDER_RUNNING 2
#define ORDER_FINISHED 3
#define ORDER_REFUSED 4
#define ORDER_REFUSED_FENCED 5 /* withdrawn after the fence; only the backup may be told */

/* Outcome in the answer to the caller. */
#define OUTCOME_PENDING 0
#define OUTCOME_COMPLETE 1
#define OUTCOME_FAILED 2
#define OUTCOME_REFUSED 3 /* states that no task of the job has run or will run */

/* History for the assertions; no process reads it. */
byte starts[TASKS]; /* number of starts of each task */
bool refusalAnswered; /* a caller has received OUTCOME_REFUSED */

/* Agents. */
bool agentAlive[AGENTS];
bool fenced[AGENTS]; /* refuses orders of the primary */
byte orderState[PAIRS];

/* Primary. */
bool primaryAlive;
/* 0 not submitted, 1 recording: waits for the acknowledgement of the record, 2 running: may send
 * orders, 3 closing: being refused, waits for the acknowledgement of the close, 4 ended */
byte primaryPhase;
byte primaryOutcome;
bool primaryFenced; /* has learned of the takeover */
bool primaryDone[TASKS]; /* has received the end of the task */
byte primaryOrderedAgent[TASKS]; /* agent + 1 of the outstanding order, 0 when there is none */
bool primaryOrderSent[PAIRS];
bool anyPrimaryOrderSent;
bool recordSent;
bool scopeSent[AGENTS]; /* has sent the backup a scope that contains the agent */
bool scopeAcked[AGENTS]; /* the backup has acknowledged that scope */

/* Backup. */
bool backupAlive;
bool recordStored;
bool recordClosed;
bool backupScope[AGENTS]; /* agents that a takeover has to fence */
bool takenOver; /* the takeover has begun */
bool reported[AGENTS]; /* has received the agent's fence report */
bool reportedTask[PAIRS]; /* the fence report contains an accepted order of the task */
byte backupPhase; /* 0 standby, 1 fencing: collects the fence reports, 2 resumed, 3 ended */
byte backupOutcome;
bool backupDone[TASKS];
byte backupOrderedAgent[TASKS]; /* as primaryOrderedAgent */
bool backupOrderSent[PAIRS];

/* Time: the deadline passes, then the agents' retention period ends. */
bool deadlinePassed;
bool retentionEnded;

byte crashes;

inline startTask(t, a) {
    orderState[PAIR(t, a)] = ORDER_RUNNING;
    starts[t]++;
    assert(starts[t] <= 1); /* R1, R6: no task starts twice */
    assert(!refusalAnswered); /* R5: no task of a refused job starts */
}

inline answerRefused() {
    refusalAnswered = true;
    primaryOutcome = OUTCOME_REFUSED;
    primaryPhase = 4;
    assert(starts[0] == 0 && starts[1] == 0); /* R5: no task of a refused job has started */
}

inline answerComplete(outcome) {
    outcome = OUTCOME_COMPLETE;
    assert(starts[0] == 1 && starts[1] == 1); /* R2: each task of a complete job has run once */
}

inline primaryAnswersFailed() {
    primaryOutcome = OUTCOME_FAILED;
    primaryPhase = 4;
}

inline backupAnswersFailed() {
    backupOutcome = OUTCOME_FAILED;
    backupPhase = 3;
}

/* Actions of the primary */

inline primaryReceivesSubmission() {
        if
    :: primaryPhase = 1; recordSent = true;
    :: answerRefused(); /* refused by admission control before a record was sent */
    fi
}

inline primaryReceivesRecordAck() {
        if
    :: takenOver -> primaryFenced = true;
    :: else -> primaryPhase = 2;
    fi
}

inline primarySendsOrder(t, a) {
    primaryOrderSent[PAIR(t, a)] = true;
    anyPrimaryOrderSent = true;
    primaryOrderedAgent[t] = a + 1;
}

#ifdef MUTANT_NO_SCOPE
/* The primary sends orders to agents whose scope the backup has not acknowledged. */
#define IN_SCOPE(a) true
#else
/* Until the backup has acknowledged a scope with the agent, the agent receives no order; a job
 * without usable agents fails at its deadline. */
#define IN_SCOPE(a) scopeAcked[a]
#endif

#ifdef MUTANT_HEDGE
/* Sends an order to another agent while one is outstanding. */
#define ORDER_ALLOWED(orderedAgent) true
#else
#define ORDER_ALLOWED(orderedAgent) (orderedAgent == 0)
#endif

#define PRIMARY_MAY_ORDER(t, a) \
    (primaryAlive && primaryPhase == 2 && !primaryFenced && !deadlinePassed && IN_SCOPE(a) \
     && !primaryDone[t] && ORDER_ALLOWED(primaryOrderedAgent[t]) && !primaryOrderSent[PAIR(t, a)])

/* Actions of the agents */

#ifdef MUTANT_NO_FENCE
/* A fenced agent accepts orders of the primary. */
#define FENCED(a) false
#else
#define FENCED(a) fenced[a]
#endif

#ifdef MUTANT_IGNORE_EXPIRY
/* The agent trusts the remaining time in an order, which was computed when the order was sent. A
 * delayed order therefore appears to be in time: the agent accepts it after the retention period
 * and starts it after the deadline. */
#define ORDER_FRESH true
#define IN_TIME true
#else
#define ORDER_FRESH (!retentionEnded)
#define IN_TIME (!deadlinePassed)
#endif

inline agentReceivesOrder(t, a) {
        if
    :: orderState[PAIR(t, a)] = ORDER_QUEUED;
    /* No credit, zone out of service, target leaving, or configuration not proven current. */
    :: orderState[PAIR(t, a)] = ORDER_REFUSED;
    fi
}

/* The agent receives a fence request, and its report reaches the backup. */
inline agentFencedReportReceived(a) {
    fenced[a] = true;
        if
    :: !reported[a] && takenOver && backupAlive ->
        reported[a] = true;
        reportedTask[PAIR(0, a)] = (orderState[PAIR(0, a)] >= ORDER_QUEUED
                                      && orderState[PAIR(0, a)] <= ORDER_FINISHED);
        reportedTask[PAIR(1, a)] = (orderState[PAIR(1, a)] >= ORDER_QUEUED
                                      && orderState[PAIR(1, a)] <= ORDER_FINISHED);
        :: else -> skip;
    fi
}

/* The agent receives a fence request, but its report is lost: the fence is in force, and the backup
 * does not know it. */
inline agentFencedReportLost(a) {
    fenced[a] = true;
}

/* Actions of the backup */

#ifdef MUTANT_SKIP_COLLECTION
/* The backup resumes the job before it has the fence reports of all agents in the scope. */
#define REPORTED_OR_NOT_IN_SCOPE(a) true
#else
#define REPORTED_OR_NOT_IN_SCOPE(a) (!backupScope[a] || reported[a])
#endif

#define ALL_REPORTED (REPORTED_OR_NOT_IN_SCOPE(0) && REPORTED_OR_NOT_IN_SCOPE(1))

inline backupResumesJob() {
        if
    :: !recordStored || recordClosed ->
#ifdef MUTANT_RESUBMISSION_IS_NEW /* without an open record, it runs the job as a new one */
        backupPhase = 2;
#else
        backupAnswersFailed(); /* the job's outcome is unknown */
#endif
    :: else ->
        backupPhase = 2;
        if
        :: reportedTask[PAIR(0, 0)] -> backupOrderedAgent[0] = 1;
        :: reportedTask[PAIR(0, 1)] -> backupOrderedAgent[0] = 2;
        :: else -> skip;
        fi;
        if
        :: reportedTask[PAIR(1, 0)] -> backupOrderedAgent[1] = 1;
        :: reportedTask[PAIR(1, 1)] -> backupOrderedAgent[1] = 2;
        :: else -> skip;
        fi;
    fi
}

/* The backup sends orders only to fenced agents in the scope. Without a record it sends them to any
 * fenced agent, which happens only with MUTANT_RESUBMISSION_IS_NEW. */
#define BACKUP_MAY_ORDER(t, a) \
    (backupAlive && backupPhase == 2 && !deadlinePassed && (backupScope[a] || recordStored == false) \
     && !backupDone[t] && backupOrderedAgent[t] == 0 && !backupOrderSent[PAIR(t, a)] \
     && fenced[a])

#define BACKUP_ORDER_ARRIVES(t, a) \
    (backupOrderSent[PAIR(t, a)] && agentAlive[a] && ORDER_FRESH)

#ifdef MUTANT_NO_INCARNATION
/* The agent restarts as the same incarnation, without its orders and fence. */
inline crashAgent(a) {
    orderState[PAIR(0, a)] = ORDER_NONE;
    orderState[PAIR(1, a)] = ORDER_NONE;
    fenced[a] = false;
    crashes++;
}
#else
inline crashAgent(a) {
    agentAlive[a] = false;
    crashes++;
}
#endif

#define PRIMARY_ORDER_ARRIVES(t, a) \
    (primaryOrderSent[PAIR(t, a)] && agentAlive[a] && ORDER_FRESH && !FENCED(a) \
     && orderState[PAIR(t, a)] == ORDER_NONE)

/* Transitions of one task and one agent. */
#define PAIR_TRANSITIONS(t, a) \
    :: atomic { PRIMARY_MAY_ORDER(t, a) -> primarySendsOrder(t, a) } \
    :: atomic { PRIMARY_ORDER_ARRIVES(t, a) -> agentReceivesOrder(t, a) } \
    :: atomic { agentAlive[a] && orderState[PAIR(t, a)] == ORDER_QUEUED && IN_TIME -> \
                startTask(t, a) } \
    :: atomic { agentAlive[a] && orderState[PAIR(t, a)] == ORDER_QUEUED -> WITHDRAW(t, a) } \
    :: atomic { agentAlive[a] && orderState[PAIR(t, a)] == ORDER_RUNNING -> orderState[PAIR(t, a)] = ORDER_FINISHED } \
    /* The agent receives the primary's query about an order before the order itself. */ \
    :: atomic { agentAlive[a] && primaryOrderSent[PAIR(t, a)] && orderState[PAIR(t, a)] == ORDER_NONE \
                && primaryAlive && primaryOrderedAgent[t] == a + 1 && !fenced[a] -> \
                ANSWER_QUERY(t, a) } \
    /* The primary receives a task's end, a refusal, and the refusal of a fenced agent. */ \
    :: atomic { primaryAlive && primaryPhase == 2 && primaryOrderedAgent[t] == a + 1 \
                && !primaryDone[t] && orderState[PAIR(t, a)] == ORDER_FINISHED && !retentionEnded -> \
                primaryDone[t] = true } \
    :: atomic { primaryAlive && primaryPhase == 2 && primaryOrderedAgent[t] == a + 1 \
                && !primaryDone[t] && orderState[PAIR(t, a)] == ORDER_REFUSED && agentAlive[a] -> \
                primaryOrderedAgent[t] = 0 } \
    :: atomic { primaryAlive && primaryPhase == 2 && !primaryFenced \
                && primaryOrderSent[PAIR(t, a)] && fenced[a] && agentAlive[a] \
                && orderState[PAIR(t, a)] == ORDER_NONE -> primaryFenced = true } \
    /* The primary loses the link to an agent that has an order. */ \
    :: atomic { primaryAlive && primaryPhase == 2 && primaryOrderedAgent[t] == a + 1 \
                && !primaryDone[t] && !agentAlive[a] -> HANDLE_AGENT_LOSS(t) } \
    /* The backup after it has resumed the job. */ \
    :: atomic { BACKUP_MAY_ORDER(t, a) -> \
                backupOrderSent[PAIR(t, a)] = true; backupOrderedAgent[t] = a + 1 } \
    :: atomic { BACKUP_ORDER_ARRIVES(t, a) \
                && (orderState[PAIR(t, a)] == ORDER_NONE || orderState[PAIR(t, a)] >= ORDER_REFUSED) \
                && backupAlive && backupOrderedAgent[t] == a + 1 && backupPhase == 2 -> \
                orderState[PAIR(t, a)] = ORDER_QUEUED } \
    :: atomic { backupAlive && backupPhase == 2 && backupOrderedAgent[t] == a + 1 && !backupDone[t] \
                && orderState[PAIR(t, a)] == ORDER_FINISHED && !retentionEnded -> backupDone[t] = true } \
    :: atomic { backupAlive && backupPhase == 2 && backupOrderedAgent[t] == a + 1 && !backupDone[t] \
                && orderState[PAIR(t, a)] >= ORDER_REFUSED && !backupOrderSent[PAIR(t, a)] -> \
                backupOrderedAgent[t] = 0 } \
    :: atomic { backupAlive && backupPhase == 2 && backupOrderedAgent[t] == a + 1 && !backupDone[t] \
                && !agentAlive[a] -> backupAnswersFailed() }

#ifdef MUTANT_VOID_FORGOTTEN
/* The agent answers that the order is void, but keeps no record of it. */
#define ANSWER_QUERY(t, a) primaryOrderedAgent[t] = 0
#else
#define ANSWER_QUERY(t, a) orderState[PAIR(t, a)] = ORDER_REFUSED
#endif

#ifdef MUTANT_RETRY_AFTER_AGENT_LOSS
/* The primary sends another order for a task whose agent is lost, although the task may have
 * started. */
#define HANDLE_AGENT_LOSS(t) primaryOrderedAgent[t] = 0
#else
#define HANDLE_AGENT_LOSS(t) primaryAnswersFailed()
#endif

/* The agent withdraws a queued order, at any time and for whatever reason. */
#ifdef MUTANT_FENCED_AGENT_INFORMS_PRIMARY
/* A fenced agent reports a withdrawn order to the primary too, not only to the backup. */
#define WITHDRAW(t, a) orderState[PAIR(t, a)] = ORDER_REFUSED
#else
#define WITHDRAW(t, a) orderState[PAIR(t, a)] = (fenced[a] -> ORDER_REFUSED_FENCED : ORDER_REFUSED)
#endif

/* Transitions of one agent. */
#define AGENT_TRANSITIONS(a) \
    :: atomic { primaryAlive && !scopeSent[a] -> scopeSent[a] = true } \
    :: atomic { backupAlive && scopeSent[a] && !backupScope[a] && !takenOver -> backupScope[a] = true } \
    :: atomic { primaryAlive && backupScope[a] && !scopeAcked[a] && backupAlive -> \
                scopeAcked[a] = true } \
    /* The backup fences the agent; the agent's report is lost, or arrives. */ \
    :: atomic { takenOver && FENCE_SENT(a) && agentAlive[a] && !reported[a] && !fenced[a] -> \
                agentFencedReportLost(a) } \
    :: atomic { takenOver && FENCE_SENT(a) && agentAlive[a] && !reported[a] -> agentFencedReportReceived(a) } \
    :: atomic { crashes < CRASHES && agentAlive[a] -> crashAgent(a) }

/* A backup without a record fences every agent. */
#define FENCE_SENT(a) (backupScope[a] || !recordStored)

#ifdef MUTANT_NOT_RUN_EARLY
/* The primary answers that the job is refused before the backup has closed its record. */
#define CLOSE_CONFIRMED true
#else
#define CLOSE_CONFIRMED (recordClosed && backupAlive && !takenOver)
#endif

#ifdef MUTANT_PARTIAL_ANSWER
/* A job counts as complete when one of its tasks has ended. */
#define ALL_DONE(done) (done[0] || done[1])
#else
#define ALL_DONE(done) (done[0] && done[1])
#endif

/* Maximum number of crashes of processes. */
#ifndef CRASHES
#define CRASHES 2
#endif

/* An entry that is alive has answered, or both entries are lost, or no job was submitted. */
#define ANSWERED \
    ((primaryAlive && primaryOutcome != OUTCOME_PENDING) || (backupAlive && backupOutcome != OUTCOME_PENDING) \
     || (!primaryAlive && !backupAlive) \
     || (primaryPhase == 0))

init {
    agentAlive[0] = true;
    agentAlive[1] = true;
    primaryAlive = true;
    backupAlive = true;

    do
    PAIR_TRANSITIONS(0, 0)
    PAIR_TRANSITIONS(0, 1)
    PAIR_TRANSITIONS(1, 0)
    PAIR_TRANSITIONS(1, 1)
    AGENT_TRANSITIONS(0)
    AGENT_TRANSITIONS(1)

    /* The caller submits the job. A resubmission to the primary has no effect of its own: the
     * primary attaches its caller to the job that it already has. */
    :: atomic { primaryAlive && primaryPhase == 0 -> primaryReceivesSubmission() }
    /* Mutant: the primary accepts a job that it refused before it had sent a record. */
#ifdef MUTANT_REFUSAL_NOT_FINAL
    :: atomic { primaryAlive && primaryPhase == 4 && primaryOutcome == OUTCOME_REFUSED &&
                !recordSent -> \
                primaryPhase = 1; recordSent = true }
#endif
    :: atomic { backupAlive && recordSent && !recordStored && !takenOver -> recordStored = true }
    :: atomic { primaryAlive && primaryPhase == 1 && recordStored && backupAlive -> \
                primaryReceivesRecordAck() }
    /* The acknowledgement times out: the primary runs the job without a record. */
    :: atomic { primaryAlive && primaryPhase == 1 -> primaryPhase = 2 }
    /* Refusal after the record was sent and before any order. */
    :: atomic { primaryAlive && primaryPhase == 2 && !anyPrimaryOrderSent && !primaryFenced -> \
                primaryPhase = 3 }
    :: atomic { backupAlive && primaryPhase == 3 && !recordClosed && !takenOver -> \
                recordClosed = true }
    :: atomic { primaryAlive && primaryPhase == 3 && CLOSE_CONFIRMED -> answerRefused() }
    :: atomic { primaryAlive && primaryPhase == 3 && (!backupAlive || takenOver) -> \
                primaryAnswersFailed() }
    :: atomic { primaryAlive && primaryPhase == 2 && ALL_DONE(primaryDone) -> \
                answerComplete(primaryOutcome); primaryPhase = 4 }
    /* Mutant: the primary does not fail an unfinished job at its deadline. */
#ifndef MUTANT_NO_DEADLINE
    :: atomic { primaryAlive && primaryPhase >= 1 && primaryPhase <= 3 && deadlinePassed -> \
                primaryAnswersFailed() }
#endif
    /* The backup of a fenced primary has crashed. */
    :: atomic { primaryAlive && primaryFenced && primaryPhase < 4 && !backupAlive -> \
                primaryAnswersFailed() }

    /* The backup suspects that the primary has failed, correctly or not. */
    :: atomic { backupAlive && !takenOver && primaryPhase > 0 -> \
                takenOver = true; backupPhase = 1 }
    :: atomic { backupAlive && backupPhase == 1 && ALL_REPORTED -> backupResumesJob() }
    /* The report of an agent in the scope times out. */
    :: atomic { backupAlive && backupPhase == 1 && !ALL_REPORTED -> backupAnswersFailed() }
    :: atomic { backupAlive && backupPhase == 2 && ALL_DONE(backupDone) -> \
                answerComplete(backupOutcome); backupPhase = 3 }
    :: atomic { backupAlive && backupPhase == 2 && deadlinePassed -> backupAnswersFailed() }

    :: atomic { crashes < CRASHES && primaryAlive -> primaryAlive = false; crashes++ }
    :: atomic { crashes < CRASHES && backupAlive -> backupAlive = false; crashes++ }

    :: atomic { !deadlinePassed -> deadlinePassed = true }
    /* Agents keep the records of orders until some seconds after the deadline, then erase them. */
    :: atomic { deadlinePassed && !retentionEnded -> \
                retentionEnded = true; \
                orderState[0] = ORDER_NONE; orderState[1] = ORDER_NONE;
                orderState[2] = ORDER_NONE; orderState[3] = ORDER_NONE }
    :: timeout -> break
    od;

    assert(ANSWERED); /* R4: without further failures every job is answered */
}
