#include "core.h"
#include "base/bytes.h"
#include "base/mutant.h"
#include <string.h>

ClProgress *
cl_get_progress (ClCore *core, const char *host)
{
  ClProgress *progress = g_hash_table_lookup (core->progress, host);
  if (progress == NULL)
    {
      progress = g_new0 (ClProgress, 1);
      progress->next_index = cl_last_index (core) + 1;
      g_hash_table_insert (core->progress, g_strdup (host), progress);
    }
  return progress;
}

/* Returns the greatest value that a majority of voters has reached.  SELF is
   this host's own value; OFFSET is the offset of the guint64 in ClProgress
   that holds the value of another voter.  */
static guint64
majority_value (ClCore *core, guint64 self, gsize offset)
{
  g_autoptr (GArray) values = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (!member->voter)
        continue;
      guint64 value = self;
      if (strcmp (member->host, core->host) != 0)
        value = G_STRUCT_MEMBER (guint64, cl_get_progress (core, member->host),
                                 offset);
      g_array_append_val (values, value);
    }
  return gm_nth_largest (values, values->len / 2);
}

GmTime
cl_quorum_confirmed_at (ClCore *core, GmTime now)
{
  return (GmTime)majority_value (core, (guint64)now,
                                 G_STRUCT_OFFSET (ClProgress, acked_at));
}

gboolean
cl_has_committed_own_term (const ClCore *core)
{
  return cl_term_at (core, core->commit) == core->term;
}

/* Encodes the entries from FIRST up to TO, or fewer, and stores the index
   after the last of them in NEXT.  */
static GBytes *
encode_batch (const ClCore *core, guint64 first, guint64 to, guint64 *next)
{
  GByteArray *out = g_byte_array_new ();
  for (*next = first; *next <= to && out->len < CL_BATCH_MAX_BYTES; ++*next)
    {
      WmMessage record = cl_entry_message (cl_entry_at (core, *next));
      wm_append (out, &record);
    }
  return g_byte_array_free_to_bytes (out);
}

/* Returns whether there are entries to send to the member of PROGRESS, and it
   has acknowledged enough of those sent before.  */
static gboolean
can_send_entries (const ClCore *core, const ClProgress *progress)
{
  gsize in_flight = 0;
  for (guint64 i = MAX (progress->match_index, core->base_index) + 1;
       i < progress->next_index && in_flight < CL_BATCH_MAX_BYTES; i++)
    in_flight += g_bytes_get_size (cl_entry_at (core, i)->data);
  return progress->next_index <= cl_last_index (core)
         && in_flight < CL_BATCH_MAX_BYTES;
}

static void
send_install (ClCore *core, GmTime now, const char *host, ClProgress *progress)
{
  if (progress->snapshot_sent_at != 0
      && now < progress->snapshot_sent_at + CL_ELECTION_MIN)
    return;
  progress->snapshot_sent_at = now;
  g_autoptr (GBytes) members = cl_members_encode (core->snapshot_members);
  WmMessage m = { .type = WM_TYPE_INSTALL,
                  .install = { .term = core->term,
                               .from = core->host,
                               .disk = core->disk,
                               .index = core->snapshot_index,
                               .index_term = core->snapshot_term,
                               .sent = (guint64)now,
                               .members = members,
                               .data = core->snapshot } };
  cl_queue_send (core, host, &m);
}

static void
send_append (ClCore *core, GmTime now, const char *host)
{
  ClProgress *progress = cl_get_progress (core, host);
  guint64 previous = progress->next_index - 1;
  if (previous < core->base_index
      || (previous == core->base_index && core->base_term == 0
          && previous > 0))
    {
      send_install (core, now, host, progress);
      return;
    }
  /* An entry is sent once.  If it gets lost, the member refuses the next
     heartbeat, which follows it: a large entry that was sent again with each
     heartbeat kept its followers from hearing their leader.  */
  g_autoptr (GBytes) batch = encode_batch (core, progress->next_index,
                                           can_send_entries (core, progress)
                                                   || GM_MUTANT (SEND_AGAIN)
                                               ? cl_last_index (core)
                                               : previous,
                                           &progress->next_index);
  if (GM_MUTANT (SEND_AGAIN))
    progress->next_index = previous + 1;
  GmTime age = now - cl_quorum_confirmed_at (core, now);
  progress->probe_echoed
      = progress->probe_echoed
        || (cl_has_committed_own_term (core) && progress->peer_sent_at != 0);
  WmMessage m = { .type = WM_TYPE_APPEND,
                  .append = { .term = core->term,
                              .from = core->host,
                              .disk = core->disk,
                              .prev_index = previous,
                              .prev_term = cl_term_at (core, previous),
                              .commit = core->commit,
                              .sent = (guint64)now,
                              .echo = cl_has_committed_own_term (core)
                                          ? progress->peer_sent_at
                                          : 0,
                              .age = (guint64)MAX (age, 0),
                              .entries = batch } };
  cl_queue_send (core, host, &m);
}

void
cl_broadcast (ClCore *core, GmTime now)
{
  core->heartbeat_due = now + CL_HEARTBEAT;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (strcmp (member->host, core->host) != 0)
        send_append (core, now, member->host);
    }
}

void
cl_advance_commit (ClCore *core, GmTime now)
{
  guint64 reached = majority_value (core, cl_last_index (core),
                                    G_STRUCT_OFFSET (ClProgress, match_index));
  if (GM_MUTANT (COMMIT_ALONE))
    reached = cl_last_index (core);
  /* An entry of an earlier term may still be overwritten although a majority
     holds it.  It is committed only by a later entry of the current term.  */
  if (reached > core->commit && cl_term_at (core, reached) == core->term)
    {
      core->commit = reached;
      cl_broadcast (core, now);
    }
}

/* If the store fails, the log stays as it was: nobody was told of the
   entries.  */
gboolean
cl_append_entries (ClCore *core, ClEntry **entries, guint count)
{
  GmStatus status = GM_STATUS_UNSET;
  if (count == 0)
    return TRUE;
  GmKind kind
      = core->store->class->append (core->store, entries, count, &status);
  gboolean members = FALSE;
  if (!cl_check_stored (core, kind, &status))
    {
      for (guint i = 0; i < count; i++)
        cl_entry_free (entries[i]);
      return FALSE;
    }
  for (guint i = 0; i < count; i++)
    {
      members = members || entries[i]->type == CL_MEMBERS;
      g_ptr_array_add (core->entries, entries[i]);
    }
  if (members)
    cl_refresh_members (core);
  return TRUE;
}

gboolean
cl_append_entry (ClCore *core, ClEntryType type, GBytes *data)
{
  ClEntry *entry
      = cl_entry_new (cl_last_index (core) + 1, core->term, type, data);
  return cl_append_entries (core, &entry, 1);
}

static gboolean
truncate_from (ClCore *core, guint64 index)
{
  GmStatus status = GM_STATUS_UNSET;
  g_assert (index > core->commit);
  GmKind kind = core->store->class->truncate (core->store, index, &status);
  if (!cl_check_stored (core, kind, &status))
    return FALSE;
  g_ptr_array_set_size (core->entries, (gint)(index - core->base_index - 1));
  cl_refresh_members (core);
  return TRUE;
}

/* Merges the leader's entries LIST, which follow the entry at PREVIOUS, into
   the log.  Stores the index up to which both logs agree in MATCH.  */
static gboolean
merge_entries (ClCore *core, GBytes *list, guint64 previous, guint64 *match)
{
  g_autoptr (GPtrArray) fresh = g_ptr_array_new ();
  WmMessage record;
  gsize at = 0;
  gboolean good = TRUE;
  *match = previous;
  while (good && wm_next (list, &at, &record))
    {
      const struct wm_rec_entry *e = &record.rec_entry;
      good = record.type == WM_TYPE_REC_ENTRY && e->index == *match + 1;
      if (good)
        {
          *match = e->index;
          gboolean present
              = fresh->len == 0 && e->index <= cl_last_index (core);
          if (present && e->index > core->base_index
              && cl_term_at (core, e->index) != e->term)
            {
              good = truncate_from (core, e->index);
              present = FALSE;
            }
          if (good && !present)
            g_ptr_array_add (fresh,
                             cl_entry_new (e->index, e->term,
                                           (ClEntryType)e->type, e->data));
        }
      wm_clear (&record);
    }
  if (good && at == g_bytes_get_size (list))
    return cl_append_entries (core, (ClEntry **)fresh->pdata, fresh->len);
  g_ptr_array_set_free_func (fresh, (GDestroyNotify)cl_entry_free);
  return FALSE;
}

static void
send_appended (ClCore *core, GmTime now, const char *to, gboolean ok,
               guint64 match, guint64 echo)
{
  WmMessage answer
      = { .type = WM_TYPE_APPENDED,
          .appended
          = { .term = core->term,
              .from = core->host,
              .disk = core->disk,
              .ok = ok ? 1 : 0,
              .match = match,
              .sent = (guint64)now
                      + (GM_MUTANT (ECHO_UNCHECKED) ? 0 : core->probe_offset),
              .echo = echo } };
  cl_queue_send (core, to, &answer);
}

static gboolean
accept_leader (ClCore *core, GmTime now, guint64 term, const char *leader)
{
  if (term < core->term)
    {
      send_appended (core, now, leader, FALSE, 0, 0);
      return FALSE;
    }
  cl_become_follower (core, now, term, leader);
  core->leader_heard_at = now;
  core->elections = 0;
  cl_reset_election_timer (core, now);
  return core->failure.kind == GM_OK;
}

/* Advances the stamp to the send time of the probe that ECHO returns, less
   AGE. Ignores the echo of a probe that an earlier process of this host sent,
   whose clock may have differed: because of probe_offset, its time lies
   outside the lifetime of this process.  */
static void
advance_stamp (ClCore *core, GmTime now, guint64 echo, GmTime age)
{
  GmTime probed = (GmTime)(echo - core->probe_offset);
  if (GM_MUTANT (ECHO_UNCHECKED))
    probed = (GmTime)echo;
  if ((probed >= core->opened_at && probed <= now)
      || GM_MUTANT (ECHO_UNCHECKED))
    core->stamp = MAX (core->stamp, probed - age);
}

void
cl_receive_append (ClCore *core, GmTime now, const struct wm_append *m)
{
  if (!accept_leader (core, now, m->term, m->from))
    return;
  gboolean known = m->prev_index <= cl_last_index (core)
                   && (m->prev_index <= core->commit
                       || cl_term_at (core, m->prev_index) == m->prev_term);
  if (!known)
    {
      send_appended (core, now, m->from, FALSE,
                     MIN (cl_last_index (core), m->prev_index - 1), m->sent);
      return;
    }
  guint64 match;
  if (!merge_entries (core, m->entries, m->prev_index, &match))
    return;
  core->commit = MAX (core->commit, MIN (m->commit, match));
  /* The stamp is valid only if this host holds all entries up to the leader's
     commit index.  */
  if (m->echo != 0 && core->commit >= m->commit)
    advance_stamp (core, now, m->echo, (GmTime)m->age);
  send_appended (core, now, m->from, TRUE, match, m->sent);
}

static GPtrArray *
new_entry_array (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)cl_entry_free);
}

static gboolean
install_snapshot (ClCore *core, const struct wm_install *m)
{
  GmStatus status = GM_STATUS_UNSET;
  ClStoreContents snapshot = { .snapshot_index = m->index,
                               .snapshot_term = m->index_term,
                               .members = m->members,
                               .data = m->data };
  GmKind kind = core->store->class->snapshot (core->store, &snapshot,
                                              m->index + 1, &status);
  if (!cl_check_stored (core, kind, &status))
    return FALSE;
  if (cl_last_index (core) > m->index)
    {
      kind = core->store->class->truncate (core->store, m->index + 1, &status);
      if (!cl_check_stored (core, kind, &status))
        return FALSE;
    }
  g_ptr_array_unref (core->entries);
  core->entries = new_entry_array ();
  core->base_index = m->index;
  core->base_term = m->index_term;
  core->snapshot_index = m->index;
  core->snapshot_term = m->index_term;
  g_ptr_array_unref (core->snapshot_members);
  core->snapshot_members = cl_members_decode (m->members);
  if (core->snapshot != NULL)
    g_bytes_unref (core->snapshot);
  core->snapshot = g_bytes_ref (m->data);
  core->snapshot_delivered = FALSE;
  core->commit = m->index;
  core->applied = m->index;
  cl_refresh_members (core);
  return TRUE;
}

void
cl_receive_install (ClCore *core, GmTime now, const struct wm_install *m)
{
  if (!accept_leader (core, now, m->term, m->from))
    return;
  if (m->index > core->commit && !install_snapshot (core, m))
    return;
  send_appended (core, now, m->from, TRUE, MAX (m->index, core->commit),
                 m->sent);
}

void
cl_receive_appended (ClCore *core, GmTime now, const struct wm_appended *m)
{
  if (m->term > core->term)
    {
      cl_become_follower (core, now, m->term, NULL);
      return;
    }
  const ClMember *member = cl_find_member_by_disk (core, m->from, m->disk);
  if (core->role != CL_LEADER || member == NULL || m->term < core->term)
    return;
  ClProgress *progress = cl_get_progress (core, m->from);
  progress->peer_sent_at = m->sent;
  progress->acked_at = MAX (progress->acked_at, (GmTime)m->echo);
  if (m->ok == 0)
    {
      /* It refused a message that was sent before the entries that it lacks
         were sent again.  */
      if ((GmTime)m->echo < progress->rewound_at)
        return;
      progress->rewound_at = now;
      progress->next_index
          = MAX (progress->match_index + 1,
                 MIN (m->match + 1, progress->next_index - 1));
      send_append (core, now, m->from);
      return;
    }
  progress->snapshot_sent_at = 0;
  progress->match_index = MAX (progress->match_index, m->match);
  progress->next_index = MAX (progress->next_index, progress->match_index + 1);
  if (progress->next_index > cl_last_index (core) + 1)
    progress->next_index = cl_last_index (core) + 1;
  cl_advance_commit (core, now);
  /* Send a member its first stamp at once instead of with the next
     heartbeat.  */
  if (can_send_entries (core, progress)
      || (!progress->probe_echoed && cl_has_committed_own_term (core)))
    send_append (core, now, m->from);
  cl_promote_learner (core, now, member);
}

GBytes *
cl_entries_from (const ClCore *core, guint64 first, guint64 to)
{
  if (first <= core->base_index)
    return NULL;
  guint64 next;
  return encode_batch (core, first, MIN (to, core->commit), &next);
}
