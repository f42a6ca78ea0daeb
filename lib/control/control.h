/* A control host: the replicated log, the state that its commands add up to,
   membership, failover decisions, and the hosts that read the state from it.

   A pure state machine.  Accepted links have numbers given by the shell; hosts
   that this one dials are addressed by name.  Answers to a host that is
   subscribed elsewhere travel back through the control host that forwarded its
   request.  */
#pragma once
#include "clog/clog.h"
#include "cstate/cstate.h"
#include "failover/failover.h"
#include "failover/members.h"
#include "failover/takeover.h"

/* A subscriber that is this many entries behind gets the state as it is: it
   would parse each configuration since.  */
#define CO_STATE_BEHIND 32
#define CO_EXPIRE (100 * GM_MS) /* between two looks for the silent */

typedef struct CoCore CoCore;

/* A message to send: on the accepted link, or to the dialed host when link is
   0.  The taker owns both members.  */
typedef struct
{
  guint64 link;
  char *to;
  WmMessage message;
} CoSend;

/* Who this control host is; copied.  */
typedef struct
{
  const char *host;
  const char *disk;
  const char *address;
  guint64 seed;
} CoIdentity;

/* Opens the log in STORE, which is borrowed.  NULL and STATUS when it can't be
   read.  */
CoCore *co_open (const CoIdentity *self, ClStore *store, GmTime now,
                 GmStatus *status);
void co_free (CoCore *core);
/* The log, for bootstrap, peers and status pages; owned by CORE.  */
ClCore *co_log (CoCore *core);
const CsState *co_state (const CoCore *core);
const MbCore *co_members (const CoCore *core);
gboolean co_leads (const CoCore *core);
/* Refuses operators' proposals until VOTERS control hosts hold the log.  */
void co_set_voters_min (CoCore *core, guint voters);
/* Primaries are replaced by order of the platform, as takeover.h says, and not
   by the databases themselves.  */
void co_set_takeover (CoCore *core);
/* The core of that, for its actions and their ends; or NULL.  */
ToCore *co_takeover (const CoCore *core);
/* Whether STATE as this host holds it was the newest at or after SINCE.  */
gboolean co_is_current (CoCore *core, GmTime now, GmTime since);

/* Takes a message that came on the accepted LINK from the host FROM, or with 0
   on the link dialed to that control host.  */
void co_receive (CoCore *core, GmTime now, guint64 link, const char *from,
                 const WmMessage *m);
/* Takes an answer that came back on the link dialed to another control
   host.  */
void co_receive_answer (CoCore *core, const WmMessage *m);
/* Hands M to the leader; FALSE when this host leads or knows none.  */
gboolean co_forward (CoCore *core, const WmMessage *m);
void co_link_down (CoCore *core, GmTime now, guint64 link);
/* Advances timers and decides.  WALL is the time of day in microseconds, for
   the audit trail.  */
void co_tick (CoCore *core, GmTime now, guint64 wall);
gboolean co_take_send (CoCore *core, CoSend *send);
