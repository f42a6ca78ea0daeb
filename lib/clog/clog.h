/* The control log: a replicated log among the control hosts, as a pure state
   machine.

   Leader election with pre-vote and check-quorum, one change of membership at
   a time, learners that become voters once they have caught up, and snapshots.
   A member is a host together with the identity of its data folder: a host
   that lost its disk is another member, and neither votes nor is counted until
   an operator has admitted the new disk.

   The core reads no clock and owns no socket.  Every call takes the time;
   messages to send are taken with cl_take_send, entries to apply with
   cl_take_committed.  Storage is synced before any message that depends on it
   is queued.  */
#pragma once
#include "base/clock.h"
#include "wire/message.h"

#define CL_HEARTBEAT (50 * GM_MS)
#define CL_ELECTION_MIN (300 * GM_MS)
#define CL_ELECTION_SPREAD (300 * GM_MS)
/* A host that has heard no leader since it started need not wait for one to
   fall silent: where one lives, its first vote is refused.  */
#define CL_FIRST_ELECTION_MIN (20 * GM_MS) /* ten trips within a region */
#define CL_FIRST_ELECTION_SPREAD                                              \
  (60 * GM_MS) /* three candidates a trip apart */
#define CL_JOIN_INTERVAL (200 * GM_MS)
/* A voter that hears no leader for so long asks to join: it may have been
   removed while it was cut off.  Two elections take less.  */
#define CL_ALONE (1200 * GM_MS)
/* A member that is silent for so long is gone: a deployment has 12 s to
   recover from the loss of all its hosts.  */
#define CL_GONE (15 * GM_SECOND)
/* The same where the voters are even in number, so that one fewer bears as
   many losses: longer than a process takes to start again.  */
#define CL_GONE_EVEN (3 * GM_SECOND)
#define CL_KEEP_ENTRIES                                                       \
  64 /* entries kept behind a snapshot: what a host is                        \
        behind after a second of a busy day */
#define CL_BATCH_BYTES (1024 * 1024)

typedef enum
{
  CL_COMMAND,
  CL_MEMBERS,
  CL_NOOP
} ClEntryType;

typedef struct
{
  guint64 index;
  guint64 term;
  ClEntryType type;
  GBytes *data;
} ClEntry;

typedef struct
{
  char *host;
  char *disk;
  char *address;
  gboolean voter;
} ClMember;

/* What storage held at start.  The arrays are owned by the receiver.  */
typedef struct
{
  guint64 term;
  char *vote;
  guint64 snapshot_index;
  guint64 snapshot_term;
  GBytes *members;    /* list of REC_MEMBER at the snapshot, or NULL */
  GBytes *data;       /* state at the snapshot, or NULL */
  GPtrArray *entries; /* ClEntry * */
} ClLoaded;

typedef struct ClStore ClStore;

/* Calls of a store.  Each returns only once the data is synced.  */
typedef struct
{
  GmKind (*load) (ClStore *store, ClLoaded *loaded, GmStatus *status);
  GmKind (*vote) (ClStore *store, guint64 term, const char *vote,
                  GmStatus *status);
  GmKind (*append) (ClStore *store, ClEntry *const *entries, guint count,
                    GmStatus *status);
  /* Drops entries from index FROM on.  */
  GmKind (*truncate) (ClStore *store, guint64 from, GmStatus *status);
  /* Replaces the snapshot, then drops entries before FIRST.  */
  GmKind (*snapshot) (ClStore *store, const ClLoaded *snapshot, guint64 first,
                      GmStatus *status);
  void (*free) (ClStore *store);
} ClStoreClass;

struct ClStore
{
  const ClStoreClass *class;
};

typedef enum
{
  CL_FOLLOWER,
  CL_PRECANDIDATE,
  CL_CANDIDATE,
  CL_LEADER
} ClRole;

typedef struct ClCore ClCore;

/* A message to send; the receiver of the struct owns both members.  */
typedef struct
{
  char *to; /* host */
  WmMessage message;
} ClSend;

/* Opens the log in STORE for the member (HOST, DISK) reachable at ADDRESS.
   Borrows STORE.  NULL and STATUS when the store can't be read.  */
ClCore *cl_open (const char *host, const char *disk, const char *address,
                 ClStore *store, guint64 seed, GmTime now, GmStatus *status);
/* Frees CORE, not its store.  */
void cl_free (ClCore *core);
/* Makes an empty log the log of a new group whose only voter is this host.
   GM_CONFLICT when the log is not empty.  */
GmKind cl_bootstrap (ClCore *core, GmTime now, GmStatus *status);
/* Names the control hosts of the settings, which a host outside the group asks
   to join.  Borrows nothing.  */
void cl_set_peers (ClCore *core, const char *const *hosts, guint count);

/* Host names are unique: a host that asks to join with another disk has lost
   the old one and is admitted without an operator.  Members that are gone are
   removed, while VOTERS_LEAST voters, and three, are left and answer; one that
   was cut off comes back by itself.  */
void cl_set_unique_hosts (ClCore *core, guint voters_least);

/* Keeps ENTRIES behind a snapshot, instead of CL_KEEP_ENTRIES; a snapshot is
   wanted after twice as many.  */
void cl_set_keep (ClCore *core, guint64 entries);

/* Advances timers.  */
void cl_tick (ClCore *core, GmTime now);
/* When cl_tick is due next.  */
GmTime cl_due (const ClCore *core);
/* Takes one of the control log's messages.  */
void cl_receive (ClCore *core, GmTime now, const WmMessage *message);
/* Appends COMMAND; its index is stored in INDEX.  GM_UNAVAILABLE when this
   host doesn't lead.  */
GmKind cl_propose (ClCore *core, GmTime now, GBytes *command, guint64 *index,
                   GmStatus *status);
/* Admits the disk that HOST has asked to join with, in place of its lost one.
   GM_NOT_FOUND when HOST hasn't asked, GM_UNAVAILABLE when this host doesn't
   lead or another change is under way.  */
GmKind cl_admit (ClCore *core, GmTime now, const char *host, GmStatus *status);
/* Removes HOST from the group, with the same failures.  */
GmKind cl_remove (ClCore *core, GmTime now, const char *host,
                  GmStatus *status);

/* Takes the next message to send; FALSE when there is none.  */
gboolean cl_take_send (ClCore *core, ClSend *send);
/* The next committed entry to apply, borrowed until the next call; NULL when
   there is none.  */
const ClEntry *cl_take_committed (ClCore *core);
/* When a snapshot came that replaces the applied state: TRUE once, with the
   state, borrowed until the next call.  To be asked before
   cl_take_committed.  */
gboolean cl_take_snapshot (ClCore *core, GBytes **data, guint64 *index);
/* Whether enough entries were applied since the last snapshot.  */
gboolean cl_wants_snapshot (const ClCore *core);
/* Stores DATA, the state after all entries taken so far, as snapshot.  */
void cl_compact (ClCore *core, GBytes *data);

ClRole cl_role (const ClCore *core);
guint64 cl_term (const ClCore *core);
/* The leader's host as this host knows it, or NULL.  */
const char *cl_leader (const ClCore *core);
guint64 cl_commit (const ClCore *core);
guint64 cl_last_index (const ClCore *core);
/* Time at or before which a quorum had confirmed this host's view, on this
   host's clock: what was committed before then is among the entries that
   cl_take_committed has given or will give.  */
GmTime cl_stamp (ClCore *core, GmTime now);
/* Voters of the committed members; 0 while a change is under way.  */
guint cl_settled_voters (const ClCore *core);
/* Members, ClMember *, owned by CORE.  */
const GPtrArray *cl_members (const ClCore *core);
/* Whether the members are committed, and not only in this host's log.  */
gboolean cl_members_settled (const ClCore *core);
/* Whether this host with this disk is a voter.  */
gboolean cl_is_voter (const ClCore *core);
/* GM_OK, or why the log stopped for good; the message is in STATUS.  */
GmKind cl_failed (const ClCore *core, GmStatus *status);
/* Entries from index FIRST that are committed, encoded as list, for a
   subscriber; NULL when the log no longer holds FIRST.  */
GBytes *cl_entries_from (const ClCore *core, guint64 first, guint64 to);

void cl_entry_free (ClEntry *entry);
void cl_member_free (ClMember *member);
void cl_loaded_clear (ClLoaded *loaded);
/* List of REC_MEMBER to and from an array of ClMember *.  */
GBytes *cl_members_encode (const GPtrArray *members);
GPtrArray *cl_members_decode (GBytes *list);
/* A WmMessage view of ENTRY that borrows its data.  */
WmMessage cl_entry_message (const ClEntry *entry);
ClEntry *cl_entry_new (guint64 index, guint64 term, ClEntryType type,
                       GBytes *data);
