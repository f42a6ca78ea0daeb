/* The state of the stand-in database: a log whose entries have terms, and the
   data that results from applying the log.

   Replication is asynchronous: a replica receives an entry at once and applies
   it after a settable lag; reads see applied entries only.  The store does no
   I/O, and callers pass in the time.  */
#pragma once
#include "base/clock.h"
#include "base/kind.h"
#include "failover/failover.h"

typedef struct StStore StStore;

/* One change: "put", "append" or "request", with a key and a value.  */
typedef struct
{
  const char *operation;
  const char *key;
  const char *value;
} StChange;

StStore *st_new (void);
void st_free (StStore *store);
/* Sets the delay from receiving an entry to applying it.  */
void st_set_lag (StStore *store, GmTime lag);
/* Makes the store the group's first primary, in term 1.  */
void st_start_primary (StStore *store, GmTime now);
/* Stores the role, term and positions of the store in STATUS.  */
void st_status (StStore *store, GmTime now, FoDatabaseStatus *status);

/* Seals the store in TERM: it stops being primary and takes no more entries
   from earlier terms.  Does nothing unless TERM is above the store's term.  */
void st_seal (StStore *store, guint64 term);
/* Makes the store the primary of TERM, in which it must have been sealed;
   fails with GM_CONFLICT otherwise.  */
GmKind st_promote (StStore *store, GmTime now, guint64 term, GmStatus *status);
/* Makes the store a replica of ID, the primary of TERM.  Fails with
   GM_CONFLICT when the store is in a later term or is the primary of TERM.  */
GmKind st_follow (StStore *store, guint64 term, const char *id,
                  GmStatus *status);

/* Commits CHANGES as one entry.  CHANGES is encoded with wm_strings_encode,
   three strings (operation, key, value) for each change.  Fails with
   GM_UNAVAILABLE when the store is not primary, and with GM_CONFLICT when a
   request id is already recorded.  */
GmKind st_commit (StStore *store, GmTime now, GBytes *changes,
                  GmStatus *status);
/* Returns the applied value of KEY, or NULL.  The store owns the value.  */
const char *st_get (StStore *store, GmTime now, const char *key);
/* Returns the sum of the applied postings to LEDGER and stores their number in
   COUNT.  */
gint64 st_sum (StStore *store, GmTime now, const char *ledger, guint *count);
/* Returns whether the request ID is recorded.  */
gboolean st_has_request (StStore *store, GmTime now, const char *id);

/* A log entry, as sent to a replica.  */
typedef struct
{
  guint64 index;
  guint64 term;
  GBytes *changes; /* borrowed */
} StEntry;

guint64 st_term (const StStore *store);
gboolean st_is_primary (const StStore *store);
/* Stores the index and the term of the last entry, both 0 for an empty log. */
void st_last_entry (const StStore *store, guint64 *index, guint64 *term);
/* Returns the highest index up to HAVE at which this log may agree with a log
   whose last entry has the index HAVE and the term HAVE_TERM.  */
guint64 st_common_index (const StStore *store, guint64 have,
                         guint64 have_term);
/* Stores the entry at INDEX in ENTRY.  Returns FALSE when there is none.  */
gboolean st_entry (const StStore *store, guint64 index, StEntry *entry);
/* Removes the entries after INDEX, on a replica.  */
void st_truncate (StStore *store, guint64 index);
/* Appends ENTRY, which must have the next index, on a replica.  */
void st_receive (StStore *store, GmTime now, const StEntry *entry);
