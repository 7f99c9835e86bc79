import type { DirectCall } from "./direct_event.js";
import type { ActiveRequest } from "./direct_state.js";

/** Affinity key of a request on a sticky route; undefined on other routes. */
export function affinityKeyOf(
  { call, route }: ActiveRequest,
): string | undefined {
  return route.sticky ? affinityPartIdOf(call) : undefined;
}

/**
 * Id of the last prompt part that other requests can share. The last part of a
 * prompt is specific to the request, so this is the part before it. If the
 * prompt has only one part, returns the id of that part; if it has none,
 * undefined.
 */
export function affinityPartIdOf(
  { promptParts }: DirectCall,
): string | undefined {
  return (promptParts.at(-2) ?? promptParts.at(-1))?.id;
}
