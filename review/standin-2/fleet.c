/* Stand-ins for the scripts of this review.

   fleet serve RECORD IP PORT WORK-MS BEAT-MS CONTROL...
     A platform that carries out promotions at IP:PORT, a port for commands at
     PORT + 1, and a service "stock" of three databases at PORT + 2 to
     PORT + 4; a fourth, at PORT + 5, starts when it is told to.  Databases
     announce themselves to the CONTROL addresses.
   fleet load RECORD ENTRY-IP PORT DATABASE SESSIONS STOP-MS PID TERM-MS
     Sessions that send one READ after the other, for STOP-MS in all.  TERM-MS
     after the start, PID gets SIGTERM; 0: it gets none.

   Both append what was sent, run and answered to RECORD.  */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define COPIES 4
#define COPIES_AT_FIRST 3
#define SLOTS 2
#define CONNS_MAX 900
#define BUFFER 16384
#define LOG_MAX 20000
#define WORD 64
#define PROMOTE_MS 300
#define HANDSHAKE_MS 27
#define GROUP "stock"
#define NEVER (1LL << 60)

static int record_fd;

static long long
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void
write_note (const char *text)
{
  char line[512];
  int n = snprintf (line, sizeof line - 1, "%lld %s", now_ms (), text);
  if (n > (int)sizeof line - 2)
    n = (int)sizeof line - 2;
  line[n++] = '\n';
  if (write (record_fd, line, (size_t)n) < 0)
    exit (2);
}

/* Appends a line to the record.  */
#define note(...)                                                             \
  do                                                                          \
    {                                                                         \
      char note_text[400];                                                    \
      snprintf (note_text, sizeof note_text, __VA_ARGS__);                    \
      write_note (note_text);                                                 \
    }                                                                         \
  while (0)

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  a.sin_port = htons ((unsigned short)port);
  if (inet_pton (AF_INET, ip, &a.sin_addr) != 1)
    exit (2);
  return a;
}

static int
connect_to (const char *ip, int port)
{
  struct sockaddr_in a = address_of (ip, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&a, sizeof a) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
listen_at (const char *ip, int port)
{
  struct sockaddr_in a = address_of (ip, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0
      || listen (fd, 256) != 0)
    {
      perror ("listen");
      exit (2);
    }
  return fd;
}

/* Cuts the next word off *AT; "" at the end.  */
static char *
next_word (char **at)
{
  char *start = *at;
  char *blank = strchr (start, ' ');
  if (blank != NULL)
    {
      *blank = '\0';
      *at = blank + 1;
    }
  else
    *at = start + strlen (start);
  return start;
}

/* The platform and its databases.  */

typedef struct
{
  long long term;
  int writes;
  char id[WORD]; /* of the commit, or of the single write */
  char item[12][WORD];
  char data[12][WORD];
} Commit;

typedef struct
{
  char id[WORD];
  int up, primary, deaf, draining;
  long long term, sealed, born, sequence, next_beat;
  Commit **log; /* shared entries; number n is at n - 1 */
  int length;
  int busy;  /* slots */
  int lossy; /* so many of a hundred answers are lost of what takes a slot */
} Database;

typedef enum
{
  SESSION,
  HTTP,
  COMMAND,
  BEAT
} Kind;

typedef struct
{
  int fd;
  Kind kind;
  Database *db;
  char in[BUFFER];
  size_t in_len;
  char out[BUFFER];
  size_t out_len;
  int started, running, waiting_ack;
  long long done_at; /* of the job in a slot; 0: it waits for a slot */
  long long asked_at;
  char job[1024];
  char state;
  int read_only;
  Commit *open; /* of the transaction */
  char prepared[64][2][WORD];
  int prepared_count;
  int tries; /* of a BEAT */
  long long expires;
} Conn;

static Database dbs[COPIES];
static Conn *conns[CONNS_MAX];
static int listeners[2 + COPIES];
static const char *server_ip;
static int server_port, work_ms, beat_ms, control_count;
static char **controls;
static long long newest_term = 1, fence;
static char acked[LOG_MAX][WORD];
static int acked_count;
static struct
{
  long long at, token;
  Database *db;
} orders[256];
static int order_count;

static void
conn_close (int i)
{
  Conn *c = conns[i];
  if (c->kind == SESSION && c->running && c->done_at > 0)
    c->db->busy--;
  free (c->open);
  close (c->fd);
  free (c);
  conns[i] = NULL;
}

static Conn *
conn_new (int fd, Kind kind, Database *db)
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i] == NULL)
      {
        Conn *c = calloc (1, sizeof *c);
        if (c == NULL)
          exit (2);
        c->fd = fd;
        c->kind = kind;
        c->db = db;
        c->state = 'I';
        c->expires = NEVER;
        conns[i] = c;
        return c;
      }
  close (fd);
  return NULL;
}

static void
put_text (Conn *c, const char *text)
{
  size_t length = strlen (text);
  if (c->out_len + length >= BUFFER)
    return;
  memcpy (c->out + c->out_len, text, length);
  c->out_len += length;
}

/* Queues text for the peer of C.  */
#define put(c, ...)                                                           \
  do                                                                          \
    {                                                                         \
      char put_buffer[2048];                                                  \
      snprintf (put_buffer, sizeof put_buffer, __VA_ARGS__);                  \
      put_text (c, put_buffer);                                               \
    }                                                                         \
  while (0)

/* Drops what was put since the length BEFORE, at times.  */
static void
lose_some (Conn *c, size_t before)
{
  if (c->db == NULL || c->db->lossy == 0 || c->out_len == before
      || rand () % 100 >= c->db->lossy)
    return;
  c->out_len = before;
  note ("lost an answer of %s%s", c->db->id, c->started ? "" : " to START");
}

static void
put_ready (Conn *c)
{
  const Database *d = c->db;
  if (d->length == 0)
    put (c, "READY %c -\r\n", c->state);
  else
    put (c, "READY %c %lld.%d\r\n", c->state, d->log[d->length - 1]->term,
         d->length);
}

static void
put_done (Conn *c, const char *id)
{
  if (strcmp (id, "-") == 0)
    put (c, "DONE -\r\n");
  else
    put (c, "DONE proof.%s\r\n", id);
  put_ready (c);
}

static void
put_error (Conn *c, const char *code)
{
  if (c->state == 'T')
    c->state = 'E';
  put (c, "ERR %s %s\r\n", code, c->db->id);
  put_ready (c);
}

static int
has_commit (const Database *d, const char *id)
{
  for (int i = d->length; i-- > 0;)
    if (strcmp (d->log[i]->id, id) == 0)
      return 1;
  return 0;
}

static void
acknowledge (const char *id, const Database *d)
{
  note ("acknowledged %s by %s at %lld.%d", id, d->id,
        d->log[d->length - 1]->term, d->length);
  if (acked_count < LOG_MAX)
    snprintf (acked[acked_count++], WORD, "%s", id);
}

static int
can_receive (const Database *d, const Database *from)
{
  return d != from && d->up && !d->primary && !d->deaf && from->term >= d->term
         && from->term >= d->sealed;
}

static void
copy_log (Database *d, const Database *from)
{
  int same = 0;
  while (same < d->length && same < from->length
         && d->log[same] == from->log[same])
    same++;
  for (int i = same; i < from->length; i++)
    d->log[i] = from->log[i];
  d->length = from->length;
  d->term = from->term;
}

static int
leads (const Database *d)
{
  return d->up && d->primary && d->term == newest_term;
}

/* Lets the replicas receive.  Returns how many hold all of FROM's log.  */
static int
replicate (const Database *from)
{
  int count = 0;
  for (int i = 0; leads (from) && i < COPIES; i++)
    if (can_receive (&dbs[i], from))
      {
        copy_log (&dbs[i], from);
        count++;
      }
  return count;
}

static void
run_read (Conn *c, const char *id, const char *item)
{
  const Database *d = c->db;
  const char *value = "none";
  for (int i = d->length; i-- > 0 && strcmp (value, "none") == 0;)
    for (int w = d->log[i]->writes; w-- > 0;)
      if (strcmp (d->log[i]->item[w], item) == 0)
        {
          value = d->log[i]->data[w];
          break;
        }
  put (c, "ROW %s\r\n", value);
  put_done (c, id);
}

static void
add_write (Commit *commit, const char *item, const char *data)
{
  if (commit->writes == 12)
    return;
  snprintf (commit->item[commit->writes], WORD, "%s", item);
  snprintf (commit->data[commit->writes], WORD, "%s", data);
  commit->writes++;
}

/* Commits; the answer waits until a replica has received.  */
static void
commit (Conn *c, const char *id)
{
  Database *d = c->db;
  Commit *entry = c->open;
  c->open = NULL;
  c->state = 'I';
  if (entry == NULL || entry->writes == 0 || d->length == LOG_MAX)
    {
      free (entry);
      put_done (c, id);
      return;
    }
  entry->term = d->term;
  snprintf (entry->id, WORD, "%s", id);
  d->log[d->length++] = entry;
  c->waiting_ack = d->length;
}

/* Runs the job of C, which has had its time in a slot.  */
static void
finish_job (Conn *c)
{
  char *at = c->job;
  const char *id = next_word (&at);
  const char *verb = next_word (&at);
  Database *d = c->db;
  c->running = 0;
  c->done_at = 0;
  if (!c->started)
    {
      put_ready (c);
      return;
    }
  note ("ran %s %s %s at %s", id, verb, at, d->id);
  if (c->state == 'T' && !c->read_only && !leads (d)
      && !(strcmp (verb, "COMMIT") == 0 && c->open == NULL))
    put_error (c, "READONLY");
  else if (strcmp (verb, "READ") == 0)
    run_read (c, id, at);
  else if (strcmp (verb, "COMMIT") == 0)
    commit (c, id);
  else if (!leads (d))
    put_error (c, "READONLY");
  else
    {
      const char *item = next_word (&at);
      if (c->open == NULL && (c->open = calloc (1, sizeof *c->open)) == NULL)
        exit (2);
      add_write (c->open, item, at);
      if (c->state == 'T')
        put_done (c, id);
      else
        commit (c, id);
    }
}

static int
lacks (const Database *d, const char *after)
{
  long long term = strtoll (after, NULL, 10);
  const char *dot = strchr (after, '.');
  long number = dot != NULL ? strtol (dot + 1, NULL, 10) : 0;
  return number > d->length
         || (number > 0 && d->log[number - 1]->term != term);
}

static void
put_status (Conn *c)
{
  const Database *d = c->db;
  if (d->length > 0)
    put (c, "ROW %s %lld %lld.%d %lld 0 %d 1\r\n",
         d->primary ? "primary" : "replica", d->term,
         d->log[d->length - 1]->term, d->length, d->sealed, d->busy);
  else
    put (c, "ROW %s %lld - %lld 0 %d 1\r\n",
         d->primary ? "primary" : "replica", d->term, d->sealed, d->busy);
  put_done (c, "-");
}

/* Handles the calls and session commands that need no slot.  Returns 0 if VERB
   is none.  */
static int
run_at_once (Conn *c, const char *id, const char *verb, char *at)
{
  Database *d = c->db;
  long long term = strtoll (at, NULL, 10);
  if (strcmp (verb, "STATUS") == 0 || strcmp (verb, "PAUSE") == 0
      || strcmp (verb, "UNPAUSE") == 0 || strcmp (verb, "STEPDOWN") == 0)
    {
      if (term > 0)
        note ("%s %lld at %s", verb, term, d->id);
      if (strcmp (verb, "PAUSE") == 0 && !d->primary && term > newest_term)
        d->sealed = term;
      if (strcmp (verb, "UNPAUSE") == 0)
        d->sealed = 0;
      if (strcmp (verb, "STEPDOWN") == 0 && d->primary && d->term < term)
        d->primary = 0;
      put_status (c);
      return 1;
    }
  if (strcmp (verb, "ROLLBACK") == 0)
    {
      free (c->open);
      c->open = NULL;
      c->state = 'I';
    }
  else if (strcmp (verb, "DISCARD") == 0)
    c->prepared_count = 0;
  else if (strcmp (verb, "PREPARE") == 0 && c->prepared_count < 64)
    {
      const char *name = next_word (&at);
      snprintf (c->prepared[c->prepared_count][0], WORD, "%s", name);
      snprintf (c->prepared[c->prepared_count++][1], WORD, "%s", at);
    }
  else if (strcmp (verb, "SET") != 0)
    return 0;
  put_done (c, id);
  return 1;
}

static void
handle_query (Conn *c, char *line)
{
  char *at = line;
  const char *id = next_word (&at);
  char after[WORD] = "";
  char *verb = next_word (&at);
  if (strcmp (verb, "AFTER") == 0)
    {
      snprintf (after, sizeof after, "%s", next_word (&at));
      verb = next_word (&at);
    }
  if (run_at_once (c, id, verb, at))
    return;
  if (c->state == 'E')
    put_error (c, "MALFORMED");
  else if (strcmp (verb, "BEGIN") == 0)
    {
      c->read_only = *at != '\0';
      if (!c->read_only && !leads (c->db))
        put_error (c, "READONLY");
      else if (*after != '\0' && lacks (c->db, after))
        put_error (c, "LAGGING");
      else
        {
          c->state = 'T';
          put_done (c, id);
        }
    }
  else if (*after != '\0' && lacks (c->db, after))
    put_error (c, "LAGGING");
  else
    {
      if (strcmp (verb, "EXEC") == 0)
        {
          const char *name = next_word (&at);
          const char *shape = NULL;
          for (int i = 0; i < c->prepared_count; i++)
            if (strcmp (c->prepared[i][0], name) == 0)
              shape = c->prepared[i][1];
          if (shape == NULL)
            {
              put_error (c, "NOSTMT");
              return;
            }
          verb = strncmp (shape, "WRITE", 5) == 0 ? "WRITE" : "READ";
        }
      snprintf (c->job, sizeof c->job, "%s %s %s", id, verb, at);
      note ("received %s %s at %s", id, verb, c->db->id);
      c->running = 1;
      c->done_at = 0;
      c->asked_at = now_ms ();
    }
}

/* Handles a line of a session.  Returns 0 if the connection is to be closed.
 */
static int
handle_line (Conn *c, char *line)
{
  char *at = line;
  const char *word = next_word (&at);
  if (strcmp (word, "QUERY") == 0 && c->started)
    {
      handle_query (c, at);
      return 1;
    }
  if (strcmp (word, "START") != 0 || c->started)
    return 0;
  const char *service = next_word (&at);
  next_word (&at);
  const char *id = next_word (&at);
  if (strcmp (service, GROUP) != 0
      || (*id != '\0' && strcmp (id, c->db->id) != 0))
    {
      put (c, "ERR WRONGNODE %s\r\n", c->db->id);
      return 0;
    }
  snprintf (c->job, sizeof c->job, "START - -");
  c->running = 1;
  c->done_at = 0;
  c->asked_at = now_ms ();
  return 1;
}

static void
end_sessions (const Database *d)
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i] != NULL && conns[i]->kind == SESSION && conns[i]->db == d)
      conn_close (i);
}

static void
start_database (Database *d, int empty)
{
  d->up = 1;
  d->born = (long long)time (NULL) * 1000 + now_ms () % 1000;
  d->sequence = 0;
  d->sealed = 0;
  d->next_beat = 0;
  d->primary = !empty && d->primary && d->term == newest_term;
  if (empty)
    {
      d->length = 0;
      d->term = 0;
    }
}

static void leave (Database *d);

static void
handle_command (Conn *c, char *line)
{
  char *at = line;
  const char *what = next_word (&at);
  for (int i = 0; i < COPIES; i++)
    {
      Database *d = &dbs[i];
      if (strcmp (what, "state") == 0)
        {
          int open = 0;
          for (int k = 0; k < CONNS_MAX; k++)
            open += conns[k] != NULL && conns[k]->kind == SESSION
                            && conns[k]->db == d
                        ? 1
                        : 0;
          put (c, "%s %s %s %d, %d connections\n", d->id,
               d->up ? "up" : "down", leads (d) ? "primary" : "replica",
               d->length, open);
        }
      if (strcmp (what, "dump") == 0 && leads (d))
        for (int n = 0; n < d->length; n++)
          note ("holds %s", d->log[n]->id);
      if (strcmp (at, d->id) != 0)
        continue;
      note ("command %s %s", what, d->id);
      if (strcmp (what, "crash") == 0)
        {
          d->up = 0;
          end_sessions (d);
        }
      else if (strcmp (what, "start") == 0 || strcmp (what, "reborn") == 0)
        start_database (d, strcmp (what, "reborn") == 0);
      else if (strcmp (what, "drain") == 0)
        {
          d->draining = 1;
          d->next_beat = 0;
        }
      else if (strcmp (what, "leave") == 0)
        leave (d);
      else if (strcmp (what, "deaf") == 0 || strcmp (what, "hear") == 0)
        d->deaf = strcmp (what, "deaf") == 0;
      else if (strcmp (what, "lossy") == 0 || strcmp (what, "whole") == 0)
        d->lossy = strcmp (what, "lossy") == 0 ? 20 : 0;
      put (c, "done\n");
    }
  put (c, ".\n");
}

static const char *
header (const char *request, const char *name)
{
  const char *found = strcasestr (request, name);
  return found != NULL ? found + strlen (name) : "";
}

/* Handles a request for a promotion once it is here whole.  Returns 0 until
   then.  */
static int
handle_http (Conn *c)
{
  c->in[c->in_len] = '\0';
  const char *body = strstr (c->in, "\r\n\r\n");
  long length = strtol (header (c->in, "Content-Length:"), NULL, 10);
  if (body == NULL || strlen (body + 4) < (size_t)length)
    return 0;
  long long token
      = strtoll (header (c->in, "X-Galenamount-Fencing-Token:"), NULL, 10);
  Database *chosen = NULL;
  for (int i = 0; i < COPIES; i++)
    if (strstr (body, dbs[i].id) != NULL)
      chosen = &dbs[i];
  int good = chosen != NULL && chosen->up && token >= fence;
  note ("promotion of %s ordered, token %lld: %d",
        chosen != NULL ? chosen->id : "?", token, good ? 200 : 409);
  if (good)
    fence = token;
  if (good && !leads (chosen) && order_count < 256)
    {
      orders[order_count].at = now_ms () + PROMOTE_MS;
      orders[order_count].token = token;
      orders[order_count++].db = chosen;
    }
  put (c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
       good ? "200 OK" : "409 Conflict");
  c->in_len = 0;
  return 1;
}

/* The rule LOST: every acknowledged commit is in the log of the database that
   is promoted.  */
static void
promote (Database *chosen, long long token)
{
  if (token < fence || !chosen->up || leads (chosen))
    return;
  newest_term++;
  for (int i = 0; i < COPIES; i++)
    dbs[i].primary = 0;
  chosen->primary = 1;
  chosen->term = newest_term;
  chosen->sealed = 0;
  note ("promoted %s, log of %d, term %lld", chosen->id, chosen->length,
        newest_term);
  for (int i = 0; i < acked_count; i++)
    if (!has_commit (chosen, acked[i]))
      note ("LOST %s is not in the log of %s", acked[i], chosen->id);
  for (int i = 0; i < COPIES; i++)
    dbs[i].next_beat = 0;
}

/* Sends BODY to PATH of D at a control host, the next one for each of TRIES.
 */
static void
send_call (Database *d, int tries, const char *path, const char *body)
{
  if (tries == control_count)
    return;
  char ip[WORD];
  snprintf (ip, sizeof ip, "%s",
            controls[(d->sequence + tries) % control_count]);
  char *colon = strchr (ip, ':');
  if (colon == NULL)
    exit (2);
  *colon = '\0';
  int fd = connect_to (ip, (int)strtol (colon + 1, NULL, 10));
  Conn *c = fd >= 0 ? conn_new (fd, BEAT, d) : NULL;
  if (c == NULL)
    return;
  put (c,
       "POST /api/instances/%s/%s HTTP/1.1\r\nHost: %s\r\n"
       "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
       d->id, path, ip, strlen (body), body);
  c->tries = tries;
  c->expires = now_ms () + 1000;
}

static void
send_beat (Database *d, int tries)
{
  char body[512];
  snprintf (body, sizeof body,
            "{\"serviceName\":\"" GROUP "\",\"address\":\"%s:%d\","
            "\"zone\":\"z%d\",\"version\":\"v1\",\"capacity\":%d,"
            "\"state\":\"%s\",\"coldRemainingMs\":0,\"dbRole\":\"%s\","
            "\"sequence\":%lld,\"born\":%lld}",
            server_ip, server_port + 2 + (int)(d - dbs),
            (int)(d - dbs) % 3 + 1, SLOTS, d->draining ? "draining" : "ready",
            d->primary ? "primary" : "replica", d->sequence, d->born);
  send_call (d, tries, "heartbeat", body);
}

/* D ends, as planned: it deregisters, and its log is gone with it.  */
static void
leave (Database *d)
{
  char body[512];
  snprintf (body, sizeof body,
            "{\"serviceName\":\"" GROUP "\",\"address\":\"%s:%d\","
            "\"sequence\":%lld,\"born\":%lld}",
            server_ip, server_port + 2 + (int)(d - dbs), ++d->sequence,
            d->born);
  send_call (d, 0, "deregister", body);
  d->up = 0;
  d->draining = 0;
  d->length = 0;
  end_sessions (d);
}

/* Returns 0 if the connection C is to be closed.  */
static int
read_conn (Conn *c)
{
  ssize_t got = recv (c->fd, c->in + c->in_len, BUFFER - 1 - c->in_len, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return 1;
  if (got <= 0)
    return 0;
  c->in_len += (size_t)got;
  if (c->kind == HTTP)
    handle_http (c);
  if (c->kind == BEAT)
    {
      c->in[c->in_len] = '\0';
      if (strncmp (c->in, "HTTP/1.1 2", 10) != 0 && c->db->up)
        send_beat (c->db, c->tries + 1);
      return 0;
    }
  return 1;
}

/* Handles the lines that C has sent, up to one that takes a slot.  */
static int
handle_lines (Conn *c)
{
  char *end;
  while ((c->kind == SESSION || c->kind == COMMAND) && !c->running
         && c->waiting_ack == 0
         && (end = memchr (c->in, '\n', c->in_len)) != NULL)
    {
      char line[BUFFER];
      size_t size = (size_t)(end - c->in) + 1;
      memcpy (line, c->in, size);
      line[size - 1] = '\0';
      if (size > 1 && line[size - 2] == '\r')
        line[size - 2] = '\0';
      memmove (c->in, c->in + size, c->in_len - size);
      c->in_len -= size;
      if (c->kind == COMMAND)
        handle_command (c, line);
      else if (!handle_line (c, line))
        return 0;
    }
  return 1;
}

static int
flush_conn (Conn *c)
{
  while (c->out_len > 0)
    {
      ssize_t n = send (c->fd, c->out, c->out_len, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
        return 1;
      if (n <= 0)
        return 0;
      memmove (c->out, c->out + n, c->out_len - (size_t)n);
      c->out_len -= (size_t)n;
    }
  return 1;
}

/* Gives free slots to the jobs that have waited longest, ends jobs and answers
   commits that a replica has received.  */
static void
run_jobs (Database *d, long long now)
{
  int received = replicate (d);
  for (int i = 0; i < CONNS_MAX; i++)
    {
      Conn *c = conns[i];
      if (c == NULL || c->kind != SESSION || c->db != d)
        continue;
      if (c->running && c->done_at > 0 && now >= c->done_at)
        {
          size_t before = c->out_len;
          d->busy--;
          finish_job (c);
          lose_some (c, before);
          c->started = 1;
          received = replicate (d);
        }
      if (c->waiting_ack > 0 && received > 0 && leads (d))
        {
          const char *id = d->log[c->waiting_ack - 1]->id;
          size_t before = c->out_len;
          acknowledge (id, d);
          c->waiting_ack = 0;
          put_done (c, id);
          lose_some (c, before);
        }
    }
  while (d->busy < SLOTS)
    {
      Conn *next = NULL;
      for (int i = 0; i < CONNS_MAX; i++)
        {
          Conn *c = conns[i];
          if (c != NULL && c->kind == SESSION && c->db == d && c->running
              && c->done_at == 0
              && (next == NULL || c->asked_at < next->asked_at))
            next = c;
        }
      if (next == NULL)
        return;
      d->busy++;
      next->done_at = now + (next->started ? work_ms : HANDSHAKE_MS);
    }
}

static void
accept_all (int listener)
{
  int fd;
  while ((fd = accept4 (listeners[listener], NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (listener >= 2 && !dbs[listener - 2].up)
        close (fd);
      else
        conn_new (fd,
                  listener >= 2   ? SESSION
                  : listener == 1 ? COMMAND
                                  : HTTP,
                  listener >= 2 ? &dbs[listener - 2] : NULL);
    }
}

static void
tick (void)
{
  long long now = now_ms ();
  for (int i = 0; i < order_count; i++)
    if (now >= orders[i].at)
      {
        promote (orders[i].db, orders[i].token);
        orders[i] = orders[--order_count];
        i--;
      }
  for (int i = 0; i < COPIES; i++)
    {
      if (!dbs[i].up)
        continue;
      run_jobs (&dbs[i], now);
      if (now < dbs[i].next_beat)
        continue;
      dbs[i].next_beat = now + beat_ms;
      dbs[i].sequence++;
      send_beat (&dbs[i], 0);
    }
}

static void
serve_once (void)
{
  static struct pollfd polled[CONNS_MAX + 2 + COPIES];
  static int slots[CONNS_MAX];
  int count = 0;
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i] != NULL)
      {
        polled[count].fd = conns[i]->fd;
        polled[count].events
            = (short)(POLLIN | (conns[i]->out_len > 0 ? POLLOUT : 0));
        slots[count++] = i;
      }
  for (int i = 0; i < 2 + COPIES; i++)
    {
      polled[count + i].fd = listeners[i];
      polled[count + i].events = POLLIN;
    }
  poll (polled, (nfds_t)count + 2 + COPIES, 1);
  for (int i = 0; i < count; i++)
    {
      Conn *c = conns[slots[i]];
      if (c == NULL || c->fd != polled[i].fd)
        continue;
      int good = (polled[i].revents & (POLLIN | POLLERR | POLLHUP)) == 0
                 || read_conn (c);
      good = good && now_ms () < c->expires;
      int lines = good && handle_lines (c);
      if (!flush_conn (c) || !good || !lines)
        conn_close (slots[i]);
    }
  for (int i = 0; i < 2 + COPIES; i++)
    if ((polled[count + i].revents & POLLIN) != 0)
      accept_all (i);
  tick ();
}

static int
serve (int count, char **words)
{
  if (count < 6)
    return 2;
  srand ((unsigned)(time (NULL) ^ getpid ()));
  server_ip = words[0];
  server_port = (int)strtol (words[1], NULL, 10);
  work_ms = (int)strtol (words[2], NULL, 10);
  beat_ms = (int)strtol (words[3], NULL, 10);
  controls = words + 4;
  control_count = count - 4;
  for (int i = 0; i < 2 + COPIES; i++)
    listeners[i] = listen_at (server_ip, server_port + i);
  Commit *first = calloc (1, sizeof *first);
  for (int i = 0; i < COPIES; i++)
    {
      Database *d = &dbs[i];
      snprintf (d->id, sizeof d->id, "db%d", i + 1);
      d->log = calloc (LOG_MAX, sizeof *d->log);
      if (first == NULL || d->log == NULL)
        return 2;
      first->term = 1;
      d->log[0] = first;
      d->length = 1;
      d->primary = i == 0;
      d->term = 1;
      if (i < COPIES_AT_FIRST)
        start_database (d, 0);
    }
  for (;;)
    serve_once ();
}

/* The sessions of the load.  */

typedef struct
{
  int fd; /* -1: closed */
  int asked;
  long long sent_at, next_at; /* 0: nothing is to be sent now */
  char id[WORD];
  char in[BUFFER];
  size_t in_len;
} Session;

static void
session_send (Session *s, const char *line)
{
  if (send (s->fd, line, strlen (line), MSG_NOSIGNAL) < 0)
    note ("can't send %s", s->id);
  s->sent_at = now_ms ();
}

static void
session_ask (Session *s, int number)
{
  char line[256];
  snprintf (s->id, sizeof s->id, "r%d-%d-%d", (int)getpid (), number,
            ++s->asked);
  s->next_at = 0;
  snprintf (line, sizeof line, "QUERY %s READ a\r\n", s->id);
  note ("sent %s", s->id);
  session_send (s, line);
}

/* Reads what has come for S.  Returns whether a whole answer is there.  */
static int
session_read (Session *s, long long began)
{
  ssize_t got = recv (s->fd, s->in + s->in_len, BUFFER - 1 - s->in_len, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return 0;
  if (got <= 0)
    {
      note ("closed %s %lld ms after it was sent, %lld ms after the start",
            s->id, now_ms () - s->sent_at, now_ms () - began);
      close (s->fd);
      s->fd = -1;
      s->next_at = now_ms () + 200;
      return 0;
    }
  s->in_len += (size_t)got;
  s->in[s->in_len] = '\0';
  const char *ready = strstr (s->in, "READY ");
  return ready != NULL && strstr (ready, "\r\n") != NULL;
}

static void
session_open (Session *s, const char *ip, int port, const char *database)
{
  char line[256];
  s->fd = connect_to (ip, port);
  s->next_at = 0;
  s->in_len = 0;
  snprintf (s->id, sizeof s->id, "START");
  snprintf (line, sizeof line, "START %s client\r\n", database);
  struct pollfd up = { s->fd, POLLOUT, 0 };
  if (s->fd >= 0 && poll (&up, 1, 200) == 1)
    session_send (s, line);
}

/* A whole answer for S is there.  After a refusal, S waits before it asks
   again.  */
static void
session_answered (Session *s, int number)
{
  int good = strstr (s->in, "DONE ") != NULL;
  s->in[strcspn (s->in, "\r\n")] = '\0';
  if (strcmp (s->id, "START") != 0)
    note ("answered %s %s %.60s", s->id, good ? "served" : "refused", s->in);
  s->in_len = 0;
  if (good || strcmp (s->id, "START") == 0)
    session_ask (s, number);
  else
    s->next_at = now_ms () + 100;
}

static int
load (int count, char **words)
{
  if (count != 7)
    return 2;
  int port = (int)strtol (words[1], NULL, 10);
  int sessions = (int)strtol (words[3], NULL, 10);
  long long began = now_ms ();
  long long end = began + strtoll (words[4], NULL, 10);
  int pid = (int)strtol (words[5], NULL, 10);
  long long term_ms = strtoll (words[6], NULL, 10);
  int reopens = term_ms == 0;
  struct pollfd *polled = calloc ((size_t)sessions, sizeof *polled);
  Session *all = calloc ((size_t)sessions, sizeof *all);
  if (all == NULL || polled == NULL)
    return 2;
  for (int i = 0; i < sessions; i++)
    session_open (&all[i], words[0], port, words[2]);
  while (now_ms () < end)
    {
      if (term_ms > 0 && now_ms () >= began + term_ms)
        {
          note ("SIGTERM");
          kill (pid, SIGTERM);
          term_ms = 0;
        }
      for (int i = 0; i < sessions; i++)
        {
          Session *s = &all[i];
          int due = s->next_at != 0 && now_ms () >= s->next_at;
          if (s->fd < 0 && reopens && due)
            session_open (s, words[0], port, words[2]);
          else if (s->fd >= 0 && due)
            session_ask (s, i);
          polled[i].fd = s->fd;
          polled[i].events = POLLIN;
        }
      poll (polled, (nfds_t)sessions, 1);
      for (int i = 0; i < sessions; i++)
        if (all[i].fd >= 0 && polled[i].revents != 0
            && session_read (&all[i], began))
          session_answered (&all[i], i);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  if (argc < 4)
    return 2;
  record_fd = open (argv[2], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (record_fd < 0)
    return 2;
  if (strcmp (argv[1], "serve") == 0)
    return serve (argc - 3, argv + 3);
  return load (argc - 3, argv + 3);
}
