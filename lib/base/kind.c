#include "kind.h"
#include <stdio.h>
#include <string.h>

static const struct
{
  const char *text;
  guint http;
  int code;
  GmRan ran;
} kinds[] = {
#define X(name, text, http, code, ran) { text, http, code, GM_RAN_##ran },
  GM_KINDS (X)
#undef X
};

const char *
gm_kind_text (GmKind kind)
{
  g_assert (kind < GM_KIND_COUNT);
  return kinds[kind].text;
}

guint
gm_kind_http (GmKind kind)
{
  g_assert (kind < GM_KIND_COUNT);
  return kinds[kind].http;
}

int
gm_kind_exit (GmKind kind)
{
  g_assert (kind < GM_KIND_COUNT);
  return kinds[kind].code;
}

GmRan
gm_kind_ran (GmKind kind)
{
  g_assert (kind < GM_KIND_COUNT);
  return kinds[kind].ran;
}

GmKind
gm_kind_from_text (const char *text)
{
  for (int i = 0; i < GM_KIND_COUNT; i++)
    if (strcmp (kinds[i].text, text) == 0)
      return (GmKind)i;
  return GM_INTERNAL;
}

GmKind
gm_kind_from_number (guint64 number)
{
  return number < GM_KIND_COUNT ? (GmKind)number : GM_INTERNAL;
}

GmKind
gm_fail (GmStatus *status, GmKind kind, const char *format, ...)
{
  if (status == NULL)
    return kind;
  status->kind = kind;
  va_list args;
  va_start (args, format);
  g_vsnprintf (status->message, sizeof status->message, format, args);
  va_end (args);
  return kind;
}

GmKind
gm_ok (GmStatus *status)
{
  if (status != NULL)
    {
      status->kind = GM_OK;
      status->message[0] = '\0';
    }
  return GM_OK;
}
