// Reads what the answers of an endpoint say of the endpoint itself.

import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "./direct_endpoint.js";
import type { AnswerHead, DirectEffect, DirectEvent } from "./direct_event.js";
import { classifyHead, type HeadClass } from "./direct_rules.js";
import type { DirectState } from "./direct_state.js";
import { observeLimit } from "./endpoint_limits.js";

const SERVICE_UNAVAILABLE = 503;

/**
 * Records what an answer says of its endpoint: load, limit, backoff and drain.
 * The last two count in any answer of the process, also in one to another
 * request or without a signature, since they ask for less work.
 */
export function observeEndpoint(
  endpoint: DirectEndpoint,
  head: AnswerHead,
  headClass: HeadClass,
  nowMs: Millis,
): DirectEffect[] {
  if (head.misdirected) {
    return [];
  }
  const notices = [
    ...observeBackoff(endpoint, head, nowMs),
    ...observeDrain(endpoint, head),
  ];
  return headClass === "invalid"
    ? notices
    : [...observeCapacity(endpoint, head, headClass, nowMs), ...notices];
}

/** Records what the answer to an attempt says that was given up before. */
export function observeDiscardedHead(
  state: DirectState,
  { callId, endpointId, head, incarnation, nowMs }: Extract<
    DirectEvent,
    { type: "discarded_head" }
  >,
): DirectEffect[] {
  const endpoint = state.directory.get(endpointId);
  return endpoint?.record.incarnation === incarnation
    ? observeEndpoint(endpoint, head, classifyHead(head, callId), nowMs)
    : [];
}

function observeCapacity(
  endpoint: DirectEndpoint,
  head: AnswerHead,
  headClass: HeadClass,
  nowMs: Millis,
): DirectEffect[] {
  if (head.load) {
    endpoint.recordReportedLoad(nowMs, head.load);
  }
  // Only an endpoint's own answer shows that it names no limit any more.
  const showsLimit = headClass === "relay" || head.limitPerS !== undefined;
  return showsLimit ? observeLimit(endpoint, head.limitPerS, nowMs) : [];
}

/** Whether the endpoint refuses a request because it wants none for a time. */
export function asksForBackoff({ retryAfterMs, status }: AnswerHead): boolean {
  return status === SERVICE_UNAVAILABLE && retryAfterMs !== undefined &&
    retryAfterMs >= 0;
}

function observeBackoff(
  endpoint: DirectEndpoint,
  head: AnswerHead,
  nowMs: Millis,
): DirectEffect[] {
  const { retryAfterMs, status } = head;
  if (status !== SERVICE_UNAVAILABLE || retryAfterMs === undefined) {
    return [];
  }
  if (!asksForBackoff(head)) {
    return logInvalidBackoff(endpoint);
  }
  const isNews = endpoint.backoff.observe(nowMs, retryAfterMs);
  return isNews
    ? [{
      type: "log",
      event: "endpoint_backs_off",
      fields: {
        endpoint: endpoint.id,
        service: endpoint.record.service,
        backoff_ms: Math.min(Number.MAX_SAFE_INTEGER, retryAfterMs),
      },
    }]
    : [];
}

/** Logs the first bad value only; an endpoint names it in each answer. */
function logInvalidBackoff(endpoint: DirectEndpoint): DirectEffect[] {
  if (endpoint.hasInvalidBackoff) {
    return [];
  }
  endpoint.hasInvalidBackoff = true;
  return [{
    type: "log",
    event: "endpoint_backoff_invalid",
    fields: { endpoint: endpoint.id, service: endpoint.record.service },
  }];
}

function observeDrain(
  endpoint: DirectEndpoint,
  { draining }: AnswerHead,
): DirectEffect[] {
  if (!draining || endpoint.announcesDrain) {
    return [];
  }
  endpoint.announcesDrain = true;
  return [{
    type: "log",
    event: "endpoint_announces_drain",
    fields: { endpoint: endpoint.id, service: endpoint.record.service },
  }];
}
