/* Replacing a primary whose databases replicate by themselves and are promoted
   by order of the platform; at the control leader.

   An acknowledged write stands on the primary and on at least one replica.  A
   change of primary is therefore: commit a new term; stop every replica from
   receiving anything more (seal), so that the old primary can acknowledge
   nothing; read positions after that; commit the choice of the highest; order
   its promotion; commit that it was done.

   The fencing token of an order is the log index of the choice: it grows over
   leaders and over choices.  A leader orders only what it has itself chosen in
   its present control term, and each choice once; what another one left
   undone, or got no clear answer, is chosen anew, so that no two holders use
   the same token and that a late order is refused.

   A group whose choice is not known to lead has no primary for callers: what
   is chosen and given up again may yet be promoted by a late order, and must
   have taken no write then.

   A primary that seems silent is asked by the leader itself before it is
   replaced: one that answers, if only that it is busy, is alive.

   A replica that can't be sealed may hold an acknowledged write that the
   others lack.  It is waited for, and done without only when a sealed one
   holds everything that the pools saw acknowledged.

   Pure: the shell runs the calls and orders and reports their ends.  */
#pragma once
#include "failover.h"

/* A primary that leaves what runs there unanswered: longer than the longest
   statement seen, with those before it.  */
#define TO_SILENT (400 * GM_MS)
/* Then the leader asks it itself, so that it knows by TO_SILENT.  */
#define TO_ASK (150 * GM_MS)
/* Heartbeats come every 1.2 s, and up to a second late.  */
#define TO_UNHEARD (2500 * GM_MS)
/* No write is confirmed: longer than one takes whose packets are lost twice.
 */
#define TO_STUCK (1 * GM_SECOND)
#define TO_LEAVE_GRACE (300 * GM_MS)  /* for transactions to end by then */
#define TO_REPORT_OLD (1 * GM_SECOND) /* two reports missed */
#define TO_REPORT_LATE                                                        \
  (700 * GM_MS)                    /* one missed, and the way of the next     \
                                    */
#define TO_CALL_TIME (250 * GM_MS) /* for an answer of a database */
#define TO_CALL_RETRY (50 * GM_MS)
/* An answer that is missed, and one more try: a replica takes longer to start
   again than that.  */
#define TO_SEAL_FRESH (500 * GM_MS)
#define TO_ORDER_TIME (1500 * GM_MS) /* the platform may be slow */
#define TO_ORDER_RETRY (300 * GM_MS)
/* After a promotion, for the new primary and its replicas to find each other.
 */
#define TO_SETTLE_GRACE (2 * GM_SECOND)
#define TO_OLD_GRACE                                                          \
  (500 * GM_MS) /* before the old primary is asked to seal */
#define TO_SPACING (1 * GM_SECOND) /* between two terms of a group */
#define TO_PROPOSE_RETRY (300 * GM_MS)

typedef struct ToCore ToCore;

typedef enum
{
  TO_CALL, /* run call at the database id, at address */
  TO_ORDER /* order the promotion of id under token */
} ToActionType;

/* The strings are owned by the taker.  */
typedef struct
{
  ToActionType type;
  char *group;
  char *id;
  char *address;
  FoCall call;
  guint64 term;
  guint64 token;
} ToAction;

typedef enum
{
  TO_DONE,
  TO_REFUSED, /* the token is overtaken, or the database doesn't run */
  TO_UNKNOWN  /* no clear answer: it may still be carried out */
} ToOrderEnd;

/* A core for the control host HOST.  */
ToCore *to_new (const char *host);
void to_free (ToCore *core);
/* This host became leader in ROUND, its control term, or ceased to be with
   round 0.  */
void to_lead (ToCore *core, GmTime now, guint64 round);
/* What the holder of a database's pool sees.  */
void to_report (ToCore *core, GmTime now, const CsState *state,
                const struct wm_report *report);
/* A database's heartbeat came.  */
void to_announced (ToCore *core, GmTime now,
                   const struct wm_cmd_database *announced);
/* A call ended: the database answered at all, and with STATUS, or NULL.  */
void to_called (ToCore *core, GmTime now, const char *id, gboolean answered,
                const FoDatabase *status);
/* An order ended.  */
void to_ordered (ToCore *core, GmTime now, const char *group, guint64 token,
                 ToOrderEnd end);
/* Decides for every group.  WHEN is the time to note in the audit trail.  */
void to_tick (ToCore *core, GmTime now, guint64 when, const CsState *state);
/* Takes the next command to propose; the caller clears it.  */
gboolean to_take_command (ToCore *core, WmMessage *command);
/* Takes the next action; the caller clears it.  */
gboolean to_take_action (ToCore *core, ToAction *action);
void to_action_clear (ToAction *action);
