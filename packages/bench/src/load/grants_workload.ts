import type { SeededRandom } from "../seeded_random.js";
import type { PlannedCall, PlannedRequest } from "./planned_request.js";
import { textOfTokens } from "./text_generator.js";
import { GrowingChat, randomPage, Workload } from "./workload.js";

const LEDGER_TOKENS = 3000;
const MAX_TURNS = 8;
/**
 * One in this many chats has a large ledger. A large ledger is
 * `largeChatFactor` times as long as the others.
 */
const CHATS_PER_LARGE_LEDGER = 8;
const TAG_DEADLINE_MS = 4000;
const NARRATIVE_DEADLINE_MS = 20_000;

/** Fractions of the requests; all other requests are narratives. */
const TAG_FRACTION = 0.45;
const APPROVAL_FRACTION = 0.1;
const STATUS_FRACTION = 0.1;
/**
 * Fraction of the approvals sent with an idempotency key. No approval is
 * idempotent by itself.
 */
const KEYED_APPROVAL_FRACTION = 0.5;

/**
 * Sends two kinds of chats, both with deadlines: narratives about long ledgers,
 * and short tags. Also calls a plain service for approvals and status lookups.
 */
export class GrantsWorkload extends Workload {
  readonly name = "grants";
  readonly #chats: GrowingChat[] = [];
  #nextId = 0;

  protected override prepare(): void {}

  protected override planRequest(
    atMs: number,
    random: SeededRandom,
  ): PlannedRequest {
    const draw = random.uniform();
    if (draw < TAG_FRACTION) {
      return this.#planTag(atMs, random);
    }
    if (draw < TAG_FRACTION + APPROVAL_FRACTION) {
      return this.#planApprovalCall(atMs, random);
    }
    if (draw < TAG_FRACTION + APPROVAL_FRACTION + STATUS_FRACTION) {
      return this.#planStatusLookup(atMs, random);
    }
    return this.#planNarrative(atMs, random);
  }

  #planTag(atMs: number, random: SeededRandom): PlannedRequest {
    const chat = new GrowingChat(
      `tag-${this.#nextId++}`,
      this.pickAccount(random),
      "Answer with one spending category.",
    );
    return chat.nextTurn(atMs, {
      label: "tag",
      question: textOfTokens(random.int(30, 120), random),
      maxTokens: 4,
      stream: false,
      answer: this.options.answer,
      deadlineMs: TAG_DEADLINE_MS,
    });
  }

  #planNarrative(atMs: number, random: SeededRandom): PlannedRequest {
    const chat = this.#chooseChat(atMs, random);
    return chat.nextTurn(atMs, {
      label: "narrative",
      question: textOfTokens(120, random),
      maxTokens: random.int(24, 48),
      stream: true,
      answer: this.options.answer,
      deadlineMs: NARRATIVE_DEADLINE_MS,
    });
  }

  #planApprovalCall(atMs: number, random: SeededRandom): PlannedCall {
    return planApproval(
      atMs,
      this.pickAccount(random),
      `approval-${this.#nextId++}`,
      random.chance(KEYED_APPROVAL_FRACTION),
    );
  }

  #planStatusLookup(atMs: number, random: SeededRandom): PlannedCall {
    const callId = `status-${this.#nextId++}`;
    return {
      kind: "call",
      label: "status",
      atMs,
      account: this.pickAccount(random),
      callId,
      method: "GET",
      path: `/services/approvals/status/${callId}`,
      isIdempotent: true,
    };
  }

  #chooseChat(atMs: number, random: SeededRandom): GrowingChat {
    const account = this.pickAccount(random);
    const idleChats = this.#chats.filter((chat) =>
      chat.account === account && chat.turnCount < MAX_TURNS &&
      chat.lastAtMs + this.options.minPauseMs <= atMs
    );
    if (
      idleChats.length > 0 && !random.chance(this.options.newChatProbability)
    ) {
      return random.pick(idleChats);
    }
    const id = this.#nextId++;
    const factor = id % CHATS_PER_LARGE_LEDGER === 0
      ? this.options.largeChatFactor
      : 1;
    const chat = new GrowingChat(
      `ledger-${id}`,
      account,
      randomPage(LEDGER_TOKENS * factor, random),
    );
    this.#chats.push(chat);
    return chat;
  }
}

/**
 * Plans an approval call, which must not run twice. If `isKeyed`, the call ID
 * is also the idempotency key, so that the caller may repeat the call.
 */
export function planApproval(
  atMs: number,
  account: string,
  callId: string,
  isKeyed: boolean,
): PlannedCall {
  return {
    kind: "call",
    label: "approval",
    atMs,
    account,
    callId,
    method: "POST",
    path: `/services/approvals/approve/${callId}`,
    body: JSON.stringify({ call_id: callId, decision: "approve" }),
    isIdempotent: false,
    ...(isKeyed ? { idempotencyKey: callId } : {}),
  };
}
