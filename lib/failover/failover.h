/* Failover decisions, at the control leader, and the calls that carry them
   out, at a group's dispatcher.

   A change of primary takes two committed commands.  CMD_TERM opens a term
   without a primary; the dispatcher then seals the databases: a sealed
   database takes nothing more from an earlier term, whether as primary or as
   replica.  Once a majority of the copies is sealed, nothing can reach two
   copies in an earlier term any more, so the positions read after sealing are
   final.  CMD_PRIMARY then names the sealed database with the highest
   position, which holds every acknowledged write.

   Pure: no clock, no sockets.  */
#pragma once
#include "cstate/cstate.h"

#define FO_SILENT_MS 300  /* primary that does not answer its dispatcher */
#define FO_STUCK_MS 600   /* primary whose log reaches no replica */
#define FO_DEPOSED_MS 500 /* primary that says it is none */
#define FO_REPORT_OLD (2 * GM_SECOND)
#define FO_TERM_SPACING (1 * GM_SECOND)
#define FO_LEAVING_GRACE (2 * GM_SECOND)
#define FO_AVOID_PATIENCE (1 * GM_SECOND)

typedef struct FoCore FoCore;

FoCore *fo_new (void);
void fo_free (FoCore *core);
/* Forgets all reports; called when this host becomes leader.  */
void fo_lead (FoCore *core);
/* Takes a dispatcher's report about its group.  A report from a host that no
   longer owns the group is dropped.  */
void fo_report (FoCore *core, GmTime now, const CsState *state,
                const struct wm_report *report);
/* Decides for every group.  WHEN is the time to note in the audit trail.  */
void fo_tick (FoCore *core, GmTime now, guint64 when, const CsState *state);
/* Takes the next command to propose; the caller clears it.  */
gboolean fo_take_command (FoCore *core, WmMessage *command);

/* What a database says of itself.  last_term is the term of its last entry;
   received is its log's end, applied what its reads show.  following is the id
   of the primary that it replicates from.  */
typedef struct
{
  gboolean primary;
  guint64 term;
  guint64 last_term;
  guint64 received;
  guint64 applied;
  char following[64];
  guint64 held; /* it receives nothing from terms before; 0: not sealed */
} FoDatabase;

typedef enum
{
  FO_CALL_STATUS,
  FO_CALL_SEAL,
  FO_CALL_PROMOTE,
  FO_CALL_FOLLOW,
  FO_CALL_UNSEAL
} FoCall;

/* The call that a dispatcher owes the database ID, given what the control
   state says of its group.  */
FoCall fo_next_call (const CsGroup *group, const char *id,
                     const FoDatabase *seen);
