#include "parts.h"
#include "memstore.h"
#include <string.h>

#define TICK_INTERVAL (10 * GM_MS)
#define MAX_CLOCK_SKEW (1000 * GM_SECOND)
#define PEER_REDIAL_DELAY (200 * GM_MS)
#define OPERATOR_TIMEOUT (4 * GM_SECOND)
#define KEEP_ENTRIES 8 /* few, so that snapshots are taken and sent */

/* A caller that waits for the answer of a host.  */
typedef struct
{
  RequestCallback callback;
  gpointer data;
} WaitingCaller;

GmTime
host_now (const Host *h)
{
  return h->world->now + h->clock_skew;
}

static int
host_index (const World *w, const char *name)
{
  for (guint i = 0; i < HOSTS; i++)
    if (g_strcmp0 (w->hosts[i]->name, name) == 0)
      return (int)i;
  return -1;
}

static guint64
wall_clock (const Host *h)
{
  return (guint64)h->world->now;
}

static Link *
accepted_link (const Host *h, guint64 number)
{
  const World *w = h->world;
  for (guint i = w->links->len; i-- > 0;)
    {
      Link *link = g_ptr_array_index (w->links, i);
      if (link->number == number)
        return link->to == h->index && link->to_epoch == h->epoch
                       && !link->closed
                   ? link
                   : NULL;
    }
  return NULL;
}

/* Checks that all control hosts commit the same entry under the same index. */
static void
check_committed (Host *h)
{
  World *w = h->world;
  ClCore *log = co_log (h->control);
  guint64 commit = cl_commit (log);
  guint64 from = h->last_checked_commit + 1;
  for (guint64 i = from; i <= commit; i++)
    {
      g_autoptr (GBytes) entry = cl_entries_from (log, i, i);
      if (entry == NULL)
        continue;
      char *digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA1, entry);
      while (w->committed_digests->len <= i)
        g_ptr_array_add (w->committed_digests, NULL);
      const char *known = g_ptr_array_index (w->committed_digests, i);
      if (known == NULL)
        w->committed_digests->pdata[i] = digest;
      else
        {
          if (strcmp (known, digest) != 0)
            world_violation (w, "control: %s committed another entry %u",
                             h->name, (guint)i);
          g_free (digest);
        }
    }
  h->last_checked_commit = MAX (h->last_checked_commit, commit);
}

static void
pump_control (Host *h)
{
  CoSend send;
  if (h->control == NULL)
    return;
  check_committed (h);
  while (co_take_send (h->control, &send))
    {
      int peer = send.link == 0 ? host_index (h->world, send.to) : -1;
      Link *link = send.link != 0 ? accepted_link (h, send.link)
                   : peer >= 0    ? h->peers[peer]
                                  : NULL;
      if (link != NULL)
        link_send (h->world, link, send.link == 0, &send.message);
      g_free (send.to);
      wm_clear (&send.message);
    }
}

static void
end_request (Host *h, const RqAction *action)
{
  WaitingCaller *waiting = action->request->owner;
  const struct wm_result *r = &action->result.result;
  g_autofree char *transaction
      = r->kind == GM_OK && action->request->exec.exec.operation == DP_BEGIN
            ? rq_transaction_print (sb_state (h->subscriber), action->host,
                                    GROUP, r->transaction, KEY)
            : NULL;
  RequestResult ending = { .kind = (GmKind)r->kind,
                           .database = r->database != NULL ? r->database : "",
                           .transaction = transaction,
                           .seen = { r->token_term, r->token_position },
                           .rows = r->rows };
  g_strlcpy (ending.message, r->message != NULL ? r->message : "",
             sizeof ending.message);
  if (!g_hash_table_contains (h->waiting, waiting))
    return;
  g_hash_table_steal (h->waiting, waiting);
  waiting->callback (h->world, &ending, waiting->data);
  g_free (waiting);
}

static void
run_route_action (Host *h, RqAction *action)
{
  int to = host_index (h->world, action->host);
  Link *link = to >= 0 ? h->routes[to] : NULL;
  if (action->type == RQ_CONNECT)
    h->routes[to] = link_dial (h, (guint)to, LINK_ROUTE);
  else if (action->type == RQ_DISCONNECT && link != NULL)
    {
      link_close (h->world, link, h->index);
      h->routes[to] = NULL;
    }
  else if (action->type == RQ_SEND && (link == NULL || !link->up))
    rq_not_sent (action->request, host_now (h));
  else if (action->type == RQ_SEND)
    link_send (h->world, link, TRUE, &action->request->exec);
  else if (action->type == RQ_END)
    end_request (h, action);
}

static void
send_result (Host *h, DpRequest *r)
{
  Link *link = accepted_link (h, GPOINTER_TO_SIZE (r->owner));
  WmMessage m;
  dp_request_result (r, &m);
  if (link != NULL)
    link_send (h->world, link, FALSE, &m);
  dp_request_free (r);
}

static void
run_dispatch_action (Host *h, const DpAction *a)
{
  Conn *conn = conn_find (h, a->connection, a->database);
  if (a->type == DP_OPEN)
    conn_open (h, a->database, a->connection);
  else if (a->type == DP_CLOSE && conn != NULL)
    conn_close (h->world, conn);
  else if (a->type == DP_RUN && conn != NULL)
    conn_run_request (h, conn, a->request);
  else if (a->type == DP_ANSWER)
    send_result (h, a->request);
}

static void
run_group_action (Host *h, const GpAction *action)
{
  Conn *watch = conn_find (h, 0, action->database);
  if (action->type == GP_DISPATCH_ACTION)
    run_dispatch_action (h, &action->dispatch);
  else if (action->type == GP_MONITOR_OPEN)
    conn_open (h, action->database, 0);
  else if (action->type == GP_MONITOR_CLOSE && watch != NULL)
    conn_close (h->world, watch);
  else if (action->type == GP_MONITOR_CALL && watch != NULL)
    conn_run_call (h, watch, action);
  else if (action->type == GP_REPORT_SEND && h->subscription != NULL)
    link_send (h->world, h->subscription, TRUE, &action->message);
}

void
host_pump (Host *h)
{
  RqAction route;
  GpAction group;
  if (h->pumping || !h->alive)
    return;
  h->pumping = TRUE;
  pump_control (h);
  while (rq_take_action (h->route, &route))
    {
      run_route_action (h, &route);
      rq_action_clear (&route);
    }
  while (gp_take_action (h->group, host_now (h), &group))
    {
      run_group_action (h, &group);
      gp_action_clear (&group);
    }
  h->pumping = FALSE;
}

static void
send_heartbeat (Host *h)
{
  const CsState *state = sb_state (h->subscriber);
  gboolean control = h->index < h->world->control_count;
  WmMessage m
      = { .type = WM_TYPE_SUBSCRIBE,
          .subscribe = { .host = h->name,
                         .incarnation = h->epoch,
                         .version = state->version,
                         .config = state->history->len,
                         .sent = (guint64)host_now (h),
                         .caller = (char *)"",
                         .link = h->name,
                         .data_centre = (char *)"",
                         .roles = CS_ENTRY | CS_DISPATCHER
                                  | (control ? (guint64)CS_CONTROL : 0) } };
  if (h->subscription != NULL)
    link_send (h->world, h->subscription, TRUE, &m);
}

static void
state_changed (Host *h)
{
  const CsState *state = sb_state (h->subscriber);
  gp_update (h->group, host_now (h), state);
  rq_state (h->route, host_now (h), state);
  send_heartbeat (h);
}

static void
finish_operator_request (Host *h, guint64 sequence, GmKind kind,
                         const char *message)
{
  for (guint i = 0; i < h->operator_requests->len; i++)
    {
      OperatorRequest *ask = g_ptr_array_index (h->operator_requests, i);
      if (ask->sequence != sequence)
        continue;
      g_ptr_array_steal_index (h->operator_requests, i);
      ask->callback (h->world, kind, message, ask->data);
      g_free (ask);
      return;
    }
}

static void
expire_operator_requests (Host *h, GmTime before)
{
  for (guint i = h->operator_requests->len; i-- > 0;)
    {
      const OperatorRequest *ask = g_ptr_array_index (h->operator_requests, i);
      if (ask->until <= before)
        finish_operator_request (h, ask->sequence, GM_OUTCOME_UNKNOWN,
                                 "no answer");
    }
}

static void
receive_exec (Host *h, Link *link, const struct wm_exec *m)
{
  const CsState *state = sb_state (h->subscriber);
  GmTime now = host_now (h);
  GmStatus status;
  GmKind kind = gp_check (h->group, state, sb_is_fresh (h->subscriber, now),
                          h->epoch, m, &status);
  if (kind == GM_OK)
    {
      gp_submit (h->group, now, state, GSIZE_TO_POINTER (link->number), m);
      return;
    }
  WmMessage refusal = { .type = WM_TYPE_RESULT,
                        .result = { .sequence = m->sequence,
                                    .generation = m->generation,
                                    .kind = kind } };
  link_send (h->world, link, FALSE, &refusal);
}

void host_receive (Host *h, Link *link, gboolean dialer, const WmMessage *m);

void
host_receive (Host *h, Link *link, gboolean dialer, const WmMessage *m)
{
  World *w = h->world;
  GmTime now = host_now (h);
  guint64 before = sb_state (h->subscriber)->version;
  if (!dialer && m->type == WM_TYPE_EXEC)
    receive_exec (h, link, &m->exec);
  else if (!dialer && h->control != NULL)
    co_receive (h->control, now, link->number, w->hosts[link->from]->name, m);
  else if (dialer && link->purpose == LINK_PEER)
    co_receive_answer (h->control, m);
  else if (dialer && link->purpose == LINK_ROUTE)
    rq_receive (h->route, now, w->hosts[link->to]->name, m);
  else if (dialer && m->type == WM_TYPE_PROPOSED)
    finish_operator_request (h, m->proposed.sequence, (GmKind)m->proposed.kind,
                             m->proposed.message);
  else if (dialer && link == h->subscription
           && sb_receive (h->subscriber, now, m))
    state_changed (h);
  if (sb_state (h->subscriber)->version < before)
    world_violation (w, "configuration: %s went back", h->name);
}

void host_link_up (Host *h, Link *link);

void
host_link_up (Host *h, Link *link)
{
  World *w = h->world;
  if (link->purpose == LINK_SUBSCRIPTION && h->subscription == link)
    {
      sb_link_up (h->subscriber, host_now (h));
      send_heartbeat (h);
    }
  if (link->purpose == LINK_ROUTE && h->routes[link->to] == link)
    rq_link_up (h->route, host_now (h), sb_state (h->subscriber),
                w->hosts[link->to]->name);
}

static void
dial_peers (Host *h)
{
  World *w = h->world;
  for (guint i = 0; i < h->world->control_count; i++)
    {
      if (i == h->index || h->peers[i] != NULL
          || w->now < h->next_peer_dial[i])
        continue;
      h->next_peer_dial[i] = w->now + PEER_REDIAL_DELAY;
      h->peers[i] = link_dial (h, i, LINK_PEER);
    }
}

static void
tick (World *w, gpointer data)
{
  Host *h = data;
  GmTime now = host_now (h);
  if (h->control != NULL)
    {
      dial_peers (h);
      co_tick (h->control, now, wall_clock (h));
    }
  SbAction action = sb_tick (h->subscriber, now);
  if (action == SB_DIAL)
    h->subscription
        = link_dial (h, sb_peer (h->subscriber), LINK_SUBSCRIPTION);
  else if (action == SB_DISCONNECT && h->subscription != NULL)
    {
      link_close (w, h->subscription, h->index);
      h->subscription = NULL;
    }
  if (sb_heartbeat_due (h->subscriber, now))
    send_heartbeat (h);
  expire_operator_requests (h, w->now);
  rq_tick (h->route, now, sb_state (h->subscriber));
  gp_tick (h->group, now);
  host_pump (h);
  world_at (w, TICK_INTERVAL, AT_HOST, h->index, tick, NULL, h);
}

void
host_new (World *w, guint index)
{
  Host *h = g_new0 (Host, 1);
  h->world = w;
  h->index = index;
  g_snprintf (h->name, sizeof h->name, "host%u", index);
  g_queue_init (&h->deferred);
  g_snprintf (h->disk_name, sizeof h->disk_name, "disk%u-0", index);
  if (index < h->world->control_count)
    h->disk = memstore_new ();
  h->operator_requests = g_ptr_array_new ();
  w->hosts[index] = h;
}

static void
open_control (Host *h)
{
  const char *peers[HOSTS];
  CoIdentity self
      = { h->name, h->disk_name, h->name, gm_random_next (&h->world->random) };
  GmStatus status;
  h->control = co_open (&self, h->disk, host_now (h), &status);
  g_assert (h->control != NULL);
  for (guint i = 0; i < h->world->control_count; i++)
    peers[i] = h->world->hosts[i]->name;
  cl_set_peers (co_log (h->control), peers, h->world->control_count);
  cl_set_trailing_entries (co_log (h->control), KEEP_ENTRIES);
  if (h->world->healing)
    cl_set_unique_hosts (co_log (h->control), MIN_VOTERS);
  if (h->index == 0 && h->epoch == 1)
    cl_bootstrap (co_log (h->control), host_now (h), &status);
}

void
world_start_host (World *w, guint index)
{
  Host *h = w->hosts[index];
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  g_assert (!h->alive);
  h->alive = TRUE;
  h->frozen = FALSE;
  h->epoch++;
  h->clock_skew = (GmTime)gm_random_below (&w->random, MAX_CLOCK_SKEW);
  h->last_checked_commit = 0;
  h->subscriber
      = sb_new (h->name, h->world->control_count, LEASE, host_now (h));
  h->route = rq_new ();
  h->group = gp_new (GROUP, h->name, &policy, host_now (h));
  h->waiting = g_hash_table_new (NULL, NULL);
  memset (h->routes, 0, sizeof h->routes);
  memset (h->peers, 0, sizeof h->peers);
  memset (h->next_peer_dial, 0, sizeof h->next_peer_dial);
  h->subscription = NULL;
  if (index < h->world->control_count)
    open_control (h);
  world_at (w, world_jitter (w, 0, TICK_INTERVAL), AT_HOST, index, tick, NULL,
            h);
}

/* Callers of a host that dies lose their connections: the outcome of their
   requests is unknown.  */
static void
fail_waiting_callers (Host *h)
{
  RequestResult ending
      = { .kind = GM_OUTCOME_UNKNOWN, .message = "host died" };
  g_autoptr (GList) all = g_hash_table_get_keys (h->waiting);
  for (GList *l = all; l != NULL; l = l->next)
    {
      WaitingCaller *waiting = l->data;
      waiting->callback (h->world, &ending, waiting->data);
      g_free (waiting);
    }
  g_hash_table_unref (h->waiting);
  expire_operator_requests (h, G_MAXINT64);
}

void
world_kill_host (World *w, guint index)
{
  Host *h = w->hosts[index];
  if (!h->alive)
    return;
  h->alive = FALSE;
  h->epoch++;
  for (guint i = 0; i < w->links->len; i++)
    {
      Link *link = g_ptr_array_index (w->links, i);
      if (link->from == index || link->to == index)
        link_close (w, link, index);
    }
  for (guint i = 0; i < w->conns->len; i++)
    {
      Conn *conn = g_ptr_array_index (w->conns, i);
      if (conn->host == index)
        conn_close (w, conn);
    }
  fail_waiting_callers (h);
  if (h->frozen)
    world_freeze_host (w, index, FALSE);
  if (h->control != NULL)
    co_free (h->control);
  h->control = NULL;
  sb_free (h->subscriber);
  rq_free (h->route);
  gp_free (h->group);
}

void
world_lose_disk (World *w, guint index)
{
  Host *h = w->hosts[index];
  world_kill_host (w, index);
  h->disk->class->free (h->disk);
  h->disk = memstore_new ();
  g_snprintf (h->disk_name, sizeof h->disk_name, "disk%u-%u", index,
              (guint)h->epoch);
}

void
host_free (Host *h)
{
  if (h->disk != NULL)
    h->disk->class->free (h->disk);
  g_ptr_array_unref (h->operator_requests);
  g_queue_clear (&h->deferred);
  g_free (h);
}

/* A caller's request in flight to a host.  */
typedef struct
{
  guint host;
  RqRequest *request;
  char *transaction;
  GmTime timeout;
  WaitingCaller *waiting;
} Arrival;

static void
arrival_drop (gpointer data)
{
  Arrival *a = data;
  rq_request_free (a->request);
  g_free (a->transaction);
  g_free (a);
}

static void
refuse_arrival (Host *h, Arrival *a, GmKind kind)
{
  RequestResult ending = { .kind = kind };
  g_hash_table_steal (h->waiting, a->waiting);
  a->waiting->callback (h->world, &ending, a->waiting->data);
  g_free (a->waiting);
  arrival_drop (a);
}

static void
arrive (World *w, gpointer data)
{
  Arrival *a = data;
  Host *h = w->hosts[a->host];
  RqRequest *request = a->request;
  const CsState *state = sb_state (h->subscriber);
  if (!g_hash_table_contains (h->waiting, a->waiting))
    {
      arrival_drop (a);
      return;
    }
  if (!sb_is_fresh (h->subscriber, host_now (h)))
    {
      refuse_arrival (h, a, GM_STALE);
      return;
    }
  if (a->transaction != NULL
      && !rq_transaction_join (request, state, a->transaction, KEY))
    {
      refuse_arrival (h, a, GM_TRANSACTION_LOST);
      return;
    }
  request->deadline = host_now (h) + a->timeout;
  rq_submit (h->route, host_now (h), state, request);
  g_free (a->transaction);
  g_free (a);
  host_pump (h);
}

void
world_request (World *w, guint index, const WmMessage *exec,
               const char *transaction, GmTime timeout, RequestCallback end,
               gpointer data)
{
  Host *h = w->hosts[index];
  g_assert (h->alive);
  WaitingCaller *waiting = g_new0 (WaitingCaller, 1);
  waiting->callback = end;
  waiting->data = data;
  g_hash_table_add (h->waiting, waiting);
  Arrival *a = g_new0 (Arrival, 1);
  a->host = index;
  a->waiting = waiting;
  a->timeout = timeout;
  a->request = rq_request_new ();
  a->request->owner = waiting;
  a->transaction = g_strdup (transaction);
  wm_copy (&a->request->exec, exec);
  world_at (w, GM_MS, AT_HOST, index, arrive, arrival_drop, a);
}

void
world_operator_request (World *w, guint index, WmMessage *m,
                        OperatorCallback end, gpointer data)
{
  Host *h = w->hosts[index];
  guint64 sequence = ++h->operator_sequence;
  if (m->type == WM_TYPE_PROPOSE)
    {
      m->propose.sequence = sequence;
      m->propose.host = h->name;
    }
  else
    {
      m->voter.sequence = sequence;
      m->voter.host = h->name;
    }
  if (!world_host_works (w, index) || h->subscription == NULL
      || !h->subscription->up)
    {
      end (w, GM_UNAVAILABLE, "no link", data);
      return;
    }
  OperatorRequest *ask = g_new0 (OperatorRequest, 1);
  ask->sequence = sequence;
  ask->callback = end;
  ask->data = data;
  ask->until = w->now + OPERATOR_TIMEOUT;
  g_ptr_array_add (h->operator_requests, ask);
  link_send (w, h->subscription, TRUE, m);
}
