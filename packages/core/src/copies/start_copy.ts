import type { Millis } from "../clock.js";
import type { DirectEffect } from "../direct/direct_event.js";
import type {
  ActiveAttempt,
  ActiveRequest,
  DirectState,
} from "../direct/direct_state.js";
import {
  chooseCopyHolder,
  copiedTokensOf,
  type PoolLoad,
} from "./choose_copy.js";
import { endCopy, endpointProcess } from "./run_copy.js";

/**
 * Chooses an endpoint that is to hold a copy of the attempt's run, and counts the
 * copy there. The copy of an attempt before this one was not begun, since only
 * runs that did not start are sent to another endpoint.
 */
export function startCopy(
  state: DirectState,
  request: ActiveRequest,
  { endpoint, number, softwareVersion }: ActiveAttempt,
  load: PoolLoad,
  nowMs: Millis,
): DirectEffect[] {
  endCopy(state, request, nowMs, true);
  const holder = chooseCopyHolder(state, request, endpoint, load, nowMs);
  if (!holder) {
    return [];
  }
  const tokens = copiedTokensOf(request.call)!;
  holder.copies.add(tokens);
  request.copy = {
    attemptNumber: number,
    source: endpointProcess(endpoint),
    holder: endpointProcess(holder),
    softwareVersion,
    tokens,
    interruption: undefined,
    resumedBy: undefined,
  };
  return [{
    type: "measure",
    measurement: { metric: "direct_copied_runs_total", value: 1, labels: {} },
  }];
}
