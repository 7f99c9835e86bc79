export * from "./cold_endpoints.js";
export * from "./cold_limit.js";
export * from "./cold_period.js";
export * from "./cold_record.js";
export * from "./cold_rule.js";
