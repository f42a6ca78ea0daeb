/* A virtual data centre group: entry hosts with small links, one group of
   three databases, its callers' load, all under a virtual clock.

   Sessions, routers and pools are the product's; links, databases and callers
   are models.  A link carries a host's bytes one message after the other, each
   way at its own rate.  */
#pragma once
#include <glib.h>

typedef struct
{
  guint hosts;     /* in each of the three data centres */
  guint link_rate; /* bits a second, each way */
  guint slots;     /* of each database */
  guint connections;
  guint
      urgent; /* statements a second at the primary, a third of them writes */
  guint writes;  /* routine writes a second */
  guint reads;   /* routine reads a second, by position */
  gboolean lags; /* both replicas lack every position that is asked for */
} SlLoad;

typedef struct
{
  guint asked;
  guint in_aim; /* answered with success within 100 ms */
  guint served;
} SlResult;

/* Plays SECONDS of LOAD and returns what became of the urgent statements.  */
SlResult sl_play (const SlLoad *load, guint seconds);
