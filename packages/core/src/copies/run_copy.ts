import type { Millis } from "../clock.js";
import type { DirectEndpoint } from "../direct/direct_endpoint.js";
import type { ActiveRequest, DirectState } from "../direct/direct_state.js";

/**
 * Time for which an endpoint keeps the copy of a run that broke off, if the
 * service does not name it.
 */
const DEFAULT_RETENTION_MS: Millis = 5000;

/** Process of an endpoint as it was when an attempt started. */
export interface EndpointProcess {
  readonly endpoint: DirectEndpoint;
  readonly incarnation: number;
  readonly address: string;
}

/** A run whose answer broke off, while it is found out whether it has ended. */
export interface Interruption {
  readonly brokenMs: Millis;
  /** The stream ends at this time unless its first endpoint is known to be gone. */
  readonly untilMs: Millis;
}

/** Copy of a request's run at a second endpoint. */
export interface RunCopy {
  /** Number of the attempt that is copied. */
  readonly attemptNumber: number;
  /** Where the request runs. */
  readonly source: EndpointProcess;
  /** Where the copy is. */
  readonly holder: EndpointProcess;
  readonly softwareVersion: string | undefined;
  readonly tokens: number;
  /** Set while the router waits to know that the run has ended. */
  interruption: Interruption | undefined;
  /** Number of the attempt that resumes the run; undefined if there is none. */
  resumedBy: number | undefined;
}

/** The process that the entry of the endpoint names now. */
export function endpointProcess(endpoint: DirectEndpoint): EndpointProcess {
  const { address, incarnation } = endpoint.record;
  return { endpoint, incarnation, address };
}

/** Whether the endpoint's entry is that of the process, at the same address. */
export function isCurrentProcess(
  { directory }: DirectState,
  { address, endpoint, incarnation }: EndpointProcess,
): boolean {
  const { id, record } = endpoint;
  return directory.get(id) === endpoint && record.address === address &&
    record.incarnation === incarnation;
}

/**
 * Ends the copy of a request, which the endpoint drops at once if the run ended
 * successfully or did not start.
 */
export function endCopy(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  isDropped: boolean,
): void {
  const { copy, service } = request;
  if (!copy) {
    return;
  }
  request.copy = undefined;
  state.interruptedRequests.delete(request);
  const { holder, tokens } = copy;
  if (isDropped) {
    holder.endpoint.copies.remove(tokens);
    return;
  }
  const engine = state.configIndex?.service(service)?.engine;
  holder.endpoint.copies.keepUntil(
    nowMs + (engine?.copyRetentionMs ?? DEFAULT_RETENTION_MS),
    tokens,
  );
}
