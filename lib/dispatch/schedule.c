#include "core.h"
#include "base/mutant.h"
#include <string.h>

#define COST_START (5 * GM_MS)
#define COST_WEIGHT 8    /* a new value counts one eighth */
#define BUDGET_SHARE 0.1 /* retries per request */
#define BUDGET_MAX 20.0
/* Share of the time left that a request may be estimated to wait: the rest
   bears the spread of service times.  */
#define ADMIT_SHARE 0.5
#define QUEUE_FULL_RETRY_MS 1000
#define SPILL_WAIT_MAX (60 * GM_MS)  /* for a replica with a free slot */
#define FRESH_WAIT_MAX (100 * GM_MS) /* for a replica to catch up */
#define URGENT_WAIT_MAX (20 * GM_MS)

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
  core->reads = dq_new (policy->order);
  core->writes = dq_new (policy->order);
  core->running = g_ptr_array_new ();
  core->confirming = g_ptr_array_new ();
  core->unresolved = g_ptr_array_new ();
  core->costs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->retry_budget = BUDGET_MAX;
  g_queue_init (&core->actions);
  return core;
}

static void
free_database (DpDatabase *database)
{
  g_ptr_array_unref (database->idle);
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
  free_queue (core->reads);
  free_queue (core->writes);
  GPtrArray *lists[] = { core->running, core->confirming, core->unresolved };
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
  g_hash_table_unref (core->costs);
  g_free (core);
}

void
dp_set_floors (DpCore *core, const double floors[CF_RANK_COUNT])
{
  dq_set_floors (core->reads, floors);
  dq_set_floors (core->writes, floors);
}

void
dp_set_copies (DpCore *core, guint copies)
{
  core->copies = copies;
}

void
dp_act (DpCore *core, DpActionType type, const DpDatabase *database,
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
  g_assert (request->queue == NULL);
  request->kind = kind;
  g_strlcpy (request->message, message, sizeof request->message);
  dp_act (core, DP_ANSWER, NULL, 0, request);
}

void
dp_refuse (DpCore *core, DpRequest *request, GmKind kind, const char *message)
{
  if (!request->maybe_ran || GM_MUTANT (GUESS_NOT_RUN))
    dp_answer (core, request, kind, message);
  else if (request->resolving)
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the write was sent; its outcome could not be learned yet");
  else
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the request was sent once and lost, and not sent again in "
               "time");
}

static DqQueue *
lane_of (const DpCore *core, const DpRequest *request)
{
  return request->operation == DP_READ && request->max_age != 0 ? core->reads
                                                                : core->writes;
}

static GmTime
cost_of (const DpCore *core, const DpRequest *request)
{
  const GmTime *cost = g_hash_table_lookup (
      core->costs, request->service != NULL ? request->service : "");
  return cost != NULL ? *cost : COST_START;
}

void
dp_learn_cost (DpCore *core, const DpRequest *request, GmTime took)
{
  const char *service = request->service != NULL ? request->service : "";
  GmTime *cost = g_hash_table_lookup (core->costs, service);
  if (cost == NULL)
    {
      cost = g_new (GmTime, 1);
      *cost = COST_START;
      g_hash_table_insert (core->costs, g_strdup (service), cost);
    }
  *cost = MAX (*cost + (took - *cost) / COST_WEIGHT, 1);
}

static gboolean
usable (const DpDatabase *database)
{
  return database->reachable && !database->gone
         && (!database->leaving || GM_MUTANT (LEAVING_SERVES));
}

static gboolean
has_room (const DpCore *core, const DpDatabase *database)
{
  return usable (database) && database->idle->len > 0
         && database->busy < dp_in_flight_max (core, database);
}

/* Slots that serve REQUEST's lane.  */
static double
lane_slots (const DpCore *core, const DpRequest *request)
{
  const DpDatabase *primary = dp_primary (core);
  double slots = 0;
  if (lane_of (core, request) == core->writes)
    return primary != NULL ? primary->slots : 1;
  for (guint i = 0; i < core->databases->len; i++)
    {
      const DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (d != primary && usable (d))
        slots += d->slots;
    }
  if (slots == 0 && primary != NULL)
    slots = primary->slots;
  return MAX (slots, 1);
}

static GmTime
usual_trip (const DpCore *core)
{
  const DpDatabase *primary = dp_primary (core);
  return primary != NULL ? primary->trip : 0;
}

static void
refuse_for_load (DpCore *core, DpRequest *request, GmTime wait)
{
  request->retry_ms = (guint64)MAX (wait / GM_MS, 1);
  dp_refuse (core, request, GM_DEADLINE,
             "not run: the queue is too long for the deadline");
}

/* Bounds by service and rank, so that a flood of one fills no place of the
   others'.  */
static gboolean
is_full (const DqQueue *lane, const DpRequest *request)
{
  const char *service = request->service != NULL ? request->service : "";
  return dq_service_length (lane, request->rank, service)
             >= DP_SERVICE_QUEUE_MAX
         || dq_rank_length (lane, request->rank) >= DP_RANK_QUEUE_MAX;
}

/* Whether REQUEST may wait in its lane: refuses it, or one worth less, when
   the deadline can't be met.  */
static gboolean
admit (DpCore *core, GmTime now, DpRequest *request)
{
  DqQueue *lane = lane_of (core, request);
  if (!core->policy.admission)
    return TRUE;
  if (is_full (lane, request))
    {
      request->retry_ms = QUEUE_FULL_RETRY_MS;
      dp_answer (core, request, GM_QUEUE_FULL, "not run: the queue is full");
      return FALSE;
    }
  GmTime wait = dq_place (lane, request, now + usual_trip (core),
                          lane_slots (core, request));
  GmTime left = request->deadline - now - request->cost - usual_trip (core);
  if ((double)wait <= ADMIT_SHARE * (double)left)
    return TRUE;
  DpRequest *least = dq_least_worth (lane, request->rank, request->worth);
  if (least == NULL || left < 0)
    {
      refuse_for_load (core, request, wait);
      return FALSE;
    }
  dq_remove (lane, least);
  refuse_for_load (core, least, wait);
  return TRUE;
}

/* A token's point is trusted; without one the newest acknowledged point is
   required.  A dispatcher that has just taken the group doesn't know it yet
   and reads at the primary once.  A declared age alone lets older data pass.
 */
static void
set_required (const DpCore *core, DpRequest *request)
{
  if (request->operation != DP_READ || request->session
      || request->max_age > 0)
    return;
  request->required = core->acked;
  if (core->acked.position == 0)
    request->max_age = 0;
}

static void
set_primary_after (const DpCore *core, GmTime now, DpRequest *request)
{
  GmTime left = MAX (request->deadline - now, 0);
  GmTime most = request->rank == CF_URGENT ? URGENT_WAIT_MAX : FRESH_WAIT_MAX;
  GmTime least_lag = G_MAXINT64;
  for (guint i = 0; i < core->databases->len; i++)
    {
      const DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (usable (d) && strcmp (d->id, core->primary) != 0)
        least_lag = MIN (least_lag, d->lag);
    }
  GmTime wait = MIN (most, left / 4);
  /* Waiting for a replica that won't get there in time helps nobody.  */
  request->primary_after = now + (least_lag > 2 * wait ? 0 : wait);
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
  transaction->touched = now;
  dp_run (core, now, transaction->conn, request);
}

void
dp_submit (DpCore *core, GmTime now, DpRequest *request)
{
  request->arrived = now;
  request->cost = cost_of (core, request);
  request->original = request->operation;
  core->retry_budget = MIN (core->retry_budget + BUDGET_SHARE, BUDGET_MAX);
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
  dq_push (lane_of (core, request), request);
  dp_schedule (core, now);
}

void
dp_queue_again (DpCore *core, GmTime now, DpRequest *request)
{
  request->cost = cost_of (core, request);
  if (!core->owned)
    dp_refuse (core, request, GM_DRAINING,
               "not run: this host does not dispatch for the group");
  else if (now >= request->deadline)
    dp_refuse (core, request, GM_DEADLINE, "not run: the deadline has passed");
  else
    dq_push_front (lane_of (core, request), request);
}

void
dp_run (DpCore *core, GmTime now, DpConn *conn, DpRequest *request)
{
  conn->state = CONN_BUSY;
  conn->request = request;
  conn->database->busy++;
  request->connection = conn;
  request->started = now;
  request->run_term = core->term;
  request->attempts++;
  request->replica = strcmp (conn->database->id, core->primary) != 0;
  g_strlcpy (request->database, conn->database->id, sizeof request->database);
  g_ptr_array_add (core->running, request);
  dp_act (core, DP_RUN, conn->database, conn->id, request);
}

typedef struct
{
  DpCore *core;
  GmTime now;
  DpDatabase *chosen;
  gboolean want_probe; /* a read waits for a replica to catch up */
} Placement;

static gboolean
is_fresh_enough (const Placement *p, const DpRequest *request,
                 const DpDatabase *d)
{
  if ((!dp_is_aligned (p->core, &d->status) && !GM_MUTANT (UNALIGNED_READ))
      || !tk_point_reached (request->required, d->status.last_term,
                            d->status.applied))
    return FALSE;
  return request->max_age <= 0 || GM_MUTANT (AGE_UNCHECKED)
         || dp_age_of (p->core, p->now, d->status.last_term, d->status.applied)
                <= request->max_age;
}

static GmTime
expected_end (const DpDatabase *d)
{
  GmTime queued = (GmTime)d->busy * d->service / (GmTime)d->slots;
  return queued + d->service + d->trip;
}

/* Whether a read may take one of the primary's slots: nothing fresh enough
   came up in time, or all replicas are busy while the primary is not.  */
static gboolean
may_use_primary (const Placement *p, const DpRequest *request,
                 guint fresh_replicas)
{
  DpCore *core = p->core;
  const DpDatabase *primary = dp_primary (core);
  if (primary == NULL || !has_room (core, primary))
    return FALSE;
  if (fresh_replicas == 0)
    return p->now >= request->primary_after;
  GmTime spill
      = MIN (SPILL_WAIT_MAX, (request->deadline - request->arrived) / 4);
  return p->now >= request->arrived + spill
         && primary->busy + 1 < dp_in_flight_max (core, primary)
         && dq_length (core->writes) == 0;
}

static gboolean
place_read (DpRequest *request, gpointer data)
{
  Placement *p = data;
  DpCore *core = p->core;
  guint fresh = 0;
  DpDatabase *best = NULL;
  for (guint i = 0; i < core->databases->len; i++)
    {
      DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (!usable (d) || strcmp (d->id, core->primary) == 0
          || !is_fresh_enough (p, request, d))
        continue;
      fresh++;
      if (has_room (core, d)
          && (best == NULL || expected_end (d) < expected_end (best)))
        best = d;
    }
  if (fresh == 0)
    p->want_probe = TRUE;
  if (best == NULL && may_use_primary (p, request, fresh))
    best = dp_primary (core);
  p->chosen = best;
  return best != NULL;
}

/* Half of the budget may be held by transactions, so that single statements
   always find a connection.  */
static gboolean
may_begin (const DpCore *core, const DpDatabase *primary)
{
  return g_hash_table_size (core->transactions) < primary->budget / 2;
}

static gboolean
place_write (DpRequest *request, gpointer data)
{
  Placement *p = data;
  DpDatabase *primary = dp_primary (p->core);
  if (primary == NULL || !has_room (p->core, primary))
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
      if (d->probing || !d->reachable)
        continue;
      d->probing = TRUE;
      dp_act (core, DP_PROBE, d, 0, NULL);
    }
}

static void
serve_lane (DpCore *core, GmTime now, DqQueue *lane, DqFilter place,
            Placement *placement)
{
  DpRequest *request;
  dq_age (lane, now + usual_trip (core));
  while ((request = dq_take (lane, place, placement)) != NULL)
    {
      /* The filter has looked at others since; this sets the choice anew.  */
      place (request, placement);
      DpDatabase *database = placement->chosen;
      g_assert (database != NULL);
      DpConn *conn
          = g_ptr_array_index (database->idle, database->idle->len - 1);
      g_ptr_array_set_size (database->idle, (gint)database->idle->len - 1);
      dp_run (core, now, conn, request);
    }
}

static void
drop_late (DpCore *core, GmTime now, DqQueue *lane, gboolean all)
{
  DpRequest *request;
  GmTime limit = now;
  /* What can't come back in time would only cost a slot.  */
  if (core->policy.admission)
    limit += usual_trip (core);
  while ((request = dq_take_late (lane, limit, all)) != NULL)
    refuse_for_load (core, request, request->cost);
}

void
dp_schedule (DpCore *core, GmTime now)
{
  Placement placement = { .core = core, .now = now };
  drop_late (core, now, core->writes, FALSE);
  drop_late (core, now, core->reads, FALSE);
  serve_lane (core, now, core->writes, place_write, &placement);
  serve_lane (core, now, core->reads, place_read, &placement);
  if (placement.want_probe || core->confirming->len > 0)
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
          && (left || now >= t->touched + DP_TRANSACTION_IDLE))
        g_ptr_array_add (ended, t);
    }
  for (guint i = 0; i < ended->len; i++)
    dp_transaction_end (core, now, g_ptr_array_index (ended, i));
}

void
dp_tick (DpCore *core, GmTime now)
{
  expire_running (core, now);
  expire_list (core, now, core->confirming,
               "the write is in the primary's log but no replica has "
               "confirmed it");
  expire_list (core, now, core->unresolved,
               "the connection was lost while the request ran");
  expire_transactions (core, now);
  for (guint i = 0; i < core->databases->len; i++)
    dp_keep_warm (core, now, g_ptr_array_index (core->databases, i));
  drop_late (core, now, core->writes, TRUE);
  drop_late (core, now, core->reads, TRUE);
  dp_schedule (core, now);
}

void
dp_own (DpCore *core, GmTime now, gboolean owned)
{
  if (core->owned == owned)
    return;
  core->owned = owned;
  /* What another dispatcher acknowledges meanwhile is not known here.  */
  core->acked = (TkPoint){ 0, 0 };
  DpRequest *request;
  DqQueue *lanes[] = { core->writes, core->reads };
  for (gsize i = 0; !owned && i < G_N_ELEMENTS (lanes); i++)
    while ((request = dq_take_any (lanes[i])) != NULL)
      dp_refuse (core, request, GM_DRAINING,
                 "not run: this host does not dispatch for the group");
  for (guint i = 0; i < core->databases->len; i++)
    {
      DpDatabase *database = g_ptr_array_index (core->databases, i);
      while (!owned && database->idle->len > 0)
        dp_conn_close (core, now, g_ptr_array_index (database->idle, 0));
      dp_keep_warm (core, now, database);
    }
  dp_schedule (core, now);
}

void
dp_stalled (DpCore *core, GmTime span)
{
  if (core->stuck_since != 0)
    core->stuck_since += span;
}

void
dp_counts (const DpCore *core, DpCounts *counts)
{
  counts->queued = dq_length (core->reads) + dq_length (core->writes);
  counts->running = core->running->len;
  counts->confirming = core->confirming->len;
  counts->unresolved = core->unresolved->len;
  counts->transactions = g_hash_table_size (core->transactions);
  counts->connections = g_hash_table_size (core->conns);
}
