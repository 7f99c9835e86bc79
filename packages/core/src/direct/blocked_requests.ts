// Blocks requests with traits under which endpoints crash, and shares the
// evidence with the other routers.

import type { Millis } from "../clock.js";
import type { LogEventName, LogFields } from "../log_events.js";
import { rankByRendezvous } from "../membership/index.js";
import { transitionRequest } from "../router/request_machine.js";
import type { ChangedSuspect, RequestBlock } from "./crash_suspects.js";
import type {
  DirectEffect,
  DirectEvent,
  DirectRefusalReason,
} from "./direct_event.js";
import { closeAttempt, finishRequest, refuse } from "./direct_finish.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";
import {
  contentTraitOf,
  originOf,
  promptPartTraitsOf,
  type RequestTrait,
  type TraitKind,
} from "./request_trait.js";
import type { Suspect } from "./suspect.js";

/**
 * Time from new evidence to a decision. What other routers saw of the same moment
 * has arrived by then: they collect changes for a time that grows with the number
 * of routers to which they are connected, and pass them on in a larger fleet.
 */
const MIN_REVIEW_DELAY_MS: Millis = 50;
const REVIEW_DELAY_PER_ROUTER_MS: Millis = 2;
const MAX_CONNECTED_ROUTERS = 64;

/** In larger fleets, not all routers are connected to each other. */
const MAX_FULLY_CONNECTED_ROUTERS = 33;
const HOPS_OF_LARGE_FLEET = 2;

/** In a large fleet, one of this many routers makes trials of a suspect. */
const ROUTERS_PER_TRIAL_MAKER = 8;

/** Minimum of the time after which a blocked request may come again. */
const MIN_RETRY_AFTER_MS: Millis = 10_000;

/** That time if the block will be lifted or confirmed by another request soon. */
const RETRY_AFTER_SEPARATION_MS: Millis = 2000;

/** That time if no further trial is made. */
const RETRY_AFTER_LAST_TRIAL_MS: Millis = 86_400_000;

interface BlockNames {
  readonly reason: DirectRefusalReason;
  readonly blocked: LogEventName;
  readonly unblocked: LogEventName;
  readonly tried: LogEventName;
}

const BLOCK_NAMES: Readonly<Record<TraitKind, BlockNames>> = {
  prompt_part: {
    reason: "prompt_part_blocked",
    blocked: "prompt_part_blocked",
    unblocked: "prompt_part_unblocked",
    tried: "prompt_part_tried",
  },
  content: {
    reason: "request_blocked",
    blocked: "request_blocked",
    unblocked: "request_unblocked",
    tried: "request_tried",
  },
};

/** Where a change of a suspect was found. */
export interface ChangeOrigin {
  /** For the log: `crash`, `answer`, `directory`, or `peer` and the router's id. */
  readonly source: string;
  /** Whether this router found it, not another one. */
  readonly isOwn: boolean;
}

/**
 * Returns the effects of changes of suspects, whether this router found them or
 * another one did. Each router passes a change on, so that it reaches those that
 * have no connection to where it was found.
 */
export function handleSuspectChanges(
  state: DirectState,
  changed: readonly ChangedSuspect[],
  nowMs: Millis,
  origin: ChangeOrigin,
): DirectEffect[] {
  if (changed.length === 0) {
    return [];
  }
  const logs = changed.flatMap(({ change, suspect }) =>
    change === "blocked" || change === "unblocked"
      ? [logChange(suspect, change, origin.source)]
      : []
  );
  const hasBlock = changed.some(({ change }) => change === "blocked");
  return [
    ...logs,
    {
      type: "share_suspects",
      suspects: suspectsToShare(state, changed, nowMs)
        .map((suspect) => suspect.report(nowMs)),
      isOwn: origin.isOwn,
    },
    ...(hasBlock ? cancelBlockedRequests(state, nowMs) : []),
    ...reviewLater(state),
  ];
}

function reviewLater(state: DirectState): DirectEffect[] {
  return state.crashSuspects.needsReview
    ? [{ type: "review_suspects", delayMs: reviewDelayMs(state) }]
    : [];
}

function reviewDelayMs({ fleetSize }: DirectState): Millis {
  const { routers } = fleetSize;
  const hops = routers > MAX_FULLY_CONNECTED_ROUTERS ? HOPS_OF_LARGE_FLEET : 1;
  return MIN_REVIEW_DELAY_MS + hops * REVIEW_DELAY_PER_ROUTER_MS *
      Math.min(MAX_CONNECTED_ROUTERS, routers);
}

/**
 * Chance makes many suspects with a single crash, of which only some are sent.
 * Those that are known to be sound come last.
 */
function suspectsToShare(
  { crashSuspects, minorSuspectsBucket }: DirectState,
  changed: readonly ChangedSuspect[],
  nowMs: Millis,
): Suspect[] {
  const suspects = changed.map(({ suspect }) => suspect);
  const rank = (suspect: Suspect) => crashSuspects.wasAnswered(suspect) ? 1 : 0;
  return suspects.sort((a, b) => rank(a) - rank(b)).filter((suspect) =>
    !suspect.isMinor || minorSuspectsBucket.tryConsume(1, nowMs)
  );
}

/** Blocks the traits against which there is enough evidence. */
export function reviewSuspects(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  const changed = state.crashSuspects.review(nowMs, reviewDelayMs(state));
  return [
    ...handleSuspectChanges(state, changed, nowMs, {
      source: "crash",
      isOwn: true,
    }),
    ...reviewLater(state),
  ];
}

/** Merges what other routers, or the stored document, report. */
export function applySuspectReports(
  state: DirectState,
  event: Extract<DirectEvent, { type: "suspects_received" }>,
): DirectEffect[] {
  state.suspectsKnown = true;
  const { nowMs, reports, source } = event;
  const changed = state.crashSuspects.merge(nowMs, reports);
  return handleSuspectChanges(state, changed, nowMs, {
    source,
    isOwn: false,
  });
}

/**
 * Records an answer that ended well, which shows that the request's traits are
 * sound. Any whole answer of an endpoint shows it for the request itself, but an
 * error answer may have come before the endpoint looked at the prompt.
 */
export function recordSoundTraits(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const isSuccess = request.answerStatus !== undefined &&
    request.answerStatus < 300;
  const sound = suspectTraitsOf(state, request).filter(({ kind }) =>
    kind === "content" || isSuccess
  );
  const changed = state.crashSuspects.recordAnswer(nowMs, sound);
  return handleSuspectChanges(state, changed, nowMs, {
    source: "answer",
    isOwn: true,
  });
}

/**
 * Refuses a request with a blocked trait; returns undefined if it may be sent. A
 * request is let through now and then, to find out whether endpoints still crash
 * under it.
 *
 * @param hasSoundEndpoint Whether the request would go to an endpoint that seems
 *   to be sound. Another one would use up a trial.
 */
export function refuseBlocked(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
  hasSoundEndpoint: boolean,
): DirectEffect[] | undefined {
  const block = blockOf(state, request);
  if (!block) {
    return undefined;
  }
  if (hasSoundEndpoint && isTrialDue(state, request, block, nowMs)) {
    request.isTrial = true;
    return undefined;
  }
  request.snapshot =
    transitionRequest(request.snapshot, { type: "no_endpoint" }).snapshot;
  return endBlocked(state, request, block, nowMs);
}

/** Announces a trial before its request is sent, so that no router repeats it. */
export function announceTrial(
  state: DirectState,
  request: ActiveRequest,
  nowMs: Millis,
): DirectEffect[] {
  const block = request.isTrial ? blockOf(state, request) : undefined;
  if (!block) {
    return [];
  }
  const { isAmbiguous, suspect } = block;
  const tried = isAmbiguous
    ? state.crashSuspects.recordSeparation(nowMs, suspect)
    : state.crashSuspects.recordTrial(nowMs, suspect);
  return [
    {
      type: "share_suspects",
      suspects: tried.map((each) => each.report(nowMs)),
      isOwn: true,
    },
    {
      type: "log",
      event: BLOCK_NAMES[suspect.trait.kind].tried,
      fields: {
        request_id: request.call.callId,
        ...traitFields(suspect.trait),
        trials: suspect.trialCount,
      },
    },
  ];
}

/** Only requests that were not sent anywhere are trials. */
function isTrialDue(
  state: DirectState,
  request: ActiveRequest,
  { isAmbiguous, suspect }: RequestBlock,
  nowMs: Millis,
): boolean {
  const { nextTrialMs } = suspect;
  if (request.attemptCount > 0) {
    return false;
  }
  return isAmbiguous
    ? suspect.maySeparate(nowMs) && maySeparateHere(state, suspect)
    : nextTrialMs !== undefined && nowMs >= nextTrialMs &&
      mayTry(state, suspect);
}

/**
 * Whether this router may tell the suspect from others. In a large fleet, too
 * many routers would do so before they hear of each other.
 */
function maySeparateHere(state: DirectState, suspect: Suspect): boolean {
  return state.fleetSize.routers <= MAX_FULLY_CONNECTED_ROUTERS ||
    mayTry(state, suspect);
}

/**
 * Whether this router makes trials of the suspect. A large fleet has several that
 * do, since each router gets few of the requests.
 */
function mayTry(
  { fleetSize: { otherIds, routers }, isFirstRouter, options }: DirectState,
  { key }: Suspect,
): boolean {
  const count = Math.floor(routers / ROUTERS_PER_TRIAL_MAKER);
  return isFirstRouter ||
    count > 1 &&
      rankByRendezvous(key, [options.nodeId, ...otherIds], count)
        .includes(options.nodeId);
}

/**
 * Ends the blocked requests whose answer has not begun. They may wait at an
 * endpoint, which drops them when their connection closes.
 */
function cancelBlockedRequests(
  state: DirectState,
  nowMs: Millis,
): DirectEffect[] {
  return [...state.requests.values()].flatMap((request) => {
    const { attempt, key } = request;
    const block = blockOf(state, request);
    if (
      !block || block.isAmbiguous || !attempt || attempt.hasHead ||
      request.isTrial
    ) {
      return [];
    }
    closeAttempt(request);
    request.possibleExecutions++;
    request.snapshot = transitionRequest(request.snapshot, {
      type: "failed_unknown",
      mayRetry: false,
    }).snapshot;
    return [
      {
        type: "discard_attempt",
        key,
        attemptNumber: attempt.number,
        closeConnection: true,
      },
      ...endBlocked(state, request, block, nowMs),
    ];
  });
}

function endBlocked(
  state: DirectState,
  request: ActiveRequest,
  block: RequestBlock,
  nowMs: Millis,
): DirectEffect[] {
  const { trait } = block.suspect;
  const { reason } = BLOCK_NAMES[trait.kind];
  request.blockedTrait = trait;
  if (request.answerStarted) {
    return finishRequest(state, request, nowMs, "broken_off", reason);
  }
  return refuse(state, request, nowMs, reason, retryAfterOf(block, nowMs));
}

function retryAfterOf(
  { isAmbiguous, suspect: { nextTrialMs } }: RequestBlock,
  nowMs: Millis,
): Millis {
  if (isAmbiguous) {
    return RETRY_AFTER_SEPARATION_MS;
  }
  return nextTrialMs === undefined
    ? RETRY_AFTER_LAST_TRIAL_MS
    : Math.max(MIN_RETRY_AFTER_MS, nextTrialMs - nowMs);
}

function blockOf(
  state: DirectState,
  request: ActiveRequest,
): RequestBlock | undefined {
  return state.crashSuspects.blockOf(suspectTraitsOf(state, request));
}

/** The traits of a request that may be under suspicion. */
function suspectTraitsOf(
  { crashSuspects }: DirectState,
  request: ActiveRequest,
): RequestTrait[] {
  return [
    ...promptPartTraitsOf(request),
    ...(crashSuspects.suspectsContentFrom(originOf(request))
      ? [contentTraitOf(request)]
      : []),
  ];
}

function logChange(
  { companions, crashes, trait, trialCount }: Suspect,
  change: "blocked" | "unblocked",
  source: string,
): DirectEffect {
  return {
    type: "log",
    event: BLOCK_NAMES[trait.kind][change],
    fields: {
      ...traitFields(trait),
      endpoints: [...crashes.keys()].join(",") || undefined,
      companions: [...companions].join(",") || undefined,
      trials: trialCount,
      source,
    },
  };
}

function traitFields(trait: RequestTrait): LogFields {
  const { service } = trait;
  if (trait.kind === "prompt_part") {
    return { service, prompt_part: trait.partId };
  }
  const { account, digest, method, path } = trait;
  return { service, request_digest: digest, account, method, path };
}
