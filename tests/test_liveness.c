/* When hosts are probed and when they count as silent.  */
#include "session/liveness.h"
#include <string.h>

#define START (100 * GM_SECOND)

/* What happens at one step of a schedule.  */
typedef enum
{
  NOTHING,
  SENT,
  HEARD,
  HEARD_MORE, /* an answer came, and the host owes others */
  CLOSED,
  STALLED /* this process did not run for 500 ms */
} StepType;

/* A step: what happens, and what must be known right after it.  */
typedef struct
{
  int at; /* ms */
  StepType type;
  guint probes; /* probes up to and including this time */
  gboolean silent;
} Step;

#define STEPS 6

static const Step schedules[][STEPS] = {
  /* Answered in time: never probed.  */
  { { 0, SENT, 0, FALSE },
    { 40, HEARD, 0, FALSE },
    { 900, NOTHING, 0, FALSE } },
  /* A slow statement on a live host: the host answers the probes.  */
  { { 0, SENT, 0, FALSE },
    { 70, NOTHING, 1, FALSE },
    { 75, HEARD_MORE, 1, FALSE },
    { 140, HEARD_MORE, 2, FALSE },
    { 300, HEARD, 4, FALSE },
    { 900, NOTHING, 4, FALSE } },
  /* A host that answers nothing is silent, is still probed, and is no longer
     silent when something arrives from it.  */
  { { 0, SENT, 0, FALSE },
    { 100, SENT, 1, FALSE },
    { 249, NOTHING, 2, FALSE },
    { 250, NOTHING, 2, TRUE },
    { 600, NOTHING, 6, TRUE },
    { 610, HEARD, 6, FALSE } },
  /* The state of a closed link doesn't carry over to the next link.  */
  { { 0, SENT, 0, FALSE },
    { 300, NOTHING, 3, TRUE },
    { 310, CLOSED, 3, FALSE },
    { 320, SENT, 3, FALSE },
    { 400, NOTHING, 4, FALSE },
    { 600, NOTHING, 6, TRUE } },
  /* A stall of this process does not make the host silent.  */
  { { 0, SENT, 0, FALSE },
    { 500, STALLED, 0, FALSE },
    { 550, NOTHING, 0, FALSE },
    { 750, NOTHING, 2, TRUE } },
};

static void
test_schedules (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (schedules); i++)
    {
      LvCore *core = lv_new ();
      guint probes = 0;
      GmTime now = START;
      for (guint k = 0; k < STEPS && (k == 0 || schedules[i][k].at > 0); k++)
        {
          const Step *step = &schedules[i][k];
          GmTime at = START + step->at * GM_MS;
          if (step->type == STALLED)
            {
              now = at;
              lv_stalled (core, 500 * GM_MS);
            }
          for (; now <= at; now += 10 * GM_MS)
            {
              LvEvent event;
              while (lv_next (core, now, &event))
                {
                  g_assert_cmpstr (event.host, ==, "h");
                  probes += event.type == LV_PROBE_HOST ? 1 : 0;
                }
            }
          if (step->type == SENT)
            lv_sent (core, at, "h");
          else if (step->type == HEARD || step->type == HEARD_MORE)
            lv_received (core, at, "h", step->type == HEARD_MORE);
          else if (step->type == CLOSED)
            lv_forget (core, "h");
          g_assert_cmpuint (probes, ==, step->probes);
          g_assert_cmpint (lv_is_silent (core, "h"), ==, step->silent);
        }
      g_assert_false (lv_is_silent (core, "another"));
      lv_free (core);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/liveness/schedules", test_schedules);
  return g_test_run ();
}
