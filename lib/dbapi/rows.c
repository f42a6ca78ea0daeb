#include "dbapi.h"
#include "wire/message.h"

void
db_run (DbConn *conn, const DbCall *call)
{
  conn->class->run (conn, call);
}

void
db_close (DbConn *conn)
{
  conn->class->close (conn);
}

gboolean
db_rows_decode (GBytes *block, DbRows *rows)
{
  rows->columns = 0;
  rows->strings = wm_strings_decode (block);
  if (rows->strings == NULL)
    return FALSE;
  if (rows->strings->len == 0)
    return TRUE;
  guint64 columns;
  const char *text = g_ptr_array_index (rows->strings, 0);
  guint values = rows->strings->len - 1;
  if (text != NULL
      && g_ascii_string_to_unsigned (text, 10, 0, values, &columns, NULL)
      && (columns == 0 ? values == 0 : values % columns == 0))
    {
      rows->columns = (guint)columns;
      g_ptr_array_remove_index (rows->strings, 0);
      return TRUE;
    }
  db_rows_clear (rows);
  return FALSE;
}

void
db_rows_clear (DbRows *rows)
{
  g_clear_pointer (&rows->strings, g_ptr_array_unref);
}

guint
db_rows_count (const DbRows *rows)
{
  return rows->columns > 0 ? rows->strings->len / rows->columns - 1 : 0;
}

const char *
db_rows_value (const DbRows *rows, guint row, guint column)
{
  guint index = (row + 1) * rows->columns + column;
  if (column >= rows->columns || index >= rows->strings->len)
    return NULL;
  return g_ptr_array_index (rows->strings, index);
}
