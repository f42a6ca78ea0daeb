/* Tests of the router's choice: a database's queue is held in shares by
   several hosts, and an entry host chooses the holder that it sends requests
   to.  */
#include "session/router.h"
#include <string.h>

#define NOW (100 * GM_SECOND)
#define SHARES 4
#define ENTRIES 400

static CsState *
state_with_one_database (void)
{
  CsState *state = cs_new ();
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = (char *)"db",
                                    .group = (char *)"g",
                                    .address = (char *)"127.0.0.1:2",
                                    .data_centre = (char *)"dc",
                                    .slots = SHARES,
                                    .incarnation = 1 } };
  cs_apply (state, 1, &m, NULL);
  for (guint i = 0; i < SHARES; i++)
    {
      g_autofree char *name = g_strdup_printf ("holder%u", i);
      WmMessage up = { .type = WM_TYPE_CMD_HOST,
                       .cmd_host = { .host = name,
                                     .incarnation = 1,
                                     .caller = (char *)"",
                                     .link = (char *)"127.0.0.1:1",
                                     .data_centre = (char *)"dc",
                                     .roles = CS_POOL,
                                     .link_rate = 1400000 } };
      cs_apply (state, 2 + i, &up, NULL);
    }
  return state;
}

/* What an entry host knows of the holders of a queue's shares, and whether it
   chooses another holder than the preferred one.  */
static const struct
{
  GmTime preferred_wait; /* wait reported by the preferred holder */
  GmTime others_wait;    /* wait reported by every other holder */
  GmTime report_age;     /* of the reports */
  gboolean silent;       /* the preferred holder does not answer */
  gboolean other_chosen;
} holder_cases[] = {
  { 0, 0, 0, FALSE, FALSE },
  { 5 * GM_MS, 0, 0, FALSE, FALSE }, /* difference too small */
  { 20 * GM_MS, 0, 0, FALSE, TRUE }, /* a longer queue */
  { 20 * GM_MS, 15 * GM_MS, 0, FALSE, FALSE },
  { 20 * GM_MS, 0, 15 * GM_MS, FALSE, FALSE }, /* served by now */
  { 0, 0, 0, TRUE, TRUE },
  { 0, 100 * GM_MS, 0, TRUE, TRUE },
};

static void
test_holders (void)
{
  g_autoptr (CsState) state = state_with_one_database ();
  for (guint i = 0; i < G_N_ELEMENTS (holder_cases); i++)
    {
      LvCore *hosts = lv_new ();
      SrRouter *router = sr_new ("entry", "dc", hosts);
      LvEvent event;
      sr_state_changed (router, state);
      const CsHost *preferred = sr_holder (router, state, NOW, "db");
      const GPtrArray *holders = cs_queue_holders (state, "db");
      g_assert_cmpuint (holders->len, ==, SHARES);
      for (guint k = 0; k < SHARES; k++)
        {
          const CsHost *host = g_ptr_array_index (holders, k);
          sr_note_wait (router, NOW - holder_cases[i].report_age, "db",
                        host->host,
                        host == preferred ? holder_cases[i].preferred_wait
                                          : holder_cases[i].others_wait,
                        0);
        }
      if (holder_cases[i].silent)
        lv_sent (hosts, NOW - LV_SILENT_AFTER, preferred->host);
      while (lv_next (hosts, NOW, &event))
        continue;
      const CsHost *chosen = sr_holder (router, state, NOW, "db");
      g_assert_nonnull (chosen);
      g_assert_cmpint (chosen != preferred, ==, holder_cases[i].other_chosen);
      sr_free (router);
      lv_free (hosts);
    }
}

/* Entry hosts without any reports spread evenly over the holders: none gets
   more than one and a half times the average.  */
static void
test_spread (void)
{
  g_autoptr (CsState) state = state_with_one_database ();
  g_autoptr (GHashTable) counts = g_hash_table_new (NULL, NULL);
  LvCore *hosts = lv_new ();
  for (guint i = 0; i < ENTRIES; i++)
    {
      g_autofree char *name = g_strdup_printf ("frontend-%u", i);
      SrRouter *router = sr_new (name, "dc", hosts);
      sr_state_changed (router, state);
      gpointer host = (gpointer)sr_holder (router, state, NOW, "db");
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, host)) + 1;
      g_hash_table_insert (counts, host, GUINT_TO_POINTER (count));
      g_assert_cmpuint (2 * count * SHARES, <=, 3 * ENTRIES);
      sr_free (router);
    }
  g_assert_cmpuint (g_hash_table_size (counts), ==, SHARES);
  lv_free (hosts);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router/holders", test_holders);
  g_test_add_func ("/router/spread", test_spread);
  return g_test_run ();
}
