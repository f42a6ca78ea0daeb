/* Session internals, private to lib/session.

   session.c sends statements to databases and handles the answers.  admit.c
   decides for which customer a statement runs.  refusal.c decides which
   statements are refused here and which are tried again, and passes what
   answers tell to the router.  local.c answers the statements that need no
   database.  */
#pragma once
#include "pool/pool.h"
#include "session.h"

/* A prepared statement.  */
typedef struct
{
  gboolean writes;
  char *shape;
  gsize bytes; /* with its name */
} SnPrepared;

/* The statement in progress.  */
typedef struct
{
  SnStatement statement;
  gboolean admitted; /* its key was accepted */
  char *customer;    /* that it runs for, or NULL */
  PlOperation operation;
  gboolean writes;
  const char *shape; /* of an execution; owned by the session */
  GmTime arrived;
  GmTime deadline;
  guint attempts;
  GmTime sent_at;
  GmTime network_time;    /* between hosts, over all answered attempts */
  TkPoint min_position;   /* that a replica must have; number 0: none */
  GmTime min_position_at; /* when it was the group's newest position */
  DpBegin begins;
  guint64 config; /* number of the configuration by which it was sent last */
  char *database;
  char *host; /* that holds the database's pool */
  char *address;
  char *exclude;       /* a database that could not serve it, or NULL */
  gboolean to_primary; /* set after a replica lacked min_position */
} SnCall;

struct SnSession
{
  char *service;
  gboolean has_key;
  CfKeyDigest key; /* of the caller */
  char *group;
  GTree *values; /* name -> value */
  gsize values_bytes;
  GHashTable *prepared; /* name -> SnPrepared */
  gsize prepared_bytes;
  SnState state;
  gboolean transaction_read_only;
  gboolean transaction_wrote;
  GmTime waited; /* by the caller, before its first statement */
  /* The position after the session's last write, in the log of group; number
     0: it has written nothing there since its route has moved there, or the
     position is not known.  */
  TkPoint last_write;
  GmTime last_write_at;  /* in any group; 0: it has written nothing */
  TkPoint last_position; /* after the last statement */

  /* Where the transaction is open; transaction is 0 until its first statement
     has run.  */
  guint64 transaction;
  guint64 holder;
  char *host;
  char *address;
  char *database;
  char *customer; /* on whose connection it is open, or NULL */

  gboolean busy; /* call is in use */
  SnCall call;
};

/* Ends the statement in progress, if any, and fills STEP with the answer for
   the caller.  Any KIND but GM_OK fails an open transaction.  */
void sn_answer (SnSession *session, SnStep *step, GmKind kind,
                const char *message);
/* Abandons the open transaction: fills STEP's release, which tells the host
   that holds the transaction to roll it back.  */
void sn_release (SnSession *session, SnStep *step);
/* Answers STATEMENT if it needs no database.  FALSE when it needs one.  */
gboolean sn_answer_locally (SnSession *session, SnStatement *statement,
                            SnStep *step);
/* Empties CALL.  */
void sn_call_clear (SnCall *call);
/* Makes STEP wait for the time UNTIL.  */
void sn_wait_until (SnStep *step, GmTime until);
/* The session's service in the declaration in force, or NULL.  */
const CfService *sn_find_service (const SnSession *session,
                                  const SnContext *world);
/* Sets the operation of the statement in progress.  FALSE when the statement
   was refused and answered.  */
gboolean sn_classify (SnSession *session, SnStep *step);
/* Sends the statement to the database and host that should run it now, or
   answers it if there is none.  */
void sn_route_statement (SnSession *session, const SnContext *world,
                         SnStep *step);
/* Sends the statement in progress, which had no effect so far, again.  Its key
   may have been withdrawn meanwhile.  */
void sn_route_again (SnSession *session, const SnContext *world, SnStep *step);
/* refusal.c  */
/* The rank of SESSION's service.  */
CfRank sn_rank (const SnSession *session, const SnContext *world);
/* The longest wait with which a statement of SERVICE, with the time LEFT until
   its deadline, is not refused.  */
GmTime sn_longest_wait (const CfService *service, GmTime left);
/* Refuses the statement if no queue can serve it by its deadline, whatever
   else is sent there.  A statement that was sent before is not refused
   here.  */
gboolean sn_refuse_late (SnSession *session, const SnContext *world,
                         const CfService *service, SnStep *step);
/* Refuses the statement if too much is on its way to all holders of the queue
   of the DATABASE that was chosen: their links or queues are so full that
   answers come too late.  A statement that was sent before is not refused
   here.  */
gboolean sn_refuse_on_full_links (SnSession *session, const SnContext *world,
                                  const CfService *service,
                                  const char *database, SnStep *step);
/* Passes what an answer tells about its database and group to the router.  */
void sn_update_router (SnSession *session, const SnContext *world,
                       const struct wm_statement_done *done);
/* Takes a retry out of the host's budget; FALSE when none is left.  */
gboolean sn_take_retry (const SnContext *world);
/* Whether a retry after an answer of KIND counts against the host's budget.
   Not limited are retries of reads that lack a position, and those while the
   group's primary changes, when all statements to it fail.  */
gboolean sn_is_limited (const SnSession *session, const SnContext *world,
                        GmKind kind);
/* Whether the statement, answered with KIND, may be retried: it had no effect,
   and another database or a later attempt may serve it.  */
gboolean sn_may_retry (const SnSession *session, const SnContext *world,
                       GmKind kind);
