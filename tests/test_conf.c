/* Declarations: the first line of each file in tests/declarations is the
   expected error message, or ok.  Settings: which changes a running process
   takes over.  */
#include "conf/declaration.h"
#include "conf/settings.h"
#include <glib/gstdio.h>
#include <string.h>

#define EXPECT "// expect: "

static void
check_file (gconstpointer data)
{
  const char *path = data;
  g_autofree char *text = NULL;
  gsize length;
  g_assert_true (g_file_get_contents (path, &text, &length, NULL));
  g_assert_true (g_str_has_prefix (text, EXPECT));
  const char *start = text + strlen (EXPECT);
  g_autofree char *expected = g_strndup (start, strcspn (start, "\n"));
  GmStatus status = { GM_OK, "" };
  g_autoptr (CfDeclaration) d
      = cf_declaration_parse (path, text, length, &status);
  if (strcmp (expected, "ok") == 0)
    {
      g_assert_cmpstr (status.message, ==, "");
      g_assert_nonnull (d);
      return;
    }
  g_assert_null (d);
  g_assert_cmpint (status.kind, ==, GM_INVALID);
  if (strstr (status.message, expected) == NULL)
    g_error ("%s: \"%s\" instead of \"%s\"", path, status.message, expected);
}

/* Returns settings with the given seeds, log level and drain time.  */
static CfSettings *
settings_with (const char *seeds, const char *level, int drain_ms)
{
  g_autofree char *text = g_strdup_printf (
      "{\"host\": \"h\", \"data_centre\": \"d\", \"cluster_key\": \"a long "
      "key of a test\", \"listen\": {\"link\": \"127.0.0.1:1\"}, \"roles\": "
      "[\"pool\"], \"control\": {\"seeds\": [%s]}, \"log\": {\"level\": "
      "\"%s\"}, \"limits\": {\"drain_ms\": %d}}",
      seeds, level, drain_ms);
  g_autofree char *path = NULL;
  GmStatus status = { GM_OK, "" };
  int file = g_file_open_tmp (NULL, &path, NULL);
  g_assert_cmpint (file, >=, 0);
  g_assert_true (g_close (file, NULL));
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  CfSettings *settings = cf_settings_read (path, &status);
  g_assert_cmpstr (status.message, ==, "");
  g_assert_cmpint (g_unlink (path), ==, 0);
  return settings;
}

#define ONE_SEED "\"127.0.0.1:7\""
#define TWO_SEEDS "\"127.0.0.1:7\", \"127.0.0.1:8\""

static const struct
{
  const char *seeds;
  const char *level;
  int drain_ms;
  guint changes;
} versions[] = {
  { ONE_SEED, "info", 1000, 0 },
  { TWO_SEEDS, "info", 1000, CF_CHANGED_PEERS },
  { TWO_SEEDS, "warn", 1000, CF_CHANGED_LOG_LEVEL },
  { TWO_SEEDS, "warn", 2000, CF_CHANGED_NEEDS_RESTART },
  { TWO_SEEDS, "warn", 2000, 0 },
  { ONE_SEED, "info", 3000,
    CF_CHANGED_PEERS | CF_CHANGED_LOG_LEVEL | CF_CHANGED_NEEDS_RESTART },
};

/* The same process takes over one version after the other.  A change that
   needs a restart is reported once and has no effect.  */
static void
test_settings_take (void)
{
  g_autoptr (CfSettings) settings = settings_with (ONE_SEED, "info", 1000);
  for (guint i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      g_autoptr (CfSettings) fresh = settings_with (
          versions[i].seeds, versions[i].level, versions[i].drain_ms);
      g_assert_cmpuint (cf_settings_apply (settings, fresh), ==,
                        versions[i].changes);
      g_assert_cmpuint (settings->peers->len, ==,
                        strcmp (versions[i].seeds, ONE_SEED) == 0 ? 1 : 2);
      g_assert_cmpstr (settings->log_level, ==, versions[i].level);
      g_assert_cmpint (settings->drain_ms, ==, 1000);
    }
}

static const struct
{
  const char *text;
  gboolean good;
} addresses[] = {
  { "127.0.0.1:80", TRUE },  { "[::1]:80", TRUE },
  { "127.0.0.1", TRUE },     { "[fe80::1%nic9]:80", FALSE },
  { "localhost:80", FALSE }, { "127.0.0.1:65536", FALSE },
  { "127.0.0:80", FALSE },   { "", FALSE },
  { "%:80", FALSE },         { "[]:80", FALSE },
  { "[::1:80", FALSE },      { "127.0.0.1:80:80", FALSE },
};

/* Every address that is accepted can be turned into a socket address: one that
   can't ended the process that connected to it.  */
static void
test_addresses (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      CfAddress address = { 0 };
      g_assert_cmpint (cf_address_parse (addresses[i].text, &address), ==,
                       addresses[i].good);
      g_free (address.ip);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_autoptr (GDir) dir
      = g_dir_open (SOURCE_DIR "/tests/declarations", 0, NULL);
  const char *name;
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *test = g_strconcat ("/declaration/", name, NULL);
      char *path
          = g_build_filename (SOURCE_DIR "/tests/declarations", name, NULL);
      g_test_add_data_func_full (test, path, check_file, g_free);
    }
  g_test_add_func ("/settings/take", test_settings_take);
  g_test_add_func ("/settings/addresses", test_addresses);
  return g_test_run ();
}
