/* Stateful fuzzer: runs a random schedule of requests and faults against the
   cores and checks the answers with the oracle.  Each step has a random
   generator of its own, so that shrinking can leave out single steps.

   Usage: fuzz [--seed N] [--seeds N] [--steps N] [--quiet] [--stop]
               [--healing]  */
#include "oracle.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_STEP_TIME (12 * GM_MS)
#define FAULT_ONE_IN 60
#define OPERATOR_ONE_IN 120
#define MAX_ACTIVE_FAULTS 2
#define SETTLE_TIME (15 * GM_SECOND)
#define MAX_SHRINK_RUNS 60
/* Added to one of REMOVAL_ONE_IN faults of a control host in healing mode: the
   control group removes the host and admits it again when it is back.  */
#define REMOVAL_TIME (CL_MEMBER_TIMEOUT + GM_SECOND)
#define REMOVAL_ONE_IN 4

/* Name, text, and minimum and spread of the duration in milliseconds.  */
#define FAULTS(X)                                                             \
  X (KILL_HOST, "kill_host", 100, 4000)                                       \
  X (FREEZE_HOST, "freeze_host", 100, 6000)                                   \
  X (CUT_HOSTS, "cut_hosts", 100, 6000)                                       \
  X (RESET_HOSTS, "reset_hosts", 50, 3000)                                    \
  X (LOSE_DISK, "lose_disk", 500, 3000)                                       \
  X (KILL_DATABASE, "kill_database", 100, 4000)                               \
  X (FREEZE_DATABASE, "freeze_database", 100, 4000)                           \
  X (CUT_PEERS, "cut_peers", 200, 5000)                                       \
  X (CUT_DATABASE, "cut_database", 100, 4000)                                 \
  X (LAG, "lag", 500, 5000)                                                   \
  X (LATE, "late_answers", 200, 3000)                                         \
  X (LEAVING, "leaving", 3000, 3000)

typedef enum
{
#define X(name, text, least, spread) FAULT_##name,
  FAULTS (X)
#undef X
      FAULT_COUNT
} Fault;

static const struct
{
  const char *text;
  GmTime least;
  GmTime spread;
} faults[] = {
#define X(name, text, least, spread) { text, least * GM_MS, spread * GM_MS },
  FAULTS (X)
#undef X
};

/* A fault that has started and not ended yet.  */
typedef struct
{
  Fault fault;
  guint target;
  guint other;
  GmTime until;
} ActiveFault;

typedef struct
{
  World *world;
  Oracle *oracle;
  GArray *active_faults; /* Active */
  guint injected[FAULT_COUNT];
  GString *schedule;
} Run;

static gboolean
has_fault (const Run *run, gboolean database, guint target)
{
  for (guint i = 0; i < run->active_faults->len; i++)
    {
      const ActiveFault *a
          = &g_array_index (run->active_faults, ActiveFault, i);
      gboolean on_database
          = a->fault >= FAULT_KILL_DATABASE && a->fault <= FAULT_LEAVING;
      if (on_database == database && a->target == target)
        return TRUE;
    }
  return FALSE;
}

static void
ignore_result (World *w, GmKind kind, const char *message, gpointer data)
{
  (void)w;
  (void)kind;
  (void)message;
  (void)data;
}

/* Sends the operator's request to admit the new disk of control host H.  */
static void
ask_replace (World *w, guint h)
{
  g_autofree char *name = g_strdup_printf ("host%u", h);
  WmMessage m = { .type = WM_TYPE_VOTER,
                  .voter = { .member = name, .action = (char *)"replace" } };
  for (guint i = 0; i < HOSTS; i++)
    if (world_host_works (w, i))
      world_operator_request (w, i, &m, ignore_result, NULL);
}

/* Starts the fault A.  Returns FALSE if the fault is not possible now.  */
static gboolean
inject (Run *run, const ActiveFault *a, gboolean silent)
{
  World *w = run->world;
  switch (a->fault)
    {
    case FAULT_KILL_HOST:
      world_kill_host (w, a->target);
      return TRUE;
    case FAULT_FREEZE_HOST:
      world_freeze_host (w, a->target, TRUE);
      return TRUE;
    case FAULT_CUT_HOSTS:
    case FAULT_RESET_HOSTS:
      world_cut_hosts (w, a->target, a->other, a->until,
                       a->fault == FAULT_RESET_HOSTS);
      return TRUE;
    case FAULT_LOSE_DISK:
      /* Losing a second disk before the first is replaced may lose the
         majority.  */
      if (a->target >= w->control_count || world_voters (w) < w->control_count)
        return FALSE;
      world_lose_disk (w, a->target);
      return TRUE;
    case FAULT_KILL_DATABASE:
      world_kill_database (w, a->target);
      return TRUE;
    case FAULT_FREEZE_DATABASE:
      world_freeze_database (w, a->target, TRUE);
      return TRUE;
    case FAULT_CUT_PEERS:
      world_cut_peers (w, a->target, TRUE);
      return TRUE;
    case FAULT_CUT_DATABASE:
      for (guint h = 0; h < HOSTS; h++)
        if (h == a->other || silent)
          world_cut_database (w, h, a->target, a->until);
      return TRUE;
    case FAULT_LAG:
      world_set_lag (w, a->target, 400 * GM_MS);
      return TRUE;
    case FAULT_LATE:
      world_set_answer_delay (w, a->target, 300 * GM_MS);
      return TRUE;
    case FAULT_LEAVING:
      world_set_leaving (w, a->target, TRUE);
      return TRUE;
    default:
      return FALSE;
    }
}

static void
end_fault (Run *run, const ActiveFault *a)
{
  World *w = run->world;
  switch (a->fault)
    {
    case FAULT_KILL_HOST:
    case FAULT_LOSE_DISK:
      world_start_host (w, a->target);
      break;
    case FAULT_FREEZE_HOST:
      world_freeze_host (w, a->target, FALSE);
      break;
    case FAULT_CUT_HOSTS:
    case FAULT_RESET_HOSTS:
      world_heal_hosts (w, a->target, a->other);
      break;
    case FAULT_KILL_DATABASE:
      world_start_database (w, a->target);
      break;
    case FAULT_FREEZE_DATABASE:
      world_freeze_database (w, a->target, FALSE);
      break;
    case FAULT_CUT_PEERS:
      world_cut_peers (w, a->target, FALSE);
      break;
    case FAULT_LAG:
      world_set_lag (w, a->target, 5 * GM_MS);
      break;
    case FAULT_LATE:
      world_set_answer_delay (w, a->target, 0);
      break;
    case FAULT_LEAVING:
      world_set_leaving (w, a->target, FALSE);
      break;
    default:
      break;
    }
}

static void
log_fault (Run *run, guint step, const char *what, const ActiveFault *a)
{
  g_string_append_printf (run->schedule,
                          "  step %u at %" G_GINT64_FORMAT
                          " ms: %s of %u/%u until %" G_GINT64_FORMAT " ms\n",
                          step, run->world->now / GM_MS, what, a->target,
                          a->other, a->until / GM_MS);
}

static void
end_due_faults (Run *run, guint step)
{
  World *w = run->world;
  for (guint i = run->active_faults->len; i-- > 0;)
    {
      ActiveFault a = g_array_index (run->active_faults, ActiveFault, i);
      if (a.until > w->now)
        continue;
      end_fault (run, &a);
      log_fault (run, step, "end", &a);
      g_array_remove_index (run->active_faults, i);
    }
  for (guint i = 0; i < run->active_faults->len; i++)
    if (g_array_index (run->active_faults, ActiveFault, i).fault
        != FAULT_LEAVING)
      w->last_fault_at = w->now;
}

static void
fault_step (Run *run, guint step, GmRandom *r)
{
  World *w = run->world;
  ActiveFault a = { .fault = (Fault)gm_random_below (r, FAULT_COUNT) };
  gboolean database = a.fault >= FAULT_KILL_DATABASE;
  gboolean silent = gm_random_below (r, 2) == 0;
  GmTime span = (GmTime)gm_random_below (r, (guint64)faults[a.fault].spread);
  a.until = w->now + faults[a.fault].least + span;
  a.target = (guint)gm_random_below (r, database ? DATABASES : HOSTS);
  if (w->healing && a.target < w->control_count && a.fault <= FAULT_FREEZE_HOST
      && gm_random_below (r, REMOVAL_ONE_IN) == 0)
    a.until += REMOVAL_TIME;
  a.other = (a.target + 1 + (guint)gm_random_below (r, HOSTS - 1)) % HOSTS;
  gboolean alone = run->active_faults->len > 0
                   && g_array_index (run->active_faults, ActiveFault, 0).fault
                          == FAULT_LEAVING;
  /* While a leaving database is the first active fault, half of the other
     faults are skipped, so that check_leaving also sees databases leave
     without other faults.  */
  if (alone && silent)
    return;
  if (run->active_faults->len >= MAX_ACTIVE_FAULTS
      || has_fault (run, database, a.target) || !inject (run, &a, silent))
    return;
  run->injected[a.fault]++;
  log_fault (run, step, faults[a.fault].text, &a);
  g_array_append_val (run->active_faults, a);
}

static void
one_step (Run *run, guint64 seed, guint step)
{
  GmRandom r;
  gm_random_seed (&r, seed * 1000003 + step);
  GmTime span = (GmTime)gm_random_below (&r, MAX_STEP_TIME);
  world_advance (run->world, run->world->now + span);
  end_due_faults (run, step);
  if (gm_random_below (&r, FAULT_ONE_IN) == 0)
    fault_step (run, step, &r);
  if (gm_random_below (&r, OPERATOR_ONE_IN) == 0)
    oracle_operator_step (run->oracle, &r);
  /* An operator notices a lost disk within 100 steps.  */
  if (step % 100 == 0 && !run->world->healing
      && world_voters (run->world) < run->world->control_count)
    for (guint h = 0; h < run->world->control_count; h++)
      ask_replace (run->world, h);
  oracle_session_step (run->oracle, (guint)gm_random_below (&r, SESSIONS), &r);
  oracle_check (run->oracle);
}

static void
settle (Run *run)
{
  World *w = run->world;
  world_heal (w);
  for (int i = 0; i < 30; i++)
    {
      world_advance (w, w->now + SETTLE_TIME / 30);
      if (!w->healing && world_voters (w) < w->control_count)
        for (guint h = 0; h < w->control_count; h++)
          ask_replace (w, h);
    }
  if (w->healing && world_voters (w) < w->control_count)
    world_violation (w, "a control host that came back is not a voter");
  oracle_final (run->oracle);
}

static void
run_free (Run *run)
{
  world_free (run->world);
  oracle_free (run->oracle);
  g_array_unref (run->active_faults);
  g_string_free (run->schedule, TRUE);
}

/* Runs STEPS steps, without those that LEFT_OUT marks, until a violation.
   Returns the number of steps done.  */
static guint
run_schedule (Run *run, guint64 seed, guint steps, gboolean healing,
              const guint8 *left_out)
{
  memset (run, 0, sizeof *run);
  run->world = world_new (seed, healing);
  run->oracle = oracle_new (run->world);
  run->active_faults = g_array_new (FALSE, FALSE, sizeof (ActiveFault));
  run->schedule = g_string_new (NULL);
  for (int i = 0; i < 100 && !oracle_configure (run->oracle); i++)
    world_advance (run->world, run->world->now + 200 * GM_MS);
  world_advance (run->world, run->world->now + 2 * GM_SECOND);
  guint step = 0;
  for (; step < steps && run->world->violations == 0; step++)
    if (left_out == NULL || left_out[step] == 0)
      one_step (run, seed, step);
  if (run->world->violations == 0)
    settle (run);
  return step;
}

/* Leaves out smaller and smaller parts of the schedule while a violation
   remains, and prints the shortened schedule.  */
static void
shrink (guint64 seed, guint steps, gboolean healing)
{
  g_autofree guint8 *left_out = g_malloc0 (steps + 1);
  guint runs = 0;
  for (guint piece = MAX (steps / 2, 1); piece >= MAX (steps / 16, 1);
       piece /= 2)
    for (guint at = 0; at < steps && runs < MAX_SHRINK_RUNS;
         at += piece, runs++)
      {
        g_autofree guint8 *trial = g_memdup2 (left_out, steps + 1);
        memset (trial + at, 1, MIN (piece, steps - at));
        Run run;
        run_schedule (&run, seed, steps, healing, trial);
        if (run.world->violations > 0)
          memcpy (left_out, trial, steps);
        run_free (&run);
        if (piece == 1 && at + 1 >= steps)
          return;
      }
  Run run;
  run_schedule (&run, seed, steps, healing, left_out);
  guint kept = 0;
  for (guint i = 0; i < steps; i++)
    kept += left_out[i] == 0 ? 1 : 0;
  printf ("shrunk to %u of %u steps: %s\n%s", kept, steps,
          run.world->violation->str, run.schedule->str);
  run_free (&run);
}

typedef struct
{
  guint64 seed;
  guint seeds;
  guint steps;
  gboolean quiet;
  gboolean stop; /* at the first violation */
  gboolean healing;
} Options;

static gboolean
parse (int argc, char **argv, Options *o)
{
  const GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT64, &o->seed, "first seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &o->seeds, "number of seeds", "N" },
    { "steps", 0, 0, G_OPTION_ARG_INT, &o->steps, "steps of each", "N" },
    { "quiet", 0, 0, G_OPTION_ARG_NONE, &o->quiet,
      "print only violations and totals; no shrinking", NULL },
    { "stop", 0, 0, G_OPTION_ARG_NONE, &o->stop, "stop at the first violation",
      NULL },
    { "healing", 0, 0, G_OPTION_ARG_NONE, &o->healing,
      "the control group replaces its members by itself", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error))
    return TRUE;
  fprintf (stderr, "fuzz: %s\n", error->message);
  return FALSE;
}

int
main (int argc, char **argv)
{
  Options o = { .seed = 1, .seeds = 1, .steps = 2000 };
  guint violations = 0;
  guint injected[FAULT_COUNT] = { 0 };
  guint64 checked = 0;
  if (!parse (argc, argv, &o))
    return 2;
  for (guint64 seed = o.seed;
       seed < o.seed + o.seeds && !(o.stop && violations > 0); seed++)
    {
      Run run;
      guint steps = run_schedule (&run, seed, o.steps, o.healing, NULL);
      g_autoptr (GString) told = g_string_new (NULL);
      oracle_print (run.oracle, told);
      if (!o.quiet || run.world->violations > 0)
        printf ("seed=%" G_GUINT64_FORMAT " steps=%u %s\n", seed, steps,
                told->str);
      if (run.world->violations > 0)
        printf ("seed=%" G_GUINT64_FORMAT " violation: %s\n", seed,
                run.world->violation->str);
      for (int i = 0; i < FAULT_COUNT; i++)
        injected[i] += run.injected[i];
      checked += run.world->checked;
      violations += run.world->violations;
      gboolean bad = run.world->violations > 0;
      run_free (&run);
      if (bad && !o.quiet)
        shrink (seed, steps, o.healing);
    }
  printf ("seeds=%u steps=%u", o.seeds, o.steps);
  for (int i = 0; i < FAULT_COUNT; i++)
    printf (" %s=%u", faults[i].text, injected[i]);
  printf (" checked=%" G_GUINT64_FORMAT " violations=%u\n", checked,
          violations);
  return violations > 0;
}
