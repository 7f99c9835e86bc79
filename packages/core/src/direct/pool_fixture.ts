import type { AnswerHead, DirectCall } from "./direct_event.js";
import type { DirectRoute, RoutingConfig } from "./routing_config.js";

/** Head of an answer that a router relays. */
export const ACCEPTED_HEAD: AnswerHead = {
  status: 200,
  callId: "c",
  signed: true,
  notRun: false,
  misdirected: false,
  load: undefined,
};

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
