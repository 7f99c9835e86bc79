/** Placement: chooses an endpoint for a request and submits it there. */
import type { Millis } from "../clock.js";
import { isNameAllowed } from "../config/index.js";
import {
  type EndpointView,
  findEndpoint,
  rankByRendezvous,
  unusableReason,
  usableEndpoints,
} from "../membership/index.js";
import {
  BLOCK_TOKENS,
  type Candidate,
  packHashes,
  sampleBlockIndexes,
} from "../placement/index.js";
import type { Message, MessageOf, SubmitMessage } from "../wire/index.js";
import {
  type AttemptState,
  recordExplainStep,
  recordMetric,
  type RequestState,
  type RouterContext,
  sidecarConnectionOf,
} from "./router_state.js";
import { deliveredText } from "./delivered_text.js";

/** Number of endpoints that are tried before a request fails as "overloaded". */
export const MAX_TRIED_ENDPOINTS = 6;

/** The sidecar refuses an attempt that it could not start within this time. */
const START_WINDOW_MS: Millis = 30_000;

/** Prefill rate that is assumed for an endpoint that has sent no status. */
const DEFAULT_PREFILL_TOKENS_PER_S = 10_000;

/**
 * Time over which the placement penalty of a new incarnation falls linearly to
 * zero. A new incarnation has no load at first; without the penalty, all routers
 * would send it their requests at once, although its cache is empty.
 */
const SLOW_START_MS: Millis = 5_000;

/** Penalty of a new incarnation at its start, added to its estimated cost. */
const SLOW_START_PENALTY_MS: Millis = 100;

/**
 * Result of a placement: an attempt was submitted, replies to probes are awaited,
 * or no endpoint can be tried.
 */
export type PlacementResult = "placed" | "probing" | "no_endpoint";

/**
 * Submits a request to its next candidate if there is one left; otherwise
 * probes a shortlist of endpoints.
 */
export function startPlacement(
  ctx: RouterContext,
  request: RequestState,
): PlacementResult {
  const nextEndpointId = dequeueCandidate(ctx, request);
  if (nextEndpointId !== undefined) {
    submitTo(ctx, request, nextEndpointId, "next_choice");
    return "placed";
  }
  if (request.triedEndpointIds.size >= MAX_TRIED_ENDPOINTS) {
    return "no_endpoint";
  }
  const { options, chatEndpoints, randomBelow } = ctx.state;
  const endpoints = allowedEndpoints(ctx, request);
  const rankedEndpointIds = rankByRendezvous(
    options.placement.rankingKey(request.request),
    endpoints.map((endpoint) => endpoint.endpointId),
  );
  const domainsByEndpointId = new Map(
    endpoints.map((endpoint) => [endpoint.endpointId, endpoint.failureDomain]),
  );
  const shortlist = options.placement.shortlist(rankedEndpointIds, {
    maxProbes: options.probeCount,
    lastEndpointId: chatEndpoints.get(request.request.chatId),
    failureDomainOf: (id) => domainsByEndpointId.get(id) ?? "",
    randomBelow,
  });
  if (shortlist.length === 0) {
    return "no_endpoint";
  }
  startProbes(ctx, request, shortlist, rankedEndpointIds);
  return finishProbing(ctx, request, false);
}

/**
 * Submits the request to the best of the probed endpoints. Returns "probing"
 * while probes are unanswered, unless `timedOut` is set. Endpoints that did not
 * answer are candidates only if no endpoint answered.
 */
export function finishProbing(
  ctx: RouterContext,
  request: RequestState,
  timedOut: boolean,
): PlacementResult {
  const probeRound = request.probeRound;
  if (!probeRound) {
    return "no_endpoint";
  }
  if (probeRound.pendingProbes.size > 0 && !timedOut) {
    return "probing";
  }
  const unansweredIds = new Set(probeRound.pendingProbes.values());
  discardProbes(ctx, request);
  const candidates = [
    ...probeRound.cachedTokensByEndpointId.keys(),
    ...unansweredIds,
  ]
    .map((id) => toCandidate(ctx, request, id, probeRound))
    .filter((candidate) => candidate !== undefined);
  const answeredCandidates = candidates.filter((candidate) =>
    !unansweredIds.has(candidate.endpointId)
  );
  const orderedCandidates = ctx.state.options.placement.order(
    answeredCandidates.length > 0 ? answeredCandidates : candidates,
    {
      chatId: request.request.chatId,
      promptTokens: request.request.promptTokens,
      outputTokens: request.estimatedOutputTokens,
    },
    ctx.state.randomBelow,
  );
  const [bestId, ...otherIds] = orderedCandidates.map((candidate) =>
    candidate.endpointId
  );
  if (bestId === undefined) {
    return placeOutsideShortlist(ctx, request, probeRound.shortlist);
  }
  request.nextEndpointIds = otherIds;
  submitTo(ctx, request, bestId, "policy");
  return "placed";
}

/**
 * Places a request after no endpoint of the shortlist could be used: marks these
 * endpoints as tried and starts the placement again with the others.
 */
function placeOutsideShortlist(
  ctx: RouterContext,
  request: RequestState,
  shortlist: readonly string[],
): PlacementResult {
  shortlist.forEach((id) => request.triedEndpointIds.add(id));
  return startPlacement(ctx, request);
}

/** Removes the unanswered probes of a request; late replies are ignored. */
export function discardProbes(ctx: RouterContext, request: RequestState) {
  for (const [probeId, endpointId] of request.probeRound?.pendingProbes ?? []) {
    ctx.state.requestsByProbe.delete(probeId);
    sidecarConnectionOf(ctx.state, endpointId).probeIds.delete(probeId);
    recordMetric(ctx, "probes_total", { result: "unanswered" });
  }
  request.probeRound = undefined;
}

/**
 * Records how many prompt tokens the endpoint has cached, according to its
 * reply.
 */
export function recordProbeReply(
  ctx: RouterContext,
  request: RequestState,
  reply: MessageOf<"probe_reply">,
): void {
  const probeRound = request.probeRound;
  const endpointId = probeRound?.pendingProbes.get(reply.probeId);
  if (!probeRound || endpointId === undefined) {
    return;
  }
  probeRound.pendingProbes.delete(reply.probeId);
  const sampledIndexes = sampleBlockIndexes(request.request.blockHashes.length);
  const blockIndex = sampledIndexes[reply.cachedIndex];
  const cachedTokens = blockIndex === undefined
    ? 0
    : (blockIndex + 1) * BLOCK_TOKENS;
  probeRound.cachedTokensByEndpointId.set(endpointId, cachedTokens);
  recordMetric(ctx, "probes_total", { result: "answered" });
  recordExplainStep(ctx, request, "probe answered", {
    endpointId,
    detail: `cached ${cachedTokens} tokens, load ${
      Math.round(reply.facts.loadTokens)
    }, queue ${Math.round(reply.facts.queueWaitMs)} ms`,
  });
}

/**
 * Sends a message to an endpoint's sidecar. Returns false if the address of the
 * endpoint is unknown because the instance list does not contain the endpoint.
 */
export function sendTo(
  ctx: RouterContext,
  endpointId: string,
  message: Message,
): boolean {
  const endpoint = findEndpoint(ctx.state.membership, endpointId);
  if (!endpoint) {
    return false;
  }
  ctx.effects.push({
    type: "send",
    endpointId,
    address: endpoint.address,
    message,
  });
  return true;
}

/**
 * Returns the connection of an endpoint. If no attempt or probe awaits a frame
 * from the endpoint yet, first restarts the connection's heartbeat interval and
 * stall timeout. Must be called before the new attempt or probe is added to the
 * connection.
 */
function resetHeartbeatIfIdle(ctx: RouterContext, endpointId: string) {
  const connection = sidecarConnectionOf(ctx.state, endpointId);
  if (connection.attemptIds.size === 0 && connection.probeIds.size === 0) {
    connection.lastPingMs = ctx.nowMs;
    connection.unansweredPingMs = undefined;
  }
  return connection;
}

/** Usable endpoints of the pool that are allowed for the account and not tried yet. */
function allowedEndpoints(
  ctx: RouterContext,
  request: RequestState,
): EndpointView[] {
  const { config, membership } = ctx.state;
  return usableEndpoints(
    membership,
    request.pool.name,
    ctx.nowMs,
    config?.evacuatedDomains,
  )
    .filter((endpoint) =>
      !request.triedEndpointIds.has(endpoint.endpointId) &&
      isNameAllowed(request.account.failure_domains, endpoint.failureDomain)
    );
}

/** Whether endpoints could be tried, but all are in evacuated failure domains. */
export function isEvacuated(
  { nowMs, state: { config, membership } }: RouterContext,
  { account, pool }: RequestState,
): boolean {
  const endpoints = usableEndpoints(membership, pool.name, nowMs)
    .filter(({ failureDomain }) =>
      isNameAllowed(account.failure_domains, failureDomain)
    );
  return endpoints.length > 0 &&
    endpoints.every(({ failureDomain }) =>
      config?.evacuatedDomains.has(failureDomain)
    );
}

function isInEvacuatedDomain(
  { state: { config, membership } }: RouterContext,
  endpointId: string,
): boolean {
  const domain = findEndpoint(membership, endpointId)?.failureDomain;
  return domain !== undefined && config?.evacuatedDomains.has(domain) === true;
}

/** Removes and returns the best remaining candidate that is usable. */
function dequeueCandidate(
  ctx: RouterContext,
  request: RequestState,
): string | undefined {
  if (request.triedEndpointIds.size >= MAX_TRIED_ENDPOINTS) {
    return undefined;
  }
  while (request.nextEndpointIds.length > 0) {
    const id = request.nextEndpointIds.shift() as string;
    const reason = unusableReason(ctx.state.membership, id, ctx.nowMs);
    if (
      !request.triedEndpointIds.has(id) && reason === undefined &&
      !isInEvacuatedDomain(ctx, id)
    ) {
      return id;
    }
  }
  return undefined;
}

function startProbes(
  ctx: RouterContext,
  request: RequestState,
  shortlist: readonly string[],
  rankedEndpointIds: readonly string[],
): void {
  const { options } = ctx.state;
  const probeRound = {
    deadlineAtMs: ctx.nowMs + options.probeTimeoutMs,
    pendingProbes: new Map<string, string>(),
    cachedTokensByEndpointId: new Map<string, number>(),
    rankedEndpointIds,
    shortlist,
  };
  request.probeRound = probeRound;
  const blockHashes = request.request.blockHashes;
  const sampledIndexes = sampleBlockIndexes(blockHashes.length);
  for (const endpointId of shortlist) {
    const connection = sidecarConnectionOf(ctx.state, endpointId);
    const isStatusFresh =
      ctx.nowMs - connection.statusAtMs <= options.probeFreshMs;
    // A probe asks how much of the prompt is cached, and refreshes the status.
    // The probe is skipped in three cases: the policy needs no probes; the
    // request is a call to a plain service and the shortlist has one endpoint;
    // or the prompt has no block that could be cached and the status is fresh.
    const skipProbe = !options.placement.needsProbes ||
      shortlist.length === 1 && request.request.kind === "service" ||
      sampledIndexes.length === 0 && isStatusFresh;
    if (skipProbe) {
      probeRound.cachedTokensByEndpointId.set(endpointId, 0);
      continue;
    }
    const probeId = `p${ctx.state.nextProbeNumber++}`;
    resetHeartbeatIfIdle(ctx, endpointId).probeIds.add(probeId);
    probeRound.pendingProbes.set(probeId, endpointId);
    ctx.state.requestsByProbe.set(probeId, request);
    sendTo(ctx, endpointId, {
      type: "probe",
      probeId,
      prefixHashes: packHashes(sampledIndexes.map((i) => blockHashes[i])),
      configVersion: ctx.state.config?.version ?? 0,
    });
  }
}

function toCandidate(
  ctx: RouterContext,
  request: RequestState,
  endpointId: string,
  probeRound: NonNullable<RequestState["probeRound"]>,
): Candidate | undefined {
  const endpoint = findEndpoint(ctx.state.membership, endpointId);
  const connection = sidecarConnectionOf(ctx.state, endpointId);
  const { status } = connection;
  if (
    !endpoint || request.triedEndpointIds.has(endpointId) ||
    isInEvacuatedDomain(ctx, endpointId) ||
    status !== undefined && status.state !== "active"
  ) {
    return undefined;
  }
  return {
    endpointId,
    failureDomain: endpoint.failureDomain,
    rendezvousRank: probeRound.rankedEndpointIds.indexOf(endpointId),
    cachedTokens: probeRound.cachedTokensByEndpointId.get(endpointId) ?? 0,
    loadTokens: status?.loadTokens ?? 0,
    queueWaitMs: status?.queueWaitMs ?? 0,
    poolMeanTokens: status?.poolMeanTokens ?? 0,
    prefillTokensPerS: status?.prefillTokensPerS ??
      DEFAULT_PREFILL_TOKENS_PER_S,
    penaltyMs: endpoint.penaltyMs + slowStartPenaltyMs(ctx, endpoint),
  };
}

function slowStartPenaltyMs(
  ctx: RouterContext,
  endpoint: EndpointView,
): Millis {
  const ageMs = ctx.nowMs - endpoint.incarnationSinceMs;
  return ageMs >= SLOW_START_MS
    ? 0
    : SLOW_START_PENALTY_MS * (1 - Math.max(0, ageMs) / SLOW_START_MS);
}

function submitTo(
  ctx: RouterContext,
  request: RequestState,
  endpointId: string,
  decision: "policy" | "next_choice",
): void {
  const connection = resetHeartbeatIfIdle(ctx, endpointId);
  const attempt: AttemptState = {
    attemptId: `${request.request.requestId}.${request.attemptCount++}`,
    endpointId,
    incarnation: connection.incarnation,
    expectedSeq: 0,
    ackedSeq: 0,
    unackedBytes: 0,
    resumeDeadlineAtMs: undefined,
    resumeCount: 0,
  };
  request.attempt = attempt;
  request.triedEndpointIds.add(endpointId);
  connection.attemptIds.add(attempt.attemptId);
  ctx.state.requestsByAttempt.set(attempt.attemptId, request);
  recordMetric(ctx, "placements_total", { decision });
  recordExplainStep(ctx, request, "submitted", {
    endpointId,
    detail: decision,
  });
  sendTo(ctx, endpointId, composeSubmit(ctx, request, attempt));
}

function composeSubmit(
  ctx: RouterContext,
  requestState: RequestState,
  attempt: AttemptState,
): SubmitMessage {
  const { request, account } = requestState;
  const remainingMs = requestState.deadlineAtMs - ctx.nowMs;
  const sendsIdempotencyKey = !requestState.idempotent &&
    request.idempotencyKey !== undefined;
  return {
    type: "submit",
    requestId: request.requestId,
    attemptId: attempt.attemptId,
    kind: request.kind,
    account: account.name,
    weight: account.weight,
    priority: account.priority,
    deadlineInMs: remainingMs,
    startWithinMs: Math.min(remainingMs, START_WINDOW_MS),
    idempotent: requestState.idempotent,
    idempotencyKey: sendsIdempotencyKey ? request.idempotencyKey : undefined,
    fingerprint: sendsIdempotencyKey ? request.fingerprint : undefined,
    promptTokens: request.promptTokens,
    outputTokens: requestState.estimatedOutputTokens,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    configVersion: ctx.state.config?.version ?? 0,
    prefixHashes: packHashes(request.blockHashes),
    resumeText: requestState.deliveredData.length > 0
      ? deliveredText(requestState)
      : undefined,
    ignoreBound: ctx.state.options.enforceLoadBound ? undefined : true,
  };
}
