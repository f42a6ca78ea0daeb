/* Small helpers on bytes and numbers.  */
#pragma once
#include <glib.h>

/* Whether two blocks are equal, in a time that depends on their lengths
   only.  */
gboolean gm_same_secret (const void *a, gsize a_length, const void *b,
                         gsize b_length);
/* The value at place N, from 0 on, when VALUES, an array of guint64, is sorted
   from the largest on; 0 when there are not so many.  Sorts VALUES.  */
guint64 gm_nth_largest (GArray *values, guint n);
