/* Results of a load: answers, latencies and gaps between good answers, by
   label.  */
#pragma once
#include "base/kind.h"

typedef struct LoadReport LoadReport;

LoadReport *load_report_new (void);
void load_report_free (LoadReport *report);
/* Records an answer of KIND to a request of LABEL that was sent at STARTED and
   answered at ENDED, in seconds since the load began.  */
void load_report_add (LoadReport *report, const char *label, GmKind kind,
                      double started, double ended);
/* Prints percentiles, counts of answers, the longest gap and a text histogram
   for each label, or JSON without the histogram when JSON is TRUE.  */
void load_report_print (const LoadReport *report, gboolean json);
/* Writes a latency histogram for each label as SVG to PATH.  Returns GM_IO and
   sets STATUS when the file can't be written.  */
GmKind load_report_svg (const LoadReport *report, const char *path,
                        GmStatus *status);
