/* Tests of links over real sockets: authentication, invalid input, limits and
   back-pressure.  */
#include "base/event.h"
#include "wire/link.h"
#include <gio/gio.h>
#include <string.h>

#define TEST_TIMEOUT_S 20 /* after which a hanging test fails */

/* Events seen by both ends of a link.  */
typedef struct
{
  GMainLoop *loop;
  LkLink *accepted;
  guint up;
  guint down;
  guint messages;
  gsize bytes;
} TestState;

static void
on_up (LkLink *link, void *owner)
{
  TestState *state = owner;
  state->up++;
  if (lk_peer (link) != NULL && strcmp (lk_peer (link), "dialer") == 0)
    state->accepted = link;
  if (state->up == 2)
    g_main_loop_quit (state->loop);
}

static void
on_message (LkLink *link, const WmMessage *m, void *owner)
{
  (void)link;
  TestState *state = owner;
  state->messages++;
  state->bytes += g_bytes_get_size (m->state.data);
  g_main_loop_quit (state->loop);
}

static void
on_down (LkLink *link, void *owner)
{
  TestState *state = owner;
  if (link == state->accepted)
    state->accepted = NULL;
  state->down++;
  g_main_loop_quit (state->loop);
}

static const LkHandler handler
    = { .up = on_up, .message = on_message, .down = on_down };

static gboolean
on_test_timeout (gpointer data)
{
  (void)data;
  g_error ("the test timed out");
  return G_SOURCE_REMOVE;
}

static void
run_until_event (TestState *state)
{
  guint timer = g_timeout_add_seconds (TEST_TIMEOUT_S, on_test_timeout, NULL);
  g_main_loop_run (state->loop);
  g_source_remove (timer);
}

static const LkIdentity server_self
    = { "server", 1, "the key of the cluster" };
static const LkIdentity dialer_self
    = { "dialer", 2, "the key of the cluster" };
static const LkIdentity wrong_key_self
    = { "dialer", 2, "another key altogether" };

static LkServer *
start_server (TestState *state, CfAddress *address)
{
  memset (state, 0, sizeof *state);
  state->loop = g_main_loop_new (NULL, FALSE);
  address->ip = g_strdup ("127.0.0.1");
  address->port = 0;
  LkServer *server = lk_listen (address, &server_self, &handler, state, NULL);
  g_assert_nonnull (server);
  return server;
}

static void
stop_server (TestState *state, LkServer *server, CfAddress *address)
{
  lk_server_free (server);
  g_free (address->ip);
  g_main_loop_unref (state->loop);
}

static void
test_message (void)
{
  TestState state;
  CfAddress address;
  LkServer *server = start_server (&state, &address);
  LkLink *link = lk_dial (&address, &dialer_self, &handler, &state);
  WmMessage m = { .type = WM_TYPE_STATE };
  g_assert_false (lk_send (link, &m));
  run_until_event (&state);
  g_assert_cmpstr (lk_peer (link), ==, "server");
  g_assert_cmpuint (lk_incarnation (state.accepted), ==, 2);
  g_autoptr (GBytes) block = g_bytes_new_take (g_malloc0 (100000), 100000);
  m.state.data = block;
  g_assert_true (lk_send (link, &m));
  run_until_event (&state);
  g_assert_cmpuint (state.messages, ==, 1);
  g_assert_cmpuint (state.bytes, ==, 100000);
  lk_close (link);
  run_until_event (&state); /* for the down event of the accepted link */
  stop_server (&state, server, &address);
}

static void
test_wrong_key (void)
{
  TestState state;
  CfAddress address;
  LkServer *server = start_server (&state, &address);
  LkLink *link = lk_dial (&address, &wrong_key_self, &handler, &state);
  run_until_event (&state);
  if (state.down < 2)
    run_until_event (&state);
  g_assert_cmpuint (state.up, ==, 0);
  g_assert_cmpuint (state.down, ==, 2);
  lk_close (link);
  stop_server (&state, server, &address);
}

/* A full send queue refuses further messages; all accepted messages arrive. */
static void
test_back_pressure (void)
{
  TestState state;
  CfAddress address;
  LkServer *server = start_server (&state, &address);
  LkLink *link = lk_dial (&address, &dialer_self, &handler, &state);
  run_until_event (&state);
  const gsize size = 1024 * 1024;
  g_autoptr (GBytes) block = g_bytes_new_take (g_malloc0 (size), size);
  WmMessage m = { .type = WM_TYPE_STATE, .state = { .data = block } };
  guint taken = 0;
  while (taken < 1000 && lk_send (link, &m))
    taken++;
  g_assert_cmpuint (taken, >=, LK_SEND_QUEUE_MAX_BYTES / size);
  g_assert_cmpuint (taken, <=, LK_SEND_QUEUE_MAX_BYTES / size + 4);
  while (state.messages < taken)
    run_until_event (&state);
  g_assert_true (lk_send (link, &m));
  lk_close (link);
  while (state.down < 1)
    run_until_event (&state);
  stop_server (&state, server, &address);
}

/* Invalid first bytes on a new connection.  Each closes only its own
   connection.  */
static const struct
{
  const char *name;
  const char *bytes;
  gsize length;
} invalid_inputs[] = {
  { "too-long", "\x7f\xff\xff\xff", 4 },
  { "no-length", "\0\0\0\0", 4 },
  { "not-msgpack", "\0\0\0\x03\xc1\xc1\xc1", 7 },
  { "http", "GET / HTTP/1.0\r\n\r\n", 18 },
};

static void
test_garbage (gconstpointer data)
{
  gsize i = GPOINTER_TO_SIZE (data);
  TestState state;
  CfAddress address;
  LkServer *server = start_server (&state, &address);
  LkLink *link = lk_dial (&address, &dialer_self, &handler, &state);
  run_until_event (&state);
  guint64 bad = gm_metric (GM_M_frames_bad_total);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) raw = g_socket_client_connect_to_host (
      client, "127.0.0.1", address.port, NULL, NULL);
  g_assert_nonnull (raw);
  g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (raw)),
                             invalid_inputs[i].bytes, invalid_inputs[i].length,
                             NULL, NULL, NULL);
  run_until_event (&state);
  g_assert_cmpuint (state.down, ==, 1);
  g_assert_cmpuint (gm_metric (GM_M_frames_bad_total), ==, bad + 1);
  g_assert_true (lk_is_up (link));
  lk_close (link);
  run_until_event (&state);
  stop_server (&state, server, &address);
}

/* Addresses that an earlier version let into the control state.  */
static const char *const unusable_addresses[]
    = { "fe80::1%nic9", "::1", "localhost", "" };

/* Dialing an address of no use fails like any other dial: it ended the
   process.  */
static void
test_unusable_address (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (unusable_addresses); i++)
    {
      TestState state = { .loop = g_main_loop_new (NULL, FALSE) };
      CfAddress address = { (char *)unusable_addresses[i], 80 };
      LkLink *link = lk_dial (&address, &dialer_self, &handler, &state);
      run_until_event (&state);
      g_assert_cmpuint (state.down, ==, 1);
      lk_close (link);
      GmStatus status;
      g_assert_null (
          lk_listen (&address, &server_self, &handler, &state, &status));
      g_assert_cmpint (status.kind, ==, GM_IO);
      g_main_loop_unref (state.loop);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/message", test_message);
  g_test_add_func ("/link/wrong-key", test_wrong_key);
  g_test_add_func ("/link/unusable-address", test_unusable_address);
  g_test_add_func ("/link/back-pressure", test_back_pressure);
  for (gsize i = 0; i < G_N_ELEMENTS (invalid_inputs); i++)
    {
      g_autofree char *name
          = g_strconcat ("/link/garbage/", invalid_inputs[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_garbage);
    }
  return g_test_run ();
}
