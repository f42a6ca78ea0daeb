/* Sessions, pools and changes of primary together, under a virtual clock and
   random faults, against databases that keep the books.  One seed, one
   schedule.

   sessions --seed N [--seeds M] [--steps S]  */
#include "base/mutant.h"
#include "failover/takeover.h"
#include "model.h"
#include "session/session.h"
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define SESSIONS 12
#define START (100 * GM_SECOND)
#define TICK (5 * GM_MS)
#define AGE (400 * GM_MS) /* of the services that bound it */
#define SETTLE (20 * GM_SECOND)

typedef struct World World;
typedef struct Host Host;

typedef struct
{
  Host *host;
  PlCore *core;
  MdDatabase *database;
  guint64 incarnation;
  GHashTable *conns;        /* number -> MdConn */
  GHashTable *transactions; /* number -> GUINT entry host + 1 */
} Pool;

struct Host
{
  World *world;
  char name[8];
  guint64 incarnation;
  CsState *state;
  SrRouter *router;
  Pool pools[MD_DATABASES]; /* core NULL: not held */
};

typedef struct
{
  World *world;
  Host *host;
  guint64 number;
  SnSession *session;
  GHashTable *values; /* what was acknowledged */
  GHashTable *shapes; /* prepared name -> shape */
  guint64 sequence;   /* of the statement on its way, 0: none */
  MdStatement *statement;
  SnVerb verb;
  GmTime since; /* of the transaction */
  TkPoint own;
  GArray *writes; /* guint64, of the transaction */
  gboolean in_transaction;
  gboolean read_only;
  GmTime arrived;
} Caller;

typedef struct
{
  GmTime at;
  guint64 order;
  void (*run) (World *w, gpointer data);
  gpointer data;
} Event;

struct World
{
  GmRandom random;
  GmTime now;
  guint64 orders;
  GSequence *events;
  MdGroup group;
  CsState *state; /* the committed one */
  guint64 version;
  Host hosts[HOSTS];
  Caller callers[SESSIONS];
  GHashTable *statements; /* uid -> MdStatement */
  GArray *promised;       /* guint64, uids that must not be kept */
  guint64 uids;
  guint64 sequences;
  ToCore *leader;
  char leader_name[8];
  guint64 round;
  guint64 steps;
  guint64 answers[GM_KIND_COUNT];
  guint promotions;
  gboolean calm; /* no more faults */
};

static const char *failure;

static void
note_violation (const char *what)
{
  if (failure == NULL)
    failure = what;
}

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const Event *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static void
at (World *w, GmTime when, void (*run) (World *, gpointer), gpointer data)
{
  Event *event = g_new0 (Event, 1);
  event->at = when;
  event->order = ++w->orders;
  event->run = run;
  event->data = data;
  g_sequence_insert_sorted (w->events, event, compare_events, NULL);
}

static GmTime
delay (World *w, GmTime most)
{
  return 50 + (GmTime)gm_random_below (&w->random, (guint64)most);
}

static gboolean
chance (World *w, guint per_thousand)
{
  return gm_random_below (&w->random, 1000) < per_thousand;
}

/* Pools.  */

typedef struct
{
  Pool *pool;
  PlCore *core; /* that it belongs to: the pool may be another by then */
  guint64 conn;
  MdResult result;
  char *signature;
  gboolean lost;
} Exchange;

static void pump_pool (World *w, Pool *pool);

static gboolean
is_current (const Exchange *x)
{
  return x->pool->core == x->core;
}

static void
exchange_ends (World *w, gpointer data)
{
  Exchange *x = data;
  Pool *pool = x->pool;
  const MdConn *conn
      = is_current (x) ? g_hash_table_lookup (pool->conns, &x->conn) : NULL;
  if (conn != NULL && x->lost)
    {
      g_hash_table_remove (pool->conns, &x->conn);
      pl_disconnected (pool->core, w->now, x->conn);
    }
  else if (conn != NULL && !x->result.hangs)
    {
      DpOutcome outcome = { .kind = x->result.kind,
                            .signature = x->signature,
                            .point = x->result.point,
                            .led = x->result.led,
                            .lead = x->result.lead,
                            .in_transaction = conn->open };
      pl_done (pool->core, w->now, x->conn, &outcome);
    }
  if (is_current (x))
    pump_pool (w, pool);
  g_free (x->signature);
  g_free (x);
}

/* Runs ACTION at the database, or loses it on the way there or back.  */
static void
run_action (World *w, Pool *pool, const PlAction *action)
{
  MdConn *conn = g_hash_table_lookup (pool->conns, &action->connection);
  const PlRequest *r = action->request;
  if (conn == NULL)
    return;
  guint64 uid = r->id != NULL ? g_ascii_strtoull (r->id, NULL, 10) : 0;
  const MdStatement *statement
      = uid != 0 ? g_hash_table_lookup (w->statements, &uid) : NULL;
  Exchange *x = g_new0 (Exchange, 1);
  x->pool = pool;
  x->core = pool->core;
  x->conn = action->connection;
  x->signature = g_strdup (r->id);
  x->lost = !w->calm && chance (w, 10);
  gboolean arrives = pool->database->up && (!x->lost || chance (w, 500));
  if (arrives)
    x->result
        = md_run (&w->group, w->now, pool->database, conn, action, statement);
  else
    x->lost = TRUE;
  at (w, w->now + delay (w, 15 * GM_MS), exchange_ends, x);
}

static void
conn_opens (World *w, gpointer data)
{
  Exchange *x = data;
  Pool *pool = x->pool;
  if (is_current (x))
    {
      if (pool->database->up
          && pool->incarnation == pool->database->incarnation)
        {
          g_hash_table_insert (pool->conns,
                               g_memdup2 (&x->conn, sizeof x->conn),
                               md_conn_new ());
          pl_connected (pool->core, w->now, x->conn);
        }
      else
        pl_disconnected (pool->core, w->now, x->conn);
      pump_pool (w, pool);
    }
  g_free (x);
}

/* Messages.  */

typedef struct
{
  Host *from;
  Host *to;
  WmMessage message;
  guint64 caller;
} Parcel;

static void deliver_answer (World *w, gpointer data);

static void
answer (World *w, Pool *pool, PlRequest *r)
{
  Parcel *parcel = g_new0 (Parcel, 1);
  WmMessage done;
  guint entry = GPOINTER_TO_UINT (r->owner);
  pl_request_done (pool->core, r, w->now, pool->host->incarnation, &done);
  wm_copy (&parcel->message, &done);
  parcel->from = pool->host;
  if (r->transaction != 0 && !r->open)
    g_hash_table_remove (pool->transactions, &r->transaction);
  else if (r->transaction != 0)
    g_hash_table_insert (pool->transactions,
                         g_memdup2 (&r->transaction, sizeof r->transaction),
                         GUINT_TO_POINTER (entry + 1));
  if (r->sequence != 0)
    {
      parcel->to = &w->hosts[entry];
      at (w, w->now + delay (w, 2 * GM_MS), deliver_answer, parcel);
    }
  else
    {
      wm_clear (&parcel->message);
      g_free (parcel);
    }
  pl_request_free (r);
}

static void
pump_pool (World *w, Pool *pool)
{
  PlAction action;
  while (pool->core != NULL && pl_take_action (pool->core, &action))
    {
      if (action.type == PL_OPEN)
        {
          Exchange *x = g_new0 (Exchange, 1);
          x->pool = pool;
          x->core = pool->core;
          x->conn = action.connection;
          at (w, w->now + delay (w, 20 * GM_MS), conn_opens, x);
        }
      else if (action.type == PL_CLOSE)
        g_hash_table_remove (pool->conns, &action.connection);
      else if (action.type == PL_RUN)
        run_action (w, pool, &action);
      else
        answer (w, pool, action.request);
      pl_action_clear (&action);
    }
}

static void
deliver_statement (World *w, gpointer data)
{
  Parcel *parcel = data;
  const struct wm_statement *m = &parcel->message.statement;
  Host *host = parcel->to;
  Pool *pool = NULL;
  for (guint i = 0; i < MD_DATABASES; i++)
    if (strcmp (host->pools[i].database->id, m->database) == 0)
      pool = &host->pools[i];
  gboolean known
      = pool != NULL && pool->core != NULL
        && (m->transaction != 0 ? m->holder == host->incarnation
                                : m->incarnation == pool->incarnation);
  if (known)
    {
      const CfService *service
          = cf_service_find (host->state->declaration, m->service);
      PlRequest *r = pl_request_from (m, service, w->now);
      r->owner = GUINT_TO_POINTER ((guint)(parcel->from - w->hosts));
      pl_submit (pool->core, w->now, r);
      pump_pool (w, pool);
    }
  else if (m->sequence != 0)
    {
      Parcel *back = g_new0 (Parcel, 1);
      back->from = host;
      back->to = parcel->from;
      back->message = (WmMessage){
        .type = WM_TYPE_STATEMENT_DONE,
        .statement_done
        = { .sequence = m->sequence,
            .kind = m->transaction != 0 ? GM_TRANSACTION_LOST : GM_DRAINING,
            .message = g_strdup ("") }
      };
      at (w, w->now + delay (w, 2 * GM_MS), deliver_answer, back);
    }
  wm_clear (&parcel->message);
  g_free (parcel);
}

static Host *
host_of (World *w, const char *name)
{
  for (guint i = 0; i < HOSTS; i++)
    if (strcmp (w->hosts[i].name, name) == 0)
      return &w->hosts[i];
  return NULL;
}

static void
post (World *w, Caller *c, const char *host, WmMessage *message)
{
  Parcel *parcel = g_new0 (Parcel, 1);
  parcel->from = c->host;
  parcel->to = host_of (w, host);
  wm_copy (&parcel->message, message);
  at (w, w->now + delay (w, 2 * GM_MS), deliver_statement, parcel);
}

/* Callers.  */

static SnWorld
view_of (const Caller *c)
{
  return (SnWorld){ c->world->now, c->host->state, c->host->router };
}

static void next_statement (World *w, gpointer data);
static void retry_later (World *w, gpointer data);
static void give_up (World *w, gpointer data);

static void
promise (World *w, guint64 uid)
{
  g_array_append_val (w->promised, uid);
  if (md_kept (&w->group, uid))
    note_violation ("a write is kept that was said to have no effect");
}

static void
check_success (World *w, Caller *c, const SnStep *step)
{
  const MdStatement *s = c->statement;
  gboolean ours = step->signature == NULL;
  gboolean ends = s->ends && !(c->verb == SN_ROLLBACK);
  g_autofree char *uid = g_strdup_printf ("%" G_GUINT64_FORMAT, s->uid);
  gboolean data = c->verb == SN_READ || c->verb == SN_WRITE
                  || c->verb == SN_EXECUTE || c->verb == SN_COMMIT;
  if (data && (ours || strcmp (step->signature, uid) != 0))
    note_violation ("a success carries no proof of its own statement");
  if (s->writes && !c->in_transaction
      && !md_is_acknowledged (&w->group, s->uid))
    note_violation ("a write is acknowledged that no replica holds");
  for (guint i = 0; ends && i < c->writes->len; i++)
    if (!md_is_acknowledged (&w->group, g_array_index (c->writes, guint64, i)))
      note_violation ("a commit is acknowledged that no replica holds");
}

static void
finish (World *w, Caller *c, const SnStep *step)
{
  const MdStatement *s = c->statement;
  gboolean none = gm_kind_ran (step->kind) == GM_RAN_NO;
  w->answers[step->kind]++;
  if (step->kind == GM_OK)
    check_success (w, c, step);
  if (none && s->writes)
    promise (w, s->uid);
  for (guint i = 0; none && c->in_transaction && i < c->writes->len; i++)
    promise (w, g_array_index (c->writes, guint64, i));
  gboolean wrote = s->writes || (s->ends && c->writes->len > 0);
  if (step->kind == GM_OK && wrote && (!c->in_transaction || s->ends)
      && c->verb != SN_ROLLBACK)
    c->own = sn_point (c->session);
  if (s->writes && c->in_transaction && step->kind == GM_OK)
    g_array_append_val (c->writes, s->uid);
  if (step->kind != GM_OK && s->writes && c->in_transaction && !none)
    g_array_append_val (c->writes, s->uid);
  if (s->ends)
    {
      c->in_transaction = FALSE;
      g_array_set_size (c->writes, 0);
    }
  c->sequence = 0;
  c->statement = NULL;
  at (w, w->now + delay (w, 20 * GM_MS), next_statement, c);
}

static void
follow (World *w, Caller *c, SnStep *step)
{
  if (step->release_host != NULL)
    post (w, c, step->release_host, &step->release);
  if (step->next == SN_SEND)
    {
      c->sequence = ++w->sequences;
      step->statement.statement.sequence = c->sequence;
      post (w, c, step->host, &step->statement);
      at (w,
          w->now + (GmTime)step->statement.statement.deadline
              + SN_ANSWER_GRACE,
          give_up, g_memdup2 (&c->sequence, sizeof c->sequence));
    }
  else if (step->next == SN_WAIT)
    {
      c->sequence = 0;
      at (w, step->until, retry_later, c);
    }
  else
    finish (w, c, step);
  sn_step_clear (step);
}

static Caller *
waiting_for (World *w, guint64 sequence)
{
  for (guint i = 0; i < SESSIONS; i++)
    if (w->callers[i].sequence == sequence)
      return &w->callers[i];
  return NULL;
}

static void
deliver_answer (World *w, gpointer data)
{
  Parcel *parcel = data;
  const struct wm_statement_done *done = &parcel->message.statement_done;
  Caller *c = waiting_for (w, done->sequence);
  if (c != NULL && c->host == parcel->to)
    {
      SnWorld view = view_of (c);
      SnStep step;
      sn_result (c->session, &view, done, &step);
      follow (w, c, &step);
    }
  wm_clear (&parcel->message);
  g_free (parcel);
}

static void
lose (World *w, Caller *c)
{
  SnWorld view = view_of (c);
  SnStep step;
  c->sequence = 0;
  sn_lost (c->session, &view, TRUE, &step);
  follow (w, c, &step);
}

static void
give_up (World *w, gpointer data)
{
  guint64 *sequence = data;
  Caller *c = waiting_for (w, *sequence);
  if (c != NULL)
    lose (w, c);
  g_free (sequence);
}

static void
retry_later (World *w, gpointer data)
{
  Caller *c = data;
  SnWorld view = view_of (c);
  SnStep step;
  sn_retry (c->session, &view, &step);
  follow (w, c, &step);
}

/* What a read that arrives now must show.  */
static TkPoint
required_now (World *w, const Caller *c)
{
  GmTime since = c->in_transaction ? c->since : c->arrived;
  const char *service = sn_service (c->session);
  if (strcmp (service, "primary") == 0)
    return md_acknowledged (&w->group, since);
  TkPoint point = md_acknowledged (&w->group, since - AGE);
  if (strcmp (service, "session") == 0 && tk_point_compare (c->own, point) > 0)
    point = c->own;
  return point;
}

static GHashTable *
copy_table (GHashTable *from)
{
  GHashTable *copy
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (copy, g_strdup (key), g_strdup (value));
  return copy;
}

static SnVerb
draw_verb (World *w, const Caller *c)
{
  guint n = (guint)gm_random_below (&w->random, 100);
  if (c->in_transaction && n < 25)
    return n < 18 ? SN_COMMIT : SN_ROLLBACK;
  if (n < 35)
    return SN_SET;
  if (n < 42)
    return SN_PREPARE;
  if (!c->in_transaction && n < 55)
    return SN_BEGIN;
  if (n < 70 && g_hash_table_size (c->shapes) > 0)
    return SN_EXECUTE;
  return n < 85 ? SN_READ : SN_WRITE;
}

/* Fills in what the statement of VERB says.  */
static void
draw_statement (World *w, Caller *c, SnVerb verb, SnStatement *st,
                MdStatement *s)
{
  guint n = (guint)gm_random_below (&w->random, 3);
  st->verb = verb;
  st->id = g_strdup_printf ("%" G_GUINT64_FORMAT, s->uid);
  st->text = g_strdup (st->id);
  s->writes = verb == SN_WRITE;
  s->ends = verb == SN_COMMIT || verb == SN_ROLLBACK;
  if (verb == SN_SET)
    {
      st->name = g_strdup_printf ("v%u", n);
      st->argument
          = g_strdup_printf ("%u", (guint)gm_random_below (&w->random, 4));
      g_hash_table_replace (c->values, g_strdup (st->name),
                            g_strdup (st->argument));
    }
  else if (verb == SN_PREPARE)
    {
      gboolean writes = gm_random_below (&w->random, 2) == 0;
      st->name = g_strdup_printf ("s%u", n);
      st->writes = writes;
      st->argument = g_strdup_printf ("%s q%u", writes ? "WRITE" : "READ",
                                      (guint)gm_random_below (&w->random, 5));
      g_hash_table_replace (c->shapes, g_strdup (st->name),
                            g_strdup (st->argument));
    }
  else if (verb == SN_EXECUTE)
    {
      GHashTableIter iter;
      gpointer key, value;
      g_hash_table_iter_init (&iter, c->shapes);
      g_hash_table_iter_next (&iter, &key, &value);
      st->name = g_strdup (key);
      st->argument = g_strdup ("item");
      s->shape = g_strdup (value);
      s->writes = g_str_has_prefix (value, "WRITE");
    }
  else if (verb == SN_BEGIN)
    st->read_only = gm_random_below (&w->random, 3) == 0;
}

static void
next_statement (World *w, gpointer data)
{
  Caller *c = data;
  SnVerb verb = draw_verb (w, c);
  SnStatement st = { 0 };
  MdStatement *s = g_new0 (MdStatement, 1);
  s->uid = ++w->uids;
  s->session = c->number;
  c->arrived = w->now;
  w->steps++;
  if (sn_state (c->session) == SN_FAILED)
    verb = SN_ROLLBACK;
  draw_statement (w, c, verb, &st, s);
  if (verb == SN_BEGIN)
    {
      c->in_transaction = TRUE;
      c->since = w->now;
      c->read_only = st.read_only;
    }
  s->values = copy_table (c->values);
  s->required = required_now (w, c);
  g_hash_table_insert (w->statements, &s->uid, s);
  c->statement = s;
  c->verb = verb;
  SnWorld view = view_of (c);
  SnStep step;
  sn_take (c->session, &view, &st, &step);
  follow (w, c, &step);
}

/* Control.  */

static void
pool_close (World *w, Pool *pool)
{
  if (pool->core == NULL)
    return;
  pl_drop_connections (pool->core, w->now);
  pump_pool (w, pool);
  g_hash_table_remove_all (pool->conns);
  g_hash_table_remove_all (pool->transactions);
  pl_free (pool->core);
  pool->core = NULL;
}

static gboolean
pool_is_empty (const Pool *pool)
{
  PlCounts counts;
  pl_counts (pool->core, &counts);
  return counts.queued + counts.running + counts.transactions == 0;
}

static void
update_pool (World *w, Host *host, Pool *pool)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  const CsDatabase *d
      = g_hash_table_lookup (host->state->databases, pool->database->id);
  const CsHost *holder = cs_pool (host->state, pool->database->id);
  gboolean mine = holder != NULL && strcmp (holder->host, host->name) == 0;
  if (pool->core != NULL
      && (d == NULL || d->incarnation != pool->incarnation
          || (!mine && pool_is_empty (pool))))
    pool_close (w, pool);
  if (pool->core == NULL && mine && d != NULL)
    {
      pool->core = pl_new (&policy);
      pool->incarnation = d->incarnation;
    }
  if (pool->core == NULL)
    return;
  pl_own (pool->core, w->now, mine);
  pl_limits (pool->core, w->now, 2, 20, 300 * GM_MS);
  pump_pool (w, pool);
}

typedef struct
{
  Host *host;
  guint64 version;
  GBytes *block;
} News;

static void
hear_news (World *w, gpointer data)
{
  News *news = data;
  Host *host = news->host;
  if (news->version > host->state->version)
    {
      cs_free (host->state);
      host->state = cs_decode (news->version, news->block);
      sr_state (host->router, host->state);
      for (guint i = 0; i < MD_DATABASES; i++)
        update_pool (w, host, &host->pools[i]);
    }
  g_bytes_unref (news->block);
  g_free (news);
}

static void
commit (World *w, const WmMessage *command)
{
  cs_apply (w->state, ++w->version, command, NULL);
  g_autoptr (GBytes) block = cs_encode (w->state);
  for (guint i = 0; i < HOSTS; i++)
    {
      News *news = g_new0 (News, 1);
      news->host = &w->hosts[i];
      news->version = w->version;
      news->block = g_bytes_ref (block);
      at (w, w->now + delay (w, chance (w, 300) ? 1500 * GM_MS : 10 * GM_MS),
          hear_news, news);
    }
}

static void
announce (World *w, const MdDatabase *d)
{
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = (char *)d->id,
                                    .group = (char *)"g",
                                    .address = (char *)"127.0.0.1:1",
                                    .data_centre = (char *)"dc0",
                                    .slots = 2,
                                    .connections = 20,
                                    .incarnation = d->incarnation,
                                    .term = d->primary ? 1 : 0,
                                    .primary = d->primary ? 1 : 0 } };
  const CsDatabase *known = g_hash_table_lookup (w->state->databases, d->id);
  if (known == NULL || known->incarnation != d->incarnation)
    commit (w, &m);
  to_announced (w->leader, w->now, &m.cmd_database);
}

static void
announce_host (World *w, const Host *host, gboolean pool)
{
  WmMessage m = { .type = WM_TYPE_CMD_HOST,
                  .cmd_host = { .host = (char *)host->name,
                                .incarnation = host->incarnation,
                                .caller = (char *)"",
                                .link = (char *)"127.0.0.1:2",
                                .data_centre = (char *)"dc0",
                                .roles = pool ? CS_POOL : 0 } };
  commit (w, &m);
}

/* A leader's call or order on its way.  */
typedef struct
{
  ToAction action;
  guint64 round;
  char holder[8];
} Duty;

static MdDatabase *
database_of (World *w, const char *id)
{
  for (guint i = 0; i < MD_DATABASES; i++)
    if (strcmp (w->group.databases[i].id, id) == 0)
      return &w->group.databases[i];
  return NULL;
}

/* The answer to an order says that it was taken; it takes effect later.  */
static void
promote (World *w, gpointer data)
{
  Duty *duty = data;
  if (md_promote (&w->group, duty->action.id, duty->action.token))
    w->promotions++;
  to_action_clear (&duty->action);
  g_free (duty);
}

static void
duty_done (World *w, gpointer data)
{
  Duty *duty = data;
  const ToAction *a = &duty->action;
  gboolean lost = !w->calm && chance (w, 100);
  MdDatabase *d = database_of (w, a->id);
  FoDatabase status;
  if (a->type == TO_CALL)
    {
      gboolean answered
          = d->up && !lost && md_call (d, a->call, a->term, &status);
      if (duty->round == w->round)
        to_called (w->leader, w->now, a->id, answered,
                   answered ? &status : NULL);
    }
  else
    {
      /* An order without an answer may still be carried out.  */
      gboolean runs = !lost || chance (w, 500);
      gboolean good
          = runs && md_take_order (&w->group, a->id, duty->holder, a->token);
      if (good)
        {
          Duty *effect = g_new0 (Duty, 1);
          effect->action
              = (ToAction){ .id = g_strdup (a->id), .token = a->token };
          at (w, w->now + delay (w, 400 * GM_MS), promote, effect);
        }
      if (duty->round == w->round)
        to_ordered (w->leader, w->now, a->group, a->token,
                    lost   ? TO_UNKNOWN
                    : good ? TO_DONE
                           : TO_REFUSED);
    }
  to_action_clear (&duty->action);
  g_free (duty);
}

static void
lead (World *w)
{
  WmMessage command;
  ToAction action;
  to_tick (w->leader, w->now, 0, w->state);
  while (to_take_command (w->leader, &command))
    {
      commit (w, &command);
      wm_clear (&command);
    }
  while (to_take_action (w->leader, &action))
    {
      Duty *duty = g_new0 (Duty, 1);
      duty->action = action;
      duty->round = w->round;
      g_strlcpy (duty->holder, w->leader_name, sizeof duty->holder);
      gboolean late = action.type == TO_ORDER && !w->calm && chance (w, 200);
      at (w, w->now + delay (w, late ? 3 * GM_SECOND : 20 * GM_MS), duty_done,
          duty);
    }
}

static void
report (World *w, Host *host)
{
  GByteArray *out = g_byte_array_new ();
  for (guint i = 0; i < MD_DATABASES; i++)
    {
      PlHealth h;
      if (host->pools[i].core == NULL)
        continue;
      pl_health (host->pools[i].core, w->now, &h);
      WmMessage seen = { .type = WM_TYPE_SEEN,
                         .seen = { .id = host->pools[i].database->id,
                                   .reachable = h.reachable ? 1 : 0,
                                   .last_term = h.acked.term,
                                   .received = h.acked.position,
                                   .silent = h.silent,
                                   .stuck = h.stuck,
                                   .open = h.open } };
      wm_append (out, &seen);
    }
  g_autoptr (GBytes) list = g_byte_array_free_to_bytes (out);
  WmMessage m = { .type = WM_TYPE_REPORT,
                  .report = { .host = host->name, .databases = list } };
  to_report (w->leader, w->now, w->state, &m.report);
}

/* Faults.  */

static void
start_database (World *w, gpointer data)
{
  MdDatabase *d = data;
  if (!d->up)
    md_start (&w->group, d);
}

static void
crash_database (World *w, MdDatabase *d)
{
  if (!d->up)
    return;
  md_crash (&w->group, d);
  for (guint i = 0; i < HOSTS; i++)
    for (guint j = 0; j < MD_DATABASES; j++)
      {
        Pool *pool = &w->hosts[i].pools[j];
        if (pool->database != d || pool->core == NULL)
          continue;
        g_autoptr (GList) ids = g_hash_table_get_keys (pool->conns);
        g_autoptr (GArray) numbers
            = g_array_new (FALSE, FALSE, sizeof (guint64));
        for (GList *l = ids; l != NULL; l = l->next)
          g_array_append_vals (numbers, l->data, 1);
        g_hash_table_remove_all (pool->conns);
        for (guint k = 0; k < numbers->len; k++)
          pl_disconnected (pool->core, w->now,
                           g_array_index (numbers, guint64, k));
        pump_pool (w, pool);
      }
  at (w, w->now + delay (w, 4 * GM_SECOND), start_database, d);
}

static void
cut_link (World *w, Host *from, Host *to)
{
  for (guint i = 0; i < SESSIONS; i++)
    if (w->callers[i].host == from && w->callers[i].sequence != 0)
      lose (w, &w->callers[i]);
  for (guint j = 0; j < MD_DATABASES; j++)
    {
      Pool *pool = &to->pools[j];
      if (pool->core == NULL)
        continue;
      g_autoptr (GArray) gone = g_array_new (FALSE, FALSE, sizeof (guint64));
      GHashTableIter iter;
      gpointer key, value;
      g_hash_table_iter_init (&iter, pool->transactions);
      while (g_hash_table_iter_next (&iter, &key, &value))
        if (GPOINTER_TO_UINT (value) == (guint)(from - w->hosts) + 1)
          g_array_append_vals (gone, key, 1);
      for (guint k = 0; k < gone->len; k++)
        pl_abandon (pool->core, w->now, g_array_index (gone, guint64, k));
      pump_pool (w, pool);
    }
}

static void
change_leader (World *w)
{
  w->round++;
  g_snprintf (w->leader_name, sizeof w->leader_name, "c%u",
              (guint)(w->round % 3));
  to_free (w->leader);
  w->leader = to_new (w->leader_name);
  to_lead (w->leader, w->now, w->round);
}

static void
hear_again (World *w, gpointer data)
{
  (void)data;
  for (guint i = 0; i < MD_DATABASES; i++)
    w->group.databases[i].deaf = FALSE;
}

static void
injure (World *w)
{
  Host *a = &w->hosts[gm_random_below (&w->random, HOSTS)];
  Host *b = &w->hosts[gm_random_below (&w->random, HOSTS)];
  MdDatabase *d
      = &w->group.databases[gm_random_below (&w->random, MD_DATABASES)];
  guint down = 0;
  for (guint i = 0; i < MD_DATABASES; i++)
    down += w->group.databases[i].up ? 0 : 1;
  if (chance (w, 6) && down == 0)
    crash_database (w, d);
  if (chance (w, 5))
    d->deaf = !d->deaf;
  /* The primary is cut off from all replicas, and still reached by pools; they
     may hear it again while it is being replaced.  */
  if (chance (w, 2))
    {
      for (guint i = 0; i < MD_DATABASES; i++)
        w->group.databases[i].deaf = TRUE;
      at (w, w->now + 900 * GM_MS + delay (w, 900 * GM_MS), hear_again, NULL);
    }
  if (chance (w, 5))
    cut_link (w, a, b);
  if (chance (w, 3))
    change_leader (w);
  if (chance (w, 3))
    announce_host (w, a, gm_random_below (&w->random, 2) == 0);
}

static void
tick (World *w, gpointer data)
{
  (void)data;
  md_replicate (&w->group, &w->random);
  if (!w->calm)
    injure (w);
  for (guint i = 0; i < HOSTS; i++)
    {
      for (guint j = 0; j < MD_DATABASES; j++)
        if (w->hosts[i].pools[j].core != NULL)
          {
            pl_tick (w->hosts[i].pools[j].core, w->now);
            pump_pool (w, &w->hosts[i].pools[j]);
            update_pool (w, &w->hosts[i], &w->hosts[i].pools[j]);
          }
      report (w, &w->hosts[i]);
    }
  for (guint i = 0; i < MD_DATABASES; i++)
    if (w->group.databases[i].up)
      announce (w, &w->group.databases[i]);
  lead (w);
  at (w, w->now + TICK, tick, NULL);
}

/* The frame.  */

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"primary\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800, \"reads\": \"primary\"},"
      "{\"name\": \"session\", \"depends_on\": [\"g\"], \"rank\": \"routine\","
      " \"deadline_ms\": 800, \"reads\": \"session\", \"max_age_ms\": 400},"
      "{\"name\": \"bounded\", \"depends_on\": [\"g\"], \"rank\": \"bulk\","
      " \"deadline_ms\": 1200, \"reads\": \"bounded\", \"max_age_ms\": 400}]}";

static void
statement_free (gpointer data)
{
  MdStatement *s = data;
  g_hash_table_unref (s->values);
  g_free (s->shape);
  g_free (s);
}

static void
world_init (World *w, guint64 seed)
{
  static const char *const services[] = { "primary", "session", "bounded" };
  memset (w, 0, sizeof *w);
  gm_random_seed (&w->random, seed);
  w->now = START;
  w->events = g_sequence_new (g_free);
  md_init (&w->group, note_violation);
  w->state = cs_new ();
  w->statements = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         statement_free);
  w->promised = g_array_new (FALSE, FALSE, sizeof (guint64));
  w->leader = to_new ("c0");
  g_strlcpy (w->leader_name, "c0", sizeof w->leader_name);
  w->round = 3;
  to_lead (w->leader, w->now, w->round);
  for (guint i = 0; i < HOSTS; i++)
    {
      Host *host = &w->hosts[i];
      host->world = w;
      g_snprintf (host->name, sizeof host->name, "h%u", i);
      host->incarnation = i + 1;
      host->state = cs_new ();
      host->router = sr_new ("dc0");
      for (guint j = 0; j < MD_DATABASES; j++)
        host->pools[j] = (Pool){
          .host = host,
          .database = &w->group.databases[j],
          .conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                          (GDestroyNotify)md_conn_free),
          .transactions
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL),
        };
    }
  g_autoptr (GBytes) text
      = g_bytes_new_static (declaration, strlen (declaration));
  WmMessage config = { .type = WM_TYPE_CMD_CONFIG,
                       .cmd_config = { .number = 1,
                                       .digest = (char *)"d",
                                       .text = text,
                                       .who = (char *)"test" } };
  commit (w, &config);
  for (guint i = 0; i < HOSTS; i++)
    announce_host (w, &w->hosts[i], TRUE);
  for (guint i = 0; i < MD_DATABASES; i++)
    announce (w, &w->group.databases[i]);
  for (guint i = 0; i < SESSIONS; i++)
    {
      Caller *c = &w->callers[i];
      c->world = w;
      c->host = &w->hosts[i % HOSTS];
      c->number = i + 1;
      c->session = sn_new (services[i % G_N_ELEMENTS (services)]);
      c->values
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      c->shapes
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      c->writes = g_array_new (FALSE, FALSE, sizeof (guint64));
      at (w, w->now + 100 * GM_MS + delay (w, 50 * GM_MS), next_statement, c);
    }
  at (w, w->now + TICK, tick, NULL);
}

static gboolean
step (World *w)
{
  GSequenceIter *first = g_sequence_get_begin_iter (w->events);
  if (g_sequence_iter_is_end (first))
    return FALSE;
  Event event = *(Event *)g_sequence_get (first);
  g_sequence_remove (first);
  w->now = event.at;
  event.run (w, event.data);
  return failure == NULL;
}

/* Ends the faults and checks what must be so in the end.  */
static void
settle (World *w)
{
  GmTime end = w->now + SETTLE;
  w->calm = TRUE;
  for (guint i = 0; i < MD_DATABASES; i++)
    w->group.databases[i].deaf = FALSE;
  for (guint i = 0; i < HOSTS; i++)
    announce_host (w, &w->hosts[i], TRUE);
  guint64 before = w->answers[GM_OK];
  while (w->now < end && step (w))
    if (w->now > end - SETTLE / 4 && before != 0)
      {
        before = 0;
        w->answers[GM_OK] = 0;
      }
  if (failure == NULL && w->answers[GM_OK] == 0)
    note_violation ("nothing is served after the faults have ended");
  for (guint i = 0; i < w->promised->len; i++)
    if (md_kept (&w->group, g_array_index (w->promised, guint64, i)))
      note_violation ("a write is kept that was said to have no effect");
  for (guint i = 0; i < w->group.acknowledged->len; i++)
    if (!md_kept (&w->group,
                  g_array_index (w->group.acknowledged, MdAck, i).uid))
      note_violation ("an acknowledged write is lost");
}

static gboolean
run_seed (guint64 seed, guint64 steps)
{
  World *w = g_new0 (World, 1);
  failure = NULL;
  world_init (w, seed);
  while (w->steps < steps && step (w))
    ;
  guint64 served = w->answers[GM_OK];
  if (failure == NULL)
    settle (w);
  printf ("seed=%" G_GUINT64_FORMAT " steps=%" G_GUINT64_FORMAT
          " ok=%" G_GUINT64_FORMAT " acknowledged=%u promised=%u "
          "promotions=%u%s%s\n",
          seed, w->steps, served, w->group.acknowledged->len, w->promised->len,
          w->promotions, failure != NULL ? " VIOLATION " : "",
          failure != NULL ? failure : "");
  /* The process ends soon; what the cores hold is left to it.  */
  return failure == NULL;
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "the first seed");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "how many");
  struct arg_int *steps = arg_int0 (NULL, "steps", "N", "statements a seed");
  struct arg_end *end = arg_end (4);
  void *table[] = { seed, seeds, steps, end };
  seed->ival[0] = 1;
  seeds->ival[0] = 1;
  steps->ival[0] = 4000;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "sessions");
      return 2;
    }
  guint violations = 0;
  for (int i = 0; i < seeds->ival[0]; i++)
    violations
        += run_seed ((guint64)(seed->ival[0] + i), (guint64)steps->ival[0])
               ? 0
               : 1;
  printf ("seeds=%d violations=%u\n", seeds->ival[0], violations);
  arg_freetable (table, G_N_ELEMENTS (table));
  return violations > 0 ? 1 : 0;
}
