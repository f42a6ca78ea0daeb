/* Tells operators where a statement would go, and why.  */
#pragma once
#include "router.h"

/* Describes, as a JSON object, where this host would send a statement of
   SERVICE now: the copies that may serve it and the shares of their queues,
   with what is known of each.  WRITES tells whether the statement writes; AGE
   is how long ago the position that a read needs was the newest.  Sends
   nothing and changes no estimate.  Free the result; NULL if the service is
   not known.  */
char *sr_describe (SrRouter *router, const CsState *state, GmTime now,
                   const char *service, gboolean writes, GmTime age);
