#include "sessions.h"
#include <string.h>

static SnContext
view_of (const Caller *c)
{
  const World *w = c->world;
  Host *host = c->host;
  CuLeaseState lease = w->customers ? cu_lease_check (&host->lease, w->now,
                                                      w->now - host->stamped)
                                    : CU_LEASE_HOLDS;
  return (SnContext){
    .now = w->now, .state = host->state, .router = host->router, .lease = lease
  };
}

/* Whether the host of C is suspended; RUN is then called again later.  */
static gboolean
is_suspended (World *w, const Caller *c, void (*run) (World *, gpointer),
              gpointer data)
{
  if (w->now >= c->host->frozen_until)
    return FALSE;
  sw_at (w, c->host->frozen_until + sw_delay (w, 5 * GM_MS), run, data);
  return TRUE;
}

static void retry_later (World *w, gpointer data);

static void
record_not_run (World *w, guint64 uid)
{
  g_array_append_val (w->not_run, uid);
  if (md_primary_has_write (&w->group, uid))
    sw_violation ("a write that was reported as not run is in the log");
}

static void
check_success (World *w, Caller *c, const SnStep *step)
{
  const MdStatement *s = c->statement;
  gboolean ours = step->signature == NULL;
  gboolean ends = s->ends_transaction && !(c->verb == SN_ROLLBACK);
  g_autofree char *uid = g_strdup_printf ("%" G_GUINT64_FORMAT, s->uid);
  gboolean data = c->verb == SN_READ || c->verb == SN_WRITE
                  || c->verb == SN_EXECUTE || c->verb == SN_COMMIT;
  if (data && (ours || strcmp (step->signature, uid) != 0))
    sw_violation (
        "a successful answer does not carry its own statement's signature");
  if (s->writes && !c->in_transaction
      && !md_is_acknowledged (&w->group, s->uid))
    sw_violation ("an acknowledged write is on no replica");
  for (guint i = 0; ends && i < c->transaction_writes->len; i++)
    if (!md_is_acknowledged (
            &w->group, g_array_index (c->transaction_writes, guint64, i)))
      sw_violation ("an acknowledged commit is on no replica");
}

/* Sets NAME to VALUE in TABLE, which holds session values or prepared shapes
   of C, and keeps what it replaces until the answer comes.  */
static void
set_in_model (Caller *c, GHashTable *table, const char *name,
              const char *value)
{
  g_free (c->former_name);
  g_free (c->former_value);
  c->former_name = g_strdup (name);
  c->former_value = g_strdup (g_hash_table_lookup (table, name));
  g_hash_table_replace (table, g_strdup (name), g_strdup (value));
}

/* The statement that set or prepared something was refused.  */
static void
restore_model (Caller *c)
{
  if (c->verb != SN_SET && c->verb != SN_PREPARE)
    return;
  GHashTable *table
      = c->verb == SN_SET ? c->session_values : c->prepared_shapes;
  if (c->former_value == NULL)
    g_hash_table_remove (table, c->former_name);
  else
    g_hash_table_replace (table, g_strdup (c->former_name),
                          g_strdup (c->former_value));
}

static void
finish (World *w, Caller *c, const SnStep *step)
{
  const MdStatement *s = c->statement;
  gboolean none = gm_kind_ran (step->kind) == GM_RAN_NO;
  w->answers[step->kind]++;
  if (step->kind == GM_UNKNOWN_SERVICE
      && cf_service_find (cs_declaration (c->host->state),
                          sn_service (c->session))
             != NULL
      && c->host->state->number == w->declarations && w->all_declared != 0
      && w->all_declared <= c->arrived)
    sw_violation ("a service that the entry host knows is refused as unknown");
  if (step->kind == GM_OK)
    check_success (w, c, step);
  else
    restore_model (c);
  if (w->customers)
    sw_check_answer (w, c, step->kind);
  c->disconnected = c->disconnected || step->kind == GM_UNAUTHORIZED
                    || (w->customers && step->kind == GM_STALE);
  if (none && s->writes)
    record_not_run (w, s->uid);
  for (guint i = 0;
       none && c->in_transaction && i < c->transaction_writes->len; i++)
    record_not_run (w, g_array_index (c->transaction_writes, guint64, i));
  gboolean wrote
      = s->writes || (s->ends_transaction && c->transaction_writes->len > 0);
  if (step->kind == GM_OK && wrote
      && (!c->in_transaction || s->ends_transaction) && c->verb != SN_ROLLBACK)
    c->last_write = sn_position (c->session);
  if (s->writes && c->in_transaction && step->kind == GM_OK)
    g_array_append_val (c->transaction_writes, s->uid);
  if (step->kind != GM_OK && s->writes && c->in_transaction && !none)
    g_array_append_val (c->transaction_writes, s->uid);
  if (s->ends_transaction)
    {
      c->in_transaction = FALSE;
      g_array_set_size (c->transaction_writes, 0);
    }
  c->sequence = 0;
  c->statement = NULL;
  sw_at (w, w->now + sw_delay (w, 20 * GM_MS), sw_next_statement, c);
}

static void
run_step (World *w, Caller *c, SnStep *step)
{
  if (step->release_host != NULL)
    sw_send (w, c, step->release_host, &step->release);
  if (step->next == SN_SEND)
    {
      c->sequence = ++w->last_sequence;
      step->statement.statement.sequence = c->sequence;
      sw_send (w, c, step->host, &step->statement);
      sw_at (w,
             w->now + (GmTime)step->statement.statement.deadline
                 + SN_ANSWER_GRACE,
             sw_time_out, g_memdup2 (&c->sequence, sizeof c->sequence));
    }
  else if (step->next == SN_WAIT)
    {
      c->sequence = 0;
      sw_at (w, step->until, retry_later, c);
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

void
sw_deliver_answer (World *w, gpointer data)
{
  InFlightMessage *parcel = data;
  const struct wm_statement_done *done = &parcel->message.statement_done;
  Caller *c = waiting_for (w, done->sequence);
  if (c != NULL && is_suspended (w, c, sw_deliver_answer, data))
    return;
  if (c != NULL && c->host == parcel->to)
    {
      SnContext view = view_of (c);
      SnStep step;
      sn_result (c->session, &view, done, &step);
      run_step (w, c, &step);
    }
  wm_clear (&parcel->message);
  g_free (parcel);
}

void
sw_lose_statement (World *w, Caller *c)
{
  SnContext view = view_of (c);
  SnStep step;
  c->sequence = 0;
  sn_lost (c->session, &view, TRUE, &step);
  run_step (w, c, &step);
}

void
sw_time_out (World *w, gpointer data)
{
  guint64 *sequence = data;
  Caller *c = waiting_for (w, *sequence);
  if (c != NULL && is_suspended (w, c, sw_time_out, data))
    return;
  if (c != NULL)
    sw_lose_statement (w, c);
  g_free (sequence);
}

static void
retry_later (World *w, gpointer data)
{
  Caller *c = data;
  if (c->disconnected)
    {
      sw_next_statement (w, c);
      return;
    }
  if (is_suspended (w, c, retry_later, c))
    return;
  SnContext view = view_of (c);
  SnStep step;
  sn_retry (c->session, &view, &step);
  run_step (w, c, &step);
}

/* Returns the position that a read of C arriving now must see.  */
static TkPoint
required_point (World *w, const Caller *c)
{
  GmTime since = c->in_transaction ? c->transaction_began : c->arrived;
  const char *service = sn_service (c->session);
  if (strcmp (service, "primary") == 0)
    return md_highest_acknowledged (&w->group, since);
  TkPoint point = md_highest_acknowledged (&w->group, since - MAX_AGE);
  if (strcmp (service, "session") == 0
      && tk_point_compare (c->last_write, point) > 0)
    point = c->last_write;
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
  if (n < 70 && g_hash_table_size (c->prepared_shapes) > 0)
    return SN_EXECUTE;
  return n < 85 ? SN_READ : SN_WRITE;
}

/* Fills in ST and S for a random statement of VERB.  */
static void
draw_statement (World *w, Caller *c, SnVerb verb, SnStatement *st,
                MdStatement *s)
{
  guint n = (guint)gm_random_below (&w->random, 3);
  st->verb = verb;
  st->id = g_strdup_printf ("%" G_GUINT64_FORMAT, s->uid);
  st->text = g_strdup (st->id);
  s->writes = verb == SN_WRITE;
  s->ends_transaction = verb == SN_COMMIT || verb == SN_ROLLBACK;
  if (verb == SN_SET)
    {
      st->name = g_strdup_printf ("v%u", n);
      st->argument
          = g_strdup_printf ("%u", (guint)gm_random_below (&w->random, 4));
      set_in_model (c, c->session_values, st->name, st->argument);
    }
  else if (verb == SN_PREPARE)
    {
      gboolean writes = gm_random_below (&w->random, 2) == 0;
      st->name = g_strdup_printf ("s%u", n);
      st->writes = writes;
      st->argument = g_strdup_printf ("%s q%u", writes ? "WRITE" : "READ",
                                      (guint)gm_random_below (&w->random, 5));
      set_in_model (c, c->prepared_shapes, st->name, st->argument);
    }
  else if (verb == SN_EXECUTE)
    {
      GHashTableIter iter;
      gpointer key, value;
      g_hash_table_iter_init (&iter, c->prepared_shapes);
      g_hash_table_iter_next (&iter, &key, &value);
      st->name = g_strdup (key);
      st->argument = g_strdup ("item");
      s->shape = g_strdup (value);
      s->writes = g_str_has_prefix (value, "WRITE");
    }
  else if (verb == SN_BEGIN)
    st->read_only = gm_random_below (&w->random, 3) == 0;
}

void
sw_handle_statement (World *w, gpointer data)
{
  Caller *c = data;
  if (!c->disconnected && is_suspended (w, c, sw_handle_statement, c))
    return;
  if (c->disconnected)
    {
      sn_statement_clear (&c->unread);
      sw_connect (w, c);
      return;
    }
  SnContext view = view_of (c);
  SnStep step;
  sn_submit (c->session, &view, &c->unread, &step);
  run_step (w, c, &step);
}

void
sw_next_statement (World *w, gpointer data)
{
  Caller *c = data;
  if (c->disconnected)
    {
      sw_connect (w, c);
      return;
    }
  SnVerb verb = draw_verb (w, c);
  SnStatement st = { 0 };
  MdStatement *s = g_new0 (MdStatement, 1);
  s->uid = ++w->last_uid;
  s->session = c->number;
  s->key = c->key;
  s->sent = w->now;
  s->is_public = strcmp (sn_service (c->session), "bounded") == 0;
  c->arrived = w->now;
  w->steps++;
  if (sn_state (c->session) == SN_FAILED)
    verb = SN_ROLLBACK;
  draw_statement (w, c, verb, &st, s);
  if (verb == SN_BEGIN)
    {
      c->in_transaction = TRUE;
      c->transaction_began = w->now;
      c->read_only = st.read_only;
    }
  s->values = copy_table (c->session_values);
  s->required = required_point (w, c);
  g_hash_table_insert (w->statements, &s->uid, s);
  c->statement = s;
  c->verb = verb;
  c->unread = st;
  sw_handle_statement (w, c);
}
