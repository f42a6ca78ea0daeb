/* A priority queue of requests, by rank, customer and service.  A dispatcher
   has one for reads at replicas and one for requests to the primary.

   Ranks are served in order of priority, but each rank with waiting requests
   earns credit in proportion to its floor and is served once the credit covers
   the cost of a request.  Within a rank, customers share capacity by estimated
   cost (fair queueing), and so do the services of a customer, so that a flood
   of one leaves the others their share.  Customers come first: otherwise one
   that spreads its load over many services would get a share for each of them.
   All customers have the same weight: their sizes and priorities are agreed in
   their rates, and under equal weights all who ask for less than an even share
   are served in full.

   Within a rank, requests that can still be answered by their due time go
   before late ones, which can't: after an outage or in a flood, serving the
   oldest first would make all requests late.  Late requests are served while
   no other request of their rank waits.

   No I/O; requests are borrowed.  */
#pragma once
#include "request.h"

/* Requests of one service that dq_take offers to its filter.  */
#define DQ_SCAN_MAX 8
/* Limit on a rank's unused credit, in cost.  */
#define DQ_CREDIT_MAX (200 * GM_MS)

/* The queueing discipline.  The last two are baselines for make measure.  */
typedef enum
{
  DQ_FLOORS,          /* by rank, with a guaranteed share for each rank */
  DQ_STRICT_PRIORITY, /* by rank alone */
  DQ_FIFO             /* first in, first out */
} DqOrder;

typedef struct DqQueue DqQueue;

/* Whether REQUEST can be served now.  */
typedef gboolean (*DqFilter) (DpRequest *request, gpointer data);

DqQueue *dq_new (DqOrder order);
/* Frees QUEUE, which must be empty.  */
void dq_free (DqQueue *queue);
/* Sets the share of the queue's capacity guaranteed to each rank.  */
void dq_set_floors (DqQueue *queue, const double floors[CF_RANK_COUNT]);
/* Appends REQUEST to the late requests of its service if it is late, else to
   those in time.  REQUEST->cost must be set.  */
void dq_push (DqQueue *queue, DpRequest *request);
/* Puts REQUEST before the late requests of its service if it is late, else
   before those in time.  */
void dq_push_front (DqQueue *queue, DpRequest *request);
/* Marks as late the requests that can't be answered in time at NOW.  */
void dq_mark_late (DqQueue *queue, GmTime now);
/* Removes and returns a request that can't be answered in time at NOW, was not
   marked as late yet, and is accepted by FILTER; or NULL.  Marks those that
   FILTER rejects as late.  */
DpRequest *dq_take_turned_late (DqQueue *queue, GmTime now, DqFilter filter,
                                gpointer data);
/* Removes REQUEST.  */
void dq_remove (DqQueue *queue, DpRequest *request);
/* Removes and returns the request to serve next among those that FILTER
   accepts, and charges its cost to its service and rank.  Returns NULL when
   there is none.  */
DpRequest *dq_take (DqQueue *queue, DqFilter filter, gpointer data);
/* Returns the request that dq_take would remove, without charging it.  */
DpRequest *dq_peek (const DqQueue *queue, DqFilter filter, gpointer data);
/* Takes out a request that FILTER accepts and that is not to run: it is not
   charged to its service.  Returns NULL when there is none.  */
DpRequest *dq_withdraw (DqQueue *queue, DqFilter filter, gpointer data);
/* Removes and returns a request whose deadline is before LIMIT plus its cost,
   or NULL.  Examines all requests if ALL, else only the first in time and the
   first late one of each service.  */
DpRequest *dq_take_expired (DqQueue *queue, GmTime limit, gboolean all);
/* Returns a request that FILTER accepts, or NULL.  Examines all requests; the
   request stays in the queue.  */
DpRequest *dq_find (const DqQueue *queue, DqFilter filter, gpointer data);
/* Removes and returns any request, or NULL when the queue is empty.  */
DpRequest *dq_take_any (DqQueue *queue);
/* Returns the request of least worth, below that of REQUEST, among the newest
   of each service in the rank of REQUEST, or NULL.  Of other customers only
   those with a longer queue than REQUEST's are considered.  The request stays
   in the queue.  */
DpRequest *dq_least_worth (DqQueue *queue, const DpRequest *request);
/* Estimates the time until a new request of RANK, CUSTOMER (or NULL) and
   SERVICE would be served by SLOTS servers in parallel.  The request goes
   behind the late requests if LATE, else before them.  */
GmTime dq_estimate_wait (const DqQueue *queue, CfRank rank,
                         const char *customer, const char *service,
                         double slots, gboolean late);
/* Sets REQUEST->late from the estimated wait, for a REQUEST that is not in the
   queue yet, and returns the wait.  */
GmTime dq_classify (const DqQueue *queue, DpRequest *request, GmTime now,
                    double slots);
guint dq_length (const DqQueue *queue);
/* Number of requests of RANK, and of SERVICE within RANK.  */
guint dq_rank_length (const DqQueue *queue, CfRank rank);
guint dq_service_length (const DqQueue *queue, CfRank rank,
                         const char *service);
/* Number of requests of CUSTOMER, or of none if CUSTOMER is NULL.  */
guint dq_customer_length (const DqQueue *queue, const char *customer);
