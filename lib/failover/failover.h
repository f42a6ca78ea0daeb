/* Failover decisions, made at the control leader, and the calls that carry
   them out, made at a group's dispatcher.

   A change of primary takes two committed commands.  CMD_TERM opens a term
   without a primary; the dispatcher then seals the databases: a sealed
   database accepts nothing more from an earlier term, whether as primary or as
   replica.  Once a majority of the copies is sealed, no write of an earlier
   term can reach two copies any more, so the positions read after sealing are
   final.  CMD_PRIMARY then names the sealed database with the highest
   position, which holds every acknowledged write.

   This module uses no clock and no sockets.  */
#pragma once
#include "cstate/cstate.h"

/* A primary that does not answer its dispatcher for this long is replaced.  */
#define FO_ANSWER_TIMEOUT_MS 300
/* A primary whose log reaches no replica for this long is replaced.  */
#define FO_REPLICATION_TIMEOUT_MS 600
#define FO_DEPOSED_MS 500 /* primary that reports itself as a replica */
#define FO_REPORT_MAX_AGE (2 * GM_SECOND)
#define FO_TERM_SPACING (1 * GM_SECOND)
/* Time for transactions to end at a primary that is leaving.  */
#define FO_DRAIN_GRACE (2 * GM_SECOND)
/* How long a majority without the replaced primary is waited for.  */
#define FO_AVOID_TIMEOUT (1 * GM_SECOND)

typedef struct FoCore FoCore;

FoCore *fo_new (void);
void fo_free (FoCore *core);
/* Forgets all reports and commands; called when this host becomes leader.  */
void fo_lead (FoCore *core);
/* Takes a dispatcher's report about its group.  A report from a host that no
   longer owns the group is dropped.  */
void fo_report (FoCore *core, GmTime now, const CsState *state,
                const struct wm_report *report);
/* Runs the failover decisions for every group.  WHEN is the time to note in
   the audit trail.  */
void fo_tick (FoCore *core, GmTime now, guint64 when, const CsState *state);
/* Takes the next command to propose; the caller clears it.  FALSE when there
   is none.  */
gboolean fo_take_command (FoCore *core, WmMessage *command);

/* The status that a database reports.  last_term is the term of its last log
   entry, received the end of its log, applied the position that its reads
   show, following the id of the primary that it replicates from.  */
typedef struct
{
  gboolean primary;
  guint64 term;
  guint64 last_term;
  guint64 received;
  guint64 applied;
  char following[64];
  guint64
      sealed_term; /* sealed against terms before this one; 0: not sealed */
} FoDatabaseStatus;

typedef enum
{
  FO_CALL_STATUS,
  FO_CALL_SEAL,
  FO_CALL_PROMOTE,
  FO_CALL_FOLLOW,
  FO_CALL_UNSEAL,
  FO_CALL_STEP_DOWN /* makes a primary of an earlier term a replica */
} FoCall;

/* The next call that a dispatcher makes to the database ID, by its group in
   the control state and its status SEEN.  */
FoCall fo_next_call (const CsGroup *group, const char *id,
                     const FoDatabaseStatus *seen);
