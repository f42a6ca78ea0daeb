#include "core.h"
#include "base/mutant.h"
#include <string.h>

#define INITIAL_COST (5 * GM_MS)
#define COST_MEAN_DIVISOR 8 /* a new value has a weight of one eighth */
/* Retries earned per submitted request, and saved up at most.  */
#define RETRY_BUDGET_PER_REQUEST 0.1
#define RETRY_BUDGET_MAX 20.0
/* Share of the time until its deadline that an admitted request may be
   expected to wait.  The rest allows for the variance of service times.  */
#define ADMISSION_WAIT_SHARE 0.5
#define QUEUE_FULL_RETRY_MS 1000
/* Time for which a read waits for a replica with a free slot before it may use
   the primary.  */
#define SPILL_DELAY_MAX (60 * GM_MS)
/* Time for which a read waits for a replica to catch up.  */
#define CATCH_UP_WAIT_MAX (100 * GM_MS)
#define URGENT_CATCH_UP_WAIT_MAX (20 * GM_MS)

DpCore *
dp_new (const DpPolicy *policy, guint copies)
{
  DpCore *core = g_new0 (DpCore, 1);
  core->policy = *policy;
  core->copies = copies;
  core->owned = TRUE;
  core->databases = g_ptr_array_new ();
  core->conns
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->transactions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->read_queue = dq_new (policy->order);
  core->write_queue = dq_new (policy->order);
  core->running = g_ptr_array_new ();
  core->awaiting_confirmation = g_ptr_array_new ();
  core->unresolved = g_ptr_array_new ();
  core->service_costs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->retry_budget = RETRY_BUDGET_MAX;
  g_queue_init (&core->actions);
  return core;
}

static void
free_database (DpDatabase *database)
{
  g_ptr_array_unref (database->idle_conns);
  g_free (database);
}

static void
free_queue (DqQueue *queue)
{
  DpRequest *request;
  while ((request = dq_take_any (queue)) != NULL)
    dp_request_free (request);
  dq_free (queue);
}

void
dp_free (DpCore *core)
{
  DpAction action;
  while (dp_take_action (core, &action))
    if (action.type == DP_ANSWER)
      dp_request_free (action.request);
  free_queue (core->read_queue);
  free_queue (core->write_queue);
  GPtrArray *lists[]
      = { core->running, core->awaiting_confirmation, core->unresolved };
  for (gsize i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      g_ptr_array_foreach (lists[i], (GFunc)(void (*) (void))dp_request_free,
                           NULL);
      g_ptr_array_unref (lists[i]);
    }
  for (guint i = 0; i < core->databases->len; i++)
    free_database (g_ptr_array_index (core->databases, i));
  g_ptr_array_unref (core->databases);
  g_hash_table_unref (core->conns);
  g_hash_table_unref (core->transactions);
  g_hash_table_unref (core->service_costs);
  g_free (core);
}

void
dp_set_floors (DpCore *core, const double floors[CF_RANK_COUNT])
{
  dq_set_floors (core->read_queue, floors);
  dq_set_floors (core->write_queue, floors);
}

void
dp_set_copies (DpCore *core, guint copies)
{
  core->copies = copies;
}

void
dp_push_action (DpCore *core, DpActionType type, const DpDatabase *database,
                guint64 conn, DpRequest *request)
{
  DpAction *action = g_new0 (DpAction, 1);
  action->type = type;
  action->connection = conn;
  action->request = request;
  if (database != NULL)
    g_strlcpy (action->database, database->id, sizeof action->database);
  g_queue_push_tail (&core->actions, action);
}

gboolean
dp_take_action (DpCore *core, DpAction *action)
{
  DpAction *first = g_queue_pop_head (&core->actions);
  if (first == NULL)
    return FALSE;
  *action = *first;
  g_free (first);
  return TRUE;
}

void
dp_answer (DpCore *core, DpRequest *request, GmKind kind, const char *message)
{
  g_assert (request->service_queue == NULL);
  request->kind = kind;
  g_strlcpy (request->message, message, sizeof request->message);
  dp_push_action (core, DP_ANSWER, NULL, 0, request);
}

void
dp_refuse (DpCore *core, DpRequest *request, GmKind kind, const char *message)
{
  if (!request->maybe_ran || GM_MUTANT (GUESS_NOT_RUN))
    dp_answer (core, request, kind, message);
  else if (request->resolving_outcome)
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the write was sent; its outcome could not be determined yet");
  else
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the request was sent, its connection was lost, and it was "
               "not sent again in time");
}

static DqQueue *
queue_of (const DpCore *core, const DpRequest *request)
{
  return request->operation == DP_READ && request->max_age != 0
             ? core->read_queue
             : core->write_queue;
}

static GmTime
cost_of (const DpCore *core, const DpRequest *request)
{
  const GmTime *cost = g_hash_table_lookup (
      core->service_costs, request->service != NULL ? request->service : "");
  return cost != NULL ? *cost : INITIAL_COST;
}

void
dp_update_cost (DpCore *core, const DpRequest *request, GmTime took)
{
  const char *service = request->service != NULL ? request->service : "";
  GmTime *cost = g_hash_table_lookup (core->service_costs, service);
  if (cost == NULL)
    {
      cost = g_new (GmTime, 1);
      *cost = INITIAL_COST;
      g_hash_table_insert (core->service_costs, g_strdup (service), cost);
    }
  *cost = MAX (*cost + (took - *cost) / COST_MEAN_DIVISOR, 1);
}

static gboolean
accepts_requests (const DpDatabase *database)
{
  return database->reachable && !database->removed
         && (!database->leaving || GM_MUTANT (LEAVING_SERVES));
}

static gboolean
has_capacity (const DpCore *core, const DpDatabase *database)
{
  return accepts_requests (database) && database->idle_conns->len > 0
         && database->in_flight < dp_in_flight_max (core, database);
}

/* Returns the number of slots that serve REQUEST's queue.  */
static double
queue_slots (const DpCore *core, const DpRequest *request)
{
  const DpDatabase *primary = dp_primary (core);
  double slots = 0;
  if (queue_of (core, request) == core->write_queue)
    return primary != NULL ? primary->slots : 1;
  for (guint i = 0; i < core->databases->len; i++)
    {
      const DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (d != primary && accepts_requests (d))
        slots += d->slots;
    }
  if (slots == 0 && primary != NULL)
    slots = primary->slots;
  return MAX (slots, 1);
}

static GmTime
primary_round_trip (const DpCore *core)
{
  const DpDatabase *primary = dp_primary (core);
  return primary != NULL ? primary->round_trip : 0;
}

static void
refuse_for_load (DpCore *core, DpRequest *request, GmTime wait)
{
  request->retry_ms = (guint64)MAX (wait / GM_MS, 1);
  dp_refuse (core, request, GM_DEADLINE,
             "not run: the queue is too long for the deadline");
}

/* The limits are per service and per rank, so that a flood of one service or
   rank leaves room for the others.  */
static gboolean
is_queue_full (const DqQueue *queue, const DpRequest *request)
{
  const char *service = request->service != NULL ? request->service : "";
  return dq_service_length (queue, request->rank, service)
             >= DP_SERVICE_QUEUE_MAX
         || dq_rank_length (queue, request->rank) >= DP_RANK_QUEUE_MAX;
}

/* Admission control.  Returns FALSE after refusing REQUEST, when its queue is
   full or its deadline can't be met.  In the latter case a waiting request
   that is worth less is refused instead, if there is one.  */
static gboolean
admit (DpCore *core, GmTime now, DpRequest *request)
{
  DqQueue *queue = queue_of (core, request);
  if (!core->policy.admission)
    return TRUE;
  if (is_queue_full (queue, request))
    {
      request->retry_ms = QUEUE_FULL_RETRY_MS;
      dp_answer (core, request, GM_QUEUE_FULL, "not run: the queue is full");
      return FALSE;
    }
  GmTime wait = dq_classify (queue, request, now + primary_round_trip (core),
                             queue_slots (core, request));
  GmTime left
      = request->deadline - now - request->cost - primary_round_trip (core);
  if ((double)wait <= ADMISSION_WAIT_SHARE * (double)left)
    return TRUE;
  DpRequest *least = dq_least_worth (queue, request);
  if (least == NULL || left < 0)
    {
      refuse_for_load (core, request, wait);
      return FALSE;
    }
  dq_remove (queue, least);
  refuse_for_load (core, least, wait);
  return TRUE;
}

/* Sets the position that a read must include.  It comes from the session
   token, or else is the newest acknowledged point.  A dispatcher that has just
   taken over the group doesn't know the latter and reads at the primary.  A
   service that declares a maximum age accepts older data.  */
static void
set_required (const DpCore *core, DpRequest *request)
{
  if (request->operation != DP_READ || request->session
      || request->max_age > 0)
    return;
  request->required = core->acknowledged;
  if (core->acknowledged.position == 0)
    request->max_age = 0;
}

static void
set_primary_after (const DpCore *core, GmTime now, DpRequest *request)
{
  GmTime left = MAX (request->deadline - now, 0);
  GmTime most = request->rank == CF_URGENT ? URGENT_CATCH_UP_WAIT_MAX
                                           : CATCH_UP_WAIT_MAX;
  GmTime least_lag = G_MAXINT64;
  for (guint i = 0; i < core->databases->len; i++)
    {
      const DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (accepts_requests (d) && strcmp (d->id, core->primary) != 0)
        least_lag = MIN (least_lag, d->mean_lag);
    }
  GmTime wait = MIN (most, left / 4);
  /* Don't wait if no replica is likely to catch up in time.  */
  request->primary_allowed_at = now + (least_lag > 2 * wait ? 0 : wait);
}

static DpTransaction *
find_transaction (const DpCore *core, guint64 id)
{
  return g_hash_table_lookup (core->transactions, &id);
}

static void
submit_in_transaction (DpCore *core, GmTime now, DpRequest *request)
{
  DpTransaction *transaction = find_transaction (core, request->transaction);
  if (transaction == NULL)
    {
      dp_answer (core, request, GM_TRANSACTION_LOST,
                 "the transaction has ended; its statements have no effect");
      return;
    }
  if (transaction->conn->state != CONN_PINNED)
    {
      dp_answer (core, request, GM_CONFLICT,
                 "not run: a statement of this transaction is still running");
      return;
    }
  transaction->last_used = now;
  dp_start_request (core, now, transaction->conn, request);
}

void
dp_submit (DpCore *core, GmTime now, DpRequest *request)
{
  request->arrived = now;
  request->cost = cost_of (core, request);
  request->original_operation = request->operation;
  core->retry_budget
      = MIN (core->retry_budget + RETRY_BUDGET_PER_REQUEST, RETRY_BUDGET_MAX);
  if (request->transaction != 0)
    {
      submit_in_transaction (core, now, request);
      return;
    }
  if (!core->owned)
    {
      dp_answer (core, request, GM_DRAINING,
                 "not run: this host does not dispatch for the group");
      return;
    }
  set_required (core, request);
  set_primary_after (core, now, request);
  if (!admit (core, now, request))
    return;
  dq_push (queue_of (core, request), request);
  dp_schedule (core, now);
}

void
dp_requeue (DpCore *core, GmTime now, DpRequest *request)
{
  request->cost = cost_of (core, request);
  if (!core->owned)
    dp_refuse (core, request, GM_DRAINING,
               "not run: this host does not dispatch for the group");
  else if (now >= request->deadline)
    dp_refuse (core, request, GM_DEADLINE, "not run: the deadline has passed");
  else
    dq_push_front (queue_of (core, request), request);
}

void
dp_start_request (DpCore *core, GmTime now, DpConn *conn, DpRequest *request)
{
  conn->state = CONN_BUSY;
  conn->request = request;
  conn->database->in_flight++;
  request->connection = conn;
  request->started = now;
  request->sent_in_term = core->term;
  request->attempts++;
  request->replica = strcmp (conn->database->id, core->primary) != 0;
  g_strlcpy (request->database, conn->database->id, sizeof request->database);
  g_ptr_array_add (core->running, request);
  dp_push_action (core, DP_RUN, conn->database, conn->id, request);
}

typedef struct
{
  DpCore *core;
  GmTime now;
  DpDatabase *chosen;
  gboolean needs_probe; /* a read waits for a replica to catch up */
} Placement;

static gboolean
is_fresh_enough (const Placement *p, const DpRequest *request,
                 const DpDatabase *d)
{
  if ((!dp_log_matches_primary (p->core, &d->status)
       && !GM_MUTANT (UNALIGNED_READ))
      || !tk_point_reached (request->required, d->status.last_term,
                            d->status.applied))
    return FALSE;
  return request->max_age <= 0 || GM_MUTANT (AGE_UNCHECKED)
         || dp_age_bound (p->core, p->now, d->status.last_term,
                          d->status.applied)
                <= request->max_age;
}

static GmTime
expected_response_time (const DpDatabase *d)
{
  GmTime queued = (GmTime)d->in_flight * d->service_time / (GmTime)d->slots;
  return queued + d->service_time + d->round_trip;
}

/* Whether a read may use a slot of the primary: no replica became fresh enough
   in time, or all replicas are busy while the primary is not.  */
static gboolean
may_use_primary (const Placement *p, const DpRequest *request,
                 guint fresh_replicas)
{
  DpCore *core = p->core;
  const DpDatabase *primary = dp_primary (core);
  if (primary == NULL || !has_capacity (core, primary))
    return FALSE;
  if (fresh_replicas == 0)
    return p->now >= request->primary_allowed_at;
  GmTime spill
      = MIN (SPILL_DELAY_MAX, (request->deadline - request->arrived) / 4);
  return p->now >= request->arrived + spill
         && primary->in_flight + 1 < dp_in_flight_max (core, primary)
         && dq_length (core->write_queue) == 0;
}

static gboolean
choose_read_database (DpRequest *request, gpointer data)
{
  Placement *p = data;
  DpCore *core = p->core;
  guint fresh = 0;
  DpDatabase *best = NULL;
  for (guint i = 0; i < core->databases->len; i++)
    {
      DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (!accepts_requests (d) || strcmp (d->id, core->primary) == 0
          || !is_fresh_enough (p, request, d))
        continue;
      fresh++;
      if (has_capacity (core, d)
          && (best == NULL
              || expected_response_time (d) < expected_response_time (best)))
        best = d;
    }
  if (fresh == 0)
    p->needs_probe = TRUE;
  if (best == NULL && may_use_primary (p, request, fresh))
    best = dp_primary (core);
  p->chosen = best;
  return best != NULL;
}

/* Transactions may hold at most half of the connections, so that single
   statements always find one.  */
static gboolean
may_begin (const DpCore *core, const DpDatabase *primary)
{
  return g_hash_table_size (core->transactions) < primary->connections_max / 2;
}

static gboolean
choose_write_database (DpRequest *request, gpointer data)
{
  Placement *p = data;
  DpDatabase *primary = dp_primary (p->core);
  if (primary == NULL || !has_capacity (p->core, primary))
    return FALSE;
  if (request->operation == DP_BEGIN && !may_begin (p->core, primary))
    return FALSE;
  p->chosen = primary;
  return TRUE;
}

static void
probe_replicas (DpCore *core)
{
  for (guint i = 0; i < core->databases->len; i++)
    {
      DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (d->probe_pending || !d->reachable)
        continue;
      d->probe_pending = TRUE;
      dp_push_action (core, DP_PROBE, d, 0, NULL);
    }
}

static void
serve_queue (DpCore *core, GmTime now, DqQueue *queue, DqFilter place,
             Placement *placement)
{
  DpRequest *request;
  dq_mark_late (queue, now + primary_round_trip (core));
  while ((request = dq_take (queue, place, placement)) != NULL)
    {
      /* The filter may have run for other requests since and overwritten the
         chosen database.  */
      place (request, placement);
      DpDatabase *database = placement->chosen;
      g_assert (database != NULL);
      DpConn *conn = g_ptr_array_index (database->idle_conns,
                                        database->idle_conns->len - 1);
      g_ptr_array_set_size (database->idle_conns,
                            (gint)database->idle_conns->len - 1);
      dp_start_request (core, now, conn, request);
    }
}

static void
refuse_expired (DpCore *core, GmTime now, DqQueue *queue, gboolean all)
{
  DpRequest *request;
  GmTime limit = now;
  /* A request whose answer can't return in time would waste a slot.  */
  if (core->policy.admission)
    limit += primary_round_trip (core);
  while ((request = dq_take_expired (queue, limit, all)) != NULL)
    refuse_for_load (core, request, request->cost);
}

void
dp_schedule (DpCore *core, GmTime now)
{
  Placement placement = { .core = core, .now = now };
  refuse_expired (core, now, core->write_queue, FALSE);
  refuse_expired (core, now, core->read_queue, FALSE);
  serve_queue (core, now, core->write_queue, choose_write_database,
               &placement);
  serve_queue (core, now, core->read_queue, choose_read_database, &placement);
  if (placement.needs_probe || core->awaiting_confirmation->len > 0)
    probe_replicas (core);
}

static void
expire_running (DpCore *core, GmTime now)
{
  for (guint i = core->running->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->running, i);
      if (now < request->deadline + DP_ANSWER_GRACE)
        continue;
      DpConn *conn = request->connection;
      DpTransaction *transaction = conn->transaction;
      dp_conn_close (core, now, conn);
      g_ptr_array_remove_fast (core->running, request);
      dp_answer (core, request, GM_OUTCOME_UNKNOWN,
                 "the database did not answer before the deadline");
      if (transaction != NULL)
        dp_transaction_end (core, now, transaction);
    }
}

static void
expire_list (DpCore *core, GmTime now, GPtrArray *list, const char *message)
{
  for (guint i = list->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (list, i);
      if (now < request->deadline)
        continue;
      g_ptr_array_remove_index_fast (list, i);
      dp_answer (core, request, GM_OUTCOME_UNKNOWN, message);
    }
}

static void
expire_transactions (DpCore *core, GmTime now)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpTransaction *t = value;
      const DpDatabase *database = t->conn->database;
      gboolean left = database->leaving
                      && now >= database->leaving_since + DP_LEAVING_GRACE;
      if (t->conn->state == CONN_PINNED
          && (left || now >= t->last_used + DP_TRANSACTION_IDLE_MAX))
        g_ptr_array_add (ended, t);
    }
  for (guint i = 0; i < ended->len; i++)
    dp_transaction_end (core, now, g_ptr_array_index (ended, i));
}

void
dp_tick (DpCore *core, GmTime now)
{
  expire_running (core, now);
  expire_list (core, now, core->awaiting_confirmation,
               "the write is in the primary's log but no replica has "
               "confirmed it");
  expire_list (core, now, core->unresolved,
               "the connection was lost while the request ran");
  expire_transactions (core, now);
  for (guint i = 0; i < core->databases->len; i++)
    dp_open_connections (core, now, g_ptr_array_index (core->databases, i));
  refuse_expired (core, now, core->write_queue, TRUE);
  refuse_expired (core, now, core->read_queue, TRUE);
  dp_schedule (core, now);
}

void
dp_set_owned (DpCore *core, GmTime now, gboolean owned)
{
  if (core->owned == owned)
    return;
  core->owned = owned;
  /* Another dispatcher may acknowledge writes in the meantime, which makes the
     point outdated.  */
  core->acknowledged = (TkPoint){ 0, 0 };
  DpRequest *request;
  DqQueue *queues[] = { core->write_queue, core->read_queue };
  for (gsize i = 0; !owned && i < G_N_ELEMENTS (queues); i++)
    while ((request = dq_take_any (queues[i])) != NULL)
      dp_refuse (core, request, GM_DRAINING,
                 "not run: this host does not dispatch for the group");
  for (guint i = 0; i < core->databases->len; i++)
    {
      DpDatabase *database = g_ptr_array_index (core->databases, i);
      while (!owned && database->idle_conns->len > 0)
        dp_conn_close (core, now, g_ptr_array_index (database->idle_conns, 0));
      dp_open_connections (core, now, database);
    }
  dp_schedule (core, now);
}

void
dp_exclude_stall (DpCore *core, GmTime span)
{
  if (core->stuck_since != 0)
    core->stuck_since += span;
}

void
dp_counts (const DpCore *core, DpCounts *counts)
{
  counts->queued
      = dq_length (core->read_queue) + dq_length (core->write_queue);
  counts->running = core->running->len;
  counts->confirming = core->awaiting_confirmation->len;
  counts->unresolved = core->unresolved->len;
  counts->transactions = g_hash_table_size (core->transactions);
  counts->connections = g_hash_table_size (core->conns);
}
