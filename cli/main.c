/* galenamount: the command-line tool.  */
#include "base/kind.h"
#include "commands.h"
#include <stdio.h>
#include <string.h>

#ifndef GM_VERSION
#define GM_VERSION "unknown"
#endif

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
} commands[] = {
#define X(name, function, help) { name, function, help },
  CLI_COMMANDS (X)
#undef X
};

static void
usage (FILE *out)
{
  fprintf (out, "galenamount COMMAND [ARGUMENTS]\n\n");
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-8s  %s\n", commands[i].name, commands[i].help);
  fprintf (out, "\nCOMMAND --help shows its arguments.  Exit status: 0 when "
                "the answer is ok, otherwise\nthe number of the error kind "
                "(docs/ERRORS.md).\n");
}

int
main (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "--version") == 0)
    {
      printf ("galenamount %s\n", GM_VERSION);
      return 0;
    }
  if (argc > 1 && strcmp (argv[1], "--help") == 0)
    {
      usage (stdout);
      return 0;
    }
  for (gsize i = 0; argc > 1 && i < G_N_ELEMENTS (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  usage (stderr);
  return gm_kind_exit (GM_INVALID);
}
