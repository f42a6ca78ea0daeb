#include "router.h"
#include "balance/health.h"
#include "balance/lag.h"
#include "balance/window.h"
#include "base/mutant.h"
#include <string.h>

/* Time of a trip to a database's pool and on to the database, in this data
   centre and to another one, where none was measured.  */
#define TRIP_LOCAL (1 * GM_MS)
#define TRIP_REMOTE (3 * GM_MS)
/* Added to the expected time of a read at the primary, and its load once more:
   the read takes a slot there, and writes can't run elsewhere.  */
#define PRIMARY_PENALTY (8 * GM_MS)
/* Capacity of the primary for reads that leave a replica, relative to that of
   another replica.  Where both have free slots, few reads go to the primary.
 */
#define PRIMARY_WEIGHT 0.2
/* Shares of a queue that a host uses alike.  With one, hosts spread so
   unevenly over the shares that some are overloaded before others are busy. */
#define SHARES_PREFERRED 2
/* A further share is used only if its time is shorter by this than that of the
   preferred ones: about one statement's time.  Each host keeps few links.  */
#define SHARE_SWITCH_PENALTY (8 * GM_MS)
/* The same for a statement of a customer with shares of its own: elsewhere it
   most likely needs a new connection, whose handshake takes longer than most
   statements.  */
#define CUSTOMER_SWITCH_PENALTY (15 * GM_MS)
/* A copy is slow if its statements take more than so many times as long as
   those of the fastest: services of a rank differ by less.  */
#define SLOW_FACTOR 3
/* Of the statements that would be refused here, one in so many is sent, so
   that news of the queues keeps coming.  */
#define LET_THROUGH_ONE_IN 16
/* Exponential backoff of reads at a replica that lacked a position: each try
   costs a read a round trip, and all entry hosts try.  */
#define LAG_BACKOFF_MIN (50 * GM_MS)
#define LAG_BACKOFF_MAX (1 * GM_SECOND)

/* What is known of one share of a database's queue.  */
typedef struct
{
  BlShare load;
  BlWindow windows[CF_RANK_COUNT];
} Share;

/* What is known of one database.  */
typedef struct
{
  GHashTable *shares; /* host -> Share */
  BlHealth health;
  BlLag lag;
  GmTime lacked_at;      /* time of the position it lacked; 0: no lag */
  GmTime retry_interval; /* backoff between two tries while it lags */
  GmTime retry_at;
} Estimate;

/* A position that a group's primary had at a time.  */
typedef struct
{
  TkPoint point;
  GmTime at;
} Sample;

typedef struct
{
  GPtrArray *databases;           /* char *, ids */
  Sample samples[SR_SAMPLES_MAX]; /* ring buffer, SR_SAMPLE_SPACING apart */
  guint next_sample;              /* index of the next sample to overwrite */
  Sample newest;
} Group;

struct SrRouter
{
  char *data_centre;
  const LvCore *hosts;
  GHashTable *groups;    /* name -> Group */
  GHashTable *estimates; /* id -> Estimate */
  guint64 seed;          /* hash of the host's name, for preferred_share */
  gint64 declaration;    /* number of the one that rate_total is from */
  double rate_total;     /* sum of the declared rates of all customers */
  GmRandom random;
  BlBudget retries;
};

static void
estimate_free (gpointer data)
{
  Estimate *estimate = data;
  g_hash_table_unref (estimate->shares);
  g_free (estimate);
}

static void
group_free (Group *group)
{
  g_ptr_array_unref (group->databases);
  g_free (group);
}

SrRouter *
sr_new (const char *host, const char *data_centre, const LvCore *hosts)
{
  SrRouter *router = g_new0 (SrRouter, 1);
  router->seed = gm_hash (host, strlen (host), 0);
  gm_random_seed (&router->random, router->seed);
  router->hosts = hosts;
  router->data_centre = g_strdup (data_centre);
  router->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)group_free);
  router->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, estimate_free);
  return router;
}

void
sr_free (SrRouter *router)
{
  g_hash_table_unref (router->groups);
  g_hash_table_unref (router->estimates);
  g_free (router->data_centre);
  g_free (router);
}

static Group *
group_of (SrRouter *router, const char *name)
{
  Group *group = g_hash_table_lookup (router->groups, name);
  if (group == NULL)
    {
      group = g_new0 (Group, 1);
      group->databases = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (router->groups, g_strdup (name), group);
    }
  return group;
}

/* Sums the declared rates; customers without one count as none.  */
static void
add_rates (SrRouter *router, const CfDeclaration *declaration)
{
  if (declaration == NULL || declaration->customers == NULL
      || declaration->number == router->declaration)
    return;
  router->declaration = declaration->number;
  router->rate_total = 0;
  for (guint i = 0; i < declaration->customers->len; i++)
    {
      const CfCustomer *c = g_ptr_array_index (declaration->customers, i);
      router->rate_total += MAX (c->rate, 0);
    }
}

void
sr_state_changed (SrRouter *router, const CsState *state)
{
  add_rates (router, cs_declaration (state));
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, router->groups);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (cs_group (state, key) == NULL)
      g_hash_table_iter_remove (&iter);
    else
      g_ptr_array_set_size (((Group *)value)->databases, 0);
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_ptr_array_add (
        group_of (router, ((CsDatabase *)value)->group)->databases,
        g_strdup (key));
  g_hash_table_iter_init (&iter, router->estimates);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (state->databases, key))
      g_hash_table_iter_remove (&iter);
}

static Estimate *
estimate_of (SrRouter *router, const char *id)
{
  Estimate *estimate = g_hash_table_lookup (router->estimates, id);
  if (estimate == NULL)
    {
      estimate = g_new0 (Estimate, 1);
      estimate->shares
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (router->estimates, g_strdup (id), estimate);
    }
  return estimate;
}

void
sr_note_position (SrRouter *router, const char *name, TkPoint point, GmTime at)
{
  Group *group = group_of (router, name);
  if (group->newest.at != 0 && at <= group->newest.at)
    return;
  Sample *last = &group->samples[(group->next_sample + SR_SAMPLES_MAX - 1)
                                 % SR_SAMPLES_MAX];
  group->newest = (Sample){ point, at };
  if (last->at != 0 && at < last->at + SR_SAMPLE_SPACING)
    return;
  group->samples[group->next_sample] = group->newest;
  group->next_sample = (group->next_sample + 1) % SR_SAMPLES_MAX;
}

static Share *
share_of (SrRouter *router, const char *id, const char *host)
{
  const Estimate *estimate = estimate_of (router, id);
  Share *share = g_hash_table_lookup (estimate->shares, host);
  if (share == NULL)
    {
      share = g_new0 (Share, 1);
      g_hash_table_insert (estimate->shares, g_strdup (host), share);
    }
  return share;
}

/* What is known of the share of the queue of the database ID that HOST holds;
   zeroes where nothing is.  */
static const Share *
known_share (const SrRouter *router, const char *id, const char *host)
{
  static const Share unknown;
  const Estimate *estimate = g_hash_table_lookup (router->estimates, id);
  const Share *share
      = estimate != NULL ? g_hash_table_lookup (estimate->shares, host) : NULL;
  return share != NULL ? share : &unknown;
}

static const BlShare *
known_load (const SrRouter *router, const char *id, const char *host)
{
  return &known_share (router, id, host)->load;
}

void
sr_note_report (SrRouter *router, GmTime now, const char *id, const char *host,
                const BlReport *report)
{
  bl_report (&share_of (router, id, host)->load, now, report);
}

void
sr_note_sent (SrRouter *router, GmTime now, const char *id, const char *host,
              CfRank rank)
{
  Share *share = share_of (router, id, host);
  bl_sent (&share->load);
  bl_window_sent (&share->windows[rank], now);
}

void
sr_note_answer (SrRouter *router, GmTime now, const char *id, const char *host,
                CfRank rank, GmTime sent_at, gboolean too_much)
{
  Share *share = share_of (router, id, host);
  bl_window_answered (&share->windows[rank], sent_at);
  if (!too_much)
    bl_window_raise (&share->windows[rank]);
  /* Lower ranks make room for this one, not the other way round.  */
  for (guint i = rank; too_much && i < CF_RANK_COUNT; i++)
    bl_window_lower (&share->windows[i], now, sent_at);
}

void
sr_note_result (SrRouter *router, GmTime now, const char *id, gboolean failed)
{
  bl_note_result (&estimate_of (router, id)->health, now, failed);
}

void
sr_note_first_try (SrRouter *router, GmTime now)
{
  bl_budget_earn (&router->retries, now);
}

gboolean
sr_take_retry (SrRouter *router, GmTime now)
{
  return bl_budget_take (&router->retries, now);
}

GmTime
sr_network_time (const SrRouter *router, const char *id, const char *host)
{
  return known_load (router, id, host)->network_time;
}

void
sr_note_lag (SrRouter *router, GmTime now, const char *id, gboolean lacks,
             GmTime at)
{
  Estimate *e = estimate_of (router, id);
  bl_note_lag (&e->lag, now, at, lacks);
  if (!lacks && at >= e->lacked_at)
    e->lacked_at = 0;
  if (!lacks || (e->lacked_at != 0 && now < e->retry_at))
    return;
  e->retry_interval = e->lacked_at == 0
                          ? LAG_BACKOFF_MIN
                          : MIN (2 * e->retry_interval, LAG_BACKOFF_MAX);
  e->lacked_at = at;
  e->retry_at = now + e->retry_interval;
}

/* Whether a replica is worth a try for a read that needs the position of the
   time AT: it is expected to have that position soon, the position is older
   than the one that it lacked, or the backoff is over.  */
static gboolean
may_have_position (const Estimate *e, GmTime now, GmTime at)
{
  return e == NULL || e->lacked_at == 0 || at < e->lacked_at
         || now >= e->retry_at
         || (e->lag.lag <= SR_LAG_WAIT_MAX
             && bl_lag_delay (&e->lag, now, at) <= SR_LAG_WAIT_MAX);
}

GmTime
sr_position_delay (const SrRouter *router, GmTime now, const char *id,
                   GmTime at)
{
  const Estimate *e = g_hash_table_lookup (router->estimates, id);
  return e != NULL && e->lag.lag <= SR_LAG_WAIT_MAX
             ? bl_lag_delay (&e->lag, now, at)
             : 0;
}

gboolean
sr_position (const SrRouter *router, const char *name, GmTime since,
             TkPoint *point, GmTime *at)
{
  const Group *group = g_hash_table_lookup (router->groups, name);
  const Sample *best = NULL;
  if (group == NULL || group->newest.at == 0)
    return FALSE;
  if (GM_MUTANT (OLD_SAMPLE))
    since = G_MININT64;
  if (group->newest.at >= since)
    best = &group->newest;
  for (guint i = 0; i < SR_SAMPLES_MAX; i++)
    {
      const Sample *s = &group->samples[i];
      if (s->at != 0 && s->at >= since && (best == NULL || s->at < best->at))
        best = s;
    }
  if (best == NULL)
    return FALSE;
  *point = best->point;
  *at = best->at;
  return TRUE;
}

GmTime
sr_newest_at (const SrRouter *router, const char *name)
{
  const Group *group = g_hash_table_lookup (router->groups, name);
  return group != NULL ? group->newest.at : 0;
}

gboolean
sr_is_silent (const SrRouter *router, const char *host)
{
  return lv_is_silent (router->hosts, host);
}

/* Whether statements of CUSTOMER are gathered on few shares.  */
static gboolean
has_own_shares (const CsState *state, const char *customer)
{
  const CfCustomer *declared
      = customer != NULL ? cf_customer_find (cs_declaration (state), customer)
                         : NULL;
  return declared != NULL && declared->rate > 0;
}

/* The index of the share that this host prefers among the SHARES of the queue
   of the database ID for a statement of CUSTOMER, or NULL.  Without a customer
   the hash spreads hosts evenly over the shares, and each host keeps few
   links.  With one, all hosts prefer the same share, or as many as it takes
   for the customer to bring no share more than an even part of all load: its
   connections are then opened at few hosts.  */
static guint
preferred_share (const SrRouter *router, const CsState *state, const char *id,
                 const char *customer, guint shares)
{
  guint64 own = gm_hash (id, strlen (id), router->seed);
  const CfCustomer *declared
      = customer != NULL ? cf_customer_find (cs_declaration (state), customer)
                         : NULL;
  if (declared == NULL || declared->rate <= 0)
    return (guint)(own % shares);
  double part = declared->rate / MAX (router->rate_total, declared->rate);
  guint used = MIN ((guint)(part * shares) + 1, shares);
  guint64 first
      = gm_hash (id, strlen (id), gm_hash (customer, strlen (customer), 0));
  return (guint)((first + own % used) % shares);
}

/* Whether the share, the K-th in the order of this host's preference, may be
   sent another statement.  Links that are full are left to the hosts that
   prefer them.  */
static gboolean
share_has_room (Share *share, GmTime now, CfRank rank, guint k, GmTime slow)
{
  BlWindow *window = &share->windows[rank];
  return k >= SHARES_PREFERRED ? !bl_window_is_limited (window)
                               : bl_window_has_room (window, now, slow);
}

/* Added to the time of the K-th share in the order of preference.  */
static GmTime
switch_penalty (guint k, gboolean gathered)
{
  if (gathered)
    return k > 0 ? CUSTOMER_SWITCH_PENALTY : 0;
  return k >= SHARES_PREFERRED ? SHARE_SWITCH_PENALTY : 0;
}

/* Fills CANDIDATES with the holders of the shares of the queue of the database
   ID, in their order, and returns their number.  Those without room have no
   weight if there is one with room.  */
static guint
share_candidates (SrRouter *router, const CsState *state,
                  const GPtrArray *holders, GmTime now, const char *customer,
                  const char *id, CfRank rank, BlCandidate *candidates)
{
  guint count = holders != NULL ? MIN (holders->len, BL_CANDIDATES_MAX) : 0;
  guint first
      = count > 0 ? preferred_share (router, state, id, customer, count) : 0;
  gboolean room[BL_CANDIDATES_MAX];
  gboolean any_room = FALSE;
  gboolean gathered = has_own_shares (state, customer);
  for (guint k = 0; k < count; k++)
    {
      guint i = (first + k) % count;
      const CsHost *host = g_ptr_array_index (holders, i);
      Share *share = share_of (router, id, host->host);
      gboolean silent = lv_is_silent (router->hosts, host->host);
      room[i] = !silent && share_has_room (share, now, rank, k, G_MAXINT64);
      any_room = any_room || room[i];
      candidates[i] = (BlCandidate){
        .time = bl_work_ahead (&share->load, now, (guint)rank)
                + switch_penalty (k, gathered),
        .weight = silent ? 0.0 : 1.0,
        .health = 1.0,
      };
    }
  for (guint i = 0; any_room && i < count; i++)
    if (!room[i])
      candidates[i].weight = 0.0;
  return count;
}

gboolean
sr_has_room (SrRouter *router, const CsState *state, GmTime now,
             const char *customer, const char *id, CfRank rank, GmTime slow)
{
  const GPtrArray *holders = cs_queue_holders (state, id);
  guint count = holders != NULL ? holders->len : 0;
  guint first
      = count > 0 ? preferred_share (router, state, id, customer, count) : 0;
  for (guint k = 0; k < count; k++)
    {
      const CsHost *host = g_ptr_array_index (holders, (first + k) % count);
      if (share_has_room (share_of (router, id, host->host), now, rank, k,
                          slow))
        return TRUE;
    }
  return count == 0;
}

const CsHost *
sr_holder (SrRouter *router, const CsState *state, GmTime now,
           const char *customer, const char *id, CfRank rank)
{
  const GPtrArray *holders = cs_queue_holders (state, id);
  BlCandidate candidates[BL_CANDIDATES_MAX];
  guint count = share_candidates (router, state, holders, now, customer, id,
                                  rank, candidates);
  guint preferred
      = count > 0 ? preferred_share (router, state, id, customer, count) : 0;
  guint chosen = bl_choose (candidates, count, preferred, 0, &router->random);
  return chosen < count ? g_ptr_array_index (holders, chosen) : NULL;
}

const CsDatabase *
sr_primary (const SrRouter *router, const CsState *state, const char *name)
{
  (void)router;
  const CsGroup *group = cs_group (state, name);
  return group != NULL && *group->primary != '\0'
                 && (group->settled || GM_MUTANT (UNSETTLED_SERVES))
                 && !group->interim
             ? g_hash_table_lookup (state->databases, group->primary)
             : NULL;
}

/* The expected time of a read of RANK at DATABASE, at the best share of its
   queue.  *WORK is the time of one statement in a slot.  FALSE if all holders
   are silent.  */
static gboolean
expected_time (SrRouter *router, const CsState *state, GmTime now,
               const CsDatabase *database, CfRank rank, gboolean primary,
               GmTime *time, GmTime *work)
{
  const GPtrArray *holders = cs_queue_holders (state, database->id);
  BlCandidate candidates[BL_CANDIDATES_MAX];
  guint count = share_candidates (router, state, holders, now, NULL,
                                  database->id, rank, candidates);
  gboolean local = strcmp (database->data_centre, router->data_centre) == 0;
  const BlShare *best = NULL;
  *time = 0;
  for (guint i = 0; i < count; i++)
    {
      GmTime t = candidates[i].time;
      if (candidates[i].weight <= 0 || (best != NULL && t >= *time))
        continue;
      const CsHost *host = g_ptr_array_index (holders, i);
      best = known_load (router, database->id, host->host);
      *time = t;
    }
  *work = best != NULL ? bl_cost (best, (guint)rank) : 0;
  if (primary)
    *time += PRIMARY_PENALTY
             + (best != NULL ? bl_estimate (&best->running, now) : 0);
  *time += MAX (local ? TRIP_LOCAL : TRIP_REMOTE,
                best != NULL ? best->network_time : 0);
  return best != NULL;
}

/* How much a read prefers DATABASE while no copy is loaded: this data centre's
   replica, then the other replicas, in an order that differs from host to
   host, then the primary.  */
static guint64
preference (const SrRouter *router, const CsDatabase *database,
            gboolean primary)
{
  if (primary)
    return 0;
  if (strcmp (database->data_centre, router->data_centre) == 0)
    return G_MAXUINT64;
  return MAX (gm_hash (database->id, strlen (database->id), router->seed) >> 1,
              1);
}

/* The copies of a group that may serve a read.  */
typedef struct
{
  guint count;
  const CsDatabase *copies[BL_CANDIDATES_MAX];
  BlCandidate candidates[BL_CANDIDATES_MAX];
  GmTime work[BL_CANDIDATES_MAX];   /* of one statement; 0: not known */
  gboolean room[BL_CANDIDATES_MAX]; /* in the windows of its holders */
  guint preferred;
} Copies;

static void
add_copy (Copies *c, SrRouter *router, const CsState *state, GmTime now,
          const CsDatabase *database, CfRank rank, gboolean primary,
          gboolean out_of_reach)
{
  const Estimate *estimate
      = g_hash_table_lookup (router->estimates, database->id);
  guint i = c->count;
  GmTime time;
  if (i == BL_CANDIDATES_MAX
      || (!expected_time (router, state, now, database, rank, primary, &time,
                          &c->work[i])
          && !out_of_reach))
    return;
  c->copies[i] = database;
  c->candidates[i] = (BlCandidate){
    .time = time,
    .weight = primary ? PRIMARY_WEIGHT : 1.0,
    .health
    = estimate != NULL ? bl_health_weight (&estimate->health, now) : 1.0,
  };
  c->room[i]
      = sr_has_room (router, state, now, NULL, database->id, rank, G_MAXINT64);
  c->count++;
}

/* The work of a statement at the fastest of COPIES; 0: not known.  */
static GmTime
least_work (const Copies *c)
{
  GmTime least = 0;
  for (guint i = 0; i < c->count; i++)
    if (c->work[i] > 0 && (least == 0 || c->work[i] < least))
      least = c->work[i];
  return least;
}

/* Adds to the time of slow copies what their statements take longer.  */
static void
add_slowness (Copies *c)
{
  GmTime usual = SLOW_FACTOR * least_work (c);
  for (guint i = 0; i < c->count; i++)
    c->candidates[i].time += MAX (c->work[i] - usual, 0);
}

/* Takes out the copies without room, if there is one with room.  */
static void
leave_full_copies (Copies *c)
{
  gboolean any = FALSE;
  for (guint i = 0; i < c->count; i++)
    any = any || c->room[i];
  for (guint i = 0; any && i < c->count; i++)
    if (!c->room[i])
      c->candidates[i].weight = 0.0;
}

static void
find_copies (Copies *c, SrRouter *router, const CsState *state, GmTime now,
             const char *name, CfRank rank, GmTime at, const char *exclude,
             gboolean out_of_reach)
{
  const Group *group = g_hash_table_lookup (router->groups, name);
  const CsDatabase *primary = sr_primary (router, state, name);
  guint64 most = 0;
  c->count = 0;
  c->preferred = 0;
  for (guint i = 0; group != NULL && i < group->databases->len; i++)
    {
      const char *id = g_ptr_array_index (group->databases, i);
      const CsDatabase *d = g_hash_table_lookup (state->databases, id);
      const Estimate *estimate = g_hash_table_lookup (router->estimates, id);
      if (d == NULL || g_strcmp0 (id, exclude) == 0
          || (d->leaving && d != primary)
          || (d != primary && !may_have_position (estimate, now, at)))
        continue;
      guint before = c->count;
      add_copy (c, router, state, now, d, rank, d == primary, out_of_reach);
      if (c->count > before && d != primary)
        c->candidates[before].time += sr_position_delay (router, now, id, at);
      guint64 preferred = preference (router, d, d == primary);
      if (c->count > before && preferred > most)
        {
          c->preferred = before;
          most = preferred;
        }
    }
  add_slowness (c);
  leave_full_copies (c);
}

const CsDatabase *
sr_read_database (SrRouter *router, const CsState *state, GmTime now,
                  const char *name, CfRank rank, GmTime at,
                  const char *exclude, gboolean out_of_reach)
{
  Copies c;
  find_copies (&c, router, state, now, name, rank, at, exclude, out_of_reach);
  if (c.count == 0)
    return NULL;
  /* A replica of this data centre whose slots are just busy can serve the
     read: only a queue there is worth the bytes between data centres.  */
  gboolean local
      = strcmp (c.copies[c.preferred]->data_centre, router->data_centre) == 0;
  GmTime margin = local ? least_work (&c) : 0;
  guint chosen = bl_choose (c.candidates, c.count, c.preferred, margin,
                            &router->random);
  return chosen < c.count ? c.copies[chosen] : NULL;
}

/* The least sure wait at a share of the queue of the database ID.  */
static GmTime
sure_wait_at (const SrRouter *router, const CsState *state, GmTime now,
              const char *id, CfRank rank)
{
  const GPtrArray *holders = cs_queue_holders (state, id);
  GmTime least = G_MAXINT64;
  for (guint i = 0; holders != NULL && i < holders->len; i++)
    {
      const CsHost *host = g_ptr_array_index (holders, i);
      if (!lv_is_silent (router->hosts, host->host))
        least = MIN (least, bl_sure_wait (known_load (router, id, host->host),
                                          now, (guint)rank));
    }
  return least < G_MAXINT64 ? least : 0;
}

GmTime
sr_sure_wait (SrRouter *router, const CsState *state, GmTime now,
              const char *name, CfRank rank, gboolean reads, GmTime at,
              const char *exclude)
{
  const CsDatabase *primary = sr_primary (router, state, name);
  if (!reads)
    return primary != NULL
               ? sure_wait_at (router, state, now, primary->id, rank)
               : 0;
  Copies c;
  GmTime least = G_MAXINT64;
  find_copies (&c, router, state, now, name, rank, at, exclude, FALSE);
  for (guint i = 0; i < c.count; i++)
    least = MIN (least,
                 sure_wait_at (router, state, now, c.copies[i]->id, rank));
  return least < G_MAXINT64 ? least : 0;
}

gboolean
sr_lets_through (SrRouter *router)
{
  return gm_random_below (&router->random, LET_THROUGH_ONE_IN) == 0;
}

/* Why the copy D may serve a statement or not.  */
static const char *
explain_copy (const Copies *c, const CsDatabase *d, const CsDatabase *primary,
              gboolean reads, gboolean may_have)
{
  if (d != primary && !reads)
    return "only the primary may serve it";
  if (d->leaving && d != primary)
    return "it is leaving";
  if (d != primary && !may_have)
    return "it lacked a position of that age";
  for (guint i = 0; i < c->count; i++)
    if (c->copies[i] == d)
      return c->room[i] ? "it may serve it"
                        : "too much is on its way to its holders";
  return "its holders are silent";
}

guint
sr_view_copies (SrRouter *router, const CsState *state, GmTime now,
                const char *name, CfRank rank, gboolean reads, GmTime at,
                SrCopyView views[SR_VIEWS_MAX])
{
  const Group *group = g_hash_table_lookup (router->groups, name);
  const CsDatabase *primary = sr_primary (router, state, name);
  guint count = 0;
  Copies c;
  find_copies (&c, router, state, now, name, rank, at, NULL, FALSE);
  for (guint i = 0;
       group != NULL && i < group->databases->len && count < SR_VIEWS_MAX; i++)
    {
      const char *id = g_ptr_array_index (group->databases, i);
      const CsDatabase *d = g_hash_table_lookup (state->databases, id);
      const Estimate *e = g_hash_table_lookup (router->estimates, id);
      if (d == NULL)
        continue;
      SrCopyView *view = &views[count++];
      *view = (SrCopyView){
        .database = d,
        .primary = d == primary,
        .preferred
        = reads ? c.count > 0 && c.copies[c.preferred] == d : d == primary,
        .why
        = explain_copy (&c, d, primary, reads, may_have_position (e, now, at)),
        .position_delay
        = d != primary ? sr_position_delay (router, now, id, at) : 0,
        .health = e != NULL ? bl_health_weight (&e->health, now) : 1.0,
      };
      for (guint k = 0; k < c.count; k++)
        if (c.copies[k] == d)
          {
            view->time = c.candidates[k].time;
            view->serves = c.room[k] && (reads || d == primary);
          }
    }
  return count;
}

void
sr_view_share (const SrRouter *router, const CsState *state, GmTime now,
               const char *id, guint index, CfRank rank, SrShareView *view)
{
  const GPtrArray *holders = cs_queue_holders (state, id);
  const CsHost *host = g_ptr_array_index (holders, index);
  const Share *share = known_share (router, id, host->host);
  guint first = preferred_share (router, state, id, NULL, holders->len);
  guint order = (index + holders->len - first) % holders->len;
  GmTime at = share->load.waits[rank].at;
  *view = (SrShareView){
    .host = host,
    .preferred = order < SHARES_PREFERRED,
    .silent = lv_is_silent (router->hosts, host->host),
    .report_age = at != 0 ? now - at : -1,
    .queue_wait = bl_queue_wait (&share->load, now, (guint)rank),
    .work_ahead = bl_work_ahead (&share->load, now, (guint)rank),
    .network_time = share->load.network_time,
    .window = (guint)share->windows[rank].limit,
  };
}
