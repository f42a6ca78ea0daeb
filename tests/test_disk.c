/* The control log on disks that are damaged, fail, are full or are slow.  */
#include "clog/filestore.h"
#include "fuzz/memstore.h"
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define START_TIME (10 * GM_SECOND)

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
  ClStore *store;
  ClCore *core;
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
  h->store = memstore_new ();
  const ClStoreClass *class = h->store->class;
  g_assert_cmpint (class->vote (h->store, 1, "", NULL), ==, GM_OK);
  g_assert_cmpint (class->append (h->store, &entry, 1, NULL), ==, GM_OK);
  cl_entry_free (entry);
  h->core = cl_open (h->host, "disk", "", h->store, i + 1, now, NULL);
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
  while (cl_take_outgoing (h->core, &send))
    g_queue_push_tail (&all[send.to[1] - '0'].inbox,
                       g_memdup2 (&send, sizeof send));
  guint64 syncs = memstore_syncs (h->store);
  cl_tick (h->core, now);
  while (memstore_syncs (h->store) == syncs
         && (received = g_queue_pop_head (&h->inbox)) != NULL)
    {
      cl_receive (h->core, now, &received->message);
      wm_clear (&received->message);
      g_free (received->to);
      g_free (received);
    }
  h->busy_until = now + (GmTime)(memstore_syncs (h->store) - syncs) * sync;
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
            if (confirmed == 0 && cl_stamp (hosts[i].core, now) > start)
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
          cl_free (hosts[i].core);
          hosts[i].store->class->free (hosts[i].store);
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/disk/many-changes", test_many_changes);
  g_test_add_func ("/disk/failed-sync", test_failed_sync);
  g_test_add_func ("/disk/slow-disks", test_slow_disks);
  for (gsize i = 0; i < G_N_ELEMENTS (full_disks); i++)
    {
      g_autofree char *name
          = g_strconcat ("/disk/full-disk/", full_disks[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_full_disk);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (damages); i++)
    {
      g_autofree char *name
          = g_strconcat ("/disk/damage/", damages[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_damage);
    }
  return g_test_run ();
}
