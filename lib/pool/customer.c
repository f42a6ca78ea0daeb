/* Whose connections a pool opens, and which it closes to make room.  */
#include "core.h"
#include "base/mutant.h"
#include <string.h>

/* A customer without requests for this long is no longer counted as active.
   The smallest customers send about one request a second.  */
#define ACTIVE_FOR (2 * GM_SECOND)
/* A customer without connections and requests for this long is forgotten.  */
#define CUSTOMER_KEPT_FOR (60 * GM_SECOND)
/* Age at which a request has half its weight in the rate of a customer.  Long
   enough for several requests of the smallest customers.  */
#define REQUESTS_HALF_LIFE (20 * GM_SECOND)
#define REQUEST_WEIGHT 1024
#define TURN_HANDSHAKES 5
/* A handshake that takes longer has lost a packet, so it waits outside the
   database and occupies no slot.  The same as PL_OVERDUE_MIN.  */
#define HANDSHAKE_OVERDUE PL_OVERDUE_MIN
/* Refusals after which the time between two attempts grows no more.  */
#define REFUSED_MAX 6

PlCustomer *
pl_customer (PlCore *core, const char *name)
{
  const char *key = name != NULL ? name : "";
  PlCustomer *customer = g_hash_table_lookup (core->customers, key);
  if (customer != NULL)
    return customer;
  customer = g_new0 (PlCustomer, 1);
  customer->name = g_strdup (key);
  g_hash_table_insert (core->customers, customer->name, customer);
  return customer;
}

void
pl_customer_free (PlCustomer *customer)
{
  g_free (customer->name);
  g_free (customer);
}

static guint
connection_count (const PlCustomer *customer)
{
  guint count = 0;
  for (int i = 0; i < CONN_STATE_COUNT; i++)
    count += customer->conns[i];
  return count;
}

static gboolean
is_forgettable (gpointer name, gpointer value, gpointer data)
{
  const PlCustomer *customer = value;
  const GmTime *before = data;
  return *(const char *)name != '\0' && customer->last_used < *before
         && connection_count (customer) == 0 && customer->transactions == 0;
}

void
pl_forget_customers (PlCore *core, GmTime now)
{
  GmTime before = now - MAX (CUSTOMER_KEPT_FOR, core->transaction_idle_max);
  g_hash_table_foreach_remove (core->customers, is_forgettable, &before);
}

/* Returns the requests of CUSTOMER with their weights as of NOW.  */
static guint64
weighted_requests (const PlCustomer *customer, GmTime now)
{
  GmTime age = now - customer->requests_at;
  guint64 halved = customer->requests;
  for (; age >= REQUESTS_HALF_LIFE && halved > 0; age -= REQUESTS_HALF_LIFE)
    halved /= 2;
  return halved - halved * (guint64)MAX (age, 0) / (2 * REQUESTS_HALF_LIFE);
}

void
pl_note_customer (PlCore *core, GmTime now, PlRequest *request)
{
  request->base.customer = request->customer;
  PlCustomer *customer = pl_customer (core, request->customer);
  customer->requests = weighted_requests (customer, now) + REQUEST_WEIGHT;
  customer->requests_at = now;
  customer->last_used = now;
  if (request->begins != DP_NO_BEGIN)
    customer->last_began = now;
}

gboolean
pl_fits_any_conn (const PlRequest *request)
{
  return request->operation == PL_PROVE_LEADER && request->text == NULL
         && request->prepared == NULL;
}

gboolean
pl_fits_conn (const PlConn *conn, const PlRequest *request)
{
  const char *name = request->customer != NULL ? request->customer : "";
  return strcmp (conn->customer->name, name) == 0 || pl_fits_any_conn (request)
         || GM_MUTANT (ANY_CUSTOMER);
}

gboolean
pl_has_idle_conn (const PlCore *core, const PlRequest *request)
{
  const char *name = request->customer != NULL ? request->customer : "";
  if (core->idle_conns->len == 0 || pl_fits_any_conn (request)
      || GM_MUTANT (ANY_CUSTOMER))
    return core->idle_conns->len > 0;
  const PlCustomer *customer = g_hash_table_lookup (core->customers, name);
  return customer != NULL && customer->conns[CONN_IDLE] > 0;
}

static gboolean
is_overdue (const PlConn *conn, GmTime now)
{
  return now >= conn->opened_at + HANDSHAKE_OVERDUE;
}

/* Handshakes that occupy slots of the database.  */
static guint
count_handshakes (const PlCore *core, GmTime now)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;
  if (core->opening_count == 0)
    return 0;
  g_hash_table_iter_init (&iter, core->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlConn *conn = value;
      count += conn->state == CONN_OPENING && !is_overdue (conn, now) ? 1 : 0;
    }
  return count;
}

guint
pl_in_flight (const PlCore *core, GmTime now)
{
  guint statements = core->running->len - core->overdue_count;
  return statements + (core->by_customer ? count_handshakes (core, now) : 0);
}

static gboolean
has_room (const PlCore *core, GmTime now)
{
  guint max = core->connections_max;
  if (now < core->connected_max_until)
    max = MIN (max, core->connected_max);
  return g_hash_table_size (core->conns) < max;
}

static guint
count_up (const PlCore *core)
{
  return g_hash_table_size (core->conns) - core->opening_count;
}

static AlUse
use_of (const PlCore *core, GmTime now, const PlCustomer *customer)
{
  const char *name = *customer->name != '\0' ? customer->name : NULL;
  return (AlUse){ .connections = connection_count (customer),
                  .idle = customer->conns[CONN_IDLE],
                  .waiting = dq_customer_length (core->queue, name),
                  .transactions = customer->transactions + customer->beginning,
                  .is_active = now < customer->last_used + ACTIVE_FOR };
}

/* Whether CUSTOMER has begun a transaction recently.  One that another
   customer has borrowed may be open for the idle limit.  */
static gboolean
is_beginner (const PlCore *core, GmTime now, const PlCustomer *customer)
{
  GmTime since = now - MAX (ACTIVE_FOR, core->transaction_idle_max);
  return customer->transactions > 0
         || (customer->last_began != 0 && customer->last_began > since);
}

static void
add_promises (PlCore *core, GmTime now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlCustomer *customer = value;
      AlUse use
          = { .transactions = customer->transactions + customer->beginning };
      if (is_beginner (core, now, customer))
        core->allotment.promised += al_promise (&core->allotment, &use);
    }
}

/* The time between two handshakes for connections that are needed by turns:
   they may take a fifth of the slots.  */
static GmTime
turn_length (const PlCore *core)
{
  return TURN_HANDSHAKES * core->handshake_mean / (GmTime)core->slots;
}

/* What the customers use together, counted once in a step.  */
static const AlPool *
allotment_of (PlCore *core, GmTime now)
{
  GHashTableIter iter;
  gpointer value;
  AlPool *pool = &core->allotment;
  if (core->allotment_step == core->schedule_step)
    return pool;
  core->allotment_step = core->schedule_step;
  *pool
      = (AlPool){ .connections_max = core->connections_max,
                  .transactions_max = pl_transactions_max (core),
                  .turn_is_due = now >= core->last_turn + turn_length (core) };
  g_hash_table_iter_init (&iter, core->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlCustomer *customer = value;
      pool->active += now < customer->last_used + ACTIVE_FOR ? 1 : 0;
      pool->beginners += is_beginner (core, now, customer) ? 1 : 0;
      pool->transactions += customer->transactions + customer->beginning;
    }
  add_promises (core, now);
  return pool;
}

gboolean
pl_may_begin (PlCore *core, GmTime now, const PlRequest *request)
{
  if (!core->by_customer || core->policy.no_entitlements)
    return pl_can_begin (core);
  const PlCustomer *customer = pl_customer (core, request->base.customer);
  AlUse use = { .transactions = customer->transactions + customer->beginning };
  return al_may_begin (allotment_of (core, now), &use);
}

/* Estimates how many requests a second need the last connection of CUSTOMER:
   those that arrive while its others are in use.  */
static double
need_of (const PlCore *core, GmTime now, const PlCustomer *customer)
{
  double rate = (double)weighted_requests (customer, now) / REQUEST_WEIGHT
                * G_LN2 / ((double)REQUESTS_HALF_LIFE / GM_SECOND);
  double in_use = rate
                  * (double)(core->service_time_mean + core->round_trip_min)
                  / GM_SECOND;
  double need = rate;
  for (guint i = 1; i < connection_count (customer); i++)
    need *= in_use / i;
  return need;
}

/* Returns how little CONN, which yields as YIELDS says, is needed; lower
   values are closed first.  */
static double
rank_of (const PlCore *core, GmTime now, const PlConn *conn, AlYield yields,
         guint position)
{
  if (core->policy.no_entitlements)
    return position; /* the least recently used */
  if (yields == AL_IN_TURN)
    return (double)(conn->opened_at - now);
  return need_of (core, now, conn->customer);
}

static PlVictim
find_victim (PlCore *core, GmTime now, const AlUse *asker)
{
  const AlPool *pool = allotment_of (core, now);
  PlVictim best = { .step = core->schedule_step };
  double best_rank = 0;
  /* The last connection that is up shows whether the database answers.  */
  if (count_up (core) < 2)
    return best;
  for (guint i = 0; i < core->idle_conns->len; i++)
    {
      PlConn *conn = g_ptr_array_index (core->idle_conns, i);
      AlUse owner = use_of (core, now, conn->customer);
      AlYield yields = core->policy.no_entitlements
                           ? AL_SPARE
                           : al_yields (pool, &owner, asker);
      if (yields == AL_NEVER || yields < best.yields)
        continue;
      double rank = rank_of (core, now, conn, yields, i);
      if (yields == best.yields && rank >= best_rank)
        continue;
      best.conn = conn;
      best.yields = yields;
      best_rank = rank;
    }
  return best;
}

/* Returns the idle connection to close in order to make room for one of
   ASKER: of the owners that yield first, that of the one with the least
   need.  */
static PlVictim
least_needed (PlCore *core, GmTime now, const PlCustomer *asker)
{
  AlUse use = { .connections = connection_count (asker) };
  if (use.connections >= PL_VICTIMS)
    return find_victim (core, now, &use);
  PlVictim *victim = &core->victims[use.connections];
  if (victim->step != core->schedule_step)
    *victim = find_victim (core, now, &use);
  return *victim;
}

static void
close_idle (PlCore *core, PlConn *conn)
{
  pl_push_action (core, PL_CLOSE, conn->id, NULL);
  pl_conn_drop (core, conn);
}

void
pl_close_surplus (PlCore *core, GmTime now)
{
  AlUse nobody = { 0 };
  PlVictim victim;
  core->schedule_step++;
  while (core->by_customer
         && g_hash_table_size (core->conns) > core->connections_max
         && (victim = find_victim (core, now, &nobody)).conn != NULL)
    close_idle (core, victim.conn);
}

/* Returns how many connections of CUSTOMER become idle when the statement that
   runs on them ends.  */
static guint
count_returning (const PlCustomer *customer)
{
  guint busy = customer->conns[CONN_BUSY] + customer->conns[CONN_PINNED];
  guint kept = customer->transactions + customer->beginning;
  return busy > kept ? busy - kept : 0;
}

/* Whether REQUEST, one of WAITING of CUSTOMER, runs sooner on a connection
   that is in use than on a new one.  */
static gboolean
should_wait (const PlCore *core, GmTime now, const PlCustomer *customer,
             const PlRequest *request, guint waiting)
{
  guint returning = count_returning (customer);
  GmTime each = request->base.cost + core->round_trip_min;
  return returning > 0
         && (GmTime)waiting * each / (GmTime)returning <= core->handshake_mean
         && now <= request->base.arrived + core->handshake_mean;
}

/* Finds out once in a step whether CUSTOMER may have another connection.  */
static void
update_customer (PlCore *core, GmTime now, PlCustomer *customer)
{
  const char *name = *customer->name != '\0' ? customer->name : NULL;
  if (customer->step == core->schedule_step)
    return;
  customer->step = core->schedule_step;
  customer->waiting = dq_customer_length (core->queue, name);
  customer->can_open = now >= core->connect_after
                       && now >= customer->connect_after
                       && customer->waiting > customer->conns[CONN_OPENING]
                       && count_handshakes (core, now) < PL_CONNECTING_MAX
                       && (has_room (core, now)
                           || least_needed (core, now, customer).conn != NULL);
}

/* Whether a connection is to be opened for REQUEST, which has none to run
   on.  */
static gboolean
should_open (PlCore *core, GmTime now, const PlRequest *request)
{
  PlCustomer *customer = pl_customer (core, request->base.customer);
  if (pl_fits_any_conn (request))
    return FALSE; /* the pool keeps one in any case */
  update_customer (core, now, customer);
  return customer->can_open
         && !should_wait (core, now, customer, request,
                          customer->waiting - customer->conns[CONN_OPENING]);
}

typedef struct
{
  PlCore *core;
  GmTime now;
  DqFilter can_run;
} Search;

/* Whether REQUEST can run now or once a connection is opened for it.  */
static gboolean
can_progress (DpRequest *base, gpointer data)
{
  const Search *search = data;
  const PlRequest *request = (PlRequest *)base;
  return search->can_run (base, search->core)
         && (pl_has_idle_conn (search->core, request)
             || should_open (search->core, search->now, request));
}

gboolean
pl_open_for_next (PlCore *core, GmTime now, DqFilter can_run)
{
  Search search = { core, now, can_run };
  if (!core->by_customer || !core->holds_queue)
    return FALSE;
  const PlRequest *next
      = (PlRequest *)dq_peek (core->queue, can_progress, &search);
  if (next == NULL || pl_has_idle_conn (core, next))
    return FALSE;
  PlCustomer *customer = pl_customer (core, next->base.customer);
  if (!has_room (core, now))
    {
      PlVictim victim = least_needed (core, now, customer);
      if (victim.conn == NULL)
        return FALSE;
      close_idle (core, victim.conn);
      core->made_room_count++;
      if (victim.yields == AL_IN_TURN)
        core->last_turn = now;
    }
  pl_conn_open (core, now, customer);
  return TRUE;
}

GmTime
pl_connection_wait (PlCore *core, const PlRequest *request)
{
  if (!core->by_customer || pl_has_idle_conn (core, request))
    return 0;
  const PlCustomer *customer = pl_customer (core, request->base.customer);
  GmTime each = request->base.cost + core->round_trip_min;
  return count_returning (customer) > 0 ? MIN (each, core->handshake_mean)
                                        : core->handshake_mean;
}

void
pl_note_refused (PlCore *core, GmTime now, PlCustomer *customer)
{
  if (!core->by_customer || count_up (core) == 0)
    {
      core->connect_after = now + core->connect_backoff;
      core->connect_backoff
          = MIN (2 * core->connect_backoff, PL_CONNECT_RETRY_MAX);
      return;
    }
  /* Other connections are up, so the database has as many as it accepts, or
     refuses this customer.  Other customers must not wait.  The first refusal
     is tried again at once, in the place of an idle connection.  */
  core->connected_max = g_hash_table_size (core->conns);
  core->connected_max_until = now + PL_CONNECT_RETRY;
  customer->refused = MIN (customer->refused + 1, REFUSED_MAX);
  if (customer->refused > 1)
    customer->connect_after
        = now
          + MIN (PL_CONNECT_RETRY << (customer->refused - 2),
                 PL_CONNECT_RETRY_MAX);
}
