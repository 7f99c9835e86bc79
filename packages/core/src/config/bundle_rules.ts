import type {
  ItemLocation,
  LocatedItem,
  LocatedItems,
} from "./bundle_check.js";
import type { BundleKind } from "./bundle_diff.js";
import type { Account, Objective, Pool, Route } from "./bundle_schema.js";
import type { ConfigIssue } from "./config_error.js";

/** Maximum number of names in the message about a wrong reference. */
const MAX_LISTED_NAMES = 8;

/** Indicators that compare a latency with a threshold. */
const LATENCY_INDICATORS: readonly Objective["indicator"][] = [
  "first_token",
  "inter_token",
];

type NamesByKind = Readonly<Record<BundleKind, ReadonlySet<string>>>;

/** Finds errors that the schemas of single items cannot detect. */
export function findRuleIssues(
  items: LocatedItems,
  names: NamesByKind,
): ConfigIssue[] {
  return [
    ...findDuplicates(items),
    ...findDanglingReferences(items, names),
    ...items.accounts.flatMap(checkAccountRoutes),
    ...items.pools.flatMap(checkPool),
    ...findServicesOnModelPools(items),
    ...items.objectives.flatMap(checkObjective),
  ];
}

interface LocatedValue extends ItemLocation {
  readonly value: string;
}

function findDuplicates(items: LocatedItems): ConfigIssue[] {
  const names = (list: readonly LocatedItem<{ name: string }>[]) =>
    list.flatMap(({ file, key, item }) =>
      item.name === undefined
        ? []
        : [{ file, key: `${key}.name`, value: item.name }]
    );
  const keyHashes = items.accounts.flatMap((account) =>
    toLocatedValues(account, "key_hashes", account.item.key_hashes)
  );
  const models = items.pools.flatMap((pool) =>
    toLocatedValues(pool, "models", pool.item.models)
  );
  return [
    ...findRepeatedValues(names(items.accounts), true),
    ...findRepeatedValues(names(items.pools), true),
    ...findRepeatedValues(names(items.services), true),
    ...findRepeatedValues(names(items.objectives), true),
    ...findRepeatedValues(keyHashes, false),
    ...findRepeatedValues(models, true),
    ...items.accounts.flatMap(findRepeatsInAccount),
    ...items.services.flatMap((service) =>
      findRepeatedValues(
        toLocatedValues(
          service,
          "routes",
          service.item.routes?.map(formatRoute),
        ),
        true,
      )
    ),
  ];
}

function findRepeatsInAccount(account: LocatedItem<Account>): ConfigIssue[] {
  const { item } = account;
  const routes = item.routes?.map((route) =>
    route && `${route.service} ${formatRoute(route)}`
  );
  return [
    ...findRepeatedValues(toLocatedValues(account, "pools", item.pools), true),
    ...findRepeatedValues(
      toLocatedValues(account, "services", item.services),
      true,
    ),
    ...findRepeatedValues(
      toLocatedValues(account, "failure_domains", item.failure_domains),
      true,
    ),
    ...findRepeatedValues(toLocatedValues(account, "routes", routes), true),
  ];
}

function formatRoute(
  route: Omit<Route, "service"> | undefined,
): string | undefined {
  return route && `${route.method} ${route.path_prefix}`;
}

function toLocatedValues(
  location: ItemLocation,
  field: string,
  values: readonly (string | undefined)[] = [],
): LocatedValue[] {
  return values.flatMap((value, index) =>
    value === undefined ? [] : [{
      file: location.file,
      key: `${location.key}.${field}.${index}`,
      value,
    }]
  );
}

function findRepeatedValues(
  values: readonly LocatedValue[],
  showValue: boolean,
): ConfigIssue[] {
  const seen = new Map<string, LocatedValue>();
  const issues: ConfigIssue[] = [];
  for (const current of values) {
    const firstOccurrence = seen.get(current.value);
    if (firstOccurrence === undefined) {
      seen.set(current.value, current);
      continue;
    }
    issues.push({
      file: current.file,
      key: current.key,
      found: showValue ? JSON.stringify(current.value) : "a duplicate",
      allowed:
        `must differ from ${firstOccurrence.key} in ${firstOccurrence.file}`,
    });
  }
  return issues;
}

function findDanglingReferences(
  items: LocatedItems,
  names: NamesByKind,
): ConfigIssue[] {
  const checkReference = (
    kind: BundleKind,
    location: ItemLocation,
    path: string,
    referencedName: string | undefined,
  ) =>
    referencedName === undefined || names[kind].has(referencedName)
      ? []
      : [issue(
        location,
        path,
        JSON.stringify(referencedName),
        `must name one of the ${kind}: ${listNames(names[kind])}`,
      )];
  const fromAccounts = items.accounts.flatMap((account) => [
    ...(account.item.pools ?? []).flatMap((name, i) =>
      checkReference("pools", account, `pools.${i}`, name)
    ),
    ...(account.item.services ?? []).flatMap((name, i) =>
      checkReference("services", account, `services.${i}`, name)
    ),
    ...(account.item.routes ?? []).flatMap((route, i) =>
      checkReference("services", account, `routes.${i}.service`, route?.service)
    ),
  ]);
  const fromServices = items.services.flatMap((service) =>
    checkReference("pools", service, "pool", service.item.pool)
  );
  const fromObjectives = items.objectives.flatMap((objective) => [
    ...checkReference("accounts", objective, "account", objective.item.account),
    ...checkReference("pools", objective, "pool", objective.item.pool),
  ]);
  return [...fromAccounts, ...fromServices, ...fromObjectives];
}

function checkAccountRoutes(account: LocatedItem<Account>): ConfigIssue[] {
  const { services, routes = [] } = account.item;
  const allowedText =
    "must be one of the account's services, else the route has no effect";
  return routes.flatMap((route, i) =>
    route === undefined || !services?.length ||
      services.includes(route.service)
      ? []
      : [issue(
        account,
        `routes.${i}.service`,
        JSON.stringify(route.service),
        allowedText,
      )]
  );
}

function checkPool(pool: LocatedItem<Pool>): ConfigIssue[] {
  const { item } = pool;
  const {
    load_floor_tokens: loadFloorTokens,
    max_output_tokens: maxOutputTokens,
  } = item;
  const issues: ConfigIssue[] = [];
  if (item.kind === "model" && item.models?.length === 0) {
    const allowedText = "a pool of kind 'model' must name at least one model";
    issues.push(issue(pool, "models", "no model", allowedText));
  }
  if (item.kind === "service" && item.models?.length) {
    const found = JSON.stringify(item.models[0]);
    const allowedText = "a pool of kind 'service' must name no models";
    issues.push(issue(pool, "models", found, allowedText));
  }
  if (item.kind === "model" && item.dialect === "plain") {
    const allowedText = "a pool of kind 'model' needs an 'openai' dialect";
    issues.push(issue(pool, "dialect", '"plain"', allowedText));
  }
  if (
    loadFloorTokens !== undefined && maxOutputTokens !== undefined &&
    loadFloorTokens < maxOutputTokens
  ) {
    // An idle endpoint must be able to accept the largest request.
    const allowedText =
      `must be at least max_output_tokens, ${maxOutputTokens}, so that ` +
      "an idle endpoint accepts a request";
    issues.push(
      issue(pool, "load_floor_tokens", String(loadFloorTokens), allowedText),
    );
  }
  return issues;
}

function findServicesOnModelPools(items: LocatedItems): ConfigIssue[] {
  const modelPools = new Set(
    items.pools.filter(({ item }) => item.kind === "model")
      .map(({ item }) => item.name),
  );
  return items.services
    .filter(({ item }) => modelPools.has(item.pool))
    .map((service) =>
      issue(
        service,
        "pool",
        JSON.stringify(service.item.pool),
        "must name a pool of kind 'service'",
      )
    );
}

function checkObjective(objective: LocatedItem<Objective>): ConfigIssue[] {
  const { indicator, threshold_ms } = objective.item;
  if (indicator === undefined) {
    return [];
  }
  const needsThreshold = LATENCY_INDICATORS.includes(indicator);
  if (needsThreshold === (threshold_ms !== undefined)) {
    return [];
  }
  const allowedText = needsThreshold
    ? `the indicator '${indicator}' needs a threshold`
    : `the indicator '${indicator}' has no threshold`;
  const found = threshold_ms === undefined ? "nothing" : String(threshold_ms);
  return [issue(objective, "threshold_ms", found, allowedText)];
}

function issue(
  location: ItemLocation,
  path: string,
  found: string,
  allowedText: string,
): ConfigIssue {
  return {
    file: location.file,
    key: `${location.key}.${path}`,
    found,
    allowed: allowedText,
  };
}

function listNames(names: ReadonlySet<string>): string {
  const shown = [...names].slice(0, MAX_LISTED_NAMES).join(", ");
  return names.size > MAX_LISTED_NAMES ? `${shown}, ...` : shown || "(none)";
}
