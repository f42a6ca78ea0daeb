#include "filestore.h"
#include "base/event.h"
#include "base/histogram.h"
#include <errno.h>
#include <fcntl.h>
#include <gio/gio.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#define FILE_MODE 0600
#define DIRECTORY_MODE 0700
#define HEADER_BYTES 8 /* length and CRC-32, both big-endian */
#define DISK_ID_BYTES 16
/* Microseconds; two thirds of an election timeout.  */
#define SYNC_SLOW 200000

struct ClFileStore
{
  ClStore store;
  char *path;
  int folder_fd;
  int log_fd;
  char *disk;
  GArray *offsets;     /* goffset of each entry in the log file */
  guint64 first_index; /* index of the first entry in the file */
  goffset log_end;
  gsize truncated_bytes;
};

static GmKind
io_error (GmStatus *status, const char *what, const char *name)
{
  return gm_fail (status, GM_IO, "%s %s: %s", what, name, g_strerror (errno));
}

static gboolean
write_all (int fd, const guint8 *data, gsize length)
{
  while (length > 0)
    {
      ssize_t n = write (fd, data, length);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return FALSE;
      data += n;
      length -= (gsize)n;
    }
  return TRUE;
}

static void
append_record (GByteArray *out, const WmMessage *record)
{
  g_autoptr (GBytes) body = wm_encode (record);
  gsize length;
  const guint8 *data = g_bytes_get_data (body, &length);
  guint32 header[2] = { GUINT32_TO_BE ((guint32)length),
                        GUINT32_TO_BE (gm_crc32 (data, length)) };
  g_byte_array_append (out, (const guint8 *)header, HEADER_BYTES);
  g_byte_array_append (out, data, (guint)length);
}

typedef enum
{
  RECORD_VALID,
  RECORD_TRUNCATED, /* the data ends within the record */
  RECORD_CORRUPT
} RecordState;

/* Decodes the record at offset *AT of DATA and advances *AT past the record.
 */
static RecordState
parse_record (const guint8 *data, gsize length, gsize *at, WmMessage *record)
{
  guint32 header[2];
  if (length - *at < HEADER_BYTES)
    return RECORD_TRUNCATED;
  memcpy (header, data + *at, HEADER_BYTES);
  gsize size = GUINT32_FROM_BE (header[0]);
  if (size == 0 || size > WM_FRAME_MAX)
    return RECORD_CORRUPT;
  if (size > length - *at - HEADER_BYTES)
    return RECORD_TRUNCATED;
  const guint8 *body = data + *at + HEADER_BYTES;
  if (gm_crc32 (body, size) != GUINT32_FROM_BE (header[1])
      || wm_decode (body, size, record, NULL) != GM_OK)
    return RECORD_CORRUPT;
  *at += HEADER_BYTES + size;
  return RECORD_VALID;
}

/* Notes how long it took, since BEGUN, to write the file NAME.  This host
   sends and answers nothing meanwhile.  */
static void
observe_sync (const char *name, gint64 begun)
{
  gint64 took = g_get_monotonic_time () - begun;
  hg_observe (HG_sync_seconds, name, took);
  if (took >= SYNC_SLOW)
    gm_log (GM_EV_DISK_SLOW, "%s: %" G_GINT64_FORMAT " ms", name, took / 1000);
}

/* Atomically replaces the contents of the file NAME with DATA: after a crash
   the file has either its old or its new contents.  */
static GmKind
replace_file (ClFileStore *s, const char *name, const GByteArray *data,
              GmStatus *status)
{
  g_autofree char *fresh = g_strconcat (name, ".new", NULL);
  int fd = openat (s->folder_fd, fresh,
                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd < 0)
    return io_error (status, "open", fresh);
  gint64 begun = g_get_monotonic_time ();
  gboolean good = write_all (fd, data->data, data->len) && fsync (fd) == 0;
  int saved = errno;
  close (fd);
  errno = saved;
  if (!good)
    return io_error (status, "write", fresh);
  if (renameat (s->folder_fd, fresh, s->folder_fd, name) != 0)
    return io_error (status, "rename", fresh);
  if (fsync (s->folder_fd) != 0)
    return io_error (status, "sync", s->path);
  observe_sync (name, begun);
  return gm_ok (status);
}

static GmKind
replace_with_record (ClFileStore *s, const char *name, const WmMessage *record,
                     GmStatus *status)
{
  g_autoptr (GByteArray) data = g_byte_array_new ();
  append_record (data, record);
  return replace_file (s, name, data, status);
}

/* Reads the whole file NAME.  *DATA is NULL if the file does not exist.  */
static GmKind
read_file (ClFileStore *s, const char *name, GBytes **data, GmStatus *status)
{
  g_autofree char *path = g_build_filename (s->path, name, NULL);
  g_autoptr (GError) error = NULL;
  char *content;
  gsize length;
  *data = NULL;
  if (g_file_get_contents (path, &content, &length, &error))
    *data = g_bytes_new_take (content, length);
  else if (!g_error_matches (error, G_FILE_ERROR, G_FILE_ERROR_NOENT))
    return gm_fail (status, GM_IO, "%s", error->message);
  return gm_ok (status);
}

/* Reads the single record of the file NAME into RECORD.  *FOUND tells whether
   the file exists.  */
static GmKind
read_record (ClFileStore *s, const char *name, WmType type, WmMessage *record,
             gboolean *found, GmStatus *status)
{
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, name, &data, status);
  *found = data != NULL;
  if (kind != GM_OK || data == NULL)
    return kind;
  gsize length, at = 0;
  const guint8 *bytes = g_bytes_get_data (data, &length);
  if (parse_record (bytes, length, &at, record) != RECORD_VALID)
    return gm_fail (status, GM_CORRUPT, "%s is damaged", name);
  if (record->type == type && at == length)
    return gm_ok (status);
  wm_clear (record);
  return gm_fail (status, GM_CORRUPT, "%s holds a record of the wrong type",
                  name);
}

static GmKind
load_vote (ClFileStore *s, ClStoreContents *loaded, GmStatus *status)
{
  WmMessage record = { 0 };
  gboolean found = FALSE;
  GmKind kind
      = read_record (s, "vote", WM_TYPE_REC_VOTE, &record, &found, status);
  if (kind != GM_OK || !found)
    return kind;
  loaded->term = record.rec_vote.term;
  if (*record.rec_vote.vote != '\0')
    loaded->vote = g_strdup (record.rec_vote.vote);
  wm_clear (&record);
  return kind;
}

static GmKind
load_snapshot (ClFileStore *s, ClStoreContents *loaded, GmStatus *status)
{
  WmMessage record = { 0 };
  gboolean found = FALSE;
  GmKind kind = read_record (s, "snapshot", WM_TYPE_REC_SNAPSHOT, &record,
                             &found, status);
  if (kind != GM_OK || !found)
    return kind;
  loaded->snapshot_index = record.rec_snapshot.index;
  loaded->snapshot_term = record.rec_snapshot.term;
  loaded->members = g_bytes_ref (record.rec_snapshot.members);
  loaded->data = g_bytes_ref (record.rec_snapshot.data);
  wm_clear (&record);
  return kind;
}

static gboolean
all_zero (const guint8 *data, gsize length)
{
  for (gsize i = 0; i < length; i++)
    if (data[i] != 0)
      return FALSE;
  return TRUE;
}

static GmKind
truncate_torn_tail (ClFileStore *s, gsize at, gsize length, GmStatus *status)
{
  s->truncated_bytes = length - at;
  if (ftruncate (s->log_fd, (off_t)at) != 0 || fsync (s->log_fd) != 0)
    return io_error (status, "truncate", "log");
  return gm_ok (status);
}

/* Adds a record of the log file to LOADED.  Entries must have consecutive
   indexes.  */
static GmKind
load_entry (ClFileStore *s, ClStoreContents *loaded, const WmMessage *record,
            gsize offset, GmStatus *status)
{
  const struct wm_rec_entry *e = &record->rec_entry;
  if (record->type != WM_TYPE_REC_ENTRY
      || (s->offsets->len > 0 && e->index != s->first_index + s->offsets->len))
    return gm_fail (status, GM_CORRUPT, "log: byte %zu: not the next entry",
                    offset);
  if (s->offsets->len == 0)
    s->first_index = e->index;
  goffset place = (goffset)offset;
  g_array_append_val (s->offsets, place);
  g_ptr_array_add (
      loaded->entries,
      cl_entry_new (e->index, e->term, (ClEntryType)e->type, e->data));
  return gm_ok (status);
}

static GmKind
load_log (ClFileStore *s, ClStoreContents *loaded, GmStatus *status)
{
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, "log", &data, status);
  gsize length = 0, at = 0;
  const guint8 *bytes = data != NULL ? g_bytes_get_data (data, &length) : NULL;
  while (kind == GM_OK && at < length)
    {
      WmMessage record;
      gsize start = at;
      RecordState state = parse_record (bytes, length, &at, &record);
      if (state == RECORD_TRUNCATED
          || (state == RECORD_CORRUPT
              && all_zero (bytes + start, length - start)))
        {
          kind = truncate_torn_tail (s, start, length, status);
          break;
        }
      if (state == RECORD_CORRUPT)
        return gm_fail (status, GM_CORRUPT, "log: byte %zu: damaged record",
                        start);
      kind = load_entry (s, loaded, &record, start, status);
      wm_clear (&record);
    }
  s->log_end = (goffset)at;
  return kind;
}

static GmKind
file_truncate (ClStore *store, guint64 from, GmStatus *status)
{
  ClFileStore *s = (ClFileStore *)store;
  if (s->offsets->len == 0 || from >= s->first_index + s->offsets->len)
    return gm_ok (status);
  guint keep = from > s->first_index ? (guint)(from - s->first_index) : 0;
  goffset end = g_array_index (s->offsets, goffset, keep);
  if (ftruncate (s->log_fd, end) != 0 || fsync (s->log_fd) != 0)
    return io_error (status, "truncate", "log");
  g_array_set_size (s->offsets, keep);
  s->log_end = end;
  return gm_ok (status);
}

static GmKind
file_load (ClStore *store, ClStoreContents *loaded, GmStatus *status)
{
  ClFileStore *s = (ClFileStore *)store;
  loaded->entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)cl_entry_free);
  GmKind kind = load_vote (s, loaded, status);
  if (kind == GM_OK)
    kind = load_snapshot (s, loaded, status);
  if (kind == GM_OK)
    kind = load_log (s, loaded, status);
  if (kind == GM_OK && loaded->entries->len > 0
      && s->first_index > loaded->snapshot_index + 1)
    kind = gm_fail (status, GM_CORRUPT,
                    "log begins at entry %" G_GUINT64_FORMAT
                    ", the snapshot ends at %" G_GUINT64_FORMAT,
                    s->first_index, loaded->snapshot_index);
  /* A crash between storing a received snapshot and truncating the log leaves
     only entries that the snapshot covers.  */
  if (kind == GM_OK && loaded->entries->len > 0
      && s->first_index + loaded->entries->len <= loaded->snapshot_index)
    {
      g_ptr_array_set_size (loaded->entries, 0);
      kind = file_truncate (store, s->first_index, status);
    }
  return kind;
}

static GmKind open_log (ClFileStore *s, GmStatus *status);

static GmKind
file_vote (ClStore *store, guint64 term, const char *vote, GmStatus *status)
{
  WmMessage record = { .type = WM_TYPE_REC_VOTE,
                       .rec_vote = { .term = term, .vote = (char *)vote } };
  return replace_with_record ((ClFileStore *)store, "vote", &record, status);
}

static GmKind
file_append (ClStore *store, ClEntry *const *entries, guint count,
             GmStatus *status)
{
  ClFileStore *s = (ClFileStore *)store;
  g_autoptr (GByteArray) data = g_byte_array_new ();
  if (s->offsets->len == 0)
    s->first_index = entries[0]->index;
  for (guint i = 0; i < count; i++)
    {
      goffset place = s->log_end + data->len;
      g_array_append_val (s->offsets, place);
      WmMessage record = cl_entry_message (entries[i]);
      append_record (data, &record);
    }
  gint64 begun = g_get_monotonic_time ();
  if (lseek (s->log_fd, s->log_end, SEEK_SET) < 0
      || !write_all (s->log_fd, data->data, data->len)
      || fdatasync (s->log_fd) != 0)
    return io_error (status, "append to", "log");
  observe_sync ("log", begun);
  s->log_end += data->len;
  return gm_ok (status);
}

static GmKind
open_log (ClFileStore *s, GmStatus *status)
{
  if (s->log_fd >= 0)
    close (s->log_fd);
  s->log_fd
      = openat (s->folder_fd, "log", O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
  if (s->log_fd < 0 || fsync (s->folder_fd) != 0)
    return io_error (status, "open", "log");
  return gm_ok (status);
}

/* Rewrites the log without the entries before index FIRST.  */
static GmKind
drop_before (ClFileStore *s, guint64 first, GmStatus *status)
{
  if (s->offsets->len == 0 || first <= s->first_index)
    return gm_ok (status);
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, "log", &data, status);
  if (kind != GM_OK)
    return kind;
  guint drop = (guint)MIN (first - s->first_index, s->offsets->len);
  goffset start = drop < s->offsets->len
                      ? g_array_index (s->offsets, goffset, drop)
                      : s->log_end;
  g_autoptr (GByteArray) kept = g_byte_array_new ();
  g_byte_array_append (kept,
                       (const guint8 *)g_bytes_get_data (data, NULL) + start,
                       (guint)(s->log_end - start));
  kind = replace_file (s, "log", kept, status);
  if (kind != GM_OK)
    return kind;
  g_array_remove_range (s->offsets, 0, drop);
  for (guint i = 0; i < s->offsets->len; i++)
    g_array_index (s->offsets, goffset, i) -= start;
  s->first_index += drop;
  s->log_end -= start;
  return open_log (s, status);
}

static GmKind
file_snapshot (ClStore *store, const ClStoreContents *snapshot, guint64 first,
               GmStatus *status)
{
  WmMessage record = { .type = WM_TYPE_REC_SNAPSHOT,
                       .rec_snapshot = { .index = snapshot->snapshot_index,
                                         .term = snapshot->snapshot_term,
                                         .members = snapshot->members,
                                         .data = snapshot->data } };
  GmKind kind = replace_with_record ((ClFileStore *)store, "snapshot", &record,
                                     status);
  if (kind != GM_OK)
    return kind;
  return drop_before ((ClFileStore *)store, first, status);
}

/* Replaces the log with ENTRIES.  */
static GmKind
replace_log (ClFileStore *s, const GPtrArray *entries, GmStatus *status)
{
  g_autoptr (GByteArray) data = g_byte_array_new ();
  g_array_set_size (s->offsets, 0);
  for (guint i = 0; i < entries->len; i++)
    {
      goffset place = data->len;
      WmMessage record = cl_entry_message (g_ptr_array_index (entries, i));
      g_array_append_val (s->offsets, place);
      append_record (data, &record);
    }
  if (entries->len > 0)
    s->first_index = ((ClEntry *)g_ptr_array_index (entries, 0))->index;
  s->log_end = data->len;
  GmKind kind = replace_file (s, "log", data, status);
  return kind == GM_OK ? open_log (s, status) : kind;
}

/* The log goes before the snapshot: it may need entries that a newer snapshot
   on the disk covers.  */
static GmKind
file_restore (ClStore *store, const ClStoreContents *contents,
              GmStatus *status)
{
  ClFileStore *s = (ClFileStore *)store;
  GmKind kind
      = file_vote (store, contents->term,
                   contents->vote != NULL ? contents->vote : "", status);
  if (kind == GM_OK)
    kind = replace_log (s, contents->entries, status);
  if (kind == GM_OK && contents->data != NULL)
    kind = file_snapshot (store, contents, 0, status);
  return kind;
}

static void
file_free (ClStore *store)
{
  ClFileStore *s = (ClFileStore *)store;
  if (s->log_fd >= 0)
    close (s->log_fd);
  if (s->folder_fd >= 0)
    close (s->folder_fd);
  g_array_unref (s->offsets);
  g_free (s->disk);
  g_free (s->path);
  g_free (s);
}

static const ClStoreClass file_class = {
  .load = file_load,
  .vote = file_vote,
  .append = file_append,
  .truncate = file_truncate,
  .snapshot = file_snapshot,
  .restore = file_restore,
  .free = file_free,
};

static GmKind
load_or_create_identity (ClFileStore *s, GmStatus *status)
{
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, "identity", &data, status);
  if (kind != GM_OK)
    return kind;
  gsize length;
  if (data != NULL)
    {
      const char *text = g_bytes_get_data (data, &length);
      if (length != 2 * (gsize)DISK_ID_BYTES)
        return gm_fail (status, GM_CORRUPT, "identity is damaged");
      s->disk = g_strndup (text, length);
      return gm_ok (status);
    }
  g_autoptr (GByteArray) name = g_byte_array_new ();
  for (int i = 0; i < DISK_ID_BYTES; i++)
    {
      char digits[3];
      g_snprintf (digits, sizeof digits, "%02x", g_random_int () & 0xff);
      g_byte_array_append (name, (const guint8 *)digits, 2);
    }
  s->disk = g_strndup ((const char *)name->data, name->len);
  return replace_file (s, "identity", name, status);
}

ClFileStore *
cl_file_store_open (const char *path, GmStatus *status)
{
  ClFileStore *s = g_new0 (ClFileStore, 1);
  s->store.class = &file_class;
  s->path = g_strdup (path);
  s->log_fd = -1;
  s->offsets = g_array_new (FALSE, FALSE, sizeof (goffset));
  g_mkdir_with_parents (path, DIRECTORY_MODE);
  s->folder_fd = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  GmKind kind = GM_OK;
  if (s->folder_fd < 0)
    kind = io_error (status, "open", path);
  else if (flock (s->folder_fd, LOCK_EX | LOCK_NB) != 0)
    kind
        = gm_fail (status, GM_CONFLICT, "%s: in use by another process", path);
  if (kind == GM_OK)
    kind = load_or_create_identity (s, status);
  if (kind == GM_OK)
    kind = open_log (s, status);
  if (kind == GM_OK)
    return s;
  file_free (&s->store);
  return NULL;
}

ClStore *
cl_file_store (ClFileStore *store)
{
  return &store->store;
}

const char *
cl_file_store_disk (const ClFileStore *store)
{
  return store->disk;
}

gsize
cl_file_store_truncated_bytes (const ClFileStore *store)
{
  return store->truncated_bytes;
}
