/* Switches that break one mechanism each, to show that the fuzzer notices.

   They exist only in the build of make mutants, where the environment variable
   GM_MUTANT names the one that is on; in any other build GM_MUTANT is
   the constant 0.  */
#pragma once
#include <glib.h>

/* name, promise that it breaks  */
#define GM_MUTANTS_LIST(X)                                                    \
  X (NONE, "none")                                                            \
  X (ACK_ALONE, "a write is acknowledged before a replica holds it")          \
  X (SEAL_ONE, "one sealed copy is enough to promote")                        \
  X (PROMOTE_LOWEST, "the copy that holds least is promoted")                 \
  X (UNALIGNED_READ, "a replaced primary serves its own tail")                \
  X (POSITION_UNCHECKED, "the position of the executing database is trusted") \
  X (SHARED_CONNECTION, "a transaction's connection goes back to the others") \
  X (GUESS_NOT_RUN, "what may have run is called not run")                    \
  X (ABSENT_AT_ONCE, "absence counts before a majority holds the new log")    \
  X (RETRY_ANEW, "a retry runs under another request id")                     \
  X (SERVE_STALE, "a host serves without a fresh stamp")                      \
  X (GO_BACK, "an older state replaces a newer one")                          \
  X (ANY_DISK, "an emptied disk votes as the old one")                        \
  X (COMMIT_ALONE, "an entry commits without a quorum")                       \
  X (LEARNER_VOTES, "a new disk counts before it has caught up")              \
  X (LEAVING_SERVES, "a leaving database gets new work")                      \
  X (NUMBER_TWICE, "two texts are accepted under one number")                 \
  X (RESEND_REFUSED, "a resent text gets another answer")                     \
  X (ECHO_UNCHECKED, "an earlier process's clock makes a stamp")              \
  X (STAMP_BEHIND, "a stamp counts for a copy that lags behind it")           \
  X (ANY_INCARNATION, "a transaction's number outlives its dispatcher")       \
  X (AGE_UNCHECKED, "a declared age is not checked")                          \
  X (OLD_TERM_ACK, "a copy of an earlier term confirms a write")              \
  X (READ_UNSAFE, "a read shows what a failover could undo")                  \
  X (LOWER_WINS, "a lower number replaces a higher one")                      \
  X (VALUES_KEPT, "a connection keeps another session's values")              \
  X (LEAD_UNPROVED, "a read trusts a primary that may have been replaced")    \
  X (TOKEN_SHARED, "a leader orders under its predecessor's token")           \
  X (UNSEAL_EARLY, "replicas hear the old primary before the new one leads")  \
  X (UNSETTLED_SERVES, "a database is written to before it is known to lead") \
  X (STAY_OUT, "a voter that was removed while cut off stays away")           \
  X (QUEUE_ON_ONE_HOST, "a queue is held by one host, whatever its link")     \
  X (OLD_SAMPLE, "a read's position may be older than its age bound")

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
