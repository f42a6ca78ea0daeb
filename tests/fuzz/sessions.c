/* Fuzzer of sessions, pools and failover together, under a virtual clock and
   random faults.  The model databases record every write and report
   violations.  A seed determines the whole schedule.

   sessions --seed N [--seeds M] [--steps S] [--deposed-serves] [--releases]
            [--customers] [--own-connections] [--moves]
 */
#include "sessions.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define SETTLE_TIME (20 * GM_SECOND)

static const char *first_violation;

void
sw_violation (const char *what)
{
  if (first_violation == NULL)
    first_violation = what;
}

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const Event *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

void
sw_at (World *w, GmTime when, void (*run) (World *, gpointer), gpointer data)
{
  Event *event = g_new0 (Event, 1);
  event->at = when;
  event->order = ++w->last_order;
  event->run = run;
  event->data = data;
  g_sequence_insert_sorted (w->events, event, compare_events, NULL);
}

GmTime
sw_delay (World *w, GmTime most)
{
  return 50 + (GmTime)gm_random_below (&w->random, (guint64)most);
}

gboolean
sw_chance (World *w, guint per_thousand)
{
  return gm_random_below (&w->random, 1000) < per_thousand;
}

static void
statement_free (gpointer data)
{
  MdStatement *s = data;
  g_hash_table_unref (s->values);
  g_free (s->shape);
  g_free (s);
}

/* What differs between worlds, apart from the seed.  */
typedef struct
{
  gboolean deposed_serves;
  gboolean releases;
  gboolean customers;
  gboolean own_connections;
  gboolean moves;
} Variant;

static void
world_init (World *w, guint64 seed, const Variant *variant)
{
  static const char *const services[] = { "primary", "session", "bounded" };
  memset (w, 0, sizeof *w);
  gm_random_seed (&w->random, seed);
  /* Odd seeds have slow links, so that several hosts share the queue of a
     database.  */
  w->link_rate = seed % 2 == 0 ? 0 : SLOW_LINK_RATE;
  w->now = START_TIME;
  w->events = g_sequence_new (g_free);
  md_init (&w->group, sw_violation);
  w->group.deposed_serves = variant->deposed_serves;
  w->releases = variant->releases;
  w->customers = variant->customers;
  w->moves = variant->moves;
  w->own_connections = variant->own_connections;
  if (w->releases)
    w->group.copies = MD_COPIES_MAX;
  w->state = cs_new ();
  w->statements = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         statement_free);
  w->not_run = g_array_new (FALSE, FALSE, sizeof (guint64));
  w->leader = to_new ("c0");
  g_strlcpy (w->leader_name, "c0", sizeof w->leader_name);
  w->round = 3;
  to_lead (w->leader, w->now, w->round);
  for (guint i = 0; i < HOSTS; i++)
    {
      Host *host = &w->hosts[i];
      host->world = w;
      g_snprintf (host->name, sizeof host->name, "h%u", i);
      host->incarnation = i + 1;
      host->state = cs_new ();
      host->liveness = lv_new ();
      host->router = sr_new (host->name, "dc0", host->liveness);
      for (guint j = 0; j < MD_COPIES_MAX; j++)
        host->pools[j] = (Pool){
          .host = host,
          .database = &w->group.databases[j],
          .conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                          (GDestroyNotify)md_conn_free),
          .transactions
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL),
        };
    }
  sw_move_routes (w, FALSE);
  for (guint i = 0; i < HOSTS; i++)
    sw_announce_host (w, &w->hosts[i], TRUE);
  for (guint i = 0; i < MD_DATABASES; i++)
    sw_announce (w, &w->group.databases[i]);
  for (guint i = 0; i < SESSIONS; i++)
    {
      Caller *c = &w->callers[i];
      c->world = w;
      c->host = &w->hosts[i % HOSTS];
      c->number = ++w->last_session;
      c->key = -1;
      c->session = sn_new (services[i % G_N_ELEMENTS (services)]);
      c->session_values
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      c->prepared_shapes
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      c->transaction_writes = g_array_new (FALSE, FALSE, sizeof (guint64));
      sw_at (w, w->now + 100 * GM_MS + sw_delay (w, 50 * GM_MS),
             sw_next_statement, c);
    }
  if (w->customers)
    sw_init_customers (w);
  sw_at (w, w->now + TICK_INTERVAL, sw_tick, NULL);
}

static gboolean
step (World *w)
{
  GSequenceIter *first = g_sequence_get_begin_iter (w->events);
  if (g_sequence_iter_is_end (first))
    return FALSE;
  Event event = *(Event *)g_sequence_get (first);
  g_sequence_remove (first);
  w->now = event.at;
  event.run (w, event.data);
  return first_violation == NULL;
}

/* Ends the faults, lets the system settle and checks the final state.  */
static void
settle (World *w)
{
  GmTime end = w->now + SETTLE_TIME;
  w->faults_ended = TRUE;
  if (w->moves)
    sw_move_routes (w, FALSE);
  for (guint i = 0; i < w->group.copies; i++)
    w->group.databases[i].receive_paused = FALSE;
  for (guint i = 0; i < HOSTS; i++)
    sw_announce_host (w, &w->hosts[i], TRUE);
  if (w->customers)
    sw_grant_keys (w);
  guint64 before = w->answers[GM_OK];
  while (w->now < end && step (w))
    if (w->now > end - SETTLE_TIME / 4 && before != 0)
      {
        before = 0;
        w->answers[GM_OK] = 0;
      }
  if (first_violation == NULL && w->answers[GM_OK] == 0)
    sw_violation ("nothing is served after the faults have ended");
  for (guint i = 0; i < w->not_run->len; i++)
    if (md_primary_has_write (&w->group,
                              g_array_index (w->not_run, guint64, i)))
      sw_violation ("a write that was reported as not run is in the log");
  for (guint i = 0; i < w->group.acknowledged->len; i++)
    if (!md_primary_has_write (
            &w->group, g_array_index (w->group.acknowledged, MdAck, i).uid))
      sw_violation ("an acknowledged write is lost");
}

static gboolean
run_seed (guint64 seed, guint64 steps, const Variant *variant)
{
  World *w = g_new0 (World, 1);
  first_violation = NULL;
  world_init (w, seed, variant);
  while (w->steps < steps && step (w))
    ;
  guint64 served = w->answers[GM_OK];
  if (first_violation == NULL)
    settle (w);
  printf ("seed=%" G_GUINT64_FORMAT " steps=%" G_GUINT64_FORMAT
          " ok=%" G_GUINT64_FORMAT " acknowledged=%u promised=%u "
          "promotions=%u%s%s\n",
          seed, w->steps, served, w->group.acknowledged->len, w->not_run->len,
          w->promotions, first_violation != NULL ? " VIOLATION " : "",
          first_violation != NULL ? first_violation : "");
  /* W is not freed: the process exits soon.  */
  return first_violation == NULL;
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "the first seed");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "how many");
  struct arg_int *steps = arg_int0 (NULL, "steps", "N", "statements a seed");
  struct arg_lit *serves = arg_lit0 (
      NULL, "deposed-serves", "a replaced primary serves until it steps down");
  struct arg_lit *releases = arg_lit0 (
      NULL, "releases", "databases are replaced, and out of sight at times");
  struct arg_lit *customers
      = arg_lit0 (NULL, "customers", "callers have keys, which come and go");
  struct arg_lit *own
      = arg_lit0 (NULL, "own-connections", "a connection serves one customer");
  struct arg_lit *moves = arg_lit0 (
      NULL, "moves", "routes go to a group without databases and back");
  struct arg_end *end = arg_end (4);
  void *table[]
      = { seed, seeds, steps, serves, releases, customers, own, moves, end };
  seed->ival[0] = 1;
  seeds->ival[0] = 1;
  steps->ival[0] = 4000;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "sessions");
      return 2;
    }
  Variant variant = { .deposed_serves = serves->count > 0,
                      .releases = releases->count > 0,
                      .customers = customers->count > 0,
                      .own_connections = own->count > 0,
                      .moves = moves->count > 0 };
  guint violations = 0;
  for (int i = 0; i < seeds->ival[0]; i++)
    violations += run_seed ((guint64)seed->ival[0] + (guint64)i,
                            (guint64)steps->ival[0], &variant)
                      ? 0
                      : 1;
  printf ("seeds=%d violations=%u\n", seeds->ival[0], violations);
  arg_freetable (table, G_N_ELEMENTS (table));
  return violations > 0 ? 1 : 0;
}
