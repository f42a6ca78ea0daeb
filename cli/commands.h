/* The tool's commands.  Each takes its own arguments, ARGV[0] being its name,
   and returns the exit status.  */
#pragma once

/* name, function, what it does  */
#define CLI_COMMANDS(X)                                                       \
  X ("check", command_check, "check a declaration or settings file")          \
  X ("apply", command_apply, "submit a declaration")                          \
  X ("status", command_status, "show hosts, groups, databases and control")   \
  X ("history", command_history, "show the audit trail of changes")           \
  X ("drain", command_drain, "begin the planned stop of a host")              \
  X ("control", command_control, "replace or remove a control host")          \
  X ("run", command_run, "run one statement")                                 \
  X ("load", command_load, "send a measured load")                            \
  X ("explain", command_explain, "order the log lines of one request")        \
  X ("events", command_events, "print the catalogue of log events")

#define X(name, function, help) int function (int argc, char **argv);
CLI_COMMANDS (X)
#undef X
