/* Mutation testing: each mutant disables or breaks one safety mechanism, to
   show that the fuzzer detects it.

   Mutants exist only in the build of "make mutants", where the environment
   variable GM_MUTANT names the active one; in any other build the macro
   GM_MUTANT is the constant 0.  */
#pragma once
#include <glib.h>

/* name, faulty behaviour  */
#define GM_MUTANTS_LIST(X)                                                    \
  X (NONE, "none")                                                            \
  X (ACK_ALONE, "a write is acknowledged before a replica holds it")          \
  X (SEAL_ONE, "one sealed copy is enough for a promotion")                   \
  X (COUNT_DECLARED, "copies beyond the declared number are not counted")     \
  X (MISSING_FORGOTTEN, "a copy that is out of sight is not counted")         \
  X (SEALS_LAPSE, "seals are not looked at again once a copy is chosen")      \
  X (HELD_UP_RUNS, "statements to a silent replaced primary stay on the way") \
  X (ORDERS_IN_TURN, "an order waits for the end of one that is void")        \
  X (PROMOTE_LOWEST, "the replica with the shortest log is promoted")         \
  X (UNALIGNED_READ, "a replaced primary serves writes only it has")          \
  X (POSITION_UNCHECKED, "a read does not check the database's position")     \
  X (SHARED_CONNECTION, "an open transaction's connection is reused")         \
  X (ANY_CUSTOMER, "a statement runs on another customer's connection")       \
  X (BORROWED_FOR_GOOD, "transactions are lent without regard to the others") \
  X (GUESS_NOT_RUN, "an unknown outcome is reported as not run")              \
  X (ABSENT_AT_ONCE, "absence counts before a majority has the new log")      \
  X (RETRY_ANEW, "a retry uses a new request id")                             \
  X (SERVE_STALE, "a host serves without a recent control stamp")             \
  X (GO_BACK, "an older state replaces a newer one")                          \
  X (STOPPED_FOR_GOOD, "a log that could not be written once stays stopped")  \
  X (ALWAYS_FIRST, "elections follow each other at the pace of the first")    \
  X (SEND_AGAIN, "an entry is sent again before its answer can have come")    \
  X (APPEND_AGAIN, "a configuration sent again gets another entry")           \
  X (ANY_DISK, "a voter with an emptied disk keeps its vote")                 \
  X (COMMIT_ALONE, "an entry commits without a quorum")                       \
  X (LEARNER_VOTES, "a learner counts as a voter before it caught up")        \
  X (LEAVING_SERVES, "a leaving database gets new work")                      \
  X (NUMBER_TWICE, "two texts are accepted under one number")                 \
  X (RESEND_REFUSED, "a configuration sent again is not confirmed again")     \
  X (UNCONFIRMED_STAMP, "a stamp that no quorum confirmed has a bounded age") \
  X (ECHO_UNCHECKED, "a stamp uses the clock of an earlier process")          \
  X (STAMP_BEHIND, "a stamp is accepted for an older control state")          \
  X (ANY_INCARNATION, "a transaction outlives its dispatcher's restart")      \
  X (AGE_UNCHECKED, "the maximum age of a read is not checked")               \
  X (OLD_TERM_ACK, "a replica of an earlier term acknowledges a write")       \
  X (READ_UNSAFE, "a read shows a write that a failover could lose")          \
  X (LOWER_WINS, "a lower configuration number replaces a higher")            \
  X (VALUES_KEPT, "a connection keeps another session's values")              \
  X (COMMIT_CONFIRMS, "a COMMIT of a transaction that only read confirms")    \
  X (LEAD_UNPROVED, "a primary serves reads without proof that it leads")     \
  X (WITNESS_UNASKED, "a primary that was replaced vouches for itself")       \
  X (TOKEN_SHARED, "a leader promotes with its predecessor's token")          \
  X (UNSEAL_EARLY, "replicas are unsealed before the new primary leads")      \
  X (UNSETTLED_SERVES, "writes go to a database not yet confirmed primary")   \
  X (STAY_OUT, "a voter removed during a partition never rejoins")            \
  X (QUEUE_ON_ONE_HOST, "a queue stays on one host even if its link is slow") \
  X (BEHIND_REFUSES, "a holder refuses a service that it does not know yet")  \
  X (MOVED_FORGOTTEN, "a session forgets its writes when its route moves")    \
  X (OLD_SAMPLE, "a read's position sample may exceed its age bound")         \
  X (KEY_UNLEASED, "a key is accepted without a recent control stamp")        \
  X (KEY_REFUSED_EARLY, "a new key is refused before the next stamp")         \
  X (KEY_ANY, "a key that no customer holds is accepted")                     \
  X (KEY_UNCHECKED_AGAIN, "a retry does not look the key up again")           \
  X (KEY_MOVES_IN, "a moved key takes its open transaction along")            \
  X (LENDER_UNFENCED, "a lender with an old control stamp goes on lending")   \
  X (LENDER_RESUMES, "a lender that was cut off goes on with its bucket")     \
  X (LENDER_STARTS_FULL, "a new lender begins with a full bucket")            \
  X (GRANTS_UNCOUNTED, "grants are not counted as outstanding")               \
  X (GRANTS_KEPT, "granted operations are used after they expired")           \
  X (RETURNED_TWICE, "operations given back are used and returned as well")

typedef enum
{
#define X(name, text) GM_MUTANT_##name,
  GM_MUTANTS_LIST (X)
#undef X
      GM_MUTANT_COUNT
} GmMutant;

#ifdef GM_WITH_MUTANTS
extern GmMutant gm_mutant;
#define GM_MUTANT(name) (gm_mutant == GM_MUTANT_##name)
#else
#define GM_MUTANT(name) 0
#endif
