/* Internal interface of lib/clog.

   member.c: entries and members.  replicate.c: log replication on the leader
   and on followers.  election.c: terms and votes.  change.c: membership
   changes.  clog.c: opening, proposing, snapshots, timers.  */
#pragma once
#include "clog.h"

/* Per-member state of a leader or candidate.  */
typedef struct
{
  guint64 next_index;   /* next entry to send; those from match_index + 1 on
                           were sent and are not acknowledged yet */
  guint64 match_index;  /* last entry known to be replicated */
  guint64 peer_sent_at; /* peer's clock; echoed back to the peer */
  GmTime acked_at;      /* own send time of the latest acknowledged message */
  GmTime rewound_at;    /* when next_index was last set back */
  GmTime snapshot_sent_at; /* 0: no snapshot in flight */
  gboolean vote_granted;
  gboolean probe_echoed; /* an echo that yields a stamp was sent */
} ClProgress;

struct ClCore
{
  char *host;
  char *disk;
  char *address;
  ClStore *store;
  GmRandom random;
  GmStatus failure;   /* of the store; GM_OK: it can be written */
  GmTime restore_due; /* when to write to the failed store again */

  ClRole role;
  guint64 term;
  char *voted_for;
  char *leader;
  GPtrArray *entries; /* ClEntry *, from base_index + 1 on */
  guint64 base_index; /* index before the first kept entry */
  guint64 base_term;
  guint64 snapshot_index;
  guint64 snapshot_term;
  GBytes *snapshot;
  GPtrArray *snapshot_members;
  gboolean snapshot_delivered;
  guint64 commit;
  guint64 applied;
  guint64 trailing_entries; /* entries kept behind a snapshot */
  gboolean unique_hosts;
  guint min_voters;

  GPtrArray *members;
  guint64 members_index;     /* index of the entry that set members */
  GHashTable *progress;      /* host -> ClProgress */
  GHashTable *join_requests; /* host -> ClMember */
  GPtrArray *peers;          /* char *; hosts to ask for admission */

  GmTime leader_heard_at;
  GmTime election_due;
  guint elections; /* called by this host since it last heard of a leader */
  gboolean had_first_election; /* since it started */
  GmTime heartbeat_due;
  GmTime join_due;
  GmTime stamp;
  GmTime opened_at;
  guint64 probe_offset; /* added to probe times; random per process */
  GmTime leader_since;
  GQueue outbox; /* ClOutgoingMessage * */
};

/* member.c  */
/* Returns a new member; free it with cl_member_free.  */
ClMember *cl_member_new (const char *host, const char *disk,
                         const char *address, gboolean voter);
/* Returns an empty array that owns its members.  */
GPtrArray *cl_members_new (void);
/* Returns a deep copy of MEMBERS.  */
GPtrArray *cl_members_copy (const GPtrArray *members);
/* Returns the member of HOST, or NULL.  */
ClMember *cl_find_member (const GPtrArray *members, const char *host);
/* Returns the member of HOST if its disk is DISK, else NULL.  */
ClMember *cl_find_member_by_disk (const ClCore *core, const char *host,
                                  const char *disk);
/* Returns the number of voters.  */
guint cl_voter_count (const ClCore *core);
/* Recomputes the members from the snapshot and the entries after it.  */
void cl_refresh_members (ClCore *core);
/* Returns the members as of the entry at INDEX.  */
GPtrArray *cl_members_at (const ClCore *core, guint64 index);

/* replicate.c  */
/* Returns the progress of HOST; creates it if it does not exist.  */
ClProgress *cl_get_progress (ClCore *core, const char *host);
/* Returns the time, on this host's clock, up to which a majority of voters has
   acknowledged the messages of this leader.  */
GmTime cl_quorum_confirmed_at (ClCore *core, GmTime now);
/* Returns whether an entry of the current term is committed.  Until then a new
   leader does not know what earlier terms committed, so it issues no stamps
   and changes no members.  */
gboolean cl_has_committed_own_term (const ClCore *core);
/* Sends every other member the entries that it lacks, or a heartbeat.  */
void cl_broadcast (ClCore *core, GmTime now);
/* Advances the commit index to the last entry that a majority of voters
   holds.  */
void cl_advance_commit (ClCore *core, GmTime now);
/* Stores and syncs COUNT entries of the current term at once, then adds them
   to the log; takes ownership.  FALSE if the store failed.  */
gboolean cl_append_entries (ClCore *core, ClEntry **entries, guint count);
/* Appends an entry with the current term.  FALSE if the store failed.  */
gboolean cl_append_entry (ClCore *core, ClEntryType type, GBytes *data);
/* Handlers of replication messages.  */
void cl_receive_append (ClCore *core, GmTime now, const struct wm_append *m);
void cl_receive_install (ClCore *core, GmTime now, const struct wm_install *m);
void cl_receive_appended (ClCore *core, GmTime now,
                          const struct wm_appended *m);

/* election.c  */
/* Sets the election timer to a random timeout from NOW.  */
void cl_reset_election_timer (ClCore *core, GmTime now);
/* Stores TERM and VOTE.  FALSE if the store failed.  */
gboolean cl_save_vote (ClCore *core, guint64 term, const char *vote);
/* Becomes a follower of LEADER, which may be NULL, in TERM.  */
void cl_become_follower (ClCore *core, GmTime now, guint64 term,
                         const char *leader);
/* Starts an election, or with PRE a pre-vote.  */
void cl_campaign (ClCore *core, GmTime now, gboolean pre);
/* Handlers of election messages.  */
void cl_receive_vote_ask (ClCore *core, GmTime now,
                          const struct wm_vote_ask *m);
void cl_receive_vote (ClCore *core, GmTime now, const struct wm_vote *m);

/* change.c  */
/* Makes the learner MEMBER a voter if it has all committed entries.  */
void cl_promote_learner (ClCore *core, GmTime now, const ClMember *member);
/* On the leader: removes the member that has been unresponsive longest, if it
   exceeded its timeout and enough voters remain.  */
void cl_remove_unresponsive (ClCore *core, GmTime now);
/* Handles a host's request to join.  */
void cl_receive_join (ClCore *core, GmTime now, const struct wm_join *m);

/* clog.c  */
/* Returns the entry at INDEX, or NULL.  */
ClEntry *cl_entry_at (const ClCore *core, guint64 index);
/* Returns the term of the entry at INDEX, or 0 if it is not in the log.  */
guint64 cl_term_at (const ClCore *core, guint64 index);
/* Returns whether a store operation succeeded.  After a fault, what the store
   holds is unknown; this host takes no part until it has been restored.  */
gboolean cl_check_stored (ClCore *core, GmKind kind, const GmStatus *status);
/* Queues a copy of MESSAGE for the host TO.  */
void cl_queue_send (ClCore *core, const char *to, const WmMessage *message);
