/* How a host's copy of the control state is kept up to date by its control
   host, and what that costs the host's link.  */
#include "control/control.h"
#include "control/subscriber.h"
#include "fuzz/memstore.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define TICK (10 * GM_MS)
#define TRIP (1 * GM_MS)
#define LINK 5
#define SERVICES 64 /* a usual configuration's */
/* What control may cost a host at the size that the system is designed for,
   in bytes a second.  */
#define BUDGET 10000

typedef struct
{
  ClStore *store;
  CoCore *core;
  SbCore *host;
  GmTime now;
  gsize bytes; /* sent to the host */
  guint texts; /* of them, messages that brought a newer state */
} Bench;

static void
bench_init (Bench *b)
{
  CoIdentity self = { "c1", "disk", "c1", 7 };
  memset (b, 0, sizeof *b);
  b->now = START;
  b->store = memstore_new ();
  b->core = co_open (&self, b->store, START, NULL);
  g_assert_cmpint (cl_bootstrap (co_log (b->core), START, NULL), ==, GM_OK);
  co_tick (b->core, START, 0);
  b->host = sb_new ("h", 1, 0, START);
  sb_tick (b->host, START);
  sb_link_up (b->host, START);
}

static void
bench_clear (Bench *b)
{
  sb_free (b->host);
  co_free (b->core);
  b->store->class->free (b->store);
}

/* A declaration with NUMBER of many services; free it with g_free.  */
static char *
declaration (guint number)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_string_append_printf (text,
                          "{\"number\": %u, \"numbering\": \"highest\","
                          " \"groups\": [{\"name\": \"g\"}], \"services\": [",
                          number);
  for (guint i = 0; i < SERVICES; i++)
    g_string_append_printf (
        text,
        "%s{\"name\": \"service-%08x\", \"depends_on\": [\"g\"],"
        " \"rank\": \"routine\", \"deadline_ms\": %u, \"target_ms\": 200,"
        " \"worth\": 2, \"reads\": \"session\", \"max_age_ms\": 2500}",
        i > 0 ? ", " : "", i * 2654435761u, 700 + number);
  g_string_append (text, "]}");
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static void
propose (Bench *b, const WmMessage *command)
{
  g_autoptr (GBytes) block = wm_encode (command);
  WmMessage m = { .type = WM_TYPE_PROPOSE,
                  .propose
                  = { .sequence = 1, .host = (char *)"h", .command = block } };
  co_receive (b->core, b->now, LINK + 1, "c2", &m);
}

static void
configure (Bench *b, guint number)
{
  g_autofree char *text = declaration (number);
  g_autoptr (GBytes) block = g_bytes_new (text, strlen (text));
  g_autoptr (CfDeclaration) parsed
      = cf_declaration_parse ("test", text, strlen (text), NULL);
  g_autoptr (GBytes) groups = cs_group_names (parsed);
  g_autofree char *digest = cs_digest (text, strlen (text));
  WmMessage c = { .type = WM_TYPE_CMD_CONFIG,
                  .cmd_config = { .number = number,
                                  .digest = digest,
                                  .text = block,
                                  .who = (char *)"test",
                                  .highest = 1,
                                  .source = block,
                                  .groups = groups } };
  propose (b, &c);
}

static void
beat (Bench *b)
{
  if (!sb_beat_due (b->host, b->now))
    return;
  WmMessage m = { .type = WM_TYPE_SUBSCRIBE,
                  .subscribe = { .host = (char *)"h",
                                 .incarnation = 1,
                                 .version = sb_state (b->host)->version,
                                 .sent = (guint64)b->now,
                                 .caller = (char *)"",
                                 .link = (char *)"127.0.0.1:1",
                                 .data_centre = (char *)"dc" } };
  co_receive (b->core, b->now, LINK, "h", &m);
}

/* Carries what the control host sends, and lets the host answer.  */
static void
carry (Bench *b)
{
  CoSend send;
  b->now += TRIP;
  while (co_take_send (b->core, &send))
    {
      if (send.link == LINK)
        {
          g_autoptr (GBytes) frame = wm_encode (&send.message);
          b->bytes += g_bytes_get_size (frame) + WM_LENGTH_BYTES;
          b->texts += sb_receive (b->host, b->now, &send.message) ? 1 : 0;
        }
      g_free (send.to);
      wm_clear (&send.message);
    }
  beat (b);
}

static void
step (Bench *b)
{
  co_tick (b->core, b->now, 0);
  beat (b);
  carry (b);
  b->now += TICK - TRIP;
  sb_tick (b->host, b->now);
}

static void
run_until (Bench *b, GmTime until)
{
  while (b->now < until)
    step (b);
}

/* Guards against SHORT: in a storm of configurations each one crossed each
   host's small link, and statements waited behind them.  */
static void
test_storm (void)
{
  Bench b;
  bench_init (&b);
  configure (&b, 1);
  run_until (&b, START + GM_SECOND);
  g_assert_cmpuint (cs_declaration (sb_state (b.host))->number, ==, 1);
  b.bytes = 0;
  GmTime since = b.now;
  for (guint i = 0; i < 25; i++)
    {
      configure (&b, 2 + i);
      run_until (&b, b.now + 60 * GM_MS);
      g_assert_false (sb_is_cut_off (b.host, b.now));
    }
  run_until (&b, b.now + 500 * GM_MS);
  GmTime took = b.now - since;
  g_test_message ("%zu bytes in %d ms", b.bytes, (int)(took / GM_MS));
  g_assert_cmpuint (cs_declaration (sb_state (b.host))->number, ==, 26);
  g_assert_cmpint ((gint64)b.bytes, <=, BUDGET * took / GM_SECOND);
  g_autoptr (GBytes) theirs = cs_encode_for_hosts (co_state (b.core));
  g_autoptr (GBytes) own = cs_encode_for_hosts (sb_state (b.host));
  g_assert_true (g_bytes_equal (theirs, own));
  bench_clear (&b);
}

/* What the control state tells of primaries and hosts does not wait for the
   next configuration.  */
static void
test_urgent_news (void)
{
  Bench b;
  bench_init (&b);
  configure (&b, 1);
  run_until (&b, START + GM_SECOND);
  configure (&b, 2);
  run_until (&b, b.now + TICK);
  configure (&b, 3);
  guint64 before = sb_state (b.host)->version;
  WmMessage up = { .type = WM_TYPE_CMD_HOST,
                   .cmd_host = { .host = (char *)"other",
                                 .incarnation = 1,
                                 .caller = (char *)"",
                                 .link = (char *)"127.0.0.1:2",
                                 .data_centre = (char *)"dc",
                                 .roles = CS_POOL } };
  propose (&b, &up);
  run_until (&b, b.now + 2 * TICK);
  g_assert_cmpuint (sb_state (b.host)->version, >, before);
  g_assert_nonnull (g_hash_table_lookup (sb_state (b.host)->hosts, "other"));
  g_assert_cmpuint (cs_declaration (sb_state (b.host))->number, ==, 3);
  bench_clear (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/feed/storm", test_storm);
  g_test_add_func ("/feed/urgent-news", test_urgent_news);
  return g_test_run ();
}
