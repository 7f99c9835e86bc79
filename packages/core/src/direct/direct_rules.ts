import type { AnswerHead } from "./direct_event.js";
import type { DirectRoute } from "./routing_config.js";

/** Statuses with which a caller is promised that its request did not run. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: DirectRoute): boolean {
  return route.callKind === "idempotent" ||
    route.callKind === "stream" && route.resumable;
}

/** What an answer's head says about its attempt. */
export type HeadVerdict =
  /** The answer can go to the caller. */
  | "relay"
  /** The endpoint promises that the request did not run. */
  | "not_run"
  /** The request ran or may have run and failed; the answer is whole. */
  | "failure"
  /** The head cannot be trusted; the connection must be closed. */
  | "invalid";

/** Judges the head of an answer to the request with `callId`. */
export function judgeHead(
  head: AnswerHead,
  callId: string | undefined,
): HeadVerdict {
  if (head.callId !== undefined && head.callId !== callId) {
    return "invalid";
  }
  if (head.notRun || head.misdirected) {
    return "not_run";
  }
  if (head.status < 300) {
    return head.signed && head.callId !== undefined ? "relay" : "invalid";
  }
  return head.status < 500 && head.signed && !isPromise(head.status)
    ? "relay"
    : "failure";
}

/**
 * Whether a failure of an endpoint can go to the caller as it is. A promise
 * that the endpoint did not make must not reach the caller.
 */
export function canRelayFailure(head: AnswerHead): boolean {
  return head.signed && head.callId !== undefined && !isPromise(head.status);
}

function isPromise(status: number): boolean {
  return PROMISE_STATUSES.has(status);
}
