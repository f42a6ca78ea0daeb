/* Databases' announcements, which the load balancer passes to any host.  */
#pragma once
#include <libsoup/soup.h>

/* A SoupServer handler, with the Daemon as DATA.  Checks the body and sends
   the announcement to the control leader.  */
void announce_handle (SoupServer *server, SoupServerMessage *msg,
                      const char *path, GHashTable *query, gpointer data);
