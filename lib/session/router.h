/* Choice of the database for each statement, at one entry host.

   The router learns from answers alone how long each share of a database's
   queue is and how far each replica lags.  For each group it also keeps
   samples of the log position that the primary had at a time when it was
   proved to lead.  Such a position includes every write that was acknowledged
   before that time, so a read may run at any database that has reached it.
   The database checks this itself: a wrong guess of the router costs a round
   trip, never a stale answer.

   This module uses no clock and no sockets.  */
#pragma once
#include "balance/balance.h"
#include "cstate/cstate.h"
#include "liveness.h"
#include "token/token.h"

/* Time between two position samples: a thirtieth of the shortest age bound
   declared.  */
#define SR_SAMPLE_SPACING (50 * GM_MS)
/* Position samples per group: over 3 s, more than the longest age bound.  */
#define SR_SAMPLES_MAX 64

/* Longest wait for a replica to receive a position: more than replicas lag
   without a fault, and a small part of what reads may take.  */
#define SR_LAG_WAIT_MAX (50 * GM_MS)

typedef struct SrRouter SrRouter;

/* Creates a router on HOST of DATA_CENTRE.  HOSTS, borrowed, tells which hosts
   are silent: the router chooses no queue that a silent host holds.  */
SrRouter *sr_new (const char *host, const char *data_centre,
                  const LvCore *hosts);
void sr_free (SrRouter *router);
/* Follows a change of the control state.  */
void sr_state_changed (SrRouter *router, const CsState *state);

/* Adds a sample: a primary of GROUP that was proved to lead had the position
   POINT, not before AT.  */
void sr_note_position (SrRouter *router, const char *group, TkPoint point,
                       GmTime at);
/* Records the REPORT that came with an answer of HOST, which holds a share of
   the queue of the database ID.  */
void sr_note_report (SrRouter *router, GmTime now, const char *id,
                     const char *host, const BlReport *report);
/* Records that a statement of RANK for the database ID is sent to HOST at
   NOW.  */
void sr_note_sent (SrRouter *router, GmTime now, const char *id,
                   const char *host, CfRank rank);
/* Records the answer of HOST at NOW to a statement of RANK for the database ID
   that was sent at SENT_AT.  TOO_MUCH tells that it shows a full link or
   queue.  */
void sr_note_answer (SrRouter *router, GmTime now, const char *id,
                     const char *host, CfRank rank, GmTime sent_at,
                     gboolean too_much);
/* The time that a statement for the database ID spends between hosts, to HOST
   and back; 0: not known.  */
GmTime sr_network_time (const SrRouter *router, const char *id,
                        const char *host);
/* Records that the database ID FAILED a statement for a reason that lies with
   the database, or served one.  */
void sr_note_result (SrRouter *router, GmTime now, const char *id,
                     gboolean failed);
/* The limit on this host's retries: records the first try of a statement, and
   takes a retry, or returns FALSE when none is left.  */
void sr_note_first_try (SrRouter *router, GmTime now);
gboolean sr_take_retry (SrRouter *router, GmTime now);
/* The least wait that a statement of RANK for GROUP has for sure, at the
   primary or, if READS, at any copy that sr_read_database would choose from;
   0 without a recent report of every queue.  */
GmTime sr_sure_wait (SrRouter *router, const CsState *state, GmTime now,
                     const char *group, CfRank rank, gboolean reads, GmTime at,
                     const char *exclude);
/* Whether a statement of RANK for the database ID may be sent to one of the
   hosts that this one prefers, whose answers take less than SLOW.  */
gboolean sr_has_room (SrRouter *router, const CsState *state, GmTime now,
                      const char *customer, const char *id, CfRank rank,
                      GmTime slow);
/* Whether a statement that no queue is expected to serve in time is sent all
   the same, so that news of the queues keeps coming.  */
gboolean sr_lets_through (SrRouter *router);
/* Records whether the replica ID LACKS the position that the group's primary
   had at the time AT.  */
void sr_note_lag (SrRouter *router, GmTime now, const char *id, gboolean lacks,
                  GmTime at);

/* How long a read that needs the position of the time AT is to wait for the
   replica ID, which is expected to have it within SR_LAG_WAIT_MAX.  */
GmTime sr_position_delay (const SrRouter *router, GmTime now, const char *id,
                          GmTime at);

/* The oldest known position of GROUP that includes every write acknowledged
   before SINCE, and the time AT of its sample.  FALSE when there is none.  */
gboolean sr_position (const SrRouter *router, const char *group, GmTime since,
                      TkPoint *point, GmTime *at);
/* The time of GROUP's newest position sample; 0: there is none.  */
GmTime sr_newest_at (const SrRouter *router, const char *group);
/* Chooses the host to send a statement of RANK for the database ID to, among
   the hosts that hold a share of the database's queue and are not silent; NULL
   if there is none.  The share that this host prefers is left with a
   probability that grows with the time that another is expected to save.
   Statements of one CUSTOMER, unless it is NULL, prefer as few shares as its
   rate allows.  */
const CsHost *sr_holder (SrRouter *router, const CsState *state, GmTime now,
                         const char *customer, const char *id, CfRank rank);
/* Whether HOST is silent.  */
gboolean sr_is_silent (const SrRouter *router, const char *host);
/* The primary of GROUP, or NULL when no database is known to lead.  */
const CsDatabase *sr_primary (const SrRouter *router, const CsState *state,
                              const char *group);
/* Chooses the database of GROUP for a read of RANK, or NULL: the replica of
   this data centre, left with a probability that grows with the time that
   another copy is expected to save.  The read needs the position that the
   primary had at the time AT.  EXCLUDE, or NULL, is a database not to choose.
   Databases whose queues are held by silent hosts only are chosen only with
   OUT_OF_REACH.  */
const CsDatabase *sr_read_database (SrRouter *router, const CsState *state,
                                    GmTime now, const char *group, CfRank rank,
                                    GmTime at, const char *exclude,
                                    gboolean out_of_reach);

/* What is known of a share of a queue, for operators.  */
typedef struct
{
  const CsHost *host;
  gboolean preferred;
  gboolean silent;
  GmTime report_age; /* of the last report for the rank; -1: there is none */
  GmTime queue_wait;
  GmTime work_ahead;
  GmTime network_time;
  guint window; /* limit on statements on their way; 0: none */
} SrShareView;

/* The same of a copy of a group.  */
typedef struct
{
  const CsDatabase *database;
  gboolean primary;
  gboolean preferred;
  gboolean serves; /* it may be sent the statement */
  const char *why; /* it may serve the statement, or why not; static */
  GmTime time;     /* expected until it serves the statement */
  GmTime position_delay;
  double health;
} SrCopyView;

#define SR_VIEWS_MAX 16

/* Fills VIEWS with up to SR_VIEWS_MAX copies of GROUP, as they look to a
   statement of RANK, and returns their number.  READS and AT are as in
   sr_sure_wait.  */
guint sr_view_copies (SrRouter *router, const CsState *state, GmTime now,
                      const char *group, CfRank rank, gboolean reads,
                      GmTime at, SrCopyView views[SR_VIEWS_MAX]);
/* Fills VIEW with the share of the queue of the database ID that its holder
   number INDEX has.  */
void sr_view_share (const SrRouter *router, const CsState *state, GmTime now,
                    const char *id, guint index, CfRank rank,
                    SrShareView *view);
