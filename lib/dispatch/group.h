/* One database group at a dispatching host: the dispatch core together with
   the watch over its databases.

   The watch keeps one connection to each database for status calls, carries
   out what the group's term orders (seal, promote, follow) and tells the
   control leader what it sees.  Pure: the shell opens and closes connections,
   runs calls and reports how they ended.  */
#pragma once
#include "dispatch.h"

#define GP_POLL (40 * GM_MS)
#define GP_POLL_FAST (5 * GM_MS)
#define GP_POLL_TIMEOUT (150 * GM_MS) /* then a database is unreachable */
#define GP_STALL                                                              \
  (60 * GM_MS) /* between two ticks: this process stood still                 \
                */
#define GP_REPORT (150 * GM_MS)
#define GP_REPORT_SEALING (10 * GM_MS)
#define GP_RECONNECT (50 * GM_MS)

typedef enum
{
  GP_DISPATCH,    /* an action of the dispatch core */
  GP_WATCH_OPEN,  /* open the watch's connection to a database */
  GP_WATCH_CLOSE, /* close it */
  GP_WATCH_CALL,  /* run a call on it */
  GP_REPORT_SEND  /* send message towards the control leader */
} GpActionType;

/* The receiver owns message and the strings of a call.  */
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

/* The group NAME at the host HOST; both are copied.  */
GpCore *gp_new (const char *name, const char *host, const DpPolicy *policy,
                GmTime now);
void gp_free (GpCore *core);
/* The dispatch core, for submissions and reports about its connections.  */
DpCore *gp_dispatch (GpCore *core);
gboolean gp_owned (const GpCore *core);
/* Whether EXEC can be submitted at a host with INCARNATION whose copy of the
   control state is STATE, known to be current if FRESH.  CORE is NULL when the
   host has nothing of the group.  Returns the kind to refuse it with.  */
GmKind gp_check (const GpCore *core, const CsState *state, gboolean fresh,
                 guint64 incarnation, const struct wm_exec *exec,
                 GmStatus *status);
/* Submits EXEC, which gp_check let pass, for OWNER.  */
void gp_submit (GpCore *core, GmTime now, const CsState *state, gpointer owner,
                const struct wm_exec *exec);
/* Takes what the control state now says.  */
void gp_update (GpCore *core, GmTime now, const CsState *state);
/* The watch's connection to the database ID is ready, or was lost.  */
void gp_watch_ready (GpCore *core, GmTime now, const char *id);
void gp_watch_lost (GpCore *core, GmTime now, const char *id);
/* Its call ended; STATUS is NULL when it failed.  */
void gp_watch_done (GpCore *core, GmTime now, const char *id,
                    const FoDatabase *status);
void gp_tick (GpCore *core, GmTime now);
/* Takes the next action; FALSE when there is none.  */
gboolean gp_take_action (GpCore *core, GmTime now, GpAction *action);
void gp_action_clear (GpAction *action);
