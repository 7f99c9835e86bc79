/** Exit codes of the `anvildeal` command, documented in docs/api.md. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  refused: 5,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
