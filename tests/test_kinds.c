/* Error kinds and statuses: what is read where none was set, or where a number
   comes from another process.  */
#include "base/kind.h"
#include <string.h>

/* Guards against a status that is read without having been set: its kind was
   whatever the stack held, which ended the process or was taken for ok.  */
static void
check_file (const char *path, guint *found)
{
  g_autofree char *text = NULL;
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  /* Members of structures get their values elsewhere.  */
  g_autoptr (GRegex) structure
      = g_regex_new ("^(typedef )?struct[^;{]*\\{.*?^\\}",
                     G_REGEX_MULTILINE | G_REGEX_DOTALL, 0, NULL);
  g_autofree char *code
      = g_regex_replace_literal (structure, text, -1, 0, "", 0, NULL);
  g_autoptr (GRegex) unset
      = g_regex_new ("^ +GmStatus \\w+;", G_REGEX_MULTILINE, 0, NULL);
  g_autoptr (GRegex) set
      = g_regex_new ("^ +GmStatus \\w+ =", G_REGEX_MULTILINE, 0, NULL);
  g_autoptr (GMatchInfo) match = NULL;
  if (g_regex_match (unset, code, 0, NULL))
    g_error ("%s declares a GmStatus without a value", path);
  for (g_regex_match (set, code, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL))
    (*found)++;
}

static void
check_folder (const char *path, guint *found)
{
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  const char *name;
  g_assert_nonnull (dir);
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *inner = g_build_filename (path, name, NULL);
      if (g_file_test (inner, G_FILE_TEST_IS_DIR))
        check_folder (inner, found);
      else if (g_str_has_suffix (name, ".c"))
        check_file (inner, found);
    }
}

static void
test_declared (void)
{
  static const char *const folders[]
      = { "lib", "daemon", "platform", "cli", "standin" };
  guint found = 0;
  for (gsize i = 0; i < G_N_ELEMENTS (folders); i++)
    {
      g_autofree char *path = g_build_filename (SOURCE_DIR, folders[i], NULL);
      check_folder (path, &found);
    }
  g_assert_cmpuint (found, >, 20);
}

/* A status that nothing was stored in is an error, and says so.  */
static void
test_unset (void)
{
  GmStatus status = GM_STATUS_UNSET;
  g_assert_cmpint (status.kind, ==, GM_INTERNAL);
  g_assert_cmpuint (gm_kind_http (status.kind), ==, 500);
  g_assert_cmpint (gm_kind_exit (status.kind), !=, 0);
  g_assert_cmpstr (status.message, !=, "");
}

/* Kinds come from other processes as numbers.  */
static void
test_from_number (void)
{
  for (guint i = 0; i < GM_KIND_COUNT; i++)
    g_assert_cmpuint (gm_kind_from_number (i), ==, i);
  static const guint64 unknown[]
      = { GM_KIND_COUNT, GM_KIND_COUNT + 5, G_MAXUINT32, G_MAXUINT64 };
  for (gsize i = 0; i < G_N_ELEMENTS (unknown); i++)
    g_assert_cmpint (gm_kind_from_number (unknown[i]), ==, GM_INTERNAL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/kinds/declared", test_declared);
  g_test_add_func ("/kinds/unset", test_unset);
  g_test_add_func ("/kinds/from-number", test_from_number);
  return g_test_run ();
}
