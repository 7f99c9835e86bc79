import type { SeededRandom } from "../seeded_random.js";
import type {
  AnswerFunction,
  ChatMessage,
  PlannedChat,
  PlannedRequest,
} from "./planned_request.js";
import { textOfTokens } from "./text_generator.js";

/** A client account and its share of the traffic. */
export interface AccountShare {
  readonly name: string;
  readonly share: number;
}

export interface WorkloadOptions {
  readonly durationMs: number;
  readonly requestsPerS: number;
  readonly accounts: readonly AccountShare[];
  readonly answer: AnswerFunction;
  /** Sent before the measurement to fill the caches; part of the plan. */
  readonly newChatShare: number;
  /** Multiplies the length of the pages of a few large chats. */
  readonly largeChatFactor: number;
  /** A chat returns at the earliest after this pause. */
  readonly minPauseMs: number;
}

export const DEFAULT_WORKLOAD_OPTIONS = {
  newChatShare: 0.2,
  largeChatFactor: 1,
  minPauseMs: 1500,
} as const;

/** Produces all requests of a run in advance, so that arrivals are open-loop. */
export abstract class Workload {
  abstract readonly name: string;

  constructor(protected readonly options: WorkloadOptions) {}

  /** Requests in order of arrival; equal seeds give equal plans. */
  plan(random: SeededRandom): PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    const gapMs = 1000 / this.options.requestsPerS;
    this.prepare(random);
    let atMs = random.exponential(gapMs);
    while (atMs < this.options.durationMs) {
      requests.push(this.planOne(atMs, random));
      atMs += random.exponential(gapMs);
    }
    return requests;
  }

  protected abstract prepare(random: SeededRandom): void;
  protected abstract planOne(
    atMs: number,
    random: SeededRandom,
  ): PlannedRequest;

  protected pickAccount(random: SeededRandom): string {
    const shares = this.options.accounts.map((account) => account.share);
    return this.options.accounts[random.pickWeighted(shares)]!.name;
  }
}

/** A chat that grows by a question and its answer with every turn. */
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

  /** Plans the next turn and adds it and its answer to the history. */
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

/** Page lengths vary by a factor of four around their middle. */
export function pageOf(meanTokens: number, random: SeededRandom): string {
  const factor = 0.5 * 4 ** random.unit();
  return textOfTokens(Math.round(meanTokens * factor), random);
}
