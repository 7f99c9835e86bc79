import type { Millis } from "../clock.js";
import type {
  AnswerHead,
  DirectCall,
  DirectEffect,
  DirectEvent,
} from "./direct_event.js";
import {
  createDirectState,
  type DirectOptions,
  type DirectState,
} from "./direct_state.js";
import type {
  DirectRoute,
  EndpointRecord,
  RoutingConfig,
} from "./routing_config.js";

/** Head of an answer that a router relays. */
export const ACCEPTED_HEAD: AnswerHead = {
  status: 200,
  callId: "c",
  signed: true,
  notRun: false,
  misdirected: false,
  load: undefined,
};

/** Returns the state of a router that has just started. */
export function poolState(options: Partial<DirectOptions> = {}): DirectState {
  return createDirectState({
    nodeId: "n",
    failureDomain: "a",
    retryRatio: 0.2,
    retryExtra: 10,
    loadMultiple: 2,
    maxDirectoryAgeMs: 3000,
    stopGraceMs: 8000,
    ...options,
  });
}

/** Returns an entry of the list of endpoints. */
export function poolEndpoint(
  id: string,
  fields: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id,
    service: "pool",
    address: "10.0.0.1:80",
    failureDomain: "a",
    state: "ready",
    incarnation: 1,
    ...fields,
  };
}

export function configReceived(config: RoutingConfig): DirectEvent {
  return { type: "config_received", nowMs: 0, source: "test", config };
}

/** The directory lists these endpoints and no others. */
export function endpointsListed(
  nowMs: Millis,
  upserts: EndpointRecord[],
): DirectEvent {
  return {
    type: "endpoints_changed",
    nowMs,
    source: "test",
    change: { upserts, removedIds: [], isSnapshot: true },
  };
}

/** Id of the endpoint at which an attempt begins. */
export function startedEndpointId(
  effects: readonly DirectEffect[],
): string | undefined {
  return effects.find((effect) => effect.type === "start_attempt")?.endpointId;
}

export function refusalOf(effects: readonly DirectEffect[]) {
  return effects.find((effect) => effect.type === "refuse")?.refusal;
}

/** Returns a configuration with one route of streams to the service `pool`. */
export function poolConfig(
  route: Partial<DirectRoute> = {},
  accounts?: RoutingConfig["accounts"],
): RoutingConfig {
  return {
    version: 1,
    routes: [{
      name: "chat",
      host: "h",
      pathPrefix: "/",
      callKind: "stream",
      targets: [{ service: "pool", weight: 1 }],
      timeoutMs: 15_000,
      priority: 1,
      maxAttempts: 1,
      open: true,
      sticky: false,
      resumable: false,
      ...route,
    }],
    services: [{ name: "pool" }],
    limits: {
      maxHeaderBytes: 1000,
      maxBodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    },
    ...(accounts ? { accounts } : {}),
  };
}

/** Returns a call on the route of {@link poolConfig}. */
export function poolCall(fields: Partial<DirectCall> = {}): DirectCall {
  const { path = "/x", promptParts = [] } = fields;
  return {
    callId: "c",
    host: "h",
    path: "/x",
    method: "POST",
    apiKey: undefined,
    deadlineMs: 15_000,
    model: "m",
    promptTokens: 0,
    outputTokens: 50,
    lastEventId: undefined,
    continuedCallId: undefined,
    promptParts: [],
    headerBytes: 10,
    bodyBytes: 10,
    contentDigest: () => [path, ...promptParts.map(({ id }) => id)].join(" "),
    ...fields,
  };
}
