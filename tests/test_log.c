/* Log lines are valid JSON, written whole, sampled by request id, and written
   without blocking.  */
#include "base/event.h"
#include "json/json.h"
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* A log file in a temporary folder.  */
typedef struct
{
  char *folder;
  char *path;
} TestLog;

static TestLog
test_log_new (void)
{
  TestLog log = { .folder = g_dir_make_tmp ("galenamount-log-XXXXXX", NULL) };
  g_assert_nonnull (log.folder);
  log.path = g_build_filename (log.folder, "log", NULL);
  return log;
}

static void
test_log_clear (TestLog *log)
{
  gm_log_close ();
  g_unlink (log->path);
  g_rmdir (log->folder);
  g_free (log->path);
  g_free (log->folder);
}

static char *
string_member (json_object *object, const char *name)
{
  json_object *value = js_member (object, name, json_type_string);
  return value != NULL ? g_strdup (json_object_get_string (value)) : NULL;
}

/* Texts that must come back unchanged from a log line.  */
static const char *const texts[] = {
  "plain",
  "with \"quotes\" and a \\ backslash",
  "a line\nand another\r\tand a tab",
  "",
  "caf\xc3\xa9",
};

static void
test_lines (void)
{
  TestLog log = test_log_new ();
  g_assert_true (gm_log_open (log.path, "info"));
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    gm_log (GM_EV_STARTED, "%s", texts[i]);
  gm_trace (GM_EV_STATEMENT_REFUSED, "r-1", TRUE, "%s", "why");
  gm_log (GM_EV_STARTED, "bytes that are no text: \xff\xfe");
  g_autofree char *all = NULL;
  g_assert_true (g_file_get_contents (log.path, &all, NULL, NULL));
  g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
  for (guint i = 0; i < G_N_ELEMENTS (texts) + 2; i++)
    {
      json_object *o = json_tokener_parse (lines[i]);
      g_assert_nonnull (o);
      g_autofree char *text = string_member (o, "text");
      g_autofree char *id = string_member (o, "id");
      g_autofree char *event = string_member (o, "event");
      if (i < G_N_ELEMENTS (texts))
        g_assert_cmpstr (text, ==, texts[i]);
      g_assert_cmpstr (id, ==, i == G_N_ELEMENTS (texts) ? "r-1" : NULL);
      g_assert_cmpstr (event, ==,
                       i == G_N_ELEMENTS (texts) ? "GM610" : "GM100");
      json_object_put (o);
    }
  test_log_clear (&log);
}

/* All lines of a request are written or none, except that a failure is always
   written.  */
static void
test_sampled (void)
{
  TestLog log = test_log_new ();
  guint sampled = 0;
  g_assert_true (gm_log_open (log.path, "info"));
  for (guint i = 0; i < 1000; i++)
    {
      g_autofree char *id = g_strdup_printf ("request-%u", i);
      gm_trace (GM_EV_STATEMENT_SENT, id, FALSE, "first");
      gm_trace (GM_EV_STATEMENT_SERVED, id, FALSE, "second");
      sampled += gm_is_sampled (id) ? 1 : 0;
    }
  g_autofree char *all = NULL;
  g_assert_true (g_file_get_contents (log.path, &all, NULL, NULL));
  g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), ==, 2 * sampled + 1);
  g_assert_cmpuint (sampled, >, 1000 / GM_LOG_SAMPLE_ONE_IN / 3);
  g_assert_cmpuint (sampled, <, 1000 / GM_LOG_SAMPLE_ONE_IN * 3);
  gm_trace (GM_EV_STATEMENT_REFUSED, "any", TRUE, "why");
  g_autofree char *more = NULL;
  g_assert_true (g_file_get_contents (log.path, &more, NULL, NULL));
  g_assert_nonnull (strstr (more, "\"id\":\"any\""));
  test_log_clear (&log);
}

/* When the log is a pipe that nobody reads, lines are dropped and counted and
   writing does not block.  The alarm ends the test if a write blocks.  */
static void
test_full_pipe (void)
{
  TestLog log = test_log_new ();
  g_assert_cmpint (mkfifo (log.path, 0600), ==, 0);
  int reader = open (log.path, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  g_assert_cmpint (reader, >=, 0);
  g_assert_true (gm_log_open (log.path, "info"));
  guint64 before = gm_metric (GM_M_log_lines_dropped_total);
  alarm (20);
  for (guint i = 0; i < 2000; i++)
    gm_log (GM_EV_STARTED, "line %u", i);
  alarm (0);
  g_assert_cmpuint (gm_metric (GM_M_log_lines_dropped_total), >, before);
  /* Only whole lines were written.  */
  g_autoptr (GString) got = g_string_new (NULL);
  char buffer[4096];
  gssize length;
  while ((length = read (reader, buffer, sizeof buffer)) > 0)
    g_string_append_len (got, buffer, length);
  g_assert_cmpint (got->str[got->len - 1], ==, '\n');
  /* Once the pipe has room, the number of dropped lines is logged before the
     next line.  */
  g_usleep (GM_LOG_REFILL_TIME + 100000);
  gm_log (GM_EV_STOPPED, "after");
  length = read (reader, buffer, sizeof buffer - 1);
  g_assert_cmpint (length, >, 0);
  buffer[length] = '\0';
  g_assert_nonnull (strstr (buffer, "GM106"));
  g_assert_nonnull (strstr (buffer, "GM101"));
  close (reader);
  test_log_clear (&log);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log/lines", test_lines);
  g_test_add_func ("/log/sampled", test_sampled);
  g_test_add_func ("/log/full-pipe", test_full_pipe);
  return g_test_run ();
}
