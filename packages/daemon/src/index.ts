export * from "./system_clock.js";
