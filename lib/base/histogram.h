/* Histograms of durations, printed in the Prometheus text format.

   HG_LIST lists all histograms.  Each has one label, such as a database's id,
   and keeps a series for each of the label's values.  Not thread-safe, like
   the counters in event.h.  */
#pragma once
#include <glib.h>

/* name, label, help text  */
#define HG_LIST(X)                                                            \
  X (statement_seconds, "outcome",                                            \
     "time from a statement's arrival to its answer, by rank and outcome")    \
  X (queue_seconds, "database", "time statements waited for a slot")          \
  X (database_seconds, "database", "time statements took at the database")    \
  X (connect_seconds, "database", "time to open a database connection")       \
  X (peer_seconds, "host",                                                    \
     "time from sending a statement to another host to its answer")           \
  X (way_seconds, "host",                                                     \
     "part of peer_seconds spent in neither the queue nor the database")      \
  X (sync_seconds, "file", "time syncs of the control log took")

typedef enum
{
#define X(name, label, help) HG_##name,
  HG_LIST (X)
#undef X
      HG_COUNT
} HgHistogram;

/* Label values of one histogram; further values are counted as "other".  */
#define HG_LABELS_MAX 64

/* Adds a duration of MICROSECONDS to HISTOGRAM under the label value LABEL.  A
   negative duration counts as 0.  */
void hg_observe (HgHistogram histogram, const char *label,
                 gint64 microseconds);
/* Returns the number of durations added to HISTOGRAM under LABEL.  */
guint64 hg_count (HgHistogram histogram, const char *label);
/* Appends all histograms that have data to OUT.  */
void hg_print (GString *out);
