/* The declaration that operators submit: groups of databases, services and the
   groups that each service depends on, and the customers that may use them.

   A declaration is immutable once parsed.  */
#pragma once
#include "base/clock.h"
#include "json/json.h"

/* Ranks of services, in descending order of priority.  */
#define CF_RANKS(X)                                                           \
  X (URGENT, "urgent") X (ROUTINE, "routine") X (BULK, "bulk")

typedef enum
{
#define X(name, text) CF_##name,
  CF_RANKS (X)
#undef X
      CF_RANK_COUNT
} CfRank;

/* Value of max_age_ms for a service without a bound of its own: the session
   sets the maximum age of its reads.  */
#define CF_AGE_FROM_SESSION ((gint64)-1)

/* Consistency of a service's reads.  */
#define CF_READS(X)                                                           \
  X (SESSION, "session") /* sees own writes, within a maximum age */          \
  X (BOUNDED, "bounded") /* within a maximum age */                           \
  X (PRIMARY, "primary") /* sees every acknowledged write */

typedef enum
{
#define X(name, text) CF_READS_##name,
  CF_READS (X)
#undef X
} CfReads;

/* Which numbers a new declaration may have.  */
#define CF_NUMBERINGS(X)                                                      \
  X (CONSECUTIVE, "consecutive") /* the next number only */                   \
  X (HIGHEST, "highest")         /* any higher number */

typedef enum
{
#define X(name, text) CF_NUMBERING_##name,
  CF_NUMBERINGS (X)
#undef X
} CfNumbering;

typedef struct
{
  char *name;
  gint64 databases;   /* intended number of databases */
  gint64 connections; /* limit of each database; 0: as announced */
} CfGroup;

typedef struct
{
  char *name;
  GPtrArray *depends_on; /* char *, names of groups */
  CfRank rank;
  gint64 deadline_ms;
  gint64 worth;        /* a full queue refuses requests of lower worth first */
  gint64 max_age_ms;   /* CF_AGE_FROM_SESSION or the maximum age of reads */
  gboolean repeatable; /* statements are idempotent */
  CfReads reads;
  gint64 target_ms;   /* response time to aim for; 0: the deadline */
  gboolean is_public; /* callers need no key */
} CfService;

/* Value of a customer's rate that was not declared.  */
#define CF_RATE_UNLIMITED (-1.0)

/* The SHA-256 of a key, by which keys are looked up.  */
typedef struct
{
  guint8 bytes[32];
} CfKeyDigest;

/* A customer whose callers identify themselves by one of its keys.  Rate and
   burst count operations (a single statement or a transaction) over all
   hosts.  */
typedef struct
{
  char *name;
  gint64 priority; /* 0 is the highest */
  double rate;     /* operations a second; CF_RATE_UNLIMITED: any number */
  double burst;    /* operations beyond the rate */
} CfCustomer;

typedef struct
{
  guint refs;
  gint64 number;
  GPtrArray *groups;           /* CfGroup * */
  GPtrArray *services;         /* CfService * */
  double floor[CF_RANK_COUNT]; /* minimum share of slots while requests
                                  of the rank wait */
  CfNumbering numbering;
  gint64 transaction_idle_ms;    /* longest pause between two statements of a
                                    transaction */
  GPtrArray *customers;          /* CfCustomer *; NULL: callers need no key */
  GHashTable *customers_by_name; /* name -> CfCustomer, borrowed */
  GHashTable *customers_by_key;  /* CfKeyDigest -> CfCustomer, borrowed */
  CfKeyDigest *digests;          /* of all keys */
  gsize digest_count;
  GHashTable *services_by_name; /* name -> CfService, borrowed */
  GHashTable *groups_by_name;   /* name -> CfGroup, borrowed */
} CfDeclaration;

/* Return the texts of RANK and READS in a declaration; static.  */
const char *cf_rank_text (CfRank rank);
const char *cf_reads_text (CfReads reads);
/* Parses and validates LENGTH bytes of TEXT.  NAME is put before line and
   column in messages.  Returns NULL and fills STATUS on an error.  Free the
   declaration with cf_declaration_free.  */
CfDeclaration *cf_declaration_parse (const char *name, const char *text,
                                     gsize length, GmStatus *status);
/* Like cf_declaration_parse, but caches the last declaration parsed: a process
   that holds the control state more than once, or has just validated a text,
   parses the text once.  */
CfDeclaration *cf_declaration_parse_cached (GBytes *text, GmStatus *status);
/* Drops a reference to DECLARATION; NULL is allowed.  */
void cf_declaration_free (CfDeclaration *declaration);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfDeclaration, cf_declaration_free)
/* Returns the service named NAME, owned by DECLARATION, or NULL.  */
const CfService *cf_service_find (const CfDeclaration *declaration,
                                  const char *name);
/* Returns the group named NAME, owned by DECLARATION, or NULL.  */
const CfGroup *cf_group_find (const CfDeclaration *declaration,
                              const char *name);
/* Returns the customer named NAME, owned by DECLARATION, or NULL.  */
const CfCustomer *cf_customer_find (const CfDeclaration *declaration,
                                    const char *name);
/* Returns the customer that holds KEY, owned by DECLARATION, or NULL.  Keys
   are looked up by their digest, so that the time taken tells nothing about
   the keys declared.  */
const CfCustomer *cf_customer_of_key (const CfDeclaration *declaration,
                                      const char *key);
/* Stores the digest of KEY in DIGEST.  */
void cf_key_digest (const char *key, CfKeyDigest *digest);
/* Like cf_customer_of_key, for the key with the digest DIGEST; NULL stands for
   no key.  */
const CfCustomer *cf_customer_of_digest (const CfDeclaration *declaration,
                                         const CfKeyDigest *digest);
