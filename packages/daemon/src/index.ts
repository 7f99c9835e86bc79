export * from "./admin/index.js";
export * from "./system_clock.js";
