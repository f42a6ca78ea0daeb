/* galenamount-standin: a small database for trying and testing the system.  */
#include "replicate.h"
#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>

typedef struct
{
  struct arg_str *id;
  struct arg_str *group;
  struct arg_str *listen;
  struct arg_str *data_centre;
  struct arg_str *announce;
  struct arg_int *slots;
  struct arg_int *connections;
  struct arg_int *service;
  struct arg_int *connect;
  struct arg_int *lag;
  struct arg_lit *primary;
  struct arg_lit *help;
  struct arg_end *end;
} Options;

static int
value_or (const struct arg_int *option, int other)
{
  return option->count > 0 ? option->ival[0] : other;
}

static gboolean
quit (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static int
serve (const Options *o)
{
  GmStatus status = GM_STATUS_UNSET;
  StLimits limits = { .slots = (guint)value_or (o->slots, 2),
                      .connections = (guint)value_or (o->connections, 40),
                      .service_time = value_or (o->service, 5) * GM_MS,
                      .connect_time = value_or (o->connect, 10) * GM_MS,
                      .replica_lag = value_or (o->lag, 0) * GM_MS };
  if (!cf_address_parse (o->listen->sval[0], &limits.address))
    {
      fprintf (stderr, "--listen must be an IP number and a port\n");
      return gm_kind_exit (GM_INVALID);
    }
  StSwitches switches = { 0 };
  StStore *store = st_new ();
  st_set_lag (store, limits.replica_lag);
  if (o->primary->count > 0)
    st_start_primary (store, gm_now (gm_clock_system ()));
  StServer *server = st_server_new (store, &limits, &switches, &status);
  if (server == NULL)
    {
      fprintf (stderr, "%s\n", status.message);
      return gm_kind_exit (status.kind);
    }
  StIdentity identity
      = { .id = (char *)o->id->sval[0],
          .group = (char *)o->group->sval[0],
          .data_centre
          = (char *)(o->data_centre->count > 0 ? o->data_centre->sval[0] : ""),
          .incarnation = (guint64)g_get_real_time (),
          .announce_to = g_ptr_array_new () };
  for (int i = 0; i < o->announce->count; i++)
    g_ptr_array_add (identity.announce_to, (gpointer)o->announce->sval[i]);
  StReplica *replica = st_replica_new (store, &switches);
  StAnnouncer *announcer
      = st_announcer_new (&identity, store, &limits, &switches);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, quit, loop);
  g_unix_signal_add (SIGINT, quit, loop);
  printf ("listening on %s:%u\n", limits.address.ip, limits.address.port);
  (void)fflush (stdout);
  g_main_loop_run (loop);
  st_announcer_free (announcer);
  st_replica_free (replica);
  st_server_free (server);
  st_free (store);
  g_ptr_array_unref (identity.announce_to);
  g_free (limits.address.ip);
  return 0;
}

int
main (int argc, char **argv)
{
  Options o = {
    .id = arg_str1 (NULL, "id", "NAME", "name of the database"),
    .group = arg_str1 (NULL, "group", "NAME", "group of the database"),
    .listen = arg_str1 (NULL, "listen", "IP:PORT", "address to listen on"),
    .data_centre
    = arg_str0 (NULL, "data-centre", "NAME", "data centre of the database"),
    .announce = arg_strn (NULL, "announce", "IP:PORT", 0, 32,
                          "callers' address of a host; may be repeated"),
    .slots = arg_int0 (NULL, "slots", "N", "statements that run at once (2)"),
    .connections = arg_int0 (NULL, "connections", "N", "sessions (40)"),
    .service
    = arg_int0 (NULL, "service-ms", "MS", "time that a statement takes (5)"),
    .connect = arg_int0 (NULL, "connect-ms", "MS",
                         "time that a new connection takes (10)"),
    .lag
    = arg_int0 (NULL, "lag-ms", "MS", "delay until a replica applies (0)"),
    .primary = arg_lit0 (NULL, "primary", "start as primary of term 1"),
    .help = arg_lit0 (NULL, "help", "show this help"),
    .end = arg_end (8),
  };
  void *table[]
      = { o.id,      o.group,       o.listen,  o.data_centre, o.announce,
          o.slots,   o.connections, o.service, o.connect,     o.lag,
          o.primary, o.help,        o.end };
  int faults = arg_parse (argc, argv, table);
  int code = 0;
  if (o.help->count > 0)
    {
      printf ("galenamount-standin: a small database for trying the system\n");
      arg_print_glossary_gnu (stdout, table);
    }
  else if (faults > 0)
    {
      arg_print_errors (stderr, o.end, "galenamount-standin");
      code = gm_kind_exit (GM_INVALID);
    }
  else
    code = serve (&o);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
