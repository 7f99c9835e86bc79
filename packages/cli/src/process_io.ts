import { text } from "node:stream/consumers";
import { consola } from "consola";
import type { CliIo } from "./cli_io.js";

/** The environment, standard streams and terminal of this process. */
export class ProcessIo implements CliIo {
  readonly env = process.env;
  readonly interactive = process.stdin.isTTY && process.stdout.isTTY;

  writeOut(line: string): void {
    process.stdout.write(`${line}\n`);
  }

  writeError(line: string): void {
    process.stderr.write(`${line}\n`);
  }

  readStdin(): Promise<string> {
    return text(process.stdin);
  }

  async confirm(question: string): Promise<boolean> {
    const answer = await consola.prompt(question, {
      type: "confirm",
      initial: false,
      cancel: "null",
    });
    return answer === true;
  }
}
