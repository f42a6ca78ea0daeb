/* JSON documents that other programs and operators send, as each reader takes
   them.  */
#include "conf/declaration.h"
#include "conf/settings.h"
#include "json/json.h"
#include "platform/announcement.h"
#include "platform/manifest.h"
#include <glib/gstdio.h>
#include <string.h>

static gboolean
read_manifest (const char *text, gsize length, GmStatus *status)
{
  guint64 number = 0;
  GBytes *block = pt_manifest_translate (text, length, &number, status);
  if (block == NULL)
    return FALSE;
  g_bytes_unref (block);
  return TRUE;
}

static gboolean
read_announcement (const char *text, gsize length, GmStatus *status)
{
  static const char declared[]
      = "{\"number\": 1, \"groups\": [{\"name\": \"stock\"}], \"services\": "
        "[{\"name\": \"orders\", \"depends_on\": [\"stock\"], \"rank\": "
        "\"urgent\", \"deadline_ms\": 800}]}";
  g_autoptr (CfDeclaration) declaration
      = cf_declaration_parse ("declared", declared, strlen (declared), NULL);
  g_assert_nonnull (declaration);
  WmMessage command = { 0 };
  GmKind kind = pt_announcement_read ("db0", text, length, declaration,
                                      &command, status);
  g_assert_cmpint (kind, ==, status->kind);
  if (kind == GM_OK)
    wm_clear (&command);
  return kind == GM_OK;
}

static gboolean
read_declaration (const char *text, gsize length, GmStatus *status)
{
  g_autoptr (CfDeclaration) d
      = cf_declaration_parse ("declaration", text, length, status);
  return d != NULL;
}

static gboolean
read_settings (const char *text, gsize length, GmStatus *status)
{
  g_autofree char *path = NULL;
  int file = g_file_open_tmp (NULL, &path, NULL);
  g_assert_cmpint (file, >=, 0);
  g_assert_true (g_close (file, NULL));
  g_assert_true (g_file_set_contents (path, text, (gssize)length, NULL));
  CfSettings *settings = cf_settings_read (path, status);
  g_assert_cmpint (g_unlink (path), ==, 0);
  cf_settings_free (settings);
  return settings != NULL;
}

static const struct
{
  const char *name;
  gboolean (*read) (const char *text, gsize length, GmStatus *status);
} readers[] = {
  { "manifest", read_manifest },
  { "announcement", read_announcement },
  { "declaration", read_declaration },
  { "settings", read_settings },
};

static const char *const no_objects[] = {
  "null",   " null\n", "true", "0",   "\"\"", "[]",
  "[null]", "{}",      "",     "nul", "NaN",
};

/* Guards against a text that is no object and is refused without a reason: the
   JSON value null ended the process that read it, and was acknowledged as a
   manifest.  */
static void
test_no_object (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (readers); i++)
    for (gsize k = 0; k < G_N_ELEMENTS (no_objects); k++)
      {
        const char *text = no_objects[k];
        GmStatus status = { GM_KIND_COUNT, "" };
        g_test_message ("%s: %s", readers[i].name, text);
        g_assert_false (readers[i].read (text, strlen (text), &status));
        g_assert_cmpint (status.kind, ==, GM_INVALID);
        g_assert_cmpstr (status.message, !=, "");
      }
}

/* A document with one value left open, and what stands there.  */
#define MANIFEST                                                              \
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"database\":\"orders\","       \
  "\"pathPrefix\":\"/\",\"routeType\":\"primary\",\"timeoutMs\":800,"         \
  "\"priority\":0,\"serviceName\":\"stock\"}],\"services\":[{\"name\":"       \
  "\"stock\",\"syncReplicas\":1}],\"extra\":%s}"
#define ANNOUNCEMENT                                                          \
  "{\"serviceName\":\"stock\",\"address\":\"10.0.0.9:8080\",\"zone\":\"a\","  \
  "\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\","                    \
  "\"coldRemainingMs\":"                                                      \
  "0,\"dbRole\":\"replica\",\"sequence\":4,\"born\":7,\"extra\":%s}"

static const struct
{
  const char *value;
  gboolean good;
} values[] = {
  { "1", TRUE },
  { "null", TRUE },
  { "-0", TRUE },
  { "0.5e-3", TRUE },
  { "1E+2", TRUE },
  { "12345678901234567890123", TRUE },
  { " [ true , false , \"\\u0041\\\"\\/\" , { } ]\t\r\n", TRUE },
  { "1 /* one */", FALSE },
  { "// one\n1", FALSE },
  { "NaN", FALSE },
  { "-Infinity", FALSE },
  { "True", FALSE },
  { "NULL", FALSE },
  { "01", FALSE },
  { "-01", FALSE },
  { "1.", FALSE },
  { "1e", FALSE },
  { "-", FALSE },
  { "+1", FALSE },
  { ".5", FALSE },
  { "0x10", FALSE },
  { "[1,]", FALSE },
  { "{\"a\":1,}", FALSE },
  { "'a'", FALSE },
  { "\v1", FALSE },
  { "\"a\tb\"", FALSE },
  { "\"a\nb\"", FALSE },
};

/* Guards against documents of the platform that no JSON reader takes and that
   were acknowledged: comments, and what else json-c allows.  Settings and
   declarations may have comments.  */
static void
test_strict (void)
{
  static const char *const documents[] = { MANIFEST, ANNOUNCEMENT };
  for (gsize i = 0; i < G_N_ELEMENTS (documents); i++)
    for (gsize k = 0; k < G_N_ELEMENTS (values); k++)
      {
        g_auto (GStrv) parts = g_strsplit (documents[i], "%s", 2);
        g_autofree char *text
            = g_strconcat (parts[0], values[k].value, parts[1], NULL);
        GmStatus status = { GM_KIND_COUNT, "" };
        g_test_message ("%s: %s", readers[i].name, values[k].value);
        g_assert_cmpint (readers[i].read (text, strlen (text), &status), ==,
                         values[k].good);
        if (!values[k].good)
          g_assert_cmpint (status.kind, ==, GM_INVALID);
      }
  static const char commented[]
      = "/* one */ {\"number\": 1, \"groups\": [{\"name\": \"stock\"}], "
        "\"services\": [{\"name\": \"orders\", \"depends_on\": [\"stock\"], "
        "\"rank\": \"urgent\", \"deadline_ms\": 800}] // none\n}";
  GmStatus status = { GM_KIND_COUNT, "" };
  g_assert_true (read_declaration (commented, strlen (commented), &status));
}

/* A heartbeat without a valid start counts as one of the first lifetime.  */
static void
test_incarnation (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (no_objects); i++)
    g_assert_cmpuint (
        pt_announcement_incarnation (no_objects[i], strlen (no_objects[i])),
        ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/documents/no-object", test_no_object);
  g_test_add_func ("/documents/strict", test_strict);
  g_test_add_func ("/documents/incarnation", test_incarnation);
  return g_test_run ();
}
