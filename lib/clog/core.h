/* What the parts of the control log share; private to lib/clog.

   member.c: entries and members.  replicate.c: the leader's and the follower's
   side of the log.  election.c: terms and votes.  change.c: changes of
   membership.  clog.c: opening, proposing, snapshots, timers.  */
#pragma once
#include "clog.h"

/* What a leader knows of another member.  */
typedef struct
{
  guint64 next;
  guint64 match;
  guint64 probe_sent; /* the peer's clock, to be echoed */
  GmTime acked;       /* our clock, as echoed by the peer */
  GmTime installing;  /* when a snapshot was last sent, 0: none */
  gboolean voted;
  gboolean echoed; /* it can have a stamp of this leader */
} ClProgress;

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
  gboolean unique_hosts;
  guint voters_least;

  GPtrArray *members;
  guint64 members_index; /* entry the members come from */
  GHashTable *progress;  /* host -> ClProgress */
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

/* member.c  */
/* A member; free it with cl_member_free.  */
ClMember *cl_member_new (const char *host, const char *disk,
                         const char *address, gboolean voter);
/* An empty array that owns its members.  */
GPtrArray *cl_members_new (void);
/* A copy of MEMBERS.  */
GPtrArray *cl_members_copy (const GPtrArray *members);
/* The member of that host, or NULL.  */
ClMember *cl_find_member (const GPtrArray *members, const char *host);
/* The member that speaks as (HOST, DISK), or NULL for a disk unknown.  */
ClMember *cl_known_member (const ClCore *core, const char *host,
                           const char *disk);
/* Number of voters.  */
guint cl_voter_count (const ClCore *core);
/* Recomputes the members from the snapshot and the entries after it.  */
void cl_refresh_members (ClCore *core);
/* Members as of the entry at INDEX.  */
GPtrArray *cl_members_at (const ClCore *core, guint64 index);

/* replicate.c  */
/* What is known of HOST's log; made when it is not there.  */
ClProgress *cl_progress_of (ClCore *core, const char *host);
GmTime cl_confirmed_at (ClCore *core, GmTime now);
/* A new leader learns what earlier terms committed with its own first entry;
   before that it vouches for nothing and changes no members.  */
gboolean cl_commits_own_term (const ClCore *core);
/* Sends to every member what it lacks, or a heartbeat.  */
void cl_broadcast (ClCore *core, GmTime now);
/* Commits what a majority of voters holds.  */
void cl_advance_commit (ClCore *core, GmTime now);
/* Appends one entry of the current term.  */
gboolean cl_append_one (ClCore *core, ClEntryType type, GBytes *data);
/* The messages of replication.  */
void cl_receive_append (ClCore *core, GmTime now, const struct wm_append *m);
void cl_receive_install (ClCore *core, GmTime now, const struct wm_install *m);
void cl_receive_appended (ClCore *core, GmTime now,
                          const struct wm_appended *m);

/* election.c  */
/* Draws the next time at which an election is due.  */
void cl_reset_election (ClCore *core, GmTime now);
/* Stores TERM and VOTE.  */
gboolean cl_save_vote (ClCore *core, guint64 term, const char *vote);
/* Follows LEADER, or nobody, in TERM.  */
void cl_become_follower (ClCore *core, GmTime now, guint64 term,
                         const char *leader);
/* Asks for votes, or first, with PRE, whether they would be given.  */
void cl_campaign (ClCore *core, GmTime now, gboolean pre);
/* The messages of elections.  */
void cl_receive_vote_ask (ClCore *core, GmTime now,
                          const struct wm_vote_ask *m);
void cl_receive_vote (ClCore *core, GmTime now, const struct wm_vote *m);

/* change.c  */
/* Makes a learner that has all committed entries a voter.  */
void cl_promote_learner (ClCore *core, GmTime now, const ClMember *member);
/* Removes a member that is gone, at the leader, where that is safe.  */
void cl_remove_gone (ClCore *core, GmTime now);
/* A host asks to join.  */
void cl_receive_join (ClCore *core, GmTime now, const struct wm_join *m);

/* clog.c  */
/* The entry at INDEX, or NULL.  */
ClEntry *cl_entry_at (const ClCore *core, guint64 index);
/* Term of the entry at INDEX; 0 when the log doesn't know it.  */
guint64 cl_term_at (const ClCore *core, guint64 index);
/* Checks the outcome of a store call; a fault stops this host's log.  */
gboolean cl_stored (ClCore *core, GmKind kind, const GmStatus *status);
/* Queues a copy of MESSAGE for the host TO.  */
void cl_queue_send (ClCore *core, const char *to, const WmMessage *message);
