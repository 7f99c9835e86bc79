export * from "./burn_report.js";
export * from "./burn_snapshot.js";
export * from "./burn_store.js";
export * from "./classify_result.js";
export * from "./request_result.js";
