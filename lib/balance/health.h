/* How well a database answers, seen from one host, and the limit on this
   host's retries.

   The weight of a database follows from answers alone: a database whose health
   check is good may fail part of its statements, and one that is reported as
   down may serve.  */
#pragma once
#include "base/clock.h"

/* Least weight of a database that fails everything: a statement now and then
   shows when it is back.  */
#define BL_WEIGHT_MIN 0.02

/* Failures of one database.  Zeroed at the start.  */
typedef struct
{
  double failed; /* moving average of the proportion that failed */
  GmTime at;     /* of the last update */
} BlHealth;

/* Records that a statement FAILED for a reason that lies with the database, or
   was answered.  */
void bl_note_result (BlHealth *health, GmTime now, gboolean failed);
/* The weight of the database in a choice, from BL_WEIGHT_MIN to 1.  */
double bl_health_weight (const BlHealth *health, GmTime now);

/* A token bucket of retries.  Zeroed at the start.  */
typedef struct
{
  double tokens;
  GmTime at; /* of the last refill; 0: it was never used */
} BlBudget;

/* Records the first try of a statement, which earns a tenth of a retry.  */
void bl_budget_earn (BlBudget *budget, GmTime now);
/* Takes a retry out of BUDGET.  FALSE when none is left.  */
gboolean bl_budget_take (BlBudget *budget, GmTime now);
