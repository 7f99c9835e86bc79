export * from "./clock.js";
export * from "./config/index.js";
export * from "./config_sync/index.js";
export * from "./membership/index.js";
export * from "./store/index.js";
export * from "./wire/index.js";
