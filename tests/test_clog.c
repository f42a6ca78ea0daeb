/* Tests of the control log: membership, replaced disks, stamps and files.  */
#include "clog/filestore.h"
#include "fuzz/memstore.h"
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

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

typedef struct
{
  char *path;
  ClFileStore *files;
  ClCore *core;
} Disk;

static GmKind
disk_open (Disk *d, GmStatus *status)
{
  d->files = cl_file_store_open (d->path, status);
  if (d->files == NULL)
    return status->kind;
  d->core = cl_open ("a", cl_file_store_disk (d->files), "a",
                     cl_file_store (d->files), 7, START_TIME, status);
  return d->core != NULL ? GM_OK : status->kind;
}

static void
disk_close (Disk *d)
{
  ClStore *store = cl_file_store (d->files);
  cl_free (d->core);
  store->class->free (store);
}

static void
disk_remove (Disk *d)
{
  static const char *const names[]
      = { "log", "vote", "snapshot", "identity", "log.new" };
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *file = g_build_filename (d->path, names[i], NULL);
      g_unlink (file);
    }
  g_rmdir (d->path);
  g_free (d->path);
}

static void
append_commands (Disk *d, guint count)
{
  g_autoptr (GBytes) command = g_bytes_new ("command", 7);
  for (guint i = 0; i < count; i++)
    {
      guint64 index;
      g_assert_cmpint (cl_propose (d->core, START_TIME, command, &index, NULL),
                       ==, GM_OK);
    }
  while (cl_take_committed (d->core) != NULL)
    ;
}

/* Damage done to the log file between two starts, and the expected result.  */
static const struct
{
  const char *name;
  int removed_bytes;  /* bytes removed from the end */
  int zero_bytes;     /* zero bytes added at the end */
  int corrupt_offset; /* offset of a corrupted byte from the end; 0: none */
  GmKind expected;
  guint lost_entries; /* entries missing after the restart */
} damages[] = {
  { "none", 0, 0, 0, GM_OK, 0 },
  { "torn-record", 3, 0, 0, GM_OK, 1 },
  { "torn-header", 0, 5, 0, GM_OK, 0 },
  { "unwritten-blocks", 0, 4096, 0, GM_OK, 0 },
  { "flipped-in-the-middle", 0, 0, 60, GM_CORRUPT, 0 },
  { "flipped-in-the-last", 0, 0, 2, GM_CORRUPT, 0 },
};

static void
damage_log (const char *path, gsize row)
{
  g_autofree char *file = g_build_filename (path, "log", NULL);
  GStatBuf info;
  g_assert_cmpint (g_stat (file, &info), ==, 0);
  int fd = g_open (file, O_RDWR, 0);
  off_t size = (off_t)info.st_size;
  g_assert_cmpint (ftruncate (fd, size - damages[row].removed_bytes), ==, 0);
  g_assert_cmpint (ftruncate (fd, size - damages[row].removed_bytes
                                      + damages[row].zero_bytes),
                   ==, 0);
  if (damages[row].corrupt_offset > 0)
    {
      guint8 byte;
      g_assert_cmpint (
          pread (fd, &byte, 1, size - damages[row].corrupt_offset), ==, 1);
      byte ^= 0x55;
      g_assert_cmpint (
          pwrite (fd, &byte, 1, size - damages[row].corrupt_offset), ==, 1);
    }
  close (fd);
}

static void
test_damage (gconstpointer data)
{
  gsize row = GPOINTER_TO_SIZE (data);
  GmStatus status = { GM_OK, "" };
  Disk d = { .path = g_dir_make_tmp ("clog-XXXXXX", NULL) };
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  g_assert_cmpint (cl_bootstrap (d.core, START_TIME, NULL), ==, GM_OK);
  cl_tick (d.core, START_TIME);
  append_commands (&d, 20);
  guint64 last = cl_last_index (d.core);
  disk_close (&d);
  damage_log (d.path, row);
  g_assert_cmpint (disk_open (&d, &status), ==, damages[row].expected);
  if (damages[row].expected == GM_OK)
    {
      g_assert_cmpuint (cl_last_index (d.core), ==,
                        last - damages[row].lost_entries);
      disk_close (&d);
    }
  else
    {
      ClStore *store = cl_file_store (d.files);
      store->class->free (store);
    }
  disk_remove (&d);
}

/* Snapshots keep the log file bounded: a restart after thousands of changes
   reads a short log.  */
static void
test_many_changes (void)
{
  GmStatus status = { GM_OK, "" };
  Disk d = { .path = g_dir_make_tmp ("clog-XXXXXX", NULL) };
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  cl_bootstrap (d.core, START_TIME, NULL);
  cl_tick (d.core, START_TIME);
  g_autoptr (GBytes) state = g_bytes_new ("state", 5);
  for (int i = 0; i < 30; i++)
    {
      append_commands (&d, 100);
      if (cl_wants_snapshot (d.core))
        cl_compact (d.core, state);
    }
  guint64 last = cl_last_index (d.core);
  disk_close (&d);
  g_autofree char *file = g_build_filename (d.path, "log", NULL);
  GStatBuf info;
  g_assert_cmpint (g_stat (file, &info), ==, 0);
  g_assert_cmpint (info.st_size, <, 1000 * 40);
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  g_assert_cmpuint (cl_last_index (d.core), ==, last);
  GBytes *data;
  guint64 index;
  g_assert_true (cl_take_snapshot (d.core, &data, &index));
  g_assert_true (g_bytes_equal (data, state));
  disk_close (&d);
  disk_remove (&d);
}

/* After a write error on the log this host commits nothing more and no longer
   leads.  */
static void
test_failed_sync (void)
{
  GmStatus status = { GM_OK, "" };
  Disk d = { .path = g_dir_make_tmp ("clog-XXXXXX", NULL) };
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  cl_bootstrap (d.core, START_TIME, NULL);
  cl_tick (d.core, START_TIME);
  append_commands (&d, 1);
  g_autoptr (GBytes) command = g_bytes_new ("command", 7);
  guint64 commit = cl_commit (d.core);
  guint64 index;
  /* Closing the log's file descriptor makes every write fail, as on a failing
     device.  */
  for (int fd = 3; fd < 64; fd++)
    {
      char name[64], link[256];
      g_snprintf (name, sizeof name, "/proc/self/fd/%d", fd);
      ssize_t n = readlink (name, link, sizeof link - 1);
      if (n > 4 && strncmp (link + n - 4, "/log", 4) == 0)
        close (fd);
    }
  g_assert_cmpint (cl_propose (d.core, START_TIME, command, &index, &status),
                   !=, GM_OK);
  g_assert_cmpint (cl_failure (d.core, NULL), ==, GM_IO);
  g_assert_cmpuint (cl_commit (d.core), ==, commit);
  g_assert_cmpint (cl_role (d.core), !=, CL_LEADER);
  disk_close (&d);
  disk_remove (&d);
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

static void
limit_file_size (rlim_t bytes)
{
  struct rlimit limit;
  g_assert_cmpint (getrlimit (RLIMIT_FSIZE, &limit), ==, 0);
  limit.rlim_cur = MIN (bytes, limit.rlim_max);
  g_assert_cmpint (setrlimit (RLIMIT_FSIZE, &limit), ==, 0);
}

static goffset
log_size (const Disk *d)
{
  g_autofree char *file = g_build_filename (d->path, "log", NULL);
  GStatBuf info;
  g_assert_cmpint (g_stat (file, &info), ==, 0);
  return info.st_size;
}

typedef enum
{
  FULL_AT_PROPOSAL,
  FULL_AT_VOTE,
  FULL_AT_SNAPSHOT
} FullAt;

/* What a full disk takes: so many bytes more than the log has, or none of any
   file; and what is written then.  */
static const struct
{
  const char *name;
  FullAt at;
  gint64 room; /* -1: no file may have any byte */
} full_disks[] = {
  { "proposal", FULL_AT_PROPOSAL, 0 },
  { "short-write", FULL_AT_PROPOSAL, 5 },
  { "almost-whole", FULL_AT_PROPOSAL, 60 },
  { "no-byte", FULL_AT_PROPOSAL, -1 },
  { "vote", FULL_AT_VOTE, -1 },
  { "snapshot", FULL_AT_SNAPSHOT, -1 },
};

static void
write_to_full_disk (const Disk *d, FullAt at)
{
  guint64 index;
  g_autofree char *text = g_strnfill (200, 'x');
  g_autoptr (GBytes) command = g_bytes_new (text, 200);
  WmMessage ask = { .type = WM_TYPE_VOTE_ASK,
                    .vote_ask = { .term = cl_term (d->core) + 1,
                                  .from = (char *)"other",
                                  .disk = (char *)"disk",
                                  .last_index = 1000000,
                                  .last_term = 1000 } };
  if (at == FULL_AT_SNAPSHOT)
    cl_compact (d->core, command);
  else if (at == FULL_AT_PROPOSAL)
    g_assert_cmpint (cl_propose (d->core, START_TIME, command, &index, NULL),
                     !=, GM_OK);
  else
    {
      /* A leader that hears from a majority, itself, refuses.  */
      g_assert_cmpint (cl_role (d->core), ==, CL_LEADER);
      WmMessage later = { .type = WM_TYPE_APPENDED,
                          .appended = { .term = cl_term (d->core) + 1,
                                        .from = (char *)"other",
                                        .disk = (char *)"disk" } };
      cl_receive (d->core, START_TIME, &later);
      cl_receive (d->core, START_TIME, &ask);
    }
}

/* A control host whose disk was full takes part again by itself, with all that
   it had confirmed.  Guards against a group that loses its quorum to disks
   that were full for some seconds, one after the other.  */
static void
test_full_disk (gconstpointer data)
{
  gsize row = GPOINTER_TO_SIZE (data);
  GmStatus status = { GM_OK, "" };
  Disk d = { .path = g_dir_make_tmp ("clog-XXXXXX", NULL) };
  signal (SIGXFSZ, SIG_IGN);
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  cl_bootstrap (d.core, START_TIME, NULL);
  cl_tick (d.core, START_TIME);
  append_commands (&d, 20);
  guint64 last = cl_last_index (d.core);
  guint64 term = cl_term (d.core);
  limit_file_size (full_disks[row].room < 0
                       ? 0
                       : (rlim_t)(log_size (&d) + full_disks[row].room));
  write_to_full_disk (&d, full_disks[row].at);
  g_assert_cmpint (cl_failure (d.core, NULL), ==, GM_IO);
  g_assert_cmpint (cl_role (d.core), !=, CL_LEADER);
  g_assert_cmpuint (cl_last_index (d.core), ==, last);
  g_assert_cmpuint (cl_term (d.core), ==, term);
  GmTime now = START_TIME;
  for (; now < START_TIME + 5 * GM_SECOND; now += 10 * GM_MS)
    cl_tick (d.core, now);
  /* With some room left, what this host holds can be written anew.  */
  if (full_disks[row].room < 0)
    g_assert_cmpint (cl_failure (d.core, NULL), ==, GM_IO);
  limit_file_size (RLIM_INFINITY);
  for (; now < START_TIME + 8 * GM_SECOND; now += 10 * GM_MS)
    cl_tick (d.core, now);
  g_assert_cmpint (cl_failure (d.core, NULL), ==, GM_OK);
  g_assert_cmpint (cl_role (d.core), ==, CL_LEADER);
  guint64 index = 0;
  g_autoptr (GBytes) command = g_bytes_new ("command", 7);
  g_assert_cmpint (cl_propose (d.core, now, command, &index, NULL), ==, GM_OK);
  g_assert_cmpuint (cl_commit (d.core), ==, index);
  term = cl_term (d.core);
  disk_close (&d);
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  g_assert_cmpuint (cl_last_index (d.core), ==, index);
  g_assert_cmpuint (cl_term (d.core), ==, term);
  disk_close (&d);
  disk_remove (&d);
}

/* Five control hosts that start at the same time, each busy while its disk
   syncs.  */
#define GROUP_SIZE 5

typedef struct
{
  Node node;
  char host[4];
  GmTime busy_until;
  GQueue inbox; /* ClOutgoingMessage *, in the order of arrival */
} SlowHost;

static GBytes *
five_voters (void)
{
  g_autoptr (GPtrArray) members
      = g_ptr_array_new_with_free_func ((GDestroyNotify)cl_member_free);
  for (guint i = 0; i < GROUP_SIZE; i++)
    {
      ClMember *member = g_new0 (ClMember, 1);
      member->host = g_strdup_printf ("h%u", i);
      member->disk = g_strdup ("disk");
      member->address = g_strdup ("");
      member->voter = TRUE;
      g_ptr_array_add (members, member);
    }
  return cl_members_encode (members);
}

static void
slow_host_start (SlowHost *h, guint i, GmTime now)
{
  g_autoptr (GBytes) members = five_voters ();
  ClEntry *entry = cl_entry_new (1, 1, CL_MEMBERS, members);
  g_snprintf (h->host, sizeof h->host, "h%u", i);
  g_queue_init (&h->inbox);
  h->node.store = memstore_new ();
  const ClStoreClass *class = h->node.store->class;
  g_assert_cmpint (class->vote (h->node.store, 1, "", NULL), ==, GM_OK);
  g_assert_cmpint (class->append (h->node.store, &entry, 1, NULL), ==, GM_OK);
  cl_entry_free (entry);
  h->node.core
      = cl_open (h->host, "disk", "", h->node.store, i + 1, now, NULL);
}

/* Lets H, which is not busy, send what it has to say since, then handle what
   has arrived up to the first sync, which takes SYNC.  */
static void
slow_host_run (SlowHost *all, SlowHost *h, GmTime now, GmTime sync)
{
  ClOutgoingMessage send;
  ClOutgoingMessage *received;
  if (now < h->busy_until)
    return;
  while (cl_take_outgoing (h->node.core, &send))
    g_queue_push_tail (&all[send.to[1] - '0'].inbox,
                       g_memdup2 (&send, sizeof send));
  guint64 syncs = memstore_syncs (h->node.store);
  cl_tick (h->node.core, now);
  while (memstore_syncs (h->node.store) == syncs
         && (received = g_queue_pop_head (&h->inbox)) != NULL)
    {
      cl_receive (h->node.core, now, &received->message);
      wm_clear (&received->message);
      g_free (received->to);
      g_free (received);
    }
  h->busy_until
      = now + (GmTime)(memstore_syncs (h->node.store) - syncs) * sync;
}

/* How long a sync takes in milliseconds, and by when a leader must be
   confirmed.  All control hosts are started together after a loss of power,
   and must lead again within the 12 s that a deployment has to recover.  */
static const struct
{
  GmTime sync_ms;
  GmTime by_s;
} slow_disks[] = { { 0, 2 }, { 2, 2 }, { 20, 12 }, { 60, 12 }, { 120, 12 } };

/* Guards against elections without end where syncs take longer than the first
   election timeout.  */
static void
test_slow_disks (void)
{
  for (guint row = 0; row < G_N_ELEMENTS (slow_disks); row++)
    {
      SlowHost hosts[GROUP_SIZE] = { 0 };
      GmTime start = START_TIME, confirmed = 0;
      GmTime sync = slow_disks[row].sync_ms * GM_MS;
      for (guint i = 0; i < GROUP_SIZE; i++)
        slow_host_start (&hosts[i], i, start);
      for (GmTime now = start; now < start + 15 * GM_SECOND; now += GM_MS)
        for (guint i = 0; i < GROUP_SIZE; i++)
          {
            slow_host_run (hosts, &hosts[i], now, sync);
            if (confirmed == 0 && cl_stamp (hosts[i].node.core, now) > start)
              confirmed = now;
          }
      g_assert_cmpint (confirmed, >, 0);
      g_assert_cmpint (confirmed - start, <=,
                       slow_disks[row].by_s * GM_SECOND);
      for (guint i = 0; i < GROUP_SIZE; i++)
        {
          ClOutgoingMessage *left;
          while ((left = g_queue_pop_head (&hosts[i].inbox)) != NULL)
            {
              wm_clear (&left->message);
              g_free (left->to);
              g_free (left);
            }
          node_free (&hosts[i].node);
        }
    }
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
  g_test_add_func ("/clog/many-changes", test_many_changes);
  g_test_add_func ("/clog/failed-sync", test_failed_sync);
  g_test_add_func ("/clog/slow-disks", test_slow_disks);
  for (gsize i = 0; i < G_N_ELEMENTS (full_disks); i++)
    {
      g_autofree char *name
          = g_strconcat ("/clog/full-disk/", full_disks[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_full_disk);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (damages); i++)
    {
      g_autofree char *name
          = g_strconcat ("/clog/damage/", damages[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_damage);
    }
  return g_test_run ();
}
