import type { Account, Bundle } from "./bundle_schema.js";

/** Kinds of items in a bundle, in the order in which they are shown. */
export const BUNDLE_KINDS = [
  "accounts",
  "pools",
  "services",
  "objectives",
] as const;
export type BundleKind = typeof BUNDLE_KINDS[number];

/** What changes name: items by their kind, and evacuated failure domains. */
export const CHANGE_KINDS = [
  ...BUNDLE_KINDS,
  "evacuated_failure_domains",
] as const;
export type ChangeKind = typeof CHANGE_KINDS[number];

/** One key of a changed item; absent values are undefined. */
export interface FieldChange {
  readonly key: string;
  readonly before: unknown;
  readonly after: unknown;
}

export interface ItemChange {
  readonly kind: ChangeKind;
  readonly name: string;
  readonly change: "added" | "removed" | "changed";
  /** Empty unless `change` is "changed". */
  readonly fields: readonly FieldChange[];
}

/** Items and traffic that a change affects. */
export interface BundleImpact {
  /** Accounts that changed or that may use a changed pool or service. */
  readonly accounts: readonly string[];
  /** Pools that changed or that a changed account or service uses. */
  readonly pools: readonly string[];
  readonly services: readonly string[];
  /** Fraction of all traffic that comes from `accounts`, 0 to 1. */
  readonly traffic_share: number;
  /**
   * Whether `traffic_share` was measured, or estimated from the limits
   * `max_requests_per_s` of the accounts.
   */
  readonly traffic_basis: "measured" | "configured_limits";
}

export interface BundleDiff {
  readonly changes: readonly ItemChange[];
  readonly effect: BundleImpact;
}

/** Measured requests per second by account name. */
export type AccountTraffic = ReadonlyMap<string, number>;

/**
 * Compares two bundles by item name and key.
 *
 * `before` is undefined when no version is in force. Without measured
 * `traffic`, the share of requests that the change affects is estimated from
 * `max_requests_per_s`.
 */
export function diffBundles(
  before: Bundle | undefined,
  after: Bundle,
  traffic?: AccountTraffic,
): BundleDiff {
  const previousBundle = before ?? {
    accounts: [],
    pools: [],
    services: [],
    objectives: [],
    evacuated_failure_domains: [],
  };
  const changes = CHANGE_KINDS.flatMap((kind) =>
    diffItems(kind, itemsOf(previousBundle, kind), itemsOf(after, kind))
  );
  return { changes, effect: impactOf(changes, previousBundle, after, traffic) };
}

interface NamedItem {
  readonly name: string;
}

function itemsOf(bundle: Bundle, kind: ChangeKind): readonly NamedItem[] {
  return kind === "evacuated_failure_domains"
    ? bundle[kind].map((name) => ({ name }))
    : bundle[kind];
}

function diffItems(
  kind: ChangeKind,
  before: readonly NamedItem[],
  after: readonly NamedItem[],
): ItemChange[] {
  const previousItems = new Map(before.map((item) => [item.name, item]));
  const names = new Set(after.map((item) => item.name));
  const changes: ItemChange[] = [];
  for (const item of after) {
    const previous = previousItems.get(item.name);
    if (previous === undefined) {
      changes.push({ kind, name: item.name, change: "added", fields: [] });
      continue;
    }
    const fields = diffFields(previous, item);
    if (fields.length > 0) {
      changes.push({ kind, name: item.name, change: "changed", fields });
    }
  }
  for (const item of before) {
    if (!names.has(item.name)) {
      changes.push({ kind, name: item.name, change: "removed", fields: [] });
    }
  }
  return changes.sort((a, b) => a.name < b.name ? -1 : 1);
}

function diffFields(before: NamedItem, after: NamedItem): FieldChange[] {
  const previousValues = before as unknown as Record<string, unknown>;
  const currentValues = after as unknown as Record<string, unknown>;
  const keys = [
    ...new Set([...Object.keys(previousValues), ...Object.keys(currentValues)]),
  ]
    .sort();
  return keys
    .filter((key) =>
      JSON.stringify(previousValues[key]) !== JSON.stringify(currentValues[key])
    )
    .map((key) => ({
      key,
      before: previousValues[key],
      after: currentValues[key],
    }));
}

function impactOf(
  changes: readonly ItemChange[],
  before: Bundle,
  after: Bundle,
  traffic: AccountTraffic | undefined,
): BundleImpact {
  const changedNames = (kind: ChangeKind) =>
    new Set(changes.filter((c) => c.kind === kind).map((c) => c.name));
  const changedAccounts = changedNames("accounts");
  const pools = changedNames("pools");
  const services = changedNames("services");
  const domains = changedNames("evacuated_failure_domains");
  const bundles = [before, after];
  for (const service of bundles.flatMap((bundle) => bundle.services)) {
    if (pools.has(service.pool)) {
      services.add(service.name);
    } else if (services.has(service.name)) {
      pools.add(service.pool);
    }
  }
  const allAccounts = bundles.flatMap((bundle) => bundle.accounts);
  const usesChangedItem = (account: Account) =>
    allowsAny(account.pools, pools) || allowsAny(account.services, services) ||
    allowsAny(account.failure_domains, domains);
  const accounts = new Set(
    allAccounts.filter((a) => changedAccounts.has(a.name) || usesChangedItem(a))
      .map((a) => a.name),
  );
  const allPools = bundles.flatMap((b) => b.pools.map((pool) => pool.name));
  for (const account of allAccounts) {
    if (changedAccounts.has(account.name)) {
      const allowedPools = account.pools.length > 0 ? account.pools : allPools;
      allowedPools.forEach((pool) => pools.add(pool));
    }
  }
  return {
    accounts: [...accounts].sort(),
    pools: [...pools].sort(),
    services: [...services].sort(),
    ...trafficShare(accounts, allAccounts, traffic),
  };
}

/** Whether a list allows one of the names; an empty list allows all. */
function allowsAny(
  list: readonly string[],
  names: ReadonlySet<string>,
): boolean {
  return list.length === 0
    ? names.size > 0
    : list.some((name) => names.has(name));
}

function trafficShare(
  affected: ReadonlySet<string>,
  accounts: readonly Account[],
  traffic: AccountTraffic | undefined,
): Pick<BundleImpact, "traffic_share" | "traffic_basis"> {
  const isMeasured = traffic !== undefined && traffic.size > 0;
  const rates = isMeasured
    ? traffic
    : new Map(accounts.map((a) => [a.name, a.max_requests_per_s]));
  let totalRate = 0;
  let affectedRate = 0;
  for (const [name, rate] of rates) {
    totalRate += rate;
    affectedRate += affected.has(name) ? rate : 0;
  }
  return {
    traffic_share: totalRate === 0 ? 0 : affectedRate / totalRate,
    traffic_basis: isMeasured ? "measured" : "configured_limits",
  };
}

/** Formats a difference for a terminal, one line per changed key. */
export function formatBundleDiff(diff: BundleDiff): string[] {
  if (diff.changes.length === 0) {
    return ["no changes"];
  }
  const SIGN = { added: "+", removed: "-", changed: "~" } as const;
  const lines = diff.changes.flatMap((item) => [
    `${SIGN[item.change]} ${item.kind} ${item.name}`,
    ...item.fields.map((field) =>
      `    ${field.key}: ${formatValue(field.before)} -> ${
        formatValue(field.after)
      }`
    ),
  ]);
  const { effect } = diff;
  const percent = (effect.traffic_share * 100).toFixed(1);
  const basis = effect.traffic_basis === "measured"
    ? "measured"
    : "estimated from max_requests_per_s";
  return [
    ...lines,
    `accounts touched: ${listNames(effect.accounts)}`,
    `pools touched: ${listNames(effect.pools)}`,
    `services touched: ${listNames(effect.services)}`,
    `share of traffic: ${percent}% (${basis})`,
  ];
}

function listNames(names: readonly string[]): string {
  const MAX_NAMES = 20;
  if (names.length === 0) {
    return "none";
  }
  const unlistedCount = names.length - MAX_NAMES;
  const listedNames = names.slice(0, MAX_NAMES).join(", ");
  return `${names.length} (${listedNames}${
    unlistedCount > 0 ? `, ${unlistedCount} more` : ""
  })`;
}

function formatValue(value: unknown): string {
  // Complete key hashes would fill the line; a prefix suffices to compare.
  const text = JSON.stringify(value) ?? "(absent)";
  return text.replaceAll(/"([0-9a-f]{8})[0-9a-f]{56}"/g, '"$1..."');
}
