#include "control.h"
#include "clog/filestore.h"
#include <json-c/json.h>
#include <string.h>

#define TICK_MS 10
#define REDIAL_DELAY (200 * GM_MS)
#define HISTORY_ENTRIES_MAX 500 /* in the answer to a history request */

/* Another control host, which this host dials.  */
typedef struct
{
  Control *control;
  char *host; /* NULL: a seed that has not been connected to yet */
  gboolean seed;
  CfAddress address;
  LkLink *link;
  GmTime dial_at; /* 0: already dialed */
} Peer;

struct Control
{
  DaemonTask task;
  Daemon *daemon;
  ClFileStore *files;
  CoCore *core;
  Takeover *takeover;        /* NULL: the dispatchers replace primaries */
  GPtrArray *peers;          /* Peer * */
  GHashTable *inbound_links; /* host -> number of the accepted link on which
                                it last sent a message */
  guint timer;
};

static void
peer_free (Peer *peer)
{
  lk_close (peer->link);
  g_free (peer->host);
  g_free (peer->address.ip);
  g_free (peer);
}

static Peer *
find_peer (const Control *c, const char *host)
{
  for (guint i = 0; i < c->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (c->peers, i);
      if (g_strcmp0 (peer->host, host) == 0)
        return peer;
    }
  return NULL;
}

/* Whether MESSAGE asks for an answer.  The receiver addresses the answer by
   the number of the link, and only accepted links have one, so such a message
   must go over a link that this host dialed.  */
static gboolean
needs_answer (const WmMessage *message)
{
  return message->type == WM_TYPE_PROPOSE || message->type == WM_TYPE_VOTER
         || message->type == WM_TYPE_STATUS_ASK;
}

/* The link to HOST for MESSAGE: the one that this host dialed, or else the one
   that HOST dialed.  A host that joins knows the leader's address only once
   the leader has sent the members, so at first it has just the leader's link.
 */
static LkLink *
find_link (const Control *c, const char *host, const WmMessage *message)
{
  const Peer *peer = find_peer (c, host);
  if (peer != NULL && peer->link != NULL && lk_is_up (peer->link))
    return peer->link;
  if (needs_answer (message))
    return NULL;
  gpointer number = g_hash_table_lookup (c->inbound_links, host);
  return number != NULL ? daemon_link (c->daemon, GPOINTER_TO_SIZE (number))
                        : NULL;
}

/* Carries out the actions of a takeover and sends the core's messages.  */
static void
pump (Control *c)
{
  CoSend send;
  if (c->takeover != NULL)
    takeover_pump (c->takeover);
  while (co_take_send (c->core, &send))
    {
      LkLink *link = send.link != 0 ? daemon_link (c->daemon, send.link)
                                    : find_link (c, send.to, &send.message);
      if (link != NULL)
        lk_send (link, &send.message);
      g_free (send.to);
      wm_clear (&send.message);
    }
}

/* Tells the log the names of the known peers, which a host that wants to join
   sends its requests to.  */
static void
set_log_peers (Control *c)
{
  g_autoptr (GPtrArray) hosts = g_ptr_array_new ();
  for (guint i = 0; i < c->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (c->peers, i);
      if (peer->host != NULL)
        g_ptr_array_add (hosts, peer->host);
    }
  cl_set_peers (co_log (c->core), (const char *const *)hosts->pdata,
                hosts->len);
}

static void
peer_up (LkLink *link, void *owner)
{
  Peer *peer = owner;
  if (g_strcmp0 (peer->host, lk_peer (link)) == 0)
    return;
  g_free (peer->host);
  peer->host = g_strdup (lk_peer (link));
  set_log_peers (peer->control);
}

static void
peer_message (LkLink *link, const WmMessage *m, void *owner)
{
  Control *c = ((Peer *)owner)->control;
  if (m->type == WM_TYPE_PROPOSED || m->type == WM_TYPE_STATUS_TEXT)
    co_receive_answer (c->core, m);
  else
    co_receive (c->core, daemon_now (c->daemon), 0, lk_peer (link), m);
  pump (c);
}

static void
peer_down (LkLink *link, void *owner)
{
  (void)link;
  Peer *peer = owner;
  peer->dial_at = daemon_now (peer->control->daemon) + REDIAL_DELAY;
}

static const LkHandler peer_handler
    = { .up = peer_up, .message = peer_message, .down = peer_down };

static gboolean
is_self (const Control *c, const Peer *peer)
{
  const CfSettings *settings = c->daemon->settings;
  return g_strcmp0 (peer->host, settings->host) == 0
         || (peer->address.port == settings->link.port
             && strcmp (peer->address.ip, settings->link.ip) == 0);
}

static Peer *
add_peer (Control *c, const char *host, const CfAddress *address)
{
  Peer *peer = g_new0 (Peer, 1);
  peer->control = c;
  peer->host = g_strdup (host);
  peer->address.ip = g_strdup (address->ip);
  peer->address.port = address->port;
  peer->dial_at = 1;
  g_ptr_array_add (c->peers, peer);
  return peer;
}

/* Adds the members that the settings don't name, with the address that they
   joined with.  A peer that is down and whose member has a new address,
   because the host was replaced, is dialed at the new address.  */
static void
add_member_peers (Control *c)
{
  const GPtrArray *members = cl_members (co_log (c->core));
  for (guint i = 0; i < members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (members, i);
      CfAddress address = { 0 };
      Peer *peer = find_peer (c, m->host);
      if (!cf_address_parse (m->address, &address))
        continue;
      if (peer != NULL && !(peer->link != NULL && lk_is_up (peer->link))
          && (peer->address.port != address.port
              || strcmp (peer->address.ip, address.ip) != 0))
        {
          g_ptr_array_remove (c->peers, peer);
          peer = NULL;
        }
      if (peer == NULL)
        add_peer (c, m->host, &address);
      g_free (address.ip);
    }
}

static void
dial_peers (Control *c)
{
  GmTime now = daemon_now (c->daemon);
  for (guint i = 0; i < c->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (c->peers, i);
      if (is_self (c, peer) || peer->dial_at == 0 || now < peer->dial_at)
        continue;
      lk_close (peer->link);
      peer->dial_at = 0;
      peer->link = lk_dial (&peer->address, &c->daemon->identity,
                            &peer_handler, peer);
    }
}

static gboolean
control_tick (gpointer data)
{
  Control *c = data;
  if (c->daemon->settings->uses_seeds)
    add_member_peers (c);
  dial_peers (c);
  co_tick (c->core, daemon_now (c->daemon), (guint64)g_get_real_time ());
  pump (c);
  return G_SOURCE_CONTINUE;
}

static void
add_text (json_object *o, const char *name, const char *text)
{
  json_object_object_add (o, name,
                          json_object_new_string (text != NULL ? text : ""));
}

static void
add_number (json_object *o, const char *name, guint64 number)
{
  json_object_object_add (o, name, json_object_new_int64 ((gint64)number));
}

static json_object *
hosts_json (Control *c)
{
  json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, co_state (c->core)->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *h = value;
      json_object *o = json_object_new_object ();
      guint64 config = 0, version = 0;
      mb_in_force (co_members (c->core), h->host, &config, &version);
      add_text (o, "host", h->host);
      add_text (o, "data_centre", h->data_centre);
      add_text (o, "caller", h->caller);
      add_number (o, "roles", h->roles);
      add_number (o, "config_in_force", config);
      add_number (o, "version_in_force", version);
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
databases_json (Control *c)
{
  json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, co_state (c->core)->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      const CsGroup *g = cs_group (co_state (c->core), d->group);
      gboolean primary = g != NULL && strcmp (g->primary, d->id) == 0;
      json_object *o = json_object_new_object ();
      add_text (o, "id", d->id);
      add_text (o, "group", d->group);
      add_text (o, "address", d->address);
      add_text (o, "role", primary ? "primary" : "replica");
      json_object_object_add (o, "leaving",
                              json_object_new_boolean (d->leaving));
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
groups_json (Control *c)
{
  json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, co_state (c->core)->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsGroup *g = value;
      const CsHost *owner = cs_dispatcher (co_state (c->core), g->group);
      json_object *o = json_object_new_object ();
      add_text (o, "group", g->group);
      add_number (o, "term", g->term);
      add_text (o, "primary", g->primary);
      add_text (o, "dispatcher", owner != NULL ? owner->host : "");
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
members_json (Control *c)
{
  json_object *list = json_object_new_array ();
  const GPtrArray *members = cl_members (co_log (c->core));
  for (guint i = 0; i < members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (members, i);
      json_object *o = json_object_new_object ();
      add_text (o, "host", m->host);
      add_text (o, "disk", m->disk);
      add_text (o, "role", m->voter ? "voter" : "learner");
      json_object_object_add (
          o, "settled",
          json_object_new_boolean (cl_members_committed (co_log (c->core))));
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
history_json (Control *c)
{
  json_object *list = json_object_new_array ();
  guint skip = co_state (c->core)->audit.length > HISTORY_ENTRIES_MAX
                   ? co_state (c->core)->audit.length - HISTORY_ENTRIES_MAX
                   : 0;
  for (GList *l
       = g_queue_peek_nth_link ((GQueue *)&co_state (c->core)->audit, skip);
       l != NULL; l = l->next)
    {
      const CsAudit *a = l->data;
      json_object *o = json_object_new_object ();
      g_autoptr (GDateTime) when
          = g_date_time_new_from_unix_utc ((gint64)(a->when / 1000000));
      g_autofree char *text = g_date_time_format_iso8601 (when);
      add_number (o, "version", a->version);
      add_text (o, "when", text);
      add_text (o, "who", a->who);
      add_text (o, "what", a->what);
      add_number (o, "number", a->number);
      add_text (o, "digest", a->digest);
      add_text (o, "outcome", gm_kind_text (a->kind));
      json_object_array_add (list, o);
    }
  return list;
}

static json_object *
status_json (Control *c)
{
  json_object *o = json_object_new_object ();
  add_text (o, "leader", cl_leader (co_log (c->core)));
  add_number (o, "control_term", cl_term (co_log (c->core)));
  add_number (o, "version", co_state (c->core)->version);
  add_number (o, "config", co_state (c->core)->history->len);
  json_object_object_add (o, "control", members_json (c));
  json_object_object_add (o, "groups", groups_json (c));
  json_object_object_add (o, "databases", databases_json (c));
  json_object_object_add (o, "hosts", hosts_json (c));
  return o;
}

static void
answer_status_ask (Control *c, LkLink *link, const WmMessage *m)
{
  if (co_forward (c->core, m))
    return;
  json_object *o
      = m->status_ask.history != 0 ? history_json (c) : status_json (c);
  const char *text = json_object_to_json_string_ext (
      o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE);
  g_autoptr (GBytes) block = g_bytes_new (text, strlen (text));
  json_object_put (o);
  WmMessage answer = { .type = WM_TYPE_STATUS_TEXT,
                       .status_text = { .sequence = m->status_ask.sequence,
                                        .host = m->status_ask.host,
                                        .text = block } };
  lk_send (link, &answer);
}

static gboolean
control_message (DaemonTask *task, guint64 number, LkLink *link,
                 const WmMessage *m)
{
  Control *c = (Control *)task;
  g_hash_table_replace (c->inbound_links, g_strdup (lk_peer (link)),
                        GSIZE_TO_POINTER (number));
  if (m->type == WM_TYPE_STATUS_ASK)
    answer_status_ask (c, link, m);
  else
    co_receive (c->core, daemon_now (c->daemon), number, lk_peer (link), m);
  pump (c);
  return TRUE;
}

static gboolean
has_link_number (gpointer host, gpointer link, gpointer number)
{
  (void)host;
  return link == number;
}

static void
control_link_down (DaemonTask *task, guint64 number)
{
  Control *c = (Control *)task;
  g_hash_table_foreach_remove (c->inbound_links, has_link_number,
                               GSIZE_TO_POINTER (number));
  co_link_down (c->core, daemon_now (c->daemon), number);
  pump (c);
}

void
control_set_takeover_driver (Control *c, const TakeoverDriver *driver)
{
  co_set_takeover (c->core);
  c->takeover = takeover_new (c->daemon, co_takeover (c->core), driver);
}

const CsState *
control_state (const Control *c)
{
  return co_state (c->core);
}

gboolean
control_is_current (Control *c, GmTime since)
{
  return co_is_current (c->core, daemon_now (c->daemon), since);
}

static gboolean
has_peer_at (const Control *c, const CfAddress *address)
{
  for (guint i = 0; i < c->peers->len; i++)
    {
      const Peer *peer = g_ptr_array_index (c->peers, i);
      if (peer->address.port == address->port
          && strcmp (peer->address.ip, address->ip) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
add_configured_peers (Control *c)
{
  const GPtrArray *configured = c->daemon->settings->peers;
  for (guint i = 0; i < configured->len; i++)
    {
      const CfPeer *entry = g_ptr_array_index (configured, i);
      if (!has_peer_at (c, &entry->address))
        add_peer (c, entry->host, &entry->address);
    }
  set_log_peers (c);
}

static void
control_settings_changed (DaemonTask *task)
{
  add_configured_peers ((Control *)task);
}

/* Whether this host has the lowest address of the seeds, so that it bootstraps
   the group.  All hosts have the same list of seeds when the system starts for
   the first time.  */
static gboolean
is_first_seed (const CfSettings *settings)
{
  g_autofree char *self
      = g_strdup_printf ("%s:%u", settings->link.ip, settings->link.port);
  gboolean self_listed = FALSE;
  for (guint i = 0; i < settings->peers->len; i++)
    {
      const CfPeer *seed = g_ptr_array_index (settings->peers, i);
      g_autofree char *address
          = g_strdup_printf ("%s:%u", seed->address.ip, seed->address.port);
      if (strcmp (address, self) < 0)
        return FALSE;
      self_listed = self_listed || strcmp (address, self) == 0;
    }
  return self_listed;
}

/* Configures the log for seeds or listed peers, and bootstraps a new group
   when BOOTSTRAP is set or this host is the first seed.  */
static GmKind
form_group (Control *c, gboolean bootstrap, GmStatus *status)
{
  const CfSettings *settings = c->daemon->settings;
  ClCore *log = co_log (c->core);
  GmTime now = daemon_now (c->daemon);
  co_set_voters_min (c->core, (guint)settings->voters_min);
  if (settings->uses_seeds)
    cl_set_unique_hosts (log, (guint)settings->voters_min);
  if (bootstrap)
    return cl_bootstrap (log, now, status);
  /* A log that is not empty already belongs to a group.  */
  if (settings->uses_seeds && settings->may_create_group
      && is_first_seed (settings) && cl_last_index (log) == 0
      && cl_term (log) == 0)
    return cl_bootstrap (log, now, status);
  return gm_ok (status);
}

static void
control_free (DaemonTask *task)
{
  Control *c = (Control *)task;
  g_clear_handle_id (&c->timer, g_source_remove);
  g_ptr_array_unref (c->peers);
  g_hash_table_unref (c->inbound_links);
  takeover_free (c->takeover);
  if (c->core != NULL)
    co_free (c->core);
  if (c->files != NULL)
    {
      ClStore *store = cl_file_store (c->files);
      store->class->free (store);
    }
  g_free (c);
}

static const DaemonTaskClass control_class
    = { .message = control_message,
        .link_down = control_link_down,
        .settings_changed = control_settings_changed,
        .free = control_free };

Control *
control_new (Daemon *daemon, gboolean bootstrap, GmStatus *status)
{
  const CfSettings *settings = daemon->settings;
  GmTime now = daemon_now (daemon);
  Control *c = g_new0 (Control, 1);
  c->task.class = &control_class;
  c->daemon = daemon;
  c->peers = g_ptr_array_new_with_free_func ((GDestroyNotify)peer_free);
  c->inbound_links
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->files = cl_file_store_open (settings->data, status);
  if (c->files != NULL)
    {
      g_autofree char *address
          = g_strdup_printf ("%s:%u", settings->link.ip, settings->link.port);
      CoIdentity self = { settings->host, cl_file_store_disk (c->files),
                          address, daemon->identity.incarnation };
      c->core = co_open (&self, cl_file_store (c->files), now, status);
    }
  if (c->core == NULL || form_group (c, bootstrap, status) != GM_OK)
    {
      control_free (&c->task);
      return NULL;
    }
  if (cl_file_store_truncated_bytes (c->files) > 0)
    gm_log (GM_EV_TAIL_CUT, "%u bytes",
            (guint)cl_file_store_truncated_bytes (c->files));
  add_configured_peers (c);
  c->timer = g_timeout_add (TICK_MS, control_tick, c);
  daemon_add (daemon, &c->task);
  return c;
}
