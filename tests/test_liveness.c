/* Which hosts fall silent, and when they are asked.  */
#include "session/liveness.h"
#include <string.h>

#define START (100 * GM_SECOND)

/* What happens at a time, in milliseconds, and what is to be done by then.  */
typedef enum
{
  NOTHING,
  SENT,
  HEARD,
  HEARD_MORE, /* and other answers are due */
  CLOSED,
  STALLED /* for 500 ms */
} Happening;

typedef struct
{
  int at;
  Happening what;
  guint asked; /* questions until then, this moment included */
  gboolean silent;
} Step;

#define STEPS 6

static const Step schedules[][STEPS] = {
  /* Answered in time: never asked.  */
  { { 0, SENT, 0, FALSE },
    { 40, HEARD, 0, FALSE },
    { 900, NOTHING, 0, FALSE } },
  /* A slow statement on a host that is there: asked, and heard.  */
  { { 0, SENT, 0, FALSE },
    { 70, NOTHING, 1, FALSE },
    { 75, HEARD_MORE, 1, FALSE },
    { 140, HEARD_MORE, 2, FALSE },
    { 300, HEARD, 4, FALSE },
    { 900, NOTHING, 4, FALSE } },
  /* Dark: silent, asked on, and back when it is heard.  */
  { { 0, SENT, 0, FALSE },
    { 100, SENT, 1, FALSE },
    { 249, NOTHING, 2, FALSE },
    { 250, NOTHING, 2, TRUE },
    { 600, NOTHING, 6, TRUE },
    { 610, HEARD, 6, FALSE } },
  /* A link that closed tells nothing of the next one.  */
  { { 0, SENT, 0, FALSE },
    { 300, NOTHING, 3, TRUE },
    { 310, CLOSED, 3, FALSE },
    { 320, SENT, 3, FALSE },
    { 400, NOTHING, 4, FALSE },
    { 600, NOTHING, 6, TRUE } },
  /* This process stood still itself.  */
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
      guint asked = 0;
      GmTime now = START;
      for (guint k = 0; k < STEPS && (k == 0 || schedules[i][k].at > 0); k++)
        {
          const Step *step = &schedules[i][k];
          GmTime at = START + step->at * GM_MS;
          if (step->what == STALLED)
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
                  asked += event.type == LV_ASK_HOST ? 1 : 0;
                }
            }
          if (step->what == SENT)
            lv_sent (core, at, "h");
          else if (step->what == HEARD || step->what == HEARD_MORE)
            lv_heard (core, at, "h", step->what == HEARD_MORE);
          else if (step->what == CLOSED)
            lv_forget (core, "h");
          g_assert_cmpuint (asked, ==, step->asked);
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
