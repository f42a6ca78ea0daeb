/* Compression of blocks that are sent over links, in zlib format.  */
#pragma once
#include <glib.h>

/* Compresses BLOCK.  Free the result with g_bytes_unref.  */
GBytes *wm_compress (GBytes *block);
/* Decompresses BLOCK.  Returns NULL if BLOCK is damaged or would decompress to
   more than MAX_BYTES bytes.  */
GBytes *wm_decompress (GBytes *block, gsize max_bytes);
