/* The control log: a replicated log among the control hosts, as a pure state
   machine.

   The log is based on Raft: leader election with pre-vote and check-quorum,
   one membership change at a time, learners that become voters once they have
   caught up, and snapshots.  A member is a host together with the identity of
   its data folder.  A host that lost its disk is therefore a new member; it
   neither votes nor counts towards a quorum until an operator has admitted the
   new disk.

   The core reads no clock and opens no socket.  Every call takes the current
   time.  The caller fetches messages to send with cl_take_outgoing and entries
   to apply with cl_take_committed.  Storage is synced before any message that
   depends on it is queued.  */
#pragma once
#include "base/clock.h"
#include "wire/message.h"

#define CL_HEARTBEAT (50 * GM_MS)
#define CL_ELECTION_MIN (300 * GM_MS)
#define CL_ELECTION_JITTER (300 * GM_MS)
/* The first election timeout of a host that has started.  It can be short: if
   there is a leader, the other voters refuse the pre-vote.  The minimum is ten
   round trips within a region; the jitter keeps three candidates a round trip
   apart.  Only the first: where votes take longer than this to be synced, the
   candidates would take them from each other for ever.  */
#define CL_FIRST_ELECTION_MIN (20 * GM_MS)
#define CL_FIRST_ELECTION_JITTER (60 * GM_MS)
/* Each election in a row that brings no leader doubles the jitter, so often at
   most: up to 4.8 s, more than votes and a first entry take on a disk with
   syncs of some hundred milliseconds.  */
#define CL_BACKOFF_MAX 4
#define CL_JOIN_INTERVAL (200 * GM_MS)
/* A voter that hears no leader for this long asks to join again, since it may
   have been removed while it was unreachable.  Longer than two elections.  */
#define CL_REJOIN_TIMEOUT (1200 * GM_MS)
/* A member that does not respond for this long is removed.  Longer than the
   12 s that a deployment has to recover from the loss of all its hosts.  */
#define CL_MEMBER_TIMEOUT (15 * GM_SECOND)
/* The same timeout for a voter while the number of voters is even, because one
   voter fewer tolerates as many failures.  Longer than a process takes to
   restart.  */
#define CL_EVEN_VOTER_TIMEOUT (3 * GM_SECOND)
/* Entries kept that a snapshot already covers, so that a follower that lags by
   a second of heavy load needs no snapshot.  */
#define CL_TRAILING_ENTRIES 64
/* Of entries in one message.  Also the size of the entries in flight to a
   member from which on it is sent no more until it acknowledges some.  */
#define CL_BATCH_MAX_BYTES (1024 * 1024)
/* Between two attempts to write to a store that has failed.  Longer than an
   election takes, so that a disk that fails at times leaves the lead to
   others.  */
#define CL_STORE_RETRY (1 * GM_SECOND)

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

/* The contents of a store.  The receiver owns all members.  */
typedef struct
{
  guint64 term;
  char *vote;
  guint64 snapshot_index;
  guint64 snapshot_term;
  GBytes *members;    /* list of REC_MEMBER at the snapshot, or NULL */
  GBytes *data;       /* state at the snapshot, or NULL */
  GPtrArray *entries; /* ClEntry * */
} ClStoreContents;

typedef struct ClStore ClStore;

/* Operations of a store.  Each returns only once the data is synced.  */
typedef struct
{
  GmKind (*load) (ClStore *store, ClStoreContents *loaded, GmStatus *status);
  GmKind (*vote) (ClStore *store, guint64 term, const char *vote,
                  GmStatus *status);
  GmKind (*append) (ClStore *store, ClEntry *const *entries, guint count,
                    GmStatus *status);
  /* Drops the entries from index FROM on.  */
  GmKind (*truncate) (ClStore *store, guint64 from, GmStatus *status);
  /* Replaces the snapshot, then drops the entries before index FIRST.  */
  GmKind (*snapshot) (ClStore *store, const ClStoreContents *snapshot,
                      guint64 first, GmStatus *status);
  /* Replaces everything with CONTENTS, whatever the operations before have
     left behind.  */
  GmKind (*restore) (ClStore *store, const ClStoreContents *contents,
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

/* A message to send.  The receiver owns both members.  */
typedef struct
{
  char *to; /* destination host */
  WmMessage message;
} ClOutgoingMessage;

/* Opens the log in STORE for the member (HOST, DISK) reachable at ADDRESS.
   SEED initializes the random election timeouts.  Borrows STORE.  Returns NULL
   and sets STATUS if the store can't be read.  */
ClCore *cl_open (const char *host, const char *disk, const char *address,
                 ClStore *store, guint64 seed, GmTime now, GmStatus *status);
/* Frees CORE but not its store.  */
void cl_free (ClCore *core);
/* Starts a new group whose only voter is this host.  GM_CONFLICT if the log is
   not empty.  */
GmKind cl_bootstrap (ClCore *core, GmTime now, GmStatus *status);
/* Sets the control hosts that a host outside the group asks for admission, as
   listed in the settings.  Copies HOSTS.  */
void cl_set_peers (ClCore *core, const char *const *hosts, guint count);

/* Declares that host names are unique.  A host that asks to join with another
   disk must then have lost the old disk and is admitted without an operator.
   Members that do not respond are removed, but a voter only while at least
   MIN_VOTERS voters, and never fewer than three, are responsive.  A removed
   member that was only unreachable rejoins by itself.  */
void cl_set_unique_hosts (ClCore *core, guint min_voters);

/* Sets the number of entries kept behind a snapshot to ENTRIES, instead of
   CL_TRAILING_ENTRIES.  A snapshot is due after twice as many entries.  */
void cl_set_trailing_entries (ClCore *core, guint64 entries);

/* Runs the timers that are due at NOW.  */
void cl_tick (ClCore *core, GmTime now);
/* Returns the time at which cl_tick is due next.  */
GmTime cl_due (const ClCore *core);
/* Handles a message of the control log; ignores all other types.  */
void cl_receive (ClCore *core, GmTime now, const WmMessage *message);
/* Appends the commands COMMANDS (GBytes *) with one sync and stores the index
   of the first in INDEX.  Errors as for cl_propose.  */
GmKind cl_propose_all (ClCore *core, GmTime now, const GPtrArray *commands,
                       guint64 *index, GmStatus *status);
/* Appends COMMAND and stores its index in INDEX.  GM_UNAVAILABLE if this host
   is not the leader.  */
GmKind cl_propose (ClCore *core, GmTime now, GBytes *command, guint64 *index,
                   GmStatus *status);
/* Admits the disk with which HOST has asked to join, in place of its old disk.
   GM_NOT_FOUND if HOST has not asked; GM_UNAVAILABLE if this host is not the
   leader or another membership change is in progress.  */
GmKind cl_admit (ClCore *core, GmTime now, const char *host, GmStatus *status);
/* Removes HOST from the group.  GM_NOT_FOUND if HOST is not a member, is this
   host or is the last member; GM_UNAVAILABLE as for cl_admit.  */
GmKind cl_remove (ClCore *core, GmTime now, const char *host,
                  GmStatus *status);

/* Takes the next message to send.  FALSE if there is none.  */
gboolean cl_take_outgoing (ClCore *core, ClOutgoingMessage *send);
/* Returns the next committed entry to apply, borrowed until the next call, or
   NULL if there is none.  */
const ClEntry *cl_take_committed (ClCore *core);
/* Returns TRUE once after a snapshot was loaded or received that replaces the
   applied state.  Stores the state, borrowed until the next call, in DATA and
   the index of its last entry in INDEX.  Call before cl_take_committed.  */
gboolean cl_take_snapshot (ClCore *core, GBytes **data, guint64 *index);
/* Returns whether enough entries were applied since the last snapshot to store
   a new one.  */
gboolean cl_wants_snapshot (const ClCore *core);
/* Stores DATA, the state after all entries taken so far, as the snapshot and
   drops old entries.  */
void cl_compact (ClCore *core, GBytes *data);

ClRole cl_role (const ClCore *core);
guint64 cl_term (const ClCore *core);
/* Returns the host of the leader, or NULL if this host knows no leader.  */
const char *cl_leader (const ClCore *core);
guint64 cl_commit (const ClCore *core);
guint64 cl_last_index (const ClCore *core);
/* Returns a time on this host's clock at which a quorum had confirmed this
   host's view.  Everything committed before that time is among the entries
   that cl_take_committed has returned or will return.  */
GmTime cl_stamp (ClCore *core, GmTime now);
/* Returns the number of voters, or 0 while a membership change is not yet
   committed.  */
guint cl_committed_voters (const ClCore *core);
/* Returns the members (ClMember *), owned by CORE.  */
const GPtrArray *cl_members (const ClCore *core);
/* Returns whether the latest membership entry in this host's log is
   committed.  */
gboolean cl_members_committed (const ClCore *core);
/* Returns whether this host with this disk is a voter.  */
gboolean cl_is_voter (const ClCore *core);
/* Returns GM_OK, or the kind of the fault that keeps the log from being
   written, and stores its message in STATUS.  Meanwhile this host takes no
   part in the group: it neither votes nor follows nor leads.  It takes part
   again once everything that it has confirmed has been written anew.  */
GmKind cl_failure (const ClCore *core, GmStatus *status);
/* Returns the committed entries from index FIRST up to TO, encoded as a list
   of REC_ENTRY for a subscriber; stops early after CL_BATCH_MAX_BYTES.  NULL
   if the log no longer holds FIRST.  */
GBytes *cl_entries_from (const ClCore *core, guint64 first, guint64 to);

void cl_entry_free (ClEntry *entry);
void cl_member_free (ClMember *member);
void cl_store_contents_clear (ClStoreContents *loaded);
/* Converts an array of ClMember * to and from a list of REC_MEMBER.  */
GBytes *cl_members_encode (const GPtrArray *members);
GPtrArray *cl_members_decode (GBytes *list);
/* Returns ENTRY as a WmMessage that borrows its data.  */
WmMessage cl_entry_message (const ClEntry *entry);
ClEntry *cl_entry_new (guint64 index, guint64 term, ClEntryType type,
                       GBytes *data);
