import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { FleetError } from "./fleet_error.js";

/** Long enough to start about 40 Node.js processes on a busy machine. */
const READY_TIMEOUT_MS = 30_000;
const LOG_TAIL_CHARS = 2000;

export interface ProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  /** Path of the file that receives the standard error of the process. */
  readonly logFile: string;
}

/** Fields of the JSON line that a process prints once it is ready. */
export type ReadyLine = Readonly<Record<string, unknown>>;

/**
 * The same heap limits as in the `#!` line of the daemon script `anvildeald`.
 * Without them, V8 lets a router grow to 220 MB before it collects garbage.
 */
const NODE_FLAGS = [
  "--enable-source-maps",
  "--max-old-space-size=96",
  "--max-semi-space-size=4",
];

/** A child process that prints one JSON line on stdout once it is ready. */
export class ManagedProcess {
  readonly name: string;
  /** Resolves when the process has ended or could not be started. */
  readonly exited: Promise<void>;
  readonly #child: ChildProcess;
  readonly #ready: Promise<ReadyLine>;
  #hasExited = false;
  #isPaused = false;

  constructor(readonly options: ProcessOptions) {
    this.name = options.name;
    const logFd = openSync(options.logFile, "a");
    this.#child = spawn(
      process.execPath,
      [...NODE_FLAGS, options.script, ...options.args],
      { stdio: ["ignore", "pipe", logFd] },
    );
    closeSync(logFd);
    this.exited = new Promise((resolve) => {
      this.#child.once("exit", () => {
        this.#hasExited = true;
        resolve();
      });
      this.#child.once("error", () => resolve());
    });
    this.#ready = this.#readReadyLine();
    // Callers of `ready()` receive the error of a failed start. If nobody calls
    // `ready()`, the rejection must not count as unhandled.
    this.#ready.catch(() => {});
  }

  get pid(): number {
    return this.#child.pid ?? -1;
  }

  get isRunning(): boolean {
    return !this.#hasExited;
  }

  get exitCode(): number | undefined {
    return this.#child.exitCode ?? undefined;
  }

  /**
   * Resolves to the ready line; rejects with a {@link FleetError} that contains
   * the end of the log if the process ends or is not ready in time.
   */
  ready(): Promise<ReadyLine> {
    return this.#ready;
  }

  pause(): void {
    this.#isPaused = true;
    this.#child.kill("SIGSTOP");
  }

  resume(): void {
    this.#isPaused = false;
    this.#child.kill("SIGCONT");
  }

  /** Kills the process and waits until it has ended. */
  async kill(): Promise<void> {
    if (this.isRunning) {
      this.#child.kill("SIGKILL");
      await this.exited;
    }
  }

  /**
   * Sends SIGTERM and waits until the process has ended. Kills the process and
   * returns false if it has not ended within `timeoutMs`. Resumes a paused
   * process first.
   */
  async stop(timeoutMs: number): Promise<boolean> {
    if (!this.isRunning) {
      return true;
    }
    if (this.#isPaused) {
      this.resume();
    }
    this.#child.kill("SIGTERM");
    const timeoutAbort = new AbortController();
    const isStopped = await Promise.race([
      this.exited.then(() => true),
      abortableDelay(timeoutMs, timeoutAbort.signal).then(() => false),
    ]);
    timeoutAbort.abort();
    if (!isStopped) {
      await this.kill();
    }
    return isStopped;
  }

  #readReadyLine(): Promise<ReadyLine> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => fail("was not ready in time"),
        READY_TIMEOUT_MS,
      );
      const fail = (problem: string) => {
        clearTimeout(timer);
        reject(
          new FleetError(
            `${this.name} ${problem}; end of its log:\n${this.#logTail()}`,
          ),
        );
      };
      const lines = createInterface({ input: this.#child.stdout! });
      lines.on("line", (line) => {
        const value = parseReadyLine(line);
        if (value !== undefined) {
          clearTimeout(timer);
          resolve(value);
        }
      });
      void this.exited.then(() => fail("ended before it was ready"));
    });
  }

  #logTail(): string {
    try {
      return readFileSync(this.options.logFile, "utf8").slice(-LOG_TAIL_CHARS);
    } catch {
      return "(no log)";
    }
  }
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    const value = JSON.parse(line) as ReadyLine;
    return value["ready"] === true ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Resolves after `ms`, or never if the signal aborts before. */
function abortableDelay(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    signal.addEventListener("abort", () => clearTimeout(timer));
  });
}
