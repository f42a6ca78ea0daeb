#include "queue.h"
#include <string.h>

/* Cost over which a rank's recent share of the service is averaged.  */
#define SHARE_AVERAGING_COST (1.0 * GM_SECOND)
#define SHARE_MIN 0.02 /* lower bound for estimates of the wait */
/* Credit is raised by this factor because slots are never fully used.  */
#define FLOOR_MARGIN 1.15
/* Customers of a rank that are kept before idle ones are forgotten.  */
#define CUSTOMERS_KEPT_MIN 32
/* Limit on the cost by which a customer falls behind its rank.  One whose
   requests could not run, as it had no connection or too many transactions,
   must not take the rank for itself afterwards.  */
#define CUSTOMER_LAG_MAX (100 * GM_MS)

/* The parts of a service's queue: requests that can still be answered by their
   due time, and late ones.  */
typedef enum
{
  IN_TIME,
  LATE,
  SUBQUEUE_COUNT
} SubQueue;

/* The requests of one customer within a rank.  Requests without a customer
   share one, whose name is "".  */
typedef struct
{
  char *name;
  GPtrArray *services; /* ServiceQueue * */
  GmTime backlog[SUBQUEUE_COUNT];
  /* Cost served so far, raised to that of the rank after idle times.  */
  GmTime virtual_time;
  GmTime service_clock; /* virtual start time of the last service served */
  guint length;
} CustomerQueue;

typedef struct
{
  char *name;
  CfRank rank;
  CustomerQueue *customer;
  GQueue subqueues[SUBQUEUE_COUNT]; /* linked through DpRequest.link */
  GmTime backlog[SUBQUEUE_COUNT];   /* sum of costs */
  /* Cost served so far, raised to that of the customer after idle times.  */
  GmTime virtual_time;
} ServiceQueue;

typedef struct
{
  GHashTable *customers; /* name -> CustomerQueue */
  GPtrArray *waiting;    /* CustomerQueue * that have requests */
  guint forget_at;       /* number of customers at which to forget some */
  GmTime backlog[SUBQUEUE_COUNT];
  GmTime virtual_time; /* virtual start time of the last request served */
  double recent_share; /* of the cost served, moving average */
  double floor_credit; /* microseconds of cost owed under the floor */
  guint length;
} RankQueue;

struct DqQueue
{
  DqOrder order;
  double floors[CF_RANK_COUNT];
  RankQueue ranks[CF_RANK_COUNT];
  guint length;
};

static guint
service_length (const ServiceQueue *service)
{
  return service->subqueues[IN_TIME].length + service->subqueues[LATE].length;
}

static void
service_free (ServiceQueue *service)
{
  g_assert (service_length (service) == 0);
  g_free (service->name);
  g_free (service);
}

static void
customer_free (CustomerQueue *customer)
{
  g_assert (customer->length == 0);
  g_ptr_array_unref (customer->services);
  g_free (customer->name);
  g_free (customer);
}

DqQueue *
dq_new (DqOrder order)
{
  DqQueue *queue = g_new0 (DqQueue, 1);
  queue->order = order;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      RankQueue *rank = &queue->ranks[i];
      rank->customers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               (GDestroyNotify)customer_free);
      rank->waiting = g_ptr_array_new ();
      rank->forget_at = CUSTOMERS_KEPT_MIN;
    }
  return queue;
}

void
dq_free (DqQueue *queue)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      g_ptr_array_unref (queue->ranks[i].waiting);
      g_hash_table_unref (queue->ranks[i].customers);
    }
  g_free (queue);
}

void
dq_set_floors (DqQueue *queue, const double floors[CF_RANK_COUNT])
{
  memcpy (queue->floors, floors, sizeof queue->floors);
}

static CustomerQueue *
find_customer (const RankQueue *rank, const char *name)
{
  return g_hash_table_lookup (rank->customers, name != NULL ? name : "");
}

static ServiceQueue *
find_service (const CustomerQueue *customer, const char *name)
{
  for (guint i = 0; customer != NULL && i < customer->services->len; i++)
    {
      ServiceQueue *service = g_ptr_array_index (customer->services, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* Whether a customer can be forgotten: it would come back with the virtual
   time of the rank.  */
static gboolean
is_forgettable (gpointer name, gpointer value, gpointer data)
{
  const CustomerQueue *customer = value;
  const RankQueue *rank = data;
  return *(const char *)name != '\0' && customer->length == 0
         && customer->virtual_time <= rank->virtual_time;
}

static CustomerQueue *
customer_for (RankQueue *rank, const char *name)
{
  CustomerQueue *customer = find_customer (rank, name);
  if (customer != NULL)
    return customer;
  if (g_hash_table_size (rank->customers) >= rank->forget_at)
    {
      g_hash_table_foreach_remove (rank->customers, is_forgettable, rank);
      rank->forget_at
          = MAX (2 * g_hash_table_size (rank->customers), CUSTOMERS_KEPT_MIN);
    }
  customer = g_new0 (CustomerQueue, 1);
  customer->name = g_strdup (name != NULL ? name : "");
  customer->services
      = g_ptr_array_new_with_free_func ((GDestroyNotify)service_free);
  g_hash_table_insert (rank->customers, customer->name, customer);
  return customer;
}

/* Returns the service queue for REQUEST, created if needed.  In order of
   arrival there is only one.  */
static ServiceQueue *
service_for (DqQueue *queue, const DpRequest *request)
{
  gboolean single = queue->order == DQ_FIFO;
  CfRank rank = single ? CF_URGENT : request->rank;
  const char *name
      = single || request->service == NULL ? "" : request->service;
  CustomerQueue *customer
      = customer_for (&queue->ranks[rank], single ? NULL : request->customer);
  ServiceQueue *service = find_service (customer, name);
  if (service == NULL)
    {
      service = g_new0 (ServiceQueue, 1);
      service->name = g_strdup (name);
      service->rank = rank;
      service->customer = customer;
      g_queue_init (&service->subqueues[IN_TIME]);
      g_queue_init (&service->subqueues[LATE]);
      g_ptr_array_add (customer->services, service);
    }
  return service;
}

static SubQueue
subqueue_of (const DpRequest *request)
{
  return request->late ? LATE : IN_TIME;
}

/* Adds REQUEST to the backlogs and lengths, or subtracts it; SIGN is 1 or
   -1.  */
static void
adjust_totals (DqQueue *queue, const DpRequest *request, int sign)
{
  ServiceQueue *service = request->service_queue;
  RankQueue *rank = &queue->ranks[service->rank];
  SubQueue subqueue = subqueue_of (request);
  service->backlog[subqueue] += sign * request->cost;
  service->customer->backlog[subqueue] += sign * request->cost;
  service->customer->length += (guint)sign;
  rank->backlog[subqueue] += sign * request->cost;
  rank->length += (guint)sign;
  queue->length += (guint)sign;
}

static ServiceQueue *
assign_to_service (DqQueue *queue, DpRequest *request)
{
  g_assert (request->service_queue == NULL);
  ServiceQueue *service = service_for (queue, request);
  const RankQueue *rank = &queue->ranks[service->rank];
  CustomerQueue *customer = service->customer;
  /* An idle service or customer gains no advantage for the time without
     requests.  */
  if (service_length (service) == 0)
    service->virtual_time
        = MAX (service->virtual_time, customer->service_clock);
  if (customer->length == 0)
    {
      customer->virtual_time
          = MAX (customer->virtual_time, rank->virtual_time);
      g_ptr_array_add (rank->waiting, customer);
    }
  request->service_queue = service;
  adjust_totals (queue, request, 1);
  return service;
}

void
dq_push (DqQueue *queue, DpRequest *request)
{
  ServiceQueue *service = assign_to_service (queue, request);
  g_queue_push_tail_link (&service->subqueues[subqueue_of (request)],
                          &request->queue_link);
}

void
dq_push_front (DqQueue *queue, DpRequest *request)
{
  ServiceQueue *service = assign_to_service (queue, request);
  g_queue_push_head_link (&service->subqueues[subqueue_of (request)],
                          &request->queue_link);
}

void
dq_remove (DqQueue *queue, DpRequest *request)
{
  ServiceQueue *service = request->service_queue;
  RankQueue *rank = &queue->ranks[service->rank];
  g_queue_unlink (&service->subqueues[subqueue_of (request)],
                  &request->queue_link);
  adjust_totals (queue, request, -1);
  if (service->customer->length == 0)
    g_ptr_array_remove (rank->waiting, service->customer);
  request->service_queue = NULL;
  if (rank->length == 0)
    rank->floor_credit = 0;
}

static void
move_to_late (DqQueue *queue, ServiceQueue *service, DpRequest *request)
{
  g_queue_unlink (&service->subqueues[IN_TIME], &request->queue_link);
  adjust_totals (queue, request, -1);
  request->late = TRUE;
  adjust_totals (queue, request, 1);
  g_queue_push_tail_link (&service->subqueues[LATE], &request->queue_link);
}

/* Moves the requests of SERVICE that have become late to the LATE subqueue, or
   returns the first of them that FILTER accepts.  Requests of one service are
   due in the order of their arrival, so the scan stops at the first that is in
   time.  */
static DpRequest *
find_turned_late (DqQueue *queue, ServiceQueue *service, GmTime now,
                  DqFilter filter, gpointer data)
{
  DpRequest *first;
  while ((first = g_queue_peek_head (&service->subqueues[IN_TIME])) != NULL
         && first->due != 0 && first->due < now + first->cost)
    {
      if (filter != NULL && filter (first, data))
        return first;
      move_to_late (queue, service, first);
    }
  return NULL;
}

DpRequest *
dq_take_turned_late (DqQueue *queue, GmTime now, DqFilter filter,
                     gpointer data)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    for (guint c = 0; c < queue->ranks[i].waiting->len; c++)
      {
        const CustomerQueue *customer
            = g_ptr_array_index (queue->ranks[i].waiting, c);
        for (guint k = 0; k < customer->services->len; k++)
          {
            DpRequest *found = find_turned_late (
                queue, g_ptr_array_index (customer->services, k), now, filter,
                data);
            if (found == NULL)
              continue;
            dq_remove (queue, found);
            return found;
          }
      }
  return NULL;
}

void
dq_mark_late (DqQueue *queue, GmTime now)
{
  dq_take_turned_late (queue, now, NULL, NULL);
}

static DpRequest *
find_passing (const ServiceQueue *service, SubQueue subqueue, DqFilter filter,
              gpointer data)
{
  guint looked_at = 0;
  for (GList *l = service->subqueues[subqueue].head;
       l != NULL && looked_at < DQ_SCAN_MAX; l = l->next, looked_at++)
    if (filter (l->data, data))
      return l->data;
  return NULL;
}

/* Returns the first request that FILTER accepts in the given subqueue of the
   service of CUSTOMER with the lowest virtual time.  */
static DpRequest *
choose_of_customer (const CustomerQueue *customer, SubQueue subqueue,
                    DqFilter filter, gpointer data)
{
  DpRequest *best = NULL;
  GmTime best_served = G_MAXINT64;
  for (guint i = 0; i < customer->services->len; i++)
    {
      const ServiceQueue *service = g_ptr_array_index (customer->services, i);
      if (service->subqueues[subqueue].length == 0
          || service->virtual_time >= best_served)
        continue;
      DpRequest *found = find_passing (service, subqueue, filter, data);
      if (found == NULL)
        continue;
      best = found;
      best_served = service->virtual_time;
    }
  return best;
}

/* The same for the customer of RANK with the lowest virtual time.  */
static DpRequest *
choose_in_subqueue (const RankQueue *rank, SubQueue subqueue, DqFilter filter,
                    gpointer data)
{
  DpRequest *best = NULL;
  GmTime best_served = G_MAXINT64;
  for (guint i = 0; i < rank->waiting->len; i++)
    {
      const CustomerQueue *customer = g_ptr_array_index (rank->waiting, i);
      if (customer->virtual_time >= best_served)
        continue;
      DpRequest *found = choose_of_customer (customer, subqueue, filter, data);
      if (found == NULL)
        continue;
      best = found;
      best_served = customer->virtual_time;
    }
  return best;
}

static DpRequest *
choose_in_rank (const RankQueue *rank, DqFilter filter, gpointer data)
{
  DpRequest *found = choose_in_subqueue (rank, IN_TIME, filter, data);
  return found != NULL ? found : choose_in_subqueue (rank, LATE, filter, data);
}

/* Returns a request of the highest rank whose floor credit covers its cost, or
   NULL.  */
static DpRequest *
choose_by_floor (const DqQueue *queue, DqFilter filter, gpointer data)
{
  if (queue->order != DQ_FLOORS)
    return NULL;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      const RankQueue *rank = &queue->ranks[i];
      if (rank->length == 0 || rank->floor_credit <= 0)
        continue;
      DpRequest *found = choose_in_rank (rank, filter, data);
      if (found != NULL && rank->floor_credit >= (double)found->cost)
        return found;
    }
  return NULL;
}

static void
charge (DqQueue *queue, const DpRequest *request)
{
  ServiceQueue *service = request->service_queue;
  RankQueue *own = &queue->ranks[service->rank];
  CustomerQueue *customer = service->customer;
  customer->service_clock
      = MAX (customer->service_clock, service->virtual_time);
  service->virtual_time += request->cost;
  own->virtual_time = MAX (own->virtual_time, customer->virtual_time);
  customer->virtual_time
      = MAX (customer->virtual_time, own->virtual_time - CUSTOMER_LAG_MAX);
  customer->virtual_time += request->cost;
  double weight = MIN ((double)request->cost / SHARE_AVERAGING_COST, 1.0);
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      RankQueue *rank = &queue->ranks[i];
      rank->recent_share
          += ((rank == own ? 1.0 : 0.0) - rank->recent_share) * weight;
    }
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      RankQueue *rank = &queue->ranks[i];
      if (rank->length == 0)
        continue;
      rank->floor_credit
          += FLOOR_MARGIN * queue->floors[i] * (double)request->cost;
      rank->floor_credit = MIN (rank->floor_credit, (double)DQ_CREDIT_MAX);
    }
}

/* Returns the first request that FILTER accepts, ranks in order, or NULL.  */
static DpRequest *
choose_by_rank (const DqQueue *queue, DqFilter filter, gpointer data)
{
  DpRequest *request = NULL;
  for (int i = 0; request == NULL && i < CF_RANK_COUNT; i++)
    request = choose_in_rank (&queue->ranks[i], filter, data);
  return request;
}

DpRequest *
dq_withdraw (DqQueue *queue, DqFilter filter, gpointer data)
{
  DpRequest *request = choose_by_rank (queue, filter, data);
  if (request != NULL)
    dq_remove (queue, request);
  return request;
}

DpRequest *
dq_take (DqQueue *queue, DqFilter filter, gpointer data)
{
  if (queue->length == 0)
    return NULL;
  DpRequest *request = choose_by_floor (queue, filter, data);
  if (request != NULL)
    queue->ranks[request->rank].floor_credit -= (double)request->cost;
  else
    request = choose_by_rank (queue, filter, data);
  if (request == NULL)
    return NULL;
  charge (queue, request);
  dq_remove (queue, request);
  return request;
}

DpRequest *
dq_peek (const DqQueue *queue, DqFilter filter, gpointer data)
{
  DpRequest *request = choose_by_floor (queue, filter, data);
  return request != NULL ? request : choose_by_rank (queue, filter, data);
}

static DpRequest *
find_expired (const ServiceQueue *service, GmTime limit, gboolean all)
{
  for (SubQueue subqueue = IN_TIME; subqueue < SUBQUEUE_COUNT; subqueue++)
    for (GList *l = service->subqueues[subqueue].head; l != NULL; l = l->next)
      {
        DpRequest *request = l->data;
        if (request->deadline < limit + request->cost)
          return request;
        if (!all)
          break;
      }
  return NULL;
}

static DpRequest *
find_expired_of_rank (const RankQueue *rank, GmTime limit, gboolean all)
{
  for (guint c = 0; c < rank->waiting->len; c++)
    {
      const CustomerQueue *customer = g_ptr_array_index (rank->waiting, c);
      for (guint k = 0; k < customer->services->len; k++)
        {
          DpRequest *request = find_expired (
              g_ptr_array_index (customer->services, k), limit, all);
          if (request != NULL)
            return request;
        }
    }
  return NULL;
}

DpRequest *
dq_take_expired (DqQueue *queue, GmTime limit, gboolean all)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      DpRequest *request = find_expired_of_rank (&queue->ranks[i], limit, all);
      if (request == NULL)
        continue;
      dq_remove (queue, request);
      return request;
    }
  return NULL;
}

static DpRequest *
find_in_service (const ServiceQueue *service, DqFilter filter, gpointer data)
{
  for (SubQueue subqueue = IN_TIME; subqueue < SUBQUEUE_COUNT; subqueue++)
    for (GList *l = service->subqueues[subqueue].head; l != NULL; l = l->next)
      if (filter (l->data, data))
        return l->data;
  return NULL;
}

static DpRequest *
find_in_rank (const RankQueue *rank, DqFilter filter, gpointer data)
{
  for (guint c = 0; c < rank->waiting->len; c++)
    {
      const CustomerQueue *customer = g_ptr_array_index (rank->waiting, c);
      for (guint k = 0; k < customer->services->len; k++)
        {
          DpRequest *request = find_in_service (
              g_ptr_array_index (customer->services, k), filter, data);
          if (request != NULL)
            return request;
        }
    }
  return NULL;
}

DpRequest *
dq_find (const DqQueue *queue, DqFilter filter, gpointer data)
{
  DpRequest *request = NULL;
  for (int i = 0; request == NULL && i < CF_RANK_COUNT; i++)
    request = find_in_rank (&queue->ranks[i], filter, data);
  return request;
}

static gboolean
accept_any (DpRequest *request, gpointer data)
{
  (void)request;
  (void)data;
  return TRUE;
}

DpRequest *
dq_take_any (DqQueue *queue)
{
  return dq_withdraw (queue, accept_any, NULL);
}

/* Returns the newest request of SERVICE; late ones count as newer.  */
static DpRequest *
newest_of (ServiceQueue *service)
{
  DpRequest *newest = g_queue_peek_tail (&service->subqueues[LATE]);
  return newest != NULL ? newest
                        : g_queue_peek_tail (&service->subqueues[IN_TIME]);
}

static GmTime
whole_backlog (const CustomerQueue *customer)
{
  return customer->backlog[IN_TIME] + customer->backlog[LATE];
}

DpRequest *
dq_least_worth (DqQueue *queue, const DpRequest *request)
{
  const RankQueue *rank = &queue->ranks[request->rank];
  const CustomerQueue *own = find_customer (rank, request->customer);
  GmTime own_backlog = own != NULL ? whole_backlog (own) : 0;
  DpRequest *least = NULL;
  for (guint c = 0; c < rank->waiting->len; c++)
    {
      const CustomerQueue *customer = g_ptr_array_index (rank->waiting, c);
      if (customer != own && whole_backlog (customer) <= own_backlog)
        continue;
      for (guint i = 0; i < customer->services->len; i++)
        {
          DpRequest *newest
              = newest_of (g_ptr_array_index (customer->services, i));
          if (newest == NULL || newest->worth >= request->worth)
            continue;
          if (least == NULL || newest->worth < least->worth)
            least = newest;
        }
    }
  return least;
}

static guint
count_waiting_services (const CustomerQueue *customer,
                        const ServiceQueue *except)
{
  guint count = 0;
  for (guint i = 0; i < customer->services->len; i++)
    {
      const ServiceQueue *service = g_ptr_array_index (customer->services, i);
      count += service != except && service_length (service) > 0 ? 1 : 0;
    }
  return count;
}

/* Estimates the share of the slots available to RANK: what higher ranks have
   recently left unused, less the floors of lower ranks that have waiting
   requests, and at least the floor of RANK.  */
static double
available_share (const DqQueue *queue, CfRank rank)
{
  double before = 0;
  double behind = 0;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    if (i < (int)rank)
      before += queue->ranks[i].recent_share;
    else if (i > (int)rank && queue->ranks[i].length > 0
             && queue->order == DQ_FLOORS)
      behind += queue->floors[i];
  double floor = queue->order == DQ_FLOORS ? queue->floors[rank] : 0;
  return MAX (MAX (1.0 - before - behind, floor), SHARE_MIN);
}

/* Returns the cost in BACKLOG that is served before a new request.  LATE tells
   whether the new request is late.  */
static GmTime
backlog_before (const GmTime backlog[SUBQUEUE_COUNT], gboolean late)
{
  return backlog[IN_TIME] + (late ? backlog[LATE] : 0);
}

/* Returns the part of CUSTOMER's backlog that is served before a new request
   of the service NAME.  */
static GmTime
backlog_of_customer (const CustomerQueue *customer, const char *name,
                     gboolean late)
{
  const ServiceQueue *service = find_service (customer, name);
  GmTime own = service != NULL ? backlog_before (service->backlog, late) : 0;
  /* Under fair queueing each other service of the customer gets at most as
     much service as this one while its own backlog is served.  */
  GmTime fair = own * (GmTime)(1 + count_waiting_services (customer, service));
  return MIN (backlog_before (customer->backlog, late), fair);
}

GmTime
dq_estimate_wait (const DqQueue *queue, CfRank rank, const char *customer,
                  const char *service, double slots, gboolean late)
{
  const RankQueue *own = &queue->ranks[rank];
  const CustomerQueue *c = find_customer (own, customer);
  GmTime backlog = c != NULL ? backlog_of_customer (c, service, late) : 0;
  gboolean waits = c != NULL && c->length > 0;
  guint others = own->waiting->len - (waits ? 1 : 0);
  /* Each other customer of the rank gets at most as much service as this one,
     and may be served once before it.  */
  GmTime once = own->length > 0 ? (own->backlog[IN_TIME] + own->backlog[LATE])
                                      / (GmTime)own->length
                                : 0;
  GmTime fair = backlog * (GmTime)(1 + others) + once * (GmTime)others;
  GmTime in_rank = MIN (backlog_before (own->backlog, late), fair);
  return (GmTime)((double)in_rank / (slots * available_share (queue, rank)));
}

GmTime
dq_classify (const DqQueue *queue, DpRequest *request, GmTime now,
             double slots)
{
  GmTime wait = dq_estimate_wait (queue, request->rank, request->customer,
                                  request->service, slots, FALSE);
  request->late
      = request->due != 0 && request->due < now + wait + request->cost;
  return request->late
             ? dq_estimate_wait (queue, request->rank, request->customer,
                                 request->service, slots, TRUE)
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
  guint length = 0;
  for (guint c = 0; c < queue->ranks[rank].waiting->len; c++)
    {
      const ServiceQueue *service = find_service (
          g_ptr_array_index (queue->ranks[rank].waiting, c), name);
      length += service != NULL ? service_length (service) : 0;
    }
  return length;
}

guint
dq_customer_length (const DqQueue *queue, const char *name)
{
  guint length = 0;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    {
      const CustomerQueue *c = find_customer (&queue->ranks[i], name);
      length += c != NULL ? c->length : 0;
    }
  return length;
}
