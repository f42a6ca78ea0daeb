#include "core.h"
#include "base/mutant.h"
#include <string.h>

/* Share of the time to its deadline that a request may be estimated to wait;
   the rest allows for the variance of service times.  */
#define ADMISSION_WAIT_SHARE 0.5
#define POOL_CONNECTIONS_MIN 2
/* A handshake holds a slot for 12 ms; the rest is its trip.  */
#define INITIAL_HANDSHAKE_TIME (14 * GM_MS)

static void
conn_free (PlConn *conn)
{
  g_hash_table_unref (conn->session_values);
  g_hash_table_unref (conn->prepared);
  g_free (conn);
}

PlCore *
pl_new (const DpPolicy *policy, guint64 *transactions)
{
  PlCore *core = g_new0 (PlCore, 1);
  core->transaction_counter = transactions;
  core->policy = *policy;
  core->holds_queue = TRUE;
  core->slots = 1;
  core->shares = 1;
  core->service_time_mean = PL_INITIAL_SERVICE_TIME;
  core->queue = dq_new (policy->order);
  core->conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)conn_free);
  core->customers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                           (GDestroyNotify)pl_customer_free);
  core->handshake_mean = INITIAL_HANDSHAKE_TIME;
  core->idle_conns = g_ptr_array_new ();
  core->transactions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->running = g_ptr_array_new ();
  core->service_costs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->connect_backoff = PL_CONNECT_RETRY;
  core->witnesses = pl_witnesses_new ();
  g_queue_init (&core->actions);
  return core;
}

void
pl_action_clear (PlAction *action)
{
  g_clear_pointer (&action->customer, g_free);
  g_clear_pointer (&action->values_to_set, g_ptr_array_unref);
  g_clear_pointer (&action->prepare, g_free);
  g_clear_pointer (&action->witness, g_free);
}

void
pl_free (PlCore *core)
{
  PlAction action;
  DpRequest *queued;
  while (pl_take_action (core, &action))
    {
      if (action.type == PL_ANSWER)
        pl_request_free (action.request);
      pl_action_clear (&action);
    }
  while ((queued = dq_take_any (core->queue)) != NULL)
    pl_request_free ((PlRequest *)queued);
  dq_free (core->queue);
  for (guint i = 0; i < core->running->len; i++)
    pl_request_free (g_ptr_array_index (core->running, i));
  g_ptr_array_unref (core->running);
  g_ptr_array_unref (core->idle_conns);
  g_hash_table_unref (core->conns);
  g_hash_table_unref (core->transactions);
  g_hash_table_unref (core->customers);
  g_hash_table_unref (core->service_costs);
  g_ptr_array_unref (core->witnesses);
  g_free (core);
}

PlAction *
pl_push_action (PlCore *core, PlActionType type, guint64 conn,
                PlRequest *request)
{
  PlAction *action = g_new0 (PlAction, 1);
  action->type = type;
  action->connection = conn;
  action->request = request;
  g_queue_push_tail (&core->actions, action);
  return action;
}

gboolean
pl_take_action (PlCore *core, PlAction *action)
{
  PlAction *first = g_queue_pop_head (&core->actions);
  if (first == NULL)
    return FALSE;
  *action = *first;
  g_free (first);
  return TRUE;
}

void
pl_set_floors (PlCore *core, const double floors[CF_RANK_COUNT])
{
  dq_set_floors (core->queue, floors);
}

guint64
pl_share_size (guint64 whole, guint share, guint shares)
{
  return MAX ((whole + shares - 1 - share) / shares, 1);
}

void
pl_set_by_customer (PlCore *core, guint shares)
{
  core->by_customer = TRUE;
  core->shares = MAX (shares, 1);
}

void
pl_set_limits (PlCore *core, GmTime now, guint slots, guint connections,
               GmTime idle)
{
  core->slots = MAX (slots, 1);
  if (core->last_heard == 0)
    core->last_heard = now;
  core->connections_max = MAX (connections * core->shares / (core->shares + 1),
                               POOL_CONNECTIONS_MIN);
  core->transaction_idle_max = idle;
  pl_open_connections (core, now);
}

gboolean
pl_needs_leader_proof (const PlRequest *request)
{
  return request->operation == PL_PROVE_LEADER
         || (request->operation == PL_READ
             && request->after_position.position == 0
             && !GM_MUTANT (LEAD_UNPROVED));
}

void
pl_run (PlCore *core, GmTime now, PlConn *conn, PlRequest *request)
{
  pl_conn_set_state (conn, CONN_BUSY);
  conn->request = request;
  if (!pl_fits_any_conn (request))
    conn->customer->last_used = now;
  if (request->begins != DP_NO_BEGIN && conn->transaction == NULL)
    conn->customer->beginning++;
  request->base.connection = conn;
  request->base.started = now;
  request->answered_before = core->answered_count;
  request->overdue = FALSE;
  request->known_state = pl_settled_state (core, now);
  g_ptr_array_add (core->running, request);
  if (core->unanswered_since == 0)
    core->unanswered_since = now;
  PlAction *action = pl_push_action (core, PL_RUN, conn->id, request);
  pl_sync_conn_state (conn, request, action);
  action->begin = conn->transaction == NULL ? request->begins : DP_NO_BEGIN;
  action->roll_back = request->operation == PL_PROVE_LEADER
                      || request->operation == PL_ROLLBACK;
  if (pl_needs_leader_proof (request))
    {
      action->begin = DP_BEGIN_WRITE;
      action->roll_back = TRUE;
    }
  request->confirmed_at = 0;
  if (pl_needs_confirmation (core, request))
    request->confirmed_at = pl_confirmed_at (core, &action->min_term);
}

static gboolean
can_run (DpRequest *base, gpointer data)
{
  PlCore *core = data;
  const PlRequest *request = (PlRequest *)base;
  return (request->begins == DP_NO_BEGIN
          || pl_may_begin (core, core->schedule_time, request))
         && pl_is_confirmed (core, request);
}

static gboolean
can_run_now (DpRequest *base, gpointer data)
{
  return pl_has_idle_conn (data, (PlRequest *)base) && can_run (base, data);
}

static void
refuse_request (PlCore *core, PlRequest *request, GmTime wait)
{
  request->retry_ms = (guint64)MAX (wait / GM_MS, 1);
  pl_answer (core, request, GM_DEADLINE,
             "not run: the queue is too long for the deadline");
}

/* Gives REQUEST back: another copy may answer it in time, after WAIT here it
   would be late.  */
static void
give_back (PlCore *core, PlRequest *request, GmTime wait)
{
  request->retry_ms = (guint64)MAX (wait / GM_MS, 1);
  pl_answer (core, request, GM_QUEUE_FULL,
             "not run: the queue is too long to answer in time");
}

static gboolean
is_movable (DpRequest *base, gpointer data)
{
  (void)data;
  return ((const PlRequest *)base)->movable;
}

static void
give_back_late_requests (PlCore *core, GmTime now)
{
  DpRequest *late;
  while ((late = dq_take_turned_late (core->queue, now + core->round_trip_min,
                                      is_movable, NULL))
         != NULL)
    give_back (core, (PlRequest *)late, late->cost);
}

static void
refuse_late_requests (PlCore *core, GmTime now, gboolean all)
{
  DpRequest *late;
  while (
      (late = dq_take_expired (core->queue, now + core->round_trip_min, all))
      != NULL)
    refuse_request (core, (PlRequest *)late, late->cost);
}

void
pl_schedule (PlCore *core, GmTime now)
{
  refuse_late_requests (core, now, FALSE);
  give_back_late_requests (core, now);
  core->schedule_time = now;
  while (pl_in_flight (core, now) < pl_in_flight_max (core))
    {
      core->schedule_step++;
      if (pl_open_for_next (core, now, can_run))
        continue;
      if (core->idle_conns->len == 0)
        return;
      DpRequest *next = dq_take (core->queue, can_run_now, core);
      if (next == NULL)
        return;
      PlRequest *request = (PlRequest *)next;
      pl_run (core, now, pl_take_conn (core, request), request);
    }
}

GmTime
pl_wait (const PlCore *core, CfRank rank, const char *customer,
         const char *service)
{
  return dq_estimate_wait (core->queue, rank, customer, service, core->slots,
                           FALSE);
}

/* Admission control: when REQUEST is not expected to meet its deadline,
   refuses REQUEST, or one of less worth in its place.  Returns whether REQUEST
   may be queued.  */
static gboolean
admit (PlCore *core, GmTime now, PlRequest *request)
{
  DpRequest *base = &request->base;
  GmTime wait = dq_classify (core->queue, base, now + core->round_trip_min,
                             core->slots);
  GmTime left = base->deadline - now - base->cost - core->round_trip_min
                - pl_connection_wait (core, request);
  if (request->movable && base->late)
    {
      give_back (core, request, wait);
      return FALSE;
    }
  if (!core->policy.admission
      || (double)wait <= ADMISSION_WAIT_SHARE * (double)left)
    return TRUE;
  DpRequest *least = dq_least_worth (core->queue, base);
  if (least == NULL || left < 0)
    {
      refuse_request (core, request, wait);
      return FALSE;
    }
  dq_remove (core->queue, least);
  refuse_request (core, (PlRequest *)least, wait);
  return TRUE;
}

static gboolean
leader_proof_is_recent (const PlCore *core, GmTime now)
{
  return core->has_leader_proof
         && now < core->leader_proof_time + PL_LEADER_PROOF_AGE_MAX;
}

static const char unconfirmed_message[]
    = "not run: no other copy confirms that the database leads";

void
pl_submit (PlCore *core, GmTime now, PlRequest *request)
{
  request->base.arrived = now;
  request->base.cost = pl_cost (core, request->base.service);
  if (request->prepared != NULL && request->prepared_name == NULL)
    request->prepared_name = pl_prepared_name (request->prepared);
  if (request->customer != NULL)
    core->by_customer = TRUE;
  if (!pl_fits_any_conn (request))
    pl_note_customer (core, now, request);
  if (request->transaction != 0)
    pl_submit_in_transaction (core, now, request);
  else if (!core->holds_queue)
    pl_answer (core, request, GM_DRAINING,
               "not run: this host does not hold the database's queue");
  else if (pl_is_silent (core, now) && !pl_may_probe (core, now, request))
    pl_answer (core, request, GM_UNAVAILABLE,
               "not run: the database does not answer");
  else if (request->operation == PL_PROVE_LEADER
           && leader_proof_is_recent (core, now))
    pl_answer (core, request, GM_OK, "");
  else if (pl_needs_confirmation (core, request) && !pl_can_confirm (core))
    {
      pl_answer (core, request, GM_UNAVAILABLE, unconfirmed_message);
      pl_ask_witnesses (core, now);
    }
  else if (admit (core, now, request))
    {
      if (core->by_customer && !pl_has_idle_conn (core, request))
        core->awaited_count++;
      dq_push (core->queue, &request->base);
      if (pl_needs_confirmation (core, request))
        {
          core->confirmation_wanted_at = now;
          pl_ask_witnesses (core, now);
        }
      pl_schedule (core, now);
    }
}

static gboolean
is_same (DpRequest *base, gpointer data)
{
  const PlRequest *request = (PlRequest *)base;
  const PlRequest *wanted = data;
  return request->owner == wanted->owner
         && request->sequence == wanted->sequence;
}

PlRequest *
pl_withdraw (PlCore *core, gpointer owner, guint64 sequence)
{
  PlRequest wanted = { .owner = owner, .sequence = sequence };
  DpRequest *found = dq_find (core->queue, is_same, &wanted);
  if (found == NULL || sequence == 0)
    return NULL;
  dq_remove (core->queue, found);
  return (PlRequest *)found;
}

static gboolean
is_unconfirmed (DpRequest *base, gpointer data)
{
  return !pl_is_confirmed (data, (PlRequest *)base);
}

/* While too few witnesses answer, refuses the queued requests that need
   them.  */
static void
refuse_unconfirmed (PlCore *core, GmTime now)
{
  DpRequest *queued;
  pl_expire_witnesses (core, now);
  if (pl_can_confirm (core))
    return;
  while ((queued = dq_withdraw (core->queue, is_unconfirmed, core)) != NULL)
    pl_answer (core, (PlRequest *)queued, GM_UNAVAILABLE, unconfirmed_message);
}

void
pl_tick (PlCore *core, GmTime now)
{
  pl_settled_state (core, now);
  pl_expire_handshakes (core, now);
  pl_expire_running (core, now);
  pl_handle_overdue (core, now);
  pl_refuse_if_silent (core, now);
  pl_fail_if_replaced (core, now);
  refuse_unconfirmed (core, now);
  pl_expire_transactions (core, now);
  pl_forget_customers (core, now);
  pl_close_surplus (core, now);
  refuse_late_requests (core, now, TRUE);
  pl_open_connections (core, now);
  pl_schedule (core, now);
}

void
pl_set_queue_holder (PlCore *core, GmTime now, gboolean owned)
{
  if (core->holds_queue == owned)
    return;
  core->holds_queue = owned;
  pl_note_activity (core, now);
  DpRequest *queued;
  while (!owned && (queued = dq_take_any (core->queue)) != NULL)
    pl_answer (core, (PlRequest *)queued, GM_DRAINING,
               "not run: this host does not hold the database's queue");
  while (!owned && core->idle_conns->len > 0)
    pl_conn_close (core, now, g_ptr_array_index (core->idle_conns, 0));
  pl_open_connections (core, now);
}

void
pl_drop_connections (PlCore *core, GmTime now)
{
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  pl_set_queue_holder (core, now, FALSE);
  pl_set_witnesses (core, now, none, core->witnesses_needed, FALSE);
  g_autoptr (GList) conns = g_hash_table_get_values (core->conns);
  for (GList *l = conns; l != NULL; l = l->next)
    pl_fail_conn (core, now, l->data);
}

void
pl_counts (const PlCore *core, PlCounts *counts)
{
  counts->queued = dq_length (core->queue);
  counts->running = core->running->len;
  counts->transactions = g_hash_table_size (core->transactions);
  counts->connections = g_hash_table_size (core->conns);
  counts->opened = core->opened_count;
  counts->made_room = core->made_room_count;
  counts->awaited = core->awaited_count;
}
