/* Databases' announcements, which come through the balancer to any host.  */
#pragma once
#include <libsoup/soup.h>

/* A handler of the callers' server; DATA is the Daemon.  Checks the body and
   sends it towards the control leader.  */
void announce_handle (SoupServer *server, SoupServerMessage *msg,
                      const char *path, GHashTable *query, gpointer data);
