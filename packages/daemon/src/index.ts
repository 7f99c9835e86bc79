export * from "./config_sync/index.js";
export * from "./system_clock.js";
