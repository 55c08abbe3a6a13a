/*
 * Age of the desired state on the users' platform, in discrete time. One step is 500 ms.
 *
 * An agent learns of the desired state from an entry, which follows the store. The operators take the
 * zone of the agent out of service by a write that the store acknowledges. The entry may be cut off
 * from the store and restart, the store may be down before the write, and the agent may freeze. In
 * each step every message and every call may be late.
 *
 * A proof is the newest time at which the store is known to have had no newer state. Its age is sent
 * with each message, grows while the message is under way, and is accepted only by a process with the
 * same state. A watch that the store has held back may be too optimistic by WATCH_WAIT.
 *
 * The agent starts tasks while its proof is at most MAX_START_AGE old. With an older one it has to
 * read the store; after two failed reads in a row it starts tasks without a proof for MAX_FAILURE_AGE,
 * within which it reads again if it has tasks. A successful read proves its state, and the entry learns
 * of both by a message.
 *
 * While the agent was not frozen and the store not down for CALM, no task starts later than
 * EVACUATION_BOUND after the write. The agent reaches the store unless that is down: an agent that
 * is cut off itself is not bound by the time.
 *
 * Each mechanism has a mutant, a macro named MUTANT_... that disables it. tests/checks/model
 * requires that each mutant violates an assertion.
 */

#define MAX_START_AGE 7 /* 3.5 s */
#define MAX_READ_AGE 5 /* 2.5 s: the agent reads the store when its proof is older */
#define WATCH_WAIT 2 /* 1 s */
#define MAX_FAILURE_AGE 7 /* 3.5 s */
#define CALM 6 /* 3 s */
#define EVACUATION_BOUND 10 /* 5 s */
#define EXPIRED_AGE (MAX_START_AGE + 1) /* stands for all higher ages */

byte sinceAccepted; /* 0 before the write, then 1 and more, up to EVACUATION_BOUND + 1 */
bool storeDown;
bool entryCut;
bool agentFrozen;
byte calm = CALM; /* steps since the agent was frozen or the store was down */

bool entryKnows; /* the zone is out of service */
byte entryAge; /* age of the proof */
bool agentKnows;
byte agentAge;
byte failures; /* failed reads in a row, at most 2 */
byte sinceRead; /* steps since the newest read of the agent */
bool messageQueued; /* a message of the entry to the agent */
bool messageKnows;
byte messageAge;

inline increaseAge(age, limit) {
    if
    :: age < limit -> age++;
    :: else -> skip;
    fi
}

inline passTime() {
    if
    :: sinceAccepted > 0 -> increaseAge(sinceAccepted, EVACUATION_BOUND + 1);
    :: else -> skip;
    fi;
    increaseAge(entryAge, EXPIRED_AGE);
    increaseAge(agentAge, EXPIRED_AGE);
    if
    :: messageQueued -> increaseAge(messageAge, EXPIRED_AGE);
    :: else -> messageAge = 0; messageKnows = false;
    fi;
    if
    :: failures == 2 -> increaseAge(sinceRead, MAX_FAILURE_AGE + 1);
    :: else -> sinceRead = 0;
    fi;
    if
    :: storeDown || agentFrozen -> calm = 0;
    :: else -> increaseAge(calm, CALM);
    fi
}

inline environmentActs() {
    if
    :: sinceAccepted == 0 && !storeDown -> sinceAccepted = 1;
    :: sinceAccepted == 0 -> storeDown = !storeDown;
    :: entryCut = !entryCut;
    :: agentFrozen = !agentFrozen;
    :: skip;
    fi
}

inline entryActs() {
    if /* a watch returns */
    :: !entryCut && !storeDown ->
        if
        :: sinceAccepted > 0 -> entryKnows = true;
        :: sinceAccepted <= WATCH_WAIT -> skip; /* it has not shown the write */
        fi;
        entryAge = 0;
    :: true -> /* the entry restarts, with the state of its peers */
        entryKnows = agentKnows;
#ifdef MUTANT_STATE_OF_PEER_PROVES /* the state of a peer counts as current */
        entryAge = 0;
#else
        entryAge = EXPIRED_AGE;
#endif
    :: skip;
    fi;
    if
    :: !messageQueued ->
        messageQueued = true;
        messageKnows = entryKnows;
        messageAge = entryAge;
    :: skip;
    fi
}

inline agentReceives() {
    if
    :: !agentFrozen && messageQueued ->
        messageQueued = false;
#ifdef MUTANT_PROOF_OF_OTHER_STATE /* a proof counts for any state */
        if
        :: messageAge < agentAge -> agentAge = messageAge;
#else
        if
        :: messageKnows == agentKnows && messageAge < agentAge -> agentAge = messageAge;
#endif
        :: else -> skip;
        fi;
#ifdef MUTANT_FRESH_BY_ARRIVAL /* the age of the message does not count */
        if
        :: messageKnows == agentKnows && messageAge < EXPIRED_AGE -> agentAge = 0;
        :: else -> skip;
        fi;
#endif
#ifndef MUTANT_PROOF_OF_OTHER_STATE
        if
        :: messageKnows -> agentKnows = true; /* it requests the newer state */
        :: skip;
        fi;
#endif
        if
        :: agentAge <= MAX_READ_AGE -> failures = 0;
        :: else -> skip;
        fi;
    :: messageQueued -> messageQueued = false; /* lost */
    :: skip;
    fi
}

inline readStore() {
    sinceRead = 0;
    if
    :: storeDown -> increaseAge(failures, 2);
    :: else ->
        failures = 0;
        agentKnows = sinceAccepted > 0;
        agentAge = 0;
        if /* the entry gets a message */
        :: entryKnows = entryKnows || agentKnows; entryAge = 0;
        :: skip;
        fi;
    fi
}

inline agentActs() {
    if
    :: !agentFrozen && agentAge > MAX_READ_AGE -> readStore();
    :: skip;
    fi;
    if /* a task starts */
#ifdef MUTANT_NO_WAIT /* the agent starts tasks whatever the age of the proof */
    :: !agentFrozen && !agentKnows ->
#else
#ifdef MUTANT_OLD_FAILURE /* failed reads of any age are enough */
    :: !agentFrozen && !agentKnows && (agentAge <= MAX_START_AGE || failures == 2) ->
#else
    :: !agentFrozen && !agentKnows &&
            (agentAge <= MAX_START_AGE || (failures == 2 && sinceRead <= MAX_FAILURE_AGE)) ->
#endif
#endif
        assert(sinceAccepted <= EVACUATION_BOUND || calm < CALM);
    :: skip;
    fi
}

active proctype fleet() {
    do
    :: atomic {
        environmentActs();
        entryActs();
        agentReceives();
        agentActs();
        d_step {
            passTime();
        }
    }
    od
}
