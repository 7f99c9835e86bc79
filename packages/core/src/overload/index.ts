export * from "./overload_detector.js";
export * from "./overload_period.js";
export * from "./placement_scheduler.js";
export * from "./waiting_queue.js";
