#include "settings.h"
#include <gio/gio.h>
#include <string.h>
#include <sys/resource.h>

#define NAME_MAX_BYTES 64
#define TEXT_MAX_BYTES 4096
#define SECRET_MIN_BYTES 16
#define PEERS_MAX 17
#define BYTES_PER_MIB (1024.0 * 1024.0)
#define BUFFERS_SHARE 8
#define DESCRIPTOR_PARTS 8

/* The sections of the settings file, borrowed from the document.  */
typedef struct
{
  json_object *listen;
  json_object *roles;
  json_object *control;
  json_object *log;
  json_object *limits;
  json_object *tls;
  json_object *tokens;
  json_object *customers;
  json_object *platform;
} RawSections;

typedef struct
{
  char *caller;
  char *operator_;
  char *link;
} RawListen;

typedef struct
{
  char *data;
  json_object *peers;
  json_object *seeds;
  gint64 seeds_port;
  gboolean found;
  gint64 voters_min;
} RawControl;

typedef struct
{
  char *host;
  char *address;
} RawPeer;

#define AT(type, member) G_STRUCT_OFFSET (type, member)
#define NAME(type, member)                                                    \
  {                                                                           \
#member, JS_STRING, AT(type, member), TRUE, 1, NAME_MAX_BYTES, NULL       \
  }

/* The top level of the settings file.  */
/* The section "customers" before conversion.  */
typedef struct
{
  double revocation_ms;
  double quota_window_s;
  double quota_overage;
  double quota_slack;
} RawCustomers;

typedef struct
{
  char *host;
  char *data_centre;
  char *cluster_key;
  RawSections raw;
} TopLevel;

static const JsField top_fields[] = {
  NAME (TopLevel, host),
  NAME (TopLevel, data_centre),
  { "cluster_key", JS_STRING, AT (TopLevel, cluster_key), TRUE,
    SECRET_MIN_BYTES, TEXT_MAX_BYTES, NULL },
  { "listen", JS_OBJECT, AT (TopLevel, raw.listen), TRUE, 0, 0, NULL },
  { "roles", JS_ARRAY, AT (TopLevel, raw.roles), TRUE, 1, 4, NULL },
  { "control", JS_OBJECT, AT (TopLevel, raw.control), TRUE, 0, 0, NULL },
  { "log", JS_OBJECT, AT (TopLevel, raw.log), FALSE, 0, 0, NULL },
  { "limits", JS_OBJECT, AT (TopLevel, raw.limits), FALSE, 0, 0, NULL },
  { "tls", JS_OBJECT, AT (TopLevel, raw.tls), FALSE, 0, 0, NULL },
  { "tokens", JS_OBJECT, AT (TopLevel, raw.tokens), FALSE, 0, 0, NULL },
  { "customers", JS_OBJECT, AT (TopLevel, raw.customers), FALSE, 0, 0, NULL },
  { "platform", JS_OBJECT, AT (TopLevel, raw.platform), FALSE, 0, 0, NULL },
};

static const JsField listen_fields[] = {
  { "caller", JS_STRING, AT (RawListen, caller), FALSE, 1, NAME_MAX_BYTES,
    NULL },
  { "operator", JS_STRING, AT (RawListen, operator_), FALSE, 1, NAME_MAX_BYTES,
    NULL },
  { "link", JS_STRING, AT (RawListen, link), TRUE, 1, NAME_MAX_BYTES, NULL },
};

static const JsField control_fields[] = {
  { "data", JS_STRING, AT (RawControl, data), FALSE, 1, TEXT_MAX_BYTES, NULL },
  { "peers", JS_ARRAY, AT (RawControl, peers), FALSE, 1, PEERS_MAX, NULL },
  { "seeds", JS_ARRAY, AT (RawControl, seeds), FALSE, 1, PEERS_MAX, NULL },
  { "seeds_port", JS_INTEGER, AT (RawControl, seeds_port), FALSE, 1, 65535,
    NULL },
  { "found", JS_BOOLEAN, AT (RawControl, found), FALSE, 0, 0, NULL },
  { "voters_min", JS_INTEGER, AT (RawControl, voters_min), FALSE, 1, PEERS_MAX,
    NULL },
};

static const JsField peer_fields[] = {
  NAME (RawPeer, host),
  NAME (RawPeer, address),
};

static const JsField log_fields[] = {
  { "file", JS_STRING, AT (CfSettings, log_file), FALSE, 1, TEXT_MAX_BYTES,
    NULL },
  { "level", JS_STRING, AT (CfSettings, log_level), FALSE, 1, NAME_MAX_BYTES,
    "error|warn|notice|info|debug" },
};

static const JsField limit_fields[] = {
  { "body_bytes", JS_INTEGER, AT (CfSettings, body_max), FALSE, 1024,
    16 * BYTES_PER_MIB, NULL },
  { "answer_bytes", JS_INTEGER, AT (CfSettings, answer_max), FALSE, 1024,
    16 * BYTES_PER_MIB, NULL },
  { "idle_ms", JS_INTEGER, AT (CfSettings, idle_ms), FALSE, 1000, 3600000,
    NULL },
  { "connections", JS_INTEGER, AT (CfSettings, connections_max), FALSE, 1,
    1000000, NULL },
  { "memory_mb", JS_NUMBER, AT (CfSettings, memory_mb), FALSE, 1, 1000000000,
    NULL },
  { "ahead_bytes", JS_INTEGER, AT (CfSettings, ahead_max), FALSE, 1024,
    16 * BYTES_PER_MIB, NULL },
  { "line_ms", JS_INTEGER, AT (CfSettings, line_ms), FALSE, 1000, 3600000,
    NULL },
  { "unread_ms", JS_INTEGER, AT (CfSettings, unread_ms), FALSE, 1000, 3600000,
    NULL },
  { "handshakes", JS_INTEGER, AT (CfSettings, handshakes_max), FALSE, 1,
    100000, NULL },
  { "drain_ms", JS_INTEGER, AT (CfSettings, drain_ms), FALSE, 0, 600000,
    NULL },
  { "control_lease_ms", JS_INTEGER, AT (CfSettings, control_lease_ms), FALSE,
    0, 600000, NULL },
  { "link_mbps", JS_NUMBER, AT (CfSettings, link_mbps), FALSE, 0, 1000000,
    NULL },
};

static const JsField customer_fields[] = {
  { "revocation_ms", JS_NUMBER, AT (RawCustomers, revocation_ms), FALSE, 0,
    600000, NULL },
  { "quota_window_s", JS_NUMBER, AT (RawCustomers, quota_window_s), FALSE, 0,
    600, NULL },
  { "quota_overage", JS_NUMBER, AT (RawCustomers, quota_overage), FALSE, 0, 10,
    NULL },
  { "quota_slack", JS_NUMBER, AT (RawCustomers, quota_slack), FALSE, 0,
    1000000, NULL },
};

static const JsField tls_fields[] = {
  { "certificate", JS_STRING, AT (CfSettings, tls_certificate), TRUE, 1,
    TEXT_MAX_BYTES, NULL },
  { "key", JS_STRING, AT (CfSettings, tls_key), TRUE, 1, TEXT_MAX_BYTES,
    NULL },
};

static const JsField token_fields[] = {
  { "caller", JS_STRING, AT (CfSettings, caller_token), FALSE,
    SECRET_MIN_BYTES, TEXT_MAX_BYTES, NULL },
  { "operator", JS_STRING, AT (CfSettings, operator_token), FALSE,
    SECRET_MIN_BYTES, TEXT_MAX_BYTES, NULL },
};

#define READ_FIELDS(document, object, path, fields, target, status)           \
  js_fields (document, object, path, fields, G_N_ELEMENTS (fields), target,   \
             status)

gboolean
cf_address_parse (const char *text, CfAddress *address)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnectable) parsed
      = g_network_address_parse (text, 0, &error);
  if (parsed == NULL)
    return FALSE;
  GNetworkAddress *network = G_NETWORK_ADDRESS (parsed);
  const char *ip = g_network_address_get_hostname (network);
  guint16 port = g_network_address_get_port (network);
  /* An IPv6 address may name a network interface that does not exist.  */
  g_autoptr (GSocketAddress) usable
      = g_hostname_is_ip_address (ip)
            ? g_inet_socket_address_new_from_string (ip, port)
            : NULL;
  if (usable == NULL)
    return FALSE;
  g_free (address->ip);
  address->ip = g_strdup (ip);
  address->port = port;
  return TRUE;
}

gboolean
cf_address_is_ipv4 (const CfAddress *address)
{
  g_autoptr (GInetAddress) ip = g_inet_address_new_from_string (address->ip);
  return ip != NULL && g_inet_address_get_family (ip) == G_SOCKET_FAMILY_IPV4;
}

static GmKind
read_address (const JsDocument *document, const char *path, const char *text,
              CfAddress *address, GmStatus *status)
{
  if (!cf_address_parse (text, address))
    return js_error (
        document, path, status,
        "must be an IP address and a port, such as 127.0.0.1:8080");
  return GM_OK;
}

static GmKind
read_listen (CfSettings *s, const JsDocument *document, json_object *value,
             GmStatus *status)
{
  RawListen raw = { 0 };
  GmKind kind
      = READ_FIELDS (document, value, "listen", listen_fields, &raw, status);
  if (kind == GM_OK && raw.caller != NULL)
    kind = read_address (document, "listen.caller", raw.caller, &s->caller,
                         status);
  if (kind == GM_OK && raw.operator_ != NULL)
    kind = read_address (document, "listen.operator", raw.operator_,
                         &s->operator_, status);
  if (kind == GM_OK)
    kind = read_address (document, "listen.link", raw.link, &s->link, status);
  g_free (raw.caller);
  g_free (raw.operator_);
  g_free (raw.link);
  return kind;
}

static GmKind
read_roles (CfSettings *s, const JsDocument *document, json_object *value,
            GmStatus *status)
{
  for (gsize i = 0; i < json_object_array_length (value); i++)
    {
      const char *role
          = json_object_get_string (json_object_array_get_idx (value, i));
      gboolean *member = g_strcmp0 (role, "entry") == 0        ? &s->entry
                         : g_strcmp0 (role, "dispatcher") == 0 ? &s->dispatcher
                         : g_strcmp0 (role, "control") == 0    ? &s->control
                         : g_strcmp0 (role, "pool") == 0       ? &s->pool
                                                               : NULL;
      if (member == NULL)
        {
          g_autofree char *path = g_strdup_printf ("roles[%zu]", i);
          return js_error (document, path, status,
                           "must be one of entry|dispatcher|control|pool");
        }
      *member = TRUE;
    }
  if (s->entry && s->caller.ip == NULL)
    return js_error (document, "listen", status,
                     "\"caller\" is missing: the entry role listens there");
  return GM_OK;
}

static GmKind
read_peer (CfSettings *s, const JsDocument *document, json_object *value,
           gsize i, GmStatus *status)
{
  RawPeer raw = { 0 };
  g_autofree char *path = g_strdup_printf ("control.peers[%zu]", i);
  g_autofree char *at = g_strconcat (path, ".address", NULL);
  GmKind kind = READ_FIELDS (document, value, path, peer_fields, &raw, status);
  CfPeer *peer = g_new0 (CfPeer, 1);
  g_ptr_array_add (s->peers, peer);
  peer->host = raw.host;
  if (kind == GM_OK)
    kind = read_address (document, at, raw.address, &peer->address, status);
  g_free (raw.address);
  return kind;
}

/* Reads a seed, which the settings list by address only.  */
static GmKind
read_seed (CfSettings *s, const JsDocument *document, json_object *value,
           gsize i, GmStatus *status)
{
  g_autofree char *path = g_strdup_printf ("control.seeds[%zu]", i);
  const char *text = json_object_is_type (value, json_type_string)
                         ? json_object_get_string (value)
                         : "";
  CfPeer *peer = g_new0 (CfPeer, 1);
  g_ptr_array_add (s->peers, peer);
  return read_address (document, path, text, &peer->address, status);
}

typedef GmKind (*ReadItem) (CfSettings *s, const JsDocument *document,
                            json_object *value, gsize i, GmStatus *status);

static GmKind
read_list (CfSettings *s, const JsDocument *document, json_object *list,
           ReadItem read_item, GmStatus *status)
{
  GmKind kind = GM_OK;
  for (gsize i = 0; kind == GM_OK && i < json_object_array_length (list); i++)
    kind = read_item (s, document, json_object_array_get_idx (list, i), i,
                      status);
  return kind;
}

static GmKind
read_control (CfSettings *s, const JsDocument *document, json_object *value,
              GmStatus *status)
{
  RawControl raw = { .voters_min = 1 };
  GmKind kind
      = READ_FIELDS (document, value, "control", control_fields, &raw, status);
  s->data = raw.data;
  s->may_create_group = raw.found;
  s->uses_seeds = raw.seeds != NULL;
  s->voters_min = raw.voters_min;
  if (kind == GM_OK && (raw.peers != NULL) == (raw.seeds != NULL))
    kind = js_error (document, "control", status,
                     "exactly one of \"peers\" and \"seeds\" is needed");
  if (kind == GM_OK)
    kind = raw.peers != NULL
               ? read_list (s, document, raw.peers, read_peer, status)
               : read_list (s, document, raw.seeds, read_seed, status);
  if (kind != GM_OK)
    return kind;
  /* seeds_port replaces the ports of the seeds: the list may come from another
     service that runs on the same hosts.  */
  for (guint i = 0; raw.seeds_port != 0 && i < s->peers->len; i++)
    ((CfPeer *)g_ptr_array_index (s->peers, i))->address.port
        = (guint16)raw.seeds_port;
  if (s->control && s->data == NULL)
    return js_error (document, "control", status,
                     "\"data\" is missing: the control role needs a folder");
  return GM_OK;
}

static GmKind
read_customers (CfSettings *s, const JsDocument *document, json_object *value,
                GmStatus *status)
{
  RawCustomers raw = { 0 };
  GmKind kind = READ_FIELDS (document, value, "customers", customer_fields,
                             &raw, status);
  s->revocation_ms = (gint64)raw.revocation_ms;
  s->quota_window_ms = (gint64)(raw.quota_window_s * 1000 + 0.5);
  s->quota_overage = raw.quota_overage;
  s->quota_slack = (gint64)raw.quota_slack;
  return kind;
}

static GmKind
read_sections (CfSettings *s, const JsDocument *document, const TopLevel *top,
               GmStatus *status)
{
  const RawSections *raw = &top->raw;
  GmKind kind = read_listen (s, document, raw->listen, status);
  if (kind == GM_OK)
    kind = read_roles (s, document, raw->roles, status);
  if (kind == GM_OK)
    kind = read_control (s, document, raw->control, status);
  if (kind == GM_OK && raw->log != NULL)
    kind = READ_FIELDS (document, raw->log, "log", log_fields, s, status);
  if (kind == GM_OK && raw->limits != NULL)
    kind = READ_FIELDS (document, raw->limits, "limits", limit_fields, s,
                        status);
  if (kind == GM_OK && raw->customers != NULL)
    kind = read_customers (s, document, raw->customers, status);
  if (kind == GM_OK && raw->tls != NULL)
    kind = READ_FIELDS (document, raw->tls, "tls", tls_fields, s, status);
  if (kind == GM_OK && raw->tokens != NULL)
    kind = READ_FIELDS (document, raw->tokens, "tokens", token_fields, s,
                        status);
  return kind;
}

static void
peer_free (CfPeer *peer)
{
  g_free (peer->host);
  g_free (peer->address.ip);
  g_free (peer);
}

CfSettings *
cf_settings_read (const char *path, GmStatus *status)
{
  JsDocument *document = js_read_file (path, status);
  if (document == NULL)
    return NULL;
  CfSettings *s = g_new0 (CfSettings, 1);
  s->document = document;
  s->peers = g_ptr_array_new_with_free_func ((GDestroyNotify)peer_free);
  s->log_level = g_strdup ("info");
  s->body_max = 256 * 1024;
  s->answer_max = 1024 * 1024;
  s->connections_max = 10000;
  s->memory_mb = 512;
  s->ahead_max = 64 * 1024;
  s->line_ms = 300000;
  s->unread_ms = 60000;
  s->handshakes_max = 1024;
  s->idle_ms = 60000;
  s->drain_ms = 10000;
  s->control_lease_ms = 4000;
  TopLevel top = { 0 };
  GmKind kind = READ_FIELDS (document, js_root (document), "", top_fields,
                             &top, status);
  s->host = top.host;
  s->data_centre = top.data_centre;
  s->cluster_key = top.cluster_key;
  s->platform = top.raw.platform;
  if (kind == GM_OK)
    kind = read_sections (s, document, &top, status);
  if (kind != GM_OK)
    g_clear_pointer (&s, cf_settings_free);
  return s;
}

/* Returns the text of ROOT without the settings that a running process takes
   over.  Free it with g_free.  */
static char *
text_without_reloadable (json_object *root)
{
  json_object *copy = NULL, *section;
  if (json_object_deep_copy (root, &copy, NULL) != 0)
    return g_strdup ("");
  if (json_object_object_get_ex (copy, "control", &section))
    {
      json_object_object_del (section, "peers");
      json_object_object_del (section, "seeds");
    }
  if (json_object_object_get_ex (copy, "log", &section))
    json_object_object_del (section, "level");
  char *text = g_strdup (
      json_object_to_json_string_ext (copy, JSON_C_TO_STRING_PLAIN));
  json_object_put (copy);
  return text;
}

static gboolean
peers_are_equal (const GPtrArray *a, const GPtrArray *b)
{
  for (guint i = 0; a->len == b->len && i < a->len; i++)
    {
      const CfPeer *x = g_ptr_array_index (a, i);
      const CfPeer *y = g_ptr_array_index (b, i);
      if (g_strcmp0 (x->host, y->host) != 0
          || x->address.port != y->address.port
          || strcmp (x->address.ip, y->address.ip) != 0)
        return FALSE;
    }
  return a->len == b->len;
}

guint
cf_settings_apply (CfSettings *s, CfSettings *fresh)
{
  guint changes = 0;
  g_autofree char *rest = text_without_reloadable (js_root (s->document));
  g_autofree char *fresh_rest
      = text_without_reloadable (js_root (fresh->document));
  if (strcmp (rest, fresh_rest) != 0)
    changes |= CF_CHANGED_NEEDS_RESTART;
  if (!peers_are_equal (s->peers, fresh->peers))
    {
      GPtrArray *old = s->peers;
      s->peers = fresh->peers;
      fresh->peers = old;
      changes |= CF_CHANGED_PEERS;
    }
  if (strcmp (s->log_level, fresh->log_level) != 0)
    {
      char *old = s->log_level;
      s->log_level = fresh->log_level;
      fresh->log_level = old;
      changes |= CF_CHANGED_LOG_LEVEL;
    }
  /* The next version is compared with the new document.  platform is borrowed
     from the document, so it must point into the new one as well.  */
  JsDocument *document = s->document;
  s->document = fresh->document;
  fresh->document = document;
  s->platform = json_object_object_get (js_root (s->document), "platform");
  return changes;
}

gsize
cf_buffers_max (const CfSettings *s)
{
  return (gsize)(s->memory_mb * BYTES_PER_MIB / BUFFERS_SHARE);
}

guint
cf_connections_max (gint64 wanted, guint parts)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0
      || limit.rlim_cur == RLIM_INFINITY)
    return (guint)wanted;
  rlim_t share = limit.rlim_cur * parts / DESCRIPTOR_PARTS;
  return (guint)CLAMP ((rlim_t)wanted, 1, MAX (share, 1));
}

void
cf_settings_free (CfSettings *s)
{
  if (s == NULL)
    return;
  char *strings[] = { s->host,         s->data_centre,    s->cluster_key,
                      s->caller.ip,    s->operator_.ip,   s->link.ip,
                      s->data,         s->log_file,       s->log_level,
                      s->caller_token, s->operator_token, s->tls_certificate,
                      s->tls_key };
  for (gsize i = 0; i < G_N_ELEMENTS (strings); i++)
    g_free (strings[i]);
  g_ptr_array_unref (s->peers);
  js_free (s->document);
  g_free (s);
}
