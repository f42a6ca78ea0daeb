/* Feeds every decoder with truncated, corrupted and random input.  A decoder
   must either accept or reject the input without a crash or an invalid memory
   access, which the sanitizer build detects.  */
#include "conf/declaration.h"
#include "cstate/cstate.h"
#include "dbapi/dbapi.h"
#include "token/token.h"
#include "wire/message.h"
#include "wire/pack.h"
#include <string.h>

#define ITERATIONS 20000
#define UNPACKED_MAX_BYTES 65536
#define KEY "a key for the decoders"

static WmMessage
new_sample_message (GmRandom *r)
{
  static const char *const declaration
      = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": "
        "[{\"name\": \"s\", \"depends_on\": [\"g\"], \"rank\": \"bulk\", "
        "\"deadline_ms\": 5}]}";
  WmMessage m = { .type = WM_TYPE_CMD_CONFIG };
  m.cmd_config.number = gm_random_below (r, 3);
  m.cmd_config.digest = g_strdup ("digest");
  m.cmd_config.text = g_bytes_new_static (declaration, strlen (declaration));
  m.cmd_config.who = g_strdup ("");
  return m;
}

/* Truncates or corrupts LENGTH bytes at DATA and returns the new length.  */
static gsize
damage (GmRandom *r, guint8 *data, gsize length)
{
  guint64 how = gm_random_below (r, 3);
  if (how == 0)
    return (gsize)gm_random_below (r, length + 1);
  for (guint i = 0; i < 1 + (how == 2 ? length / 4 : 0); i++)
    data[gm_random_below (r, length)]
        ^= (guint8)(1 + gm_random_below (r, 255));
  return length;
}

static void
run_all_decoders (const guint8 *data, gsize length)
{
  WmMessage m;
  gsize at = 0;
  DbRows rows;
  g_autoptr (GBytes) block = g_bytes_new (data, length);
  if (wm_decode (data, length, &m, NULL) == GM_OK)
    wm_clear (&m);
  while (wm_next (block, &at, &m))
    wm_clear (&m);
  g_autoptr (GBytes) unpacked = wm_decompress (block, UNPACKED_MAX_BYTES);
  g_autoptr (CsState) state = cs_decode (1, block);
  g_autoptr (GPtrArray) strings = wm_strings_decode (block);
  if (db_rows_decode (block, &rows))
    db_rows_clear (&rows);
  g_autofree char *text = g_strndup ((const char *)data, length);
  g_autoptr (CfDeclaration) declaration
      = cf_declaration_parse ("garbage", text, strlen (text), NULL);
  g_autoptr (TkSession) token = tk_session_parse (text, KEY, NULL);
}

static void
test_garbage (void)
{
  GmRandom r;
  gm_random_seed (&r, 1);
  WmMessage m = new_sample_message (&r);
  g_autoptr (GByteArray) list = g_byte_array_new ();
  wm_append (list, &m);
  g_autoptr (GBytes) single = wm_encode (&m);
  const char *strings[] = { "2", "a", "b", "1", NULL };
  g_autoptr (GBytes) rows = wm_strings_encode (strings, 5);
  g_autoptr (GBytes) packed = wm_compress (single);
  const struct
  {
    const void *data;
    gsize length;
  } seeds[] = { { g_bytes_get_data (packed, NULL), g_bytes_get_size (packed) },
                { list->data, list->len },
                { g_bytes_get_data (single, NULL), g_bytes_get_size (single) },
                { g_bytes_get_data (rows, NULL), g_bytes_get_size (rows) },
                { g_bytes_get_data (m.cmd_config.text, NULL),
                  g_bytes_get_size (m.cmd_config.text) } };
  for (int i = 0; i < ITERATIONS; i++)
    {
      gsize k = (gsize)gm_random_below (&r, G_N_ELEMENTS (seeds));
      g_autofree guint8 *copy = g_memdup2 (seeds[k].data, seeds[k].length);
      gsize length = damage (&r, copy, seeds[k].length);
      run_all_decoders (copy, length);
    }
  wm_clear (&m);
}

/* Changes to the text of a token, and whether it is still accepted.  */
static const struct
{
  const char *name;
  int flipped_char; /* index of the modified character; -1: none */
  const char *key;
  gboolean valid;
} tokens[] = {
  { "as it was", -1, KEY, TRUE },
  { "prefix", 0, KEY, FALSE },
  { "position", 8, KEY, FALSE },
  { "proof", 40, KEY, FALSE },
  { "another key", -1, "another key of them", FALSE },
};

static void
test_tokens (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (tokens); i++)
    {
      g_autoptr (TkSession) session = tk_session_new ();
      tk_session_raise (session, "costing", (TkPoint){ 3, 41 });
      tk_session_raise (session, "costing", (TkPoint){ 2, 90 });
      g_autofree char *text = tk_session_serialize (session, KEY);
      if (tokens[i].flipped_char >= 0)
        text[tokens[i].flipped_char] ^= 1;
      g_autoptr (TkSession) parsed
          = tk_session_parse (text, tokens[i].key, NULL);
      g_assert_cmpint (parsed != NULL, ==, tokens[i].valid);
      if (parsed != NULL)
        g_assert_cmpuint (tk_session_point (parsed, "costing").position, ==,
                          41);
    }
}

static void
test_packed (void)
{
  g_autofree char *text = g_strnfill (100000, 'x');
  g_autoptr (GBytes) block = g_bytes_new (text, 100000);
  g_autoptr (GBytes) packed = wm_compress (block);
  g_autoptr (GBytes) whole = wm_decompress (packed, 100000);
  g_assert_cmpuint (g_bytes_get_size (packed), <, 1000);
  g_assert_true (g_bytes_equal (block, whole));
  /* The limit keeps a small block from exhausting the memory when it is
     decompressed.  */
  g_assert_null (wm_decompress (packed, 99999));
  g_autoptr (GBytes) torn = g_bytes_new_from_bytes (packed, 0, 50);
  g_assert_null (wm_decompress (torn, 100000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/decoders/garbage", test_garbage);
  g_test_add_func ("/decoders/tokens", test_tokens);
  g_test_add_func ("/decoders/packed", test_packed);
  return g_test_run ();
}
