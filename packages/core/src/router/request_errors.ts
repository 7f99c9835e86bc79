/**
 * Errors that a router sends to callers. Callers may depend on the codes and
 * texts.
 */
import type { Millis } from "../clock.js";
import type { RefusalReason, RefusedMessage } from "../wire/index.js";
import type { ErrorAnswer } from "./router_event.js";

/** Delay after which callers may retry when capacity is lacking. */
const CAPACITY_RETRY_MS: Millis = 1000;

function notRunError(
  status: number,
  code: string,
  message: string,
  retryAfterMs?: Millis,
): ErrorAnswer {
  return {
    status,
    code,
    errorType: status >= 500 ? "server_error" : "invalid_request_error",
    message,
    outcome: "not-run",
    retryAfterMs,
  };
}

/** Errors of requests that were refused or timed out, or whose result was lost. */
export const requestErrors = {
  invalidKey: () =>
    notRunError(401, "invalid_api_key", "Incorrect API key provided."),
  modelNotFound: (model: string) =>
    notRunError(
      404,
      "model_not_found",
      `The model '${model}' does not exist or you do not have access to it.`,
    ),
  serviceNotFound: (service: string) =>
    notRunError(
      404,
      "service_not_found",
      `The service '${service}' does not exist or you do not have access to it.`,
    ),
  rateLimited: (retryAfterMs: Millis) =>
    notRunError(
      429,
      "rate_limit_exceeded",
      "Rate limit of the account reached.",
      retryAfterMs,
    ),
  tooManyConcurrent: () =>
    notRunError(
      429,
      "concurrency_limit_exceeded",
      "Too many requests of the account are in progress.",
      CAPACITY_RETRY_MS,
    ),
  notReady: () =>
    notRunError(
      503,
      "not_ready",
      "This router has no configuration yet.",
      CAPACITY_RETRY_MS,
    ),
  stopping: () =>
    notRunError(
      503,
      "stopping",
      "This router is shutting down; repeat the request.",
      0,
    ),
  noEndpoint: (detail: string) =>
    notRunError(
      503,
      "overloaded",
      `No endpoint can take the request now (${detail}).`,
      CAPACITY_RETRY_MS,
    ),
  domainEvacuated: () =>
    notRunError(
      503,
      "domain_evacuated",
      "Operators evacuate the failure domains of all endpoints.",
      CAPACITY_RETRY_MS,
    ),
  staleConfig: () =>
    notRunError(
      503,
      "stale_configuration",
      "This router waits for a newer configuration; repeat the request.",
      CAPACITY_RETRY_MS,
    ),
  deadline: (mayHaveRun: boolean): ErrorAnswer => ({
    status: 504,
    code: "deadline_exceeded",
    errorType: "server_error",
    message: "The deadline passed before the answer was complete.",
    outcome: mayHaveRun ? "unknown" : "not-run",
  }),
  outcomeUnknown: (detail: string): ErrorAnswer => ({
    status: 502,
    code: "outcome_unknown",
    errorType: "server_error",
    message:
      `The request was sent to an endpoint and its result was lost (${detail}). It may have run.`,
    outcome: "unknown",
    retryAfterMs: CAPACITY_RETRY_MS,
  }),
};

const REFUSAL_STATUS_AND_MESSAGE: Partial<
  Record<RefusalReason, [number, string]>
> = {
  duplicate_running: [
    409,
    "A call with the same Idempotency-Key is running.",
  ],
  duplicate_finished: [
    409,
    "The call with this Idempotency-Key has finished; its answer is no longer stored.",
  ],
  duplicate_unknown: [
    409,
    "A call with the same Idempotency-Key was started and its result is not known.",
  ],
  fingerprint_mismatch: [
    422,
    "This Idempotency-Key was used for another request.",
  ],
  store_unavailable: [
    503,
    "The call cannot be recorded now, so it was not started.",
  ],
  deadline: [503, "The request cannot finish before its deadline."],
};

/** Error for a refusal that any other endpoint would give as well. */
export function errorForRefusal(refused: RefusedMessage): ErrorAnswer {
  const [status, message] = REFUSAL_STATUS_AND_MESSAGE[refused.reason] ??
    [503, `The endpoint refused the request (${refused.reason}).`];
  return {
    status,
    code: refused.reason,
    errorType: status >= 500 ? "server_error" : "invalid_request_error",
    message,
    outcome: refused.outcome,
    retryAfterMs: refused.retryAfterMs,
  };
}
