/* galenamount explain: prints the log lines of several hosts about one request
   in order of time, and marks the line that decided the outcome.  */
#include "base/event.h"
#include "commands.h"
#include "json/json.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define LINE_MAX_BYTES (64 * 1024) /* no host logs a longer line */

typedef struct
{
  char *time;
  char *file;
  char *event;
  char *name;
  char *text;
} Line;

static void
line_free (Line *line)
{
  g_free (line->time);
  g_free (line->file);
  g_free (line->event);
  g_free (line->name);
  g_free (line->text);
  g_free (line);
}

static char *
member_string (json_object *object, const char *name)
{
  json_object *value = js_member (object, name, json_type_string);
  return g_strdup (value != NULL ? json_object_get_string (value) : "");
}

/* Adds the line TEXT of FILE to LINES if it is about the request ID.  A prefix
   that a log collector wrote before the JSON object is skipped.  */
static void
add_matching_line (GPtrArray *lines, const char *file, const char *id,
                   const char *text)
{
  const char *start = strchr (text, '{');
  json_object *object = start != NULL ? json_tokener_parse (start) : NULL;
  g_autofree char *found = member_string (object, "id");
  if (object != NULL && strcmp (found, id) == 0)
    {
      Line *line = g_new0 (Line, 1);
      line->time = member_string (object, "time");
      line->file = g_path_get_basename (file);
      line->event = member_string (object, "event");
      line->name = member_string (object, "name");
      line->text = member_string (object, "text");
      g_ptr_array_add (lines, line);
    }
  json_object_put (object);
}

static gboolean
read_log (GPtrArray *lines, const char *path, const char *id)
{
  FILE *file = fopen (path, "r");
  if (file == NULL)
    {
      fprintf (stderr, "galenamount: %s can't be read\n", path);
      return FALSE;
    }
  g_autofree char *buffer = g_malloc (LINE_MAX_BYTES);
  while (fgets (buffer, LINE_MAX_BYTES, file) != NULL)
    if (strstr (buffer, id) != NULL)
      add_matching_line (lines, path, id, buffer);
  (void)fclose (file);
  return TRUE;
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  const Line *x = *(Line *const *)a, *y = *(Line *const *)b;
  return strcmp (x->time, y->time);
}

/* Returns the line that decided the outcome: the last line about a lost
   attempt (STATEMENT_AGAIN) or an error from a queue (STATEMENT_RAN), or else
   the first line with the answer to the caller.  NULL when there is none.  */
static const Line *
deciding_line (const GPtrArray *lines)
{
  const Line *found = NULL;
  for (guint i = 0; i < lines->len; i++)
    {
      const Line *line = g_ptr_array_index (lines, i);
      gboolean ran = strcmp (line->name, "STATEMENT_AGAIN") == 0
                     || (strcmp (line->name, "STATEMENT_RAN") == 0
                         && strstr (line->text, ": ok;") == NULL);
      gboolean last = strcmp (line->name, "STATEMENT_REFUSED") == 0
                      || strcmp (line->name, "STATEMENT_SERVED") == 0;
      if (ran || (last && found == NULL))
        found = line;
    }
  return found;
}

int
command_explain (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the request");
  struct arg_file *files
      = arg_filen (NULL, NULL, "FILE", 1, 256, "log files of the hosts");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (4);
  void *table[] = { id, files, help, end };
  int faults = arg_parse (argc, argv, table);
  int code = 0;
  g_autoptr (GPtrArray) lines
      = g_ptr_array_new_with_free_func ((GDestroyNotify)line_free);
  if (help->count > 0)
    {
      printf ("galenamount explain ID FILE...\n");
      arg_print_glossary_gnu (stdout, table);
    }
  else if (faults > 0)
    {
      arg_print_errors (stderr, end, "galenamount");
      code = gm_kind_exit (GM_INVALID);
    }
  else
    {
      for (int i = 0; i < files->count && code == 0; i++)
        if (!read_log (lines, files->filename[i], id->sval[0]))
          code = gm_kind_exit (GM_IO);
      g_ptr_array_sort (lines, compare_lines);
      const Line *decided = deciding_line (lines);
      for (guint i = 0; code == 0 && i < lines->len; i++)
        {
          const Line *line = g_ptr_array_index (lines, i);
          printf ("%s %s %s %s %s: %s\n", line == decided ? "=>" : "  ",
                  line->time, line->file, line->event, line->name, line->text);
        }
      if (code == 0 && lines->len == 0)
        {
          fprintf (stderr, "galenamount: no log line is about request %s\n",
                   id->sval[0]);
          code = gm_kind_exit (GM_NOT_FOUND);
        }
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
