export * from "./membership_event.js";
export * from "./membership_queries.js";
export * from "./membership_state.js";
export * from "./reduce_membership.js";
export * from "./relay_targets.js";
export * from "./rendezvous.js";
