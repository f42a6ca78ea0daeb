#include "core.h"
#include <string.h>

static void
set_value (SnSession *s, SnStatement *st, SnStep *step)
{
  const char *former = g_tree_lookup (s->values, st->name);
  gsize freed = former != NULL ? strlen (st->name) + strlen (former) : 0;
  gsize bytes
      = s->values_bytes - freed + strlen (st->name) + strlen (st->argument);
  if ((former == NULL && g_tree_nnodes (s->values) >= SN_VALUES_MAX)
      || bytes > SN_VALUES_BYTES_MAX)
    {
      sn_answer (s, step, GM_TOO_LARGE, "the session holds too many values");
      return;
    }
  s->values_bytes = bytes;
  g_tree_replace (s->values, g_steal_pointer (&st->name),
                  g_steal_pointer (&st->argument));
  sn_answer (s, step, GM_OK, "");
}

/* Forgets the prepared statement NAME; FALSE if there is none.  */
static gboolean
forget_prepared (SnSession *s, const char *name)
{
  const SnPrepared *prepared = g_hash_table_lookup (s->prepared, name);
  if (prepared == NULL)
    return FALSE;
  s->prepared_bytes -= prepared->bytes;
  g_hash_table_remove (s->prepared, name);
  return TRUE;
}

static void
prepare (SnSession *s, SnStatement *st, SnStep *step)
{
  if (g_hash_table_size (s->prepared) >= SN_PREPARED_MAX)
    {
      sn_answer (s, step, GM_TOO_LARGE,
                 "the session holds too many prepared statements");
      return;
    }
  SnPrepared *prepared = g_new0 (SnPrepared, 1);
  prepared->writes = st->writes;
  prepared->shape = g_steal_pointer (&st->argument);
  prepared->bytes
      = sizeof *prepared + strlen (st->name) + strlen (prepared->shape);
  forget_prepared (s, st->name);
  s->prepared_bytes += prepared->bytes;
  g_hash_table_insert (s->prepared, g_steal_pointer (&st->name), prepared);
  sn_answer (s, step, GM_OK, "");
}

static void
begin (SnSession *s, const SnStatement *st, SnStep *step)
{
  if (s->state != SN_NO_TRANSACTION)
    {
      sn_answer (s, step, GM_INVALID, "a transaction is open already");
      return;
    }
  s->state = SN_IN_TRANSACTION;
  s->transaction_read_only = st->read_only;
  s->transaction_wrote = FALSE;
  sn_answer (s, step, GM_OK, "");
}

static void
roll_back (SnSession *s, SnStep *step)
{
  if (s->state == SN_NO_TRANSACTION)
    {
      sn_answer (s, step, GM_INVALID, "no transaction is open");
      return;
    }
  sn_release (s, step);
  s->state = SN_NO_TRANSACTION;
  sn_answer (s, step, GM_OK, "");
}

gboolean
sn_answer_locally (SnSession *s, SnStatement *st, SnStep *step)
{
  if (s->state == SN_FAILED && st->verb != SN_ROLLBACK
      && st->verb != SN_COMMIT)
    {
      sn_answer (s, step, GM_INVALID,
                 "the transaction has failed; it can only be ended");
      return TRUE;
    }
  switch (st->verb)
    {
    case SN_SET:
      set_value (s, st, step);
      return TRUE;
    case SN_PREPARE:
      prepare (s, st, step);
      return TRUE;
    case SN_DEALLOCATE:
      if (forget_prepared (s, st->name))
        sn_answer (s, step, GM_OK, "");
      else
        sn_answer (s, step, GM_INVALID,
                   "no statement is prepared by this name");
      return TRUE;
    case SN_BEGIN:
      begin (s, st, step);
      return TRUE;
    case SN_ROLLBACK:
      roll_back (s, step);
      return TRUE;
    case SN_COMMIT:
      if (s->state == SN_IN_TRANSACTION)
        return FALSE;
      if (s->state == SN_FAILED)
        {
          s->state = SN_NO_TRANSACTION;
          sn_answer (s, step, GM_TRANSACTION_LOST,
                     "the transaction has failed; it has no effect");
        }
      else
        sn_answer (s, step, GM_INVALID, "no transaction is open");
      return TRUE;
    default:
      return FALSE;
    }
}
