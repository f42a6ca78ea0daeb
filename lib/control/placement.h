/* Where the statements of a service go, for operators: its group, databases
   and the hosts that hold their queues, as one copy of the control state has
   them.  */
#pragma once
#include "cstate/cstate.h"

/* Returns a JSON object that tells where statements of SERVICE go, or sets
   STATUS and returns NULL when STATE has no such service.  The caller owns the
   result.  */
char *pm_describe (const CsState *state, const char *service,
                   GmStatus *status);
