/* The control log: membership, disks, stamps, and its files.  */
#include "clog/filestore.h"
#include "fuzz/memstore.h"
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define START (10 * GM_SECOND)

/* A log of its own; stands for one control host.  */
typedef struct
{
  ClStore *store;
  ClCore *core;
  GmTime now;
} Node;

static Node
node_new (const char *host, const char *disk)
{
  Node n = { .store = memstore_new (), .now = START };
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
  ClSend send;
  while (cl_take_send (n->core, &send))
    {
      g_free (send.to);
      wm_clear (&send.message);
    }
}

/* The next message of TYPE to HOST; fails the test when there is none.  */
static WmMessage
expect_send (Node *n, const char *host, WmType type)
{
  ClSend send;
  while (cl_take_send (n->core, &send))
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
lead_alone (Node *n)
{
  g_assert_cmpint (cl_bootstrap (n->core, n->now, NULL), ==, GM_OK);
  cl_tick (n->core, n->now);
  g_assert_cmpint (cl_role (n->core), ==, CL_LEADER);
}

static void
join (Node *n, const char *host, const char *disk)
{
  WmMessage m = { .type = WM_TYPE_JOIN,
                  .join = { .from = (char *)host,
                            .disk = (char *)disk,
                            .address = (char *)host } };
  cl_receive (n->core, n->now, &m);
}

static void
appended (Node *n, const char *host, const char *disk, guint64 match)
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
  lead_alone (&n);
  join (&n, "b", "disk-b");
  g_assert_false (is_voter (&n, "b"));
  /* Behind by one entry: still no voter; with all entries: voter.  */
  appended (&n, "b", "disk-b", cl_commit (n.core) - 1);
  g_assert_false (is_voter (&n, "b"));
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  node_free (&n);
}

static void
test_lost_disk (void)
{
  Node n = node_new ("a", "disk-a");
  lead_alone (&n);
  join (&n, "b", "disk-b");
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_autoptr (GBytes) command = g_bytes_new ("x", 1);
  guint64 index;
  g_assert_cmpint (cl_propose (n.core, n.now, command, &index, NULL), ==,
                   GM_OK);
  /* An emptied folder has another identity: its word does not count, and it
     joins only when an operator says so.  */
  appended (&n, "b", "disk-new", index);
  g_assert_cmpuint (cl_commit (n.core), <, index);
  join (&n, "b", "disk-new");
  g_assert_true (is_voter (&n, "b"));
  appended (&n, "b", "disk-b", index);
  g_assert_cmpuint (cl_commit (n.core), ==, index);
  g_assert_cmpint (cl_admit (n.core, n.now, "b", NULL), ==, GM_OK);
  g_assert_false (is_voter (&n, "b"));
  node_free (&n);
}

/* Whoever joins knows some control hosts, not the leader: a follower hands the
   request on, once.  */
static void
test_join_through_follower (void)
{
  Node n = node_new ("a", "disk-a");
  lead_alone (&n);
  drop_sends (&n);
  join (&n, "b", "disk-b");
  /* The leader steps down for a later term of another host.  */
  g_autoptr (GBytes) none = g_bytes_new (NULL, 0);
  WmMessage append = { .type = WM_TYPE_APPEND,
                       .append = { .term = cl_term (n.core) + 1,
                                   .from = (char *)"b",
                                   .disk = (char *)"disk-b",
                                   .prev_index = cl_last_index (n.core),
                                   .prev_term = cl_term (n.core),
                                   .entries = none } };
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  append.append.prev_index = cl_last_index (n.core);
  cl_receive (n.core, n.now, &append);
  g_assert_cmpint (cl_role (n.core), ==, CL_FOLLOWER);
  drop_sends (&n);
  join (&n, "c", "disk-c");
  WmMessage forwarded = expect_send (&n, "b", WM_TYPE_JOIN);
  g_assert_cmpstr (forwarded.join.from, ==, "c");
  g_assert_cmpuint (forwarded.join.forwarded, ==, 1);
  drop_sends (&n);
  cl_receive (n.core, n.now, &forwarded);
  ClSend send;
  g_assert_false (cl_take_send (n.core, &send));
  wm_clear (&forwarded);
  node_free (&n);
}

/* Where host names are unique, an emptied disk needs no operator; the old disk
   neither votes nor counts from then on.  */
static void
test_unique_hosts (void)
{
  Node n = node_new ("a", "disk-a");
  cl_set_unique_hosts (n.core, 1);
  lead_alone (&n);
  g_assert_cmpuint (cl_settled_voters (n.core), ==, 1);
  join (&n, "b", "disk-b");
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  join (&n, "b", "another-disk");
  g_assert_false (is_voter (&n, "b"));
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_false (is_voter (&n, "b"));
  appended (&n, "b", "another-disk", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  node_free (&n);
}

static void
test_replace_twice (void)
{
  Node n = node_new ("a", "disk-a");
  lead_alone (&n);
  join (&n, "b", "disk-b");
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  appended (&n, "b", "disk-b", cl_last_index (n.core));
  g_assert_true (is_voter (&n, "b"));
  g_assert_cmpint (cl_admit (n.core, n.now, "b", NULL), ==, GM_NOT_FOUND);
  g_assert_true (is_voter (&n, "b"));
  g_assert_cmpint (cl_admit (n.core, n.now, "c", NULL), ==, GM_NOT_FOUND);
  node_free (&n);
}

/* An APPEND of leader "l" that returns ECHO.  */
static void
heartbeat (Node *n, guint64 echo)
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
  heartbeat (&n, 0);
  WmMessage answer = expect_send (&n, "l", WM_TYPE_APPENDED);
  guint64 probe = answer.appended.sent;
  wm_clear (&answer);
  /* The clock of an earlier process, as plain times of this host.  */
  n.now += GM_SECOND;
  heartbeat (&n, (guint64)n.now - 1000);
  g_assert_cmpint (cl_stamp (n.core, n.now), <, START);
  heartbeat (&n, (guint64)n.now + 3600 * (guint64)GM_SECOND);
  g_assert_cmpint (cl_stamp (n.core, n.now), <, START);
  heartbeat (&n, probe);
  g_assert_cmpint (cl_stamp (n.core, n.now), ==, START);
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
                     cl_file_store (d->files), 7, START, status);
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
      g_assert_cmpint (cl_propose (d->core, START, command, &index, NULL), ==,
                       GM_OK);
    }
  while (cl_take_committed (d->core) != NULL)
    ;
}

/* What is done to the log file between two starts, and what must follow.  */
static const struct
{
  const char *name;
  int cut;   /* bytes taken from the end */
  int zeros; /* zero bytes added at the end */
  int flip;  /* byte turned over, counted from the end; 0: none */
  GmKind expected;
  guint lost; /* entries that may be missing afterwards */
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
  g_assert_cmpint (ftruncate (fd, size - damages[row].cut), ==, 0);
  g_assert_cmpint (
      ftruncate (fd, size - damages[row].cut + damages[row].zeros), ==, 0);
  if (damages[row].flip > 0)
    {
      guint8 byte;
      g_assert_cmpint (pread (fd, &byte, 1, size - damages[row].flip), ==, 1);
      byte ^= 0x55;
      g_assert_cmpint (pwrite (fd, &byte, 1, size - damages[row].flip), ==, 1);
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
  g_assert_cmpint (cl_bootstrap (d.core, START, NULL), ==, GM_OK);
  cl_tick (d.core, START);
  append_commands (&d, 20);
  guint64 last = cl_last_index (d.core);
  disk_close (&d);
  damage_log (d.path, row);
  g_assert_cmpint (disk_open (&d, &status), ==, damages[row].expected);
  if (damages[row].expected == GM_OK)
    {
      g_assert_cmpuint (cl_last_index (d.core), ==, last - damages[row].lost);
      disk_close (&d);
    }
  else
    {
      ClStore *store = cl_file_store (d.files);
      store->class->free (store);
    }
  disk_remove (&d);
}

/* A restart after thousands of changes reads a bounded log.  */
static void
test_many_changes (void)
{
  GmStatus status = { GM_OK, "" };
  Disk d = { .path = g_dir_make_tmp ("clog-XXXXXX", NULL) };
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  cl_bootstrap (d.core, START, NULL);
  cl_tick (d.core, START);
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

/* A full or failing disk stops the host; it answers nothing more.  */
static void
test_failed_sync (void)
{
  GmStatus status = { GM_OK, "" };
  Disk d = { .path = g_dir_make_tmp ("clog-XXXXXX", NULL) };
  g_assert_cmpint (disk_open (&d, &status), ==, GM_OK);
  cl_bootstrap (d.core, START, NULL);
  cl_tick (d.core, START);
  append_commands (&d, 1);
  g_autoptr (GBytes) command = g_bytes_new ("command", 7);
  guint64 commit = cl_commit (d.core);
  guint64 index;
  /* The file is closed under the store, as a failing device would refuse.  */
  for (int fd = 3; fd < 64; fd++)
    {
      char name[64], link[256];
      g_snprintf (name, sizeof name, "/proc/self/fd/%d", fd);
      ssize_t n = readlink (name, link, sizeof link - 1);
      if (n > 4 && strncmp (link + n - 4, "/log", 4) == 0)
        close (fd);
    }
  g_assert_cmpint (cl_propose (d.core, START, command, &index, &status), !=,
                   GM_OK);
  g_assert_cmpint (cl_failed (d.core, NULL), ==, GM_IO);
  g_assert_cmpuint (cl_commit (d.core), ==, commit);
  g_assert_cmpint (cl_role (d.core), !=, CL_LEADER);
  disk_close (&d);
  disk_remove (&d);
}

/* Voters of which the last SILENT say nothing for AFTER: how many are left. */
static const struct
{
  guint voters;
  guint silent;
  GmTime after;
  guint left;
  guint least; /* as set; 0: 3 */
} gone[] = {
  { 5, 0, 60 * GM_SECOND, 5 }, /* all are there */
  { 5, 1, 10 * GM_SECOND, 5 }, /* may come back */
  { 5, 1, 16 * GM_SECOND, 4 }, /* gone */
  { 6, 1, 2 * GM_SECOND, 6 },  /* may be starting again */
  { 6, 1, 4 * GM_SECOND, 5 },  /* five bear as many losses as six */
  { 7, 2, 16 * GM_SECOND, 5 }, /* one after the other */
  { 4, 1, 4 * GM_SECOND, 3 },
  { 3, 1, 60 * GM_SECOND, 3 }, /* as few as may be */
  /* With two, the loss of one disk would be the loss of the quorum.  */
  { 3, 1, 60 * GM_SECOND, 3, 2 },
  { 4, 1, 4 * GM_SECOND, 3, 1 },
};

/* The first HOSTS hosts, but for the leader itself, hold all entries.  */
static void
answer_all (Node *n, guint hosts)
{
  for (guint i = 1; i < hosts; i++)
    {
      g_autofree char *host = g_strdup_printf ("h%u", i);
      appended (n, host, "disk", cl_last_index (n->core));
    }
}

static void
test_gone_voters (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (gone); i++)
    {
      Node n = node_new ("a", "disk");
      cl_set_unique_hosts (n.core, gone[i].least != 0 ? gone[i].least : 3);
      lead_alone (&n);
      for (guint j = 1; j < gone[i].voters; j++)
        {
          g_autofree char *host = g_strdup_printf ("h%u", j);
          join (&n, host, "disk");
          for (guint round = 0; round < 3; round++)
            answer_all (&n, j + 1);
        }
      GmTime end = n.now + gone[i].after;
      guint live = gone[i].voters - gone[i].silent;
      g_assert_cmpuint (cl_settled_voters (n.core), ==, gone[i].voters);
      while (n.now < end)
        {
          n.now += 50 * GM_MS;
          cl_tick (n.core, n.now);
          answer_all (&n, live);
          drop_sends (&n);
        }
      g_assert_cmpuint (cl_settled_voters (n.core), ==, gone[i].left);
      node_free (&n);
    }
}

/* Delivers what A and B have for each other, until nothing is left.  */
static void
exchange (Node *a, Node *b)
{
  gboolean any = TRUE;
  while (any)
    {
      ClSend send;
      any = FALSE;
      for (guint i = 0; i < 2; i++)
        while (cl_take_send (i == 0 ? a->core : b->core, &send))
          {
            Node *to = i == 0 ? b : a;
            cl_receive (to->core, to->now, &send.message);
            g_free (send.to);
            wm_clear (&send.message);
            any = TRUE;
          }
    }
}

/* A voter that hears no leader may have been removed without knowing: it asks
   to join, as it stands, and is taken in again.  */
static void
test_removed_voter_returns (void)
{
  Node a = node_new ("a", "disk-a"), b = node_new ("b", "disk-b");
  static const char *const peers[] = { "a" };
  cl_set_unique_hosts (a.core, 1);
  cl_set_unique_hosts (b.core, 1);
  cl_set_peers (b.core, peers, 1);
  lead_alone (&a);
  join (&a, "b", "disk-b");
  exchange (&a, &b);
  g_assert_true (cl_is_voter (b.core));
  /* Removed while it hears nothing.  */
  g_assert_cmpint (cl_remove (a.core, a.now, "b", NULL), ==, GM_OK);
  drop_sends (&a);
  g_assert_cmpuint (cl_members (a.core)->len, ==, 1);
  b.now += CL_ALONE - 50 * GM_MS;
  cl_tick (b.core, b.now);
  drop_sends (&b);
  g_assert_true (cl_is_voter (b.core));
  b.now += 100 * GM_MS;
  cl_tick (b.core, b.now);
  exchange (&a, &b);
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
  g_test_add_func ("/clog/many-changes", test_many_changes);
  g_test_add_func ("/clog/failed-sync", test_failed_sync);
  for (gsize i = 0; i < G_N_ELEMENTS (damages); i++)
    {
      g_autofree char *name
          = g_strconcat ("/clog/damage/", damages[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_damage);
    }
  return g_test_run ();
}
