export * from "./call_refusal.js";
export * from "./execution_record.js";
export * from "./expired_records.js";
export * from "./keyed_call_machine.js";
export * from "./record_removal.js";
