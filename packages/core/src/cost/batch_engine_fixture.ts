// A model engine that decodes in batches, without network.

import type { Millis } from "../clock.js";

/** Tokens in the part of a prompt that the requests of a chat share. */
export const SHARED_TOKENS = 10_000;

/** Size of the cache of an engine. */
export const CACHE_TOKENS = 200_000;

/** Time of a pass of the model without any request. */
const STEP_MS: Millis = 12;

/** Time that each decoding request adds to a pass. */
const STEP_MS_PER_REQUEST: Millis = 0.8;

const PREFILL_TOKENS_PER_MS = 50;
const MAX_STEP_PREFILL_TOKENS = 2000;

/** Weight of the time that a request costs each one that runs there. */
const OTHERS_WEIGHT = 0.2;

export interface SimRequest {
  readonly key: number;
  readonly router: number;
  readonly chat: string;
  readonly ownTokens: number;
  readonly events: number;
  readonly hint: number;
  readonly arrivedMs: Millis;
  prefillLeft: number;
  eventsLeft: number;
}

/** The answers of an engine stay in `decoding` until their last event. */
export class BatchEngine {
  readonly id: string;
  pace = 1;
  isStepping = false;
  readonly waiting: SimRequest[] = [];
  readonly decoding: SimRequest[] = [];
  /** Chats whose shared part is cached; least recently used first. */
  readonly chats = new Set<string>();

  constructor(index: number) {
    this.id = `e${index}`;
  }

  get load(): number {
    return this.waiting.length + this.decoding.length;
  }

  /** True time to the first event of a request, and what it costs others. */
  trueCostMs({ chat, ownTokens }: SimRequest): Millis {
    const own = ownTokens + (this.chats.has(chat) ? 0 : SHARED_TOKENS);
    const tokens = this.waiting.reduce((sum, r) => sum + r.prefillLeft, own);
    const stepMs = STEP_MS + STEP_MS_PER_REQUEST * this.load;
    const ownMs = own / PREFILL_TOKENS_PER_MS;
    return this.pace * (tokens / PREFILL_TOKENS_PER_MS + 1.5 * stepMs +
      OTHERS_WEIGHT * this.load * ownMs);
  }

  /** Adds a request; returns the shared tokens that it has to process. */
  accept(request: SimRequest): number {
    const tokens = this.chats.has(request.chat) ? 0 : SHARED_TOKENS;
    this.chats.delete(request.chat);
    this.chats.add(request.chat);
    for (const chat of this.chats) {
      if (this.chats.size * SHARED_TOKENS <= CACHE_TOKENS) {
        break;
      }
      this.chats.delete(chat);
    }
    request.prefillLeft += tokens;
    this.waiting.push(request);
    return tokens;
  }

  /** Begins a pass of the model: some prefill, and an event of each answer. */
  startStep(): Millis {
    const prefillMs = this.#prefill() / PREFILL_TOKENS_PER_MS;
    const decodeMs = STEP_MS_PER_REQUEST * this.decoding.length;
    return this.pace * (STEP_MS + decodeMs + prefillMs);
  }

  /** Ends the pass; returns the requests that get an event. */
  endStep(): SimRequest[] {
    while (this.waiting[0]?.prefillLeft === 0) {
      this.decoding.push(this.waiting.shift()!);
    }
    return [...this.decoding];
  }

  /** Processes prompts in order, within the limit of a step. */
  #prefill(): number {
    let budget = MAX_STEP_PREFILL_TOKENS;
    for (const request of this.waiting) {
      const tokens = Math.min(budget, request.prefillLeft);
      request.prefillLeft -= tokens;
      budget -= tokens;
    }
    return MAX_STEP_PREFILL_TOKENS - budget;
  }
}
