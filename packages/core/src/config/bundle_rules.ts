import type { ItemPlace, PlacedItem, PlacedItems } from "./bundle_check.js";
import type { BundleKind } from "./bundle_diff.js";
import type { Account, Objective, Pool, Route } from "./bundle_schema.js";
import type { ConfigIssue } from "./config_error.js";

/** Names listed in a message about a wrong reference. */
const MAX_LISTED_NAMES = 8;

/** Indicators that count answers faster than a threshold. */
const LATENCY_INDICATORS: readonly Objective["indicator"][] = [
  "first_token",
  "inter_token",
];

type Names = Readonly<Record<BundleKind, ReadonlySet<string>>>;

/** Finds the mistakes that no schema of a single item can see. */
export function findRuleIssues(
  items: PlacedItems,
  names: Names,
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

interface PlacedValue extends ItemPlace {
  readonly value: string;
}

function findDuplicates(items: PlacedItems): ConfigIssue[] {
  const names = (list: readonly PlacedItem<{ name: string }>[]) =>
    list.flatMap(({ file, key, item }) =>
      item.name === undefined
        ? []
        : [{ file, key: `${key}.name`, value: item.name }]
    );
  const keyHashes = items.accounts.flatMap((account) =>
    listed(account, "key_hashes", account.item.key_hashes)
  );
  const models = items.pools.flatMap((pool) =>
    listed(pool, "models", pool.item.models)
  );
  return [
    ...repeated(names(items.accounts), true),
    ...repeated(names(items.pools), true),
    ...repeated(names(items.services), true),
    ...repeated(names(items.objectives), true),
    ...repeated(keyHashes, false),
    ...repeated(models, true),
    ...items.accounts.flatMap(findRepeatsInAccount),
    ...items.services.flatMap((service) =>
      repeated(
        listed(service, "routes", service.item.routes?.map(showRoute)),
        true,
      )
    ),
  ];
}

function findRepeatsInAccount(account: PlacedItem<Account>): ConfigIssue[] {
  const { item } = account;
  const routes = item.routes?.map((route) =>
    route && `${route.service} ${showRoute(route)}`
  );
  return [
    ...repeated(listed(account, "pools", item.pools), true),
    ...repeated(listed(account, "services", item.services), true),
    ...repeated(listed(account, "failure_domains", item.failure_domains), true),
    ...repeated(listed(account, "routes", routes), true),
  ];
}

function showRoute(
  route: Omit<Route, "service"> | undefined,
): string | undefined {
  return route && `${route.method} ${route.path_prefix}`;
}

function listed(
  place: ItemPlace,
  field: string,
  values: readonly (string | undefined)[] = [],
): PlacedValue[] {
  return values.flatMap((value, index) =>
    value === undefined ? [] : [{
      file: place.file,
      key: `${place.key}.${field}.${index}`,
      value,
    }]
  );
}

function repeated(
  values: readonly PlacedValue[],
  showValue: boolean,
): ConfigIssue[] {
  const seen = new Map<string, PlacedValue>();
  const issues: ConfigIssue[] = [];
  for (const current of values) {
    const first = seen.get(current.value);
    if (first === undefined) {
      seen.set(current.value, current);
      continue;
    }
    issues.push({
      file: current.file,
      key: current.key,
      found: showValue ? JSON.stringify(current.value) : "a duplicate",
      allowed: `must differ from ${first.key} in ${first.file}`,
    });
  }
  return issues;
}

function findDanglingReferences(
  items: PlacedItems,
  names: Names,
): ConfigIssue[] {
  const need = (
    kind: BundleKind,
    place: ItemPlace,
    path: string,
    to: string | undefined,
  ) =>
    to === undefined || names[kind].has(to) ? [] : [issue(
      place,
      path,
      JSON.stringify(to),
      `must name one of the ${kind}: ${summarize(names[kind])}`,
    )];
  const fromAccounts = items.accounts.flatMap((account) => [
    ...(account.item.pools ?? []).flatMap((name, i) =>
      need("pools", account, `pools.${i}`, name)
    ),
    ...(account.item.services ?? []).flatMap((name, i) =>
      need("services", account, `services.${i}`, name)
    ),
    ...(account.item.routes ?? []).flatMap((route, i) =>
      need("services", account, `routes.${i}.service`, route?.service)
    ),
  ]);
  const fromServices = items.services.flatMap((service) =>
    need("pools", service, "pool", service.item.pool)
  );
  const fromObjectives = items.objectives.flatMap((objective) => [
    ...need("accounts", objective, "account", objective.item.account),
    ...need("pools", objective, "pool", objective.item.pool),
  ]);
  return [...fromAccounts, ...fromServices, ...fromObjectives];
}

function checkAccountRoutes(account: PlacedItem<Account>): ConfigIssue[] {
  const { services, routes = [] } = account.item;
  const allowed =
    "must be one of the account's services, else the route has no effect";
  return routes.flatMap((route, i) =>
    route === undefined || !services?.length ||
      services.includes(route.service)
      ? []
      : [issue(
        account,
        `routes.${i}.service`,
        JSON.stringify(route.service),
        allowed,
      )]
  );
}

function checkPool(pool: PlacedItem<Pool>): ConfigIssue[] {
  const { item } = pool;
  const { load_floor_tokens: floor, max_output_tokens: output } = item;
  const issues: ConfigIssue[] = [];
  if (item.kind === "model" && item.models?.length === 0) {
    const allowed = "a pool of kind 'model' must name at least one model";
    issues.push(issue(pool, "models", "no model", allowed));
  }
  if (item.kind === "service" && item.models?.length) {
    const found = JSON.stringify(item.models[0]);
    const allowed = "a pool of kind 'service' must name no models";
    issues.push(issue(pool, "models", found, allowed));
  }
  if (item.kind === "model" && item.dialect === "plain") {
    const allowed = "a pool of kind 'model' needs an 'openai' dialect";
    issues.push(issue(pool, "dialect", '"plain"', allowed));
  }
  if (floor !== undefined && output !== undefined && floor < output) {
    // The floor lets an idle pool accept one largest request.
    const allowed = `must be at least max_output_tokens, ${output}, so that ` +
      "an idle endpoint accepts a request";
    issues.push(issue(pool, "load_floor_tokens", String(floor), allowed));
  }
  return issues;
}

function findServicesOnModelPools(items: PlacedItems): ConfigIssue[] {
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

function checkObjective(objective: PlacedItem<Objective>): ConfigIssue[] {
  const { indicator, threshold_ms } = objective.item;
  if (indicator === undefined) {
    return [];
  }
  const needsThreshold = LATENCY_INDICATORS.includes(indicator);
  if (needsThreshold === (threshold_ms !== undefined)) {
    return [];
  }
  const allowed = needsThreshold
    ? `the indicator '${indicator}' needs a threshold`
    : `the indicator '${indicator}' has no threshold`;
  const found = threshold_ms === undefined ? "nothing" : String(threshold_ms);
  return [issue(objective, "threshold_ms", found, allowed)];
}

function issue(
  place: ItemPlace,
  path: string,
  found: string,
  allowed: string,
): ConfigIssue {
  return { file: place.file, key: `${place.key}.${path}`, found, allowed };
}

function summarize(names: ReadonlySet<string>): string {
  const shown = [...names].slice(0, MAX_LISTED_NAMES).join(", ");
  return names.size > MAX_LISTED_NAMES ? `${shown}, ...` : shown || "(none)";
}
