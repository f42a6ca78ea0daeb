#include "core.h"
#include "base/event.h"
#include <string.h>

CoCore *
co_open (const CoIdentity *self, ClStore *store, GmTime now, GmStatus *status)
{
  ClCore *log = cl_open (self->host, self->disk, self->address, store,
                         self->seed, now, status);
  if (log == NULL)
    return NULL;
  CoCore *core = g_new0 (CoCore, 1);
  core->host = g_strdup (self->host);
  core->log = log;
  core->state = cs_new ();
  core->update.empty = TRUE;
  core->members = mb_new ();
  core->failover = fo_new ();
  core->subscribers
      = g_ptr_array_new_with_free_func ((GDestroyNotify)co_subscriber_free);
  core->proposals = co_proposals_new ();
  g_queue_init (&core->sends);
  return core;
}

gboolean
co_take_send (CoCore *core, CoSend *send)
{
  CoSend *first = g_queue_pop_head (&core->sends);
  if (first == NULL)
    return FALSE;
  *send = *first;
  g_free (first);
  return TRUE;
}

void
co_free (CoCore *core)
{
  CoSend send;
  while (co_take_send (core, &send))
    {
      g_free (send.to);
      wm_clear (&send.message);
    }
  g_ptr_array_unref (core->subscribers);
  g_ptr_array_unref (core->proposals);
  co_update_clear (core);
  cl_free (core->log);
  cs_free (core->state);
  mb_free (core->members);
  fo_free (core->failover);
  if (core->takeover != NULL)
    to_free (core->takeover);
  g_free (core->host);
  g_free (core);
}

ClCore *
co_log (CoCore *core)
{
  return core->log;
}

const CsState *
co_state (const CoCore *core)
{
  return core->state;
}

const MbCore *
co_members (const CoCore *core)
{
  return core->members;
}

gboolean
co_leads (const CoCore *core)
{
  return core->is_leader;
}

void
co_set_takeover (CoCore *core)
{
  core->takeover = to_new (core->host);
}

ToCore *
co_takeover (const CoCore *core)
{
  return core->takeover;
}

void
co_set_voters_min (CoCore *core, guint voters)
{
  core->voters_min = voters;
}

gboolean
co_is_current (CoCore *core, GmTime now, GmTime since)
{
  return cl_stamp (core->log, now) >= since
         && core->state->version >= cl_commit (core->log);
}

void
co_queue_send (CoCore *core, guint64 link, const char *to, const WmMessage *m)
{
  CoSend *send = g_new0 (CoSend, 1);
  send->link = link;
  send->to = g_strdup (to);
  wm_copy (&send->message, m);
  g_queue_push_tail (&core->sends, send);
}

/* Logs the event that COMMAND, applied with STATUS, stands for.  */
static void
log_outcome (const WmMessage *command, const GmStatus *status)
{
  if (command->type == WM_TYPE_CMD_CONFIG)
    gm_log (status->kind == GM_OK ? GM_EV_CONFIG : GM_EV_CONFIG_REFUSED,
            "%s: %s", command->cmd_config.who, status->message);
  else if (status->kind != GM_OK)
    return;
  else if (command->type == WM_TYPE_CMD_HOST)
    gm_log (GM_EV_HOST_UP, "%s, roles %u", command->cmd_host.host,
            (guint)command->cmd_host.roles);
  else if (command->type == WM_TYPE_CMD_HOST_DOWN)
    gm_log (GM_EV_HOST_DOWN, "%s", command->cmd_host_down.host);
  else if (command->type == WM_TYPE_CMD_DATABASE)
    gm_log (command->cmd_database.leaving != 0 ? GM_EV_DATABASE_LEAVING
                                               : GM_EV_DATABASE_UP,
            "%s of %s, %s at %s", command->cmd_database.id,
            command->cmd_database.group,
            command->cmd_database.primary != 0 ? "primary" : "replica",
            command->cmd_database.address);
  else if (command->type == WM_TYPE_CMD_DATABASE_DOWN)
    gm_log (GM_EV_DATABASE_DOWN, "%s", command->cmd_database_down.id);
  else if (command->type == WM_TYPE_CMD_DATABASE_LEFT)
    gm_log (GM_EV_DATABASE_DOWN, "%s: has left",
            command->cmd_database_left.id);
  else if (command->type == WM_TYPE_CMD_DATABASE_LOST)
    gm_log (GM_EV_COPY_GIVEN_UP, "%s", command->cmd_database_lost.id);
  else if (command->type == WM_TYPE_CMD_TERM)
    gm_log (GM_EV_FAILOVER, "%s: term %u: %s", command->cmd_term.group,
            (guint)command->cmd_term.term, command->cmd_term.reason);
  else if (command->type == WM_TYPE_CMD_PRIMARY)
    gm_log (GM_EV_PROMOTED, "%s: term %u: %s", command->cmd_primary.group,
            (guint)command->cmd_primary.term, command->cmd_primary.id);
}

static void
apply_entry (CoCore *core, const ClEntry *entry)
{
  GmStatus status = { GM_OK, "" };
  WmMessage command;
  gsize length;
  const void *data = g_bytes_get_data (entry->data, &length);
  gboolean configures = FALSE;
  if (entry->type == CL_MEMBERS)
    gm_log (GM_EV_VOTERS, "version %u", (guint)entry->index);
  if (entry->type != CL_COMMAND
      || wm_decode (data, length, &command, &status) != GM_OK)
    cs_skip (core->state, entry->index);
  else
    {
      cs_apply (core->state, entry->index, &command, &status);
      log_outcome (&command, &status);
      configures = command.type == WM_TYPE_CMD_CONFIG;
      wm_clear (&command);
    }
  if (!configures)
    core->other_version = entry->index;
  co_answer_proposals (core, entry->index, &status);
}

static void
load_snapshot (CoCore *core)
{
  GBytes *data;
  guint64 index;
  if (!cl_take_snapshot (core->log, &data, &index))
    return;
  CsState *fresh = cs_decode (index, data);
  gm_log (GM_EV_SNAPSHOT, "version %u", (guint)index);
  if (fresh == NULL)
    return;
  cs_free (core->state);
  core->state = fresh;
  core->other_version = fresh->version;
}

static void
apply_committed (CoCore *core)
{
  const ClEntry *entry;
  load_snapshot (core);
  while ((entry = cl_take_committed (core->log)) != NULL)
    apply_entry (core, entry);
  if (!cl_wants_snapshot (core->log))
    return;
  g_autoptr (GBytes) block = cs_encode (core->state);
  cl_compact (core->log, block);
  gm_log (GM_EV_SNAPSHOT, "version %u", (guint)core->state->version);
}

static void
update_leadership (CoCore *core, GmTime now)
{
  gboolean leads = cl_role (core->log) == CL_LEADER;
  if (leads == core->is_leader)
    return;
  core->is_leader = leads;
  gm_log (leads ? GM_EV_LEADER : GM_EV_NOT_LEADER, "term %u",
          (guint)cl_term (core->log));
  if (core->takeover != NULL)
    to_lead (core->takeover, now, leads ? cl_term (core->log) : 0);
  if (!leads)
    {
      co_fail_proposals (core);
      return;
    }
  mb_lead (core->members, now, core->state);
  fo_lead (core->failover);
}

/* Logs an election that this host calls.  */
static void
log_election (CoCore *core)
{
  if (cl_role (core->log) != CL_CANDIDATE
      || cl_term (core->log) == core->candidate_term)
    return;
  core->candidate_term = cl_term (core->log);
  gm_count (GM_M_control_elections_total, 1);
  gm_log (GM_EV_CANDIDATE, "term %u, log up to %u, committed up to %u",
          (guint)cl_term (core->log), (guint)cl_last_index (core->log),
          (guint)cl_commit (core->log));
}

static void
check_disk (CoCore *core)
{
  GmStatus status = GM_STATUS_UNSET;
  gboolean failed = cl_failure (core->log, &status) != GM_OK;
  if (core->disk_failed == failed)
    return;
  core->disk_failed = failed;
  gm_gauge (GM_M_control_log_stopped, failed ? 1 : 0);
  gm_log (failed ? GM_EV_DISK_STOPPED : GM_EV_DISK_RESTORED, "%s",
          failed ? status.message : "all that this host holds was written");
}

/* Processes the results of the log's last step: role changes, committed
   entries, messages.  */
static void
process_log (CoCore *core, GmTime now)
{
  ClOutgoingMessage send;
  check_disk (core);
  log_election (core);
  update_leadership (core, now);
  apply_committed (core);
  co_update_subscribers (core, now);
  while (cl_take_outgoing (core->log, &send))
    {
      co_queue_send (core, 0, send.to, &send.message);
      g_free (send.to);
      wm_clear (&send.message);
    }
}

/* Adds COMMAND, which it clears, to the commands that this host proposes in
   one step: with a sync for each, a leader that many hosts report to after a
   restart would be busy for longer than its followers wait.  */
static void
add_own (GPtrArray *commands, WmMessage *command)
{
  if (command->type == WM_TYPE_CMD_TERM)
    gm_count (GM_M_failovers_total, 1);
  g_ptr_array_add (commands, wm_encode (command));
  wm_clear (command);
}

static void
run_takeover (CoCore *core, GmTime now, guint64 wall, GPtrArray *commands)
{
  WmMessage command;
  to_tick (core->takeover, now, wall, core->state);
  while (to_take_command (core->takeover, &command))
    add_own (commands, &command);
}

static void
run_decisions (CoCore *core, GmTime now, guint64 wall)
{
  WmMessage command;
  guint64 index;
  g_autoptr (GPtrArray) commands
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  if (now >= core->next_expiry_check)
    {
      core->next_expiry_check = now + CO_EXPIRY_INTERVAL;
      mb_tick (core->members, now, core->state);
    }
  if (core->takeover != NULL)
    run_takeover (core, now, wall, commands);
  else
    fo_tick (core->failover, now, wall, core->state);
  while (mb_take_command (core->members, &command))
    add_own (commands, &command);
  while (fo_take_command (core->failover, &command))
    add_own (commands, &command);
  if (commands->len > 0)
    cl_propose_all (core->log, now, commands, &index, NULL);
}

void
co_tick (CoCore *core, GmTime now, guint64 wall)
{
  cl_tick (core->log, now);
  process_log (core, now);
  if (!core->is_leader)
    return;
  run_decisions (core, now, wall);
  process_log (core, now);
}

gboolean
co_forward (CoCore *core, const WmMessage *m)
{
  const char *leader = cl_leader (core->log);
  if (core->is_leader || leader == NULL || strcmp (leader, core->host) == 0)
    return FALSE;
  co_queue_send (core, 0, leader, m);
  return TRUE;
}

static void
handle_subscribe (CoCore *core, GmTime now, guint64 link, const char *from,
                  const WmMessage *m)
{
  const struct wm_subscribe *beat = &m->subscribe;
  if (link != 0 && beat->forwarded == 0 && strcmp (from, beat->host) == 0)
    co_handle_heartbeat (core, now, link, beat);
  if (core->is_leader)
    {
      mb_host_heartbeat (core->members, now, core->state, beat);
      return;
    }
  WmMessage forward = *m;
  forward.subscribe.forwarded = 1;
  co_forward (core, &forward);
}

static void
handle_propose (CoCore *core, GmTime now, guint64 link, const WmMessage *m)
{
  const struct wm_propose *p = &m->propose;
  if (core->is_leader && cl_committed_voters (core->log) < core->voters_min)
    {
      GmStatus status
          = { GM_UNAVAILABLE, "too few control hosts have joined" };
      co_answer_proposal (core, link, p, &status, 0);
    }
  else if (core->is_leader)
    co_propose (core, now, link, p);
  else if (!co_forward (core, m))
    {
      GmStatus status = { GM_UNAVAILABLE, "no control host leads now" };
      co_answer_proposal (core, link, p, &status, 0);
    }
}

static void
handle_voter (CoCore *core, GmTime now, guint64 link, const WmMessage *m)
{
  const struct wm_voter *v = &m->voter;
  GmStatus status = GM_STATUS_UNSET;
  if (co_forward (core, m))
    return;
  if (strcmp (v->action, "replace") == 0)
    cl_admit (core->log, now, v->member, &status);
  else
    cl_remove (core->log, now, v->member, &status);
  struct wm_propose ask = { .sequence = v->sequence, .host = v->host };
  co_answer_proposal (core, link, &ask, &status, 0);
}

/* Handles a control host's report that the link of one of its subscribers
   closed.  */
static void
handle_link_lost (CoCore *core, GmTime now, const WmMessage *m)
{
  if (core->is_leader)
    mb_link_lost (core->members, now, core->state, m->cmd_host_down.host,
                  m->cmd_host_down.incarnation);
  else
    co_forward (core, m);
}

/* Handles a report of a host on the databases whose queues it holds.  */
static void
handle_pool_report (CoCore *core, GmTime now, const struct wm_report *report)
{
  WmMessage m;
  gsize at = 0;
  while (wm_next (report->databases, &at, &m))
    {
      if (m.type == WM_TYPE_SEEN && m.seen.reachable != 0)
        mb_database_serves (core->members, now, m.seen.id);
      wm_clear (&m);
    }
  to_report (core->takeover, now, core->state, report);
}

void
co_receive (CoCore *core, GmTime now, guint64 link, const char *from,
            const WmMessage *m)
{
  switch (m->type)
    {
    case WM_TYPE_SUBSCRIBE:
      handle_subscribe (core, now, link, from, m);
      break;
    case WM_TYPE_PROPOSE:
      handle_propose (core, now, link, m);
      break;
    case WM_TYPE_VOTER:
      handle_voter (core, now, link, m);
      break;
    case WM_TYPE_CMD_HOST_DOWN:
      handle_link_lost (core, now, m);
      break;
    case WM_TYPE_CMD_DATABASE:
      if (core->is_leader)
        mb_database_heartbeat (core->members, now, core->state,
                               &m->cmd_database);
      else
        co_forward (core, m);
      if (core->is_leader && core->takeover != NULL)
        to_heartbeat (core->takeover, now, &m->cmd_database);
      break;
    case WM_TYPE_CMD_DATABASE_DOWN:
    case WM_TYPE_CMD_DATABASE_LEFT:
      if (core->is_leader)
        {
          g_autoptr (GBytes) block = wm_encode (m);
          struct wm_propose own = { .host = core->host, .command = block };
          co_propose (core, now, 0, &own);
        }
      else
        co_forward (core, m);
      break;
    case WM_TYPE_REPORT:
      if (core->is_leader && core->takeover != NULL)
        handle_pool_report (core, now, &m->report);
      else if (core->is_leader)
        fo_report (core->failover, now, core->state, &m->report);
      else
        co_forward (core, m);
      break;
    default:
      cl_receive (core->log, now, m);
      break;
    }
  /* Decisions are left to the next tick, since thousands of heartbeats a
     second arrive here.  */
  process_log (core, now);
}

void
co_receive_answer (CoCore *core, const WmMessage *m)
{
  const char *host = m->type == WM_TYPE_PROPOSED      ? m->proposed.host
                     : m->type == WM_TYPE_STATUS_TEXT ? m->status_text.host
                                                      : NULL;
  for (guint i = 0; host != NULL && i < core->subscribers->len; i++)
    {
      const Subscriber *s = g_ptr_array_index (core->subscribers, i);
      if (strcmp (s->host, host) == 0)
        co_queue_send (core, s->link, NULL, m);
    }
}

void
co_link_down (CoCore *core, GmTime now, guint64 link)
{
  Subscriber *s = co_find_subscriber (core, link);
  if (s != NULL)
    {
      WmMessage m = { .type = WM_TYPE_CMD_HOST_DOWN,
                      .cmd_host_down
                      = { .host = s->host, .incarnation = s->incarnation } };
      handle_link_lost (core, now, &m);
      g_ptr_array_remove (core->subscribers, s);
    }
  co_forget_proposer (core, link);
}
