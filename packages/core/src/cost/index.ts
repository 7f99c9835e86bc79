export * from "./cache_and_load_score.js";
export * from "./endpoint_pace.js";
export * from "./endpoint_work.js";
export * from "./expected_time_score.js";
export * from "./output_length_estimator.js";
export * from "./placement_score.js";
export * from "./request_costs.js";
export * from "./service_costs.js";
