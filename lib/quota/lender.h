/* The lender: grants operations of customers' budgets to the hosts of its data
   centre, and to others whose own lender has refused.

   A token bucket holds the lender's part of a customer's limit.  What was
   granted and may still be used is outstanding and bounded as well; it is kept
   as sums by time, not by host.

   A lender whose copy of the control state is old may have been replaced, or
   control may have no leader, and replaces nobody.  It goes on lending for
   QT_UNCONFIRMED_MAX to borrowers whose copies have the same version, while
   several hosts ask: had it been replaced, they would ask its successor.  A
   host that may just
   have become the lender begins with an empty bucket, as its predecessor may
   have lent all, and slowly, as its predecessor may not be fenced yet.

   A pure state machine: no clock, no sockets.  */
#pragma once
#include "cap.h"
#include "lenders.h"

/* Shortest time until a borrower asks a lender again that refused.  */
#define QT_RETRY_MIN (20 * GM_MS)

typedef struct QtLender QtLender;

typedef struct
{
  guint wanted;
  /* Operations of earlier grants of this lender that will not be used, and
     those that were used, since the last request.  The oldest of these grants
     was made at lent_at, a time of the lender's clock.  */
  guint returned;
  guint used;
  GmTime lent_at;
  guint64 version; /* of the borrower's copy of the control state */
  guint64 host;    /* hash of the borrower's name; 0: the lender's own host */
} QtAsk;

typedef struct
{
  guint granted;
  GmTime valid;    /* from the sending of the request */
  GmTime retry_in; /* when to ask for more; 0: at any time */
  GmTime lent_at;  /* to be sent back with returned and used ones */
} QtGrant;

/* A customer's use of its budget at this lender, in the current window and the
   one before.  */
typedef struct
{
  const char *customer; /* borrowed */
  guint64 lent;         /* less returned ones */
  guint64 refused;      /* requests that got nothing, since the start */
  guint64 lent_before;  /* in the last full window */
  double part_max;      /* operations that it may lend in a window */
  double outstanding;
} QtUse;

QtLender *qt_lender_new (const QtRules *rules);
void qt_lender_free (QtLender *lender);
/* Tells, before the first qt_lender_update, that no other host has lent in the
   place of this one since its last process ended.  It is not slow to start
   then.  */
void qt_lender_keep_place (QtLender *lender);
/* Tells that the host's copy of the control state, which has VERSION, was
   current at STAMP, and
   whether LENDERS have CHANGED; to be called at least every 100 ms.  Returns
   TRUE when the host starts as a new lender for all customers.  */
gboolean qt_lender_update (QtLender *lender, GmTime now, GmTime stamp,
                           guint64 version, const QtLenders *lenders,
                           gboolean changed);
/* Answers ASK for CUSTOMER, whose declared limit is LIMIT.  */
void qt_lend (QtLender *lender, GmTime now, const QtLenders *lenders,
              const char *customer, const QtLimit *limit, const QtAsk *ask,
              QtGrant *grant);
/* Appends the use (QtUse) of each customer lent to recently to OUT.  */
void qt_lender_use (QtLender *lender, GmTime now, GArray *out);
