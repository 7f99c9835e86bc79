/** Finds entries of a valid bundle that no request can match. */
import { type BundleAccess, isNameAllowed } from "./bundle_access.js";
import type { Located, LocatedBundle } from "./bundle_check.js";
import { type BundleFinding, warningAt } from "./bundle_finding.js";
import type { Account, Objective, Route, Service } from "./bundle_schema.js";

/** A route of an account, or one of a service, which does not name it. */
type AnyRoute = Omit<Route, "service"> & { readonly service?: string };

/** Warns of entries that no request can match. */
export function findUnmatchedEntries(
  items: LocatedBundle,
  access: BundleAccess,
): BundleFinding[] {
  return [
    ...items.accounts.flatMap((account) => findShadowedRoutes(account)),
    ...items.services.flatMap((service) => findShadowedRoutes(service)),
    ...findServicePoolEntries(items),
    ...findAccountsWithoutAccess(items, access),
    ...findUnusedPools(items, access),
    ...findUnusedServices(items),
    ...items.objectives.flatMap((objective) =>
      findObjectiveWithoutRequests(objective, access)
    ),
  ];
}

/** Finds routes after a route that matches all of their calls. */
function findShadowedRoutes(owner: Located<Account | Service>) {
  const routes: readonly AnyRoute[] = owner.item.routes;
  return routes.flatMap((route, index) => {
    const earlier = routes.slice(0, index);
    const coveringIndex = earlier.findIndex((first) => covers(first, route));
    if (coveringIndex < 0) {
      return [];
    }
    const { method, path_prefix: pathPrefix } = routes[coveringIndex];
    const text = `never matches, because routes.${coveringIndex}, ` +
      `"${method} ${pathPrefix}", comes first and matches the same calls`;
    return [warningAt(owner, `routes.${index}`, text)];
  });
}

function covers(first: AnyRoute, second: AnyRoute): boolean {
  return first.service === second.service &&
    (first.method === "*" || first.method === second.method) &&
    second.path_prefix.startsWith(first.path_prefix);
}

/**
 * Finds pools of kind `service` that an account lists beside model pools. An
 * account that lists only pools of kind `service` is left out: it thereby may
 * use no model, whereas an empty list would allow all.
 */
function findServicePoolEntries(items: LocatedBundle): BundleFinding[] {
  const servicePools = new Set(
    items.pools.filter(({ item }) => item.kind === "service")
      .map(({ item }) => item.name),
  );
  return items.accounts.flatMap((account) => {
    const { pools } = account.item;
    if (pools.every((name) => servicePools.has(name))) {
      return [];
    }
    return pools.flatMap((name, index) =>
      servicePools.has(name)
        ? [warningAt(
          account,
          `pools.${index}`,
          `"${name}" has no effect, because it is a pool of kind 'service'; ` +
            "the key 'services' allows calls to services",
        )]
        : []
    );
  });
}

function findAccountsWithoutAccess(
  { accounts }: LocatedBundle,
  access: BundleAccess,
): BundleFinding[] {
  return accounts.filter(({ item }) => !access.mayUseAnyPool(item))
    .map((account) =>
      warningAt(
        account,
        "pools",
        `the account "${account.item.name}" may use no model and no service`,
      )
    );
}

function findUnusedPools(
  { pools }: LocatedBundle,
  access: BundleAccess,
): BundleFinding[] {
  return pools.filter(({ item }) => access.accountsOf(item).length === 0)
    .map((pool) =>
      warningAt(
        pool,
        "name",
        `the pool "${pool.item.name}" gets no requests, because no account ` +
          "reaches it by a model or a service",
      )
    );
}

function findUnusedServices(items: LocatedBundle): BundleFinding[] {
  const isUsed = ({ name }: Service) =>
    items.accounts.some(({ item }) => isNameAllowed(item.services, name));
  return items.services.filter(({ item }) => !isUsed(item))
    .map((service) =>
      warningAt(
        service,
        "name",
        `the service "${service.item.name}" gets no calls, because no ` +
          "account may call it",
      )
    );
}

function findObjectiveWithoutRequests(
  objective: Located<Objective>,
  access: BundleAccess,
): BundleFinding[] {
  const { name, account, pool } = objective.item;
  if (access.accountsCounted(account, pool).length > 0) {
    return [];
  }
  const reason = account === undefined
    ? "no account may send any"
    : pool === undefined
    ? `the account "${account}" may use no pool`
    : `the account "${account}" may not use the pool "${pool}"`;
  const text = `the objective "${name}" counts no requests, because ${reason}`;
  return [warningAt(objective, "name", text)];
}
