export * from "./execution_host.js";
export * from "./execution_record_sweeper.js";
