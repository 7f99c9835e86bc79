import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FleetError } from "./fleet_error.js";
import { ManagedProcess } from "./managed_process.js";

/** Limited, because the bench shares its machine with other work. */
const MAX_PROCESSES = 100;

/**
 * Owns child processes and their temporary directory. Kills the processes and
 * removes the directory when the bench ends, even if an error or a signal ends
 * it.
 */
export class ProcessGroup {
  readonly directory = mkdtempSync(join(tmpdir(), "anvildeal-bench-"));
  readonly #processes = new Set<ManagedProcess>();
  readonly #onExit = () => this.#killAll();
  readonly #onSignal = () => {
    this.#killAll();
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

  /** Throws {@link FleetError} when too many processes are running. */
  start(
    name: string,
    script: string,
    args: readonly string[],
  ): ManagedProcess {
    if (this.runningCount >= MAX_PROCESSES) {
      throw new FleetError(
        `cannot start: ${MAX_PROCESSES} processes are already running`,
      );
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

  #killAll(): void {
    for (const child of this.#processes) {
      void child.kill();
    }
    this.#removeDirectory();
  }

  /** Keeps the directory with the logs if ANVILDEAL_BENCH_KEEP is set. */
  #removeDirectory(): void {
    if (process.env["ANVILDEAL_BENCH_KEEP"] === undefined) {
      rmSync(this.directory, { recursive: true, force: true });
    }
  }
}
