#include "oracle.h"
#include "token/token.h"
#include "wire/message.h"
#include <string.h>

#define WRITE_DEADLINE (1500 * GM_MS)
#define AGED_MAX_AGE (600 * GM_MS)
#define HOLD_ANSWERS 64

typedef struct Session Session;

/* A write request and the outcome that its caller received.  */
typedef struct
{
  char *id;
  guint session;
  guint postings; /* 1, or the number of statements of a transaction */
  gboolean sent;
  gboolean outcome_queried; /* an outcome lookup was sent */
  GmKind outcome;
  gboolean ended;
} Posting;

/* The value that a count reached at a given time.  */
typedef struct
{
  GmTime at;
  guint count;
} CountAt;

struct Session
{
  Oracle *oracle;
  guint index;
  char ledger[16];
  gboolean request_pending;
  TkSession *token;
  gboolean token_damaged;
  guint acknowledged;           /* postings of this session */
  guint maybe_applied;          /* postings with an unknown outcome */
  guint min_counts[SESSIONS];   /* least count that a read of each ledger may
                                   return */
  GArray *acknowledged_history; /* CountAt */
  Posting *posting;             /* of the pending request, or NULL */
  char *transaction;
  guint statements; /* executed in the open transaction */
  /* The pending read.  */
  guint read_ledger;
  guint read_min_count;
  char nonce[32];
  const char *read_service;
  TkPoint read_point;
};

struct Oracle
{
  World *world;
  Session sessions[SESSIONS];
  GPtrArray *postings;          /* Posting * */
  GHashTable *accepted_digests; /* number -> digest */
  GArray *accepted_history;     /* CountAt: time and number */
  guint64 highest_number;       /* highest accepted */
  guint outcomes[GM_KIND_COUNT];
  guint reads;
  guint writes;
  guint commits;
  guint configs;
};

static void
posting_free (gpointer data)
{
  g_free (((Posting *)data)->id);
  g_free (data);
}

Oracle *
oracle_new (World *w)
{
  Oracle *o = g_new0 (Oracle, 1);
  o->world = w;
  o->postings = g_ptr_array_new_with_free_func (posting_free);
  o->accepted_digests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  o->accepted_history = g_array_new (FALSE, FALSE, sizeof (CountAt));
  for (guint i = 0; i < SESSIONS; i++)
    {
      Session *s = &o->sessions[i];
      s->oracle = o;
      s->index = i;
      g_snprintf (s->ledger, sizeof s->ledger, "ledger%u", i);
      s->token = tk_session_new ();
      s->acknowledged_history = g_array_new (FALSE, FALSE, sizeof (CountAt));
    }
  return o;
}

void
oracle_free (Oracle *o)
{
  for (guint i = 0; i < SESSIONS; i++)
    {
      tk_session_free (o->sessions[i].token);
      g_array_unref (o->sessions[i].acknowledged_history);
      g_free (o->sessions[i].transaction);
    }
  g_ptr_array_unref (o->postings);
  g_hash_table_unref (o->accepted_digests);
  g_array_unref (o->accepted_history);
  g_free (o);
}

/* Returns the index of a host that is alive, or HOSTS if there is none.  */
static guint
pick_host (const World *w, GmRandom *r)
{
  guint start = (guint)gm_random_below (r, HOSTS);
  for (guint i = 0; i < HOSTS; i++)
    if (world_host_alive (w, (start + i) % HOSTS))
      return (start + i) % HOSTS;
  return HOSTS;
}

/* Returns the position in the session's token after printing and parsing the
   token, as a caller's round trip does.  A damaged token is not TRUSTED.  */
static TkPoint
token_point (const Session *s, gboolean *trusted)
{
  g_autofree char *text = tk_session_serialize (s->token, KEY);
  if (s->token_damaged)
    text[strlen (text) / 2] ^= 1;
  g_autoptr (TkSession) parsed = tk_session_parse (text, KEY, NULL);
  *trusted = parsed != NULL && parsed->group_points->len > 0;
  return *trusted ? tk_session_point (parsed, GROUP) : (TkPoint){ 0, 0 };
}

static void
send_request (Session *s, guint host, DpOperation operation,
              const char *service, const char *id, const char *first,
              const char *second, GmTime timeout, RequestCallback end)
{
  gboolean trusted;
  TkPoint point = token_point (s, &trusted);
  const char *params[] = { first, second };
  g_autoptr (GBytes) block = wm_strings_encode (params, 2);
  gboolean inside = operation == DP_STATEMENT || operation == DP_COMMIT
                    || operation == DP_ROLLBACK;
  WmMessage exec
      = { .type = WM_TYPE_EXEC,
          .exec
          = { .operation = operation,
              .service = (char *)service,
              .group = (char *)GROUP,
              .request_id = (char *)(id != NULL ? id : ""),
              .statement = (char *)(operation == DP_READ ? "sum" : "append"),
              .params = block,
              .session = trusted ? 1 : 0,
              .token_term = point.term,
              .token_position = point.position } };
  s->request_pending = TRUE;
  world_request (s->oracle->world, host, &exec, inside ? s->transaction : NULL,
                 timeout, end, s);
}

static Posting *
new_posting (Session *s, guint postings)
{
  Oracle *o = s->oracle;
  Posting *p = g_new0 (Posting, 1);
  p->id = g_strdup_printf ("r%u-%u", s->index, o->postings->len);
  p->session = s->index;
  p->postings = postings;
  g_ptr_array_add (o->postings, p);
  s->posting = p;
  return p;
}

/* Returns the number of databases whose log holds request ID.  */
static guint
copies_with (World *w, const char *id)
{
  guint copies = 0;
  for (guint d = 0; d < DATABASES; d++)
    {
      StEntry entry;
      StStore *store = world_store (w, d);
      guint64 end, term;
      st_last_entry (store, &end, &term);
      gboolean found = FALSE;
      for (guint64 i = end; !found && i > 0 && st_entry (store, i, &entry);
           i--)
        {
          gsize length;
          const char *data = g_bytes_get_data (entry.changes, &length);
          found = length > 0 && memmem (data, length, id, strlen (id)) != NULL;
        }
      copies += found ? 1 : 0;
    }
  return copies;
}

static void
acknowledge (Session *s, Posting *p)
{
  World *w = s->oracle->world;
  s->acknowledged += p->postings;
  s->min_counts[s->index] = MAX (s->min_counts[s->index], s->acknowledged);
  CountAt mark = { w->now, s->acknowledged };
  g_array_append_val (s->acknowledged_history, mark);
  w->checked++;
  /* A failover may lose a write that no majority of databases holds.  */
  if (copies_with (w, p->id) < DATABASES / 2 + 1)
    world_violation (w, "acknowledged without a majority of copies: %s",
                     p->id);
}

static void
end_posting (Session *s, const RequestResult *ending)
{
  Posting *p = s->posting;
  s->posting = NULL;
  p->outcome = ending->kind;
  p->ended = TRUE;
  s->oracle->outcomes[ending->kind]++;
  if (ending->kind == GM_OK)
    {
      tk_session_raise (s->token, GROUP, ending->seen);
      acknowledge (s, p);
    }
  else if (gm_kind_ran (ending->kind) != GM_RAN_NO)
    s->maybe_applied += p->postings;
}

static void
write_ended (World *w, const RequestResult *ending, gpointer data)
{
  (void)w;
  Session *s = data;
  s->request_pending = FALSE;
  s->oracle->writes++;
  end_posting (s, ending);
}

static void
start_write (Session *s, guint host, GmRandom *r)
{
  Posting *p = new_posting (s, 1);
  const char *service = gm_random_below (r, 3) == 0 ? "repeatable" : "post";
  send_request (s, host, DP_WRITE, service, p->id, s->ledger, p->id,
                WRITE_DEADLINE, write_ended);
}

static void
commit_ended (World *w, const RequestResult *ending, gpointer data)
{
  (void)w;
  Session *s = data;
  s->request_pending = FALSE;
  s->oracle->commits++;
  g_clear_pointer (&s->transaction, g_free);
  end_posting (s, ending);
}

static void
rollback_ended (World *w, const RequestResult *ending, gpointer data)
{
  (void)w;
  (void)ending;
  Session *s = data;
  s->request_pending = FALSE;
  g_clear_pointer (&s->transaction, g_free);
}

static void
statement_ended (World *w, const RequestResult *ending, gpointer data)
{
  (void)w;
  Session *s = data;
  s->request_pending = FALSE;
  if (ending->kind == GM_OK)
    s->statements++;
  else
    g_clear_pointer (&s->transaction, g_free);
}

static void
begin_ended (World *w, const RequestResult *ending, gpointer data)
{
  (void)w;
  Session *s = data;
  s->request_pending = FALSE;
  s->statements = 0;
  if (ending->kind == GM_OK)
    s->transaction = g_strdup (ending->transaction);
}

/* Sends a further statement, the commit or a rollback of the open
   transaction.  */
static void
continue_transaction (Session *s, guint host, GmRandom *r)
{
  g_autofree char *tag
      = g_strdup_printf ("r%u-%u", s->index, s->oracle->postings->len);
  guint64 choice = gm_random_below (r, 8);
  if (choice == 0)
    send_request (s, host, DP_ROLLBACK, "post", NULL, NULL, NULL,
                  WRITE_DEADLINE, rollback_ended);
  else if (s->statements >= 2 && choice < 6)
    {
      /* Only the commit carries a request id; the statements have none.  */
      Posting *p = new_posting (s, s->statements);
      send_request (s, host, DP_COMMIT, "post", p->id, NULL, NULL,
                    WRITE_DEADLINE, commit_ended);
    }
  else
    send_request (s, host, DP_STATEMENT, "post", NULL, s->ledger, s->ledger,
                  WRITE_DEADLINE, statement_ended);
}

/* Returns the number of postings of S acknowledged at or before AT.  */
static guint
acknowledged_at (const Session *s, GmTime at)
{
  guint count = 0;
  for (guint i = s->acknowledged_history->len; i-- > 0;)
    {
      const CountAt *mark
          = &g_array_index (s->acknowledged_history, CountAt, i);
      if (mark->at > at)
        continue;
      count = mark->count;
      break;
    }
  return count;
}

static void
read_ended (World *w, const RequestResult *ending, gpointer data)
{
  Session *s = data;
  Oracle *o = s->oracle;
  s->request_pending = FALSE;
  o->outcomes[ending->kind]++;
  if (ending->kind != GM_OK)
    return;
  o->reads++;
  w->checked++;
  g_autoptr (GPtrArray) strings = wm_strings_decode (ending->rows);
  if (strings == NULL || strings->len != 5
      || strcmp (g_ptr_array_index (strings, 3), s->nonce) != 0)
    {
      world_violation (
          w, "answer: session %u received another session's answer", s->index);
      return;
    }
  guint count = (guint)atoi (g_ptr_array_index (strings, 4));
  const Session *owner = &o->sessions[s->read_ledger];
  if (count < s->read_min_count)
    world_violation (w,
                     "read: session %u reads %u of %s, knows %u (service %s, "
                     "answered by %s, token %u/%u, seen %u/%u)",
                     s->index, count, owner->ledger, s->read_min_count,
                     s->read_service, ending->database,
                     (guint)s->read_point.term, (guint)s->read_point.position,
                     (guint)ending->seen.term, (guint)ending->seen.position);
  guint most = owner->acknowledged + owner->maybe_applied
               + (owner->posting != NULL ? owner->posting->postings : 0);
  if (count > most)
    world_violation (w, "once: %s shows %u postings of at most %u",
                     owner->ledger, count, most);
  s->min_counts[s->read_ledger] = MAX (s->min_counts[s->read_ledger], count);
  tk_session_raise (s->token, GROUP, ending->seen);
  s->token_damaged = FALSE;
}

static void
start_read (Session *s, guint host, GmRandom *r)
{
  static const char *const services[] = { "session", "aged", "fresh" };
  Oracle *o = s->oracle;
  guint kind = (guint)gm_random_below (r, 3);
  guint ledger = gm_random_below (r, 2) == 0
                     ? s->index
                     : (guint)gm_random_below (r, SESSIONS);
  const Session *owner = &o->sessions[ledger];
  GmTime now = o->world->now;
  /* The server ignores a damaged token, as if the session were new.  */
  s->token_damaged = gm_random_below (r, 20) == 0;
  if (s->token_damaged)
    memset (s->min_counts, 0, sizeof s->min_counts);
  s->read_ledger = ledger;
  s->read_min_count = s->min_counts[ledger];
  if (kind == 1)
    s->read_min_count
        = MAX (s->read_min_count, acknowledged_at (owner, now - AGED_MAX_AGE));
  if (kind == 2)
    s->read_min_count = MAX (s->read_min_count, acknowledged_at (owner, now));
  s->read_service = services[kind];
  s->read_point = tk_session_point (s->token, GROUP);
  g_snprintf (s->nonce, sizeof s->nonce, "n%u-%" G_GUINT64_FORMAT, s->index,
              gm_random_next (r) % 1000000);
  send_request (s, host, DP_READ, services[kind], NULL, owner->ledger,
                s->nonce, WRITE_DEADLINE, read_ended);
}

/* Handles the answer to an outcome lookup.  */
static void
outcome_ended (World *w, const RequestResult *ending, gpointer data)
{
  (void)w;
  Session *s = data;
  Posting *p = s->posting;
  s->request_pending = FALSE;
  s->posting = NULL;
  if (ending->kind != GM_OK)
    return;
  tk_session_raise (s->token, GROUP, ending->seen);
  p->outcome = GM_OK;
  s->maybe_applied -= p->postings;
  acknowledge (s, p);
}

static gboolean
ask_outcome (Session *s, guint host)
{
  Oracle *o = s->oracle;
  for (guint i = o->postings->len; i-- > 0;)
    {
      Posting *p = g_ptr_array_index (o->postings, i);
      if (p->session != s->index || !p->ended || p->outcome_queried
          || gm_kind_ran (p->outcome) != GM_RAN_MAYBE)
        continue;
      p->outcome_queried = TRUE;
      s->posting = p;
      send_request (s, host, DP_OUTCOME, "post", p->id, NULL, NULL,
                    WRITE_DEADLINE, outcome_ended);
      return TRUE;
    }
  return FALSE;
}

void
oracle_session_step (Oracle *o, guint index, GmRandom *r)
{
  Session *s = &o->sessions[index];
  guint host = pick_host (o->world, r);
  guint64 choice = gm_random_below (r, 20);
  if (s->request_pending || host == HOSTS)
    return;
  if (s->transaction != NULL)
    continue_transaction (s, host, r);
  else if (choice < 8)
    start_write (s, host, r);
  else if (choice < 10)
    send_request (s, host, DP_BEGIN, "post", NULL, NULL, NULL, WRITE_DEADLINE,
                  begin_ended);
  else if (choice > 10 || !ask_outcome (s, host))
    start_read (s, host, r);
}

static char *
declaration (guint64 number, guint64 flavour)
{
  return g_strdup_printf (
      "{\"number\": %" G_GUINT64_FORMAT ", // flavour %" G_GUINT64_FORMAT "\n"
      "\"groups\": [{\"name\": \"" GROUP "\"}], \"services\": ["
      "{\"name\": \"post\", \"depends_on\": [\"" GROUP "\"], \"rank\": "
      "\"urgent\", \"deadline_ms\": 1500},"
      "{\"name\": \"repeatable\", \"depends_on\": [\"" GROUP "\"], \"rank\": "
      "\"bulk\", \"deadline_ms\": 1500, \"repeatable\": true},"
      "{\"name\": \"session\", \"depends_on\": [\"" GROUP "\"], \"rank\": "
      "\"routine\", \"deadline_ms\": 1500},"
      "{\"name\": \"aged\", \"depends_on\": [\"" GROUP "\"], \"rank\": "
      "\"bulk\", \"deadline_ms\": 1500, \"max_age_ms\": 600},"
      "{\"name\": \"fresh\", \"depends_on\": [\"" GROUP "\"], \"rank\": "
      "\"urgent\", \"deadline_ms\": 1500, \"max_age_ms\": 0}]}",
      number, flavour);
}

/* A configuration that was submitted and not answered yet.  */
typedef struct
{
  Oracle *oracle;
  guint64 number;
  char *digest;
} Submission;

static void
submission_ended (World *w, GmKind kind, const char *message, gpointer data)
{
  Submission *sub = data;
  Oracle *o = sub->oracle;
  const char *known = g_hash_table_lookup (o->accepted_digests, &sub->number);
  if (kind == GM_OK)
    {
      w->checked++;
      if (known != NULL && strcmp (known, sub->digest) != 0)
        world_violation (w, "configuration: number %u accepted twice",
                         (guint)sub->number);
      if (known == NULL)
        {
          CountAt mark = { w->now, (guint)sub->number };
          g_array_append_val (o->accepted_history, mark);
          g_hash_table_insert (o->accepted_digests,
                               g_memdup2 (&sub->number, sizeof sub->number),
                               g_strdup (sub->digest));
        }
      o->highest_number = MAX (o->highest_number, sub->number);
      o->configs++;
    }
  else if (kind == GM_CONFLICT && known != NULL
           && strcmp (known, sub->digest) == 0)
    world_violation (w, "configuration: resent number %u refused: %s",
                     (guint)sub->number, message);
  g_free (sub->digest);
  g_free (sub);
}

static void
submit (Oracle *o, guint host, guint64 number, guint64 flavour)
{
  g_autofree char *text = declaration (number, flavour);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  Submission *sub = g_new0 (Submission, 1);
  sub->oracle = o;
  sub->number = number;
  sub->digest = cs_digest (text, strlen (text));
  GmStatus status;
  g_autoptr (CfDeclaration) parsed
      = cf_declaration_parse_cached (bytes, &status);
  g_autoptr (GBytes) groups = cs_group_names (parsed);
  WmMessage command = { .type = WM_TYPE_CMD_CONFIG,
                        .cmd_config = { .number = number,
                                        .digest = sub->digest,
                                        .text = bytes,
                                        .who = (char *)"fuzz",
                                        .groups = groups } };
  g_autoptr (GBytes) block = wm_encode (&command);
  WmMessage m = { .type = WM_TYPE_PROPOSE, .propose = { .command = block } };
  world_operator_request (o->world, host, &m, submission_ended, sub);
}

gboolean
oracle_configure (Oracle *o)
{
  if (o->highest_number == 0 && world_host_works (o->world, 0))
    submit (o, 0, 1, 0);
  return o->highest_number > 0;
}

void
oracle_operator_step (Oracle *o, GmRandom *r)
{
  guint host = pick_host (o->world, r);
  guint64 choice = gm_random_below (r, 4);
  guint64 flavour = gm_random_below (r, 2);
  if (host == HOSTS)
    return;
  if (choice == 0 && o->highest_number > 0)
    submit (o, host, 1 + gm_random_below (r, o->highest_number), flavour);
  else
    submit (o, host, o->highest_number + 1, flavour);
  /* Two operators submit different configurations under one number.  */
  if (choice == 1)
    submit (o, (host + 1) % HOSTS, o->highest_number + 1, 1 - flavour);
}

static void
check_configuration (Oracle *o, guint h)
{
  World *w = o->world;
  if (!world_host_works (w, h) || !world_is_fresh (w, h))
    return;
  guint64 held = world_state (w, h)->history->len;
  for (guint i = o->accepted_history->len; i-- > 0;)
    {
      const CountAt *mark = &g_array_index (o->accepted_history, CountAt, i);
      if (mark->at + LEASE >= w->now)
        continue;
      if (held < mark->count)
        world_violation (w,
                         "configuration: host%u serves with %u, %u was "
                         "accepted",
                         h, (guint)held, mark->count);
      break;
    }
}

void
oracle_check (Oracle *o)
{
  for (guint h = 0; h < HOSTS; h++)
    check_configuration (o, h);
}

/* Returns how often each request id occurs in the final log, and checks that
   no log entry combines the postings of two requests.  */
static GHashTable *
count_requests (Oracle *o, int primary)
{
  World *w = o->world;
  GHashTable *found
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  StEntry entry;
  for (guint64 i = 1; st_entry (world_store (w, (guint)primary), i, &entry);
       i++)
    {
      g_autoptr (GPtrArray) parts = wm_strings_decode (entry.changes);
      const char *ledger = NULL;
      guint requests = 0;
      for (guint k = 0; parts != NULL && k + 2 < parts->len; k += 3)
        {
          const char *operation = g_ptr_array_index (parts, k);
          const char *key = g_ptr_array_index (parts, k + 1);
          if (strcmp (operation, "request") == 0)
            {
              guint n = GPOINTER_TO_UINT (g_hash_table_lookup (found, key));
              g_hash_table_replace (found, g_strdup (key),
                                    GUINT_TO_POINTER (n + 1));
              requests++;
            }
          else if (strcmp (operation, "append") == 0)
            {
              if (ledger != NULL && strcmp (ledger, key) != 0)
                world_violation (w, "mixed: %s and %s in one entry", ledger,
                                 key);
              ledger = key;
            }
        }
      if (requests > 1 || (ledger != NULL && requests == 0))
        world_violation (w, "mixed: an entry of %u requests", requests);
    }
  return found;
}

static void
check_posting (Oracle *o, GHashTable *found, const Posting *p)
{
  World *w = o->world;
  guint times = GPOINTER_TO_UINT (g_hash_table_lookup (found, p->id));
  w->checked++;
  if (times > 1)
    world_violation (w, "once: %s ran %u times", p->id, times);
  if (p->ended && p->outcome == GM_OK && times == 0)
    world_violation (w, "lost: %s was acknowledged and is not in the log",
                     p->id);
  if (p->ended && gm_kind_ran (p->outcome) == GM_RAN_NO && times > 0)
    world_violation (w, "not run: %s was answered %s and ran", p->id,
                     gm_kind_text (p->outcome));
}

void
oracle_final (Oracle *o)
{
  World *w = o->world;
  int primary = world_primary (w);
  if (primary < 0 || !st_is_primary (world_store (w, (guint)primary)))
    {
      world_violation (w, "progress: no primary after all faults ended");
      return;
    }
  g_autoptr (GHashTable) found = count_requests (o, primary);
  for (guint i = 0; i < o->postings->len; i++)
    check_posting (o, found, g_ptr_array_index (o->postings, i));
  for (guint h = 0; h < HOSTS; h++)
    if (!world_is_fresh (w, h))
      world_violation (w, "progress: host%u has no fresh control state", h);
}

void
oracle_print (const Oracle *o, GString *out)
{
  g_string_append_printf (out, "reads=%u writes=%u commits=%u configs=%u",
                          o->reads, o->writes, o->commits, o->configs);
  for (int i = 0; i < GM_KIND_COUNT; i++)
    if (o->outcomes[i] > 0)
      g_string_append_printf (out, " %s=%u", gm_kind_text ((GmKind)i),
                              o->outcomes[i]);
}
