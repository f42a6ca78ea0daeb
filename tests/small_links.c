#include "small_links.h"
#include "pool/pool.h"
#include "session/session.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define LINK_LATENCY (900) /* microseconds, one way between two hosts */
#define HEADER_BYTES 52    /* of TCP and IP, per message */
#define TICK_INTERVAL (10 * GM_MS)   /* of the pools */
#define HANDSHAKE_TIME (12 * GM_MS)  /* of a database connection */
#define URGENT_TARGET (100 * GM_MS)  /* for urgent statements */
#define URGENT_SLOT_TIME (3 * GM_MS) /* in a slot, on average */
#define ROUTINE_SLOT_TIME (9 * GM_MS)
#define TEXT_BYTES 200 /* of a statement */
#define ROW_BYTES 500  /* of its answer */
#define DATA_CENTRES 3
#define SLOTS_MAX 8

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"urgent\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800, \"target_ms\": 100, \"reads\": \"primary\"},"
      "{\"name\": \"routine\", \"depends_on\": [\"g\"],"
      " \"rank\": \"routine\", \"deadline_ms\": 800, \"target_ms\": 200,"
      " \"reads\": \"session\", \"max_age_ms\": 2500}]}";

typedef struct Simulation Simulation;
typedef struct Call Call;

/* A host, and until when its link is busy in each direction.  */
typedef struct
{
  char *name;
  GmTime out_busy_until;
  GmTime in_busy_until;
  LvCore *peers;
  SrRouter *router;
  GHashTable *pools; /* id of a database -> Pool */
} Host;

typedef struct
{
  Simulation *sim;
  Host *host;
  char *id;
  PlCore *core;
} Pool;

typedef struct
{
  GmTime slot_free_at[SLOTS_MAX];
} Database;

/* A caller's statement in progress.  */
struct Call
{
  Simulation *sim;
  Host *entry;
  SnSession *session;
  SnStep step;
  GmTime sent_at;
  gboolean urgent;
  gboolean writes; /* set for routine statements only */
};

typedef struct
{
  GmTime at;
  guint64 sequence; /* order among events of the same time */
  void (*handler) (Simulation *sim, gpointer data);
  gpointer data;
} Event;

struct Simulation
{
  SlLoad load;
  SlResult result;
  GmTime now;
  GmTime end;
  GRand *rand;
  GSequence *events;
  guint64 event_counter;
  CsState *state;
  GPtrArray *hosts; /* Host * */
  Database databases[DATA_CENTRES];
  guint64 position;
  guint64 transactions;
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const Event *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
schedule_event (Simulation *sim, GmTime when,
                void (*handler) (Simulation *sim, gpointer data),
                gpointer data)
{
  Event *event = g_new (Event, 1);
  *event
      = (Event){ MAX (when, sim->now), ++sim->event_counter, handler, data };
  g_sequence_insert_sorted (sim->events, event, compare_events, NULL);
}

static GmTime
transfer_time (const Simulation *sim, gsize bytes)
{
  return (GmTime)((bytes + HEADER_BYTES) * 8 * GM_SECOND
                  / sim->load.link_rate);
}

static GmTime
send_on_link (const Simulation *sim, Host *host, gsize bytes)
{
  host->out_busy_until
      = MAX (host->out_busy_until, sim->now) + transfer_time (sim, bytes);
  return host->out_busy_until + LINK_LATENCY;
}

static GmTime
receive_on_link (const Simulation *sim, Host *host, GmTime arrives,
                 gsize bytes)
{
  host->in_busy_until
      = MAX (host->in_busy_until, arrives) + transfer_time (sim, bytes);
  return host->in_busy_until;
}

/* Returns when a message of BYTES that FROM sends now has arrived at TO.  */
static GmTime
deliver (const Simulation *sim, Host *from, Host *to, gsize bytes)
{
  return from == to ? sim->now
                    : receive_on_link (sim, to,
                                       send_on_link (sim, from, bytes), bytes);
}

static Host *
find_host (const Simulation *sim, const char *name)
{
  for (guint i = 0; i < sim->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (sim->hosts, i);
      if (strcmp (host->name, name) == 0)
        return host;
    }
  g_assert_not_reached ();
}

static gsize
message_size (const WmMessage *message)
{
  g_autoptr (GBytes) bytes = wm_encode (message);
  return g_bytes_get_size (bytes) + WM_LENGTH_BYTES;
}

static SnContext
session_view (const Simulation *sim, const Host *host)
{
  return (
      SnContext){ sim->now, sim->state, host->router, FALSE, host->name, "" };
}

static void execute_step (Call *call);

/* An answer in transit from a pool to the entry host.  */
typedef struct
{
  Call *call;
  WmMessage message;
} PendingAnswer;

static void
receive_answer (Simulation *sim, gpointer data)
{
  PendingAnswer *pending = data;
  Call *call = pending->call;
  SnContext view = session_view (sim, call->entry);
  sn_step_clear (&call->step);
  sn_result (call->session, &view, &pending->message.statement_done,
             &call->step);
  wm_clear (&pending->message);
  g_free (pending);
  execute_step (call);
}

static void
retry_statement (Simulation *sim, gpointer data)
{
  Call *call = data;
  SnContext view = session_view (sim, call->entry);
  sn_step_clear (&call->step);
  sn_retry (call->session, &view, &call->step);
  execute_step (call);
}

typedef struct
{
  Pool *pool;
  guint64 connection;
  DpOutcome outcome;
} Exchange;

static void run_pool_actions (Pool *pool);

static void
finish_exchange (Simulation *sim, gpointer data)
{
  Exchange *e = data;
  pl_done (e->pool->core, sim->now, e->connection, &e->outcome);
  run_pool_actions (e->pool);
  g_clear_pointer (&e->outcome.rows, g_bytes_unref);
  g_free (e);
}

static void
finish_handshake (Simulation *sim, gpointer data)
{
  Exchange *e = data;
  pl_connected (e->pool->core, sim->now, e->connection);
  run_pool_actions (e->pool);
  g_free (e);
}

static Exchange *
exchange_new (Pool *pool, guint64 connection)
{
  Exchange *e = g_new0 (Exchange, 1);
  e->pool = pool;
  e->connection = connection;
  return e;
}

/* Returns when a statement that arrives at ARRIVES has run in a slot.  */
static GmTime
slot_finish_time (Simulation *sim, Database *database, GmTime arrives,
                  const PlRequest *r)
{
  guint first = 0;
  for (guint i = 1; i < sim->load.slots; i++)
    if (database->slot_free_at[i] < database->slot_free_at[first])
      first = i;
  gboolean urgent = strcmp (r->base.service, "urgent") == 0;
  double mean = urgent ? URGENT_SLOT_TIME : ROUTINE_SLOT_TIME;
  GmTime work = (GmTime)(mean * (0.5 + g_rand_double (sim->rand)));
  database->slot_free_at[first]
      = MAX (database->slot_free_at[first], arrives) + work;
  return database->slot_free_at[first];
}

static void
run_on_database (Pool *pool, const PlAction *action)
{
  static char signature[] = "a database's signature of usual length";
  Simulation *sim = pool->sim;
  const PlRequest *r = action->request;
  guint number = (guint)(pool->id[2] - '0');
  gboolean lacks = number != 0 && sim->load.replicas_lag
                   && r->after_position.position > 0;
  GmTime arrives = send_on_link (sim, pool->host, TEXT_BYTES);
  GmTime ends
      = r->operation == PL_PROVE_LEADER || lacks
            ? arrives
            : slot_finish_time (sim, &sim->databases[number], arrives, r);
  gsize rows = r->operation == PL_PROVE_LEADER || lacks ? 0 : ROW_BYTES;
  Exchange *e = exchange_new (pool, action->connection);
  if (r->operation == PL_WRITE)
    sim->position++;
  e->outcome = (DpOutcome){ .kind = lacks ? GM_LAGGING : GM_OK,
                            .signature = signature,
                            .point = { 1, sim->position },
                            .was_primary = number == 0,
                            .primary_point = { 1, sim->position } };
  if (rows > 0)
    e->outcome.rows = g_bytes_new_take (g_malloc0 (rows), rows);
  schedule_event (sim,
                  receive_on_link (sim, pool->host, ends + LINK_LATENCY, rows),
                  finish_exchange, e);
}

static void
send_answer (Pool *pool, PlRequest *r)
{
  Simulation *sim = pool->sim;
  PendingAnswer *pending = g_new0 (PendingAnswer, 1);
  WmMessage done;
  pl_request_fill_answer (pool->core, r, sim->now, 1, &done);
  wm_copy (&pending->message, &done);
  pending->call = r->owner;
  schedule_event (
      sim,
      deliver (sim, pool->host, pending->call->entry, message_size (&done)),
      receive_answer, pending);
  pl_request_free (r);
}

static void
run_pool_actions (Pool *pool)
{
  Simulation *sim = pool->sim;
  PlAction action;
  while (pl_take_action (pool->core, &action))
    {
      if (action.type == PL_OPEN)
        schedule_event (sim, sim->now + HANDSHAKE_TIME, finish_handshake,
                        exchange_new (pool, action.connection));
      else if (action.type == PL_RUN)
        run_on_database (pool, &action);
      else if (action.type == PL_ANSWER)
        send_answer (pool, action.request);
      pl_action_clear (&action);
    }
}

static void
tick_pool (Simulation *sim, gpointer data)
{
  Pool *pool = data;
  pl_tick (pool->core, sim->now);
  run_pool_actions (pool);
  schedule_event (sim, sim->now + TICK_INTERVAL, tick_pool, pool);
}

static Pool *
get_pool (Simulation *sim, Host *host, const char *id)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  Pool *pool = g_hash_table_lookup (host->pools, id);
  if (pool != NULL)
    return pool;
  pool = g_new0 (Pool, 1);
  pool->sim = sim;
  pool->host = host;
  pool->id = g_strdup (id);
  pool->core = pl_new (&policy, &sim->transactions);
  guint shares;
  gint share = cs_queue_share (sim->state, id, host->name, &shares);
  g_assert_cmpint (share, >=, 0);
  pl_set_limits (
      pool->core, sim->now,
      (guint)pl_share_size (sim->load.slots, (guint)share, shares),
      (guint)pl_share_size (sim->load.connections, (guint)share, shares),
      3 * GM_SECOND);
  g_hash_table_insert (host->pools, pool->id, pool);
  schedule_event (sim, sim->now + TICK_INTERVAL, tick_pool, pool);
  return pool;
}

/* The statement has arrived at the host of its pool.  */
static void
submit_statement (Simulation *sim, gpointer data)
{
  Call *call = data;
  const struct wm_statement *m = &call->step.statement.statement;
  Host *host = find_host (sim, call->step.host);
  Pool *pool = get_pool (sim, host, m->database);
  const CfService *service
      = cf_service_find (cs_declaration (sim->state), m->service);
  PlRequest *r = pl_request_from_message (m, service, sim->now);
  r->owner = call;
  pl_submit (pool->core, sim->now, r);
  run_pool_actions (pool);
}

static void
call_free (Call *call)
{
  sn_step_clear (&call->step);
  sn_free (call->session);
  g_free (call);
}

static void
finish_call (Simulation *sim, gpointer data)
{
  Call *call = data;
  gboolean good = call->step.kind == GM_OK;
  if (call->urgent)
    {
      sim->result.succeeded += good ? 1 : 0;
      sim->result.in_target
          += good && sim->now - call->sent_at <= URGENT_TARGET ? 1 : 0;
    }
  call_free (call);
}

/* Carries out the step that CALL's session returned.  */
static void
execute_step (Call *call)
{
  Simulation *sim = call->sim;
  const SnStep *step = &call->step;
  if (step->next == SN_SEND)
    schedule_event (sim,
                    deliver (sim, call->entry, find_host (sim, step->host),
                             message_size (&step->statement)),
                    submit_statement, call);
  else if (step->next == SN_WAIT)
    schedule_event (sim, step->until, retry_statement, call);
  else
    schedule_event (
        sim,
        send_on_link (sim, call->entry, step->kind == GM_OK ? ROW_BYTES : 0),
        finish_call, call);
}

static void
start_session (Simulation *sim, gpointer data)
{
  Call *call = data;
  gboolean writes = call->writes;
  SnContext view = session_view (sim, call->entry);
  if (call->urgent)
    writes = g_rand_int_range (sim->rand, 0, 3) == 0;
  SnStatement st = { .verb = writes ? SN_WRITE : SN_READ,
                     .id = g_strdup ("0123456789abcdef"),
                     .text = g_strnfill (TEXT_BYTES, 'x') };
  sn_submit (call->session, &view, &st, &call->step);
  execute_step (call);
}

/* The caller sends its statement to the entry host.  */
static void
send_statement (Simulation *sim, gpointer data)
{
  Call *call = data;
  schedule_event (sim,
                  receive_on_link (sim, call->entry, sim->now, TEXT_BYTES),
                  start_session, call);
}

/* Schedules statements of SERVICE at RATE a second, each at a random host.  */
static void
schedule_load (Simulation *sim, const char *service, guint rate,
               gboolean writes)
{
  gboolean urgent = strcmp (service, "urgent") == 0;
  for (GmTime t = START; rate > 0 && t < sim->end;
       t += (GmTime)(2 * g_rand_double (sim->rand) * GM_SECOND / rate))
    {
      Call *call = g_new0 (Call, 1);
      guint host
          = (guint)g_rand_int_range (sim->rand, 0, (gint32)sim->hosts->len);
      call->sim = sim;
      call->entry = g_ptr_array_index (sim->hosts, host);
      call->session = sn_new (service);
      call->urgent = urgent;
      call->writes = writes;
      call->sent_at = t;
      sim->result.sent += urgent ? 1 : 0;
      schedule_event (sim, t, send_statement, call);
    }
}

static void
add_host (Simulation *sim, guint centre, guint number)
{
  g_autofree char *place = g_strdup_printf ("dc%u", centre);
  Host *host = g_new0 (Host, 1);
  host->name = g_strdup_printf ("host%u-%u", centre, number);
  host->peers = lv_new ();
  host->router = sr_new (host->name, place, host->peers);
  host->pools = g_hash_table_new (g_str_hash, g_str_equal);
  g_ptr_array_add (sim->hosts, host);
  WmMessage up = { .type = WM_TYPE_CMD_HOST,
                   .cmd_host = { .host = host->name,
                                 .incarnation = 1,
                                 .caller = (char *)"",
                                 .link = (char *)"",
                                 .data_centre = place,
                                 .roles = CS_POOL,
                                 .link_rate = sim->load.link_rate } };
  cs_apply (sim->state, sim->state->version + 1, &up, NULL);
}

static void
add_database (Simulation *sim, guint number)
{
  g_autofree char *id = g_strdup_printf ("db%u", number);
  g_autofree char *place = g_strdup_printf ("dc%u", number);
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = id,
                                    .group = (char *)"g",
                                    .address = (char *)"127.0.0.1:2",
                                    .data_centre = place,
                                    .slots = sim->load.slots,
                                    .connections = sim->load.connections,
                                    .incarnation = 1,
                                    .term = 1,
                                    .primary = number == 0 ? 1 : 0 } };
  cs_apply (sim->state, sim->state->version + 1, &m, NULL);
}

static void
build_deployment (Simulation *sim)
{
  g_autoptr (GBytes) text
      = g_bytes_new_static (declaration, strlen (declaration));
  WmMessage config = { .type = WM_TYPE_CMD_CONFIG,
                       .cmd_config = { .number = 1,
                                       .digest = (char *)"d",
                                       .text = text,
                                       .who = (char *)"test" } };
  cs_apply (sim->state, 1, &config, NULL);
  for (guint centre = 0; centre < DATA_CENTRES; centre++)
    {
      add_database (sim, centre);
      for (guint i = 0; i < sim->load.hosts_per_centre; i++)
        add_host (sim, centre, i);
    }
  for (guint i = 0; i < sim->hosts->len; i++)
    sr_state_changed (((Host *)g_ptr_array_index (sim->hosts, i))->router,
                      sim->state);
}

static void
host_free (gpointer data)
{
  Host *host = data;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, host->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pool *pool = value;
      pl_free (pool->core);
      g_free (pool->id);
      g_free (pool);
    }
  g_hash_table_unref (host->pools);
  sr_free (host->router);
  lv_free (host->peers);
  g_free (host->name);
  g_free (host);
}

SlResult
sl_run (const SlLoad *load, guint seconds)
{
  Simulation sim = { .load = *load,
                     .now = START,
                     .end = START + seconds * GM_SECOND,
                     .rand = g_rand_new_with_seed (1),
                     .events = g_sequence_new (g_free),
                     .state = cs_new (),
                     .hosts = g_ptr_array_new_with_free_func (host_free),
                     .position = 1 };
  build_deployment (&sim);
  schedule_load (&sim, "urgent", load->urgent_rate, FALSE);
  schedule_load (&sim, "routine", load->write_rate, TRUE);
  schedule_load (&sim, "routine", load->read_rate, FALSE);
  while (sim.now < sim.end)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim.events);
      Event event = *(Event *)g_sequence_get (first);
      g_sequence_remove (first);
      sim.now = event.at;
      event.handler (&sim, event.data);
    }
  /* Statements still in progress at the end count as failed.  */
  g_sequence_free (sim.events);
  g_ptr_array_unref (sim.hosts);
  cs_free (sim.state);
  g_rand_free (sim.rand);
  return sim.result;
}
