/** The exit codes of the command line. */
export const ExitCode = { success: 0, failure: 1, usage: 2, refused: 3, unreachable: 4 };
