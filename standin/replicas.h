/* A group of databases as the platform has them, in memory: terms, logs,
   replication that acknowledges with one replica, sealing, promotion by order.
   It keeps the books and reports broken promises that only it can see.  Pure.
 */
#pragma once
#include "base/clock.h"
#include "failover/failover.h"
#include "token/token.h"

#define MD_DATABASES 3
#define MD_ID_MAX 64

typedef struct
{
  guint64 term;
  GArray *writes; /* guint64, ids of the statements that wrote */
} MdCommit;

typedef struct
{
  char id[MD_ID_MAX];
  guint64 incarnation;
  gboolean up;
  gboolean primary;
  guint64 term;
  guint64 held;   /* 0: not sealed */
  gboolean deaf;  /* receives nothing */
  GPtrArray *log; /* MdCommit *, what it has received */
  guint applied;  /* of them */
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
  MdDatabase databases[MD_DATABASES];
  guint64 newest_term;
  guint64 fence; /* highest token seen */
  char fence_holder[32];
  GArray *acknowledged; /* MdAck */
  guint violations;
  void (*violation) (const char *what);
} MdGroup;

void md_init (MdGroup *group, void (*violation) (const char *what));
void md_clear (MdGroup *group);
/* Notes a broken promise.  */
void md_broken (MdGroup *group, const char *what);
/* Position after the first LENGTH commits of D's log.  */
TkPoint md_position (const MdDatabase *d, guint length);
/* Whether the first LENGTH commits of D's log hold POINT.  */
gboolean md_has (const MdDatabase *d, guint length, TkPoint point);
/* Whether D leads the group.  */
gboolean md_leads (const MdGroup *group, const MdDatabase *d);
/* Commits WRITES at D, which leads.  FALSE when no replica has received it: it
   is not acknowledged then.  */
gboolean md_append (MdGroup *group, GmTime now, MdDatabase *d,
                    const GArray *writes);
/* Replicas receive, and apply all or some; RANDOM NULL: everything.  */
void md_replicate (MdGroup *group, GmRandom *random);
/* Whether the promotion of ID is taken; it takes effect with md_promote, some
   time later.  */
gboolean md_take_order (MdGroup *group, const char *id, const char *holder,
                        guint64 token);
/* Carries out the promotion of ID; FALSE when it was overtaken.  */
gboolean md_promote (MdGroup *group, const char *id, guint64 token);
void md_crash (MdGroup *group, MdDatabase *d);
void md_start (MdGroup *group, MdDatabase *d);
/* The highest position acknowledged before AT.  */
TkPoint md_acknowledged (const MdGroup *group, GmTime at);
/* Whether the write UID was acknowledged.  */
gboolean md_is_acknowledged (const MdGroup *group, guint64 uid);
/* Whether the write UID is in the log of the database that leads.  */
gboolean md_kept (const MdGroup *group, guint64 uid);
/* The seal that a leader's call asks for, and what it answers.  */
gboolean md_call (MdDatabase *d, FoCall call, guint64 term,
                  FoDatabase *status);
