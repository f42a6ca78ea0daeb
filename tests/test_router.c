/* Which share of a database's queue an entry host sends to.  */
#include "session/router.h"
#include <string.h>

#define NOW (100 * GM_SECOND)
#define SHARES 4
#define ENTRIES 400

static CsState *
one_database (void)
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

/* What an entry host knows of its preferred share and the others, and whether
   it goes elsewhere.  */
static const struct
{
  GmTime preferred; /* wait that its holder told of */
  GmTime others;    /* the same of all other holders */
  GmTime age;       /* since they told it */
  gboolean silent;  /* the preferred share's holder */
  gboolean leaves;
} rows[] = {
  { 0, 0, 0, FALSE, FALSE },
  { 5 * GM_MS, 0, 0, FALSE, FALSE }, /* not worth a change */
  { 20 * GM_MS, 0, 0, FALSE, TRUE }, /* a longer queue */
  { 20 * GM_MS, 15 * GM_MS, 0, FALSE, FALSE },
  { 20 * GM_MS, 0, 15 * GM_MS, FALSE, FALSE }, /* it is served meanwhile */
  { 0, 0, 0, TRUE, TRUE },
  { 0, 100 * GM_MS, 0, TRUE, TRUE },
};

static void
test_holders (void)
{
  g_autoptr (CsState) state = one_database ();
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      LvCore *hosts = lv_new ();
      SrRouter *router = sr_new ("entry", "dc", hosts);
      LvEvent event;
      sr_state (router, state);
      const CsHost *preferred = sr_holder (router, state, NOW, "db");
      const GPtrArray *holders = cs_holders (state, "db");
      g_assert_cmpuint (holders->len, ==, SHARES);
      for (guint k = 0; k < SHARES; k++)
        {
          const CsHost *host = g_ptr_array_index (holders, k);
          sr_note_wait (router, NOW - rows[i].age, "db", host->host,
                        host == preferred ? rows[i].preferred : rows[i].others,
                        0);
        }
      if (rows[i].silent)
        lv_sent (hosts, NOW - LV_SILENT, preferred->host);
      while (lv_next (hosts, NOW, &event))
        continue;
      const CsHost *chosen = sr_holder (router, state, NOW, "db");
      g_assert_nonnull (chosen);
      g_assert_cmpint (chosen != preferred, ==, rows[i].leaves);
      sr_free (router);
      lv_free (hosts);
    }
}

/* Entry hosts that know nothing yet spread over the shares: none has a half
   more than its even part.  */
static void
test_spread (void)
{
  g_autoptr (CsState) state = one_database ();
  g_autoptr (GHashTable) counts = g_hash_table_new (NULL, NULL);
  LvCore *hosts = lv_new ();
  for (guint i = 0; i < ENTRIES; i++)
    {
      g_autofree char *name = g_strdup_printf ("frontend-%u", i);
      SrRouter *router = sr_new (name, "dc", hosts);
      sr_state (router, state);
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
