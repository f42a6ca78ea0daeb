/* The operators' declaration: groups, services and what each depends on.

   A declaration is immutable once parsed.  */
#pragma once
#include "base/clock.h"
#include "json/json.h"

/* The three ranks, most urgent first.  */
#define CF_RANKS(X)                                                           \
  X (URGENT, "urgent") X (ROUTINE, "routine") X (BULK, "bulk")

typedef enum
{
#define X(name, text) CF_##name,
  CF_RANKS (X)
#undef X
      CF_RANK_COUNT
} CfRank;

#define CF_AGE_SESSION ((gint64)-1) /* any age that the session allows */

/* Which state a service's reads may show.  */
#define CF_READS(X)                                                           \
  X (SESSION, "session") /* the session's own writes, and its age bound */    \
  X (BOUNDED, "bounded") /* the age bound alone */                            \
  X (PRIMARY, "primary") /* every acknowledged write */

typedef enum
{
#define X(name, text) CF_READS_##name,
  CF_READS (X)
#undef X
} CfReads;

/* Which submissions of a declaration are taken.  */
#define CF_NUMBERINGS(X)                                                      \
  X (CONSECUTIVE, "consecutive") /* the next number alone */                  \
  X (HIGHEST, "highest")         /* any higher one; lower ones are overtaken  \
                                  */

typedef enum
{
#define X(name, text) CF_NUMBERING_##name,
  CF_NUMBERINGS (X)
#undef X
} CfNumbering;

typedef struct
{
  char *name;
  gint64 databases;   /* copies that the group is meant to have */
  gint64 connections; /* that each database bears; 0: as it announces */
} CfGroup;

typedef struct
{
  char *name;
  GPtrArray *depends_on; /* char *, names of groups */
  CfRank rank;
  gint64 deadline_ms;
  gint64 worth;        /* higher is refused later */
  gint64 max_age_ms;   /* CF_AGE_SESSION, or the age that reads may have */
  gboolean repeatable; /* a statement may run twice without harm */
  CfReads reads;
  gint64 target_ms; /* in which an answer is worth most; 0: the deadline */
} CfService;

typedef struct
{
  guint refs;
  gint64 number;
  GPtrArray *groups;           /* CfGroup * */
  GPtrArray *services;         /* CfService * */
  double floor[CF_RANK_COUNT]; /* least share of slots while backlogged */
  CfNumbering numbering;
  gint64 transaction_idle_ms; /* between two statements of a transaction */
  GHashTable *by_name;        /* name -> CfService, borrowed */
  GHashTable *groups_by_name; /* name -> CfGroup, borrowed */
} CfDeclaration;

/* Text of RANK; static.  */
const char *cf_rank_text (CfRank rank);
/* Parses and checks a declaration; NULL and STATUS on a fault.  Free it with
   cf_declaration_free.  */
CfDeclaration *cf_declaration_parse (const char *name, const char *text,
                                     gsize length, GmStatus *status);
/* The declaration that TEXT says, as cf_declaration_parse.  The last one asked
   for is kept: a process that holds the control state more than once, or has
   just checked a text, parses it once.  */
CfDeclaration *cf_declaration_of (GBytes *text, GmStatus *status);
/* Drops a reference to DECLARATION; NULL is allowed.  */
void cf_declaration_free (CfDeclaration *declaration);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfDeclaration, cf_declaration_free)
/* The service called NAME, owned by DECLARATION, or NULL.  */
const CfService *cf_service_find (const CfDeclaration *declaration,
                                  const char *name);
/* The group called NAME, owned by DECLARATION, or NULL.  */
const CfGroup *cf_group_find (const CfDeclaration *declaration,
                              const char *name);
