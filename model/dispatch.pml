/*
 * Core protocol of one job: submission, record at the backup, scope, start orders, refusals,
 * takeover with fences, resumption, answers.
 *
 * The network is a set of sent messages: each may be delivered at any later time, again, out of
 * order, or never, which covers loss, duplication, delay and reordering. A process that is paused
 * is one whose actions are not scheduled for a while. A crash loses all memory; a restarted
 * process is a new incarnation and takes no part in this job.
 *
 * Every mechanism has a mutant (a macro named MUTANT_...) that takes it out; scripts/check-model
 * requires each of them to violate an assertion.
 */

#define TASKS 2
#define AGENTS 2
#define PAIRS 4
#define PAIR(t, a) ((t) * AGENTS + (a))

/* State of a task at an agent. */
#define NONE 0
#define QUEUED 1
#define RUNNING 2
#define FINISHED 3
#define VOID 4
#define VOID_AFTER_FENCE 5 /* withdrawn, and only the backup may learn it */

/* Answers. */
#define OPEN 0
#define COMPLETE 1
#define FAILED 2
#define NOT_RUN 3

/* What really happened, seen by no process. */
byte starts[TASKS];
bool saidNotRun;

/* Agents. */
bool agentAlive[AGENTS];
bool fenced[AGENTS];
byte task[PAIRS];

/* Primary. */
bool primaryAlive;
byte primaryPhase; /* 0 no job, 1 record sent, 2 may start, 3 withdrawing the record, 4 ended */
byte primaryAnswer;
bool primaryFenced;
bool primaryDone[TASKS];
byte primaryOrder[TASKS]; /* agent + 1 of the order that is out, 0 when none is */
bool orderSent[PAIRS];
bool anyOrderSent;
bool recordSent;
bool scopeSent[AGENTS];
bool scopeAcked[AGENTS];

/* Backup. */
bool backupAlive;
bool record;
bool recordClosed;
bool scope[AGENTS];
bool takenOver;
bool reported[AGENTS];
bool reportedTask[PAIRS];
byte backupPhase; /* 0 standby, 1 fencing, 2 resumed, 3 ended */
byte backupAnswer;
bool backupDone[TASKS];
byte backupOrder[TASKS];
bool backupOrderSent[PAIRS];

/* Time: the deadline passes, then the agents' retention ends. */
bool deadlinePassed;
bool retentionEnded;

byte crashes;

inline startTask(t, a) {
    task[PAIR(t, a)] = RUNNING;
    starts[t]++;
    assert(starts[t] <= 1); /* R1, R6 */
    assert(!saidNotRun); /* R5 */
}

inline answerNotRun() {
    saidNotRun = true;
    primaryAnswer = NOT_RUN;
    primaryPhase = 4;
    assert(starts[0] == 0 && starts[1] == 0); /* R5 */
}

inline answerComplete(answer) {
    answer = COMPLETE;
    assert(starts[0] == 1 && starts[1] == 1); /* R2 */
}

inline primaryFails() {
    primaryAnswer = FAILED;
    primaryPhase = 4;
}

inline backupFails() {
    backupAnswer = FAILED;
    backupPhase = 3;
}

/* Actions of the primary */

inline primarySubmit() {
    if
    :: primaryPhase = 1; recordSent = true;
    :: answerNotRun(); /* refused by admission before a record was sent */
    fi
}

inline primaryTakesRecordAck() {
    if
    :: takenOver -> primaryFenced = true;
    :: else -> primaryPhase = 2;
    fi
}

inline primarySendOrder(t, a) {
    orderSent[PAIR(t, a)] = true;
    anyOrderSent = true;
    primaryOrder[t] = a + 1;
}

#ifdef MUTANT_NO_SCOPE
#define IN_SCOPE(a) true
#else
#define IN_SCOPE(a) scopeAcked[a]
#endif

#ifdef MUTANT_HEDGE
#define ORDER_ALLOWED(order) true
#else
#define ORDER_ALLOWED(order) (order == 0)
#endif

#define PRIMARY_MAY_ORDER(t, a) \
    (primaryAlive && primaryPhase == 2 && !primaryFenced && !deadlinePassed && IN_SCOPE(a) \
     && !primaryDone[t] && ORDER_ALLOWED(primaryOrder[t]) && !orderSent[PAIR(t, a)])

/* Actions of the agents */

#ifdef MUTANT_NO_FENCE
#define FENCED(a) false
#else
#define FENCED(a) fenced[a]
#endif

#ifdef MUTANT_IGNORE_EXPIRY
/* An order states the time left when it was sent, so a late one seems to be in time. */
#define ORDER_FRESH true
#define IN_TIME true
#else
#define ORDER_FRESH (!retentionEnded)
#define IN_TIME (!deadlinePassed)
#endif

inline agentTakesOrder(t, a) {
    if
    :: task[PAIR(t, a)] = QUEUED;
    :: task[PAIR(t, a)] = VOID; /* refused: no credit, zone out, leaving, not current */
    fi
}

inline agentReports(a) {
    fenced[a] = true;
    if
    :: !reported[a] && takenOver && backupAlive ->
        reported[a] = true;
        reportedTask[PAIR(0, a)] = (task[PAIR(0, a)] >= QUEUED && task[PAIR(0, a)] <= FINISHED);
        reportedTask[PAIR(1, a)] = (task[PAIR(1, a)] >= QUEUED && task[PAIR(1, a)] <= FINISHED);
    :: else -> skip;
    fi
}

/* The report may get lost: the fence holds, and the backup does not know. */
inline agentFencedReportLost(a) {
    fenced[a] = true;
}

/* Actions of the backup */

#ifdef MUTANT_SKIP_COLLECTION
#define REPORT_SUFFICES(a) true
#else
#define REPORT_SUFFICES(a) (!scope[a] || reported[a])
#endif

#define ALL_REPORTED (REPORT_SUFFICES(0) && REPORT_SUFFICES(1))

inline backupResumes() {
    if
    :: !record || recordClosed ->
#ifdef MUTANT_RESUBMISSION_IS_NEW
        backupPhase = 2;
#else
        backupFails(); /* outcome unknown */
#endif
    :: else ->
        backupPhase = 2;
        if
        :: reportedTask[PAIR(0, 0)] -> backupOrder[0] = 1;
        :: reportedTask[PAIR(0, 1)] -> backupOrder[0] = 2;
        :: else -> skip;
        fi;
        if
        :: reportedTask[PAIR(1, 0)] -> backupOrder[1] = 1;
        :: reportedTask[PAIR(1, 1)] -> backupOrder[1] = 2;
        :: else -> skip;
        fi;
    fi
}

#define BACKUP_MAY_ORDER(t, a) \
    (backupAlive && backupPhase == 2 && !deadlinePassed && (scope[a] || record == false) \
     && !backupDone[t] && backupOrder[t] == 0 && !backupOrderSent[PAIR(t, a)] \
     && fenced[a])

#define BACKUP_ORDER_ARRIVES(t, a) \
    (backupOrderSent[PAIR(t, a)] && agentAlive[a] && ORDER_FRESH)

#ifdef MUTANT_NO_INCARNATION
inline crashAgent(a) {
    task[PAIR(0, a)] = NONE;
    task[PAIR(1, a)] = NONE;
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
    (orderSent[PAIR(t, a)] && agentAlive[a] && ORDER_FRESH && !FENCED(a) \
     && task[PAIR(t, a)] == NONE)

#define PER_PAIR(t, a) \
    :: atomic { PRIMARY_MAY_ORDER(t, a) -> primarySendOrder(t, a) } \
    :: atomic { PRIMARY_ORDER_ARRIVES(t, a) -> agentTakesOrder(t, a) } \
    :: atomic { agentAlive[a] && task[PAIR(t, a)] == QUEUED && IN_TIME -> \
                startTask(t, a) } \
    :: atomic { agentAlive[a] && task[PAIR(t, a)] == QUEUED -> WITHDRAW(t, a) } \
    :: atomic { agentAlive[a] && task[PAIR(t, a)] == RUNNING -> task[PAIR(t, a)] = FINISHED } \
    /* A task query reaches the agent before the order does. */ \
    :: atomic { agentAlive[a] && orderSent[PAIR(t, a)] && task[PAIR(t, a)] == NONE \
                && primaryAlive && primaryOrder[t] == a + 1 && !fenced[a] -> \
                QUERY_VOIDS(t, a) } \
    /* Updates reach the primary. */ \
    :: atomic { primaryAlive && primaryPhase == 2 && primaryOrder[t] == a + 1 \
                && !primaryDone[t] && task[PAIR(t, a)] == FINISHED && !retentionEnded -> \
                primaryDone[t] = true } \
    :: atomic { primaryAlive && primaryPhase == 2 && primaryOrder[t] == a + 1 \
                && !primaryDone[t] && task[PAIR(t, a)] == VOID && agentAlive[a] -> \
                primaryOrder[t] = 0 } \
    :: atomic { primaryAlive && primaryPhase == 2 && !primaryFenced \
                && orderSent[PAIR(t, a)] && fenced[a] && agentAlive[a] \
                && task[PAIR(t, a)] == NONE -> primaryFenced = true } \
    /* The link to an agent with an order is lost. */ \
    :: atomic { primaryAlive && primaryPhase == 2 && primaryOrder[t] == a + 1 \
                && !primaryDone[t] && !agentAlive[a] -> AGENT_LOST(t) } \
    /* The backup after the takeover. */ \
    :: atomic { BACKUP_MAY_ORDER(t, a) -> \
                backupOrderSent[PAIR(t, a)] = true; backupOrder[t] = a + 1 } \
    :: atomic { BACKUP_ORDER_ARRIVES(t, a) \
                && (task[PAIR(t, a)] == NONE || task[PAIR(t, a)] >= VOID) \
                && backupAlive && backupOrder[t] == a + 1 && backupPhase == 2 -> \
                task[PAIR(t, a)] = QUEUED } \
    :: atomic { backupAlive && backupPhase == 2 && backupOrder[t] == a + 1 && !backupDone[t] \
                && task[PAIR(t, a)] == FINISHED && !retentionEnded -> backupDone[t] = true } \
    :: atomic { backupAlive && backupPhase == 2 && backupOrder[t] == a + 1 && !backupDone[t] \
                && task[PAIR(t, a)] >= VOID && !backupOrderSent[PAIR(t, a)] -> \
                backupOrder[t] = 0 } \
    :: atomic { backupAlive && backupPhase == 2 && backupOrder[t] == a + 1 && !backupDone[t] \
                && !agentAlive[a] -> backupFails() }

#ifdef MUTANT_VOID_FORGOTTEN
#define QUERY_VOIDS(t, a) primaryOrder[t] = 0
#else
#define QUERY_VOIDS(t, a) task[PAIR(t, a)] = VOID
#endif

#ifdef MUTANT_RETRY_AFTER_AGENT_LOSS
#define AGENT_LOST(t) primaryOrder[t] = 0
#else
#define AGENT_LOST(t) primaryFails()
#endif

#ifdef MUTANT_FENCED_AGENT_INFORMS_PRIMARY
#define WITHDRAW(t, a) task[PAIR(t, a)] = VOID
#else
#define WITHDRAW(t, a) task[PAIR(t, a)] = (fenced[a] -> VOID_AFTER_FENCE : VOID)
#endif

#define PER_AGENT(a) \
    :: atomic { primaryAlive && !scopeSent[a] -> scopeSent[a] = true } \
    :: atomic { backupAlive && scopeSent[a] && !scope[a] && !takenOver -> scope[a] = true } \
    :: atomic { primaryAlive && scope[a] && !scopeAcked[a] && backupAlive -> \
                scopeAcked[a] = true } \
    /* The backup never answers: the agent stays unused, and a job without agents fails. */ \
    :: atomic { takenOver && FENCE_SENT(a) && agentAlive[a] && !reported[a] && !fenced[a] -> \
                agentFencedReportLost(a) } \
    :: atomic { takenOver && FENCE_SENT(a) && agentAlive[a] && !reported[a] -> agentReports(a) } \
    :: atomic { crashes < CRASHES && agentAlive[a] -> crashAgent(a) }

#define FENCE_SENT(a) (scope[a] || !record)

#ifdef MUTANT_NOT_RUN_EARLY
#define WITHDRAWN true
#else
#define WITHDRAWN (recordClosed && backupAlive && !takenOver)
#endif

#ifdef MUTANT_PARTIAL_ANSWER
#define ALL_DONE(done) (done[0] || done[1])
#else
#define ALL_DONE(done) (done[0] && done[1])
#endif

#ifndef CRASHES
#define CRASHES 2
#endif

#define ANSWERED \
    ((primaryAlive && primaryAnswer != OPEN) || (backupAlive && backupAnswer != OPEN) \
     || (!primaryAlive && !backupAlive) \
     || (primaryPhase == 0))

init {
    agentAlive[0] = true;
    agentAlive[1] = true;
    primaryAlive = true;
    backupAlive = true;

    do
    PER_PAIR(0, 0)
    PER_PAIR(0, 1)
    PER_PAIR(1, 0)
    PER_PAIR(1, 1)
    PER_AGENT(0)
    PER_AGENT(1)

    /* The caller submits; a resubmission to the primary attaches to the job it holds. */
    :: atomic { primaryAlive && primaryPhase == 0 -> primarySubmit() }
#ifdef MUTANT_REFUSAL_NOT_FINAL
    :: atomic { primaryAlive && primaryPhase == 4 && primaryAnswer == NOT_RUN && !recordSent -> \
                primaryPhase = 1; recordSent = true }
#endif
    :: atomic { backupAlive && recordSent && !record && !takenOver -> record = true }
    :: atomic { primaryAlive && primaryPhase == 1 && record && backupAlive -> \
                primaryTakesRecordAck() }
    /* No acknowledgement in time: the primary goes on without a record. */
    :: atomic { primaryAlive && primaryPhase == 1 -> primaryPhase = 2 }
    /* Refusal after the record was sent and before any order. */
    :: atomic { primaryAlive && primaryPhase == 2 && !anyOrderSent && !primaryFenced -> \
                primaryPhase = 3 }
    :: atomic { backupAlive && primaryPhase == 3 && !recordClosed && !takenOver -> \
                recordClosed = true }
    :: atomic { primaryAlive && primaryPhase == 3 && WITHDRAWN -> answerNotRun() }
    :: atomic { primaryAlive && primaryPhase == 3 && (!backupAlive || takenOver) -> \
                primaryFails() }
    :: atomic { primaryAlive && primaryPhase == 2 && ALL_DONE(primaryDone) -> \
                answerComplete(primaryAnswer); primaryPhase = 4 }
#ifndef MUTANT_NO_DEADLINE
    :: atomic { primaryAlive && primaryPhase >= 1 && primaryPhase <= 3 && deadlinePassed -> \
                primaryFails() }
#endif
    /* A fenced primary whose backup is gone. */
    :: atomic { primaryAlive && primaryFenced && primaryPhase < 4 && !backupAlive -> \
                primaryFails() }

    /* The backup suspects the primary, rightly or not. */
    :: atomic { backupAlive && !takenOver && primaryPhase > 0 -> \
                takenOver = true; backupPhase = 1 }
    :: atomic { backupAlive && backupPhase == 1 && ALL_REPORTED -> backupResumes() }
    /* An agent of the scope does not report in time. */
    :: atomic { backupAlive && backupPhase == 1 && !ALL_REPORTED -> backupFails() }
    :: atomic { backupAlive && backupPhase == 2 && ALL_DONE(backupDone) -> \
                answerComplete(backupAnswer); backupPhase = 3 }
    :: atomic { backupAlive && backupPhase == 2 && deadlinePassed -> backupFails() }

    :: atomic { crashes < CRASHES && primaryAlive -> primaryAlive = false; crashes++ }
    :: atomic { crashes < CRASHES && backupAlive -> backupAlive = false; crashes++ }

    :: atomic { !deadlinePassed -> deadlinePassed = true }
    /* The agents keep task states until some seconds after the deadline, then forget them. */
    :: atomic { deadlinePassed && !retentionEnded -> \
                retentionEnded = true; \
                task[0] = NONE; task[1] = NONE; task[2] = NONE; task[3] = NONE }
    :: timeout -> break
    od;

    assert(ANSWERED); /* R4: without further failures every job is answered */
}
