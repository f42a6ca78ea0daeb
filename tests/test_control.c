/* Which heartbeats a control host answers as those of its own subscribers, and
   which come from other control hosts that only forward them.  */
#include "control/control.h"
#include "fuzz/memstore.h"
#include <string.h>

#define START (100 * GM_SECOND)

/* A heartbeat of HOST that arrives from FROM on LINK, and whether messages are
   sent back on that link.  */
static const struct
{
  guint64 link; /* 0: on a link that this host dialed */
  const char *from;
  const char *host;
  gboolean forwarded;
  gboolean has_answer;
} heartbeats[] = {
  { 5, "h", "h", FALSE, TRUE },
  /* Another control host forwards a subscriber's heartbeat, or its own.  */
  { 6, "c2", "h", TRUE, FALSE },
  { 6, "c2", "c2", TRUE, FALSE },
  { 6, "c2", "c2", FALSE, TRUE },
  { 0, "c2", "c2", TRUE, FALSE },
  { 0, "c2", "c2", FALSE, FALSE },
};

static guint
drain_sends (CoCore *core, guint64 link)
{
  CoSend send;
  guint found = 0;
  while (co_take_send (core, &send))
    {
      g_assert_true (send.link != 0 || send.to != NULL);
      found += link != 0 && send.link == link ? 1 : 0;
      g_free (send.to);
      wm_clear (&send.message);
    }
  return found;
}

static void
test_heartbeats (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (heartbeats); i++)
    {
      CoIdentity self = { "c1", "disk", "c1", 7 };
      ClStore *store = memstore_new ();
      CoCore *core = co_open (&self, store, START, NULL);
      g_assert_cmpint (cl_bootstrap (co_log (core), START, NULL), ==, GM_OK);
      co_tick (core, START, 0);
      g_assert_true (co_leads (core));
      drain_sends (core, 0);
      WmMessage beat
          = { .type = WM_TYPE_SUBSCRIBE,
              .subscribe = { .host = (char *)heartbeats[i].host,
                             .incarnation = 1,
                             .sent = 1,
                             .caller = (char *)"",
                             .link = (char *)"127.0.0.1:1",
                             .data_centre = (char *)"dc",
                             .roles = CS_POOL,
                             .forwarded = heartbeats[i].forwarded ? 1 : 0 } };
      co_receive (core, START, heartbeats[i].link, heartbeats[i].from, &beat);
      g_assert_cmpint (drain_sends (core, heartbeats[i].link) > 0, ==,
                       heartbeats[i].has_answer);
      /* In every case the host becomes a member.  */
      co_tick (core, START + 200 * GM_MS, 0);
      g_assert_nonnull (
          g_hash_table_lookup (co_state (core)->hosts, heartbeats[i].host));
      co_free (core);
      store->class->free (store);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control/heartbeats", test_heartbeats);
  return g_test_run ();
}
