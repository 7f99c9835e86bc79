export * from "./baseline_policies.js";
export * from "./cache_aware_policy.js";
export * from "./placement_policy.js";
export * from "./prefix_hasher.js";
export * from "./prefix_sample.js";
