#include "replicas.h"
#include <string.h>

/* A replaced primary hears of its successor in one of so many calls of
   md_replicate.  */
#define HEARS_OF_SUCCESSOR 200

static void
commit_free (MdCommit *commit)
{
  g_array_unref (commit->writes);
  g_free (commit);
}

static MdCommit *
commit_copy (const MdCommit *commit)
{
  MdCommit *copy = g_new0 (MdCommit, 1);
  copy->term = commit->term;
  copy->writes = g_array_copy (commit->writes);
  return copy;
}

void
md_init (MdGroup *g, void (*violation) (const char *what))
{
  memset (g, 0, sizeof *g);
  g->violation = violation;
  g->copies = MD_DATABASES;
  g->newest_term = 1;
  g->acknowledged = g_array_new (FALSE, FALSE, sizeof (MdAck));
  for (guint i = 0; i < MD_COPIES_MAX; i++)
    {
      MdDatabase *d = &g->databases[i];
      g_snprintf (d->id, sizeof d->id, "db%u", i);
      d->incarnation = 1;
      d->up = d->exists = i < MD_DATABASES;
      d->primary = i == 0;
      d->term = 1;
      d->log = g_ptr_array_new_with_free_func ((GDestroyNotify)commit_free);
    }
  /* The log of a group begins with one entry, since position 0 means that no
     position is known.  */
  for (guint i = 0; i < g->copies; i++)
    {
      MdCommit *first = g_new0 (MdCommit, 1);
      first->term = 1;
      first->writes = g_array_new (FALSE, FALSE, sizeof (guint64));
      g_ptr_array_add (g->databases[i].log, first);
      g->databases[i].applied = 1;
    }
}

void
md_clear (MdGroup *g)
{
  for (guint i = 0; i < MD_COPIES_MAX; i++)
    g_ptr_array_unref (g->databases[i].log);
  g_array_unref (g->acknowledged);
}

void
md_report_violation (MdGroup *g, const char *what)
{
  g->violations++;
  g->violation (what);
}

TkPoint
md_position (const MdDatabase *d, guint length)
{
  if (length == 0)
    return (TkPoint){ 0, 0 };
  const MdCommit *last = g_ptr_array_index (d->log, length - 1);
  return (TkPoint){ last->term, length };
}

gboolean
md_contains (const MdDatabase *d, guint length, TkPoint point)
{
  if (point.position == 0)
    return TRUE;
  if (point.position > length)
    return FALSE;
  const MdCommit *at = g_ptr_array_index (d->log, point.position - 1);
  return at->term == point.term;
}

static gboolean
can_receive (const MdDatabase *d, const MdDatabase *primary)
{
  return d != primary && d->up && !d->primary && !d->receive_paused
         && primary->term >= d->term
         && (d->sealed_term == 0 || primary->term >= d->sealed_term);
}

static guint
common_prefix_length (const MdDatabase *a, const MdDatabase *b)
{
  guint most = MIN (a->log->len, b->log->len), n = 0;
  while (n < most
         && ((MdCommit *)g_ptr_array_index (a->log, n))->term
                == ((MdCommit *)g_ptr_array_index (b->log, n))->term)
    n++;
  return n;
}

static void
copy_log (MdDatabase *d, const MdDatabase *primary)
{
  guint same = common_prefix_length (d, primary);
  g_ptr_array_set_size (d->log, (gint)same);
  d->applied = MIN (d->applied, same);
  for (guint i = same; i < primary->log->len; i++)
    g_ptr_array_add (d->log,
                     commit_copy (g_ptr_array_index (primary->log, i)));
  d->term = primary->term;
}

static MdDatabase *
current_primary (MdGroup *g)
{
  for (guint i = 0; i < g->copies; i++)
    if (g->databases[i].primary && g->databases[i].term == g->newest_term)
      return &g->databases[i];
  return NULL;
}

/* Makes D a replica, if it is the primary of a term before TERM.  */
static void
step_down (MdDatabase *d, guint64 term)
{
  d->primary = d->primary && d->term >= term;
}

void
md_replicate (MdGroup *g, GmRandom *random)
{
  const MdDatabase *primary = current_primary (g);
  /* A replaced primary hears of its successor once they are connected.  */
  for (guint i = 0; g->deposed_serves && primary != NULL && i < g->copies; i++)
    if (random == NULL || gm_random_below (random, HEARS_OF_SUCCESSOR) == 0)
      step_down (&g->databases[i], primary->term);
  for (guint i = 0; i < g->copies; i++)
    {
      MdDatabase *d = &g->databases[i];
      if (primary != NULL && primary->up && can_receive (d, primary)
          && (random == NULL || gm_random_below (random, 4) == 0))
        copy_log (d, primary);
      guint behind = d->log->len - d->applied;
      if (random == NULL)
        d->applied = d->log->len;
      else if (behind > 0 && gm_random_below (random, 10) == 0)
        d->applied += 1 + (guint)gm_random_below (random, behind);
    }
}

gboolean
md_append (MdGroup *g, GmTime now, MdDatabase *d, const GArray *writes)
{
  MdCommit *commit = g_new0 (MdCommit, 1);
  commit->term = d->term;
  commit->writes = g_array_copy ((GArray *)writes);
  g_ptr_array_add (d->log, commit);
  d->applied = d->log->len;
  gboolean confirmed = FALSE;
  for (guint i = 0; i < g->copies && !confirmed; i++)
    {
      MdDatabase *replica = &g->databases[(i + d->log->len) % g->copies];
      if (!can_receive (replica, d))
        continue;
      copy_log (replica, d);
      confirmed = TRUE;
    }
  for (guint i = 0; confirmed && i < writes->len; i++)
    {
      MdAck ack = { g_array_index (writes, guint64, i), now,
                    md_position (d, d->log->len) };
      g_array_append_val (g->acknowledged, ack);
    }
  return confirmed;
}

gboolean
md_acts_as_primary (const MdGroup *g, const MdDatabase *d)
{
  return d->primary && (g->deposed_serves || d->term == g->newest_term);
}

TkPoint
md_highest_acknowledged (const MdGroup *g, GmTime at)
{
  TkPoint highest = { 0, 0 };
  for (guint i = 0; i < g->acknowledged->len; i++)
    {
      const MdAck *ack = &g_array_index (g->acknowledged, MdAck, i);
      if (ack->at < at && tk_point_compare (ack->point, highest) > 0)
        highest = ack->point;
    }
  return highest;
}

gboolean
md_is_acknowledged (const MdGroup *g, guint64 uid)
{
  for (guint i = 0; i < g->acknowledged->len; i++)
    if (g_array_index (g->acknowledged, MdAck, i).uid == uid)
      return TRUE;
  return FALSE;
}

gboolean
md_primary_has_write (const MdGroup *g, guint64 uid)
{
  const MdDatabase *d = current_primary ((MdGroup *)g);
  guint found = 0;
  for (guint i = 0; d != NULL && i < d->log->len; i++)
    {
      const MdCommit *c = g_ptr_array_index (d->log, i);
      for (guint j = 0; j < c->writes->len; j++)
        found += g_array_index (c->writes, guint64, j) == uid ? 1 : 0;
    }
  if (found > 1)
    md_report_violation ((MdGroup *)g, "a write took effect twice");
  return found > 0;
}

static MdDatabase *
find_database (MdGroup *g, const char *id)
{
  for (guint i = 0; i < g->copies; i++)
    if (strcmp (g->databases[i].id, id) == 0)
      return &g->databases[i];
  return NULL;
}

gboolean
md_accept_promotion (MdGroup *g, const char *id, const char *holder,
                     guint64 token)
{
  if (token == g->fencing_token && strcmp (holder, g->token_holder) != 0)
    md_report_violation (g, "two holders promote under the same token");
  if (token < g->fencing_token)
    return FALSE;
  /* The platform doesn't specify whether an order that is refused because its
     database is down raises the fencing token.  The model assumes the worse
     case: it does not.  */
  const MdDatabase *chosen = find_database (g, id);
  if (chosen == NULL || !chosen->up)
    return FALSE;
  g->fencing_token = token;
  g_strlcpy (g->token_holder, holder, sizeof g->token_holder);
  return TRUE;
}

gboolean
md_promote (MdGroup *g, const char *id, guint64 token)
{
  MdDatabase *chosen = find_database (g, id);
  if (token < g->fencing_token || chosen == NULL || !chosen->up)
    return FALSE;
  if (chosen == current_primary (g))
    return TRUE;
  g->newest_term = MAX (g->newest_term + 1, chosen->sealed_term);
  chosen->primary = TRUE;
  chosen->term = g->newest_term;
  chosen->sealed_term = 0;
  for (guint i = 0; i < g->copies; i++)
    g->databases[i].receive_paused = FALSE;
  chosen->applied = chosen->log->len;
  for (guint i = 0; i < g->copies; i++)
    if (&g->databases[i] != chosen)
      {
        MdDatabase *other = &g->databases[i];
        other->sealed_term = 0;
        other->primary = other->primary && g->deposed_serves;
        if (g->deposed_serves && !other->primary)
          other->term = g->newest_term;
      }
  for (guint i = 0; i < g->acknowledged->len; i++)
    if (!md_primary_has_write (g,
                               g_array_index (g->acknowledged, MdAck, i).uid))
      md_report_violation (
          g, "the promoted database lacks an acknowledged write");
  return TRUE;
}

void
md_crash (MdGroup *g, MdDatabase *d)
{
  (void)g;
  d->up = FALSE;
  d->sealed_term = 0;
}

void
md_start (MdGroup *g, MdDatabase *d)
{
  d->up = TRUE;
  d->incarnation++;
  d->primary = d->primary && d->term == g->newest_term;
}

void
md_join (MdDatabase *d)
{
  g_ptr_array_set_size (d->log, 0);
  d->applied = 0;
  d->term = 0;
  d->sealed_term = 0;
  d->primary = FALSE;
  d->receive_paused = FALSE;
  d->incarnation++;
  d->lifetime++;
  d->up = d->exists = TRUE;
}

static gboolean
log_has_write (const MdDatabase *d, guint64 uid)
{
  for (guint i = d->log->len; i-- > 0;)
    {
      const MdCommit *c = g_ptr_array_index (d->log, i);
      for (guint j = 0; j < c->writes->len; j++)
        if (g_array_index (c->writes, guint64, j) == uid)
          return TRUE;
    }
  return FALSE;
}

gboolean
md_is_last_copy (const MdGroup *g, const MdDatabase *d)
{
  for (guint i = g->acknowledged->len; i-- > 0;)
    {
      guint64 uid = g_array_index (g->acknowledged, MdAck, i).uid;
      gboolean elsewhere = FALSE;
      for (guint j = 0; j < g->copies && !elsewhere; j++)
        elsewhere
            = &g->databases[j] != d && log_has_write (&g->databases[j], uid);
      if (!elsewhere)
        return TRUE;
    }
  return FALSE;
}

void
md_leave (MdDatabase *d)
{
  d->up = d->exists = FALSE;
  d->primary = FALSE;
  g_ptr_array_set_size (d->log, 0);
  d->applied = 0;
}

gboolean
md_control_call (MdDatabase *d, FoCall call, guint64 term,
                 FoDatabaseStatus *status)
{
  if (call == FO_CALL_SEAL && !d->primary)
    d->sealed_term = MAX (d->sealed_term, term);
  if (call == FO_CALL_UNSEAL)
    d->sealed_term = 0;
  if (call == FO_CALL_STEP_DOWN)
    step_down (d, term);
  TkPoint received = md_position (d, d->log->len);
  *status = (FoDatabaseStatus){ .primary = d->primary,
                                .term = d->term,
                                .last_term = received.term,
                                .received = received.position,
                                .sealed_term = d->sealed_term };
  return TRUE;
}
