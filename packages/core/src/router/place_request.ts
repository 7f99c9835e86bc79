import type { Millis } from "../clock.js";
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
  contactOf,
  explain,
  measure,
  type RequestState,
  type RouterContext,
} from "./router_state.js";
import { deliveredText } from "./sse_text.js";

/** Endpoints that are tried before a request is refused for overload. */
export const MAX_TRIES = 6;

/** A queued attempt older than this is not worth starting any more. */
const START_WINDOW_MS: Millis = 30_000;

/** Facts of an endpoint that never answered, for the cost estimate. */
const UNKNOWN_PREFILL_TOKENS_PER_S = 10_000;

/**
 * A new incarnation starts with an empty cache and looks idle to every router
 * at once. The penalty falls linearly to zero over this time, so that new
 * endpoints fill up without a stampede.
 */
const SLOW_START_MS: Millis = 5_000;
const SLOW_START_PENALTY_MS: Millis = 100;

/** Result of a placement step. */
export type Placement = "placed" | "probing" | "no_endpoint";

/** Starts to place a request: probes candidates, or submits at once. */
export function startPlacement(
  ctx: RouterContext,
  request: RequestState,
): Placement {
  const nextId = takeNext(ctx, request);
  if (nextId !== undefined) {
    submitTo(ctx, request, nextId, "next_choice");
    return "placed";
  }
  if (request.tried.size >= MAX_TRIES) {
    return "no_endpoint";
  }
  const { options, chatEndpoints, randomBelow } = ctx.state;
  const views = allowedEndpoints(ctx, request);
  const rankedIds = rankByRendezvous(
    options.placement.rankingKey(request.request),
    views.map((view) => view.endpointId),
  );
  const domains = new Map(
    views.map((view) => [view.endpointId, view.failureDomain]),
  );
  const shortlist = options.placement.shortlist(rankedIds, {
    count: options.probeCount,
    lastEndpointId: chatEndpoints.get(request.request.chatId),
    failureDomainOf: (id) => domains.get(id) ?? "",
    randomBelow,
  });
  if (shortlist.length === 0) {
    return "no_endpoint";
  }
  startProbes(ctx, request, shortlist, rankedIds);
  return finishProbing(ctx, request, false);
}

/**
 * Chooses among the probed candidates and submits. Answers "probing" while
 * probes are missing, unless `timedOut`.
 */
export function finishProbing(
  ctx: RouterContext,
  request: RequestState,
  timedOut: boolean,
): Placement {
  const round = request.probing;
  if (!round) {
    return "no_endpoint";
  }
  if (round.pending.size > 0 && !timedOut) {
    return "probing";
  }
  const silentIds = new Set(round.pending.values());
  abandonProbes(ctx, request);
  const candidates = [...round.cachedTokens.keys(), ...silentIds]
    .map((id) => toCandidate(ctx, request, id, round))
    .filter((candidate) => candidate !== undefined);
  const answered = candidates.filter((c) => !silentIds.has(c.endpointId));
  const ordered = ctx.state.options.placement.order(
    answered.length > 0 ? answered : candidates,
    {
      chatId: request.request.chatId,
      promptTokens: request.request.promptTokens,
      outputTokens: request.outputTokens,
    },
    ctx.state.randomBelow,
  );
  const [best, ...others] = ordered.map((candidate) => candidate.endpointId);
  if (best === undefined) {
    return placeBeyond(ctx, request, round.shortlist);
  }
  request.nextIds = others;
  submitTo(ctx, request, best, "policy");
  return "placed";
}

/** Tries the rest of the pool when no probed endpoint can be used. */
function placeBeyond(
  ctx: RouterContext,
  request: RequestState,
  shortlist: readonly string[],
): Placement {
  shortlist.forEach((id) => request.tried.add(id));
  return startPlacement(ctx, request);
}

/** Forgets the probes of a request that are still unanswered. */
export function abandonProbes(ctx: RouterContext, request: RequestState) {
  for (const [probeId, endpointId] of request.probing?.pending ?? []) {
    ctx.state.requestsByProbe.delete(probeId);
    contactOf(ctx.state, endpointId).probeIds.delete(probeId);
    measure(ctx, "probes_total", { result: "unanswered" });
  }
  request.probing = undefined;
}

/** Takes the answer to a probe into account. */
export function receiveProbeReply(
  ctx: RouterContext,
  request: RequestState,
  reply: MessageOf<"probe_reply">,
): void {
  const round = request.probing;
  const endpointId = round?.pending.get(reply.probeId);
  if (!round || endpointId === undefined) {
    return;
  }
  round.pending.delete(reply.probeId);
  const sample = sampleBlockIndexes(request.request.blockHashes.length);
  const block = sample[reply.cachedIndex];
  const cachedTokens = block === undefined ? 0 : (block + 1) * BLOCK_TOKENS;
  round.cachedTokens.set(endpointId, cachedTokens);
  measure(ctx, "probes_total", { result: "answered" });
  explain(ctx, request, "probe answered", {
    endpointId,
    detail: `cached ${cachedTokens} tokens, load ${
      Math.round(reply.facts.loadTokens)
    }, queue ${Math.round(reply.facts.queueWaitMs)} ms`,
  });
}

/** Sends a message to an endpoint; false when its address is not known. */
export function sendTo(
  ctx: RouterContext,
  endpointId: string,
  message: Message,
): boolean {
  const view = findEndpoint(ctx.state.membership, endpointId);
  if (!view) {
    return false;
  }
  ctx.effects.push({
    type: "send",
    endpointId,
    address: view.address,
    message,
  });
  return true;
}

/** Notes that frames are awaited from now on, which starts heartbeats. */
function awaitFrames(ctx: RouterContext, endpointId: string) {
  const contact = contactOf(ctx.state, endpointId);
  if (contact.attemptIds.size === 0 && contact.probeIds.size === 0) {
    contact.lastPingMs = ctx.nowMs;
    contact.unansweredPingMs = undefined;
  }
  return contact;
}

function allowedEndpoints(
  ctx: RouterContext,
  request: RequestState,
): EndpointView[] {
  const { failure_domains: domains } = request.account;
  return usableEndpoints(ctx.state.membership, request.pool.name, ctx.nowMs)
    .filter((view) =>
      !request.tried.has(view.endpointId) &&
      (domains.length === 0 || domains.includes(view.failureDomain))
    );
}

function takeNext(
  ctx: RouterContext,
  request: RequestState,
): string | undefined {
  if (request.tried.size >= MAX_TRIES) {
    return undefined;
  }
  while (request.nextIds.length > 0) {
    const id = request.nextIds.shift() as string;
    const reason = unusableReason(ctx.state.membership, id, ctx.nowMs);
    if (!request.tried.has(id) && reason === undefined) {
      return id;
    }
  }
  return undefined;
}

function startProbes(
  ctx: RouterContext,
  request: RequestState,
  shortlist: readonly string[],
  rankedIds: readonly string[],
): void {
  const { options } = ctx.state;
  const round = {
    deadlineMs: ctx.nowMs + options.probeTimeoutMs,
    pending: new Map<string, string>(),
    cachedTokens: new Map<string, number>(),
    rankedIds,
    shortlist,
  };
  request.probing = round;
  const hashes = request.request.blockHashes;
  const sample = sampleBlockIndexes(hashes.length);
  for (const endpointId of shortlist) {
    const contact = contactOf(ctx.state, endpointId);
    const fresh = ctx.nowMs - contact.factsAtMs <= options.probeFreshMs;
    const skip = !options.placement.needsProbes ||
      shortlist.length === 1 && request.request.kind === "service" ||
      sample.length === 0 && fresh;
    if (skip) {
      round.cachedTokens.set(endpointId, 0);
      continue;
    }
    const probeId = `p${ctx.state.nextProbeNumber++}`;
    awaitFrames(ctx, endpointId).probeIds.add(probeId);
    round.pending.set(probeId, endpointId);
    ctx.state.requestsByProbe.set(probeId, request);
    sendTo(ctx, endpointId, {
      type: "probe",
      probeId,
      prefixHashes: packHashes(sample.map((i) => hashes[i])),
      configVersion: ctx.state.config?.version ?? 0,
    });
  }
}

function toCandidate(
  ctx: RouterContext,
  request: RequestState,
  endpointId: string,
  round: NonNullable<RequestState["probing"]>,
): Candidate | undefined {
  const view = findEndpoint(ctx.state.membership, endpointId);
  const contact = contactOf(ctx.state, endpointId);
  const { status: facts } = contact;
  if (
    !view || request.tried.has(endpointId) ||
    facts !== undefined && facts.state !== "active"
  ) {
    return undefined;
  }
  return {
    endpointId,
    failureDomain: view.failureDomain,
    rank: round.rankedIds.indexOf(endpointId),
    cachedTokens: round.cachedTokens.get(endpointId) ?? 0,
    loadTokens: facts?.loadTokens ?? 0,
    queueWaitMs: facts?.queueWaitMs ?? 0,
    poolMeanTokens: facts?.poolMeanTokens ?? 0,
    prefillTokensPerS: facts?.prefillTokensPerS ?? UNKNOWN_PREFILL_TOKENS_PER_S,
    penaltyMs: view.penaltyMs + slowStartPenaltyMs(ctx, view),
  };
}

function slowStartPenaltyMs(ctx: RouterContext, view: EndpointView): Millis {
  const ageMs = ctx.nowMs - view.incarnationSinceMs;
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
  const contact = awaitFrames(ctx, endpointId);
  const attempt: AttemptState = {
    attemptId: `${request.request.requestId}.${request.attemptCount++}`,
    endpointId,
    incarnation: contact.incarnation,
    expectedSeq: 0,
    ackedSeq: 0,
    unackedBytes: 0,
    resumeDeadlineMs: undefined,
    resumes: 0,
  };
  request.attempt = attempt;
  request.tried.add(endpointId);
  contact.attemptIds.add(attempt.attemptId);
  ctx.state.requestsByAttempt.set(attempt.attemptId, request);
  measure(ctx, "placements_total", { decision });
  explain(ctx, request, "submitted", { endpointId, detail: decision });
  sendTo(ctx, endpointId, composeSubmit(ctx, request, attempt));
}

function composeSubmit(
  ctx: RouterContext,
  state: RequestState,
  attempt: AttemptState,
): SubmitMessage {
  const { request, account } = state;
  const remainingMs = state.deadlineAtMs - ctx.nowMs;
  const keyed = !state.idempotent && request.idempotencyKey !== undefined;
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
    idempotent: state.idempotent,
    idempotencyKey: keyed ? request.idempotencyKey : undefined,
    fingerprint: keyed ? request.fingerprint : undefined,
    promptTokens: request.promptTokens,
    outputTokens: state.outputTokens,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    configVersion: ctx.state.config?.version ?? 0,
    prefixHashes: packHashes(request.blockHashes),
    resumeText: state.delivered.length > 0 ? deliveredText(state) : undefined,
    ignoreBound: ctx.state.options.enforceLoadBound ? undefined : true,
  };
}
