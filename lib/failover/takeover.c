#include "takeover.h"
#include "base/mutant.h"
#include <string.h>

/* One database as it was last seen.  */
typedef struct
{
  GmTime heard; /* its last heartbeat */
  guint64 incarnation;
  GmTime reported; /* when its pool last told of it; 0: never */
  gboolean reachable;
  guint64 silent;     /* ms */
  guint64 stuck;      /* ms */
  GArray *open;       /* guint64, what is in progress, by share of its queue */
  GmTime confirmed;   /* when a write was last seen confirmed; 0: never */
  guint64 acked_term; /* of the last write that its pool saw acknowledged */
  /* The leader's own calls.  */
  GmTime asked;
  GmTime ask_at;
  gboolean calling;
  GmTime answered; /* the last call that it answered; 0: none */
  GmTime failed;   /* the last call that it did not answer; 0: none */
  GmTime failing;  /* since when it has answered no call; 0: it has */
  gboolean known;  /* status is set */
  GmTime known_at; /* when it was */
  FoDatabase status;
} Seen;

typedef struct
{
  char *name;
  GmTime proposed;
  guint64 sealing_term;
  GmTime sealing_since;
  guint64 order_token; /* on its way; 0: none */
  guint64 refused;     /* highest token that was refused */
  guint64 unclear;     /* highest token whose order got no clear answer */
  GmTime told;         /* when the promotion was last proposed as done */
  GmTime order_sent;
  GmTime order_at;
  guint64 unsealed_term; /* replicas were told to receive again */
  GmTime settled_at;     /* when the last promotion was done; 0: before */
} Group;

struct ToCore
{
  char *host;
  guint64 round; /* 0: does not lead */
  GmTime led;
  GHashTable *groups; /* name -> Group */
  GHashTable *seen;   /* id -> Seen */
  GQueue commands;    /* WmMessage * */
  GQueue actions;     /* ToAction * */
};

static void
seen_free (gpointer data)
{
  Seen *seen = data;
  g_array_unref (seen->open);
  g_free (seen);
}

static void
group_free (Group *group)
{
  g_free (group->name);
  g_free (group);
}

ToCore *
to_new (const char *host)
{
  ToCore *core = g_new0 (ToCore, 1);
  core->host = g_strdup (host);
  core->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)group_free);
  core->seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, seen_free);
  g_queue_init (&core->commands);
  g_queue_init (&core->actions);
  return core;
}

void
to_action_clear (ToAction *action)
{
  g_free (action->group);
  g_free (action->id);
  g_free (action->address);
}

gboolean
to_take_action (ToCore *core, ToAction *action)
{
  ToAction *first = g_queue_pop_head (&core->actions);
  if (first == NULL)
    return FALSE;
  *action = *first;
  g_free (first);
  return TRUE;
}

gboolean
to_take_command (ToCore *core, WmMessage *command)
{
  return wm_queue_take (&core->commands, command);
}

static void
clear_actions (ToCore *core)
{
  ToAction action;
  while (to_take_action (core, &action))
    to_action_clear (&action);
}

void
to_free (ToCore *core)
{
  clear_actions (core);
  wm_queue_clear (&core->commands);
  g_hash_table_unref (core->groups);
  g_hash_table_unref (core->seen);
  g_free (core->host);
  g_free (core);
}

void
to_lead (ToCore *core, GmTime now, guint64 round)
{
  core->round = round;
  core->led = now;
  clear_actions (core);
  wm_queue_clear (&core->commands);
  g_hash_table_remove_all (core->groups);
  g_hash_table_remove_all (core->seen);
}

static Group *
group_of (ToCore *core, const char *name)
{
  Group *group = g_hash_table_lookup (core->groups, name);
  if (group == NULL)
    {
      group = g_new0 (Group, 1);
      group->name = g_strdup (name);
      group->settled_at = G_MININT64 / 2;
      group->proposed = G_MININT64 / 2;
      group->told = G_MININT64 / 2;
      g_hash_table_insert (core->groups, group->name, group);
    }
  return group;
}

static Seen *
seen_of (ToCore *core, const char *id)
{
  Seen *seen = g_hash_table_lookup (core->seen, id);
  if (seen == NULL)
    {
      seen = g_new0 (Seen, 1);
      seen->heard = core->led;
      seen->open = g_array_new (FALSE, TRUE, sizeof (guint64));
      g_hash_table_insert (core->seen, g_strdup (id), seen);
    }
  return seen;
}

static void
take_seen (ToCore *core, GmTime now, const CsState *state, const char *host,
           const struct wm_seen *m)
{
  guint shares;
  gint share = cs_share (state, m->id, host, &shares);
  if (share < 0)
    return;
  Seen *seen = seen_of (core, m->id);
  seen->acked_term = MAX (seen->acked_term, m->last_term);
  seen->confirmed = MAX (seen->confirmed,
                         now - (GmTime)MIN (m->confirmed, G_MAXINT32) * GM_MS);
  g_array_set_size (seen->open, shares);
  g_array_index (seen->open, guint64, share) = m->open;
  /* One holder's view of reach and silence is as good as another's.  */
  if (share != 0)
    return;
  seen->reported = now;
  seen->reachable = m->reachable != 0;
  seen->silent = m->silent;
  seen->stuck = m->stuck;
}

/* Statements and transactions in progress in all shares of a queue.  */
static guint64
count_open (const Seen *seen)
{
  guint64 open = 0;
  for (guint i = 0; i < seen->open->len; i++)
    open += g_array_index (seen->open, guint64, i);
  return open;
}

/* Whether the writes of the first share have gone unconfirmed for TO_STUCK,
   and no other share saw one confirmed meanwhile: a lost answer stands alone.
 */
static gboolean
is_stuck (const Seen *seen, GmTime now)
{
  return seen->stuck * GM_MS >= (guint64)TO_STUCK
         && now >= seen->confirmed + TO_STUCK;
}

void
to_report (ToCore *core, GmTime now, const CsState *state,
           const struct wm_report *report)
{
  WmMessage m;
  gsize at = 0;
  while (wm_next (report->databases, &at, &m))
    {
      if (m.type == WM_TYPE_SEEN)
        take_seen (core, now, state, report->host, &m.seen);
      wm_clear (&m);
    }
}

void
to_announced (ToCore *core, GmTime now, const struct wm_cmd_database *m)
{
  Seen *seen = seen_of (core, m->id);
  if (m->incarnation < seen->incarnation)
    return;
  if (m->incarnation > seen->incarnation)
    seen->known = FALSE;
  seen->incarnation = m->incarnation;
  seen->heard = now;
}

void
to_called (ToCore *core, GmTime now, const char *id, gboolean answered,
           const FoDatabase *status)
{
  Seen *seen = seen_of (core, id);
  seen->calling = FALSE;
  seen->ask_at = now + TO_CALL_RETRY;
  if (answered)
    {
      seen->answered = now;
      seen->failing = 0;
    }
  else
    {
      seen->failed = now;
      seen->failing = seen->failing != 0 ? seen->failing : seen->asked;
    }
  if (status == NULL)
    return;
  seen->status = *status;
  seen->known = TRUE;
  seen->known_at = now;
}

/* Proposes that the choice under TOKEN leads.  */
static void
tell_promoted (ToCore *core, GmTime now, Group *group, guint64 token)
{
  if (now < group->told + TO_PROPOSE_RETRY)
    return;
  WmMessage command
      = { .type = WM_TYPE_CMD_PROMOTED,
          .cmd_promoted = { .group = group->name, .token = token } };
  wm_queue_put (&core->commands, &command);
  group->told = now;
  group->settled_at = now;
}

void
to_ordered (ToCore *core, GmTime now, const char *name, guint64 token,
            ToOrderEnd end)
{
  Group *group = group_of (core, name);
  if (group->order_token != token)
    return;
  group->order_token = 0;
  group->order_at = now + TO_ORDER_RETRY;
  if (end == TO_REFUSED)
    group->refused = MAX (group->refused, token);
  if (end == TO_UNKNOWN)
    group->unclear = MAX (group->unclear, token);
  if (end != TO_DONE)
    return;
  tell_promoted (core, now, group, token);
  group->order_at = now + TO_ORDER_TIME;
}

static ToAction *
push_action (ToCore *core, ToActionType type, const Group *group,
             const CsDatabase *database)
{
  ToAction *action = g_new0 (ToAction, 1);
  action->type = type;
  action->group = g_strdup (group->name);
  action->id = g_strdup (database->id);
  action->address = g_strdup (database->address);
  g_queue_push_tail (&core->actions, action);
  return action;
}

static void
call (ToCore *core, GmTime now, const Group *group, const CsDatabase *database,
      FoCall what, guint64 term)
{
  Seen *seen = seen_of (core, database->id);
  ToAction *action = push_action (core, TO_CALL, group, database);
  action->call = what;
  action->term = term;
  seen->calling = TRUE;
  seen->asked = now;
}

/* Whether a call to the database of SEEN may start.  */
static gboolean
may_call (Seen *seen, GmTime now)
{
  if (seen->calling && now >= seen->asked + 2 * TO_CALL_TIME)
    seen->calling = FALSE; /* its end was lost with the shell's connection */
  return !seen->calling && now >= seen->ask_at;
}

static gboolean
may_propose (Group *group, GmTime now, GmTime spacing)
{
  if (now < group->proposed + spacing)
    return FALSE;
  group->proposed = now;
  return TRUE;
}

/* Databases of NAME other than EXCEPT, in the order of their ids.  */
static GPtrArray *
databases_of (const CsState *state, const char *name, const char *except)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      if (strcmp (d->group, name) == 0 && g_strcmp0 (d->id, except) != 0)
        g_ptr_array_add (list, value);
    }
  return list;
}

/* Whether the database of SEEN has just failed to answer the leader's own
   call; asks it when it wasn't asked lately.  */
static gboolean
fails_to_answer (ToCore *core, GmTime now, const Group *own,
                 const CsDatabase *database)
{
  Seen *seen = seen_of (core, database->id);
  GmTime last = MAX (seen->answered, seen->failed);
  if (last != 0 && now < last + 2 * TO_CALL_TIME)
    return seen->failed > seen->answered;
  if (may_call (seen, now))
    call (core, now, own, database, FO_CALL_STATUS, 0);
  return FALSE;
}

/* Whether the pools of all other databases of PRIMARY's group reach them: then
   it is the primary that its replicas don't hear.  */
static gboolean
others_serve (ToCore *core, GmTime now, const CsState *state,
              const CsDatabase *primary)
{
  g_autoptr (GPtrArray) others
      = databases_of (state, primary->group, primary->id);
  for (guint i = 0; i < others->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (others, i);
      const Seen *seen = seen_of (core, d->id);
      if (!seen->reachable || now >= seen->reported + TO_REPORT_OLD)
        return FALSE;
    }
  return others->len + 1 >= cs_copies (state, primary->group);
}

/* Why PRIMARY has to be replaced, or NULL.  */
static const char *
suspicion (ToCore *core, GmTime now, const CsState *state, const Group *own,
           const CsDatabase *primary)
{
  if (primary == NULL)
    return "the primary is gone";
  const Seen *seen = seen_of (core, primary->id);
  gboolean fresh = seen->reported != 0 && now < seen->reported + TO_REPORT_OLD;
  gboolean grace = now < own->settled_at + TO_SETTLE_GRACE;
  if (primary->leaving)
    return "the primary is leaving";
  gboolean unanswered = fresh && seen->silent * GM_MS >= (guint64)TO_ASK
                        && fails_to_answer (core, now, own, primary);
  if (unanswered && seen->silent * GM_MS >= (guint64)TO_SILENT)
    return "the primary does not answer";
  /* Its pool may be cut off together with it.  */
  if (now >= MAX (seen->reported, core->led) + TO_REPORT_LATE
      && fails_to_answer (core, now, own, primary)
      && now >= seen->failing + TO_SILENT)
    return "the primary does not answer, and nobody reports on it";
  if (fresh && !grace && is_stuck (seen, now)
      && others_serve (core, now, state, primary))
    return "the primary's writes are not confirmed";
  /* A primary that its pool reaches serves, whether or not the control hosts
     hear of it.  */
  if (now >= seen->heard + TO_UNHEARD && !(fresh && seen->reachable)
      && fails_to_answer (core, now, own, primary))
    return "the primary is not heard of";
  return NULL;
}

static guint64
next_term (ToCore *core, const CsState *state, const CsGroup *group)
{
  guint64 term = group->term;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      const Seen *seen = seen_of (core, d->id);
      if (strcmp (d->group, group->group) != 0)
        continue;
      term = MAX (term, seen->acked_term);
      if (seen->known)
        term = MAX (term, MAX (seen->status.term, seen->status.held));
    }
  return term + 1;
}

static void
order_term (ToCore *core, GmTime now, guint64 when, const CsState *state,
            const CsGroup *group, Group *own, const char *reason)
{
  if (!may_propose (own, now, TO_SPACING))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_TERM,
                        .cmd_term = { .group = group->group,
                                      .term = next_term (core, state, group),
                                      .reason = (char *)reason,
                                      .when = when } };
  wm_queue_put (&core->commands, &command);
}

/* Tells the replicas of a settled group to receive again: one that was sealed
   for a choice that came to nothing would stay behind for ever.  An order that
   was taken has not taken effect yet: until the chosen database says that it
   leads, the replicas would still receive from the old one.  */
static void
unseal (ToCore *core, GmTime now, const CsState *state, const CsGroup *group,
        const CsDatabase *primary, Group *own)
{
  if (primary == NULL || own->unsealed_term == group->term
      || own->sealing_term != group->term)
    return;
  Seen *chosen = seen_of (core, primary->id);
  /* It was a replica when it was sealed.  */
  gboolean leads = chosen->known && chosen->status.primary;
  if (!leads && !GM_MUTANT (UNSEAL_EARLY))
    {
      if (may_call (chosen, now))
        call (core, now, own, primary, FO_CALL_STATUS, 0);
      return;
    }
  g_autoptr (GPtrArray) others
      = databases_of (state, group->group, group->primary);
  own->unsealed_term = group->term;
  for (guint i = 0; i < others->len; i++)
    call (core, now, own, g_ptr_array_index (others, i), FO_CALL_UNSEAL,
          group->term);
}

static void
watch_primary (ToCore *core, GmTime now, guint64 when, const CsState *state,
               const CsGroup *group, Group *own)
{
  const CsDatabase *primary
      = g_hash_table_lookup (state->databases, group->primary);
  unseal (core, now, state, group, primary, own);
  const char *reason = suspicion (core, now, state, own, primary);
  if (reason == NULL)
    return;
  g_autoptr (GPtrArray) others
      = databases_of (state, group->group, group->primary);
  /* Without a replica that could take over, a dead primary is waited for.  */
  if (others->len == 0)
    return;
  order_term (core, now, when, state, group, own, reason);
}

/* A seal ends with its replica's restart, so that seals count only together
   and for a while.  */
static gboolean
is_sealed (const Seen *seen, GmTime now, guint64 term)
{
  return seen->known && !seen->status.primary && seen->status.held >= term
         && now < seen->known_at + TO_SEAL_FRESH;
}

static int
compare_positions (const FoDatabase *a, const FoDatabase *b)
{
  if (a->last_term != b->last_term)
    return a->last_term < b->last_term ? -1 : 1;
  if (a->received != b->received)
    return a->received < b->received ? -1 : 1;
  return 0;
}

/* Seals what is not sealed yet; returns how many are, and the best of them in
   BEST.  The replaced primary can be sealed only once it is a replica.  */
static guint
seal (ToCore *core, GmTime now, const CsState *state, const CsGroup *group,
      const Group *own, const CsDatabase **best)
{
  guint sealed = 0;
  g_autoptr (GPtrArray) all = databases_of (state, group->group, NULL);
  *best = NULL;
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      Seen *seen = seen_of (core, d->id);
      gboolean old = strcmp (d->id, group->avoid) == 0;
      if (!is_sealed (seen, now, group->term))
        {
          if (may_call (seen, now)
              && (!old || now >= own->sealing_since + TO_OLD_GRACE))
            call (core, now, own, d, FO_CALL_SEAL, group->term);
          continue;
        }
      sealed++;
      if (*best == NULL)
        {
          *best = d;
          continue;
        }
      const Seen *other = seen_of (core, (*best)->id);
      int order = compare_positions (&seen->status, &other->status);
      if (GM_MUTANT (PROMOTE_LOWEST))
        order = -order;
      if (order > 0 || (order == 0 && (*best)->leaving && !d->leaving))
        *best = d;
    }
  return sealed;
}

static void
choose (ToCore *core, GmTime now, guint64 when, const CsGroup *group,
        Group *own, const CsDatabase *best)
{
  if (!may_propose (own, now, TO_PROPOSE_RETRY))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_PRIMARY,
                        .cmd_primary = { .group = group->group,
                                         .term = group->term,
                                         .id = best->id,
                                         .when = when,
                                         .holder = core->host,
                                         .round = core->round } };
  wm_queue_put (&core->commands, &command);
}

/* Whether a database leads in the term that is being sealed, or a later one:
   its replicas can't be sealed under this term.  */
static gboolean
leads_already (ToCore *core, const CsState *state, const CsGroup *group)
{
  g_autoptr (GPtrArray) all = databases_of (state, group->group, NULL);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      const Seen *seen = seen_of (core, d->id);
      if (seen->known && seen->status.primary
          && seen->status.term >= group->term)
        return TRUE;
    }
  return FALSE;
}

static void
choose_primary (ToCore *core, GmTime now, guint64 when, const CsState *state,
                const CsGroup *group, Group *own)
{
  if (own->sealing_term != group->term)
    {
      own->sealing_term = group->term;
      own->sealing_since = now;
      own->proposed = G_MININT64 / 2;
    }
  const CsDatabase *old = g_hash_table_lookup (state->databases, group->avoid);
  const Seen *last = seen_of (core, group->avoid);
  /* What is open at a primary that leaves may end first.  */
  if (old != NULL && old->leaving && last->reachable && count_open (last) > 0
      && now < own->sealing_since + TO_LEAVE_GRACE)
    return;
  if (leads_already (core, state, group))
    {
      order_term (core, now, when, state, group, own,
                  "an earlier order was carried out late");
      return;
    }
  const CsDatabase *best;
  guint sealed = seal (core, now, state, group, own, &best);
  if (best == NULL)
    return;
  /* A write that was acknowledged stands on two copies: on one at least of all
     copies but one.  */
  if (sealed + 1 < cs_copies (state, group->group) && !GM_MUTANT (SEAL_ONE))
    return;
  choose (core, now, when, group, own, best);
}

/* Whether CHOSEN says that it leads; asks it.  It was a replica when it was
   chosen, so that it leads by an order, whatever became of the answer.  */
static gboolean
says_it_leads (ToCore *core, GmTime now, const Group *own,
               const CsDatabase *chosen)
{
  Seen *seen = seen_of (core, chosen->id);
  if (seen->known && seen->status.primary)
    return TRUE;
  if (may_call (seen, now))
    call (core, now, own, chosen, FO_CALL_STATUS, 0);
  return FALSE;
}

/* Sends the order under the token of the choice.  An earlier one without a
   clear answer may still be carried out: each is sent once, and the next has a
   higher token.  */
static void
send_order (ToCore *core, GmTime now, guint64 when, const CsGroup *group,
            Group *own, const CsDatabase *chosen)
{
  if (own->order_token != 0 && now >= own->order_sent + TO_ORDER_TIME)
    {
      own->unclear = MAX (own->unclear, own->order_token);
      own->order_token = 0;
    }
  if (own->order_token != 0 || now < own->order_at)
    return;
  if (own->unclear >= group->decided)
    {
      choose (core, now, when, group, own, chosen);
      return;
    }
  own->order_token = group->decided;
  own->order_sent = now;
  push_action (core, TO_ORDER, own, chosen)->token = group->decided;
}

/* Orders the promotion that this leader has chosen; chooses anew what another
   one left undone.  */
static void
order_promotion (ToCore *core, GmTime now, guint64 when, const CsState *state,
                 const CsGroup *group, Group *own)
{
  const CsDatabase *chosen
      = g_hash_table_lookup (state->databases, group->primary);
  gboolean mine
      = strcmp (group->holder, core->host) == 0 && group->round == core->round;
  if (chosen == NULL || own->refused >= group->decided)
    {
      order_term (core, now, when, state, group, own,
                  "the chosen database can't be promoted");
      return;
    }
  if (!mine && !GM_MUTANT (TOKEN_SHARED))
    {
      choose (core, now, when, group, own, chosen);
      return;
    }
  if (says_it_leads (core, now, own, chosen))
    tell_promoted (core, now, own, group->decided);
  else
    send_order (core, now, when, group, own, chosen);
}

void
to_tick (ToCore *core, GmTime now, guint64 when, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  if (core->round == 0)
    return;
  g_hash_table_iter_init (&iter, state->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsGroup *group = value;
      Group *own = group_of (core, group->group);
      if (group->term == 0 || cs_copies (state, group->group) == 0)
        continue;
      if (*group->primary == '\0')
        choose_primary (core, now, when, state, group, own);
      else if (!group->settled)
        order_promotion (core, now, when, state, group, own);
      else
        watch_primary (core, now, when, state, group, own);
    }
}
