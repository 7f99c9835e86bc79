export interface ChatMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

interface PlannedRequestBase {
  /** Time from the start of the load to the due time of the request. */
  readonly atMs: number;
  readonly account: string;
  readonly deadlineMs?: number;
}

export interface PlannedChat extends PlannedRequestBase {
  readonly kind: "chat";
  /**
   * Kind of work, such as `tag` or `summary`. Reports of stalls contain the
   * label.
   */
  readonly label: string;
  /** Identifies the chat; sent in the `anvildeal-chat` header. */
  readonly chat: string;
  /** Number of earlier turns of the chat. */
  readonly turn: number;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly stream: boolean;
  /** The complete text of a correct answer. */
  readonly expected: string;
}

export interface PlannedCall extends PlannedRequestBase {
  readonly kind: "call";
  readonly label: string;
  /** Identifies the call in the execution log of the plain service. */
  readonly callId: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
  readonly isIdempotent: boolean;
}

export type PlannedRequest = PlannedChat | PlannedCall;

/** Computes the answer that an engine must give to a prompt. */
export type AnswerFunction = (
  messages: readonly ChatMessage[],
  maxTokens: number,
) => string;
