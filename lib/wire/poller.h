/* Waits for many file descriptors through one source of the main context.

   The main context looks at each of its sources on every iteration, so a
   process with hundreds of connections would spend most of its time there.
   The poller is a single source, whose cost depends only on the descriptors
   that are ready.  Handlers run in the default main context.  */
#pragma once
#include <glib.h>
#include <sys/epoll.h>

typedef struct NpWatch NpWatch;

/* The descriptor is ready for EVENTS, a set of EPOLL* bits.  The handler may
   change or free any watch.  */
typedef void (*NpHandler) (gpointer owner, guint events);

/* Watches FD, which is not owned, for EVENTS; EPOLLERR and EPOLLHUP are always
   reported.  A handler runs again as long as its descriptor is ready.  Returns
   NULL when the system has no room for another watch.  */
NpWatch *np_watch (int fd, guint events, NpHandler handler, gpointer owner);
void np_set_events (NpWatch *watch, guint events);
/* Ends WATCH, before FD is closed; its handler is not called again.  NULL is
   allowed.  */
void np_unwatch (NpWatch *watch);
