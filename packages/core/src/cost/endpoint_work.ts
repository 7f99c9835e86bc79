import type { Millis } from "../clock.js";

/** What an attempt will demand of its endpoint, as expected when it starts. */
export interface AttemptCost {
  /**
   * Prompt tokens to process that no other request shares. Shared ones count in
   * the prefill backlog of the endpoint, whichever router sent them.
   */
  readonly prefillTokens: number;
  readonly outputTokens: number;
  /** Tokens in memory for this attempt alone. */
  readonly memoryTokens: number;
  /** Part that attempts with the same key keep in memory once. */
  readonly sharedMemory?: SharedMemory | undefined;
}

/** Beginning of a prompt that several requests have in common. */
export interface SharedMemory {
  readonly key: string;
  readonly tokens: number;
}

/** An attempt whose work an {@link EndpointWork} counts. */
export interface AttemptWork {
  readonly cost: AttemptCost;
  /** Undefined until the first event of the answer. */
  firstEventMs: Millis | undefined;
}

/** Speed of an endpoint at its current pace. */
export interface WorkRates {
  readonly prefillTokensPerMs: number;
  /** Output tokens of a single request. */
  readonly outputTokensPerMs: number;
}

/**
 * Returns the speed of an endpoint at a pace.
 *
 * @param prefillTokensPerMs Prefill rate at the usual pace.
 * @param tokenMs Time of an output token at the usual pace.
 */
export function workRatesAt(
  paceFactor: number,
  prefillTokensPerMs: number,
  tokenMs: Millis,
): WorkRates {
  return {
    prefillTokensPerMs: prefillTokensPerMs / paceFactor,
    outputTokensPerMs: 1 / (tokenMs * paceFactor),
  };
}

/** Shared memory of the attempts with the same key. */
interface RunningShare {
  attempts: number;
  /** Shared tokens according to the first of these attempts. */
  readonly tokens: number;
}

/**
 * Work that the attempts of this router have left at one endpoint: what they
 * added, less what was processed since, at the expected rates. The first event of
 * an answer shows that the prompts up to it are processed.
 *
 * A count of requests would not do, since prompts have 1,300 tokens on average and
 * up to 11,000.
 */
export class EndpointWork {
  /** Prefill tokens of attempts without an event yet. */
  #awaitedTokens = 0;
  /** Tokens of these that were left at {@link #updatedMs}. */
  #prefillTokens = 0;
  #updatedMs: Millis = 0;
  #decoding = 0;
  /** Sum of the expected output tokens of the decoding attempts. */
  #outputTokens = 0;
  /** Sum of the times at which their answers began. */
  #firstEventsMs: Millis = 0;
  #memoryTokens = 0;
  readonly #shares = new Map<string, RunningShare>();

  /** Adds the work of an attempt that starts. */
  start(nowMs: Millis, cost: AttemptCost, rates: WorkRates): AttemptWork {
    this.#prefillTokens = this.prefillTokensLeft(nowMs, rates) +
      cost.prefillTokens;
    this.#updatedMs = nowMs;
    this.#awaitedTokens += cost.prefillTokens;
    this.#memoryTokens += cost.memoryTokens;
    this.#addShare(cost);
    return { cost, firstEventMs: undefined };
  }

  /**
   * Records the first event of an attempt's answer; later calls have no effect.
   * Prompts are processed in order, so those that still wait are all left.
   */
  recordFirstEvent(nowMs: Millis, work: AttemptWork): void {
    if (work.firstEventMs !== undefined) {
      return;
    }
    work.firstEventMs = nowMs;
    this.#awaitedTokens -= work.cost.prefillTokens;
    this.#prefillTokens = this.#awaitedTokens;
    this.#updatedMs = nowMs;
    this.#decoding++;
    this.#outputTokens += work.cost.outputTokens;
    this.#firstEventsMs += nowMs;
  }

  /** Removes the work of an attempt. Must be called once, however it ended. */
  end({ cost, firstEventMs }: AttemptWork): void {
    if (firstEventMs === undefined) {
      this.#awaitedTokens -= cost.prefillTokens;
    } else {
      this.#decoding--;
      this.#outputTokens -= cost.outputTokens;
      this.#firstEventsMs -= firstEventMs;
    }
    this.#memoryTokens -= cost.memoryTokens;
    this.#removeShare(cost);
  }

  /** Prompt tokens to process before those of a new attempt. */
  prefillTokensLeft(nowMs: Millis, { prefillTokensPerMs }: WorkRates): number {
    const processed = (nowMs - this.#updatedMs) * prefillTokensPerMs;
    const left = Math.max(0, this.#prefillTokens - processed);
    return Math.min(left, this.#awaitedTokens);
  }

  /** Output tokens that the decoding attempts have left. */
  outputTokensLeft(nowMs: Millis, { outputTokensPerMs }: WorkRates): number {
    const decodingMs = this.#decoding * nowMs - this.#firstEventsMs;
    return Math.max(0, this.#outputTokens - decodingMs * outputTokensPerMs);
  }

  /** Number of attempts whose answers have begun. */
  get decoding(): number {
    return this.#decoding;
  }

  /** Tokens that the attempts need in memory, shared ones once. */
  get memoryTokens(): number {
    return this.#memoryTokens;
  }

  /** Tokens that an attempt needs beside those that are in memory already. */
  addedMemoryTokens({ memoryTokens, sharedMemory }: AttemptCost): number {
    const isShared = sharedMemory && this.#shares.has(sharedMemory.key);
    return memoryTokens + (isShared ? 0 : sharedMemory?.tokens ?? 0);
  }

  #addShare({ sharedMemory }: AttemptCost): void {
    if (!sharedMemory) {
      return;
    }
    const { key, tokens } = sharedMemory;
    const share = this.#shares.get(key);
    if (share) {
      share.attempts++;
      return;
    }
    this.#shares.set(key, { attempts: 1, tokens });
    this.#memoryTokens += tokens;
  }

  #removeShare({ sharedMemory }: AttemptCost): void {
    const share = sharedMemory && this.#shares.get(sharedMemory.key);
    if (!share || --share.attempts > 0) {
      return;
    }
    this.#shares.delete(sharedMemory.key);
    this.#memoryTokens -= share.tokens;
  }
}
