import type { Command } from "./command.js";
import { CONFIG_COMMANDS } from "./config_commands.js";
import { FLEET_COMMANDS } from "./fleet_commands.js";
import { createCompletionCommand, KEY_HASH_COMMAND } from "./local_commands.js";

/** All commands, in the order in which the help lists them. */
export const COMMANDS: readonly Command[] = [
  ...CONFIG_COMMANDS,
  ...FLEET_COMMANDS,
  KEY_HASH_COMMAND,
  createCompletionCommand(() => COMMANDS),
];

/** First words of the two-word commands, such as `config`. */
export const COMMAND_GROUPS: ReadonlySet<string> = new Set(
  COMMANDS
    .filter(({ name }) => name.includes(" "))
    .map(({ name }) => name.split(" ")[0]),
);
