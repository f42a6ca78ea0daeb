/* A host's copy of the control state, and whether it is known to be current.

   The host subscribes to one control host at a time.  Each heartbeat carries
   the host's own clock.  The control host answers with a stamp: the age of its
   last confirmation by a quorum, and the version of its state.  Once the copy
   has reached that version, it is current as of the heartbeat's time less that
   age, on the host's own clock.  When a control host's stamps become too old,
   the host changes to another control host.  When the copy's stamp becomes
   older than the lease, the host is fenced: it takes no work.

   A pure state machine: no clock, no sockets.  */
#pragma once
#include "cstate/cstate.h"

/* Time for a link to come up.  A host without power does not refuse the
   connection; one that has just started answers within 100 ms.  */
#define SB_DIAL_TIMEOUT (150 * GM_MS)
/* Age of a control host's last stamp at which another control host is tried:
   two and a half heartbeat intervals.  */
#define SB_STAMP_TIMEOUT (500 * GM_MS)
#define SB_HEARTBEAT_INTERVAL (200 * GM_MS)
#define SB_FENCED_HEARTBEAT_INTERVAL                                          \
  (50 * GM_MS) /* while callers wait for the host to become current */
#define SB_REDIAL_DELAY (50 * GM_MS) /* a third of SB_DIAL_TIMEOUT */
/* Where control as a whole is slow, all hosts give up their control hosts at
   the same time.  Dials are then spread over this time, which doubles with
   each control host in a row that was given up for its stamps, so often at
   most. Hosts that can't be connected to do not count: after a loss of all
   hosts, the first to come back is dialed as soon as possible.  */
#define SB_REDIAL_SPREAD (50 * GM_MS)
#define SB_REDIAL_DOUBLINGS_MAX 3

typedef enum
{
  SB_NOTHING,
  SB_DIAL,      /* connect to control host number sb_peer */
  SB_DISCONNECT /* close the link; SB_DIAL follows later */
} SbAction;

typedef struct SbCore SbCore;

/* Creates an empty copy for the host HOST, which chooses among PEERS control
   hosts; the hash of its name selects the first.  LEASE is the maximum age of
   the stamp with which the host takes work; 0: any age, after the first
   stamp.  */
SbCore *sb_new (const char *host, guint peers, GmTime lease, GmTime now);
void sb_free (SbCore *core);
/* Changes the number of control hosts; the current link stays up.  */
void sb_set_peers (SbCore *core, guint peers);
/* The copy; owned by CORE.  */
const CsState *sb_state (const SbCore *core);
/* Index of the control host in use.  */
guint sb_peer (const SbCore *core);
/* Whether the copy is current enough for the host to take work.  */
gboolean sb_is_fresh (const SbCore *core, GmTime now);
/* A host without a newer stamp for so long is cut off from the control hosts:
   time enough to leave one and try two others.  */
#define SB_CUT_OFF_AFTER (1000 * GM_MS)
/* Whether the host has been without a newer stamp for SB_CUT_OFF_AFTER, so
   that other hosts may have newer state.  */
gboolean sb_is_cut_off (const SbCore *core, GmTime now);
/* Age of the copy's stamp.  */
GmTime sb_age (const SbCore *core, GmTime now);

/* Returns the action that the shell has to carry out now.  */
SbAction sb_tick (SbCore *core, GmTime now);
/* Returns whether a heartbeat is due, and if so counts it as sent.  */
gboolean sb_heartbeat_due (SbCore *core, GmTime now);
void sb_link_up (SbCore *core, GmTime now);
void sb_link_down (SbCore *core, GmTime now);
/* Handles a DELTA, STATE or STAMP message.  Returns TRUE when the state
   changed.  */
gboolean sb_receive (SbCore *core, GmTime now, const WmMessage *m);
