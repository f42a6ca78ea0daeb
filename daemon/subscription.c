#include "subscription.h"
#include "control/subscriber.h"
#include <string.h>

#define TICK_MS 20
/* Between ticks while the copy is current: a tenth of SB_STAMP_TIMEOUT.  */
#define CALM_TICK_MS 50
#define REQUEST_TIMEOUT (4 * GM_SECOND)

/* A request that the leader has not answered yet.  */
typedef struct
{
  guint64 sequence;
  SubscriptionAnswer answer;
  gpointer data;
  GmTime deadline;
} PendingRequest;

struct Subscription
{
  DaemonTask task;
  Daemon *daemon;
  SbCore *core;
  GPtrArray *addresses; /* CfAddress *, of the known control hosts */
  LkLink *link;
  guint64 last_sequence;
  GHashTable *pending; /* sequence -> PendingRequest */
  guint timer;
};

const CsState *
subscription_state (const Subscription *s)
{
  return sb_state (s->core);
}

gboolean
subscription_is_fresh (const Subscription *s)
{
  return sb_is_fresh (s->core, daemon_now (s->daemon));
}

gboolean
subscription_is_cut_off (const Subscription *s)
{
  return sb_is_cut_off (s->core, daemon_now (s->daemon));
}

GmTime
subscription_stamp_age (const Subscription *s)
{
  return sb_age (s->core, daemon_now (s->daemon));
}

static void
address_free (CfAddress *address)
{
  g_free (address->ip);
  g_free (address);
}

static void
add_address (Subscription *s, const CfAddress *address)
{
  for (guint i = 0; i < s->addresses->len; i++)
    {
      const CfAddress *other = g_ptr_array_index (s->addresses, i);
      if (other->port == address->port && strcmp (other->ip, address->ip) == 0)
        return;
    }
  CfAddress *copy = g_new0 (CfAddress, 1);
  copy->ip = g_strdup (address->ip);
  copy->port = address->port;
  g_ptr_array_add (s->addresses, copy);
}

/* Collects the addresses of the control hosts from the settings and from the
   state, since the hosts in the settings may have been replaced.  */
static void
update_addresses (Subscription *s)
{
  const GPtrArray *peers = s->daemon->settings->peers;
  g_ptr_array_set_size (s->addresses, 0);
  for (guint i = 0; i < peers->len; i++)
    add_address (s, &((CfPeer *)g_ptr_array_index (peers, i))->address);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sb_state (s->core)->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      CfAddress address = { 0 };
      if ((host->roles & CS_CONTROL) != 0
          && cf_address_parse (host->link, &address))
        add_address (s, &address);
      g_free (address.ip);
    }
  sb_set_peers (s->core, s->addresses->len);
}

static void
state_changed (Subscription *s)
{
  const CsState *state = sb_state (s->core);
  gm_gauge (GM_M_state_version, state->version);
  gm_gauge (GM_M_config_number, state->history->len);
  if (s->daemon->settings->uses_seeds)
    update_addresses (s);
  daemon_state_changed (s->daemon);
}

static void
finish_request (Subscription *s, guint64 sequence, GmKind kind,
                const char *message, GBytes *text)
{
  PendingRequest *ask = g_hash_table_lookup (s->pending, &sequence);
  if (ask == NULL)
    return;
  g_hash_table_steal (s->pending, &sequence);
  ask->answer (kind, message, text, ask->data);
  g_free (ask);
}

/* Fails the pending requests whose deadline is at or before BEFORE.  */
static void
fail_requests (Subscription *s, GmTime before, GmKind kind,
               const char *message)
{
  g_autoptr (GArray) failed = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((PendingRequest *)value)->deadline <= before)
      g_array_append_val (failed, ((PendingRequest *)value)->sequence);
  for (guint i = 0; i < failed->len; i++)
    finish_request (s, g_array_index (failed, guint64, i), kind, message,
                    NULL);
}

static void
on_up (LkLink *link, void *owner)
{
  (void)link;
  Subscription *s = owner;
  sb_link_up (s->core, daemon_now (s->daemon));
  subscription_heartbeat (s);
}

static void
drop_link (Subscription *s)
{
  lk_close (s->link);
  s->link = NULL;
  fail_requests (
      s, G_MAXINT64, GM_OUTCOME_UNKNOWN,
      "the link to the control host was lost; send the request again");
}

static void
on_down (LkLink *link, void *owner)
{
  (void)link;
  Subscription *s = owner;
  sb_link_down (s->core, daemon_now (s->daemon));
  drop_link (s);
}

static void
on_message (LkLink *link, const WmMessage *m, void *owner)
{
  (void)link;
  Subscription *s = owner;
  if (m->type == WM_TYPE_PROPOSED)
    finish_request (s, m->proposed.sequence,
                    gm_kind_from_number (m->proposed.kind),
                    m->proposed.message, NULL);
  else if (m->type == WM_TYPE_STATUS_TEXT)
    finish_request (s, m->status_text.sequence, GM_OK, "",
                    m->status_text.text);
  else if (sb_receive (s->core, daemon_now (s->daemon), m))
    {
      state_changed (s);
      subscription_heartbeat (s);
    }
}

static const LkHandler handler
    = { .up = on_up, .message = on_message, .down = on_down };

static void
dial (Subscription *s)
{
  s->link = lk_dial (g_ptr_array_index (s->addresses, sb_peer (s->core)),
                     &s->daemon->identity, &handler, s);
}

void
subscription_heartbeat (Subscription *s)
{
  const CfSettings *settings = s->daemon->settings;
  g_autofree char *caller
      = settings->caller.ip != NULL ? g_strdup_printf (
            "%s:%u", settings->caller.ip, settings->caller.port)
                                    : g_strdup ("");
  g_autofree char *link
      = g_strdup_printf ("%s:%u", settings->link.ip, settings->link.port);
  const CsState *state = sb_state (s->core);
  guint64 roles = (settings->entry ? CS_ENTRY : 0)
                  | (settings->dispatcher ? CS_DISPATCHER : 0)
                  | (settings->control ? CS_CONTROL : 0)
                  | (settings->pool ? CS_POOL : 0);
  WmMessage m
      = { .type = WM_TYPE_SUBSCRIBE,
          .subscribe = { .host = settings->host,
                         .incarnation = s->daemon->identity.incarnation,
                         .version = state->version,
                         .config = state->history->len,
                         .sent = (guint64)daemon_now (s->daemon),
                         .draining = s->daemon->draining ? 1 : 0,
                         .caller = caller,
                         .link = link,
                         .data_centre = settings->data_centre,
                         .roles = roles,
                         .link_rate = (guint64)(settings->link_mbps * 1e6) } };
  subscription_send (s, &m);
}

gboolean
subscription_send (Subscription *s, const WmMessage *m)
{
  return s->link != NULL && lk_send (s->link, m);
}

void
subscription_ask (Subscription *s, WmMessage *m, SubscriptionAnswer answer,
                  gpointer data)
{
  guint64 sequence = ++s->last_sequence;
  char *host = s->daemon->settings->host;
  if (m->type == WM_TYPE_PROPOSE)
    {
      m->propose.sequence = sequence;
      m->propose.host = host;
    }
  else if (m->type == WM_TYPE_STATUS_ASK)
    {
      m->status_ask.sequence = sequence;
      m->status_ask.host = host;
    }
  else
    {
      m->voter.sequence = sequence;
      m->voter.host = host;
    }
  if (!subscription_send (s, m))
    {
      answer (GM_UNAVAILABLE, "no link to a control host", NULL, data);
      return;
    }
  PendingRequest *ask = g_new0 (PendingRequest, 1);
  ask->sequence = sequence;
  ask->answer = answer;
  ask->data = data;
  ask->deadline = daemon_now (s->daemon) + REQUEST_TIMEOUT;
  g_hash_table_insert (s->pending, &ask->sequence, ask);
}

static gboolean
tick (gpointer data)
{
  Subscription *s = data;
  GmTime now = daemon_now (s->daemon);
  GmTime age = CLAMP (sb_age (s->core, now), 0, (GmTime)G_MAXINT32 * GM_MS);
  fail_requests (s, now, GM_OUTCOME_UNKNOWN,
                 "the control leader did not answer; send the request again");
  SbAction action = sb_tick (s->core, now);
  if (action == SB_DIAL)
    dial (s);
  else if (action == SB_DISCONNECT)
    drop_link (s);
  if (sb_heartbeat_due (s->core, now))
    subscription_heartbeat (s);
  gm_gauge (GM_M_control_stamp_age_ms, (guint64)(age / GM_MS));
  gboolean calm
      = age < SB_STAMP_TIMEOUT && g_hash_table_size (s->pending) == 0;
  s->timer = g_timeout_add (calm ? CALM_TICK_MS : TICK_MS, tick, s);
  return G_SOURCE_REMOVE;
}

static void
subscription_free (DaemonTask *task)
{
  Subscription *s = (Subscription *)task;
  g_source_remove (s->timer);
  lk_close (s->link);
  g_hash_table_unref (s->pending);
  g_ptr_array_unref (s->addresses);
  sb_free (s->core);
  g_free (s);
}

static void
subscription_draining (DaemonTask *task)
{
  subscription_heartbeat ((Subscription *)task);
}

static void
subscription_settings_changed (DaemonTask *task)
{
  update_addresses ((Subscription *)task);
}

static const DaemonTaskClass subscription_class
    = { .settings_changed = subscription_settings_changed,
        .draining = subscription_draining,
        .free = subscription_free };

Subscription *
subscription_new (Daemon *daemon)
{
  const CfSettings *settings = daemon->settings;
  Subscription *s = g_new0 (Subscription, 1);
  s->task.class = &subscription_class;
  s->daemon = daemon;
  s->core = sb_new (settings->host, settings->peers->len,
                    settings->control_lease_ms * GM_MS, daemon_now (daemon));
  s->addresses = g_ptr_array_new_with_free_func ((GDestroyNotify)address_free);
  update_addresses (s);
  s->pending
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->timer = g_timeout_add (TICK_MS, tick, s);
  daemon->subscription = s;
  daemon_add (daemon, &s->task);
  return s;
}
