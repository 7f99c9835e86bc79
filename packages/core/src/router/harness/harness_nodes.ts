import type { InstanceRow } from "../../membership/index.js";
import { CacheAwarePolicy } from "../../placement/cache_aware_policy.js";
import { createSidecarState, type SidecarState } from "../../sidecar/index.js";
import type { Message, SubmitMessage } from "../../wire/index.js";
import { createRouterState, type RouterState } from "../router_state.js";
import type { Direction } from "./harness_step.js";

/** Smallest value that the settings allow; sidecars raise it to 64 KiB. */
const STREAM_BUFFER_BYTES = 1;

export interface RouterNode {
  readonly id: string;
  readonly state: RouterState;
  /**
   * Sidecars that reported to this router that they are draining, as
   * `id/incarnation`.
   */
  readonly drainingIncarnations: Set<string>;
  configVersion: number;
}

export interface RunningCall {
  readonly attemptId: string;
  readonly submit: SubmitMessage;
  readonly chunks: readonly Uint8Array[];
  /** Index of the next part: 0 is the head, the chunks follow, then the end. */
  nextPartIndex: number;
  paused: boolean;
}

export interface SidecarNode {
  readonly id: string;
  incarnation: number;
  state: SidecarState;
  configVersion: number;
  engineAcceptsCalls: boolean;
  readonly runningCalls: Map<string, RunningCall>;
  /**
   * Submit frames that wait for the decision of the execution record store, by
   * attempt id.
   */
  readonly pendingDecisions: Map<string, SubmitMessage>;
}

/** Connection of a router to a sidecar; either side may have closed its end. */
export interface Link {
  readonly connectionId: string;
  readonly router: RouterNode;
  readonly sidecar: SidecarNode;
  /** Incarnation of the sidecar when the connection was opened. */
  readonly incarnation: number;
  established: boolean;
  routerEndOpen: boolean;
  sidecarEndOpen: boolean;
  /** Messages of the router that wait until the connection is established. */
  readonly unsent: Message[];
  /** Frames in transit, by direction. */
  readonly frames: Record<Direction, Message[]>;
  /** Directions in which no frame is delivered any more. */
  readonly stalled: Record<Direction, boolean>;
}

export function createRouterNode(id: string, seed: number): RouterNode {
  return {
    id,
    state: createRouterState({
      nodeId: id,
      failureDomain: "a",
      seed,
      placement: new CacheAwarePolicy(),
      probeCount: 3,
      probeFreshMs: 250,
      probeTimeoutMs: 100,
      enforceLoadBound: true,
      retryUnconditionally: false,
      detectStalledConnections: true,
    }),
    drainingIncarnations: new Set(),
    configVersion: 0,
  };
}

export function createSidecarNode(
  id: string,
  seed: number,
  nowMs: number,
): SidecarNode {
  return {
    id,
    incarnation: 1,
    state: createSidecar(id, 1, seed, nowMs),
    configVersion: 0,
    engineAcceptsCalls: true,
    runningCalls: new Map(),
    pendingDecisions: new Map(),
  };
}

/** Restarts a sidecar under its id as a new incarnation with no state. */
export function restartSidecarNode(node: SidecarNode, nowMs: number): void {
  node.incarnation++;
  node.runningCalls.clear();
  node.pendingDecisions.clear();
  node.configVersion = 0;
  node.state = createSidecar(
    node.id,
    node.incarnation,
    node.incarnation,
    nowMs,
  );
}

function createSidecar(
  id: string,
  incarnation: number,
  seed: number,
  nowMs: number,
): SidecarState {
  return createSidecarState({
    endpointId: id,
    incarnation,
    address: "127.0.0.1:1",
    pool: "p",
    seed,
    streamBufferBytes: STREAM_BUFFER_BYTES,
    firstComeFirstServed: false,
  }, nowMs);
}

/** Returns the rows of an instance list that contains all nodes. */
export function instanceRows(
  routers: readonly RouterNode[],
  sidecars: readonly SidecarNode[],
): InstanceRow[] {
  const toRow = (instanceId: string, role: InstanceRow["role"]) => ({
    instanceId,
    role,
    pool: role === "endpoint" ? "p" : "",
    address: "127.0.0.1:1",
    failureDomain: "a",
    state: "live" as const,
  });
  return [
    ...routers.map(({ id }) => toRow(id, "router")),
    ...sidecars.map(({ id }) => toRow(id, "endpoint")),
  ];
}
