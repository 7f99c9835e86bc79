import type { AdminClient } from "./admin_client.js";
import type { CliIo } from "./cli_io.js";

/**
 * Values of the options by camel-case name; cac parses numbers and booleans.
 */
export type CommandOptions = Readonly<Record<string, unknown>>;

/** What a command may use while it runs. */
export interface CommandContext {
  readonly io: CliIo;
  readonly options: CommandOptions;
  /**
   * Creates a client of the router's administration API. Throws a usage error
   * if the admin URL or the operator key is not set.
   */
  client(): AdminClient;
  /**
   * Asks for confirmation unless `--yes` is given; throws {@link CliError} if
   * the operator declines or there is no terminal to ask on.
   */
  confirm(question: string): Promise<void>;
}

/** Result of a command, as JSON for `--json` and as text for people. */
export interface CommandResult {
  readonly json: unknown;
  readonly text: string;
}

export interface CommandOption {
  /** Name and value in cac's syntax, for example `--note <text>`. */
  readonly flags: string;
  readonly description: string;
}

export interface Command {
  /** One or two words, for example `config check`. */
  readonly name: string;
  /** Arguments in cac's syntax, for example `<id> [digest]`. */
  readonly usage: string;
  readonly description: string;
  readonly options: readonly CommandOption[];
  /** Throws {@link CliError} if the command fails. */
  run(
    context: CommandContext,
    args: readonly string[],
  ): Promise<CommandResult>;
}
