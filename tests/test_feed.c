/* Updates that a control host sends to keep a host's copy of the control state
   current, and the bytes that they take on the host's link.  */
#include "control/control.h"
#include "control/subscriber.h"
#include "fuzz/memstore.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define TICK (10 * GM_MS)
#define ONE_WAY_DELAY (1 * GM_MS)
#define LINK 5
#define SERVICES 64 /* of a typical configuration */
/* Bytes a second that control traffic may take on a host's link at the design
   size of the system.  */
#define BYTES_PER_SECOND_MAX 10000

typedef struct
{
  ClStore *store;
  CoCore *core;
  SbCore *subscriber;
  GmTime now;
  gsize bytes_to_host;      /* sent to the subscriber */
  guint state_update_count; /* messages that changed its copy */
} Fixture;

static void
fixture_init (Fixture *f)
{
  CoIdentity self = { "c1", "disk", "c1", 7 };
  memset (f, 0, sizeof *f);
  f->now = START;
  f->store = memstore_new ();
  f->core = co_open (&self, f->store, START, NULL);
  g_assert_cmpint (cl_bootstrap (co_log (f->core), START, NULL), ==, GM_OK);
  co_tick (f->core, START, 0);
  f->subscriber = sb_new ("h", 1, 0, START);
  sb_tick (f->subscriber, START);
  sb_link_up (f->subscriber, START);
}

static void
fixture_clear (Fixture *f)
{
  sb_free (f->subscriber);
  co_free (f->core);
  f->store->class->free (f->store);
}

/* Returns a declaration with NUMBER and SERVICES services; free it with
   g_free.  */
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
propose (Fixture *f, const WmMessage *command)
{
  g_autoptr (GBytes) block = wm_encode (command);
  WmMessage m = { .type = WM_TYPE_PROPOSE,
                  .propose
                  = { .sequence = 1, .host = (char *)"h", .command = block } };
  co_receive (f->core, f->now, LINK + 1, "c2", &m);
}

static void
configure (Fixture *f, guint number)
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
  propose (f, &c);
}

static void
send_heartbeat (Fixture *f)
{
  if (!sb_heartbeat_due (f->subscriber, f->now))
    return;
  WmMessage m = { .type = WM_TYPE_SUBSCRIBE,
                  .subscribe = { .host = (char *)"h",
                                 .incarnation = 1,
                                 .version = sb_state (f->subscriber)->version,
                                 .sent = (guint64)f->now,
                                 .caller = (char *)"",
                                 .link = (char *)"127.0.0.1:1",
                                 .data_centre = (char *)"dc" } };
  co_receive (f->core, f->now, LINK, "h", &m);
}

/* Delivers the messages of the control host, then lets the subscriber send its
   heartbeat.  */
static void
deliver (Fixture *f)
{
  CoSend send;
  f->now += ONE_WAY_DELAY;
  while (co_take_send (f->core, &send))
    {
      if (send.link == LINK)
        {
          g_autoptr (GBytes) frame = wm_encode (&send.message);
          f->bytes_to_host += g_bytes_get_size (frame) + WM_LENGTH_BYTES;
          f->state_update_count
              += sb_receive (f->subscriber, f->now, &send.message) ? 1 : 0;
        }
      g_free (send.to);
      wm_clear (&send.message);
    }
  send_heartbeat (f);
}

static void
step (Fixture *f)
{
  co_tick (f->core, f->now, 0);
  send_heartbeat (f);
  deliver (f);
  f->now += TICK - ONE_WAY_DELAY;
  sb_tick (f->subscriber, f->now);
}

static void
run_until (Fixture *f, GmTime until)
{
  while (f->now < until)
    step (f);
}

/* Incident SHORT: many configurations followed each other quickly, each was
   sent over every host's slow link, and statements waited behind them.  */
static void
test_storm (void)
{
  Fixture f;
  fixture_init (&f);
  configure (&f, 1);
  run_until (&f, START + GM_SECOND);
  g_assert_cmpuint (cs_declaration (sb_state (f.subscriber))->number, ==, 1);
  f.bytes_to_host = 0;
  GmTime since = f.now;
  for (guint i = 0; i < 25; i++)
    {
      configure (&f, 2 + i);
      run_until (&f, f.now + 60 * GM_MS);
      g_assert_false (sb_is_cut_off (f.subscriber, f.now));
    }
  run_until (&f, f.now + 500 * GM_MS);
  GmTime took = f.now - since;
  g_test_message ("%zu bytes in %d ms", f.bytes_to_host, (int)(took / GM_MS));
  g_assert_cmpuint (cs_declaration (sb_state (f.subscriber))->number, ==, 26);
  g_assert_cmpint ((gint64)f.bytes_to_host, <=,
                   BYTES_PER_SECOND_MAX * took / GM_SECOND);
  g_autoptr (GBytes) theirs = cs_encode_for_hosts (co_state (f.core));
  g_autoptr (GBytes) own = cs_encode_for_hosts (sb_state (f.subscriber));
  g_assert_true (g_bytes_equal (theirs, own));
  fixture_clear (&f);
}

/* Changes of primaries and hosts are not deferred like configurations.  */
static void
test_host_update_not_deferred (void)
{
  Fixture f;
  fixture_init (&f);
  configure (&f, 1);
  run_until (&f, START + GM_SECOND);
  configure (&f, 2);
  run_until (&f, f.now + TICK);
  configure (&f, 3);
  guint64 before = sb_state (f.subscriber)->version;
  WmMessage up = { .type = WM_TYPE_CMD_HOST,
                   .cmd_host = { .host = (char *)"other",
                                 .incarnation = 1,
                                 .caller = (char *)"",
                                 .link = (char *)"127.0.0.1:2",
                                 .data_centre = (char *)"dc",
                                 .roles = CS_POOL } };
  propose (&f, &up);
  run_until (&f, f.now + 2 * TICK);
  g_assert_cmpuint (sb_state (f.subscriber)->version, >, before);
  g_assert_nonnull (
      g_hash_table_lookup (sb_state (f.subscriber)->hosts, "other"));
  g_assert_cmpuint (cs_declaration (sb_state (f.subscriber))->number, ==, 3);
  fixture_clear (&f);
}

/* How long the machines have been up, and whether a quorum has confirmed the
   control host that answers.  */
static const struct
{
  GmTime up;
  gboolean confirmed;
} uptimes[] = {
  { 100 * GM_SECOND, FALSE },
  { 100 * GM_SECOND, TRUE },
  { 40 * 24 * 3600 * GM_SECOND, FALSE },
  { 40 * 24 * 3600 * GM_SECOND, TRUE },
};

/* A copy counts as current only by the stamp of a control host that a quorum
   confirmed.  Guards against a host that serves what a control host without a
   quorum holds, because its machine has been up for weeks.  */
static void
test_unconfirmed (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (uptimes); i++)
    {
      GmTime now = uptimes[i].up;
      CoIdentity self = { "c1", "disk", "c1", 7 };
      ClStore *store = memstore_new ();
      CoCore *core = co_open (&self, store, now, NULL);
      if (uptimes[i].confirmed)
        g_assert_cmpint (cl_bootstrap (co_log (core), now, NULL), ==, GM_OK);
      co_tick (core, now, 0);
      SbCore *subscriber = sb_new ("h", 1, 0, now);
      sb_tick (subscriber, now);
      sb_link_up (subscriber, now);
      WmMessage beat = { .type = WM_TYPE_SUBSCRIBE,
                         .subscribe = { .host = (char *)"h",
                                        .sent = (guint64)now,
                                        .caller = (char *)"",
                                        .link = (char *)"127.0.0.1:1",
                                        .data_centre = (char *)"" } };
      co_receive (core, now, LINK, "h", &beat);
      CoSend send;
      while (co_take_send (core, &send))
        {
          if (send.link == LINK)
            sb_receive (subscriber, now, &send.message);
          g_free (send.to);
          wm_clear (&send.message);
        }
      /* Times before 0 stand for no stamp at all.  */
      g_assert_cmpint (sb_age (subscriber, now) < now, ==,
                       uptimes[i].confirmed);
      sb_free (subscriber);
      co_free (core);
      store->class->free (store);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/feed/storm", test_storm);
  g_test_add_func ("/feed/urgent-news", test_host_update_not_deferred);
  g_test_add_func ("/feed/unconfirmed", test_unconfirmed);
  return g_test_run ();
}
