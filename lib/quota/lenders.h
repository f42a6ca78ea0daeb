/* Which hosts lend the operations of a customer: one in each data centre that
   has live hosts with the pool role, chosen by rendezvous hashing.  */
#pragma once
#include "base/clock.h"
#include "cstate/cstate.h"

/* Data centres with lenders; hosts in others borrow only.  With the platform's
   slack of 20 operations, six lenders can each have one outstanding.  */
#define QT_CENTRES_MAX 6

typedef struct
{
  char *host;
  char *link;   /* its address for links between hosts */
  guint64 hash; /* of its name */
} QtHost;

typedef struct QtLenders QtLenders;

/* Creates an empty table for the host HOST in DATA_CENTRE.  */
QtLenders *qt_lenders_new (const char *host, const char *data_centre);
void qt_lenders_free (QtLenders *lenders);
/* Takes the hosts of STATE.  Returns whether any host came, left or moved.  */
gboolean qt_lenders_update (QtLenders *lenders, const CsState *state);
/* Number of data centres that have a lender.  */
guint qt_lenders_count (const QtLenders *lenders);
/* Number, below the count, of this host's own data centre; the count if it has
   no hosts.  */
guint qt_lenders_own (const QtLenders *lenders);
/* Returns the lender of CUSTOMER in the data centre number CENTRE.  */
const QtHost *qt_lenders_choose (const QtLenders *lenders,
                                 const char *customer, guint centre);
/* Whether this host is the lender of CUSTOMER in its data centre.  */
gboolean qt_lenders_is_own (const QtLenders *lenders, const char *customer);
/* Appends the hashes (guint64) of the hosts of this host's data centre to the
   empty array OUT, sorted.  */
void qt_lenders_hashes (const QtLenders *lenders, GArray *out);
/* Whether this host would be CUSTOMER's lender among the hosts of HASHES.  */
gboolean qt_lenders_would_be (const QtLenders *lenders, const char *customer,
                              const GArray *hashes);
