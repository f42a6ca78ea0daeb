#include "quota.h"
#include "subscription.h"
#include <json-c/json.h>
#include <string.h>

#define ASKING_TICK_MS 10 /* a fifth of QT_ASK_TIMEOUT */
#define TICK_MS 100       /* a tenth of QT_FENCE_AGE */
/* Refused operations are logged in one line for so long.  */
#define REFUSED_LOG_INTERVAL (5 * GM_SECOND)
/* Series by customer, so that metrics stay small with thousands of them.  */
#define METRIC_CUSTOMERS_MAX 20

typedef struct
{
  QuotaAnswer answer;
  gpointer data;
} Waiting;

struct Quota
{
  DaemonTask task;
  Daemon *daemon;
  Peers *peers; /* NULL: this host only lends */
  QtRules rules;
  QtLenders *lenders;
  QtLender *lender;
  QtBorrower *borrower;
  GHashTable *waiting; /* number -> Waiting */
  gboolean pumping;
  guint64 taking; /* number of the operation that quota_take is about */
  QtDecision taken;
  guint64 refused; /* since the last line in the log */
  GmTime refused_logged_at;
  guint timer;
  GmTime tick_due;
  gboolean started; /* a copy of the control state has come */
};

static GmTime
quota_now (const Quota *q)
{
  return daemon_now (q->daemon);
}

static const CfCustomer *
find_limited (const Quota *q, const char *customer)
{
  const CfDeclaration *declaration
      = cs_declaration (subscription_state (q->daemon->subscription));
  const CfCustomer *found
      = q->rules.window > 0 && declaration != NULL && customer != NULL
            ? cf_customer_find (declaration, customer)
            : NULL;
  return found != NULL && found->rate >= 0 ? found : NULL;
}

static void
lend (Quota *q, const char *customer, const QtAsk *ask, QtGrant *grant)
{
  const CfCustomer *found = find_limited (q, customer);
  *grant = (QtGrant){ .retry_in = QT_RETRY_MIN };
  if (found == NULL)
    return;
  QtLimit limit = { found->rate, (double)found->burst };
  qt_lend (q->lender, quota_now (q), q->lenders, customer, &limit, ask, grant);
  gm_count (GM_M_quota_lent_total, grant->granted);
}

static guint64
host_hash (const char *host)
{
  return host != NULL ? gm_hash (host, strlen (host), 0) : 0;
}

static guint64
state_version (const Quota *q)
{
  return subscription_state (q->daemon->subscription)->version;
}

/* Sends the request, or answers it here where this host is the lender.  */
static void
ask_lender (Quota *q, const QtEvent *event)
{
  if (strcmp (event->host, q->daemon->settings->host) == 0)
    {
      QtGrant grant;
      QtAsk ask = event->ask;
      ask.version = state_version (q);
      lend (q, event->customer, &ask, &grant);
      if (event->sequence != 0)
        qt_granted (q->borrower, quota_now (q), event->customer,
                    event->sequence, &grant);
      return;
    }
  WmMessage m = { .type = WM_TYPE_QUOTA_ASK,
                  .quota_ask = { .sequence = event->sequence,
                                 .customer = (char *)event->customer,
                                 .wanted = event->ask.wanted,
                                 .returned = event->ask.returned,
                                 .used = event->ask.used,
                                 .lent_at = (guint64)event->ask.lent_at,
                                 .version = state_version (q) } };
  gm_count (GM_M_quota_asks_total, 1);
  if (q->peers != NULL)
    peers_post (q->peers, event->host, event->link, &m);
}

static void
note_refused (Quota *q)
{
  gm_count (GM_M_quota_refused_total, 1);
  q->refused++;
}

static void
decided (Quota *q, const QtDecision *decision)
{
  if (decision->answer == QT_REFUSED)
    note_refused (q);
  if (decision->number == q->taking)
    {
      q->taken = *decision;
      q->taking = 0;
      return;
    }
  Waiting *waiting = g_hash_table_lookup (q->waiting, &decision->number);
  if (waiting == NULL)
    return;
  Waiting copy = *waiting;
  g_hash_table_remove (q->waiting, &decision->number);
  copy.answer (decision, copy.data);
}

/* Carries out what the borrower has queued.  */
static void
pump (Quota *q)
{
  QtEvent event;
  /* An answer may take the next operation; the outer call goes on.  */
  if (q->pumping)
    return;
  q->pumping = TRUE;
  while (qt_next (q->borrower, &event))
    if (event.type == QT_DECIDED)
      {
        QtDecision decision = event.decision;
        decided (q, &decision);
      }
    else
      ask_lender (q, &event);
  q->pumping = FALSE;
}

static gboolean tick (gpointer data);

static void
schedule_tick (Quota *q)
{
  guint wait = qt_is_asking (q->borrower) ? ASKING_TICK_MS : TICK_MS;
  GmTime due = quota_now (q) + wait * GM_MS;
  if (q->timer != 0 && q->tick_due <= due)
    return;
  g_clear_handle_id (&q->timer, g_source_remove);
  q->tick_due = due;
  q->timer = g_timeout_add (wait, tick, q);
}

/* Whether no other host has lent in the place of this one while its process
   restarted.  */
static gboolean
kept_place (const Quota *q)
{
  const CsState *state = subscription_state (q->daemon->subscription);
  const CsHost *own
      = g_hash_table_lookup (state->hosts, q->daemon->settings->host);
  return own != NULL
         && (own->kept || own->incarnation != q->daemon->identity.incarnation);
}

static void
update_lender (Quota *q, gboolean changed)
{
  GmTime stamp = daemon_now (q->daemon)
                 - subscription_stamp_age (q->daemon->subscription);
  if (qt_lender_update (q->lender, quota_now (q), stamp, state_version (q),
                        q->lenders, changed))
    gm_log (GM_EV_QUOTA_LENDER, "%u lenders of each customer",
            qt_lenders_count (q->lenders));
}

static void
log_refused (Quota *q)
{
  if (q->refused == 0
      || quota_now (q) < q->refused_logged_at + REFUSED_LOG_INTERVAL)
    return;
  gm_log (GM_EV_QUOTA_REFUSED, "%" G_GUINT64_FORMAT " operations", q->refused);
  q->refused = 0;
  q->refused_logged_at = quota_now (q);
}

static gboolean
tick (gpointer data)
{
  Quota *q = data;
  q->timer = 0;
  update_lender (q, FALSE);
  qt_borrower_tick (q->borrower, quota_now (q));
  pump (q);
  log_refused (q);
  schedule_tick (q);
  return G_SOURCE_REMOVE;
}

static void
quota_state_changed (DaemonTask *task)
{
  Quota *q = (Quota *)task;
  if (q->rules.window == 0)
    return;
  gboolean changed = qt_lenders_update (
      q->lenders, subscription_state (q->daemon->subscription));
  if (!q->started && kept_place (q))
    qt_lender_keep_place (q->lender);
  q->started = TRUE;
  update_lender (q, changed);
  if (changed)
    qt_lenders_changed (q->borrower, quota_now (q));
  pump (q);
}

static gboolean
quota_message (DaemonTask *task, guint64 number, LkLink *link,
               const WmMessage *m)
{
  (void)number;
  Quota *q = (Quota *)task;
  const struct wm_quota_ask *in = &m->quota_ask;
  if (m->type != WM_TYPE_QUOTA_ASK)
    return FALSE;
  QtAsk ask = { .wanted = (guint)MIN (in->wanted, G_MAXINT32),
                .returned = (guint)MIN (in->returned, G_MAXINT32),
                .used = (guint)MIN (in->used, G_MAXINT32),
                .lent_at = (GmTime)MIN (in->lent_at, G_MAXINT64),
                .version = in->version,
                .host = host_hash (lk_peer (link)) };
  QtGrant grant;
  lend (q, in->customer, &ask, &grant);
  if (in->sequence == 0)
    return TRUE;
  WmMessage answer
      = { .type = WM_TYPE_QUOTA_GRANT,
          .quota_grant = { .sequence = in->sequence,
                           .customer = in->customer,
                           .granted = grant.granted,
                           .valid = (guint64)grant.valid,
                           .retry_ms = (guint64)(grant.retry_in / GM_MS),
                           .lent_at = (guint64)grant.lent_at } };
  lk_send (link, &answer);
  return TRUE;
}

/* Takes an answer from a lender.  */
static void
on_grant (const WmMessage *m, gpointer data)
{
  Quota *q = data;
  const struct wm_quota_grant *in = &m->quota_grant;
  QtGrant grant = { .granted = (guint)MIN (in->granted, G_MAXINT32),
                    .valid = (GmTime)MIN (in->valid, (guint64)QT_VALID_MAX),
                    .retry_in = (GmTime)MIN (in->retry_ms, G_MAXINT32) * GM_MS,
                    .lent_at = (GmTime)MIN (in->lent_at, G_MAXINT64) };
  if (in->customer == NULL)
    return;
  qt_granted (q->borrower, quota_now (q), in->customer, in->sequence, &grant);
  pump (q);
  schedule_tick (q);
}

void
quota_use_links (Quota *q, Peers *peers)
{
  q->peers = peers;
  peers_on_grant (peers, on_grant, q);
}

/* Lets the operation of DECISION wait, unless it was decided meanwhile: this
   host may be the lender.  */
static void
await_decision (Quota *q, QuotaAnswer answer, gpointer data,
                QtDecision *decision)
{
  guint64 outer = q->taking;
  q->taking = decision->number;
  pump (q);
  if (q->taking == 0)
    *decision = q->taken;
  else
    {
      Waiting *waiting = g_new (Waiting, 1);
      *waiting = (Waiting){ answer, data };
      g_hash_table_insert (
          q->waiting, g_memdup2 (&decision->number, sizeof decision->number),
          waiting);
      gm_count (GM_M_quota_waited_total, 1);
    }
  q->taking = outer;
}

void
quota_take (Quota *q, const char *customer, QuotaAnswer answer, gpointer data,
            QtDecision *decision)
{
  *decision = (QtDecision){ .answer = QT_TAKEN };
  if (find_limited (q, customer) == NULL)
    return;
  qt_take (q->borrower, quota_now (q), customer, decision);
  if (decision->answer == QT_REFUSED)
    note_refused (q);
  if (decision->answer == QT_WAITING)
    await_decision (q, answer, data, decision);
  else
    pump (q);
  schedule_tick (q);
}

void
quota_cancel (Quota *q, const char *customer, guint64 number)
{
  g_hash_table_remove (q->waiting, &number);
  qt_cancel (q->borrower, customer, number);
}

void
quota_give_back (Quota *q, const char *customer, guint64 lot)
{
  qt_give_back (q->borrower, quota_now (q), customer, lot);
  pump (q);
}

/* The customers that this host lends to, the one with the largest use
   first.  */
static gint
compare_use (gconstpointer a, gconstpointer b)
{
  const QtUse *x = a, *y = b;
  if (x->lent_before != y->lent_before)
    return x->lent_before > y->lent_before ? -1 : 1;
  return strcmp (x->customer, y->customer);
}

static GArray *
sorted_use (Quota *q)
{
  GArray *use = g_array_new (FALSE, FALSE, sizeof (QtUse));
  qt_lender_use (q->lender, quota_now (q), use);
  g_array_sort (use, compare_use);
  return use;
}

/* Appends TEXT as the value of a label.  */
static void
append_label (GString *out, const char *text)
{
  for (; *text != '\0'; text++)
    if (*text == '\n')
      g_string_append (out, "\\n");
    else if (*text == '"' || *text == '\\')
      g_string_append_printf (out, "\\%c", *text);
    else
      g_string_append_c (out, *text);
}

typedef struct
{
  const char *name;
  const char *type;
  const char *help;
} Series;

static const Series lent_series
    = { "quota_window_lent", "gauge",
        "operations lent to a customer in the last full window" };
static const Series refused_series
    = { "quota_customer_refused_total", "counter",
        "requests for operations of a customer that got none" };

static void
print_series (GString *out, const Series *series, const GArray *use,
              gboolean refused)
{
  g_string_append_printf (
      out, "# HELP galenamount_%s %s\n# TYPE galenamount_%s %s\n",
      series->name, series->help, series->name, series->type);
  for (guint i = 0; i < MIN (use->len, METRIC_CUSTOMERS_MAX); i++)
    {
      const QtUse *u = &g_array_index (use, QtUse, i);
      g_string_append_printf (out, "galenamount_%s{customer=\"", series->name);
      append_label (out, u->customer);
      g_string_append_printf (out, "\"} %" G_GUINT64_FORMAT "\n",
                              refused ? u->refused : u->lent_before);
    }
}

void
quota_print_metrics (Quota *q, GString *out)
{
  g_autoptr (GArray) use = sorted_use (q);
  if (use->len == 0)
    return;
  print_series (out, &lent_series, use, FALSE);
  print_series (out, &refused_series, use, TRUE);
}

static json_object *
use_json (const QtUse *use)
{
  json_object *o = json_object_new_object ();
  json_object_object_add (o, "customer",
                          json_object_new_string (use->customer));
  json_object_object_add (o, "lent",
                          json_object_new_int64 ((gint64)use->lent_before));
  json_object_object_add (o, "part",
                          json_object_new_int64 ((gint64)use->part_max));
  json_object_object_add (o, "refused",
                          json_object_new_int64 ((gint64)use->refused));
  json_object_object_add (o, "outstanding",
                          json_object_new_int64 ((gint64)use->outstanding));
  return o;
}

char *
quota_describe (Quota *q)
{
  g_autoptr (GArray) use = sorted_use (q);
  json_object *o = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_object_object_add (o, "window_ms",
                          json_object_new_int64 (q->rules.window / GM_MS));
  json_object_object_add (
      o, "lenders", json_object_new_int64 (qt_lenders_count (q->lenders)));
  for (guint i = 0; i < use->len; i++)
    json_object_array_add (list, use_json (&g_array_index (use, QtUse, i)));
  json_object_object_add (o, "customers", list);
  char *text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}

static void
quota_free (DaemonTask *task)
{
  Quota *q = (Quota *)task;
  g_clear_handle_id (&q->timer, g_source_remove);
  g_hash_table_unref (q->waiting);
  qt_borrower_free (q->borrower);
  qt_lender_free (q->lender);
  qt_lenders_free (q->lenders);
  g_free (q);
}

static const DaemonTaskClass quota_class
    = { .message = quota_message,
        .state_changed = quota_state_changed,
        .free = quota_free };

Quota *
quota_new (Daemon *daemon)
{
  const CfSettings *settings = daemon->settings;
  Quota *q = g_new0 (Quota, 1);
  q->task.class = &quota_class;
  q->daemon = daemon;
  q->rules = (QtRules){ .window = settings->quota_window_ms * GM_MS,
                        .overage = settings->quota_overage,
                        .slack = (double)settings->quota_slack };
  q->lenders = qt_lenders_new (settings->host, settings->data_centre);
  q->lender = qt_lender_new (&q->rules);
  q->borrower = qt_borrower_new (q->lenders);
  q->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  if (q->rules.window > 0)
    q->timer = g_timeout_add (TICK_MS, tick, q);
  daemon_add (daemon, &q->task);
  return q;
}
