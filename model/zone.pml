/*
 * Taking an availability zone out, in discrete time: one step is 0.5 s, the heartbeat interval.
 *
 * Three zones with one entry each; the agent is in zone 0, which operators take out by writing
 * version 2 over version 1. In each step every message, store read and action of zone 0 may fail to
 * happen, which covers cut links, a store that is down, slow or shows an old value, lost answers
 * and frozen processes. Proofs are kept as ages; a message that waits in a queue grows older.
 *
 * Assumption (design, residual case): once the store has accepted version 2, some entry outside
 * zone 0 reads it or gets it pushed within 1 s.
 */

#define ENTRIES 3
#define LIMIT 4 /* currency limit: 2 s */
#define SPREAD 2 /* 1 s from acceptance until some entry holds the version */
#define BOUND 9 /* 4.5 s from acceptance */
#define EXPIRED (LIMIT + 1) /* ages beyond the limit are alike */

byte storeVersion = 1;
byte sinceAccepted; /* steps since version 2 was accepted, 0 while it is not */

byte version[ENTRIES] = 1;
byte agentVersion = 1;
byte storeAge; /* age of the store's proof at entry 0 */
byte heard[ENTRIES]; /* age of zone i's newest proof at entry 0 */
byte agentAge; /* age of the agent's proof */
bool delayed; /* a heartbeat of entry 0 to the agent waits in a queue */
byte delayedAge;
byte delayedVersion;

hidden byte proof; /* age of entry 0's own proof */
hidden byte before[ENTRIES];

inline grow(age) {
    if
    :: age < EXPIRED -> age++;
    :: else -> skip;
    fi
}

inline passTime() {
    if
    :: sinceAccepted > 0 && sinceAccepted <= BOUND -> sinceAccepted++;
    :: else -> skip;
    fi;
    grow(storeAge);
    grow(heard[1]);
    grow(heard[2]);
    grow(agentAge);
    if
    :: delayed -> grow(delayedAge);
    :: else -> skip;
    fi
}

inline take(e, v) {
#ifdef MUTANT_VERSION_REVERTS
    version[e] = v;
#else
    if
    :: v > version[e] -> version[e] = v;
    :: else -> skip;
    fi;
#endif
}

inline confirm(v) {
    if
    :: version[0] == v && storeVersion == v -> storeAge = 0;
    :: else -> skip;
    fi
}

inline readStore() {
    if
    :: true -> take(0, storeVersion); confirm(storeVersion);
    :: true -> take(0, 1); confirm(1); /* a lagging replica shows the older value */
    :: true -> skip; /* the store is down, cut off or slow, or its answer is lost */
    fi
}

inline operatorsWrite() {
    if
    :: storeVersion == 1 -> storeVersion = 2; sinceAccepted = 1;
    :: true -> skip;
    fi
}

/* By the assumption, entry 1 holds the version after SPREAD at the latest. Zone 2 is heard through an
 * agent, which learns the version by the next heartbeat and pulls it. */
inline spread() {
    if
    :: sinceAccepted > SPREAD -> take(1, 2);
    :: else -> skip;
    fi;
    if
    :: sinceAccepted > SPREAD + 2 -> take(2, 2);
    :: else -> skip;
    fi
}

inline hearZone(e) {
#ifdef MUTANT_HEARD_COUNTS_ANY_VERSION
    heard[e] = 0;
#else
    if
    :: version[e] == version[0] -> heard[e] = 0;
    :: else -> take(0, version[e]); /* pulled; counts from the next heartbeat on */
    fi
#endif
}

/* Each message and each step of the entry may fail to happen: cut link, lost message, freeze. */
inline entryZeroRuns() {
    readStore();
    if
    :: true -> hearZone(1);
    :: true -> skip;
    fi;
    if
    :: true -> hearZone(2);
    :: true -> skip;
    fi
}

/* Newest of the store's proof and the second of three zones, its own included. */
inline computeProof() {
    proof = (heard[1] < heard[2] -> heard[1] : heard[2]);
    proof = (storeAge < proof -> storeAge : proof);
#ifdef MUTANT_NO_CURRENCY
    proof = 0;
#endif
}

#ifdef MUTANT_PROOF_AGES_NOT_CARRIED
#define CARRIED 0
#else
#define CARRIED proof
#endif

inline heartbeatToAgent() {
    if
    :: proof <= LIMIT && !delayed ->
        delayed = true;
        delayedAge = CARRIED;
        delayedVersion = version[0];
    :: true -> skip;
    fi
}

inline agentReceives() {
    if
    :: delayed ->
        delayed = false;
        agentVersion = (delayedVersion > agentVersion -> delayedVersion : agentVersion);
#ifdef MUTANT_FRESH_BY_ARRIVAL
        delayedAge = 0;
#endif
        if
        :: delayedVersion == agentVersion && delayedAge < agentAge -> agentAge = delayedAge;
        :: else -> skip;
        fi;
        delayedAge = 0;
        delayedVersion = 0;
    :: true -> skip; /* still in the queue, or the agent is stopped */
    fi
}

#ifdef MUTANT_NO_CHECK_AT_START
#define AGENT_CURRENT true
#else
#define AGENT_CURRENT (agentAge <= LIMIT)
#endif

/* A queued order starts now, whichever entry sent it. */
inline agentStarts() {
    if
    :: agentVersion == 1 && AGENT_CURRENT -> assert(sinceAccepted <= BOUND); /* R3 */
    :: else -> skip;
    fi
}

init {
    do
    :: atomic {
        before[0] = version[0];
        before[1] = version[1];
        before[2] = version[2];
        passTime();
        operatorsWrite();
        spread();
        entryZeroRuns();
        computeProof();
        heartbeatToAgent();
        agentReceives();
        agentStarts();
        /* R9: versions only grow. */
        assert(version[0] >= before[0] && version[1] >= before[1] && version[2] >= before[2]);
    }
    od
}
