import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FleetError } from "./fleet_error.js";
import { ManagedProcess } from "./managed_process.js";

/** The bench shares its machine; this is also its limit of processes. */
const MAX_PROCESSES = 100;

/**
 * Owns child processes and their temporary directory, and ends both with the
 * bench, also on an error or a signal.
 */
export class ProcessGroup {
  readonly directory = mkdtempSync(join(tmpdir(), "anvildeal-bench-"));
  readonly #processes = new Set<ManagedProcess>();
  readonly #onExit = () => this.#endNow();
  readonly #onSignal = () => {
    this.#endNow();
    process.exit(this.signalExitCode);
  };

  constructor(private readonly signalExitCode = 130) {
    mkdirSync(join(this.directory, "logs"));
    process.on("exit", this.#onExit);
    process.on("SIGINT", this.#onSignal);
    process.on("SIGTERM", this.#onSignal);
  }

  /** Number of processes that still run. */
  get runningCount(): number {
    return [...this.#processes].filter((child) => child.isRunning).length;
  }

  start(
    name: string,
    script: string,
    args: readonly string[],
  ): ManagedProcess {
    if (this.runningCount >= MAX_PROCESSES) {
      throw new FleetError(`more than ${MAX_PROCESSES} processes`);
    }
    const child = new ManagedProcess({
      name,
      script,
      args,
      logFile: join(this.directory, "logs", `${name}.log`),
    });
    this.#processes.add(child);
    void child.exited.then(() => this.#processes.delete(child));
    return child;
  }

  async dispose(): Promise<void> {
    process.off("exit", this.#onExit);
    process.off("SIGINT", this.#onSignal);
    process.off("SIGTERM", this.#onSignal);
    await Promise.all([...this.#processes].map((child) => child.kill()));
    this.#removeDirectory();
  }

  #endNow(): void {
    for (const child of this.#processes) {
      void child.kill();
    }
    this.#removeDirectory();
  }

  /** Logs are kept on request, for the study of a failed run. */
  #removeDirectory(): void {
    if (process.env["ANVILDEAL_BENCH_KEEP"] === undefined) {
      rmSync(this.directory, { recursive: true, force: true });
    }
  }
}
