/* Membership by heartbeat, at the control leader.

   Hosts subscribe to the control state and databases announce themselves, both
   several times a second.  This core turns their news and their silence into
   commands for the control log.  Pure: no clock, no sockets.  */
#pragma once
#include "cstate/cstate.h"

#define MB_HOST_SILENCE (1 * GM_SECOND) /* five heartbeats */
/* A host whose link closed has this long to be heard through another control
   host.  */
#define MB_LINK_GRACE (500 * GM_MS)
#define MB_DATABASE_SILENCE (5 * GM_SECOND)
#define MB_REPROPOSE (500 * GM_MS)

typedef struct MbCore MbCore;

MbCore *mb_new (void);
void mb_free (MbCore *core);
/* Forgets all hearings; called when this host becomes leader, so that silence
   counts from NOW.  */
void mb_lead (MbCore *core, GmTime now, const CsState *state);
/* Takes a subscriber's heartbeat.  */
void mb_host (MbCore *core, GmTime now, const CsState *state,
              const struct wm_subscribe *beat);
/* The link of HOST's process INCARNATION to its control host closed.  */
void mb_link_lost (MbCore *core, GmTime now, const CsState *state,
                   const char *host, guint64 incarnation);
/* Takes a database's announcement.  */
void mb_database (MbCore *core, GmTime now, const CsState *state,
                  const struct wm_cmd_database *announced);
/* The database ID is known to serve, though it announced nothing.  */
void mb_database_serves (MbCore *core, GmTime now, const char *id);
/* Expires the silent.  */
void mb_tick (MbCore *core, GmTime now, const CsState *state);
/* Takes the next command to propose; the caller clears it.  FALSE when there
   is none.  */
gboolean mb_take_command (MbCore *core, WmMessage *command);
/* The configuration number and version that HOST last said is in force there;
   FALSE when HOST is not heard.  */
gboolean mb_in_force (const MbCore *core, const char *host, guint64 *config,
                      guint64 *version);
