/* Customers, their keys and the stamps of hosts.  A commit of the control
   state acknowledges it.  */
#include "sessions.h"
#include <string.h>

#define STAMP_INTERVAL (200 * GM_MS)
/* Longer than any delay of a state, cut or suspension.  */
#define LONG_HELD (15 * GM_SECOND)

static const char *const names[] = { "acme", "other" };
static const char *const services[] = { "primary", "session", "bounded" };

static void
put_keys (const World *w, GString *out, gint64 customer)
{
  const char *comma = "";
  for (guint i = 0; i < KEYS; i++)
    {
      const GArray *holdings = w->holdings[i];
      const Holding *last
          = &g_array_index (holdings, Holding, holdings->len - 1);
      if (last->customer != customer)
        continue;
      g_string_append_printf (out, "%s\"key%u\"", comma, i);
      comma = ",";
    }
}

static void
commit_declaration (World *w)
{
  g_autoptr (GString) out = g_string_new (NULL);
  g_string_append_printf (
      out,
      "{\"number\": %" G_GUINT64_FORMAT ", \"groups\": [{\"name\": \"g\"}], "
      "\"services\": ["
      "{\"name\": \"primary\", \"depends_on\": [\"g\"], \"rank\": "
      "\"urgent\", \"deadline_ms\": 800, \"reads\": \"primary\"},"
      "{\"name\": \"session\", \"depends_on\": [\"g\"], \"rank\": "
      "\"routine\", \"deadline_ms\": 800, \"reads\": \"session\", "
      "\"max_age_ms\": 400},"
      "{\"name\": \"bounded\", \"depends_on\": [\"g\"], \"rank\": \"bulk\", "
      "\"deadline_ms\": 1200, \"reads\": \"bounded\", \"max_age_ms\": 400, "
      "\"public\": true}], \"customers\": [",
      ++w->declarations);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_string_append_printf (out, "%s{\"name\": \"%s\", \"keys\": [",
                              i > 0 ? "," : "", names[i]);
      put_keys (w, out, i);
      g_string_append (out, "]}");
    }
  g_string_append (out, "]}");
  g_autoptr (GBytes) text = g_bytes_new (out->str, out->len);
  WmMessage config = { .type = WM_TYPE_CMD_CONFIG,
                       .cmd_config = { .number = w->declarations,
                                       .digest = (char *)"d",
                                       .text = text,
                                       .who = (char *)"test" } };
  sw_commit (w, &config);
}

static void
give_key (World *w, guint key, gint64 customer)
{
  Holding holding = { w->now, customer };
  g_array_append_val (w->holdings[key], holding);
}

void
sw_init_customers (World *w)
{
  for (guint i = 0; i < KEYS; i++)
    {
      w->holdings[i] = g_array_new (FALSE, FALSE, sizeof (Holding));
      give_key (w, i, i % G_N_ELEMENTS (names));
    }
  commit_declaration (w);
  for (guint i = 0; i < HOSTS; i++)
    {
      w->hosts[i].stamped = G_MININT64 / 4;
      w->hosts[i].lease.revocation = REVOCATION;
    }
  for (guint i = 0; i < SESSIONS; i++)
    {
      w->callers[i].key = i + 1 < SESSIONS ? (gint64)(i % KEYS) : -1;
      w->callers[i].disconnected = TRUE;
    }
}

void
sw_change_keys (World *w)
{
  if (!sw_chance (w, 10))
    return;
  guint key = (guint)gm_random_below (&w->random, KEYS);
  give_key (w, key,
            (gint64)gm_random_below (&w->random, G_N_ELEMENTS (names) + 1)
                - 1);
  commit_declaration (w);
}

void
sw_grant_keys (World *w)
{
  for (guint i = 0; i < KEYS; i++)
    give_key (w, i, i % G_N_ELEMENTS (names));
  commit_declaration (w);
}

/* Says that VERSION was the newest state at the time AT.  */
typedef struct
{
  Host *host;
  GmTime at;
  guint64 version;
} Stamp;

static void
receive_stamp (World *w, gpointer data)
{
  Stamp *stamp = data;
  Host *host = stamp->host;
  if (w->now < host->frozen_until)
    {
      sw_at (w, host->frozen_until + sw_delay (w, 5 * GM_MS), receive_stamp,
             stamp);
      return;
    }
  if (w->now >= host->cut_off_until && host->state->version >= stamp->version)
    host->stamped = MAX (host->stamped, stamp->at);
  g_free (stamp);
}

void
sw_send_stamps (World *w)
{
  if (w->now % STAMP_INTERVAL != START_TIME % STAMP_INTERVAL)
    return;
  for (guint i = 0; i < HOSTS; i++)
    {
      Stamp *stamp = g_new0 (Stamp, 1);
      stamp->host = &w->hosts[i];
      stamp->at = w->now;
      stamp->version = w->version;
      sw_at (w, w->now + sw_delay (w, 10 * GM_MS), receive_stamp, stamp);
    }
}

void
sw_disturb_hosts (World *w)
{
  Host *host = &w->hosts[gm_random_below (&w->random, HOSTS)];
  if (w->now < host->frozen_until)
    return;
  if (sw_chance (w, 3))
    host->frozen_until = w->now + sw_delay (w, 3 * GM_SECOND);
  else if (sw_chance (w, 3))
    host->cut_off_until = w->now + sw_delay (w, 4 * GM_SECOND);
  else if (sw_chance (w, 2))
    sw_restart_host (w, host);
}

/* Whether somebody (ANYBODY) or CUSTOMER held KEY at a time from SINCE to
   now.  */
static gboolean
was_held (const World *w, gint64 key, GmTime since, gboolean anybody,
          const char *customer)
{
  const GArray *holdings = w->holdings[key];
  for (guint i = 0; i < holdings->len; i++)
    {
      const Holding *h = &g_array_index (holdings, Holding, i);
      gboolean over
          = i + 1 < holdings->len
            && g_array_index (holdings, Holding, i + 1).since < since;
      const char *name = h->customer >= 0 ? names[h->customer] : NULL;
      if (!over && (anybody ? name != NULL : g_strcmp0 (name, customer) == 0))
        return TRUE;
    }
  return FALSE;
}

void
sw_check_customer (World *w, const MdStatement *s, const char *customer,
                   const MdConn *conn)
{
  if (!w->customers)
    return;
  if (customer == NULL && !s->is_public)
    sw_violation ("a statement runs without a customer");
  if (customer != NULL && s->key < 0)
    sw_violation ("a statement without a key runs for a customer");
  if (customer != NULL && s->key >= 0
      && !was_held (w, s->key, s->sent - REVOCATION, FALSE, customer))
    sw_violation ("a statement runs under a key that its customer lost "
                  "longer ago than the bound");
  if (w->own_connections && g_strcmp0 (conn->customer, customer) != 0)
    sw_violation ("a statement runs on another customer's connection");
}

/* Whether KEY had a holder at every time from SINCE to now.  */
static gboolean
was_always_held (const World *w, gint64 key, GmTime since)
{
  const GArray *holdings = w->holdings[key];
  for (guint i = 0; i < holdings->len; i++)
    {
      const Holding *h = &g_array_index (holdings, Holding, i);
      gboolean over
          = i + 1 < holdings->len
            && g_array_index (holdings, Holding, i + 1).since < since;
      if (!over && h->customer < 0)
        return FALSE;
    }
  return TRUE;
}

void
sw_check_answer (World *w, const Caller *c, GmKind kind)
{
  const MdStatement *s = c->statement;
  gboolean is_served = kind == GM_OK && c->verb != SN_ROLLBACK;
  if (is_served && !s->is_public && s->key >= 0
      && !was_held (w, s->key, s->sent - REVOCATION, TRUE, NULL))
    sw_violation ("a statement is answered under a key that was withdrawn "
                  "longer ago than the bound");
  if (kind == GM_UNAUTHORIZED && s->is_public)
    sw_violation ("a public service refuses a caller");
  if (kind == GM_UNAUTHORIZED && s->key >= 0
      && was_always_held (w, s->key, w->now - LONG_HELD))
    sw_violation ("a key that a customer has is refused");
}

/* Forgets the session of C.  */
static void
leave (World *w, Caller *c)
{
  sn_free (c->session);
  c->session = NULL;
  c->number = ++w->last_session;
  c->statement = NULL;
  c->in_transaction = FALSE;
  c->last_write = (TkPoint){ 0, 0 };
  g_array_set_size (c->transaction_writes, 0);
  g_hash_table_remove_all (c->session_values);
  g_hash_table_remove_all (c->prepared_shapes);
  c->presented_at = w->now;
}

static void
join (World *w, Caller *c, const char *service, const CfKeyDigest *key)
{
  c->session = sn_new (service);
  sn_set_key (c->session, key);
  c->disconnected = FALSE;
  c->presented_at = 0;
  sw_at (w, w->now + sw_delay (w, 20 * GM_MS), sw_next_statement, c);
}

void
sw_connect (World *w, gpointer data)
{
  Caller *c = data;
  Host *host = c->host;
  const char *name = services[(c - w->callers) % G_N_ELEMENTS (services)];
  if (c->session != NULL)
    leave (w, c);
  const CfDeclaration *declaration = cs_declaration (host->state);
  if (w->now < host->frozen_until || declaration == NULL || host->stamped < 0)
    {
      sw_at (w, w->now + sw_delay (w, 40 * GM_MS), sw_connect, c);
      return;
    }
  g_autofree char *text = g_strdup_printf ("key%u", (guint)c->key);
  CfKeyDigest digest;
  cf_key_digest (text, &digest);
  const CfKeyDigest *key = c->key >= 0 ? &digest : NULL;
  CuLeaseState lease
      = cu_lease_check (&host->lease, w->now, w->now - host->stamped);
  CuVerdict verdict
      = cu_identify_new (declaration, cf_service_find (declaration, name), key,
                         lease, w->now, c->presented_at, host->stamped);
  if (verdict == CU_ACCEPTED)
    {
      join (w, c, name, key);
      return;
    }
  if (verdict == CU_UNKNOWN_KEY && c->key >= 0
      && was_always_held (w, c->key, w->now - LONG_HELD))
    sw_violation ("a key that a customer has is refused at the start");
  if (verdict != CU_WAIT)
    c->presented_at = w->now;
  sw_at (w, w->now + sw_delay (w, 40 * GM_MS), sw_connect, c);
}
