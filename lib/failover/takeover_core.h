/* Types and functions shared by the files of the takeover; private to this
   directory.

   takeover.c: when a primary is replaced, orders, and what is recorded.
   view.c: what the leader knows of the databases, and its calls to them.
   seal.c: seals, and which copy holds every acknowledged write.  */
#pragma once
#include "takeover.h"

/* What the holder of one share of a database's queue has reported.  */
typedef struct
{
  GmTime at;    /* of its last report; 0: none */
  guint64 open; /* statements and transactions in progress */
  /* Between these times writes ran and none was confirmed.  */
  GmTime stuck_since;
  GmTime stuck_until;
} ShareView;

/* What the leader knows of one database.  The positions of acknowledged writes
   are those after the write, which may be later than its own.  */
typedef struct
{
  GmTime last_heartbeat; /* when its last heartbeat came */
  gboolean claims_lead;  /* that heartbeat says that it is a primary */
  GmTime replica_since;  /* since when it says that it is a replica; 0: no */
  guint64 incarnation;
  GmTime last_report; /* when its pool last reported on it; 0: never */
  gboolean reachable;
  guint64 silent_ms;     /* for how long it has answered nothing */
  GArray *shares;        /* ShareView */
  GmTime last_confirmed; /* when a write was last seen confirmed; 0: never */
  /* The last write that its pool saw acknowledged.  */
  guint64 acked_term;
  guint64 acked_number;
  guint64 confirmed_state; /* newest of its pools, as in PlHealth */
  guint64 left_by; /* version of the control state in which it had left when
                      the leader noticed; 0: it has not left */

  /* The leader's own calls to it.  */
  GmTime call_started_at;
  GmTime next_call_at;
  gboolean call_in_flight;
  GmTime last_answer;   /* end of the last answered call; 0: none */
  GmTime last_failure;  /* end of the last unanswered call; 0: none */
  GmTime failing_since; /* start of the first failed call; 0: it answers */
  gboolean has_status;  /* status is set */
  GmTime status_at;     /* when status was received */
  FoDatabaseStatus status;
} DatabaseView;

/* How far the replacement of a group's primary has come.  */
typedef struct
{
  char *name;
  GmTime last_proposal;
  guint64 sealing_term;
  GmTime sealing_since;
  guint64 pending_token; /* token of the order in flight; 0: none */
  guint64 ordered_token; /* of the last order sent */
  guint64 refused_token; /* highest token that the platform refused */
  guint64 unknown_token; /* highest token whose order ended as TO_UNKNOWN */
  GmTime promoted_proposed_at; /* when CMD_PROMOTED was last proposed */
  GmTime departed_proposed_at; /* when a departed copy was last given up */
  GmTime order_sent_at;
  GmTime next_order_at;
  guint64 unsealed_term; /* term in which the replicas were unsealed */
  GmTime next_depose_at; /* when to look for replaced primaries again */
  GmTime settled_at;     /* when the last promotion was done */
  /* No replacement for unconfirmed writes before unconfirmed_retry_at, which
     was set the time unconfirmed_hold after the last one.  */
  GmTime unconfirmed_retry_at;
  GmTime unconfirmed_hold;
} GroupProgress;

struct ToCore
{
  char *host;
  guint64 control_term; /* 0: this host is not the leader */
  GmTime leader_since;
  GHashTable *groups; /* name -> GroupProgress */
  GHashTable *views;  /* id -> DatabaseView */
  GQueue commands;    /* WmMessage * */
  GQueue actions;     /* ToAction * */
};

/* view.c  */
/* Returns the view of the database ID; creates it if there is none.  */
DatabaseView *to_view_of (ToCore *core, const char *id);
/* Whether the position NUMBER of TERM comes after OTHER_NUMBER of
   OTHER_TERM.  */
gboolean to_is_later (guint64 term, guint64 number, guint64 other_term,
                      guint64 other_number);
/* Counts the statements and transactions in progress in all shares of the
   queue.  */
guint64 to_count_open (const DatabaseView *view);
/* Whether writes of some share were sent for TO_CONFIRM_TIMEOUT and none of
   any share was confirmed meanwhile: a single lost answer doesn't make the
   primary stuck.  Not known, and thus FALSE, while a share does not report. */
gboolean to_is_stuck (const DatabaseView *view, GmTime now);
/* Queues an action on DATABASE for the caller to run, and returns it.  */
ToAction *to_push_action (ToCore *core, ToActionType type,
                          const GroupProgress *progress,
                          const CsDatabase *database);
/* Starts a call to DATABASE.  */
void to_start_call (ToCore *core, GmTime now, const GroupProgress *progress,
                    const CsDatabase *database, FoCall what, guint64 term);
/* Whether a call to the database of VIEW may start.  */
gboolean to_may_call (DatabaseView *view, GmTime now);
/* The databases of the group NAME other than EXCEPT, which may be NULL.  */
GPtrArray *to_databases_of (const CsState *state, const char *name,
                            const char *except);

/* seal.c  */
typedef enum
{
  CHOICE_UNKNOWN, /* the seals don't tell */
  CHOICE_HOLDS,
  CHOICE_VOID /* another copy has more */
} ChoiceState;

/* Notes that this leader seals the databases of GROUP for its term.  */
void to_begin_sealing (GmTime now, const CsGroup *group,
                       GroupProgress *progress);
/* Seals the databases of GROUP other than CHOSEN, which may be NULL, and
   renews their seals.  A primary can't be sealed and must step down first.  */
void to_seal_databases (ToCore *core, GmTime now, const CsState *state,
                        const CsGroup *group, const GroupProgress *progress,
                        const char *chosen);
/* The sealed copy of GROUP that holds every acknowledged write, or NULL while
   none is known to.

   A write that the last primary acknowledged is on that primary and on one
   other copy, which may be any.  Once all other copies are sealed, the one
   with the highest position has every acknowledged write.  While one of them
   can't be sealed, the last primary itself has every such write, unless it
   has lost its log: then it is behind another copy.  */
const CsDatabase *to_complete_copy (ToCore *core, GmTime now,
                                    const CsState *state,
                                    const CsGroup *group);
/* Whether CHOSEN still holds every acknowledged write, by the seals as they
   are now.  */
ChoiceState to_check_choice (ToCore *core, GmTime now, const CsState *state,
                             const CsGroup *group, const CsDatabase *chosen);
