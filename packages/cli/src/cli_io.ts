/** What a command reads from and writes to. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether a person can be asked. */
  readonly interactive: boolean;
  writeOut(text: string): void;
  writeError(text: string): void;
  readStdin(): Promise<string>;
  confirm(question: string): Promise<boolean>;
}
