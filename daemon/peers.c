#include "peers.h"
#include "base/histogram.h"
#include "pool/pool.h"
#include <string.h>

#define TICK_MS 30 /* half of LV_PROBE_AFTER, when a silent host is probed */
/* A gap between two ticks, three times their interval, after which this
   process counts as having been stalled.  */
#define STALL_THRESHOLD (90 * GM_MS)
/* Messages that wait for a link to come up.  */
#define POSTED_MAX 128
/* For the rollback of an unwanted transaction, which needs no slot.  */
#define ROLLBACK_DEADLINE GM_SECOND

typedef struct Peer Peer;

/* A statement that was not answered yet.  */
typedef struct
{
  guint64 number;
  Peer *peer;              /* NULL once the peer has been dropped */
  gboolean expects_answer; /* also when its caller no longer waits for it */
  gboolean sent;
  gboolean lasting_effect; /* a write, or the end of a transaction */
  char *database;
  char *service;
  WmMessage message; /* cleared once it is sent */
  GmTime deadline;
  GmTime sent_at;
  PeersAnswer answer; /* NULL: none is asked for, or nobody waits for it */
  gpointer data;
} Request;

struct Peer
{
  Peers *peers;
  char *host;
  char *address;
  LkLink *link;
  guint unanswered; /* requests sent whose answer has not come */
  GQueue waiting;   /* guint64 *, requests to send once the link is up */
  GQueue posted;    /* WmMessage *, to send before these */
};

struct Peers
{
  DaemonTask task;
  Daemon *daemon;
  GHashTable *peers;    /* host -> Peer */
  GHashTable *requests; /* number -> Request */
  LvCore *liveness;
  PeersGrant grant;
  gpointer grant_data;
  GmTime last_tick;
  guint64 last_number;
  guint timer; /* GLib source; 0: nothing is unanswered */
};

static void
request_free (Request *request)
{
  if (!request->sent)
    wm_clear (&request->message);
  g_free (request->database);
  g_free (request->service);
  g_free (request);
}

static void
peer_free (Peer *peer)
{
  lk_close (peer->link);
  g_queue_clear_full (&peer->waiting, g_free);
  wm_queue_clear (&peer->posted);
  g_free (peer->host);
  g_free (peer->address);
  g_free (peer);
}

/* Takes REQUEST out of the count of unanswered requests of its peer.  */
static void
count_answered (Request *request)
{
  if (request->peer != NULL && request->expects_answer && request->sent)
    request->peer->unanswered--;
}

/* Ends the request NUMBER without an answer.  */
static void
end_unanswered (Peers *p, guint64 number)
{
  Request *request = g_hash_table_lookup (p->requests, &number);
  if (request == NULL)
    return;
  PeersAnswer answer = request->answer;
  gpointer data = request->data;
  gboolean sent = request->sent;
  count_answered (request);
  g_hash_table_remove (p->requests, &number);
  if (answer != NULL)
    answer (NULL, sent, data);
}

typedef gboolean (*Selector) (const Request *request, gconstpointer data);

static gboolean
is_for_peer (const Request *request, gconstpointer peer)
{
  return request->peer == peer;
}

static gboolean
is_expired (const Request *request, gconstpointer now)
{
  return *(const GmTime *)now >= request->deadline;
}

/* Whether REQUEST need not wait for its silent host: it has no lasting effect,
   or was never sent.  */
static gboolean
can_give_up (const Request *request, gconstpointer peer)
{
  return request->peer == peer && request->answer != NULL
         && (!request->lasting_effect || !request->sent);
}

/* Numbers of the requests that SELECTOR chooses.  */
static GArray *
select_requests (const Peers *p, Selector selector, gconstpointer data)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Request *request = value;
      if (selector (request, data))
        g_array_append_val (found, request->number);
    }
  return found;
}

static void
end_all_unanswered (Peers *p, GArray *numbers)
{
  for (guint i = 0; i < numbers->len; i++)
    end_unanswered (p, g_array_index (numbers, guint64, i));
  g_array_unref (numbers);
}

/* Removes PEER and ends its requests without an answer.  */
static void
drop_peer (Peers *p, Peer *peer)
{
  GArray *unanswered = select_requests (p, is_for_peer, peer);
  for (guint i = 0; i < unanswered->len; i++)
    {
      Request *request = g_hash_table_lookup (
          p->requests, &g_array_index (unanswered, guint64, i));
      request->peer = NULL;
    }
  lv_forget (p->liveness, peer->host);
  g_hash_table_remove (p->peers, peer->host);
  end_all_unanswered (p, unanswered);
}

static void
send_now (Peer *peer, Request *request)
{
  Peers *p = peer->peers;
  request->sent = lk_send (peer->link, &request->message);
  if (!request->sent)
    return;
  wm_clear (&request->message);
  request->sent_at = daemon_now (p->daemon);
  if (!request->expects_answer)
    return;
  peer->unanswered++;
  lv_sent (p->liveness, daemon_now (p->daemon), peer->host);
}

/* Rolls back the transaction that an unwanted answer leaves open.  */
static void
roll_back_unwanted (Peer *peer, const Request *request,
                    const struct wm_statement_done *done)
{
  if (done->open == 0 || done->transaction == 0)
    return;
  WmMessage m = { .type = WM_TYPE_STATEMENT,
                  .statement = { .database = request->database,
                                 .holder = done->holder,
                                 .operation = PL_ROLLBACK,
                                 .transaction = done->transaction,
                                 .service = request->service,
                                 .deadline = ROLLBACK_DEADLINE } };
  lk_send (peer->link, &m);
}

static void
peer_up (LkLink *link, void *owner)
{
  (void)link;
  Peer *peer = owner;
  guint64 *number;
  WmMessage posted;
  while (wm_queue_take (&peer->posted, &posted))
    {
      lk_send (peer->link, &posted);
      wm_clear (&posted);
    }
  lv_received (peer->peers->liveness, daemon_now (peer->peers->daemon),
               peer->host, FALSE);
  while ((number = g_queue_pop_head (&peer->waiting)) != NULL)
    {
      Request *request = g_hash_table_lookup (peer->peers->requests, number);
      if (request != NULL)
        send_now (peer, request);
      g_free (number);
    }
}

static void
peer_message (LkLink *link, const WmMessage *m, void *owner)
{
  (void)link;
  Peer *peer = owner;
  Peers *p = peer->peers;
  Request *request
      = m->type == WM_TYPE_STATEMENT_DONE
            ? g_hash_table_lookup (p->requests, &m->statement_done.sequence)
            : NULL;
  if (request != NULL)
    count_answered (request);
  lv_received (p->liveness, daemon_now (p->daemon), peer->host,
               peer->unanswered > 0);
  if (m->type == WM_TYPE_QUOTA_GRANT && p->grant != NULL)
    p->grant (m, p->grant_data);
  if (m->type != WM_TYPE_STATEMENT_DONE)
    return;
  if (request == NULL)
    {
      gm_count (GM_M_answers_late_total, 1);
      return;
    }
  GmTime round_trip = daemon_now (p->daemon) - request->sent_at;
  GmTime held = (GmTime)MIN (m->statement_done.held, G_MAXINT32);
  hg_observe (HG_peer_seconds, peer->host, round_trip);
  hg_observe (HG_way_seconds, peer->host, round_trip - held);
  PeersAnswer answer = request->answer;
  gpointer data = request->data;
  if (answer == NULL)
    roll_back_unwanted (peer, request, &m->statement_done);
  g_hash_table_remove (p->requests, &m->statement_done.sequence);
  if (answer != NULL)
    answer (&m->statement_done, TRUE, data);
}

static void
peer_down (LkLink *link, void *owner)
{
  (void)link;
  Peer *peer = owner;
  drop_peer (peer->peers, peer);
}

static const LkHandler peer_handler
    = { .up = peer_up, .message = peer_message, .down = peer_down };

/* The peer HOST, with a new link when the host has restarted at another
   address.  NULL when ADDRESS can't be parsed.  */
static Peer *
get_peer (Peers *p, const char *host, const char *address)
{
  Peer *peer = g_hash_table_lookup (p->peers, host);
  CfAddress at = { 0 };
  if (peer != NULL && strcmp (peer->address, address) == 0)
    return peer;
  if (!cf_address_parse (address, &at))
    return NULL;
  /* The requests that end with a peer may be sent again meanwhile, to a new
     peer.  */
  if (peer != NULL)
    drop_peer (p, peer);
  peer = g_hash_table_lookup (p->peers, host);
  if (peer != NULL)
    {
      g_free (at.ip);
      return get_peer (p, host, address);
    }
  peer = g_new0 (Peer, 1);
  peer->peers = p;
  peer->host = g_strdup (host);
  peer->address = g_strdup (address);
  g_queue_init (&peer->waiting);
  g_queue_init (&peer->posted);
  peer->link = lk_dial (&at, &p->daemon->identity, &peer_handler, peer);
  g_hash_table_replace (p->peers, peer->host, peer);
  g_free (at.ip);
  return peer;
}

static gboolean
has_lasting_effect (const struct wm_statement *m)
{
  return m->operation == PL_WRITE || m->operation == PL_COMMIT
         || m->operation == PL_ROLLBACK;
}

static void start_ticks (Peers *p);

guint64
peers_send (Peers *p, const char *host, const char *address,
            WmMessage *statement, GmTime until, PeersAnswer answer,
            gpointer data)
{
  Peer *peer = get_peer (p, host, address);
  Request *request = g_new0 (Request, 1);
  request->number = ++p->last_number;
  request->peer = peer;
  request->deadline = peer != NULL ? until : 0;
  request->answer = answer;
  request->data = data;
  request->expects_answer = answer != NULL;
  request->lasting_effect = has_lasting_effect (&statement->statement);
  request->database = g_strdup (statement->statement.database);
  request->service = g_strdup (statement->statement.service);
  statement->statement.sequence = answer != NULL ? request->number : 0;
  wm_copy (&request->message, statement);
  g_hash_table_insert (p->requests, &request->number, request);
  start_ticks (p);
  if (peer != NULL && lk_is_up (peer->link))
    send_now (peer, request);
  else if (peer != NULL)
    {
      lv_sent (p->liveness, daemon_now (p->daemon), host);
      g_queue_push_tail (&peer->waiting,
                         g_memdup2 (&request->number, sizeof request->number));
    }
  return request->number;
}

void
peers_on_grant (Peers *p, PeersGrant grant, gpointer data)
{
  p->grant = grant;
  p->grant_data = data;
}

void
peers_post (Peers *p, const char *host, const char *address,
            const WmMessage *m)
{
  Peer *peer = get_peer (p, host, address);
  if (peer != NULL && lk_is_up (peer->link))
    lk_send (peer->link, m);
  else if (peer != NULL && peer->posted.length < POSTED_MAX)
    wm_queue_put (&peer->posted, m);
}

const LvCore *
peers_liveness (const Peers *p)
{
  return p->liveness;
}

void
peers_withdraw (Peers *p, guint64 number)
{
  Request *request = g_hash_table_lookup (p->requests, &number);
  if (request == NULL)
    return;
  if (!request->sent)
    {
      g_hash_table_remove (p->requests, &number);
      return;
    }
  WmMessage m = { .type = WM_TYPE_WITHDRAW, .withdraw = { number } };
  if (request->peer != NULL)
    lk_send (request->peer->link, &m);
  /* An answer comes only if the statement already runs.  */
  count_answered (request);
  request->expects_answer = FALSE;
  request->answer = NULL;
}

/* Ends the requests to a silent host that have no lasting effect there or were
   not sent.  Those that were sent stay in the table, so that late answers are
   still counted and their transactions rolled back.  */
static void
give_up_requests (Peers *p, const Peer *peer)
{
  g_autoptr (GArray) numbers = select_requests (p, can_give_up, peer);
  for (guint i = 0; i < numbers->len; i++)
    {
      Request *request = g_hash_table_lookup (
          p->requests, &g_array_index (numbers, guint64, i));
      if (request == NULL || request->answer == NULL)
        continue;
      if (!request->sent)
        {
          end_unanswered (p, request->number);
          continue;
        }
      PeersAnswer answer = request->answer;
      request->answer = NULL;
      answer (NULL, TRUE, request->data);
    }
}

static void
handle_liveness_event (Peers *p, const LvEvent *event)
{
  const Peer *peer = g_hash_table_lookup (p->peers, event->host);
  if (peer == NULL)
    return;
  if (event->type == LV_PROBE_HOST)
    {
      WmMessage m = { .type = WM_TYPE_PING };
      lk_send (peer->link, &m);
      return;
    }
  gm_log (GM_EV_HOST_SILENT, "%s: %u answers outstanding", peer->host,
          peer->unanswered);
  give_up_requests (p, peer);
}

static gboolean
tick (gpointer data)
{
  Peers *p = data;
  GmTime now = daemon_now (p->daemon);
  GmTime elapsed = now - p->last_tick;
  LvEvent event;
  p->last_tick = now;
  if (elapsed >= STALL_THRESHOLD)
    lv_stalled (p->liveness, elapsed);
  while (lv_next (p->liveness, now, &event))
    handle_liveness_event (p, &event);
  end_all_unanswered (p, select_requests (p, is_expired, &now));
  if (g_hash_table_size (p->requests) > 0 || lv_is_waiting (p->liveness))
    return G_SOURCE_CONTINUE;
  p->timer = 0;
  return G_SOURCE_REMOVE;
}

/* Ticks until all requests are answered.  */
static void
start_ticks (Peers *p)
{
  if (p->timer != 0)
    return;
  p->last_tick = daemon_now (p->daemon);
  p->timer = g_timeout_add (TICK_MS, tick, p);
}

static void
peers_free (DaemonTask *task)
{
  Peers *p = (Peers *)task;
  g_clear_handle_id (&p->timer, g_source_remove);
  g_hash_table_unref (p->peers);
  g_hash_table_unref (p->requests);
  lv_free (p->liveness);
  g_free (p);
}

static const DaemonTaskClass peers_class = { .free = peers_free };

Peers *
peers_new (Daemon *daemon)
{
  Peers *p = g_new0 (Peers, 1);
  p->task.class = &peers_class;
  p->daemon = daemon;
  p->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)peer_free);
  p->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)request_free);
  p->liveness = lv_new ();
  daemon_add (daemon, &p->task);
  return p;
}
