/* Tests of the control log: membership, replaced disks and stamps.  */
#include "clog/clog.h"
#include "fuzz/memstore.h"
#include <string.h>

#define START_TIME (10 * GM_SECOND)

/* One control host with its own log and clock.  */
typedef struct
{
  ClStore *store;
  ClCore *core;
  GmTime now;
} Node;

static Node
node_new (const char *host, const char *disk)
{
  Node n = { .store = memstore_new (), .now = START_TIME };
  n.core = cl_open (host, disk, host, n.store, 7, n.now, NULL);
  g_assert_nonnull (n.core);
  return n;
}

static void
node_free (Node *n)
{
  cl_free (n->core);
  n->store->class->free (n->store);
}

static void
drop_sends (Node *n)
{
  ClOutgoingMessage send;
  while (cl_take_outgoing (n->core, &send))
    {
      g_free (send.to);
      wm_clear (&send.message);
    }
}

/* Returns the next message of TYPE to HOST and discards those before; fails
   the test if there is none.  */
static WmMessage
expect_send (Node *n, const char *host, WmType type)
{
  ClOutgoingMessage send;
  while (cl_take_outgoing (n->core, &send))
    {
      gboolean match
          = strcmp (send.to, host) == 0 && send.message.type == type;
      g_free (send.to);
      if (match)
        return send.message;
      wm_clear (&send.message);
    }
  g_error ("no %s for %s", wm_type_name (type), host);
}

static void
start_as_leader (Node *n)
{
  g_assert_cmpint (cl_bootstrap (n->core, n->now, NULL), ==, GM_OK);
  cl_tick (n->core, n->now);
  g_assert_cmpint (cl_role (n->core), ==, CL_LEADER);
}

static void
receive_join (Node *n, const char *host, const char *disk)
{
  WmMessage m = { .type = WM_TYPE_JOIN,
                  .join = { .from = (char *)host,
                            .disk = (char *)disk,
                            .address = (char *)host } };
  cl_receive (n->core, n->now, &m);
}

static void
receive_appended (Node *n, const char *host, const char *disk, guint64 match)
{
  WmMessage m = { .type = WM_TYPE_APPENDED,
                  .appended = { .term = cl_term (n->core),
                                .from = (char *)host,
                                .disk = (char *)disk,
                                .ok = 1,
                                .match = match,
                                .sent = 1,
                                .echo = (guint64)n->now } };
  cl_receive (n->core, n->now, &m);
}

static gboolean
is_voter (const Node *n, const char *host)
{
  const GPtrArray *members = cl_members (n->core);
  for (guint i = 0; i < members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (members, i);
      if (strcmp (m->host, host) == 0)
        return m->voter;
    }
  return FALSE;
}

static void
test_learner (void)
{
  Node n = node_new ("a", "disk-a");
  start_as_leader (&n);
  receive_join (&n, "b", "disk-b");
  g_assert_false (is_voter (&n, "b"));
  /* A learner becomes a voter only when it has every entry.  */
  receive_appended (&n, "b", "disk-b", cl_commit (n.core) - 1);
  g_assert_false (is_voter (&n, "b"));
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  node_free (&n);
}

static void
test_lost_disk (void)
{
  Node n = node_new ("a", "disk-a");
  start_as_leader (&n);
  receive_join (&n, "b", "disk-b");
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_autoptr (GBytes) command = g_bytes_new ("x", 1);
  guint64 index;
  g_assert_cmpint (cl_propose (n.core, n.now, command, &index, NULL), ==,
                   GM_OK);
  /* A host with an emptied data folder has a new disk identity.  Its
     acknowledgements don't count, and only an operator can admit it.  */
  receive_appended (&n, "b", "disk-new", index);
  g_assert_cmpuint (cl_commit (n.core), <, index);
  receive_join (&n, "b", "disk-new");
  g_assert_true (is_voter (&n, "b"));
  receive_appended (&n, "b", "disk-b", index);
  g_assert_cmpuint (cl_commit (n.core), ==, index);
  g_assert_cmpint (cl_admit (n.core, n.now, "b", NULL), ==, GM_OK);
  g_assert_false (is_voter (&n, "b"));
  node_free (&n);
}

/* A joining host may not know which control host leads, so a follower forwards
   its request to the leader.  A request is forwarded only once.  */
static void
test_join_through_follower (void)
{
  Node n = node_new ("a", "disk-a");
  start_as_leader (&n);
  drop_sends (&n);
  receive_join (&n, "b", "disk-b");
  /* The leader steps down for a leader with a later term.  */
  g_autoptr (GBytes) none = g_bytes_new (NULL, 0);
  WmMessage append = { .type = WM_TYPE_APPEND,
                       .append = { .term = cl_term (n.core) + 1,
                                   .from = (char *)"b",
                                   .disk = (char *)"disk-b",
                                   .prev_index = cl_last_index (n.core),
                                   .prev_term = cl_term (n.core),
                                   .entries = none } };
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  append.append.prev_index = cl_last_index (n.core);
  cl_receive (n.core, n.now, &append);
  g_assert_cmpint (cl_role (n.core), ==, CL_FOLLOWER);
  drop_sends (&n);
  receive_join (&n, "c", "disk-c");
  WmMessage forwarded = expect_send (&n, "b", WM_TYPE_JOIN);
  g_assert_cmpstr (forwarded.join.from, ==, "c");
  g_assert_cmpuint (forwarded.join.forwarded, ==, 1);
  drop_sends (&n);
  cl_receive (n.core, n.now, &forwarded);
  ClOutgoingMessage send;
  g_assert_false (cl_take_outgoing (n.core, &send));
  wm_clear (&forwarded);
  node_free (&n);
}

/* If host names are unique, a host with an emptied disk is admitted without an
   operator.  From then on the old disk neither votes nor counts.  */
static void
test_unique_hosts (void)
{
  Node n = node_new ("a", "disk-a");
  cl_set_unique_hosts (n.core, 1);
  start_as_leader (&n);
  g_assert_cmpuint (cl_committed_voters (n.core), ==, 1);
  receive_join (&n, "b", "disk-b");
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  receive_join (&n, "b", "another-disk");
  g_assert_false (is_voter (&n, "b"));
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_false (is_voter (&n, "b"));
  receive_appended (&n, "b", "another-disk", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  node_free (&n);
}

static void
test_replace_twice (void)
{
  Node n = node_new ("a", "disk-a");
  start_as_leader (&n);
  receive_join (&n, "b", "disk-b");
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  receive_appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  g_assert_cmpint (cl_admit (n.core, n.now, "b", NULL), ==, GM_NOT_FOUND);
  g_assert_true (is_voter (&n, "b"));
  g_assert_cmpint (cl_admit (n.core, n.now, "c", NULL), ==, GM_NOT_FOUND);
  node_free (&n);
}

/* Receives an empty APPEND from the leader "l" with ECHO.  */
static void
receive_heartbeat (Node *n, guint64 echo)
{
  g_autoptr (GBytes) none = g_bytes_new (NULL, 0);
  WmMessage m = { .type = WM_TYPE_APPEND,
                  .append = { .term = 1,
                              .from = (char *)"l",
                              .disk = (char *)"disk-l",
                              .sent = 1,
                              .echo = echo,
                              .entries = none } };
  cl_receive (n->core, n->now, &m);
}

static void
test_stamp (void)
{
  Node n = node_new ("a", "disk-a");
  receive_heartbeat (&n, 0);
  WmMessage answer = expect_send (&n, "l", WM_TYPE_APPENDED);
  guint64 probe = answer.appended.sent;
  wm_clear (&answer);
  /* Echoes of probes that an earlier process of this host sent, by a clock
     behind or ahead of this one, must not advance the stamp.  */
  n.now += GM_SECOND;
  receive_heartbeat (&n, (guint64)n.now - 1000);
  g_assert_cmpint (cl_stamp (n.core, n.now), <, START_TIME);
  receive_heartbeat (&n, (guint64)n.now + 3600 * (guint64)GM_SECOND);
  g_assert_cmpint (cl_stamp (n.core, n.now), <, START_TIME);
  receive_heartbeat (&n, probe);
  g_assert_cmpint (cl_stamp (n.core, n.now), ==, START_TIME);
  drop_sends (&n);
  node_free (&n);
}

/* A group of VOTERS voters of which UNRESPONSIVE stop responding for
   SILENT_FOR, and the number of voters left then.  */
static const struct
{
  guint voters;
  guint unresponsive;
  GmTime silent_for;
  guint voters_left;
  guint min_voters; /* minimum given to cl_set_unique_hosts; 0: 3 */
} unresponsive_cases[] = {
  { 5, 0, 60 * GM_SECOND, 5 }, /* all respond */
  { 5, 1, 10 * GM_SECOND, 5 }, /* timeout not reached */
  { 5, 1, 16 * GM_SECOND, 4 }, /* timeout reached */
  { 6, 1, 2 * GM_SECOND, 6 },  /* may be restarting */
  { 6, 1, 4 * GM_SECOND, 5 },  /* five tolerate as many failures as six */
  { 7, 2, 16 * GM_SECOND, 5 }, /* removed one after the other */
  { 4, 1, 4 * GM_SECOND, 3 },
  { 3, 1, 60 * GM_SECOND, 3 }, /* three is the minimum */
  /* With two voters, the loss of one disk would lose the quorum.  */
  { 3, 1, 60 * GM_SECOND, 3, 2 },
  { 4, 1, 4 * GM_SECOND, 3, 1 },
};

/* Makes the first HOSTS hosts, except the leader, acknowledge all entries.  */
static void
acknowledge_all (Node *n, guint hosts)
{
  for (guint i = 1; i < hosts; i++)
    {
      g_autofree char *host = g_strdup_printf ("h%u", i);
      receive_appended (n, host, "disk", cl_last_index (n->core));
    }
}

static void
test_gone_voters (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (unresponsive_cases); i++)
    {
      Node n = node_new ("a", "disk");
      cl_set_unique_hosts (n.core, unresponsive_cases[i].min_voters != 0
                                       ? unresponsive_cases[i].min_voters
                                       : 3);
      start_as_leader (&n);
      for (guint j = 1; j < unresponsive_cases[i].voters; j++)
        {
          g_autofree char *host = g_strdup_printf ("h%u", j);
          receive_join (&n, host, "disk");
          for (guint round = 0; round < 3; round++)
            acknowledge_all (&n, j + 1);
        }
      GmTime end = n.now + unresponsive_cases[i].silent_for;
      guint live
          = unresponsive_cases[i].voters - unresponsive_cases[i].unresponsive;
      g_assert_cmpuint (cl_committed_voters (n.core), ==,
                        unresponsive_cases[i].voters);
      while (n.now < end)
        {
          n.now += 50 * GM_MS;
          cl_tick (n.core, n.now);
          acknowledge_all (&n, live);
          drop_sends (&n);
        }
      g_assert_cmpuint (cl_committed_voters (n.core), ==,
                        unresponsive_cases[i].voters_left);
      node_free (&n);
    }
}

/* Delivers messages between A and B until none are left.  */
static void
deliver_all (Node *a, Node *b)
{
  gboolean any = TRUE;
  while (any)
    {
      ClOutgoingMessage send;
      any = FALSE;
      for (guint i = 0; i < 2; i++)
        while (cl_take_outgoing (i == 0 ? a->core : b->core, &send))
          {
            Node *to = i == 0 ? b : a;
            cl_receive (to->core, to->now, &send.message);
            g_free (send.to);
            wm_clear (&send.message);
            any = TRUE;
          }
    }
}

/* A voter that hears no leader may have been removed while it was unreachable.
   It asks to join with its existing disk and is admitted again.  */
static void
test_removed_voter_returns (void)
{
  Node a = node_new ("a", "disk-a"), b = node_new ("b", "disk-b");
  static const char *const peers[] = { "a" };
  cl_set_unique_hosts (a.core, 1);
  cl_set_unique_hosts (b.core, 1);
  cl_set_peers (b.core, peers, 1);
  start_as_leader (&a);
  receive_join (&a, "b", "disk-b");
  deliver_all (&a, &b);
  g_assert_true (cl_is_voter (b.core));
  /* The leader removes b, which does not learn of it.  */
  g_assert_cmpint (cl_remove (a.core, a.now, "b", NULL), ==, GM_OK);
  drop_sends (&a);
  g_assert_cmpuint (cl_members (a.core)->len, ==, 1);
  b.now += CL_REJOIN_TIMEOUT - 50 * GM_MS;
  cl_tick (b.core, b.now);
  drop_sends (&b);
  g_assert_true (cl_is_voter (b.core));
  b.now += 100 * GM_MS;
  cl_tick (b.core, b.now);
  deliver_all (&a, &b);
  g_assert_true (is_voter (&a, "b"));
  g_assert_true (cl_is_voter (b.core));
  g_assert_cmpuint (cl_last_index (b.core), ==, cl_last_index (a.core));
  node_free (&a);
  node_free (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/clog/learner", test_learner);
  g_test_add_func ("/clog/lost-disk", test_lost_disk);
  g_test_add_func ("/clog/join-through-follower", test_join_through_follower);
  g_test_add_func ("/clog/unique-hosts", test_unique_hosts);
  g_test_add_func ("/clog/gone-voters", test_gone_voters);
  g_test_add_func ("/clog/removed-voter-returns", test_removed_voter_returns);
  g_test_add_func ("/clog/replace-twice", test_replace_twice);
  g_test_add_func ("/clog/stamp", test_stamp);
  return g_test_run ();
}
