/* Callers of the operators' platform, for measurements: sessions that send
   statements at a steady rate, and sessions that stay idle.

   line_load --callers IP:PORT... --sessions N --rate R --seconds S

   Prints the number of answered statements and of those that failed.  */
#include "conf/settings.h"
#include "wire/stream.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define HOSTS_MAX 8
#define TICK_MS 5
#define SETTLE_MS 1000 /* for the handshakes before the first statement */

typedef struct Load Load;

typedef struct
{
  Load *load;
  NsStream *stream; /* NULL once it is closed */
  GString *line;
  gboolean ready; /* START is answered */
  gboolean busy;
} Session;

struct Load
{
  Session *sessions;
  guint count;
  guint next;
  guint rate;
  gint64 started; /* by the monotonic clock, microseconds */
  gint64 length;
  guint64 sent;
  guint64 answered;
  guint64 failed;
  GMainLoop *loop;
};

static void
on_line (Session *s)
{
  if (g_str_has_prefix (s->line->str, "READY"))
    {
      s->load->answered += s->busy ? 1 : 0;
      s->ready = TRUE;
      s->busy = FALSE;
    }
  else if (g_str_has_prefix (s->line->str, "ERR"))
    s->load->failed++;
}

static void
on_data (NsStream *stream, const char *data, gsize length, gpointer owner)
{
  (void)stream;
  Session *s = owner;
  for (gsize i = 0; i < length; i++)
    {
      g_string_append_c (s->line, data[i]);
      if (data[i] != '\n')
        continue;
      on_line (s);
      g_string_truncate (s->line, 0);
    }
}

static void
on_connected (NsStream *stream, gpointer owner)
{
  (void)owner;
  static const char start[] = "START levels load\r\n";
  ns_write (stream, start, sizeof start - 1);
}

static void
on_closed (NsStream *stream, const char *why, gpointer owner)
{
  (void)stream;
  (void)why;
  Session *s = owner;
  s->stream = NULL;
  s->ready = FALSE;
  s->load->failed++;
}

/* Sends statement NUMBER in S: nine reads for each write.  */
static void
send_statement (Session *s, guint64 number)
{
  g_autofree char *text
      = g_strdup_printf ("QUERY q%" G_GUINT64_FORMAT " %s%s\r\n", number,
                         number % 10 == 0 ? "WRITE item" : "READ item",
                         number % 10 == 0 ? " a-value" : "");
  s->busy = TRUE;
  ns_write (s->stream, text, strlen (text));
}

static gboolean
tick (gpointer data)
{
  Load *load = data;
  gint64 elapsed = g_get_monotonic_time () - load->started;
  guint64 due = (guint64)MAX (elapsed, 0) * load->rate / G_USEC_PER_SEC;
  for (guint tried = 0; load->sent < due && tried < load->count; tried++)
    {
      Session *s = &load->sessions[load->next++ % load->count];
      if (s->stream != NULL && s->ready && !s->busy)
        send_statement (s, ++load->sent);
    }
  if (elapsed >= load->length)
    g_main_loop_quit (load->loop);
  return G_SOURCE_CONTINUE;
}

static int
run (const struct arg_str *hosts, guint sessions, guint rate, guint seconds)
{
  static const NsHandler handler
      = { .connected = on_connected, .data = on_data, .closed = on_closed };
  Load load = { .count = sessions,
                .rate = rate,
                .started = g_get_monotonic_time () + SETTLE_MS * 1000,
                .length = (gint64)seconds * G_USEC_PER_SEC,
                .loop = g_main_loop_new (NULL, FALSE) };
  load.sessions = g_new0 (Session, sessions);
  for (guint i = 0; i < sessions; i++)
    {
      CfAddress address = { 0 };
      Session *s = &load.sessions[i];
      if (!cf_address_parse (hosts->sval[i % (guint)hosts->count], &address))
        return 2;
      s->load = &load;
      s->line = g_string_new (NULL);
      s->stream = ns_connect (&address, 0, &handler, s);
      g_free (address.ip);
    }
  g_timeout_add (TICK_MS, tick, &load);
  g_main_loop_run (load.loop);
  printf ("answered=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT "\n",
          load.answered, load.failed);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *hosts
      = arg_strn (NULL, "callers", "IP:PORT", 1, HOSTS_MAX, "entry hosts");
  struct arg_int *sessions = arg_int1 (NULL, "sessions", "N", "open sessions");
  struct arg_int *rate = arg_int1 (NULL, "rate", "R", "statements a second");
  struct arg_int *seconds = arg_int1 (NULL, "seconds", "S", "how long");
  struct arg_end *end = arg_end (4);
  void *table[] = { hosts, sessions, rate, seconds, end };
  int code = 2;
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "line_load");
  else if (sessions->ival[0] > 0)
    code = run (hosts, (guint)sessions->ival[0], (guint)rate->ival[0],
                (guint)seconds->ival[0]);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
