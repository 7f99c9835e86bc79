import type { Millis } from "../clock.js";
import { DecayingMoments } from "./decaying_moments.js";
import type { AttemptCost } from "./endpoint_work.js";
import { LinearFit } from "./linear_fit.js";

/** Time after which a finished stream weighs half as much. */
const SAMPLE_HALF_LIFE_MS: Millis = 300_000;

/** Maximum weight of all samples, in streams. */
const MAX_WEIGHT = 500;

/** Delay of a first event by each other request, before it is known. */
const INITIAL_DELAY_PER_REQUEST_MS: Millis = 2;

/** A longer delay has other causes than the requests that run there. */
const MAX_DELAY_MS: Millis = 250;

/** Time of an output token before it is known. */
const INITIAL_TOKEN_MS: Millis = 20;

/** Shortest time of an output token that is assumed. */
const MIN_TOKEN_MS: Millis = 0.01;

/** Time that each other request adds to an output token, before it is known. */
const INITIAL_TOKEN_MS_PER_REQUEST: Millis = 0.1;

/** What a finished stream of a service has cost. */
export interface StreamSample {
  readonly cost: AttemptCost;
  readonly outputTokens: number;
  /** Time from the start of the attempt, at the usual pace. */
  readonly firstEventMs: Millis;
  /** Time from the first event to the end. */
  readonly decodeMs: Millis;
  /** Requests at the endpoint when the attempt started. */
  readonly load: number;
  /**
   * Time to the first event beside the expected prefill, at the usual pace;
   * undefined if the prefill was too long to tell.
   */
  readonly delayMs: Millis | undefined;
}

/** What a request of another router has left on average when it is seen. */
export interface PeerWork {
  readonly prefillTokens: number;
  readonly outputTokens: number;
  /** Without prompt parts that other requests share. */
  readonly memoryTokens: number;
}

/** What requests of one service cost and how long its engines take for them. */
export class ServiceCosts {
  readonly #prefillTokens = sampleMoments();
  readonly #outputTokens = sampleMoments();
  readonly #memoryTokens = sampleMoments();
  readonly #firstEventMs = sampleMoments();
  readonly #decodeMs = sampleMoments();
  /** Time to the first event beside the prefill, by load. */
  readonly #delay = new LinearFit(INITIAL_DELAY_PER_REQUEST_MS);
  /** Time of an output token, by load. */
  readonly #tokenMs = new LinearFit(INITIAL_TOKEN_MS_PER_REQUEST);

  /** Learns from a finished stream. */
  record(nowMs: Millis, sample: StreamSample): void {
    const { cost, decodeMs, delayMs, firstEventMs, load, outputTokens } =
      sample;
    this.#prefillTokens.record(nowMs, cost.prefillTokens);
    this.#outputTokens.record(nowMs, outputTokens);
    this.#memoryTokens.record(nowMs, cost.memoryTokens);
    this.#firstEventMs.record(nowMs, firstEventMs);
    this.#decodeMs.record(nowMs, decodeMs);
    if (delayMs !== undefined) {
      this.#delay.record(load, Math.min(MAX_DELAY_MS, Math.max(0, delayMs)));
    }
    if (outputTokens > 0) {
      this.#tokenMs.record(load, decodeMs / outputTokens);
    }
  }

  /** Time to the first event of a request beside its prefill. */
  delayMs(load: number): Millis {
    return this.#delay.at(load);
  }

  /** Time by which each other request delays a first event. */
  get delayMsPerRequest(): Millis {
    return this.#delay.slope;
  }

  /** Time of an output token at the mean load. */
  get typicalTokenMs(): Millis {
    return this.#tokenMs.weight > 0
      ? Math.max(MIN_TOKEN_MS, this.#tokenMs.mean)
      : INITIAL_TOKEN_MS;
  }

  /** Time by which each other request lengthens an output token. */
  get tokenMsPerRequest(): Millis {
    return this.#tokenMs.slope;
  }

  /**
   * Mean of what a request in flight has left. It waits for its first event for
   * a part of its time; half of either part is over on average.
   */
  get peerWork(): PeerWork {
    const waitMs = this.#firstEventMs.moments.mean;
    const totalMs = waitMs + this.#decodeMs.moments.mean;
    const waitingShare = totalMs > 0 ? waitMs / totalMs : 0;
    const output = this.#outputTokens.moments.mean;
    return {
      prefillTokens: this.#prefillTokens.moments.mean * waitingShare / 2,
      outputTokens: output * (waitingShare + (1 - waitingShare) / 2),
      memoryTokens: this.#memoryTokens.moments.mean,
    };
  }
}

function sampleMoments(): DecayingMoments {
  return new DecayingMoments(SAMPLE_HALF_LIFE_MS, MAX_WEIGHT);
}
