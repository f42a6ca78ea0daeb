#include "pack.h"
#include <gio/gio.h>

#define CHUNK_BYTES 16384

/* Converts BLOCK with CONVERTER.  Returns NULL if the conversion fails or
   yields more than MAX_BYTES bytes.  */
static GBytes *
convert (GConverter *converter, GBytes *block, gsize max_bytes)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  gsize remaining;
  const guint8 *data = g_bytes_get_data (block, &remaining);
  GConverterResult result = G_CONVERTER_CONVERTED;
  while (result != G_CONVERTER_FINISHED)
    {
      guint8 chunk[CHUNK_BYTES];
      gsize read = 0, written = 0;
      result = g_converter_convert (converter, data, remaining, chunk,
                                    sizeof chunk, G_CONVERTER_INPUT_AT_END,
                                    &read, &written, NULL);
      if (result == G_CONVERTER_ERROR || out->len + written > max_bytes)
        return NULL;
      g_byte_array_append (out, chunk, (guint)written);
      data += read;
      remaining -= read;
    }
  return g_byte_array_free_to_bytes (g_steal_pointer (&out));
}

GBytes *
wm_compress (GBytes *block)
{
  g_autoptr (GZlibCompressor) deflate
      = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, -1);
  return convert (G_CONVERTER (deflate), block, G_MAXUINT);
}

GBytes *
wm_decompress (GBytes *block, gsize max_bytes)
{
  g_autoptr (GZlibDecompressor) inflate
      = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  return convert (G_CONVERTER (inflate), block, max_bytes);
}
