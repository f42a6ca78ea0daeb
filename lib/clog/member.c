#include "core.h"
#include "base/mutant.h"
#include <string.h>

ClEntry *
cl_entry_new (guint64 index, guint64 term, ClEntryType type, GBytes *data)
{
  ClEntry *entry = g_new0 (ClEntry, 1);
  entry->index = index;
  entry->term = term;
  entry->type = type;
  entry->data = data != NULL ? g_bytes_ref (data) : g_bytes_new (NULL, 0);
  return entry;
}

void
cl_entry_free (ClEntry *entry)
{
  g_bytes_unref (entry->data);
  g_free (entry);
}

WmMessage
cl_entry_message (const ClEntry *entry)
{
  return (WmMessage){ .type = WM_TYPE_REC_ENTRY,
                      .rec_entry = { .index = entry->index,
                                     .term = entry->term,
                                     .type = entry->type,
                                     .data = entry->data } };
}

ClMember *
cl_member_new (const char *host, const char *disk, const char *address,
               gboolean voter)
{
  ClMember *member = g_new0 (ClMember, 1);
  member->host = g_strdup (host);
  member->disk = g_strdup (disk);
  member->address = g_strdup (address);
  member->voter = voter;
  return member;
}

void
cl_member_free (ClMember *member)
{
  g_free (member->host);
  g_free (member->disk);
  g_free (member->address);
  g_free (member);
}

GPtrArray *
cl_members_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)cl_member_free);
}

GPtrArray *
cl_members_copy (const GPtrArray *members)
{
  GPtrArray *copy = cl_members_new ();
  for (guint i = 0; i < members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (members, i);
      g_ptr_array_add (copy,
                       cl_member_new (m->host, m->disk, m->address, m->voter));
    }
  return copy;
}

GBytes *
cl_members_encode (const GPtrArray *members)
{
  GByteArray *out = g_byte_array_new ();
  for (guint i = 0; i < members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (members, i);
      WmMessage record = { .type = WM_TYPE_REC_MEMBER,
                           .rec_member = { .host = m->host,
                                           .disk = m->disk,
                                           .address = m->address,
                                           .voter = (guint64)m->voter } };
      wm_append (out, &record);
    }
  return g_byte_array_free_to_bytes (out);
}

GPtrArray *
cl_members_decode (GBytes *list)
{
  GPtrArray *members = cl_members_new ();
  WmMessage record;
  gsize at = 0;
  while (list != NULL && wm_next (list, &at, &record))
    {
      if (record.type == WM_TYPE_REC_MEMBER)
        g_ptr_array_add (members,
                         cl_member_new (record.rec_member.host,
                                        record.rec_member.disk,
                                        record.rec_member.address,
                                        record.rec_member.voter != 0));
      wm_clear (&record);
    }
  return members;
}

void
cl_store_contents_clear (ClStoreContents *loaded)
{
  g_free (loaded->vote);
  g_clear_pointer (&loaded->members, g_bytes_unref);
  g_clear_pointer (&loaded->data, g_bytes_unref);
  g_clear_pointer (&loaded->entries, g_ptr_array_unref);
  memset (loaded, 0, sizeof *loaded);
}

ClMember *
cl_find_member (const GPtrArray *members, const char *host)
{
  for (guint i = 0; i < members->len; i++)
    {
      ClMember *member = g_ptr_array_index (members, i);
      if (strcmp (member->host, host) == 0)
        return member;
    }
  return NULL;
}

ClMember *
cl_find_member_by_disk (const ClCore *core, const char *host, const char *disk)
{
  ClMember *member = cl_find_member (core->members, host);
  if (GM_MUTANT (ANY_DISK))
    return member;
  return member != NULL && strcmp (member->disk, disk) == 0 ? member : NULL;
}

guint
cl_voter_count (const ClCore *core)
{
  guint count = 0;
  for (guint i = 0; i < core->members->len; i++)
    count += ((ClMember *)g_ptr_array_index (core->members, i))->voter ? 1 : 0;
  return count;
}

gboolean
cl_is_voter (const ClCore *core)
{
  const ClMember *self = cl_find_member_by_disk (core, core->host, core->disk);
  return self != NULL && self->voter;
}

void
cl_refresh_members (ClCore *core)
{
  g_clear_pointer (&core->members, g_ptr_array_unref);
  core->members = cl_members_copy (core->snapshot_members);
  core->members_index = core->snapshot_index;
  for (guint i = 0; i < core->entries->len; i++)
    {
      const ClEntry *entry = g_ptr_array_index (core->entries, i);
      if (entry->type != CL_MEMBERS || entry->index <= core->snapshot_index)
        continue;
      g_ptr_array_unref (core->members);
      core->members = cl_members_decode (entry->data);
      core->members_index = entry->index;
    }
}

GPtrArray *
cl_members_at (const ClCore *core, guint64 index)
{
  GPtrArray *members = cl_members_copy (core->snapshot_members);
  for (guint64 i = core->snapshot_index + 1; i <= index; i++)
    {
      const ClEntry *entry = cl_entry_at (core, i);
      if (entry->type != CL_MEMBERS)
        continue;
      g_ptr_array_unref (members);
      members = cl_members_decode (entry->data);
    }
  return members;
}

const GPtrArray *
cl_members (const ClCore *core)
{
  return core->members;
}

guint
cl_committed_voters (const ClCore *core)
{
  return cl_members_committed (core) ? cl_voter_count (core) : 0;
}

gboolean
cl_members_committed (const ClCore *core)
{
  return core->members_index <= core->commit;
}
