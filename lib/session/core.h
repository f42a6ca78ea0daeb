/* What the parts of a session share; private to lib/session.

   session.c: the way of a statement to a database and back.  local.c: what is
   answered without one.  */
#pragma once
#include "pool/pool.h"
#include "session.h"

typedef struct
{
  gboolean writes;
  char *shape;
} SnPrepared;

/* The statement on its way.  */
typedef struct
{
  SnStatement statement;
  PlOperation operation;
  gboolean writes;
  const char *shape; /* of an execution; owned by the session */
  GmTime arrived;
  GmTime deadline;
  guint attempts;
  GmTime sent_at;
  GmTime way; /* spent between hosts, by all tries that were answered */
  TkPoint after;
  GmTime after_at; /* when the position was the group's newest */
  DpBegin begins;
  char *database;
  char *host; /* that holds its pool */
  char *address;
  char *except;        /* a replica that could not serve it, or NULL */
  gboolean to_primary; /* a replica lacked the position */
} SnCall;

struct SnSession
{
  char *service;
  char *group;
  GTree *values; /* name -> value */
  gsize values_bytes;
  GHashTable *prepared; /* name -> SnPrepared */
  SnState state;
  gboolean read_only; /* the transaction */
  gboolean wrote;     /* the transaction */
  GmTime waited;      /* by the caller, before its first statement */
  TkPoint own;        /* after the session's last write */
  GmTime own_at;
  TkPoint point;

  /* Where the transaction is open, once it is.  */
  guint64 transaction;
  guint64 holder;
  char *host;
  char *address;
  char *database;

  gboolean busy;
  SnCall call;
};

/* Ends the statement on its way, or the one at hand, with an answer that no
   database gave.  A transaction has failed with any kind but GM_OK.  */
void sn_answer (SnSession *session, SnStep *step, GmKind kind,
                const char *message);
/* Gives the open transaction up: whoever holds it rolls it back.  */
void sn_release (SnSession *session, SnStep *step);
/* Answers STATEMENT if it needs no database.  FALSE when it needs one.  */
gboolean sn_serve_here (SnSession *session, SnStatement *statement,
                        SnStep *step);
