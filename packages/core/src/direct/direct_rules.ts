import type { AnswerHead } from "./direct_event.js";
import type { DirectRoute } from "./routing_config.js";

/** HTTP statuses by which a caller concludes that its request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a request of the route may run more than once. */
export function isRetryable(route: DirectRoute): boolean {
  return route.callKind === "idempotent" ||
    route.callKind === "stream" && route.resumable;
}

/** Class of an answer's head, which decides how the attempt is handled. */
export type HeadClass =
  /** The answer can be relayed to the caller. */
  | "relay"
  /** The endpoint confirms that the request did not run. */
  | "not_run"
  /**
   * The endpoint answered with an error and may have executed the request. The
   * connection can be reused.
   */
  | "error_answer"
  /**
   * The answer may belong to another request, or a successful answer names no
   * request or is not signed. The endpoint may have executed the request, whatever
   * the answer says, and the connection must be closed. Reported as the failure
   * kind `foreign`.
   */
  | "invalid";

/** Classifies the head of an answer to the request with the id `callId`. */
export function classifyHead(
  head: AnswerHead,
  callId: string | undefined,
): HeadClass {
  if (!belongsToRequest(head, callId)) {
    return "invalid";
  }
  if (head.notRun || head.misdirected) {
    return "not_run";
  }
  if (head.status < 300) {
    return head.signed && head.callId !== undefined ? "relay" : "invalid";
  }
  return head.status < 500 && head.signed && !impliesNotRun(head.status)
    ? "relay"
    : "error_answer";
}

/**
 * Whether an error answer from an endpoint can be relayed unchanged. Some
 * statuses tell a caller that its request did not run. They must not be
 * relayed, because the endpoint has not confirmed that.
 */
export function canRelayErrorAnswer(head: AnswerHead): boolean {
  return head.signed && head.callId !== undefined &&
    !impliesNotRun(head.status);
}

function belongsToRequest(
  { callId: answeredId, isFirstOnConnection }: AnswerHead,
  callId: string | undefined,
): boolean {
  return answeredId === undefined
    ? isFirstOnConnection ?? false
    : answeredId === callId;
}

function impliesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
