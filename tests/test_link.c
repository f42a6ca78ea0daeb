/* Links over real sockets: keys, garbage, bounds and back-pressure.  */
#include "base/event.h"
#include "wire/link.h"
#include <gio/gio.h>
#include <string.h>

#define GUARD_S 20 /* a test that hangs fails */

/* What both ends saw.  */
typedef struct
{
  GMainLoop *loop;
  LkLink *accepted;
  guint up;
  guint down;
  guint messages;
  gsize bytes;
} Ends;

static void
on_up (LkLink *link, void *owner)
{
  Ends *ends = owner;
  ends->up++;
  if (lk_peer (link) != NULL && strcmp (lk_peer (link), "dialer") == 0)
    ends->accepted = link;
  if (ends->up == 2)
    g_main_loop_quit (ends->loop);
}

static void
on_message (LkLink *link, const WmMessage *m, void *owner)
{
  (void)link;
  Ends *ends = owner;
  ends->messages++;
  ends->bytes += g_bytes_get_size (m->state.data);
  g_main_loop_quit (ends->loop);
}

static void
on_down (LkLink *link, void *owner)
{
  Ends *ends = owner;
  if (link == ends->accepted)
    ends->accepted = NULL;
  ends->down++;
  g_main_loop_quit (ends->loop);
}

static const LkHandler handler
    = { .up = on_up, .message = on_message, .down = on_down };

static gboolean
guard (gpointer data)
{
  (void)data;
  g_error ("the test does not get on");
  return G_SOURCE_REMOVE;
}

static void
wait_for (Ends *ends)
{
  guint timer = g_timeout_add_seconds (GUARD_S, guard, NULL);
  g_main_loop_run (ends->loop);
  g_source_remove (timer);
}

static const LkIdentity server_self
    = { "server", 1, "the key of the cluster" };
static const LkIdentity dialer_self
    = { "dialer", 2, "the key of the cluster" };
static const LkIdentity stranger = { "dialer", 2, "another key altogether" };

static LkServer *
listen_here (Ends *ends, CfAddress *address)
{
  memset (ends, 0, sizeof *ends);
  ends->loop = g_main_loop_new (NULL, FALSE);
  address->ip = g_strdup ("127.0.0.1");
  address->port = 0;
  LkServer *server = lk_listen (address, &server_self, &handler, ends, NULL);
  g_assert_nonnull (server);
  return server;
}

static void
clean_up (Ends *ends, LkServer *server, CfAddress *address)
{
  lk_server_free (server);
  g_free (address->ip);
  g_main_loop_unref (ends->loop);
}

static void
test_message (void)
{
  Ends ends;
  CfAddress address;
  LkServer *server = listen_here (&ends, &address);
  LkLink *link = lk_dial (&address, &dialer_self, &handler, &ends);
  WmMessage m = { .type = WM_TYPE_STATE };
  g_assert_false (lk_send (link, &m));
  wait_for (&ends);
  g_assert_cmpstr (lk_peer (link), ==, "server");
  g_assert_cmpuint (lk_incarnation (ends.accepted), ==, 2);
  g_autoptr (GBytes) block = g_bytes_new_take (g_malloc0 (100000), 100000);
  m.state.data = block;
  g_assert_true (lk_send (link, &m));
  wait_for (&ends);
  g_assert_cmpuint (ends.messages, ==, 1);
  g_assert_cmpuint (ends.bytes, ==, 100000);
  lk_close (link);
  wait_for (&ends); /* the accepting end hears of it */
  clean_up (&ends, server, &address);
}

static void
test_wrong_key (void)
{
  Ends ends;
  CfAddress address;
  LkServer *server = listen_here (&ends, &address);
  LkLink *link = lk_dial (&address, &stranger, &handler, &ends);
  wait_for (&ends);
  if (ends.down < 2)
    wait_for (&ends);
  g_assert_cmpuint (ends.up, ==, 0);
  g_assert_cmpuint (ends.down, ==, 2);
  lk_close (link);
  clean_up (&ends, server, &address);
}

/* A send queue that is full refuses; what it took still arrives.  */
static void
test_back_pressure (void)
{
  Ends ends;
  CfAddress address;
  LkServer *server = listen_here (&ends, &address);
  LkLink *link = lk_dial (&address, &dialer_self, &handler, &ends);
  wait_for (&ends);
  const gsize size = 1024 * 1024;
  g_autoptr (GBytes) block = g_bytes_new_take (g_malloc0 (size), size);
  WmMessage m = { .type = WM_TYPE_STATE, .state = { .data = block } };
  guint taken = 0;
  while (taken < 1000 && lk_send (link, &m))
    taken++;
  g_assert_cmpuint (taken, >=, LK_QUEUE_MAX / size);
  g_assert_cmpuint (taken, <=, LK_QUEUE_MAX / size + 4);
  while (ends.messages < taken)
    wait_for (&ends);
  g_assert_true (lk_send (link, &m));
  lk_close (link);
  while (ends.down < 1)
    wait_for (&ends);
  clean_up (&ends, server, &address);
}

/* What a stranger sends first; each closes its own connection only.  */
static const struct
{
  const char *name;
  const char *bytes;
  gsize length;
} garbage[] = {
  { "too-long", "\x7f\xff\xff\xff", 4 },
  { "no-length", "\0\0\0\0", 4 },
  { "not-msgpack", "\0\0\0\x03\xc1\xc1\xc1", 7 },
  { "http", "GET / HTTP/1.0\r\n\r\n", 18 },
};

static void
test_garbage (gconstpointer data)
{
  gsize i = GPOINTER_TO_SIZE (data);
  Ends ends;
  CfAddress address;
  LkServer *server = listen_here (&ends, &address);
  LkLink *link = lk_dial (&address, &dialer_self, &handler, &ends);
  wait_for (&ends);
  guint64 bad = gm_metric (GM_M_frames_bad_total);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) raw = g_socket_client_connect_to_host (
      client, "127.0.0.1", address.port, NULL, NULL);
  g_assert_nonnull (raw);
  g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (raw)),
                             garbage[i].bytes, garbage[i].length, NULL, NULL,
                             NULL);
  wait_for (&ends);
  g_assert_cmpuint (ends.down, ==, 1);
  g_assert_cmpuint (gm_metric (GM_M_frames_bad_total), ==, bad + 1);
  g_assert_true (lk_is_up (link));
  lk_close (link);
  wait_for (&ends);
  clean_up (&ends, server, &address);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/message", test_message);
  g_test_add_func ("/link/wrong-key", test_wrong_key);
  g_test_add_func ("/link/back-pressure", test_back_pressure);
  for (gsize i = 0; i < G_N_ELEMENTS (garbage); i++)
    {
      g_autofree char *name
          = g_strconcat ("/link/garbage/", garbage[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_garbage);
    }
  return g_test_run ();
}
