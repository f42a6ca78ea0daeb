/* What a load measured: answers, latencies and gaps by label.  */
#pragma once
#include "base/kind.h"

typedef struct LoadReport LoadReport;

LoadReport *load_report_new (void);
void load_report_free (LoadReport *report);
/* Notes an answer of KIND to a request of LABEL sent at STARTED and answered
   at ENDED, in seconds since the load began.  */
void load_report_add (LoadReport *report, const char *label, GmKind kind,
                      double started, double ended);
/* Prints percentiles, refusals, gaps and a text histogram by label, or JSON.
 */
void load_report_print (const LoadReport *report, gboolean json);
/* Writes a histogram of latencies as SVG to PATH.  */
GmKind load_report_svg (const LoadReport *report, const char *path,
                        GmStatus *status);
