/* The queue of one lane of a dispatcher: requests by rank and service.

   Ranks are served in order, but each rank that waits earns credit in
   proportion to its floor and is served once the credit covers a request.
   Services of one rank share it by estimated cost, so that a flood of one
   leaves the others their share.

   Within a rank, requests that can still be answered by the time they are due
   go before those that can't: after an outage or in a flood, serving the
   oldest first would make all of them late.  Late ones are served while
   nothing else of their rank waits.  Pure; requests are borrowed.  */
#pragma once
#include "request.h"

#define DQ_SCAN_MAX 8 /* requests of one service looked at per choice */
#define DQ_CREDIT_MAX (200 * GM_MS)

/* Which order is kept; the other two serve as baselines of make measure.  */
typedef enum
{
  DQ_FLOORS,
  DQ_STRICT,
  DQ_ARRIVAL
} DqOrder;

typedef struct DqQueue DqQueue;

/* Whether REQUEST can be served now.  */
typedef gboolean (*DqFilter) (DpRequest *request, gpointer data);

DqQueue *dq_new (DqOrder order);
/* Frees QUEUE, which must be empty.  */
void dq_free (DqQueue *queue);
/* Sets the floors, shares of the lane's capacity.  */
void dq_set_floors (DqQueue *queue, const double floors[CF_RANK_COUNT]);
/* Puts REQUEST behind the others of its service, behind all that are not late
   if it is; cost must be set.  */
void dq_push (DqQueue *queue, DpRequest *request);
/* Puts REQUEST before the others of its service.  */
void dq_push_front (DqQueue *queue, DpRequest *request);
/* Notes which requests are late at NOW.  */
void dq_age (DqQueue *queue, GmTime now);
/* Takes REQUEST out.  */
void dq_remove (DqQueue *queue, DpRequest *request);
/* Takes out and charges the request that is served next among those that
   FILTER lets pass, or NULL.  */
DpRequest *dq_take (DqQueue *queue, DqFilter filter, gpointer data);
/* Takes out a request whose deadline is before LIMIT plus its cost, or NULL.
   Looks at all requests, or only at the first of each service.  */
DpRequest *dq_take_late (DqQueue *queue, GmTime limit, gboolean all);
/* Takes out any request, or NULL when the queue is empty.  */
DpRequest *dq_take_any (DqQueue *queue);
/* The newest request of RANK whose service is worth less than WORTH, still in
   the queue, or NULL.  */
DpRequest *dq_least_worth (DqQueue *queue, CfRank rank, gint64 worth);
/* Estimated time until a new request of RANK and SERVICE would be served by
   SLOTS servers in parallel, before all that are late, or with LATE behind
   them.  */
GmTime dq_wait (const DqQueue *queue, CfRank rank, const char *service,
                double slots, gboolean late);
/* Decides which line REQUEST, not in the queue yet, is for, and returns the
   time that it would wait there.  */
GmTime dq_place (const DqQueue *queue, DpRequest *request, GmTime now,
                 double slots);
guint dq_length (const DqQueue *queue);
/* Requests of RANK, and those of them that SERVICE has.  */
guint dq_rank_length (const DqQueue *queue, CfRank rank);
guint dq_service_length (const DqQueue *queue, CfRank rank,
                         const char *service);
