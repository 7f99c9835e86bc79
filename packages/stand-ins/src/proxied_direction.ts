import type { Socket } from "node:net";

export interface ProxiedDirectionHooks {
  /** Returns the delay in milliseconds for data that is read now. */
  readonly delayMs: () => number;
  readonly onBytes: (bytes: number) => void;
  /** Called when data was handed to the operating system. */
  readonly onPassedOn: (bytes: number) => void;
  /** Called when the source has reset the connection. */
  readonly onReset: () => void;
  /** Called when `maxBytes` bytes have been written to the target socket. */
  readonly onCut: () => void;
}

/**
 * Forwards data, the end of the data and a reset from one socket to another.
 */
export class ProxiedDirection {
  readonly #source: Socket;
  readonly #target: Socket;
  readonly #hooks: ProxiedDirectionHooks;
  /**
   * Delayed steps in the order in which they run; a step waits for the steps
   * before it even if its own time has come.
   */
  #delayedSteps: { readonly dueMs: number; readonly step: () => void }[] = [];
  #timer: NodeJS.Timeout | undefined;
  #bytesLeft: number;
  #stalled = false;

  /** Forwards at most `maxBytes`, then calls `onCut`. */
  constructor(
    source: Socket,
    target: Socket,
    maxBytes: number,
    hooks: ProxiedDirectionHooks,
  ) {
    this.#source = source;
    this.#target = target;
    this.#bytesLeft = maxBytes;
    this.#hooks = hooks;
    source.on("data", (data: Buffer) => this.#onData(data));
    source.on("end", () => this.#onEnd());
    source.on("error", () => {});
    source.on("close", (hadError) => this.#onClose(hadError));
    target.on("drain", () => this.#resume());
  }

  /**
   * Stops forwarding permanently, as if all packets were lost: the sender sees
   * no error, and the receiver gets neither data nor the end of the connection.
   */
  stall(): void {
    this.#stalled = true;
    this.#source.pause();
    this.dispose();
  }

  /** Drops delayed data and stops the timer. */
  dispose(): void {
    clearTimeout(this.#timer);
    this.#delayedSteps = [];
  }

  #onData(data: Buffer): void {
    const part = data.subarray(0, this.#bytesLeft);
    this.#bytesLeft -= part.length;
    const isLast = this.#bytesLeft === 0;
    this.#runAfterDelay(() => this.#write(part, isLast));
  }

  #write(data: Buffer, isLast: boolean): void {
    if (this.#target.destroyed) {
      return;
    }
    this.#hooks.onBytes(data.length);
    const flushed = this.#target.write(data, (error) => {
      if (!error) {
        this.#hooks.onPassedOn(data.length);
      }
      if (isLast) {
        this.#hooks.onCut();
      }
    });
    if (!flushed) {
      this.#source.pause();
    }
  }

  #resume(): void {
    if (!this.#stalled) {
      this.#source.resume();
    }
  }

  #onEnd(): void {
    // Node emits `end` on a paused socket too if the socket has no unread data.
    if (!this.#stalled) {
      this.#runAfterDelay(() => this.#target.end());
    }
  }

  #onClose(hadError: boolean): void {
    if (hadError) {
      this.#hooks.onReset();
    }
    if (this.#stalled) {
      return;
    }
    if (hadError) {
      this.#target.resetAndDestroy();
    } else {
      this.#runAfterDelay(() => this.#target.destroySoon());
    }
  }

  /** Runs a step after the delay and after all earlier steps. */
  #runAfterDelay(step: () => void): void {
    const delayMs = this.#hooks.delayMs();
    if (delayMs === 0 && this.#delayedSteps.length === 0) {
      step();
      return;
    }
    this.#delayedSteps.push({ dueMs: performance.now() + delayMs, step });
    if (this.#delayedSteps.length === 1) {
      this.#startTimer();
    }
  }

  #startTimer(): void {
    const waitMs = this.#delayedSteps[0].dueMs - performance.now();
    this.#timer = setTimeout(() => this.#runDue(), Math.max(0, waitMs));
  }

  #runDue(): void {
    while (
      this.#delayedSteps.length > 0 &&
      this.#delayedSteps[0].dueMs <= performance.now()
    ) {
      this.#delayedSteps.shift()?.step();
    }
    if (this.#delayedSteps.length > 0) {
      this.#startTimer();
    }
  }
}
