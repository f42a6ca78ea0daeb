/* What one more of each thing costs: nanoseconds of processor time and bytes,
   measured on the cores at two sizes each and printed as slopes.  */
#include "control/control.h"
#include "control/subscriber.h"
#include "dispatch/dispatch.h"
#include "fuzz/memstore.h"
#include "token/token.h"
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define NOW (1000 * GM_SECOND)
#define REPEAT 3

static double
cpu_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double)info.uordblks + (double)info.hblkhd;
}

static void
print_slope (const char *name, double small, double large, double at_small,
             double at_large)
{
  printf ("%s=%.1f\n", name, (at_large - at_small) / (large - small));
}

static CsState *
state_of (guint hosts, guint databases, guint groups)
{
  CsState *state = cs_new ();
  guint64 version = 0;
  g_autoptr (GString) text = g_string_new ("{\"number\": 1, \"groups\": [");
  for (guint i = 0; i < groups; i++)
    g_string_append_printf (text, "%s{\"name\": \"g%u\"}", i > 0 ? "," : "",
                            i);
  g_string_append (text, "], \"services\": [");
  for (guint i = 0; i < groups; i++)
    g_string_append_printf (text,
                            "%s{\"name\": \"s%u\", \"depends_on\": [\"g%u\"], "
                            "\"rank\": \"urgent\", \"deadline_ms\": 100}",
                            i > 0 ? "," : "", i, i);
  g_string_append (text, "]}");
  g_autofree char *digest = cs_digest (text->str, text->len);
  g_autoptr (GBytes) bytes = g_bytes_new (text->str, text->len);
  WmMessage m = {
    .type = WM_TYPE_CMD_CONFIG,
    .cmd_config
    = { .number = 1, .digest = digest, .text = bytes, .who = (char *)"slopes" }
  };
  GmStatus status;
  if (cs_apply (state, ++version, &m, &status) != GM_OK)
    g_error ("%s", status.message);
  for (guint i = 0; i < hosts; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "host%u", i);
      WmMessage h = { .type = WM_TYPE_CMD_HOST,
                      .cmd_host = { .host = name,
                                    .incarnation = 1,
                                    .caller = (char *)"127.0.0.1:8080",
                                    .link = (char *)"127.0.0.1:7000",
                                    .data_centre = (char *)"dc1",
                                    .roles = 3 } };
      cs_apply (state, ++version, &h, NULL);
    }
  for (guint i = 0; i < databases; i++)
    {
      char name[32], group[32];
      g_snprintf (name, sizeof name, "db%u", i);
      g_snprintf (group, sizeof group, "g%u", i / 3 % MAX (groups, 1));
      WmMessage d = { .type = WM_TYPE_CMD_DATABASE,
                      .cmd_database = { .id = name,
                                        .group = group,
                                        .address = (char *)"127.0.0.1:5432",
                                        .data_centre = (char *)"dc1",
                                        .slots = 2,
                                        .connections = 40,
                                        .incarnation = 1 } };
      cs_apply (state, ++version, &d, NULL);
    }
  return state;
}

/* Bytes of a host's copy of the state, and time to take it over.  */
static void
slope_state (const char *name, guint hosts, guint databases, guint groups)
{
  double bytes[2], ns[2], wire[2];
  for (int i = 0; i < 2; i++)
    {
      guint times = i == 0 ? 1 : 2;
      CsState *state
          = state_of (hosts * times, databases * times, groups * times);
      g_autoptr (GBytes) block = cs_encode (state);
      double before = heap_bytes ();
      double start = cpu_ns ();
      CsState *copy = cs_decode (state->version, block);
      ns[i] = cpu_ns () - start;
      bytes[i] = heap_bytes () - before;
      wire[i] = (double)g_bytes_get_size (block);
      cs_free (copy);
      cs_free (state);
    }
  double unit = hosts + databases + groups;
  g_autofree char *bytes_name = g_strconcat (name, ".bytes", NULL);
  g_autofree char *ns_name = g_strconcat (name, ".decode_ns", NULL);
  g_autofree char *wire_name = g_strconcat (name, ".wire_bytes", NULL);
  print_slope (bytes_name, unit, 2 * unit, bytes[0], bytes[1]);
  print_slope (ns_name, unit, 2 * unit, ns[0], ns[1]);
  print_slope (wire_name, unit, 2 * unit, wire[0], wire[1]);
}

static void
apply_pool_host (CsState *state, guint i)
{
  static const char *const centres[] = { "a", "b", "c", "d", "e" };
  char name[32];
  g_snprintf (name, sizeof name, "host%u", i);
  WmMessage m = { .type = WM_TYPE_CMD_HOST,
                  .cmd_host = { .host = name,
                                .incarnation = state->version + 1,
                                .caller = (char *)"",
                                .link = (char *)"127.0.0.1:7000",
                                .data_centre = (char *)centres[i % 5],
                                .roles = CS_POOL,
                                .link_rate = 2000000 } };
  cs_apply (state, state->version + 1, &m, NULL);
}

/* Time in which a host finds the holders of all queues anew after a change of
   one of HOSTS: 60 databases of four slots in three of five data centres.  */
static double
holders_ns (guint hosts)
{
  enum
  {
    CHANGES = 20
  };
  static const char *const centres[] = { "a", "b", "c" };
  g_autoptr (CsState) state = state_of (0, 0, 20);
  for (guint i = 0; i < hosts; i++)
    apply_pool_host (state, i);
  for (guint i = 0; i < 60; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "db%u", i);
      WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                      .cmd_database = { .id = id,
                                        .group = (char *)"g0",
                                        .address = (char *)"127.0.0.1:5432",
                                        .data_centre = (char *)centres[i % 3],
                                        .slots = 4,
                                        .incarnation = 1 } };
      cs_apply (state, state->version + 1, &m, NULL);
    }
  double start = cpu_ns ();
  for (guint i = 0; i < CHANGES; i++)
    {
      apply_pool_host (state, i % hosts);
      g_assert_nonnull (cs_queue_holders (state, "db0"));
    }
  return (cpu_ns () - start) / CHANGES;
}

/* Time to parse a declaration of SERVICES.  */
static double
parse_ns (guint services)
{
  g_autoptr (GString) text
      = g_string_new ("{\"number\": 1, \"groups\": [{\"name\": \"g\"}],"
                      " \"services\": [");
  for (guint i = 0; i < services; i++)
    g_string_append_printf (
        text,
        "%s{\"name\": \"service%u\", \"depends_on\": [\"g\"],"
        " \"rank\": \"urgent\", \"deadline_ms\": 800,"
        " \"target_ms\": 100, \"reads\": \"session\","
        " \"max_age_ms\": 2500}",
        i > 0 ? "," : "", i);
  g_string_append (text, "]}");
  GmStatus status;
  double start = cpu_ns ();
  g_autoptr (CfDeclaration) parsed
      = cf_declaration_parse ("slopes", text->str, text->len, &status);
  g_assert_nonnull (parsed);
  return cpu_ns () - start;
}

static double
owner_ns (guint hosts)
{
  g_autoptr (CsState) state = state_of (hosts, 3, 900);
  double start = cpu_ns ();
  for (guint i = 0; i < 900; i++)
    {
      char group[32];
      g_snprintf (group, sizeof group, "g%u", i);
      g_assert_nonnull (cs_dispatcher (state, group));
    }
  return (cpu_ns () - start) / 900;
}

/* Time of a look-up that was made before.  */
static double
known_owner_ns (guint hosts)
{
  g_autoptr (CsState) state = state_of (hosts, 3, 3);
  cs_dispatcher (state, "g1");
  double start = cpu_ns ();
  for (guint i = 0; i < 100000; i++)
    g_assert_nonnull (cs_dispatcher (state, "g1"));
  return (cpu_ns () - start) / 100000;
}

/* The leader's cost of one heartbeat among HOSTS, and of one tick.  */
static void
membership (guint hosts, double *beat, double *tick)
{
  g_autoptr (CsState) state = state_of (hosts, 2700, 900);
  MbCore *members = mb_new ();
  FoCore *failover = fo_new ();
  mb_lead (members, NOW, state);
  double start = cpu_ns ();
  for (guint i = 0; i < hosts; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "host%u", i);
      struct wm_subscribe m = { .host = name,
                                .incarnation = 1,
                                .caller = (char *)"127.0.0.1:8080",
                                .link = (char *)"127.0.0.1:7000",
                                .data_centre = (char *)"dc1",
                                .roles = 3 };
      mb_host_heartbeat (members, NOW, state, &m);
    }
  *beat = (cpu_ns () - start) / hosts;
  start = cpu_ns ();
  for (int i = 0; i < 100; i++)
    {
      mb_tick (members, NOW + i, state);
      fo_tick (failover, NOW + i, 0, state);
    }
  *tick = (cpu_ns () - start) / 100;
  mb_free (members);
  fo_free (failover);
}

static void
drop_sends (CoCore *core)
{
  CoSend send;
  while (co_take_send (core, &send))
    {
      g_free (send.to);
      wm_clear (&send.message);
    }
}

/* Cost of one change at a control host with SUBSCRIBERS; bytes of the frames
   that it sends to each.  */
static void
fan_out (guint subscribers, double *ns, double *bytes, double *memory)
{
  ClStore *store = memstore_new ();
  CoIdentity self = { "host0", "disk", "host0", 1 };
  CoCore *core = co_open (&self, store, NOW, NULL);
  cl_bootstrap (co_log (core), NOW, NULL);
  co_tick (core, NOW, 0);
  double before = heap_bytes ();
  for (guint i = 0; i < subscribers; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "host%u", i);
      WmMessage m = { .type = WM_TYPE_SUBSCRIBE,
                      .subscribe = { .host = name,
                                     .incarnation = 1,
                                     .version = co_state (core)->version,
                                     .caller = (char *)"",
                                     .link = (char *)"",
                                     .data_centre = (char *)"" } };
      co_receive (core, NOW, i + 1, name, &m);
      drop_sends (core);
    }
  CoSend send;
  *memory = heap_bytes () - before;
  WmMessage command
      = { .type = WM_TYPE_CMD_TERM,
          .cmd_term
          = { .group = (char *)"g", .term = 1, .reason = (char *)"slopes" } };
  g_autoptr (GBytes) block = wm_encode (&command);
  WmMessage m = { .type = WM_TYPE_PROPOSE,
                  .propose = { .host = (char *)"host1", .command = block } };
  double start = cpu_ns ();
  co_receive (core, NOW, 1, "host1", &m);
  g_autoptr (GByteArray) out = g_byte_array_new ();
  while (co_take_send (core, &send))
    {
      wm_append (out, &send.message);
      g_free (send.to);
      wm_clear (&send.message);
    }
  *ns = cpu_ns () - start;
  *bytes = out->len;
  co_free (core);
  store->class->free (store);
}

/* Cost of a statement through the dispatch core, from its frame to the frame
   of its answer, and memory of one that waits.  */
static void
statement (double *ns, double *bytes)
{
  static const DpPolicy policy = { DQ_FLOORS, TRUE, 0 };
  const guint count = 100000;
  DpCore *core = dp_new (&policy, 1);
  dp_set_term (core, NOW, 1, "db0");
  dp_set_database (core, NOW, "db0", 2, 400, FALSE);
  FoDatabaseStatus s = { TRUE, 1, 1, 5, 5, "" };
  DpAction action;
  while (dp_take_action (core, &action))
    if (action.type == DP_OPEN)
      dp_connected (core, NOW, action.connection);
  dp_report_status (core, NOW, NOW - GM_MS, "db0", &s);
  CfService service = { .name = (char *)"s", .deadline_ms = 1000, .worth = 1 };
  struct wm_exec exec = { .operation = DP_WRITE,
                          .service = (char *)"s",
                          .request_id = (char *)"0123456789abcdef",
                          .statement = (char *)"put",
                          .deadline = (guint64)GM_SECOND };
  double start = cpu_ns ();
  for (guint i = 0; i < count; i++)
    {
      dp_submit (core, NOW, dp_request_from (&exec, &service, NOW));
      while (dp_take_action (core, &action))
        if (action.type == DP_RUN)
          {
            DpOutcome outcome = { .has_after = TRUE, .after = s };
            dp_request_done (core, NOW, action.connection, &outcome);
          }
        else if (action.type == DP_ANSWER)
          {
            WmMessage m;
            dp_request_result (action.request, &m);
            g_autoptr (GBytes) frame = wm_encode (&m);
            dp_request_free (action.request);
          }
    }
  *ns = (cpu_ns () - start) / count;
  double before = heap_bytes ();
  for (guint i = 0; i < 100; i++)
    dp_submit (core, NOW, dp_request_from (&exec, &service, NOW));
  *bytes = (heap_bytes () - before) / 100;
  dp_free (core);
}

static double
token_ns (void)
{
  const char *key = "a key of the slopes";
  const int count = 20000;
  double start = cpu_ns ();
  for (int i = 0; i < count; i++)
    {
      g_autoptr (TkSession) session = tk_session_new ();
      tk_session_raise (session, "costing", (TkPoint){ 1, (guint64)i });
      g_autofree char *text = tk_session_serialize (session, key);
      g_autoptr (TkSession) parsed = tk_session_parse (text, key, NULL);
      g_assert_nonnull (parsed);
    }
  return (cpu_ns () - start) / count;
}

static double
config_ns (guint groups)
{
  double start = cpu_ns ();
  g_autoptr (CsState) state = state_of (0, 0, groups);
  return cpu_ns () - start;
}

int
main (void)
{
  double beat[2], tick[2], ns[2], bytes[2], memory[2];
  slope_state ("state.host", 2300, 0, 1);
  slope_state ("state.database", 0, 2700, 1);
  slope_state ("state.group_and_service", 0, 0, 900);
  print_slope ("owner_lookup.ns_per_host", 1000, 2300, owner_ns (1000),
               owner_ns (2300));
  printf ("queue_holders.ns_at_300_hosts=%.0f\n", holders_ns (300));
  printf ("declaration.parse_ns_at_1500_services=%.0f\n", parse_ns (1500));
  printf ("known_owner_lookup.ns=%.1f\n", known_owner_ns (2300));
  membership (1000, &beat[0], &tick[0]);
  membership (2300, &beat[1], &tick[1]);
  printf ("heartbeat.ns=%.1f\n", beat[1]);
  print_slope ("leader_tick.ns_per_host", 1000, 2300, tick[0], tick[1]);
  printf ("leader_tick.ns_at_2300_hosts=%.0f\n", tick[1]);
  fan_out (100, &ns[0], &bytes[0], &memory[0]);
  fan_out (800, &ns[1], &bytes[1], &memory[1]);
  print_slope ("change.ns_per_subscriber", 100, 800, ns[0], ns[1]);
  print_slope ("change.wire_bytes_per_subscriber", 100, 800, bytes[0],
               bytes[1]);
  print_slope ("subscription.bytes", 100, 800, memory[0], memory[1]);
  print_slope ("config.ns_per_group", 300, 900, config_ns (300),
               config_ns (900));
  statement (&ns[0], &bytes[0]);
  printf ("statement.dispatch_ns=%.1f\nstatement.waiting_bytes=%.1f\n", ns[0],
          bytes[0]);
  printf ("token.ns=%.1f\n", token_ns ());
  return 0;
}
