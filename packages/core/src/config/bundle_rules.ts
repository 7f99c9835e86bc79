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
    list.map(({ file, key, item }) => ({
      file,
      key: `${key}.name`,
      value: item.name,
    }));
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
      repeated(listed(service, "routes", service.item.routes.map(show)), true)
    ),
  ];
}

function findRepeatsInAccount(account: PlacedItem<Account>): ConfigIssue[] {
  const { item } = account;
  const routes = item.routes.map((route) => `${route.service} ${show(route)}`);
  return [
    ...repeated(listed(account, "pools", item.pools), true),
    ...repeated(listed(account, "services", item.services), true),
    ...repeated(listed(account, "failure_domains", item.failure_domains), true),
    ...repeated(listed(account, "routes", routes), true),
  ];
}

function show(route: Omit<Route, "service">): string {
  return `${route.method} ${route.path_prefix}`;
}

function listed(
  place: ItemPlace,
  field: string,
  values: readonly string[],
): PlacedValue[] {
  return values.map((value, index) => ({
    file: place.file,
    key: `${place.key}.${field}.${index}`,
    value,
  }));
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
  const need = (kind: BundleKind, place: ItemPlace, path: string, to: string) =>
    names[kind].has(to) ? [] : [{
      file: place.file,
      key: `${place.key}.${path}`,
      found: JSON.stringify(to),
      allowed: `must name one of the ${kind}: ${summarize(names[kind])}`,
    }];
  const fromAccounts = items.accounts.flatMap((account) => [
    ...account.item.pools.flatMap((name, i) =>
      need("pools", account, `pools.${i}`, name)
    ),
    ...account.item.services.flatMap((name, i) =>
      need("services", account, `services.${i}`, name)
    ),
    ...account.item.routes.flatMap(({ service }, i) =>
      need("services", account, `routes.${i}.service`, service)
    ),
  ]);
  const fromServices = items.services.flatMap((service) =>
    need("pools", service, "pool", service.item.pool)
  );
  const fromObjectives = items.objectives.flatMap((objective) => {
    const { account, pool } = objective.item;
    return [
      ...account === undefined
        ? []
        : need("accounts", objective, "account", account),
      ...pool === undefined ? [] : need("pools", objective, "pool", pool),
    ];
  });
  return [...fromAccounts, ...fromServices, ...fromObjectives];
}

function checkAccountRoutes(account: PlacedItem<Account>): ConfigIssue[] {
  const { services, routes } = account.item;
  return routes.flatMap(({ service }, i) =>
    services.includes(service) ? [] : [issue(
      account,
      `routes.${i}.service`,
      JSON.stringify(service),
      "must be one of the account's services, else the route has no effect",
    )]
  );
}

function checkPool(pool: PlacedItem<Pool>): ConfigIssue[] {
  const { item } = pool;
  const issues: ConfigIssue[] = [];
  if (item.kind === "model" && item.models.length === 0) {
    const allowed = "a pool of kind 'model' must name at least one model";
    issues.push(issue(pool, "models", "no model", allowed));
  }
  if (item.kind === "service" && item.models.length > 0) {
    const found = JSON.stringify(item.models[0]);
    const allowed = "a pool of kind 'service' must name no models";
    issues.push(issue(pool, "models", found, allowed));
  }
  if (item.kind === "model" && item.dialect === "plain") {
    const allowed = "a pool of kind 'model' needs an 'openai' dialect";
    issues.push(issue(pool, "dialect", '"plain"', allowed));
  }
  if (item.load_floor_tokens < item.max_output_tokens) {
    // The floor lets an idle pool accept one largest request.
    const allowed = `must be at least max_output_tokens, ` +
      `${item.max_output_tokens}, so that an idle endpoint accepts a request`;
    const found = String(item.load_floor_tokens);
    issues.push(issue(pool, "load_floor_tokens", found, allowed));
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
