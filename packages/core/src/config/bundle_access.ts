/** Which accounts may send requests to which pools and services. */
import type { Account, Bundle, Pool, Service } from "./bundle_schema.js";

/** Whether `names` allows `name`; an empty list allows every name. */
export function isNameAllowed(names: readonly string[], name: string): boolean {
  return names.length === 0 || names.includes(name);
}

/** Answers which accounts may use the pools of a valid bundle. */
export class BundleAccess {
  readonly #bundle: Bundle;
  readonly #servicesByPool: ReadonlyMap<string, readonly Service[]>;
  readonly #accountsByPool = new Map<string, readonly Account[]>();

  constructor(bundle: Bundle) {
    this.#bundle = bundle;
    const servicesByPool = new Map<string, Service[]>();
    for (const service of bundle.services) {
      const services = servicesByPool.get(service.pool) ?? [];
      services.push(service);
      servicesByPool.set(service.pool, services);
    }
    this.#servicesByPool = servicesByPool;
  }

  /** Whether requests of the account can reach the pool. */
  mayUsePool(account: Account, pool: Pool): boolean {
    if (pool.kind === "model") {
      return isNameAllowed(account.pools, pool.name);
    }
    const services = this.#servicesByPool.get(pool.name) ?? [];
    return services.some(({ name }) => isNameAllowed(account.services, name));
  }

  /** Whether requests of the account can reach any pool. */
  mayUseAnyPool(account: Account): boolean {
    return this.#bundle.pools.some((pool) => this.mayUsePool(account, pool));
  }

  /** Accounts whose requests can reach the pool. */
  accountsOf(pool: Pool): readonly Account[] {
    const known = this.#accountsByPool.get(pool.name);
    if (known !== undefined) {
      return known;
    }
    const accounts = this.#bundle.accounts
      .filter((account) => this.mayUsePool(account, pool));
    this.#accountsByPool.set(pool.name, accounts);
    return accounts;
  }

  /** Accounts whose requests count for an objective of this account and pool. */
  accountsCounted(accountName?: string, poolName?: string): readonly Account[] {
    const pool = this.#bundle.pools.find(({ name }) => name === poolName);
    const accounts = pool === undefined
      ? this.#bundle.accounts
      : this.accountsOf(pool);
    return accounts.filter((account) =>
      (accountName === undefined || account.name === accountName) &&
      (pool !== undefined || this.mayUseAnyPool(account))
    );
  }
}
