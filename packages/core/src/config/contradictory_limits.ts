/** Finds limits of a valid bundle that contradict each other. */
import type { BundleAccess } from "./bundle_access.js";
import type { Located, LocatedBundle } from "./bundle_check.js";
import { type BundleFinding, warningAt } from "./bundle_finding.js";
import type { Account, Objective, Pool } from "./bundle_schema.js";

/** Warns of limits of which one overrules the other. */
export function findContradictoryLimits(
  items: LocatedBundle,
  access: BundleAccess,
): BundleFinding[] {
  return [
    ...items.accounts.flatMap(findExcessiveConcurrency),
    ...items.accounts.flatMap(findForbiddenRepeats),
    ...items.pools.flatMap((pool) => findShortDrainTimeout(pool, access)),
    ...items.objectives.flatMap((objective) =>
      findExcessiveThreshold(objective, access)
    ),
  ];
}

/**
 * Finds a concurrency limit above the number of requests that the rate limit
 * admits until the first of them reaches its deadline.
 */
function findExcessiveConcurrency(account: Located<Account>): BundleFinding[] {
  const { item } = account;
  const deadlineS = item.default_deadline_ms / 1000;
  const mostAdmitted = Math.ceil(
    item.burst_requests + item.max_requests_per_s * deadlineS,
  );
  const limit = item.max_concurrent_requests;
  if (limit <= mostAdmitted) {
    return [];
  }
  const text = `${limit} is above the ${mostAdmitted} requests that ` +
    "burst_requests and max_requests_per_s admit within default_deadline_ms";
  return [warningAt(account, "max_concurrent_requests", text)];
}

/** Finds permissions to repeat requests that `retry_allowed` overrules. */
function findForbiddenRepeats(account: Located<Account>): BundleFinding[] {
  const { hedge_allowed: hedgeAllowed, retry_allowed: retryAllowed, routes } =
    account.item;
  if (retryAllowed) {
    return [];
  }
  const hedging = hedgeAllowed
    ? [warningAt(
      account,
      "hedge_allowed",
      "allows a second attempt, which retry_allowed = false forbids",
    )]
    : [];
  const repeats = routes.flatMap(({ idempotent }, index) =>
    idempotent
      ? [warningAt(
        account,
        `routes.${index}.idempotent`,
        "allows repeated calls, which retry_allowed = false forbids",
      )]
      : []
  );
  return [...hedging, ...repeats];
}

/**
 * Finds a pool whose drain ends requests before their deadline although
 * routers cannot continue them at another endpoint.
 */
function findShortDrainTimeout(
  pool: Located<Pool>,
  access: BundleAccess,
): BundleFinding[] {
  const timeoutMs = pool.item.drain_timeout_ms;
  const cutAccounts = access.accountsOf(pool.item).filter((account) =>
    account.default_deadline_ms > timeoutMs &&
    !canContinueElsewhere(account, pool.item)
  );
  if (cutAccounts.length === 0) {
    return [];
  }
  const [{ name, default_deadline_ms: deadlineMs }] = cutAccounts;
  const text = `${timeoutMs} is below default_deadline_ms of ` +
    `${cutAccounts.length} accounts, such as "${name}" with ${deadlineMs}; ` +
    "a drain can end their requests, which no other endpoint continues";
  return [warningAt(pool, "drain_timeout_ms", text)];
}

/** A stream that has begun continues elsewhere only if engines can resume it. */
function canContinueElsewhere(account: Account, pool: Pool): boolean {
  const canResume = pool.kind === "service" ||
    pool.dialect === "openai_resumable";
  return account.retry_allowed && canResume;
}

/** Finds a latency threshold that no request can exceed before its deadline. */
function findExcessiveThreshold(
  objective: Located<Objective>,
  access: BundleAccess,
): BundleFinding[] {
  const { threshold_ms: thresholdMs, account, pool } = objective.item;
  const accounts = access.accountsCounted(account, pool);
  if (thresholdMs === undefined || accounts.length === 0) {
    return [];
  }
  const longestMs = accounts.reduce(
    (longest, item) => Math.max(longest, item.default_deadline_ms),
    0,
  );
  if (thresholdMs <= longestMs) {
    return [];
  }
  const text = `${thresholdMs} is above the longest default_deadline_ms of ` +
    `the accounts that count, ${longestMs}; requests end before they can ` +
    "count as slow";
  return [warningAt(objective, "threshold_ms", text)];
}
