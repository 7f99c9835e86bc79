export * from "./metric_registry.js";
