/* How evenly the customers of a host's queues are served: the share of the
   requests answered for the tenth of customers that is served worst.

   Counts are kept by customer for one period at a time, for a bounded number
   of customers.  */
#pragma once
#include "base/clock.h"

#define SV_PERIOD (10 * GM_SECOND)
/* Customers that are counted in a period; further ones are left out.  */
#define SV_CUSTOMERS_MAX 1024

typedef struct SvCounts SvCounts;

SvCounts *sv_new (void);
void sv_free (SvCounts *counts);
/* Records that a request of CUSTOMER was answered, or else refused.  */
void sv_note (SvCounts *counts, const char *customer, gboolean answered);
/* Ends the period when it is over at NOW.  Returns whether it did; stores in
   PER_MILLE the share of the requests answered, as the mean of the customers
   in the tenth served worst, at least one of them.  */
gboolean sv_end_period (SvCounts *counts, GmTime now, guint *per_mille);
