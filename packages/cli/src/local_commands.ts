import { createHash } from "node:crypto";
import { usageError } from "./cli_error.js";
import type { Command } from "./command.js";
import { completionScript, SHELLS } from "./completion.js";

/** A shorter key could be found from its hash by trial. */
const MIN_KEY_CHARS = 16;

export const KEY_HASH_COMMAND: Command = {
  name: "key hash",
  usage: "",
  description: "Print the SHA-256 digest of a key read from standard input",
  options: [],
  async run(context) {
    const key = (await context.io.readStdin()).replace(/\r?\n$/, "");
    if (!/^[\x21-\x7e]+$/.test(key) || key.length < MIN_KEY_CHARS) {
      throw usageError(
        `A key needs at least ${MIN_KEY_CHARS} printable ASCII characters ` +
          "without spaces, followed by at most one line break.",
      );
    }
    const hash = createHash("sha256").update(key, "utf8").digest("hex");
    return { json: { key_hash: hash }, text: hash };
  },
};

/**
 * `commands` is a function because the list that it returns includes the
 * created command itself.
 */
export function createCompletionCommand(
  commands: () => readonly Command[],
): Command {
  return {
    name: "completion",
    usage: "[shell]",
    description: "Print a completion script for bash (default), zsh or fish",
    options: [],
    async run(_context, [shell = "bash"]) {
      const known = SHELLS.find((name) => name === shell);
      if (known === undefined) {
        throw usageError(
          `Unknown shell "${shell}"; the shells are ${SHELLS.join(", ")}.`,
        );
      }
      const script = completionScript(known, commands());
      return { json: { shell: known, script }, text: script };
    },
  };
}
