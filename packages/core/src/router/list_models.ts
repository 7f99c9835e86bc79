import type { RouterState } from "./router_state.js";

/**
 * Models that the account with this key may use. Undefined if no account has the
 * key or this router has no configuration yet.
 */
export function listModels(
  state: RouterState,
  keyHash: string,
): string[] | undefined {
  const account = state.config?.accountsByKeyHash.get(keyHash);
  if (!state.config || !account) {
    return undefined;
  }
  return [...state.config.poolsByModel]
    .filter(([, pool]) =>
      account.pools.length === 0 || account.pools.includes(pool.name)
    )
    .map(([model]) => model);
}
