#include "commands.h"
#include "client.h"
#include "json/json.h"
#include "load_report.h"
#include <argtable2.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define SESSION_COUNT 64
#define CONNECTIONS_MAX 512
#define LAST_ANSWERS_WAIT_S 10 /* after the last request is sent */
#define PROGRESS_MS 500
#define ENTRY_RATE_MAX 100000.0 /* requests per second */

/* One kind of request in the load.  */
typedef struct
{
  char *label; /* groups requests in the report; usually a rank */
  char *service;
  char *group;
  char *statement;
  char *access;
  json_object *params; /* "$n" is replaced by the request's number */
  double rate;         /* requests per second */
} MixEntry;

#define AT(member) G_STRUCT_OFFSET (MixEntry, member)

static const JsField mix_fields[] = {
  { "label", JS_STRING, AT (label), TRUE, 1, 32, NULL },
  { "service", JS_STRING, AT (service), TRUE, 1, 64, NULL },
  { "group", JS_STRING, AT (group), FALSE, 1, 64, NULL },
  { "statement", JS_STRING, AT (statement), TRUE, 1, 65536, NULL },
  { "access", JS_STRING, AT (access), TRUE, 1, 8, "read|write" },
  { "params", JS_ARRAY, AT (params), FALSE, 0, 64, NULL },
  { "rate", JS_NUMBER, AT (rate), TRUE, 0.001, ENTRY_RATE_MAX, NULL },
};

typedef struct
{
  JsDocument *document;
  GArray *mix;        /* MixEntry */
  GPtrArray *targets; /* char *, borrowed */
  const char *token;
  gboolean quiet;
  double duration_s;
  double rate_factor;
  SoupSession *session;
  GMainLoop *loop;
  char *session_tokens[SESSION_COUNT];
  guint64 sent;
  guint in_flight;
  gboolean stopping;
  GTimer *clock;
  LoadReport *report;
} Load;

/* A request in flight.  */
typedef struct
{
  Load *load;
  SoupMessage *msg;
  const MixEntry *entry;
  guint session;
  double started; /* seconds since the load began */
} Request;

static char *
request_body (const Load *load, const MixEntry *entry)
{
  json_object *o = json_object_new_object ();
  json_object *params = json_object_new_array ();
  g_autofree char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, load->sent);
  gsize count
      = entry->params != NULL ? json_object_array_length (entry->params) : 0;
  for (gsize i = 0; i < count; i++)
    {
      const char *text = json_object_get_string (
          json_object_array_get_idx (entry->params, i));
      json_object_array_add (
          params, json_object_new_string (g_strcmp0 (text, "$n") == 0 ? number
                                          : text != NULL              ? text
                                                                      : ""));
    }
  json_object_object_add (o, "service",
                          json_object_new_string (entry->service));
  json_object_object_add (o, "statement",
                          json_object_new_string (entry->statement));
  json_object_object_add (o, "access", json_object_new_string (entry->access));
  if (entry->group != NULL)
    json_object_object_add (o, "group", json_object_new_string (entry->group));
  json_object_object_add (o, "params", params);
  g_autofree char *id = g_uuid_string_random ();
  json_object_object_add (o, "request_id", json_object_new_string (id));
  char *text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}

static void
save_session_token (Request *request)
{
  const char *token = soup_message_headers_get_one (
      soup_message_get_response_headers (request->msg), "X-Galenamount-Token");
  char **kept = &request->load->session_tokens[request->session];
  if (token == NULL)
    return;
  g_free (*kept);
  *kept = g_strdup (token);
}

static GmKind
answer_kind (GBytes *bytes)
{
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  g_autofree char *text = g_strndup (data != NULL ? data : "", length);
  ClientAnswer answer = { .body = json_tokener_parse (text) };
  GmKind kind = gm_kind_from_text (client_answer_string (&answer, "kind"));
  client_answer_clear (&answer);
  return kind;
}

static void
request_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Request *request = data;
  Load *load = request->load;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, NULL);
  double now = g_timer_elapsed (load->clock, NULL);
  GmKind kind = bytes != NULL ? answer_kind (bytes) : GM_IO;
  load_report_add (load->report, request->entry->label, kind, request->started,
                   now);
  if (bytes != NULL)
    save_session_token (request);
  load->in_flight--;
  g_object_unref (request->msg);
  g_free (request);
  if (load->stopping && load->in_flight == 0)
    g_main_loop_quit (load->loop);
}

static void
send_request (Load *load, const MixEntry *entry)
{
  const char *target
      = g_ptr_array_index (load->targets, load->sent % load->targets->len);
  g_autofree char *uri = g_strdup_printf ("http://%s/v1/statement", target);
  g_autofree char *body = request_body (load, entry);
  g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
  Request *request = g_new0 (Request, 1);
  request->load = load;
  request->entry = entry;
  request->session = (guint)g_random_int_range (0, SESSION_COUNT);
  request->started = g_timer_elapsed (load->clock, NULL);
  request->msg = soup_message_new ("POST", uri);
  SoupMessageHeaders *headers
      = soup_message_get_request_headers (request->msg);
  /* libsoup reuses a connection only for idempotent requests.  These requests
     are idempotent: a request id that arrives again runs only once.  */
  soup_message_add_flags (request->msg, SOUP_MESSAGE_IDEMPOTENT);
  soup_message_set_request_body_from_bytes (request->msg, "application/json",
                                            bytes);
  if (load->session_tokens[request->session] != NULL)
    soup_message_headers_replace (headers, "X-Galenamount-Token",
                                  load->session_tokens[request->session]);
  if (load->token != NULL)
    {
      g_autofree char *bearer = g_strconcat ("Bearer ", load->token, NULL);
      soup_message_headers_replace (headers, "Authorization", bearer);
    }
  load->sent++;
  load->in_flight++;
  soup_session_send_and_read_async (load->session, request->msg,
                                    G_PRIORITY_DEFAULT, NULL, request_done,
                                    request);
}

/* Open-loop arrivals of one mix entry: a Poisson process whose requests don't
   wait for the answers to earlier ones.  */
typedef struct
{
  Load *load;
  const MixEntry *entry;
  double next_arrival; /* seconds since the load began */
} ArrivalStream;

static gboolean
send_due_requests (gpointer data)
{
  ArrivalStream *stream = data;
  Load *load = stream->load;
  double now = g_timer_elapsed (load->clock, NULL);
  while (!load->stopping && stream->next_arrival <= now)
    {
      send_request (load, stream->entry);
      stream->next_arrival += -log (1 - g_random_double ())
                              / (stream->entry->rate * load->rate_factor);
    }
  return load->stopping ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static gboolean
check_progress (gpointer data)
{
  Load *load = data;
  double now = g_timer_elapsed (load->clock, NULL);
  if (!load->quiet)
    fprintf (stderr, "\r%5.1f s  sent %" G_GUINT64_FORMAT "  waiting %u   ",
             now, load->sent, load->in_flight);
  if (now >= load->duration_s)
    load->stopping = TRUE;
  if (load->stopping
      && (load->in_flight == 0
          || now >= load->duration_s + LAST_ANSWERS_WAIT_S))
    g_main_loop_quit (load->loop);
  return G_SOURCE_CONTINUE;
}

static void
run_load (Load *load)
{
  g_autoptr (GPtrArray) streams = g_ptr_array_new_with_free_func (g_free);
  load->loop = g_main_loop_new (NULL, FALSE);
  load->clock = g_timer_new ();
  load->session = soup_session_new_with_options (
      "max-conns", CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX,
      "proxy-resolver", NULL, NULL);
  for (guint i = 0; i < load->mix->len; i++)
    {
      ArrivalStream *stream = g_new0 (ArrivalStream, 1);
      stream->load = load;
      stream->entry = &g_array_index (load->mix, MixEntry, i);
      g_ptr_array_add (streams, stream);
      g_timeout_add (1, send_due_requests, stream);
    }
  g_timeout_add (PROGRESS_MS / 5, check_progress, load);
  g_main_loop_run (load->loop);
  if (!load->quiet)
    fprintf (stderr, "\n");
  load->stopping = TRUE;
  soup_session_abort (load->session);
}

static GmKind
read_mix (Load *load, const char *path, GmStatus *status)
{
  load->document = js_read_file (path, status);
  if (load->document == NULL)
    return status->kind;
  json_object *root = js_root (load->document);
  if (!json_object_is_type (root, json_type_array)
      || json_object_array_length (root) == 0)
    return js_error (load->document, "", status, "must be a list of requests");
  for (gsize i = 0; i < json_object_array_length (root); i++)
    {
      g_autofree char *where = g_strdup_printf ("[%zu]", i);
      MixEntry entry = { 0 };
      GmKind kind = js_fields (
          load->document, json_object_array_get_idx (root, i), where,
          mix_fields, G_N_ELEMENTS (mix_fields), &entry, status);
      g_array_append_val (load->mix, entry);
      if (kind != GM_OK)
        return kind;
    }
  return gm_ok (status);
}

static void
load_clear (Load *load)
{
  for (guint i = 0; i < load->mix->len; i++)
    {
      MixEntry *e = &g_array_index (load->mix, MixEntry, i);
      char *strings[]
          = { e->label, e->service, e->group, e->statement, e->access };
      for (gsize k = 0; k < G_N_ELEMENTS (strings); k++)
        g_free (strings[k]);
    }
  for (guint i = 0; i < SESSION_COUNT; i++)
    g_free (load->session_tokens[i]);
  g_array_unref (load->mix);
  js_free (load->document);
  g_ptr_array_unref (load->targets);
}

int
command_load (int argc, char **argv)
{
  struct arg_str *hosts = arg_strn ("H", "host", "IP:PORT", 1, 32,
                                    "callers' address; may be repeated");
  struct arg_file *mix = arg_file1 (NULL, NULL, "MIX", "the mix file");
  struct arg_dbl *seconds = arg_dbl0 (NULL, "seconds", "S", "length (10)");
  struct arg_dbl *factor
      = arg_dbl0 (NULL, "factor", "F", "multiply all rates by F (1)");
  struct arg_str *token = arg_str0 (NULL, "token", "TEXT", "bearer token");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *svg
      = arg_file0 (NULL, "svg", "FILE", "write a histogram of latencies");
  struct arg_lit *quiet = arg_lit0 ("q", "quiet", "no progress");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { hosts, mix, seconds, factor, token, json, svg, quiet, help, end };
  int faults = arg_parse (argc, argv, table);
  int code = 0;
  GmStatus status = GM_STATUS_UNSET;
  if (help->count > 0)
    {
      printf ("galenamount load: sends requests at a fixed rate, without "
              "waiting for answers\n");
      arg_print_glossary_gnu (stdout, table);
    }
  else if (faults > 0)
    {
      arg_print_errors (stderr, end, "galenamount");
      code = gm_kind_exit (GM_INVALID);
    }
  else
    {
      Load load = { .mix = g_array_new (FALSE, TRUE, sizeof (MixEntry)),
                    .targets = g_ptr_array_new (),
                    .duration_s = seconds->count > 0 ? seconds->dval[0] : 10,
                    .rate_factor = factor->count > 0 ? factor->dval[0] : 1,
                    .quiet = quiet->count > 0,
                    .token = token->count > 0 ? token->sval[0] : NULL };
      for (int i = 0; i < hosts->count; i++)
        g_ptr_array_add (load.targets, (gpointer)hosts->sval[i]);
      if (read_mix (&load, mix->filename[0], &status) == GM_OK)
        {
          load.report = load_report_new ();
          run_load (&load);
          load_report_print (load.report, json->count > 0);
          if (svg->count > 0)
            load_report_svg (load.report, svg->filename[0], &status);
          load_report_free (load.report);
        }
      load_clear (&load);
      if (status.kind != GM_OK)
        fprintf (stderr, "galenamount: %s\n", status.message);
      code = gm_kind_exit (status.kind);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
