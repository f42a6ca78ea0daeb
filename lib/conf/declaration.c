#include "declaration.h"
#include <string.h>

#define NAME_MAX_BYTES 64
#define GROUPS_MAX 2000
#define SERVICES_MAX 10000
#define DEADLINE_MAX_MS 600000
#define MAX_AGE_MAX_MS 86400000
#define WORTH_MAX 1000
#define FLOORS_SUM_MAX 0.5
/* Default of transaction_idle_ms: callers paused up to 10 s between two
   statements of a transaction in a trial.  */
#define TRANSACTION_IDLE_DEFAULT_MS 10000
#define CONNECTIONS_MAX 100000
#define CUSTOMERS_MAX 100000
#define KEY_MAX_BYTES 256
#define RATE_MAX 1e9
#define EXACT_INTEGER_MAX 9007199254740991.0 /* largest exact JSON integer */

static const char *const rank_texts[] = {
#define X(name, text) text,
  CF_RANKS (X)
#undef X
};

static const char *const reads_texts[] = {
#define X(name, text) text,
  CF_READS (X)
#undef X
};

/* The members of a service in the text, before validation.  */
typedef struct
{
  char *name;
  char *rank;
  json_object *depends_on;
  gint64 deadline_ms;
  gint64 worth;
  gint64 max_age_ms;
  gboolean repeatable;
  char *reads;
  gint64 target_ms;
  gboolean is_public;
} RawService;

/* The members of a customer in the text, before validation.  */
typedef struct
{
  char *name;
  json_object *keys;
  gint64 priority;
  double rate;
  double burst;
} RawCustomer;

/* The members of a declaration in the text, before validation.  */
typedef struct
{
  gint64 number;
  json_object *groups;
  json_object *services;
  json_object *floors;
  json_object *customers;
  char *numbering;
  gint64 transaction_idle_ms;
} RawDeclaration;

#define AT(type, member) G_STRUCT_OFFSET (type, member)

static const JsField declaration_fields[] = {
  { "number", JS_INTEGER, AT (RawDeclaration, number), TRUE, 1,
    EXACT_INTEGER_MAX, NULL },
  { "groups", JS_ARRAY, AT (RawDeclaration, groups), TRUE, 1, GROUPS_MAX,
    NULL },
  { "services", JS_ARRAY, AT (RawDeclaration, services), TRUE, 1, SERVICES_MAX,
    NULL },
  { "floors", JS_OBJECT, AT (RawDeclaration, floors), FALSE, 0, 0, NULL },
  { "customers", JS_ARRAY, AT (RawDeclaration, customers), FALSE, 0,
    CUSTOMERS_MAX, NULL },
  { "numbering", JS_STRING, AT (RawDeclaration, numbering), FALSE, 1,
    NAME_MAX_BYTES, "consecutive|highest" },
  { "transaction_idle_ms", JS_INTEGER,
    AT (RawDeclaration, transaction_idle_ms), FALSE, 1, DEADLINE_MAX_MS,
    NULL },
};

static const JsField group_fields[] = {
  { "name", JS_STRING, AT (CfGroup, name), TRUE, 1, NAME_MAX_BYTES, NULL },
  { "databases", JS_INTEGER, AT (CfGroup, databases), FALSE, 1, 9, NULL },
  { "connections", JS_INTEGER, AT (CfGroup, connections), FALSE, 1,
    CONNECTIONS_MAX, NULL },
};

static const JsField service_fields[] = {
  { "name", JS_STRING, AT (RawService, name), TRUE, 1, NAME_MAX_BYTES, NULL },
  { "depends_on", JS_ARRAY, AT (RawService, depends_on), TRUE, 1, GROUPS_MAX,
    NULL },
  { "rank", JS_STRING, AT (RawService, rank), TRUE, 1, NAME_MAX_BYTES,
    "urgent|routine|bulk" },
  { "deadline_ms", JS_INTEGER, AT (RawService, deadline_ms), TRUE, 1,
    DEADLINE_MAX_MS, NULL },
  { "worth", JS_INTEGER, AT (RawService, worth), FALSE, 1, WORTH_MAX, NULL },
  { "max_age_ms", JS_INTEGER, AT (RawService, max_age_ms), FALSE, 0,
    MAX_AGE_MAX_MS, NULL },
  { "repeatable", JS_BOOLEAN, AT (RawService, repeatable), FALSE, 0, 0, NULL },
  { "reads", JS_STRING, AT (RawService, reads), FALSE, 1, NAME_MAX_BYTES,
    "session|bounded|primary" },
  { "target_ms", JS_INTEGER, AT (RawService, target_ms), FALSE, 1,
    DEADLINE_MAX_MS, NULL },
  { "public", JS_BOOLEAN, AT (RawService, is_public), FALSE, 0, 0, NULL },
};

static const JsField customer_fields[] = {
  { "name", JS_STRING, AT (RawCustomer, name), TRUE, 1, NAME_MAX_BYTES, NULL },
  { "keys", JS_ARRAY, AT (RawCustomer, keys), TRUE, 0, CUSTOMERS_MAX, NULL },
  { "priority", JS_INTEGER, AT (RawCustomer, priority), FALSE, 0,
    EXACT_INTEGER_MAX, NULL },
  { "rate", JS_NUMBER, AT (RawCustomer, rate), FALSE, 0, RATE_MAX, NULL },
  { "burst", JS_NUMBER, AT (RawCustomer, burst), FALSE, 0, RATE_MAX, NULL },
};

static const JsField floor_fields[] = {
  { "urgent", JS_NUMBER, AT (CfDeclaration, floor[CF_URGENT]), FALSE, 0,
    FLOORS_SUM_MAX, NULL },
  { "routine", JS_NUMBER, AT (CfDeclaration, floor[CF_ROUTINE]), FALSE, 0,
    FLOORS_SUM_MAX, NULL },
  { "bulk", JS_NUMBER, AT (CfDeclaration, floor[CF_BULK]), FALSE, 0,
    FLOORS_SUM_MAX, NULL },
};

const char *
cf_rank_text (CfRank rank)
{
  g_assert (rank < CF_RANK_COUNT);
  return rank_texts[rank];
}

static void
group_free (CfGroup *group)
{
  g_free (group->name);
  g_free (group);
}

static void
service_free (CfService *service)
{
  g_free (service->name);
  g_ptr_array_unref (service->depends_on);
  g_free (service);
}

static GmKind
read_group (CfDeclaration *d, const JsDocument *document, json_object *value,
            guint i, GmStatus *status)
{
  g_autofree char *path = g_strdup_printf ("groups[%u]", i);
  CfGroup *group = g_new0 (CfGroup, 1);
  group->databases = 3;
  g_ptr_array_add (d->groups, group);
  GmKind kind = js_fields (document, value, path, group_fields,
                           G_N_ELEMENTS (group_fields), group, status);
  if (kind != GM_OK)
    return kind;
  if (!g_hash_table_insert (d->groups_by_name, group->name, group))
    {
      g_autofree char *at = g_strconcat (path, ".name", NULL);
      return js_error (document, at, status, "\"%s\" stands twice",
                       group->name);
    }
  return GM_OK;
}

static GmKind
read_dependencies (CfDeclaration *d, const JsDocument *document,
                   CfService *service, json_object *list, const char *path,
                   GmStatus *status)
{
  for (gsize i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      const char *name = json_object_get_string (item);
      g_autofree char *at = g_strdup_printf ("%s.depends_on[%zu]", path, i);
      if (!json_object_is_type (item, json_type_string)
          || cf_group_find (d, name) == NULL)
        return js_error (document, at, status, "must name one of the groups");
      if (g_ptr_array_find_with_equal_func (service->depends_on, name,
                                            g_str_equal, NULL))
        return js_error (document, at, status, "\"%s\" stands twice", name);
      g_ptr_array_add (service->depends_on, g_strdup (name));
    }
  return GM_OK;
}

const char *
cf_reads_text (CfReads reads)
{
  return reads_texts[reads];
}

static CfReads
reads_from_text (const char *text)
{
  for (guint i = 0; text != NULL && i < G_N_ELEMENTS (reads_texts); i++)
    if (strcmp (reads_texts[i], text) == 0)
      return (CfReads)i;
  return CF_READS_SESSION;
}

static CfRank
rank_from_text (const char *text)
{
  for (int i = 0; i < CF_RANK_COUNT; i++)
    if (strcmp (rank_texts[i], text) == 0)
      return (CfRank)i;
  return CF_BULK;
}

static GmKind
read_service (CfDeclaration *d, const JsDocument *document, json_object *value,
              guint i, GmStatus *status)
{
  g_autofree char *path = g_strdup_printf ("services[%u]", i);
  RawService raw = { .worth = 1, .max_age_ms = CF_AGE_FROM_SESSION };
  GmKind kind = js_fields (document, value, path, service_fields,
                           G_N_ELEMENTS (service_fields), &raw, status);
  CfService *service = g_new0 (CfService, 1);
  service->name = raw.name;
  service->depends_on = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (d->services, service);
  if (kind == GM_OK)
    {
      service->rank = rank_from_text (raw.rank);
      service->deadline_ms = raw.deadline_ms;
      service->worth = raw.worth;
      service->max_age_ms = raw.max_age_ms;
      service->repeatable = raw.repeatable;
      service->reads = reads_from_text (raw.reads);
      service->target_ms = raw.target_ms;
      service->is_public = raw.is_public;
      kind = read_dependencies (d, document, service, raw.depends_on, path,
                                status);
    }
  if (kind == GM_OK && service->reads == CF_READS_BOUNDED
      && service->max_age_ms < 0)
    kind = js_error (document, path, status,
                     "\"max_age_ms\" is missing: bounded reads need it");
  g_free (raw.rank);
  g_free (raw.reads);
  if (kind == GM_OK
      && !g_hash_table_insert (d->services_by_name, service->name, service))
    {
      g_autofree char *at = g_strconcat (path, ".name", NULL);
      return js_error (document, at, status, "\"%s\" stands twice",
                       service->name);
    }
  return kind;
}

void
cf_key_digest (const char *key, CfKeyDigest *digest)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize length = sizeof digest->bytes;
  g_checksum_update (checksum, (const guchar *)key, -1);
  g_checksum_get_digest (checksum, digest->bytes, &length);
  g_checksum_free (checksum);
}

/* Any bytes of a digest are a good hash.  */
static guint
digest_hash (gconstpointer digest)
{
  guint hash;
  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (CfKeyDigest)) == 0;
}

/* Names and keys are words of a line protocol, where a blank or a control
   character ends them.  */
static gboolean
is_word (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if ((guchar)*c <= ' ' || *c == 0x7f)
      return FALSE;
  return *text != '\0';
}

/* Adds the keys in LIST to CUSTOMER.  Error messages never contain a key.  */
static GmKind
read_keys (CfDeclaration *d, const JsDocument *document, CfCustomer *customer,
           json_object *list, const char *path, GmStatus *status)
{
  for (gsize i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      g_autofree char *at = g_strdup_printf ("%s.keys[%zu]", path, i);
      const char *key = json_object_is_type (item, json_type_string)
                            ? json_object_get_string (item)
                            : "";
      if (!is_word (key) || strlen (key) > KEY_MAX_BYTES
          || strlen (key) != (gsize)json_object_get_string_len (item))
        return js_error (document, at, status,
                         "must be a word of 1 to %d bytes", KEY_MAX_BYTES);
      CfKeyDigest *digest = &d->digests[d->digest_count++];
      cf_key_digest (key, digest);
      const CfCustomer *holder
          = g_hash_table_lookup (d->customers_by_key, digest);
      if (holder != NULL)
        return js_error (document, at, status,
                         "this key belongs to \"%s\" as well", holder->name);
      g_hash_table_insert (d->customers_by_key, digest, customer);
    }
  return GM_OK;
}

static void
customer_free (CfCustomer *customer)
{
  g_free (customer->name);
  g_free (customer);
}

static GmKind
read_customer (CfDeclaration *d, const JsDocument *document,
               json_object *value, guint i, GmStatus *status)
{
  g_autofree char *path = g_strdup_printf ("customers[%u]", i);
  RawCustomer raw = { .rate = CF_RATE_UNLIMITED };
  GmKind kind = js_fields (document, value, path, customer_fields,
                           G_N_ELEMENTS (customer_fields), &raw, status);
  CfCustomer *customer = g_new0 (CfCustomer, 1);
  customer->name = raw.name;
  customer->priority = raw.priority;
  customer->rate = raw.rate;
  customer->burst = raw.burst;
  g_ptr_array_add (d->customers, customer);
  if (kind != GM_OK)
    return kind;
  g_autofree char *at = g_strconcat (path, ".name", NULL);
  if (!is_word (customer->name))
    return js_error (document, at, status, "must be a word");
  if (!g_hash_table_insert (d->customers_by_name, customer->name, customer))
    return js_error (document, at, status, "\"%s\" stands twice",
                     customer->name);
  return read_keys (d, document, customer, raw.keys, path, status);
}

/* The number of keys in LIST, whose customers are not validated yet.  */
static gsize
count_keys (json_object *list)
{
  gsize count = 0;
  for (gsize i = 0; i < json_object_array_length (list); i++)
    {
      json_object *keys = js_member (json_object_array_get_idx (list, i),
                                     "keys", json_type_array);
      count += keys != NULL ? json_object_array_length (keys) : 0;
    }
  return count;
}

static GmKind
read_customers (CfDeclaration *d, const JsDocument *document,
                json_object *list, GmStatus *status)
{
  GmKind kind = GM_OK;
  d->customers
      = g_ptr_array_new_with_free_func ((GDestroyNotify)customer_free);
  d->customers_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  d->customers_by_key = g_hash_table_new (digest_hash, digest_equal);
  d->digests = g_new (CfKeyDigest, count_keys (list));
  for (guint i = 0; kind == GM_OK && i < json_object_array_length (list); i++)
    kind = read_customer (d, document, json_object_array_get_idx (list, i), i,
                          status);
  return kind;
}

static GmKind
read_floors (CfDeclaration *d, const JsDocument *document, json_object *value,
             GmStatus *status)
{
  GmKind kind = js_fields (document, value, "floors", floor_fields,
                           G_N_ELEMENTS (floor_fields), d, status);
  if (kind != GM_OK)
    return kind;
  double sum = 0;
  for (int i = 0; i < CF_RANK_COUNT; i++)
    sum += d->floor[i];
  if (sum > FLOORS_SUM_MAX)
    return js_error (document, "floors", status,
                     "must not add up to more than %g", FLOORS_SUM_MAX);
  return GM_OK;
}

static GmKind
read_declaration (CfDeclaration *d, const JsDocument *document,
                  GmStatus *status)
{
  RawDeclaration raw = { 0 };
  GmKind kind
      = js_fields (document, js_root (document), "", declaration_fields,
                   G_N_ELEMENTS (declaration_fields), &raw, status);
  if (g_strcmp0 (raw.numbering, "highest") == 0)
    d->numbering = CF_NUMBERING_HIGHEST;
  g_free (raw.numbering);
  if (kind != GM_OK)
    return kind;
  d->number = raw.number;
  if (raw.transaction_idle_ms > 0)
    d->transaction_idle_ms = raw.transaction_idle_ms;
  for (guint i = 0; i < json_object_array_length (raw.groups); i++)
    if ((kind
         = read_group (d, document, json_object_array_get_idx (raw.groups, i),
                       i, status))
        != GM_OK)
      return kind;
  for (guint i = 0; i < json_object_array_length (raw.services); i++)
    if ((kind = read_service (d, document,
                              json_object_array_get_idx (raw.services, i), i,
                              status))
        != GM_OK)
      return kind;
  if (raw.floors != NULL)
    kind = read_floors (d, document, raw.floors, status);
  if (kind == GM_OK && raw.customers != NULL)
    kind = read_customers (d, document, raw.customers, status);
  return kind;
}

CfDeclaration *
cf_declaration_parse (const char *name, const char *text, gsize length,
                      GmStatus *status)
{
  g_autoptr (JsDocument) document = js_parse (name, text, length, status);
  if (document == NULL)
    return NULL;
  CfDeclaration *d = g_new0 (CfDeclaration, 1);
  d->groups = g_ptr_array_new_with_free_func ((GDestroyNotify)group_free);
  d->services = g_ptr_array_new_with_free_func ((GDestroyNotify)service_free);
  d->refs = 1;
  d->services_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  d->groups_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  d->transaction_idle_ms = TRANSACTION_IDLE_DEFAULT_MS;
  d->floor[CF_ROUTINE] = 0.15;
  d->floor[CF_BULK] = 0.05;
  if (read_declaration (d, document, status) != GM_OK)
    g_clear_pointer (&d, cf_declaration_free);
  return d;
}

void
cf_declaration_free (CfDeclaration *declaration)
{
  if (declaration == NULL || --declaration->refs > 0)
    return;
  g_clear_pointer (&declaration->customers_by_key, g_hash_table_unref);
  g_free (declaration->digests);
  g_clear_pointer (&declaration->customers_by_name, g_hash_table_unref);
  g_clear_pointer (&declaration->customers, g_ptr_array_unref);
  g_hash_table_unref (declaration->services_by_name);
  g_hash_table_unref (declaration->groups_by_name);
  g_ptr_array_unref (declaration->groups);
  g_ptr_array_unref (declaration->services);
  g_free (declaration);
}

CfDeclaration *
cf_declaration_parse_cached (GBytes *text, GmStatus *status)
{
  static GBytes *cached_text;
  static CfDeclaration *cached;
  if (cached_text == NULL || !g_bytes_equal (text, cached_text))
    {
      gsize length;
      const char *data = g_bytes_get_data (text, &length);
      CfDeclaration *parsed
          = cf_declaration_parse ("declaration", data, length, status);
      if (parsed == NULL)
        return NULL;
      cf_declaration_free (cached);
      g_clear_pointer (&cached_text, g_bytes_unref);
      cached_text = g_bytes_ref (text);
      cached = parsed;
    }
  cached->refs++;
  return cached;
}

const CfService *
cf_service_find (const CfDeclaration *declaration, const char *name)
{
  return g_hash_table_lookup (declaration->services_by_name, name);
}

const CfGroup *
cf_group_find (const CfDeclaration *declaration, const char *name)
{
  return g_hash_table_lookup (declaration->groups_by_name, name);
}

const CfCustomer *
cf_customer_find (const CfDeclaration *declaration, const char *name)
{
  return declaration->customers_by_name != NULL
             ? g_hash_table_lookup (declaration->customers_by_name, name)
             : NULL;
}

const CfCustomer *
cf_customer_of_key (const CfDeclaration *declaration, const char *key)
{
  CfKeyDigest digest;
  cf_key_digest (key, &digest);
  return cf_customer_of_digest (declaration, &digest);
}

const CfCustomer *
cf_customer_of_digest (const CfDeclaration *declaration,
                       const CfKeyDigest *digest)
{
  return declaration->customers_by_key != NULL && digest != NULL
             ? g_hash_table_lookup (declaration->customers_by_key, digest)
             : NULL;
}
