/* Numbered log events, written through log4c, and the process's counters.

   A log line is one JSON object: time, level, event, name, text, and id where
   it is about a request.  Lines are written within a budget of bytes a second
   and never waited for; those that are dropped are counted in a line of their
   own.

   Both lists are closed and kept once.  docs/EVENTS.md is checked against
   GM_EVENTS by the tests.  Not thread-safe: one main context per process.  */
#pragma once
#include <glib.h>

/* name, number, level, summary  */
#define GM_EVENTS(X)                                                          \
  X (STARTED, 100, INFO, "a process started")                                 \
  X (STOPPED, 101, INFO, "a process stopped after its drain")                 \
  X (DRAINING, 102, INFO, "a stop was asked for; no new work is taken")       \
  X (SETTINGS_REFUSED, 103, ERROR, "the settings file was refused")           \
  X (LISTEN_FAILED, 104, ERROR, "a listening address could not be opened")    \
  X (SETTINGS_CHANGED, 105, NOTICE, "the settings file changed")              \
  X (LOG_DROPPED, 106, WARN, "log lines were dropped")                        \
  X (LINK_UP, 200, INFO, "a link to another host is up")                      \
  X (LINK_DOWN, 201, WARN, "a link to another host closed")                   \
  X (LINK_GARBAGE, 202, WARN, "a link was closed for a bad frame")            \
  X (LINK_REFUSED, 203, WARN, "a link was refused: wrong key or version")     \
  X (HOST_SILENT, 204, WARN, "a host with pools does not answer")             \
  X (TRAFFIC, 205, INFO, "what this process sent and received of late")       \
  X (LEADER, 300, NOTICE, "this control host became leader")                  \
  X (NOT_LEADER, 301, NOTICE, "this control host is leader no longer")        \
  X (DISK_STOPPED, 302, ERROR, "the control log stopped: disk fault")         \
  X (TAIL_CUT, 303, WARN, "a torn record at the log's end was cut")           \
  X (SNAPSHOT, 304, INFO, "a snapshot was written or received")               \
  X (VOTERS, 305, NOTICE, "the set of control hosts changed")                 \
  X (CONFIG, 400, NOTICE, "a configuration was accepted")                     \
  X (CONFIG_REFUSED, 401, WARN, "a configuration was refused")                \
  X (CONTROL_STALE, 402, WARN, "a control host's stamp is stale; changing")   \
  X (FENCED, 403, ERROR, "no fresh control stamp: refusing work")             \
  X (UNFENCED, 404, NOTICE, "control stamp is fresh again: taking work")      \
  X (HOST_UP, 410, INFO, "a host joined")                                     \
  X (HOST_DOWN, 411, WARN, "a host expired")                                  \
  X (DATABASE_UP, 420, INFO, "a database joined its group")                   \
  X (DATABASE_LEAVING, 421, NOTICE, "a database announced that it leaves")    \
  X (DATABASE_DOWN, 422, WARN, "a database expired")                          \
  X (FAILOVER, 500, WARN, "a primary is suspected; a new term was ordered")   \
  X (PROMOTED, 501, NOTICE, "a group has a primary for a new term")           \
  X (OWNER, 502, INFO, "dispatcher ownership of a group changed")             \
  X (TOKEN_FORGED, 600, WARN, "a session token failed its check")             \
  X (ANSWER_LATE, 601, WARN, "an answer came for a request no longer known")  \
  X (CONNECTION_LOST, 602, INFO, "a database connection was lost")            \
  X (TRANSACTION_ENDED, 603, INFO, "a transaction was ended by the system")   \
  X (STATEMENT_REFUSED, 610, INFO, "a statement was answered with an error")  \
  X (STATEMENT_SENT, 612, INFO, "a statement went to a database's queue")     \
  X (STATEMENT_AGAIN, 613, INFO, "a statement is tried once more")            \
  X (STATEMENT_RAN, 614, INFO, "a queue answered a statement")                \
  X (STATEMENT_SERVED, 615, INFO, "a statement was answered with success")    \
  X (LINE_REFUSED, 611, WARN, "a caller's line could not be read")            \
  X (MANIFEST, 620, INFO, "an operator's manifest was taken or refused")      \
  X (ANNOUNCEMENT_BAD, 621, WARN, "an announcement could not be read")        \
  X (PROMOTION, 630, NOTICE, "a promotion was ordered, or its answer came")

typedef enum
{
#define X(name, number, level, summary) GM_EV_##name = (number),
  GM_EVENTS (X)
#undef X
} GmEvent;

/* name, help text  */
#define GM_METRICS(X)                                                         \
  X (requests_total, "requests taken from callers")                           \
  X (answers_ok_total, "requests answered ok")                                \
  X (refused_not_run_total, "requests refused as not run")                    \
  X (outcome_unknown_total, "requests answered with an unknown outcome")      \
  X (reads_replica_total, "reads served by a replica")                        \
  X (reads_primary_total, "reads served by a primary")                        \
  X (replica_stale_total, "replica reads turned away by the position check")  \
  X (writes_total, "writes acknowledged")                                     \
  X (frames_in_total, "frames received on links")                             \
  X (frames_out_total, "frames sent on links")                                \
  X (bytes_in_total, "bytes received on all connections")                     \
  X (bytes_out_total, "bytes sent on all connections")                        \
  X (bytes_unsent, "bytes that wait until their connections take them")       \
  X (frames_bad_total, "frames refused on links")                             \
  X (answers_late_total, "answers dropped because their request had ended")   \
  X (tokens_forged_total, "session tokens that failed their check")           \
  X (connections_opened_total, "database connections opened")                 \
  X (connections_lost_total, "database connections lost")                     \
  X (failovers_total, "terms ordered by this control host")                   \
  X (statements_total, "statements taken on callers' sessions")               \
  X (statements_again_total, "statements sent once more without effect")      \
  X (statements_refused_total, "statements answered as without effect")       \
  X (statements_unknown_total, "statements answered with an unknown outcome") \
  X (sessions_open, "callers' sessions")                                      \
  X (config_number, "number of the configuration in force")                   \
  X (state_version, "version of the control state in force")                  \
  X (control_stamp_age_ms, "age of the control stamp in milliseconds")        \
  X (connections_open, "callers' connections")                                \
  X (requests_open, "requests in progress")                                   \
  X (log_lines_dropped_total, "log lines that were dropped")                  \
  X (queue_length, "requests queued in this host's dispatchers")

typedef enum
{
#define X(name, help) GM_M_##name,
  GM_METRICS (X)
#undef X
      GM_METRIC_COUNT
} GmMetric;

#define GM_LOG_SECOND G_USEC_PER_SEC
/* Requests of which every line is written, on all hosts: enough to see each
   kind of request every second at a hundred a second, 1 or 2 lines of each
   host's.  */
#define GM_LOG_SAMPLE_ONE_IN 64

/* Opens the log: FILE, or standard output when FILE is NULL.  LEVEL is one of
   "error", "warn", "notice", "info", "debug".  Returns FALSE when FILE can't
   be opened.  */
gboolean gm_log_open (const char *file, const char *level);
/* Sets the least level that is written.  */
void gm_log_set_level (const char *level);
/* Opens the log file anew after it was moved away.  */
void gm_log_reopen (void);
/* Closes the log.  */
void gm_log_close (void);
/* Writes one line about the process.  */
void gm_log (GmEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Whether all lines about the request ID are written.  */
gboolean gm_is_sampled (const char *id);
/* Writes one line about the request ID, which may be NULL: if it is sampled,
   or if it FAILED with this.  */
void gm_trace (GmEvent event, const char *id, gboolean failed,
               const char *format, ...) G_GNUC_PRINTF (4, 5);
/* The name and log4c level of EVENT.  */
gboolean gm_event_find (GmEvent event, const char **name, int *level);
/* Appends the catalogue of events to OUT as a Markdown table.  */
void gm_log_catalogue (GString *out);

/* Adds N to a counter.  */
void gm_count (GmMetric metric, guint64 n);
/* Sets a gauge.  */
void gm_gauge (GmMetric metric, guint64 value);
/* Reads a counter or gauge.  */
guint64 gm_metric (GmMetric metric);
/* Appends all counters and histograms to OUT in the Prometheus text form.  */
void gm_metrics_print (GString *out);
