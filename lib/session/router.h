/* Which database a statement goes to, as one entry host sees it.

   The router keeps, from answers alone, how long each share of a database's
   queue is and how far each replica lags, and for each group the positions
   that its primary had while it was proved to lead.  Such a position, taken at
   a time, holds every write that was acknowledged before then: a read may run
   at any database that has it.  The database checks; a wrong guess here costs
   a trip, never a stale answer.

   Pure: no clock, no sockets.  */
#pragma once
#include "cstate/cstate.h"
#include "liveness.h"
#include "token/token.h"

#define SR_SPACING                                                            \
  (50 * GM_MS)     /* between kept positions: a thirtieth of the              \
                      shortest age bound declared */
#define SR_KEPT 64 /* positions: over 3 s, more than the longest age bound */

typedef struct SrRouter SrRouter;

/* A router on HOST of DATA_CENTRE.  HOSTS, borrowed, tells which hosts are
   silent: the databases whose queues they hold are not chosen.  */
SrRouter *sr_new (const char *host, const char *data_centre,
                  const LvCore *hosts);
void sr_free (SrRouter *router);
/* The control state changed.  */
void sr_state (SrRouter *router, const CsState *state);

/* A primary of GROUP had POINT when it was proved to lead, not before AT.  */
void sr_note_lead (SrRouter *router, const char *group, TkPoint point,
                   GmTime at);
/* HOST would let a further statement wait for WAIT in its share of the queue
   of the database ID; this one and its answer spent WAY between hosts.  */
void sr_note_wait (SrRouter *router, GmTime now, const char *id,
                   const char *host, GmTime wait, GmTime way);
/* What statements to that share spend between hosts, to HOST and back; 0: not
   known.  */
GmTime sr_way (const SrRouter *router, const char *id, const char *host);
/* The replica ID answered a read that needed a position which the group's
   primary had AT a time: it has it, or LACKS it.  */
void sr_note_lag (SrRouter *router, GmTime now, const char *id, gboolean lacks,
                  GmTime at);

/* The oldest position of GROUP that holds every write acknowledged before
   SINCE, and when it was taken; FALSE when none is known.  */
gboolean sr_point (const SrRouter *router, const char *group, GmTime since,
                   TkPoint *point, GmTime *at);
/* When the newest position of GROUP was taken; 0: none is known.  */
GmTime sr_newest (const SrRouter *router, const char *group);
/* The host to send a statement for the database ID to: of those that hold a
   share of its queue and can be sent to, the one expected to serve it first;
   or NULL.  */
const CsHost *sr_holder (const SrRouter *router, const CsState *state,
                         GmTime now, const char *id);
/* Whether HOST has fallen silent.  */
gboolean sr_is_silent (const SrRouter *router, const char *host);
/* The primary of GROUP, or NULL when none is known to lead.  */
const CsDatabase *sr_primary (const SrRouter *router, const CsState *state,
                              const char *group);
/* The database of GROUP that is expected to answer a read first, which
   needs the position that the primary had AT a time; EXCEPT, or NULL, is not
   chosen.  One whose queue can't be reached is chosen only with OUT_OF_REACH.
   NULL when there is none.  */
const CsDatabase *sr_reader (const SrRouter *router, const CsState *state,
                             GmTime now, const char *group, GmTime at,
                             const char *except, gboolean out_of_reach);
