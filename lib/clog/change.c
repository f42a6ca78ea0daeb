#include "core.h"
#include "base/mutant.h"
#include <string.h>

/* Voters that a removal must leave, whatever was set: with two, one that loses
   its disk takes the quorum along.  */
#define VOTERS_LEFT 3

static GmKind
change_members (ClCore *core, GmTime now, GPtrArray *members, GmStatus *status)
{
  g_autoptr (GPtrArray) owned = members;
  if (core->members_index > core->commit || !cl_commits_own_term (core))
    return gm_fail (status, GM_UNAVAILABLE,
                    "another change of the control hosts is under way");
  g_autoptr (GBytes) data = cl_members_encode (owned);
  if (!cl_append_one (core, CL_MEMBERS, data))
    return cl_failed (core, status);
  cl_broadcast (core, now);
  cl_advance_commit (core, now);
  return gm_ok (status);
}

void
cl_promote_learner (ClCore *core, GmTime now, const ClMember *member)
{
  const ClProgress *progress = cl_progress_of (core, member->host);
  if (member->voter || progress->match < core->commit
      || core->members_index > core->commit || !cl_commits_own_term (core))
    return;
  GPtrArray *members = cl_members_copy (core->members);
  cl_find_member (members, member->host)->voter = TRUE;
  change_members (core, now, members, NULL);
}

/* Whoever wants to join knows some control hosts, not the leader.  A request
   that was forwarded once is not forwarded again.  */
static void
forward_join (ClCore *core, const struct wm_join *m)
{
  if (core->leader == NULL || strcmp (core->leader, m->from) == 0
      || m->forwarded != 0)
    return;
  WmMessage forward = { .type = WM_TYPE_JOIN, .join = *m };
  forward.join.forwarded = 1;
  cl_queue_send (core, core->leader, &forward);
}

void
cl_receive_join (ClCore *core, GmTime now, const struct wm_join *m)
{
  if (core->role != CL_LEADER)
    {
      forward_join (core, m);
      return;
    }
  if (cl_known_member (core, m->from, m->disk) != NULL)
    return;
  ClMember *asking = cl_member_new (m->from, m->disk, m->address, FALSE);
  g_hash_table_replace (core->joining, asking->host, asking);
  /* A host that was never a member joins by itself.  A host with another disk
     waits for an operator, who knows whether the old one is lost, unless host
     names are known to be unique: then only one process speaks for the host,
     and it no longer has the old disk.  */
  if (cl_find_member (core->members, m->from) == NULL || core->unique_hosts)
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
  if (cl_known_member (core, asking->host, asking->disk) != NULL)
    {
      g_hash_table_remove (core->joining, host);
      return gm_ok (status);
    }
  GPtrArray *members = cl_members_copy (core->members);
  ClMember *old = cl_find_member (members, host);
  if (old != NULL)
    g_ptr_array_remove (members, old);
  g_ptr_array_add (members,
                   cl_member_new (asking->host, asking->disk, asking->address,
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
  GPtrArray *members = cl_members_copy (core->members);
  ClMember *old = cl_find_member (members, host);
  if (old == NULL || members->len == 1 || strcmp (host, core->host) == 0)
    {
      g_ptr_array_unref (members);
      return gm_fail (status, GM_NOT_FOUND,
                      "%s is not a control host that can be removed", host);
    }
  g_ptr_array_remove (members, old);
  return change_members (core, now, members, status);
}

/* Since when MEMBER has said nothing to this leader.  */
static GmTime
silent_since (ClCore *core, const ClMember *member)
{
  return MAX (cl_progress_of (core, member->host)->acked, core->lead_since);
}

/* Voters, this host among them, that answered within an election.  */
static guint
count_live (ClCore *core, GmTime now)
{
  guint live = 0;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (core->members, i);
      gboolean self = strcmp (m->host, core->host) == 0;
      if (m->voter
          && (self
              || now < cl_progress_of (core, m->host)->acked + CL_ELECTION_MIN
                           + CL_ELECTION_SPREAD))
        live++;
    }
  return live;
}

void
cl_remove_gone (ClCore *core, GmTime now)
{
  guint voters = cl_voter_count (core);
  const ClMember *gone = NULL;
  if (!core->unique_hosts || !cl_members_settled (core)
      || !cl_commits_own_term (core))
    return;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (core->members, i);
      GmTime patience = m->voter && voters % 2 == 0 ? CL_GONE_EVEN : CL_GONE;
      if (strcmp (m->host, core->host) != 0
          && now >= silent_since (core, m) + patience
          && (gone == NULL
              || silent_since (core, m) < silent_since (core, gone)))
        gone = m;
    }
  guint least = MAX (core->voters_least, VOTERS_LEFT);
  if (gone == NULL || (gone->voter && count_live (core, now) < least))
    return;
  g_autofree char *host = g_strdup (gone->host);
  cl_remove (core, now, host, NULL);
}
