/* One database group at a dispatching host: the dispatch core and the
   monitoring of the group's databases.

   Each database has a monitoring connection for status calls and for the calls
   that bring it into the group's term (seal, promote, follow).  What the
   status calls return is reported to the control leader.  No I/O: the event
   loop opens and closes connections, runs calls and reports how they
   ended.  */
#pragma once
#include "dispatch.h"

#define GP_POLL_INTERVAL (40 * GM_MS)
#define GP_POLL_RETRY_DELAY (5 * GM_MS)
/* A database that leaves a call unanswered for so long is unreachable.  */
#define GP_POLL_TIMEOUT (150 * GM_MS)
/* A longer time between two ticks means that this process did not run.  */
#define GP_STALL_MIN (60 * GM_MS)
#define GP_REPORT_INTERVAL (150 * GM_MS)
#define GP_REPORT_INTERVAL_SEALING (10 * GM_MS)
#define GP_RECONNECT_DELAY (50 * GM_MS)

typedef enum
{
  GP_DISPATCH_ACTION, /* an action of the dispatch core */
  GP_MONITOR_OPEN,    /* open the monitoring connection to database */
  GP_MONITOR_CLOSE,   /* close the monitoring connection to database */
  GP_MONITOR_CALL,    /* run call on the monitoring connection to database */
  GP_REPORT_SEND      /* send message to the control leader */
} GpActionType;

/* The receiver frees message and the strings with gp_action_clear.  */
typedef struct
{
  GpActionType type;
  DpAction dispatch;
  char database[DP_ID_MAX];
  char *address; /* of the database, for connections */
  FoCall call;
  guint64 term;
  char *follow_id;
  char *follow_address;
  WmMessage message;
} GpAction;

typedef struct GpCore GpCore;

/* Returns the group NAME at the host HOST; both strings are copied.  */
GpCore *gp_new (const char *name, const char *host, const DpPolicy *policy,
                GmTime now);
void gp_free (GpCore *core);
/* Returns the dispatch core, for submissions and reports about its
   connections.  */
DpCore *gp_dispatch (GpCore *core);
/* Whether this host dispatches for the group.  */
gboolean gp_owned (const GpCore *core);
/* Checks whether EXEC can be submitted at a host with INCARNATION whose copy
   of the control state is STATE, known to be current if FRESH.  CORE is NULL
   when the host does not dispatch for the group.  Returns GM_OK or the kind to
   refuse EXEC with, which is also set in STATUS.  */
GmKind gp_check (const GpCore *core, const CsState *state, gboolean fresh,
                 guint64 incarnation, const struct wm_exec *exec,
                 GmStatus *status);
/* Submits EXEC, which gp_check has accepted, for OWNER.  */
void gp_submit (GpCore *core, GmTime now, const CsState *state, gpointer owner,
                const struct wm_exec *exec);
/* Applies the current control state STATE.  */
void gp_update (GpCore *core, GmTime now, const CsState *state);
/* Reports that the monitoring connection to the database ID is ready, or was
   lost.  */
void gp_monitor_ready (GpCore *core, GmTime now, const char *id);
void gp_monitor_lost (GpCore *core, GmTime now, const char *id);
/* Reports that the call at the database ID ended.  STATUS is NULL when it
   failed.  */
void gp_monitor_call_done (GpCore *core, GmTime now, const char *id,
                           const FoDatabaseStatus *status);
void gp_tick (GpCore *core, GmTime now);
/* Stores the next action in ACTION; returns FALSE when there is none.  */
gboolean gp_take_action (GpCore *core, GmTime now, GpAction *action);
void gp_action_clear (GpAction *action);
