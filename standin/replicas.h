/* An in-memory model of a group of databases as the platform runs them: terms,
   logs, replication that acknowledges a write once one replica has received
   it, sealing, and promotion by order.

   The model records every acknowledged write and reports violated invariants,
   such as an acknowledged write that a promotion lost.  It does no I/O and
   reads no clock.  */
#pragma once
#include "base/clock.h"
#include "failover/failover.h"
#include "token/token.h"

#define MD_DATABASES 3
#define MD_COPIES_MAX 4 /* while one is replaced, both run */
#define MD_ID_MAX 64

typedef struct
{
  guint64 term;
  GArray *writes; /* guint64, ids of the writes */
} MdCommit;

typedef struct
{
  char id[MD_ID_MAX];
  guint64 incarnation;
  guint64 lifetime; /* counts the calls of md_join */
  gboolean exists;  /* FALSE: not started yet, or left for good */
  gboolean up;
  gboolean primary;
  guint64 term;
  guint64 sealed_term; /* takes no entries from earlier terms; 0: not sealed */
  gboolean receive_paused; /* receives no entries */
  GPtrArray *log;          /* MdCommit *, received commits */
  guint applied;           /* number of commits of the log that are applied */
} MdDatabase;

/* An acknowledged write.  */
typedef struct
{
  guint64 uid;
  GmTime at;
  TkPoint point;
} MdAck;

typedef struct
{
  MdDatabase databases[MD_COPIES_MAX];
  guint copies; /* of databases, that are in use; MD_DATABASES at first */
  guint64 newest_term;
  guint64 fencing_token; /* highest accepted fencing token */
  char token_holder[32]; /* who used it */
  GArray *acknowledged;  /* MdAck */
  guint violations;
  void (*violation) (const char *what);
  /* A replaced primary keeps its role until it is told to step down or hears
     of its successor.  */
  gboolean deposed_serves;
} MdGroup;

void md_init (MdGroup *group, void (*violation) (const char *what));
void md_clear (MdGroup *group);
/* Counts a violated invariant and reports WHAT.  */
void md_report_violation (MdGroup *group, const char *what);
/* Returns the position after the first LENGTH commits of D's log.  */
TkPoint md_position (const MdDatabase *d, guint length);
/* Returns whether the first LENGTH commits of D's log include POINT.  */
gboolean md_contains (const MdDatabase *d, guint length, TkPoint point);
/* Returns whether D accepts the statements that only a primary runs.  */
gboolean md_acts_as_primary (const MdGroup *group, const MdDatabase *d);
/* Commits WRITES at D, the primary, and copies the log to one replica that can
   receive.  Returns FALSE when there is none: the writes are then not
   acknowledged.  */
gboolean md_append (MdGroup *group, GmTime now, MdDatabase *d,
                    const GArray *writes);
/* Lets the replicas receive and apply entries: all of them when RANDOM is
   NULL, otherwise some replicas receive and some apply a part.  */
void md_replicate (MdGroup *group, GmRandom *random);
/* Accepts or refuses the order of HOLDER to promote ID under the fencing token
   TOKEN.  Returns whether the order was accepted; an accepted order takes
   effect with md_promote, some time later.  Reports a violation when two
   holders use the same token.  */
gboolean md_accept_promotion (MdGroup *group, const char *id,
                              const char *holder, guint64 token);
/* Carries out the promotion of ID.  Returns FALSE when an order with a higher
   token was accepted since, or when the database is unknown or down.  */
gboolean md_promote (MdGroup *group, const char *id, guint64 token);
void md_crash (MdGroup *group, MdDatabase *d);
void md_start (MdGroup *group, MdDatabase *d);
/* Starts the database D, which does not exist, as an empty replica.  */
void md_join (MdDatabase *d);
/* Returns whether D alone holds an acknowledged write: no promise covers the
   loss of both copies.  */
gboolean md_is_last_copy (const MdGroup *group, const MdDatabase *d);
/* Ends the database D for good; its log is gone.  */
void md_leave (MdDatabase *d);
/* Returns the highest position acknowledged before AT.  */
TkPoint md_highest_acknowledged (const MdGroup *group, GmTime at);
/* Returns whether the write UID was acknowledged.  */
gboolean md_is_acknowledged (const MdGroup *group, guint64 uid);
/* Returns whether the write UID is in the primary's log.  Reports a violation
   when the log has it twice.  */
gboolean md_primary_has_write (const MdGroup *group, guint64 uid);
/* Carries out CALL on D: FO_CALL_SEAL seals a replica in TERM, FO_CALL_UNSEAL
   ends the seal.  Stores D's status in STATUS and returns TRUE.  */
gboolean md_control_call (MdDatabase *d, FoCall call, guint64 term,
                          FoDatabaseStatus *status);
