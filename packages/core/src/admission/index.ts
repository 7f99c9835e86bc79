export * from "./admission_queue.js";
export * from "./fair_queue.js";
export * from "./fifo_queue.js";
export * from "./load_bound.js";
export * from "./pool_load_table.js";
export * from "./retry_budget.js";
export * from "./service_rate_estimator.js";
export * from "./token_bucket.js";
