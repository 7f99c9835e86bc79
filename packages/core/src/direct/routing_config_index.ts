import { rendezvousScore } from "../membership/index.js";
import type {
  DirectAccount,
  DirectRoute,
  DirectService,
  RoutingConfig,
} from "./routing_config.js";

/** `rendezvousScore` returns integers from 0 to just below this limit. */
const RENDEZVOUS_SCORE_LIMIT = 2 ** 53;

/** Index of the routes, accounts and services of one configuration version. */
export class RoutingConfigIndex {
  readonly config: RoutingConfig;
  readonly #routes = new Map<string, Map<string, DirectRoute>>();
  readonly #accountsByKey = new Map<string, DirectAccount>();
  readonly #services = new Map<string, DirectService>();

  constructor(config: RoutingConfig) {
    this.config = config;
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const byPrefix = this.#routes.get(host) ?? new Map();
      byPrefix.set(route.pathPrefix, route);
      this.#routes.set(host, byPrefix);
    }
    for (const account of config.accounts ?? []) {
      for (const key of account.keys) {
        this.#accountsByKey.set(key, account);
      }
    }
    for (const service of config.services) {
      this.#services.set(service.name, service);
    }
  }

  get version(): number {
    return this.config.version;
  }

  /**
   * Whether API keys are checked at all. If so, every route needs one, except
   * those marked `open`.
   */
  get needsKeys(): boolean {
    return this.config.accounts !== undefined;
  }

  service(name: string): DirectService | undefined {
    return this.#services.get(name);
  }

  accountOf(apiKey: string): DirectAccount | undefined {
    return this.#accountsByKey.get(apiKey);
  }

  /**
   * Returns the route of the host with the longest matching path prefix, if
   * any.
   */
  match(host: string, path: string): DirectRoute | undefined {
    const byPrefix = this.#routes.get(withoutPort(host).toLowerCase());
    if (!byPrefix) {
      return undefined;
    }
    const query = path.indexOf("?");
    const pathname = query < 0 ? path : path.slice(0, query);
    for (
      let slash = pathname.lastIndexOf("/");
      slash >= 0;
      slash = pathname.lastIndexOf("/", slash - 1)
    ) {
      const route = byPrefix.get(pathname.slice(0, slash + 1));
      if (route) {
        return route;
      }
      if (slash === 0) {
        break;
      }
    }
    return undefined;
  }
}

/**
 * Picks a target of a route by weight and returns its service. The same key
 * always gets the same target, so that chats stay with the service that has
 * their prompt cached.
 */
export function pickTarget(route: DirectRoute, key: string): string {
  const [first] = route.targets;
  if (route.targets.length === 1) {
    return first.service;
  }
  const totalWeight = route.targets.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  let remainingWeight = rendezvousScore(key, route.name) /
    RENDEZVOUS_SCORE_LIMIT *
    totalWeight;
  for (const { service, weight } of route.targets) {
    remainingWeight -= weight;
    if (remainingWeight < 0) {
      return service;
    }
  }
  return first.service;
}

function withoutPort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 ? host : host.slice(0, colon);
}
