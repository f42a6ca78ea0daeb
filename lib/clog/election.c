#include "core.h"
#include "base/mutant.h"
#include <string.h>

void
cl_reset_election_timer (ClCore *core, GmTime now)
{
  gboolean first = core->leader_heard_at == core->opened_at
                   && core->role != CL_LEADER
                   && (!core->had_first_election || GM_MUTANT (ALWAYS_FIRST));
  guint backoff
      = GM_MUTANT (ALWAYS_FIRST) ? 0 : MIN (core->elections, CL_BACKOFF_MAX);
  guint64 jitter = first ? CL_FIRST_ELECTION_JITTER
                         : (guint64)CL_ELECTION_JITTER << backoff;
  core->election_due = now + (first ? CL_FIRST_ELECTION_MIN : CL_ELECTION_MIN)
                       + (GmTime)gm_random_below (&core->random, jitter);
}

gboolean
cl_save_vote (ClCore *core, guint64 term, const char *vote)
{
  GmStatus status = GM_STATUS_UNSET;
  GmKind kind = core->store->class->vote (core->store, term, vote, &status);
  if (!cl_check_stored (core, kind, &status))
    return FALSE;
  core->term = term;
  char *copy = g_strdup (vote);
  g_free (core->voted_for);
  core->voted_for = copy;
  return TRUE;
}

void
cl_become_follower (ClCore *core, GmTime now, guint64 term, const char *leader)
{
  if (term > core->term && !cl_save_vote (core, term, NULL))
    return;
  if (core->role != CL_FOLLOWER)
    cl_reset_election_timer (core, now);
  core->role = CL_FOLLOWER;
  char *copy = g_strdup (leader);
  g_free (core->leader);
  core->leader = copy;
}

static void
become_leader (ClCore *core, GmTime now)
{
  core->role = CL_LEADER;
  char *self = g_strdup (core->host);
  g_free (core->leader);
  core->leader = self;
  core->leader_since = now;
  core->elections = 0;
  g_hash_table_remove_all (core->progress);
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      /* Until members respond, check-quorum counts from leader_since, which
         gives a new leader time for a first round trip.  */
      cl_get_progress (core, member->host)->acked_at = 0;
    }
  if (!cl_append_entry (core, CL_NOOP, NULL))
    return;
  cl_broadcast (core, now);
  cl_advance_commit (core, now);
}

static guint
count_granted_votes (ClCore *core)
{
  guint won = 0;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (member->voter && cl_get_progress (core, member->host)->vote_granted)
        won++;
    }
  return won;
}

static void
check_votes (ClCore *core, GmTime now)
{
  if (count_granted_votes (core) <= cl_voter_count (core) / 2)
    return;
  if (core->role == CL_PRECANDIDATE)
    cl_campaign (core, now, FALSE);
  else
    become_leader (core, now);
}

void
cl_campaign (ClCore *core, GmTime now, gboolean pre)
{
  core->role = pre ? CL_PRECANDIDATE : CL_CANDIDATE;
  g_clear_pointer (&core->leader, g_free);
  core->had_first_election = TRUE;
  core->elections += pre ? 0 : 1;
  cl_reset_election_timer (core, now);
  if (!pre && !cl_save_vote (core, core->term + 1, core->host))
    return;
  g_hash_table_remove_all (core->progress);
  cl_get_progress (core, core->host)->vote_granted = TRUE;
  WmMessage m = { .type = WM_TYPE_VOTE_ASK,
                  .vote_ask
                  = { .term = pre ? core->term + 1 : core->term,
                      .from = core->host,
                      .disk = core->disk,
                      .pre = pre ? 1 : 0,
                      .last_index = cl_last_index (core),
                      .last_term = cl_term_at (core, cl_last_index (core)) } };
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *member = g_ptr_array_index (core->members, i);
      if (member->voter && strcmp (member->host, core->host) != 0)
        cl_queue_send (core, member->host, &m);
    }
  check_votes (core, now);
}

static gboolean
candidate_log_is_behind (const ClCore *core, guint64 last_index,
                         guint64 last_term)
{
  guint64 own_term = cl_term_at (core, cl_last_index (core));
  return last_term < own_term
         || (last_term == own_term && last_index < cl_last_index (core));
}

static gboolean
has_active_leader (const ClCore *core, GmTime now)
{
  return core->role == CL_LEADER
         || (core->leader != NULL
             && now < core->leader_heard_at + CL_ELECTION_MIN);
}

void
cl_receive_vote_ask (ClCore *core, GmTime now, const struct wm_vote_ask *m)
{
  const ClMember *member = cl_find_member (core->members, m->from);
  if (member != NULL && strcmp (member->disk, m->disk) != 0
      && !GM_MUTANT (ANY_DISK))
    return;
  gboolean pre = m->pre != 0;
  gboolean eligible
      = m->term >= core->term
        && !candidate_log_is_behind (core, m->last_index, m->last_term)
        && !has_active_leader (core, now);
  /* One write for the term and the vote.  */
  if (!pre && eligible && m->term > core->term)
    {
      if (!cl_save_vote (core, m->term, m->from))
        return;
      cl_become_follower (core, now, m->term, NULL);
    }
  gboolean granted
      = eligible
        && (pre ? m->term > core->term
                : m->term == core->term
                      && (core->voted_for == NULL
                          || strcmp (core->voted_for, m->from) == 0));
  if (granted && !pre)
    {
      if (core->voted_for == NULL && !cl_save_vote (core, core->term, m->from))
        return;
      cl_reset_election_timer (core, now);
    }
  if (core->failure.kind != GM_OK)
    return;
  WmMessage answer = { .type = WM_TYPE_VOTE,
                       .vote = { .term = granted ? m->term : core->term,
                                 .from = core->host,
                                 .disk = core->disk,
                                 .pre = m->pre,
                                 .granted = granted ? 1 : 0 } };
  cl_queue_send (core, m->from, &answer);
}

void
cl_receive_vote (ClCore *core, GmTime now, const struct wm_vote *m)
{
  const ClMember *member = cl_find_member_by_disk (core, m->from, m->disk);
  if (member == NULL || !member->voter)
    return;
  if (m->granted == 0)
    {
      if (m->term > core->term)
        cl_become_follower (core, now, m->term, NULL);
      return;
    }
  gboolean pre = m->pre != 0;
  gboolean wanted
      = pre ? core->role == CL_PRECANDIDATE && m->term == core->term + 1
            : core->role == CL_CANDIDATE && m->term == core->term;
  if (!wanted)
    return;
  cl_get_progress (core, m->from)->vote_granted = TRUE;
  check_votes (core, now);
}
