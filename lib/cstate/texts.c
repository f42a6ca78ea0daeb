#include "core.h"
#include "wire/pack.h"

/* Texts that are smaller together are kept as they are: a configuration of
   some ten routes has 10 kB.  */
#define PACKED_BYTES_MIN (32 * 1024)
#define UNPACKED_BYTES_MAX (2 * (gsize)WM_FRAME_MAX)

static gsize
size_of (GBytes *text)
{
  return text != NULL ? g_bytes_get_size (text) : 0;
}

static void
pack (GBytes **text)
{
  if (size_of (*text) == 0)
    return;
  GBytes *packed = wm_compress (*text);
  g_bytes_unref (*text);
  *text = packed;
}

void
cs_pack_config (struct wm_cmd_config *config)
{
  if (size_of (config->text) + size_of (config->source) < PACKED_BYTES_MIN)
    return;
  pack (&config->text);
  pack (&config->source);
  config->highest |= WM_CONFIG_PACKED;
}

GBytes *
cs_unpack (GBytes *text, gboolean packed)
{
  if (!packed || g_bytes_get_size (text) == 0)
    return g_bytes_ref (text);
  GBytes *unpacked = wm_decompress (text, UNPACKED_BYTES_MAX);
  return unpacked != NULL ? unpacked : g_bytes_new (NULL, 0);
}

void
cs_clear_texts (CsState *state)
{
  g_clear_pointer (&state->text, g_bytes_unref);
  g_clear_pointer (&state->source, g_bytes_unref);
  g_clear_pointer (&state->unpacked_source, g_bytes_unref);
}

GBytes *
cs_source (const CsState *state)
{
  /* A cache, as in cs_declaration.  */
  CsState *cache = (CsState *)state;
  if (state->unpacked_source == NULL && state->source != NULL)
    cache->unpacked_source = cs_unpack (state->source, state->packed);
  return state->unpacked_source;
}
