#include "core.h"
#include "base/mutant.h"
#include <string.h>

guint64
cl_last_index (const ClCore *core)
{
  return core->base_index + core->entries->len;
}

ClEntry *
cl_entry_at (const ClCore *core, guint64 index)
{
  if (index <= core->base_index || index > cl_last_index (core))
    return NULL;
  return g_ptr_array_index (core->entries, index - core->base_index - 1);
}

guint64
cl_term_at (const ClCore *core, guint64 index)
{
  if (index == core->base_index)
    return core->base_term;
  const ClEntry *entry = cl_entry_at (core, index);
  return entry != NULL ? entry->term : 0;
}

gboolean
cl_check_stored (ClCore *core, GmKind kind, const GmStatus *status)
{
  if (kind == GM_OK)
    return TRUE;
  core->failure = *status;
  core->restore_due = 0;
  core->role = CL_FOLLOWER;
  g_clear_pointer (&core->leader, g_free);
  return FALSE;
}

/* Writes all that this host holds to its failed store.  After a failed sync, a
   read may show what the disk does not hold, so nothing is read back.  */
static void
restore_store (ClCore *core, GmTime now)
{
  g_autoptr (GBytes) members = cl_members_encode (core->snapshot_members);
  ClStoreContents contents = { .term = core->term,
                               .vote = core->voted_for,
                               .snapshot_index = core->snapshot_index,
                               .snapshot_term = core->snapshot_term,
                               .members = members,
                               .data = core->snapshot,
                               .entries = core->entries };
  GmStatus status = GM_STATUS_UNSET;
  if (core->restore_due == 0 || GM_MUTANT (STOPPED_FOR_GOOD))
    core->restore_due = now + CL_STORE_RETRY;
  if (now < core->restore_due)
    return;
  core->restore_due = now + CL_STORE_RETRY;
  if (core->store->class->restore (core->store, &contents, &status) != GM_OK)
    {
      core->failure = status;
      return;
    }
  gm_ok (&core->failure);
  cl_reset_election_timer (core, now);
}

void
cl_queue_send (ClCore *core, const char *to, const WmMessage *message)
{
  ClOutgoingMessage *send = g_new0 (ClOutgoingMessage, 1);
  send->to = g_strdup (to);
  wm_copy (&send->message, message);
  g_queue_push_tail (&core->outbox, send);
}

gboolean
cl_take_outgoing (ClCore *core, ClOutgoingMessage *send)
{
  ClOutgoingMessage *first = g_queue_pop_head (&core->outbox);
  if (first == NULL)
    return FALSE;
  *send = *first;
  g_free (first);
  return TRUE;
}

static void
load_state (ClCore *core, ClStoreContents *loaded)
{
  core->term = loaded->term;
  core->voted_for = g_steal_pointer (&loaded->vote);
  core->snapshot_index = loaded->snapshot_index;
  core->snapshot_term = loaded->snapshot_term;
  core->snapshot_members = cl_members_decode (loaded->members);
  core->snapshot = g_steal_pointer (&loaded->data);
  core->entries = g_steal_pointer (&loaded->entries);
  core->base_index = loaded->snapshot_index;
  core->base_term = loaded->snapshot_term;
  if (core->entries->len > 0)
    {
      const ClEntry *first = g_ptr_array_index (core->entries, 0);
      if (first->index <= core->snapshot_index)
        {
          core->base_index = first->index - 1;
          core->base_term = 0;
        }
    }
  core->commit = core->snapshot_index;
  core->applied = core->snapshot_index;
}

ClCore *
cl_open (const char *host, const char *disk, const char *address,
         ClStore *store, guint64 seed, GmTime now, GmStatus *status)
{
  ClStoreContents loaded = { 0 };
  if (store->class->load (store, &loaded, status) != GM_OK)
    {
      cl_store_contents_clear (&loaded);
      return NULL;
    }
  ClCore *core = g_new0 (ClCore, 1);
  core->host = g_strdup (host);
  core->disk = g_strdup (disk);
  core->address = g_strdup (address);
  core->store = store;
  core->trailing_entries = CL_TRAILING_ENTRIES;
  gm_random_seed (&core->random, seed);
  load_state (core, &loaded);
  cl_store_contents_clear (&loaded);
  core->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->join_requests = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               (GDestroyNotify)cl_member_free);
  core->peers = g_ptr_array_new_with_free_func (g_free);
  core->snapshot_delivered = core->snapshot == NULL;
  core->leader_heard_at = now;
  core->opened_at = now;
  core->probe_offset = gm_random_next (&core->random) >> 2;
  core->stamp = G_MININT64 / 2;
  cl_refresh_members (core);
  cl_reset_election_timer (core, now);
  return core;
}

void
cl_free (ClCore *core)
{
  if (core == NULL)
    return;
  ClOutgoingMessage send;
  while (cl_take_outgoing (core, &send))
    {
      g_free (send.to);
      wm_clear (&send.message);
    }
  g_ptr_array_unref (core->entries);
  g_ptr_array_unref (core->members);
  g_ptr_array_unref (core->snapshot_members);
  g_ptr_array_unref (core->peers);
  g_hash_table_unref (core->progress);
  g_hash_table_unref (core->join_requests);
  if (core->snapshot != NULL)
    g_bytes_unref (core->snapshot);
  g_free (core->voted_for);
  g_free (core->leader);
  g_free (core->host);
  g_free (core->disk);
  g_free (core->address);
  g_free (core);
}

void
cl_set_unique_hosts (ClCore *core, guint min_voters)
{
  core->unique_hosts = TRUE;
  core->min_voters = min_voters;
}

void
cl_set_trailing_entries (ClCore *core, guint64 entries)
{
  core->trailing_entries = entries;
}

void
cl_set_peers (ClCore *core, const char *const *hosts, guint count)
{
  g_ptr_array_set_size (core->peers, 0);
  for (guint i = 0; i < count; i++)
    if (strcmp (hosts[i], core->host) != 0)
      g_ptr_array_add (core->peers, g_strdup (hosts[i]));
}

void
cl_receive (ClCore *core, GmTime now, const WmMessage *message)
{
  if (core->failure.kind != GM_OK)
    return;
  switch (message->type)
    {
    case WM_TYPE_VOTE_ASK:
      cl_receive_vote_ask (core, now, &message->vote_ask);
      break;
    case WM_TYPE_VOTE:
      cl_receive_vote (core, now, &message->vote);
      break;
    case WM_TYPE_APPEND:
      cl_receive_append (core, now, &message->append);
      break;
    case WM_TYPE_APPENDED:
      cl_receive_appended (core, now, &message->appended);
      break;
    case WM_TYPE_INSTALL:
      cl_receive_install (core, now, &message->install);
      break;
    case WM_TYPE_JOIN:
      cl_receive_join (core, now, &message->join);
      break;
    default:
      break;
    }
}

GmKind
cl_bootstrap (ClCore *core, GmTime now, GmStatus *status)
{
  if (cl_last_index (core) > 0 || core->term > 0)
    return gm_fail (status, GM_CONFLICT,
                    "the data folder already holds a control log");
  if (!cl_save_vote (core, 1, core->host))
    return cl_failure (core, status);
  g_autoptr (GPtrArray) members = cl_members_new ();
  g_ptr_array_add (
      members, cl_member_new (core->host, core->disk, core->address, TRUE));
  g_autoptr (GBytes) data = cl_members_encode (members);
  if (!cl_append_entry (core, CL_MEMBERS, data))
    return cl_failure (core, status);
  core->election_due = now;
  return gm_ok (status);
}

static void
tick_leader (ClCore *core, GmTime now)
{
  GmTime confirmed
      = MAX (cl_quorum_confirmed_at (core, now), core->leader_since);
  if (now - confirmed > CL_ELECTION_MIN + CL_ELECTION_JITTER)
    {
      cl_become_follower (core, now, core->term, NULL);
      return;
    }
  if (now >= core->heartbeat_due)
    {
      cl_remove_unresponsive (core, now);
      cl_broadcast (core, now);
    }
}

static void
send_join_requests (ClCore *core, GmTime now)
{
  core->join_due = now + CL_JOIN_INTERVAL;
  WmMessage m = { .type = WM_TYPE_JOIN,
                  .join = { .from = core->host,
                            .disk = core->disk,
                            .address = core->address } };
  for (guint i = 0; i < core->peers->len; i++)
    cl_queue_send (core, g_ptr_array_index (core->peers, i), &m);
}

/* Returns whether this host is not a member, or may have been removed without
   having been told.  */
static gboolean
needs_to_join (const ClCore *core, GmTime now)
{
  return cl_find_member_by_disk (core, core->host, core->disk) == NULL
         || (core->unique_hosts
             && now >= core->leader_heard_at + CL_REJOIN_TIMEOUT
             && !GM_MUTANT (STAY_OUT));
}

void
cl_tick (ClCore *core, GmTime now)
{
  if (core->failure.kind != GM_OK)
    {
      restore_store (core, now);
      return;
    }
  if (core->role == CL_LEADER)
    {
      tick_leader (core, now);
      return;
    }
  if (now >= core->election_due && cl_is_voter (core))
    cl_campaign (core, now, TRUE);
  if (core->role != CL_LEADER && needs_to_join (core, now)
      && now >= core->join_due)
    send_join_requests (core, now);
}

GmTime
cl_due (const ClCore *core)
{
  if (core->role == CL_LEADER)
    return core->heartbeat_due;
  return cl_is_voter (core) ? core->election_due : core->join_due;
}

GmKind
cl_propose_all (ClCore *core, GmTime now, const GPtrArray *commands,
                guint64 *index, GmStatus *status)
{
  if (core->failure.kind != GM_OK)
    return cl_failure (core, status);
  if (core->role != CL_LEADER)
    return gm_fail (status, GM_UNAVAILABLE, "this host does not lead");
  *index = cl_last_index (core) + 1;
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();
  for (guint i = 0; i < commands->len; i++)
    g_ptr_array_add (entries, cl_entry_new (*index + i, core->term, CL_COMMAND,
                                            g_ptr_array_index (commands, i)));
  if (!cl_append_entries (core, (ClEntry **)entries->pdata, entries->len))
    return cl_failure (core, status);
  cl_broadcast (core, now);
  cl_advance_commit (core, now);
  return gm_ok (status);
}

GmKind
cl_propose (ClCore *core, GmTime now, GBytes *command, guint64 *index,
            GmStatus *status)
{
  g_autoptr (GPtrArray) commands = g_ptr_array_new ();
  g_ptr_array_add (commands, command);
  return cl_propose_all (core, now, commands, index, status);
}

const ClEntry *
cl_take_committed (ClCore *core)
{
  if (core->applied >= core->commit)
    return NULL;
  core->applied++;
  return cl_entry_at (core, core->applied);
}

gboolean
cl_take_snapshot (ClCore *core, GBytes **data, guint64 *index)
{
  if (core->snapshot_delivered)
    return FALSE;
  core->snapshot_delivered = TRUE;
  *data = core->snapshot;
  *index = core->snapshot_index;
  return TRUE;
}

gboolean
cl_wants_snapshot (const ClCore *core)
{
  return core->failure.kind == GM_OK
         && core->applied >= core->snapshot_index + 2 * core->trailing_entries;
}

void
cl_compact (ClCore *core, GBytes *data)
{
  GmStatus status = GM_STATUS_UNSET;
  g_autoptr (GPtrArray) members = cl_members_at (core, core->applied);
  g_autoptr (GBytes) list = cl_members_encode (members);
  ClStoreContents snapshot
      = { .snapshot_index = core->applied,
          .snapshot_term = cl_term_at (core, core->applied),
          .members = list,
          .data = data };
  guint64 base
      = MAX (core->base_index,
             core->applied - MIN (core->applied, core->trailing_entries));
  GmKind kind = core->store->class->snapshot (core->store, &snapshot, base + 1,
                                              &status);
  if (!cl_check_stored (core, kind, &status))
    return;
  core->base_term = cl_term_at (core, base);
  g_ptr_array_remove_range (core->entries, 0,
                            (guint)(base - core->base_index));
  core->base_index = base;
  core->snapshot_index = snapshot.snapshot_index;
  core->snapshot_term = snapshot.snapshot_term;
  g_ptr_array_unref (core->snapshot_members);
  core->snapshot_members = g_steal_pointer (&members);
  if (core->snapshot != NULL)
    g_bytes_unref (core->snapshot);
  core->snapshot = g_bytes_ref (data);
}

ClRole
cl_role (const ClCore *core)
{
  return core->role;
}

guint64
cl_term (const ClCore *core)
{
  return core->term;
}

const char *
cl_leader (const ClCore *core)
{
  return core->leader;
}

guint64
cl_commit (const ClCore *core)
{
  return core->commit;
}

GmTime
cl_stamp (ClCore *core, GmTime now)
{
  if (core->role == CL_LEADER && cl_has_committed_own_term (core))
    core->stamp = MAX (core->stamp, cl_quorum_confirmed_at (core, now));
  return core->stamp;
}

GmKind
cl_failure (const ClCore *core, GmStatus *status)
{
  if (status != NULL)
    *status = core->failure;
  return core->failure.kind;
}
