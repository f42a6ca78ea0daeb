#include "allotment.h"
#include "base/mutant.h"

/* The part of the transactions that is never lent: 1 of 4, for customers that
   begin their first one while the others are lent.  */
#define RESERVE_DIVISOR 4

guint
al_connections (const AlPool *pool)
{
  return MAX (pool->connections_max / MAX (pool->active, 1), 1);
}

guint
al_transactions (const AlPool *pool)
{
  /* A customer alone is entitled to half, so that another can have its part at
     once.  */
  return MAX (pool->transactions_max / MAX (pool->beginners, 2), 1);
}

guint
al_promise (const AlPool *pool, const AlUse *use)
{
  guint part = al_transactions (pool);
  return part > use->transactions ? part - use->transactions : 0;
}

gboolean
al_may_begin (const AlPool *pool, const AlUse *use)
{
  guint own = al_promise (pool, use);
  if (pool->transactions >= pool->transactions_max)
    return FALSE;
  if (own > 0 || GM_MUTANT (BORROWED_FOR_GOOD))
    return TRUE;
  guint reserve = MAX (pool->transactions_max / RESERVE_DIVISOR, 1);
  return pool->transactions + pool->promised + reserve
         < pool->transactions_max;
}

/* al_yields for an owner that has no more than its part.  */
static AlYield
yields_within_part (const AlPool *pool, const AlUse *asker, const AlUse *owner)
{
  if (owner->waiting < owner->idle)
    return asker->connections == 0
                   || asker->connections + 1 < owner->connections
               ? AL_WITHIN_PART
               : AL_NEVER;
  gboolean scarce = pool->active > pool->connections_max;
  return scarce && pool->turn_is_due && asker->connections == 0 ? AL_IN_TURN
                                                                : AL_NEVER;
}

AlYield
al_yields (const AlPool *pool, const AlUse *owner, const AlUse *asker)
{
  guint part = al_connections (pool);
  if (!owner->is_active && owner->waiting == 0)
    return AL_SPARE;
  if (owner->connections <= part)
    return yields_within_part (pool, asker, owner);
  if (owner->waiting < owner->idle)
    return AL_SPARE;
  return asker->connections < part ? AL_CLAIMED : AL_NEVER;
}
