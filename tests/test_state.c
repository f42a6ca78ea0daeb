/* The control state, a host's copy of it, and how dispatchers and queue
   holders use it.  */
#include "clog/clog.h"
#include "control/placement.h"
#include "control/subscriber.h"
#include "dispatch/group.h"
#include "failover/members.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define LEASE (4 * GM_SECOND)

static const char *const declaration_format
    = "{\"number\": %u, \"groups\": [{\"name\": \"g\"}], \"services\": "
      "[{\"name\": \"s\", \"depends_on\": [\"g\"], \"rank\": \"urgent\", "
      "\"deadline_ms\": %u}]}";

static WmMessage
config (guint number, guint variant)
{
  char buffer[512];
  g_snprintf (buffer, sizeof buffer, declaration_format, number,
              100 + variant);
  return (WmMessage){ .type = WM_TYPE_CMD_CONFIG,
                      .cmd_config
                      = { .number = number,
                          .digest = cs_digest (buffer, strlen (buffer)),
                          .text = g_bytes_new (buffer, strlen (buffer)),
                          .who = g_strdup ("test") } };
}

/* Configurations submitted in this order, and the answer to each.  */
static const struct
{
  guint number;
  guint variant;
  GmKind expected;
  const char *message_part;
} submissions[] = {
  { 2, 0, GM_CONFLICT, "the next number is 1" },
  { 1, 0, GM_OK, "accepted as version 2" },
  { 1, 1, GM_CONFLICT, "was taken by the text with digest" },
  { 1, 0, GM_OK, "accepted as version 2" },
  { 2, 1, GM_OK, "accepted as version 5" },
  { 1, 0, GM_OK, "accepted as version 2" },
  { 4, 0, GM_CONFLICT, "the next number is 3" },
};

static void
test_submissions (void)
{
  g_autoptr (CsState) state = cs_new ();
  for (guint i = 0; i < G_N_ELEMENTS (submissions); i++)
    {
      GmStatus status = { GM_OK, "" };
      WmMessage c = config (submissions[i].number, submissions[i].variant);
      g_assert_cmpint (cs_apply (state, i + 1, &c, &status), ==,
                       submissions[i].expected);
      g_assert_nonnull (strstr (status.message, submissions[i].message_part));
      wm_clear (&c);
    }
  g_assert_cmpint (cs_declaration (state)->number, ==, 2);
  g_autoptr (GBytes) block = cs_encode (state);
  g_autoptr (CsState) copy = cs_decode (state->version, block);
  g_autoptr (GBytes) again = cs_encode (copy);
  g_assert_true (g_bytes_equal (block, again));
  g_assert_cmpuint (copy->audit.length, ==, 5);
}

/* Returns a DELTA with the configurations FIRST to LAST, whose versions equal
   their numbers.  */
static WmMessage
delta (guint first, guint last)
{
  GByteArray *out = g_byte_array_new ();
  for (guint i = first; i <= last; i++)
    {
      WmMessage c = config (i, 0);
      g_autoptr (GBytes) command = wm_encode (&c);
      WmMessage entry = {
        .type = WM_TYPE_REC_ENTRY,
        .rec_entry
        = { .index = i, .term = 1, .type = CL_COMMAND, .data = command }
      };
      wm_append (out, &entry);
      wm_clear (&c);
    }
  return (WmMessage){ .type = WM_TYPE_DELTA,
                      .delta
                      = { .first = first,
                          .count = last - first + 1,
                          .commands = g_byte_array_free_to_bytes (out) } };
}

static void
receive_stamp (SbCore *core, GmTime now, guint64 version, GmTime age)
{
  WmMessage m = { .type = WM_TYPE_STAMP,
                  .stamp = { .echo = (guint64)now,
                             .age = (guint64)age,
                             .version = version,
                             .leader = (char *)"" } };
  sb_receive (core, now, &m);
}

static void
test_host_copy (void)
{
  SbCore *core = sb_new ("host", 3, LEASE, START);
  sb_link_up (core, START);
  WmMessage first = delta (1, 2);
  g_assert_false (sb_is_fresh (core, START));
  g_assert_true (sb_receive (core, START, &first));
  /* The copy lacks version 3, so it is not current.  */
  receive_stamp (core, START, 3, 0);
  g_assert_false (sb_is_fresh (core, START));
  WmMessage second = delta (3, 3);
  sb_receive (core, START, &second);
  receive_stamp (core, START, 3, GM_SECOND);
  g_assert_true (sb_is_fresh (core, START));
  g_assert_true (sb_is_fresh (core, START + 3 * GM_SECOND));
  g_assert_false (sb_is_fresh (core, START + 3 * GM_SECOND + 1));
  /* An older state and a repeated delta change nothing.  */
  g_autoptr (CsState) old = cs_new ();
  WmMessage c = config (1, 0);
  cs_apply (old, 1, &c, NULL);
  g_autoptr (GBytes) block = cs_encode (old);
  WmMessage back
      = { .type = WM_TYPE_STATE, .state = { .version = 1, .data = block } };
  g_assert_false (sb_receive (core, START, &back));
  g_assert_false (sb_receive (core, START, &first));
  g_assert_cmpuint (sb_state (core)->version, ==, 3);
  wm_clear (&c);
  wm_clear (&first);
  wm_clear (&second);
  sb_free (core);
}

static void
test_stale_control (void)
{
  SbCore *core = sb_new ("host", 3, LEASE, START);
  guint peer = sb_peer (core);
  g_assert_cmpint (sb_tick (core, START), ==, SB_DIAL);
  sb_link_up (core, START);
  /* The control host answers, but no quorum confirms it any more.  */
  for (GmTime t = 0; t <= SB_STAMP_TIMEOUT; t += SB_HEARTBEAT_INTERVAL)
    {
      receive_stamp (core, START + t, 0, t);
      g_assert_cmpint (sb_tick (core, START + t), ==, SB_NOTHING);
    }
  g_assert_cmpint (
      sb_tick (core, START + SB_STAMP_TIMEOUT + SB_HEARTBEAT_INTERVAL), ==,
      SB_DISCONNECT);
  g_assert_cmpuint (sb_peer (core), ==, (peer + 1) % 3);
  sb_free (core);
}

/* Requests that a dispatcher refuses before it queues them.  */
static const struct
{
  const char *name;
  const char *service;
  guint64 transaction;
  guint64 incarnation;
  gboolean is_fresh;
  gboolean owns_group;
  guint64 config; /* of the sender; the dispatcher has number 1 */
  GmKind expected;
} request_checks[] = {
  { "good", "s", 0, 0, TRUE, TRUE, 1, GM_OK },
  { "no-service", "t", 0, 0, TRUE, TRUE, 1, GM_UNKNOWN_SERVICE },
  { "no-service-any-more", "t", 0, 0, TRUE, TRUE, 0, GM_UNKNOWN_SERVICE },
  /* A dispatcher that is behind does not know whether there is one.  */
  { "no-service-yet", "t", 0, 0, TRUE, TRUE, 2, GM_STALE },
  { "not-owner", "s", 0, 0, TRUE, FALSE, 1, GM_DRAINING },
  { "stale", "s", 0, 0, FALSE, TRUE, 1, GM_STALE },
  { "stale-in-transaction", "s", 5, 7, FALSE, TRUE, 1, GM_OK },
  { "earlier-process", "s", 5, 6, TRUE, TRUE, 1, GM_TRANSACTION_LOST },
};

static void
test_request_check (void)
{
  DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  GpCore *group = gp_new ("g", "host", &policy, START);
  g_autoptr (CsState) state = cs_new ();
  WmMessage c = config (1, 0);
  cs_apply (state, 1, &c, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (request_checks); i++)
    {
      struct wm_exec exec = { .operation = DP_WRITE,
                              .service = (char *)request_checks[i].service,
                              .transaction = request_checks[i].transaction,
                              .incarnation = request_checks[i].incarnation,
                              .config = request_checks[i].config };
      g_assert_cmpint (gp_check (request_checks[i].owns_group ? group : NULL,
                                 state, request_checks[i].is_fresh, 7, &exec,
                                 NULL),
                       ==, request_checks[i].expected);
    }
  wm_clear (&c);
  gp_free (group);
}

/* Returns for how long, in milliseconds, DATABASE has been silent according to
   the group's report.  */
static guint64
reported_silence (GpCore *group, GmTime now, const char *database)
{
  GpAction action;
  guint64 silent = G_MAXUINT64;
  while (gp_take_action (group, now, &action))
    {
      WmMessage seen;
      gsize at = 0;
      while (action.type == GP_REPORT_SEND
             && wm_next (action.message.report.databases, &at, &seen))
        {
          if (strcmp (seen.seen.id, database) == 0)
            silent = seen.seen.silent;
          wm_clear (&seen);
        }
      gp_action_clear (&action);
    }
  return silent;
}

/* Time in which the dispatcher itself did not run must not count as silence of
   a database; time in which it ran must.  */
static void
test_stall (void)
{
  DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  GpCore *group = gp_new ("g", "host", &policy, START);
  g_autoptr (CsState) state = cs_new ();
  WmMessage c = config (1, 0);
  WmMessage host = { .type = WM_TYPE_CMD_HOST,
                     .cmd_host = { .host = (char *)"host",
                                   .incarnation = 1,
                                   .caller = (char *)"",
                                   .link = (char *)"",
                                   .data_centre = (char *)"",
                                   .roles = CS_DISPATCHER } };
  WmMessage database = { .type = WM_TYPE_CMD_DATABASE,
                         .cmd_database = { .id = (char *)"db0",
                                           .group = (char *)"g",
                                           .address = (char *)"127.0.0.1:1",
                                           .data_centre = (char *)"",
                                           .slots = 2,
                                           .connections = 40 } };
  cs_apply (state, 1, &c, NULL);
  cs_apply (state, 2, &host, NULL);
  cs_apply (state, 3, &database, NULL);
  gp_update (group, START, state);
  gp_tick (group, START);
  g_assert_cmpuint (reported_silence (group, START, "db0"), ==, 0);
  GmTime now = START + 5 * GM_SECOND;
  gp_tick (group, now);
  g_assert_cmpuint (reported_silence (group, now, "db0"), <, 100);
  for (GmTime end = now + GM_SECOND; now < end; now += 10 * GM_MS)
    gp_tick (group, now);
  g_assert_cmpuint (reported_silence (group, now, "db0"), >, 500);
  wm_clear (&c);
  gp_free (group);
}

/* Configurations in their order of arrival where the highest number wins, and
   which one is in force after each.  */
static const struct
{
  guint number;
  guint variant;
  guint in_force;
  guint deadline; /* 100 plus the variant in force */
} highest_wins[] = {
  { 3, 0, 3, 100 }, { 2, 1, 3, 100 }, { 3, 2, 3, 100 },
  { 7, 3, 7, 103 }, { 3, 0, 7, 103 }, { 7, 3, 7, 103 },
};

static void
test_highest_wins (void)
{
  g_autoptr (CsState) state = cs_new ();
  for (guint i = 0; i < G_N_ELEMENTS (highest_wins); i++)
    {
      GmStatus status = { GM_OK, "" };
      WmMessage c = config (highest_wins[i].number, highest_wins[i].variant);
      c.cmd_config.highest = 1;
      c.cmd_config.source = g_bytes_new ("as sent", 7);
      g_assert_cmpint (cs_apply (state, i + 1, &c, &status), ==, GM_OK);
      const CfService *service
          = g_ptr_array_index (cs_declaration (state)->services, 0);
      g_assert_cmpint (cs_declaration (state)->number, ==,
                       highest_wins[i].in_force);
      g_assert_cmpint (service->deadline_ms, ==, highest_wins[i].deadline);
      wm_clear (&c);
    }
  /* Control hosts keep the text as the operator sent it; other hosts do not
     receive it.  */
  g_autoptr (GBytes) block = cs_encode (state);
  g_autoptr (CsState) copy = cs_decode (state->version, block);
  g_assert_cmpuint (g_bytes_get_size (copy->source), ==, 7);
  g_autoptr (GBytes) slim = cs_encode_for_hosts (state);
  g_autoptr (CsState) host = cs_decode (state->version, slim);
  g_assert_cmpuint (g_bytes_get_size (host->source), ==, 0);
  g_assert_cmpint (cs_declaration (host)->number, ==, 7);
}

/* Declarations that list their groups are parsed only by cs_declaration; the
   encoded state is the same as if they were parsed at once.  */
static void
test_parse_on_demand (void)
{
  g_autoptr (CsState) at_once = cs_new ();
  g_autoptr (CsState) on_demand = cs_new ();
  for (guint i = 0; i < G_N_ELEMENTS (highest_wins); i++)
    {
      static const char *const names[] = { "g" };
      WmMessage c = config (highest_wins[i].number, highest_wins[i].variant);
      c.cmd_config.highest = 1;
      cs_apply (at_once, i + 1, &c, NULL);
      c.cmd_config.groups = wm_strings_encode (names, 1);
      cs_apply (on_demand, i + 1, &c, NULL);
      g_assert_null (on_demand->parsed);
      g_assert_nonnull (cs_group (on_demand, "g"));
      wm_clear (&c);
    }
  g_autoptr (GBytes) a = cs_encode (at_once);
  g_autoptr (GBytes) b = cs_encode (on_demand);
  g_assert_true (g_bytes_equal (a, b));
  const CfDeclaration *read = cs_declaration (on_demand);
  g_assert_cmpint (read->number, ==, 7);
  g_autoptr (GBytes) groups = cs_group_names (read);
  g_autoptr (GPtrArray) names = wm_strings_decode (groups);
  g_assert_cmpuint (names->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (names, 0), ==, "g");
}

static void
add_pool_host (CsState *state, const char *host, const char *data_centre,
               gboolean pool, guint64 link_rate)
{
  WmMessage m = { .type = WM_TYPE_CMD_HOST,
                  .cmd_host = { .host = (char *)host,
                                .incarnation = 1,
                                .caller = (char *)"",
                                .link = (char *)"",
                                .data_centre = (char *)data_centre,
                                .roles = pool ? CS_POOL : 0,
                                .link_rate = link_rate } };
  cs_apply (state, state->version + 1, &m, NULL);
}

/* A host that was recorded in incarnation 1 restarts, before it expired or
   after.  Guards against a host that resumes work which was assigned to
   another meanwhile, and against one that is taken for new after each restart.
 */
static const struct
{
  guint64 incarnation;
  gboolean expired;
  gboolean kept;
} restart_cases[]
    = { { 1, FALSE, FALSE }, { 2, FALSE, TRUE }, { 2, TRUE, FALSE } };

static void
test_restart (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (restart_cases); i++)
    {
      g_autoptr (CsState) state = cs_new ();
      WmMessage up = { .type = WM_TYPE_CMD_HOST,
                       .cmd_host = { .host = (char *)"a", .incarnation = 1 } };
      WmMessage down
          = { .type = WM_TYPE_CMD_HOST_DOWN,
              .cmd_host_down = { .host = (char *)"a", .incarnation = 1 } };
      cs_apply (state, 1, &up, NULL);
      if (restart_cases[i].expired)
        cs_apply (state, 2, &down, NULL);
      up.cmd_host.incarnation = restart_cases[i].incarnation;
      cs_apply (state, 3, &up, NULL);
      g_autoptr (GBytes) block = cs_encode (state);
      g_autoptr (CsState) copy = cs_decode (3, block);
      const CsHost *host = g_hash_table_lookup (copy->hosts, "a");
      g_assert_cmpint (host->kept, ==, restart_cases[i].kept);
    }
}

static void
add_database_with_slots (CsState *state, const char *id,
                         const char *data_centre, guint64 slots)
{
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = (char *)id,
                                    .group = (char *)"g",
                                    .address = (char *)"",
                                    .data_centre = (char *)data_centre,
                                    .slots = slots,
                                    .incarnation = 1 } };
  cs_apply (state, state->version + 1, &m, NULL);
}

static void
add_database (CsState *state, const char *id, const char *data_centre)
{
  add_database_with_slots (state, id, data_centre, 2);
}

/* Heartbeats that reach a new leader late, after a database announced that it
   is leaving with sequence 9 in incarnation 5, or has left.  */
static const struct
{
  gboolean has_left;
  guint64 incarnation;
  guint64 sequence;
  gboolean ready; /* the heartbeat says so */
  gboolean taken;
} late_heartbeats[] = {
  { FALSE, 5, 8, TRUE, FALSE },  { FALSE, 5, 10, TRUE, TRUE },
  { FALSE, 4, 99, TRUE, FALSE }, { FALSE, 6, 1, TRUE, TRUE },
  { TRUE, 5, 8, TRUE, FALSE },   { TRUE, 5, 10, TRUE, FALSE },
  { TRUE, 5, 10, FALSE, FALSE }, { TRUE, 4, 99, TRUE, FALSE },
  { TRUE, 6, 1, TRUE, TRUE },
};

static WmMessage
heartbeat (guint64 incarnation, guint64 sequence, gboolean ready)
{
  return (WmMessage){ .type = WM_TYPE_CMD_DATABASE,
                      .cmd_database = { .id = (char *)"d",
                                        .group = (char *)"g",
                                        .address = (char *)"",
                                        .data_centre = (char *)"",
                                        .slots = 2,
                                        .incarnation = incarnation,
                                        .leaving = ready ? 0 : 1,
                                        .sequence = sequence } };
}

static void
test_late_heartbeats (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (late_heartbeats); i++)
    {
      g_autoptr (CsState) old = cs_new ();
      WmMessage leaving = heartbeat (5, 9, FALSE);
      WmMessage left
          = { .type = WM_TYPE_CMD_DATABASE_LEFT,
              .cmd_database_left = { .id = (char *)"d", .incarnation = 5 } };
      cs_apply (old, 1, &leaving, NULL);
      if (late_heartbeats[i].has_left)
        cs_apply (old, 2, &left, NULL);
      /* The new leader has restarted from a snapshot.  */
      g_autoptr (GBytes) block = cs_encode (old);
      g_autoptr (CsState) state = cs_decode (old->version, block);
      MbCore *members = mb_new ();
      WmMessage late
          = heartbeat (late_heartbeats[i].incarnation,
                       late_heartbeats[i].sequence, late_heartbeats[i].ready);
      WmMessage command;
      mb_lead (members, START, state);
      mb_database_heartbeat (members, START + GM_MS, state,
                             &late.cmd_database);
      gboolean taken = mb_take_command (members, &command);
      g_assert_cmpint (taken, ==, late_heartbeats[i].taken);
      /* Another leader may have committed it meanwhile.  */
      if (late_heartbeats[i].has_left)
        g_assert_cmpint (cs_apply (state, state->version + 1, &late, NULL)
                             == GM_OK,
                         ==, late_heartbeats[i].taken);
      if (taken)
        wm_clear (&command);
      mb_free (members);
    }
}

/* Where statements go, among 1,500 services: parts of the description, or of
   the error.  */
static const struct
{
  const char *service;
  gboolean known;
  const char *parts[4];
} placements[] = {
  { "service0", TRUE, { "\"group\": \"g\"", "\"reads\": \"primary\"", NULL } },
  { "service1499",
    TRUE,
    { "\"id\": \"d2\", \"role\": \"primary\"", "\"queue\": [ \"a1\" ]",
      "\"term\": 4", NULL } },
  { "service1500", FALSE, { "configuration 3", NULL } },
  { "", FALSE, { "no service \"\"", NULL } },
};

static void
test_placement (void)
{
  g_autoptr (CsState) state = cs_new ();
  g_autoptr (GString) text = g_string_new (
      "{\"number\": 3, \"groups\": [{\"name\": \"g\"}], \"services\": [");
  for (guint i = 0; i < 1500; i++)
    g_string_append_printf (
        text,
        "%s{\"name\": \"service%u\", \"depends_on\": [\"g\"],"
        " \"rank\": \"urgent\", \"deadline_ms\": 8,"
        " \"reads\": \"primary\"}",
        i > 0 ? "," : "", i);
  g_string_append (text, "]}");
  g_autoptr (GBytes) block = g_bytes_new (text->str, text->len);
  WmMessage c = { .type = WM_TYPE_CMD_CONFIG,
                  .cmd_config = { .number = 3,
                                  .digest = (char *)"d",
                                  .text = block,
                                  .highest = 1,
                                  .who = (char *)"test" } };
  WmMessage term
      = { .type = WM_TYPE_CMD_TERM,
          .cmd_term
          = { .group = (char *)"g", .term = 4, .reason = (char *)"" } };
  WmMessage primary = { .type = WM_TYPE_CMD_PRIMARY,
                        .cmd_primary = { .group = (char *)"g",
                                         .term = 4,
                                         .id = (char *)"d2",
                                         .holder = (char *)"c" } };
  cs_apply (state, 1, &c, NULL);
  add_pool_host (state, "a1", "a", TRUE, 0);
  add_database (state, "d1", "a");
  add_database (state, "d2", "a");
  cs_apply (state, state->version + 1, &term, NULL);
  cs_apply (state, state->version + 1, &primary, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (placements); i++)
    {
      GmStatus status = { GM_OK, "" };
      g_autofree char *found
          = pm_describe (state, placements[i].service, &status);
      g_assert_cmpint (found != NULL, ==, placements[i].known);
      const char *shown = found != NULL ? found : status.message;
      for (guint k = 0; placements[i].parts[k] != NULL; k++)
        if (strstr (shown, placements[i].parts[k]) == NULL)
          g_error ("%s lacks %s", shown, placements[i].parts[k]);
    }
}

/* No more than CS_LEFT_MAX databases that have left are kept.  */
static void
test_left_bound (void)
{
  g_autoptr (CsState) state = cs_new ();
  for (guint i = 0; i <= CS_LEFT_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("d%u", i);
      WmMessage left = { .type = WM_TYPE_CMD_DATABASE_LEFT,
                         .cmd_database_left = { .id = id, .incarnation = 5 } };
      cs_apply (state, i + 1, &left, NULL);
    }
  g_assert_cmpuint (state->left.length, ==, CS_LEFT_MAX);
  g_assert_false (cs_has_left (state, "d0", 5));
  g_assert_true (cs_has_left (state, "d1", 5));
}

/* The queues of four databases are held evenly, in the databases' own data
   centres, and always by some host.  */
static void
test_queue_holders (void)
{
  static const char *const ids[] = { "d1", "d2", "d3", "d4" };
  g_autoptr (CsState) state = cs_new ();
  g_assert_null (cs_first_holder (state, "d1"));
  add_database (state, "d1", "a");
  add_database (state, "d2", "a");
  add_database (state, "d3", "b");
  add_database (state, "d4", "c");
  g_assert_null (cs_first_holder (state, "d1"));
  add_pool_host (state, "a1", "a", TRUE, 0);
  add_pool_host (state, "a2", "a", TRUE, 0);
  add_pool_host (state, "b1", "b", TRUE, 0);
  add_pool_host (state, "c1", "c", TRUE, 0);
  g_assert_cmpstr (cs_first_holder (state, "d1")->data_centre, ==, "a");
  g_assert_cmpstr (cs_first_holder (state, "d2")->data_centre, ==, "a");
  g_assert_true (cs_first_holder (state, "d1")
                 != cs_first_holder (state, "d2"));
  g_assert_cmpstr (cs_first_holder (state, "d3")->host, ==, "b1");
  /* A database in a data centre without pool hosts is held by any host,
     without moving the queues of others.  */
  add_pool_host (state, "c1", "c", FALSE, 0);
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    g_assert_nonnull (cs_first_holder (state, ids[i]));
  g_assert_cmpstr (cs_first_holder (state, "d3")->host, ==, "b1");
}

/* The number of shares into which a database's queue is divided.  */
static const struct
{
  guint hosts;
  guint64 link_rate;
  guint64 slots;
  guint shares;
} share_cases[] = {
  { 4, 0, 4, 1 },         /* the link rates are unknown */
  { 4, 700000000, 2, 1 }, /* one host's link suffices */
  { 4, 6600000, 2, 1 },   /* one link just suffices */
  { 4, 6500000, 2, 2 },   /* one link does not quite suffice */
  { 30, 1400000, 4, 4 },  /* no more shares than slots */
  { 2, 1400000, 4, 2 },   /* no more shares than hosts */
  { 1, 1, 4, 1 },
  { 30, 1400000, 0, 1 }, /* a database that announced no slots */
};

static void
test_shares (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (share_cases); i++)
    {
      g_autoptr (CsState) state = cs_new ();
      g_autoptr (GHashTable) held = g_hash_table_new (NULL, NULL);
      guint shares;
      add_database_with_slots (state, "d1", "a", share_cases[i].slots);
      add_database_with_slots (state, "d2", "a", share_cases[i].slots);
      for (guint k = 0; k < share_cases[i].hosts; k++)
        {
          g_autofree char *name = g_strdup_printf ("a%u", k);
          add_pool_host (state, name, "a", TRUE, share_cases[i].link_rate);
        }
      const GPtrArray *holders = cs_queue_holders (state, "d1");
      g_assert_cmpuint (holders->len, ==, share_cases[i].shares);
      for (guint k = 0; k < holders->len; k++)
        {
          const CsHost *host = g_ptr_array_index (holders, k);
          g_assert_true (g_hash_table_add (held, (gpointer)host));
          g_assert_cmpint (cs_queue_share (state, "d1", host->host, &shares),
                           ==, (gint)k);
          g_assert_cmpuint (shares, ==, holders->len);
          /* With enough hosts for all shares, no host has two.  */
          if (share_cases[i].hosts >= 2 * share_cases[i].shares)
            g_assert_cmpint (cs_queue_share (state, "d2", host->host, &shares),
                             ==, -1);
        }
    }
}

/* Guards against a snapshot that is refused whole since its audit trail has an
   outcome that this host does not know, as a later version may write it.  */
static void
test_unknown_outcome (void)
{
  g_autoptr (CsState) state = cs_new ();
  WmMessage c = config (1, 0);
  g_assert_cmpint (cs_apply (state, 1, &c, NULL), ==, GM_OK);
  wm_clear (&c);
  ((CsAudit *)g_queue_peek_head (&state->audit))->kind
      = (GmKind)(GM_KIND_COUNT + 5);
  g_autoptr (GBytes) block = cs_encode (state);
  g_autoptr (CsState) copy = cs_decode (state->version, block);
  g_assert_nonnull (copy);
  const CsAudit *audit = g_queue_peek_head (&copy->audit);
  g_assert_cmpint (audit->kind, ==, GM_INTERNAL);
  g_assert_cmpuint (copy->number, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/state/submissions", test_submissions);
  g_test_add_func ("/state/copy", test_host_copy);
  g_test_add_func ("/state/stale-control", test_stale_control);
  g_test_add_func ("/state/check", test_request_check);
  g_test_add_func ("/state/stall", test_stall);
  g_test_add_func ("/state/highest", test_highest_wins);
  g_test_add_func ("/state/late-heartbeats", test_late_heartbeats);
  g_test_add_func ("/state/placement", test_placement);
  g_test_add_func ("/state/left-bound", test_left_bound);
  g_test_add_func ("/state/pools", test_queue_holders);
  g_test_add_func ("/state/shares", test_shares);
  g_test_add_func ("/state/restart", test_restart);
  g_test_add_func ("/state/read-on-demand", test_parse_on_demand);
  g_test_add_func ("/state/unknown-outcome", test_unknown_outcome);
  return g_test_run ();
}
