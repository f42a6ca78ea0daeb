#include "health.h"

/* Weight of a result in the moving average: one lost statement costs a quarter
   of the load, eight in a row leave a tenth.  */
#define RESULT_WEIGHT (1.0 / 16)
/* Time in which half of a database's failures are forgotten if nothing is sent
   there, longer than a restart that repeats.  */
#define FORGET_TIME (5 * GM_SECOND)
/* The weight is the proportion that succeeds to this power: a database that
   fails a third of its statements keeps a fifth of its load.  */
#define WEIGHT_POWER 4

#define RETRIES_PER_TRY 0.1
/* Retries per second without any traffic, for quiet times.  */
#define RETRIES_PER_SECOND 1.0
/* Retries that may be saved up: those that a host needs when a database that
   it uses is lost, with its statements in progress.  */
#define RETRIES_MAX 10.0

static double
failed_now (const BlHealth *health, GmTime now)
{
  double age = (double)MAX (now - health->at, 0);
  return health->failed / (1.0 + age / (double)FORGET_TIME);
}

void
bl_note_result (BlHealth *health, GmTime now, gboolean failed)
{
  /* Without a result the average falls with time, too.  */
  double before = failed_now (health, now);
  health->failed = before + ((failed ? 1.0 : 0.0) - before) * RESULT_WEIGHT;
  health->at = now;
}

double
bl_health_weight (const BlHealth *health, GmTime now)
{
  double succeeded = 1.0 - failed_now (health, now);
  double weight = 1.0;
  for (guint i = 0; i < WEIGHT_POWER; i++)
    weight *= succeeded;
  return MAX (weight, BL_WEIGHT_MIN);
}

static void
refill (BlBudget *budget, GmTime now)
{
  if (budget->at == 0)
    budget->tokens = RETRIES_MAX;
  else
    budget->tokens
        += RETRIES_PER_SECOND * (double)(now - budget->at) / (double)GM_SECOND;
  budget->tokens = MIN (budget->tokens, RETRIES_MAX);
  budget->at = now;
}

void
bl_budget_earn (BlBudget *budget, GmTime now)
{
  refill (budget, now);
  budget->tokens = MIN (budget->tokens + RETRIES_PER_TRY, RETRIES_MAX);
}

gboolean
bl_budget_take (BlBudget *budget, GmTime now)
{
  refill (budget, now);
  if (budget->tokens < 1.0)
    return FALSE;
  budget->tokens -= 1.0;
  return TRUE;
}
