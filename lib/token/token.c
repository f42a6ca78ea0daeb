#include "token.h"
#include "base/bytes.h"
#include "base/mutant.h"
#include "wire/message.h"
#include <string.h>

#define TOKEN_PREFIX "g1"
#define SESSION_PURPOSE "session"
#define DIGEST_BYTES 32
/* Stands in a token for the groups of an incomplete session.  No group has
   this name.  */
#define LOST_GROUPS ""

static void
group_point_clear (gpointer data)
{
  g_free (((TkGroupPoint *)data)->group);
}

TkSession *
tk_session_new (void)
{
  TkSession *session = g_new0 (TkSession, 1);
  session->group_points = g_array_new (FALSE, TRUE, sizeof (TkGroupPoint));
  g_array_set_clear_func (session->group_points, group_point_clear);
  return session;
}

void
tk_session_free (TkSession *session)
{
  if (session == NULL)
    return;
  g_array_unref (session->group_points);
  g_free (session);
}

static char *
compute_signature (const char *purpose, const char *text, const char *key)
{
  guint8 digest[DIGEST_BYTES];
  gsize length = sizeof digest;
  g_autoptr (GHmac) hmac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  g_hmac_update (hmac, (const guchar *)purpose, (gssize)strlen (purpose) + 1);
  g_hmac_update (hmac, (const guchar *)text, (gssize)strlen (text));
  g_hmac_get_digest (hmac, digest, &length);
  return g_base64_encode (digest, length);
}

char *
tk_sign (const char *purpose, const char *text, const char *key)
{
  g_autofree char *digest = compute_signature (purpose, text, key);
  return g_strconcat (text, ".", digest, NULL);
}

char *
tk_verify (const char *purpose, const char *signed_text, const char *key)
{
  const char *dot = strchr (signed_text, '.');
  if (dot == NULL)
    return NULL;
  char *text = g_strndup (signed_text, (gsize)(dot - signed_text));
  g_autofree char *expected = compute_signature (purpose, text, key);
  if (!gm_secrets_equal (expected, strlen (expected), dot + 1,
                         strlen (dot + 1)))
    g_clear_pointer (&text, g_free);
  return text;
}

static gboolean
decode_group_points (TkSession *session, const char *body)
{
  gsize length;
  g_autofree guint8 *raw = g_base64_decode (body, &length);
  g_autoptr (GBytes) block = g_bytes_new (raw, length);
  g_autoptr (GPtrArray) parts = wm_strings_decode (block);
  if (parts == NULL || parts->len % 3 != 0 || parts->len > 3 * TK_GROUPS_MAX)
    return FALSE;
  for (guint i = 0; i < parts->len; i += 3)
    {
      const char *term = g_ptr_array_index (parts, i + 1);
      const char *position = g_ptr_array_index (parts, i + 2);
      TkPoint point;
      if (g_ptr_array_index (parts, i) == NULL || term == NULL
          || position == NULL
          || !g_ascii_string_to_unsigned (term, 10, 0, G_MAXUINT64,
                                          &point.term, NULL)
          || !g_ascii_string_to_unsigned (position, 10, 0, G_MAXUINT64,
                                          &point.position, NULL))
        return FALSE;
      if (strcmp (g_ptr_array_index (parts, i), LOST_GROUPS) == 0)
        session->incomplete = TRUE;
      else
        tk_session_raise (session, g_ptr_array_index (parts, i), point);
    }
  return TRUE;
}

TkSession *
tk_session_parse (const char *text, const char *key, GmStatus *status)
{
  if (strlen (text) > TK_TEXT_MAX_BYTES)
    {
      gm_fail (status, GM_INVALID, "the token is longer than %d bytes",
               TK_TEXT_MAX_BYTES);
      return NULL;
    }
  if (!g_str_has_prefix (text, TOKEN_PREFIX "."))
    {
      gm_fail (status, GM_INVALID, "the text is not a token");
      return NULL;
    }
  g_autofree char *body
      = tk_verify (SESSION_PURPOSE, text + strlen (TOKEN_PREFIX "."), key);
  if (body == NULL)
    {
      gm_fail (status, GM_INVALID, "the token's signature is invalid");
      return NULL;
    }
  TkSession *session = tk_session_new ();
  if (!decode_group_points (session, body))
    {
      gm_fail (status, GM_INVALID, "the token's content is damaged");
      g_clear_pointer (&session, tk_session_free);
    }
  return session;
}

static void
add_parts (GPtrArray *parts, const char *group, TkPoint point)
{
  g_ptr_array_add (parts, g_strdup (group));
  g_ptr_array_add (parts, g_strdup_printf ("%" G_GUINT64_FORMAT, point.term));
  g_ptr_array_add (parts,
                   g_strdup_printf ("%" G_GUINT64_FORMAT, point.position));
}

char *
tk_session_serialize (const TkSession *session, const char *key)
{
  g_autoptr (GPtrArray) parts = g_ptr_array_new_with_free_func (g_free);
  if (session->incomplete)
    add_parts (parts, LOST_GROUPS, (TkPoint){ 0, 0 });
  for (guint i = 0; i < session->group_points->len; i++)
    {
      const TkGroupPoint *entry
          = &g_array_index (session->group_points, TkGroupPoint, i);
      add_parts (parts, entry->group, entry->point);
    }
  g_autoptr (GBytes) block
      = wm_strings_encode ((const char *const *)parts->pdata, parts->len);
  gsize length;
  const guchar *raw = g_bytes_get_data (block, &length);
  g_autofree char *body = g_base64_encode (raw, length);
  g_autofree char *signed_body = tk_sign (SESSION_PURPOSE, body, key);
  return g_strconcat (TOKEN_PREFIX, ".", signed_body, NULL);
}

static TkGroupPoint *
find_group_point (const TkSession *session, const char *group)
{
  for (guint i = 0; i < session->group_points->len; i++)
    {
      TkGroupPoint *entry
          = &g_array_index (session->group_points, TkGroupPoint, i);
      if (strcmp (entry->group, group) == 0)
        return entry;
    }
  return NULL;
}

TkPoint
tk_session_point (const TkSession *session, const char *group)
{
  const TkGroupPoint *entry = find_group_point (session, group);
  return entry != NULL ? entry->point : (TkPoint){ 0, 0 };
}

gboolean
tk_session_covers (const TkSession *session, const char *group)
{
  return !session->incomplete || find_group_point (session, group) != NULL;
}

void
tk_session_raise (TkSession *session, const char *group, TkPoint point)
{
  TkGroupPoint *entry = find_group_point (session, group);
  if (entry != NULL)
    {
      if (tk_point_compare (point, entry->point) > 0)
        entry->point = point;
      return;
    }
  while (session->group_points->len + (session->incomplete ? 1 : 0)
         >= TK_GROUPS_MAX)
    {
      session->incomplete = TRUE;
      g_array_remove_index (session->group_points, 0);
    }
  TkGroupPoint added = { g_strdup (group), point };
  g_array_append_val (session->group_points, added);
}

gboolean
tk_point_reached (TkPoint point, guint64 last_term, guint64 applied)
{
  if (point.position == 0 || GM_MUTANT (POSITION_UNCHECKED))
    return TRUE;
  return last_term >= point.term && applied >= point.position;
}

int
tk_point_compare (TkPoint a, TkPoint b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  return a.position < b.position ? -1 : a.position > b.position;
}
