/* The control state: the result of applying the committed commands of the
   control log.

   Every host applies the same commands in the same order and so holds the same
   state; version is the log index of the last entry applied.  Records are
   owned by the state and valid until the next change.  */
#pragma once
#include "conf/declaration.h"
#include "wire/message.h"

#define CS_AUDIT_MAX 5000 /* audit records; older ones are dropped */
/* Databases that have left; older ones are dropped.  A heartbeat is late by
   seconds, in which fewer databases leave.  */
#define CS_LEFT_MAX 256

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
  guint64 link_rate; /* bits a second, each way; 0: unlimited */
  /* It replaced an earlier incarnation that had not expired, so no other host
     was assigned its work meanwhile.  */
  gboolean kept;
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
  guint64 sequence; /* number of the announcement that this record is from */
} CsDatabase;

/* A database that is out of sight, and may still receive from the primary; or,
   if left is set, one that has left and may have taken along the only other
   copy of what the primary acknowledged last.  */
typedef struct
{
  char *key; /* the id; after it has left, with the incarnation, since another
                database may then start under the id */
  char *id;
  char *group;
  char *address;
  guint64 incarnation;
  gboolean left;
} CsMissing;

/* A database group's term.  primary is "" while the term's databases are being
   sealed and none is chosen; avoid is the last primary that has led.  */
typedef struct
{
  char *group;
  guint64 term;
  char *primary;
  char *avoid;
  guint64 decided;  /* version of the command that chose the primary */
  char *holder;     /* control host that chose the primary, "" for none */
  guint64 round;    /* control term of that host when it chose */
  gboolean settled; /* the primary is known to lead */
  /* The primary was leaving when it was chosen, for the writes that it alone
     has received.  It takes no statements until another copy has them and is
     chosen.  */
  gboolean interim;
} CsGroup;

/* An accepted configuration.  */
typedef struct
{
  guint64 number;
  char *digest;
  guint64 version;
} CsHistory;

/* A database that has left for good.  */
typedef struct
{
  char *id;
  guint64 incarnation;
} CsLeft;

/* A record of the audit trail.  */
typedef struct
{
  guint64 version;
  guint64 when; /* Unix time in microseconds, by the proposer's clock */
  char *who;
  char *what;
  guint64 number;
  char *digest;
  GmKind kind;
} CsAudit;

typedef struct
{
  guint64 version;
  guint64 number;            /* of the declaration in force; 0: none */
  GBytes *text;              /* of the declaration in force; NULL: none */
  gboolean packed;           /* text and source are compressed */
  CfDeclaration *parsed;     /* text parsed; set by cs_declaration */
  GBytes *source;            /* as the operator sent it; empty: same as text */
  GBytes *unpacked_source;   /* set by cs_source */
  GHashTable *hosts;         /* host -> CsHost */
  GHashTable *databases;     /* id -> CsDatabase */
  GHashTable *missing;       /* key -> CsMissing */
  GHashTable *groups;        /* group -> CsGroup */
  GArray *history;           /* CsHistory, by number */
  GQueue audit;              /* CsAudit *, oldest first */
  GQueue left;               /* CsLeft *, oldest first */
  GHashTable *dispatchers;   /* group -> CsHost; cleared when hosts change */
  GHashTable *queue_holders; /* database id -> GPtrArray of CsHost, or NULL */
} CsState;

/* Creates an empty state; free it with cs_free.  */
CsState *cs_new (void);
void cs_free (CsState *state);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CsState, cs_free)
/* Applies COMMAND as version VERSION and stores the result in OUTCOME.
   A command that is outdated or contradicts the state changes only the
   version.  */
GmKind cs_apply (CsState *state, guint64 version, const WmMessage *command,
                 GmStatus *outcome);
/* Sets the version for a log entry that is no command.  */
void cs_skip (CsState *state, guint64 version);
/* Returns the declaration in force, which is parsed on the first call; NULL
   when there is none.  */
const CfDeclaration *cs_declaration (const CsState *state);
/* Returns the declaration in force as the operator sent it, owned by STATE;
   NULL when there is none.  */
GBytes *cs_source (const CsState *state);
/* Compresses the texts of CONFIG, which owns them, if they are large.  Control
   hosts store them and send them to each other, and hosts read them, as they
   are in the command.  */
void cs_pack_config (struct wm_cmd_config *config);
/* Returns the names of DECLARATION's groups, encoded as in CMD_CONFIG.  */
GBytes *cs_group_names (const CfDeclaration *declaration);
/* Checks whether an operator's declaration with NUMBER and DIGEST would be
   accepted now, by the same rules as cs_apply.  With HIGHEST, the highest
   number wins; otherwise numbers must follow each other without gaps.  */
GmKind cs_check_config (const CsState *state, guint64 number,
                        const char *digest, gboolean highest,
                        GmStatus *outcome);
/* Returns the number of the configuration with DIGEST among the last ones that
   took effect, or 0.  */
guint64 cs_number_of (const CsState *state, const char *digest);
/* Encodes STATE as a block.  */
GBytes *cs_encode (const CsState *state);
/* The same without the text as the operator sent it, which only control hosts
   need.  */
GBytes *cs_encode_for_hosts (const CsState *state);
/* Decodes BLOCK; returns NULL when the block is damaged.  */
CsState *cs_decode (guint64 version, GBytes *block);
/* Returns the digest of a declaration's text; free it with g_free.  */
char *cs_digest (const void *text, gsize length);
/* Whether the database ID has left, in INCARNATION or a later one.  */
gboolean cs_has_left (const CsState *state, const char *id,
                      guint64 incarnation);
/* Returns the record of GROUP, or NULL.  */
const CsGroup *cs_group (const CsState *state, const char *group);
/* Returns the id of the database that runs in the place of ID: ID, or that of
   the one that was started later at its address and has its log.  */
const char *cs_present_id (const CsState *state, const char *id);
/* Returns how many databases of GROUP other than the database EXCEPT may hold
   a write that EXCEPT acknowledged: those that are known, those that are
   missing, and those that have not been heard of yet while fewer are known
   than GROUP is declared to have.  Those that have left count until they are
   given up, unless EXCEPT has left too: then nobody can have what they took
   along.  */
guint cs_other_copies (const CsState *state, const char *group,
                       const char *except);
/* Returns how many databases GROUP is declared to have.  */
guint cs_database_count (const CsState *state, const char *group);
/* Returns the dispatcher of GROUP, chosen by rendezvous hashing among the live
   hosts with that role; NULL when there is none.  */
const CsHost *cs_dispatcher (const CsState *state, const char *group);
/* Returns the hosts (CsHost) that hold the queue of the database ID, one share
   each: as many as are needed for their links to carry the traffic of the
   database's slots.  They are chosen by rendezvous hashing among the hosts
   with the pool role, in the database's data centre if there are any, such
   that no host holds more than an even part of all shares.  NULL when there
   are none.  */
const GPtrArray *cs_queue_holders (const CsState *state, const char *id);
/* Returns the number, from 0, of the share of the queue of the database ID
   that HOST holds, or -1; stores the number of shares in SHARES.  */
gint cs_queue_share (const CsState *state, const char *id, const char *host,
                     guint *shares);
/* Returns the holder of the first share, or NULL.  */
const CsHost *cs_first_holder (const CsState *state, const char *id);
