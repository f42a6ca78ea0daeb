/* Functions shared by the files of lib/cstate; private to that directory.

   cstate.c: commands and what they change.  snapshot.c: the state as a block.
   copies.c: databases out of sight, and which copies count.  owner.c: who
   dispatches a group or holds a queue.  texts.c: compressed texts of
   configurations.  */
#pragma once
#include "cstate.h"

/* cstate.c  */
/* Makes C the declaration in force.  If C does not list its groups, its text
   is parsed now to find them.  */
gboolean cs_set_declaration (CsState *state, const struct wm_cmd_config *c,
                             GmStatus *outcome);
/* Appends a copy of AUDIT to the audit trail.  */
void cs_add_audit (CsState *state, const CsAudit *audit);
/* The commands of which a snapshot consists, beside its records.  */
GmKind cs_apply_host (CsState *state, const struct wm_cmd_host *c,
                      GmStatus *outcome);
GmKind cs_apply_database (CsState *state, const struct wm_cmd_database *c,
                          GmStatus *outcome);
GmKind cs_apply_database_left (CsState *state,
                               const struct wm_cmd_database_left *c,
                               GmStatus *outcome);

/* texts.c  */
/* Returns TEXT decompressed if it is PACKED, else a reference to it; empty if
   it is damaged.  */
GBytes *cs_unpack (GBytes *text, gboolean packed);
/* Drops the texts of the declaration in force.  */
void cs_clear_texts (CsState *state);

/* copies.c  */
void cs_missing_free (CsMissing *missing);
/* Enters the missing database that R names.  */
void cs_add_missing (CsState *state, const struct wm_rec_missing *r);
/* Enters DATABASE, whose record is about to go, among the missing ones; LEFT:
   it has left for good.  */
void cs_lose_sight (CsState *state, const CsDatabase *database, gboolean left);
/* Drops the records of missing databases that have ended and are of no more
   use.  */
void cs_drop_obsolete (CsState *state);
/* Gives up the missing database ID in INCARNATION.  FALSE when there is none.
 */
gboolean cs_drop_missing (CsState *state, const char *id, guint64 incarnation);
