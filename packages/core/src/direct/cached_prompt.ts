// Reads what endpoints have cached of the prompt of a request.

import type { DirectEndpoint } from "./direct_endpoint.js";
import type { PromptPart } from "./direct_event.js";
import type { ActiveRequest, DirectState } from "./direct_state.js";
import { sharedPromptParts } from "./prompt_parts.js";

/** Prompt parts that other requests may have in common with this one. */
export function sharedPartsOf(
  { call, route }: ActiveRequest,
): readonly PromptPart[] {
  return route.sticky ? sharedPromptParts(call) : [];
}

/** Size of the cache of a service's engines in tokens, if configured. */
export function cacheCapacityOf(
  { configIndex }: DirectState,
  service: string,
): number | undefined {
  return configIndex?.service(service)?.engine?.cacheTokens;
}

/** Tells how many tokens of a prompt an endpoint has cached. */
export type CachedTokens = (endpoint: DirectEndpoint) => number;

/**
 * Returns a function that looks up once for each endpoint what it has cached of
 * the prompt.
 */
export function cachedTokensOf(
  { promptCacheIndex }: DirectState,
  request: ActiveRequest,
): CachedTokens {
  const parts = sharedPartsOf(request);
  if (parts.length === 0) {
    return () => 0;
  }
  const known = new Map<DirectEndpoint, number>();
  return (endpoint) => {
    const { id, record } = endpoint;
    const tokens = known.get(endpoint) ??
      promptCacheIndex.cachedTokens(id, record.incarnation, parts);
    known.set(endpoint, tokens);
    return tokens;
  };
}

/** How full the endpoint's cache is, from 0 to 1. */
export function cacheFillOf(
  state: DirectState,
  { id, record }: DirectEndpoint,
): number {
  return state.promptCacheIndex.fill(
    id,
    record.incarnation,
    cacheCapacityOf(state, record.service),
  );
}
