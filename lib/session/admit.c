#include "base/mutant.h"
#include "core.h"
#include <string.h>

/* Decides for which customer the statement in progress runs.  */
static CuVerdict
identify (SnSession *s, const SnContext *world, const CfService *service)
{
  const CfDeclaration *declaration = cs_declaration (world->state);
  const CfCustomer *customer = NULL;
  if (declaration == NULL)
    return CU_ACCEPTED;
  CuVerdict verdict = cu_identify (declaration, service, sn_key (s),
                                   world->lease, &customer);
  g_free (s->call.customer);
  s->call.customer = g_strdup (customer != NULL ? customer->name : NULL);
  return verdict;
}

/* Whether the key of a session with an open transaction has moved to another
   customer.  */
static gboolean
changed_customer (const SnSession *s)
{
  return s->transaction != 0 && g_strcmp0 (s->customer, s->call.customer) != 0
         && !GM_MUTANT (KEY_MOVES_IN);
}

/* Handles any VERDICT but CU_ACCEPTED on the statement in progress, which has
   had no effect.  */
static void
hold_or_refuse (SnSession *s, const SnContext *world, CuVerdict verdict,
                SnStep *step)
{
  GmTime again = world->now + SN_PRIMARY_RETRY;
  if (verdict == CU_UNKNOWN_KEY)
    sn_answer (s, step, GM_UNAUTHORIZED,
               "not run: the key belongs to no customer");
  else if (verdict == CU_WAIT && again < s->call.deadline)
    sn_wait_until (step, again);
  else
    sn_answer (s, step, GM_STALE,
               "not run: this host has no recent knowledge of the keys");
}

/* Runs STATEMENT, which arrived at ARRIVED, and empties it.  */
static void
start_statement (SnSession *s, const SnContext *world, SnStatement *statement,
                 GmTime arrived, SnStep *step)
{
  const CfService *service = sn_find_service (s, world);
  SnStatement st = *statement;
  memset (statement, 0, sizeof *statement);
  /* A rollback is allowed with any key.  */
  gboolean checked = st.verb != SN_ROLLBACK;
  CuVerdict verdict = checked ? identify (s, world, service) : CU_ACCEPTED;
  gboolean aborts = checked && verdict == CU_ACCEPTED && changed_customer (s);
  if (verdict == CU_ACCEPTED && !aborts && sn_answer_locally (s, &st, step))
    {
      step->id = g_steal_pointer (&st.id);
      sn_statement_clear (&st);
      return;
    }
  s->call.statement = st;
  s->call.arrived = arrived;
  s->call.deadline
      = arrived + (service != NULL ? service->deadline_ms * GM_MS : 0);
  s->call.admitted = verdict == CU_ACCEPTED;
  s->busy = TRUE;
  if (verdict != CU_ACCEPTED)
    hold_or_refuse (s, world, verdict, step);
  else if (aborts)
    sn_answer (s, step, GM_TRANSACTION_LOST,
               "not run: the key has moved to another customer");
  else if (sn_classify (s, step))
    sn_route_statement (s, world, step);
}

void
sn_route_again (SnSession *s, const SnContext *world, SnStep *step)
{
  CuVerdict verdict = identify (s, world, sn_find_service (s, world));
  if (verdict == CU_ACCEPTED || GM_MUTANT (KEY_UNCHECKED_AGAIN))
    sn_route_statement (s, world, step);
  else
    hold_or_refuse (s, world, verdict, step);
}

void
sn_submit (SnSession *s, const SnContext *world, SnStatement *statement,
           SnStep *step)
{
  g_assert (!s->busy);
  memset (step, 0, sizeof *step);
  start_statement (s, world, statement, world->now, step);
}

void
sn_retry (SnSession *s, const SnContext *world, SnStep *step)
{
  memset (step, 0, sizeof *step);
  if (s->call.admitted)
    {
      sn_route_again (s, world, step);
      return;
    }
  SnStatement st = s->call.statement;
  GmTime arrived = s->call.arrived;
  memset (&s->call.statement, 0, sizeof s->call.statement);
  sn_call_clear (&s->call);
  s->busy = FALSE;
  start_statement (s, world, &st, arrived, step);
}
