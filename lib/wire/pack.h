/* Compression of blocks that cross links, by the deflate of GIO's library.  */
#pragma once
#include <glib.h>

/* BLOCK compressed; free it with g_bytes_unref.  */
GBytes *wm_pack (GBytes *block);
/* What wm_pack was given, or NULL when BLOCK is damaged or holds more than
   MOST bytes.  */
GBytes *wm_unpack (GBytes *block, gsize most);
