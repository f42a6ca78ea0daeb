#include "borrower.h"
#include "base/mutant.h"
#include <string.h>

/* Grants that are held at a time; a further one is merged into the newest.  */
#define LOTS 24
/* A lender that did not answer in time is not asked for so long.  A lost host
   stays in the control state for 1 to 2 s.  */
#define SILENT_RETRY (300 * GM_MS)
/* Time over which the use of an allowance is averaged.  */
#define DEMAND_TIME (500 * GM_MS)
/* The allowance is sized for this share of the time for which a grant is
   valid.  */
#define ALLOWANCE_SHARE 0.7
/* Unused operations are returned after this share of that time.  */
#define RETURN_AFTER_SHARE 0.5
#define WANTED_MAX 1000
/* An operation waits for a lender that may be asked so soon.  */
#define RETRY_WAIT_MAX (30 * GM_MS)
/* Requests between data centres cost more: a lender elsewhere that refused is
   asked after a multiple of its time.  */
#define AWAY_RETRY_FACTOR 3
#define SWEEP_INTERVAL (50 * GM_MS) /* a third of QT_VALID_MIN */
/* A customer that was not used for so long is forgotten.  */
#define FORGET_AFTER (5 * GM_SECOND)

/* A grant.  */
typedef struct
{
  guint64 number;
  guint64 host; /* hash of the lender's name */
  guint left;
  guint used; /* and not reported yet */
  GmTime lent_at;
  GmTime sent_at; /* of its request */
  GmTime expires;
} Lot;

/* The last request to the lender of one data centre.  */
typedef struct
{
  guint64 sequence; /* 0: none that an answer may still come to */
  guint64 host;
  guint wanted;
  GmTime sent_at;
  gboolean awaited; /* not answered, and not timed out */
} Request;

typedef struct
{
  guint64 number;
  GmTime deadline;
  gboolean tried; /* a lender was asked since it came */
} Waiter;

typedef struct
{
  char *customer;
  Lot lots[LOTS];
  guint lots_held;
  Request requests[QT_CENTRES_MAX];
  GmTime not_before[QT_CENTRES_MAX]; /* when the lender may be asked */
  gboolean silent[QT_CENTRES_MAX];   /* it did not answer the last request */
  GQueue waiting;                    /* Waiter *, oldest first */
  gboolean asking;                   /* in the borrower's list */
  double demand;                     /* operations a second */
  GmTime demand_at;
  GmTime valid; /* of the last grant */
} Account;

struct QtBorrower
{
  const QtLenders *lenders;
  GHashTable *accounts; /* customer -> Account */
  /* Account *, those with awaited requests or waiters; in an order that does
     not depend on addresses, so that tests can be repeated.  */
  GPtrArray *asking;
  GQueue events; /* QtEvent *; they own their strings */
  QtEvent *last; /* the one returned last, or NULL */
  guint64 last_number;
  GmTime next_sweep;
  GmTime answer_time[QT_CENTRES_MAX]; /* mean, of each data centre's lenders */
};

static void
account_free (gpointer data)
{
  Account *a = data;
  g_queue_clear_full (&a->waiting, g_free);
  g_free (a->customer);
  g_free (a);
}

static void
event_free (gpointer data)
{
  QtEvent *event = data;
  g_free ((char *)event->customer);
  g_free ((char *)event->host);
  g_free ((char *)event->link);
  g_free (event);
}

QtBorrower *
qt_borrower_new (const QtLenders *lenders)
{
  QtBorrower *b = g_new0 (QtBorrower, 1);
  b->lenders = lenders;
  b->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  b->asking = g_ptr_array_new ();
  g_queue_init (&b->events);
  return b;
}

void
qt_borrower_free (QtBorrower *b)
{
  if (b == NULL)
    return;
  g_ptr_array_unref (b->asking);
  g_hash_table_unref (b->accounts);
  g_queue_clear_full (&b->events, event_free);
  g_clear_pointer (&b->last, event_free);
  g_free (b);
}

static void
expire_lots (Account *a, GmTime now)
{
  guint kept = 0;
  if (GM_MUTANT (GRANTS_KEPT))
    return;
  for (guint i = 0; i < a->lots_held; i++)
    if (now < a->lots[i].expires)
      a->lots[kept++] = a->lots[i];
  a->lots_held = kept;
}

static guint
allowance (const Account *a)
{
  guint sum = 0;
  for (guint i = 0; i < a->lots_held; i++)
    sum += a->lots[i].left;
  return sum;
}

/* Takes an operation from the grant that expires first.  Returns the grant's
   number, or 0 when there is none.  */
static guint64
take_from_lots (Account *a)
{
  Lot *first = NULL;
  for (guint i = 0; i < a->lots_held; i++)
    if (a->lots[i].left > 0
        && (first == NULL || a->lots[i].expires < first->expires))
      first = &a->lots[i];
  if (first == NULL)
    return 0;
  first->left--;
  first->used++;
  return first->number;
}

static double
decayed_demand (const Account *a, GmTime now)
{
  double time = (double)DEMAND_TIME;
  return a->demand * time / (time + (double)MAX (now - a->demand_at, 0));
}

/* Operations of this customer a second, apart from the latest one: a single
   operation is no reason to expect another.  */
static double
expected_rate (const Account *a, GmTime now)
{
  double latest = (double)GM_SECOND / (double)DEMAND_TIME;
  return MAX (decayed_demand (a, now) - latest, 0);
}

static void
note_demand (Account *a, GmTime now)
{
  a->demand
      = decayed_demand (a, now) + (double)GM_SECOND / (double)DEMAND_TIME;
  a->demand_at = now;
}

static guint
allowance_target (const Account *a, GmTime now)
{
  double valid = (double)a->valid / (double)GM_SECOND;
  double target = expected_rate (a, now) * valid * ALLOWANCE_SHARE;
  return (guint)MIN (target, WANTED_MAX);
}

static void
put_event (QtBorrower *b, const QtEvent *event)
{
  QtEvent *copy = g_memdup2 (event, sizeof *event);
  copy->host = g_strdup (event->host);
  copy->link = g_strdup (event->link);
  copy->customer = g_strdup (event->customer);
  g_queue_push_tail (&b->events, copy);
}

static void
decide (QtBorrower *b, Account *a, const QtDecision *decision)
{
  QtEvent event = { .type = QT_DECIDED, .decision = *decision };
  Waiter *waiter = g_queue_pop_head (&a->waiting);
  event.decision.number = waiter->number;
  g_free (waiter);
  put_event (b, &event);
}

/* Adds to ASK what was used of the grants of the lender HOST, and of unused
   operations those that RETURNED_BEFORE says: the ones requested before.  */
static void
report_lots (QtBorrower *b, Account *a, guint64 host, GmTime returned_before,
             QtAsk *ask)
{
  for (guint i = 0; i < a->lots_held; i++)
    {
      Lot *lot = &a->lots[i];
      guint returned = lot->sent_at < returned_before ? lot->left : 0;
      if (lot->host != host || lot->used + returned == 0)
        continue;
      ask->used += lot->used;
      ask->returned += returned;
      if (ask->lent_at == 0 || lot->lent_at < ask->lent_at)
        ask->lent_at = lot->lent_at;
      lot->used = 0;
      if (!GM_MUTANT (RETURNED_TWICE))
        lot->left -= returned;
      /* The lender no longer counts what was used, so that it can't be given
         back any more.  */
      lot->number = ++b->last_number;
    }
}

static void
send_ask (QtBorrower *b, Account *a, guint centre, guint64 sequence,
          const QtAsk *ask)
{
  const QtHost *host = qt_lenders_choose (b->lenders, a->customer, centre);
  QtEvent event = { .type = QT_SEND_ASK,
                    .host = host->host,
                    .link = host->link,
                    .customer = a->customer,
                    .sequence = sequence,
                    .ask = *ask };
  put_event (b, &event);
}

/* Requests WANTED operations; AWAITED tells whether operations wait for the
   answer.  */
static void
request (QtBorrower *b, Account *a, GmTime now, guint centre, guint wanted,
         gboolean awaited)
{
  const QtHost *host = qt_lenders_choose (b->lenders, a->customer, centre);
  QtAsk ask = { .wanted = wanted };
  report_lots (b, a, host->hash, G_MININT64, &ask);
  a->requests[centre] = (Request){ .sequence = ++b->last_number,
                                   .host = host->hash,
                                   .wanted = wanted,
                                   .sent_at = now,
                                   .awaited = awaited };
  send_ask (b, a, centre, b->last_number, &ask);
}

/* Asks lenders that did not answer whether they do again, so that no operation
   has to wait for that.  */
static void
probe_silent (QtBorrower *b, Account *a, GmTime now)
{
  for (guint i = 0; i < qt_lenders_count (b->lenders); i++)
    if (a->silent[i] && !a->requests[i].awaited && a->not_before[i] <= now)
      {
        a->not_before[i] = now + SILENT_RETRY;
        request (b, a, now, i, 1, FALSE);
      }
}

static void
ask_lender (QtBorrower *b, Account *a, GmTime now, guint centre)
{
  guint held = allowance (a);
  guint target = allowance_target (a, now);
  guint spare = target > held ? target - held : 0;
  for (GList *l = a->waiting.head; l != NULL; l = l->next)
    ((Waiter *)l->data)->tried = TRUE;
  request (b, a, now, centre, MIN (a->waiting.length + spare, WANTED_MAX),
           TRUE);
  probe_silent (b, a, now);
}

static gboolean
is_awaiting (const Account *a)
{
  for (guint i = 0; i < QT_CENTRES_MAX; i++)
    if (a->requests[i].awaited)
      return TRUE;
  return FALSE;
}

/* Whether the lender of the data centre X is asked before that of Y: one that
   answers, then the own one, then the one that answers fastest.  */
static gboolean
is_preferred (const QtBorrower *b, const Account *account, guint x, guint y)
{
  guint own = qt_lenders_own (b->lenders);
  if (account->silent[x] != account->silent[y])
    return account->silent[y];
  return x == own || (y != own && b->answer_time[x] < b->answer_time[y]);
}

/* Returns the data centre whose lender is to be asked next, or the number of
   data centres when all have refused.  Stores when one may be asked again in
   RETRY_AT.  */
static guint
next_centre (const QtBorrower *b, const Account *a, GmTime now,
             GmTime *retry_at)
{
  guint count = qt_lenders_count (b->lenders);
  guint best = count;
  *retry_at = G_MAXINT64;
  for (guint i = 0; i < count; i++)
    if (a->not_before[i] > now)
      *retry_at = MIN (*retry_at, a->not_before[i]);
    else if (best == count || is_preferred (b, a, i, best))
      best = i;
  if (count == 0)
    *retry_at = now + QT_ASK_TIMEOUT;
  return best;
}

static void
serve_waiting (QtBorrower *b, Account *a)
{
  guint64 lot;
  while (a->waiting.length > 0 && (lot = take_from_lots (a)) != 0)
    decide (b, a, &(QtDecision){ .answer = QT_TAKEN, .lot = lot });
}

/* Refuses waiting operations, the oldest first, as no lender can be asked for
   RETRY_IN.  Those that came after the last request wait if that is short.  */
static void
refuse_waiting (QtBorrower *b, Account *a, GmTime retry_in)
{
  const Waiter *first;
  while ((first = g_queue_peek_head (&a->waiting)) != NULL
         && (first->tried || retry_in > RETRY_WAIT_MAX))
    decide (b, a, &(QtDecision){ .answer = QT_REFUSED, .retry_in = retry_in });
}

static void
set_asking (QtBorrower *b, Account *a, gboolean asking)
{
  if (asking && !a->asking)
    g_ptr_array_add (b->asking, a);
  else if (!asking && a->asking)
    g_ptr_array_remove (b->asking, a);
  a->asking = asking;
}

/* Serves waiting operations, and asks for more where that is needed.  */
static void
pursue (QtBorrower *b, Account *a, GmTime now)
{
  expire_lots (a, now);
  serve_waiting (b, a);
  guint target = allowance_target (a, now);
  gboolean needed
      = a->waiting.length > 0 || (target > 0 && allowance (a) * 2 <= target);
  GmTime retry_at;
  guint centre = next_centre (b, a, now, &retry_at);
  gboolean may_ask = centre < qt_lenders_count (b->lenders);
  if (needed && !is_awaiting (a) && may_ask)
    ask_lender (b, a, now, centre);
  else if (needed && !is_awaiting (a))
    refuse_waiting (b, a, retry_at - now);
  set_asking (b, a, is_awaiting (a) || a->waiting.length > 0);
}

static Account *
get_account (QtBorrower *b, const char *customer)
{
  Account *a = g_hash_table_lookup (b->accounts, customer);
  if (a != NULL)
    return a;
  a = g_new0 (Account, 1);
  a->customer = g_strdup (customer);
  g_queue_init (&a->waiting);
  g_hash_table_insert (b->accounts, a->customer, a);
  return a;
}

static void
wait_in_turn (QtBorrower *b, Account *a, GmTime now, QtDecision *decision)
{
  Waiter *waiter = g_new (Waiter, 1);
  GmTime longest = QT_ASK_TIMEOUT * qt_lenders_count (b->lenders);
  *waiter = (Waiter){ .number = ++b->last_number, .deadline = now + longest };
  g_queue_push_tail (&a->waiting, waiter);
  *decision = (QtDecision){ .answer = QT_WAITING, .number = waiter->number };
}

void
qt_take (QtBorrower *b, GmTime now, const char *customer, QtDecision *decision)
{
  Account *a = get_account (b, customer);
  GmTime retry_at;
  note_demand (a, now);
  expire_lots (a, now);
  guint64 lot = a->waiting.length == 0 ? take_from_lots (a) : 0;
  if (lot != 0)
    *decision = (QtDecision){ .answer = QT_TAKEN, .lot = lot };
  else if (!is_awaiting (a)
           && next_centre (b, a, now, &retry_at)
                  == qt_lenders_count (b->lenders)
           && retry_at - now > RETRY_WAIT_MAX)
    *decision
        = (QtDecision){ .answer = QT_REFUSED, .retry_in = retry_at - now };
  else
    wait_in_turn (b, a, now, decision);
  pursue (b, a, now);
}

void
qt_cancel (QtBorrower *b, const char *customer, guint64 number)
{
  Account *a = g_hash_table_lookup (b->accounts, customer);
  for (GList *l = a != NULL ? a->waiting.head : NULL; l != NULL; l = l->next)
    if (((Waiter *)l->data)->number == number)
      {
        g_free (l->data);
        g_queue_delete_link (&a->waiting, l);
        return;
      }
}

void
qt_give_back (QtBorrower *b, GmTime now, const char *customer, guint64 lot)
{
  Account *a = g_hash_table_lookup (b->accounts, customer);
  for (guint i = 0; a != NULL && i < a->lots_held; i++)
    if (a->lots[i].number == lot && a->lots[i].used > 0)
      {
        a->lots[i].used--;
        a->lots[i].left++;
        pursue (b, a, now);
        return;
      }
}

/* Removes grants of which nothing is left to be used or reported.  */
static void
drop_empty_lots (Account *a)
{
  guint kept = 0;
  for (guint i = 0; i < a->lots_held; i++)
    if (a->lots[i].left + a->lots[i].used > 0)
      a->lots[kept++] = a->lots[i];
  a->lots_held = kept;
}

/* Adds the grant to the account; if that holds as many as it can, to the
   newest of the same lender, with the earlier ends of both.  */
static void
add_lot (QtBorrower *b, Account *a, const Lot *lot)
{
  drop_empty_lots (a);
  if (a->lots_held < LOTS)
    {
      a->lots[a->lots_held] = *lot;
      a->lots[a->lots_held++].number = ++b->last_number;
      return;
    }
  guint i = LOTS;
  while (i > 0 && a->lots[i - 1].host != lot->host)
    i--;
  if (i == 0)
    return;
  Lot *newest = &a->lots[i - 1];
  newest->left += lot->left;
  newest->lent_at = MIN (newest->lent_at, lot->lent_at);
  newest->expires = MIN (newest->expires, lot->expires);
}

static gboolean
find_request (const Account *a, guint64 sequence, guint *centre)
{
  for (*centre = 0; *centre < QT_CENTRES_MAX; (*centre)++)
    if (sequence != 0 && a->requests[*centre].sequence == sequence)
      return TRUE;
  return FALSE;
}

void
qt_granted (QtBorrower *b, GmTime now, const char *customer, guint64 sequence,
            const QtGrant *grant)
{
  Account *a = g_hash_table_lookup (b->accounts, customer);
  guint centre;
  if (a == NULL || !find_request (a, sequence, &centre))
    return;
  Request answered = a->requests[centre];
  a->requests[centre] = (Request){ 0 };
  a->silent[centre] = FALSE;
  b->answer_time[centre]
      = (3 * b->answer_time[centre] + (now - answered.sent_at)) / 4;
  GmTime retry_in = MAX (grant->retry_in, QT_RETRY_MIN);
  if (centre != qt_lenders_own (b->lenders))
    retry_in *= AWAY_RETRY_FACTOR;
  /* A lender that granted less than was asked for has little left.  Asked
     again at once, it would grant single operations, and none of the others
     would be asked.  */
  a->not_before[centre]
      = grant->granted >= answered.wanted ? 0 : now + retry_in;
  if (grant->valid > 0)
    a->valid = MIN (grant->valid, QT_VALID_MAX);
  Lot lot = { .host = answered.host,
              .left = MIN (grant->granted, WANTED_MAX),
              .lent_at = grant->lent_at,
              .sent_at = answered.sent_at,
              .expires = answered.sent_at + grant->valid };
  if (lot.left > 0)
    add_lot (b, a, &lot);
  pursue (b, a, now);
}

void
qt_lenders_changed (QtBorrower *b, GmTime now)
{
  GHashTableIter iter;
  gpointer value;
  memset (b->answer_time, 0, sizeof b->answer_time);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;
      memset (a->requests, 0, sizeof a->requests);
      memset (a->not_before, 0, sizeof a->not_before);
      memset (a->silent, 0, sizeof a->silent);
      pursue (b, a, now);
    }
}

static void
end_silent_requests (Account *a, GmTime now)
{
  for (guint i = 0; i < QT_CENTRES_MAX; i++)
    if (a->requests[i].awaited
        && now >= a->requests[i].sent_at + QT_ASK_TIMEOUT)
      {
        a->requests[i].awaited = FALSE;
        a->silent[i] = TRUE;
        a->not_before[i] = now + SILENT_RETRY;
      }
}

static void
end_late_waiting (QtBorrower *b, Account *a, GmTime now)
{
  const Waiter *first;
  while ((first = g_queue_peek_head (&a->waiting)) != NULL
         && now >= first->deadline)
    decide (b, a,
            &(QtDecision){ .answer = QT_REFUSED, .retry_in = QT_ASK_TIMEOUT });
}

/* Returns operations of grants that are half over and not expected to be
   used.  */
static void
return_unused (QtBorrower *b, Account *a, GmTime now)
{
  double valid = (double)a->valid * RETURN_AFTER_SHARE;
  double expected = expected_rate (a, now) * valid / (double)GM_SECOND;
  if (a->waiting.length > 0 || (double)allowance (a) <= expected)
    return;
  for (guint i = 0; i < qt_lenders_count (b->lenders); i++)
    {
      const QtHost *host = qt_lenders_choose (b->lenders, a->customer, i);
      QtAsk ask = { 0 };
      gboolean due = FALSE;
      for (guint k = 0; k < a->lots_held; k++)
        due = due
              || (a->lots[k].host == host->hash && a->lots[k].left > 0
                  && a->lots[k].sent_at < now - (GmTime)valid);
      if (!due)
        continue;
      report_lots (b, a, host->hash, now - (GmTime)valid, &ask);
      send_ask (b, a, i, 0, &ask);
    }
}

static gboolean
is_forgotten (const Account *a, GmTime now)
{
  return now >= a->demand_at + FORGET_AFTER && a->waiting.length == 0
         && a->lots_held == 0 && !is_awaiting (a);
}

static void
sweep (QtBorrower *b, GmTime now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;
      expire_lots (a, now);
      if (a->lots_held > 0)
        return_unused (b, a, now);
      if (!is_forgotten (a, now))
        continue;
      set_asking (b, a, FALSE);
      g_hash_table_iter_remove (&iter);
    }
}

void
qt_borrower_tick (QtBorrower *b, GmTime now)
{
  g_autoptr (GPtrArray) asking = g_ptr_array_copy (b->asking, NULL, NULL);
  for (guint i = 0; i < asking->len; i++)
    {
      Account *a = g_ptr_array_index (asking, i);
      end_silent_requests (a, now);
      end_late_waiting (b, a, now);
      pursue (b, a, now);
    }
  if (now < b->next_sweep)
    return;
  b->next_sweep = now + SWEEP_INTERVAL;
  sweep (b, now);
}

gboolean
qt_is_asking (const QtBorrower *b)
{
  return b->asking->len > 0;
}

gboolean
qt_next (QtBorrower *b, QtEvent *event)
{
  g_clear_pointer (&b->last, event_free);
  b->last = g_queue_pop_head (&b->events);
  if (b->last == NULL)
    return FALSE;
  *event = *b->last;
  return TRUE;
}
