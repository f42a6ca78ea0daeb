#include "mutant.h"

#ifdef GM_WITH_MUTANTS
#include <string.h>

GmMutant gm_mutant = GM_MUTANT_NONE;

static const char *const names[] = {
#define X(name, text) #name,
  GM_MUTANTS_LIST (X)
#undef X
};

__attribute__ ((constructor)) static void
select_mutant (void)
{
  const char *requested = g_getenv ("GM_MUTANT");
  for (int i = 0; requested != NULL && i < GM_MUTANT_COUNT; i++)
    if (strcmp (names[i], requested) == 0)
      gm_mutant = (GmMutant)i;
}
#endif
