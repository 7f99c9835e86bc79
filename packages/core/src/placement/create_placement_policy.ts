import type { RouterSettings } from "../config/index.js";
import {
  ChatHashPolicy,
  LeastLoadedPolicy,
  OraclePolicy,
  RandomPolicy,
} from "./baseline_policies.js";
import { CacheAwarePolicy } from "./cache_aware_policy.js";
import type { PlacementPolicy } from "./placement_policy.js";

/** Creates the placement policy that is named in a router's settings. */
export function createPlacementPolicy(
  name: RouterSettings["router"]["placement"],
): PlacementPolicy {
  switch (name) {
    case "policy":
      return new CacheAwarePolicy();
    case "random":
      return new RandomPolicy();
    case "least_loaded":
      return new LeastLoadedPolicy();
    case "chat_hash":
      return new ChatHashPolicy();
    case "oracle":
      return new OraclePolicy();
  }
}
