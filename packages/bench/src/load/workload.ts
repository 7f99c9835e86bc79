import type { SeededRandom } from "../seeded_random.js";
import type {
  AnswerFunction,
  ChatMessage,
  PlannedChat,
  PlannedRequest,
} from "./planned_request.js";
import { textOfTokens } from "./text_generator.js";

/** `weight` is the traffic of the account relative to the other accounts. */
export interface AccountWeight {
  readonly name: string;
  readonly weight: number;
}

export interface WorkloadOptions {
  readonly durationMs: number;
  readonly requestsPerS: number;
  readonly accounts: readonly AccountWeight[];
  readonly answer: AnswerFunction;
  /** Probability that a new chat starts although an idle chat could return. */
  readonly newChatProbability: number;
  /**
   * Factor by which a few large pages or ledgers are longer than the others.
   */
  readonly largeChatFactor: number;
  /** Minimum time between two turns of a chat. */
  readonly minPauseMs: number;
}

export const DEFAULT_WORKLOAD_OPTIONS = {
  newChatProbability: 0.2,
  largeChatFactor: 1,
  minPauseMs: 1500,
} as const;

/**
 * Plans all requests of a run in advance, so that the time at which a request
 * is sent does not depend on earlier answers.
 */
export abstract class Workload {
  abstract readonly name: string;

  constructor(protected readonly options: WorkloadOptions) {}

  /** Returns the requests in order of arrival; equal seeds give equal plans. */
  plan(random: SeededRandom): PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    const meanGapMs = 1000 / this.options.requestsPerS;
    this.prepare(random);
    let atMs = random.exponential(meanGapMs);
    while (atMs < this.options.durationMs) {
      requests.push(this.planRequest(atMs, random));
      atMs += random.exponential(meanGapMs);
    }
    return requests;
  }

  /** Called once, before the first call of `planRequest`. */
  protected abstract prepare(random: SeededRandom): void;
  protected abstract planRequest(
    atMs: number,
    random: SeededRandom,
  ): PlannedRequest;

  protected pickAccount(random: SeededRandom): string {
    const weights = this.options.accounts.map((account) => account.weight);
    return this.options.accounts[random.pickWeighted(weights)]!.name;
  }
}

/** A chat whose prompt grows by a question and its answer with every turn. */
export class GrowingChat {
  #messages: ChatMessage[];
  #turn = 0;
  lastAtMs = -Infinity;

  constructor(
    readonly id: string,
    readonly account: string,
    page: string,
  ) {
    this.#messages = [{ role: "system", content: page }];
  }

  get turnCount(): number {
    return this.#turn;
  }

  /** Plans the next turn and appends its question and answer to the history. */
  nextTurn(
    atMs: number,
    options: {
      readonly label: string;
      readonly question: string;
      readonly maxTokens: number;
      readonly stream: boolean;
      readonly answer: AnswerFunction;
      readonly deadlineMs?: number;
    },
  ): PlannedChat {
    const messages: ChatMessage[] = [
      ...this.#messages,
      { role: "user", content: options.question },
    ];
    const expected = options.answer(messages, options.maxTokens);
    const planned: PlannedChat = {
      kind: "chat",
      atMs,
      account: this.account,
      label: options.label,
      chat: this.id,
      turn: this.#turn,
      messages,
      maxTokens: options.maxTokens,
      stream: options.stream,
      expected,
      ...(options.deadlineMs === undefined
        ? {}
        : { deadlineMs: options.deadlineMs }),
    };
    this.#messages = [...messages, { role: "assistant", content: expected }];
    this.#turn++;
    this.lastAtMs = atMs;
    return planned;
  }
}

/**
 * Returns a random text. Its length is log-uniform from half to twice
 * `medianTokens`.
 */
export function randomPage(medianTokens: number, random: SeededRandom): string {
  const factor = 0.5 * 4 ** random.uniform();
  return textOfTokens(Math.round(medianTokens * factor), random);
}
