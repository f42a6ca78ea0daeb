#include "small_links.h"
#include "pool/pool.h"
#include "session/session.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define TRIP (900)              /* microseconds between two hosts */
#define HEADERS 52              /* bytes of TCP and IP around a message */
#define TICK (10 * GM_MS)       /* of the pools */
#define HANDSHAKE (12 * GM_MS)  /* of a database connection */
#define AIM (100 * GM_MS)       /* for urgent statements */
#define URGENT_WORK (3 * GM_MS) /* in a slot, on average */
#define ROUTINE_WORK (9 * GM_MS)
#define TEXT_BYTES 200 /* of a statement */
#define ROW_BYTES 500  /* of its answer */
#define CENTRES 3
#define SLOTS_MAX 8

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"urgent\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800, \"target_ms\": 100, \"reads\": \"primary\"},"
      "{\"name\": \"routine\", \"depends_on\": [\"g\"],"
      " \"rank\": \"routine\", \"deadline_ms\": 800, \"target_ms\": 200,"
      " \"reads\": \"session\", \"max_age_ms\": 2500}]}";

typedef struct World World;
typedef struct Call Call;

/* What a host's link does each way: until when it is busy.  */
typedef struct
{
  char *name;
  GmTime out;
  GmTime in;
  LvCore *peers;
  SrRouter *router;
  GHashTable *pools; /* id of a database -> Pool */
} Host;

typedef struct
{
  World *world;
  Host *host;
  char *id;
  PlCore *core;
} Pool;

typedef struct
{
  GmTime free_at[SLOTS_MAX];
} Database;

/* A caller's statement on its way.  */
struct Call
{
  World *world;
  Host *entry;
  SnSession *session;
  SnStep step;
  GmTime since;
  gboolean urgent;
  gboolean writes; /* routine ones */
};

typedef struct
{
  GmTime at;
  guint64 number; /* keeps the order of what happens at one time */
  void (*happen) (World *world, gpointer data);
  gpointer data;
} Event;

struct World
{
  SlLoad load;
  SlResult result;
  GmTime now;
  GmTime end;
  GRand *rand;
  GSequence *events;
  guint64 events_ever;
  CsState *state;
  GPtrArray *hosts; /* Host * */
  Database databases[CENTRES];
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
  return x->number < y->number ? -1 : x->number > y->number;
}

static void
at (World *w, GmTime when, void (*happen) (World *world, gpointer data),
    gpointer data)
{
  Event *event = g_new (Event, 1);
  *event = (Event){ MAX (when, w->now), ++w->events_ever, happen, data };
  g_sequence_insert_sorted (w->events, event, compare_events, NULL);
}

static GmTime
transfer (const World *w, gsize bytes)
{
  return (GmTime)((bytes + HEADERS) * 8 * GM_SECOND / w->load.link_rate);
}

static GmTime
leave (const World *w, Host *host, gsize bytes)
{
  host->out = MAX (host->out, w->now) + transfer (w, bytes);
  return host->out + TRIP;
}

static GmTime
enter (const World *w, Host *host, GmTime arrives, gsize bytes)
{
  host->in = MAX (host->in, arrives) + transfer (w, bytes);
  return host->in;
}

/* When a message of BYTES that FROM sends now has arrived at TO.  */
static GmTime
carry (const World *w, Host *from, Host *to, gsize bytes)
{
  return from == to ? w->now : enter (w, to, leave (w, from, bytes), bytes);
}

static Host *
find_host (const World *w, const char *name)
{
  for (guint i = 0; i < w->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (w->hosts, i);
      if (strcmp (host->name, name) == 0)
        return host;
    }
  g_assert_not_reached ();
}

static gsize
size_of (const WmMessage *message)
{
  g_autoptr (GBytes) bytes = wm_encode (message);
  return g_bytes_get_size (bytes) + WM_LENGTH_BYTES;
}

static SnWorld
view (const World *w, const Host *host)
{
  return (SnWorld){ w->now, w->state, host->router, FALSE, host->name, "" };
}

static void follow (Call *call);

/* An answer on its way from a pool to the entry host.  */
typedef struct
{
  Call *call;
  WmMessage message;
} Parcel;

static void
answer_arrives (World *w, gpointer data)
{
  Parcel *parcel = data;
  Call *call = parcel->call;
  SnWorld seen = view (w, call->entry);
  sn_step_clear (&call->step);
  sn_result (call->session, &seen, &parcel->message.statement_done,
             &call->step);
  wm_clear (&parcel->message);
  g_free (parcel);
  follow (call);
}

static void
retry (World *w, gpointer data)
{
  Call *call = data;
  SnWorld seen = view (w, call->entry);
  sn_step_clear (&call->step);
  sn_retry (call->session, &seen, &call->step);
  follow (call);
}

typedef struct
{
  Pool *pool;
  guint64 connection;
  DpOutcome outcome;
} Exchange;

static void pump (Pool *pool);

static void
exchange_ends (World *w, gpointer data)
{
  Exchange *e = data;
  pl_done (e->pool->core, w->now, e->connection, &e->outcome);
  pump (e->pool);
  g_clear_pointer (&e->outcome.rows, g_bytes_unref);
  g_free (e);
}

static void
connected (World *w, gpointer data)
{
  Exchange *e = data;
  pl_connected (e->pool->core, w->now, e->connection);
  pump (e->pool);
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

/* When a statement that arrives at ARRIVES has been through a slot.  */
static GmTime
through_slot (World *w, Database *database, GmTime arrives, const PlRequest *r)
{
  guint first = 0;
  for (guint i = 1; i < w->load.slots; i++)
    if (database->free_at[i] < database->free_at[first])
      first = i;
  gboolean urgent = strcmp (r->base.service, "urgent") == 0;
  double mean = urgent ? URGENT_WORK : ROUTINE_WORK;
  GmTime work = (GmTime)(mean * (0.5 + g_rand_double (w->rand)));
  database->free_at[first] = MAX (database->free_at[first], arrives) + work;
  return database->free_at[first];
}

static void
run (Pool *pool, const PlAction *action)
{
  static char signature[] = "a database's signature of usual length";
  World *w = pool->world;
  const PlRequest *r = action->request;
  guint number = (guint)(pool->id[2] - '0');
  gboolean lacks = number != 0 && w->load.lags && r->after.position > 0;
  GmTime arrives = leave (w, pool->host, TEXT_BYTES);
  GmTime ends = r->operation == PL_LEAD || lacks
                    ? arrives
                    : through_slot (w, &w->databases[number], arrives, r);
  gsize rows = r->operation == PL_LEAD || lacks ? 0 : ROW_BYTES;
  Exchange *e = exchange_new (pool, action->connection);
  if (r->operation == PL_WRITE)
    w->position++;
  e->outcome = (DpOutcome){ .kind = lacks ? GM_LAGGING : GM_OK,
                            .signature = signature,
                            .point = { 1, w->position },
                            .led = number == 0,
                            .lead = { 1, w->position } };
  if (rows > 0)
    e->outcome.rows = g_bytes_new_take (g_malloc0 (rows), rows);
  at (w, enter (w, pool->host, ends + TRIP, rows), exchange_ends, e);
}

static void
send_answer (Pool *pool, PlRequest *r)
{
  World *w = pool->world;
  Parcel *parcel = g_new0 (Parcel, 1);
  WmMessage done;
  pl_request_done (pool->core, r, w->now, 1, &done);
  wm_copy (&parcel->message, &done);
  parcel->call = r->owner;
  at (w, carry (w, pool->host, parcel->call->entry, size_of (&done)),
      answer_arrives, parcel);
  pl_request_free (r);
}

static void
pump (Pool *pool)
{
  World *w = pool->world;
  PlAction action;
  while (pl_take_action (pool->core, &action))
    {
      if (action.type == PL_OPEN)
        at (w, w->now + HANDSHAKE, connected,
            exchange_new (pool, action.connection));
      else if (action.type == PL_RUN)
        run (pool, &action);
      else if (action.type == PL_ANSWER)
        send_answer (pool, action.request);
      pl_action_clear (&action);
    }
}

static void
tick (World *w, gpointer data)
{
  Pool *pool = data;
  pl_tick (pool->core, w->now);
  pump (pool);
  at (w, w->now + TICK, tick, pool);
}

static Pool *
pool_of (World *w, Host *host, const char *id)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  Pool *pool = g_hash_table_lookup (host->pools, id);
  if (pool != NULL)
    return pool;
  pool = g_new0 (Pool, 1);
  pool->world = w;
  pool->host = host;
  pool->id = g_strdup (id);
  pool->core = pl_new (&policy, &w->transactions);
  guint shares;
  gint share = cs_share (w->state, id, host->name, &shares);
  g_assert_cmpint (share, >=, 0);
  pl_limits (pool->core, w->now,
             (guint)pl_part (w->load.slots, (guint)share, shares),
             (guint)pl_part (w->load.connections, (guint)share, shares),
             3 * GM_SECOND);
  g_hash_table_insert (host->pools, pool->id, pool);
  at (w, w->now + TICK, tick, pool);
  return pool;
}

/* A statement on its way from the entry host to a pool.  */
static void
statement_arrives (World *w, gpointer data)
{
  Call *call = data;
  const struct wm_statement *m = &call->step.statement.statement;
  Host *host = find_host (w, call->step.host);
  Pool *pool = pool_of (w, host, m->database);
  const CfService *service
      = cf_service_find (cs_declaration (w->state), m->service);
  PlRequest *r = pl_request_from (m, service, w->now);
  r->owner = call;
  pl_submit (pool->core, w->now, r);
  pump (pool);
}

static void
call_free (Call *call)
{
  sn_step_clear (&call->step);
  sn_free (call->session);
  g_free (call);
}

static void
call_ends (World *w, gpointer data)
{
  Call *call = data;
  gboolean good = call->step.kind == GM_OK;
  if (call->urgent)
    {
      w->result.served += good ? 1 : 0;
      w->result.in_aim += good && w->now - call->since <= AIM ? 1 : 0;
    }
  call_free (call);
}

/* Does what CALL's session says.  */
static void
follow (Call *call)
{
  World *w = call->world;
  const SnStep *step = &call->step;
  if (step->next == SN_SEND)
    at (w,
        carry (w, call->entry, find_host (w, step->host),
               size_of (&step->statement)),
        statement_arrives, call);
  else if (step->next == SN_WAIT)
    at (w, step->until, retry, call);
  else
    at (w, leave (w, call->entry, step->kind == GM_OK ? ROW_BYTES : 0),
        call_ends, call);
}

static void
statement_comes (World *w, gpointer data)
{
  Call *call = data;
  gboolean writes = call->writes;
  SnWorld seen = view (w, call->entry);
  if (call->urgent)
    writes = g_rand_int_range (w->rand, 0, 3) == 0;
  SnStatement st = { .verb = writes ? SN_WRITE : SN_READ,
                     .id = g_strdup ("0123456789abcdef"),
                     .text = g_strnfill (TEXT_BYTES, 'x') };
  sn_take (call->session, &seen, &st, &call->step);
  follow (call);
}

/* A caller sends its statement.  */
static void
call_begins (World *w, gpointer data)
{
  Call *call = data;
  at (w, enter (w, call->entry, w->now, TEXT_BYTES), statement_comes, call);
}

/* Lets statements of SERVICE come at RATE a second, each at another host.  */
static void
add_load (World *w, const char *service, guint rate, gboolean writes)
{
  gboolean urgent = strcmp (service, "urgent") == 0;
  for (GmTime t = START; rate > 0 && t < w->end;
       t += (GmTime)(2 * g_rand_double (w->rand) * GM_SECOND / rate))
    {
      Call *call = g_new0 (Call, 1);
      guint host = (guint)g_rand_int_range (w->rand, 0, (gint32)w->hosts->len);
      call->world = w;
      call->entry = g_ptr_array_index (w->hosts, host);
      call->session = sn_new (service);
      call->urgent = urgent;
      call->writes = writes;
      call->since = t;
      w->result.asked += urgent ? 1 : 0;
      at (w, t, call_begins, call);
    }
}

static void
add_host (World *w, guint centre, guint number)
{
  g_autofree char *place = g_strdup_printf ("dc%u", centre);
  Host *host = g_new0 (Host, 1);
  host->name = g_strdup_printf ("host%u-%u", centre, number);
  host->peers = lv_new ();
  host->router = sr_new (host->name, place, host->peers);
  host->pools = g_hash_table_new (g_str_hash, g_str_equal);
  g_ptr_array_add (w->hosts, host);
  WmMessage up = { .type = WM_TYPE_CMD_HOST,
                   .cmd_host = { .host = host->name,
                                 .incarnation = 1,
                                 .caller = (char *)"",
                                 .link = (char *)"",
                                 .data_centre = place,
                                 .roles = CS_POOL,
                                 .link_rate = w->load.link_rate } };
  cs_apply (w->state, w->state->version + 1, &up, NULL);
}

static void
add_database (World *w, guint number)
{
  g_autofree char *id = g_strdup_printf ("db%u", number);
  g_autofree char *place = g_strdup_printf ("dc%u", number);
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = id,
                                    .group = (char *)"g",
                                    .address = (char *)"127.0.0.1:2",
                                    .data_centre = place,
                                    .slots = w->load.slots,
                                    .connections = w->load.connections,
                                    .incarnation = 1,
                                    .term = 1,
                                    .primary = number == 0 ? 1 : 0 } };
  cs_apply (w->state, w->state->version + 1, &m, NULL);
}

static void
build (World *w)
{
  g_autoptr (GBytes) text
      = g_bytes_new_static (declaration, strlen (declaration));
  WmMessage config = { .type = WM_TYPE_CMD_CONFIG,
                       .cmd_config = { .number = 1,
                                       .digest = (char *)"d",
                                       .text = text,
                                       .who = (char *)"test" } };
  cs_apply (w->state, 1, &config, NULL);
  for (guint centre = 0; centre < CENTRES; centre++)
    {
      add_database (w, centre);
      for (guint i = 0; i < w->load.hosts; i++)
        add_host (w, centre, i);
    }
  for (guint i = 0; i < w->hosts->len; i++)
    sr_state (((Host *)g_ptr_array_index (w->hosts, i))->router, w->state);
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
sl_play (const SlLoad *load, guint seconds)
{
  World w = { .load = *load,
              .now = START,
              .end = START + seconds * GM_SECOND,
              .rand = g_rand_new_with_seed (1),
              .events = g_sequence_new (g_free),
              .state = cs_new (),
              .hosts = g_ptr_array_new_with_free_func (host_free),
              .position = 1 };
  build (&w);
  add_load (&w, "urgent", load->urgent, FALSE);
  add_load (&w, "routine", load->writes, TRUE);
  add_load (&w, "routine", load->reads, FALSE);
  while (w.now < w.end)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (w.events);
      Event event = *(Event *)g_sequence_get (first);
      g_sequence_remove (first);
      w.now = event.at;
      event.happen (&w, event.data);
    }
  /* What is still on its way at the end was not served.  */
  g_sequence_free (w.events);
  g_ptr_array_unref (w.hosts);
  cs_free (w.state);
  g_rand_free (w.rand);
  return w.result;
}
