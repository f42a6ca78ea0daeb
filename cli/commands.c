#include "commands.h"
#include "base/event.h"
#include "client.h"
#include "conf/settings.h"
#include "conf/declaration.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define PROGRAM "galenamount"

/* The options shared by all commands that send requests to a host.  */
typedef struct
{
  struct arg_str *host;
  struct arg_str *token;
  struct arg_lit *tls;
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_end *end;
} CommonOptions;

static CommonOptions
common_options_new (const char *what)
{
  return (CommonOptions){
    .host = arg_str1 ("H", "host", "IP:PORT", what),
    .token = arg_str0 (NULL, "token", "TEXT", "bearer token"),
    .tls = arg_lit0 (NULL, "tls", "use TLS"),
    .json = arg_lit0 (NULL, "json", "print the answer as JSON"),
    .help = arg_lit0 (NULL, "help", "show this help"),
    .end = arg_end (8),
  };
}

static ClientTarget
client_target (const CommonOptions *c)
{
  return (ClientTarget){ c->host->sval[0],
                         c->token->count > 0 ? c->token->sval[0] : NULL,
                         c->tls->count > 0 };
}

/* Parses the command line into TABLE.  Returns FALSE when the command ends
   here, after --help or a usage error, and sets CODE to the exit status.  */
static gboolean
parse_arguments (int argc, char **argv, void **table, const CommonOptions *c,
                 int *code)
{
  int faults = arg_parse (argc, argv, table);
  if (c->help->count > 0)
    {
      printf ("%s %s", PROGRAM, argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary_gnu (stdout, table);
      *code = 0;
      return FALSE;
    }
  if (faults > 0)
    {
      arg_print_errors (stderr, c->end, PROGRAM);
      *code = gm_kind_exit (GM_INVALID);
      return FALSE;
    }
  return TRUE;
}

/* Prints and clears ANSWER, or prints STATUS when SENT is an error.  Returns
   the exit status.  */
static int
print_answer (const CommonOptions *c, GmKind sent, const GmStatus *status,
              ClientAnswer *answer)
{
  if (sent != GM_OK)
    {
      fprintf (stderr, "%s: %s\n", PROGRAM, status->message);
      return gm_kind_exit (sent);
    }
  if (c->json->count > 0)
    printf ("%s\n", answer->text);
  else
    fprintf (answer->kind == GM_OK ? stdout : stderr, "%s: %s\n",
             gm_kind_text (answer->kind),
             client_answer_string (answer, "message"));
  int code = gm_kind_exit (answer->kind);
  client_answer_clear (answer);
  return code;
}

#define ARGUMENT_TABLE(c, ...)                                                \
  {                                                                           \
    __VA_ARGS__, (c).host, (c).token, (c).tls, (c).json, (c).help, (c).end    \
  }

static char *
read_file (const char *path)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, &error))
    fprintf (stderr, "%s: %s\n", PROGRAM, error->message);
  return text;
}

/* Prints that the file PATH is valid, with the customers of DECLARATION, or
   NULL.  */
static void
print_good (const char *path, const CfDeclaration *declaration)
{
  if (declaration != NULL && declaration->customers != NULL)
    printf ("%s: ok, %u customers with %" G_GSIZE_FORMAT " keys\n", path,
            declaration->customers->len, declaration->digest_count);
  else
    printf ("%s: ok\n", path);
}

int
command_check (int argc, char **argv)
{
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the file");
  struct arg_lit *settings
      = arg_lit0 (NULL, "settings", "check a daemon's settings file");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  CommonOptions c = { .help = help, .end = arg_end (8) };
  void *table[] = { file, settings, help, c.end };
  int code = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    {
      GmStatus status = GM_STATUS_UNSET;
      const char *path = file->filename[0];
      g_autoptr (CfSettings) read = NULL;
      g_autoptr (CfDeclaration) declaration = NULL;
      if (settings->count > 0)
        read = cf_settings_read (path, &status);
      else
        {
          g_autofree char *text = read_file (path);
          if (text == NULL)
            gm_fail (&status, GM_INVALID, "%s can't be read", path);
          else
            declaration
                = cf_declaration_parse (path, text, strlen (text), &status);
        }
      if (read != NULL || declaration != NULL)
        print_good (path, declaration);
      else
        {
          fprintf (stderr, "%s\n", status.message);
          code = gm_kind_exit (status.kind);
        }
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

int
command_apply (int argc, char **argv)
{
  CommonOptions c = common_options_new ("operators' address of any host");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the declaration");
  struct arg_str *who
      = arg_str0 (NULL, "who", "NAME", "name in the audit trail");
  void *table[] = ARGUMENT_TABLE (c, file, who);
  int code = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    {
      g_autofree char *text = read_file (file->filename[0]);
      const char *name = who->count > 0 ? who->sval[0] : g_get_user_name ();
      ClientTarget target = client_target (&c);
      ClientAnswer answer = { 0 };
      GmStatus status = GM_STATUS_UNSET;
      code = gm_kind_exit (GM_INVALID);
      if (text != NULL)
        {
          GmKind sent = client_send (&target, "POST", "/v1/config", text, name,
                                     &answer, &status);
          code = print_answer (&c, sent, &status, &answer);
        }
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static const char *
member_string (json_object *o, const char *name)
{
  json_object *value = NULL;
  json_object_object_get_ex (o, name, &value);
  const char *text = json_object_get_string (value);
  return text != NULL ? text : "";
}

/* Prints the members of O in NAMES on one line.  */
static void
print_line (json_object *o, const char *const *names)
{
  for (gsize k = 0; names[k] != NULL; k++)
    printf ("%s%s=%s", k > 0 ? " " : "", names[k],
            member_string (o, names[k]));
  printf ("\n");
}

/* Prints one line for each object of LIST, with the members in NAMES.  */
static void
print_members (json_object *list, const char *const *names)
{
  gsize count = list != NULL ? json_object_array_length (list) : 0;
  for (gsize i = 0; i < count; i++)
    {
      printf ("  ");
      print_line (json_object_array_get_idx (list, i), names);
    }
}

static void
print_status (const ClientAnswer *answer)
{
  static const struct
  {
    const char *list;
    const char *names[8];
  } lists[] = {
    { "control", { "host", "role", "settled", "disk", NULL } },
    { "groups", { "group", "term", "primary", "dispatcher", NULL } },
    { "databases", { "id", "group", "role", "address", "leaving", NULL } },
    { "hosts",
      { "host", "data_centre", "config_in_force", "version_in_force", NULL } },
  };
  printf ("leader=%s config=%s version=%s\n",
          client_answer_string (answer, "leader"),
          client_answer_string (answer, "config"),
          client_answer_string (answer, "version"));
  for (gsize i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      json_object *list = NULL;
      json_object_object_get_ex (answer->body, lists[i].list, &list);
      printf ("%s:\n", lists[i].list);
      print_members (list, lists[i].names);
    }
}

static void
print_history (const ClientAnswer *answer)
{
  static const char *const names[] = { "version", "when",    "who",    "what",
                                       "number",  "outcome", "digest", NULL };
  print_members (answer->body, names);
}

/* Gets PATH from the host in C and shows the answer with PRINT.  Returns the
   exit status.  */
static int
get_path (const CommonOptions *c, const char *path,
          void (*print) (const ClientAnswer *answer))
{
  ClientTarget target = client_target (c);
  ClientAnswer answer;
  GmStatus status = GM_STATUS_UNSET;
  GmKind sent
      = client_send (&target, "GET", path, NULL, NULL, &answer, &status);
  if (sent != GM_OK || answer.kind != GM_OK || answer.body == NULL
      || c->json->count > 0)
    return print_answer (c, sent, &status, &answer);
  print (&answer);
  client_answer_clear (&answer);
  return 0;
}

static int
get_and_print (int argc, char **argv, const char *path,
               void (*print) (const ClientAnswer *answer))
{
  CommonOptions c = common_options_new ("operators' address of any host");
  void *table[] = { c.host, c.token, c.tls, c.json, c.help, c.end };
  int code = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    code = get_path (&c, path, print);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* Prints where the asked host would send a statement now, if it sends any.  */
static void
print_choice (json_object *body)
{
  static const char *const about[]
      = { "statement", "position_age_ms", "sure_wait_ms", "refused", NULL };
  static const char *const copy[] = { "id",
                                      "why",
                                      "preferred",
                                      "expected_ms",
                                      "position_delay_ms",
                                      "health_percent",
                                      NULL };
  static const char *const share[]
      = { "host",          "preferred",  "silent", "news_age_ms", "wait_ms",
          "work_ahead_ms", "network_ms", "window", NULL };
  json_object *choice = NULL;
  json_object *copies = NULL;
  if (!json_object_object_get_ex (body, "choice", &choice))
    return;
  print_line (choice, about);
  json_object_object_get_ex (choice, "copies", &copies);
  for (size_t i = 0; i < json_object_array_length (copies); i++)
    {
      json_object *o = json_object_array_get_idx (copies, i);
      json_object *shares = NULL;
      json_object_object_get_ex (o, "shares", &shares);
      print_line (o, copy);
      print_members (shares, share);
    }
}

static void
print_route (const ClientAnswer *answer)
{
  static const char *const about[] = { "service",     "rank",   "reads",
                                       "deadline_ms", "config", "callers",
                                       NULL };
  static const char *const group[]
      = { "group", "term", "primary", "dispatcher", "version", NULL };
  static const char *const database[]
      = { "id", "role", "address", "data_centre", "leaving", "queue", NULL };
  json_object *list = NULL;
  json_object_object_get_ex (answer->body, "databases", &list);
  print_line (answer->body, about);
  print_line (answer->body, group);
  print_members (list, database);
  print_choice (answer->body);
}

int
command_route (int argc, char **argv)
{
  CommonOptions c = common_options_new (
      "operators' address of the host whose view to show");
  struct arg_str *name = arg_str1 (NULL, NULL, "SERVICE", "the service");
  struct arg_lit *write = arg_lit0 ("w", "write", "a statement that writes");
  struct arg_int *age = arg_int0 (
      NULL, "age", "MS", "age of the position that a read needs; default 0");
  void *table[] = ARGUMENT_TABLE (c, name, write, age);
  int code = 0;
  age->ival[0] = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    {
      g_autofree char *service
          = g_uri_escape_string (name->sval[0], NULL, FALSE);
      g_autofree char *path = g_strdup_printf (
          "/v1/route?service=%s&access=%s&age_ms=%d", service,
          write->count > 0 ? "write" : "read", age->ival[0]);
      code = get_path (&c, path, print_route);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static void
print_quota (const ClientAnswer *answer)
{
  static const char *const about[] = { "window_ms", "lenders", NULL };
  static const char *const customer[]
      = { "customer", "lent", "part", "refused", "outstanding", NULL };
  json_object *list = NULL;
  json_object_object_get_ex (answer->body, "customers", &list);
  print_line (answer->body, about);
  print_members (list, customer);
}

int
command_quota (int argc, char **argv)
{
  return get_and_print (argc, argv, "/v1/quota", print_quota);
}

int
command_status (int argc, char **argv)
{
  return get_and_print (argc, argv, "/v1/status", print_status);
}

int
command_history (int argc, char **argv)
{
  return get_and_print (argc, argv, "/v1/history", print_history);
}

static int
post (const CommonOptions *c, const char *path, const char *body)
{
  ClientTarget target = client_target (c);
  ClientAnswer answer = { 0 };
  GmStatus status = GM_STATUS_UNSET;
  GmKind sent
      = client_send (&target, "POST", path, body, NULL, &answer, &status);
  return print_answer (c, sent, &status, &answer);
}

int
command_drain (int argc, char **argv)
{
  CommonOptions c
      = common_options_new ("operators' address of the host to drain");
  void *table[] = { c.host, c.token, c.tls, c.json, c.help, c.end };
  int code = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    code = post (&c, "/v1/drain", NULL);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

int
command_control (int argc, char **argv)
{
  CommonOptions c = common_options_new ("operators' address of any host");
  struct arg_str *action
      = arg_str1 (NULL, NULL, "replace|remove", "what to do");
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "the control host");
  void *table[] = ARGUMENT_TABLE (c, action, name);
  int code = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    {
      g_autofree char *host = g_uri_escape_string (name->sval[0], NULL, FALSE);
      g_autofree char *verb
          = g_uri_escape_string (action->sval[0], NULL, FALSE);
      g_autofree char *path
          = g_strdup_printf ("/v1/control?action=%s&host=%s", verb, host);
      code = post (&c, path, NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* The options of the run command.  */
typedef struct
{
  struct arg_str *service;
  struct arg_str *group;
  struct arg_lit *read;
  struct arg_str *session;
  struct arg_str *id;
  struct arg_str *transaction;
  struct arg_lit *begin;
  struct arg_lit *commit;
  struct arg_lit *rollback;
  struct arg_lit *outcome;
  struct arg_str *words;
} RunOptions;

static void
add_option (json_object *body, const char *name, const struct arg_str *option)
{
  if (option->count > 0)
    json_object_object_add (body, name,
                            json_object_new_string (option->sval[0]));
}

static char *
statement_body (const RunOptions *o)
{
  json_object *body = json_object_new_object ();
  json_object *params = json_object_new_array ();
  add_option (body, "service", o->service);
  add_option (body, "group", o->group);
  add_option (body, "request_id", o->id);
  add_option (body, "transaction", o->transaction);
  add_option (body, "statement", o->words);
  for (int i = 1; i < o->words->count; i++)
    json_object_array_add (params, json_object_new_string (o->words->sval[i]));
  json_object_object_add (body, "params", params);
  json_object_object_add (
      body, "access",
      json_object_new_string (o->read->count > 0 ? "read" : "write"));
  char *text = g_strdup (json_object_to_json_string (body));
  json_object_put (body);
  return text;
}

/* Saves the session token of ANSWER in the file given with --session, from
   which the next command reads the token.  */
static void
save_session_token (const RunOptions *o, const ClientAnswer *answer)
{
  const char *token = client_answer_string (answer, "token");
  if (o->session->count > 0 && *token != '\0')
    g_file_set_contents (o->session->sval[0], token, -1, NULL);
}

static int
run_statement (const CommonOptions *c, const RunOptions *o)
{
  const char *path = o->begin->count > 0      ? "/v1/begin"
                     : o->commit->count > 0   ? "/v1/commit"
                     : o->rollback->count > 0 ? "/v1/rollback"
                     : o->outcome->count > 0  ? "/v1/outcome"
                                              : "/v1/statement";
  g_autofree char *body = statement_body (o);
  g_autofree char *session = NULL;
  if (o->session->count > 0)
    g_file_get_contents (o->session->sval[0], &session, NULL, NULL);
  ClientTarget target = client_target (c);
  ClientAnswer answer = { 0 };
  GmStatus status = GM_STATUS_UNSET;
  GmKind sent
      = client_send_session (&target, path, body, session, &answer, &status);
  if (sent == GM_OK)
    save_session_token (o, &answer);
  if (sent != GM_OK || answer.kind != GM_OK || c->json->count > 0)
    return print_answer (c, sent, &status, &answer);
  json_object *rows = NULL;
  json_object_object_get_ex (answer.body, "rows", &rows);
  const char *transaction = client_answer_string (&answer, "transaction");
  printf ("ok database=%s replica=%s request_id=%s rows=%s\n",
          client_answer_string (&answer, "database"),
          client_answer_string (&answer, "replica"),
          client_answer_string (&answer, "request_id"),
          rows != NULL ? json_object_to_json_string (rows) : "[]");
  if (*transaction != '\0')
    printf ("transaction=%s\n", transaction);
  client_answer_clear (&answer);
  return 0;
}

int
command_run (int argc, char **argv)
{
  CommonOptions c = common_options_new ("callers' address of any host");
  RunOptions o = {
    .service = arg_str1 ("s", "service", "NAME", "the service"),
    .group = arg_str0 ("g", "group", "NAME", "a group of the service"),
    .read = arg_lit0 ("r", "read", "the statement is read-only"),
    .session
    = arg_str0 (NULL, "session", "FILE", "file that keeps the session token"),
    .id = arg_str0 (NULL, "request-id", "ID", "a repeated id runs only once"),
    .transaction
    = arg_str0 (NULL, "transaction", "ID", "run in this transaction"),
    .begin = arg_lit0 (NULL, "begin", "begin a transaction"),
    .commit = arg_lit0 (NULL, "commit", "commit the transaction"),
    .rollback = arg_lit0 (NULL, "rollback", "roll the transaction back"),
    .outcome
    = arg_lit0 (NULL, "outcome", "ask for the outcome of a request id"),
    .words = arg_strn (NULL, NULL, "WORD", 0, 64,
                       "the statement, then its parameters"),
  };
  void *table[] = ARGUMENT_TABLE (c, o.service, o.group, o.read, o.session,
                                  o.id, o.transaction, o.begin, o.commit,
                                  o.rollback, o.outcome, o.words);
  int code = 0;
  if (parse_arguments (argc, argv, table, &c, &code))
    code = run_statement (&c, &o);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

int
command_events (int argc, char **argv)
{
  (void)argc;
  (void)argv;
  g_autoptr (GString) out = g_string_new (NULL);
  gm_log_catalogue (out);
  fputs (out->str, stdout);
  return 0;
}
