#include "clog.h"
#include "base/bytes.h"
#include "base/mutant.h"
#include <string.h>

typedef struct
{
  guint64 next;
  guint64 match;
  guint64 probe_sent; /* the peer's clock, to be echoed */
  GmTime acked;       /* our clock, as echoed by the peer */
  GmTime installing;  /* when a snapshot was last sent, 0: none */
  gboolean voted;
} Progress;

struct ClCore
{
  char *host;
  char *disk;
  char *address;
  ClStore *store;
  GmRandom random;
  GmStatus failure;

  ClRole role;
  guint64 term;
  char *vote;
  char *leader;
  GPtrArray *entries; /* ClEntry *, from base + 1 on */
  guint64 base;       /* index before the first entry kept */
  guint64 base_term;
  guint64 snapshot_index;
  guint64 snapshot_term;
  GBytes *snapshot;
  GPtrArray *snapshot_members;
  gboolean snapshot_taken;
  guint64 commit;
  guint64 applied;
  guint64 keep; /* entries kept behind a snapshot */

  GPtrArray *members;
  guint64 members_index; /* entry the members come from */
  GHashTable *progress;  /* host -> Progress */
  GHashTable *joining;   /* host -> ClMember that asked to join */
  GPtrArray *peers;      /* char *, hosts to ask for admission */

  GmTime heard; /* when a leader was last heard */
  GmTime election_due;
  GmTime heartbeat_due;
  GmTime join_due;
  GmTime stamp;
  GmTime opened;
  guint64 probe_base; /* added to own times in probes; differs by process */
  GmTime lead_since;
  GQueue sends; /* ClSend * */
};

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

static ClMember *
member_new (const char *host, const char *disk, const char *address,
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

static GPtrArray *
members_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)cl_member_free);
}

static GPtrArray *
members_copy (const GPtrArray *members)
{
  GPtrArray *copy = members_new ();
  for (guint i = 0; i < members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (members, i);
      g_ptr_array_add (copy,
                       member_new (m->host, m->disk, m->address, m->voter));
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
  GPtrArray *members = members_new ();
  WmMessage record;
  gsize at = 0;
  while (list != NULL && wm_next (list, &at, &record))
    {
      if (record.type == WM_TYPE_REC_MEMBER)
        g_ptr_array_add (members, member_new (record.rec_member.host,
                                              record.rec_member.disk,
                                              record.rec_member.address,
                                              record.rec_member.voter != 0));
      wm_clear (&record);
    }
  return members;
}

void
cl_loaded_clear (ClLoaded *loaded)
{
  g_free (loaded->vote);
  g_clear_pointer (&loaded->members, g_bytes_unref);
  g_clear_pointer (&loaded->data, g_bytes_unref);
  g_clear_pointer (&loaded->entries, g_ptr_array_unref);
  memset (loaded, 0, sizeof *loaded);
}

static ClMember *
find_member (const GPtrArray *members, const char *host)
{
  for (guint i = 0; i < members->len; i++)
    {
      ClMember *member = g_ptr_array_index (members, i);
      if (strcmp (member->host, host) == 0)
        return member;
    }
  return NULL;
}

/* The member that speaks as (HOST, DISK), or NULL for a disk unknown.  */
static ClMember *
known_member (const ClCore *core, const char *host, const char *disk)
{
  ClMember *member = find_member (core->members, host);
  if (GM_MUTANT (ANY_DISK))
    return member;
  return member != NULL && strcmp (member->disk, disk) == 0 ? member : NULL;
}

static guint
voter_count (const ClCore *core)
{
  guint count = 0;
  for (guint i = 0; i < core->members->len; i++)
    count += ((ClMember *)g_ptr_array_index (core->members, i))->voter ? 1 : 0;
  return count;
}

gboolean
cl_is_voter (const ClCore *core)
{
  const ClMember *self = known_member (core, core->host, core->disk);
  return self != NULL && self->voter;
}

guint64
cl_last_index (const ClCore *core)
{
  return core->base + core->entries->len;
}

static ClEntry *
entry_at (const ClCore *core, guint64 index)
{
  if (index <= core->base || index > cl_last_index (core))
    return NULL;
  return g_ptr_array_index (core->entries, index - core->base - 1);
}

/* Term of the entry at INDEX; 0 when the log doesn't know it.  */
static guint64
term_at (const ClCore *core, guint64 index)
{
  if (index == core->base)
    return core->base_term;
  const ClEntry *entry = entry_at (core, index);
  return entry != NULL ? entry->term : 0;
}

static void
stop_for_good (ClCore *core, const GmStatus *status)
{
  core->failure = *status;
  core->role = CL_FOLLOWER;
  g_clear_pointer (&core->leader, g_free);
}

/* Checks the outcome of a store call; a fault stops this host's log.  */
static gboolean
stored (ClCore *core, GmKind kind, const GmStatus *status)
{
  if (kind != GM_OK)
    stop_for_good (core, status);
  return kind == GM_OK;
}

static void
queue_send (ClCore *core, const char *to, const WmMessage *message)
{
  ClSend *send = g_new0 (ClSend, 1);
  send->to = g_strdup (to);
  wm_copy (&send->message, message);
  g_queue_push_tail (&core->sends, send);
}

gboolean
cl_take_send (ClCore *core, ClSend *send)
{
  ClSend *first = g_queue_pop_head (&core->sends);
  if (first == NULL)
    return FALSE;
  *send = *first;
  g_free (first);
  return TRUE;
}

static void
reset_election (ClCore *core, GmTime now)
{
  core->election_due
      = now + CL_ELECTION_MIN
        + (GmTime)gm_random_below (&core->random, CL_ELECTION_SPREAD);
}

/* Recomputes the members from the snapshot and the entries after it.  */
static void
refresh_members (ClCore *core)
{
  g_clear_pointer (&core->members, g_ptr_array_unref);
  core->members = members_copy (core->snapshot_members);
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

static void
load_state (ClCore *core, ClLoaded *loaded)
{
  core->term = loaded->term;
  core->vote = g_steal_pointer (&loaded->vote);
  core->snapshot_index = loaded->snapshot_index;
  core->snapshot_term = loaded->snapshot_term;
  core->snapshot_members = cl_members_decode (loaded->members);
  core->snapshot = g_steal_pointer (&loaded->data);
  core->entries = g_steal_pointer (&loaded->entries);
  core->base = loaded->snapshot_index;
  core->base_term = loaded->snapshot_term;
  if (core->entries->len > 0)
    {
      const ClEntry *first = g_ptr_array_index (core->entries, 0);
      if (first->index <= core->snapshot_index)
        {
          core->base = first->index - 1;
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
  ClLoaded loaded = { 0 };
  if (store->class->load (store, &loaded, status) != GM_OK)
    {
      cl_loaded_clear (&loaded);
      return NULL;
    }
  ClCore *core = g_new0 (ClCore, 1);
  core->host = g_strdup (host);
  core->disk = g_strdup (disk);
  core->address = g_strdup (address);
  core->store = store;
  core->keep = CL_KEEP_ENTRIES;
  gm_random_seed (&core->random, seed);
  load_state (core, &loaded);
  cl_loaded_clear (&loaded);
  core->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->joining = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)cl_member_free);
  core->peers = g_ptr_array_new_with_free_func (g_free);
  core->snapshot_taken = core->snapshot == NULL;
  core->heard = now;
  core->opened = now;
  core->probe_base = gm_random_next (&core->random) >> 2;
  core->stamp = G_MININT64 / 2;
  refresh_members (core);
  reset_election (core, now);
  return core;
}

void
cl_free (ClCore *core)
{
  if (core == NULL)
    return;
  ClSend send;
  while (cl_take_send (core, &send))
    {
      g_free (send.to);
      wm_clear (&send.message);
    }
  g_ptr_array_unref (core->entries);
  g_ptr_array_unref (core->members);
  g_ptr_array_unref (core->snapshot_members);
  g_ptr_array_unref (core->peers);
  g_hash_table_unref (core->progress);
  g_hash_table_unref (core->joining);
  if (core->snapshot != NULL)
    g_bytes_unref (core->snapshot);
  g_free (core->vote);
  g_free (core->leader);
  g_free (core->host);
  g_free (core->disk);
  g_free (core->address);
  g_free (core);
}

void
cl_set_keep (ClCore *core, guint64 entries)
{
  core->keep = entries;
}

void
cl_set_peers (ClCore *core, const char *const *hosts, guint count)
{
  g_ptr_array_set_size (core->peers, 0);
  for (guint i = 0; i < count; i++)
    if (strcmp (hosts[i], core->host) != 0)
      g_ptr_array_add (core->peers, g_strdup (hosts[i]));
}

/* Appends ENTRIES, which the log then owns, after syncing them.  */
static gboolean
append_entries (ClCore *core, ClEntry **entries, guint count)
{
  GmStatus status;
  if (count == 0)
    return TRUE;
  GmKind kind
      = core->store->class->append (core->store, entries, count, &status);
  gboolean members = FALSE;
  for (guint i = 0; i < count; i++)
    {
      members = members || entries[i]->type == CL_MEMBERS;
      g_ptr_array_add (core->entries, entries[i]);
    }
  if (members)
    refresh_members (core);
  return stored (core, kind, &status);
}

static gboolean
save_vote (ClCore *core, guint64 term, const char *vote)
{
  GmStatus status;
  GmKind kind = core->store->class->vote (core->store, term, vote, &status);
  if (!stored (core, kind, &status))
    return FALSE;
  core->term = term;
  char *copy = g_strdup (vote);
  g_free (core->vote);
  core->vote = copy;
  return TRUE;
}

static void
become_follower (ClCore *core, GmTime now, guint64 term, const char *leader)
{
  if (term > core->term && !save_vote (core, term, NULL))
    return;
  if (core->role != CL_FOLLOWER)
    reset_election (core, now);
  core->role = CL_FOLLOWER;
  char *copy = g_strdup (leader);
  g_free (core->leader);
  core->leader = copy;
}

static Progress *
progress_of (ClCore *core, const char *host)
{
  Progress *progress = g_hash_table_lookup (core->progress, host);
  if (progress == NULL)
    {
      progress = g_new0 (Progress, 1);
      progress->next = cl_last_index (core) + 1;
      g_hash_table_insert (core->progress, g_strdup (host), progress);
    }
  return progress;
}

/* The greatest value that a majority of voters has reached; SELF is this
   host's own, OFFSET names the guint64 of Progress that counts.  */
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
        value = G_STRUCT_MEMBER (guint64, progress_of (core, member->host),
                                 offset);
      g_array_append_val (values, value);
    }
  return gm_nth_largest (values, values->len / 2);
}

static GmTime
confirmed_at (ClCore *core, GmTime now)
{
  return (GmTime)majority_value (core, (guint64)now,
                                 G_STRUCT_OFFSET (Progress, acked));
}

/* A new leader learns what earlier terms committed with its own first entry;
   before that it vouches for nothing and changes no members.  */
static gboolean
commits_own_term (const ClCore *core)
{
  return term_at (core, core->commit) == core->term;
}

static GBytes *
batch_from (const ClCore *core, guint64 first, guint64 to)
{
  GByteArray *out = g_byte_array_new ();
  for (guint64 i = first; i <= to && out->len < CL_BATCH_BYTES; i++)
    {
      WmMessage record = cl_entry_message (entry_at (core, i));
      wm_append (out, &record);
    }
  return g_byte_array_free_to_bytes (out);
}

static void
send_install (ClCore *core, GmTime now, const char *host, Progress *progress)
{
  if (progress->installing != 0
      && now < progress->installing + CL_ELECTION_MIN)
    return;
  progress->installing = now;
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
  queue_send (core, host, &m);
}

static void
send_append (ClCore *core, GmTime now, const char *host)
{
  Progress *progress = progress_of (core, host);
  guint64 previous = progress->next - 1;
  if (previous < core->base
      || (previous == core->base && core->base_term == 0 && previous > 0))
    {
      send_install (core, now, host, progress);
      return;
    }
  g_autoptr (GBytes) batch
      = batch_from (core, progress->next, cl_last_index (core));
  GmTime age = now - confirmed_at (core, now);
  WmMessage m
      = { .type = WM_TYPE_APPEND,
          .append
          = { .term = core->term,
              .from = core->host,
              .disk = core->disk,
              .prev_index = previous,
              .prev_term = term_at (core, previous),
              .commit = core->commit,
              .sent = (guint64)now,
              .echo = commits_own_term (core) ? progress->probe_sent : 0,
              .age = (guint64)MAX (age, 0),
              .entries = batch } };
  queue_send (core, host, &m);
}

static void
broadcast (ClCore *core, GmTime now)
{
  core->heartbeat_due = now + CL_HEARTBEAT;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (strcmp (member->host, core->host) != 0)
        send_append (core, now, member->host);
    }
}

static void
advance_commit (ClCore *core, GmTime now)
{
  guint64 reached = majority_value (core, cl_last_index (core),
                                    G_STRUCT_OFFSET (Progress, match));
  if (GM_MUTANT (COMMIT_ALONE))
    reached = cl_last_index (core);
  /* Only an entry of the leader's own term commits by count.  */
  if (reached > core->commit && term_at (core, reached) == core->term)
    {
      core->commit = reached;
      broadcast (core, now);
    }
}

static gboolean
append_one (ClCore *core, ClEntryType type, GBytes *data)
{
  ClEntry *entry
      = cl_entry_new (cl_last_index (core) + 1, core->term, type, data);
  return append_entries (core, &entry, 1);
}

static void
become_leader (ClCore *core, GmTime now)
{
  core->role = CL_LEADER;
  char *self = g_strdup (core->host);
  g_free (core->leader);
  core->leader = self;
  core->lead_since = now;
  g_hash_table_remove_all (core->progress);
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      /* A new leader has time for a first round before check-quorum.  */
      progress_of (core, member->host)->acked = 0;
    }
  if (!append_one (core, CL_NOOP, NULL))
    return;
  broadcast (core, now);
  advance_commit (core, now);
}

static guint
votes_won (ClCore *core)
{
  guint won = 0;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (member->voter && progress_of (core, member->host)->voted)
        won++;
    }
  return won;
}

static void campaign (ClCore *core, GmTime now, gboolean pre);

static void
count_votes (ClCore *core, GmTime now)
{
  if (votes_won (core) <= voter_count (core) / 2)
    return;
  if (core->role == CL_PRECANDIDATE)
    campaign (core, now, FALSE);
  else
    become_leader (core, now);
}

static void
campaign (ClCore *core, GmTime now, gboolean pre)
{
  core->role = pre ? CL_PRECANDIDATE : CL_CANDIDATE;
  g_clear_pointer (&core->leader, g_free);
  reset_election (core, now);
  if (!pre && !save_vote (core, core->term + 1, core->host))
    return;
  g_hash_table_remove_all (core->progress);
  progress_of (core, core->host)->voted = TRUE;
  WmMessage m
      = { .type = WM_TYPE_VOTE_ASK,
          .vote_ask = { .term = pre ? core->term + 1 : core->term,
                        .from = core->host,
                        .disk = core->disk,
                        .pre = pre ? 1 : 0,
                        .last_index = cl_last_index (core),
                        .last_term = term_at (core, cl_last_index (core)) } };
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (member->voter && strcmp (member->host, core->host) != 0)
        queue_send (core, member->host, &m);
    }
  count_votes (core, now);
}

static gboolean
log_is_behind (const ClCore *core, guint64 last_index, guint64 last_term)
{
  guint64 own_term = term_at (core, cl_last_index (core));
  return last_term < own_term
         || (last_term == own_term && last_index < cl_last_index (core));
}

static gboolean
hears_leader (const ClCore *core, GmTime now)
{
  return core->role == CL_LEADER
         || (core->leader != NULL && now < core->heard + CL_ELECTION_MIN);
}

static void
receive_vote_ask (ClCore *core, GmTime now, const struct wm_vote_ask *m)
{
  const ClMember *member = find_member (core->members, m->from);
  if (member != NULL && strcmp (member->disk, m->disk) != 0
      && !GM_MUTANT (ANY_DISK))
    return;
  gboolean pre = m->pre != 0;
  gboolean eligible = m->term >= core->term
                      && !log_is_behind (core, m->last_index, m->last_term)
                      && !hears_leader (core, now);
  if (!pre && eligible && m->term > core->term)
    become_follower (core, now, m->term, NULL);
  gboolean granted = eligible
                     && (pre ? m->term > core->term
                             : m->term == core->term
                                   && (core->vote == NULL
                                       || strcmp (core->vote, m->from) == 0));
  if (granted && !pre)
    {
      if (core->vote == NULL && !save_vote (core, core->term, m->from))
        return;
      reset_election (core, now);
    }
  if (core->failure.kind != GM_OK)
    return;
  WmMessage answer = { .type = WM_TYPE_VOTE,
                       .vote = { .term = granted ? m->term : core->term,
                                 .from = core->host,
                                 .disk = core->disk,
                                 .pre = m->pre,
                                 .granted = granted ? 1 : 0 } };
  queue_send (core, m->from, &answer);
}

static void
receive_vote (ClCore *core, GmTime now, const struct wm_vote *m)
{
  const ClMember *member = known_member (core, m->from, m->disk);
  if (member == NULL || !member->voter)
    return;
  if (m->granted == 0)
    {
      if (m->term > core->term)
        become_follower (core, now, m->term, NULL);
      return;
    }
  gboolean pre = m->pre != 0;
  gboolean wanted
      = pre ? core->role == CL_PRECANDIDATE && m->term == core->term + 1
            : core->role == CL_CANDIDATE && m->term == core->term;
  if (!wanted)
    return;
  progress_of (core, m->from)->voted = TRUE;
  count_votes (core, now);
}

static gboolean
truncate_from (ClCore *core, guint64 index)
{
  GmStatus status;
  g_assert (index > core->commit);
  GmKind kind = core->store->class->truncate (core->store, index, &status);
  if (!stored (core, kind, &status))
    return FALSE;
  g_ptr_array_set_size (core->entries, (gint)(index - core->base - 1));
  refresh_members (core);
  return TRUE;
}

/* Merges the leader's entries; the index up to which both logs agree is stored
   in MATCH.  */
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
          if (present && e->index > core->base
              && term_at (core, e->index) != e->term)
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
    return append_entries (core, (ClEntry **)fresh->pdata, fresh->len);
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
                      + (GM_MUTANT (ECHO_UNCHECKED) ? 0 : core->probe_base),
              .echo = echo } };
  queue_send (core, to, &answer);
}

static gboolean
follow_leader (ClCore *core, GmTime now, guint64 term, const char *leader)
{
  if (term < core->term)
    {
      send_appended (core, now, leader, FALSE, 0, 0);
      return FALSE;
    }
  become_follower (core, now, term, leader);
  core->heard = now;
  reset_election (core, now);
  return core->failure.kind == GM_OK;
}

/* Raises the stamp to the time of the probe that ECHO returns, less AGE.  The
   echo of a probe that an earlier process of this host sent, whose clock may
   have been another, falls outside this one's life.  */
static void
take_echo (ClCore *core, GmTime now, guint64 echo, GmTime age)
{
  GmTime probed = (GmTime)(echo - core->probe_base);
  if (GM_MUTANT (ECHO_UNCHECKED))
    probed = (GmTime)echo;
  if ((probed >= core->opened && probed <= now) || GM_MUTANT (ECHO_UNCHECKED))
    core->stamp = MAX (core->stamp, probed - age);
}

static void
receive_append (ClCore *core, GmTime now, const struct wm_append *m)
{
  if (!follow_leader (core, now, m->term, m->from))
    return;
  gboolean known = m->prev_index <= cl_last_index (core)
                   && (m->prev_index <= core->commit
                       || term_at (core, m->prev_index) == m->prev_term);
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
  /* What the quorum had confirmed is held here up to the leader's commit.  */
  if (m->echo != 0 && core->commit >= m->commit)
    take_echo (core, now, m->echo, (GmTime)m->age);
  send_appended (core, now, m->from, TRUE, match, m->sent);
}

static GPtrArray *
no_entries (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)cl_entry_free);
}

static gboolean
install_snapshot (ClCore *core, const struct wm_install *m)
{
  GmStatus status;
  ClLoaded snapshot = { .snapshot_index = m->index,
                        .snapshot_term = m->index_term,
                        .members = m->members,
                        .data = m->data };
  GmKind kind = core->store->class->snapshot (core->store, &snapshot,
                                              m->index + 1, &status);
  if (!stored (core, kind, &status))
    return FALSE;
  if (cl_last_index (core) > m->index)
    {
      kind = core->store->class->truncate (core->store, m->index + 1, &status);
      if (!stored (core, kind, &status))
        return FALSE;
    }
  g_ptr_array_unref (core->entries);
  core->entries = no_entries ();
  core->base = m->index;
  core->base_term = m->index_term;
  core->snapshot_index = m->index;
  core->snapshot_term = m->index_term;
  g_ptr_array_unref (core->snapshot_members);
  core->snapshot_members = cl_members_decode (m->members);
  if (core->snapshot != NULL)
    g_bytes_unref (core->snapshot);
  core->snapshot = g_bytes_ref (m->data);
  core->snapshot_taken = FALSE;
  core->commit = m->index;
  core->applied = m->index;
  refresh_members (core);
  return TRUE;
}

static void
receive_install (ClCore *core, GmTime now, const struct wm_install *m)
{
  if (!follow_leader (core, now, m->term, m->from))
    return;
  if (m->index > core->commit && !install_snapshot (core, m))
    return;
  send_appended (core, now, m->from, TRUE, MAX (m->index, core->commit),
                 m->sent);
}

static GmKind
change_members (ClCore *core, GmTime now, GPtrArray *members, GmStatus *status)
{
  g_autoptr (GPtrArray) owned = members;
  if (core->members_index > core->commit || !commits_own_term (core))
    return gm_fail (status, GM_UNAVAILABLE,
                    "another change of the control hosts is under way");
  g_autoptr (GBytes) data = cl_members_encode (owned);
  if (!append_one (core, CL_MEMBERS, data))
    return cl_failed (core, status);
  broadcast (core, now);
  advance_commit (core, now);
  return gm_ok (status);
}

/* Makes a learner that has all committed entries a voter.  */
static void
promote_learner (ClCore *core, GmTime now, const ClMember *member)
{
  const Progress *progress = progress_of (core, member->host);
  if (member->voter || progress->match < core->commit
      || core->members_index > core->commit || !commits_own_term (core))
    return;
  GPtrArray *members = members_copy (core->members);
  find_member (members, member->host)->voter = TRUE;
  change_members (core, now, members, NULL);
}

static void
receive_appended (ClCore *core, GmTime now, const struct wm_appended *m)
{
  if (m->term > core->term)
    {
      become_follower (core, now, m->term, NULL);
      return;
    }
  const ClMember *member = known_member (core, m->from, m->disk);
  if (core->role != CL_LEADER || member == NULL || m->term < core->term)
    return;
  Progress *progress = progress_of (core, m->from);
  progress->probe_sent = m->sent;
  progress->acked = MAX (progress->acked, (GmTime)m->echo);
  if (m->ok == 0)
    {
      progress->next
          = MAX (progress->match + 1, MIN (m->match + 1, progress->next - 1));
      send_append (core, now, m->from);
      return;
    }
  progress->installing = 0;
  progress->match = MAX (progress->match, m->match);
  progress->next = MAX (progress->next, progress->match + 1);
  if (progress->next > cl_last_index (core) + 1)
    progress->next = cl_last_index (core) + 1;
  gboolean more = progress->match < cl_last_index (core);
  advance_commit (core, now);
  if (more)
    send_append (core, now, m->from);
  promote_learner (core, now, member);
}

static void
receive_join (ClCore *core, GmTime now, const struct wm_join *m)
{
  if (core->role != CL_LEADER || known_member (core, m->from, m->disk) != NULL)
    return;
  ClMember *asking = member_new (m->from, m->disk, m->address, FALSE);
  g_hash_table_replace (core->joining, asking->host, asking);
  /* A host that was never a member joins by itself; a host with another disk
     waits for an operator, who knows whether the old one is lost.  */
  if (find_member (core->members, m->from) == NULL)
    cl_admit (core, now, m->from, NULL);
}

GmKind
cl_admit (ClCore *core, GmTime now, const char *host, GmStatus *status)
{
  if (core->role != CL_LEADER)
    return gm_fail (status, GM_UNAVAILABLE, "this host does not lead");
  const ClMember *asking = g_hash_table_lookup (core->joining, host);
  if (asking == NULL)
    return gm_fail (status, GM_NOT_FOUND, "%s has not asked to join", host);
  /* It may have asked an earlier leader too, which has admitted it.  */
  if (known_member (core, asking->host, asking->disk) != NULL)
    {
      g_hash_table_remove (core->joining, host);
      return gm_ok (status);
    }
  GPtrArray *members = members_copy (core->members);
  ClMember *old = find_member (members, host);
  if (old != NULL)
    g_ptr_array_remove (members, old);
  g_ptr_array_add (members,
                   member_new (asking->host, asking->disk, asking->address,
                               GM_MUTANT (LEARNER_VOTES)));
  GmKind kind = change_members (core, now, members, status);
  if (kind != GM_OK)
    return kind;
  g_hash_table_remove (core->progress, host);
  g_hash_table_remove (core->joining, host);
  return kind;
}

GmKind
cl_remove (ClCore *core, GmTime now, const char *host, GmStatus *status)
{
  if (core->role != CL_LEADER)
    return gm_fail (status, GM_UNAVAILABLE, "this host does not lead");
  GPtrArray *members = members_copy (core->members);
  ClMember *old = find_member (members, host);
  if (old == NULL || members->len == 1 || strcmp (host, core->host) == 0)
    {
      g_ptr_array_unref (members);
      return gm_fail (status, GM_NOT_FOUND,
                      "%s is not a control host that can be removed", host);
    }
  g_ptr_array_remove (members, old);
  return change_members (core, now, members, status);
}

void
cl_receive (ClCore *core, GmTime now, const WmMessage *message)
{
  if (core->failure.kind != GM_OK)
    return;
  switch (message->type)
    {
    case WM_TYPE_VOTE_ASK:
      receive_vote_ask (core, now, &message->vote_ask);
      break;
    case WM_TYPE_VOTE:
      receive_vote (core, now, &message->vote);
      break;
    case WM_TYPE_APPEND:
      receive_append (core, now, &message->append);
      break;
    case WM_TYPE_APPENDED:
      receive_appended (core, now, &message->appended);
      break;
    case WM_TYPE_INSTALL:
      receive_install (core, now, &message->install);
      break;
    case WM_TYPE_JOIN:
      receive_join (core, now, &message->join);
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
  if (!save_vote (core, 1, core->host))
    return cl_failed (core, status);
  g_autoptr (GPtrArray) members = members_new ();
  g_ptr_array_add (members,
                   member_new (core->host, core->disk, core->address, TRUE));
  g_autoptr (GBytes) data = cl_members_encode (members);
  if (!append_one (core, CL_MEMBERS, data))
    return cl_failed (core, status);
  core->election_due = now;
  return gm_ok (status);
}

static void
tick_leader (ClCore *core, GmTime now)
{
  GmTime confirmed = MAX (confirmed_at (core, now), core->lead_since);
  if (now - confirmed > CL_ELECTION_MIN + CL_ELECTION_SPREAD)
    {
      become_follower (core, now, core->term, NULL);
      return;
    }
  if (now >= core->heartbeat_due)
    broadcast (core, now);
}

static void
ask_to_join (ClCore *core, GmTime now)
{
  core->join_due = now + CL_JOIN_INTERVAL;
  WmMessage m = { .type = WM_TYPE_JOIN,
                  .join = { .from = core->host,
                            .disk = core->disk,
                            .address = core->address } };
  for (guint i = 0; i < core->peers->len; i++)
    queue_send (core, g_ptr_array_index (core->peers, i), &m);
}

void
cl_tick (ClCore *core, GmTime now)
{
  if (core->failure.kind != GM_OK)
    return;
  if (core->role == CL_LEADER)
    tick_leader (core, now);
  else if (now >= core->election_due && cl_is_voter (core))
    campaign (core, now, TRUE);
  else if (known_member (core, core->host, core->disk) == NULL
           && now >= core->join_due)
    ask_to_join (core, now);
}

GmTime
cl_due (const ClCore *core)
{
  if (core->role == CL_LEADER)
    return core->heartbeat_due;
  return cl_is_voter (core) ? core->election_due : core->join_due;
}

GmKind
cl_propose (ClCore *core, GmTime now, GBytes *command, guint64 *index,
            GmStatus *status)
{
  if (core->failure.kind != GM_OK)
    return cl_failed (core, status);
  if (core->role != CL_LEADER)
    return gm_fail (status, GM_UNAVAILABLE, "this host does not lead");
  if (!append_one (core, CL_COMMAND, command))
    return cl_failed (core, status);
  *index = cl_last_index (core);
  broadcast (core, now);
  advance_commit (core, now);
  return gm_ok (status);
}

const ClEntry *
cl_take_committed (ClCore *core)
{
  if (core->applied >= core->commit)
    return NULL;
  core->applied++;
  return entry_at (core, core->applied);
}

gboolean
cl_take_snapshot (ClCore *core, GBytes **data, guint64 *index)
{
  if (core->snapshot_taken)
    return FALSE;
  core->snapshot_taken = TRUE;
  *data = core->snapshot;
  *index = core->snapshot_index;
  return TRUE;
}

gboolean
cl_wants_snapshot (const ClCore *core)
{
  return core->failure.kind == GM_OK
         && core->applied >= core->snapshot_index + 2 * core->keep;
}

/* Members as of the entry at INDEX.  */
static GPtrArray *
members_at (const ClCore *core, guint64 index)
{
  GPtrArray *members = members_copy (core->snapshot_members);
  for (guint64 i = core->snapshot_index + 1; i <= index; i++)
    {
      const ClEntry *entry = entry_at (core, i);
      if (entry->type != CL_MEMBERS)
        continue;
      g_ptr_array_unref (members);
      members = cl_members_decode (entry->data);
    }
  return members;
}

void
cl_compact (ClCore *core, GBytes *data)
{
  GmStatus status;
  g_autoptr (GPtrArray) members = members_at (core, core->applied);
  g_autoptr (GBytes) list = cl_members_encode (members);
  ClLoaded snapshot = { .snapshot_index = core->applied,
                        .snapshot_term = term_at (core, core->applied),
                        .members = list,
                        .data = data };
  guint64 base
      = MAX (core->base, core->applied - MIN (core->applied, core->keep));
  GmKind kind = core->store->class->snapshot (core->store, &snapshot, base + 1,
                                              &status);
  if (!stored (core, kind, &status))
    return;
  core->base_term = term_at (core, base);
  g_ptr_array_remove_range (core->entries, 0, (guint)(base - core->base));
  core->base = base;
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
  if (core->role == CL_LEADER && commits_own_term (core))
    core->stamp = MAX (core->stamp, confirmed_at (core, now));
  return core->stamp;
}

const GPtrArray *
cl_members (const ClCore *core)
{
  return core->members;
}

gboolean
cl_members_settled (const ClCore *core)
{
  return core->members_index <= core->commit;
}

GmKind
cl_failed (const ClCore *core, GmStatus *status)
{
  if (status != NULL)
    *status = core->failure;
  return core->failure.kind;
}

GBytes *
cl_entries_from (const ClCore *core, guint64 first, guint64 to)
{
  if (first <= core->base)
    return NULL;
  return batch_from (core, first, MIN (to, core->commit));
}
