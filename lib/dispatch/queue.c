#include "queue.h"
#include <string.h>

#define SHARE_HORIZON (1.0 * GM_SECOND) /* of cost */
#define LEAST_SHARE 0.02
#define FLOOR_MARGIN 1.15 /* slots are never quite full */

/* The two lines of a service.  */
typedef enum
{
  IN_TIME,
  LATE,
  LINES
} Line;

typedef struct
{
  char *name;
  CfRank rank;
  GQueue lines[LINES];   /* linked through DpRequest.link */
  GmTime backlog[LINES]; /* sum of costs */
  GmTime served;         /* virtual time: cost served so far */
} Service;

typedef struct
{
  GPtrArray *services;
  GmTime backlog[LINES];
  GmTime virtual_time;
  double share;  /* of the cost served of late */
  double credit; /* microseconds of cost owed under the floor */
  guint length;
} Rank;

struct DqQueue
{
  DqOrder order;
  double floors[CF_RANK_COUNT];
  Rank ranks[CF_RANK_COUNT];
  guint length;
};

static guint
service_length (const Service *service)
{
  return service->lines[IN_TIME].length + service->lines[LATE].length;
}

static void
service_free (Service *service)
{
  g_assert (service_length (service) == 0);
  g_free (service->name);
  g_free (service);
}

DqQueue *
dq_new (DqOrder order)
{
  DqQueue *queue = g_new0 (DqQueue, 1);
  queue->order = order;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    queue->ranks[i].services
        = g_ptr_array_new_with_free_func ((GDestroyNotify)service_free);
  return queue;
}

void
dq_free (DqQueue *queue)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    g_ptr_array_unref (queue->ranks[i].services);
  g_free (queue);
}

void
dq_set_floors (DqQueue *queue, const double floors[CF_RANK_COUNT])
{
  memcpy (queue->floors, floors, sizeof queue->floors);
}

static Service *
find_service (const Rank *rank, const char *name)
{
  for (guint i = 0; i < rank->services->len; i++)
    {
      Service *service = g_ptr_array_index (rank->services, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* The service queue for REQUEST; in arrival order there is only one.  */
static Service *
service_for (DqQueue *queue, const DpRequest *request)
{
  gboolean single = queue->order == DQ_ARRIVAL;
  CfRank rank = single ? CF_URGENT : request->rank;
  const char *name
      = single || request->service == NULL ? "" : request->service;
  Service *service = find_service (&queue->ranks[rank], name);
  if (service == NULL)
    {
      service = g_new0 (Service, 1);
      service->name = g_strdup (name);
      service->rank = rank;
      g_queue_init (&service->lines[IN_TIME]);
      g_queue_init (&service->lines[LATE]);
      g_ptr_array_add (queue->ranks[rank].services, service);
    }
  return service;
}

static Line
line_of (const DpRequest *request)
{
  return request->late ? LATE : IN_TIME;
}

/* Adds SIGN times what REQUEST counts for.  */
static void
account (DqQueue *queue, const DpRequest *request, int sign)
{
  Service *service = request->queue;
  Rank *rank = &queue->ranks[service->rank];
  Line line = line_of (request);
  service->backlog[line] += sign * request->cost;
  rank->backlog[line] += sign * request->cost;
  rank->length += (guint)sign;
  queue->length += (guint)sign;
}

static Service *
account_push (DqQueue *queue, DpRequest *request)
{
  g_assert (request->queue == NULL);
  Service *service = service_for (queue, request);
  const Rank *rank = &queue->ranks[service->rank];
  /* A service that was idle earns nothing for that time.  */
  if (service_length (service) == 0)
    service->served = MAX (service->served, rank->virtual_time);
  request->queue = service;
  account (queue, request, 1);
  return service;
}

void
dq_push (DqQueue *queue, DpRequest *request)
{
  Service *service = account_push (queue, request);
  g_queue_push_tail_link (&service->lines[line_of (request)], &request->link);
}

void
dq_push_front (DqQueue *queue, DpRequest *request)
{
  Service *service = account_push (queue, request);
  g_queue_push_head_link (&service->lines[line_of (request)], &request->link);
}

void
dq_remove (DqQueue *queue, DpRequest *request)
{
  Service *service = request->queue;
  Rank *rank = &queue->ranks[service->rank];
  g_queue_unlink (&service->lines[line_of (request)], &request->link);
  account (queue, request, -1);
  request->queue = NULL;
  if (rank->length == 0)
    rank->credit = 0;
}

/* Moves the requests of SERVICE that have become late to their line.  Those of
   one service are due in the order in which they came.  */
static void
age_service (DqQueue *queue, Service *service, GmTime now)
{
  DpRequest *first;
  while ((first = g_queue_peek_head (&service->lines[IN_TIME])) != NULL
         && first->due != 0 && first->due < now + first->cost)
    {
      g_queue_unlink (&service->lines[IN_TIME], &first->link);
      account (queue, first, -1);
      first->late = TRUE;
      account (queue, first, 1);
      g_queue_push_tail_link (&service->lines[LATE], &first->link);
    }
}

void
dq_age (DqQueue *queue, GmTime now)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    for (guint k = 0; k < queue->ranks[i].services->len; k++)
      age_service (queue, g_ptr_array_index (queue->ranks[i].services, k),
                   now);
}

static DpRequest *
find_passing (const Service *service, Line line, DqFilter filter,
              gpointer data)
{
  guint looked_at = 0;
  for (GList *l = service->lines[line].head;
       l != NULL && looked_at < DQ_SCAN_MAX; l = l->next, looked_at++)
    if (filter (l->data, data))
      return l->data;
  return NULL;
}

/* The first passing request of LINE, of the service that was served least.  */
static DpRequest *
choose_in_line (const Rank *rank, Line line, DqFilter filter, gpointer data)
{
  DpRequest *best = NULL;
  GmTime best_served = G_MAXINT64;
  for (guint i = 0; i < rank->services->len; i++)
    {
      const Service *service = g_ptr_array_index (rank->services, i);
      if (service->lines[line].length == 0 || service->served >= best_served)
        continue;
      DpRequest *found = find_passing (service, line, filter, data);
      if (found == NULL)
        continue;
      best = found;
      best_served = service->served;
    }
  return best;
}

static DpRequest *
choose_in_rank (const Rank *rank, DqFilter filter, gpointer data)
{
  DpRequest *found = choose_in_line (rank, IN_TIME, filter, data);
  return found != NULL ? found : choose_in_line (rank, LATE, filter, data);
}

/* Ranks below the first that are owed service under their floors.  */
static DpRequest *
choose_by_floor (DqQueue *queue, DqFilter filter, gpointer data)
{
  if (queue->order != DQ_FLOORS)
    return NULL;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      Rank *rank = &queue->ranks[i];
      if (rank->length == 0 || rank->credit <= 0)
        continue;
      DpRequest *found = choose_in_rank (rank, filter, data);
      if (found != NULL && rank->credit >= (double)found->cost)
        {
          rank->credit -= (double)found->cost;
          return found;
        }
    }
  return NULL;
}

static void
charge (DqQueue *queue, const DpRequest *request)
{
  Service *service = request->queue;
  Rank *own = &queue->ranks[service->rank];
  service->served += request->cost;
  own->virtual_time = MAX (own->virtual_time, service->served - request->cost);
  double weight = MIN ((double)request->cost / SHARE_HORIZON, 1.0);
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      Rank *rank = &queue->ranks[i];
      rank->share += ((rank == own ? 1.0 : 0.0) - rank->share) * weight;
    }
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      Rank *rank = &queue->ranks[i];
      if (rank->length == 0)
        continue;
      rank->credit += FLOOR_MARGIN * queue->floors[i] * (double)request->cost;
      rank->credit = MIN (rank->credit, (double)DQ_CREDIT_MAX);
    }
}

DpRequest *
dq_take (DqQueue *queue, DqFilter filter, gpointer data)
{
  if (queue->length == 0)
    return NULL;
  DpRequest *request = choose_by_floor (queue, filter, data);
  for (int i = 0; request == NULL && i < CF_RANK_COUNT; i++)
    request = choose_in_rank (&queue->ranks[i], filter, data);
  if (request == NULL)
    return NULL;
  charge (queue, request);
  dq_remove (queue, request);
  return request;
}

static DpRequest *
find_late (const Service *service, GmTime limit, gboolean all)
{
  for (Line line = IN_TIME; line < LINES; line++)
    for (GList *l = service->lines[line].head; l != NULL; l = l->next)
      {
        DpRequest *request = l->data;
        if (request->deadline < limit + request->cost)
          return request;
        if (!all)
          break;
      }
  return NULL;
}

DpRequest *
dq_take_late (DqQueue *queue, GmTime limit, gboolean all)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    for (guint k = 0; k < queue->ranks[i].services->len; k++)
      {
        const Service *s = g_ptr_array_index (queue->ranks[i].services, k);
        DpRequest *request = find_late (s, limit, all);
        if (request == NULL)
          continue;
        dq_remove (queue, request);
        return request;
      }
  return NULL;
}

DpRequest *
dq_take_any (DqQueue *queue)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    for (guint k = 0; k < queue->ranks[i].services->len; k++)
      {
        Service *s = g_ptr_array_index (queue->ranks[i].services, k);
        DpRequest *request = g_queue_peek_head (&s->lines[IN_TIME]);
        if (request == NULL)
          request = g_queue_peek_head (&s->lines[LATE]);
        if (request == NULL)
          continue;
        dq_remove (queue, request);
        return request;
      }
  return NULL;
}

DpRequest *
dq_least_worth (DqQueue *queue, CfRank rank, gint64 worth)
{
  const Rank *own = &queue->ranks[rank];
  DpRequest *least = NULL;
  for (guint i = 0; i < own->services->len; i++)
    {
      Service *service = g_ptr_array_index (own->services, i);
      DpRequest *newest = g_queue_peek_tail (&service->lines[LATE]);
      if (newest == NULL)
        newest = g_queue_peek_tail (&service->lines[IN_TIME]);
      if (newest == NULL || newest->worth >= worth)
        continue;
      if (least == NULL || newest->worth < least->worth)
        least = newest;
    }
  return least;
}

static guint
busy_services (const Rank *rank, const Service *except)
{
  guint count = 0;
  for (guint i = 0; i < rank->services->len; i++)
    {
      const Service *service = g_ptr_array_index (rank->services, i);
      count += service != except && service_length (service) > 0 ? 1 : 0;
    }
  return count;
}

/* The share of the slots that RANK can count on: what the ranks before it have
   left of late, its floor at least, less the floors of those behind it.  */
static double
share_of (const DqQueue *queue, CfRank rank)
{
  double before = 0;
  double behind = 0;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    if (i < (int)rank)
      before += queue->ranks[i].share;
    else if (i > (int)rank && queue->ranks[i].length > 0
             && queue->order == DQ_FLOORS)
      behind += queue->floors[i];
  double floor = queue->order == DQ_FLOORS ? queue->floors[rank] : 0;
  return MAX (MAX (1.0 - before - behind, floor), LEAST_SHARE);
}

/* What BACKLOG holds before a new request, which is LATE or not.  */
static GmTime
backlog_before (const GmTime backlog[LINES], gboolean late)
{
  return backlog[IN_TIME] + (late ? backlog[LATE] : 0);
}

GmTime
dq_wait (const DqQueue *queue, CfRank rank, const char *name, double slots,
         gboolean late)
{
  const Rank *own = &queue->ranks[rank];
  const Service *service = find_service (own, name);
  GmTime own_backlog
      = service != NULL ? backlog_before (service->backlog, late) : 0;
  /* Sharing its rank with others, a service waits for as much of theirs as it
     has waiting itself.  */
  GmTime fair = own_backlog * (GmTime)(1 + busy_services (own, service));
  GmTime in_rank = MIN (backlog_before (own->backlog, late), fair);
  return (GmTime)((double)in_rank / (slots * share_of (queue, rank)));
}

GmTime
dq_place (const DqQueue *queue, DpRequest *request, GmTime now, double slots)
{
  GmTime wait = dq_wait (queue, request->rank, request->service, slots, FALSE);
  request->late
      = request->due != 0 && request->due < now + wait + request->cost;
  return request->late
             ? dq_wait (queue, request->rank, request->service, slots, TRUE)
             : wait;
}

guint
dq_length (const DqQueue *queue)
{
  return queue->length;
}

guint
dq_rank_length (const DqQueue *queue, CfRank rank)
{
  return queue->ranks[rank].length;
}

guint
dq_service_length (const DqQueue *queue, CfRank rank, const char *name)
{
  const Service *service = find_service (&queue->ranks[rank], name);
  return service != NULL ? service_length (service) : 0;
}
