#include "lender.h"
#include "base/mutant.h"
#include <string.h>

/* The sums of outstanding grants cover 400 ms, which is more than
   QT_VALID_MAX and one slot.  */
#define SLOT_TIME (25 * GM_MS)
#define SLOTS 16
/* A borrower gets at most this part of what may still be outstanding, so that
   the first of many does not get all.  */
#define GRANT_SHARE 2
#define REFUSED_RETRY (100 * GM_MS) /* where this host may not lend */
#define RETRY_MAX GM_SECOND
/* Added to the time after which hosts ask again for each refusal a second: a
   single host asks again after 30 ms, each of a hundred after 300 ms.  */
#define RETRY_PER_REFUSAL GM_MS
#define REFUSAL_TIME (500 * GM_MS) /* over which refusals are averaged */
#define SWEEP_INTERVAL GM_SECOND
/* Earlier sets of hosts that are remembered, to tell since when this host has
   been a customer's lender.  */
#define EARLIER_MAX 16

/* A lender whose copy of the control state is old lends only while so many
   other hosts, or a quarter of those of its data centre where that is fewer,
   have asked recently: hosts that are cut off one by one fall short of it.  */
#define CONFIRMING_HOSTS 3
#define CONFIRMING_TIME (2 * GM_SECOND)
#define ASKERS 8

/* A host that asked and knew no other version of the control state.  */
typedef struct
{
  guint64 host;
  GmTime at;
} Asker;

/* Grants made within SLOT_TIME.  */
typedef struct
{
  GmTime number; /* time of the grants in units of SLOT_TIME */
  GmTime expires;
  guint outstanding;
} Slot;

/* A customer that this host lends to.  */
typedef struct
{
  char *customer;
  QtLimit limit;
  QtPart part;
  guint parts; /* for which part was computed */
  GmTime since;
  GmTime updated_at;
  double tokens;
  Slot slots[SLOTS];
  double refusals; /* a second */
  GmTime refused_at;
  GmTime window; /* number of the window in which use is counted */
  guint64 lent;
  guint64 lent_before;
  guint64 refused;
} Budget;

/* The hosts of the own data centre up to the time replaced_at.  */
typedef struct
{
  GmTime replaced_at;
  GArray *hashes;
} Earlier;

struct QtLender
{
  QtRules rules;
  GHashTable *budgets; /* customer -> Budget */
  GmTime stamp;
  guint64 version;        /* of the control state */
  gboolean hosts_changed; /* since the stamp */
  gboolean kept_place;    /* at the start of the process */
  Asker askers[ASKERS];
  GmTime since; /* a new lender for all customers since then */
  guint parts;
  guint next_parts; /* takes effect at next_parts_at; 0: none */
  GmTime next_parts_at;
  GmTime next_sweep;
  GArray *hashes;  /* of the present hosts */
  GArray *earlier; /* Earlier, oldest first */
};

static void
budget_free (gpointer data)
{
  Budget *budget = data;
  g_free (budget->customer);
  g_free (budget);
}

static void
earlier_clear (gpointer data)
{
  g_array_unref (((Earlier *)data)->hashes);
}

QtLender *
qt_lender_new (const QtRules *rules)
{
  QtLender *l = g_new0 (QtLender, 1);
  l->rules = *rules;
  l->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, budget_free);
  l->stamp = G_MININT64 / 4;
  l->hashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  l->earlier = g_array_new (FALSE, FALSE, sizeof (Earlier));
  g_array_set_clear_func (l->earlier, earlier_clear);
  return l;
}

void
qt_lender_free (QtLender *l)
{
  if (l == NULL)
    return;
  g_hash_table_unref (l->budgets);
  g_array_unref (l->hashes);
  g_array_unref (l->earlier);
  g_free (l);
}

void
qt_lender_keep_place (QtLender *l)
{
  l->kept_place = TRUE;
}

/* Starts as a new lender for all customers.  */
static void
start_anew (QtLender *l, GmTime now, const QtLenders *lenders)
{
  g_hash_table_remove_all (l->budgets);
  g_array_set_size (l->earlier, 0);
  g_array_set_size (l->hashes, 0);
  qt_lenders_hashes (lenders, l->hashes);
  l->since = l->kept_place ? now - QT_FENCE_AGE : now;
  l->kept_place = FALSE;
  l->parts = MAX (qt_lenders_count (lenders), 1);
  l->next_parts = 0;
}

/* Sets the number of lenders of a customer.  A smaller number, which raises
   the part of each, waits until a lender that was lost has ended: one in a
   data centre that is isolated goes on lending there.  */
static void
set_parts (QtLender *l, GmTime now, guint parts)
{
  if (parts >= l->parts)
    {
      l->parts = parts;
      l->next_parts = 0;
    }
  else if (l->next_parts != parts)
    {
      l->next_parts = parts;
      l->next_parts_at = now + QT_UNCONFIRMED_MAX;
    }
}

/* Whether the sorted arrays A and B of guint64 are equal.  */
static gboolean
are_equal (const GArray *a, const GArray *b)
{
  return a->len == b->len
         && memcmp (a->data, b->data, a->len * sizeof (guint64)) == 0;
}

static void
remember_hosts (QtLender *l, GmTime now, const QtLenders *lenders)
{
  g_autoptr (GArray) hashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  qt_lenders_hashes (lenders, hashes);
  if (are_equal (hashes, l->hashes))
    return;
  Earlier earlier = { .replaced_at = now, .hashes = l->hashes };
  l->hashes = g_steal_pointer (&hashes);
  g_array_append_val (l->earlier, earlier);
  if (l->earlier->len <= EARLIER_MAX)
    return;
  l->since
      = MAX (l->since, g_array_index (l->earlier, Earlier, 0).replaced_at);
  g_array_remove_index (l->earlier, 0);
}

static gboolean
is_lent_elsewhere (gpointer customer, gpointer budget, gpointer lenders)
{
  (void)budget;
  return !qt_lenders_is_own (lenders, customer);
}

/* Operations that the bucket of PART gains in the first ELAPSED of its
   time.  */
static double
gain (const QtPart *part, GmTime elapsed)
{
  GmTime slow = MIN (elapsed, QT_FENCE_AGE);
  return part->rate * (part->start * (double)slow + (double)(elapsed - slow))
         / (double)GM_SECOND;
}

/* Whether a budget can be forgotten: created anew it would be the same.  */
static gboolean
is_idle (const QtLender *l, const Budget *b, GmTime now)
{
  double tokens = b->tokens + gain (&b->part, now - b->since)
                  - gain (&b->part, b->updated_at - b->since);
  return now > b->updated_at + 2 * l->rules.window
         && now > b->updated_at + 2 * QT_VALID_MAX && tokens >= b->part.depth;
}

static void
forget_idle (QtLender *l, GmTime now)
{
  GHashTableIter iter;
  gpointer value;
  if (now < l->next_sweep)
    return;
  l->next_sweep = now + SWEEP_INTERVAL;
  g_hash_table_iter_init (&iter, l->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_idle (l, value, now))
      g_hash_table_iter_remove (&iter);
}

gboolean
qt_lender_update (QtLender *l, GmTime now, GmTime stamp, guint64 version,
                  const QtLenders *lenders, gboolean changed)
{
  gboolean was_cut_off = stamp > l->stamp + QT_FENCE_AGE;
  /* Where no host came or went, no other can have lent meanwhile.  */
  l->hosts_changed = l->hosts_changed || changed;
  gboolean may_be_replaced = l->hosts_changed || l->since == 0
                             || stamp > l->stamp + QT_UNCONFIRMED_MAX;
  if (stamp > l->stamp)
    l->hosts_changed = FALSE;
  l->stamp = MAX (l->stamp, stamp);
  l->version = version;
  if (was_cut_off && may_be_replaced
      && !(GM_MUTANT (LENDER_RESUMES) && l->since != 0))
    {
      start_anew (l, now, lenders);
      return TRUE;
    }
  forget_idle (l, now);
  if (l->next_parts != 0 && now >= l->next_parts_at)
    {
      l->parts = l->next_parts;
      l->next_parts = 0;
    }
  if (!changed)
    return FALSE;
  remember_hosts (l, now, lenders);
  set_parts (l, now, MAX (qt_lenders_count (lenders), 1));
  g_hash_table_foreach_remove (l->budgets, is_lent_elsewhere,
                               (gpointer)lenders);
  return FALSE;
}

/* Since when this host has been the lender of CUSTOMER without a break.  */
static GmTime
lender_since (const QtLender *l, const QtLenders *lenders,
              const char *customer)
{
  for (guint i = l->earlier->len; i > 0; i--)
    {
      const Earlier *earlier = &g_array_index (l->earlier, Earlier, i - 1);
      if (!qt_lenders_would_be (lenders, customer, earlier->hashes))
        return earlier->replaced_at;
    }
  return l->since;
}

/* Computes what this host manages of LIMIT.  */
static void
set_limit (const QtLender *l, Budget *b, const QtLimit *limit)
{
  if (b->parts == l->parts && b->limit.rate == limit->rate
      && b->limit.burst == limit->burst)
    return;
  b->limit = *limit;
  b->parts = l->parts;
  qt_part (&l->rules, limit, l->parts, &b->part);
  b->tokens = MIN (b->tokens, b->part.depth);
}

static Budget *
get_budget (QtLender *l, GmTime now, const QtLenders *lenders,
            const char *customer, const QtLimit *limit)
{
  Budget *b = g_hash_table_lookup (l->budgets, customer);
  if (b == NULL)
    {
      b = g_new0 (Budget, 1);
      b->customer = g_strdup (customer);
      b->since = b->updated_at = lender_since (l, lenders, customer);
      g_hash_table_insert (l->budgets, b->customer, b);
    }
  /* The time until now counts at the limit known so far.  */
  if (b->parts == 0)
    {
      set_limit (l, b, limit);
      b->tokens = GM_MUTANT (LENDER_STARTS_FULL) ? b->part.depth : 0;
    }
  b->tokens += gain (&b->part, now - b->since)
               - gain (&b->part, b->updated_at - b->since);
  b->tokens = MIN (b->tokens, b->part.depth);
  b->updated_at = now;
  set_limit (l, b, limit);
  return b;
}

static guint
outstanding (const Budget *b, GmTime now)
{
  guint sum = 0;
  for (guint i = 0; i < SLOTS; i++)
    if (now < b->slots[i].expires)
      sum += b->slots[i].outstanding;
  return sum;
}

/* Takes COUNT operations off the oldest outstanding grants: operations of the
   newer ones may be usable for longer.  */
static void
take_off_oldest (Budget *b, GmTime now, guint count)
{
  GmTime number = now / SLOT_TIME - SLOTS + 1;
  for (guint i = 0; i < SLOTS && count > 0; i++)
    {
      Slot *slot = &b->slots[(number + i) % SLOTS];
      if (now >= slot->expires)
        continue;
      guint taken = MIN (slot->outstanding, count);
      slot->outstanding -= taken;
      count -= taken;
    }
}

/* Takes in what a borrower reports of earlier grants.  Ignored once the oldest
   of these is no longer counted, since the report would be taken off the
   grants of others.  */
static void
settle (Budget *b, GmTime now, const QtAsk *ask)
{
  if (ask->lent_at <= 0 || ask->lent_at > now)
    return;
  const Slot *slot = &b->slots[(ask->lent_at / SLOT_TIME) % SLOTS];
  if (slot->number != ask->lent_at / SLOT_TIME || now >= slot->expires)
    return;
  guint known = outstanding (b, now);
  guint used = MIN (ask->used, known);
  guint returned = MIN (ask->returned, known - used);
  take_off_oldest (b, now, used + returned);
  b->tokens = MIN (b->tokens + returned, b->part.depth);
  b->lent -= MIN (b->lent, returned);
}

static void
note_outstanding (Budget *b, GmTime now, guint granted)
{
  Slot *slot = &b->slots[(now / SLOT_TIME) % SLOTS];
  if (slot->number != now / SLOT_TIME)
    *slot = (Slot){ .number = now / SLOT_TIME };
  slot->expires
      = MAX (slot->expires, (slot->number + 1) * SLOT_TIME + b->part.valid);
  if (!GM_MUTANT (GRANTS_UNCOUNTED))
    slot->outstanding += granted;
}

static void
count_use (const QtLender *l, Budget *b, GmTime now)
{
  GmTime window = now / MAX (l->rules.window, 1);
  if (window == b->window)
    return;
  b->lent_before = window == b->window + 1 ? b->lent : 0;
  b->lent = 0;
  b->window = window;
}

/* How many operations a request for WANTED gets.  */
static guint
grant_size (const Budget *b, guint wanted, double room)
{
  double share = MAX (room / GRANT_SHARE, 1);
  if (room < 1 || b->tokens < 1)
    return 0;
  return (guint)MIN (MIN (b->tokens, share), (double)wanted);
}

/* When to ask again after a refusal: when there is an operation, and later the
   more requests are refused.  */
static GmTime
retry_time (Budget *b, GmTime now)
{
  double since = (double)(now - b->refused_at);
  double mean = (double)REFUSAL_TIME;
  b->refusals = b->refusals * mean / (mean + since) + (double)GM_SECOND / mean;
  b->refused_at = now;
  GmTime wait = (GmTime)(b->refusals * (double)RETRY_PER_REFUSAL);
  if (b->part.rate <= 0)
    return RETRY_MAX;
  double missing = MAX (1 - b->tokens, 0) / b->part.rate;
  wait = MAX (wait, (GmTime)(MIN (missing, 1) * (double)GM_SECOND));
  return CLAMP (wait, QT_RETRY_MIN, RETRY_MAX);
}

static void
note_asker (QtLender *l, GmTime now, const QtAsk *ask)
{
  Asker *place = &l->askers[0];
  if (ask->host == 0 || ask->version != l->version)
    return;
  for (guint i = 0; i < ASKERS; i++)
    {
      if (l->askers[i].host == ask->host)
        {
          place = &l->askers[i];
          break;
        }
      if (l->askers[i].at < place->at)
        place = &l->askers[i];
    }
  *place = (Asker){ ask->host, now };
}

/* Whether enough other hosts still take this one for the lender.  */
static gboolean
is_confirmed (const QtLender *l, GmTime now)
{
  guint hosts = 0;
  for (guint i = 0; i < ASKERS; i++)
    hosts += l->askers[i].host != 0 && now < l->askers[i].at + CONFIRMING_TIME;
  return hosts >= MIN (CONFIRMING_HOSTS, (l->hashes->len + 3) / 4);
}

/* Whether another host may lend in the place of this one.  */
static gboolean
is_fenced (const QtLender *l, GmTime now, const QtAsk *ask)
{
  if (GM_MUTANT (LENDER_UNFENCED) || now < l->stamp + QT_FENCE_AGE)
    return FALSE;
  return ask->version != l->version || !is_confirmed (l, now)
         || now >= l->stamp + QT_UNCONFIRMED_MAX;
}

void
qt_lend (QtLender *l, GmTime now, const QtLenders *lenders,
         const char *customer, const QtLimit *limit, const QtAsk *ask,
         QtGrant *grant)
{
  *grant = (QtGrant){ .lent_at = now, .retry_in = REFUSED_RETRY };
  note_asker (l, now, ask);
  if (is_fenced (l, now, ask) || !qt_lenders_is_own (lenders, customer))
    return;
  Budget *b = get_budget (l, now, lenders, customer, limit);
  count_use (l, b, now);
  settle (b, now, ask);
  grant->valid = b->part.valid;
  grant->granted = grant_size (b, ask->wanted,
                               b->part.outstanding - outstanding (b, now));
  grant->retry_in = 0;
  if (grant->granted == 0 && ask->wanted > 0)
    grant->retry_in = retry_time (b, now);
  if (grant->granted == 0)
    b->refused += ask->wanted > 0 ? 1 : 0;
  if (grant->granted == 0)
    return;
  b->tokens -= grant->granted;
  b->lent += grant->granted;
  note_outstanding (b, now, grant->granted);
}

void
qt_lender_use (QtLender *l, GmTime now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, l->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Budget *b = value;
      count_use (l, b, now);
      QtUse use = { .customer = b->customer,
                    .lent = b->lent,
                    .refused = b->refused,
                    .lent_before = b->lent_before,
                    .part_max = b->part.rate * (double)l->rules.window
                                    / (double)GM_SECOND
                                + b->part.depth,
                    .outstanding = outstanding (b, now) };
      g_array_append_val (out, use);
    }
}
