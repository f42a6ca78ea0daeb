/* The statements of the stand-in database.  */
#pragma once
#include "server.h"

#define ST_COLUMNS_MAX 6
#define ST_PULL_ROWS_MAX 500

/* What a statement reads and changes.  */
typedef struct
{
  StStore *store;
  StSwitches *switches;
  StLimits *limits;
  GmTime now;
  GPtrArray *params;  /* char *; NULL means SQL null */
  gboolean in_block;  /* between BEGIN and COMMIT */
  GPtrArray *changes; /* of the open transaction, not yet committed: char *,
                         three strings (operation, key, value) a change */
} StContext;

typedef struct
{
  GPtrArray *values;    /* char *, row by row; owned */
  const char *tag;      /* command tag */
  const char *sqlstate; /* of an error; NULL: success */
  char message[GM_MESSAGE_MAX];
} StAnswer;

typedef struct
{
  const char *prefix; /* with which the text of the statement begins */
  guint param_count;
  const char *columns[ST_COLUMNS_MAX + 1];
  gboolean needs_slot; /* waits for a slot and takes the service time */
  void (*run) (StContext *context, StAnswer *answer);
} StStatement;

/* Returns the statement whose prefix SQL begins with, or NULL.  */
const StStatement *st_statement_find (const char *sql);
/* Returns the number of columns in the result of STATEMENT.  */
guint st_statement_columns (const StStatement *statement);
