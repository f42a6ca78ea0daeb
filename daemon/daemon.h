/* What the daemon's tasks share: settings, clock, the links accepted from
   other hosts, and the drain.

   All tasks run on one main context; each owns its sockets and its state.  The
   daemon tells a task of messages and changes through the task's
   DaemonTaskClass.  A task uses this interface and the subscription, but not
   other tasks; main.c creates the tasks.  */
#pragma once
#include "base/event.h"
#include "wire/link.h"

typedef struct Daemon Daemon;
typedef struct Subscription Subscription;
typedef struct DaemonTask DaemonTask;

/* Callbacks of a task; all but free may be NULL.  */
typedef struct
{
  /* A message came on the accepted link NUMBER.  Returns TRUE when the task
     has handled it; otherwise the next task gets it.  */
  gboolean (*message) (DaemonTask *task, guint64 number, LkLink *link,
                       const WmMessage *m);
  /* The accepted link NUMBER has closed.  */
  void (*link_down) (DaemonTask *task, guint64 number);
  /* This host's copy of the control state changed.  */
  void (*state_changed) (DaemonTask *task);
  /* The list of control hosts in the settings changed.  */
  void (*settings_changed) (DaemonTask *task);
  /* A drain began.  */
  void (*draining) (DaemonTask *task);
  /* Describes as JSON where this task would send a statement of SERVICE; see
     sr_describe.  NULL: this task sends none.  */
  char *(*choice) (DaemonTask *task, const char *service, gboolean writes,
                   GmTime age);
  /* The number of requests and transactions in progress, which a drain waits
     for.  */
  guint (*in_progress) (const DaemonTask *task);
  void (*free) (DaemonTask *task);
} DaemonTaskClass;

/* The base of a task, which is its first member.  */
struct DaemonTask
{
  const DaemonTaskClass *class;
};

struct Daemon
{
  const CfSettings *settings;
  const GmClock *clock;
  LkIdentity identity;
  Subscription *subscription; /* set by subscription_new */
  GMainLoop *loop;
  gboolean draining;

  /* Private to daemon.c.  */
  LkServer *server;
  GHashTable *links;        /* number -> LkLink, accepted links that are up */
  GHashTable *link_numbers; /* LkLink -> number */
  guint64 last_link_number;
  GPtrArray *tasks; /* DaemonTask *, in the order in which they were added */
  guint drain_timer;
  GmTime drain_deadline;
  GmTime busy_at; /* when something was last in progress during the drain */
};

/* Creates the daemon and listens for links.  NULL and STATUS when it can't
   listen.  SETTINGS are borrowed.  */
Daemon *daemon_new (const CfSettings *settings, GmStatus *status);
/* Frees DAEMON and its tasks, the last one added first.  */
void daemon_free (Daemon *daemon);
/* Adds TASK, which DAEMON then owns.  */
void daemon_add (Daemon *daemon, DaemonTask *task);
/* The description by the first task that has one, or NULL.  */
char *daemon_choice (Daemon *daemon, const char *service, gboolean writes,
                     GmTime age);
/* Tells all tasks that the control state changed.  */
void daemon_state_changed (Daemon *daemon);
/* Tells all tasks that the list of control hosts in the settings changed.  */
void daemon_settings_changed (Daemon *daemon);
/* Begins a drain: tells the tasks, which take no new work, and quits the main
   loop once nothing is in progress or the drain time has passed.  */
void daemon_drain (Daemon *daemon);
/* The time by DAEMON's clock.  */
GmTime daemon_now (const Daemon *daemon);
/* The accepted link NUMBER, or NULL when it has closed.  Numbers are never
   reused.  */
LkLink *daemon_link (const Daemon *daemon, guint64 number);
