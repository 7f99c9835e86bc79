import type { Millis } from "../clock.js";
import type { DirectCall, DirectEffect } from "../direct/direct_event.js";
import type { DirectOptions, DirectState } from "../direct/direct_state.js";
import {
  ACCEPTED_HEAD,
  configReceived,
  endpointsListed,
  poolCall,
  poolConfig,
  poolEndpoint,
  poolState,
} from "../direct/pool_fixture.js";
import { reduceDirect } from "../direct/reduce_direct.js";
import type {
  DirectRoute,
  EndpointRecord,
  RoutingConfig,
} from "../direct/routing_config.js";

export const GAP_OBJECTIVE_MS = 500;

export const STREAM_HEAD = {
  ...ACCEPTED_HEAD,
  contentType: "text/event-stream",
};

/** An engine on a machine of its own. */
export function engine(
  index: number,
  fields: Partial<EndpointRecord> = {},
): EndpointRecord {
  return poolEndpoint(`e${index}`, {
    address: `10.0.${index}.1:80`,
    slots: 64,
    ...fields,
  });
}

/** Configuration of urgent streams that may not be repeated. */
export function copyConfig(
  route: Partial<DirectRoute> = {},
  accounts?: RoutingConfig["accounts"],
  copiesRuns = true,
): RoutingConfig {
  const gapObjectiveMs = GAP_OBJECTIVE_MS;
  return {
    ...poolConfig({ priority: 0, gapObjectiveMs, ...route }, accounts),
    services: [{
      name: "pool",
      engine: { slots: 64, cacheTokens: 400_000, copiesRuns },
    }],
  };
}

export function copyCall(fields: Partial<DirectCall> = {}): DirectCall {
  return poolCall({ promptTokens: 829, outputTokens: 119, ...fields });
}

/** A router without a network, and what it did last. */
export class CopyRouter {
  readonly state: DirectState;
  effects: DirectEffect[] = [];

  constructor(
    engines: readonly EndpointRecord[],
    config = copyConfig(),
    options: Partial<DirectOptions> = {},
  ) {
    this.state = poolState({
      retryExtra: 1000,
      alwaysCopiesRuns: true,
      ...options,
    });
    this.push(configReceived(config));
    this.push(endpointsListed(0, [...engines]));
    this.push({
      type: "directory_state_changed",
      nowMs: -5000,
      available: true,
    });
    this.evacuate();
  }

  push(event: Parameters<typeof reduceDirect>[1]): DirectEffect[] {
    this.effects = reduceDirect(this.state, event);
    return this.effects;
  }

  /** Operators have ordered to evacuate these failure domains, and no others. */
  evacuate(...failureDomains: string[]): void {
    this.push({
      type: "evacuations_changed",
      nowMs: 0,
      failureDomains,
      source: "test",
    });
  }

  /** What the last event sent to an endpoint. */
  get sent() {
    return this.effects.find((effect) => effect.type === "start_attempt");
  }

  /** How the last event ended a request; undefined if it ended none. */
  get outcome() {
    return this.effects.flatMap((effect) =>
      effect.type === "log" && effect.event === "direct_request_finished"
        ? [effect.fields["outcome"]]
        : []
    )[0];
  }

  begin(key = 1, nowMs: Millis = 0, call = copyCall()) {
    this.push({ type: "call_received", nowMs, key, call });
    return this.sent;
  }

  answer(key = 1, nowMs: Millis = 10, attemptNumber = 1, head = STREAM_HEAD) {
    const callId = this.state.requests.get(key)?.call.callId;
    this.push({
      type: "attempt_head",
      nowMs,
      key,
      attemptNumber,
      head: { ...head, callId },
    });
  }

  /** The connection of an attempt is reset after some complete events. */
  cut(key = 1, nowMs: Millis = 100, attemptNumber = 1, canResume = true) {
    return this.push({
      type: "attempt_failed",
      nowMs,
      key,
      attemptNumber,
      failure: { kind: "reset", sent: true },
      canResume,
    });
  }

  checked(address: string, refusesConnections: boolean, nowMs: Millis = 101) {
    return this.push({
      type: "end_checked",
      nowMs,
      address,
      refusesConnections,
    });
  }

  wait(key = 1, nowMs: Millis = 100 + GAP_OBJECTIVE_MS / 2) {
    return this.push({ type: "timer_fired", nowMs, key, timer: "attempt" });
  }
}
