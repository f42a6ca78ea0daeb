/* Numbered log events, written through log4c, and the metrics of the process.

   A log line is one JSON object with the members time, level, event, name and
   text, and id when the line is about a request.  Writing is limited to a
   number of bytes per second and never blocks; a line of its own reports how
   many lines were dropped.

   GM_EVENTS and GM_METRICS list all events and metrics.  A test compares
   docs/EVENTS.md with GM_EVENTS.  Not thread-safe: one main context per
   process.  */
#pragma once
#include <glib.h>

/* name, number, level, summary  */
#define GM_EVENTS(X)                                                          \
  X (STARTED, 100, INFO, "a process started")                                 \
  X (STOPPED, 101, INFO, "a process stopped after it was drained")            \
  X (DRAINING, 102, INFO, "a stop was requested; new work is refused")        \
  X (SETTINGS_REFUSED, 103, ERROR, "the settings file was refused")           \
  X (LISTEN_FAILED, 104, ERROR, "a listening address could not be opened")    \
  X (SETTINGS_CHANGED, 105, NOTICE, "the settings file changed")              \
  X (LOG_DROPPED, 106, WARN, "log lines were dropped")                        \
  X (LINK_UP, 200, INFO, "a link to another host is up")                      \
  X (LINK_DOWN, 201, WARN, "a link to another host closed")                   \
  X (LINK_GARBAGE, 202, WARN, "a link was closed for a bad frame")            \
  X (LINK_REFUSED, 203, WARN, "a link was refused: wrong key or version")     \
  X (HOST_SILENT, 204, WARN, "a host with pools does not answer")             \
  X (TRAFFIC, 205, INFO, "traffic of this process since the last report")     \
  X (LEADER, 300, NOTICE, "this control host became leader")                  \
  X (NOT_LEADER, 301, NOTICE, "this control host is no longer leader")        \
  X (DISK_STOPPED, 302, ERROR, "the control log stopped: disk error")         \
  X (DISK_RESTORED, 306, NOTICE, "the control log can be written again")      \
  X (CANDIDATE, 307, NOTICE, "this control host asks for votes")              \
  X (DISK_SLOW, 308, WARN, "a sync of the control log took long")             \
  X (TAIL_CUT, 303, WARN, "an incomplete record at the log's end was cut")    \
  X (SNAPSHOT, 304, INFO, "a snapshot was written or received")               \
  X (VOTERS, 305, NOTICE, "the set of control hosts changed")                 \
  X (CONFIG, 400, NOTICE, "a configuration was accepted")                     \
  X (CONFIG_REFUSED, 401, WARN, "a configuration was refused")                \
  X (CONTROL_STALE, 402, WARN,                                                \
     "a control host's stamp is stale; trying another")                       \
  X (FENCED, 403, ERROR, "no recent control stamp: refusing work")            \
  X (UNFENCED, 404, NOTICE, "the control stamp is recent: accepting work")    \
  X (HOST_UP, 410, INFO, "a host joined")                                     \
  X (HOST_DOWN, 411, WARN, "a host expired")                                  \
  X (DATABASE_UP, 420, INFO, "a database joined its group")                   \
  X (DATABASE_LEAVING, 421, NOTICE,                                           \
     "a database announced that it is leaving")                               \
  X (DATABASE_DOWN, 422, WARN, "a database expired")                          \
  X (COPY_GIVEN_UP, 423, NOTICE,                                              \
     "a copy that has left or is out of sight no longer counts")              \
  X (FAILOVER, 500, WARN, "a primary is suspected; a new term was started")   \
  X (PROMOTED, 501, NOTICE, "a group has a primary for a new term")           \
  X (OWNER, 502, INFO, "the dispatcher that owns a group changed")            \
  X (TOKEN_FORGED, 600, WARN, "a session token failed verification")          \
  X (ANSWER_LATE, 601, WARN,                                                  \
     "an answer came for an unknown or ended request")                        \
  X (CONNECTION_LOST, 602, INFO, "a database connection was lost")            \
  X (TRANSACTION_ENDED, 603, INFO, "a transaction was ended by galenamount")  \
  X (STATEMENT_REFUSED, 610, INFO, "a statement was answered with an error")  \
  X (STATEMENT_SENT, 612, INFO, "a statement was sent to a database's queue") \
  X (STATEMENT_AGAIN, 613, INFO, "a statement is retried")                    \
  X (STATEMENT_RAN, 614, INFO,                                                \
     "a database's queue returned a statement's result")                      \
  X (STATEMENT_SERVED, 615, INFO, "a statement was answered with success")    \
  X (STATEMENT_WITHDRAWN, 616, INFO,                                          \
     "a queued statement was dropped, as its caller had left")                \
  X (LINE_REFUSED, 611, WARN, "a caller's line could not be parsed")          \
  X (CALLERS_SHED, 618, WARN,                                                 \
     "connections of callers were closed by a limit")                         \
  X (INPUT_DROPPED, 617, WARN,                                                \
     "bytes of a caller were not handled, as its session had ended")          \
  X (QUOTA_REFUSED, 650, NOTICE,                                              \
     "operations were refused because customers' limits are reached")         \
  X (QUOTA_LENDER, 651, INFO,                                                 \
     "this host starts as a new lender of customers' operations")             \
  X (MANIFEST, 620, INFO, "an operator's manifest was accepted or refused")   \
  X (ANNOUNCEMENT_BAD, 621, WARN, "an announcement could not be parsed")      \
  X (PROMOTION, 630, NOTICE, "a promotion was ordered or answered")           \
  X (KEY_REFUSED, 640, WARN, "a caller's key belongs to no customer")         \
  X (KEY_LEASE_ENDED, 641, ERROR,                                             \
     "no recent control stamp: no key is accepted")                           \
  X (KEY_LEASE_HELD, 642, NOTICE,                                             \
     "the control stamp is recent: keys are accepted")

typedef enum
{
#define X(name, number, level, summary) GM_EV_##name = (number),
  GM_EVENTS (X)
#undef X
} GmEvent;

/* name, help text  */
#define GM_METRICS(X)                                                         \
  X (requests_total, "requests received from callers")                        \
  X (answers_ok_total, "requests answered ok")                                \
  X (refused_not_run_total, "requests refused without being run")             \
  X (outcome_unknown_total, "requests answered with an unknown outcome")      \
  X (reads_replica_total, "reads served by a replica")                        \
  X (reads_primary_total, "reads served by a primary")                        \
  X (replica_stale_total, "replica reads refused by the position check")      \
  X (writes_total, "writes acknowledged")                                     \
  X (frames_in_total, "frames received on links")                             \
  X (frames_out_total, "frames sent on links")                                \
  X (bytes_in_total, "bytes received on all connections")                     \
  X (bytes_out_total, "bytes sent on all connections")                        \
  X (bytes_unsent, "bytes waiting in send buffers")                           \
  X (frames_bad_total, "frames refused on links")                             \
  X (answers_late_total, "answers dropped because the request had ended")     \
  X (tokens_forged_total, "session tokens that failed verification")          \
  X (connections_opened_total, "database connections opened")                 \
  X (connections_lost_total, "database connections lost")                     \
  X (connections_customer_total, "connections opened for a customer")         \
  X (connections_room_total, "connections closed to make room for another")   \
  X (connection_waits_total, "statements that waited for a connection")       \
  X (customers_worst_tenth,                                                   \
     "per mille answered, tenth of customers served worst")                   \
  X (statements_withdrawn_total, "statements dropped as their callers left")  \
  X (failovers_total, "terms started by this control host")                   \
  X (statements_total, "statements received on callers' sessions")            \
  X (statements_again_total, "statements retried because they had no effect") \
  X (statements_refused_early_total,                                          \
     "statements refused as no queue would serve them by their deadline")     \
  X (statements_retries_denied_total,                                         \
     "statements not retried because too many others were")                   \
  X (reads_lagging_total, "reads that found a replica behind their position") \
  X (reads_awaited_position_total,                                            \
     "reads that waited for a replica to receive their position")             \
  X (reads_second_trip_total, "reads sent to a second database")              \
  X (statements_refused_total, "statements refused without effect")           \
  X (statements_after_end_total,                                              \
     "statements that came after the end of their sessions, not run")         \
  X (statements_unknown_total, "statements answered with an unknown outcome") \
  X (keys_refused_total, "callers refused because of their key")              \
  X (key_lease_refused_total, "statements refused without a key lease")       \
  X (key_lease_ended, "1 while this host accepts no keys")                    \
  X (sessions_open, "open sessions of callers")                               \
  X (config_number, "number of the configuration in force")                   \
  X (state_version, "version of the control state in force")                  \
  X (control_elections_total, "elections called by this control host")        \
  X (control_log_stopped, "1 while the control log can't be written")         \
  X (control_stamp_age_ms, "age of the control stamp in milliseconds")        \
  X (connections_open, "open connections of callers")                         \
  X (requests_open, "requests in progress")                                   \
  X (callers_shed_memory_total,                                               \
     "callers' connections closed because buffers were full")                 \
  X (callers_shed_place_total,                                                \
     "callers' connections closed or refused because there were too many")    \
  X (callers_shed_time_total,                                                 \
     "callers' connections closed because a line or an answer took too long") \
  X (callers_buffered_bytes, "bytes held for callers")                        \
  X (callers_dropped_bytes_total,                                             \
     "bytes of callers not handled, as their sessions had ended")             \
  X (bodies_refused_total, "HTTP requests refused because bodies were full")  \
  X (handshakes_shed_total, "links closed because too many were unfinished")  \
  X (log_lines_dropped_total, "log lines that were dropped")                  \
  X (quota_asks_total, "requests for customers' operations sent to lenders")  \
  X (quota_lent_total, "customers' operations lent by this host")             \
  X (quota_waited_total, "operations that waited for a lender")               \
  X (quota_refused_total, "operations refused as a limit is reached")         \
  X (queue_length, "requests queued in this host's dispatchers")

typedef enum
{
#define X(name, help) GM_M_##name,
  GM_METRICS (X)
#undef X
      GM_METRIC_COUNT
} GmMetric;

/* Microseconds in which the rate limit of log lines refills from empty to
   full, and the shortest time between two reports of dropped lines.  */
#define GM_LOG_REFILL_TIME G_USEC_PER_SEC
/* One request in this many has all its lines written, on every host.  At a
   hundred requests of a kind per second that is 1 or 2 requests per second,
   enough to see every kind.  */
#define GM_LOG_SAMPLE_ONE_IN 64

/* Opens the log FILE for appending, or uses standard output when FILE is NULL.
   LEVEL is one of "error", "warn", "notice", "info", "debug".  Returns FALSE
   when FILE cannot be opened.  */
gboolean gm_log_open (const char *file, const char *level);
/* Sets the lowest LEVEL that is written.  */
void gm_log_set_level (const char *level);
/* Reopens the log file after log rotation moved it.  */
void gm_log_reopen (void);
/* Closes the log.  */
void gm_log_close (void);
/* Writes a log line about the process.  */
void gm_log (GmEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns whether the request ID is sampled: all its lines are written.  The
   choice depends on ID only, so every host makes the same one.  */
gboolean gm_is_sampled (const char *id);
/* Writes a log line about the request ID when ID is sampled or when FAILED
   says that the line reports a failed request.  ID may be NULL.  */
void gm_trace (GmEvent event, const char *id, gboolean failed,
               const char *format, ...) G_GNUC_PRINTF (4, 5);
/* Stores the name (static) and the log4c level of EVENT in NAME and LEVEL.
   Returns FALSE when there is no such event.  */
gboolean gm_event_find (GmEvent event, const char **name, int *level);
/* Appends a Markdown table of all events to OUT.  */
void gm_log_catalogue (GString *out);

/* Adds N to the counter METRIC.  */
void gm_count (GmMetric metric, guint64 n);
/* Sets the gauge METRIC to VALUE.  */
void gm_gauge (GmMetric metric, guint64 value);
/* Returns the value of the counter or gauge METRIC.  */
guint64 gm_metric (GmMetric metric);
/* Appends all counters, gauges and histograms to OUT in the Prometheus text
   format.  */
void gm_metrics_print (GString *out);
