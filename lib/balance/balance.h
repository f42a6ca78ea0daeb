/* Choice among the holders of work, shares of a queue or databases, from
   reports that are old when they are used.

   Reports come only with answers.  Many hosts choose at the same moment from
   similar reports, so a choice of what looks best sends them all to the same
   place.  Estimates therefore return from the last report to the average as
   the report ages, count what this host has sent since, and the preferred
   candidate is left only with a probability.

   This module uses no clock and no sockets.  */
#pragma once
#include "base/clock.h"
#include <glib.h>

#define BL_CANDIDATES_MAX 128
/* Ranks for which waits are kept apart: as many as conf has.  */
#define BL_RANKS 3

/* A time that is reported now and then, and its moving average.  */
typedef struct
{
  GmTime last;
  GmTime mean;
  GmTime at; /* of the last report; 0: there is none */
} BlEstimate;

/* What this host knows of one share of a database's queue.  Zeroed at the
   start.  */
typedef struct
{
  BlEstimate waits[BL_RANKS]; /* in the queue, of a further statement */
  BlEstimate running;         /* work in the slots, per slot */
  guint slots;                /* 0: not known */
  guint sent;                 /* statements of this host since the report */
  GmTime costs[BL_RANKS];     /* moving average of a statement's work */
  GmTime network_time;        /* of a statement and its answer */
} BlShare;

/* A report that comes with an answer.  */
typedef struct
{
  guint rank;          /* of the statement that was answered */
  GmTime wait;         /* in the queue, of a further statement of the rank */
  GmTime running;      /* work of the statements that run */
  guint slots;         /* of the share; 0: the answer reports nothing of it */
  GmTime cost;         /* mean work of a statement of this service */
  GmTime network_time; /* of the statement and its answer */
} BlReport;

/* A candidate of a choice.  */
typedef struct
{
  GmTime time;   /* expected until the statement is served */
  double weight; /* relative capacity; 0: not to be chosen */
  double health; /* bl_health_weight, or 1.0 */
} BlCandidate;

/* Returns the expected value of ESTIMATE at NOW: the last report at first, and
   the average once the report is old.  */
GmTime bl_estimate (const BlEstimate *estimate, GmTime now);
/* Records REPORT, received at NOW.  */
void bl_report (BlShare *share, GmTime now, const BlReport *report);
/* Records that this host sends a statement to SHARE.  */
void bl_sent (BlShare *share);
/* The expected wait in the queue of SHARE, of a statement of RANK.  */
GmTime bl_queue_wait (const BlShare *share, GmTime now, guint rank);
/* The wait in the queue of SHARE, of a statement of RANK, that remains for
   sure if nothing else is sent there: 0 without a recent report.  */
GmTime bl_sure_wait (const BlShare *share, GmTime now, guint rank);
/* The expected work per slot ahead of a statement of RANK: in the queue, in
   the slots and sent by this host since the report.  It tells a share with
   free slots from one that is full, before any queue forms.  */
GmTime bl_work_ahead (const BlShare *share, GmTime now, guint rank);
/* The mean work of a statement of RANK at SHARE; 0: not known.  */
GmTime bl_cost (const BlShare *share, guint rank);
/* Chooses among COUNT CANDIDATES.  PREFERRED, an index, is left only for a
   candidate whose time is shorter by more than MARGIN, with a probability that
   grows with the difference, or for one whose health is better, in proportion
   to their health.  Returns COUNT if no candidate may be chosen.  */
guint bl_choose (const BlCandidate *candidates, guint count, guint preferred,
                 GmTime margin, GmRandom *random);
