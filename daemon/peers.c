#include "peers.h"
#include <string.h>

#define TICK_MS 50 /* a request is given up this much late at most */

typedef struct Peer Peer;

typedef struct
{
  guint64 number;
  Peer *peer;
  gboolean sent;
  WmMessage message; /* until it is sent */
  GmTime until;
  PeersAnswer answer; /* NULL: forgotten */
  gpointer data;
} Request;

struct Peer
{
  Peers *peers;
  char *host;
  char *address;
  LkLink *link;
  GQueue waiting; /* guint64 *, requests to send once the link is up */
};

struct Peers
{
  DaemonTask task;
  Daemon *daemon;
  GHashTable *peers;    /* host -> Peer */
  GHashTable *requests; /* number -> Request */
  guint64 next;
  guint timer;
};

static void
request_free (Request *request)
{
  if (!request->sent)
    wm_clear (&request->message);
  g_free (request);
}

static void
peer_free (Peer *peer)
{
  lk_close (peer->link);
  g_queue_clear_full (&peer->waiting, g_free);
  g_free (peer->host);
  g_free (peer->address);
  g_free (peer);
}

/* Ends the request NUMBER without an answer.  */
static void
lose (Peers *p, guint64 number)
{
  Request *request = g_hash_table_lookup (p->requests, &number);
  if (request == NULL)
    return;
  PeersAnswer answer = request->answer;
  gpointer data = request->data;
  gboolean sent = request->sent;
  g_hash_table_remove (p->requests, &number);
  if (answer != NULL)
    answer (NULL, sent, data);
}

/* Numbers of the requests to PEER, or of all that are due at NOW.  */
static GArray *
select_requests (const Peers *p, const Peer *peer, GmTime now)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Request *request = value;
      if (peer != NULL ? request->peer == peer : now >= request->until)
        g_array_append_val (found, request->number);
    }
  return found;
}

static void
lose_all (Peers *p, GArray *numbers)
{
  for (guint i = 0; i < numbers->len; i++)
    lose (p, g_array_index (numbers, guint64, i));
  g_array_unref (numbers);
}

static void
send_now (Peer *peer, Request *request)
{
  request->sent = lk_send (peer->link, &request->message);
  if (request->sent)
    wm_clear (&request->message);
}

static void
peer_up (LkLink *link, void *owner)
{
  (void)link;
  Peer *peer = owner;
  guint64 *number;
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
  Peers *p = ((Peer *)owner)->peers;
  if (m->type != WM_TYPE_STATEMENT_DONE)
    return;
  Request *request
      = g_hash_table_lookup (p->requests, &m->statement_done.sequence);
  if (request == NULL)
    {
      gm_count (GM_M_answers_late_total, 1);
      return;
    }
  PeersAnswer answer = request->answer;
  gpointer data = request->data;
  g_hash_table_remove (p->requests, &m->statement_done.sequence);
  if (answer != NULL)
    answer (&m->statement_done, TRUE, data);
}

static void
peer_down (LkLink *link, void *owner)
{
  (void)link;
  Peer *peer = owner;
  Peers *p = peer->peers;
  GArray *lost = select_requests (p, peer, 0);
  g_hash_table_remove (p->peers, peer->host);
  lose_all (p, lost);
}

static const LkHandler peer_handler
    = { .up = peer_up, .message = peer_message, .down = peer_down };

/* The link to HOST; a host that started anew at another address gets a new
   one.  NULL when ADDRESS can't be read.  */
static Peer *
peer_of (Peers *p, const char *host, const char *address)
{
  Peer *peer = g_hash_table_lookup (p->peers, host);
  CfAddress at = { 0 };
  if (peer != NULL && strcmp (peer->address, address) == 0)
    return peer;
  if (!cf_address_parse (address, &at))
    return NULL;
  if (peer != NULL)
    {
      GArray *lost = select_requests (p, peer, 0);
      g_hash_table_remove (p->peers, host);
      lose_all (p, lost);
    }
  peer = g_new0 (Peer, 1);
  peer->peers = p;
  peer->host = g_strdup (host);
  peer->address = g_strdup (address);
  g_queue_init (&peer->waiting);
  peer->link = lk_dial (&at, &p->daemon->identity, &peer_handler, peer);
  g_hash_table_replace (p->peers, peer->host, peer);
  g_free (at.ip);
  return peer;
}

guint64
peers_send (Peers *p, const char *host, const char *address,
            WmMessage *statement, GmTime until, PeersAnswer answer,
            gpointer data)
{
  Peer *peer = peer_of (p, host, address);
  Request *request = g_new0 (Request, 1);
  request->number = ++p->next;
  request->peer = peer;
  request->until = peer != NULL ? until : 0;
  request->answer = answer;
  request->data = data;
  statement->statement.sequence = answer != NULL ? request->number : 0;
  wm_copy (&request->message, statement);
  g_hash_table_insert (p->requests, &request->number, request);
  if (peer != NULL && lk_is_up (peer->link))
    send_now (peer, request);
  else if (peer != NULL)
    g_queue_push_tail (&peer->waiting,
                       g_memdup2 (&request->number, sizeof request->number));
  return request->number;
}

void
peers_forget (Peers *p, guint64 number)
{
  Request *request = g_hash_table_lookup (p->requests, &number);
  if (request != NULL)
    request->answer = NULL;
}

static gboolean
tick (gpointer data)
{
  Peers *p = data;
  lose_all (p, select_requests (p, NULL, daemon_now (p->daemon)));
  return G_SOURCE_CONTINUE;
}

static void
peers_free (DaemonTask *task)
{
  Peers *p = (Peers *)task;
  g_source_remove (p->timer);
  g_hash_table_unref (p->peers);
  g_hash_table_unref (p->requests);
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
  p->timer = g_timeout_add (TICK_MS, tick, p);
  daemon_add (daemon, &p->task);
  return p;
}
