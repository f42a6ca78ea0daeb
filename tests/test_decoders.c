/* Feeds every decoder with truncated, corrupted and random input.  A decoder
   must either accept or reject the input without a crash or an invalid memory
   access, which the sanitizer build detects.  */
#include "conf/declaration.h"
#include "cstate/cstate.h"
#include "dbapi/dbapi.h"
#include "platform/line.h"
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

/* Numbers of groups that a session reads, one after the other.  */
static const guint group_counts[]
    = { 1, TK_GROUPS_MAX - 1, TK_GROUPS_MAX, TK_GROUPS_MAX + 1, 100 };

/* Guards against a token that has lost the position of a group and is trusted
   there: reads lacked the session's own write.  */
static void
test_forgotten_group (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (group_counts); i++)
    {
      g_autoptr (TkSession) session = tk_session_new ();
      for (guint k = 1; k <= group_counts[i]; k++)
        {
          g_autofree char *group = g_strdup_printf ("group%u", k);
          tk_session_raise (session, group, (TkPoint){ 1, k });
          g_autofree char *text = tk_session_serialize (session, KEY);
          tk_session_free (session);
          session = tk_session_parse (text, KEY, NULL);
          g_assert_nonnull (session);
        }
      guint known = 0;
      for (guint k = 1; k <= group_counts[i]; k++)
        {
          g_autofree char *group = g_strdup_printf ("group%u", k);
          guint64 position = tk_session_point (session, group).position;
          g_assert_cmpint (tk_session_covers (session, group), ==,
                           position != 0);
          g_assert_true (position == 0 || position == k);
          known += position != 0 ? 1 : 0;
        }
      g_assert_cmpuint (known, >=, MIN (group_counts[i], TK_GROUPS_MAX - 1));
      g_assert_cmpint (tk_session_covers (session, "never seen"), ==,
                       known == group_counts[i]);
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

/* Input of misbehaving callers, as of tests/crowd: HEAD, then UNIT COUNT
   times, in chunks.  ENDS: how many lines are read, and what ends the stream.
 */
static const struct
{
  const char *name;
  const char *head;
  const char *unit;
  guint count;
  gsize chunk;
  guint lines;
  GmKind end;
} inputs[] = {
  { "unfinished", "QUERY q1 WRITE k ", "x", 1000000, 16384, 0, GM_OK },
  { "unfinished, small pieces", "QUERY q1 WRITE k ", "x", 100000, 7, 0,
    GM_OK },
  { "byte by byte", "", "QUERY q1 READ a\r\n", 2000, 1, 2000, GM_OK },
  { "endless", "QUERY q1 ", "x", 20000000, 16384, 0, GM_TOO_LARGE },
  { "endless blanks", "", " ", 20000000, 16384, 0, GM_TOO_LARGE },
  { "fields", "QUERY q1 ", "a ", 450000, 16384, 0, GM_OK },
  { "many ahead", "", "QUERY q1 WRITE k 1\r\n", 100000, 16384, 100000, GM_OK },
  { "empty lines", "", "\r\n", 100000, 16384, 100000, GM_OK },
  { "no CR", "START orders me\r\n", "\n", 10, 16384, 1, GM_INVALID },
  { "half-way", "START orders me\r\nQUERY q1 WRI", "", 0, 16384, 1, GM_OK },
};

/* Parses all lines that are complete, and returns their number.  */
static guint
parse_lines (LnReader *reader, GmKind *end)
{
  guint lines = 0;
  char *line = NULL;
  GmStatus status;
  while ((*end = ln_next_line (reader, &line, &status)) == GM_OK
         && line != NULL)
    {
      LnRequest request;
      lines++;
      if (ln_parse_request (line, &request, &status) != GM_OK
          || request.type != LN_QUERY)
        continue;
      SnStatement statement;
      if (ln_parse_statement (request.id, request.text, &statement, &status)
          == GM_OK)
        sn_statement_clear (&statement);
    }
  return lines;
}

/* A line that is not complete must not be held beyond the limit, and nothing
   of those that were read.  */
static void
test_callers (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (inputs); i++)
    {
      LnReader *reader = ln_reader_new ();
      guint lines = 0;
      GmKind end = GM_OK;
      g_autoptr (GString) unit = g_string_new (inputs[i].head);
      gsize at = 0,
            length = unit->len + strlen (inputs[i].unit) * inputs[i].count;
      g_test_message ("%s", inputs[i].name);
      for (guint k = 0; k < inputs[i].count && unit->len < 3 * LN_LINE_MAX;
           k++)
        g_string_append (unit, inputs[i].unit);
      length = MIN (length, unit->len);
      for (; at < length && end == GM_OK; at += inputs[i].chunk)
        {
          ln_feed (reader, unit->str + at, MIN (inputs[i].chunk, length - at));
          lines += parse_lines (reader, &end);
          g_assert_cmpuint (ln_unread_bytes (reader), <=,
                            LN_LINE_MAX + inputs[i].chunk);
        }
      g_assert_cmpuint (lines, ==, inputs[i].lines);
      g_assert_cmpint (end, ==, inputs[i].end);
      ln_drop_read (reader);
      g_assert_cmpuint (ln_held_bytes (reader), ==, ln_unread_bytes (reader));
      ln_reader_free (reader);
    }
}

/* A text of many values takes a hundred times its size in memory.  */
static void
test_wide (void)
{
  GString *text = g_string_new ("[0");
  for (guint i = 2; i < JS_VALUES_MAX; i++)
    g_string_append (text, ",1");
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *whole = g_strconcat (text->str, "]", NULL);
      JsDocument *document = js_parse ("wide", whole, strlen (whole), NULL);
      g_assert_cmpint (document != NULL, ==, i == 0);
      js_free (document);
      g_string_append (text, ",1");
    }
  g_string_free (text, TRUE);
}

/* Objects with FEW keys before them, and the two keys that end them.  Guards
   against a key that stands twice unnoticed where the way in which keys are
   kept changes.  */
static const struct
{
  guint few;
  const char *last[2];
  gboolean good;
} key_cases[] = {
  { 0, { "a", "a" }, FALSE },       { 0, { "a", "b" }, TRUE },
  { 0, { "a", "ab" }, TRUE },       { 14, { "a", "a" }, FALSE },
  { 14, { "a", "b" }, TRUE },       { 15, { "a", "a" }, FALSE },
  { 15, { "a", "b" }, TRUE },       { 16, { "a", "a" }, FALSE },
  { 16, { "k3", "b" }, FALSE },     { 16, { "a", "k15" }, FALSE },
  { 100, { "a", "a" }, FALSE },     { 100, { "a", "b" }, TRUE },
  { 2, { "a\\\"b", "a" }, TRUE },   { 2, { "a\\\"b", "a\\\"b" }, FALSE },
  { 2, { "a\\\"b", "k1" }, FALSE }, { 16, { "a\\\"b", "k1" }, FALSE },
  { 2, { "a\\/b", "a/b" }, FALSE }, { 2, { "a/b", "a\\/b" }, FALSE },
};

static void
test_keys (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (key_cases); i++)
    {
      GmStatus status = { GM_OK, "" };
      g_autoptr (GString) text = g_string_new ("{");
      for (guint k = 0; k < key_cases[i].few; k++)
        g_string_append_printf (text, "\"k%u\": {\"a\": 1}, ", k);
      g_string_append_printf (text, "\"%s\": 1, \"%s\": 2}",
                              key_cases[i].last[0], key_cases[i].last[1]);
      JsDocument *document = js_parse ("keys", text->str, text->len, &status);
      g_assert_cmpint (document != NULL, ==, key_cases[i].good);
      if (document == NULL)
        g_assert_nonnull (strstr (status.message, "stands twice"));
      js_free (document);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/decoders/garbage", test_garbage);
  g_test_add_func ("/decoders/tokens", test_tokens);
  g_test_add_func ("/decoders/forgotten-group", test_forgotten_group);
  g_test_add_func ("/decoders/packed", test_packed);
  g_test_add_func ("/decoders/wide", test_wide);
  g_test_add_func ("/decoders/keys", test_keys);
  g_test_add_func ("/decoders/callers", test_callers);
  return g_test_run ();
}
