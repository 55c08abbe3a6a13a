/*
 * Taking an availability zone out of service, in discrete time. One step is 0.5 s, the heartbeat
 * interval.
 *
 * There are three zones. Entries 0 and 1 are in zones 0 and 1; zone 2 is represented by an agent,
 * entry 0's only contact there. The agent that starts tasks is in zone 0, which operators take out
 * of service by writing configuration version 2 over version 1. In each step every message, store
 * read and action of zone 0 may fail to happen, which covers cut links, a store that is down, slow
 * or returns an old value, lost answers and frozen processes. A proof that a version is current is
 * modelled by its age; the age of a message grows while it waits in a queue.
 *
 * Assumption of the design, without which the bound may be exceeded: once the store has accepted
 * version 2, some entry outside zone 0 reads it or receives it by a push within 1 s.
 *
 * Each mechanism has a mutant, a macro named MUTANT_... that disables it. tests/checks/model
 * requires that each mutant violates an assertion.
 *
 * R3 and R9 are requirements of docs/design.md.
 */

#define ZONES 3

/* Time limits in steps. */
#define MAX_PROOF_AGE 4 /* 2 s: an older proof does not show that a version is current */
#define PROPAGATION_TIME 2 /* 1 s from acceptance until some entry has the version */
/* Last value of sinceAccepted at which a task may start in the zone: 9 steps, 4.5 s, that include
 * the step of the acceptance. */
#define START_BOUND 9
#define EXPIRED_AGE (MAX_PROOF_AGE + 1) /* stands for all ages above the maximum */

byte storeVersion = 1;
/* 0 before version 2 is accepted, 1 in the step of the acceptance, then increased in each step up
 * to START_BOUND + 1. */
byte sinceAccepted;

/* Version held by entry 0 (index 0), by entry 1 (index 1), and by the agent in zone 2 whose messages
 * entry 0 receives (index 2). */
byte zoneVersion[ZONES] = 1;
byte agentVersion = 1;
byte storeProofAge; /* age of the store's proof at entry 0 */
byte zoneProofAge[ZONES]; /* age of zone i's newest proof at entry 0 */
byte agentProofAge; /* age of the agent's newest proof */
bool heartbeatQueued; /* a heartbeat of entry 0 to the agent waits in a queue */
byte heartbeatProofAge; /* age of the proof in that heartbeat */
byte heartbeatVersion;

hidden byte entryProofAge; /* age of entry 0's newest proof */
hidden byte previousVersion[ZONES];

inline increaseAge(age) {
    if
    :: age < EXPIRED_AGE -> age++;
    :: else -> skip;
    fi
}

inline passTime() {
    if
    :: sinceAccepted > 0 && sinceAccepted <= START_BOUND -> sinceAccepted++;
    :: else -> skip;
    fi;
    increaseAge(storeProofAge);
    increaseAge(zoneProofAge[1]);
    increaseAge(zoneProofAge[2]);
    increaseAge(agentProofAge);
    if
    :: heartbeatQueued -> increaseAge(heartbeatProofAge);
    :: else -> skip;
    fi
}

/* The process of zone z receives a version, and ignores it unless it is newer. */
inline offerVersion(z, v) {
#ifdef MUTANT_VERSION_REVERTS /* an older version replaces a newer one */
    zoneVersion[z] = v;
#else
    if
    :: v > zoneVersion[z] -> zoneVersion[z] = v;
    :: else -> skip;
    fi;
#endif
}

inline storeConfirms(v) {
    if
    :: zoneVersion[0] == v && storeVersion == v -> storeProofAge = 0;
    :: else -> skip;
    fi
}

inline readStore() {
    if
    :: true -> offerVersion(0, storeVersion); storeConfirms(storeVersion);
    :: true -> offerVersion(0, 1); storeConfirms(1); /* a lagging replica returns the old value */
    :: true -> skip; /* the store is down, cut off or slow, or its answer is lost */
    fi
}

inline operatorsWrite() {
    if
    :: storeVersion == 1 -> storeVersion = 2; sinceAccepted = 1;
    :: true -> skip;
    fi
}

/* By the assumption, entry 1 has the version after PROPAGATION_TIME at the latest. Entry 0 has
 * contact with zone 2 only through an agent, which learns of the version from the next heartbeat
 * and pulls it, and so has it 2 steps later at the latest. */
inline propagateVersion() {
    if
    :: sinceAccepted > PROPAGATION_TIME -> offerVersion(1, 2);
    :: else -> skip;
    fi;
    if
    :: sinceAccepted > PROPAGATION_TIME + 2 -> offerVersion(2, 2);
    :: else -> skip;
    fi
}

inline entry0ReceivesHeartbeat(z) {
#ifdef MUTANT_HEARD_COUNTS_ANY_VERSION /* a heartbeat with another version is a proof as well */
    zoneProofAge[z] = 0;
#else
    if
    :: zoneVersion[z] == zoneVersion[0] -> zoneProofAge[z] = 0;
    /* Entry 0 pulls the version; the zone's heartbeats are proofs from the next one on. */
    :: else -> offerVersion(0, zoneVersion[z]);
    fi
#endif
}

/* Each message and each action of entry 0 may fail to happen: cut link, lost message, freeze. */
inline entry0Acts() {
    readStore();
    if
    :: true -> entry0ReceivesHeartbeat(1);
    :: true -> skip;
    fi;
    if
    :: true -> entry0ReceivesHeartbeat(2);
    :: true -> skip;
    fi
}

/* The newer one of the store's proof and the majority's. The majority's proof is the second newest
 * of the three zones' proofs, entry 0's own zone included, whose age is 0. */
inline computeEntryProofAge() {
    entryProofAge = (zoneProofAge[1] < zoneProofAge[2] -> zoneProofAge[1] : zoneProofAge[2]);
    entryProofAge = (storeProofAge < entryProofAge -> storeProofAge : entryProofAge);
#ifdef MUTANT_NO_CURRENCY /* entry 0 needs no proof */
    entryProofAge = 0;
#endif
}

#ifdef MUTANT_PROOF_AGES_NOT_CARRIED /* heartbeats state the age 0 for each proof */
#define SENT_PROOF_AGE 0
#else
#define SENT_PROOF_AGE entryProofAge
#endif

inline entry0SendsHeartbeat() {
    if
    :: entryProofAge <= MAX_PROOF_AGE && !heartbeatQueued ->
        heartbeatQueued = true;
        heartbeatProofAge = SENT_PROOF_AGE;
        heartbeatVersion = zoneVersion[0];
    :: true -> skip;
    fi
}

inline agentReceivesHeartbeat() {
    if
    :: heartbeatQueued ->
        heartbeatQueued = false;
        agentVersion = (heartbeatVersion > agentVersion -> heartbeatVersion : agentVersion);
#ifdef MUTANT_FRESH_BY_ARRIVAL /* the age of a proof counts from its arrival at the agent */
        heartbeatProofAge = 0;
#endif
        if
        :: heartbeatVersion == agentVersion && heartbeatProofAge < agentProofAge ->
            agentProofAge = heartbeatProofAge;
        :: else -> skip;
        fi;
        heartbeatProofAge = 0;
        heartbeatVersion = 0;
    :: true -> skip; /* still in the queue, or the agent is frozen */
    fi
}

#ifdef MUTANT_NO_CHECK_AT_START /* the agent starts tasks without a proof */
#define AGENT_CURRENT true
#else
#define AGENT_CURRENT (agentProofAge <= MAX_PROOF_AGE)
#endif

/* A queued order may start its task now, whichever entry has sent it. */
inline agentStartsTask() {
    if
    :: agentVersion == 1 && AGENT_CURRENT ->
        assert(sinceAccepted <= START_BOUND); /* R3: no task starts after the bound */
    :: else -> skip;
    fi
}

init {
    do
    :: atomic {
        previousVersion[0] = zoneVersion[0];
        previousVersion[1] = zoneVersion[1];
        previousVersion[2] = zoneVersion[2];
        passTime();
        operatorsWrite();
        propagateVersion();
        entry0Acts();
        computeEntryProofAge();
        entry0SendsHeartbeat();
        agentReceivesHeartbeat();
        agentStartsTask();
        /* R9: versions never decrease. */
        assert(zoneVersion[0] >= previousVersion[0] && zoneVersion[1] >= previousVersion[1]
               && zoneVersion[2] >= previousVersion[2]);
    }
    od
}
