/* A host's copy of the control state, and whether it is known to be current.

   The host reads from one control host at a time.  Each heartbeat carries the
   host's own clock; the control host answers it with a stamp: how long ago, at
   least, a quorum had confirmed what that control host knows, and up to which
   version that is.  The copy is current as of the heartbeat's time less that
   age, on the host's own clock, once it has reached the version.  A control
   host whose stamps grow old is left for another; a copy whose own stamp grows
   older than the lease serves no work.

   Pure: no clock, no sockets.  */
#pragma once
#include "cstate/cstate.h"

/* A link that is not up by then is given up: a host without power does not
   refuse it.  A host that has just started answers within 100 ms.  */
#define SB_DIAL_TIME (150 * GM_MS)
/* Then another control host is tried: two heartbeats and a half without a
   stamp.  */
#define SB_STAMP_STALE (500 * GM_MS)
#define SB_BEAT (200 * GM_MS)
#define SB_BEAT_FENCED (50 * GM_MS) /* while callers wait for a stamp */
#define SB_REDIAL (50 * GM_MS)      /* a third of SB_DIAL_TIME */

typedef enum
{
  SB_NOTHING,
  SB_DIAL, /* connect to control host number sb_peer */
  SB_LEAVE /* close the link; DIAL follows later */
} SbAction;

typedef struct SbCore SbCore;

/* Reads from PEERS control hosts; HOST decides which one is tried first. LEASE
   is the age that a copy may have to serve, 0 for any once it was current.  */
SbCore *sb_new (const char *host, guint peers, GmTime lease, GmTime now);
void sb_free (SbCore *core);
/* The number of control hosts has changed; the link in use stays.  */
void sb_set_peers (SbCore *core, guint peers);
const CsState *sb_state (const SbCore *core);
/* Index of the control host in use.  */
guint sb_peer (const SbCore *core);
/* Whether work may be taken.  */
gboolean sb_is_fresh (const SbCore *core, GmTime now);
/* A host without a stamp for so long is cut off from control: the time to
   leave a control host and to try two others.  */
#define SB_CUT_OFF (1000 * GM_MS)
/* Whether the host has been without news from control for so long that others
   may know better.  */
gboolean sb_is_cut_off (const SbCore *core, GmTime now);
/* Age of the copy's stamp.  */
GmTime sb_age (const SbCore *core, GmTime now);

/* What has to be done now; the shell carries it out.  */
SbAction sb_tick (SbCore *core, GmTime now);
/* Whether a heartbeat is due; notes that it is sent.  */
gboolean sb_beat_due (SbCore *core, GmTime now);
void sb_link_up (SbCore *core, GmTime now);
void sb_link_down (SbCore *core, GmTime now);
/* Takes a DELTA, STATE or STAMP.  TRUE when the state changed.  */
gboolean sb_receive (SbCore *core, GmTime now, const WmMessage *m);
