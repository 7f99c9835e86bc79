export * from "./failure_log.js";
export * from "./logger.js";
