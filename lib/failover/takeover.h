/* Failover of groups whose databases replicate by themselves and are promoted
   by the platform.  Runs at the control leader.

   An acknowledged write is on the primary and on at least one replica.  A
   change of primary therefore takes these steps: commit a new term; seal every
   replica, so that it receives nothing more and the old primary can
   acknowledge nothing; read the positions after that; commit the choice of the
   database with the highest position; order its promotion; commit that the
   promotion is done.

   The fencing token of an order is the log index of the choice, so tokens grow
   over leaders and over choices.  A leader orders only what it has itself
   chosen in its present control term, and each choice once.  A choice that
   another leader left unfinished, or whose order got no clear answer, is made
   again.  So no two leaders use the same token, and a late order is refused.

   A group has no primary for callers until the promotion is known to be done:
   a choice that was given up may still be promoted by a late order, and that
   database must have taken no write.

   A seal ends when the replica restarts.  So seals are renewed until the
   chosen database leads; an order is sent only while the choice still holds;
   and the old primary is told to step down as soon as the term is open, not
   only when its successor leads.

   The leader calls a primary that seems silent itself before it replaces it.
   Any answer, even that the database is busy, shows that the primary is alive.

   A replica that can't be sealed may hold an acknowledged write that the
   others lack.  The leader chooses only when all copies other than the last
   primary are sealed, also those beyond the declared number, as during a
   rolling replacement.  A copy that is out of sight is one of them.  While one
   can't be sealed, the last primary may be chosen again once it has stepped
   down: it has every write that it acknowledged.

   This module uses no clock and no sockets: the caller runs the calls and
   orders and reports how they ended.  */
#pragma once
#include "failover.h"

/* A primary that answers none of its requests for this long is replaced.
   Longer than the longest statement and those queued before it take.  */
#define TO_ANSWER_TIMEOUT (400 * GM_MS)
/* The leader probes a primary that has been silent for this long, so that the
   result is there by TO_ANSWER_TIMEOUT.  */
#define TO_PROBE_AFTER (150 * GM_MS)
/* Longest gap between heartbeats of a primary that its pool doesn't reach.
   Heartbeats come every 1.2 s, and up to a second late.  */
#define TO_HEARTBEAT_TIMEOUT (2500 * GM_MS)
/* A primary that confirms no write for this long is replaced.  Longer than a
   write takes whose packets are lost twice.  */
#define TO_CONFIRM_TIMEOUT (1 * GM_SECOND)
/* After a replacement for that reason, the next one waits this long, and twice
   as long each time until writes have been confirmed for as long.  */
#define TO_UNCONFIRMED_HOLD (5 * GM_SECOND)
#define TO_UNCONFIRMED_HOLD_MAX (60 * GM_SECOND)
/* Time for transactions to end at a primary that is leaving.  */
#define TO_DRAIN_GRACE (300 * GM_MS)
/* Age at which a pool's report no longer counts: two reports missed.  */
#define TO_REPORT_MAX_AGE (1 * GM_SECOND)
/* Age of the last report at which the leader probes the primary itself: one
   report missed, and the time that the next one travels.  */
#define TO_REPORT_LATE (700 * GM_MS)
#define TO_CALL_TIMEOUT (250 * GM_MS) /* timeout of a call to a database */
#define TO_CALL_RETRY (50 * GM_MS)
/* How long a seal counts after the status that showed it: one missed answer
   and a retry.  A replica takes longer than that to restart, which ends its
   seal.  */
#define TO_SEAL_MAX_AGE (500 * GM_MS)
#define TO_ORDER_TIMEOUT (1500 * GM_MS) /* the platform may be slow */
#define TO_ORDER_RETRY (300 * GM_MS)
/* A recorded primary that says for so long that it is a replica is replaced:
   it restarted before its promotion took effect, or another database runs
   under its id.  Longer than a promotion and the next heartbeat take.  */
#define TO_REPLICA_TIMEOUT (4 * GM_SECOND)
/* Time after a promotion for the replicas to connect to the new primary.  */
#define TO_SETTLE_GRACE (2 * GM_SECOND)
/* A seal is renewed this long after the status that showed it, until the
   chosen database leads: a replica that restarts receives again.  */
#define TO_SEAL_RENEWAL (100 * GM_MS)
/* Delay before the replaced primary, which steps down at once, is sealed: its
   copy is chosen only if another can't be sealed in time.  */
#define TO_OLD_PRIMARY_DELAY (500 * GM_MS)
/* Between two looks for replaced primaries that claim the lead.  Each looks at
   all databases; their heartbeats, which tell, come every 1.2 s.  */
#define TO_DEPOSE_INTERVAL (300 * GM_MS)
/* After a database has left, time until it is sure to receive nothing more. */
#define TO_DEPARTURE_GRACE (1 * GM_SECOND)
#define TO_TERM_SPACING (1 * GM_SECOND) /* between two terms of a group */
#define TO_PROPOSE_RETRY (300 * GM_MS)

typedef struct ToCore ToCore;

typedef enum
{
  TO_CALL, /* run call at the database id, at address */
  TO_ORDER /* order the promotion of id under token */
} ToActionType;

/* An action for the caller to run.  The caller owns the strings.  */
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

/* How an order ended.  */
typedef enum
{
  TO_DONE,
  TO_REFUSED, /* a higher token is known, or the database doesn't run */
  TO_UNKNOWN  /* no clear answer: the order may still be carried out */
} ToOrderResult;

/* Creates a core for the control host HOST.  */
ToCore *to_new (const char *host);
void to_free (ToCore *core);
/* Starts leading in the control term ROUND; 0 stops leading.  Forgets
   everything known before.  */
void to_lead (ToCore *core, GmTime now, guint64 round);
/* Takes the report of a host that holds pools of databases.  */
void to_report (ToCore *core, GmTime now, const CsState *state,
                const struct wm_report *report);
/* Takes a heartbeat of a database.  */
void to_heartbeat (ToCore *core, GmTime now,
                   const struct wm_cmd_database *announced);
/* Takes the end of a call to the database ID.  ANSWERED tells whether it
   answered at all; STATUS is its status, or NULL.  */
void to_call_done (ToCore *core, GmTime now, const char *id, gboolean answered,
                   const FoDatabaseStatus *status);
/* Takes the end of an order.  */
void to_order_done (ToCore *core, GmTime now, const char *group, guint64 token,
                    ToOrderResult end);
/* Runs the failover decisions for every group.  WHEN is the time to note in
   the audit trail.  */
void to_tick (ToCore *core, GmTime now, guint64 when, const CsState *state);
/* Takes the next command to propose; the caller clears it.  FALSE when there
   is none.  */
gboolean to_take_command (ToCore *core, WmMessage *command);
/* Takes the next action; the caller clears it.  FALSE when there is none.  */
gboolean to_take_action (ToCore *core, ToAction *action);
void to_action_clear (ToAction *action);
