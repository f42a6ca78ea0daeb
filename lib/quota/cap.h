/* The cap on a customer's operations, and the part of it that each lender
   manages.

   In any window W a customer may use (rate x W + burst) x (1 + overage) +
   slack operations.  The tolerance, overage x (rate x W + burst) + slack, is
   what makes lending possible: it pays for operations that are granted and not
   used yet, and for the time in which an old and a new lender both lend.  */
#pragma once
#include "base/clock.h"

/* A lender whose copy of the control state is older than this lends only to
   borrowers that know no later one.  */
#define QT_FENCE_AGE GM_SECOND
/* A lender with an older copy lends to nobody: longer than control is without
   a leader when its hosts are cut off from each other.  */
#define QT_UNCONFIRMED_MAX (15 * GM_SECOND)
/* Bounds of the time for which a grant may be used.  A shorter one would not
   outlast the wait for a busy lender; with a longer one, more operations would
   be lost when a borrower stops.  */
#define QT_VALID_MIN (150 * GM_MS)
#define QT_VALID_MAX (300 * GM_MS)

/* The settings that apply to all customers.  */
typedef struct
{
  GmTime window; /* 0: no limits */
  double overage;
  double slack;
} QtRules;

/* The declared limit of a customer.  */
typedef struct
{
  double rate; /* operations a second */
  double burst;
} QtLimit;

/* What one of the lenders of a customer manages.  */
typedef struct
{
  double rate;        /* at which its bucket fills */
  double depth;       /* of its bucket */
  double outstanding; /* most operations granted and not yet used */
  double start; /* share of its rate that a new lender lends for QT_FENCE_AGE
                 */
  GmTime valid; /* how long a grant may be used */
} QtPart;

/* Returns the most operations that a customer with LIMIT may use in any
   window.  */
double qt_window_max (const QtRules *rules, const QtLimit *limit);
/* Computes what each of PARTS lenders manages of LIMIT.  */
void qt_part (const QtRules *rules, const QtLimit *limit, guint parts,
              QtPart *part);
