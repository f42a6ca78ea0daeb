#include "takeover_core.h"
#include "base/mutant.h"
#include <string.h>

static void
view_free (gpointer data)
{
  DatabaseView *view = data;
  g_array_unref (view->shares);
  g_free (view);
}

static void
group_free (GroupProgress *progress)
{
  g_free (progress->name);
  g_free (progress);
}

ToCore *
to_new (const char *host)
{
  ToCore *core = g_new0 (ToCore, 1);
  core->host = g_strdup (host);
  core->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)group_free);
  core->views
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, view_free);
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
  g_hash_table_unref (core->views);
  g_free (core->host);
  g_free (core);
}

void
to_lead (ToCore *core, GmTime now, guint64 round)
{
  core->control_term = round;
  core->leader_since = now;
  clear_actions (core);
  wm_queue_clear (&core->commands);
  g_hash_table_remove_all (core->groups);
  g_hash_table_remove_all (core->views);
}

static GroupProgress *
progress_of (ToCore *core, const char *name)
{
  GroupProgress *progress = g_hash_table_lookup (core->groups, name);
  if (progress == NULL)
    {
      progress = g_new0 (GroupProgress, 1);
      progress->name = g_strdup (name);
      progress->settled_at = G_MININT64 / 2;
      progress->last_proposal = G_MININT64 / 2;
      progress->promoted_proposed_at = G_MININT64 / 2;
      progress->departed_proposed_at = G_MININT64 / 2;
      g_hash_table_insert (core->groups, progress->name, progress);
    }
  return progress;
}

/* Proposes to record that the promotion under TOKEN is done.  */
static void
propose_promoted (ToCore *core, GmTime now, GroupProgress *progress,
                  guint64 token)
{
  if (now < progress->promoted_proposed_at + TO_PROPOSE_RETRY)
    return;
  WmMessage command
      = { .type = WM_TYPE_CMD_PROMOTED,
          .cmd_promoted = { .group = progress->name, .token = token } };
  wm_queue_put (&core->commands, &command);
  progress->promoted_proposed_at = now;
  progress->settled_at = now;
}

void
to_order_done (ToCore *core, GmTime now, const char *name, guint64 token,
               ToOrderResult end)
{
  GroupProgress *progress = progress_of (core, name);
  if (progress->pending_token != token)
    return;
  progress->pending_token = 0;
  progress->next_order_at = now + TO_ORDER_RETRY;
  if (end == TO_REFUSED)
    progress->refused_token = MAX (progress->refused_token, token);
  if (end == TO_UNKNOWN)
    progress->unknown_token = MAX (progress->unknown_token, token);
  if (end != TO_DONE)
    return;
  propose_promoted (core, now, progress, token);
  progress->next_order_at = now + TO_ORDER_TIMEOUT;
}

static gboolean
may_propose (GroupProgress *progress, GmTime now, GmTime spacing)
{
  if (now < progress->last_proposal + spacing)
    return FALSE;
  progress->last_proposal = now;
  return TRUE;
}

/* Whether DATABASE failed to answer the leader's latest call.  Starts a status
   call, and returns FALSE, when the latest one ended too long ago.  */
static gboolean
fails_probe (ToCore *core, GmTime now, const GroupProgress *progress,
             const CsDatabase *database)
{
  DatabaseView *view = to_view_of (core, database->id);
  GmTime last = MAX (view->last_answer, view->last_failure);
  if (last != 0 && now < last + 2 * TO_CALL_TIMEOUT)
    return view->last_failure > view->last_answer;
  if (to_may_call (view, now))
    to_start_call (core, now, progress, database, FO_CALL_STATUS, 0);
  return FALSE;
}

/* Whether all other databases of PRIMARY's group are reachable from their
   pools: unconfirmed writes are then the primary's fault.  */
static gboolean
others_reachable (ToCore *core, GmTime now, const CsState *state,
                  const CsDatabase *primary)
{
  g_autoptr (GPtrArray) others
      = to_databases_of (state, primary->group, primary->id);
  for (guint i = 0; i < others->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (others, i);
      const DatabaseView *view = to_view_of (core, d->id);
      if (!view->reachable || now >= view->last_report + TO_REPORT_MAX_AGE)
        return FALSE;
    }
  return others->len + 1 >= cs_database_count (state, primary->group);
}

static const char unconfirmed_reason[]
    = "the primary's writes are not confirmed";

/* Notes that the primary of a group is replaced as nobody confirms its writes.
   Where no replica receives from anyone, its successor fares no better.  */
static void
hold_off_unconfirmed (GroupProgress *progress, GmTime now)
{
  progress->unconfirmed_hold
      = MIN (MAX (2 * progress->unconfirmed_hold, TO_UNCONFIRMED_HOLD),
             TO_UNCONFIRMED_HOLD_MAX);
  progress->unconfirmed_retry_at = now + progress->unconfirmed_hold;
}

/* Forgets earlier replacements for unconfirmed writes once PRIMARY has had
   writes confirmed for long enough.  */
static void
end_hold_off (ToCore *core, GroupProgress *progress, const CsDatabase *primary)
{
  const DatabaseView *view = to_view_of (core, primary->id);
  if (view->last_confirmed
      >= progress->settled_at + progress->unconfirmed_hold)
    progress->unconfirmed_hold = 0;
}

/* The reason to replace PRIMARY, or NULL.  */
static const char *
replacement_reason (ToCore *core, GmTime now, const CsState *state,
                    const GroupProgress *progress, const CsDatabase *primary)
{
  if (primary == NULL)
    return "the primary is gone";
  const DatabaseView *view = to_view_of (core, primary->id);
  gboolean report_fresh
      = view->last_report != 0 && now < view->last_report + TO_REPORT_MAX_AGE;
  gboolean settling = now < progress->settled_at + TO_SETTLE_GRACE;
  if (primary->leaving)
    return "the primary is leaving";
  if (view->replica_since != 0
      && now >= MAX (view->replica_since, progress->settled_at)
                    + TO_REPLICA_TIMEOUT)
    return "the primary says that it is a replica";
  gboolean probe_failed = report_fresh
                          && view->silent_ms * GM_MS >= (guint64)TO_PROBE_AFTER
                          && fails_probe (core, now, progress, primary);
  if (probe_failed && view->silent_ms * GM_MS >= (guint64)TO_ANSWER_TIMEOUT)
    return "the primary does not answer";
  /* The host of its pool may be cut off together with the primary.  */
  if (now >= MAX (view->last_report, core->leader_since) + TO_REPORT_LATE
      && fails_probe (core, now, progress, primary)
      && now >= view->failing_since + TO_ANSWER_TIMEOUT)
    return "the primary does not answer, and nobody reports on it";
  if (report_fresh && !settling && now >= progress->unconfirmed_retry_at
      && to_is_stuck (view, now)
      && others_reachable (core, now, state, primary))
    return unconfirmed_reason;
  /* Missing heartbeats don't matter while the pool reaches the primary.  */
  if (now >= view->last_heartbeat + TO_HEARTBEAT_TIMEOUT
      && !(report_fresh && view->reachable)
      && fails_probe (core, now, progress, primary))
    return "no heartbeat comes from the primary";
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
      const DatabaseView *view = to_view_of (core, d->id);
      if (strcmp (d->group, group->group) != 0)
        continue;
      term = MAX (term, view->acked_term);
      if (view->has_status)
        term = MAX (term, MAX (view->status.term, view->status.sealed_term));
    }
  return term + 1;
}

/* Proposes a new term for GROUP.  FALSE when the last proposal is too recent.
 */
static gboolean
propose_term (ToCore *core, GmTime now, guint64 when, const CsState *state,
              const CsGroup *group, GroupProgress *progress,
              const char *reason)
{
  if (!may_propose (progress, now, TO_TERM_SPACING))
    return FALSE;
  WmMessage command = { .type = WM_TYPE_CMD_TERM,
                        .cmd_term = { .group = group->group,
                                      .term = next_term (core, state, group),
                                      .reason = (char *)reason,
                                      .when = when } };
  wm_queue_put (&core->commands, &command);
  return TRUE;
}

/* Unseals the replicas of a settled group: a replica that stayed sealed after
   an abandoned choice would never catch up.  Waits until the chosen database
   reports itself as primary, because an accepted order may not have taken
   effect yet and unsealed replicas would receive from the old primary.  */
static void
unseal_replicas (ToCore *core, GmTime now, const CsState *state,
                 const CsGroup *group, const CsDatabase *primary,
                 GroupProgress *progress)
{
  if (primary == NULL || progress->unsealed_term == group->term
      || progress->sealing_term != group->term)
    return;
  DatabaseView *chosen = to_view_of (core, primary->id);
  /* The chosen database was a replica when it was sealed, so this status is
     newer.  */
  gboolean leads = chosen->has_status && chosen->status.primary;
  if (!leads && !GM_MUTANT (UNSEAL_EARLY))
    {
      if (to_may_call (chosen, now))
        to_start_call (core, now, progress, primary, FO_CALL_STATUS, 0);
      return;
    }
  g_autoptr (GPtrArray) others
      = to_databases_of (state, group->group, group->primary);
  progress->unsealed_term = group->term;
  for (guint i = 0; i < others->len; i++)
    to_start_call (core, now, progress, g_ptr_array_index (others, i),
                   FO_CALL_UNSEAL, group->term);
}

/* Tells primaries of earlier terms to step down: one that was cut off from its
   successor does not know that it was replaced.  */
static void
depose_old_primaries (ToCore *core, GmTime now, const CsState *state,
                      const CsGroup *group, GroupProgress *progress)
{
  gboolean replaced_here = progress->unsealed_term == group->term;
  if (now < progress->next_depose_at)
    return;
  progress->next_depose_at = now + TO_DEPOSE_INTERVAL;
  g_autoptr (GPtrArray) others
      = to_databases_of (state, group->group, group->primary);
  for (guint i = 0; i < others->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (others, i);
      DatabaseView *view = to_view_of (core, d->id);
      gboolean is_replica = view->has_status && !view->status.primary;
      if ((view->claims_lead || (replaced_here && !is_replica))
          && to_may_call (view, now))
        to_start_call (core, now, progress, d, FO_CALL_STEP_DOWN, group->term);
    }
}

/* Gives up the copies of databases that have left once another copy has
   confirmed a write that was sent to PRIMARY after they ended: that one has
   everything before it too.  Neither the position of an answer nor the time of
   a report tells that a write was sent so late, as both may be delayed; the
   control state that its sender knew does.  */
static void
clear_departed (ToCore *core, GmTime now, const CsState *state,
                const CsGroup *group, GroupProgress *progress,
                const CsDatabase *primary)
{
  const DatabaseView *leads = to_view_of (core, primary->id);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->missing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsMissing *missing = value;
      if (!missing->left || strcmp (missing->group, group->group) != 0)
        continue;
      DatabaseView *view = to_view_of (core, missing->key);
      view->left_by = view->left_by != 0 ? view->left_by : state->version;
      if (leads->confirmed_state < view->left_by
          || now < progress->departed_proposed_at + TO_PROPOSE_RETRY)
        continue;
      progress->departed_proposed_at = now;
      WmMessage command
          = { .type = WM_TYPE_CMD_DATABASE_LOST,
              .cmd_database_lost
              = { .id = missing->id, .incarnation = missing->incarnation } };
      wm_queue_put (&core->commands, &command);
    }
}

static void
watch_primary (ToCore *core, GmTime now, guint64 when, const CsState *state,
               const CsGroup *group, GroupProgress *progress)
{
  const CsDatabase *primary
      = g_hash_table_lookup (state->databases, group->primary);
  /* An accepted order takes effect some time later.  */
  if (primary != NULL && progress->sealing_term == group->term
      && progress->unsealed_term != group->term && !GM_MUTANT (SEALS_LAPSE))
    to_seal_databases (core, now, state, group, progress, primary->id);
  unseal_replicas (core, now, state, group, primary, progress);
  depose_old_primaries (core, now, state, group, progress);
  if (primary != NULL)
    clear_departed (core, now, state, group, progress, primary);
  const char *reason
      = replacement_reason (core, now, state, progress, primary);
  if (reason == NULL && primary != NULL)
    end_hold_off (core, progress, primary);
  if (reason == NULL)
    return;
  g_autoptr (GPtrArray) others
      = to_databases_of (state, group->group, group->primary);
  /* Without a replica to promote, wait for the primary to come back.  */
  if (others->len == 0)
    return;
  if (propose_term (core, now, when, state, group, progress, reason)
      && reason == unconfirmed_reason)
    hold_off_unconfirmed (progress, now);
}

static void
propose_primary (ToCore *core, GmTime now, guint64 when, const CsGroup *group,
                 GroupProgress *progress, const CsDatabase *best)
{
  if (!may_propose (progress, now, TO_PROPOSE_RETRY))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_PRIMARY,
                        .cmd_primary = { .group = group->group,
                                         .term = group->term,
                                         .id = best->id,
                                         .when = when,
                                         .holder = core->host,
                                         .round = core->control_term } };
  wm_queue_put (&core->commands, &command);
}

/* Whether a database is already primary in the group's term or a later one.
   Its replicas can't be sealed for this term.  */
static gboolean
has_primary_in_term (ToCore *core, const CsState *state, const CsGroup *group)
{
  g_autoptr (GPtrArray) all = to_databases_of (state, group->group, NULL);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      const DatabaseView *view = to_view_of (core, d->id);
      if (view->has_status && view->status.primary
          && view->status.term >= group->term)
        return TRUE;
    }
  return FALSE;
}

static void
choose_primary (ToCore *core, GmTime now, guint64 when, const CsState *state,
                const CsGroup *group, GroupProgress *progress)
{
  to_begin_sealing (now, group, progress);
  const CsDatabase *old = g_hash_table_lookup (state->databases, group->avoid);
  const DatabaseView *old_view = to_view_of (core, group->avoid);
  /* Transactions at a leaving primary get time to end.  */
  if (old != NULL && old->leaving && old_view->reachable
      && to_count_open (old_view) > 0
      && now < progress->sealing_since + TO_DRAIN_GRACE)
    return;
  if (has_primary_in_term (core, state, group))
    {
      propose_term (core, now, when, state, group, progress,
                    "an earlier order was carried out late");
      return;
    }
  to_seal_databases (core, now, state, group, progress, NULL);
  const CsDatabase *best = to_complete_copy (core, now, state, group);
  if (best != NULL)
    propose_primary (core, now, when, group, progress, best);
}

/* Whether CHOSEN reports itself as primary; calls it if not.  CHOSEN was a
   replica when it was chosen, so a primary there shows that an order was
   carried out, even if its answer was lost.  Before the order is sent, the
   call renews its seal as well.  */
static gboolean
confirms_promotion (ToCore *core, GmTime now, const CsGroup *group,
                    const GroupProgress *progress, const CsDatabase *chosen)
{
  DatabaseView *view = to_view_of (core, chosen->id);
  if (view->has_status && view->status.primary)
    return TRUE;
  if (to_may_call (view, now))
    to_start_call (core, now, progress, chosen,
                   progress->ordered_token == group->decided ? FO_CALL_STATUS
                                                             : FO_CALL_SEAL,
                   group->term);
  return FALSE;
}

/* Sends the promotion order under the token of the choice.  An order without a
   clear answer may still be carried out, so each token is sent once and a
   retry needs a new choice with a higher token.  */
static void
send_order (ToCore *core, GmTime now, guint64 when, const CsGroup *group,
            GroupProgress *progress, const CsDatabase *chosen)
{
  /* An order for an earlier choice may still be carried out; that of the
     present choice fences it off, so it must not wait.  */
  gboolean is_obsolete = progress->pending_token != group->decided
                         && !GM_MUTANT (ORDERS_IN_TURN);
  if (progress->pending_token != 0
      && (is_obsolete || now >= progress->order_sent_at + TO_ORDER_TIMEOUT))
    {
      progress->unknown_token
          = MAX (progress->unknown_token, progress->pending_token);
      progress->pending_token = 0;
    }
  if (progress->pending_token != 0 || now < progress->next_order_at)
    return;
  if (progress->unknown_token >= group->decided)
    {
      propose_primary (core, now, when, group, progress, chosen);
      return;
    }
  progress->pending_token = group->decided;
  progress->ordered_token = group->decided;
  progress->order_sent_at = now;
  to_push_action (core, TO_ORDER, progress, chosen)->token = group->decided;
}

/* Orders the promotion that this leader chose in its control term.  Renews a
   choice that another leader left unfinished.  */
static void
order_promotion (ToCore *core, GmTime now, guint64 when, const CsState *state,
                 const CsGroup *group, GroupProgress *progress)
{
  const CsDatabase *chosen
      = g_hash_table_lookup (state->databases, group->primary);
  gboolean is_own_choice = strcmp (group->holder, core->host) == 0
                           && group->round == core->control_term;
  if (chosen == NULL || progress->refused_token >= group->decided)
    {
      propose_term (core, now, when, state, group, progress,
                    "the chosen database can't be promoted");
      return;
    }
  if (!is_own_choice && !GM_MUTANT (TOKEN_SHARED))
    {
      propose_primary (core, now, when, group, progress, chosen);
      return;
    }
  if (confirms_promotion (core, now, group, progress, chosen))
    {
      propose_promoted (core, now, progress, group->decided);
      return;
    }
  to_begin_sealing (now, group, progress);
  if (!GM_MUTANT (SEALS_LAPSE))
    to_seal_databases (core, now, state, group, progress, chosen->id);
  ChoiceState choice = to_check_choice (core, now, state, group, chosen);
  if (choice == CHOICE_VOID)
    propose_term (core, now, when, state, group, progress,
                  "another copy has received more than the chosen one");
  else if (choice == CHOICE_HOLDS || progress->pending_token == group->decided)
    send_order (core, now, when, group, progress, chosen);
}

void
to_tick (ToCore *core, GmTime now, guint64 when, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  if (core->control_term == 0)
    return;
  g_hash_table_iter_init (&iter, state->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsGroup *group = value;
      GroupProgress *progress = progress_of (core, group->group);
      if (group->term == 0 || cs_database_count (state, group->group) == 0)
        continue;
      if (*group->primary == '\0')
        choose_primary (core, now, when, state, group, progress);
      else if (!group->settled)
        order_promotion (core, now, when, state, group, progress);
      else
        watch_primary (core, now, when, state, group, progress);
    }
}
