#include "budget.h"

struct WbBudget
{
  gsize bytes_max;
  guint connections_max;
  gsize held;
  GHashTable *accounts; /* set of WbAccount, not owned */
};

WbBudget *
wb_new (gsize bytes_max, guint connections_max)
{
  WbBudget *budget = g_new0 (WbBudget, 1);
  budget->bytes_max = bytes_max;
  budget->connections_max = connections_max;
  budget->accounts = g_hash_table_new (NULL, NULL);
  return budget;
}

void
wb_free (WbBudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->accounts);
  g_free (budget);
}

void
wb_add (WbBudget *budget, WbAccount *account, GmTime now)
{
  *account = (WbAccount){ .opened_at = now };
  g_hash_table_add (budget->accounts, account);
}

void
wb_remove (WbBudget *budget, WbAccount *account)
{
  budget->held -= account->held;
  g_hash_table_remove (budget->accounts, account);
}

void
wb_hold (WbBudget *budget, WbAccount *account, gsize bytes)
{
  budget->held += bytes - account->held;
  account->held = bytes;
}

gsize
wb_held (const WbBudget *budget)
{
  return budget->held;
}

gboolean
wb_is_over (const WbBudget *budget)
{
  return budget->held > budget->bytes_max;
}

/* Returns the bytes beyond which an account may be chosen.  */
static gsize
least_to_free (const WbBudget *budget)
{
  gsize shares = 2 * (gsize)g_hash_table_size (budget->accounts);
  return budget->bytes_max / MAX (shares, 1);
}

/* Whether A gives up its bytes before B.  */
static gboolean
frees_before (const WbAccount *a, const WbAccount *b)
{
  guint size_a = g_bit_storage (a->held), size_b = g_bit_storage (b->held);
  if (size_a != size_b)
    return size_a > size_b;
  if (a->served != b->served)
    return a->served < b->served;
  return a->opened_at > b->opened_at;
}

static gboolean
may_be_replaced (const WbAccount *a, GmTime now)
{
  return !a->running && a->served == 0
         && now >= a->opened_at + WB_FIRST_STATEMENT_TIME;
}

WbAccount *
wb_choose_to_free (const WbBudget *budget)
{
  WbAccount *chosen = NULL;
  gsize least = least_to_free (budget);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, budget->accounts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      WbAccount *a = key;
      if (!a->running && a->held > least
          && (chosen == NULL || frees_before (a, chosen)))
        chosen = a;
    }
  return chosen;
}

gboolean
wb_is_full (const WbBudget *budget)
{
  return g_hash_table_size (budget->accounts) >= budget->connections_max;
}

WbAccount *
wb_choose_to_replace (const WbBudget *budget, GmTime now)
{
  WbAccount *chosen = NULL;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, budget->accounts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      WbAccount *a = key;
      if (may_be_replaced (a, now)
          && (chosen == NULL || a->opened_at < chosen->opened_at))
        chosen = a;
    }
  return chosen;
}
