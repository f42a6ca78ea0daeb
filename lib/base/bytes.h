/* Constant-time comparison and order statistics.  */
#pragma once
#include <glib.h>

/* Compares two blocks in a time that depends on their lengths only, so that
   the time reveals nothing about a secret.  Returns TRUE when the blocks are
   equal.  */
gboolean gm_secrets_equal (const void *a, gsize a_length, const void *b,
                           gsize b_length);
/* Sorts VALUES, an array of guint64, in descending order and returns the
   element at index N, which counts from 0; 0 when N is out of range.  */
guint64 gm_nth_largest (GArray *values, guint n);
