/** Environment, input and output of a command; replaced in tests. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether a person at a terminal can answer `confirm`. */
  readonly interactive: boolean;
  /** Writes a line to standard output. */
  writeOut(text: string): void;
  /** Writes a line to standard error. */
  writeError(text: string): void;
  readStdin(): Promise<string>;
  /** Asks a yes-or-no question; a cancelled question counts as no. */
  confirm(question: string): Promise<boolean>;
}
