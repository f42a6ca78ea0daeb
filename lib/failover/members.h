/* Membership by heartbeat, at the control leader.

   Hosts subscribe to the control state and databases announce themselves, both
   several times a second.  This module turns changes and missing heartbeats
   into commands for the control log.  It uses no clock and no sockets.  */
#pragma once
#include "cstate/cstate.h"

#define MB_HOST_TIMEOUT (1 * GM_SECOND) /* five heartbeats */
/* Time for a host whose link closed to send a heartbeat through another
   control host.  */
#define MB_LINK_GRACE (500 * GM_MS)
#define MB_DATABASE_TIMEOUT (5 * GM_SECOND)
/* A missing database counts as lost after this if it has left, or if its group
   has as many databases as declared without it: it has been replaced, and this
   is longer than the old and the new one run beside each other.  */
#define MB_MISSING_TIMEOUT (60 * GM_SECOND)
#define MB_PROPOSE_RETRY (500 * GM_MS)

typedef struct MbCore MbCore;

MbCore *mb_new (void);
void mb_free (MbCore *core);
/* Restarts all heartbeat timeouts at NOW; called when this host becomes
   leader.  */
void mb_lead (MbCore *core, GmTime now, const CsState *state);
/* Takes a subscriber's heartbeat.  */
void mb_host_heartbeat (MbCore *core, GmTime now, const CsState *state,
                        const struct wm_subscribe *beat);
/* The link of HOST's process INCARNATION to its control host closed.  */
void mb_link_lost (MbCore *core, GmTime now, const CsState *state,
                   const char *host, guint64 incarnation);
/* Takes a database's announcement.  */
void mb_database_heartbeat (MbCore *core, GmTime now, const CsState *state,
                            const struct wm_cmd_database *announced);
/* Counts as a heartbeat of the database ID, which serves statements although
   it announced nothing.  */
void mb_database_serves (MbCore *core, GmTime now, const char *id);
/* Proposes to remove the hosts and databases whose heartbeats timed out, and
   to give up the missing databases that have been replaced.  */
void mb_tick (MbCore *core, GmTime now, const CsState *state);
/* Takes the next command to propose; the caller clears it.  FALSE when there
   is none.  */
gboolean mb_take_command (MbCore *core, WmMessage *command);
/* The configuration number and version that HOST last reported as in force;
   FALSE when no heartbeat of HOST is known.  */
gboolean mb_in_force (const MbCore *core, const char *host, guint64 *config,
                      guint64 *version);
