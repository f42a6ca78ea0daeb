#include "core.h"
#include "base/mutant.h"
#include <string.h>

/* Lower bound for the responsive voters that an automatic removal must leave.
   With two voters, a single lost disk would lose the quorum.  */
#define REMOVAL_MIN_VOTERS 3

static GmKind
change_members (ClCore *core, GmTime now, GPtrArray *members, GmStatus *status)
{
  g_autoptr (GPtrArray) owned = members;
  if (core->members_index > core->commit || !cl_has_committed_own_term (core))
    return gm_fail (status, GM_UNAVAILABLE,
                    "another change of the control hosts is in progress");
  g_autoptr (GBytes) data = cl_members_encode (owned);
  if (!cl_append_entry (core, CL_MEMBERS, data))
    return cl_failure (core, status);
  cl_broadcast (core, now);
  cl_advance_commit (core, now);
  return gm_ok (status);
}

void
cl_promote_learner (ClCore *core, GmTime now, const ClMember *member)
{
  const ClProgress *progress = cl_get_progress (core, member->host);
  if (member->voter || progress->match_index < core->commit
      || core->members_index > core->commit
      || !cl_has_committed_own_term (core))
    return;
  GPtrArray *members = cl_members_copy (core->members);
  cl_find_member (members, member->host)->voter = TRUE;
  change_members (core, now, members, NULL);
}

/* Forwards a join request to the leader, because a joining host knows some
   control hosts but not which one leads.  A request is forwarded only once. */
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
  if (cl_find_member_by_disk (core, m->from, m->disk) != NULL)
    return;
  ClMember *asking = cl_member_new (m->from, m->disk, m->address, FALSE);
  g_hash_table_replace (core->join_requests, asking->host, asking);
  /* A new host is admitted automatically.  A member with a different disk
     needs an operator, who knows whether the old disk is lost.  If host names
     are unique, only one process uses the host name and no longer has the old
     disk, so no operator is needed.  */
  if (cl_find_member (core->members, m->from) == NULL || core->unique_hosts)
    cl_admit (core, now, m->from, NULL);
}

GmKind
cl_admit (ClCore *core, GmTime now, const char *host, GmStatus *status)
{
  if (core->role != CL_LEADER)
    return gm_fail (status, GM_UNAVAILABLE, "this host does not lead");
  const ClMember *asking = g_hash_table_lookup (core->join_requests, host);
  if (asking == NULL)
    return gm_fail (status, GM_NOT_FOUND, "%s has not asked to join", host);
  /* An earlier leader may have admitted the host already.  */
  if (cl_find_member_by_disk (core, asking->host, asking->disk) != NULL)
    {
      g_hash_table_remove (core->join_requests, host);
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
  g_hash_table_remove (core->join_requests, host);
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

/* Returns when the latest message that MEMBER acknowledged was sent, or when
   this host became leader if that is later.  */
static GmTime
last_contact (ClCore *core, const ClMember *member)
{
  return MAX (cl_get_progress (core, member->host)->acked_at,
              core->leader_since);
}

/* Counts this host and the voters that responded within the maximum election
   timeout.  */
static guint
count_responsive_voters (ClCore *core, GmTime now)
{
  guint live = 0;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (core->members, i);
      gboolean self = strcmp (m->host, core->host) == 0;
      if (m->voter
          && (self
              || now < cl_get_progress (core, m->host)->acked_at
                           + CL_ELECTION_MIN + CL_ELECTION_JITTER))
        live++;
    }
  return live;
}

void
cl_remove_unresponsive (ClCore *core, GmTime now)
{
  guint voters = cl_voter_count (core);
  const ClMember *gone = NULL;
  if (!core->unique_hosts || !cl_members_committed (core)
      || !cl_has_committed_own_term (core))
    return;
  for (guint i = 0; i < core->members->len; i++)
    {
      const ClMember *m = g_ptr_array_index (core->members, i);
      GmTime patience = m->voter && voters % 2 == 0 ? CL_EVEN_VOTER_TIMEOUT
                                                    : CL_MEMBER_TIMEOUT;
      if (strcmp (m->host, core->host) != 0
          && now >= last_contact (core, m) + patience
          && (gone == NULL
              || last_contact (core, m) < last_contact (core, gone)))
        gone = m;
    }
  guint least = MAX (core->min_voters, REMOVAL_MIN_VOTERS);
  if (gone == NULL
      || (gone->voter && count_responsive_voters (core, now) < least))
    return;
  g_autofree char *host = g_strdup (gone->host);
  cl_remove (core, now, host, NULL);
}
