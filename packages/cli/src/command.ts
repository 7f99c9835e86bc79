import type { AdminClient } from "./admin_client.js";
import type { CliIo } from "./cli_io.js";

/** Options as cac parses them; numbers and booleans are converted by it. */
export type CommandOptions = Readonly<Record<string, unknown>>;

/** What a command works with. */
export interface CommandContext {
  readonly io: CliIo;
  readonly options: CommandOptions;
  /** Throws a usage error without the URL or the key. */
  client(): AdminClient;
  /** Asks before a risky action; throws unless it is confirmed. */
  confirm(question: string): Promise<void>;
}

/** The answer of a command: JSON, and the same for people. */
export interface CommandResult {
  readonly json: unknown;
  readonly text: string;
}

export interface CommandOption {
  /** As cac takes it, for example `--note <text>`. */
  readonly flags: string;
  readonly description: string;
}

export interface Command {
  /** One or two words, for example `config check`. */
  readonly name: string;
  /** As cac takes it, for example `<id> [digest]`. */
  readonly usage: string;
  readonly description: string;
  readonly options: readonly CommandOption[];
  run(
    context: CommandContext,
    args: readonly string[],
  ): Promise<CommandResult>;
}
