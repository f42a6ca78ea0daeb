/* Histograms of times, in the Prometheus text form.

   One closed list; each is kept by a label, such as a database's id, of which
   a process has few.  Not thread-safe, as the counters.  */
#pragma once
#include <glib.h>

/* name, label, help text  */
#define HG_LIST(X)                                                            \
  X (statement_seconds, "outcome",                                            \
     "from a statement's arrival to its answer, by rank and kind of answer")  \
  X (queue_seconds, "database", "what statements waited for a slot")          \
  X (database_seconds, "database", "what statements took at a database")      \
  X (connect_seconds, "database", "what new connections took")                \
  X (peer_seconds, "host",                                                    \
     "from a statement's sending to another host's "                          \
     "answer")                                                                \
  X (way_seconds, "host",                                                     \
     "of that, what neither its queue nor its database took")                 \
  X (sync_seconds, "file", "what the control log's syncs took")

typedef enum
{
#define X(name, label, help) HG_##name,
  HG_LIST (X)
#undef X
      HG_COUNT
} HgHistogram;

/* Labels of one histogram; what comes after them is counted as "other".  */
#define HG_LABELS_MAX 64

/* Adds a time of MICROSECONDS, negative ones as 0, under LABEL.  */
void hg_observe (HgHistogram histogram, const char *label,
                 gint64 microseconds);
/* How many times were added to HISTOGRAM under LABEL.  */
guint64 hg_count (HgHistogram histogram, const char *label);
/* Appends all histograms to OUT.  */
void hg_print (GString *out);
