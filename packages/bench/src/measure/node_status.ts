import { callJson } from "../fleet/json_client.js";
import type { EndpointNode, RouterNode } from "../fleet/nodes.js";

/**
 * Short, because a paused process must not delay the samples of other
 * processes.
 */
const STATUS_TIMEOUT_MS = 500;

/** Counters of one kind of call to the platform. */
interface PlatformCalls {
  readonly calls: number;
  readonly bytes: number;
}

/** Traffic counters of a router or sidecar since its start. */
export interface TrafficStatus {
  readonly peer: readonly {
    readonly kind: string;
    readonly direction: string;
    readonly control: boolean;
    readonly messages: number;
    readonly bytes: number;
  }[];
  /** Bytes counted by the sockets to peers, in both directions. */
  readonly peer_socket_bytes: number;
  readonly control_bytes: number;
  /**
   * Calls to the platform's object API, by kind of call; all of them are control
   * traffic.
   */
  readonly store: Readonly<Record<string, PlatformCalls>>;
}

/** The part of a router's `/status` that the bench reads. */
export interface RouterStatus {
  readonly config_version: number;
  readonly traffic: TrafficStatus;
}

/** The part of a sidecar's `/status` that the bench reads. */
export interface SidecarStatus {
  readonly state: string;
  readonly load_tokens: number;
  readonly traffic: TrafficStatus;
  readonly last_admitted_at_wall_ms: number | null;
  readonly bound: {
    readonly admitted: Readonly<Record<string, number>>;
    readonly refused: number;
    readonly exceeded: Readonly<Record<string, number>>;
  };
}

/** Returns undefined unless the router answers in time with status 200. */
export function readRouterStatus(
  router: RouterNode,
): Promise<RouterStatus | undefined> {
  return readStatus<RouterStatus>(`${router.adminUrl}/status`);
}

/** Returns undefined unless the sidecar answers in time with status 200. */
export function readSidecarStatus(
  endpoint: EndpointNode,
): Promise<SidecarStatus | undefined> {
  const baseUrl = endpoint.metricsUrl.replace(/\/metrics$/, "");
  return readStatus<SidecarStatus>(`${baseUrl}/status`);
}

async function readStatus<T>(url: string): Promise<T | undefined> {
  try {
    const answer = await callJson(url, { timeoutMs: STATUS_TIMEOUT_MS });
    return answer.status === 200 ? answer.body as T : undefined;
  } catch {
    return undefined;
  }
}
