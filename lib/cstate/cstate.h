/* The control state: what the committed commands of the control log add up to.

   Every host applies the same commands in the same order and so holds the same
   state; version is the index of the last one applied.  Records are owned by
   the state and valid until the next change.  */
#pragma once
#include "conf/declaration.h"
#include "wire/message.h"

#define CS_AUDIT_MAX 5000

/* Roles of a host, as bits.  */
enum
{
  CS_ENTRY = 1,
  CS_DISPATCHER = 2,
  CS_CONTROL = 4,
  CS_POOL = 8
};

typedef struct
{
  char *host;
  guint64 incarnation;
  char *caller;
  char *link;
  char *data_centre;
  guint64 roles;
  guint64 link_rate; /* bits a second each way; 0: ample */
} CsHost;

typedef struct
{
  char *id;
  char *group;
  char *address;
  char *data_centre;
  guint64 slots;
  guint64 connections;
  gboolean leaving;
  guint64 incarnation;
  guint64 sequence; /* of the announcement that this is from */
} CsDatabase;

/* A database group's term.  primary is "" while the term is being sealed;
   avoid is the primary of the term before.  */
typedef struct
{
  char *group;
  guint64 term;
  char *primary;
  char *avoid;
  guint64 decided;  /* version that chose the primary */
  char *holder;     /* control host that chose it, "" for none */
  guint64 round;    /* that host's control term */
  gboolean settled; /* the primary is known to lead */
} CsGroup;

typedef struct
{
  guint64 number;
  char *digest;
  guint64 version;
} CsHistory;

typedef struct
{
  guint64 version;
  guint64 when; /* microseconds of Unix time, as the proposer wrote it */
  char *who;
  char *what;
  guint64 number;
  char *digest;
  GmKind kind;
} CsAudit;

typedef struct
{
  guint64 version;
  guint64 number;        /* of the declaration in force; 0: there is none */
  GBytes *text;          /* of that; NULL: there is none */
  CfDeclaration *parsed; /* that, once cs_declaration was asked for it */
  GBytes *source;        /* what the operator sent; empty: the text itself */
  GHashTable *hosts;     /* host -> CsHost */
  GHashTable *databases; /* id -> CsDatabase */
  GHashTable *groups;    /* group -> CsGroup */
  GArray *history;       /* CsHistory, by number */
  GQueue audit;          /* CsAudit *, oldest first */
  GHashTable *owners;    /* group -> CsHost, found since hosts changed */
  GHashTable *pools; /* id of a database -> GPtrArray of CsHost, NULL: to be
                        found */
} CsState;

/* An empty state; free it with cs_free.  */
CsState *cs_new (void);
void cs_free (CsState *state);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CsState, cs_free)
/* Applies COMMAND as version VERSION and stores its outcome.  Commands that
   arrive too late or contradict the state change nothing but the version.  */
GmKind cs_apply (CsState *state, guint64 version, const WmMessage *command,
                 GmStatus *outcome);
/* Counts an entry that changes nothing here.  */
void cs_skip (CsState *state, guint64 version);
/* The declaration in force, read when it is first asked for; NULL before the
   first.  */
const CfDeclaration *cs_declaration (const CsState *state);
/* The names of DECLARATION's groups, as a CMD_CONFIG lists them.  */
GBytes *cs_group_names (const CfDeclaration *declaration);
/* Whether an operator's declaration with NUMBER and DIGEST would be accepted
   now; the same check that cs_apply makes.  */
GmKind cs_check_config (const CsState *state, guint64 number,
                        const char *digest, gboolean highest,
                        GmStatus *outcome);
/* The state as a block, and back; NULL for a block that is damaged.  */
GBytes *cs_encode (const CsState *state);
/* The same without what only control hosts need: the operator's own text.  */
GBytes *cs_encode_for_hosts (const CsState *state);
CsState *cs_decode (guint64 version, GBytes *block);
/* Digest of a declaration's text; free it with g_free.  */
char *cs_digest (const void *text, gsize length);
/* The group's record, or NULL.  */
const CsGroup *cs_group (const CsState *state, const char *group);
/* Copies that GROUP is declared to have.  */
guint cs_copies (const CsState *state, const char *group);
/* The host that dispatches for GROUP by rendezvous hashing over the live hosts
   with that role, or NULL.  */
const CsHost *cs_owner (const CsState *state, const char *group);
/* The hosts that hold the queue of the database ID, a share each, CsHost: as
   many as it takes for their links to carry what its slots serve.  They have
   the pool role and are in the database's data centre if there is one there,
   by rendezvous hashing with no host holding more than its even part of all
   shares.  NULL when there is none.  */
const GPtrArray *cs_holders (const CsState *state, const char *id);
/* Which share of the queue of the database ID the host HOST holds, from 0, or
   -1; stores how many there are in SHARES.  */
gint cs_share (const CsState *state, const char *id, const char *host,
               guint *shares);
/* The holder of the first share, or NULL.  */
const CsHost *cs_pool (const CsState *state, const char *id);
