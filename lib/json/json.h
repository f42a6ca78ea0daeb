/* A reader for JSON, with comments or without, that reports error positions.

   Parsing is done by json-c.  This module adds the line and column of errors,
   the refusal of duplicate keys and of text after the value, and table-driven
   validation of object fields.  */
#pragma once
#include "base/kind.h"
#include <json-c/json.h>

#define JS_TEXT_MAX_BYTES (4 * 1024 * 1024)
#define JS_DEPTH_MAX 16
/* A text may have this many values, or one in so many bytes where that is
   more. A value takes up to 200 bytes in memory: 2 MB of "1,1,1" took 183 MB.
 */
#define JS_VALUES_MAX 131072
#define JS_BYTES_PER_VALUE 16

typedef struct JsDocument JsDocument;

/* Parses LENGTH bytes of TEXT.  Messages start with NAME, line and column.
   Returns NULL and sets STATUS on failure.  Free the document with js_free. */
JsDocument *js_parse (const char *name, const char *text, gsize length,
                      GmStatus *status);
/* The same for documents of other programs: refuses comments and all else that
   is not in RFC 8259.  */
JsDocument *js_parse_strict (const char *name, const char *text, gsize length,
                             GmStatus *status);
/* Reads and parses the file PATH, like js_parse.  */
JsDocument *js_read_file (const char *path, GmStatus *status);
/* Frees DOCUMENT, which may be NULL.  */
void js_free (JsDocument *document);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (JsDocument, js_free)

/* Returns the root value, owned by DOCUMENT; NULL stands for the value null.
   json_object_is_type tells it from an object.  */
json_object *js_root (const JsDocument *document);
/* Returns the member NAME of OBJECT, or NULL if it is missing or not of TYPE.
   For documents of other programs, whose unknown members are ignored.  */
json_object *js_member (json_object *object, const char *name, json_type type);
/* Sets STATUS to an error about the value at PATH, such as "services[2].rank",
   with the document's name and the line and column of the value.  Returns
   GM_INVALID.  */
GmKind js_error (const JsDocument *document, const char *path,
                 GmStatus *status, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

typedef enum
{
  JS_STRING,  /* char *, owned by the target */
  JS_INTEGER, /* gint64 */
  JS_NUMBER,  /* double */
  JS_BOOLEAN, /* gboolean */
  JS_OBJECT,  /* json_object *, borrowed from the document */
  JS_ARRAY    /* json_object *, borrowed from the document */
} JsType;

/* Describes a field of an object: its constraints and where it is stored.  */
typedef struct
{
  const char *name;
  JsType type;
  gsize offset; /* of the target member */
  gboolean required;
  double min; /* smallest number, or shortest string or array */
  double max;
  const char *allowed; /* NULL, or the allowed strings, separated by "|" */
} JsField;

/* Validates the members of OBJECT, located at PATH, against the COUNT FIELDS
   and stores them in TARGET.  Unknown members are refused; absent optional
   members leave TARGET unchanged.  Frees a string that a new one replaces.  */
GmKind js_fields (const JsDocument *document, json_object *object,
                  const char *path, const JsField *fields, gsize count,
                  void *target, GmStatus *status);
