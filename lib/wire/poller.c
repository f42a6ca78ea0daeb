#include "poller.h"
#include <glib-unix.h>
#include <unistd.h>

/* Descriptors handled in one iteration of the main context; more wait for the
   next one, so that timers are not delayed.  */
#define BATCH_SIZE 64

struct NpWatch
{
  int fd;
  guint events;
  NpHandler handler;
  gpointer owner;
};

typedef struct
{
  GSource base;
  int epoll;
  struct epoll_event batch[BATCH_SIZE];
  int batch_length;
} Poller;

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  (void)callback;
  (void)data;
  Poller *poller = (Poller *)source;
  poller->batch_length
      = epoll_wait (poller->epoll, poller->batch, BATCH_SIZE, 0);
  for (int i = 0; i < poller->batch_length; i++)
    {
      const NpWatch *watch = poller->batch[i].data.ptr;
      if (watch != NULL)
        watch->handler (watch->owner, poller->batch[i].events);
    }
  poller->batch_length = 0;
  return G_SOURCE_CONTINUE;
}

/* The poller of the default main context; lives until the process ends.  */
static Poller *
get_poller (void)
{
  static GSourceFuncs functions = { .dispatch = dispatch };
  static Poller *poller;
  if (poller != NULL)
    return poller;
  poller = (Poller *)g_source_new (&functions, sizeof *poller);
  poller->epoll = epoll_create1 (EPOLL_CLOEXEC);
  if (poller->epoll < 0)
    g_error ("epoll_create1: %s", g_strerror (errno));
  g_source_add_unix_fd (&poller->base, poller->epoll, G_IO_IN);
  g_source_attach (&poller->base, NULL);
  return poller;
}

NpWatch *
np_watch (int fd, guint events, NpHandler handler, gpointer owner)
{
  NpWatch *watch = g_new0 (NpWatch, 1);
  *watch = (NpWatch){ fd, events, handler, owner };
  struct epoll_event event = { .events = events, .data.ptr = watch };
  if (epoll_ctl (get_poller ()->epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    g_clear_pointer (&watch, g_free);
  return watch;
}

void
np_set_events (NpWatch *watch, guint events)
{
  if (watch == NULL || watch->events == events)
    return;
  struct epoll_event event = { .events = events, .data.ptr = watch };
  watch->events = events;
  epoll_ctl (get_poller ()->epoll, EPOLL_CTL_MOD, watch->fd, &event);
}

void
np_unwatch (NpWatch *watch)
{
  Poller *poller = get_poller ();
  if (watch == NULL)
    return;
  epoll_ctl (poller->epoll, EPOLL_CTL_DEL, watch->fd, NULL);
  /* Its event may be in the batch that is being handled.  */
  for (int i = 0; i < poller->batch_length; i++)
    if (poller->batch[i].data.ptr == watch)
      poller->batch[i].data.ptr = NULL;
  g_free (watch);
}
