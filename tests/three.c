#include "three.h"
#include <string.h>

static void
add_database (CsState *state, const char *group, const char *prefix, guint i)
{
  g_autofree char *id = g_strdup_printf ("%s%u", prefix, i);
  g_autofree char *data_centre = g_strdup_printf ("dc%u", i);
  g_autofree char *host = g_strdup_printf ("host%u", i);
  WmMessage up = { .type = WM_TYPE_CMD_HOST,
                   .cmd_host = { .host = host,
                                 .incarnation = 1,
                                 .caller = (char *)"",
                                 .link = (char *)"127.0.0.1:1",
                                 .data_centre = data_centre,
                                 .roles = CS_POOL } };
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = id,
                                    .group = (char *)group,
                                    .address = (char *)"127.0.0.1:2",
                                    .data_centre = data_centre,
                                    .slots = 2,
                                    .incarnation = 1,
                                    .term = 1,
                                    .primary = i == 0 ? 1 : 0 } };
  cs_apply (state, state->version + 1, &up, NULL);
  cs_apply (state, state->version + 1, &m, NULL);
}

void
three_declare (CsState *state, guint64 number, const char *declaration)
{
  g_autoptr (GBytes) text = g_bytes_new (declaration, strlen (declaration));
  WmMessage config = { .type = WM_TYPE_CMD_CONFIG,
                       .cmd_config = { .number = number,
                                       .digest = (char *)"d",
                                       .text = text,
                                       .who = (char *)"test" } };
  cs_apply (state, state->version + 1, &config, NULL);
}

void
three_more (CsState *state, const char *group)
{
  for (guint i = 0; i < 3; i++)
    add_database (state, group, group, i);
}

CsState *
three_databases (const char *declaration)
{
  CsState *state = cs_new ();
  three_declare (state, 1, declaration);
  for (guint i = 0; i < 3; i++)
    add_database (state, "g", "db", i);
  return state;
}
