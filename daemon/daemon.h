/* What a task of the daemon needs of the process that it runs in: settings,
   clock, the links that other hosts opened, the drain.

   Each task owns its sockets and its state, all on one main context.  Tasks
   are told of messages and changes through their table of calls; they know
   this interface and the subscription, not each other.  main.c composes
   them.  */
#pragma once
#include "base/event.h"
#include "wire/link.h"

typedef struct Daemon Daemon;
typedef struct Subscription Subscription;
typedef struct DaemonTask DaemonTask;

/* Calls of a task; all but free may be NULL.  */
typedef struct
{
  /* A message on the accepted link with NUMBER.  TRUE when the task took it;
     otherwise the next one is asked.  */
  gboolean (*message) (DaemonTask *task, guint64 number, LkLink *link,
                       const WmMessage *m);
  void (*link_down) (DaemonTask *task, guint64 number);
  /* This host's copy of the control state changed.  */
  void (*state_changed) (DaemonTask *task);
  /* The control hosts that the settings name have changed.  */
  void (*settings_changed) (DaemonTask *task);
  /* A planned stop began.  */
  void (*draining) (DaemonTask *task);
  /* Requests and transactions in progress, which a planned stop waits for.  */
  guint (*open) (const DaemonTask *task);
  void (*free) (DaemonTask *task);
} DaemonTaskClass;

/* A task; the table of calls is its first member.  */
struct DaemonTask
{
  const DaemonTaskClass *class;
};

struct Daemon
{
  const CfSettings *settings;
  const GmClock *clock;
  LkIdentity identity;
  Subscription *subscription; /* set by the task of that name */
  GMainLoop *loop;
  gboolean draining;

  /* Kept by daemon.c.  */
  LkServer *server;
  GHashTable *links; /* number -> LkLink, the accepted ones that are up */
  GHashTable *link_numbers; /* LkLink -> number */
  guint64 last_link_number;
  GPtrArray *tasks; /* DaemonTask *, in the order in which they were added */
  guint drain_timer;
  GmTime drain_deadline;
};

/* Listens for links; NULL and STATUS when it can't.  */
Daemon *daemon_new (const CfSettings *settings, GmStatus *status);
/* Frees DAEMON and its tasks, the last one added first.  */
void daemon_free (Daemon *daemon);
/* Adds TASK, which the daemon then owns.  */
void daemon_add (Daemon *daemon, DaemonTask *task);
/* Tells all tasks that the control state changed.  */
void daemon_state_changed (Daemon *daemon);
/* Tells all tasks that the settings name other control hosts.  */
void daemon_settings_changed (Daemon *daemon);
/* Begins a planned stop: no new work, then the end of the main loop once
   nothing is in progress or the drain time has passed.  */
void daemon_drain (Daemon *daemon);
GmTime daemon_now (const Daemon *daemon);
/* The accepted link with NUMBER, or NULL when it has closed.  Numbers are
   never used twice.  */
LkLink *daemon_link (const Daemon *daemon, guint64 number);
