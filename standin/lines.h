/* The databases of galenamount-platform in the line protocol.  */
#pragma once
#include "platform/line.h"
#include "replicas.h"
#include "wire/stream.h"

#define PD_GROUP "stock" /* the one service */

typedef struct PdBooks PdBooks;

/* One database: its listener, its sessions, its switches.  */
typedef struct
{
  PdBooks *books;
  MdDatabase *model;
  CfAddress address;
  NsListener *listener;
  GPtrArray *sessions; /* owned here */
  guint64 sequence;    /* of its heartbeats */
  gint64 born;         /* milliseconds of Unix time */
  gboolean lags;       /* applies nothing */
  gboolean loses;      /* the answer of the next commit */
  gboolean drains;
} PdDatabase;

/* What the databases of the group share.  */
struct PdBooks
{
  MdGroup group;
  PdDatabase databases[MD_DATABASES];
  GArray *changes; /* what each write did */
};

/* Starts the databases at the ports after BASE's.  FALSE and STATUS when one
   can't listen.  */
gboolean pd_start (PdBooks *books, const CfAddress *base,
                   void (*violation) (const char *what), GmStatus *status);
/* Ends DATABASE's sessions, as a crash does.  */
void pd_drop_sessions (PdDatabase *database);
