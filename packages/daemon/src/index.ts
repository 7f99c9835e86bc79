export * from "./execution/index.js";
export * from "./store/index.js";
export * from "./admin/index.js";
export * from "./system_clock.js";
