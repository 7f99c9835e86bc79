export interface ChatMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

interface PlannedBase {
  /** Time after the start of the load. */
  readonly atMs: number;
  readonly account: string;
  readonly deadlineMs?: number;
}

export interface PlannedChat extends PlannedBase {
  readonly kind: "chat";
  /** Kind of work, for figures per kind. */
  readonly label: string;
  readonly chat: string;
  readonly turn: number;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly expected: string;
}

export interface PlannedCall extends PlannedBase {
  readonly kind: "call";
  readonly label: string;
  /** Identifies the call in the log of the plain service. */
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
