/**
 * A request that the scheduler runs; the scheduler calls the `on...` methods.
 */
export interface EngineJob {
  /** From 0 (lowest) to 9 (highest). */
  readonly priority: number;
  /** Prompt tokens that are still to be computed. */
  prefillTokens: number;
  /** Output tokens that are still to be generated. */
  decodeTokens: number;
  /**
   * Called when the job gets a slot; sets `prefillTokens` to the number of
   * prompt tokens that are not in the cache.
   */
  onStart(): void;
  onPrefilled(): void;
  /** Called with the number of output tokens just generated. */
  onTokens(count: number): void;
  onFinished(): void;
}

export interface SchedulerOptions {
  /**
   * Largest number of requests that run at the same time; further requests
   * wait.
   */
  readonly maxBatch: number;
  readonly prefillTokensPerS: number;
  /**
   * Part of the time per output token that does not depend on the batch size.
   */
  readonly decodeBaseMs: number;
  /** Time that each request in the batch adds to the time per output token. */
  readonly decodePerRequestMs: number;
}

const TICK_MS = 10;

/**
 * Longest time whose work is done in one tick. A real engine makes no progress
 * while its process is stopped; with this limit, neither does the stand-in.
 */
const MAX_TICK_MS = 200;

interface RunningJob {
  readonly job: EngineJob;
  /** Fraction of the next output token that is already computed. */
  tokenProgress: number;
  prefilled: boolean;
}

/**
 * Runs jobs by continuous batching: prefills them one after the other and
 * decodes them in parallel. A free slot goes to the waiting job with the
 * highest priority; among jobs of equal priority, to the oldest one.
 */
export class BatchScheduler {
  readonly #options: SchedulerOptions;
  readonly #onTick: () => void;
  #waitingJobs: EngineJob[] = [];
  #runningJobs: RunningJob[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lastTickMs = 0;
  #paused = false;
  #slowFactor = 1;

  constructor(options: SchedulerOptions, onTick: () => void = () => {}) {
    this.#options = options;
    this.#onTick = onTick;
  }

  get running(): number {
    return this.#runningJobs.length;
  }

  get waiting(): number {
    return this.#waitingJobs.length;
  }

  /** Prompt tokens to prefill plus output tokens to decode, over all jobs. */
  get outstandingTokens(): number {
    const jobs = [
      ...this.#waitingJobs,
      ...this.#runningJobs.map((item) => item.job),
    ];
    return jobs.reduce(
      (sum, job) => sum + Math.ceil(job.prefillTokens) + job.decodeTokens,
      0,
    );
  }

  /** Output tokens per second of the whole batch at its current size. */
  get decodeTokensPerS(): number {
    const batch = Math.max(this.#runningJobs.length, 1);
    return batch * 1000 / this.#tokenMs(batch);
  }

  get prefillTokensPerS(): number {
    return this.#options.prefillTokensPerS / this.#slowFactor;
  }

  set paused(paused: boolean) {
    this.#paused = paused;
  }

  set slowFactor(factor: number) {
    this.#slowFactor = factor;
  }

  /** Queues a job; it starts at once if a slot is free. */
  add(job: EngineJob): void {
    const index = this.#waitingJobs.findIndex((w) => w.priority < job.priority);
    this.#waitingJobs.splice(
      index === -1 ? this.#waitingJobs.length : index,
      0,
      job,
    );
    this.#fillBatch();
    this.#startTimer();
  }

  /** Removes a job at once and frees its slot; calls none of its methods. */
  cancel(job: EngineJob): void {
    this.#waitingJobs = this.#waitingJobs.filter((item) => item !== job);
    this.#runningJobs = this.#runningJobs.filter((item) => item.job !== job);
    this.#fillBatch();
    this.#onTick();
  }

  dispose(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#waitingJobs = [];
    this.#runningJobs = [];
  }

  #startTimer(): void {
    if (this.#timer === undefined) {
      this.#lastTickMs = performance.now();
      this.#timer = setInterval(() => this.#tick(), TICK_MS);
    }
  }

  #tick(): void {
    const nowMs = performance.now();
    const elapsedMs = Math.min(nowMs - this.#lastTickMs, MAX_TICK_MS);
    this.#lastTickMs = nowMs;
    if (!this.#paused) {
      this.#decode(elapsedMs);
      this.#prefill(elapsedMs);
      this.#finish();
    }
    this.#onTick();
    if (this.#runningJobs.length === 0 && this.#waitingJobs.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  #prefill(elapsedMs: number): void {
    let budget = this.prefillTokensPerS * elapsedMs / 1000;
    for (const item of this.#runningJobs) {
      if (item.prefilled) {
        continue;
      }
      const spent = Math.min(budget, item.job.prefillTokens);
      item.job.prefillTokens -= spent;
      budget -= spent;
      if (item.job.prefillTokens > 0) {
        return;
      }
      item.prefilled = true;
      item.job.onPrefilled();
      this.#emit(item, 1);
    }
  }

  #decode(elapsedMs: number): void {
    const decoding = this.#runningJobs.filter((item) => item.prefilled);
    const tokens = elapsedMs / this.#tokenMs(decoding.length);
    for (const item of decoding) {
      item.tokenProgress += tokens;
      const wholeTokens = Math.floor(item.tokenProgress);
      item.tokenProgress -= wholeTokens;
      this.#emit(item, wholeTokens);
    }
  }

  #emit(item: RunningJob, tokens: number): void {
    const count = Math.min(tokens, item.job.decodeTokens);
    if (count > 0) {
      item.job.decodeTokens -= count;
      item.job.onTokens(count);
    }
  }

  #finish(): void {
    const isDone = (item: RunningJob) =>
      item.prefilled && item.job.decodeTokens === 0;
    const done = this.#runningJobs.filter(isDone);
    if (done.length === 0) {
      return;
    }
    this.#runningJobs = this.#runningJobs.filter((item) => !isDone(item));
    for (const item of done) {
      item.job.onFinished();
    }
    this.#fillBatch();
  }

  #fillBatch(): void {
    while (this.#runningJobs.length < this.#options.maxBatch) {
      const job = this.#waitingJobs.shift();
      if (!job) {
        return;
      }
      job.onStart();
      this.#runningJobs.push({ job, tokenProgress: 0, prefilled: false });
    }
  }

  #tokenMs(batch: number): number {
    const { decodeBaseMs, decodePerRequestMs } = this.#options;
    return (decodeBaseMs + decodePerRequestMs * batch) * this.#slowFactor;
  }
}
