/* Log lines: readable, whole, sampled by request, and never waited for.  */
#include "base/event.h"
#include "json/json.h"
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* A log in a folder of its own.  */
typedef struct
{
  char *folder;
  char *path;
} Place;

static Place
place_new (void)
{
  Place p = { .folder = g_dir_make_tmp ("galenamount-log-XXXXXX", NULL) };
  g_assert_nonnull (p.folder);
  p.path = g_build_filename (p.folder, "log", NULL);
  return p;
}

static void
place_clear (Place *p)
{
  gm_log_close ();
  g_unlink (p->path);
  g_rmdir (p->folder);
  g_free (p->path);
  g_free (p->folder);
}

static char *
member (json_object *object, const char *name)
{
  json_object *value = js_member (object, name, json_type_string);
  return value != NULL ? g_strdup (json_object_get_string (value)) : NULL;
}

/* Texts that a line must bear.  */
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
  Place p = place_new ();
  g_assert_true (gm_log_open (p.path, "info"));
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    gm_log (GM_EV_STARTED, "%s", texts[i]);
  gm_trace (GM_EV_STATEMENT_REFUSED, "r-1", TRUE, "%s", "why");
  gm_log (GM_EV_STARTED, "bytes that are no text: \xff\xfe");
  g_autofree char *all = NULL;
  g_assert_true (g_file_get_contents (p.path, &all, NULL, NULL));
  g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
  for (guint i = 0; i < G_N_ELEMENTS (texts) + 2; i++)
    {
      json_object *o = json_tokener_parse (lines[i]);
      g_assert_nonnull (o);
      g_autofree char *text = member (o, "text");
      g_autofree char *id = member (o, "id");
      g_autofree char *event = member (o, "event");
      if (i < G_N_ELEMENTS (texts))
        g_assert_cmpstr (text, ==, texts[i]);
      g_assert_cmpstr (id, ==, i == G_N_ELEMENTS (texts) ? "r-1" : NULL);
      g_assert_cmpstr (event, ==,
                       i == G_N_ELEMENTS (texts) ? "GM610" : "GM100");
      json_object_put (o);
    }
  place_clear (&p);
}

/* A request is written whole or not at all, but for its failure.  */
static void
test_sampled (void)
{
  Place p = place_new ();
  guint sampled = 0;
  g_assert_true (gm_log_open (p.path, "info"));
  for (guint i = 0; i < 1000; i++)
    {
      g_autofree char *id = g_strdup_printf ("request-%u", i);
      gm_trace (GM_EV_STATEMENT_SENT, id, FALSE, "first");
      gm_trace (GM_EV_STATEMENT_SERVED, id, FALSE, "second");
      sampled += gm_is_sampled (id) ? 1 : 0;
    }
  g_autofree char *all = NULL;
  g_assert_true (g_file_get_contents (p.path, &all, NULL, NULL));
  g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), ==, 2 * sampled + 1);
  g_assert_cmpuint (sampled, >, 1000 / GM_LOG_SAMPLE_ONE_IN / 3);
  g_assert_cmpuint (sampled, <, 1000 / GM_LOG_SAMPLE_ONE_IN * 3);
  gm_trace (GM_EV_STATEMENT_REFUSED, "any", TRUE, "why");
  g_autofree char *more = NULL;
  g_assert_true (g_file_get_contents (p.path, &more, NULL, NULL));
  g_assert_nonnull (strstr (more, "\"id\":\"any\""));
  place_clear (&p);
}

/* A pipe that nobody reads: lines are dropped and counted, nothing waits.  The
   alarm ends the test if a line is waited for.  */
static void
test_full_pipe (void)
{
  Place p = place_new ();
  g_assert_cmpint (mkfifo (p.path, 0600), ==, 0);
  int reader = open (p.path, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  g_assert_cmpint (reader, >=, 0);
  g_assert_true (gm_log_open (p.path, "info"));
  guint64 before = gm_metric (GM_M_log_lines_dropped_total);
  alarm (20);
  for (guint i = 0; i < 2000; i++)
    gm_log (GM_EV_STARTED, "line %u", i);
  alarm (0);
  g_assert_cmpuint (gm_metric (GM_M_log_lines_dropped_total), >, before);
  /* What was written is whole lines.  */
  g_autoptr (GString) got = g_string_new (NULL);
  char buffer[4096];
  gssize length;
  while ((length = read (reader, buffer, sizeof buffer)) > 0)
    g_string_append_len (got, buffer, length);
  g_assert_cmpint (got->str[got->len - 1], ==, '\n');
  /* With room again, the next line is preceded by the count.  */
  g_usleep (GM_LOG_SECOND + 100000);
  gm_log (GM_EV_STOPPED, "after");
  length = read (reader, buffer, sizeof buffer - 1);
  g_assert_cmpint (length, >, 0);
  buffer[length] = '\0';
  g_assert_nonnull (strstr (buffer, "GM106"));
  g_assert_nonnull (strstr (buffer, "GM101"));
  close (reader);
  place_clear (&p);
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
