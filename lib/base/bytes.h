/* Constant-time comparison, order statistics and buffers.  */
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

/* Bytes that an empty buffer may keep allocated.  */
#define GM_BUFFER_KEPT_BYTES 65536

/* A byte array that gives its memory back: GByteArray never shrinks.  */
typedef struct
{
  GByteArray *bytes;
  gsize peak; /* length since the array was allocated */
} GmBuffer;

void gm_buffer_init (GmBuffer *buffer);
void gm_buffer_clear (GmBuffer *buffer);
void gm_buffer_append (GmBuffer *buffer, const void *data, gsize length);
/* Removes the first LENGTH bytes.  */
void gm_buffer_remove (GmBuffer *buffer, gsize length);
