export * from "./execution_host.js";
export * from "./record_sweeper.js";
