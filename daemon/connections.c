#include "connections.h"
#include "base/event.h"
#include <sys/socket.h>

#define SWEEP_MS 250
/* A connection that has been idle for this long gives up its place to a new
   one when there are too many.  */
#define REPLACE_TIME (1 * GM_SECOND)

struct Connection
{
  GSocket *socket;
  guint held; /* paused requests */
  GmTime last_active;
};

struct Connections
{
  GHashTable *open; /* GSocket -> Connection */
  guint max_connections;
  GmTime idle_timeout;
  const GmClock *clock;
  guint timer;
};

static void
connection_clear (gpointer data)
{
  g_object_unref (((Connection *)data)->socket);
}

static void
connection_unref (gpointer connection)
{
  g_rc_box_release_full (connection, connection_clear);
}

/* Whether the client has closed the connection.  libsoup 3.2 keeps the socket
   open when the client closes between two requests.  */
static gboolean
is_closed_by_caller (GSocket *socket)
{
  char byte;
  return recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

/* Closes connections that the client has closed or that have been idle for too
   long, and removes closed connections from the table.  */
static gboolean
sweep (gpointer data)
{
  Connections *c = data;
  GmTime now = gm_now (c->clock);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, c->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      GSocket *socket = connection->socket;
      gboolean idle = now >= connection->last_active + c->idle_timeout;
      if (connection->held == 0 && !g_socket_is_closed (socket)
          && (idle || is_closed_by_caller (socket)))
        g_socket_close (socket, NULL);
      if (g_socket_is_closed (socket))
        g_hash_table_iter_remove (&iter);
    }
  gm_gauge (GM_M_connections_open, g_hash_table_size (c->open));
  return G_SOURCE_CONTINUE;
}

/* Closes the connection that has been without a request for longest, unless it
   was active a moment ago.  */
static void
close_least_active (Connections *c)
{
  Connection *chosen = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, c->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      if (connection->held == 0
          && (chosen == NULL || connection->last_active < chosen->last_active))
        chosen = connection;
    }
  if (chosen == NULL || gm_now (c->clock) < chosen->last_active + REPLACE_TIME)
    return;
  GSocket *socket = chosen->socket;
  g_socket_close (socket, NULL);
  g_hash_table_remove (c->open, socket);
}

/* Notes a request on a connection.  A new connection over the limit is
   closed.  */
static void
request_started (SoupServer *server, SoupServerMessage *msg, gpointer data)
{
  (void)server;
  Connections *c = data;
  GSocket *socket = soup_server_message_get_socket (msg);
  if (socket == NULL)
    return;
  Connection *connection = g_hash_table_lookup (c->open, socket);
  if (connection == NULL && g_hash_table_size (c->open) >= c->max_connections)
    sweep (c);
  if (connection == NULL && g_hash_table_size (c->open) >= c->max_connections)
    close_least_active (c);
  if (connection == NULL && g_hash_table_size (c->open) >= c->max_connections)
    {
      g_socket_close (socket, NULL);
      return;
    }
  if (connection == NULL)
    {
      connection = g_rc_box_new0 (Connection);
      connection->socket = g_object_ref (socket);
      g_hash_table_insert (c->open, socket, connection);
    }
  connection->last_active = gm_now (c->clock);
}

Connections *
connections_new (SoupServer *server, guint max_connections,
                 GmTime idle_timeout, const GmClock *clock)
{
  Connections *c = g_new0 (Connections, 1);
  c->open = g_hash_table_new_full (NULL, NULL, NULL, connection_unref);
  c->max_connections = max_connections;
  c->idle_timeout = idle_timeout;
  c->clock = clock;
  c->timer = g_timeout_add (SWEEP_MS, sweep, c);
  g_signal_connect (server, "request-started", G_CALLBACK (request_started),
                    c);
  return c;
}

void
connections_free (Connections *c)
{
  g_source_remove (c->timer);
  g_hash_table_unref (c->open);
  g_free (c);
}

static void
on_disconnected (SoupServerMessage *msg, gpointer data)
{
  (void)msg;
  ((HeldMessage *)data)->disconnected = TRUE;
}

void
connections_hold (Connections *c, SoupServerMessage *msg, HeldMessage *held)
{
  GSocket *socket = soup_server_message_get_socket (msg);
  Connection *connection
      = socket != NULL ? g_hash_table_lookup (c->open, socket) : NULL;
  held->msg = g_object_ref (msg);
  held->disconnected = FALSE;
  held->disconnected_handler = g_signal_connect (
      msg, "disconnected", G_CALLBACK (on_disconnected), held);
  held->connections = c;
  held->connection = connection;
  if (connection != NULL)
    {
      connection->held++;
      g_rc_box_acquire (connection);
    }
  soup_server_message_pause (msg);
}

void
connections_release (HeldMessage *held)
{
  Connection *connection = held->connection;
  if (!held->disconnected)
    soup_server_message_unpause (held->msg);
  if (connection != NULL)
    {
      connection->held--;
      connection->last_active = gm_now (held->connections->clock);
      connection_unref (connection);
    }
  g_signal_handler_disconnect (held->msg, held->disconnected_handler);
  g_object_unref (held->msg);
}
