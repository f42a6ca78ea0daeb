/* Simulation, under a virtual clock, of hosts with slow links in three data
   centres, one group of three databases, and the callers' load.

   Sessions, routers and pools are the real code; links, databases and callers
   are models.  A link transfers one message after the other, independently in
   each direction.  */
#pragma once
#include <glib.h>

typedef struct
{
  guint hosts_per_centre; /* in each of the three data centres */
  guint link_rate;        /* bits a second, each way */
  guint slots;            /* of each database */
  guint connections;
  guint urgent_rate; /* urgent statements a second, a third of them writes */
  guint write_rate;  /* routine writes a second */
  guint read_rate;   /* routine reads a second, by position */
  gboolean replicas_lag; /* replicas lack every position that reads need */
} SlLoad;

/* Counts of the urgent statements.  */
typedef struct
{
  guint sent;
  guint in_target; /* answered with success within 100 ms */
  guint succeeded; /* answered with success at any time */
} SlResult;

/* Simulates SECONDS of LOAD and returns the results of the urgent
   statements.  */
SlResult sl_run (const SlLoad *load, guint seconds);
