#include "json.h"
#include <string.h>

struct JsDocument
{
  char *name;
  char *text;
  gsize length;
  json_object *root;
  GHashTable *positions; /* path -> packed line and column; NULL until an error
                            needs one */
};

typedef struct
{
  const char *name;
  GHashTable *positions; /* to fill; NULL: only check the text */
  const char *text;
  gsize length;
  gboolean strict; /* only what is in RFC 8259 */
  gsize offset;
  gsize values; /* so far */
  GString *key; /* the last one, without escapes */
  GmStatus *status;
  /* The last computed position, from which the next one is counted.  */
  gsize known_offset;
  guint known_line;
  guint known_column;
} Scanner;

/* Objects with more members keep their keys in a hash table.  */
#define FEW_KEYS 16

/* The keys of an object.  Most objects have few: for these a hash table took a
   third of the time of a parse.  */
typedef struct
{
  const char *starts[FEW_KEYS]; /* in the text; no key has an escape */
  gsize lengths[FEW_KEYS];
  guint count;
  GHashTable *table; /* of all keys; NULL: starts has them */
} KeySet;

static gboolean
add_few (KeySet *keys, const char *start, gsize length)
{
  for (guint i = 0; i < keys->count; i++)
    if (keys->lengths[i] == length
        && memcmp (keys->starts[i], start, length) == 0)
      return FALSE;
  keys->starts[keys->count] = start;
  keys->lengths[keys->count] = length;
  keys->count++;
  return TRUE;
}

/* Adds the key in LENGTH bytes from START, which is KEY without escapes.
   Returns FALSE if it is there already.  */
static gboolean
add_key (KeySet *keys, const char *start, gsize length, const char *key)
{
  gboolean escaped = memchr (start, '\\', length) != NULL;
  if (keys->table == NULL && !escaped && keys->count < FEW_KEYS)
    return add_few (keys, start, length);
  if (keys->table == NULL)
    {
      keys->table
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      for (guint i = 0; i < keys->count; i++)
        g_hash_table_add (keys->table,
                          g_strndup (keys->starts[i], keys->lengths[i]));
    }
  return g_hash_table_add (keys->table, g_strdup (key));
}

/* Computes the line and column of the current offset, both starting at 1.  */
static void
get_position (Scanner *s, guint *line, guint *column)
{
  if (s->offset < s->known_offset)
    {
      s->known_offset = 0;
      s->known_line = 1;
      s->known_column = 1;
    }
  for (; s->known_offset < s->offset && s->known_offset < s->length;
       s->known_offset++)
    if (s->text[s->known_offset] == '\n')
      {
        s->known_line++;
        s->known_column = 1;
      }
    else
      s->known_column++;
  *line = s->known_line;
  *column = s->known_column;
}

static gboolean
scan_error (Scanner *s, const char *what)
{
  guint line, column;
  get_position (s, &line, &column);
  gm_fail (s->status, GM_INVALID, "%s:%u:%u: %s", s->name, line, column, what);
  return FALSE;
}

static gboolean
at_comment_start (const Scanner *s, char second)
{
  return s->offset + 1 < s->length && s->text[s->offset] == '/'
         && s->text[s->offset + 1] == second;
}

static void
skip_whitespace (Scanner *s)
{
  while (s->offset < s->length)
    {
      char c = s->text[s->offset];
      if (c == ' ' || c == '\t' || c == '\n' || c == '\r'
          || (!s->strict && g_ascii_isspace (c)))
        s->offset++;
      else if (s->strict)
        return;
      else if (at_comment_start (s, '/'))
        while (s->offset < s->length && s->text[s->offset] != '\n')
          s->offset++;
      else if (at_comment_start (s, '*'))
        {
          const char *end
              = g_strstr_len (s->text + s->offset + 2,
                              (gssize)(s->length - s->offset - 2), "*/");
          s->offset = end != NULL ? (gsize)(end - s->text) + 2 : s->length;
        }
      else
        return;
    }
}

static gboolean
scan_string (Scanner *s, GString *out)
{
  if (s->offset >= s->length || s->text[s->offset] != '"')
    return scan_error (s, "a string in double quotes is expected");
  for (s->offset++; s->offset < s->length; s->offset++)
    {
      gsize start = s->offset;
      while (s->offset < s->length && s->text[s->offset] != '"'
             && s->text[s->offset] != '\\')
        {
          if (s->strict && (guchar)s->text[s->offset] < ' ')
            return scan_error (s, "a control character in a string");
          s->offset++;
        }
      if (out != NULL)
        g_string_append_len (out, s->text + start,
                             (gssize)(s->offset - start));
      if (s->offset < s->length && s->text[s->offset] == '"')
        {
          s->offset++;
          return TRUE;
        }
      s->offset++; /* the backslash */
      if (out != NULL && s->offset < s->length)
        g_string_append_c (out, s->text[s->offset]);
    }
  return scan_error (s, "unterminated string");
}

static char *
member_path (const char *path, const char *key)
{
  return *path != '\0' ? g_strconcat (path, ".", key, NULL) : g_strdup (key);
}

static gboolean scan_value (Scanner *s, const char *path, guint depth);

/* Scans the item NUMBER of the array at PATH.  */
static gboolean
scan_item (Scanner *s, const char *path, guint number, guint depth)
{
  if (s->positions == NULL)
    return scan_value (s, "", depth + 1);
  g_autofree char *item = g_strdup_printf ("%s[%u]", path, number);
  return scan_value (s, item, depth + 1);
}

static gboolean
scan_member (Scanner *s, const char *path, guint depth, KeySet *seen)
{
  GString *key = s->key;
  g_string_truncate (key, 0);
  skip_whitespace (s);
  gsize start = s->offset;
  if (!scan_string (s, key))
    return FALSE;
  if (!add_key (seen, s->text + start + 1, s->offset - start - 2, key->str))
    {
      g_autofree char *what
          = g_strdup_printf ("\"%s\" stands twice", key->str);
      s->offset = start;
      return scan_error (s, what);
    }
  skip_whitespace (s);
  if (s->offset >= s->length || s->text[s->offset] != ':')
    return scan_error (s, "':' is expected");
  s->offset++;
  if (s->positions == NULL)
    return scan_value (s, "", depth + 1);
  g_autofree char *inner = member_path (path, key->str);
  return scan_value (s, inner, depth + 1);
}

/* Scans the members or items of an object or array, after its opening bracket,
   and the closing bracket CLOSE.  */
static gboolean
scan_contents (Scanner *s, const char *path, guint depth, char close,
               KeySet *seen)
{
  for (guint i = 0;; i++)
    {
      skip_whitespace (s);
      if (s->offset < s->length && s->text[s->offset] == close && i == 0)
        break;
      gboolean good = close == '}' ? scan_member (s, path, depth, seen)
                                   : scan_item (s, path, i, depth);
      if (!good)
        return FALSE;
      skip_whitespace (s);
      if (s->offset < s->length && s->text[s->offset] == close)
        break;
      if (s->offset >= s->length || s->text[s->offset] != ',')
        return scan_error (s, "',' or the closing bracket is expected");
      s->offset++;
    }
  s->offset++;
  return TRUE;
}

/* Scans an object or array, including its closing bracket.  */
static gboolean
scan_container (Scanner *s, const char *path, guint depth, char close)
{
  KeySet seen;
  seen.count = 0;
  seen.table = NULL;
  s->offset++;
  gboolean good = scan_contents (s, path, depth, close, &seen);
  g_clear_pointer (&seen.table, g_hash_table_unref);
  return good;
}

/* Returns the number of digits at TEXT, which ends at END.  */
static gsize
count_digits (const char *text, const char *end)
{
  const char *p = text;
  while (p < end && g_ascii_isdigit (*p))
    p++;
  return (gsize)(p - text);
}

/* Whether the LENGTH bytes at TEXT are a number of RFC 8259.  */
static gboolean
is_number (const char *text, gsize length)
{
  const char *p = text;
  const char *end = text + length;
  p += p < end && *p == '-' ? 1 : 0;
  gsize whole = count_digits (p, end);
  if (whole == 0 || (whole > 1 && *p == '0'))
    return FALSE;
  p += whole;
  if (p < end && *p == '.')
    {
      gsize fraction = count_digits (p + 1, end);
      if (fraction == 0)
        return FALSE;
      p += 1 + fraction;
    }
  if (p < end && (*p == 'e' || *p == 'E'))
    {
      p++;
      p += p < end && (*p == '+' || *p == '-') ? 1 : 0;
      gsize exponent = count_digits (p, end);
      if (exponent == 0)
        return FALSE;
      p += exponent;
    }
  return p == end;
}

static gboolean
is_literal (const char *text, gsize length)
{
  static const char *const words[] = { "true", "false", "null" };
  for (gsize i = 0; i < G_N_ELEMENTS (words); i++)
    if (length == strlen (words[i]) && memcmp (text, words[i], length) == 0)
      return TRUE;
  return is_number (text, length);
}

/* Scans a number, true, false or null.  What they look like is checked here
   for strict texts only: json-c takes more of them.  */
static gboolean
scan_literal (Scanner *s)
{
  gsize start = s->offset;
  while (s->offset < s->length
         && (g_ascii_isalnum (s->text[s->offset])
             || strchr ("+-.", s->text[s->offset]) != NULL))
    s->offset++;
  if (s->offset > start
      && (!s->strict || is_literal (s->text + start, s->offset - start)))
    return TRUE;
  s->offset = start;
  return scan_error (s, "a value is expected");
}

static gboolean
scan_value (Scanner *s, const char *path, guint depth)
{
  skip_whitespace (s);
  if (depth > JS_DEPTH_MAX)
    return scan_error (s, "nested too deeply");
  if (s->offset >= s->length)
    return scan_error (s, "a value is expected before the end of the text");
  if (++s->values > MAX (JS_VALUES_MAX, s->length / JS_BYTES_PER_VALUE))
    return scan_error (s, "the text has too many values");
  if (s->positions != NULL)
    {
      guint line, column;
      get_position (s, &line, &column);
      guint64 position = ((guint64)line << 32) | column;
      g_hash_table_insert (s->positions, g_strdup (path),
                           g_memdup2 (&position, sizeof position));
    }
  char c = s->text[s->offset];
  if (c == '{')
    return scan_container (s, path, depth, '}');
  if (c == '[')
    return scan_container (s, path, depth, ']');
  if (c == '"')
    return scan_string (s, NULL);
  return scan_literal (s);
}

static gboolean
scan_text (Scanner *s)
{
  s->key = g_string_new (NULL);
  gboolean good = scan_value (s, "", 0);
  g_string_free (s->key, TRUE);
  if (!good)
    return FALSE;
  skip_whitespace (s);
  if (s->offset < s->length)
    return scan_error (s, "there is text after the value");
  return TRUE;
}

/* Parses the text into ROOT, which is NULL for the value null too.  */
static gboolean
parse_text (Scanner *s, json_object **root)
{
  struct json_tokener *tokener = json_tokener_new_ex (JS_DEPTH_MAX + 2);
  if (s->strict)
    json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  *root = json_tokener_parse_ex (tokener, s->text, (int)s->length);
  enum json_tokener_error error = json_tokener_get_error (tokener);
  if (error == json_tokener_continue)
    {
      *root = json_tokener_parse_ex (tokener, "\n", 1);
      error = json_tokener_get_error (tokener);
    }
  if (error != json_tokener_success)
    {
      s->offset = json_tokener_get_parse_end (tokener);
      scan_error (s, json_tokener_error_desc (error));
    }
  json_tokener_free (tokener);
  return error == json_tokener_success;
}

static Scanner
scanner_of (const JsDocument *document, GmStatus *status)
{
  return (Scanner){ .name = document->name,
                    .text = document->text,
                    .length = document->length,
                    .status = status,
                    .known_line = 1,
                    .known_column = 1 };
}

/* Returns the positions of all values, from a second scan: most documents have
   no error, and need none.  */
static GHashTable *
positions_of (JsDocument *document)
{
  if (document->positions != NULL)
    return document->positions;
  Scanner scanner = scanner_of (document, NULL);
  document->positions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  scanner.positions = document->positions;
  scan_text (&scanner);
  return document->positions;
}

static JsDocument *
parse (const char *name, const char *text, gsize length, gboolean strict,
       GmStatus *status)
{
  if (length > JS_TEXT_MAX_BYTES)
    {
      gm_fail (status, GM_TOO_LARGE, "%s: longer than %d bytes", name,
               JS_TEXT_MAX_BYTES);
      return NULL;
    }
  JsDocument *document = g_new0 (JsDocument, 1);
  document->name = g_strdup (name);
  document->text = g_memdup2 (text, length);
  document->length = length;
  Scanner scanner = scanner_of (document, status);
  scanner.strict = strict;
  gboolean good = g_utf8_validate_len (text, length, NULL);
  if (!good)
    gm_fail (status, GM_INVALID, "%s: not UTF-8 text", name);
  good
      = good && scan_text (&scanner) && parse_text (&scanner, &document->root);
  if (!good)
    g_clear_pointer (&document, js_free);
  return document;
}

JsDocument *
js_parse (const char *name, const char *text, gsize length, GmStatus *status)
{
  return parse (name, text, length, FALSE, status);
}

JsDocument *
js_parse_strict (const char *name, const char *text, gsize length,
                 GmStatus *status)
{
  return parse (name, text, length, TRUE, status);
}

JsDocument *
js_read_file (const char *path, GmStatus *status)
{
  g_autofree char *text = NULL;
  gsize length;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (path, &text, &length, &error))
    {
      gm_fail (status, GM_INVALID, "%s", error->message);
      return NULL;
    }
  return js_parse (path, text, length, status);
}

void
js_free (JsDocument *document)
{
  if (document == NULL)
    return;
  g_free (document->name);
  json_object_put (document->root);
  g_clear_pointer (&document->positions, g_hash_table_unref);
  g_free (document->text);
  g_free (document);
}

json_object *
js_root (const JsDocument *document)
{
  return document->root;
}

json_object *
js_member (json_object *object, const char *name, json_type type)
{
  json_object *value;
  return json_object_object_get_ex (object, name, &value)
                 && json_object_is_type (value, type)
             ? value
             : NULL;
}

GmKind
js_error (const JsDocument *document, const char *path, GmStatus *status,
          const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *what = g_strdup_vprintf (format, args);
  va_end (args);
  guint64 *position
      = g_hash_table_lookup (positions_of ((JsDocument *)document), path);
  const char *shown = *path != '\0' ? path : "the text";
  if (position == NULL)
    return gm_fail (status, GM_INVALID, "%s: %s: %s", document->name, shown,
                    what);
  return gm_fail (status, GM_INVALID, "%s:%u:%u: %s: %s", document->name,
                  (guint)(*position >> 32), (guint)*position, shown, what);
}

static const char *const type_names[]
    = { "a string",      "a whole number", "a number",
        "true or false", "an object",      "an array" };

static gboolean
type_matches (const JsField *field, json_object *value)
{
  switch (field->type)
    {
    case JS_STRING:
      return json_object_is_type (value, json_type_string);
    case JS_INTEGER:
      return json_object_is_type (value, json_type_int);
    case JS_NUMBER:
      return json_object_is_type (value, json_type_int)
             || json_object_is_type (value, json_type_double);
    case JS_BOOLEAN:
      return json_object_is_type (value, json_type_boolean);
    case JS_OBJECT:
      return json_object_is_type (value, json_type_object);
    case JS_ARRAY:
      return json_object_is_type (value, json_type_array);
    }
  return FALSE;
}

static gboolean
is_allowed (const char *allowed, const char *text)
{
  gsize length = strlen (text);
  for (const char *word = allowed; word != NULL;)
    {
      const char *end = strchr (word, '|');
      gsize size = end != NULL ? (gsize)(end - word) : strlen (word);
      if (size == length && memcmp (word, text, size) == 0)
        return TRUE;
      word = end != NULL ? end + 1 : NULL;
    }
  return FALSE;
}

static double
get_measure (const JsField *field, json_object *value)
{
  if (field->type == JS_STRING)
    return json_object_get_string_len (value);
  if (field->type == JS_ARRAY)
    return (double)json_object_array_length (value);
  return json_object_get_double (value);
}

static gboolean
is_in_bounds (const JsField *field, json_object *value)
{
  if (field->type == JS_BOOLEAN || field->type == JS_OBJECT)
    return TRUE;
  double measure = get_measure (field, value);
  return measure >= field->min && measure <= field->max;
}

static gboolean
has_nul (const JsField *field, json_object *value)
{
  return field->type == JS_STRING
         && strlen (json_object_get_string (value))
                != (gsize)json_object_get_string_len (value);
}

static gboolean
is_valid (const JsField *field, json_object *value)
{
  return type_matches (field, value) && is_in_bounds (field, value)
         && !has_nul (field, value)
         && (field->allowed == NULL
             || is_allowed (field->allowed, json_object_get_string (value)));
}

static void
store_value (const JsField *field, json_object *value, void *target)
{
  void *member = G_STRUCT_MEMBER_P (target, field->offset);
  switch (field->type)
    {
    case JS_STRING:
      g_free (*(char **)member);
      *(char **)member = g_strdup (json_object_get_string (value));
      break;
    case JS_INTEGER:
      *(gint64 *)member = json_object_get_int64 (value);
      break;
    case JS_NUMBER:
      *(double *)member = json_object_get_double (value);
      break;
    case JS_BOOLEAN:
      *(gboolean *)member = json_object_get_boolean (value);
      break;
    case JS_OBJECT:
    case JS_ARRAY:
      *(json_object **)member = value;
      break;
    }
}

static GmKind
read_field (const JsDocument *document, const char *parent,
            const JsField *field, json_object *value, void *target,
            GmStatus *status)
{
  if (is_valid (field, value))
    {
      store_value (field, value, target);
      return GM_OK;
    }
  g_autofree char *path = member_path (parent, field->name);
  if (!type_matches (field, value))
    return js_error (document, path, status, "must be %s",
                     type_names[field->type]);
  if (!is_in_bounds (field, value))
    return js_error (document, path, status, "must be %s from %g to %g",
                     field->type == JS_STRING || field->type == JS_ARRAY
                         ? "of a length"
                         : "a number",
                     field->min, field->max);
  if (has_nul (field, value))
    return js_error (document, path, status, "must not hold a NUL character");
  return js_error (document, path, status, "must be one of %s",
                   field->allowed);
}

static const JsField *
find_field (const JsField *fields, gsize count, const char *name)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static GmKind
report_unknown_field (const JsDocument *document, const char *path,
                      const JsField *fields, gsize count, GmStatus *status)
{
  g_autoptr (GString) names = g_string_new (NULL);
  for (gsize i = 0; i < count; i++)
    g_string_append_printf (names, "%s%s", i > 0 ? ", " : "", fields[i].name);
  return js_error (document, path, status, "unknown; allowed are %s",
                   names->str);
}

GmKind
js_fields (const JsDocument *document, json_object *object, const char *path,
           const JsField *fields, gsize count, void *target, GmStatus *status)
{
  if (!json_object_is_type (object, json_type_object))
    return js_error (document, path, status, "must be an object");
  json_object_object_foreach (object, key, value)
  {
    const JsField *field = find_field (fields, count, key);
    if (field == NULL)
      {
        g_autofree char *inner = member_path (path, key);
        return report_unknown_field (document, inner, fields, count, status);
      }
    if (read_field (document, path, field, value, target, status) != GM_OK)
      return status != NULL ? status->kind : GM_INVALID;
  }
  for (gsize i = 0; i < count; i++)
    if (fields[i].required
        && !json_object_object_get_ex (object, fields[i].name, NULL))
      return js_error (document, path, status, "\"%s\" is missing",
                       fields[i].name);
  return gm_ok (status);
}
