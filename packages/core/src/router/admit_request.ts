/**
 * Admits requests: checks the key, the model or service, and the account's
 * limits.
 */
import { TokenBucket } from "../admission/index.js";
import type { Millis } from "../clock.js";
import {
  type Account,
  isNameAllowed,
  type Pool,
  type Route,
} from "../config/index.js";
import { liveRouters } from "../membership/index.js";
import { requestErrors } from "./request_errors.js";
import { initialRequestSnapshot } from "./request_machine.js";
import type { CallerRequest, ErrorAnswer } from "./router_event.js";
import {
  type AccountUsage,
  type BundleIndex,
  recordExplainStep,
  recordMetric,
  type RequestState,
  type RouterContext,
} from "./router_state.js";

/** Estimated work of a call to a plain service, in tokens. */
const SERVICE_CALL_TOKENS = 64;

/**
 * Factor by which a router's part of an account's limits exceeds an even split.
 * Callers spread unevenly over the routers, so with an even split a router
 * would refuse requests of accounts that are within their limits.
 */
const SHARE_HEADROOM = 2;

type AdmissionResult = { readonly error: ErrorAnswer } | {
  readonly request: RequestState;
};

/**
 * Checks a request against the configuration and the account's limits, and
 * registers it. {@link releaseRequest} undoes this when the request ends.
 */
export function admitRequest(
  ctx: RouterContext,
  request: CallerRequest,
): AdmissionResult {
  const { state } = ctx;
  if (state.draining) {
    return { error: requestErrors.stopping() };
  }
  const config = state.config;
  if (!config) {
    return { error: requestErrors.notReady() };
  }
  const account = config.accountsByKeyHash.get(request.keyHash);
  if (!account) {
    return { error: requestErrors.invalidKey() };
  }
  const pool = findPool(config, account, request);
  if (!pool) {
    return {
      error: request.kind === "chat"
        ? requestErrors.modelNotFound(request.target)
        : requestErrors.serviceNotFound(request.target),
    };
  }
  const limitError = acquireLimits(ctx, account);
  if (limitError) {
    return { error: limitError };
  }
  const requestState = createRequest(ctx, request, account, pool);
  state.requests.set(request.requestId, requestState);
  recordExplainStep(ctx, requestState, "admitted", {
    detail: `account ${account.name}, pool ${pool.name}`,
  });
  return { request: requestState };
}

/**
 * Undoes {@link admitRequest} and keeps the request's recorded steps for the
 * `explain` command. Has no effect if the request was released before.
 */
export function releaseRequest(ctx: RouterContext, request: RequestState) {
  const { state } = ctx;
  if (!state.requests.delete(request.request.requestId)) {
    return;
  }
  const usage = state.accountUsage.get(request.account.name);
  if (usage) {
    usage.concurrentRequests--;
  }
  state.explainSteps.set(request.request.requestId, request.explainSteps);
}

/**
 * Returns the account's usage entry and creates it if there is none. The rate
 * limit of a new entry is this router's share of the account's rate limit.
 */
export function accountUsageOf(
  ctx: RouterContext,
  account: Account,
): AccountUsage {
  const { state, nowMs } = ctx;
  let usage = state.accountUsage.get(account.name);
  if (!usage) {
    const share = shareOfLimits(ctx);
    usage = {
      bucket: new TokenBucket(
        account.max_requests_per_s * share,
        Math.max(1, account.burst_requests * share),
        nowMs,
      ),
      concurrentRequests: 0,
    };
    state.accountUsage.set(account.name, usage);
  }
  return usage;
}

function shareOfLimits(ctx: RouterContext): number {
  const routerCount = liveRouters(ctx.state.membership, ctx.nowMs).length;
  return routerCount <= 1 ? 1 : Math.min(1, SHARE_HEADROOM / routerCount);
}

function acquireLimits(
  ctx: RouterContext,
  account: Account,
): ErrorAnswer | undefined {
  const usage = accountUsageOf(ctx, account);
  const concurrencyLimit = account.max_concurrent_requests * shareOfLimits(ctx);
  if (usage.concurrentRequests + 1 > Math.max(1, concurrencyLimit)) {
    return requestErrors.tooManyConcurrent();
  }
  if (!usage.bucket.tryConsume(1, ctx.nowMs)) {
    return requestErrors.rateLimited(usage.bucket.waitMs(1, ctx.nowMs));
  }
  usage.concurrentRequests++;
  ctx.state.retryBudget.recordRequest(account.name);
  return undefined;
}

function findPool(
  config: BundleIndex,
  account: Account,
  request: CallerRequest,
): Pool | undefined {
  if (request.kind === "chat") {
    const pool = config.poolsByModel.get(request.target);
    return pool && isNameAllowed(account.pools, pool.name) ? pool : undefined;
  }
  const service = config.servicesByName.get(request.target);
  if (!service || !isNameAllowed(account.services, service.name)) {
    return undefined;
  }
  return config.poolsByName.get(service.pool);
}

function createRequest(
  ctx: RouterContext,
  request: CallerRequest,
  account: Account,
  pool: Pool,
): RequestState {
  const deadlineInMs: Millis = Math.min(
    request.deadlineInMs ?? account.default_deadline_ms,
    account.default_deadline_ms,
  );
  return {
    request,
    account,
    pool,
    idempotent: isIdempotent(ctx.state.config, account, request),
    receivedAtMs: ctx.nowMs,
    deadlineAtMs: ctx.nowMs + deadlineInMs,
    estimatedOutputTokens: request.kind === "chat"
      ? Math.min(
        request.maxOutputTokens ?? pool.max_output_tokens,
        pool.max_output_tokens,
      )
      : SERVICE_CALL_TOKENS,
    snapshot: initialRequestSnapshot,
    attempt: undefined,
    attemptCount: 0,
    executions: 0,
    triedEndpointIds: new Set(),
    nextEndpointIds: [],
    probeRound: undefined,
    configWait: undefined,
    lastRefusal: undefined,
    headSent: false,
    sentHead: undefined,
    firstDataAtMs: undefined,
    chunkCount: 0,
    deliveredData: [],
    bufferedAnswer: undefined,
    callerCongested: false,
    explainSteps: [],
  };
}

/**
 * Whether a call may be executed more than once. A chat may, unless the
 * caller's header denies it.
 *
 * If a route matches a service call, the call is idempotent if the route says
 * so and the caller's header does not deny it; a route of the account takes
 * precedence over one of the service. If no route matches, the caller's header
 * decides; without that header, the HTTP method does.
 */
function isIdempotent(
  config: BundleIndex | undefined,
  account: Account,
  request: CallerRequest,
): boolean {
  if (request.kind === "chat") {
    return request.idempotent ?? true;
  }
  const service = config?.servicesByName.get(request.target);
  const routes = [
    ...account.routes.filter((route) => route.service === request.target),
    ...service?.routes ?? [],
  ];
  const route = routes.find((candidate) => matchesRoute(candidate, request));
  if (route) {
    return route.idempotent && request.idempotent !== false;
  }
  const IDEMPOTENT_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
  return request.idempotent ?? IDEMPOTENT_METHODS.includes(request.method);
}

function matchesRoute(
  route: Omit<Route, "service">,
  request: CallerRequest,
): boolean {
  return (route.method === "*" || route.method === request.method) &&
    request.path.startsWith(route.path_prefix);
}

/**
 * Adds a request that was refused at admission to the metric `requests_total`.
 */
export function recordRejection(
  ctx: RouterContext,
  request: CallerRequest,
  error: ErrorAnswer,
): void {
  recordMetric(ctx, "requests_total", {
    kind: request.kind,
    result: error.code,
  });
}
