#include "filestore.h"
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
#define HEADER_BYTES 8 /* length and CRC, both big-endian */
#define DISK_NAME_BYTES 16

struct ClFileStore
{
  ClStore store;
  char *path;
  int folder;
  int log;
  char *disk;
  GArray *offsets; /* goffset of each entry in the log file */
  guint64 first;   /* index of the first entry in the file */
  goffset end;
  gsize cut;
};

static GmKind
io_fault (GmStatus *status, const char *what, const char *name)
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
put_record (GByteArray *out, const WmMessage *record)
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
  RECORD_GOOD,
  RECORD_SHORT, /* the data ends inside the record */
  RECORD_BAD
} RecordState;

/* Decodes the record at *AT of DATA and advances *AT past it.  */
static RecordState
get_record (const guint8 *data, gsize length, gsize *at, WmMessage *record)
{
  guint32 header[2];
  if (length - *at < HEADER_BYTES)
    return RECORD_SHORT;
  memcpy (header, data + *at, HEADER_BYTES);
  gsize size = GUINT32_FROM_BE (header[0]);
  if (size == 0 || size > WM_FRAME_MAX)
    return RECORD_BAD;
  if (size > length - *at - HEADER_BYTES)
    return RECORD_SHORT;
  const guint8 *body = data + *at + HEADER_BYTES;
  if (gm_crc32 (body, size) != GUINT32_FROM_BE (header[1])
      || wm_decode (body, size, record, NULL) != GM_OK)
    return RECORD_BAD;
  *at += HEADER_BYTES + size;
  return RECORD_GOOD;
}

/* Replaces the file NAME by DATA so that a crash leaves the old or the new
   one.  */
static GmKind
replace_file (ClFileStore *s, const char *name, const GByteArray *data,
              GmStatus *status)
{
  g_autofree char *fresh = g_strconcat (name, ".new", NULL);
  int fd = openat (s->folder, fresh, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                   FILE_MODE);
  if (fd < 0)
    return io_fault (status, "open", fresh);
  gboolean good = write_all (fd, data->data, data->len) && fsync (fd) == 0;
  int saved = errno;
  close (fd);
  errno = saved;
  if (!good)
    return io_fault (status, "write", fresh);
  if (renameat (s->folder, fresh, s->folder, name) != 0)
    return io_fault (status, "rename", fresh);
  if (fsync (s->folder) != 0)
    return io_fault (status, "sync", s->path);
  return gm_ok (status);
}

static GmKind
replace_by_record (ClFileStore *s, const char *name, const WmMessage *record,
                   GmStatus *status)
{
  g_autoptr (GByteArray) data = g_byte_array_new ();
  put_record (data, record);
  return replace_file (s, name, data, status);
}

/* Reads the whole file NAME.  *DATA is NULL when there is none.  */
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

/* Reads the one record of the file NAME into RECORD; *FOUND says whether there
   is one.  */
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
  if (get_record (bytes, length, &at, record) != RECORD_GOOD)
    return gm_fail (status, GM_CORRUPT, "%s is damaged", name);
  if (record->type == type && at == length)
    return gm_ok (status);
  wm_clear (record);
  return gm_fail (status, GM_CORRUPT, "%s holds something else", name);
}

static GmKind
load_vote (ClFileStore *s, ClLoaded *loaded, GmStatus *status)
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
load_snapshot (ClFileStore *s, ClLoaded *loaded, GmStatus *status)
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
cut_tail (ClFileStore *s, gsize at, gsize length, GmStatus *status)
{
  s->cut = length - at;
  if (ftruncate (s->log, (off_t)at) != 0 || fsync (s->log) != 0)
    return io_fault (status, "truncate", "log");
  return gm_ok (status);
}

/* Takes one record of the log file; the entries must follow one another.  */
static GmKind
load_entry (ClFileStore *s, ClLoaded *loaded, const WmMessage *record,
            gsize offset, GmStatus *status)
{
  const struct wm_rec_entry *e = &record->rec_entry;
  if (record->type != WM_TYPE_REC_ENTRY
      || (s->offsets->len > 0 && e->index != s->first + s->offsets->len))
    return gm_fail (status, GM_CORRUPT, "log: byte %zu: not the next entry",
                    offset);
  if (s->offsets->len == 0)
    s->first = e->index;
  goffset place = (goffset)offset;
  g_array_append_val (s->offsets, place);
  g_ptr_array_add (
      loaded->entries,
      cl_entry_new (e->index, e->term, (ClEntryType)e->type, e->data));
  return gm_ok (status);
}

static GmKind
load_log (ClFileStore *s, ClLoaded *loaded, GmStatus *status)
{
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, "log", &data, status);
  gsize length = 0, at = 0;
  const guint8 *bytes = data != NULL ? g_bytes_get_data (data, &length) : NULL;
  while (kind == GM_OK && at < length)
    {
      WmMessage record;
      gsize start = at;
      RecordState state = get_record (bytes, length, &at, &record);
      if (state == RECORD_SHORT
          || (state == RECORD_BAD && all_zero (bytes + start, length - start)))
        {
          kind = cut_tail (s, start, length, status);
          break;
        }
      if (state == RECORD_BAD)
        return gm_fail (status, GM_CORRUPT, "log: byte %zu: damaged record",
                        start);
      kind = load_entry (s, loaded, &record, start, status);
      wm_clear (&record);
    }
  s->end = (goffset)at;
  return kind;
}

static GmKind
file_truncate (ClStore *store, guint64 from, GmStatus *status)
{
  ClFileStore *s = (ClFileStore *)store;
  if (s->offsets->len == 0 || from >= s->first + s->offsets->len)
    return gm_ok (status);
  guint keep = from > s->first ? (guint)(from - s->first) : 0;
  goffset end = g_array_index (s->offsets, goffset, keep);
  if (ftruncate (s->log, end) != 0 || fsync (s->log) != 0)
    return io_fault (status, "truncate", "log");
  g_array_set_size (s->offsets, keep);
  s->end = end;
  return gm_ok (status);
}

static GmKind
file_load (ClStore *store, ClLoaded *loaded, GmStatus *status)
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
      && s->first > loaded->snapshot_index + 1)
    kind = gm_fail (status, GM_CORRUPT,
                    "log begins at entry %" G_GUINT64_FORMAT
                    ", the snapshot ends at %" G_GUINT64_FORMAT,
                    s->first, loaded->snapshot_index);
  /* A crash between writing a received snapshot and dropping the log leaves
     entries that all lie before it.  */
  if (kind == GM_OK && loaded->entries->len > 0
      && s->first + loaded->entries->len <= loaded->snapshot_index)
    {
      g_ptr_array_set_size (loaded->entries, 0);
      kind = file_truncate (store, s->first, status);
    }
  return kind;
}

static GmKind
file_vote (ClStore *store, guint64 term, const char *vote, GmStatus *status)
{
  WmMessage record = { .type = WM_TYPE_REC_VOTE,
                       .rec_vote = { .term = term, .vote = (char *)vote } };
  return replace_by_record ((ClFileStore *)store, "vote", &record, status);
}

static GmKind
file_append (ClStore *store, ClEntry *const *entries, guint count,
             GmStatus *status)
{
  ClFileStore *s = (ClFileStore *)store;
  g_autoptr (GByteArray) data = g_byte_array_new ();
  if (s->offsets->len == 0)
    s->first = entries[0]->index;
  for (guint i = 0; i < count; i++)
    {
      goffset place = s->end + data->len;
      g_array_append_val (s->offsets, place);
      WmMessage record = cl_entry_message (entries[i]);
      put_record (data, &record);
    }
  gint64 begun = g_get_monotonic_time ();
  if (lseek (s->log, s->end, SEEK_SET) < 0
      || !write_all (s->log, data->data, data->len) || fdatasync (s->log) != 0)
    return io_fault (status, "append to", "log");
  hg_observe (HG_sync_seconds, "log", g_get_monotonic_time () - begun);
  s->end += data->len;
  return gm_ok (status);
}

static GmKind
open_log (ClFileStore *s, GmStatus *status)
{
  if (s->log >= 0)
    close (s->log);
  s->log = openat (s->folder, "log", O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
  if (s->log < 0 || fsync (s->folder) != 0)
    return io_fault (status, "open", "log");
  return gm_ok (status);
}

/* Rewrites the log so that it begins with entry FIRST.  */
static GmKind
drop_before (ClFileStore *s, guint64 first, GmStatus *status)
{
  if (s->offsets->len == 0 || first <= s->first)
    return gm_ok (status);
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, "log", &data, status);
  if (kind != GM_OK)
    return kind;
  guint drop = (guint)MIN (first - s->first, s->offsets->len);
  goffset start = drop < s->offsets->len
                      ? g_array_index (s->offsets, goffset, drop)
                      : s->end;
  g_autoptr (GByteArray) kept = g_byte_array_new ();
  g_byte_array_append (kept,
                       (const guint8 *)g_bytes_get_data (data, NULL) + start,
                       (guint)(s->end - start));
  kind = replace_file (s, "log", kept, status);
  if (kind != GM_OK)
    return kind;
  g_array_remove_range (s->offsets, 0, drop);
  for (guint i = 0; i < s->offsets->len; i++)
    g_array_index (s->offsets, goffset, i) -= start;
  s->first += drop;
  s->end -= start;
  return open_log (s, status);
}

static GmKind
file_snapshot (ClStore *store, const ClLoaded *snapshot, guint64 first,
               GmStatus *status)
{
  WmMessage record = { .type = WM_TYPE_REC_SNAPSHOT,
                       .rec_snapshot = { .index = snapshot->snapshot_index,
                                         .term = snapshot->snapshot_term,
                                         .members = snapshot->members,
                                         .data = snapshot->data } };
  GmKind kind
      = replace_by_record ((ClFileStore *)store, "snapshot", &record, status);
  if (kind != GM_OK)
    return kind;
  return drop_before ((ClFileStore *)store, first, status);
}

static void
file_free (ClStore *store)
{
  ClFileStore *s = (ClFileStore *)store;
  if (s->log >= 0)
    close (s->log);
  if (s->folder >= 0)
    close (s->folder);
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
  .free = file_free,
};

static GmKind
open_identity (ClFileStore *s, GmStatus *status)
{
  g_autoptr (GBytes) data = NULL;
  GmKind kind = read_file (s, "identity", &data, status);
  if (kind != GM_OK)
    return kind;
  gsize length;
  if (data != NULL)
    {
      const char *text = g_bytes_get_data (data, &length);
      if (length != 2 * (gsize)DISK_NAME_BYTES)
        return gm_fail (status, GM_CORRUPT, "identity is damaged");
      s->disk = g_strndup (text, length);
      return gm_ok (status);
    }
  g_autoptr (GByteArray) name = g_byte_array_new ();
  for (int i = 0; i < DISK_NAME_BYTES; i++)
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
  s->log = -1;
  s->offsets = g_array_new (FALSE, FALSE, sizeof (goffset));
  g_mkdir_with_parents (path, DIRECTORY_MODE);
  s->folder = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  GmKind kind = GM_OK;
  if (s->folder < 0)
    kind = io_fault (status, "open", path);
  else if (flock (s->folder, LOCK_EX | LOCK_NB) != 0)
    kind = gm_fail (status, GM_CONFLICT, "%s: another process uses it", path);
  if (kind == GM_OK)
    kind = open_identity (s, status);
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
cl_file_store_cut (const ClFileStore *store)
{
  return store->cut;
}
