/* Strict JSON with comments: a reader that knows places.

   json-c parses; this module adds what operators need: line and column of a
   fault, refusal of duplicate keys and of text after the value, and table
   driven checks of every field.  */
#pragma once
#include "base/kind.h"
#include <json-c/json.h>

#define JS_TEXT_MAX (4 * 1024 * 1024) /* bytes */
#define JS_DEPTH_MAX 16

typedef struct JsDocument JsDocument;

/* Parses LENGTH bytes of TEXT.  NAME is put before line and column in
   messages.  Returns NULL and fills STATUS on a fault.  Free the document
   with js_free.  */
JsDocument *js_parse (const char *name, const char *text, gsize length,
                      GmStatus *status);
/* Reads and parses the file PATH.  */
JsDocument *js_read (const char *path, GmStatus *status);
/* Frees DOCUMENT; NULL is allowed.  */
void js_free (JsDocument *document);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (JsDocument, js_free)

/* The root value, owned by DOCUMENT.  */
json_object *js_root (const JsDocument *document);
/* The member NAME of OBJECT if it is there and of TYPE, or NULL.  For texts of
   others, whose unknown members are let pass.  */
json_object *js_member (json_object *object, const char *name, json_type type);
/* Stores a fault at PATH, such as "services[2].rank", with the file, line and
   column where that value stands.  Returns GM_INVALID.  */
GmKind js_fault (const JsDocument *document, const char *path,
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

/* One field of an object: where it goes and what is allowed.  */
typedef struct
{
  const char *name;
  JsType type;
  gsize offset; /* of the target member */
  gboolean required;
  double min; /* least number, or least length of a string or array */
  double max;
  const char *allowed; /* NULL, or the allowed strings with "|" between */
} JsField;

/* Reads the members of OBJECT, which stands at PATH, into TARGET as the COUNT
   FIELDS say.  Unknown members are refused, absent optional ones leave the
   target as it is.  A string already in the target is freed.  */
GmKind js_fields (const JsDocument *document, json_object *object,
                  const char *path, const JsField *fields, gsize count,
                  void *target, GmStatus *status);
