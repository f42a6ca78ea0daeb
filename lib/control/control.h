/* A control host: the replicated log, the state built from its commands,
   membership, failover decisions, and the hosts that subscribe to the state.

   A pure state machine.  The shell numbers the links that it accepts; hosts
   that this one dials are addressed by name.  An answer to a host that is
   subscribed to another control host travels back through that control host,
   which forwarded the request.  */
#pragma once
#include "clog/clog.h"
#include "cstate/cstate.h"
#include "failover/failover.h"
#include "failover/members.h"
#include "failover/takeover.h"

/* A subscriber that is further behind than this many log entries is sent the
   whole state: with a delta it would parse every configuration since.  */
#define CO_DELTA_ENTRIES_MAX 32
#define CO_EXPIRY_INTERVAL (100 * GM_MS) /* of checks for silent hosts */

typedef struct CoCore CoCore;

/* A message to send: on the accepted link, or to the dialed host TO when LINK
   is 0.  The caller of co_take_send owns TO and MESSAGE.  */
typedef struct
{
  guint64 link;
  char *to;
  WmMessage message;
} CoSend;

/* The identity of this control host; co_open copies the strings.  */
typedef struct
{
  const char *host;
  const char *disk;
  const char *address;
  guint64 seed;
} CoIdentity;

/* Opens the log in STORE, which is borrowed.  Returns NULL and sets STATUS
   when the log can't be read.  */
CoCore *co_open (const CoIdentity *self, ClStore *store, GmTime now,
                 GmStatus *status);
void co_free (CoCore *core);
/* The log, for bootstrap, peers and status pages; owned by CORE.  */
ClCore *co_log (CoCore *core);
const CsState *co_state (const CoCore *core);
const MbCore *co_members (const CoCore *core);
/* Whether this host is the leader.  */
gboolean co_leads (const CoCore *core);
/* Refuses operators' proposals while fewer than VOTERS control hosts hold the
   log.  */
void co_set_voters_min (CoCore *core, guint voters);
/* Uses the takeover core instead of the failover core: primaries are replaced
   by orders of the platform, as takeover.h describes, not by the databases
   themselves.  */
void co_set_takeover (CoCore *core);
/* The takeover core, which gives actions to the shell and is told how they
   ended; NULL unless co_set_takeover was called.  */
ToCore *co_takeover (const CoCore *core);
/* Returns whether this host's state is known to have been the newest at SINCE
   or later.  */
gboolean co_is_current (CoCore *core, GmTime now, GmTime since);

/* Handles a message from the host FROM that came on the accepted LINK, or,
   when LINK is 0, on the link dialed to that control host.  */
void co_receive (CoCore *core, GmTime now, guint64 link, const char *from,
                 const WmMessage *m);
/* Passes on to its subscriber an answer that came back on the link dialed to
   another control host.  */
void co_receive_answer (CoCore *core, const WmMessage *m);
/* Forwards M to the leader.  Returns FALSE when this host leads or knows no
   leader.  */
gboolean co_forward (CoCore *core, const WmMessage *m);
void co_link_down (CoCore *core, GmTime now, guint64 link);
/* Advances timers and, on the leader, makes membership and failover decisions.
   WALL is the time of day in microseconds, for the audit trail.  */
void co_tick (CoCore *core, GmTime now, guint64 wall);
gboolean co_take_send (CoCore *core, CoSend *send);
