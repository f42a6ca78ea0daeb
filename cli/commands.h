/* The commands of the command-line tool.  Each command parses its own
   arguments, where ARGV[0] is the name of the command, and returns the exit
   status.  */
#pragma once

/* Name, function, help text.  */
#define CLI_COMMANDS(X)                                                       \
  X ("check", command_check, "check a declaration or settings file")          \
  X ("apply", command_apply, "submit a declaration")                          \
  X ("status", command_status, "show hosts, groups, databases and control")   \
  X ("route", command_route, "show where statements of a service go")         \
  X ("quota", command_quota, "show customers' use of what a host lends")      \
  X ("history", command_history, "show the audit trail of changes")           \
  X ("drain", command_drain, "start the planned shutdown of a host")          \
  X ("control", command_control, "replace or remove a control host")          \
  X ("run", command_run, "run one statement")                                 \
  X ("load", command_load, "send a load and measure the answers")             \
  X ("explain", command_explain,                                              \
     "show the log lines of one request in order")                            \
  X ("events", command_events, "print the list of log events")

#define X(name, function, help) int function (int argc, char **argv);
CLI_COMMANDS (X)
#undef X
