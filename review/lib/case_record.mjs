import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** What was sent, answered and run, one line each; written to `record.txt`. */
export class CaseRecord {
  #path;
  #lines = [];
  #startedMs = performance.now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
  }

  get lastLine() {
    return this.#lines.at(-1);
  }

  note(text) {
    const seconds = (performance.now() - this.#startedMs) / 1000;
    this.#lines.push(`${seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}
